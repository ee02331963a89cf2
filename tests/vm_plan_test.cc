// Tests of the VM plan: demand that shifts between pools, and maintenance.
#include <gtest/gtest.h>

#include <algorithm>
#include <ctime>
#include <random>
#include <vector>

#include "process/vm_plan.h"

enum { STANDBY, A, B, POOLS };

struct Plan : ::testing::Test {
	std::vector<seam_plan_vm> vm;
	std::vector<seam_plan_pool> pool = std::vector<seam_plan_pool>(POOLS);
	seam_plan p = {};

	Plan()
	{
		pool[STANDBY].standby = true;
		p.wave.remaining_s = 1e9;
	}
	void add(int n, int to, int runs = 0, bool due = false)
	{
		for (int i = 0; i < n; i++) {
			seam_plan_vm v = {};

			v.pool = to;
			v.dc = i % 3;
			v.up = true;
			v.usable = to != STANDBY;
			v.runs = runs;
			v.due = due;
			vm.push_back(v);
		}
	}
	void want(int which, int in_time, int all = 0, int hold = 0)
	{
		pool[which].want = in_time;
		pool[which].all = std::max(in_time, all);
		pool[which].soon = pool[which].all;
		pool[which].hold = std::max(pool[which].all, hold);
	}
	void plan()
	{
		p.vm = vm.data();
		p.vms = vm.size();
		p.pool = pool.data();
		p.pools = pool.size();
		seam_vm_plan(&p);
	}
	int count(int action, int to = -1)
	{
		return (int)std::count_if(vm.begin(), vm.end(),
					  [&](const seam_plan_vm &v) {
						  return v.action == action &&
							 (to < 0 || v.to == to);
					  });
	}
};

// Guards against idle VMs that stay in pools without demand.
TEST_F(Plan, SurplusGoesToStandby)
{
	add(9, A);
	want(A, 3);
	plan();
	EXPECT_EQ(count(SEAM_VM_MOVE, STANDBY), 6);
}

// Guards against further moves for a shortage that is already being filled. On
// a site of 350 VMs, pools got four times the VMs that they needed.
TEST_F(Plan, ArrivingVMsAreCounted)
{
	add(3, A);
	add(2, A);
	add(5, STANDBY);
	want(A, 5);
	for (int i = 3; i < 5; i++) {
		vm[i].usable = false;
		vm[i].arriving = true;
	}
	plan();
	EXPECT_EQ(count(SEAM_VM_MOVE), 0);
}

// Guards against moves to standby that delay pools short of VMs when the VM
// service limits the rate of orders: 280 such moves took nine seconds.
TEST_F(Plan, NeededMovesComeFirst)
{
	add(10, A);
	add(6, STANDBY, 0, true);
	p.wave.at_once = 2;
	p.wave.remaining_s = 20;
	want(A, 2);
	want(B, 3);
	plan();
	ASSERT_EQ(count(SEAM_VM_MOVE, B), 3);
	ASSERT_EQ(count(SEAM_VM_MAINTAIN), 2);
	ASSERT_GT(count(SEAM_VM_MOVE, STANDBY), 1);
	seam_vm_plan_trim(&p, 6);
	EXPECT_EQ(count(SEAM_VM_MOVE, B), 3);
	EXPECT_EQ(count(SEAM_VM_MAINTAIN), 2);
	EXPECT_EQ(count(SEAM_VM_MOVE, STANDBY), 1);
	seam_vm_plan_trim(&p, 2);
	EXPECT_EQ(count(SEAM_VM_MOVE, B), 2);
	EXPECT_EQ(count(SEAM_VM_MAINTAIN), 0);
}

// Guards against filling a shortage from a data centre that is unreachable: 20
// of its VMs were powered on, whose workers could not be reached.
TEST_F(Plan, SilentDataCentreIsTakenLast)
{
	add(9, STANDBY);
	want(A, 6);
	for (auto &v : vm)
		v.dc_unreachable = v.dc == 1;
	plan();
	EXPECT_EQ(count(SEAM_VM_MOVE, A), 6);
	for (auto &v : vm)
		EXPECT_EQ(v.action == SEAM_VM_MOVE, v.dc != 1);
	want(A, 8);
	plan();
	EXPECT_EQ(count(SEAM_VM_MOVE, A), 8);
}

