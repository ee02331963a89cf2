// Target choice, ejection, retry budget and wait queue, under a simulated clock
// and with fixed seeds.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "base/log.h"
#include "request/route.h"

static seam_target_info info_of(int i, const char *dc, int slots)
{
	seam_target_info t = {};

	snprintf(t.id, sizeof(t.id), "vm-%d", i);
	snprintf(t.addr, sizeof(t.addr), "127.0.0.1:%d", 20900 + i % 50);
	snprintf(t.dc, sizeof(t.dc), "%s", dc);
	snprintf(t.service, sizeof(t.service), "s");
	t.slots = slots;
	t.connections = 4;
	return t;
}

class Route : public ::testing::Test
{
      protected:
	seam_fake_clock clock;
	seam_targets *ts = nullptr;
	std::vector<seam_target_info> info;
	const char *region[1] = {"b"};
	seam_locality near = {"a", region, 1};
	seam_err e = SEAM_ERR_INIT;
	seam_time now = 1000 * SEAM_SEC;

	void SetUp() override
	{
		seam_route_seed(1);
		seam_fake_clock_init(&clock, now);
		ts = seam_targets_new(&clock.clock);
	}

	void TearDown() override
	{
		seam_targets_free(ts);
	}

	void add(int n, const char *dc, int slots = 8)
	{
		for (int i = 0; i < n; i++)
			info.push_back(info_of((int)info.size(), dc, slots));
		seam_targets_set(ts, info.data(), info.size());
	}

	seam_target get(seam_handle h)
	{
		auto *t =
			(seam_target *)seam_table_get(seam_targets_lock(ts), h);
		seam_target copy = *t;
		seam_targets_unlock(ts);
		return copy;
	}

	int take(seam_handle *h, const seam_tried_targets *tried = nullptr)
	{
		return seam_route_acquire(ts, "s", &near, tried, now, h, &e);
	}

	void fail(seam_handle h, int times)
	{
		for (int i = 0; i < times; i++)
			seam_route_report(ts, h, SEAM_ROUTE_FAILED, now);
	}
};

// Guards against refusing requests while any data centre has a free slot, and
// against a far data centre being preferred to a near one.
TEST_F(Route, PrefersNearTargetsThenFarThenBusy)
{
	std::string order;
	seam_handle h;

	add(2, "c", 2);
	add(2, "a", 2);
	add(2, "b", 2);
	for (int i = 0; i < 12; i++) {
		ASSERT_EQ(take(&h), 0) << i;
		order += get(h).info.dc;
	}
	EXPECT_EQ(order, "aaaabbbbcccc");
	EXPECT_EQ(take(&h), -1);
	EXPECT_EQ(e.kind, SEAM_BUSY);
	seam_route_release(ts, h);
	EXPECT_EQ(take(&h), 0);
	EXPECT_EQ(seam_route_acquire(ts, "x", &near, nullptr, now, &h, &e), -1);
	EXPECT_EQ(e.kind, SEAM_NOT_FOUND);
}

// Guards against retrying on the target that failed.
TEST_F(Route, RetryUsesAnotherTarget)
{
	seam_tried_targets tried = {};
	seam_handle h;

	add(2, "a", 50);
	ASSERT_EQ(take(&tried.h[0]), 0);
	tried.n = 1;
	for (int i = 0; i < 20; i++) {
		ASSERT_EQ(take(&h, &tried), 0);
		EXPECT_FALSE(seam_handle_eq(h, tried.h[0]));
	}
	info.pop_back();
	info.pop_back();
	info.push_back(info_of(9, "a", 8));
	seam_targets_set(ts, info.data(), info.size());
	ASSERT_EQ(take(&h, &tried), 0);
	EXPECT_STREQ(get(h).info.id, "vm-9");
}

// Guards against sending requests to a target that peers have filled.
TEST_F(Route, LoadOfPeersCounts)
{
	seam_handle h;

	add(2, "a", 8);
	ASSERT_TRUE(seam_targets_set_peer_load(ts, "vm-0", 8));
	for (int i = 0; i < 8; i++) {
		ASSERT_EQ(take(&h), 0);
		EXPECT_STREQ(get(h).info.id, "vm-1");
	}
	EXPECT_EQ(take(&h), -1);
	ASSERT_TRUE(seam_targets_set_peer_load(ts, "vm-0", 0));
	EXPECT_EQ(take(&h), 0);
	EXPECT_FALSE(seam_targets_set_peer_load(ts, "vm-7", 1));
}

