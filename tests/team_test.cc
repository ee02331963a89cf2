// Tests of team limits over several nodes: single failures, pairs of failures,
// and long randomised runs.
#include <atomic>
#include <chrono>
#include <thread>

#include "process/team_impl.h"
#include "tests/team_fixture.h"

// Guards against units that stay unused on one node while another refuses
// requests.
TEST(Teams, UnitsFollowDemand)
{
	fleet f(9, 1, 90);

	f.run(3 * SEAM_SEC);
	EXPECT_GE(f.apply_load({0}, 0, 20 * SEAM_SEC), 54);
	EXPECT_GE(f.apply_load({4}, 0, 40 * SEAM_SEC), 54);
	EXPECT_GE(f.apply_load({0, 1, 2, 3, 4, 5, 6, 7, 8}, 0, 40 * SEAM_SEC),
		  85);
}

// Guards against refusing the first request on an idle node although units are
// available: it waits for the grant. A team at its limit is refused after the
// wait.
TEST(Teams, FirstRequestWaitsForAGrant)
{
	seam_clock *real = seam_clock_real();
	seam_store *s = seam_store_mem_new(real);
	seam_teams_self self = {};
	seam_team_terms terms = {};
	std::atomic<bool> stop{false};
	seam_err e = SEAM_ERR_INIT;

	snprintf(self.node, sizeof(self.node), "n");
	self.incarnation = 1;
	self.clock = real;
	self.store = s;
	self.owner = seam_owner_all();
	self.seed = 5;
	seam_teams *t = seam_teams_new(&self);
	snprintf(terms.name, sizeof(terms.name), "t");
	terms.limit = 2;
	terms.conf = 1;
	seam_teams_configure(t, 1, &terms, 1);
	seam_admit *a = seam_teams_admit(t);
	EXPECT_EQ(a->ops->take(a, "t", 1, seam_now(real), &e), -1);
	std::thread passes([&] {
		while (!stop) {
			seam_teams_pass(t, seam_now(real));
			std::this_thread::sleep_for(
				std::chrono::milliseconds(20));
		}
	});
	for (int i = 0; i < 2; i++) {
		a->ops->wait(a, "t", 1, seam_now(real) + 60 * SEAM_SEC);
		EXPECT_EQ(a->ops->take(a, "t", 1, seam_now(real), &e), 0)
			<< e.text;
	}
	EXPECT_FALSE(a->ops->wait(a, "t", 1, seam_now(real) + SEAM_SEC / 2));
	EXPECT_EQ(a->ops->take(a, "t", 1, seam_now(real), &e), -1);
	stop = true;
	passes.join();
	a->ops->release(a, "t", 2, seam_now(real));
	seam_teams_free(t);
	seam_store_close(s);
}

// Guards the floor: a data centre without the store serves up to its floor, and
// the others use the rest.
TEST(Teams, PartitionedDataCentreServesFloor)
{
	fleet f(9, 1, 90);

	f.run(5 * SEAM_SEC);
	f.apply_load({0, 3, 6}, 0, 20 * SEAM_SEC);
	for (int i : {1, 4, 7})
		f.set_store_faults(i, true, 0, 0);
	EXPECT_GE(f.apply_load({1, 4, 7}, 0, 5 * SEAM_SEC), 15);
	f.apply_load({0, 3, 6, 1, 4, 7}, 0, 30 * SEAM_SEC);
}

