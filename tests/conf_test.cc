// Validation, changes, loading and publication of configuration versions.
#include <gtest/gtest.h>

#include <string>

#include "version/conf.h"

static const char base_doc[] =
	"{\"data_centres\":[{\"name\":\"a\",\"region\":\"r\"}],"
	"\"pools\":[{\"name\":\"web\",\"kind\":\"service\"},"
	"{\"name\":\"batch\",\"kind\":\"tasks\"}],"
	"\"services\":[{\"name\":\"s\",\"pool\":\"web\",\"teams\":[\"t\"]}],"
	"\"teams\":[{\"name\":\"t\",\"limit\":5}],"
	"\"queues\":[{\"name\":\"q\",\"team\":\"t\",\"pool\":\"batch\"}]}";

static seam_conf *parse(const std::string &text, std::string *out = nullptr)
{
	seam_problems p = {"f", nullptr, 0};
	json_object *o = seam_json_parse(text.c_str(), &p);
	seam_conf *c = o ? seam_conf_parse(o, 1, &p) : nullptr;

	for (size_t i = 0; out && i < p.n; i++)
		*out += std::string(p.text[i]) + "\n";
	seam_problems_free(&p);
	json_object_put(o);
	return c;
}

TEST(Conf, ReadsObjectsAndDefaults)
{
	seam_conf *c = parse(base_doc);

	ASSERT_NE(c, nullptr);
	auto *s = (const seam_service *)seam_conf_lookup(c, SEAM_CONF_SERVICE,
							 "s");
	ASSERT_NE(s, nullptr);
	EXPECT_EQ(s->slots, 8);
	EXPECT_EQ(s->connections, 64);
	EXPECT_STREQ(s->teams[0], "t");
	EXPECT_FALSE(seam_conf_dc_out(c, "a"));
	EXPECT_TRUE(seam_conf_dc_out(c, "unknown"));
	seam_conf_unref(c);
}

// Guards against dangling references and against reporting only one problem.
TEST(Conf, ReportsEveryBrokenReference)
{
	std::string out;

	EXPECT_EQ(parse("{\"services\":[{\"name\":\"s\",\"pool\":\"none\","
			"\"teams\":[\"x\"]}],\"keys\":[{\"name\":\"k\","
			"\"team\":\"x\",\"sha256\":\"12\"}],\"extra\":[]}",
			&out),
		  nullptr);
	EXPECT_NE(out.find("f: extra: unknown name"), std::string::npos);
	EXPECT_NE(out.find("f: services.s.pool: no pool \"none\""),
		  std::string::npos);
	EXPECT_NE(out.find("f: services.s.teams: no team \"x\""),
		  std::string::npos);
	EXPECT_NE(out.find("f: keys.k.sha256: must be 64"), std::string::npos);
}

class ConfStore : public ::testing::Test
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
	uint64_t commit(const char *change, uint64_t expected)
	{
		json_object *o = json_tokener_parse(change);
		seam_conf_change ch = {o, "test", "me", expected};
		seam_conf *c = seam_conf_commit(s, &clock.clock, &ch,
						clock.time + 9 * SEAM_SEC, &e);
		uint64_t v = c ? seam_conf_version(c) : 0;

		seam_conf_unref(c);
		json_object_put(o);
		return v;
	}
};

static const char put_team[] =
	"{\"put\":[{\"kind\":\"team\",\"object\":{\"name\":\"t\"}}]}";
static const char put_other[] =
	"{\"put\":[{\"kind\":\"team\",\"object\":{\"name\":\"u\"}}]}";

// Guards against a lost update when two operators change the same version.
TEST_F(ConfStore, SecondOperatorIsRefused)
{
	EXPECT_EQ(commit(put_team, 0), 1u);
	EXPECT_EQ(commit(put_other, 0), 0u);
	EXPECT_EQ(e.kind, SEAM_CONFLICT);
	EXPECT_EQ(commit(put_other, 1), 2u);
}

// Guards against reporting a committed change as failed, or the reverse, when
// responses of the store are lost.
TEST_F(ConfStore, LostResponsesAreResolved)
{
	seam_store_faults f = {};

	f.lose_answers = 500;
	f.drop_commits = 200;
	f.seed = 3;
	seam_store_mem_set_faults(s, &f);
	for (uint64_t v = 0; v < 100; v++) {
		std::string ch = "{\"put\":[{\"kind\":\"team\",\"object\":{"
				 "\"name\":\"t" +
				 std::to_string(v) + "\"}}]}";

		ASSERT_EQ(commit(ch.c_str(), v), v + 1) << e.text;
	}
	seam_conf *c = seam_conf_load(s, clock.time + SEAM_SEC, &e);
	ASSERT_NE(c, nullptr);
	EXPECT_EQ(seam_conf_count(c, SEAM_CONF_TEAM), 100u);
	seam_conf_unref(c);
}

// Guards against a difference between a version built from the log and the
// same version loaded from the object rows.
TEST_F(ConfStore, CatchUpEqualsLoad)
{
	ASSERT_EQ(commit(put_team, 0), 1u);
	seam_conf *old = seam_conf_load(s, clock.time + SEAM_SEC, &e);
	ASSERT_EQ(commit(put_other, 1), 2u);
	ASSERT_EQ(
		commit("{\"delete\":[{\"kind\":\"team\",\"name\":\"t\"}]}", 2),
		3u);
	seam_conf *a = seam_conf_catch_up(s, old, 3, clock.time + SEAM_SEC, &e);
	seam_conf *b = seam_conf_load(s, clock.time + SEAM_SEC, &e);
	ASSERT_NE(a, nullptr);
	ASSERT_NE(b, nullptr);
	json_object *da = seam_conf_to_json(a);
	json_object *db = seam_conf_to_json(b);
	EXPECT_TRUE(json_object_equal(da, db));
	EXPECT_EQ(seam_conf_version(a), seam_conf_version(b));
	json_object_put(da);
	json_object_put(db);
	seam_conf_unref(old);
	seam_conf_unref(a);
	seam_conf_unref(b);
}

// Guards against a late, older version that replaces the current one.
TEST_F(ConfStore, NeverReverts)
{
	seam_conf_cell cell;

	ASSERT_EQ(commit(put_team, 0), 1u);
	seam_conf *v1 = seam_conf_load(s, clock.time + SEAM_SEC, &e);
	ASSERT_EQ(commit(put_other, 1), 2u);
	seam_conf *v2 = seam_conf_load(s, clock.time + SEAM_SEC, &e);
	seam_conf_cell_init(&cell);
	EXPECT_TRUE(seam_conf_publish(&cell, v2));
	EXPECT_FALSE(seam_conf_publish(&cell, v1));
	seam_conf *c = seam_conf_current(&cell);
	EXPECT_EQ(seam_conf_version(c), 2u);
	seam_conf_unref(c);
	seam_conf_cell_free(&cell);
}
