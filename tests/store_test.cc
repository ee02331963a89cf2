// The memory store: atomic commits, versions, scans, and outcomes of commits
// whose response was lost.
#include <gtest/gtest.h>

#include <cstring>
#include <string>

#include "process/store.h"

class Store : public ::testing::Test
{
      protected:
	seam_fake_clock clock;
	seam_store *s;
	seam_err e = SEAM_ERR_INIT;

	void SetUp() override
	{
		seam_fake_clock_init(&clock, 1000 * SEAM_SEC);
		s = seam_store_mem_new(&clock.clock);
	}
	void TearDown() override
	{
		seam_store_close(s);
	}
	seam_time soon()
	{
		return clock.time + 5 * SEAM_SEC;
	}
	int put(const char *key, uint64_t version, const char *text,
		uint64_t *now = nullptr)
	{
		seam_write w = {SEAM_PUT, key, version, text, strlen(text)};
		seam_commit c = {&w, 1, 0, 0};
		int rc = seam_store_commit_retry(s, &clock.clock, &c, soon(),
						 &e);

		if (now)
			*now = c.version;
		return rc;
	}
};

// Guards against lost updates between two writers.
TEST_F(Store, CompareAndSet)
{
	uint64_t v = 0;

	ASSERT_EQ(put("a", SEAM_ABSENT, "1", &v), 0);
	EXPECT_EQ(put("a", SEAM_ABSENT, "2"), -1);
	EXPECT_EQ(e.kind, SEAM_CONFLICT);
	EXPECT_EQ(put("a", v, "2"), 0);
	EXPECT_EQ(put("a", v, "3"), -1);
}

// Guards against a commit that applies partially.
TEST_F(Store, CommitIsAllOrNothing)
{
	seam_write w[] = {{SEAM_PUT, "x", SEAM_ABSENT, "1", 1},
			  {SEAM_CHECK, "y", 5, nullptr, 0}};
	seam_commit c = {w, 2, 1, 0};
	seam_row row = {};

	EXPECT_EQ(seam_store_commit(s, &c, soon(), &e), -1);
	EXPECT_EQ(e.kind, SEAM_CONFLICT);
	EXPECT_EQ(seam_store_get(s, "x", &row, soon(), &e), -1);
	EXPECT_EQ(e.kind, SEAM_NOT_FOUND);
}

// Guards against a version that is reused after a deletion, which would let a
// writer that read the deleted row overwrite the new one.
TEST_F(Store, VersionsIncreaseAcrossDeletion)
{
	uint64_t first = 0;
	uint64_t second = 0;

	ASSERT_EQ(put("a", SEAM_ABSENT, "1", &first), 0);
	seam_write w = {SEAM_DELETE, "a", first, nullptr, 0};
	seam_commit c = {&w, 1, 1, 0};
	ASSERT_EQ(seam_store_commit(s, &c, soon(), &e), 0);
	ASSERT_EQ(put("a", SEAM_ABSENT, "2", &second), 0);
	EXPECT_GT(second, first);
}

// Guards against a commit that is applied twice, or reported as failed, after
// the store applied it and the response was lost.
TEST_F(Store, LostResponsesAreResolved)
{
	uint64_t v = SEAM_ABSENT;

	for (int i = 0; i < 300; i++) {
		seam_store_faults f = {};

		f.lose_answers = 400;
		f.drop_commits = 300;
		f.seed = 11 + i;
		seam_store_mem_set_faults(s, &f);
		uint64_t next = 0;
		ASSERT_EQ(put("n", v, std::to_string(i).c_str(), &next), 0)
			<< e.text;
		ASSERT_GT(next, v);
		v = next;
	}
	EXPECT_EQ(seam_store_mem_stats(s).commits, 300u);
}

// Guards against an unknown outcome for a commit that did not reach the store.
TEST_F(Store, CommitIsNotAppliedWhileDown)
{
	seam_store_faults f = {};

	f.down = true;
	seam_store_mem_set_faults(s, &f);
	EXPECT_EQ(put("a", SEAM_ABSENT, "1"), -1);
	EXPECT_EQ(e.kind, SEAM_UNAVAILABLE);
}

// Guards against rows that are skipped, repeated or out of order between pages,
// and against rows of another prefix.
TEST_F(Store, ScanPagesInOrder)
{
	seam_rows rows;

	for (int i = 0; i < 10; i++)
		ASSERT_EQ(put(("k/" + std::to_string(i)).c_str(), SEAM_ABSENT,
			      "v"),
			  0);
	ASSERT_EQ(put("l", SEAM_ABSENT, "v"), 0);
	ASSERT_EQ(seam_store_scan(s, "k/", nullptr, 4, &rows, soon(), &e), 0);
	ASSERT_EQ(rows.n, 4u);
	EXPECT_TRUE(rows.more);
	std::string after = rows.row[3].key;
	seam_rows_free(&rows);
	ASSERT_EQ(
		seam_store_scan(s, "k/", after.c_str(), 100, &rows, soon(), &e),
		0);
	EXPECT_EQ(rows.n, 6u);
	EXPECT_STREQ(rows.row[5].key, "k/9");
	EXPECT_FALSE(rows.more);
	seam_rows_free(&rows);
	ASSERT_EQ(seam_store_scan(s, "k/", nullptr, 10, &rows, soon(), &e), 0);
	EXPECT_EQ(rows.n, 10u);
	EXPECT_FALSE(rows.more);
	seam_rows_free(&rows);
}

// Guards against a memory store that does not simulate the platform's limit on
// rows written per second.
TEST_F(Store, LimitsWriteRate)
{
	seam_store_faults f = {};
	int done = 0;

	f.writes_per_sec = 10;
	seam_store_mem_set_faults(s, &f);
	for (int i = 0; i < 30; i++) {
		seam_write w = {SEAM_PUT, "a", SEAM_ANY_VERSION, "1", 1};
		seam_commit c = {&w, 1, 1, 0};

		done += !seam_store_commit(s, &c, soon(), &e);
	}
	EXPECT_EQ(done, 10);
}
