// Membership, configuration versions and recovery under a simulated clock.
#include <gtest/gtest.h>

#include "tests/member_fixture.h"

static void cut_dc(sim &s, const std::string &dc, bool peers, bool store,
		   bool on)
{
	for (auto &a : s.nodes) {
		if (a->dc == dc && store)
			s.store_down(*a, on);
		for (auto &b : s.nodes)
			if (peers && a->dc == dc && b->dc != dc)
				s.cut(*a, *b, on);
	}
}

static bool suspects(sim_node &n, const std::string &name)
{
	size_t count;
	seam_member *b = seam_members_copy(n.members, &count);
	bool suspected = true;

	for (size_t i = 0; i < count; i++)
		if (name == b[i].node)
			suspected = n.now() >= b[i].suspect_at;
	free(b);
	return suspected;
}

static void all_down(sim &s, bool down)
{
	for (auto &n : s.nodes)
		s.store_down(*n, down);
}

// Takes the store down for all nodes, restores it for all but one data centre,
// cuts that data centre off from its peers, and commits a change.
static bool outage_then_cut(sim &s, const std::string &dc)
{
	bool done = false;

	all_down(s, true);
	s.run(8 * SEAM_SEC);
	cut_dc(s, dc, true, true, true);
	for (auto &n : s.nodes)
		if (n->dc != dc)
			s.store_down(*n, false);
	// Starts before the members cut off suspect the others.
	for (int i = 0; i < 50 && !done; i++, s.run(100 * SEAM_MSEC))
		for (auto &n : s.nodes)
			if (n->dc != dc && !done && !n->paused)
				done = s.change(*n);
	s.run(12 * SEAM_SEC);
	return done;
}

// Commits a change whose answer is lost, then takes the store down for all.
static void lost_then_outage(sim &s, sim_node &n)
{
	seam_store_faults f = {};

	f.lose_answers = 1000;
	f.reads_per_sec = 4; /* enough to commit, not to read back */
	f.seed = 1;
	s.store_down(n, true);
	s.run(1100 * SEAM_MSEC);
	s.store_faults(n, f);
	s.change(n, 500 * SEAM_MSEC);
	all_down(s, true);
	s.run(20 * SEAM_SEC);
}

// Guards against shards with no owner or two owners in a healthy fleet.
TEST(Member, FleetAgrees)
{
	auto s = sim::fleet(1);

	EXPECT_TRUE(s->agreed());
	for (auto &n : s->nodes)
		EXPECT_EQ(seam_members_live_count(n->members, n->now()), 9);
}

// Guards against messages of a previous process that are accepted as those of
// the process that replaced it.
TEST(Member, ReplacedUnderSameName)
{
	auto s = sim::fleet(2);
	sim_node &n = *s->nodes[4];
	uint64_t inc = seam_members_inc(n.members);
	seam_msg_key key;
	seam_msg m = {};
	size_t len;

	s->stop(n);
	s->start(n);
	s->run(7 * SEAM_SEC);
	EXPECT_EQ(seam_members_inc(n.members), inc + 1);
	EXPECT_TRUE(s->agreed());
	seam_msg_key_init(&key, "key");
	snprintf(m.from, sizeof(m.from), "n4");
	m.inc = inc;
	m.seq = UINT64_MAX / 2;
	m.version = 999;
	char *bytes = seam_msg_seal(&key, "peer-n0", &m, &len);
	seam_members_receive(s->nodes[0]->members, bytes, len);
	free(bytes);
	size_t count;
	seam_member *b = seam_members_copy(s->nodes[0]->members, &count);
	for (size_t i = 0; i < count; i++)
		EXPECT_NE(b[i].last.version, 999u);
	free(b);
}

