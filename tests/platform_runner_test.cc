// Listings of a worker as the adapter reads them from its answers.
#include <gtest/gtest.h>

#include <string>

#include "platform/runner.h"
#include "process/http.h"
#include "tests/addr.h"
#include "tests/scripted_server.h"

// A worker that gives the same answer to each request.
struct Runner : ::testing::Test {
	seam_clock *clock = seam_clock_real();
	seam_http *server = seam_http_new(clock);
	seam_runners *runners = seam_platform_runners_new(clock);
	seam_runner *r = nullptr;
	std::string answer;
	seam_listing l = {};
	seam_err e = SEAM_ERR_INIT;

	static void reply(seam_call *c, void *arg)
	{
		seam_reply_text(c, 200, "application/json",
				((Runner *)arg)->answer.c_str());
	}
	void SetUp() override
	{
		const std::string addr = test_addr(18750);

		seam_http_route(server, "POST", "/hold", reply, this);
		ASSERT_EQ(seam_http_start(server, addr.c_str(), 2, &e), 0)
			<< e.text;
		r = runners->ops->open(runners, "i-1", addr.c_str());
		ASSERT_NE(r, nullptr);
	}
	void TearDown() override
	{
		seam_listing_free(&l);
		if (r)
			r->ops->close(r);
		seam_platform_runners_free(runners);
		seam_http_free(server);
	}
	int list(const std::string &running, const std::string &finished)
	{
		return list_answer("{\"clockMs\":5,\"running\":" + running +
				   ",\"finished\":" + finished + "}");
	}
	int list_answer(const std::string &text)
	{
		seam_renewal h = {};
		seam_order_outcome outcome = SEAM_ORDER_INVALID;

		answer = text;
		seam_listing_free(&l);
		seam_err_clear(&e);
		return r->ops->renew_and_list(r, &h, &outcome, &l,
					      seam_now(clock) + 2 * SEAM_SEC,
					      &e);
	}
};

// Guards against wrong members in the decoding of a listing.
TEST_F(Runner, Listing)
{
	ASSERT_EQ(list("[[\"j.0.1.17\",2,\"0b\",41,700]]",
		       "[[58,\"j.0.1.9\",1,\"done\",\"\"],"
		       "[59,\"j.0.1.8\",3,\"lapsed\",\"c\"]]"),
		  0)
		<< e.text;
	EXPECT_EQ(l.clock_ms, 5);
	ASSERT_EQ(l.runs, 1u);
	EXPECT_STREQ(l.run[0].task, "j.0.1.17");
	EXPECT_EQ(l.run[0].run, 2);
	EXPECT_STREQ(l.run[0].checkpoint, "0b");
	EXPECT_EQ(l.run[0].percent, 41);
	EXPECT_EQ(l.run[0].level, 700);
	ASSERT_EQ(l.ends, 2u);
	EXPECT_EQ(l.end[0].number, 58);
	EXPECT_EQ(l.end[0].reason, SEAM_END_DONE);
	EXPECT_EQ(l.end[1].run, 3);
	EXPECT_EQ(l.end[1].reason, SEAM_END_LAPSED);
	EXPECT_STREQ(l.end[1].checkpoint, "c");
}

// Guards against a full list of ends that is taken for all ends.
TEST_F(Runner, FullListOfEndsMayLackSome)
{
	std::string ends = "[1,\"j.0.1.1\",1,\"done\",\"\"]";

	for (int i = 2; i < 500; i++)
		ends += ",[" + std::to_string(i) +
			",\"j.0.1.1\",1,\"done\",\"\"]";
	ASSERT_EQ(list("[]", "[" + ends + "]"), 0) << e.text;
	EXPECT_FALSE(l.more_ends);
	ends += ",[500,\"j.0.1.1\",1,\"done\",\"\"]";
	ASSERT_EQ(list("[]", "[" + ends + "]"), 0) << e.text;
	EXPECT_EQ(l.ends, 500u);
	EXPECT_TRUE(l.more_ends);
}

