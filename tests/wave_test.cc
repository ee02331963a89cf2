// Maintenance waves under failures, and randomised runs with several owners.
#include "tests/pool_random.h"

#include "process/pool_impl.h"

static const char *const web_pool =
	"[{\"name\":\"web\",\"kind\":\"service\",\"min\":4,\"budget\":2}]";

// Adds nine VMs in three racks, one rack in each data centre.
static void add_nine_vms(pool_fixture &w)
{
	const char *const dc[] = {"a", "b", "c"};

	for (int i = 0; i < 9; i++)
		w.vm("v" + std::to_string(i), dc[i / 3],
		     ("r" + std::to_string(i / 3)).c_str(), "web");
	w.run(2 * SEC);
}

static int maintained_since(pool_fixture &w, seam_time t)
{
	seam_pool_row r = w.row("web");
	int n = 0;

	for (size_t i = 0; i < r.n; i++)
		n += r.member[i].maintained > t;
	seam_pool_row_free(&r);
	return n;
}

static int not_active(pool_fixture &w)
{
	return (int)w.size("web") - w.count("web", SEAM_MEMBER_ACTIVE);
}

// Guards against VMs that a wave omits, and against maintenance in two racks or
// two data centres or above the budget (pool_fixture::check() in each step).
TEST(Wave, ReachesEveryVm)
{
	pool_fixture w(web_pool);

	set_reboot_faults(w);
	add_nine_vms(w);
	seam_time t = w.clock.time;
	w.order("web", SEAM_WAVE_ORDER_START);
	w.run(600 * SEC);
	EXPECT_EQ(maintained_since(w, t), 9);
	EXPECT_EQ(w.count("web", SEAM_MEMBER_ACTIVE), 9);
	EXPECT_EQ(seam_fake_platform_reboots(w.fake), 9);
}

// Guards the maintenance period of 4 weeks without orders.
TEST(Wave, ScheduleMeetsTheDeadlines)
{
	pool_fixture w(web_pool);

	set_reboot_faults(w);
	add_nine_vms(w);
	seam_time t = w.clock.time;
	w.run(57LL * 86400 * SEC, 120 * SEC);
	EXPECT_GE(seam_fake_platform_reboots(w.fake), 18);
	EXPECT_LE(seam_fake_platform_reboots(w.fake), 27);
	seam_pool_row r = w.row("web");
	for (size_t i = 0; i < r.n; i++) {
		EXPECT_GT(r.member[i].maintain_by, w.clock.time);
		EXPECT_GT(r.member[i].maintained, t + SEAM_MAINTENANCE_PERIOD);
	}
	seam_pool_row_free(&r);
}

// Guards against a wave that loses its state when the owner changes.
TEST(Wave, NewOwnerResumesFromTheRow)
{
	pool_fixture w(web_pool, 2);

	set_reboot_faults(w);
	w.owner[1].alive = false;
	add_nine_vms(w);
	seam_time t = w.clock.time;
	w.order("web", SEAM_WAVE_ORDER_START);
	for (int i = 0; i < 60; i++) {
		w.owner[i % 2].alive = true;
		w.owner[1 - i % 2].alive = false;
		w.run(13 * SEC);
	}
	EXPECT_EQ(maintained_since(w, t), 9);
	EXPECT_EQ(seam_fake_platform_reboots(w.fake), 9);
}