// Guards against a repeated or reordered message that is applied.
TEST(Member, RepeatedAndOutOfOrderRefused)
{
	auto s = sim::fleet(3);
	seam_msg_key key;
	seam_msg m = {};
	uint64_t seqs[] = {UINT64_MAX / 2, UINT64_MAX / 2, UINT64_MAX / 2 - 1};
	uint64_t want[] = {100, 100, 100};

	seam_msg_key_init(&key, "key");
	snprintf(m.from, sizeof(m.from), "n4");
	m.inc = seam_members_inc(s->nodes[4]->members);
	for (int i = 0; i < 3; i++) {
		size_t len, count;
		m.seq = seqs[i];
		m.version = 100 + (uint64_t)i;
		char *bytes = seam_msg_seal(&key, "peer-n0", &m, &len);
		seam_members_receive(s->nodes[0]->members, bytes, len);
		free(bytes);
		seam_member *b =
			seam_members_copy(s->nodes[0]->members, &count);
		for (size_t k = 0; k < count; k++) {
			if (strcmp(b[k].node, "n4"))
				continue;
			EXPECT_EQ(b[k].last.version, want[i]);
		}
		free(b);
	}
}

// Guards against a change that is applied as a newer version because its sender
// adopted that version before it sent the message.
TEST(Member, ChangeKeepsItsOwnVersion)
{
	auto s = sim::fleet(15);
	sim_node &n = *s->nodes[0];
	seam_msg_key key;
	seam_msg m = {};
	size_t len;

	seam_msg_key_init(&key, "key");
	snprintf(m.from, sizeof(m.from), "n4");
	m.inc = seam_members_inc(s->nodes[4]->members);
	m.seq = UINT64_MAX / 2;
	m.kind = SEAM_MSG_CHANGE;
	m.version = 9;
	m.base = 1;
	m.next = 2;
	m.text = strdup("{\"put\":[{\"kind\":\"data_centre\",\"object\":{"
			"\"name\":\"x\",\"region\":\"r\"}}]}");
	char *bytes = seam_msg_seal(&key, "peer-n0", &m, &len);
	seam_members_receive(n.members, bytes, len);
	EXPECT_EQ(n.version(), 2u);
	free(bytes);
	seam_msg_free(&m);
}

// Guards against a paused node that keeps its shards, or that suspects all
// others and claims all shards when it resumes.
TEST(Member, PausedNodeResumes)
{
	auto s = sim::fleet(4);
	sim_node &n = *s->nodes[2];

	s->pause(n, true);
	s->run(4 * SEAM_SEC);
	EXPECT_TRUE(suspects(*s->nodes[0], "n2"));
	for (int i = 0; i < 50; i++) {
		std::string shard = "pool/" + std::to_string(i);
		EXPECT_FALSE(
			seam_is_owner(n.node->owner, shard.c_str(), n.now()));
		EXPECT_EQ(s->owners(shard), 1);
	}
	s->run(20 * SEAM_SEC);
	EXPECT_FALSE(n.fresh());
	s->pause(n, false);
	s->step();
	EXPECT_FALSE(suspects(n, "n0"));
	s->run(3 * SEAM_SEC);
	EXPECT_TRUE(s->agreed());
}

// Guards against a data centre that loses only the store or only its peers and
// becomes stale although the other still confirms its version.
TEST(Member, PartitionFromStoreOrFromPeers)
{
	auto s = sim::fleet(5);

	cut_dc(*s, "b", false, true, true);
	s->run(30 * SEAM_SEC);
	EXPECT_TRUE(s->nodes[3]->fresh()) << "peers confirm";
	EXPECT_TRUE(s->change(*s->nodes[0]));
	s->run(2 * SEAM_SEC);
	EXPECT_EQ(s->nodes[3]->version(), 2u);
	cut_dc(*s, "b", false, true, false);
	cut_dc(*s, "b", true, false, true);
	s->run(30 * SEAM_SEC);
	EXPECT_TRUE(s->nodes[3]->fresh()) << "the store confirms";
	cut_dc(*s, "b", true, false, false);
	s->run(10 * SEAM_SEC);
	EXPECT_TRUE(s->agreed());
}

// Guards against a data centre without store and peers that reports itself
// fresh while an operator revokes a key elsewhere.
TEST(Member, PartitionFromStoreAndAll)
{
	auto s = sim::fleet(6);

	cut_dc(*s, "b", true, true, true);
	s->run(2 * SEAM_SEC);
	EXPECT_TRUE(s->change(*s->nodes[0]));
	s->run(20 * SEAM_SEC);
	EXPECT_FALSE(s->nodes[3]->fresh());
	EXPECT_EQ(s->nodes[3]->version(), 1u);
	cut_dc(*s, "b", true, true, false);
	s->run(10 * SEAM_SEC);
	EXPECT_TRUE(s->agreed());
	EXPECT_TRUE(s->nodes[3]->fresh());
}

