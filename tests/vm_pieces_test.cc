// Tests of the VMs that hold the tasks of a pool in one piece each.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

#include "process/vm_pieces.h"

namespace
{
struct Pieces : ::testing::Test {
	std::vector<seam_vm_need> need;
	std::vector<seam_vm_space> vm;
	std::vector<seam_vm_held> held;
	seam_resources unit = {8000, 16000, 0};

	void add(int64_t count, seam_resources one)
	{
		need.push_back({one, count, 0, 0});
	}
	void add_limited(int64_t count, seam_resources one, uint64_t step)
	{
		need.push_back({one, count, 1, step});
	}
	void add_vms(int n, int64_t cpu, bool fixed)
	{
		for (int i = 0; i < n; i++)
			vm.push_back({{cpu, 16000, unit.gpu}, fixed});
	}
	seam_vm_pieces pieces()
	{
		seam_vm_pool p = {need.data(), need.size(), vm.data(),
				  vm.size(),   held.data(), held.size(),
				  unit};

		return seam_vm_pieces_count(&p);
	}
	void expect(int needed, int missing)
	{
		seam_vm_pieces p = pieces();

		EXPECT_EQ(p.needed, needed);
		EXPECT_EQ(p.missing, missing);
	}
};

// Guards against free pieces that are too small but are added up.
TEST_F(Pieces, FreePiecesDoNotAddUp)
{
	add_vms(4, 4500, true);
	add(1, {4800, 0, 0});
	expect(5, 1);
}

// Guards against a VM for a task that has room beside lasting tasks.
TEST_F(Pieces, TaskBesideFixedTasksNeedsNoVm)
{
	add_vms(4, 4500, true);
	add(1, {4400, 0, 0});
	expect(0, 0);
}

// Guards against a second order, and the loss, of a VM on its way.
TEST_F(Pieces, EmptyVmIsUsedAndNeeded)
{
	add_vms(4, 4500, true);
	add_vms(2, 8000, false);
	add(1, {4800, 0, 0});
	expect(5, 0);
}

// Guards against VMs for a task that none can hold.
TEST_F(Pieces, NeedLargerThanAVmNeedsNone)
{
	add_vms(2, 8000, false);
	add(10, {9000, 0, 0});
	expect(0, 0);
	add(3, {5000, 0, 0});
	expect(3, 1);
}

// Guards against small tasks that are packed first and leave no piece.
TEST_F(Pieces, LargeTasksArePackedFirst)
{
	add(4, {2000, 0, 0});
	add(2, {6000, 0, 0});
	expect(3, 3);
}

// Guards against memory and accelerators that are only summed up.
TEST_F(Pieces, MemoryAndGpuAreInOnePiece)
{
	add(3, {100, 9000, 0});
	expect(3, 3);
	need.clear();
	unit.gpu = 4;
	add(3, {100, 100, 3});
	expect(3, 3);
}

// Guards against limited steps of which only the widest counts.
TEST_F(Pieces, LimitedStepsBesideLargeTasksAddUp)
{
	add(3, {7500, 0, 0});
	add_limited(3, {1000, 0, 0}, 1);
	expect(6, 6);
	add_limited(2, {1000, 0, 0}, 2);
	expect(6, 6);
}

// Guards against a limited task that counts as held by a VM of its step.
TEST_F(Pieces, VmsWithTheStepTakeNoMoreOfIt)
{
	add_vms(3, 7000, true);
	add_vms(1, 500, true);
	held = {{0, 1, 1}, {0, 2, 1}, {1, 1, 1}, {2, 1, 1}};
	add_limited(1, {1000, 0, 0}, 1);
	expect(5, 1);
	need.clear();
	add_limited(2, {1000, 0, 0}, 2);
	expect(0, 0);
	add_limited(1, {1000, 0, 0}, 3);
	expect(0, 0);
}

// Guards against negative room and needs of nothing.
TEST_F(Pieces, OddInputIsHarmless)
{
	add_vms(1, -500, true);
	add(3, {0, 0, 0});
	add(0, {100, 0, 0});
	add(1, {100, 0, 0});
	expect(2, 1);
	unit = {0, 0, 0};
	expect(0, 0);
}

// Guards against a packing that differs from one that places each task alone.
TEST_F(Pieces, GroupsArePackedAsSingleTasks)
{
	std::mt19937 rng(1);

	for (int round = 0; round < 2000; round++) {
		need.clear();
		vm.clear();
		for (int i = (int)(rng() % 6); i >= 0; i--)
			add(rng() % 7, {(int64_t)(rng() % 9 * 1000), 0, 0});
		add_vms((int)(rng() % 3), 3000, true);
		add_vms((int)(rng() % 3), 8000, false);

		std::vector<int64_t> one;
		std::vector<int64_t> left;
		int fixed = 0;
		for (auto &n : need)
			if (n.need.cpu)
				one.insert(one.end(), (size_t)n.count,
					   n.need.cpu);
		std::sort(one.rbegin(), one.rend());
		for (auto &v : vm) {
			left.push_back(v.free.cpu);
			fixed += v.fixed;
		}
		for (int64_t x : one) {
			auto l =
				std::find_if(left.begin(), left.end(),
					     [=](int64_t f) { return f >= x; });

			if (l == left.end())
				l = left.insert(l, unit.cpu);
			*l -= x;
		}
		int empty = (int)std::count_if(
			left.begin() + fixed, left.end(),
			[&](int64_t f) { return f < unit.cpu; });
		expect(empty ? fixed + empty : 0,
		       (int)(left.size() - vm.size()));
		if (HasFailure())
			return;
	}
}

// Guards against a cost that grows without a bound with the sizes of needs.
TEST_F(Pieces, SmallestOfManySizesAreNotPacked)
{
	for (int i = 0; i < 2 * SEAM_NEED_SIZES_MAX; i++)
		add(1, {4001 + i, 0, 0});
	expect(SEAM_NEED_SIZES_MAX, SEAM_NEED_SIZES_MAX);
}
} // namespace
