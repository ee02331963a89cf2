// Placement: best fit, spread over racks, tasks that can never run.
#include <gtest/gtest.h>

#include <cstring>
#include <string>

#include "process/place.h"

class Place : public ::testing::Test
{
      protected:
	seam_placer *p = seam_placer_best_fit();
	seam_err e = SEAM_ERR_INIT;

	void TearDown() override
	{
		p->ops->free(p);
	}
	void add(const std::string &id, const char *dc, const char *rack,
		 seam_need size, bool usable = true)
	{
		seam_place_worker w = {};

		snprintf(w.id, sizeof(w.id), "%s", id.c_str());
		snprintf(w.dc, sizeof(w.dc), "%s", dc);
		snprintf(w.rack, sizeof(w.rack), "%s", rack);
		snprintf(w.pool, sizeof(w.pool), "p");
		w.size = size;
		w.usable = usable;
		ASSERT_EQ(p->ops->set(p, &w), 0);
	}
	std::string choose(seam_need n, char **dcs = nullptr)
	{
		seam_place_request a = {};

		a.need = n;
		a.pool = "p";
		a.dcs = dcs;
		auto *w = p->ops->choose(p, &a, 0, &e);
		return w ? w->id : "";
	}
};

// Guards against fragmentation: the fullest worker that has room is taken.
TEST_F(Place, BestFit)
{
	seam_need half = {2000, 2000, 0};

	add("a", "x", "r1", {4000, 4000, 0});
	add("b", "x", "r2", {4000, 4000, 0});
	p->ops->used(p, "b", &half);
	EXPECT_EQ(choose({1000, 1000, 0}), "b");
	EXPECT_EQ(choose({3000, 1000, 0}), "a");
	EXPECT_EQ(choose({5000, 1000, 0}), "");
	EXPECT_EQ(e.kind, SEAM_BUSY);
}

// Guards against the choice of a worker with too little of one resource, and
// against a bounded search that covers only such workers.
TEST_F(Place, AllResourcesMustFit)
{
	seam_need full = {0, 4000, 0};

	for (int i = 0; i < 1000; i++) {
		std::string id = "w" + std::to_string(i);
		add(id, "x", "r", {4000, 4000, 0});
		p->ops->used(p, id.c_str(), &full);
	}
	EXPECT_EQ(choose({1000, 500, 0}), "");
	add("free", "x", "r", {4000, 8000, 0});
	EXPECT_EQ(choose({1000, 500, 0}), "free");
}

// Guards against a task that waits beside a worker that no bounded search sees.
TEST_F(Place, WorkerBetweenTheFullestAndTheEmptiestIsFound)
{
	seam_need full[2] = {{2000, 4000, 0}, {0, 4000, 0}};
	seam_need half = {1000, 0, 0};

	for (int i = 0; i < 600; i++) {
		std::string id = "w" + std::to_string(i);
		add(id, "x", "r", {4000, 4000, 0});
		p->ops->used(p, id.c_str(), &full[i % 2]);
	}
	EXPECT_EQ(choose({1500, 500, 0}), "");
	add("free", "x", "r", {4000, 4000, 0});
	p->ops->used(p, "free", &half);
	EXPECT_EQ(choose({1500, 500, 0}), "free");
}

// Guards against tasks on workers that are unusable, quarantined, removed or
// outside the allowed data centres.
TEST_F(Place, OnlyUsableWorkers)
{
	char x[] = "x";
	char *dcs[] = {x, nullptr};

	add("a", "y", "r1", {4000, 4000, 0});
	add("b", "x", "r1", {4000, 4000, 0}, false);
	add("c", "x", "r1", {4000, 4000, 0});
	EXPECT_EQ(choose({1, 1, 0}, dcs), "c");
	p->ops->open(p, "c", false);
	EXPECT_EQ(choose({1, 1, 0}, dcs), "");
	p->ops->open(p, "c", true);
	EXPECT_EQ(choose({1, 1, 0}, dcs), "c");
	p->ops->sweep(p);
	p->ops->sweep(p);
	EXPECT_EQ(choose({1, 1, 0}), "");
	EXPECT_EQ(p->ops->count(p, "p"), 0u);
}

// Guards against a group of tasks that is concentrated in one rack.
TEST_F(Place, SpreadsAGroup)
{
	const char *racks[] = {"r1", "r1", "r2"};
	seam_place_request a = {};

	add("a", "x", "r1", {4000, 4000, 0});
	add("b", "x", "r2", {4000, 4000, 0});
	add("c", "x", "r3", {9000, 9000, 0});
	a.need = {100, 100, 0};
	a.pool = "p";
	a.racks = racks;
	a.rack_count = 3;
	EXPECT_STREQ(p->ops->choose(p, &a, 0, &e)->id, "c");
	a.rack_count = 2;
	EXPECT_STREQ(p->ops->choose(p, &a, 0, &e)->id, "b");
}

// Guards against a wrong "never runs": it applies only to sizes that no single
// worker ever had, also after a large worker has left.
TEST_F(Place, NeverRuns)
{
	seam_place_request a = {};

	a.pool = "p";
	a.need = {100, 9000, 0};
	EXPECT_EQ(p->ops->ever(p, &a, &e), 0) << "no list was read yet";
	add("a", "x", "r1", {8000, 1000, 0});
	add("b", "x", "r1", {1000, 8000, 0});
	EXPECT_EQ(p->ops->ever(p, &a, &e), -1);
	EXPECT_EQ(e.kind, SEAM_NEVER_RUNS);
	EXPECT_NE(strstr(e.text, "memory_mb"), nullptr);
	a.need = {8000, 8000, 0};
	EXPECT_EQ(p->ops->ever(p, &a, &e), -1);
	p->ops->sweep(p);
	p->ops->sweep(p);
	a.need = {8000, 1000, 0};
	EXPECT_EQ(p->ops->ever(p, &a, &e), 0);
}
