// Tests of the freshness bounds: which actions a node may take with cached
// data.
#include <gtest/gtest.h>

#include <json-c/json.h>

#include "fake/fake.h"
#include "process/fresh.h"
#include "process/node.h"
#include "tests/change.h"

static const seam_fresh_bounds bounds = {300000, 10000, 30000, 200};
static const seam_time T = 1000000 * (seam_time)SEAM_SEC;

static int check(seam_fresh_class c, seam_time age)
{
	seam_err e = SEAM_ERR_INIT;
	int rc = seam_fresh_check(c, T, T + age, &bounds, &e);

	EXPECT_EQ(e.kind, rc ? SEAM_STALE : SEAM_OK);
	return rc;
}

// Guards the bounds of docs/design.md, section 6, to the microsecond.
TEST(Fresh, BoundOfEachClass)
{
	const struct {
		seam_fresh_class c;
		int64_t ms;
	} rows[] = {{SEAM_FRESH_IDEMPOTENT, 300000},
		    {SEAM_FRESH_NON_IDEMPOTENT, 10000},
		    {SEAM_FRESH_KEYED, 10000},
		    {SEAM_FRESH_PUT_TASK, 10000},
		    {SEAM_FRESH_MOVE_VM, 30000}};

	for (auto &r : rows) {
		EXPECT_EQ(check(r.c, r.ms * SEAM_MSEC), 0) << r.c;
		EXPECT_EQ(check(r.c, r.ms * SEAM_MSEC + 1), -1) << r.c;
	}
	for (auto c : {SEAM_FRESH_START_TASK, SEAM_FRESH_RUNNING_TASK,
		       SEAM_FRESH_ADOPT_CONF})
		EXPECT_EQ(check(c, 3600 * (seam_time)SEAM_SEC), 0) << c;
}

// Guards against a new class for which the need of a store commit is not set.
TEST(Fresh, EveryClassNeedsStoreOrNot)
{
	const bool store[SEAM_FRESH_CLASSES] = {false, false, true, true,
						true,  false, true, false};
	seam_err e = SEAM_ERR_INIT;

	for (int c = 0; c < SEAM_FRESH_CLASSES; c++)
		EXPECT_EQ(seam_fresh_needs_store((seam_fresh_class)c), store[c])
			<< c;
	EXPECT_EQ(seam_fresh_check(SEAM_FRESH_CLASSES, T, T, &bounds, &e), -1);
}

// Guards against actions on a node that never had a configuration, and against
// a peer whose clock is ahead: its confirmation must not extend the bound.
TEST(Fresh, NeverConfirmedAndFuture)
{
	seam_err e = SEAM_ERR_INIT;

	EXPECT_EQ(seam_fresh_check(SEAM_FRESH_IDEMPOTENT, 0, T, &bounds, &e),
		  -1);
	EXPECT_EQ(seam_fresh_check(SEAM_FRESH_KEYED, T + 200 * SEAM_MSEC, T,
				   &bounds, &e),
		  0);
	EXPECT_EQ(seam_fresh_check(SEAM_FRESH_KEYED, T + 201 * SEAM_MSEC, T,
				   &bounds, &e),
		  -1);
}

// A node whose threads are not started, over a store that tests disconnect.
class Node : public ::testing::Test
{
      protected:
	seam_fake_clock clock;
	seam_store *store = nullptr;
	seam_store *view = nullptr;
	seam_fake_platform *platform = nullptr;
	seam_node *node = nullptr;
	seam_err e = SEAM_ERR_INIT;

