// Claims of idempotency keys: one store, several nodes, faults of the store.
// Tests with the fake clock are single-threaded and deterministic.
#include <gtest/gtest.h>

#include <map>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "base/log.h"
#include "tests/once_fixture.h"

class OnceThreads : public Once
{
      protected:
	void pick_clock() override
	{
		clock = seam_clock_real();
	}
};

// Guards against a repeated request that runs again, at any node, instead
// of getting the stored outcome.
TEST_F(Once, RepeatGetsTheSameOutcome)
{
	seam_once_claim c = name("k");

	ASSERT_EQ(begin(0, &c), SEAM_ONCE_RUN);
	EXPECT_EQ(ask(0, "k"), "in_progress");
	EXPECT_EQ(ask(1, "k"), "in_progress");
	EXPECT_EQ(ask(1, "k", "other"), "conflict");
	EXPECT_EQ(ask(0, "k", "other"), "conflict");
	end_ok(0, &c, "done");
	EXPECT_EQ(ask(0, "k"), "201 done");
	EXPECT_EQ(ask(1, "k"), "201 done");
	EXPECT_EQ(ask(1, "k", "other"), "conflict");
	EXPECT_EQ(ask(1, "l"), "RUN");
}

// Guards against a second run of a request whose claiming node crashed between
// claim and outcome: its outcome is unknown after the deadline and clock skew.
TEST_F(Once, CrashedClaimerLeavesOutcomeUnknown)
{
	seam_once_claim c = name("k");

	ASSERT_EQ(begin(0, &c), SEAM_ONCE_RUN);
	seam_once_claim_free(&c);
	seam_once_free(node[0]);
	node[0] = make(0);
	EXPECT_EQ(ask(1, "k"), "in_progress");
	EXPECT_EQ(ask(0, "k"), "in_progress");
	seam_fake_clock_set(&fake, in(5100));
	EXPECT_EQ(ask(1, "k"), "in_progress");
	seam_fake_clock_set(&fake, in(200));
	EXPECT_EQ(ask(1, "k"), "outcome_unknown");
	EXPECT_EQ(ask(0, "k"), "outcome_unknown");
}

// Guards against freeing the key of a request that may have run.
TEST_F(Once, OnlyNotRunFreesTheKey)
{
	seam_once_claim c = name("k");

	ASSERT_EQ(begin(0, &c), SEAM_ONCE_RUN);
	end_err(0, &c, SEAM_BUSY);
	c = name("k");
	ASSERT_EQ(begin(1, &c), SEAM_ONCE_RUN);
	end_err(1, &c, SEAM_TARGET_FAILED);
	EXPECT_EQ(ask(0, "k"), "outcome_unknown");
	EXPECT_EQ(ask(1, "k"), "outcome_unknown");
}

// Guards against a key that is blocked or runs twice because its claim and its
// outcome were applied but the store's answers were lost.
TEST_F(Once, LostAnswerAtClaimAndOutcome)
{
	seam_once_claim c = name("k");

	faults(0, false, 1000, 0);
	ASSERT_EQ(begin(0, &c), SEAM_ONCE_RUN) << e.text;
	end_ok(0, &c, "done");
	EXPECT_EQ(ask(1, "k"), "201 done");
	EXPECT_EQ(ask(0, "k"), "201 done");
}

// Guards against reporting a claim of unknown result as "not run", and
// against sending its request.
TEST_F(Once, UnresolvedClaimIsUnknown)
{
	faults(0, false, 0, 1000);
	EXPECT_EQ(ask(0, "k"), "outcome_unknown");
	faults(0, false, 0, 0);
	EXPECT_EQ(ask(1, "k"), "RUN");
}

// Guards against running requests while the store is down, and against losing
// an outcome during an outage: it is written afterwards.
TEST_F(Once, StoreDown)
{
	seam_once_claim c = name("k");

	faults(0, true, 0, 0);
	EXPECT_EQ(ask(0, "k"), "unavailable");
	EXPECT_EQ(seam_err_kind_info(SEAM_UNAVAILABLE)->run, SEAM_NOT_RUN);
	faults(0, false, 0, 0);
	ASSERT_EQ(begin(0, &c), SEAM_ONCE_RUN);
	faults(0, true, 0, 0);
	end_ok(0, &c, "done");
	EXPECT_EQ(ask(1, "k"), "in_progress");
	seam_once_maintain(node[0], seam_now(clock), false);
	EXPECT_FALSE(seam_once_flush(node[0], in(300)));
	faults(0, false, 0, 0);
	seam_once_maintain(node[0], seam_now(clock), false);
	EXPECT_EQ(ask(1, "k"), "201 done");
	EXPECT_TRUE(seam_once_flush(node[0], in(300)));
}

