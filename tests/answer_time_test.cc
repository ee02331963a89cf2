// Time to wait for the answer to a repeated call.
#include <gtest/gtest.h>

#include "process/answer_time.h"

namespace
{
const seam_time LONGEST = 150 * SEAM_MSEC;

// Number of calls that begin within @ms if none is answered.
int tries_in(const seam_answer_time *a, int ms)
{
	int n = 0;

	for (seam_time t = 0; t < ms * SEAM_MSEC; n++)
		t += seam_answer_timeout(a, (unsigned)n, LONGEST);
	return n;
}

// Guards against a start that is sent too seldom while most answers are lost.
TEST(AnswerTime, QuickWorkerGetsMoreTries)
{
	seam_answer_time a = {0};

	EXPECT_EQ(tries_in(&a, 950), 7);
	seam_answer_time_note(&a, 3 * SEAM_MSEC);
	EXPECT_GE(tries_in(&a, 950), 12);
}

// Guards against repeated calls to a worker that only answers slowly.
TEST(AnswerTime, SlowAnswerRaisesTheWaitAtOnce)
{
	seam_answer_time a = {0};

	for (int i = 0; i < 100; i++)
		seam_answer_time_note(&a, 3 * SEAM_MSEC);
	seam_answer_time_note(&a, 70 * SEAM_MSEC);
	EXPECT_GE(seam_answer_timeout(&a, 0, LONGEST), 140 * SEAM_MSEC);
	seam_answer_time_note(&a, 90 * SEAM_MSEC);
	EXPECT_EQ(seam_answer_timeout(&a, 0, LONGEST), LONGEST);
}

// Guards against a worker that became slow and answers no short wait.
TEST(AnswerTime, EveryFourthTryHasTheLongestWait)
{
	seam_answer_time a = {0};

	seam_answer_time_note(&a, 3 * SEAM_MSEC);
	for (unsigned i = 0; i < 12; i++)
		EXPECT_EQ(seam_answer_timeout(&a, i, LONGEST) == LONGEST,
			  i % 4 == 3);
}

// Guards against a wait that stays long after a slow spell.
TEST(AnswerTime, FallsAfterASlowSpell)
{
	seam_answer_time a = {0};

	seam_answer_time_note(&a, 150 * SEAM_MSEC);
	for (int i = 0; i < 20; i++)
		seam_answer_time_note(&a, 3 * SEAM_MSEC);
	EXPECT_EQ(seam_answer_timeout(&a, 0, LONGEST), 50 * SEAM_MSEC);
}
} // namespace
