// Pool membership of VMs, stages of moves and the availability budget.
#include <atomic>
#include <thread>

#include <unistd.h>

#include "tests/pool_fixture.h"
#include "tests/change.h"
#include "tests/http.h"
#include "tests/node.h"

static const char *const two_pools =
	"[{\"name\":\"web\",\"kind\":\"service\",\"min\":1,\"budget\":2},"
	"{\"name\":\"spare\",\"kind\":\"spare\",\"budget\":4}]";

static void set_demand(pool_fixture &w, const char *pool, int64_t vms)
{
	seam_demand_report r = {vms, 0, 1, SEAM_NEVER};

	seam_demand_set(w.demand, pool, "test", &r);
}

static void add_three_vms(pool_fixture &w)
{
	w.vm("v1", "a", "r1", "web");
	w.vm("v2", "b", "r2", "spare");
	w.vm("v3", "c", "r3", "spare");
	w.run(3 * SEC);
}

// Guards against a row that changes when it is stored and read.
TEST(Pool, RowSurvivesEncoding)
{
	seam_pool_row r = {};
	seam_pool_row back;
	seam_pool_vm m = {};
	seam_err e = SEAM_ERR_INIT;

	strcpy(r.name, "web");
	strcpy(r.note, "wants 3");
	r.forecast.want = 3;
	strcpy(m.vm, "v1");
	strcpy(m.rack, "r1");
	strcpy(m.dc, "a");
	strcpy(m.to, "batch");
	m.state = SEAM_MEMBER_REBOOTING;
	m.why = SEAM_WHY_MOVE;
	m.until = 12345;
	m.maintain_by = 99;
	m.boot = 7;
	ASSERT_NE(seam_pool_add(&r, &m), nullptr);
	m.until = SEAM_NEVER;
	strcpy(m.vm, "v0");
	ASSERT_NE(seam_pool_add(&r, &m), nullptr);
	char *text = seam_pool_row_write(&r);
	ASSERT_EQ(seam_pool_row_read(text, &back, &e), 0) << e.text;
	ASSERT_EQ(back.n, 2u);
	EXPECT_EQ(memcmp(back.member, r.member, 2 * sizeof(m)), 0);
	EXPECT_EQ(back.forecast.want, 3);
	EXPECT_EQ(back.forecast.shrink_at, SEAM_NEVER);
	EXPECT_STREQ(back.note, "wants 3");
	free(text);
	seam_pool_row_free(&r);
	seam_pool_row_free(&back);
}

// Guards against accepting a damaged row.
TEST(Pool, DamagedRowIsRefused)
{
	const char *const bad[] = {
		"",
		"{",
		"{\"name\":\"web\"}",
		"{\"name\":\"web\",\"members\":[{\"vm\":\"v\"}]}",
		"{\"name\":\"web\",\"members\":[{\"vm\":\"v\",\"state\":\"up\"}]}",
		"{\"name\":\"web\",\"members\":[{\"vm\":\"v\",\"state\":\"active\"},"
		"{\"vm\":\"v\",\"state\":\"active\"}]}"};

	for (const char *text : bad) {
		seam_pool_row r;
		seam_err e = SEAM_ERR_INIT;

		EXPECT_EQ(seam_pool_row_read(text, &r, &e), -1) << text;
		EXPECT_EQ(e.kind, SEAM_BAD_CONFIG);
	}
}

// Guards against a new VM that is in no pool or in two: a VM of an unknown pool
// goes to the spare pool, and a VM that two owners find in the list at the same
// time is adopted once.
TEST(Pool, NewVmsAreAdoptedOnce)
{
	pool_fixture w(two_pools, 2);
	std::string pool;

	w.vm("v1", "a", "r1", "web");
	w.vm("v2", "a", "r1", "gone");
	for (int i = 0; i < 2; i++)
		seam_pools_read_vm_list(w.node[i], w.clock.time, &w.e);
	for (int i = 0; i < 2; i++) {
		seam_pools_poll(w.node[i], w.clock.time, &w.e);
		seam_pools_publish(w.node[i]);
	}
	for (const char *name : {"web", "spare"}) {
		EXPECT_EQ(seam_pool_pass(seam_pools_get_or_add(w.node[0], name),
					 w.clock.time),
			  0);
		EXPECT_EQ(seam_pool_pass(seam_pools_get_or_add(w.node[1], name),
					 w.clock.time),
			  -1);
	}
	w.check();
	EXPECT_EQ(w.member("v1", &pool).state, SEAM_MEMBER_ACTIVE);
	EXPECT_EQ(pool, "web");
	w.member("v2", &pool);
	EXPECT_EQ(pool, "spare");
}

