// The decisions about versions: when a version counts as confirmed.
#include <gtest/gtest.h>

#include <vector>

#include "version/spread.h"

static const seam_time T = 1000 * SEAM_SEC;
static const seam_time SKEW = 200 * SEAM_MSEC;

static seam_spread_peer peer(uint64_t version)
{
	return {true, version, 0, T - SEAM_SEC, T - 60 * SEAM_SEC, false};
}

static seam_time absence(const std::vector<seam_spread_peer> &p,
			 uint64_t version = 5, bool unsettled = false,
			 bool registered = true,
			 seam_time store_at = T - 60 * SEAM_SEC,
			 seam_time watched = T + SKEW)
{
	seam_spread_state s = {T,	  version,    store_at,
			       unsettled, registered, watched,
			       SKEW,	  p.data(),   p.size()};

	return seam_spread_by_absence(&s);
}

// Guards against confirmation by a clock that is ahead of the own one.
TEST(Spread, PeerConfirmsLessSkew)
{
	seam_spread_peer p = peer(5);

	p.confirmed_at = T;
	EXPECT_EQ(seam_spread_by_peer(5, &p, SKEW), T - SKEW);
	EXPECT_EQ(seam_spread_by_peer(6, &p, SKEW), T - SKEW);
	EXPECT_EQ(seam_spread_by_peer(4, &p, SKEW), 0);
	EXPECT_EQ(seam_spread_by_peer(0, &p, SKEW), 0);
	p.confirmed_at = 0;
	EXPECT_EQ(seam_spread_by_peer(5, &p, SKEW), 0);
}

// Guards against a version that ages while nobody can change it.
TEST(Spread, AbsenceHoldsWhenAllVouch)
{
	EXPECT_EQ(absence({peer(5), peer(4)}), T - SEAM_SEC - SKEW);
	EXPECT_EQ(absence({}), T);
}

// Guards against each way in which a change can exist unseen.
TEST(Spread, AbsenceRefused)
{
	std::vector<seam_spread_peer> p = {peer(5), peer(5)};

	p[1].heard = false;
	EXPECT_EQ(absence(p), 0) << "a member is not reachable";
	p[1] = peer(6);
	EXPECT_EQ(absence(p), 0) << "a member has a newer version";
	p[1] = peer(5);
	p[1].store_at = p[1].sent_at - SEAM_STORE_GONE + 1;
	EXPECT_EQ(absence(p), 0) << "a member had the store a moment ago";
	p[1] = peer(5);
	p[1].unsettled = true;
	EXPECT_EQ(absence(p), 0) << "a member's change may still apply";
	p[1] = peer(5);
	EXPECT_EQ(absence(p, 5, true), 0) << "an own change may still apply";
	EXPECT_EQ(absence(p, 5, false, false), 0) << "not registered";
	EXPECT_EQ(absence(p, 0), 0) << "no version";
	EXPECT_EQ(absence(p, 5, false, true, T - SEAM_SEC), 0)
		<< "this node had the store a moment ago";
	EXPECT_EQ(absence(p, 5, false, true, T - 60 * SEAM_SEC, 0), 0)
		<< "a node may be missing from the list";
	EXPECT_GT(absence(p), 0);
}

// Guards against a change of a node that started after the last list of VMs.
TEST(Spread, AbsenceHoldsUpToTheListOfVms)
{
	seam_time listed = T - 5 * SEAM_SEC;

	EXPECT_EQ(absence({peer(5)}, 5, false, true, T - 60 * SEAM_SEC, listed),
		  listed - SKEW);
}

// Guards against a change that is applied to another version than its base.
TEST(Spread, OnChange)
{
	EXPECT_EQ(seam_spread_on_change(5, 5, 6), SEAM_SPREAD_APPLY);
	EXPECT_EQ(seam_spread_on_change(5, 6, 7), SEAM_SPREAD_FETCH);
	EXPECT_EQ(seam_spread_on_change(5, 3, 7), SEAM_SPREAD_FETCH);
	EXPECT_EQ(seam_spread_on_change(5, 4, 5), SEAM_SPREAD_NOTHING);
	EXPECT_EQ(seam_spread_on_change(5, 9, 8), SEAM_SPREAD_NOTHING);
	EXPECT_EQ(seam_spread_on_change(0, 0, 3), SEAM_SPREAD_FETCH);
}
