// The command-line tool against a running daemon.
#include <unistd.h>

#include <vector>

#include "tests/node_fixture.h"

extern "C" {
#include "cmd/ctl.h"
}

class Ctl : public NodeFixture
{
      protected:
	int run(int (*fn)(ctl *), std::vector<std::string> words,
		int64_t expect = -1, const char *key = "op", bool json = false)
	{
		ctl a = {};

		a.client.url = url.c_str();
		a.client.key = key;
		a.message = "test";
		a.operator_name = "me";
		a.expect = expect;
		a.json = json;
		for (auto &w : words)
			a.word[a.words++] = &w[0];
		return fn(&a);
	}

	std::string shown()
	{
		testing::internal::CaptureStdout();
		run(ctl_show, {"show"});
		return testing::internal::GetCapturedStdout();
	}

	// A change by another node, which this one learns of by its next poll.
	// It comes right after a poll: the first poll of a node can be as late
	// as the test, which then found the change known.
	void commit(const char *text)
	{
		commit_change(store, clock,
			      "{\"put\":[{\"kind\":\"team\",\"object\":{"
			      "\"name\":\"polled\"}}]}",
			      1, "other");
		for (int i = 0; i < 1000; i++) {
			if (shown().find("// version 2") == 0)
				break;
			usleep(5000);
		}
		ASSERT_EQ(shown().find("// version 2"), 0u);
		commit_change(store, clock, text, 2, "other");
	}
};

// Guards P3: a withdrawn key opens nothing, and granting it again works.
TEST_F(Ctl, WithdrawnKeyStopsAtOnceOnThisNode)
{
	EXPECT_EQ(send("GET", url + "/v1/services/s/", "lender", "").status,
		  200);
	EXPECT_EQ(run(ctl_key, {"key", "withdraw", "k"}), CTL_DONE);
	reply r = send("GET", url + "/v1/services/s/", "lender", "");
	EXPECT_EQ(r.status, 401);
	EXPECT_NE(r.body.find("withdrawn"), std::string::npos) << r.body;
	EXPECT_EQ(run(ctl_key, {"key", "grant", "k"}), CTL_DONE);
	EXPECT_EQ(send("GET", url + "/v1/services/s/", "lender", "").status,
		  200);
}

// Guards against a lost change: the later of two operators is refused.
TEST_F(Ctl, LaterOperatorIsRefused)
{
	EXPECT_EQ(run(ctl_dc, {"dc", "out", "a"}, 1), CTL_DONE);
	EXPECT_EQ(run(ctl_dc, {"dc", "in", "a"}, 1), CTL_REFUSED);
	EXPECT_EQ(run(ctl_dc, {"dc", "in", "a"}, 2), CTL_DONE);
}

// Guards P3: the withdrawal of a key must not fail because another object
// changed a moment ago at a node that this one has not heard from yet.
TEST_F(Ctl, WithdrawalPassesAnOlderVersion)
{
	commit("{\"put\":[{\"kind\":\"team\",\"object\":{\"name\":"
	       "\"new\"}}]}");
	EXPECT_EQ(run(ctl_key, {"key", "withdraw", "k"}), CTL_DONE);
	EXPECT_EQ(send("GET", url + "/v1/services/s/", "lender", "").status,
		  401);
}

// Guards against a lost change of the same object by another operator, which
// the repeated attempt must not overwrite.
TEST_F(Ctl, ChangeOfTheSameObjectIsRefused)
{
	commit("{\"put\":[{\"kind\":\"data_centre\",\"object\":{\"name\":"
	       "\"a\",\"region\":\"other\"}}]}");
	EXPECT_EQ(run(ctl_dc, {"dc", "out", "a"}), CTL_REFUSED);
}

TEST_F(Ctl, RefusalsHaveTheirExitCodes)
{
	EXPECT_EQ(run(ctl_show, {"show"}), CTL_DONE);
	EXPECT_EQ(run(ctl_show, {"show"}, -1, "wrong"), CTL_REFUSED);
	EXPECT_EQ(run(ctl_key, {"key", "withdraw", "none"}), CTL_REFUSED);
	EXPECT_EQ(run(ctl_key, {"key", "sell", "k"}), CTL_USAGE);
	EXPECT_EQ(run(ctl_check, {"check", "/nonexistent"}), CTL_FILE);
	seam_node_free(node);
	node = nullptr;
	EXPECT_EQ(run(ctl_show, {"show"}), CTL_UNREACHABLE);
}