// Guards against adopting entry VMs, which are in the VM list but were created
// for no pool: in the spare pool they would be drained and rebooted.
TEST(Pool, VmsMadeForNoPoolAreLeftAlone)
{
	pool_fixture w(two_pools);

	add_three_vms(w);
	w.vm("entry", "a", "r9", "");
	w.run(5 * SEC);
	seam_row row = {};
	EXPECT_EQ(seam_store_get(w.mem, "vm/entry", &row, w.clock.time + SEC,
				 &w.e),
		  -1);
	EXPECT_EQ(w.e.kind, SEAM_NOT_FOUND);
}

// Guards against removing VMs because the VM list lags or is unavailable.
TEST(Pool, MissingVmIsRemovedAfterTheLag)
{
	pool_fixture w(two_pools);

	add_three_vms(w);
	seam_fake_platform_del(w.fake, "v1");
	w.run(5 * SEC);
	EXPECT_EQ(w.member("v1").state, SEAM_MEMBER_FAILED);
	seam_fake_platform_set_down(w.fake, true);
	w.run(300 * SEC);
	EXPECT_EQ(w.member("v1").state, SEAM_MEMBER_FAILED);
	seam_fake_platform_set_down(w.fake, false);
	w.run(3 * SEC);
	EXPECT_STREQ(w.member("v1").vm, "");
	w.vm("v1", "a", "r1", "web", SEAM_VM_LIVE, 2);
	w.run(3 * SEC);
	EXPECT_EQ(w.member("v1").state, SEAM_MEMBER_ACTIVE);
}

// Guards against a move without a graceful stop, or one that leaves the VM in
// two pools: it drains and reboots the VM, then changes its pool.
TEST(Pool, MoveHasItsStages)
{
	pool_fixture w(two_pools);
	std::string pool;

	add_three_vms(w);
	set_demand(w, "web", 2);
	w.run(3 * SEC);
	EXPECT_EQ(w.count("spare", SEAM_MEMBER_DRAINING), 1);
	EXPECT_EQ(w.size("web"), 1u);
	w.run(10 * SEC);
	seam_pool_row r = w.row("web");
	EXPECT_EQ(r.n, 2u);
	EXPECT_EQ(w.count("web", SEAM_MEMBER_ACTIVE), 2);
	EXPECT_EQ(seam_fake_platform_reboots(w.fake), 1);
	seam_pool_row_free(&r);
}

// Guards against a move that is lost or repeated when its owner terminates
// between any two passes.
TEST(Pool, OwnerKilledBetweenStages)
{
	for (int at = 1; at < 12; at++) {
		pool_fixture w(two_pools, 2);

		w.owner[1].alive = false;
		add_three_vms(w);
		set_demand(w, "web", 2);
		w.run(at * SEC);
		w.owner[0].alive = false;
		w.owner[1].alive = true;
		w.run(15 * SEC);
		EXPECT_EQ(w.count("web", SEAM_MEMBER_ACTIVE), 2) << at;
		EXPECT_EQ(w.count("spare", SEAM_MEMBER_ACTIVE), 1) << at;
		EXPECT_EQ(seam_fake_platform_reboots(w.fake), 1) << at;
	}
}

