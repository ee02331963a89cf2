// Pause between polls of a worker: CPU load against the delay of ended runs.
#include <gtest/gtest.h>

#include "process/poll_interval.h"

// Guards against a needless delay of ended runs in a small fleet.
TEST(PollInterval, SmallFleetIsPolledOften)
{
	EXPECT_LE(seam_poll_interval(0), 30 * SEAM_MSEC);
	EXPECT_LE(seam_poll_interval(40), 30 * SEAM_MSEC);
}

// Guards against CPU overload: polls of 200 busy workers with continually
// ending runs took more than the processor of the owner.
TEST(PollInterval, PollRateIsBounded)
{
	for (size_t n = 50; n <= 190; n += 10)
		EXPECT_LE((double)n * SEAM_SEC / seam_poll_interval(n), 1700)
			<< n;
}

// Guards against ended runs that are seen too late to meet the objective.
TEST(PollInterval, IntervalIsBounded)
{
	EXPECT_LE(seam_poll_interval(26000), 120 * SEAM_MSEC);
}