// Guards against an exceeded limit when a node is killed with requests at
// targets: its units stay counted until the longest request must have ended and
// are then reclaimed.
TEST(Teams, KilledNodeKeepsItsUnitsUntilItsRequestsEnded)
{
	fleet f(3, 1, 60);

	f.apply_load({1}, 0, 10 * SEAM_SEC);
	int64_t had = f.units(1, 0);
	ASSERT_GE(had, 30);
	f.start_requests(1, 0, 100, 29 * SEAM_SEC);
	f.kill(1);
	f.start(1); // a newer incarnation: reclaimed without the VM list
	seam_time killed = f.clock.time;
	while (f.clock.time < killed + 28 * SEAM_SEC) {
		f.apply_load({0, 2}, 0, SEAM_SEC);
		seam_ledger l = f.ledger(0);
		ASSERT_EQ(seam_ledger_find(&l, "node:n1#1")->units, had);
		seam_ledger_free(&l);
	}
	f.run(25 * SEAM_SEC);
	EXPECT_GE(f.apply_load({0, 2, 1}, 0, 30 * SEAM_SEC), 55);
}

// Guards against reclaiming the units of a node that cannot reach the store but
// whose VM is listed, and against never reclaiming those of a removed VM.
TEST(Teams, OnlyMissingVmsAreReclaimed)
{
	fleet f(3, 1, 60);

	f.apply_load({1, 2}, 0, 10 * SEAM_SEC);
	f.set_store_faults(1, true, 0, 0);
	f.kill(2);
	f.listed[2] = false;
	int64_t had = f.units(1, 0);
	f.run(25 * SEAM_SEC);
	seam_ledger l = f.ledger(0);
	EXPECT_NE(seam_ledger_find(&l, "node:n2#1"), nullptr);
	seam_ledger_free(&l);
	f.run(80 * SEAM_SEC);
	l = f.ledger(0);
	EXPECT_EQ(seam_ledger_find(&l, "node:n2#1"), nullptr);
	EXPECT_EQ(seam_ledger_find(&l, "node:n1#1")->units, had);
	seam_ledger_free(&l);
}

// Guards against reclaiming the units of a node whose VM is listed again: the
// mark must be cleared.
TEST(Teams, VmThatReturnsIsNotReclaimed)
{
	fleet f(3, 1, 60);

	f.apply_load({1}, 0, 10 * SEAM_SEC);
	f.set_store_faults(1, true, 0, 0);
	f.listed[1] = false;
	f.run(50 * SEAM_SEC);
	seam_ledger l = f.ledger(0);
	ASSERT_NE(seam_ledger_find(&l, "node:n1#1")->reclaim_at, 0);
	seam_ledger_free(&l);
	f.listed[1] = true;
	f.run(60 * SEAM_SEC);
	l = f.ledger(0);
	ASSERT_NE(seam_ledger_find(&l, "node:n1#1"), nullptr);
	EXPECT_EQ(seam_ledger_find(&l, "node:n1#1")->reclaim_at, 0);
	seam_ledger_free(&l);
}

// Guards against releasing the units of a request with an unknown end before it
// must have ended.
TEST(Teams, UnknownEndHoldsUnits)
{
	fleet f(1, 1, 30);

	f.apply_load({0}, 0, 5 * SEAM_SEC);
	f.run(5 * SEAM_SEC);
	int n = 0;
	while (f.start_request(0, 0, 29 * SEAM_SEC, false))
		n++;
	ASSERT_GT(n, 5);
	f.run(28 * SEAM_SEC);
	seam_team_info info = {};
	seam_teams_info(f.nodes[0].t, "t0", &info);
	EXPECT_EQ(info.held, n);
	f.run(4 * SEAM_SEC);
	seam_teams_info(f.nodes[0].t, "t0", &info);
	EXPECT_EQ(info.held, 0);
	EXPECT_EQ(info.running, 0);
}