	void SetUp() override
	{
		seam_settings s;

		seam_fake_clock_init(&clock, T);
		store = seam_store_mem_new(&clock.clock);
		view = seam_store_mem_connect(store);
		platform = seam_fake_platform_new(&clock.clock);
		seam_settings_default(&s);
		s.threads = 128; // sanitizers are slow with a thousand
		snprintf(s.node, sizeof(s.node), "n1");
		node = seam_node_new(&s, &clock.clock, view,
				     seam_fake_platform_base(platform), &e);
		ASSERT_NE(node, nullptr) << e.text;
	}
	void TearDown() override
	{
		seam_node_free(node);
		seam_fake_platform_free(platform);
		seam_store_close(view);
		seam_store_close(store);
	}
	void commit(const char *state, uint64_t expected)
	{
		char hash[SEAM_SHA256_HEX_SIZE];

		seam_sha256_hex("lender", hash);
		std::string doc =
			std::string("{\"put\":[{\"kind\":\"team\",\"object\":{"
				    "\"name\":\"t\"}},{\"kind\":\"key\","
				    "\"object\":{\"name\":\"k\",\"team\":\"t\","
				    "\"sha256\":\"") +
			hash + "\",\"state\":\"" + state + "\"}}]}";
		commit_change(store, &clock.clock, doc, expected);
	}
	// Does what the part "version" does once a second.
	bool poll()
	{
		seam_time now = clock.time;
		seam_conf *c = seam_conf_load(view, now + SEAM_SEC, &e);

		if (!c)
			return false;
		seam_conf_publish(&node->conf, c);
		seam_node_confirm(node, now);
		return true;
	}
	bool key_works()
	{
		seam_conf *c = seam_conf_current(&node->conf);
		bool ok = seam_conf_authenticate(c, "lender", &e) != nullptr;

		seam_conf_unref(c);
		return ok;
	}
	bool fresh(seam_fresh_class c)
	{
		return !seam_fresh_check(c, node->confirmed_at, clock.time,
					 &bounds, &e);
	}
	void cut(bool down)
	{
		seam_store_faults f = {};

		f.down = down;
		seam_store_mem_set_faults(view, &f);
	}
	void wait(seam_time t)
	{
		seam_fake_clock_set(&clock, clock.time + t);
	}
};

// Guards against a withdrawn key that is still accepted after the next poll.
TEST_F(Node, WithdrawnKeyStopsAtTheNextPoll)
{
	commit("granted", 0);
	ASSERT_TRUE(poll());
	ASSERT_TRUE(key_works());
	commit("withdrawn", 1);
	wait(SEAM_SEC);
	ASSERT_TRUE(poll());
	EXPECT_FALSE(key_works());
	EXPECT_EQ(e.kind, SEAM_UNAUTHENTICATED);
}

// Guards against a withdrawn key that keeps working in a data centre that
// cannot reach the store: it must not write after stale_key_ms and not read
// after stale_serve_ms.
TEST_F(Node, WithdrawnKeyWhileCutOff)
{
	commit("granted", 0);
	ASSERT_TRUE(poll());
	cut(true);
	commit("withdrawn", 1);
	wait(10 * SEAM_SEC);
	ASSERT_FALSE(poll());
	ASSERT_TRUE(key_works());
	EXPECT_TRUE(fresh(SEAM_FRESH_KEYED));
	EXPECT_EQ(seam_node_check_fresh(node, SEAM_FRESH_KEYED,
					seam_node_confirmed(node), &e),
		  0);
	wait(1);
	EXPECT_FALSE(fresh(SEAM_FRESH_KEYED));
	EXPECT_FALSE(fresh(SEAM_FRESH_PUT_TASK));
	EXPECT_EQ(seam_node_check_fresh(node, SEAM_FRESH_KEYED,
					seam_node_confirmed(node), &e),
		  -1);
	EXPECT_EQ(e.kind, SEAM_STALE);
	EXPECT_TRUE(fresh(SEAM_FRESH_IDEMPOTENT));
	wait(290 * SEAM_SEC);
	EXPECT_FALSE(fresh(SEAM_FRESH_IDEMPOTENT));
	EXPECT_EQ(seam_node_check_fresh(node, SEAM_FRESH_IDEMPOTENT,
					seam_node_confirmed(node), &e),
		  -1);
	cut(false);
	ASSERT_TRUE(poll());
	EXPECT_FALSE(key_works());
}

// Guards against a node that serves from outdated data after a pause, and
// against a confirmation time that goes backwards.
TEST_F(Node, ResumesAfterAPause)
{
	commit("granted", 0);
	ASSERT_TRUE(poll());
	commit("withdrawn", 1);
	wait(120 * SEAM_SEC);
	EXPECT_FALSE(fresh(SEAM_FRESH_NON_IDEMPOTENT));
	seam_node_confirm(node, T - SEAM_SEC);
	EXPECT_EQ(node->confirmed_at, T);
	ASSERT_TRUE(poll());
	EXPECT_TRUE(fresh(SEAM_FRESH_NON_IDEMPOTENT));
	EXPECT_FALSE(key_works());
}