// Guards against an owner that resumes after a pause and acts on outdated rows:
// it must neither write them nor reboot the VM again.
TEST(Pool, StaleOwnerLosesTheCompareAndSet)
{
	pool_fixture w(two_pools, 2);

	w.owner[1].alive = false;
	add_three_vms(w);
	set_demand(w, "web", 2);
	w.run(2 * SEC);
	ASSERT_EQ(w.count("spare", SEAM_MEMBER_DRAINING), 1);
	seam_pools_poll(w.node[1], w.clock.time, &w.e);
	seam_pools_read_vm_list(w.node[1], w.clock.time, &w.e);
	w.run(10 * SEC);
	uint64_t before = w.row_version("spare");
	EXPECT_EQ(seam_pool_pass(seam_pools_get_or_add(w.node[1], "spare"),
				 w.clock.time),
		  -1);
	EXPECT_EQ(w.row_version("spare"), before);
	EXPECT_EQ(w.count("web", SEAM_MEMBER_ACTIVE), 2);
	EXPECT_EQ(seam_fake_platform_reboots(w.fake), 1);
}

// Guards against repeating or skipping a stage of a move when the response of
// every commit is lost.
TEST(Pool, LostAnswersAtEveryCommit)
{
	for (int drop : {0, 300, 600}) {
		pool_fixture w(two_pools);

		w.store_faults(0, false, 1000, drop);
		add_three_vms(w);
		set_demand(w, "web", 3);
		w.run(60 * SEC);
		EXPECT_EQ(w.count("web", SEAM_MEMBER_ACTIVE), 3) << drop;
		EXPECT_EQ(seam_fake_platform_reboots(w.fake), 2) << drop;
	}
}

// Guards against new work on a leaving VM during a store outage: states from
// the VM list still reach the fleet. A node without store and VM list keeps the
// last known states.
TEST(Pool, LeavingIsSeenWithoutTheStore)
{
	pool_fixture w(two_pools);
	size_t n = 0;

	add_three_vms(w);
	w.store_faults(0, true);
	w.vm("v1", "a", "r1", "web", SEAM_VM_LEAVING);
	w.run(2 * SEC);
	seam_fake_platform_set_down(w.fake, true);
	w.run(600 * SEC, 10 * SEC);
	seam_fleet_vm *f = seam_fleet_copy(w.fleet, "web", &n, nullptr);
	ASSERT_EQ(n, 1u);
	EXPECT_EQ(f[0].vm.state, SEAM_VM_LEAVING);
	free(f);
	w.store_faults(0, false);
	seam_fake_platform_set_down(w.fake, false);
	w.run(2 * SEC);
	EXPECT_EQ(w.member("v1").state, SEAM_MEMBER_DRAINING);
	EXPECT_EQ(w.member("v1").why, SEAM_WHY_LEAVING);
}

// Guards against an exceeded availability budget: each state other than active
// counts against it.
TEST(Pool, EveryCauseCountsInTheBudget)
{
	seam_pool_rules rules = {1, 2, true};

	for (int state = 0; state <= SEAM_MEMBER_FAILED; state++) {
		seam_pool_row r = {};
		seam_pool_vm m = {};

		for (const char *id : {"v1", "v2", "v3", "v4"}) {
			strcpy(m.vm, id);
			seam_pool_add(&r, &m);
		}
		r.member[0].state = state;
		EXPECT_EQ(seam_pool_may_drain(&r, &r.member[3], &rules),
			  SEAM_MAY_BEGIN);
		r.member[1].state = state;
		EXPECT_EQ(seam_pool_may_drain(&r, &r.member[3], &rules),
			  state ? SEAM_NO_BUDGET : SEAM_MAY_BEGIN);
		r.member[2].out = true;
		EXPECT_EQ(seam_pool_may_drain(&r, &r.member[3], &rules),
			  SEAM_DC_IS_OUT);
		seam_pool_row_free(&r);
	}
}

// Guards against draining a member below the pool's minimum, or with an
// outdated VM list.
TEST(Pool, PlannedWorkKeepsTheMinimum)
{
	seam_pool_row r = {};
	seam_pool_rules rules = {2, 2, true};
	seam_pool_vm m = {};

	strcpy(m.vm, "v1");
	seam_pool_add(&r, &m);
	strcpy(m.vm, "v2");
	seam_pool_add(&r, &m);
	EXPECT_EQ(seam_pool_may_drain(&r, r.member, &rules), SEAM_AT_MIN);
	rules.min = 1;
	EXPECT_EQ(seam_pool_may_drain(&r, r.member, &rules), SEAM_MAY_BEGIN);
	rules.list_ok = false;
	EXPECT_EQ(seam_pool_may_drain(&r, r.member, &rules), SEAM_STALE_LIST);
	seam_pool_row_free(&r);
}

