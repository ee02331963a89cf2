// Tests of the store on the platform's table service: the outcome of a call is
// reported as certain only if the answer proves it.
#include <gtest/gtest.h>

#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "platform/rows.h"
#include "tests/addr.h"
#include "tests/platform_rows_server.h"
#include "tests/scripted_server.h"

struct Rows : ::testing::Test {
	RowsServer server{test_addr(26010)};
	seam_clock *k = seam_clock_boot();
	seam_store *s = seam_rows_store_new(k, test_url(26010).c_str());
	seam_err e = SEAM_ERR_INIT;
	uint64_t version = 0;

	~Rows() override
	{
		seam_store_close(s);
	}
	seam_time in(int ms)
	{
		return seam_now(k) + ms * SEAM_MSEC;
	}
	int put(const char *key, const std::string &data, uint64_t expect,
		uint64_t token = seam_store_token())
	{
		seam_write w = {SEAM_PUT, key, expect, data.data(),
				data.size()};
		seam_commit c = {&w, 1, token, 0};

		seam_err_clear(&e);
		int rc = seam_store_commit(s, &c, in(2000), &e);
		version = c.version;
		return rc;
	}
	std::string get(const char *key)
	{
		seam_row row = {};

		seam_err_clear(&e);
		if (seam_store_get(s, key, &row, in(2000), &e))
			return "";
		std::string data(row.data, row.len);
		seam_row_free(&row);
		return data;
	}
};

// Guards against a refusal that hides a commit without an answer before it.
TEST(RowsConnection, CommitOnAClosedConnectionIsNotRepeatedUnseen)
{
	ScriptedServer server({{200, "{\"ver\":1}"}, {0, ""}, {503, ""}});
	seam_store *s = seam_rows_store_new(seam_clock_boot(),
					    ("http://" + server.addr).c_str());
	seam_write w = {SEAM_PUT, "job/3/30", SEAM_ANY_VERSION, "x", 1};
	seam_err e = SEAM_ERR_INIT;

	for (int rc : {0, -1}) {
		seam_commit c = {&w, 1, seam_store_token(), 0};

		EXPECT_EQ(seam_store_commit(
				  s, &c, seam_now(seam_clock_boot()) + SEAM_SEC,
				  &e),
			  rc);
	}
	EXPECT_EQ(e.kind, SEAM_COMMIT_UNKNOWN);
	seam_store_close(s);
}

// Guards against lost bytes and versions in rows with and without a part.
TEST_F(Rows, RoundTrip)
{
	std::string data = "{\"a\":\"\\u00e9 \\\"q\\\"\"}\n";

	ASSERT_EQ(put("job/3/30", data, SEAM_ABSENT), 0) << e.text;
	EXPECT_EQ(get("job/3/30"), data);
	ASSERT_EQ(put("lead/owner", "x", SEAM_ABSENT), 0) << e.text;
	EXPECT_EQ(get("lead/owner"), "x");
	EXPECT_EQ(get("job/3/31"), "");
	EXPECT_EQ(e.kind, SEAM_NOT_FOUND);
	EXPECT_EQ(put("job/3/30", "y", SEAM_ABSENT), -1);
	EXPECT_EQ(e.kind, SEAM_CONFLICT);
}

// Guards against a token in rows that other programs read.
TEST_F(Rows, PlainTables)
{
	ASSERT_EQ(put("status/wave/1", "{\"state\":\"running\"}",
		      SEAM_ANY_VERSION),
		  0);
	EXPECT_EQ(get("status/wave/1"), "{\"state\":\"running\"}");
	auto it = server.rows.find(RowsServer::Name("status", "", "wave/1"));
	ASSERT_NE(it, server.rows.end());
	EXPECT_EQ(it->second.value, "eyJzdGF0ZSI6InJ1bm5pbmcifQ==");
}

// Guards against one long key of another program that fails each read.
TEST_F(Rows, OddKeysDoNotEndAList)
{
	std::string longest(200, 'k');
	std::string nul("a\0b", 3);
	seam_rows rows = {};
	uint64_t after = 0;

	for (const std::string &key :
	     {std::string("a"), nul, longest, std::string("z")})
		server.rows[RowsServer::Name("servers", "", key)] = {
			"eA==", ++server.ver, false};
	server.rows[RowsServer::Name("servers", longest, longest)] = {
		"eA==", ++server.ver, false};
	for (bool watch : {false, true}) {
		std::set<std::string> keys;

		ASSERT_EQ(watch ? seam_store_watch(s, "servers/", &after, &rows,
						   in(2000), &e) :
				  seam_store_scan(s, "servers/", nullptr, 10,
						  &rows, in(2000), &e),
			  0)
			<< e.text;
		for (size_t i = 0; i < rows.n; i++)
			keys.insert(rows.row[i].key);
		EXPECT_EQ(rows.n, 4u);
		EXPECT_EQ(keys, (std::set<std::string>{"servers/a",
						       "servers/a\x01"
						       "b",
						       "servers/" + longest,
						       "servers/z"}));
		seam_rows_free(&rows);
	}
	EXPECT_EQ(after, 5u);
}

