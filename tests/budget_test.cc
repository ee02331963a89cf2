// Rate limits and circuit breaker of the budget store, with a simulated clock.
#include <gtest/gtest.h>

#include "process/store.h"

class Budget : public ::testing::Test
{
      protected:
	seam_fake_clock fake;
	seam_store *mem;
	seam_store *s;
	seam_err e = SEAM_ERR_INIT;

	Budget()
	{
		seam_budget_conf c = {10, 20, 7};

		seam_fake_clock_init(&fake, 1000 * SEAM_SEC);
		mem = seam_store_mem_new(&fake.clock);
		s = seam_store_budget_new(seam_store_mem_connect(mem),
					  &fake.clock, &c);
	}
	~Budget() override
	{
		seam_store_close(s);
		seam_store_close(mem);
	}
	void advance(int ms)
	{
		seam_fake_clock_set(&fake, fake.time + ms * SEAM_MSEC);
	}
	bool write(const char *key, uint64_t version = SEAM_ANY_VERSION)
	{
		seam_write w = {SEAM_PUT, key, version, "1", 1};
		seam_commit c = {&w, 1, 5, 0};

		seam_err_clear(&e);
		return !seam_store_commit(s, &c, fake.time + SEAM_SEC, &e);
	}
	bool read(const char *key)
	{
		seam_row row = {};
		int rc;

		seam_err_clear(&e);
		rc = seam_store_get(s, key, &row, fake.time + SEAM_SEC, &e);
		if (!rc)
			seam_row_free(&row);
		return !rc || e.kind == SEAM_NOT_FOUND;
	}
	// Only the connection of the budget store has the faults.
	void set_faults(bool down, int lose = 0)
	{
		seam_store_faults f = {};

		f.down = down;
		f.lose_answers = lose;
		seam_store_mem_set_faults(inner(), &f);
	}
	seam_store *inner()
	{
		// The inner store is the member after the vtable.
		return ((seam_store **)s)[1];
	}
};

// Guards against more rows written per second than the setting allows.
TEST_F(Budget, LimitsRowsWritten)
{
	int done = 0;

	for (int i = 0; i < 10000; i++, advance(1))
		done += write("config/x");
	EXPECT_LE(done, 10 * 10 + 10 * 2 + 1);
	EXPECT_GE(done, 10 * 10 - 1);
	EXPECT_EQ((int)seam_store_mem_stats(inner()).rows_written, done);
}

// Guards against members that together exceed the rate of the store.
TEST_F(Budget, DividesRateByMembers)
{
	int done = 0;

	seam_store_budget_set_members(s, 10);
	for (int i = 0; i < 20000; i++, advance(1))
		done += read("config/x");
	EXPECT_LE(done, 20 * 2 + 2 * 2 + 1);
	EXPECT_GE(done, 20 * 2 - 1);
}

// Guards against housekeeping that uses up the rate needed for configuration
// and claims.
TEST_F(Budget, ShedsByPriorityClass)
{
	const char *keys[] = {"config/x", "once/x", "queue/x",
			      "team/x",	  "pool/x", "member/x"};
	int done[6] = {};

	for (int i = 0; i < 20000; i++, advance(1))
		for (int c = 5; c >= 0; c--)
			done[c] += write(keys[c]);
	EXPECT_GT(done[0], 150);
	for (int c = 1; c < 6; c++)
		EXPECT_LE(done[c], done[c - 1]) << keys[c];
	EXPECT_LT(done[5], 20);
}

// Guards against a node that sends to leaving targets after an outage, because
// its reads of members and pools are shed while tasks use up the budget.
TEST_F(Budget, TasksDoNotStarveReadsOfPools)
{
	set_faults(true);
	for (int i = 0; i < 6; i++)
		read("config/head");
	set_faults(false);
	advance(3000);
	ASSERT_TRUE(read("config/head"));
	for (int i = 0; i < 9; i++) {
		advance(1000);
		while (read("queue/t/q/0"))
			;
		EXPECT_TRUE(read(i == 5 ? "member/n" : "pool-version/p")) << i;
	}
}

// Guards against the full load of retries on a store that is down, and against
// a recovery that takes longer than the maximum probe interval.
TEST_F(Budget, BreakerProbesAndRecovers)
{
	seam_store_stats before;
	int probes = 0;

	set_faults(true);
	for (int i = 0; i < 10; i++)
		read("config/head");
	EXPECT_TRUE(seam_store_budget_state(s).open);
	for (int i = 0; i < 3600 * 10; i++, advance(100)) {
		read("config/head");
		probes += !strstr(e.text, "next probe");
	}
	EXPECT_LE(probes, 3600 * 2);
	EXPECT_GE(probes, 3600 / 2);
	set_faults(false);
	for (int i = 0; i < 21 && seam_store_budget_state(s).open; i++) {
		read("config/head");
		advance(100);
	}
	EXPECT_FALSE(seam_store_budget_state(s).open);
	before = seam_store_mem_stats(inner());
	for (int i = 0; i < 1000; i++, advance(1))
		read("config/head");
	EXPECT_LE(seam_store_mem_stats(inner()).reads - before.reads, 20u / 2);
}

// Guards against the conclusion that no configuration change can have been
// accepted while a commit with a lost response may still apply.
TEST_F(Budget, LostConfigCommitIsUnsettled)
{
	ASSERT_TRUE(write("config/head", SEAM_ABSENT));
	EXPECT_FALSE(seam_store_budget_state(s).unsettled);
	set_faults(false, 1000);
	EXPECT_FALSE(write("config/head", 1));
	EXPECT_EQ(e.kind, SEAM_COMMIT_UNKNOWN);
	EXPECT_TRUE(seam_store_budget_state(s).unsettled);
	advance(1000);
	ASSERT_TRUE(read("config/head"));
	EXPECT_FALSE(seam_store_budget_state(s).unsettled);
}

// Guards against a configuration commit that no longer counts as unsettled
// while the store may still apply it.
TEST_F(Budget, DroppedConfigCommitStaysUnsettled)
{
	seam_store_faults f = {};

	ASSERT_TRUE(write("config/head", SEAM_ABSENT));
	f.drop_commits = 1000;
	seam_store_mem_set_faults(inner(), &f);
	EXPECT_FALSE(write("config/head", 1));
	advance(1000);
	ASSERT_TRUE(read("config/head"));
	EXPECT_TRUE(seam_store_budget_state(s).unsettled);
	set_faults(false);
	advance(1000);
	EXPECT_TRUE(write("config/head", 1));
	EXPECT_FALSE(seam_store_budget_state(s).unsettled);
}

// Guards against refusals, when the budget is short, of reads of the index of
// pool rows and of orders to halt a wave: leaving targets could keep getting
// work, and a wave could exceed the availability budget.
TEST_F(Budget, PoolRowsHaveOneClass)
{
	for (const char *key : {"pool/web", "pool-version/web", "pool-version/",
				"wave/web", "vm/v1"})
		EXPECT_EQ(seam_store_class_of(key), SEAM_CLASS_POOL) << key;
	EXPECT_EQ(seam_store_class_of("pool-forecast/web"), SEAM_CLASS_OTHER);
}