// Guards against a second run of a task whose run could not be read.
TEST_F(Runner, UnreadableRunsAreNotAnEmptyListing)
{
	const std::string deep(100, '[');

	for (const char *running :
	     {"null", "{}", "7", "[null]", "[\"t\"]", "[[]]", "[[\"t\"]]",
	      "[[null,1]]", "[[7,1]]", "[[\"t\",\"1\"]]", "[[\"t\",0]]",
	      "[[\"t\",-1]]", "[[\"t\",1.5]]", "[[\"t\",99999999999999999999]]",
	      "[[\"u\",1],[\"t\",null]]"}) {
		EXPECT_EQ(list(running, "[]"), -1) << running;
		EXPECT_EQ(e.kind, SEAM_COMMIT_UNKNOWN) << running;
		EXPECT_EQ(l.runs, 0u);
	}
	for (const std::string &text :
	     {std::string("[]"), std::string("{}"), std::string("x"),
	      "{\"running\":" + deep, std::string("{\"running\":[]}"),
	      std::string("{\"finished\":[]}")}) {
		EXPECT_EQ(list_answer(text), -1) << text;
		EXPECT_EQ(e.kind, SEAM_COMMIT_UNKNOWN) << text;
	}
	EXPECT_EQ(list("[[\"t\",1,\"\",0,0]]", "[]"), 0);
	EXPECT_EQ(l.runs, 1u);
}

// Guards against two tasks that become one: names were cut to the size of ours.
TEST_F(Runner, LongTaskNamesAreNotCut)
{
	const std::string ours(SEAM_TASK_NAME_SIZE - 1, 'a');
	const std::string end = "\",1,\"\",0,0]";

	ASSERT_EQ(list("[[\"" + ours + "b" + end + ",[\"" + ours + end +
			       ",[\"" + ours + "\\u0000c" + end +
			       ",[\"t\\u0000u" + end + "]",
		       "[[1,\"" + ours + "b\",1,\"done\",\"\"]]"),
		  0);
	ASSERT_EQ(l.runs, 1u);
	EXPECT_EQ(l.run[0].task, ours);
	EXPECT_EQ(l.ends, 0u);
}

// Guards against a checkpoint that is cut and so names another one.
TEST_F(Runner, OddMembersOfARunAreNotUsed)
{
	ASSERT_EQ(list("[[\"t\",1,\"" + std::string(SEAM_CHECKPOINT_SIZE, 'c') +
			       "\",99999999999,0],[\"u\",2,7,-5,null]]",
		       "[]"),
		  0);
	ASSERT_EQ(l.runs, 2u);
	EXPECT_STREQ(l.run[0].checkpoint, "");
	EXPECT_EQ(l.run[0].percent, 100);
	EXPECT_STREQ(l.run[1].checkpoint, "");
	EXPECT_EQ(l.run[1].percent, 0);
	EXPECT_EQ(l.run[1].level, 0);
}

// Guards against an odd end that acknowledges or ends other runs.
TEST_F(Runner, OddEndsAreIgnored)
{
	ASSERT_EQ(list("[]", "[null,7,[],[0,\"t\",1,\"done\",\"\"],"
			     "[-1,\"t\",1,\"done\",\"\"],"
			     "[\"1\",\"t\",1,\"done\",\"\"],"
			     "[1,null,1,\"done\",\"\"],"
			     "[2,\"t\",0,\"done\",\"\"],"
			     "[3,\"t\",{},\"done\",\"\"],"
			     "[4,\"t\",6,\"done\",\"\"],"
			     "[99999999999999999999,\"t\",1,\"done\",\"\"]]"),
		  0)
		<< e.text;
	ASSERT_EQ(l.ends, 1u);
	EXPECT_EQ(l.end[0].number, 4);
	EXPECT_EQ(l.end[0].run, 6);
}

// Starts on a worker with prepared answers.
struct RunnerStart : ::testing::Test {
	seam_clock *clock = seam_clock_boot();
	seam_runners *runners = seam_platform_runners_new(clock);
	seam_order_outcome outcome = SEAM_ORDER_INVALID;
	seam_err e = SEAM_ERR_INIT;

