// seamctl against a running daemon.
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
			a.argv[a.argc++] = &w[0];
		return fn(&a);
	}

	std::string show_output()
	{
		testing::internal::CaptureStdout();
		run(ctl_show, {"show"});
		return testing::internal::GetCapturedStdout();
	}

	// Commits a change of another node that this node does not know yet.
	// The change comes right after a poll of this node: its first poll may
	// be so late that it would read the change too.
	void commit_unseen(const char *text)
	{
		commit_change(store, clock,
			      "{\"put\":[{\"kind\":\"team\",\"object\":{"
			      "\"name\":\"polled\"}}]}",
			      1, "other");
		for (int i = 0; i < 1000; i++) {
			if (show_output().find("// version 2") == 0)
				break;
			usleep(5000);
		}
		ASSERT_EQ(show_output().find("// version 2"), 0u);
		commit_change(store, clock, text, 2, "other");
	}
};

// Guards against a withdrawn key that is not refused at once on the node that
// withdrew it, and against a key that is refused after it is granted again.
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

// Guards against a lost change: of two changes to one version, the later is
// refused.
TEST_F(Ctl, LaterOperatorIsRefused)
{
	EXPECT_EQ(run(ctl_dc, {"dc", "out", "a"}, 1), CTL_DONE);
	EXPECT_EQ(run(ctl_dc, {"dc", "in", "a"}, 1), CTL_REFUSED);
	EXPECT_EQ(run(ctl_dc, {"dc", "in", "a"}, 2), CTL_DONE);
}

// Guards against a withdrawal of a key that fails because the node has not read
// the latest change of another object yet.
TEST_F(Ctl, WithdrawalIsRetriedOnAnOldVersion)
{
	commit_unseen("{\"put\":[{\"kind\":\"team\",\"object\":{\"name\":"
		      "\"new\"}}]}");
	EXPECT_EQ(run(ctl_key, {"key", "withdraw", "k"}), CTL_DONE);
	EXPECT_EQ(send("GET", url + "/v1/services/s/", "lender", "").status,
		  401);
}

// Guards against a retry that overwrites another operator's change of the same
// object.
TEST_F(Ctl, ChangeOfTheSameObjectIsRefused)
{
	commit_unseen(
		"{\"put\":[{\"kind\":\"data_centre\",\"object\":{\"name\":"
		"\"a\",\"region\":\"other\"}}]}");
	EXPECT_EQ(run(ctl_dc, {"dc", "out", "a"}), CTL_REFUSED);
}

// Guards against exit codes that don't tell a refusal, a wrong command line, an
// invalid file and an unreachable daemon apart.
TEST_F(Ctl, RefusalsHaveTheirExitCodes)
{
	EXPECT_EQ(run(ctl_show, {"show"}), CTL_DONE);
	EXPECT_EQ(run(ctl_show, {"show"}, -1, "wrong"), CTL_REFUSED);
	EXPECT_EQ(run(ctl_key, {"key", "withdraw", "none"}), CTL_REFUSED);
	EXPECT_EQ(run(ctl_key, {"key", "sell", "k"}), CTL_USAGE);
	EXPECT_EQ(run(ctl_check, {"check", "/nonexistent"}), CTL_BAD_FILE);
	seam_node_free(node);
	node = nullptr;
	EXPECT_EQ(run(ctl_show, {"show"}), CTL_UNREACHABLE);
}

// Guards against JSON, or times in microseconds, in the tables of the tool.
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

// Guards against an explanation that starts with data instead of a sentence.
TEST_F(Ctl, ExplainPrintsSentencesFirst)
{
	const std::vector<std::vector<std::string>> commands = {
		{"explain", "vm", "vm-0"},
		{"explain", "pool", "web"},
		{"explain", "team", "t"}};

	for (auto &words : commands) {
		std::string out;

		/* The daemon may be ready before the first pass of the pool. */
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

// Guards against output of "show" that "check" or "diff" does not accept.
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

// Guards against a lost wave order: of two orders that expect the same version,
// the later is refused.
TEST_F(Ctl, LaterWaveOrderIsRefused)
{
	EXPECT_EQ(run(ctl_wave, {"wave", "start", "web"}, 0), CTL_DONE);
	EXPECT_EQ(run(ctl_wave, {"wave", "halt", "web"}, 0), CTL_REFUSED);
	EXPECT_EQ(run(ctl_wave, {"wave", "halt", "web"}), CTL_DONE);
	EXPECT_EQ(run(ctl_wave, {"wave", "stop", "web"}), CTL_USAGE);
}

// Guards against one JSON document for each page of the log.
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

// Guards against times in another time zone or unit.
TEST(CtlTime, IsUtc)
{
	char out[32];

	EXPECT_STREQ(ctl_format_utc(1796384257504276, out, sizeof(out)),
		     "2026-12-04 11:37:37 UTC");
	EXPECT_STREQ(ctl_format_utc(0, out, sizeof(out)), "-");
}