// Guards against a fleet that stops serving because the store is down, and
// against recovery that takes longer than 10 s.
TEST(Member, StoreDownForAnHourAndBack)
{
	auto s = sim::fleet(7);

	for (auto &n : s->nodes)
		s->store_down(*n, true);
	for (int i = 0; i < 36; i++) {
		s->run(100 * SEAM_SEC);
		for (auto &n : s->nodes)
			EXPECT_TRUE(n->fresh()) << n->name;
	}
	s->pause(*s->nodes[8], true);
	s->run(15 * SEAM_SEC);
	EXPECT_FALSE(s->nodes[0]->fresh()) << "a member can't be reached";
	s->pause(*s->nodes[8], false);
	for (auto &n : s->nodes)
		s->store_down(*n, false);
	s->run(10 * SEAM_SEC);
	EXPECT_TRUE(s->agreed());
}

// Guards against a data centre that is cut off and still confirms its version
// as if no node could reach the store.
TEST(Member, OutageThenCut)
{
	auto s = sim::fleet(13);

	EXPECT_TRUE(outage_then_cut(*s, "b"));
	EXPECT_FALSE(s->nodes[3]->fresh());
	EXPECT_EQ(s->nodes[3]->version(), 1u);
	cut_dc(*s, "b", true, true, false);
	s->run(10 * SEAM_SEC);
	EXPECT_TRUE(s->agreed());
}

// Guards against a fleet that confirms the old version although the store has
// accepted a change, because the answer to its sender was lost.
TEST(Member, LostAnswerThenOutage)
{
	auto s = sim::fleet(14);

	lost_then_outage(*s, *s->nodes[2]);
	ASSERT_EQ(s->accepted.size(), 3u);
	for (auto &n : s->nodes) {
		EXPECT_EQ(n->version(), 1u);
		EXPECT_FALSE(n->fresh()) << n->name;
	}
	all_down(*s, false);
	s->run(10 * SEAM_SEC);
	EXPECT_TRUE(s->agreed());
}

// Guards against a new node that is never ready, or adopts an old version, when
// it can get the configuration only from peers.
TEST(Member, FreshNodeWithoutStoreTakesHighest)
{
	auto s = sim::fleet(8);
	sim_node &f = s->add("fresh", "b");

	cut_dc(*s, "b", true, true, true);
	s->cut(*s->nodes[3], *s->nodes[4], true);
	s->cut(*s->nodes[5], *s->nodes[4], true);
	s->cut(*s->nodes[3], *s->nodes[0], false);
	ASSERT_TRUE(s->change(*s->nodes[0]));
	s->run(5 * SEAM_SEC);
	ASSERT_EQ(s->nodes[3]->version(), 2u);
	ASSERT_EQ(s->nodes[4]->version(), 1u);
	s->cut(*s->nodes[3], *s->nodes[0], true);
	f.seeds = "peer-n4, peer-n3";
	f.faults.down = true;
	s->start(f);
	s->run(3 * SEAM_SEC);
	EXPECT_EQ(f.version(), 2u);
	s->run(20 * SEAM_SEC);
	EXPECT_FALSE(f.fresh());
	cut_dc(*s, "b", true, true, false);
	s->cut(*s->nodes[3], *s->nodes[4], false);
	s->cut(*s->nodes[5], *s->nodes[4], false);
	s->run(12 * SEAM_SEC);
	EXPECT_TRUE(s->agreed());
}

// Guards against an incarnation that is used again after the row of the node
// was deleted: grants of the old process would be attributed to the new one.
TEST(Member, IncarnationIsNewAfterItsRowWasDropped)
{
	auto s = sim::fleet(2);
	sim_node &n = *s->nodes[4];
	uint64_t inc = seam_members_inc(n.members);
	seam_write w = {SEAM_DELETE, "member/n4", SEAM_ANY_VERSION, nullptr, 0};
	seam_commit c = {&w, 1, 1, 0};
	seam_err e = SEAM_ERR_INIT;

	s->stop(n);
	ASSERT_EQ(seam_store_commit(s->mem, &c, SEAM_NEVER, &e), 0) << e.text;
	s->start(n);
	s->run(7 * SEAM_SEC);
	EXPECT_GT(seam_members_inc(n.members), inc);
}