// Guards against JSON, or times in microseconds, where operators read a table.
TEST_F(Ctl, ListsAreTables)
{
	const std::vector<std::pair<const char *, const char *>> lists = {
		{"pools", "POOL "},
		{"teams", "TEAM "},
		{"nodes", "Asked node "},
		{"workers", "No worker has run a task yet."}};

	for (auto &l : lists) {
		testing::internal::CaptureStdout();
		EXPECT_EQ(run(ctl_list, {l.first}), CTL_DONE);
		std::string out = testing::internal::GetCapturedStdout();
		EXPECT_EQ(out.find(l.second), 0u) << out;
		EXPECT_EQ(out.find('{'), std::string::npos) << out;
		EXPECT_EQ(out.find("_us"), std::string::npos) << out;
	}
}

// Guards against an explanation that begins with data in place of the reason.
TEST_F(Ctl, ExplainPrintsSentencesFirst)
{
	const std::vector<std::vector<std::string>> asked = {
		{"explain", "vm", "vm-0"},
		{"explain", "pool", "web"},
		{"explain", "team", "t"}};

	for (auto &words : asked) {
		std::string out;

		/* The pool's first pass may come after the daemon is ready. */
		for (int i = 0; i < 100; i++) {
			testing::internal::CaptureStdout();
			int rc = run(ctl_explain, words);
			out = testing::internal::GetCapturedStdout();
			if (rc == CTL_DONE)
				break;
			usleep(50000);
		}
		std::string first = out.substr(0, out.find('\n'));
		ASSERT_FALSE(first.empty()) << words[1];
		EXPECT_EQ(first.back(), '.') << out;
		EXPECT_EQ(out.find('{'), std::string::npos) << out;
	}
	EXPECT_EQ(run(ctl_explain, {"explain", "team", "none"}), CTL_DONE);
	EXPECT_EQ(run(ctl_explain, {"explain", "vm", "none"}), CTL_REFUSED);
	EXPECT_EQ(run(ctl_explain, {"explain", "moon", "none"}), CTL_USAGE);
}

// Guards against a shown configuration that the tool itself refuses.
TEST_F(Ctl, ShownConfigurationIsAccepted)
{
	std::string file = testing::TempDir() + "seam_ctl_test.json";

	testing::internal::CaptureStdout();
	EXPECT_EQ(run(ctl_show, {"show"}), CTL_DONE);
	std::string out = testing::internal::GetCapturedStdout();
	FILE *f = fopen(file.c_str(), "w");
	ASSERT_NE(f, nullptr);
	fputs(out.c_str(), f);
	fclose(f);
	EXPECT_EQ(run(ctl_check, {"check", file}), CTL_DONE);
	testing::internal::CaptureStdout();
	EXPECT_EQ(run(ctl_diff, {"diff", file}), CTL_DONE);
	EXPECT_EQ(testing::internal::GetCapturedStdout(), "No difference.\n");
	remove(file.c_str());
}

// Guards against two operators who order one pool's wave: the later one, who
// saw an older order, is refused.
TEST_F(Ctl, LaterWaveOrderIsRefused)
{
	EXPECT_EQ(run(ctl_wave, {"wave", "start", "web"}, 0), CTL_DONE);
	EXPECT_EQ(run(ctl_wave, {"wave", "halt", "web"}, 0), CTL_REFUSED);
	EXPECT_EQ(run(ctl_wave, {"wave", "halt", "web"}), CTL_DONE);
	EXPECT_EQ(run(ctl_wave, {"wave", "stop", "web"}), CTL_USAGE);
}

// Guards against several JSON documents in one answer, one for each page.
TEST_F(Ctl, LogIsOneDocument)
{
	EXPECT_EQ(run(ctl_dc, {"dc", "out", "a"}), CTL_DONE);
	testing::internal::CaptureStdout();
	EXPECT_EQ(run(ctl_log, {"log"}, -1, "op", true), CTL_DONE);
	std::string out = testing::internal::GetCapturedStdout();
	json_tokener *t = json_tokener_new();
	json_object *o = json_tokener_parse_ex(t, out.c_str(), (int)out.size());
	ASSERT_NE(o, nullptr) << out;
	EXPECT_EQ(json_object_array_length(o), 2u);
	EXPECT_EQ(out.find_first_not_of(" \n", json_tokener_get_parse_end(t)),
		  std::string::npos)
		<< out;
	json_object_put(o);
	json_tokener_free(t);
}

// Guards against times shown in a zone or unit other than UTC.
TEST(CtlTime, IsUtc)
{
	char out[32];

	EXPECT_STREQ(ctl_utc(1796384257504276, out, sizeof(out)),
		     "2026-12-04 11:37:37 UTC");
	EXPECT_STREQ(ctl_utc(0, out, sizeof(out)), "-");
}