// Guards against new drains, and reboots without a recorded drain, while the
// store is unavailable for an hour. The wave continues afterwards.
TEST(Wave, StoreDownForAnHour)
{
	for (int at = 1; at < 60; at += 7) {
		pool_fixture w(web_pool);

		set_reboot_faults(w);
		add_nine_vms(w);
		seam_time t = w.clock.time;
		w.order("web", SEAM_WAVE_ORDER_START);
		w.run(at * SEC);
		uint64_t before = w.row_version("web");
		int rebooting = w.count("web", SEAM_MEMBER_REBOOTING);
		int reboots = seam_fake_platform_reboots(w.fake);
		w.store_faults(0, true);
		w.run(3600 * SEC, 10 * SEC);
		EXPECT_EQ(w.row_version("web"), before);
		EXPECT_LE(seam_fake_platform_reboots(w.fake),
			  reboots + rebooting);
		w.store_faults(0, false);
		w.run(600 * SEC);
		EXPECT_EQ(maintained_since(w, t), 9) << at;
		EXPECT_EQ(seam_fake_platform_reboots(w.fake), 9) << at;
	}
}

// Guards against accepting the orders of two operators at the same version.
TEST(Wave, StartAndHaltAtOnce)
{
	pool_fixture w(web_pool, 2);
	seam_wave_order a = {};
	seam_wave_order b = {};

	add_nine_vms(w);
	a.order = SEAM_WAVE_ORDER_START;
	b.order = SEAM_WAVE_ORDER_HALT;
	for (auto *o : {&a, &b}) {
		strcpy(o->reason, "r");
		strcpy(o->operator_name, "o");
	}
	EXPECT_EQ(seam_wave_set_order(w.node[0], "web", &a, w.clock.time, &w.e),
		  0);
	EXPECT_EQ(seam_wave_set_order(w.node[1], "web", &b, w.clock.time, &w.e),
		  -1);
	EXPECT_EQ(w.e.kind, SEAM_CONFLICT);
	b.reason[0] = '\0';
	EXPECT_EQ(seam_wave_set_order(w.node[1], "web", &b, w.clock.time, &w.e),
		  -1);
	EXPECT_EQ(w.e.kind, SEAM_BAD_REQUEST);
}

// Guards against planned work that starts after an accepted halt because the
// owner has not read the halt yet.
TEST(Wave, HaltIsExact)
{
	pool_fixture w(web_pool);

	set_reboot_faults(w);
	add_nine_vms(w);
	w.order("web", SEAM_WAVE_ORDER_START);
	seam_pools_poll(w.node[0], w.clock.time, &w.e);
	w.order("web", SEAM_WAVE_ORDER_HALT);
	EXPECT_EQ(seam_pool_pass(seam_pools_get_or_add(w.node[0], "web"),
				 w.clock.time),
		  -1);
	w.run(600 * SEC);
	EXPECT_EQ(seam_fake_platform_reboots(w.fake), 0);
	EXPECT_EQ(w.count("web", SEAM_MEMBER_ACTIVE), 9);
}

// Guards against VMs that stay drained, without work, after a halt.
TEST(Wave, HaltGivesDrainsBack)
{
	pool_fixture w(web_pool);

	add_nine_vms(w);
	for (int i = 0; i < 9; i++)
		w.drain.busy_until["v" + std::to_string(i)] = SEAM_NEVER;
	w.order("web", SEAM_WAVE_ORDER_START);
	w.run(5 * SEC);
	EXPECT_EQ(w.count("web", SEAM_MEMBER_DRAINING), 2);
	w.order("web", SEAM_WAVE_ORDER_HALT);
	w.run(3 * SEC);
	EXPECT_EQ(w.count("web", SEAM_MEMBER_ACTIVE), 9);
	EXPECT_TRUE(w.drain.begun.empty());
}

// Guards against a wave that exceeds the availability budget: the failure of a
// rack uses it up and stops the wave.
TEST(Wave, RackFailsDuringTheWave)
{
	pool_fixture w(web_pool);

	add_nine_vms(w);
	for (int i = 0; i < 9; i++)
		w.drain.busy_until["v" + std::to_string(i)] =
			w.clock.time + 20 * SEC;
	w.order("web", SEAM_WAVE_ORDER_START);
	w.run(5 * SEC);
	std::string rack = "r2";
	for (int i = 6; i < 9; i++) {
		if (w.member("v" + std::to_string(i)).state !=
		    SEAM_MEMBER_ACTIVE)
			rack = "r0";
	}
	int first = rack == "r2" ? 6 : 0;
	for (int i = first; i < first + 3; i++)
		seam_fake_platform_del(w.fake,
				       ("v" + std::to_string(i)).c_str());
	w.run(3 * SEC);
	EXPECT_EQ(w.count("web", SEAM_MEMBER_DRAINING), 0);
	EXPECT_EQ(w.count("web", SEAM_MEMBER_FAILED), 3);
	w.run(20 * SEC);
	EXPECT_EQ(seam_fake_platform_reboots(w.fake), 0);
}

