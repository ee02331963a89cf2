// The start and the end of an outage are logged, but not each failed call.
#include <gtest/gtest.h>

#include "base/outage.h"

struct Outage : ::testing::Test {
	seam_outage o = {"test", "List", false, 0, 0};
	seam_err e = SEAM_ERR_INIT;
	seam_time now = 1000 * SEAM_SEC;

	Outage()
	{
		seam_fail(&e, SEAM_UNAVAILABLE, "down");
	}
	int note(bool fails, int seconds)
	{
		int logged = 0;

		for (int i = 0; i < seconds; i++, now += SEAM_SEC)
			logged += seam_outage_update(&o, fails ? &e : nullptr,
						     now);
		return logged;
	}
};

// Guards against a warning each second during an hour without the store.
TEST_F(Outage, StartAndEndAreLoggedOnce)
{
	EXPECT_EQ(note(false, 10), 0);
	EXPECT_EQ(note(true, 3600), 1);
	EXPECT_EQ(o.failures, 3600);
	EXPECT_EQ(note(false, 60), 1);
	EXPECT_FALSE(o.active);
	EXPECT_EQ(note(true, 1), 1);
	EXPECT_EQ(o.failures, 1);
}

// Guards against two lines per second while the store fails intermittently.
TEST_F(Outage, IntermittentFailuresAreOneOutage)
{
	int logged = 0;

	for (int i = 0; i < 600; i++)
		logged += note(i % 3 == 0, 1);
	EXPECT_EQ(logged, 1);
	EXPECT_EQ(note(false, 10), 1);
}