// Guards against an exceeded limit when it is lowered, finally to 0, while all
// units are in use.
TEST(Teams, LimitLoweredWhileAllIsRunning)
{
	fleet f(3, 1, 60);

	f.apply_load({0, 1, 2}, 0, 20 * SEAM_SEC);
	// Wait for the work of apply_load() to end. If it ended below, its
	// units could be used once the row is within the new limit.
	f.run(2 * SEAM_SEC);
	for (int i = 0; i < 3; i++)
		f.start_requests(i, 0, 100, 20 * SEAM_SEC);
	ASSERT_GE(f.in_use(0), 50);
	f.set_limit(0, 20);
	f.step();
	f.run(SEAM_SEC);
	ASSERT_GE(f.in_use(0), 50);
	int more = 0;
	for (int i = 0; i < 3; i++)
		more += f.start_requests(i, 0, 1);
	EXPECT_EQ(more, 0) << "new work above the new limit";
	f.run(25 * SEAM_SEC);
	int64_t now = f.apply_load({0, 1, 2}, 0, 20 * SEAM_SEC);
	EXPECT_LE(now, 20);
	EXPECT_GE(now, 17);
	f.set_limit(0, 0);
	f.run(5 * SEAM_SEC);
	EXPECT_EQ(f.apply_load({0, 1, 2}, 0, 3 * SEAM_SEC), 0);
	f.set_limit(0, 30);
	EXPECT_GE(f.apply_load({0, 1, 2}, 0, 20 * SEAM_SEC), 27);
}

// Guards against an exceeded limit when it is lowered while the store does not
// answer and a commit of the node's grant is pending: the configuration came
// from a peer.
TEST(Teams, LimitLoweredWhileCommitIsPending)
{
	fleet f(3, 1, 60, 2);

	f.apply_load({0, 1, 2}, 0, 10 * SEAM_SEC);
	f.set_store_faults(1, false, 0, 1000);
	f.apply_load({1}, 0, 5 * SEAM_SEC);
	f.set_store_faults(1, true, 0, 0);
	f.run(SEAM_SEC);
	f.set_limit(0, 10);
	EXPECT_EQ(f.start_requests(1, 0, 50), 0);
	f.run(20 * SEAM_SEC);
	EXPECT_EQ(f.start_requests(1, 0, 50), 0);
	f.set_store_faults(1, false, 0, 0);
	EXPECT_GE(f.apply_load({0, 1, 2}, 0, 20 * SEAM_SEC), 8);
}

// Guards against rows that remain after their team is deleted, and against
// units of the old row after the team is created again.
TEST(Teams, DeletedTeam)
{
	fleet f(3, 1, 60);

	f.apply_load({0, 1}, 0, 10 * SEAM_SEC);
	f.set_limit(0, -1);
	f.run(10 * SEAM_SEC);
	seam_row row = {};
	EXPECT_EQ(seam_store_get(f.store, "team/t0", &row, f.clock.time, &f.e),
		  -1);
	EXPECT_EQ(f.e.kind, SEAM_NOT_FOUND);
	EXPECT_FALSE(f.start_request(0, 0, SEAM_SEC));
	f.set_limit(0, 10);
	EXPECT_GE(f.apply_load({0, 1, 2}, 0, 20 * SEAM_SEC), 8);
}

// Guards against use of a grant whose commit did not apply, and against a grant
// that stays pending after the answer of its commit was lost.
TEST(Teams, LostAnswersAtEachStep)
{
	fleet f(3, 1, 60, 5);

	for (int round = 0; round < 20; round++) {
		for (int i = 0; i < 3; i++)
			f.set_store_faults(i, false, round % 2 ? 900 : 300,
					   round % 3 ? 0 : 500);
		f.apply_load({round % 3}, 0, 5 * SEAM_SEC);
	}
	for (int i = 0; i < 3; i++)
		f.set_store_faults(i, false, 0, 0);
	EXPECT_GE(f.apply_load({0, 1, 2}, 0, 25 * SEAM_SEC), 54);
}