// Guards against a row of another program that has the key of one of ours.
TEST_F(Rows, PartWithNulIsNoPartOfOurs)
{
	std::string part("0\0x", 3);
	std::string empty("\0x", 2);

	server.rows[RowsServer::Name("job", part, "1")] = {"eA==", ++server.ver,
							   false};
	server.rows[RowsServer::Name("servers", empty, "a")] = {
		"eA==", ++server.ver, false};
	for (const char *prefix : {"job/", "servers/"}) {
		seam_rows rows = {};
		uint64_t after = 0;

		ASSERT_EQ(seam_store_watch(s, prefix, &after, &rows, in(2000),
					   &e),
			  0)
			<< e.text;
		EXPECT_EQ(rows.n, 0u) << prefix;
		seam_rows_free(&rows);
	}
}

// Guards against reporting a conflict for a commit that was applied, whose
// answer was lost, and that was then sent again.
TEST_F(Rows, LostAnswerIsNotAConflict)
{
	uint64_t token = seam_store_token();

	server.lose_answers = 1;
	EXPECT_EQ(put("job/3/30", "x", SEAM_ABSENT, token), -1);
	EXPECT_EQ(e.kind, SEAM_COMMIT_UNKNOWN);
	EXPECT_EQ(put("job/3/30", "x", SEAM_ABSENT, token), 0) << e.text;
	EXPECT_EQ(version, 1u);
	EXPECT_EQ(put("job/3/30", "x", SEAM_ABSENT), -1);
	EXPECT_EQ(e.kind, SEAM_CONFLICT);
}

// Guards against a refusal that is reported as an unknown outcome, and against
// the reverse.
TEST_F(Rows, Refusals)
{
	for (int status : {429, 503}) {
		server.refuse = status;
		EXPECT_EQ(put("job/3/30", "x", SEAM_ABSENT), -1);
		EXPECT_EQ(e.kind, SEAM_UNAVAILABLE) << status;
	}
	server.refuse = 500;
	EXPECT_EQ(put("job/3/30", "x", SEAM_ABSENT), -1);
	EXPECT_EQ(e.kind, SEAM_COMMIT_UNKNOWN);
	server.refuse = 0;
	EXPECT_EQ(get("job/3/30"), "");
}

// Guards against refused commits over several parts: the service requires that
// such a commit is marked.
TEST_F(Rows, SeveralParts)
{
	seam_write w[] = {{SEAM_PUT, "job/1/10", SEAM_ABSENT, "a", 1},
			  {SEAM_PUT, "job/2/20", SEAM_ABSENT, "b", 1},
			  {SEAM_CHECK, "lead/owner", SEAM_ABSENT, nullptr, 0}};
	seam_commit c = {w, 3, seam_store_token(), 0};

	EXPECT_EQ(seam_store_commit(s, &c, in(2000), &e), 0) << e.text;
	EXPECT_EQ(get("job/2/20"), "b");
}

// Guards against rows that a scan skips or repeats between pages.
TEST_F(Rows, ScanPages)
{
	seam_rows rows;

	for (int i = 0; i < 5; i++)
		ASSERT_EQ(put(("job/1/" + std::to_string(i)).c_str(), "x",
			      SEAM_ABSENT),
			  0);
	ASSERT_EQ(put("job/2/0", "x", SEAM_ABSENT), 0);
	ASSERT_EQ(seam_store_scan(s, "job/1/", nullptr, 3, &rows, in(2000), &e),
		  0);
	ASSERT_EQ(rows.n, 3u);
	EXPECT_STREQ(rows.row[2].key, "job/1/2");
	EXPECT_EQ(rows.version, 6u);
	seam_rows_free(&rows);
	ASSERT_EQ(
		seam_store_scan(s, "job/1/", "job/1/2", 3, &rows, in(2000), &e),
		0);
	ASSERT_EQ(rows.n, 2u);
	EXPECT_STREQ(rows.row[0].key, "job/1/3");
	seam_rows_free(&rows);
}

