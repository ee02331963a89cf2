// Needs that found no worker, against a list of all of them.
#include <gtest/gtest.h>

#include <cstdlib>
#include <random>
#include <vector>

#include "process/failed_needs.h"

struct FailedNeeds : ::testing::Test {
	std::mt19937 rng{
		getenv("SEAM_SEED") ? (uint32_t)atoi(getenv("SEAM_SEED")) : 1};
	seam_failed_needs f = {};
	std::vector<seam_resources> all;

	// Few values of each resource, so that at most five are the smallest.
	seam_resources any_need(int values)
	{
		return {(int64_t)(rng() % (uint32_t)values),
			(int64_t)(rng() % (uint32_t)values), 0};
	}
	bool is_covered(const seam_resources &need)
	{
		for (auto &a : all)
			if (a.cpu <= need.cpu && a.memory <= need.memory &&
			    a.gpu <= need.gpu)
				return true;
		return false;
	}
	void add(const seam_resources &need)
	{
		seam_failed_needs_add(&f, &need, 7);
		all.push_back(need);
	}
};

// Guards against a need that is searched for though a smaller one has failed.
TEST_F(FailedNeeds, AllSmallestAreKept)
{
	for (int i = 0; i < 2000; i++) {
		seam_resources need = any_need(5);

		EXPECT_EQ(seam_failed_needs_find(&f, &need) != nullptr,
			  is_covered(need));
		if (i % 100 == 99) {
			f = {};
			all.clear();
		} else if (i % 3 == 0) {
			add(need);
		}
	}
}

// Guards against a wait beside room where more needs failed than are kept.
TEST_F(FailedNeeds, NoneIsMadeUpBeyondTheBound)
{
	for (int i = 0; i < 2000; i++) {
		seam_resources need = any_need(1000);
		const seam_failed_need *found =
			seam_failed_needs_find(&f, &need);

		if (found) {
			EXPECT_TRUE(is_covered(need));
			EXPECT_EQ(found->why, 7);
		} else if (i % 7) {
			add(need);
		}
		ASSERT_LE(f.count, SEAM_FAILED_NEEDS_MAX);
	}
}

// Guards against a need that leaves out a resource.
TEST_F(FailedNeeds, EachResourceCounts)
{
	add({2, 2, 2});
	for (seam_resources less :
	     {seam_resources{1, 2, 2}, {2, 1, 2}, {2, 2, 1}})
		EXPECT_EQ(seam_failed_needs_find(&f, &less), nullptr);
	seam_resources same = {2, 2, 2};
	EXPECT_NE(seam_failed_needs_find(&f, &same), nullptr);
}
