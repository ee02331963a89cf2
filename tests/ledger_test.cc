// Tests of the row of a team and of the operators' view of it.
#include "fake/fake.h"
#include "tests/change.h"
#include "tests/http.h"
#include "tests/node.h"
#include "tests/team_fixture.h"

// Guards the floor of a data centre against demand in other data centres.
TEST(Ledger, RaisesLeaveFloorsAndLimit)
{
	seam_team_terms t = terms_of("x", 60, 1);
	seam_ledger l = {};
	seam_err e = SEAM_ERR_INIT;
	seam_grant g = {};

	snprintf(l.team, sizeof(l.team), "x");
	seam_ledger_adopt_terms(&l, &t);
	snprintf(g.holder, sizeof(g.holder), "node:a#1");
	snprintf(g.dc, sizeof(g.dc), "a");
	EXPECT_EQ(seam_ledger_available(&l, &t, "a"), 40);
	g.units = 41;
	EXPECT_EQ(seam_ledger_set_grant(&l, &t, &g, &e), -1);
	EXPECT_EQ(e.kind, SEAM_OVER_LIMIT);
	g.units = 40;
	EXPECT_EQ(seam_ledger_set_grant(&l, &t, &g, &e), 0);
	EXPECT_EQ(seam_ledger_available(&l, &t, "b"), 10);
	EXPECT_EQ(seam_ledger_available(&l, &t, ""), 0);
	seam_ledger_free(&l);
}

// Guards against new work while the grants exceed a lowered limit.
TEST(Ledger, LoweredLimitStopsNewWork)
{
	seam_team_terms t = terms_of("x", 100, 1, 0);
	seam_ledger l = {};
	seam_err e = SEAM_ERR_INIT;
	seam_grant g = {};

	snprintf(l.team, sizeof(l.team), "x");
	seam_ledger_adopt_terms(&l, &t);
	for (const char *h : {"node:a#1", "node:b#1"}) {
		snprintf(g.holder, sizeof(g.holder), "%s", h);
		g.units = 50;
		ASSERT_EQ(seam_ledger_set_grant(&l, &t, &g, &e), 0);
	}
	t = terms_of("x", 30, 2, 0);
	EXPECT_TRUE(seam_ledger_adopt_terms(&l, &t));
	EXPECT_EQ(l.ceiling, 100);
	EXPECT_FALSE(seam_ledger_within_limit(&l));
	EXPECT_EQ(seam_ledger_available(&l, &t, ""), 0);
	g.units = 15;
	ASSERT_EQ(seam_ledger_set_grant(&l, &t, &g, &e), 0);
	EXPECT_EQ(l.ceiling, 65);
	EXPECT_FALSE(seam_ledger_within_limit(&l));
	snprintf(g.holder, sizeof(g.holder), "node:a#1");
	ASSERT_EQ(seam_ledger_set_grant(&l, &t, &g, &e), 0);
	EXPECT_TRUE(seam_ledger_within_limit(&l));
	EXPECT_EQ(l.ceiling, 30);
	t = terms_of("x", 90, 1, 0);
	EXPECT_FALSE(seam_ledger_adopt_terms(&l, &t)) << "older configuration";
	seam_ledger_free(&l);
}

// Guards against a damaged row that is treated as a row without grants.
TEST(Ledger, DamagedRowsAreRefused)
{
	for (const char *text :
	     {"", "[]", "{\"team\":\"x\"}",
	      "{\"team\":\"y\",\"limit\":1,\"ceiling\":1,\"conf\":1,"
	      "\"grants\":{}}",
	      "{\"team\":\"x\",\"limit\":1,\"ceiling\":1,\"conf\":1,"
	      "\"grants\":{\"node:a#1\":{\"units\":2}}}",
	      "{\"team\":\"x\",\"limit\":1,\"ceiling\":1,\"conf\":1,"
	      "\"grants\":{\"node:a#1\":{\"units\":-1}}}"}) {
		seam_row row = {};
		seam_ledger l;
		seam_err e = SEAM_ERR_INIT;

		row.data = (char *)text;
		row.version = 3;
		EXPECT_EQ(seam_ledger_parse(&row, "x", &l, &e), -1) << text;
	}
}

// Checks that the invariant on written rows fires.
TEST(Ledger, InvariantOnWrittenRowsFires)
{
	seam_ledger l = {};
	seam_grant g = {};
	seam_team_row_write p;
	long before = seam_invariant_count();

	g.units = 5;
	l.limit = l.ceiling = 4;
	l.grant = &g;
	l.n = 1;
	seam_invariant_set_abort(false);
	seam_team_encode(&l, SEAM_ABSENT, &p, nullptr);
	seam_invariant_set_abort(true);
	seam_team_row_write_free(&p);
	EXPECT_EQ(seam_invariant_count(), before + 1);
}

