// Order of jobs in a pool: under a load above the pool, and above the fleet.
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
		   bool crowded = false, seam_time now = 0)
{
	seam_urgency_key x = seam_urgency_key_of(&a, now, crowded);
	seam_urgency_key y = seam_urgency_key_of(&b, now, crowded);

	return seam_urgency_compare(&x, &y) < 0;
}

// Guards against room for a job that is late anyway before one in time.
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

// Guards against late jobs that starve: of them the oldest comes first.
TEST(Urgency, LateJobsByAge)
{
	EXPECT_TRUE(before(job(900, 800, 1), job(700, 750, 2)));
	EXPECT_FALSE(before(job(700, 750, 2), job(900, 800, 1)));
}

// Guards late jobs that are still of use: with a backlog each was served when
// it no longer was, as those before it had come first.
TEST(Urgency, UselessJobsComeLast)
{
	seam_urgency useless = job(500, 100, -4000);
	seam_urgency late = job(900, 600, -500);

	useless.due_at = useless.accepted_at + SEAM_SEC;
	EXPECT_TRUE(before(late, useless));
	EXPECT_TRUE(before(late, useless, true));
	/* Of two that are of no use the oldest. */
	seam_urgency older = useless;
	older.accepted_at -= SEAM_SEC;
	older.due_at -= SEAM_SEC;
	EXPECT_TRUE(before(older, useless));
}

// Guards a workspace within its share against one that sends many times more.
TEST(Urgency, OverShareComesAfterOthers)
{
	seam_urgency over = job(500, 900);

	over.over_share = true;
	EXPECT_TRUE(before(job(500, 5000), over));
	/* But before what is late. */
	EXPECT_TRUE(before(over, job(500, 100)));
}

// Guards lasting tasks: their callers see each second without them.
TEST(Urgency, LastingFirst)
{
	seam_urgency lasting = job(0, 0);

	lasting.lasting = true;
	EXPECT_TRUE(before(lasting, job(100, 150)));
}

// Guards against jobs that are all started when they are just too late: with
// the fleet crowded, one without a margin gives way.
TEST(Urgency, CrowdedAsksForMargin)
{
	seam_urgency tight = job(1000, 1200);
	seam_urgency easy = job(1000, 2000);

	EXPECT_TRUE(before(tight, easy));
	EXPECT_TRUE(before(easy, tight, true));
}

// Guards against many begun and few finished jobs in a crowded fleet.
TEST(Urgency, CrowdedFinishesBegunJobs)
{
	seam_urgency begun = job(500, 3000);

	begun.begun = true;
	EXPECT_TRUE(before(begun, job(500, 2000), true));
	EXPECT_FALSE(before(begun, job(500, 2000)));
}

// Jobs of 1 s with an objective of 2 s, twice what one server can do, as the
// tasks really take up to a quarter longer; counts those in time.
static int served(bool crowded, uint32_t seed)
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
				return before(a, b, crowded, now);
			});
		seam_time end = now + (seam_time)(uneven(rng) * SEAM_SEC);

		in_time += end <= best->due_at;
		waiting.erase(best);
		now = end;
	}
	return in_time;
}

// Guards the reason for the margin: under twice the load callers get more jobs
// in time with it than without.
TEST(Urgency, CrowdedServesMoreInTime)
{
	for (uint32_t seed = 1; seed <= 10; seed++)
		EXPECT_GT(served(true, seed), served(false, seed)) << seed;
}
