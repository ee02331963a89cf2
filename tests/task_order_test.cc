// Order of starts between tasks and teams, and limits of teams.
#include "task_sim.h"

struct test_limit {
	seam_task_limit base;
	int most;
	uint64_t version;
	std::string text;
	int refused;
};

static int limit_write(seam_task_limit *l, const char *, const char *,
		       int units, seam_time, seam_write *w, seam_err *e)
{
	test_limit *t = (test_limit *)l;

	if (units > t->most) {
		t->refused++;
		return seam_fail(e, SEAM_OVER_LIMIT, "team t: %d of %d", units,
				 t->most);
	}
	t->text = std::to_string(units);
	*w = {SEAM_PUT, "team/t", t->version, t->text.c_str(), t->text.size()};
	return 0;
}

static void limit_done(seam_task_limit *l, const char *, const char *,
		       bool applied, uint64_t version)
{
	if (applied)
		((test_limit *)l)->version = version;
}

// Guards against starts beyond the team's limit, starts that do not commit
// together with the team's row, and a refused start whose reason is not shown.
TEST(Order, StartsCommitWithTheTeamsRow)
{
	static const seam_task_limit_ops ops = {limit_write, limit_done};
	test_limit l = {{&ops}, 1, SEAM_ABSENT, "", 0};
	sim s(1);
	std::vector<std::string> ids;
	seam_row row = {};
	s.add_worker("w1", "a", "r1");
	s.start(0);
	s.node[0].c.limit = &l.base;
	seam_tasks_free(s.node[0].tasks);
	s.node[0].tasks = seam_tasks_new(&s.node[0].c);
	for (int i = 0; ids.size() < 3; i++) {
		std::string id = s.put(0, "{\"run_ms\":5000}");
		if (ids.empty() || id.substr(0, 6) == ids[0].substr(0, 6))
			ids.push_back(id);
		else
			seam_tasks_cancel(s.node[0].tasks, id.c_str(),
					  s.clock.time + SEAM_SEC, &s.e);
	}
	s.run(3 * SEAM_SEC);
	EXPECT_EQ(seam_fake_workers_running(s.workers), 1);
	EXPECT_GT(l.refused, 0);
	ASSERT_EQ(seam_store_get(s.store, "team/t", &row,
				 s.clock.time + SEAM_SEC, &s.e),
		  0);
	EXPECT_STREQ(row.data, "1");
	seam_row_free(&row);
	int with_reason = 0;
	for (auto &id : ids)
		with_reason +=
			s.get(id, "reason").find("1 of 1") !=
				std::string::npos ||
			s.get(id, "reason").find("2 of 1") != std::string::npos;
	EXPECT_GE(with_reason, 1);
	s.run(30 * SEAM_SEC);
	for (auto &id : ids)
		EXPECT_EQ(s.get(id), "done");
}

// Guards against a team that submits later and does not get its share of a full
// fleet as tasks end.
TEST(Order, SharesOnAFullFleet)
{
	sim s(1);
	std::vector<std::string> u;
	s.add_worker("w1", "a", "r1", 10000);
	s.start(0);
	for (int i = 0; i < 100; i++)
		s.put(0, "{\"run_ms\":4000}");
	s.run(2 * SEAM_SEC);
	for (int i = 0; i < 60; i++)
		u.push_back(s.put(0, "{\"run_ms\":4000}", 1000, 100, true,
				  false, "k", "v"));
	s.run(14 * SEAM_SEC);
	int running = 0;
	for (auto &id : u)
		running += s.get(id) == "running";
	EXPECT_GE(running, 4);
	EXPECT_LE(running, 6);
}

// Load of a team in tasks of one core.
static seam_task_load load_of(const char *team, const char *queue, int runs,
			      int waits)
{
	seam_task_load l = {};

	snprintf(l.team, sizeof(l.team), "%s", team);
	snprintf(l.queue, sizeof(l.queue), "%s", queue);
	l.runs = runs;
	l.waits = waits;
	l.first = {1000, 100, 0};
	l.running = {runs * 1000, runs * 100, 0};
	l.waiting = {waits * 1000, waits * 100, 0};
	return l;
}

// Guards against idle workers: a team with many queued tasks yielded all free
// resources to a team that could start only one more task.
TEST(Order, ATeamYieldsNoMoreThanOthersLack)
{
	sim s(1);
	seam_pool_capacity room = {};
	s.change("{\"put\":[{\"kind\":\"team\",\"object\":{\"name\":\"u\","
		 "\"share\":2,\"limit\":4}}]}");
	s.start(0);
	seam_task_order *o = s.node[0].c.order;
	snprintf(room.pool, sizeof(room.pool), "p");
	room.all = {64000, 64000, 0};
	for (int runs : {26, 59, 60}) {
		seam_task_load l[] = {load_of("t", "q", runs, 40),
				      load_of("u", "v", 3, 40)};

		o->ops->loads(o, &room, 1, l, 2);
		// Yields only the room of the last task to the other team.
		EXPECT_EQ(o->ops->yields(o, "t", "q"), runs == 60) << runs;
	}
}

// Guards against a task that fits no worker and blocks the tasks behind it.
TEST(Order, NeverRunsIsNamedAndBlocksNothing)
{
	sim s(1);
	s.add_worker("w1", "a", "r1");
	s.start(0);
	std::string big = s.put(0, "{}", 1000, 1 << 20);
	std::string small = s.put(0, "{\"run_ms\":500}");
	s.run(3 * SEAM_SEC);
	EXPECT_EQ(s.get(big), "never_runs");
	EXPECT_NE(s.get(big, "reason").find("memory_mb"), std::string::npos);
	EXPECT_EQ(s.get(small), "done");
}

// Guards against an urgent task that starts later than 2.1 s after its
// submission on a full fleet.
TEST(Order, UrgentPreempts)
{
	sim s(1);
	s.add_worker("w1", "a", "r1");
	s.add_worker("w2", "a", "r2");
	s.start(0);
	for (int i = 0; i < 12; i++)
		s.put(0, "{\"run_ms\":600000}");
	s.run(5 * SEAM_SEC);
	ASSERT_EQ(seam_fake_workers_running(s.workers), 8);
	std::string id =
		s.put(0, "{\"run_ms\":500}", 2000, 100, true, true, "now", "v");
	seam_time at = s.clock.time;
	while (!s.starts(id) && s.clock.time < at + 10 * SEAM_SEC)
		s.step();
	EXPECT_LE(s.clock.time - at, 2100 * SEAM_MSEC);
}
