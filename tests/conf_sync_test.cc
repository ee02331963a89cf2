// When a configuration version is confirmed, and how a pushed change is
// handled.
#include <gtest/gtest.h>

#include <vector>

#include "version/conf_sync.h"

static const seam_time T = 1000 * SEAM_SEC;
static const seam_time SKEW = 200 * SEAM_MSEC;

static seam_conf_sync_peer peer(uint64_t version)
{
	return {true, version, 0, T - SEAM_SEC, T - 60 * SEAM_SEC, false};
}

static seam_time confirmed(const std::vector<seam_conf_sync_peer> &p,
			   uint64_t version = 5, bool unsettled = false,
			   bool registered = true,
			   seam_time store_at = T - 60 * SEAM_SEC,
			   seam_time peers_known_until = T + SKEW)
{
	seam_conf_sync_state s = {T,	     version,	 store_at,
				  unsettled, registered, peers_known_until,
				  SKEW,	     p.data(),	 p.size()};

	return seam_conf_confirmed_without_store(&s);
}

// Guards against confirmation by a peer whose clock is ahead of the own clock.
TEST(ConfSync, PeerConfirmsMinusSkew)
{
	seam_conf_sync_peer p = peer(5);

	p.confirmed_at = T;
	EXPECT_EQ(seam_conf_confirmed_by_peer(5, &p, SKEW), T - SKEW);
	EXPECT_EQ(seam_conf_confirmed_by_peer(6, &p, SKEW), T - SKEW);
	EXPECT_EQ(seam_conf_confirmed_by_peer(4, &p, SKEW), 0);
	EXPECT_EQ(seam_conf_confirmed_by_peer(0, &p, SKEW), 0);
	p.confirmed_at = 0;
	EXPECT_EQ(seam_conf_confirmed_by_peer(5, &p, SKEW), 0);
}

// Guards against a version that becomes stale while no node can change it.
TEST(ConfSync, ConfirmedWhileNoMemberHasTheStore)
{
	EXPECT_EQ(confirmed({peer(5), peer(4)}), T - SEAM_SEC - SKEW);
	EXPECT_EQ(confirmed({}), T);
}

// Guards against each case in which a version would be confirmed although an
// unknown change is possible.
TEST(ConfSync, NotConfirmedIfAChangeIsPossible)
{
	std::vector<seam_conf_sync_peer> p = {peer(5), peer(5)};

	p[1].heard = false;
	EXPECT_EQ(confirmed(p), 0) << "a member is unreachable";
	p[1] = peer(6);
	EXPECT_EQ(confirmed(p), 0) << "a member has a newer version";
	p[1] = peer(5);
	p[1].store_at = p[1].sent_at - SEAM_STORE_UNREACHABLE_AFTER + 1;
	EXPECT_EQ(confirmed(p), 0) << "a member reached the store recently";
	p[1] = peer(5);
	p[1].unsettled = true;
	EXPECT_EQ(confirmed(p), 0) << "a member's change may still apply";
	p[1] = peer(5);
	EXPECT_EQ(confirmed(p, 5, true), 0)
		<< "a change of this node may still apply";
	EXPECT_EQ(confirmed(p, 5, false, false), 0) << "not registered";
	EXPECT_EQ(confirmed(p, 0), 0) << "no version";
	EXPECT_EQ(confirmed(p, 5, false, true, T - SEAM_SEC), 0)
		<< "this node reached the store recently";
	EXPECT_EQ(confirmed(p, 5, false, true, T - 60 * SEAM_SEC, 0), 0)
		<< "a node may be missing from the list of peers";
	EXPECT_GT(confirmed(p), 0);
}

// Guards against a change by a node that started after the last VM list.
TEST(ConfSync, ConfirmedUpToTheLastVmList)
{
	seam_time listed = T - 5 * SEAM_SEC;

	EXPECT_EQ(
		confirmed({peer(5)}, 5, false, true, T - 60 * SEAM_SEC, listed),
		listed - SKEW);
}

// Guards against applying a change to a version other than its base.
TEST(ConfSync, ActionOnPushedChange)
{
	EXPECT_EQ(seam_conf_decide_push(5, 5, 6), SEAM_CONF_PUSH_APPLY);
	EXPECT_EQ(seam_conf_decide_push(5, 6, 7), SEAM_CONF_PUSH_FETCH);
	EXPECT_EQ(seam_conf_decide_push(5, 3, 7), SEAM_CONF_PUSH_FETCH);
	EXPECT_EQ(seam_conf_decide_push(5, 4, 5), SEAM_CONF_PUSH_IGNORE);
	EXPECT_EQ(seam_conf_decide_push(5, 9, 8), SEAM_CONF_PUSH_IGNORE);
	EXPECT_EQ(seam_conf_decide_push(0, 0, 3), SEAM_CONF_PUSH_FETCH);
}