// Guards against requests to leaving or removed targets, and against
// removed targets that stay in the index after their last request.
TEST_F(Route, ListChangesKeepTheIndexRight)
{
	seam_handle h, old;

	add(2, "a", 4);
	ASSERT_EQ(take(&old), 0);
	std::string id = get(old).info.id;
	for (auto &t : info)
		t.leaving = id == t.id;
	seam_targets_set(ts, info.data(), info.size());
	for (int i = 0; i < 4; i++) {
		ASSERT_EQ(take(&h), 0);
		EXPECT_NE(id, get(h).info.id);
	}
	EXPECT_EQ(take(&h), -1);
	seam_targets_set(ts, nullptr, 0);
	EXPECT_EQ(take(&h), -1);
	EXPECT_EQ(e.kind, SEAM_NOT_FOUND);
	EXPECT_EQ(get(old).outstanding, 1);
	seam_route_release(ts, old);
	seam_targets_set(ts, nullptr, 0);
	EXPECT_EQ(seam_table_get(seam_targets_lock(ts), old), nullptr);
	seam_targets_unlock(ts);
}

// Guards against ejecting more than half of a service's targets, and against
// ejection times that do not grow.
TEST_F(Route, EjectsAtMostHalfForGrowingTimes)
{
	std::vector<seam_handle> h(4);
	int out = 0;

	add(4, "a", 1);
	for (auto &x : h) {
		ASSERT_EQ(take(&x), 0);
		seam_route_release(ts, x);
		ASSERT_EQ(take(&x), 0);
	}
	for (auto &x : h)
		seam_route_release(ts, x);
	for (auto &x : h)
		fail(x, 3);
	for (auto &x : h)
		out += get(x).ejected;
	EXPECT_EQ(out, 2);
	seam_target t = {};
	seam_target_service s = {};
	s.members = 8;
	t.fails = 3;
	for (int i = 0; i < 8; i++) {
		seam_eject d = seam_eject_decide(&t, &s, now);
		EXPECT_TRUE(d.eject);
		EXPECT_EQ(d.until - now,
			  std::min<seam_time>(1 << i, 60) * SEAM_SEC);
		t.ejections++;
	}
	s.ejected = 4;
	EXPECT_FALSE(seam_eject_decide(&t, &s, now).eject);
}

// Guards against sending a readmitted target its full share at once.
TEST_F(Route, SlowStartAfterEjection)
{
	seam_handle bad, h;
	auto share = [&] {
		int hits = 0;

		for (int i = 0; i < 4000; i++) {
			EXPECT_EQ(take(&h), 0);
			hits += seam_handle_eq(h, bad);
			seam_route_release(ts, h);
		}
		return hits;
	};

	add(2, "a", 100);
	ASSERT_EQ(take(&bad), 0);
	seam_route_release(ts, bad);
	fail(bad, 3);
	EXPECT_EQ(share(), 0);
	now += 1 * SEAM_SEC;
	EXPECT_LT(share(), 100);
	EXPECT_TRUE(get(bad).full_weight_at > now);
	seam_target cold = get(bad);
	EXPECT_EQ(seam_route_weight(&cold, now), 50);
	now += 5 * SEAM_SEC;
	seam_target mid = get(bad);
	EXPECT_EQ(seam_route_weight(&mid, now), 500);
	now += 5 * SEAM_SEC;
	EXPECT_GT(share(), 1000);
}

// Guards against retry storms: retries are limited to 10% of the first attempts
// plus the refill by time.
TEST(Budget, BoundsRetries)
{
	seam_retry_budget b = {};
	seam_time now = 1000 * SEAM_SEC;
	long retries = 0;

	for (int i = 0; i < 100000; i++) {
		now += 100;
		seam_retry_budget_deposit(&b, now);
		for (int j = 0; j < 2; j++)
			retries += seam_retry_budget_withdraw(&b, now);
	}
	EXPECT_LE(retries, 100000 / 10 + 10 * 1 + 3);
	EXPECT_GE(retries, 100000 / 10);
}

