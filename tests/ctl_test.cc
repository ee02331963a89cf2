// The command-line tool against a running daemon.
#include <vector>

#include "tests/node_fixture.h"

extern "C" {
#include "cmd/ctl.h"
}

class Ctl : public NodeFixture
{
      protected:
	int run(int (*fn)(ctl *), std::vector<std::string> words,
		int64_t expect = -1, const char *key = "op")
	{
		ctl a = {};

		a.client.url = url.c_str();
		a.client.key = key;
		a.message = "test";
		a.operator_name = "me";
		a.expect = expect;
		for (auto &w : words)
			a.word[a.words++] = &w[0];
		return fn(&a);
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
