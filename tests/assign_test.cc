// Assignment of workers to the nodes that serve them.
#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "process/assign.h"

struct AssignWorkers : ::testing::Test {
	std::vector<seam_serving_node> nodes;
	std::vector<seam_served_worker> workers;

	void node(int processor, int dc = -1, bool usable = true)
	{
		nodes.push_back({processor, usable, dc, 0});
	}
	void add(int n, int dc = -1, int at = -1)
	{
		for (int i = 0; i < n; i++)
			workers.push_back({at, -1, dc});
	}
	void run()
	{
		seam_assign_workers(nodes.data(), nodes.size(), workers.data(),
				    workers.size());
	}
	size_t used()
	{
		size_t n = 0;

		for (auto &x : nodes)
			n += x.workers > 0;
		return n;
	}
};

// Guards against needless calls between nodes in small deployments, also while
// the number of workers changes.
TEST_F(AssignWorkers, OwnerServesFewWorkersItself)
{
	for (int i = 0; i < 9; i++)
		node(250);
	add(30);
	run();
	EXPECT_EQ(used(), 1u);
	add(20);
	run();
	EXPECT_EQ(nodes[0].workers, 50);
	EXPECT_EQ(used(), 1u);
	add(40);
	run();
	EXPECT_EQ(nodes[0].workers, 0);
	auto before = workers;
	workers.resize(50);
	run();
	for (size_t i = 0; i < workers.size(); i++)
		EXPECT_EQ(workers[i].node, before[i].node);
}

// Guards against a dead worker that each node tries in turn.
TEST_F(AssignWorkers, GoneWorkerIsTriedByFew)
{
	std::vector<bool> tried(34);

	for (int i = 0; i < 34; i++)
		node(500);
	add(20);
	for (int i = 0; i < 40; i++) {
		run();
		tried[(size_t)workers[0].node] = true;
		workers[0].avoid = workers[0].node;
	}
	EXPECT_EQ(std::count(tried.begin(), tried.end(), true), 2);
}

// Guards against an owner's node overloaded by polls and starts in a large
// fleet; the largest nodes are used first.
TEST_F(AssignWorkers, LargeNodesServeManyWorkers)
{
	for (int i = 0; i < 6; i++)
		node(500);
	for (int i = 0; i < 28; i++)
		node(120);
	add(350);
	run();
	EXPECT_EQ(nodes[0].workers, 0);
	for (size_t i = 1; i < 6; i++)
		EXPECT_GT(nodes[i].workers, 50);
	EXPECT_LE(used(), 6u);
}

// Guards against more workers on a node than it has CPU time for.
TEST_F(AssignWorkers, NoNodeIsGivenMoreThanItsPart)
{
	for (int i = 0; i < 34; i++)
		node(120);
	add(350);
	run();
	for (size_t i = 1; i < nodes.size(); i++)
		EXPECT_LE(nodes[i].workers, 20);
}

// Guards against needless changes of node.
TEST_F(AssignWorkers, WorkersStay)
{
	for (int i = 0; i < 12; i++)
		node(500);
	add(350);
	run();
	auto before = workers;
	add(3);
	run();
	for (size_t i = 0; i < before.size(); i++)
		EXPECT_EQ(workers[i].node, before[i].node);
}

// Guards against workers that stay assigned to a lost node.
TEST_F(AssignWorkers, LostNodeIsReplaced)
{
	for (int i = 0; i < 8; i++)
		node(500);
	add(350);
	run();
	nodes[1].usable = false;
	run();
	EXPECT_EQ(nodes[1].workers, 0);
	for (auto &w : workers)
		EXPECT_TRUE(w.node != 1);
}

// Guards against a worker that stays assigned to a node that cannot reach it,
// also if no other node was chosen.
TEST_F(AssignWorkers, AvoidedNodeIsLeft)
{
	node(500);
	node(500);
	add(10);
	run();
	EXPECT_EQ(workers[3].node, 0);
	workers[3].avoid = 0;
	run();
	EXPECT_EQ(workers[3].node, 1);
	EXPECT_EQ(workers[4].node, 0);
}

// Guards against workers without a node if the nodes lack capacity.
TEST_F(AssignWorkers, OwnerServesWhatIsLeft)
{
	node(500);
	node(120);
	node(120, -1, false);
	add(350);
	run();
	EXPECT_EQ(nodes[2].workers, 0);
	EXPECT_EQ(nodes[0].workers + nodes[1].workers, 350);
	EXPECT_LE(nodes[1].workers, 20);
}

// Guards against needless traffic between data centres: a node with capacity in
// the same data centre is preferred.
TEST_F(AssignWorkers, NearNodeFirst)
{
	node(120, 0);
	node(300, 0);
	node(300, 1);
	add(40, 0);
	add(40, 1);
	run();
	int near = 0;
	for (auto &w : workers)
		near += nodes[(size_t)w.node].dc == w.dc;
	EXPECT_GE(near, 70);
}