// Guards against retrying requests that may have run and are not idempotent.
TEST(Budget, OnlySafeRequestsAreRetried)
{
	EXPECT_TRUE(seam_retry_allowed(false, SEAM_TARGET_REFUSED));
	EXPECT_FALSE(seam_retry_allowed(false, SEAM_TARGET_FAILED));
	EXPECT_TRUE(seam_retry_allowed(true, SEAM_TARGET_FAILED));
	EXPECT_FALSE(seam_retry_allowed(false, SEAM_OUTCOME_UNKNOWN));
	EXPECT_FALSE(seam_retry_allowed(true, SEAM_OVER_LIMIT));
}

// Guards against a team that gets more than its share of the slots by queueing
// more requests than another.
TEST(Fair, ServesByShare)
{
	seam_fair *f = seam_fair_new(1000);
	std::vector<seam_waiter> w(600);
	seam_err e = SEAM_ERR_INIT;
	seam_waiter *out;
	int big = 0;

	for (int i = 0; i < 600; i++) {
		w[i].team = i < 400 ? "small" : "big";
		w[i].share = i < 400 ? 1 : 3;
		w[i].deadline = SEAM_NEVER / 2;
		ASSERT_EQ(seam_fair_add(f, &w[i], 1, &out, &e), 0);
	}
	for (int i = 0; i < 200; i++) {
		seam_waiter *x = seam_fair_first(f);
		big += !strcmp(x->team, "big");
		seam_fair_served(f, x, 1);
	}
	EXPECT_NEAR(big, 150, 2);
	while (seam_fair_first(f))
		seam_fair_drop(f, seam_fair_first(f));
	seam_fair_free(f);
}

// Guards against a full queue that keeps out teams below their share: their
// request displaces the last one of a team above its share.
TEST(Fair, FullQueueShedsTheTeamFurthestAhead)
{
	seam_fair *f = seam_fair_new(4);
	seam_waiter w[6] = {};
	seam_err e = SEAM_ERR_INIT;
	seam_waiter *out;

	for (int i = 0; i < 6; i++) {
		w[i].team = i < 5 ? "loud" : "quiet";
		w[i].share = 1;
		w[i].deadline = SEAM_NEVER / 2;
	}
	for (int i = 0; i < 4; i++)
		ASSERT_EQ(seam_fair_add(f, &w[i], 1, &out, &e), 0);
	EXPECT_EQ(seam_fair_add(f, &w[4], 1, &out, &e), -1);
	EXPECT_EQ(e.kind, SEAM_BUSY);
	ASSERT_EQ(seam_fair_add(f, &w[5], 1, &out, &e), 0);
	EXPECT_EQ(out, &w[3]);
	EXPECT_TRUE(w[3].shed);
	EXPECT_EQ(seam_fair_count(f), 4);
	while (seam_fair_first(f))
		seam_fair_drop(f, seam_fair_first(f));
	seam_fair_free(f);
}

// Guards against queueing requests that cannot be served before their deadline
// at the measured rate, and against refusing the first one in an empty queue.
TEST(Fair, ShedsWhatCannotMeetItsDeadline)
{
	seam_fair *f = seam_fair_new(100);
	std::vector<seam_waiter> w(20);
	seam_err e = SEAM_ERR_INIT;
	seam_time now = 1000 * SEAM_SEC;
	seam_waiter *out;

	for (auto &x : w) {
		x.team = "t";
		x.share = 1;
		x.deadline = now + 100 * SEAM_SEC;
	}
	for (int i = 0; i < 10; i++)
		ASSERT_EQ(seam_fair_add(f, &w[i], now, &out, &e), 0);
	for (int i = 0; i < 5; i++)
		seam_fair_served(f, seam_fair_first(f), now += 100 * SEAM_MSEC);
	seam_fair_add_run_time(f, 50 * SEAM_MSEC);
	w[10].deadline = now + 500 * SEAM_MSEC;
	EXPECT_EQ(seam_fair_add(f, &w[10], now, &out, &e), -1);
	w[11].deadline = now + 800 * SEAM_MSEC;
	EXPECT_EQ(seam_fair_add(f, &w[11], now, &out, &e), 0);
	while (seam_fair_first(f))
		seam_fair_drop(f, seam_fair_first(f));
	w[12].deadline = now + 1;
	EXPECT_EQ(seam_fair_add(f, &w[12], now, &out, &e), 0);
	seam_fair_drop(f, &w[12]);
	seam_fair_free(f);
}

