// Tests of learned task sizes.
#include <gtest/gtest.h>

#include "process/size.h"

class Size : public ::testing::Test
{
      protected:
	seam_sizes *s = seam_sizes_new();
	seam_need declared = {1000, 1000, 1};
	seam_need none = {0, 0, 0};

	void TearDown() override
	{
		seam_sizes_free(s);
	}
	void learn(int64_t cpu, int n, seam_time at)
	{
		seam_need peak = {cpu, 100, 0};

		for (int i = 0; i < n; i++)
			seam_sizes_add(s, "t", "k", &peak, 10 * SEAM_SEC, at);
	}
	int64_t cpu()
	{
		return seam_sizes_reserve(s, "t", "k", &declared, &none).cpu;
	}
};

// Guards against sizes learned from fewer samples than the minimum.
TEST_F(Size, DeclaredUntilLearned)
{
	learn(100, 4, SEAM_SEC);
	EXPECT_EQ(cpu(), 1000);
	EXPECT_EQ(seam_sizes_run_time(s, "t", "k"), 0);
	learn(100, 1, SEAM_SEC);
	EXPECT_LE(cpu(), 110);
	EXPECT_GE(cpu(), 100);
	EXPECT_EQ(seam_sizes_reserve(s, "u", "k", &declared, &none).cpu, 1000);
	EXPECT_GE(seam_sizes_run_time(s, "t", "k"), 10 * SEAM_SEC);
	EXPECT_LE(seam_sizes_run_time(s, "t", "k"), 11 * SEAM_SEC);
}

// Guards against a reservation below the p90.
TEST_F(Size, ReservesTheNinetiethPercentile)
{
	learn(100, 85, SEAM_SEC);
	learn(2000, 15, SEAM_SEC);
	EXPECT_GE(cpu(), 2000);
}

// Guards against unbounded reservations, and against accelerators that are
// replaced by learned values.
TEST_F(Size, BoundedByDeclared)
{
	seam_need reported = {3000, 50, 0};

	learn(100000, 10, SEAM_SEC);
	EXPECT_EQ(cpu(), 4000);
	EXPECT_EQ(seam_sizes_reserve(s, "t", "k", &declared, &none).acc, 1);
	EXPECT_EQ(seam_sizes_reserve(s, "t", "x", &declared, &reported).cpu,
		  3000);
}

// Guards against sizes that do not follow a change in usage.
TEST_F(Size, OldSamplesDecay)
{
	learn(3000, 100, SEAM_SEC);
	learn(100, 10, 48 * 3600 * (seam_time)SEAM_SEC);
	EXPECT_LE(cpu(), 110);
}
