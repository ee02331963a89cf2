// The VM list as a node holds it: whole lists and changes since a cursor.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>
#include <random>
#include <string>
#include <vector>

#include "fake/fake.h"
#include "process/pool.h"

static const seam_time SEC = SEAM_SEC;

// The fake platform behind answers that can be lost or wrong.
struct lossy {
	seam_platform base;
	seam_platform *real;
	bool lose;
	size_t wrong_total;
	int whole;
	int changes;
	size_t entries;
};

static int lossy_vms(seam_platform *p, seam_vms *out, seam_time until,
		     seam_err *e)
{
	lossy *l = (lossy *)p;

	l->whole++;
	return l->real->ops->vms(l->real, out, until, e);
}

static int lossy_changes(seam_platform *p, const char *since, seam_vms *out,
			 seam_time until, seam_err *e)
{
	lossy *l = (lossy *)p;
	int rc = l->real->ops->changes(l->real, since, out, until, e);

	if (rc)
		return rc;
	if (l->lose) {
		seam_vms_free(out);
		return seam_fail(e, SEAM_UNAVAILABLE, "answer lost");
	}
	if (out->change && l->wrong_total)
		out->total = l->wrong_total;
	l->whole += !out->change;
	l->changes += out->change;
	l->entries += out->change ? out->n + out->gone_n : 0;
	return 0;
}

static const seam_platform_ops with_cursors = {lossy_vms, nullptr,
					       lossy_changes};
static const seam_platform_ops without_cursors = {lossy_vms, nullptr, nullptr};

struct Vms : testing::Test {
	seam_fake_clock clock;
	seam_fake_platform *fake;
	seam_fake_platform_faults faults = {};
	lossy link = {};
	seam_conf_cell conf;
	seam_fleet *fleet;
	seam_pools *ps;
	seam_err e = SEAM_ERR_INIT;

	Vms()
	{
		seam_pools_env env = {};

		seam_fake_init(&clock, 1000000 * SEC);
		fake = seam_fake_platform_new(&clock.clock);
		link.base.ops = &with_cursors;
		link.real = seam_fake_platform_base(fake);
		seam_conf_cell_init(&conf);
		fleet = seam_fleet_new();
		env.clock = &clock.clock;
		env.platform = &link.base;
		env.conf = &conf;
		env.fleet = fleet;
		env.vm_list_ms = 30000;
		ps = seam_pools_new(&env);
	}
	~Vms() override
	{
		seam_pools_free(ps);
		seam_fleet_free(fleet);
		seam_conf_cell_free(&conf);
		seam_fake_platform_free(fake);
	}
	void put(int i, int64_t boot = 1, int state = SEAM_VM_LIVE)
	{
		seam_vm v = {};

		snprintf(v.id, sizeof(v.id), "v%d", i);
		snprintf(v.dc, sizeof(v.dc), "a");
		v.boot = boot;
		v.state = state;
		seam_fake_platform_put(fake, &v);
	}
	void del(int i)
	{
		seam_fake_platform_del(fake, ("v" + std::to_string(i)).c_str());
	}
	int read()
	{
		int rc = seam_pools_list(ps, clock.time, &e);

		seam_err_clear(&e);
		seam_pools_publish(ps);
		return rc;
	}
	static std::string line(const seam_vm &v)
	{
		return std::string(v.id) + " " + std::to_string(v.boot) + " " +
		       std::to_string(v.state);
	}
	std::vector<std::string> held()
	{
		std::vector<std::string> out;
		size_t n;
		seam_fleet_vm *f = seam_fleet_copy(fleet, nullptr, &n, nullptr);

		for (size_t i = 0; i < n; i++)
			out.push_back(line(f[i].vm));
		free(f);
		std::sort(out.begin(), out.end());
		return out;
	}
	std::vector<std::string> real()
	{
		std::vector<std::string> out;
		seam_vms v = {};

		link.real->ops->vms(link.real, &v, SEAM_NEVER, &e);
		for (size_t i = 0; i < v.n; i++)
			out.push_back(line(v.vm[i]));
		seam_vms_free(&v);
		std::sort(out.begin(), out.end());
		return out;
	}
	seam_time as_of()
	{
		seam_time t;

		seam_fleet_changes(fleet, &t);
		return t;
	}
	void pass_time(seam_time by)
	{
		seam_fake_set(&clock, clock.time + by);
	}
};

// Guards against VMs that stay after they were deleted, or that are missed, and
// against reading the whole list again for a change.
TEST_F(Vms, ChangesAreApplied)
{
	for (int i = 0; i < 100; i++)
		put(i);
	ASSERT_EQ(read(), 0);
	put(100);
	put(1, 2);
	put(2, 1, SEAM_VM_LEAVING);
	del(3);
	pass_time(SEC);
	ASSERT_EQ(read(), 0);
	EXPECT_EQ(held(), real());
	EXPECT_EQ(held().size(), 100u);
	EXPECT_EQ(link.whole, 1);
	EXPECT_EQ(link.entries, 4u);
}

