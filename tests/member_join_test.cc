// Nodes that join and leave while others cannot reach the store.
#include <gtest/gtest.h>

#include "tests/member_fixture.h"

static void cut_off(sim &s, sim_node &n, bool on)
{
	for (auto &o : s.nodes)
		if (o.get() != &n)
			s.cut(*o, n, on);
}

static sim_node &join(sim &s, const std::string &name)
{
	sim_node &n = s.add(name, "c");

	s.start(n);
	cut_off(s, n, true);
	return n;
}

static void store_down(sim &s, bool down)
{
	for (auto &n : s.nodes)
		s.store_down(*n, down);
}

static void list_lag(sim &s, seam_time lag, bool down = false)
{
	seam_fake_platform_faults f = {};

	f.lag = lag;
	f.down = down;
	f.seed = 1;
	seam_fake_platform_set_faults(s.platform, &f);
}

// Guards against a fleet that confirms its version again once the VM of an
// unknown node has left the list, although the change of that node remains.
TEST(MemberJoin, NodeThatLeftAgain)
{
	auto s = sim::fleet(31);

	store_down(*s, true);
	s->run(8 * SEAM_SEC);
	sim_node &f = join(*s, "fresh");
	s->run(3 * SEAM_SEC);
	ASSERT_TRUE(s->change(f));
	s->stop(f);
	seam_fake_platform_del(s->platform, "fresh");
	s->run(60 * SEAM_SEC);
	EXPECT_FALSE(s->nodes[0]->fresh());
	store_down(*s, false);
	s->run(10 * SEAM_SEC);
	EXPECT_TRUE(s->agreed());
	EXPECT_TRUE(s->nodes[0]->fresh());
}

// Guards against a version that is confirmed for a time after the last VM list.
TEST(MemberJoin, ListOfVmsNotRead)
{
	auto s = sim::fleet(32);

	store_down(*s, true);
	s->run(8 * SEAM_SEC);
	EXPECT_TRUE(s->nodes[0]->fresh());
	seam_fake_platform_set_down(s->platform, true);
	s->run(12 * SEAM_SEC);
	EXPECT_FALSE(s->nodes[0]->fresh());
	seam_fake_platform_set_down(s->platform, false);
	s->run(3 * SEAM_SEC);
	EXPECT_TRUE(s->nodes[0]->fresh());
	// After longer than the list may lag, a VM can have been created and
	// deleted unseen; only the member rows show its node.
	seam_fake_platform_set_down(s->platform, true);
	s->run(40 * SEAM_SEC);
	seam_fake_platform_set_down(s->platform, false);
	s->run(5 * SEAM_SEC);
	EXPECT_FALSE(s->nodes[0]->fresh());
	store_down(*s, false);
	s->run(10 * SEAM_SEC);
	EXPECT_TRUE(s->nodes[0]->fresh());
}

// Guards against a fleet that stops confirming because the VM list lags by some
// seconds.
TEST(MemberJoin, ListThatLags)
{
	auto s = sim::fleet(33);

	list_lag(*s, 6 * SEAM_SEC);
	store_down(*s, true);
	for (int i = 0; i < 60; i++) {
		s->run(1 * SEAM_SEC);
		EXPECT_TRUE(s->nodes[0]->fresh()) << i;
	}
}

// Guards against a drain that ends early because a restarted node does not know
// of the requests that its previous process sent.
TEST(MemberJoin, RequestsOfAnEarlierProcessMayStillRun)
{
	auto s = sim::fleet(34);
	sim_node &owner = *s->nodes[0], &other = *s->nodes[4];
	auto current = [&] {
		return seam_members_all_current(owner.members, owner.now());
	};

	for (sim_node *n : {&other, &owner}) {
		s->run(31 * SEAM_SEC);
		EXPECT_TRUE(current());
		s->stop(*n);
		s->start(*n);
		s->run(29 * SEAM_SEC);
		EXPECT_FALSE(current()) << n->name;
	}
	s->run(3 * SEAM_SEC);
	EXPECT_TRUE(current());
}

