// Start order of jobs with an overloaded pool, and with an overloaded fleet.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

#include "process/urgency.h"

static seam_urgency job(int64_t left_ms, int64_t due_ms,
			int64_t accepted_ms = 0)
{
	seam_urgency u = {};

	u.left_ms = left_ms;
	u.due_at = due_ms * SEAM_MSEC;
	u.accepted_at = accepted_ms * SEAM_MSEC;
	return u;
}

static bool before(const seam_urgency &a, const seam_urgency &b,
		   bool overloaded = false, seam_time now = 0)
{
	seam_urgency_key x = seam_urgency_key_of(&a, now, overloaded);
	seam_urgency_key y = seam_urgency_key_of(&b, now, overloaded);

	return seam_urgency_compare(&x, &y) < 0;
}

// Guards against a late job that starts before one that can be in time.
TEST(Urgency, LateJobsComeLast)
{
	EXPECT_TRUE(before(job(500, 2000), job(1000, 900)));
	EXPECT_FALSE(before(job(1000, 900), job(500, 2000)));
}

// Guards against a large job that waits behind small ones until it is late.
TEST(Urgency, LeastSlackFirst)
{
	EXPECT_TRUE(before(job(2000, 3000), job(500, 2500)));
}

// Guards against starvation of late jobs: the oldest comes first.
TEST(Urgency, LateJobsByAge)
{
	EXPECT_TRUE(before(job(900, 800, 1), job(700, 750, 2)));
	EXPECT_FALSE(before(job(700, 750, 2), job(900, 800, 1)));
}

// Guards against a backlog in which each late job starts only when its result
// is no longer useful, as older useless jobs come first.
TEST(Urgency, UselessJobsComeLast)
{
	seam_urgency useless = job(500, 100, -4000);
	seam_urgency late = job(900, 600, -500);

	useless.due_at = useless.accepted_at + SEAM_SEC;
	EXPECT_TRUE(before(late, useless));
	EXPECT_TRUE(before(late, useless, true));
	/* Useless jobs are ordered by age. */
	seam_urgency older = useless;
	older.accepted_at -= SEAM_SEC;
	older.due_at -= SEAM_SEC;
	EXPECT_TRUE(before(older, useless));
}

// Guards against delays for a workspace within its share caused by one that
// submits many times more.
TEST(Urgency, OverShareComesAfterOthers)
{
	seam_urgency over = job(500, 900);

	over.over_share = true;
	EXPECT_TRUE(before(job(500, 5000), over));
	/* Jobs over the share come before late jobs. */
	EXPECT_TRUE(before(over, job(500, 100)));
}

// Guards against a delayed start of long-running tasks: callers notice each
// second without them.
TEST(Urgency, LastingFirst)
{
	seam_urgency lasting = job(0, 0);

	lasting.lasting = true;
	EXPECT_TRUE(before(lasting, job(100, 150)));
}

// Guards against an overloaded fleet that starts each job when it is just too
// late: jobs without a margin come after those with one.
TEST(Urgency, OverloadAsksForMargin)
{
	seam_urgency tight = job(1000, 1200);
	seam_urgency easy = job(1000, 2000);

	EXPECT_TRUE(before(tight, easy));
	EXPECT_TRUE(before(easy, tight, true));
}

// Guards against many begun but few finished jobs in an overloaded fleet.
TEST(Urgency, OverloadFinishesBegunJobs)
{
	seam_urgency begun = job(500, 3000);

	begun.begun = true;
	EXPECT_TRUE(before(begun, job(500, 2000), true));
	EXPECT_FALSE(before(begun, job(500, 2000)));
}

// Counts jobs in time on one server at twice its capacity: jobs with an
// estimate of 1 s, an objective of 2.2 s and run times up to a quarter longer.
static int served(bool overloaded, uint32_t seed)
{
	std::mt19937 rng(seed);
	std::uniform_real_distribution<double> uneven(1.0, 1.25);
	std::vector<seam_urgency> waiting;
	seam_time now = 0;
	seam_time next = 0;
	int in_time = 0;

	while (now < 60 * SEAM_SEC) {
		for (; next <= now; next += SEAM_SEC / 2) {
			seam_urgency u = {};

			u.left_ms = 1000;
			u.accepted_at = next;
			u.due_at = next + 2200 * SEAM_MSEC;
			waiting.push_back(u);
		}
		auto best = std::min_element(
			waiting.begin(), waiting.end(),
			[&](const seam_urgency &a, const seam_urgency &b) {
				return before(a, b, overloaded, now);
			});
		seam_time end = now + (seam_time)(uneven(rng) * SEAM_SEC);

		in_time += end <= best->due_at;
		waiting.erase(best);
		now = end;
	}
	return in_time;
}

// Guards against a margin without effect: at twice the capacity more jobs have
// to be in time with it than without.
TEST(Urgency, OverloadServesMoreInTime)
{
	for (uint32_t seed = 1; seed <= 10; seed++)
		EXPECT_GT(served(true, seed), served(false, seed)) << seed;
}

// Guards against a search for late jobs that begins among those in time.
TEST(Urgency, FirstLateKeyIsBetweenJobsInTimeAndLateOnes)
{
	std::mt19937 rng(1);
	seam_urgency_key late = seam_urgency_first_late();

	for (int i = 0; i < 2000; i++) {
		seam_urgency u = job(rng() % 2000, rng() % 4000, -1);

		u.over_share = rng() % 2;
		u.lasting = rng() % 4 == 0;
		u.priority = (int)(rng() % 3);
		seam_urgency_key k = seam_urgency_key_of(&u, SEAM_SEC, false);

		EXPECT_EQ(seam_urgency_compare(&late, &k) < 0,
			  seam_urgency_late(&u, SEAM_SEC));
	}
}