// Guards the grants of buckets: never above the limit, and written on the row
// version that they are based on.
TEST(Ledger, BucketGrants)
{
	seam_team_terms t = terms_of("x", 10, 1, 0);
	seam_team_row_write p;
	seam_err e = SEAM_ERR_INIT;
	seam_row row = {};
	seam_ledger l;

	ASSERT_EQ(seam_team_prepare_grant(nullptr, &t, "bucket:x/q/0", 8, 1, &p,
					  &e),
		  0);
	EXPECT_EQ(p.write.version, (uint64_t)SEAM_ABSENT);
	row.data = p.text;
	row.version = 7;
	seam_team_row_write q;
	EXPECT_EQ(
		seam_team_prepare_grant(&row, &t, "bucket:x/q/1", 3, 1, &q, &e),
		-1);
	EXPECT_EQ(e.kind, SEAM_OVER_LIMIT);
	ASSERT_EQ(
		seam_team_prepare_want(&row, &t, "bucket:x/q/1", 3, 1, &q, &e),
		0);
	EXPECT_EQ(q.write.version, 7u);
	row.data = q.text;
	ASSERT_EQ(seam_ledger_parse(&row, "x", &l, &e), 0);
	EXPECT_EQ(seam_ledger_wanted_by_others(&l, "bucket:x/q/0", nullptr, 2),
		  3);
	EXPECT_EQ(seam_ledger_fair_share(&l, "bucket:x/q/0", 2), 7);
	seam_ledger_free(&l);
	seam_team_row_write_free(&p);
	seam_team_row_write_free(&q);
}

// Guards the explanation that operators get for each cause of a refusal.
TEST(Teams, ExplainsRefusals)
{
	fleet f(3, 1, 60);
	char text[400];
	seam_team_info here = {};
	seam_team_terms t = terms_of("t0", 60, 1);
	auto explain = [&](int i) {
		seam_ledger l = f.ledger(0);
		seam_teams_info(f.nodes[i].t, "t0", &here);
		bool refused =
			seam_team_explain(&l, &here, &t, text, sizeof(text));
		seam_ledger_free(&l);
		return refused;
	};

	f.apply_load({0, 1, 2}, 0, 20 * SEAM_SEC);
	EXPECT_TRUE(explain(0));
	EXPECT_NE(strstr(text, "most of them node:n"), nullptr) << text;
	f.set_limit(0, 10);
	t.limit = 10;
	f.step();
	f.run(300 * SEAM_MSEC);
	EXPECT_TRUE(explain(0));
	EXPECT_NE(strstr(text, "lowered to 10"), nullptr) << text;
	f.run(20 * SEAM_SEC);
	EXPECT_FALSE(explain(0)) << text;
	t.limit = 0;
	EXPECT_FALSE(seam_team_explain(nullptr, &here, &t, text, sizeof(text)));
	EXPECT_NE(strstr(text, "limit 0"), nullptr) << text;
}

static long get(const char *path, const char *key, std::string *body)
{
	reply r = http("GET", test_url(21000) + path, {bearer(key)});

	*body = r.body;
	return r.status;
}

// Guards the operators' paths and their authentication, and that a new daemon
// holds units before the first request.
TEST(Part, OperatorsSeeLimitsAndReasons)
{
	seam_clock *k = seam_clock_real();
	seam_store *store = seam_store_mem_new(k);
	seam_fake_platform *platform = seam_fake_platform_new(k);
	seam_err e = SEAM_ERR_INIT;
	seam_settings s = test_settings("n1", 21000, 21001);
	std::string body;

	commit_change(store, k,
		      "{\"put\":[{\"kind\":\"data_centre\",\"object\":{"
		      "\"name\":\"a\",\"region\":\"r\"}},{\"kind\":\"pool\","
		      "\"object\":{\"name\":\"web\",\"kind\":\"service\"}},{"
		      "\"kind\":\"service\",\"object\":{\"name\":\"s\","
		      "\"pool\":\"web\"}},{\"kind\":\"team\",\"object\":{"
		      "\"name\":\"t\",\"limit\":30}}]}",
		      0);
	snprintf(s.vm, sizeof(s.vm), "n1");
	seam_node *n = seam_node_new(&s, k, store,
				     seam_fake_platform_base(platform), &e);
	ASSERT_EQ(seam_node_start(n, &e), 0) << e.text;
	ASSERT_NE(n->admit, nullptr);
	EXPECT_EQ(n->admit->ops->take(n->admit, "t", 15, seam_now(k), &e), 0)
		<< e.text;
	EXPECT_EQ(get("/v1/teams", "wrong", &body), 401);
	EXPECT_EQ(get("/v1/explain/team/t", "wrong", &body), 401);
	EXPECT_EQ(get("/v1/teams", "op", &body), 200);
	EXPECT_NE(body.find("\"running\":15"), std::string::npos) << body;
	EXPECT_EQ(get("/v1/explain/team/t", "op", &body), 200);
	EXPECT_NE(body.find("\"reason\":"), std::string::npos) << body;
	EXPECT_EQ(get("/v1/explain/team/none", "op", &body), 200);
	EXPECT_NE(body.find("not in the configuration"), std::string::npos);
	n->admit->ops->release(n->admit, "t", 15, seam_now(k));
	seam_node_free(n);
	seam_fake_platform_free(platform);
	seam_store_close(store);
}