	~RunnerStart() override
	{
		seam_platform_runners_free(runners);
	}
	static int start_once(seam_runner *r, seam_order_outcome *outcome,
			      seam_err *e)
	{
		seam_start s = {};
		int64_t clock_ms = 0;

		s.task = "0123456789abcdef.0.0.0";
		s.run = 1;
		s.text = "x\0y";
		s.text_len = 3;
		s.checkpoint = "";
		return r->ops->start(r, &s, outcome, &clock_ms,
				     seam_now(seam_clock_boot()) + SEAM_SEC, e);
	}
	// Returns the result of the last of @n starts.
	int start(const ScriptedServer &w, int n)
	{
		seam_runner *r =
			runners->ops->open(runners, "i-1", w.addr.c_str());
		int rc = -1;

		while (n-- > 0) {
			seam_err_clear(&e);
			rc = start_once(r, &outcome, &e);
		}
		r->ops->close(r);
		return rc;
	}
};

// Guards against a refusal that hides a start without an answer before it.
TEST_F(RunnerStart, StartOnAClosedConnectionIsNotRepeatedUnseen)
{
	ScriptedServer w({{200, "{\"clockMs\":1}"},
			  {0, ""},
			  {409, "{\"clockMs\":1,\"reason\":\"room\"}"}});

	EXPECT_EQ(start(w, 2), -1);
	EXPECT_EQ(e.kind, SEAM_COMMIT_UNKNOWN);
	EXPECT_EQ(w.requests, 2u);
}

// Guards against an answer of no known meaning that counts as a refusal.
TEST_F(RunnerStart, AnswerOfNoKnownMeaningIsNoRefusal)
{
	const ScriptedServer::Answer odd[] = {
		{500, ""},
		{502, "{}"},
		{504, "{}"},
		{409, ""},
		{409, "{\"clockMs\":1,\"reason\":\"other\"}"},
		{409, "{\"clockMs\":1,\"reason\":\"room\\u0000s\"}"}};

	for (auto &a : odd) {
		ScriptedServer w({a});

		EXPECT_EQ(start(w, 1), -1) << a.status << a.body;
		EXPECT_EQ(e.kind, SEAM_COMMIT_UNKNOWN) << a.status << a.body;
	}
}

// Guards against a text that is cut at U+0000 in the order to the worker.
TEST_F(RunnerStart, TextWithNulIsSentWhole)
{
	ScriptedServer w({{200, "{\"clockMs\":1}"}});

	EXPECT_EQ(start(w, 1), 0);
	EXPECT_NE(w.latest.find("\"spec\":\"x\\u0000y\""), std::string::npos);
}

// Guards against refusals that are waited for as if the task could run.
TEST_F(RunnerStart, RefusalsAreKnown)
{
	const std::pair<ScriptedServer::Answer, seam_order_outcome> all[] = {
		{{409, "{\"reason\":\"fence\"}"}, SEAM_ORDER_FENCED},
		{{409, "{\"reason\":\"old\"}"}, SEAM_ORDER_STALE_RUN},
		{{409, "{\"reason\":\"late\"}"}, SEAM_ORDER_LEASE_EXPIRED},
		{{409, "{\"reason\":\"room\"}"}, SEAM_ORDER_NO_ROOM},
		{{409, "{\"reason\":\"ticket\"}"}, SEAM_ORDER_NO_TICKET},
		{{400, ""}, SEAM_ORDER_INVALID},
		{{421, ""}, SEAM_ORDER_WRONG_INCARNATION},
		{{429, ""}, SEAM_ORDER_UNHEALTHY},
		{{503, ""}, SEAM_ORDER_UNHEALTHY}};

	for (auto &a : all) {
		ScriptedServer w({a.first});

		EXPECT_EQ(start(w, 1), 0) << a.first.status << a.first.body;
		EXPECT_EQ(outcome, a.second) << a.first.status << a.first.body;
	}
}
