// Order of urgency of the jobs in a backlog.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <vector>

#include "process/backlog.h"

static const char *const POOLS[] = {"p", "q", "r"};

struct Waiting {
	int pool;
	seam_urgency u;
	int64_t cpu;
};

struct Backlog : ::testing::Test {
	seam_backlog *b = seam_backlog_new();
	std::map<uint32_t, Waiting> jobs;

	~Backlog() override
	{
		seam_backlog_free(b);
	}
	void put(uint32_t id, const Waiting &w, seam_time now)
	{
		seam_urgency_key k = seam_urgency_key_of(&w.u, now, false);

		jobs[id] = w;
		seam_backlog_put(b, {id}, POOLS[w.pool], &k, w.cpu);
	}
	void refresh(seam_time now)
	{
		seam_handle h;

		while (seam_backlog_expired(b, now, &h))
			put(h.bits, jobs[h.bits], now);
	}
	std::vector<uint32_t> walk()
	{
		seam_backlog_cursor c;
		std::vector<uint32_t> order;
		seam_handle h;

		seam_backlog_begin(b, &c);
		while (seam_backlog_next(&c, &h)) {
			int pool = jobs[h.bits].pool;
			int64_t least = INT64_MAX;

			for (auto &j : jobs)
				if (j.second.pool == pool)
					least = std::min(least, j.second.cpu);
			EXPECT_EQ(seam_backlog_min_cpu(&c), least);
			order.push_back(h.bits);
		}
		seam_backlog_end(&c);
		return order;
	}
	std::vector<uint32_t> sorted(seam_time now)
	{
		std::vector<uint32_t> order;

		for (auto &j : jobs)
			order.push_back(j.first);
		std::sort(order.begin(), order.end(),
			  [&](uint32_t x, uint32_t y) {
				  seam_urgency_key a = seam_urgency_key_of(
					  &jobs[x].u, now, false);
				  seam_urgency_key k = seam_urgency_key_of(
					  &jobs[y].u, now, false);
				  int c = seam_urgency_compare(&a, &k);

				  return c ? c < 0 : x < y;
			  });
		return order;
	}
};

// Guards against expired sort keys: a job that has become late would come
// before jobs that can still meet their objective.
TEST_F(Backlog, OrderIsThatOfEachMoment)
{
	std::mt19937 rng(1);
	uint32_t next = 1;

	for (seam_time now = 0; now < 30 * SEAM_SEC; now += 100 * SEAM_MSEC) {
		for (int i = rng() % 6; i > 0; i--) {
			Waiting w = {};

			w.pool = (int)(rng() % 3);
			w.cpu = 100 * (1 + (int64_t)(rng() % 50));
			w.u.priority = (int)(rng() % 3);
			w.u.lasting = rng() % 10 == 0;
			w.u.over_share = rng() % 4 == 0;
			w.u.left_ms = rng() % 2000;
			w.u.accepted_at = now;
			w.u.due_at =
				now + (seam_time)(rng() % 4000) * SEAM_MSEC;
			put(next++, w, now);
		}
		for (int i = rng() % 5; i > 0 && !jobs.empty(); i--) {
			auto j = jobs.begin();

			std::advance(j, (long)(rng() % jobs.size()));
			seam_backlog_remove(b, {j->first});
			jobs.erase(j);
		}
		refresh(now);
		ASSERT_EQ(seam_backlog_count(b), jobs.size());
		ASSERT_EQ(walk(), sorted(now)) << now;
	}
}

// Guards against a skipped pool that ends the iteration over the others.
TEST_F(Backlog, SkippedPoolAlone)
{
	seam_backlog_cursor c;
	std::map<int, int> seen;
	seam_handle h;

	for (uint32_t i = 1; i <= 30; i++) {
		Waiting w = {};

		w.pool = (int)(i % 3);
		w.u.due_at = (seam_time)i * SEAM_SEC;
		put(i, w, 0);
	}
	seam_backlog_begin(b, &c);
	while (seam_backlog_next(&c, &h)) {
		int pool = jobs[h.bits].pool;

		if (++seen[pool] == 2 && pool == 1)
			seam_backlog_skip_pool(&c);
	}
	seam_backlog_end(&c);
	EXPECT_EQ(seen[0], 10);
	EXPECT_EQ(seen[1], 2);
	EXPECT_EQ(seen[2], 10);
}

// Guards against late jobs that are passed over or come in another order.
TEST_F(Backlog, JobsFromAKeyOnComeInOrder)
{
	std::mt19937 rng(1);
	seam_urgency_key late = seam_urgency_first_late();

	for (uint32_t id = 1; id < 500; id++) {
		Waiting w = {(int)(rng() % 3), {}, 1};

		w.u.left_ms = rng() % 2000;
		w.u.due_at = (seam_time)(rng() % 4000) * SEAM_MSEC;
		w.u.lasting = rng() % 8 == 0;
		put(id, w, SEAM_SEC);
	}
	for (int pool = 0; pool < 3; pool++) {
		std::vector<uint32_t> found;
		std::vector<uint32_t> expected;

		seam_backlog_each_from(
			b, POOLS[pool], &late,
			[](seam_handle h, void *arg) {
				((std::vector<uint32_t> *)arg)
					->push_back(h.bits);
				return false;
			},
			&found);
		for (uint32_t id : sorted(SEAM_SEC))
			if (jobs[id].pool == pool &&
			    seam_urgency_late(&jobs[id].u, SEAM_SEC))
				expected.push_back(id);
		EXPECT_GT(expected.size(), 10u);
		EXPECT_EQ(found, expected);
	}
}