// Guards against sending after the deadline when the claim took too long.
TEST_F(Once, LateClaimDoesNotRun)
{
	seam_once_claim c = name("k");

	faults(0, false, 0, 0, 100 * SEAM_MSEC);
	EXPECT_EQ(seam_once_begin(node[0], &c, in(50), &e), -1);
	EXPECT_EQ(e.kind, SEAM_DEADLINE);
	seam_once_claim_free(&c);
	EXPECT_EQ(ask(1, "k"), "RUN");
}

// Guards against claims that write to the store beyond the write budget.
TEST_F(Once, WriteBudgetRefusesNotRun)
{
	seam_once_free(node[0]);
	node[0] = make(0, 6);
	EXPECT_EQ(ask(0, "a"), "RUN");
	EXPECT_EQ(ask(0, "b"), "RUN");
	std::string third = ask(0, "c");
	std::string fourth = ask(0, "d");
	EXPECT_EQ(fourth, "unavailable") << third;
	seam_fake_clock_set(&fake, in(1000));
	EXPECT_EQ(ask(0, "d"), "RUN");
}

// Guards against corrupted binary or empty bodies, and against oversized rows:
// a large body is stored as length and hash.
TEST_F(Once, AnswersSurviveTheRow)
{
	std::string bytes("\0\xff\x80 x", 5);
	std::string large(SEAM_ONCE_BODY_MAX + 1, 'x');
	seam_once_claim c = name("bytes");

	ASSERT_EQ(begin(0, &c), SEAM_ONCE_RUN);
	end_ok(0, &c, bytes);
	EXPECT_EQ(ask(1, "bytes"), "201 " + bytes);
	c = name("empty");
	ASSERT_EQ(begin(0, &c), SEAM_ONCE_RUN);
	end_ok(0, &c, "");
	EXPECT_EQ(ask(1, "empty"), "201 ");
	c = name("large");
	ASSERT_EQ(begin(0, &c), SEAM_ONCE_RUN);
	end_ok(0, &c, large);
	std::string out = ask(1, "large");
	EXPECT_EQ(out.find("201 {\"outcome\":{\"run\":\"ran\""), 0u) << out;
	EXPECT_NE(out.find("\"length\":16385,"), std::string::npos) << out;
}

// Guards against treating a malformed row as a free key.
TEST_F(Once, DamagedRowDoesNotRun)
{
	seam_once_claim c = name("k");
	seam_write w = {SEAM_PUT, c.key, SEAM_ABSENT, "{\"state\":", 9};
	seam_commit cm = {&w, 1, 1, 0};

	ASSERT_EQ(seam_store_commit(store, &cm, in(1000), &e), 0);
	EXPECT_EQ(ask(0, "k"), "internal");
	seam_once_claim_free(&c);
}

// Guards against unbounded growth of the table, deletion of rows that have not
// expired, and unbounded work in one pass.
TEST_F(Once, SweepDeletesExpiredRowsInBounds)
{
	for (int i = 0; i < 300; i++)
		ASSERT_EQ(ask(0, "old" + std::to_string(i)), "RUN");
	seam_fake_clock_set(&fake,
			    in(1000) + 24LL * 3600 * SEAM_SEC + 5 * SEAM_SEC);
	ASSERT_EQ(ask(0, "new"), "RUN");
	uint64_t before = seam_store_mem_stats(view[1]).rows_written;
	seam_time now = seam_now(clock);
	seam_once_maintain(node[1], now, false);
	EXPECT_EQ(seam_store_mem_stats(view[1]).rows_written, before);
	uint64_t worst = 0;
	for (int i = 0; i < 10; i++) {
		uint64_t was = seam_store_mem_stats(view[1]).rows_written;
		seam_once_maintain(node[1], now += SEAM_SEC, true);
		worst = std::max(worst,
				 seam_store_mem_stats(view[1]).rows_written -
					 was);
	}
	EXPECT_LE(worst, 128u);
	EXPECT_EQ(seam_store_mem_stats(view[1]).rows_written - before, 300u);
	EXPECT_EQ(ask(1, "new"), "201 later");
}