// Guards against a drain that ends early because its owner started without the
// store and does not know the members whose loads it needs.
TEST(MemberJoin, OwnerThatHasReadNoRows)
{
	auto s = sim::fleet(35);
	sim_node &owner = *s->nodes[0];

	s->stop(owner);
	s->store_down(owner, true);
	s->start(owner);
	s->run(40 * SEAM_SEC);
	EXPECT_FALSE(seam_members_all_current(owner.members, owner.now()));
	s->store_down(owner, false);
	s->step();
	EXPECT_FALSE(seam_members_all_current(owner.members, owner.now()));
	s->run(40 * SEAM_SEC);
	EXPECT_TRUE(seam_members_all_current(owner.members, owner.now()));
}

// Guards against a drain that ends early because a node that reaches the store
// again still routes by its old view.
TEST(MemberJoin, NodeThatHasTheStoreAgain)
{
	auto s = sim::fleet(36);
	sim_node &owner = *s->nodes[0], &other = *s->nodes[4];

	s->run(31 * SEAM_SEC);
	ASSERT_TRUE(seam_members_all_current(owner.members, owner.now()));
	s->store_down(other, true);
	s->run(10 * SEAM_SEC);
	EXPECT_FALSE(seam_members_all_current(owner.members, owner.now()));
	s->store_down(other, false);
	s->run(6 * SEAM_SEC);
	EXPECT_FALSE(seam_members_all_current(owner.members, owner.now()));
	s->run(6 * SEAM_SEC);
	EXPECT_TRUE(seam_members_all_current(owner.members, owner.now()));
}

// Random events of a run. A VM that joins lives for longer than the VM list may
// lag.
struct join_events {
	sim &s;
	int serial = 0;
	std::vector<std::pair<sim_node *, seam_time>> joined;

	void join_node()
	{
		if (joined.size() < 3)
			joined.emplace_back(
				&join(s, "g" + std::to_string(serial++)),
				s.clock.time);
	}
	void remove_oldest()
	{
		if (joined.empty() ||
		    s.clock.time - joined[0].second < 31 * (seam_time)SEAM_SEC)
			return;
		s.stop(*joined[0].first);
		seam_fake_platform_del(s.platform,
				       joined[0].first->name.c_str());
		joined.erase(joined.begin());
	}
	void event()
	{
		size_t k = s.random(9);
		sim_node &n = *s.nodes[k];

		switch (s.random(8)) {
		case 0:
			join_node();
			break;
		case 1:
			remove_oldest();
			break;
		case 2:
			for (size_t i = 0; i < 9; i++)
				s.store_down(*s.nodes[i], s.random(8));
			break;
		case 3:
			s.store_down(n, s.random(2));
			break;
		case 4:
			list_lag(s, (seam_time)s.random(8) * SEAM_SEC,
				 s.random(4) == 0);
			break;
		case 5:
			if (!joined.empty())
				cut_off(s, *joined[0].first, s.random(2));
			break;
		case 6:
			s.change(n);
			break;
		default:
			for (auto &g : joined)
				s.change(*g.first);
		}
	}
};

class MemberJoinRandom : public ::testing::TestWithParam<int>
{
};

// Guards against nodes that report themselves fresh while an unknown node has
// changed the configuration. sim::check() verifies this after each step.
TEST_P(MemberJoinRandom, ConfirmedVersionsAreTheNewest)
{
	auto s = sim::fleet((uint64_t)GetParam());
	join_events j{*s};

	for (int i = 0; i < 120; i++) {
		j.event();
		s->run((seam_time)(200 + s->random(5000)) * SEAM_MSEC);
	}
	list_lag(*s, 0);
	store_down(*s, false);
	for (auto &g : j.joined)
		cut_off(*s, *g.first, false);
	s->run(12 * SEAM_SEC);
	for (auto &n : s->nodes)
		EXPECT_TRUE(!n->node || n->version() + 1 == s->accepted.size());
}

INSTANTIATE_TEST_SUITE_P(Seeds, MemberJoinRandom, ::testing::Range(1, 21));