// Guards against a VM that is stuck when the destination pool of its move is
// deleted.
TEST(Pool, MoveToADeletedPoolEndsInTheOldOne)
{
	pool_fixture w(two_pools);
	seam_fake_platform_faults f = {};
	std::string pool;

	f.reboot_time = 60 * SEC;
	seam_fake_platform_set_faults(w.fake, &f);
	add_three_vms(w);
	set_demand(w, "web", 2);
	w.run(12 * SEC); // longer than the minimum drain of 8 s
	ASSERT_EQ(w.count("spare", SEAM_MEMBER_REBOOTING), 1);
	w.pools = "[{\"name\":\"spare\",\"kind\":\"spare\",\"budget\":4}]";
	w.configure();
	w.run(SEAM_REBOOT_TIMEOUT + 200 * SEC);
	EXPECT_EQ(w.count("spare", SEAM_MEMBER_ACTIVE), 3);
	EXPECT_EQ(w.size("web"), 0u);
}

// Guards against a node that has not read a configuration yet and reverts the
// work of other nodes.
TEST(Pool, NoPassWithoutAConfiguration)
{
	pool_fixture w(two_pools, 2);

	w.owner[1].alive = false;
	add_three_vms(w);
	w.drain.busy_until["v3"] = w.drain.busy_until["v2"] = SEAM_NEVER;
	set_demand(w, "web", 2);
	w.run(5 * SEC);
	ASSERT_EQ(w.count("spare", SEAM_MEMBER_DRAINING), 1);
	uint64_t before = w.row_version("spare");
	seam_conf_cell_free(&w.conf);
	seam_conf_cell_init(&w.conf);
	w.pass(1);
	EXPECT_EQ(w.row_version("spare"), before);
}

static long call(const char *method, const std::string &path, const char *key,
		 const char *body, std::string *out)
{
	reply r = http(method, test_url(23010) + path, {bearer(key)},
		       body ? body : "");

	*out = r.body;
	return r.status;
}

class Paths : public ::testing::Test
{
      protected:
	seam_clock *clock = seam_clock_real();
	seam_store *store = seam_store_mem_new(clock);
	seam_fake_platform *platform = seam_fake_platform_new(clock);
	seam_node *node = nullptr;
	seam_err e = SEAM_ERR_INIT;
	std::string out;

	void SetUp() override
	{
		seam_settings s = test_settings("n1", 23010, 23011);
		seam_vm vm = {};

		commit_change(store, clock,
			      "{\"put\":[{\"kind\":\"data_centre\",\"object\":"
			      "{\"name\":\"a\",\"region\":\"r\"}},"
			      "{\"kind\":\"pool\",\"object\":{\"name\":\"web\","
			      "\"kind\":\"service\",\"budget\":0}}]}",
			      0);
		strcpy(vm.id, "v1");
		strcpy(vm.dc, "a");
		strcpy(vm.pool, "web");
		seam_fake_platform_put(platform, &vm);
		node = seam_node_new(&s, clock, store,
				     seam_fake_platform_base(platform), &e);
		ASSERT_EQ(seam_node_start(node, &e), 0) << e.text;
		for (int i = 0; i < 200; i++) {
			call("GET", "/v1/explain/vm/v1", "op", nullptr, &out);
			if (out.find("\"vm\"") != std::string::npos)
				break;
			usleep(50000);
		}
	}
	void TearDown() override
	{
		seam_node_free(node);
		seam_fake_platform_free(platform);
		seam_store_close(store);
	}
};