// Guards against a loss of units in a store outage while grants change: nodes
// continue with the units that they hold.
TEST(Teams, StoreDownWhileGrantsMove)
{
	fleet f(3, 1, 60);

	f.apply_load({0}, 0, 10 * SEAM_SEC);
	f.apply_load({1}, 0, 2 * SEAM_SEC);
	int64_t had = f.units(0, 0);
	for (int i = 0; i < 3; i++)
		f.set_store_faults(i, true, 0, 0);
	f.run(60 * SEAM_SEC);
	EXPECT_LE(f.apply_load({0}, 0, 10 * SEAM_SEC), had);
	EXPECT_EQ(f.units(0, 0), had);
	EXPECT_GE(f.apply_load({0}, 0, 5 * SEAM_SEC), had);
	for (int i = 0; i < 3; i++)
		f.set_store_faults(i, false, 0, 0);
	EXPECT_GE(f.apply_load({0, 1, 2}, 0, 30 * SEAM_SEC), 54);
}

// Guards against a node that resumes with an old copy of the row after the
// limit was lowered and others were granted the units that it had released.
TEST(Teams, PausedNodeResumes)
{
	fleet f(3, 1, 60);

	f.apply_load({0, 1, 2}, 0, 15 * SEAM_SEC);
	f.nodes[2].paused_until = f.clock.time + 240 * SEAM_SEC;
	f.set_limit(0, 30);
	f.apply_load({0, 1}, 0, 240 * SEAM_SEC);
	f.start_requests(2, 0, 100);
	f.apply_load({0, 1, 2}, 0, 30 * SEAM_SEC);
	EXPECT_GE(f.apply_load({0, 1, 2}, 0, 20 * SEAM_SEC), 27);
}

// Guards the limit when two nodes race for the last units.
TEST(Teams, RaceForTheLastUnits)
{
	fleet f(2, 1, 7);

	f.set_limit(0, 5);
	for (int round = 0; round < 30; round++) {
		f.apply_load({0, 1}, 0, SEAM_SEC, 300 * SEAM_MSEC);
		f.nodes[0].pass_at = f.nodes[1].pass_at = f.clock.time;
	}
	EXPECT_LE(f.apply_load({0, 1}, 0, 5 * SEAM_SEC), 5);
}

// Guards against grants based on a damaged row: the nodes keep their units and
// continue when the row is valid again.
TEST(Teams, DamagedRowFreezesGrants)
{
	fleet f(3, 1, 60);
	seam_row row = {};

	f.apply_load({0, 1}, 0, 10 * SEAM_SEC);
	int64_t had = f.units(0, 0);
	ASSERT_EQ(seam_store_get(f.store, "team/t0", &row, f.clock.time, &f.e),
		  0);
	std::string whole = row.data;
	seam_row_free(&row);
	f.put("team/t0", "{\"team\":\"t0\",\"limit\":");
	f.run_passes(100);
	EXPECT_EQ(f.units(0, 0), had);
	seam_team_info info = {};
	seam_teams_info(f.nodes[0].t, "t0", &info);
	EXPECT_TRUE(info.damaged);
	f.put("team/t0", whole);
	EXPECT_GE(f.apply_load({0, 1, 2}, 0, 20 * SEAM_SEC), 54);
}

// Guards the operators' procedure for a damaged row: limit 0 stops the team on
// every node although the row cannot be read, then the row is deleted.
TEST(Teams, DamagedRowIsReplacedByOperators)
{
	fleet f(3, 1, 60);

	f.apply_load({0, 1, 2}, 0, 10 * SEAM_SEC);
	f.put("team/t0", "{");
	f.run_passes(60);
	f.set_limit(0, 0);
	for (int i = 0; i < 3; i++)
		EXPECT_FALSE(f.start_request(i, 0, SEAM_SEC, true, 1, false));
	f.run_passes(620);
	seam_write w = {SEAM_DELETE, "team/t0", SEAM_ANY_VERSION, nullptr, 0};
	seam_commit c = {&w, 1, 1, 0};
	ASSERT_EQ(seam_store_commit(f.store, &c, f.clock.time, &f.e), 0);
	f.set_limit(0, 30);
	EXPECT_GE(f.apply_load({0, 1, 2}, 0, 20 * SEAM_SEC), 27);
}