// Guards against planned work while a data centre is out, and against a wave
// that does not continue after its return.
TEST(Wave, DataCentreOutAndBack)
{
	pool_fixture w(web_pool);

	set_reboot_faults(w);
	add_nine_vms(w);
	seam_time t = w.clock.time;
	w.order("web", SEAM_WAVE_ORDER_START);
	w.run(2 * SEC);
	EXPECT_EQ(w.count("web", SEAM_MEMBER_DRAINING), 2);
	w.out("b", true);
	w.run(300 * SEC);
	EXPECT_EQ(w.count("web", SEAM_MEMBER_ACTIVE), 9);
	EXPECT_EQ(seam_fake_platform_reboots(w.fake), 0);
	w.out("b", false);
	w.run(600 * SEC);
	EXPECT_EQ(maintained_since(w, t), 9);
}

// Guards against a wave that continues while rebooted VMs do not return.
TEST(Wave, VmNeverComesBack)
{
	pool_fixture w(web_pool);

	set_reboot_faults(w, 1000);
	add_nine_vms(w);
	w.order("web", SEAM_WAVE_ORDER_START);
	w.run(SEAM_REBOOT_TIMEOUT - 60 * SEC);
	EXPECT_EQ(seam_fake_platform_reboots(w.fake), 2);
	EXPECT_EQ(not_active(w), 2);
	w.run(70 * SEC);
	EXPECT_EQ(w.count("web", SEAM_MEMBER_FAILED), 2);
	EXPECT_EQ(seam_fake_platform_reboots(w.fake), 2);
}

// Guards against a VM that stays failed because the platform was unavailable
// until the deadline of its reboot (Random.InvariantsHold/4).
TEST(Wave, PlatformDownForTheWholeReboot)
{
	pool_fixture w(web_pool);

	add_nine_vms(w);
	w.order("web", SEAM_WAVE_ORDER_START);
	w.drain.busy_until["v0"] = w.clock.time + 6 * SEC;
	w.run(2 * SEC);
	seam_fake_platform_set_down(w.fake, true);
	w.run(10 * SEC);
	EXPECT_GT(w.count("web", SEAM_MEMBER_REBOOTING), 0);
	w.run(SEAM_REBOOT_TIMEOUT + 60 * SEC);
	seam_fake_platform_set_down(w.fake, false);
	w.run(600 * SEC);
	EXPECT_EQ(w.count("web", SEAM_MEMBER_ACTIVE), 9);
	EXPECT_EQ(seam_fake_platform_reboots(w.fake), 9);
}

// Guards against a second reboot when the response of the platform is lost and
// the owner terminates before the reboot is observed.
TEST(Wave, LostPlatformAnswerRebootsOnce)
{
	pool_fixture w(web_pool, 2);

	set_reboot_faults(w, 0, 1000);
	w.owner[1].alive = false;
	add_nine_vms(w);
	w.order("web", SEAM_WAVE_ORDER_START);
	w.run(20 * SEC);
	w.owner[0].alive = false;
	w.owner[1].alive = true;
	w.run(600 * SEC);
	EXPECT_EQ(w.count("web", SEAM_MEMBER_ACTIVE), 9);
	EXPECT_EQ(seam_fake_platform_reboots(w.fake), 9);
}