// Guards against a list without changes that passes for an old one: its time
// bounds moves and maintenance.
TEST_F(Vms, TimeMovesWithoutChanges)
{
	seam_pool_rules rules;
	uint64_t before;
	seam_time t;

	put(1);
	ASSERT_EQ(read(), 0);
	before = seam_fleet_changes(fleet, &t);
	for (int i = 0; i < 60; i++) {
		pass_time(SEC);
		ASSERT_EQ(read(), 0);
	}
	EXPECT_EQ(as_of(), clock.time);
	EXPECT_EQ(seam_fleet_changes(fleet, &t), before);
	EXPECT_EQ(link.entries, 0u);
	seam_pool_rules_of(ps, "p", clock.time, &rules);
	EXPECT_TRUE(rules.list_ok);
	seam_fake_platform_down(fake, true);
	for (int i = 0; i < 31; i++) {
		pass_time(SEC);
		EXPECT_EQ(read(), -1);
	}
	seam_pool_rules_of(ps, "p", clock.time, &rules);
	EXPECT_FALSE(rules.list_ok);
	EXPECT_EQ(as_of(), clock.time - 31 * SEC);
}

// Guards against changes that are lost with an answer.
TEST_F(Vms, LostAnswersAreReadAgain)
{
	put(1);
	put(2);
	ASSERT_EQ(read(), 0);
	put(3);
	del(1);
	link.lose = true;
	pass_time(SEC);
	EXPECT_EQ(read(), -1);
	EXPECT_EQ(held().size(), 2u);
	link.lose = false;
	pass_time(SEC);
	ASSERT_EQ(read(), 0);
	EXPECT_EQ(held(), real());
	EXPECT_EQ(link.whole, 1);
}

// Guards against changes of another life of the platform taken for those since
// the cursor.
TEST_F(Vms, RestartedPlatformSendsAWholeList)
{
	put(1);
	put(2);
	ASSERT_EQ(read(), 0);
	del(1);
	put(3);
	pass_time(SEC);
	seam_fake_platform_restart(fake);
	ASSERT_EQ(read(), 0);
	EXPECT_EQ(held(), real());
	EXPECT_EQ(link.whole, 2);
	put(4);
	pass_time(SEC);
	ASSERT_EQ(read(), 0);
	EXPECT_EQ(held(), real());
	EXPECT_EQ(link.whole, 2);
}

// Guards against a gap between the cursor and the changes that the platform
// still knows.
TEST_F(Vms, OldCursorGetsAWholeList)
{
	faults.log_max = 2;
	seam_fake_platform_set(fake, &faults);
	put(1);
	ASSERT_EQ(read(), 0);
	for (int i = 2; i < 9; i++)
		put(i);
	pass_time(SEC);
	ASSERT_EQ(read(), 0);
	EXPECT_EQ(held(), real());
	EXPECT_EQ(link.whole, 2);
	put(9);
	del(1);
	pass_time(SEC);
	ASSERT_EQ(read(), 0);
	EXPECT_EQ(held(), real());
	EXPECT_EQ(link.whole, 2);
}

// Guards against a platform without cursors: its lists are taken whole, and an
// equal one is no change of the fleet.
TEST_F(Vms, PlatformWithoutCursors)
{
	uint64_t before;
	seam_time t;

	link.base.ops = &without_cursors;
	put(1);
	put(2);
	ASSERT_EQ(read(), 0);
	before = seam_fleet_changes(fleet, &t);
	pass_time(SEC);
	ASSERT_EQ(read(), 0);
	EXPECT_EQ(seam_fleet_changes(fleet, &t), before);
	EXPECT_EQ(as_of(), clock.time);
	del(1);
	put(3);
	pass_time(SEC);
	ASSERT_EQ(read(), 0);
	EXPECT_EQ(held(), real());
	EXPECT_EQ(link.whole, 3);
}

// Guards against a fault in the platform's changes that would stay for ever.
TEST_F(Vms, WrongTotalIsReadWhole)
{
	put(1);
	ASSERT_EQ(read(), 0);
	link.wrong_total = 7;
	put(2);
	pass_time(SEC);
	ASSERT_EQ(read(), 0);
	EXPECT_EQ(link.whole, 1);
	pass_time(SEC);
	ASSERT_EQ(read(), 0);
	EXPECT_EQ(link.whole, 2);
}

// Guards against content that another publisher of the fleet replaced and that
// is taken for current.
TEST_F(Vms, ReplacedFleetIsPublishedAgain)
{
	put(1);
	ASSERT_EQ(read(), 0);
	seam_fleet_set(fleet, nullptr, 0, clock.time);
	ASSERT_TRUE(held().empty());
	ASSERT_EQ(read(), 0);
	EXPECT_EQ(held(), real());
}

// Guards against any order of changes, losses, restarts and gaps after which
// the list differs from the platform's.
TEST_F(Vms, RandomRunsHoldThePlatformsList)
{
	for (unsigned seed = 1; seed <= 20; seed++) {
		std::mt19937 r(seed);

		for (int step = 0; step < 500; step++) {
			for (unsigned k = r() % 6; k; k--) {
				int i = (int)(r() % 40);

				if (r() % 3)
					put(i, 1 + r() % 5, r() % 2);
				else
					del(i);
			}
			if (r() % 40 == 0)
				seam_fake_platform_restart(fake);
			faults.log_max = r() % 10 ? 0 : 1 + (int)(r() % 5);
			faults.down = r() % 10 == 0;
			seam_fake_platform_set(fake, &faults);
			link.lose = r() % 5 == 0;
			link.base.ops =
				r() % 20 ? &with_cursors : &without_cursors;
			pass_time(SEC);
			if (read())
				continue;
			ASSERT_EQ(held(), real())
				<< "seed " << seed << " step " << step;
		}
	}
	EXPECT_GT(link.changes, 1000);
}