// Checks that the invariant on use at the targets fires: a node that keeps its
// units after they were granted to others makes the fleet exceed the limit.
TEST(Teams, InvariantOnUseAtTargetsFires)
{
	fleet f(3, 1, 60);

	f.apply_load({1}, 0, 10 * SEAM_SEC);
	f.set_store_faults(1, true, 0, 0);
	f.run(5 * SEAM_SEC);
	f.put("team/t0", "{\"team\":\"t0\",\"limit\":60,\"ceiling\":60,"
			 "\"conf\":1,\"grants\":{}}");
	long before = seam_invariant_count();
	seam_invariant_set_abort(false);
	f.apply_load({0, 1, 2}, 0, 20 * SEAM_SEC);
	seam_invariant_set_abort(true);
	EXPECT_GT(seam_invariant_count(), before);
}

// Checks that the invariant in admission fires when units are released twice.
TEST(Teams, InvariantOnReleaseFires)
{
	fleet f(1, 1, 60);
	seam_admit *a = f.admit(0);

	f.run(2 * SEAM_SEC);
	long before = seam_invariant_count();
	seam_invariant_set_abort(false);
	a->ops->release(a, "t0", 1, f.clock.time);
	seam_invariant_set_abort(true);
	EXPECT_EQ(seam_invariant_count(), before + 1);
}

// Checks that the invariant in admission fires when use exceeds the grant.
TEST(Teams, InvariantOnTakeFires)
{
	fleet f(1, 1, 60);

	f.run(2 * SEAM_SEC);
	long before = seam_invariant_count();
	seam_team_slot *s = seam_teams_slot(f.nodes[0].t, "t0");
	s->cap = s->units + 1;
	seam_invariant_set_abort(false);
	while (f.start_request(0, 0, SEAM_SEC))
		continue;
	seam_invariant_set_abort(true);
	EXPECT_EQ(seam_invariant_count(), before + 1);
}

// Guards against a pair of failures: a node is killed while its raise is
// pending, and the limit is lowered before a newer incarnation starts.
TEST(Teams, KilledWithPendingRaiseAsLimitFalls)
{
	fleet f(3, 1, 60, 3);

	f.apply_load({0, 2}, 0, 10 * SEAM_SEC);
	f.set_store_faults(1, false, 1000, 0);
	f.apply_load({1}, 0, SEAM_SEC, 25 * SEAM_SEC);
	f.kill(1);
	f.set_limit(0, 24);
	f.set_store_faults(1, false, 0, 0);
	f.start(1);
	f.apply_load({0, 1, 2}, 0, 60 * SEAM_SEC);
	EXPECT_GE(f.apply_load({0, 1, 2}, 0, 20 * SEAM_SEC), 21);
}

// Guards against a pair of failures: the store is down while a node is paused
// and its VM is missing from the list for some time.
TEST(Teams, StoreDownWhileANodeIsPausedAndUnlisted)
{
	fleet f(3, 1, 60, 4);

	f.apply_load({0, 1, 2}, 0, 10 * SEAM_SEC);
	f.nodes[1].paused_until = f.clock.time + 45 * SEAM_SEC;
	f.listed[1] = false;
	f.set_store_faults(0, true, 0, 0);
	f.set_store_faults(2, true, 0, 0);
	f.apply_load({0, 2}, 0, 45 * SEAM_SEC);
	f.listed[1] = true;
	f.set_store_faults(0, false, 0, 0);
	f.set_store_faults(2, false, 0, 0);
	EXPECT_GE(f.apply_load({0, 1, 2}, 0, 25 * SEAM_SEC), 54);
}