// Guards the operators' HTTP paths: key, reason and version are required, and
// the explanation names the rule that blocks maintenance of a VM.
TEST_F(Paths, OrderAndExplain)
{
	const char *start = "{\"order\":\"start\",\"reason\":\"kernel\","
			    "\"operator\":\"ana\",\"expected\":0}";

	EXPECT_EQ(call("GET", "/v1/pools", "no", nullptr, &out), 401);
	EXPECT_EQ(call("POST", "/v1/pools/web/wave", "no", start, &out), 401);
	EXPECT_EQ(call("POST", "/v1/pools/web/wave", "op",
		       "{\"order\":\"start\",\"operator\":\"ana\"}", &out),
		  400);
	EXPECT_EQ(call("POST", "/v1/pools/none/wave", "op", start, &out), 404);
	EXPECT_EQ(call("GET", "/v1/explain/vm/v1", "op", nullptr, &out), 200);
	EXPECT_NE(out.find("not due"), std::string::npos) << out;
	EXPECT_EQ(call("POST", "/v1/pools/web/wave", "op", start, &out), 200);
	EXPECT_EQ(call("POST", "/v1/pools/web/wave", "op", start, &out), 409);
	EXPECT_EQ(call("GET", "/v1/explain/vm/v1", "op", nullptr, &out), 200);
	EXPECT_NE(out.find("budget is used up"), std::string::npos) << out;
	EXPECT_NE(out.find("kernel"), std::string::npos) << out;
	EXPECT_EQ(call("GET", "/v1/explain/pool/web", "op", nullptr, &out),
		  200);
	EXPECT_NE(out.find("\"forecast\""), std::string::npos) << out;
	EXPECT_EQ(call("GET", "/v1/pools", "op", nullptr, &out), 200);
	EXPECT_NE(out.find("\"web\""), std::string::npos) << out;
}

// Guards against a deadlock: a drain that checks the other nodes with the
// targets locked, while the members' pass locks the targets.
TEST(Drain, AsksAboutMembersWithoutTheTargetsLock)
{
	seam_targets *ts = seam_targets_new(seam_clock_real());
	seam_target_drain d;
	auto can_lock = [](void *arg) {
		seam_targets *of = (seam_targets *)arg;
		std::atomic<bool> locked{false};
		std::thread other([&] {
			seam_targets_lock(of);
			locked = true;
			seam_targets_unlock(of);
		});

		for (int i = 0; i < 200 && !locked; i++)
			usleep(5000);
		bool was = locked;
		if (!was)
			seam_targets_unlock(of);
		other.join();
		if (!was)
			seam_targets_lock(of);
		return was;
	};

	seam_target_drain_init(&d, ts, can_lock, ts);
	EXPECT_TRUE(d.drain.ops->idle(&d.drain, "vm-1"));
	seam_targets_free(ts);
}

// Guards against a drain that ends too early: an unreachable node may have a
// request on the target, so missing reports must not end it (seed 7 of
// sim_test).
TEST(Pool, SilentNodesKeepATargetBusy)
{
	seam_targets *ts = seam_targets_new(seam_clock_real());
	bool current = false;
	seam_target_drain d;

	seam_target_drain_init(
		&d, ts, [](void *arg) { return *(bool *)arg; }, &current);
	EXPECT_FALSE(d.drain.ops->idle(&d.drain, "v1"));
	current = true;
	EXPECT_TRUE(d.drain.ops->idle(&d.drain, "v1"));
	seam_targets_free(ts);
}

// Guards against a drain that ends too early: an idle report must not end it
// before every node has stopped sending (5 s) and has reported its load since
// (3 s until it is suspected). With 3 s in total, seeds 39 and 71 of sim_test
// rebooted a target that was processing a request.
TEST(Pool, DrainOutlastsTheViewsOfOtherNodes)
{
	seam_time now = 1000 * SEAM_SEC;
	seam_pool_vm m = {};
	seam_vm vm = {};
	seam_vm_observation s = {};

	s.vm = &vm;
	s.list_ok = true;
	s.idle = true;
	seam_member_drain(&m, SEAM_WHY_MAINTENANCE, now, 60 * SEAM_SEC);
	s.as_of = now + 7 * SEAM_SEC;
	EXPECT_EQ(seam_member_step(&m, &s, now + 7 * SEAM_SEC), SEAM_STEP_NONE);
	EXPECT_EQ(m.state, SEAM_MEMBER_DRAINING);
	s.as_of = now + 9 * SEAM_SEC;
	EXPECT_EQ(seam_member_step(&m, &s, now + 9 * SEAM_SEC),
		  SEAM_STEP_CHANGED);
	EXPECT_EQ(m.state, SEAM_MEMBER_REBOOTING);
}