// Guards against a node that never registers, or registers twice with one
// incarnation, when the answer of its registration is lost.
TEST(Member, LostAnswerAtRegistration)
{
	auto s = sim::fleet(9);
	sim_node &n = *s->nodes[1];
	uint64_t inc = seam_members_inc(n.members);
	seam_store_faults f = {};

	s->stop(n);
	f.lose_answers = 1000;
	f.seed = 5;
	s->store_faults(n, f);
	s->start(n);
	s->run(8 * SEAM_SEC);
	EXPECT_GT(seam_members_inc(n.members), inc);
	EXPECT_TRUE(s->agreed());
}

// Guards against rows of deleted VMs that keep the fleet from confirming, and
// against deleting the row of a VM that is only briefly missing from the list.
TEST(Member, RowOfGoneVmIsDropped)
{
	auto s = sim::fleet(10);
	sim_node &n = *s->nodes[5];
	seam_vm vm = {};
	seam_row row = {};
	seam_err e = SEAM_ERR_INIT;

	seam_fake_platform_del(s->platform, "n5");
	s->run(20 * SEAM_SEC);
	snprintf(vm.id, sizeof(vm.id), "n5");
	seam_fake_platform_put(s->platform, &vm);
	s->run(20 * SEAM_SEC);
	ASSERT_EQ(seam_store_get(s->mem, "member/n5", &row, SEAM_NEVER, &e), 0);
	seam_row_free(&row);
	s->stop(n);
	seam_fake_platform_del(s->platform, "n5");
	s->run(50 * SEAM_SEC);
	EXPECT_EQ(seam_store_get(s->mem, "member/n5", &row, SEAM_NEVER, &e),
		  -1);
	EXPECT_EQ(seam_members_live_count(s->nodes[0]->members,
					  s->nodes[0]->now()),
		  8);
}

// Guards against loads of a dead node that keep requests away from targets.
TEST(Member, LoadOfPeers)
{
	auto s = sim::fleet(11);
	seam_target_info info = {};
	seam_handle h = SEAM_HANDLE_NONE;
	auto load = [&](sim_node &n, int set) {
		seam_table *t = seam_targets_lock(n.node->targets);
		h = SEAM_HANDLE_NONE;
		auto *g = (seam_target *)seam_table_next(t, &h);
		if (set >= 0)
			g->outstanding = set;
		int l = g->peer_load;
		seam_targets_unlock(n.node->targets);
		return l;
	};

	snprintf(info.id, sizeof(info.id), "vm-1");
	for (auto &n : s->nodes)
		seam_targets_set(n->node->targets, &info, 1);
	load(*s->nodes[0], 4);
	load(*s->nodes[1], 3);
	s->run(3 * SEAM_SEC);
	EXPECT_EQ(load(*s->nodes[2], -1), 7);
	EXPECT_EQ(load(*s->nodes[0], -1), 3);
	load(*s->nodes[1], 0);
	s->run(3 * SEAM_SEC);
	EXPECT_EQ(load(*s->nodes[2], -1), 4);
	s->pause(*s->nodes[0], true);
	s->run(6 * SEAM_SEC);
	EXPECT_EQ(load(*s->nodes[2], -1), 0);
	load(*s->nodes[0], 0);
}

// Guards against a fleet without the store that confirms its version while a
// new node, which registered during the outage, accepts a change.
TEST(Member, NewNodeDuringOutage)
{
	auto s = sim::fleet(16);
	sim_node &f = s->add("fresh", "c");

	all_down(*s, true);
	s->run(8 * SEAM_SEC);
	for (auto &n : s->nodes)
		if (n.get() != &f)
			s->cut(*n, f, true);
	s->store_down(f, false);
	s->start(f);
	for (auto &n : s->nodes)
		if (n.get() != &f)
			seam_hub_partition(s->hub, f.addr.c_str(),
					   n->addr.c_str(), true);
	s->run(3 * SEAM_SEC);
	ASSERT_TRUE(s->change(f));
	seam_invariant_set_abort(false);
	s->run(12 * SEAM_SEC);
	seam_invariant_set_abort(true);
	EXPECT_FALSE(s->nodes[0]->fresh());
}

