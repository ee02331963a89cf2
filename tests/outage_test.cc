// The start and the end of an outage are logged, not each failed call.
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
			logged +=
				seam_outage_note(&o, fails ? &e : nullptr, now);
		return logged;
	}
};

// Guards against a warning for each second of an hour without the store.
TEST_F(Outage, LoggedOnceAtEachEnd)
{
	EXPECT_EQ(note(false, 10), 0);
	EXPECT_EQ(note(true, 3600), 1);
	EXPECT_EQ(o.failed, 3600);
	EXPECT_EQ(note(false, 60), 1);
	EXPECT_FALSE(o.down);
	EXPECT_EQ(note(true, 1), 1);
	EXPECT_EQ(o.failed, 1);
}

// Guards against two lines a second while a store answers now and then.
TEST_F(Outage, CallsThatFailNowAndThenAreOneOutage)
{
	int logged = 0;

	for (int i = 0; i < 600; i++)
		logged += note(i % 3 == 0, 1);
	EXPECT_EQ(logged, 1);
	EXPECT_EQ(note(false, 10), 1);
}