// Guards against a pool that stays short because a worker never answers.
TEST_F(Plan, SilentVMsAreReplaced)
{
	add(5, A);
	add(5, STANDBY);
	want(A, 5);
	vm[3].usable = false;
	vm[4].usable = false;
	plan();
	EXPECT_EQ(count(SEAM_VM_MOVE, A), 2);
}

// Guards against a pool that stays short because VMs are down.
TEST_F(Plan, VMsThatAreDownAreReplaced)
{
	add(5, A);
	add(5, STANDBY);
	want(A, 5);
	for (int i = 2; i < 5; i++) {
		vm[i].up = false;
		vm[i].usable = false;
	}
	vm[4].returning = true;
	plan();
	EXPECT_EQ(count(SEAM_VM_MOVE, A), 2);
}

// Guards against a pool that gets, or counts, VMs out of service.
TEST_F(Plan, VMsOfADataCentreThatIsOutAreNoRoom)
{
	add(4, A);
	add(9, STANDBY);
	want(A, 4);
	for (auto &v : vm)
		v.dc_out = v.dc == 1;
	vm[1].usable = false;
	vm[1].arriving = true;
	want(A, 5);
	plan();
	EXPECT_EQ(count(SEAM_VM_MOVE, A), 2);
	for (const auto &v : vm)
		EXPECT_FALSE(v.action == SEAM_VM_MOVE && v.dc_out);
}

// Guards against a task that waits for a label which only VMs elsewhere have.
TEST_F(Plan, LabelThatAPoolLacksComesFromAnother)
{
	add(4, A);
	add(3, STANDBY);
	add(4, B);
	want(A, 4);
	want(B, 2);
	vm[6].labels = vm[9].labels = 2;
	p.label[0].pool = A;
	p.label[0].bit = 2;
	p.labels = 1;
	plan();
	EXPECT_EQ(count(SEAM_VM_MOVE, A), 1);
	EXPECT_EQ(vm[6].action, SEAM_VM_MOVE);
	EXPECT_EQ(vm[9].to, STANDBY);
}

// Guards against the move of the only VM with a label that tasks wait for.
TEST_F(Plan, LastVmWithALabelThatIsNeededStays)
{
	add(5, A);
	add(2, B);
	want(A, 1);
	want(B, 3);
	vm[1].labels = 1;
	p.label[0].pool = A;
	p.label[0].bit = 1;
	p.labels = 1;
	plan();
	EXPECT_EQ(count(SEAM_VM_MOVE, B), 1);
	EXPECT_EQ(count(SEAM_VM_MOVE, STANDBY), 3);
	EXPECT_EQ(vm[1].action, SEAM_VM_KEEP);
	p.label[0].pool = B;
	plan();
	EXPECT_EQ(vm[1].to, B);
}

// Guards against churn: VMs are kept while demand may return.
TEST_F(Plan, HeldVMsStay)
{
	add(9, A);
	want(A, 3, 3, 8);
	plan();
	EXPECT_EQ(count(SEAM_VM_MOVE, STANDBY), 1);
}

// Guards against moves that take VMs from another pool while standby has some.
TEST_F(Plan, ShortageIsFilledFromStandbyFirst)
{
	add(4, STANDBY);
	add(6, B);
	want(A, 3);
	want(B, 2, 2, 6);
	plan();
	EXPECT_EQ(count(SEAM_VM_MOVE, A), 3);
	for (const auto &v : vm)
		EXPECT_FALSE(v.pool == B && v.action == SEAM_VM_MOVE);
}

// Guards against a backlog of late jobs in one pool that takes nearly every VM
// from jobs of another pool that can still meet their objective.
TEST_F(Plan, LateJobsYieldToJobsInTime)
{
	add(10, A, 0);
	want(A, 2, 10);
	want(B, 4);
	plan();
	EXPECT_EQ(count(SEAM_VM_MOVE, B), 4);
}