// Guards against invariants that never fire: each is violated on purpose.
TEST(Member, InvariantsFire)
{
	auto s = sim::fleet(12);
	sim_node &n = *s->nodes[3];
	long before = seam_invariant_count();

	cut_dc(*s, "b", true, true, true);
	s->run(1 * SEAM_SEC);
	ASSERT_TRUE(s->change(*s->nodes[0]));
	s->run(20 * SEAM_SEC);
	ASSERT_EQ(seam_invariant_count(), before);
	seam_invariant_set_abort(false);
	n.node->confirmed_at = n.now();
	s->check(n);
	EXPECT_EQ(seam_invariant_count(), before + 2);
	n.node->confirmed_at = 0;
	seam_conf *old = n.node->conf.current;
	n.node->conf.current = seam_conf_empty();
	seam_versions_pass(n.versions, n.now());
	EXPECT_EQ(seam_invariant_count(), before + 3);
	seam_conf_unref(n.node->conf.current);
	n.node->conf.current = old;
	seam_invariant_set_abort(true);
}

static void random_hub(sim &s)
{
	struct seam_hub_faults f = {(int)s.random(200), (int)s.random(100),
				    (int)s.random(100), (int)s.random(50)};

	seam_hub_faults(s.hub, &f);
}

static void random_store(sim &s, sim_node &n)
{
	seam_store_faults f = {};

	f.down = s.random(3) == 0;
	f.lose_answers = (int)s.random(3) * 150;
	f.drop_commits = (int)s.random(3) * 150;
	f.seed = s.random(1u << 30) + 1;
	s.store_faults(n, f);
}

// Starts or ends a random fault.
static void random_event(sim &s)
{
	sim_node &n = *s.nodes[s.random(s.nodes.size())];
	bool on = s.random(2);

	switch (s.random(9)) {
	case 0:
		random_hub(s);
		break;
	case 1:
		random_store(s, n);
		break;
	case 2: /* the store, for one data centre or for all */
		for (auto &m : s.nodes)
			if (on || m->dc == n.dc)
				s.store_down(*m, s.random(4) < 3);
		break;
	case 3: /* peers in other data centres */
		for (auto &m : s.nodes)
			for (auto &o : s.nodes)
				if (m->dc == n.dc && o->dc != n.dc)
					s.cut(*m, *o, on);
		break;
	case 4:
		s.pause(n, !n.paused);
		break;
	case 5:
		s.stop(n);
		s.start(n);
		break;
	case 6:
		outage_then_cut(s, n.dc);
		break;
	case 7:
		if (!n.paused)
			lost_then_outage(s, n);
		break;
	default:
		if (!n.paused)
			s.change(n);
	}
}

static void clear_faults(sim &s)
{
	struct seam_hub_faults none = {};

	seam_hub_faults(s.hub, &none);
	for (auto &n : s.nodes) {
		s.store_down(*n, false);
		s.pause(*n, false);
		for (auto &o : s.nodes)
			s.cut(*n, *o, false);
	}
}

class MemberRandom : public ::testing::TestWithParam<int>
{
};

// Guards against versions that go back, nodes that wrongly report themselves
// fresh, and fleets that do not converge within 10 s after faults.
TEST_P(MemberRandom, SettlesAfterFaults)
{
	auto s = sim::fleet((uint64_t)GetParam());

	for (int round = 0; round < 3; round++) {
		for (int i = 0; i < 60; i++) {
			random_event(*s);
			s->run((seam_time)(100 + s->random(4000)) * SEAM_MSEC);
		}
		clear_faults(*s);
		s->run(10 * SEAM_SEC);
		EXPECT_TRUE(s->agreed()) << "round " << round;
	}
}

INSTANTIATE_TEST_SUITE_P(Seeds, MemberRandom, ::testing::Range(1, 21));
