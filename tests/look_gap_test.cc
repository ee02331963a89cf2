// Pause between looks at a worker: load of the owner against late ends.
#include <gtest/gtest.h>

#include "process/look_gap.h"

// Guards jobs on a small fleet against ends that are learned late.
TEST(LookGap, SmallFleetIsLookedAtOften)
{
	EXPECT_LE(seam_look_gap(0), 30 * SEAM_MSEC);
	EXPECT_LE(seam_look_gap(40), 30 * SEAM_MSEC);
}

// Guards the owner's processor: at 200 busy workers, each with ends all the
// time, looks took more than it had.
TEST(LookGap, LooksAreBounded)
{
	for (size_t n = 50; n <= 190; n += 10)
		EXPECT_LE((double)n * SEAM_SEC / seam_look_gap(n), 1700) << n;
}

// Guards against ends that are learned so late that the objective is missed.
TEST(LookGap, GapIsBounded)
{
	EXPECT_LE(seam_look_gap(26000), 120 * SEAM_MSEC);
}
