// Hints between nodes about rows, under a simulated clock.
#include <gtest/gtest.h>

#include "tests/member_fixture.h"

struct received_hints {
	std::vector<std::string> keys;
};

static void on_hint(void *arg, const char *key)
{
	((received_hints *)arg)->keys.push_back(key);
}

// Guards against a hint that reaches a node other than the owner, or a handler
// for another key prefix.
TEST(Hint, ReachesOwnerOnly)
{
	auto s = sim::fleet(1);
	std::vector<received_hints> got(9);
	std::vector<received_hints> other(9);
	seam_time now = s->nodes[0]->now();
	int owners = 0;

	for (int i = 0; i < 9; i++) {
		seam_members *m = s->nodes[i]->members;
		seam_members_set_hint_handler(m, "team/", on_hint, &got[i]);
		seam_members_set_hint_handler(m, "pool/", on_hint, &other[i]);
	}
	seam_members_send_hint(s->nodes[0]->members, "team/t", "team/t");
	s->run(1 * SEAM_SEC);
	for (int i = 0; i < 9; i++) {
		seam_owner *o = s->nodes[i]->node->owner;
		bool is_owner = o->ops->is_owner(o, "team/t", now + SEAM_SEC);

		owners += is_owner;
		EXPECT_EQ(got[i].keys.size(), is_owner && i ? 1u : 0u);
		EXPECT_TRUE(other[i].keys.empty());
	}
	EXPECT_EQ(owners, 1);
}

// Guards against hints that exceed the byte budget between nodes, and against a
// token bucket that is not refilled.
TEST(Hint, RateIsBounded)
{
	auto s = sim::fleet(2);
	received_hints got;

	seam_members_set_hint_handler(s->nodes[1]->members, "pool/", on_hint,
				      &got);
	for (int i = 0; i < 1000; i++)
		seam_members_send_hint(s->nodes[0]->members, "pool/p", nullptr);
	s->run(1 * SEAM_SEC);
	EXPECT_GE(got.keys.size(), SEAM_HINTS_PER_SEC / 8u);
	EXPECT_LE(got.keys.size(), SEAM_HINTS_PER_SEC / 8u + 1);
	s->run(5 * SEAM_SEC);
	got.keys.clear();
	seam_members_send_hint(s->nodes[0]->members, "pool/p", nullptr);
	s->run(1 * SEAM_SEC);
	EXPECT_EQ(got.keys.size(), 1u);
}

// Guards against calls of a hint handler that was removed.
TEST(Hint, EndsWithItsHandler)
{
	auto s = sim::fleet(3);
	received_hints got;

	seam_members_set_hint_handler(s->nodes[1]->members, "pool/", on_hint,
				      &got);
	seam_members_set_hint_handler(s->nodes[1]->members, "pool/", nullptr,
				      nullptr);
	seam_members_send_hint(s->nodes[0]->members, "pool/p", nullptr);
	s->run(1 * SEAM_SEC);
	EXPECT_TRUE(got.keys.empty());
}

// Guards against a lost hint that the receiver does not detect, and against
// gaps that are reported although nothing was lost.
TEST(Hint, GapsAreNoticed)
{
	auto s = sim::fleet(4);
	seam_members *m = s->nodes[1]->members;
	auto gaps = [&] {
		return seam_members_hint_gaps(m, s->nodes[1]->now());
	};
	uint64_t before;

	s->run(10 * SEAM_SEC);
	before = gaps();
	seam_members_send_hint(s->nodes[0]->members, "pool/p", nullptr);
	seam_members_send_hint(s->nodes[0]->members, "team/t", "team/t");
	s->run(10 * SEAM_SEC);
	EXPECT_EQ(gaps(), before);
	// Most of these are dropped by the sender.
	for (int i = 0; i < 100; i++)
		seam_members_send_hint(s->nodes[0]->members, "pool/p", nullptr);
	s->run(2 * SEAM_SEC);
	EXPECT_GT(gaps(), before);
	before = gaps();
	s->run(10 * SEAM_SEC);
	EXPECT_EQ(gaps(), before);
}

// Guards against a member that sends nothing and is assumed to have no changes.
TEST(Hint, SilenceIsAGap)
{
	auto s = sim::fleet(5);
	seam_members *m = s->nodes[1]->members;
	auto gaps = [&] {
		return seam_members_hint_gaps(m, s->nodes[1]->now());
	};
	uint64_t before;

	s->run(10 * SEAM_SEC);
	before = gaps();
	s->stop(*s->nodes[0]);
	s->run(4 * SEAM_SEC);
	EXPECT_GT(gaps(), before);
	before = gaps();
	EXPECT_GT(gaps(), before);
	s->start(*s->nodes[0]);
	s->run(10 * SEAM_SEC);
	before = gaps();
	s->run(5 * SEAM_SEC);
	EXPECT_EQ(gaps(), before);
}