// Guards against planned work with a VM list too old to show failures.
TEST(Wave, WaitsForAFreshList)
{
	pool_fixture w(web_pool);

	add_nine_vms(w);
	seam_fake_platform_set_down(w.fake, true);
	w.run(40 * SEC);
	w.order("web", SEAM_WAVE_ORDER_START);
	w.run(300 * SEC);
	EXPECT_EQ(w.count("web", SEAM_MEMBER_ACTIVE), 9);
	seam_fake_platform_set_down(w.fake, false);
	w.run(300 * SEC);
	EXPECT_EQ(seam_fake_platform_reboots(w.fake), 9);
}

// Guards against a wave that is blocked, for example by a persistent failure
// that uses up the budget, without the right explanation.
TEST(Wave, ExplainsTheRefusal)
{
	seam_pool_row r = {};
	seam_pool_rules rules = {0, 1, true};
	seam_wave_order order = {};
	seam_pool_vm m = {};
	seam_time now = 100;

	m.maintain_by = now;
	strcpy(m.rack, "r");
	for (const char *id : {"v1", "v2", "v3"}) {
		strcpy(m.vm, id);
		strcpy(m.dc, id);
		seam_pool_add(&r, &m);
	}
	auto why = [&] {
		return seam_wave_may_begin(&r, &r.member[0], &rules, &order,
					   now);
	};
	EXPECT_EQ(why(), SEAM_MAY_BEGIN);
	r.member[1].state = SEAM_MEMBER_FAILED;
	EXPECT_EQ(why(), SEAM_NO_BUDGET);
	r.member[1].state = SEAM_MEMBER_REBOOTING;
	r.member[1].why = SEAM_WHY_MAINTENANCE;
	EXPECT_EQ(why(), SEAM_OTHER_DC);
	strcpy(r.member[1].dc, "v1");
	strcpy(r.member[1].rack, "q");
	EXPECT_EQ(why(), SEAM_OTHER_RACK);
	r.member[1].state = SEAM_MEMBER_ACTIVE;
	order.order = SEAM_WAVE_ORDER_HALT;
	EXPECT_EQ(why(), SEAM_HALTED);
	r.member[0].maintain_by = SEAM_NEVER;
	EXPECT_EQ(why(), SEAM_NOT_DUE);
	seam_pool_row_free(&r);
}

class InvariantTest : public ::testing::Test
{
      protected:
	long before = seam_invariant_count();

	void SetUp() override
	{
		seam_invariant_set_abort(false);
	}
	void TearDown() override
	{
		seam_invariant_set_abort(true);
	}
	bool failed()
	{
		return seam_invariant_count() > before;
	}
};

// Each of the following tests shows that an invariant of the runs can fail.
TEST_F(InvariantTest, BudgetOverAllRows)
{
	pool_fixture w(web_pool);

	add_nine_vms(w);
	w.check();
	EXPECT_FALSE(failed());
	seam_pool_row r = w.row("web");
	for (int i = 0; i < 3; i++)
		seam_member_drain(&r.member[i], SEAM_WHY_MAINTENANCE, 0, 1);
	char *text = seam_pool_row_write(&r);
	seam_write op = {SEAM_PUT, "pool/web", r.version, text, strlen(text)};
	seam_commit c = {&op, 1, 1, 0};
	ASSERT_EQ(seam_store_commit(w.mem, &c, SEAM_NEVER, &w.e), 0);
	w.check();
	EXPECT_TRUE(failed());
	free(text);
	seam_pool_row_free(&r);
}

TEST_F(InvariantTest, VmInTwoPools)
{
	pool_fixture w(web_pool);
	const char *text = "{\"name\":\"x\",\"members\":[{\"vm\":\"v1\","
			   "\"state\":\"active\"}]}";

	add_nine_vms(w);
	seam_write op = {SEAM_PUT, "pool/x", SEAM_ABSENT, text, strlen(text)};
	seam_commit c = {&op, 1, 1, 0};
	ASSERT_EQ(seam_store_commit(w.mem, &c, SEAM_NEVER, &w.e), 0);
	w.check();
	EXPECT_TRUE(failed());
}

