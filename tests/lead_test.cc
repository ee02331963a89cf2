// The choice of the owner: one at a time, and what it knows of the one before.
#include <gtest/gtest.h>

#include "tests/world.h"

// Nodes with clocks of their own over one store.
struct Lead : ::testing::Test {
	FeedStore store;
	seam_fake_clock clock[3];
	seam_lead node[3];
	seam_err e = SEAM_ERR_INIT;

	Lead()
	{
		for (int i = 0; i < 3; i++) {
			char name[8];

			snprintf(name, sizeof(name), "n%d", i);
			seam_fake_init(&clock[i], 100 * SEAM_SEC);
			seam_lead_init(&node[i], &store.base, &clock[i].clock,
				       name);
		}
	}
	void pass(seam_time t, int only = -1)
	{
		for (int i = 0; i < 3; i++)
			if (only < 0 || only == i)
				seam_fake_set(&clock[i], clock[i].time + t);
	}
	bool valid(int i)
	{
		return seam_lead_valid(&node[i], clock[i].time);
	}
	bool attempt(int i)
	{
		seam_err_clear(&e);
		return seam_lead_try(&node[i], &e);
	}
	int renew(int i)
	{
		seam_err_clear(&e);
		return seam_lead_renew(&node[i], &e);
	}
	// Looks of a node, as often as a real one looks.
	bool watch(int i, seam_time t)
	{
		for (seam_time at = 0; at < t; at += 300 * SEAM_MSEC) {
			pass(300 * SEAM_MSEC);
			if (attempt(i))
				return true;
		}
		return false;
	}
};

// Guards against two owners: of two claims at once one applies.
TEST_F(Lead, OneClaimApplies)
{
	EXPECT_TRUE(attempt(0));
	EXPECT_FALSE(attempt(1));
	EXPECT_EQ(node[0].term, 1u);
	EXPECT_EQ(node[0].orders_until, 0);
}

// Guards against two owners: a term ends for its owner before another node can
// claim it, whatever the owner's renewals do.
TEST_F(Lead, TermEndsBeforeItIsTakenOver)
{
	ASSERT_TRUE(attempt(0));
	EXPECT_FALSE(attempt(1));
	while (!attempt(1)) {
		pass(50 * SEAM_MSEC);
		ASSERT_LT(clock[0].time, 110 * SEAM_SEC);
	}
	EXPECT_FALSE(valid(0));
	EXPECT_EQ(node[1].term, 2u);
	/* The last order of the owner before is over by now. */
	EXPECT_LE(node[1].orders_until, clock[1].time);
	EXPECT_EQ(renew(0), -1);
	EXPECT_EQ(e.kind, SEAM_CONFLICT);
	EXPECT_FALSE(valid(0));
}

// Guards against a takeover from an owner that is alive.
TEST_F(Lead, RenewedTermStays)
{
	ASSERT_TRUE(attempt(0));
	for (int i = 0; i < 20; i++) {
		pass(300 * SEAM_MSEC);
		ASSERT_EQ(renew(0), 0);
		ASSERT_FALSE(attempt(1));
		ASSERT_TRUE(valid(0));
	}
}

// Guards against an owner that was suspended and decides on when it wakes.
TEST_F(Lead, SuspendedOwnerStops)
{
	ASSERT_TRUE(attempt(0));
	EXPECT_TRUE(valid(0));
	pass(4 * SEAM_SEC);
	EXPECT_FALSE(valid(0));
}

// Guards against an owner on a small VM beside larger ones: it could not keep
// up with 350 workers on 0.12 of a core, and lost jobs.
TEST_F(Lead, LargerNodeClaimsFirst)
{
	node[0].yields = true;
	EXPECT_FALSE(attempt(0));
	pass(300 * SEAM_MSEC);
	EXPECT_FALSE(attempt(0));
	EXPECT_TRUE(attempt(1));
	pass(SEAM_LEAD_YIELD);
	EXPECT_FALSE(attempt(0));
}

// Guards against a fleet without an owner because the larger nodes are gone.
TEST_F(Lead, YieldEnds)
{
	node[0].yields = true;
	EXPECT_TRUE(watch(0, 2 * SEAM_SEC));
}

// Guards against two seconds without an owner after a planned stop.
TEST_F(Lead, ReleasedTermIsClaimedAtOnce)
{
	ASSERT_TRUE(attempt(0));
	EXPECT_FALSE(attempt(1));
	seam_lead_release(&node[0]);
	EXPECT_FALSE(valid(0));
	EXPECT_TRUE(attempt(1));
}

// Guards against a wait for an owner that is known to be gone: the node itself,
// started again.
TEST_F(Lead, RestartedOwnerClaimsAtOnce)
{
	ASSERT_TRUE(attempt(0));
	pass(500 * SEAM_MSEC);
	seam_lead_init(&node[0], &store.base, &clock[0].clock, "n0");
	EXPECT_TRUE(attempt(0));
	EXPECT_EQ(node[0].term, 2u);
	EXPECT_EQ(node[0].orders_until, clock[0].time);
}

// Guards against a takeover when the store comes back: nobody could renew while
// it was away.
TEST_F(Lead, OutageIsNotSilence)
{
	ASSERT_TRUE(attempt(0));
	EXPECT_FALSE(attempt(1));
	store.down = true;
	EXPECT_FALSE(watch(1, 5 * SEAM_SEC));
	store.down = false;
	EXPECT_FALSE(attempt(1));
	EXPECT_EQ(renew(0), 0);
	EXPECT_TRUE(valid(0));
	EXPECT_FALSE(watch(1, SEAM_SEC));
}

// Guards against a lost term because the answer to a renewal was lost.
TEST_F(Lead, RenewalWithoutAnswer)
{
	ASSERT_TRUE(attempt(0));
	pass(SEAM_SEC);
	store.lose_answers = 1;
	EXPECT_EQ(renew(0), 0);
	pass(SEAM_SEC);
	EXPECT_TRUE(valid(0));
	store.hold_commits = 1;
	EXPECT_EQ(renew(0), -1);
}

// Guards the token: it grows with each owner.
TEST_F(Lead, TermsGrow)
{
	uint64_t last = 0;

	for (int i = 0; i < 10; i++) {
		int n = i % 3;

		ASSERT_TRUE(attempt(n) || watch(n, 3 * SEAM_SEC));
		EXPECT_GT(node[n].term, last);
		last = node[n].term;
		if (i % 2)
			seam_lead_release(&node[n]);
	}
}
