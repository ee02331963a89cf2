// Tests of a node's copy of the VM list: full lists and changes since a cursor.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>
#include <random>
#include <string>
#include <vector>

#include "fake/fake.h"
#include "process/pool.h"

static const seam_time SEC = SEAM_SEC;

// Wraps the fake platform; its answers can be lost or hold a wrong total.
struct lossy {
	seam_platform base;
	seam_platform *real_platform;
	bool lose;
	size_t wrong_total;
	int full_lists;
	int changes;
	size_t entries;
};

static int lossy_vms(seam_platform *p, seam_vms *out, seam_time until,
		     seam_err *e)
{
	lossy *l = (lossy *)p;

	l->full_lists++;
	return l->real_platform->ops->vms(l->real_platform, out, until, e);
}

static int lossy_changes(seam_platform *p, const char *since, seam_vms *out,
			 seam_time until, seam_err *e)
{
	lossy *l = (lossy *)p;
	int rc = l->real_platform->ops->changes(l->real_platform, since, out,
						until, e);

	if (rc)
		return rc;
	if (l->lose) {
		seam_vms_free(out);
		return seam_fail(e, SEAM_UNAVAILABLE, "answer lost");
	}
	if (out->change && l->wrong_total)
		out->total = l->wrong_total;
	l->full_lists += !out->change;
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

		seam_fake_clock_init(&clock, 1000000 * SEC);
		fake = seam_fake_platform_new(&clock.clock);
		link.base.ops = &with_cursors;
		link.real_platform = seam_fake_platform_base(fake);
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
		int rc = seam_pools_read_vm_list(ps, clock.time, &e);

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
	std::vector<std::string> platform_vms()
	{
		std::vector<std::string> out;
		seam_vms v = {};

		link.real_platform->ops->vms(link.real_platform, &v, SEAM_NEVER,
					     &e);
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
		seam_fake_clock_set(&clock, clock.time + by);
	}
};

// Guards against deleted VMs that stay in the list, new VMs that are missing,
// and a change that makes the node read the full list again.
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
	EXPECT_EQ(held(), platform_vms());
	EXPECT_EQ(held().size(), 100u);
	EXPECT_EQ(link.full_lists, 1);
	EXPECT_EQ(link.entries, 4u);
}

// Guards against an unchanged list that is taken for an outdated one: moves and
// maintenance require a recent list.
TEST_F(Vms, TimeAdvancesWithoutChanges)
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
	seam_pool_get_rules(ps, "p", clock.time, &rules);
	EXPECT_TRUE(rules.list_ok);
	seam_fake_platform_set_down(fake, true);
	for (int i = 0; i < 31; i++) {
		pass_time(SEC);
		EXPECT_EQ(read(), -1);
	}
	seam_pool_get_rules(ps, "p", clock.time, &rules);
	EXPECT_FALSE(rules.list_ok);
	EXPECT_EQ(as_of(), clock.time - 31 * SEC);
}

// Guards against changes that are lost together with an answer.
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
	EXPECT_EQ(held(), platform_vms());
	EXPECT_EQ(link.full_lists, 1);
}

// Guards against applying changes of a restarted platform to a cursor from
// before the restart.
TEST_F(Vms, RestartedPlatformSendsAFullList)
{
	put(1);
	put(2);
	ASSERT_EQ(read(), 0);
	del(1);
	put(3);
	pass_time(SEC);
	seam_fake_platform_restart(fake);
	ASSERT_EQ(read(), 0);
	EXPECT_EQ(held(), platform_vms());
	EXPECT_EQ(link.full_lists, 2);
	put(4);
	pass_time(SEC);
	ASSERT_EQ(read(), 0);
	EXPECT_EQ(held(), platform_vms());
	EXPECT_EQ(link.full_lists, 2);
}

// Guards against a gap between the cursor and the oldest change that the
// platform still has.
TEST_F(Vms, OldCursorGetsAFullList)
{
	faults.log_max = 2;
	seam_fake_platform_set_faults(fake, &faults);
	put(1);
	ASSERT_EQ(read(), 0);
	for (int i = 2; i < 9; i++)
		put(i);
	pass_time(SEC);
	ASSERT_EQ(read(), 0);
	EXPECT_EQ(held(), platform_vms());
	EXPECT_EQ(link.full_lists, 2);
	put(9);
	del(1);
	pass_time(SEC);
	ASSERT_EQ(read(), 0);
	EXPECT_EQ(held(), platform_vms());
	EXPECT_EQ(link.full_lists, 2);
}

// Guards against failures with a platform without cursors: each read is a full
// list, and an equal list does not count as a change of the fleet.
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
	EXPECT_EQ(held(), platform_vms());
	EXPECT_EQ(link.full_lists, 3);
}

// Guards against a list that stays wrong after faulty changes: a total that
// does not match causes a full read.
TEST_F(Vms, WrongTotalCausesAFullRead)
{
	put(1);
	ASSERT_EQ(read(), 0);
	link.wrong_total = 7;
	put(2);
	pass_time(SEC);
	ASSERT_EQ(read(), 0);
	EXPECT_EQ(link.full_lists, 1);
	pass_time(SEC);
	ASSERT_EQ(read(), 0);
	EXPECT_EQ(link.full_lists, 2);
}

// Guards against a fleet that stays wrong after another publisher replaced its
// content.
TEST_F(Vms, ReplacedFleetIsPublishedAgain)
{
	put(1);
	ASSERT_EQ(read(), 0);
	seam_fleet_set(fleet, nullptr, 0, clock.time);
	ASSERT_TRUE(held().empty());
	ASSERT_EQ(read(), 0);
	EXPECT_EQ(held(), platform_vms());
}

// Guards against a list that differs from the platform's after any sequence of
// changes, lost answers, restarts and gaps.
TEST_F(Vms, RandomRunsMatchThePlatformsList)
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
			seam_fake_platform_set_faults(fake, &faults);
			link.lose = r() % 5 == 0;
			link.base.ops =
				r() % 20 ? &with_cursors : &without_cursors;
			pass_time(SEC);
			if (read())
				continue;
			ASSERT_EQ(held(), platform_vms())
				<< "seed " << seed << " step " << step;
		}
	}
	EXPECT_GT(link.changes, 1000);
}