// Guards against a page that the service cut at its size, taken for the last.
TEST_F(Rows, PageCutBySizeIsNotTheLast)
{
	std::string value(64, 'x');
	seam_rows rows;

	for (int i = 0; i < 20; i++)
		ASSERT_EQ(put(("job/1/" + std::to_string(10 + i)).c_str(),
			      value, SEAM_ABSENT),
			  0);
	server.page_bytes = 700;
	ASSERT_EQ(
		seam_store_scan(s, "job/1/", nullptr, 15, &rows, in(2000), &e),
		0);
	EXPECT_LT(rows.n, 15u);
	EXPECT_TRUE(rows.more);
	seam_rows_free(&rows);
	ASSERT_EQ(seam_store_scan_all(s, k, "job/1/", 15, 2 * SEAM_SEC, &rows,
				      &e),
		  0)
		<< e.text;
	ASSERT_EQ(rows.n, 20u);
	for (int i = 0; i < 20; i++)
		EXPECT_EQ(rows.row[i].key, "job/1/" + std::to_string(10 + i));
	seam_rows_free(&rows);
}

// Guards against readers that go on after the last row of a prefix.
TEST_F(Rows, RowsBeyondThePrefixAreNotMoreOfIt)
{
	for (const char *key : {"job/1/a0", "job/1/a1", "job/1/b0", "job/1/b1"})
		ASSERT_EQ(put(key, "x", SEAM_ABSENT), 0);
	for (size_t max : {1, 2, 3}) {
		seam_rows rows;

		server.page_rows = 3;
		ASSERT_EQ(seam_store_scan(s, "job/1/a", nullptr, max, &rows,
					  in(2000), &e),
			  0);
		EXPECT_EQ(rows.n, std::min(max, (size_t)2));
		EXPECT_EQ(rows.more, max == 1);
		seam_rows_free(&rows);
	}
}

// Guards against a reader that asks for ever for a page that has no rows.
TEST_F(Rows, EmptyPageThatIsNotTheLastFails)
{
	seam_rows rows;

	ASSERT_EQ(put("job/1/a", "x", SEAM_ABSENT), 0);
	server.page_bytes = 0;
	EXPECT_EQ(seam_store_scan(s, "job/1/", nullptr, 3, &rows, in(2000), &e),
		  -1);
	EXPECT_EQ(e.kind, SEAM_UNAVAILABLE);
	EXPECT_EQ(
		seam_store_scan_all(s, k, "job/1/", 3, 2 * SEAM_SEC, &rows, &e),
		-1);
	EXPECT_EQ(rows.n, 0u);
	EXPECT_EQ(get("job/1/a"), "");
	EXPECT_EQ(e.kind, SEAM_UNAVAILABLE);
}

// Guards against a feed that loses changes or deletions, and against one that
// hides that the history no longer has the requested version.
TEST_F(Rows, Watch)
{
	uint64_t after = 0;
	seam_rows rows;
	seam_write del = {SEAM_DELETE, "job/1/10", SEAM_ANY_VERSION, nullptr,
			  0};
	seam_commit c = {&del, 1, seam_store_token(), 0};

	ASSERT_EQ(put("job/1/10", "x", SEAM_ABSENT), 0);
	ASSERT_EQ(seam_store_watch(s, "job/", &after, &rows, in(2000), &e), 0);
	ASSERT_EQ(rows.n, 1u);
	EXPECT_STREQ(rows.row[0].key, "job/1/10");
	EXPECT_EQ(after, 1u);
	seam_rows_free(&rows);
	ASSERT_EQ(seam_store_commit(s, &c, in(2000), &e), 0);
	ASSERT_EQ(seam_store_watch(s, "job/", &after, &rows, in(2000), &e), 0);
	ASSERT_EQ(rows.n, 1u);
	EXPECT_EQ(rows.row[0].data, nullptr);
	seam_rows_free(&rows);
	ASSERT_EQ(seam_store_watch(s, "job/", &after, &rows, in(1000), &e), 0);
	EXPECT_EQ(rows.n, 0u);
	seam_rows_free(&rows);
	server.oldest = 50;
	EXPECT_EQ(seam_store_watch(s, "job/", &after, &rows, in(2000), &e), -1);
	EXPECT_EQ(e.kind, SEAM_STALE);
}

// Guards against a commit that seam_store_commit_retry() loses or reports as
// failed when requests or answers are lost at any step.
TEST_F(Rows, CommitSure)
{
	for (int lost = 0; lost < 3; lost++)
		for (int not_applied = 0; not_applied < 3; not_applied++) {
			std::string key = "job/1/" + std::to_string(lost) +
					  std::to_string(not_applied);
			seam_write w = {SEAM_PUT, key.c_str(), SEAM_ABSENT, "x",
					1};
			seam_commit c = {&w, 1, 0, 0};

			server.lose_answers = lost;
			server.lost_before = not_applied;
			seam_err_clear(&e);
			EXPECT_EQ(
				seam_store_commit_retry(s, k, &c, in(5000), &e),
				0)
				<< e.text;
			EXPECT_EQ(get(key.c_str()), "x");
			server.lose_answers = server.lost_before = 0;
		}
}