// Guards against lost wake-ups: threads that compete for few slots must all get
// one.
TEST(Waitq, EveryWaiterGetsASlot)
{
	seam_clock *k = seam_clock_real();
	seam_waitq *q = seam_waitq_new(k, 100);
	std::vector<std::thread> threads;
	struct pool {
		int free = 2;
		int served = 0;
	} p;
	auto take = [](void *arg, seam_time, seam_err *e) {
		auto *pp = (pool *)arg;

		if (__atomic_fetch_sub(&pp->free, 1, __ATOMIC_ACQ_REL) > 0)
			return 0;
		__atomic_fetch_add(&pp->free, 1, __ATOMIC_ACQ_REL);
		return seam_fail(e, SEAM_BUSY, nullptr);
	};

	for (int i = 0; i < 16; i++)
		threads.emplace_back([&, i] {
			for (int j = 0; j < 200; j++) {
				seam_waiter w = {};
				seam_err e = SEAM_ERR_INIT;

				w.team = i % 2 ? "x" : "y";
				w.share = 1;
				w.deadline = seam_now(k) + 30 * SEAM_SEC;
				if (seam_waitq_wait(q, &w, take, &p, &e))
					continue;
				__atomic_fetch_add(&p.served, 1,
						   __ATOMIC_ACQ_REL);
				__atomic_fetch_add(&p.free, 1,
						   __ATOMIC_ACQ_REL);
				seam_waitq_released(q, 0);
			}
		});
	for (auto &t : threads)
		t.join();
	EXPECT_EQ(p.served, 16 * 200);
	EXPECT_EQ(p.free, 2);
	seam_waitq_free(q);
}

// Guards against invariants that miss wrong slot counts and ejections.
TEST_F(Route, InvariantsFire)
{
	seam_handle h;
	long before = seam_invariant_count();

	seam_invariant_set_abort(false);
	add(1, "a", 2);
	ASSERT_EQ(take(&h), 0);
	seam_route_release(ts, h);
	seam_route_release(ts, h);
	EXPECT_EQ(seam_invariant_count(), before + 1);
	auto *t = (seam_target *)seam_table_get(seam_targets_lock(ts), h);
	t->info.leaving = true;
	seam_targets_unlock(ts);
	ASSERT_EQ(take(&h), 0);
	EXPECT_EQ(seam_invariant_count(), before + 2);
	seam_targets_lock(ts);
	seam_target_eject(t, now + SEAM_SEC);
	seam_targets_unlock(ts);
	EXPECT_EQ(seam_invariant_count(), before + 3);
	seam_invariant_set_abort(true);
}

// Guards against violated invariants on slots, leaving targets and ejections,
// in randomised runs with list changes, peer reports and failures.
TEST_F(Route, RandomisedChangesKeepInvariants)
{
	for (unsigned seed = 1; seed <= 10; seed++) {
		std::mt19937 rnd(seed);
		std::vector<seam_handle> held;

		seam_route_seed(seed);
		seam_handle h;
		int taken = 0;

		for (int step = 0; step < 20000; step++) {
			now += rnd() % (100 * SEAM_MSEC);
			switch (rnd() % 8) {
			case 0:
				info.clear();
				for (int i = 0; i < 20; i++) {
					if (rnd() % 4 == 0)
						continue;
					info.push_back(info_of(
						i, rnd() % 2 ? "a" : "c", 3));
					info.back().leaving = rnd() % 8 == 0;
				}
				seam_targets_set(ts, info.data(), info.size());
				break;
			case 1:
				seam_targets_set_peer_load(
					ts,
					("vm-" + std::to_string(rnd() % 20))
						.c_str(),
					(int)(rnd() % 4));
				break;
			case 2:
			case 3:
			case 4:
				if (!take(&h)) {
					held.push_back(h);
					taken++;
				}
				break;
			default:
				if (held.empty())
					break;
				std::swap(held[rnd() % held.size()],
					  held.back());
				seam_route_report(
					ts, held.back(),
					(seam_route_result)(rnd() % 3), now);
				seam_route_release(ts, held.back());
				held.pop_back();
			}
		}
		for (auto &x : held)
			seam_route_release(ts, x);
		EXPECT_GT(taken, 3000) << "seed " << seed;
	}
}
