// Tests of team limits where a node has an outdated copy of the row.
#include "tests/team_fixture.h"

// Guards against more running than the limit when it is lowered and a node that
// cannot reach the store has a copy of the row from before others were granted
// units.
TEST(Limit, LoweredWithAnOldRow)
{
	fleet f(3, 1, 60);

	f.run(10 * SEAM_SEC);
	f.set_store_faults(1, true, 0, 0);
	f.apply_load({0, 2}, 0, 20 * SEAM_SEC);
	ASSERT_GE(f.units(1, 0), 5);
	ASSERT_GE(f.units(0, 0) + f.units(2, 0), 40);
	f.set_limit(0, 35);
	EXPECT_EQ(f.start_requests(1, 0, 50), 0)
		<< "new work above the new limit";
	f.run(5 * SEAM_SEC);
	EXPECT_EQ(f.start_requests(1, 0, 50), 0);
	f.set_store_faults(1, false, 0, 0);
	f.run(20 * SEAM_SEC);
	EXPECT_GE(f.apply_load({0, 1, 2}, 0, 20 * SEAM_SEC), 31);
}

static void record_notified(void *arg, const char *, const char *holder)
{
	((std::vector<std::string> *)arg)->push_back(holder ? holder : "owner");
}

// Guards against hints of a want that go to nodes without unused units, to dead
// nodes or to the wanting node, but not to the nodes with unused units.
TEST(Limit, WantIsHintedToHoldersWithUnits)
{
	seam_grant g[] = {
		{"node:n0#1", "a", "v0", 0, 5, 100},
		{"node:n1#1", "a", "v1", 9, 5, 100},
		{"node:n2#1", "b", "v2", 4, 0, 0},
		{"node:n3#1", "b", "v3", 8, 0, 0},
		{"node:n4#1", "b", "v4", 20, 0, 0, 70},
		{"bucket:t/q/3", "", "", 2, 0, 0},
	};
	seam_ledger l = {"t", 60, 60, 1, g, 6};
	std::vector<std::string> to;

	seam_team_notify_want(&l, "node:n0#1", 50, record_notified, &to);
	EXPECT_EQ(to,
		  (std::vector<std::string>{"owner", "node:n3#1", "node:n2#1",
					    "bucket:t/q/3", "node:n1#1"}));
	to.clear();
	seam_team_notify_change(&l, "node:n3#1", 50, record_notified, &to);
	EXPECT_EQ(to, (std::vector<std::string>{"node:n0#1", "node:n1#1"}));
	to.clear();
	seam_team_notify_change(&l, "node:n3#1", 100, record_notified, &to);
	EXPECT_TRUE(to.empty());
	// While the grants exceed the limit, holders of units must release
	// some.
	l.limit = 30;
	seam_team_notify_change(&l, "node:n3#1", 50, record_notified, &to);
	EXPECT_EQ(to, (std::vector<std::string>{"node:n1#1", "node:n2#1",
						"bucket:t/q/3"}));
}

// Guards against other kinds of holders being parsed as nodes.
TEST(Limit, NodeOfAHolder)
{
	char node[SEAM_TEAM_NAME_SIZE] = "";

	EXPECT_TRUE(seam_holder_node("node:n1#17", node));
	EXPECT_STREQ(node, "n1");
	EXPECT_FALSE(seam_holder_node("bucket:t/q/1", node));
	EXPECT_FALSE(seam_holder_node("node:#1", node));
	EXPECT_FALSE(seam_holder_node(
		("node:" + std::string(80, 'x') + "#1").c_str(), node));
}

// Guards against initial grants that take one row write per node: with hundreds
// of teams the first request of a team was refused for minutes.
TEST(Limit, OwnerWritesInitialGrantsOfAll)
{
	fleet f(9, 20, 90);
	uint64_t rows = 0;

	f.run(9 * SEAM_SEC);
	for (int k = 0; k < 20; k++) {
		seam_ledger l = f.ledger(k);
		EXPECT_EQ(l.n, 9u);
		EXPECT_EQ(seam_ledger_granted(&l), 45);
		seam_ledger_free(&l);
	}
	for (int i = 0; i < 9; i++)
		rows += seam_store_mem_stats(f.nodes[i].view).rows_written;
	EXPECT_LE(rows, 2 * 20u);
	for (int i = 0; i < 9; i++)
		EXPECT_EQ(f.start_requests(i, 7, 1), 1) << i;
}

// Guards against an exceeded limit when a node terminates that was granted
// units in a row it never read: they stay counted until every request that it
// may have sent must have ended. Also guards against initial grants to nodes
// whose VM is not listed: these units would stay unused.
TEST(Limit, GrantedByOthersStaysCounted)
{
	fleet f(3, 1, 60);

	f.set_store_faults(1, true, 0, 0);
	f.listed[2] = false;
	f.run(9 * SEAM_SEC);
	seam_ledger l = f.ledger(0);
	EXPECT_NE(seam_ledger_find(&l, "node:n1#1"), nullptr);
	seam_ledger_free(&l);
	EXPECT_EQ(f.units(1, 0), 0);
	f.kill(1);
	f.listed[1] = false;
	seam_time at = f.clock.time;
	for (;;) {
		f.apply_load({0}, 0, SEAM_SEC);
		l = f.ledger(0);
		bool there = seam_ledger_find(&l, "node:n1#1") != nullptr;
		seam_ledger_free(&l);
		if (!there || f.clock.time > at + 200 * SEAM_SEC)
			break;
	}
	EXPECT_GE(f.clock.time - at, 60 * SEAM_SEC);
	EXPECT_LE(f.clock.time - at, 90 * SEAM_SEC);
}

// Guards against an exceeded limit in a partition: a want from a side without
// the store takes no unit that the other side still counts, each side keeps its
// floor, and a want that was recorded before the partition moves only released
// units.
TEST(Limit, WantFromPartitionedSideTakesNoUnits)
{
	for (uint64_t seed = 1; seed <= 20; seed++) {
		fleet f(9, 1, 90, seed);
		int64_t floor = 90 / 2 / 3;

		f.run(10 * SEAM_SEC);
		// Data centre b requests all units and is then cut off from the
		// store.
		f.apply_load({1, 4, 7}, 0, (seam_time)(seed % 7) * SEAM_SEC);
		for (int i : {1, 4, 7})
			f.set_store_faults(i, true, 0, 0);
		seam_ledger l = f.ledger(0);
		int64_t counted = seam_ledger_dc_granted(&l, "b");
		seam_ledger_free(&l);
		EXPECT_GE(counted, floor);
		// Both sides request all units; step() runs check().
		f.apply_load({0, 1, 2, 3, 4, 5, 6, 7, 8}, 0, 30 * SEAM_SEC);
		int64_t here = 0;
		for (int i : {1, 4, 7})
			here += f.units(i, 0);
		l = f.ledger(0);
		EXPECT_EQ(seam_ledger_dc_granted(&l, "b"), counted) << seed;
		EXPECT_LE(here, counted) << seed;
		EXPECT_GE(here, floor) << seed;
		EXPECT_LE(seam_ledger_granted(&l), 90) << seed;
		EXPECT_GE(seam_ledger_dc_granted(&l, "a"), floor) << seed;
		EXPECT_GE(seam_ledger_dc_granted(&l, "c"), floor) << seed;
		seam_ledger_free(&l);
		for (int i : {1, 4, 7})
			f.set_store_faults(i, false, 0, 0);
		EXPECT_GE(f.apply_load({1, 4, 7}, 0, 40 * SEAM_SEC), floor);
	}
}