// Guards against data races in admission: callers take and release units while
// grants change.
TEST(Teams, AdmissionFromManyThreads)
{
	fleet f(2, 1, 40);
	std::vector<std::thread> threads;
	int64_t in_use = 0;
	int over = 0;
	bool stop = false;

	f.run(2 * SEAM_SEC);
	seam_time now = f.clock.time;
	for (int i = 0; i < 4; i++)
		threads.emplace_back([&, i] {
			seam_admit *a = f.admit(i % 2);
			seam_err e = SEAM_ERR_INIT;
			while (!__atomic_load_n(&stop, __ATOMIC_ACQUIRE)) {
				if (a->ops->take(a, "t0", 1, now, &e))
					continue;
				if (__atomic_add_fetch(&in_use, 1,
						       __ATOMIC_SEQ_CST) > 40)
					__atomic_fetch_add(&over, 1,
							   __ATOMIC_RELAXED);
				__atomic_fetch_sub(&in_use, 1,
						   __ATOMIC_SEQ_CST);
				a->ops->release(a, "t0", 1, now);
			}
		});
	for (int i = 0; i < 300; i++)
		f.step(200 * SEAM_MSEC);
	__atomic_store_n(&stop, true, __ATOMIC_RELEASE);
	for (auto &t : threads)
		t.join();
	EXPECT_EQ(over, 0);
	seam_team_info info = {};
	seam_teams_info(f.nodes[0].t, "t0", &info);
	EXPECT_EQ(info.running, 0);
}

static void random_fault(fleet &f)
{
	int i = (int)(f.rnd() % f.nodes.size());

	switch (f.rnd() % 8) {
	case 0:
		f.set_store_faults(i, true, 0, 0);
		break;
	case 1:
		f.set_store_faults(i, false, 500, 300);
		break;
	case 2:
	case 3:
		f.set_store_faults(i, false, 0, 0);
		break;
	case 4:
		f.nodes[i].paused_until =
			f.clock.time + (seam_time)(f.rnd() % 240) * SEAM_SEC;
		break;
	case 5:
		if (f.nodes[i].alive)
			f.kill(i);
		f.listed[i] = f.rnd() % 2;
		break;
	case 6:
		if (!f.nodes[i].alive)
			f.start(i);
		f.listed[i] = true;
		break;
	default:
		f.set_limit((int)(f.rnd() % f.teams.size()),
			    (int64_t)(f.rnd() % 80));
	}
}

// Guards against an exceeded limit under random combinations of faults, and
// against one that cannot be fully used again after they end, within the sum of
// the longest request, the lag of the VM list and the time to move grants.
// SEAM_SEEDS sets the number of seeds.
TEST(Teams, RandomisedRuns)
{
	const char *more = getenv("SEAM_SEEDS");
	uint64_t seeds = more ? strtoull(more, nullptr, 10) : 6;

	for (uint64_t seed = 1; seed <= seeds; seed++) {
		fleet f(6, 2, 60, seed);

		for (int j = 0; j < 12000; j++) {
			if (f.rnd() % 60 == 0)
				random_fault(f);
			int i = (int)(f.rnd() % f.nodes.size());
			int k = (int)(f.rnd() % f.teams.size());
			if (f.is_running(i))
				f.start_request(i, k,
						(seam_time)(f.rnd() % 8000) *
							SEAM_MSEC,
						f.rnd() % 20 != 0,
						1 + (int)(f.rnd() % 3));
			f.step();
		}
		for (size_t i = 0; i < f.nodes.size(); i++) {
			f.set_store_faults((int)i, false, 0, 0);
			f.nodes[i].paused_until = 0;
			f.listed[i] = true;
			if (!f.nodes[i].alive)
				f.start((int)i);
		}
		f.set_limit(0, 60);
		f.set_limit(1, 40);
		f.run(90 * SEAM_SEC);
		EXPECT_GE(f.apply_load({0, 1, 2, 3, 4, 5}, 0, 20 * SEAM_SEC),
			  54)
			<< "seed " << seed;
		EXPECT_GE(f.apply_load({0, 1, 2, 3, 4, 5}, 1, 20 * SEAM_SEC),
			  36)
			<< "seed " << seed;
	}
}