TEST_F(InvariantTest, RebootWithoutADrain)
{
	pool_fixture w(web_pool);

	add_nine_vms(w);
	w.drain.begun["v1"] = w.clock.time;
	w.platform.base.ops->reboot(&w.platform.base, "v1", 1, 0, &w.e);
	EXPECT_FALSE(failed());
	w.platform.base.ops->reboot(&w.platform.base, "v2", 1, 0, &w.e);
	EXPECT_TRUE(failed());
}

TEST_F(InvariantTest, VmPastItsDeadline)
{
	pool_fixture w(
		"[{\"name\":\"web\",\"kind\":\"service\",\"budget\":0}]");

	add_nine_vms(w);
	w.check_deadlines();
	EXPECT_FALSE(failed());
	w.run(29LL * 86400 * SEC, 3600 * SEC);
	w.check_deadlines();
	EXPECT_TRUE(failed());
}

// The invariants that the program checks after each commit: each fails for some
// cases and holds for similar ones.
TEST_F(InvariantTest, ProgramsOwnInvariants)
{
	const struct {
		const char *from, *to;
		seam_pool_rules rules;
		bool fails;
	} cases[] = {
		{"aaaa", "daaa", {1, 1, true}, false},
		{"aaaa", "ddaa", {1, 1, true}, true},
		{"aaaf", "daaf", {1, 1, true}, true},
		{"daaa", "daaf", {1, 1, true}, false},
		{"aaaa", "daaa", {4, 2, true}, true},
		{"aaao", "daao", {1, 2, true}, true},
		{"daaa", "raaa", {1, 1, true}, false},
		{"aaaa", "raaa", {1, 1, true}, true},
	};

	for (auto &c : cases) {
		seam_pool_row a = make_row(c.from);
		seam_pool_row b = make_row(c.to);

		before = seam_invariant_count();
		seam_pool_check_invariants(&a, &b, &c.rules);
		EXPECT_EQ(failed(), c.fails) << c.from << " " << c.to;
		seam_pool_row_free(&a);
		seam_pool_row_free(&b);
	}
}

class Random : public ::testing::TestWithParam<int>
{
};

// Guards against exceeded availability budgets, a VM in two pools and a reboot
// without a drain, in random sequences of events: three nodes that all act as
// owners of every pool, with faults of the store, the platform, the VM list
// and the data centres, and random orders. A failed invariant aborts the run.
TEST_P(Random, InvariantsHold)
{
	random_run r(GetParam());
	long before = seam_invariant_count();

	r.demand_changes();
	for (int i = 0; i < 1500; i++) {
		if (r.one_in(4))
			r.event();
		r.w.run((1 + r.rng() % 10) * SEC);
	}
	EXPECT_GT(seam_fake_platform_reboots(r.w.fake), 20);
	r.converge();
	EXPECT_EQ(seam_invariant_count(), before);
}

INSTANTIATE_TEST_SUITE_P(Seeds, Random, ::testing::Range(1, 7));

// Guards the maintenance deadline under common faults: changes of the owner, a
// store that loses responses or commits, and a platform that loses responses.
TEST_P(Random, DeadlinesHoldWhenFaultsLeaveRoom)
{
	random_run r(GetParam() + 100);

	set_reboot_faults(r.w, 0, 200);
	for (int i = 0; i < 30 * 24; i++) {
		size_t o = r.rng() % 3;

		for (size_t j = 0; j < 3; j++)
			r.w.owner[j].alive = j == o;
		r.w.store_faults(o, false, 100, 100);
		r.w.run(3600 * SEC, 120 * SEC);
		r.w.check_deadlines();
	}
	EXPECT_GE(seam_fake_platform_reboots(r.w.fake), 32);
}
