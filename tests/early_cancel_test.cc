// Keys and rate of the cancels that arrive before their job is stored.
#include <gtest/gtest.h>

#include <string>

#include "request/early_cancel.h"

static std::string key(const char *queue, const char *workspace)
{
	char k[SEAM_KEY_MAX];

	seam_early_cancel_key("f123456789abcdef", queue, workspace, k);
	return k;
}

// Guards against a cancel that stops the job of another queue or workspace.
TEST(EarlyCancel, KeyNamesQueueAndWorkspace)
{
	EXPECT_EQ(key("q", "w").substr(0, 28), "cancelled/f/f123456789abcdef");
	EXPECT_EQ(key("q", "w"), key("q", "w"));
	EXPECT_NE(key("q", "w"), key("q", "v"));
	EXPECT_NE(key("q", "w"), key("p", "w"));
	EXPECT_NE(key("qw", ""), key("q", "w"));
}

// Guards against a rate that admits more than it says, or nothing any more.
TEST(EarlyCancel, RateIsLimited)
{
	seam_early_cancel_rate r = {};
	int n = 0;

	for (int i = 0; i < 1000; i++)
		n += seam_early_cancel_admit(&r, "q", "w", SEAM_SEC);
	EXPECT_EQ(n, 100);
	EXPECT_TRUE(seam_early_cancel_admit(&r, "q", "v", SEAM_SEC));
	for (int i = 0; i < 1000; i++)
		n += seam_early_cancel_admit(&r, "q", "w", 2 * SEAM_SEC);
	EXPECT_EQ(n, 110);
}
