// Tests of a node's view of target load: reported by peers, inferred from
// refusals.
#include <gtest/gtest.h>

#include <map>

#include "request/route.h"
#include "tests/member_fixture.h"

class Load : public ::testing::Test
{
      protected:
	seam_fake_clock clock;
	seam_targets *ts = nullptr;
	seam_locality near = {"a", nullptr, 0};
	seam_err e = SEAM_ERR_INIT;
	seam_time now = 1000 * SEAM_SEC;
	seam_handle h = SEAM_HANDLE_NONE;

	static seam_target_info info(int i)
	{
		seam_target_info t = {};

		snprintf(t.id, sizeof(t.id), "vm-%d", i);
		snprintf(t.dc, sizeof(t.dc), "a");
		snprintf(t.service, sizeof(t.service), "s");
		t.slots = 8;
		return t;
	}

	void SetUp() override
	{
		seam_target_info two[] = {info(0), info(1)};

		seam_route_seed(1);
		seam_fake_clock_init(&clock, now);
		ts = seam_targets_new(&clock.clock);
		seam_targets_set(ts, two, 2);
		h = first();
	}

	seam_handle first()
	{
		seam_handle at = SEAM_HANDLE_NONE;

		seam_table_next(seam_targets_lock(ts), &at);
		seam_targets_unlock(ts);
		return at;
	}

	void TearDown() override
	{
		seam_targets_free(ts);
	}

	int take()
	{
		return seam_route_acquire(ts, "s", &near, nullptr, now, &h, &e);
	}

	seam_target get()
	{
		auto *t =
			(seam_target *)seam_table_get(seam_targets_lock(ts), h);
		seam_target copy = *t;
		seam_targets_unlock(ts);
		return copy;
	}

	void end_request(seam_handle t, seam_route_result r)
	{
		seam_route_report(ts, t, r, now);
		seam_route_release(ts, t);
	}
};

// Guards against ejecting targets that are full with requests of other nodes
// since their last load report, and against sending them more requests before
// the next report.
TEST_F(Load, RefusalClosesTheTargetUntilNextReport)
{
	std::vector<seam_handle> held;

	while (!take())
		held.push_back(h);
	ASSERT_EQ(held.size(), 16u);
	seam_handle full = held[0];
	for (auto &x : held)
		if (seam_handle_eq(x, full))
			end_request(x, SEAM_ROUTE_FULL);
	h = full;
	EXPECT_FALSE(get().ejected);
	now += 500 * SEAM_MSEC;
	EXPECT_EQ(take(), -1);
	EXPECT_EQ(e.kind, SEAM_BUSY);
	h = full;
	seam_targets_set_peer_load(ts, get().info.id, 2);
	EXPECT_EQ(take(), 0);
	EXPECT_TRUE(seam_handle_eq(h, full));
}

// Guards against a target that refuses requests although all nodes report it as
// idle, and that would therefore attract requests for ever.
TEST_F(Load, IdleTargetThatRefusesIsEjected)
{
	for (int i = 0; i < 100 && !get().ejected; i++) {
		ASSERT_EQ(take(), 0);
		end_request(h, SEAM_ROUTE_FULL);
		now += SEAM_SEC;
		seam_targets_set_peer_load(ts, "vm-0", 0);
		seam_targets_set_peer_load(ts, "vm-1", 0);
	}
	EXPECT_TRUE(get().ejected);
}

// Guards against targets that stay closed after the peers that filled them have
// reported that their requests ended.
TEST(LoadOfPeers, OpensTheTarget)
{
	auto s = sim::fleet(12);
	sim_node &far = *s->nodes[0];
	sim_node &n = *s->nodes[2];
	seam_locality near = {"a", nullptr, 0};
	seam_target_info info = {};
	seam_err e = SEAM_ERR_INIT;
	seam_handle own = SEAM_HANDLE_NONE;
	seam_handle h = SEAM_HANDLE_NONE;
	auto set = [&](int load) {
		seam_handle at = SEAM_HANDLE_NONE;
		seam_table *t = seam_targets_lock(far.node->targets);
		((seam_target *)seam_table_next(t, &at))->outstanding = load;
		seam_targets_unlock(far.node->targets);
		s->run(3 * SEAM_SEC);
	};
	auto take = [&](seam_handle *at) {
		return seam_route_acquire(n.node->targets, "s", &near, nullptr,
					  n.now(), at, &e);
	};

	snprintf(info.id, sizeof(info.id), "vm-1");
	snprintf(info.service, sizeof(info.service), "s");
	info.slots = 4;
	for (auto &x : s->nodes)
		seam_targets_set(x->node->targets, &info, 1);
	ASSERT_EQ(take(&own), 0);
	set(4);
	EXPECT_EQ(take(&h), -1);
	seam_route_release(n.node->targets, own);
	set(0);
	EXPECT_EQ(take(&h), 0);
}

// Guards against nodes that keep the slots they took first while requests of
// other nodes wait, and against parts that exceed a target's slots.
TEST(LoadOfPeers, DividesSlotsByDemand)
{
	auto s = sim::fleet(13);
	seam_locality near = {"a", nullptr, 0};
	seam_target_info info[5] = {};
	seam_err e = SEAM_ERR_INIT;
	std::map<int, int> on, by;
	seam_handle h;
	auto add_requests = [&](int i, int n) {
		seam_targets_add_requests(s->nodes[i]->node->targets, "s", n);
	};
	auto fill = [&] {
		on.clear();
		by.clear();
		for (int i = 0; i < 9; i++) {
			auto *ts = s->nodes[i]->node->targets;
			while (!seam_route_acquire(ts, "s", &near, nullptr,
						   s->nodes[i]->now(), &h,
						   &e)) {
				on[(int)h.bits]++;
				by[i]++;
			}
		}
	};

	for (int i = 0; i < 5; i++) {
		snprintf(info[i].id, sizeof(info[i].id), "vm-%d", i);
		snprintf(info[i].service, sizeof(info[i].service), "s");
		info[i].slots = 8;
	}
	for (auto &x : s->nodes)
		seam_targets_set(x->node->targets, info, 5);
	add_requests(0, 300);
	add_requests(1, 100);
	s->run(4 * SEAM_SEC);
	fill();
	EXPECT_EQ(by[0], 30);
	EXPECT_EQ(by[1], 10);
	for (auto &x : on)
		EXPECT_EQ(x.second, 8);
	// The first node has no demand now, so its part goes to the second
	// while its requests still run.
	add_requests(0, -300);
	add_requests(1, 300);
	s->run(4 * SEAM_SEC);
	fill();
	EXPECT_EQ(by[0], 0);
	EXPECT_EQ(by[1], 30);
}