// Guards against racing nodes that both run a request with the same key.
TEST_F(OnceThreads, RacingNodesRunOnce)
{
	const int keys = 40;
	std::vector<int> runs(keys);
	std::vector<std::thread> threads;

	faults(0, false, 200, 0);
	faults(1, false, 0, 100);
	for (int t = 0; t < 8; t++)
		threads.emplace_back([&, t] {
			for (int k = 0; k < keys; k++) {
				seam_err te = SEAM_ERR_INIT;
				seam_once_claim c;
				seam_call call = {};

				call.method = "POST";
				call.path = "/p";
				call.query = "";
				seam_once_claim_init(&c, "t",
						     std::to_string(k).c_str(),
						     "s", &call, &te);
				if (seam_once_begin(node[t % 2], &c, in(9000),
						    &te) == SEAM_ONCE_RUN) {
					__atomic_fetch_add(&runs[k], 1,
							   __ATOMIC_RELAXED);
					seam_answer a = {};
					a.status = 200;
					seam_once_end(node[t % 2], &c, 0, &a,
						      nullptr);
				}
				seam_once_claim_free(&c);
			}
		});
	for (auto &t : threads)
		t.join();
	for (int k = 0; k < keys; k++)
		EXPECT_LE(runs[k], 1) << k;
	EXPECT_GT(std::count(runs.begin(), runs.end(), 1), keys / 2);
}

/* A frozen clock: waits end by a signal only. */
static seam_time frozen_now(seam_clock *)
{
	return 1000000LL * SEAM_SEC;
}

static bool frozen_wait(seam_clock *, pthread_cond_t *c, pthread_mutex_t *m,
			seam_time)
{
	return !pthread_cond_wait(c, m);
}

class OnceFrozenClock : public Once
{
      protected:
	seam_clock_ops frozen_ops = {frozen_now, frozen_wait};
	seam_clock frozen = {&frozen_ops};

	void pick_clock() override
	{
		clock = &frozen;
	}
};

// Guards against a commit for each claim: concurrent claims share commits of 64
// rows. The clock is frozen, so only full groups are committed.
TEST_F(OnceFrozenClock, ClaimsShareCommits)
{
	std::vector<std::thread> threads;
	int ran = 0;

	for (int t = 0; t < 2 * SEAM_ONCE_GROUP; t++)
		threads.emplace_back([&, t] {
			seam_err te = SEAM_ERR_INIT;
			seam_once_claim c;
			seam_call call = {};

			call.method = "POST";
			call.path = "/p";
			call.query = "";
			seam_once_claim_init(&c, "t", std::to_string(t).c_str(),
					     "s", &call, &te);
			if (seam_once_begin(node[0], &c, in(9000), &te) ==
			    SEAM_ONCE_RUN)
				__atomic_fetch_add(&ran, 1, __ATOMIC_RELAXED);
			seam_once_claim_free(&c);
		});
	for (auto &t : threads)
		t.join();
	EXPECT_EQ(ran, 2 * SEAM_ONCE_GROUP);
	EXPECT_EQ(seam_store_mem_stats(view[0]).rows_written,
		  2u * SEAM_ONCE_GROUP);
	EXPECT_EQ(seam_store_mem_stats(view[0]).commits, 2u);
}

// Guards against an invariant that misses an overwritten claim.
TEST_F(Once, InvariantFires)
{
	seam_once_claim c = name("k");
	long before = seam_invariant_count();

	ASSERT_EQ(begin(0, &c), SEAM_ONCE_RUN);
	seam_once_claim other = name("k");
	other.row.claim = 5;
	other.row.deadline = other.row.expires = 1;
	char *text = seam_once_row_write(&other.row);
	seam_write w = {SEAM_PUT, c.key, SEAM_ANY_VERSION, text, strlen(text)};
	seam_commit cm = {&w, 1, 1, 0};
	ASSERT_EQ(seam_store_commit(store, &cm, in(1000), &e), 0);
	free(text);
	seam_invariant_set_abort(false);
	end_ok(0, &c, "done");
	seam_invariant_set_abort(true);
	EXPECT_EQ(seam_invariant_count(), before + 1);
}

// Expected state of a key in a randomised run.
struct key_history {
	int runs = 0;
	std::string body;
};

class OnceRandom : public Once
{
      protected:
	struct open {
		seam_once_claim c;
		std::string key;
		int node;
	};
	std::vector<open> running;
	std::map<std::string, key_history> keys;

