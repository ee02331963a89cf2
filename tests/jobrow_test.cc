// Job rows: serialisation, merging and validation.
#include <gtest/gtest.h>

#include <cstring>
#include <string>

#include "request/jobrow.h"

struct Row : ::testing::Test {
	seam_step step[2] = {};
	seam_jobrow j = {};
	seam_err e = SEAM_ERR_INIT;

	void SetUp() override
	{
		snprintf(j.spec.id, sizeof(j.spec.id), "0123456789abcdef");
		snprintf(j.spec.queue, SEAM_NAME_SIZE, "q");
		snprintf(j.spec.pool, SEAM_NAME_SIZE, "p");
		snprintf(j.spec.workspace, SEAM_NAME_SIZE, "w");
		j.spec.text = strdup("text \"quoted\" \xc3\xa9");
		j.spec.text_len = strlen(j.spec.text);
		j.spec.step = (seam_step *)calloc(3, sizeof(seam_step));
		j.spec.steps = 2;
		j.spec.attempts = 3;
		j.spec.step[0].tasks = 3;
		j.spec.step[0].need.cpu = 500;
		j.spec.step[0].estimate_ms = 700;
		j.spec.step[1].tasks = 2;
		j.spec.step[1].after = 1;
		j.spec.step[1].estimate_ms = 100;
		j.spec.step[1].speculative = true;
		snprintf(j.spec.step[1].label, SEAM_NAME_SIZE, "big");
		ASSERT_EQ(seam_jobrow_alloc_done(&j), 0);
	}
	void TearDown() override
	{
		seam_jobrow_free(&j);
	}
	seam_jobrow read_back()
	{
		char *text = seam_jobrow_serialize(&j);
		seam_row row = {};
		seam_jobrow r = {};

		seam_jobrow_key(j.spec.id, row.key);
		row.data = text;
		row.len = strlen(text);
		EXPECT_EQ(seam_jobrow_parse(&row, &r, &e), 0) << e.text;
		free(text);
		text = seam_progress_serialize(&j, 0);
		seam_progress_key(j.spec.id, 0, row.key);
		row.data = text;
		row.len = strlen(text);
		EXPECT_EQ(seam_progress_merge(&r, &row, &e), 0) << e.text;
		free(text);
		return r;
	}
};

// Guards against members of a job that are lost when it is stored and read.
TEST_F(Row, RoundTrip)
{
	seam_failed_run f = {0, 1, 70001};

	j.done[0][2] = 1;
	j.state = SEAM_JOB_RUNNING;
	j.accepted_ms = 12345;
	ASSERT_TRUE(seam_jobrow_add_failed(&j, &f));

	seam_jobrow r = read_back();
	EXPECT_STREQ(r.spec.id, j.spec.id);
	EXPECT_STREQ(r.spec.text, j.spec.text);
	EXPECT_STREQ(r.spec.pool, "p");
	EXPECT_EQ(r.spec.attempts, 3);
	EXPECT_EQ(r.spec.step[1].after, 1u);
	EXPECT_TRUE(r.spec.step[1].speculative);
	EXPECT_STREQ(r.spec.step[1].label, "big");
	EXPECT_EQ(r.done[0][2], 1);
	EXPECT_EQ(r.done[0][1], 0);
	EXPECT_EQ(r.state, SEAM_JOB_RUNNING);
	EXPECT_EQ(r.accepted_ms, 12345);
	EXPECT_EQ(seam_jobrow_failures(&r, 0, 1), 1);
	seam_jobrow_free(&r);
}

// Guards against a text that is cut at U+0000 when it is stored or read.
TEST_F(Row, TextWithNulIsStoredWhole)
{
	memcpy(j.spec.text, "a\0b", 4);
	j.spec.text_len = 3;

	seam_jobrow r = read_back();
	EXPECT_EQ(std::string(r.spec.text, r.spec.text_len),
		  std::string("a\0b", 3));
	seam_jobrow_free(&r);
}

