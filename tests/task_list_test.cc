// Listing the tasks of a queue in pages.
#include <set>

#include "task_sim.h"

static json_object *read_page(sim &s, std::vector<const char *> teams,
			      const std::string &query, const char *queue = "q")
{
	seam_task_list_query a = {};

	if (seam_task_list_query_parse(query.c_str(), &a, &s.e))
		return nullptr;
	a.queue = queue;
	a.teams = teams.data();
	a.n_teams = teams.size();
	return seam_tasks_list(s.node[0].tasks, &a, s.clock.time + SEAM_SEC,
			       &s.e);
}

// Returns the ids of all pages and checks that each occurs once.
static std::set<std::string> list_all(sim &s, std::vector<const char *> teams,
				      const std::string &query,
				      const char *queue = "q")
{
	std::set<std::string> ids;
	std::string after;

	for (int n = 0; n < 1000; n++) {
		json_object *o = read_page(s, teams, query + after, queue);

		EXPECT_NE(o, nullptr) << s.e.text;
		if (!o)
			break;
		json_object *a = json_object_object_get(o, "tasks");
		EXPECT_LE(json_object_array_length(a),
			  (size_t)SEAM_TASK_LIST_MAX);
		for (size_t i = 0; i < json_object_array_length(a); i++) {
			json_object *t = json_object_array_get_idx(a, i);

			EXPECT_TRUE(
				ids.insert(seam_json_str(t, "id", "")).second)
				<< "listed twice";
		}
		std::string next = seam_json_str(o, "next", "");
		json_object_put(o);
		if (next.empty())
			return ids;
		after = "&after=" + next;
	}
	ADD_FAILURE() << "no last page";
	return ids;
}

// Guards against tasks that are omitted or listed twice at a page boundary, for
// several page sizes.
TEST(List, PagesHoldEachTaskOnce)
{
	sim s(1);
	std::set<std::string> ids;
	s.start(0);
	for (int i = 0; i < 230; i++)
		ids.insert(s.put(0, "{}"));
	s.run(SEAM_SEC);
	for (const char *limit : {"limit=1", "limit=7", "limit=100"})
		EXPECT_EQ(list_all(s, {"t"}, limit), ids) << limit;
	EXPECT_EQ(list_all(s, {"a", "t", "u"}, "limit=50"), ids);
	EXPECT_TRUE(list_all(s, {"u"}, "limit=50").empty())
		<< "tasks of another team";
}

// Guards against a state filter that lists tasks in other states.
TEST(List, FilterByState)
{
	sim s(1);
	s.start(0);
	s.add_worker("w1", "a", "r1", 2000, 4096);
	for (int i = 0; i < 6; i++)
		s.put(0, "{\"run_ms\":600000}");
	s.run(3 * SEAM_SEC);
	EXPECT_EQ(list_all(s, {"t"}, "state=running").size(), 2u);
	EXPECT_EQ(list_all(s, {"t"}, "state=queued&limit=3").size(), 4u);
	EXPECT_EQ(list_all(s, {"t"}, "state=done").size(), 0u);
}

// Guards against a page that reads an unbounded number of rows, and against
// malformed tokens and queries that are accepted.
TEST(List, BoundsAndBadQueries)
{
	sim s(1);
	std::vector<std::string> names;
	std::vector<const char *> teams;
	s.start(0);
	for (int i = 0; i < 40; i++)
		names.push_back("team" + std::to_string(100 + i));
	for (auto &n : names)
		teams.push_back(n.c_str());
	uint64_t reads = seam_store_mem_stats(s.node[0].store).reads;
	json_object *o = read_page(s, teams, "");
	ASSERT_NE(o, nullptr);
	EXPECT_LE(seam_store_mem_stats(s.node[0].store).reads - reads, 16u);
	EXPECT_STRNE(seam_json_str(o, "next", ""), "");
	json_object_put(o);
	EXPECT_TRUE(list_all(s, teams, "limit=50").empty());
	for (const char *bad :
	     {"limit=0", "limit=101", "limit=x", "state=asleep", "page=2",
	      "after=t", "after=t~16~0", "after=t/q~1~0", "after=t~1~0~x"}) {
		seam_err_clear(&s.e);
		EXPECT_EQ(read_page(s, {"t"}, bad), nullptr) << bad;
		EXPECT_EQ(s.e.kind, SEAM_BAD_REQUEST) << bad;
	}
	seam_err_clear(&s.e);
	s.faults(0, true);
	EXPECT_EQ(read_page(s, {"t"}, ""), nullptr);
	EXPECT_EQ(s.e.kind, SEAM_UNAVAILABLE);
}