	void start(std::mt19937 &rnd)
	{
		std::string key = std::to_string(rnd() % 60);
		int i = (int)(rnd() % 2);
		seam_once_claim c = name(key);
		int rc = begin(i, &c);
		key_history &h = keys[key];

		if (rc == SEAM_ONCE_RUN) {
			running.push_back({c, key, i});
			return;
		}
		if (rc == SEAM_ONCE_REPEAT) {
			std::string body(c.row.answer.body, c.row.answer.len);
			SEAM_INVARIANT(h.runs == 1 && body == h.body, "request",
				       "Key %s: runs %d, body %s.", key.c_str(),
				       h.runs, body.c_str());
		}
		seam_once_claim_free(&c);
	}

	void count_run(const std::string &key)
	{
		int runs = ++keys[key].runs;

		SEAM_INVARIANT(runs == 1, "request", "Key %s ran %d times.",
			       key.c_str(), runs);
	}

	void finish(std::mt19937 &rnd)
	{
		open o = running.back();
		key_history &h = keys[o.key];

		running.pop_back();
		if (rnd() % 4 == 0) {
			end_err(o.node, &o.c, SEAM_BUSY);
			return;
		}
		count_run(o.key);
		h.body = o.key + "-" + std::to_string(rnd() % 1000);
		if (rnd() % 4 == 0)
			end_err(o.node, &o.c, SEAM_TARGET_FAILED);
		else
			end_ok(o.node, &o.c, h.body);
	}

	/* Crashes and restarts a node: its claims stay, pending outcomes are
	 * lost. */
	void restart_node(int i)
	{
		for (size_t k = 0; k < running.size();) {
			if (running[k].node != i) {
				k++;
				continue;
			}
			seam_once_claim_free(&running[k].c);
			running.erase(running.begin() + (long)k);
		}
		seam_once_free(node[i]);
		node[i] = make(i);
	}

	void inject_fault(std::mt19937 &rnd)
	{
		int i = (int)(rnd() % 2);

		switch (rnd() % 4) {
		case 0:
			restart_node(i);
			break;
		case 1:
			faults(i, rnd() % 2, (int)(rnd() % 300),
			       (int)(rnd() % 300), rnd() % (20 * SEAM_MSEC));
			break;
		case 2:
			faults(i, false, 0, 0);
			break;
		default:
			seam_fake_clock_set(&fake, in((int)(rnd() % 3000)));
		}
	}
};

// Guards against a key that runs twice and a repeat with another outcome, in
// reproducible randomised runs with two nodes, crashes, store faults and
// repeats.
TEST_F(OnceRandom, KeysRunAtMostOnce)
{
	for (unsigned seed = 1; seed <= 12; seed++) {
		std::mt19937 rnd(seed);
		int ran = 0;

		for (int step = 0; step < 1500; step++) {
			unsigned action = rnd() % 20;

			if (action < 10)
				start(rnd);
			else if (action < 17 && !running.empty())
				finish(rnd);
			else if (action == 17)
				inject_fault(rnd);
			else
				seam_once_maintain(node[rnd() % 2],
						   seam_now(clock), true);
		}
		restart_node(0);
		restart_node(1);
		for (auto &k : keys)
			ran += k.second.runs;
		EXPECT_GT(ran, 20) << "seed " << seed;
		keys.clear();
		/* Let the rows expire, so that the keys are free for the next
		 * seed. */
		faults(0, false, 0, 0);
		faults(1, false, 0, 0);
		seam_fake_clock_set(&fake, in(0) + 48LL * 3600 * SEAM_SEC);
		for (int i = 0; i < 4; i++) {
			seam_fake_clock_set(&fake, in(61000));
			seam_once_maintain(node[0], seam_now(clock), true);
		}
	}
}

// Guards against invariants of the randomised run that miss a second run: the
// row of a finished request is deleted, so its key runs again.
TEST_F(OnceRandom, SecondRunViolatesInvariant)
{
	long before = seam_invariant_count();

	seam_invariant_set_abort(false);
	for (int i = 0; i < 2; i++) {
		seam_once_claim c = name("k");
		seam_write w = {SEAM_DELETE, c.key, SEAM_ANY_VERSION, "", 0};
		seam_commit cm = {&w, 1, 1, 0};

		ASSERT_EQ(seam_store_commit(store, &cm, in(1000), &e), 0);
		ASSERT_EQ(begin(0, &c), SEAM_ONCE_RUN);
		count_run("k");
		end_ok(0, &c, "done");
	}
	seam_invariant_set_abort(true);
	EXPECT_EQ(seam_invariant_count(), before + 1);
}