// Guards against counting a failed run twice, when a worker reports it again
// after a takeover: the job then failed before its attempts were used up.
TEST_F(Row, FailedRunCountsOnce)
{
	seam_failed_run f = {0, 1, 70001};

	EXPECT_TRUE(seam_jobrow_add_failed(&j, &f));
	EXPECT_FALSE(seam_jobrow_add_failed(&j, &f));
	f.run++;
	EXPECT_TRUE(seam_jobrow_add_failed(&j, &f));
	EXPECT_EQ(seam_jobrow_failures(&j, 0, 1), 2);
	EXPECT_EQ(seam_jobrow_failures(&j, 0, 0), 0);
}

// Guards against a row of progress that is larger than a store takes.
TEST_F(Row, ProgressOfTheLargestJobFitsIntoItsRows)
{
	const int tasks = SEAM_JOB_TASKS_MAX / 2;
	seam_jobrow read = {};

	for (int s = 0; s < 2; s++) {
		free(j.done[s]);
		j.spec.step[s].tasks = tasks;
	}
	free(j.done);
	ASSERT_EQ(seam_jobrow_alloc_done(&j), 0);
	for (int n = 0; n < 2 * tasks; n++) {
		seam_failed_run f = {n % 2, n / 2, INT64_MAX - n};
		ASSERT_TRUE(seam_jobrow_add_failed(&j, &f));
	}
	read.spec = j.spec;
	ASSERT_EQ(seam_jobrow_alloc_done(&read), 0);
	for (size_t n = 0; n < seam_progress_rows(&j); n++) {
		char *text = seam_progress_serialize(&j, n);
		seam_row row = {};

		seam_progress_key(j.spec.id, n, row.key);
		row.data = text;
		row.len = strlen(text);
		EXPECT_LT(row.len, 65000u) << n;
		EXPECT_EQ(seam_progress_merge(&read, &row, &e), 0) << n;
		free(text);
	}
	EXPECT_EQ(read.failures, j.failures);
	read.spec.text = nullptr;
	read.spec.step = nullptr;
	seam_jobrow_free(&read);
}

// Guards against a row of another job that is taken for progress.
TEST_F(Row, ProgressKeyNamesJobAndRow)
{
	char id[SEAM_JOB_ID_SIZE];
	char key[SEAM_KEY_MAX];
	size_t row;

	seam_progress_key("f123456789abcdef", 0, key);
	EXPECT_STREQ(key, "done/f/f123456789abcdef");
	seam_progress_key("f123456789abcdef", 12, key);
	EXPECT_STREQ(key, "done/f/f123456789abcdef.12");
	ASSERT_TRUE(seam_progress_parse_key(key, id, &row));
	EXPECT_STREQ(id, "f123456789abcdef");
	EXPECT_EQ(row, 12u);
	for (const char *odd :
	     {"done/f/f12", "done/f/f123456789abcdef0",
	      "done/f/f123456789abcdef.", "done/f/f123456789abcdef.0",
	      "done/f/f123456789abcdef.x", "done/f/f123456789abcdef.1000000"})
		EXPECT_FALSE(seam_progress_parse_key(odd, id, &row)) << odd;
}

// Guards against losing results that the previous owner committed late.
TEST_F(Row, MergeKeepsBoth)
{
	seam_jobrow other = read_back();
	seam_failed_run f = {1, 0, 9};

	j.done[0][0] = 1;
	other.done[0][1] = 1;
	seam_jobrow_add_failed(&other, &f);
	seam_jobrow_merge(&j, &other);
	EXPECT_EQ(j.done[0][0], 1);
	EXPECT_EQ(j.done[0][1], 1);
	EXPECT_EQ(j.done[0][2], 0);
	EXPECT_EQ(seam_jobrow_failures(&j, 1, 0), 1);
	seam_jobrow_free(&other);
}