// Guards against a pool with a large shortage that takes all VMs before a pool
// with a small one gets any.
TEST_F(Plan, LargestRelativeShortageIsFilledFirst)
{
	add(12, STANDBY);
	want(A, 40);
	want(B, 4);
	plan();
	EXPECT_GE(count(SEAM_VM_MOVE, B), 1);
	EXPECT_EQ(count(SEAM_VM_MOVE), 12);
}

// Guards against interrupted tasks: a VM with runs is drained, not moved, and
// one with a long-running task is left in service.
TEST_F(Plan, RunningTasksAreNotInterrupted)
{
	add(4, A, 2);
	vm[0].lasting = vm[0].pinned = 1;
	want(A, 0);
	want(B, 4);
	plan();
	EXPECT_EQ(count(SEAM_VM_MOVE), 0);
	EXPECT_EQ(count(SEAM_VM_DRAIN), 3);
	EXPECT_EQ(vm[0].action, SEAM_VM_KEEP);
}

// Guards against a wave that ends late for want of availability budget.
TEST_F(Plan, MovesLeaveLastingTasksToAWave)
{
	add(4, A, 2);
	vm[0].lasting = vm[1].lasting = 1;
	vm[0].due = true;
	want(A, 0);
	want(B, 4);
	p.wave = {0, 0, 60};
	plan();
	EXPECT_EQ(vm[0].action, SEAM_VM_KEEP);
	EXPECT_EQ(vm[1].action, SEAM_VM_KEEP);
	EXPECT_EQ(count(SEAM_VM_DRAIN), 2);
	vm[0].due = false;
	plan();
	EXPECT_EQ(count(SEAM_VM_DRAIN), 4);
}

// Guards against draining VMs in turn without ever completing one: a drain that
// was started continues.
TEST_F(Plan, StartedDrainContinues)
{
	add(4, A, 2);
	vm[2].leaving = true;
	vm[2].runs = 3;
	want(A, 1, 40);
	want(B, 1);
	plan();
	EXPECT_EQ(count(SEAM_VM_DRAIN), 1);
	EXPECT_EQ(vm[2].action, SEAM_VM_DRAIN);
}

// Guards against a wave that takes more VMs out of service than its limit.
TEST_F(Plan, WaveStaysWithinItsLimit)
{
	add(8, STANDBY, 0, true);
	p.wave = {3, 1, 20};
	plan();
	EXPECT_EQ(count(SEAM_VM_MAINTAIN), 2);
}

// Guards against a wave that takes VMs of a busy pool while standby or idle VMs
// are left.
TEST_F(Plan, WaveTakesIdleVMsFirst)
{
	add(3, A, 5, true);
	add(2, STANDBY, 0, true);
	want(A, 3);
	p.wave = {2, 0, 60};
	plan();
	for (const auto &v : vm)
		EXPECT_EQ(v.action,
			  v.pool == STANDBY ? SEAM_VM_MAINTAIN : SEAM_VM_KEEP);
}

// Guards against a wave that misses its deadline: with little time left it
// drains as many VMs as its limit allows.
TEST_F(Plan, LateWaveUsesItsWholeLimit)
{
	add(6, A, 5, true);
	want(A, 6);
	p.wave = {4, 0, 6};
	plan();
	EXPECT_EQ(count(SEAM_VM_DRAIN), 4);
}

// Guards against a second order for a VM that has one in progress.
TEST_F(Plan, OrderInProgress)
{
	add(3, STANDBY, 0, true);
	for (auto &v : vm)
		v.up = false;
	want(A, 3);
	p.wave = {3, 0, 3};
	plan();
	EXPECT_EQ(count(SEAM_VM_KEEP), 3);
}

