// Latest starts by size, against a list of all of them.
#include <gtest/gtest.h>

#include <cstdlib>
#include <random>
#include <vector>

#include "process/start_sizes.h"

struct StartSizes : ::testing::Test {
	std::mt19937 rng{
		getenv("SEAM_SEED") ? (uint32_t)atoi(getenv("SEAM_SEED")) : 1};
	seam_start_sizes s = {};
	std::vector<seam_start_size> all;

	void add(int64_t size, seam_time at)
	{
		seam_start_sizes_add(&s, size, at);
		all.push_back({size, at});
	}
	seam_time latest(int64_t size)
	{
		seam_time at = 0;

		for (auto &a : all)
			if (a.size >= size)
				at = a.at;
		return at;
	}
};

// Guards against a start as large that is forgotten, or one that is made up.
TEST_F(StartSizes, LatestOfEachSizeIsKnown)
{
	for (seam_time t = 1; t < 5000; t++) {
		add((int64_t)(rng() % SEAM_START_SIZES_MAX), t);
		for (int64_t size = 0; size <= SEAM_START_SIZES_MAX; size++)
			ASSERT_EQ(seam_start_sizes_latest(&s, size),
				  latest(size));
	}
}

// Guards against a write beyond the bound.
TEST_F(StartSizes, OnlyTheLargestAreDropped)
{
	const int n = 3 * SEAM_START_SIZES_MAX;

	for (int i = 0; i < n; i++)
		add(n - i, i + 1);
	ASSERT_EQ(s.count, SEAM_START_SIZES_MAX);
	for (int64_t size = 0; size <= n; size++)
		EXPECT_EQ(seam_start_sizes_latest(&s, size),
			  size <= SEAM_START_SIZES_MAX ? latest(size) : 0);
}