// Guards against a crash or a memory leak on truncated rows.
TEST_F(Row, DamagedRows)
{
	char *whole = seam_jobrow_serialize(&j);
	std::string text = whole;

	free(whole);
	for (size_t n = 0; n < text.size(); n++) {
		std::string cut = text.substr(0, n);
		seam_row row = {};
		seam_jobrow r;

		seam_jobrow_key(j.spec.id, row.key);
		row.data = &cut[0];
		row.len = n;
		EXPECT_EQ(seam_jobrow_parse(&row, &r, &e), -1) << n;
	}
}

// Guards against job rows outside of the parts that are scanned.
TEST_F(Row, KeyNamesItsPart)
{
	char key[SEAM_KEY_MAX];

	seam_jobrow_key("f123456789abcdef", key);
	EXPECT_STREQ(key, "job/f/f123456789abcdef");
	EXPECT_STREQ(seam_jobrow_id(key), "f123456789abcdef");
	EXPECT_EQ(strlen(SEAM_JOB_PARTS), 16u);
}

// Guards against a wrong critical path, by which the run time is estimated.
TEST_F(Row, LongestChain)
{
	EXPECT_EQ(seam_jobspec_critical_path_ms(&j.spec), 800);
	j.spec.step[1].after = 0;
	EXPECT_EQ(seam_jobspec_critical_path_ms(&j.spec), 700);
}

// Guards against accepting jobs that can never run or have invalid
// dependencies.
TEST_F(Row, CheckRefuses)
{
	EXPECT_EQ(seam_jobspec_check(&j.spec, &e), 0);
	j.spec.step[0].after = 1;
	EXPECT_EQ(seam_jobspec_check(&j.spec, &e), -1);
	j.spec.step[0].after = 0;
	j.spec.step[1].tasks = 0;
	EXPECT_EQ(seam_jobspec_check(&j.spec, &e), -1);
	j.spec.step[1].tasks = 2;
	snprintf(j.spec.id, sizeof(j.spec.id), "XYZ");
	EXPECT_EQ(seam_jobspec_check(&j.spec, &e), -1);
	EXPECT_EQ(e.kind, SEAM_BAD_REQUEST);
}

// Guards against counts whose sum wraps, so that the job seems to be small.
TEST_F(Row, SumOfCountsDoesNotWrap)
{
	j.spec.step[0].tasks = INT64_MAX;
	j.spec.step[1].tasks = INT64_MAX;
	EXPECT_EQ(seam_jobspec_check(&j.spec, &e), -1);
}

// Guards against an estimate of the work that wraps.
TEST_F(Row, WorkDoesNotWrap)
{
	for (int i = 0; i < 2; i++) {
		j.spec.step[i].tasks = SEAM_JOB_TASKS_MAX / 2;
		j.spec.step[i].need.cpu = SEAM_JOB_RESOURCE_MAX;
		j.spec.step[i].estimate_ms = SEAM_JOB_TIME_MAX_MS;
	}
	EXPECT_EQ(seam_jobspec_check(&j.spec, &e), 0);
	EXPECT_EQ(seam_jobspec_core_ms(&j.spec), INT64_MAX);
}

// Guards against a job whose row is read back as another one.
TEST_F(Row, NamesAndCountsThatDoNotFitAreDamage)
{
	const std::string name(64, 'r');
	const std::string steps[] = {
		"{\"tasks\":20001}",
		"{\"tasks\":1,\"label\":\"" + name + "\"}",
		"{\"tasks\":1,\"rack\":\"a\\u0000b\"}",
		"{\"tasks\":1,\"image\":7}",
	};

	for (auto &s : steps) {
		std::string text = "{\"text\":\"\",\"steps\":[" + s + "]}";
		json_object *o = json_tokener_parse(text.c_str());
		seam_jobspec spec = {};

		EXPECT_EQ(seam_jobspec_parse(o, &spec, &e), -1) << s;
		json_object_put(o);
	}
}
