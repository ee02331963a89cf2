// The table of error kinds: a response for each kind and a correct "not run".
#include <gtest/gtest.h>

#include <cstring>
#include <set>
#include <string>

#include "base/err.h"

// Guards against a kind that was added to the enum but not to the table.
TEST(Err, EveryKindHasARow)
{
	std::set<std::string> names;

	for (int k = 0; k < SEAM_ERR_KINDS; k++) {
		const struct seam_err_kind_info *i =
			seam_err_kind_info((seam_err_kind)k);

		ASSERT_NE(i->name, nullptr) << k;
		EXPECT_TRUE(names.insert(i->name).second) << i->name;
		EXPECT_GE(i->status, 200);
	}
}

// Guards against a false "not run" from a kind of error that is used after the
// work may have started.
TEST(Err, KindsAfterStartDoNotReportNotRun)
{
	for (seam_err_kind k :
	     {SEAM_TARGET_FAILED, SEAM_OUTCOME_UNKNOWN, SEAM_COMMIT_UNKNOWN,
	      SEAM_INTERNAL, SEAM_IN_PROGRESS})
		EXPECT_NE(seam_err_kind_info(k)->run, SEAM_NOT_RUN);
}

// Guards against a text that overflows its buffer.
TEST(Err, TextIsTruncated)
{
	seam_err e = SEAM_ERR_INIT;
	std::string text(1000, 'x');

	EXPECT_EQ(seam_fail(&e, SEAM_BUSY, "%s", text.c_str()), -1);
	EXPECT_EQ(strlen(e.text), sizeof(e.text) - 1);
	EXPECT_EQ(seam_fail(nullptr, SEAM_BUSY, nullptr), -1);
}