// Checks random fleets: no VM with runs is moved or maintained, none moves to
// its own pool, and the wave stays within its limit.
TEST_F(Plan, RandomFleetsStayWithinLimits)
{
	std::mt19937 rng(7);
	auto pick = [&](int n) { return (int)(rng() % (uint32_t)n); };

	for (int round = 0; round < 2000; round++) {
		vm.clear();
		for (int i = 0; i < 30; i++) {
			seam_plan_vm v = {};

			v.pool = pick(POOLS);
			v.dc = pick(3);
			v.up = pick(5) > 0;
			v.usable = v.pool != STANDBY && pick(5) > 0;
			v.runs = v.pool == STANDBY ? 0 : pick(3);
			v.lasting = v.runs ? pick(2) : 0;
			v.pinned = v.lasting ? pick(2) : 0;
			v.leaving = pick(6) == 0;
			v.due = pick(3) == 0;
			vm.push_back(v);
		}
		want(A, pick(20), pick(30), pick(30));
		want(B, pick(20), pick(30), pick(30));
		p.wave.at_once = pick(6);
		p.wave.away = pick(p.wave.at_once + 1);
		p.wave.remaining_s = pick(30);
		plan();
		for (const auto &v : vm) {
			if (v.action == SEAM_VM_KEEP)
				continue;
			EXPECT_TRUE(v.up);
			if (v.action == SEAM_VM_DRAIN)
				continue;
			EXPECT_EQ(v.runs, 0);
			if (v.action == SEAM_VM_MOVE) {
				EXPECT_NE(v.to, v.pool);
			}
		}
		EXPECT_LE(count(SEAM_VM_MAINTAIN) + p.wave.away,
			  p.wave.at_once);
	}
}

// Guards against expected demand that takes VMs which other jobs need.
TEST_F(Plan, ExpectedDemandGetsVmsOfStandbyOnly)
{
	add(3, STANDBY);
	add(4, A);
	add(10, B);
	want(A, 4);
	want(B, 2, 2, 10);
	pool[A].soon = pool[A].hold = 12;
	plan();
	EXPECT_EQ(count(SEAM_VM_MOVE, A), 3);
	EXPECT_EQ(count(SEAM_VM_DRAIN), 0);
}

// Guards against a VM that reaches the pool that needs it by way of standby.
TEST_F(Plan, SurplusGoesToThePoolThatNeedsItSoon)
{
	add(2, STANDBY);
	add(10, A);
	add(2, B);
	want(A, 4);
	want(B, 2);
	pool[B].soon = pool[B].hold = 7;
	plan();
	EXPECT_EQ(count(SEAM_VM_MOVE, B), 5);
	EXPECT_EQ(count(SEAM_VM_MOVE, STANDBY), 1);
	EXPECT_EQ(count(SEAM_VM_KEEP), 2 + 4 + 2);
}

// Guards against expected demand of one pool before late jobs of another.
TEST_F(Plan, ExpectedDemandComesAfterLateJobs)
{
	add(3, STANDBY);
	add(4, A);
	add(4, B);
	want(A, 4);
	want(B, 4, 7);
	pool[A].soon = pool[A].hold = 12;
	plan();
	EXPECT_EQ(count(SEAM_VM_MOVE, B), 3);
	EXPECT_EQ(count(SEAM_VM_MOVE, A), 0);
}

// Guards against VMs that go to standby while their demand may return.
TEST_F(Plan, VmsThatAreHeldStay)
{
	add(10, A);
	want(A, 4);
	pool[A].soon = pool[A].hold = 10;
	plan();
	EXPECT_EQ(count(SEAM_VM_MOVE), 0);
}

static double thread_cpu_ms()
{
	timespec t;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
	return (double)t.tv_sec * 1e3 + (double)t.tv_nsec / 1e6;
}

// Guards against an owner that starts nothing while it plans, under its lock.
TEST_F(Plan, ManyMovesInALargeFleetAreQuick)
{
	static const int VMS = 1100;
	static const int MOVES = 250;

	add(VMS / 2, STANDBY);
	add(VMS / 2, A);
	want(A, VMS / 2);
	want(B, MOVES);
	double begin = thread_cpu_ms();

	plan();
	/* Half of what an eighth of a core has between two plans. */
	EXPECT_LT(thread_cpu_ms() - begin, 18);
	EXPECT_EQ(count(SEAM_VM_MOVE, B), MOVES);
}
