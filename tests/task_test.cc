// Tasks on workers: single failures and pairs of failures.
#include "task_sim.h"

// Guards the plain path: accepted, started, done, resources given back.
TEST(Task, RunsToItsEnd)
{
	sim s(1);
	s.add_worker("w1", "a", "r1");
	s.start(0);
	std::string id = s.put(0, "{\"run_ms\":3000}");
	ASSERT_NE(id, "") << s.e.text;
	EXPECT_EQ(s.get(id), "queued");
	EXPECT_TRUE(s.until(id, "running", 2 * SEAM_SEC)) << s.get(id);
	EXPECT_TRUE(s.until(id, "done", 6 * SEAM_SEC)) << s.get(id);
	EXPECT_EQ(s.starts(id), 1);
	seam_row row = {};
	ASSERT_EQ(seam_store_get(s.store, "worker/w1", &row,
				 s.clock.time + SEAM_SEC, &s.e),
		  0);
	EXPECT_NE(strstr(row.data, "\"use\":[]"), nullptr) << row.data;
	seam_row_free(&row);
}

// Guards leases over the whole run time of a long task.
TEST(Task, LongTaskIsRenewed)
{
	sim s(1);
	s.add_worker("w1", "a", "r1");
	s.start(0);
	std::string id =
		s.put(0, "{\"run_ms\":120000,\"once\":true}", 1000, 100, false);
	EXPECT_TRUE(s.until(id, "done", 130 * SEAM_SEC)) << s.get(id);
	EXPECT_EQ(s.starts(id), 1);
}

// Guards against a second task for a repeated request.
TEST(Task, KeyedRequestIsAcceptedOnce)
{
	sim s(2);
	s.add_worker("w1", "a", "r1");
	s.start(0);
	s.start(1);
	std::string one =
		s.put(0, "{}", 1000, 100, false, false, "k", "q", "key");
	std::string two =
		s.put(1, "{}", 1000, 100, false, false, "k", "q", "key");
	EXPECT_NE(one, "");
	EXPECT_EQ(one, two);
	EXPECT_EQ(
		s.put(1, "{\"x\":1}", 1000, 100, false, false, "k", "q", "key"),
		"");
	EXPECT_EQ(s.e.kind, SEAM_CONFLICT);
	s.run(5 * SEAM_SEC);
	EXPECT_EQ(s.starts(one), 1);
}

// Guards the owner killed between the commit and the start command: the new
// owner has the worker state that the attempt did not start, then runs it.
TEST(Task, OwnerKilledBetweenCommitAndStart)
{
	sim s(2);
	s.add_worker("w1", "a", "r1");
	s.start(0);
	s.start(1);
	seam_fake_link_cut(s.node[0].link, true);
	std::string id =
		s.put(0, "{\"run_ms\":500,\"once\":true}", 1000, 100, false);
	ASSERT_TRUE(s.until(id, "running", 2 * SEAM_SEC));
	s.kill(0);
	s.owner_of = [](int, const char *) { return 1; };
	s.run(4 * SEAM_SEC);
	EXPECT_TRUE(s.until(id, "done", 20 * SEAM_SEC))
		<< s.get(id) << s.get(id, "reason");
	EXPECT_EQ(s.starts(id), 1);
}

// Guards an owner that pauses past its ownership and resumes: its commands are
// refused and its copy is dropped.
TEST(Task, OwnerPausedAndResumed)
{
	sim s(2);
	s.add_worker("w1", "a", "r1");
	s.start(0);
	s.start(1);
	std::string id =
		s.put(0, "{\"run_ms\":60000,\"once\":true}", 1000, 100, false);
	std::string next;
	ASSERT_TRUE(s.until(id, "running", 2 * SEAM_SEC));
	s.run(1 * SEAM_SEC);
	s.node[0].paused = true;
	s.owner_of = [](int me, const char *) { return me; };
	s.run(10 * SEAM_SEC);
	next = s.put(1, "{\"run_ms\":500,\"once\":true}", 1000, 100, false);
	s.node[0].paused = false;
	s.run(20 * SEAM_SEC);
	EXPECT_EQ(s.get(next), "done");
	EXPECT_EQ(s.starts(next), 1);
	s.owner_of = [](int, const char *) { return 1; };
	EXPECT_TRUE(s.until(id, "done", 60 * SEAM_SEC)) << s.get(id);
	EXPECT_EQ(s.starts(id), 1);
}

// Guards a worker that pauses past its lease: an idempotent task runs again
// only after the lease, a non-idempotent one ends as unknown.
TEST(Task, WorkerPausedPastLease)
{
	sim s(1);
	seam_fake_worker_faults f = {};
	s.add_worker("w1", "a", "r1");
	s.start(0);
	std::string again = s.put(0, "{\"run_ms\":30000}");
	std::string once =
		s.put(0, "{\"run_ms\":30000,\"once\":true}", 1000, 100, false);
	ASSERT_TRUE(s.until(again, "running", 2 * SEAM_SEC));
	ASSERT_TRUE(s.until(once, "running", 2 * SEAM_SEC));
	f.paused = true;
	seam_fake_workers_set(s.workers, "w1", &f);
	s.add_worker("w2", "a", "r2");
	seam_time paused = s.clock.time;
	EXPECT_TRUE(s.until(again, "queued", 60 * SEAM_SEC) ||
		    s.get(again, "attempt") == "2");
	EXPECT_GT(s.clock.time - paused, 10 * SEAM_SEC);
	EXPECT_TRUE(s.until(once, "unknown", 10 * SEAM_SEC)) << s.get(once);
	f.paused = false;
	seam_fake_workers_set(s.workers, "w1", &f);
	EXPECT_TRUE(s.until(again, "done", 90 * SEAM_SEC));
	EXPECT_EQ(s.starts(again), 2);
	EXPECT_EQ(s.starts(once), 1);
}

// Guards against a lost or doubled task when store answers are lost at any
// commit of its life.
TEST(Task, LostStoreAnswers)
{
	for (int seed = 1; seed <= 20; seed++) {
		sim s(1, seed);
		std::vector<std::string> ids;
		s.add_worker("w1", "a", "r1");
		s.add_worker("w2", "b", "r2");
		s.start(0);
		s.faults(0, false, 400, 300, seed);
		for (int i = 0; i < 6; i++)
			ids.push_back(s.put(0, "{\"run_ms\":700,\"once\":true}",
					    1000, 100, false));
		s.run(60 * SEAM_SEC);
		for (auto &id : ids) {
			if (id.empty())
				continue;
			EXPECT_EQ(s.get(id), "done")
				<< seed << s.get(id, "reason");
			EXPECT_EQ(s.starts(id), 1);
		}
	}
}

// Guards running tasks against a long outage of the store; no new one starts.
TEST(Task, StoreDownForAnHour)
{
	sim s(1);
	s.add_worker("w1", "a", "r1");
	s.start(0);
	std::string id = s.put(0, "{\"run_ms\":3700000,\"once\":true}", 1000,
			       100, false);
	ASSERT_TRUE(s.until(id, "running", 2 * SEAM_SEC));
	std::string waits = s.put(0, "{\"run_ms\":500}", 1000, 100);
	s.faults(0, true);
	s.run(3600 * (seam_time)SEAM_SEC);
	EXPECT_EQ(seam_fake_workers_running(s.workers), 1);
	EXPECT_EQ(s.starts(waits), 0);
	s.faults(0, false);
	EXPECT_TRUE(s.until(waits, "done", 10 * SEAM_SEC));
	EXPECT_TRUE(s.until(id, "done", 200 * SEAM_SEC)) << s.get(id);
	EXPECT_EQ(s.starts(id), 1);
}

// Guards P5 between the commit and the start, and with a node that has not
// heard of the change.
TEST(Task, DataCentreOut)
{
	sim s(1);
	s.add_worker("w1", "a", "r1");
	s.start(0);
	std::string one = s.put(0, "{\"run_ms\":500}");
	s.dc("a", true);
	s.run(20 * SEAM_SEC);
	EXPECT_EQ(s.starts(one), 0);
	EXPECT_NE(s.get(one, "reason").find("out"), std::string::npos)
		<< s.get(one, "reason");
	s.dc("a", false);
	EXPECT_TRUE(s.until(one, "done", 5 * SEAM_SEC));
	seam_fake_link_cut(s.node[0].link, true);
	std::string two = s.put(0, "{\"run_ms\":500}");
	ASSERT_TRUE(s.until(two, "running", 2 * SEAM_SEC));
	s.dc("a", true);
	s.run(3 * SEAM_SEC);
	seam_fake_link_cut(s.node[0].link, false);
	s.run(30 * SEAM_SEC);
	EXPECT_EQ(s.starts(two), 0);
}

// Guards work in a data centre that is taken out: it moves to the other.
TEST(Task, MovesOutOfADataCentre)
{
	sim s(1);
	s.add_worker("w1", "a", "r1");
	s.start(0);
	std::string id = s.put(0, "{\"run_ms\":8000}");
	ASSERT_TRUE(s.until(id, "running", 2 * SEAM_SEC));
	s.run(1 * SEAM_SEC);
	s.add_worker("w2", "b", "r2");
	s.dc("a", true);
	s.read_conf(0);
	s.run(3 * SEAM_SEC);
	EXPECT_EQ(s.get(id, "worker"), "w2");
	EXPECT_TRUE(s.until(id, "done", 10 * SEAM_SEC));
}

// Guards against a poison task blamed on workers, and a bad worker blamed on
// tasks, both at once; the worker returns after a probe.
TEST(Task, BadWorkerAndPoisonTask)
{
	sim s(1);
	seam_fake_worker_faults f = {};
	std::vector<std::string> ids;
	for (int i = 0; i < 8; i++)
		s.add_worker(("w" + std::to_string(i)).c_str(), "a",
			     ("r" + std::to_string(i)).c_str());
	f.fail_all = true;
	seam_fake_workers_set(s.workers, "w0", &f);
	s.start(0);
	std::string poison =
		s.put(0, "{\"fail\":true}", 1000, 100, true, false, "poison");
	for (int i = 0; i < 60; i++)
		ids.push_back(s.put(0, "{\"run_ms\":2000}", 1000, 100, true,
				    false, ("k" + std::to_string(i)).c_str()));
	s.run(60 * SEAM_SEC);
	EXPECT_EQ(s.get(poison), "failed") << s.get(poison, "reason");
	for (auto &id : ids)
		EXPECT_EQ(s.get(id), "done") << s.get(id, "reason");
	json_object *a = seam_tasks_workers(s.node[0].tasks);
	std::string text =
		json_object_to_json_string_ext(a, JSON_C_TO_STRING_PLAIN);
	json_object_put(a);
	EXPECT_NE(text.find("\"quarantined\":true"), std::string::npos) << text;
	f.fail_all = false;
	seam_fake_workers_set(s.workers, "w0", &f);
	for (int i = 0; i < 40; i++)
		s.put(0, "{\"run_ms\":8000}");
	s.run(60 * SEAM_SEC);
	a = seam_tasks_workers(s.node[0].tasks);
	text = json_object_to_json_string_ext(a, JSON_C_TO_STRING_PLAIN);
	json_object_put(a);
	EXPECT_EQ(text.find("\"quarantined\":true"), std::string::npos) << text;
}

// Guards the bound on quarantine when most of a pool fails everything.
TEST(Task, AtMostAQuarterInQuarantine)
{
	sim s(1);
	seam_fake_worker_faults f = {};
	f.fail_all = true;
	for (int i = 0; i < 8; i++) {
		std::string id = "w" + std::to_string(i);

		s.add_worker(id.c_str(), "a", id.c_str());
		if (i < 6)
			seam_fake_workers_set(s.workers, id.c_str(), &f);
	}
	s.start(0);
	for (int i = 0; i < 80; i++)
		s.put(0, "{\"run_ms\":500}", 1000, 100, true, false,
		      ("k" + std::to_string(i)).c_str());
	for (int i = 0; i < 300; i++) {
		s.step();
		json_object *a = seam_tasks_workers(s.node[0].tasks);
		int n = 0;

		for (size_t j = 0; j < json_object_array_length(a); j++)
			n += json_object_get_boolean(json_object_object_get(
				json_object_array_get_idx(a, j),
				"quarantined"));
		json_object_put(a);
		ASSERT_LE(n, 2);
	}
}

// Guards against a task that fits no worker blocking those behind it.
TEST(Task, NeverRunsIsNamedAndBlocksNothing)
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

// Guards the start of urgent work on a full fleet within 2.1 s.
TEST(Task, UrgentPreempts)
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

// Guards a wave of cancellations against starts and lost answers.
TEST(Task, CancellationWave)
{
	sim s(1);
	std::vector<std::string> ids;
	s.add_worker("w1", "a", "r1");
	s.add_worker("w2", "a", "r2");
	s.start(0);
	for (int i = 0; i < 200; i++)
		ids.push_back(s.put(0, "{\"run_ms\":60000}"));
	s.run(2 * SEAM_SEC);
	s.faults(0, false, 200, 100);
	for (auto &id : ids)
		seam_tasks_cancel(s.node[0].tasks, id.c_str(),
				  s.clock.time + 5 * SEAM_SEC, &s.e);
	s.run(10 * SEAM_SEC);
	for (auto &id : ids)
		EXPECT_EQ(s.get(id), "cancelled");
	EXPECT_EQ(seam_fake_workers_running(s.workers), 0);
}

// Guards a group against the loss of one rack, and the tasks on it.
TEST(Task, RackLost)
{
	sim s(1);
	std::vector<std::string> ids;
	for (int i = 0; i < 8; i++)
		s.add_worker(("w" + std::to_string(i)).c_str(), "a",
			     i < 4 ? "r1" : "r2");
	s.start(0);
	for (int i = 0; i < 4; i++)
		ids.push_back(s.put(0, "{\"run_ms\":20000}", 1000, 100, true,
				    false, "k", "q", nullptr, "g"));
	s.run(3 * SEAM_SEC);
	int on_r1 = 0;
	for (auto &id : ids)
		on_r1 += s.get(id, "worker") < "w4";
	EXPECT_EQ(on_r1, 2);
	for (int i = 0; i < 4; i++)
		s.lose_worker("w" + std::to_string(i));
	s.run(60 * SEAM_SEC);
	for (auto &id : ids)
		EXPECT_EQ(s.get(id), "done");
}

// Guards a pair: the owner dies and the worker pauses in the same moment. The
// new owner may not run the task again while the lease could be renewed.
TEST(Task, OwnerKilledAndWorkerPaused)
{
	sim s(2);
	seam_fake_worker_faults f = {};
	s.add_worker("w1", "a", "r1");
	s.add_worker("w2", "a", "r2");
	s.start(0);
	s.start(1);
	std::string id = s.put(0, "{\"run_ms\":9000}");
	ASSERT_TRUE(s.until(id, "running", 2 * SEAM_SEC));
	s.run(SEAM_SEC);
	std::string on = s.get(id, "worker");
	f.paused = true;
	seam_fake_workers_set(s.workers, on.c_str(), &f);
	s.kill(0);
	s.owner_of = [](int, const char *) { return 1; };
	s.run(60 * SEAM_SEC);
	EXPECT_EQ(s.starts(id), 1);
	s.lose_worker(on);
	EXPECT_TRUE(s.until(id, "done", 60 * SEAM_SEC)) << s.get(id);
}

// Guards against a task that uses more than was reserved for it: it is held to
// the reservation, and moved to where it has room if it takes no notice.
TEST(Task, OveruseIsThrottledThenMoved)
{
	sim s(1);
	s.add_worker("w1", "a", "r1", 1000);
	s.start(0);
	std::string id = s.put(0, "{\"run_ms\":15000,\"cpu\":1800}");
	ASSERT_TRUE(s.until(id, "done", 20 * SEAM_SEC));
	EXPECT_EQ(s.get(id, "attempt"), "1");
	std::string deaf =
		s.put(0, "{\"run_ms\":20000,\"cpu\":1800,\"deaf\":true}");
	ASSERT_TRUE(s.until(deaf, "running", 2 * SEAM_SEC));
	s.add_worker("w2", "a", "r2", 4000);
	s.run(14 * SEAM_SEC);
	EXPECT_EQ(s.get(deaf, "attempt"), "2");
	EXPECT_EQ(s.get(deaf, "worker"), "w2");
	EXPECT_TRUE(s.until(deaf, "done", 30 * SEAM_SEC));
}

// Guards against trust in usage that is older than 30 s.
TEST(Task, OldUsageIsNotTrusted)
{
	sim s(1);
	seam_fake_worker_faults f = {};
	s.add_worker("w1", "a", "r1");
	f.usage_lag = 40 * SEAM_SEC;
	seam_fake_workers_set(s.workers, "w1", &f);
	s.start(0);
	std::string id =
		s.put(0, "{\"run_ms\":30000,\"cpu\":1800,\"deaf\":true}");
	ASSERT_TRUE(s.until(id, "done", 40 * SEAM_SEC));
	EXPECT_EQ(s.get(id, "attempt"), "1");
}

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

// Guards P4: starts commit with the team's row and stop at its limit, and the
// task says so.
TEST(Task, StartsCommitWithTheTeamsRow)
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
	int told = 0;
	for (auto &id : ids)
		told += s.get(id, "reason").find("1 of 1") !=
				std::string::npos ||
			s.get(id, "reason").find("2 of 1") != std::string::npos;
	EXPECT_GE(told, 1);
	s.run(30 * SEAM_SEC);
	for (auto &id : ids)
		EXPECT_EQ(s.get(id), "done");
}

// Guards shares on a full fleet: a team that comes later gets its part as
// room becomes free.
TEST(Task, SharesOnAFullFleet)
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

struct chaos {
	uint64_t x;

	uint64_t next()
	{
		x ^= x >> 12;
		x ^= x << 25;
		x ^= x >> 27;
		return x * 0x2545f4914f6cdd1dull;
	}
	bool one_in(int n)
	{
		return next() % (uint64_t)n == 0;
	}
	int below(int n)
	{
		return (int)(next() % (uint64_t)n);
	}
};

static void shake(sim &s, chaos &r, std::vector<std::string> &ids)
{
	int i = r.below(3);
	seam_fake_worker_faults f = {};

	if (s.node[i].alive && !s.node[i].paused && r.one_in(3)) {
		bool once = r.one_in(2);
		std::string p =
			"{\"run_ms\":" + std::to_string(200 + r.below(30000)) +
			(once ? ",\"once\":true" : "") +
			(r.one_in(40) ? ",\"fail\":true" : "") +
			(r.one_in(10) ? ",\"cpu\":1900" : "") + "}";
		std::string id = s.put(i, p, 200 + r.below(1500), 100, !once,
				       r.one_in(10), r.one_in(2) ? "k" : "l",
				       r.one_in(2) ? "q" : "v",
				       std::to_string(r.next()).c_str());
		if (!id.empty())
			ids.push_back(id);
	}
	if (!ids.empty() && s.node[i].alive && !s.node[i].paused &&
	    r.one_in(30))
		seam_tasks_cancel(s.node[i].tasks,
				  ids[r.next() % ids.size()].c_str(),
				  s.clock.time + SEAM_SEC, &s.e);
	if (r.one_in(150))
		s.node[i].paused = !s.node[i].paused;
	if (r.one_in(200)) {
		if (s.node[i].alive)
			s.kill(i);
		else
			s.start(i);
	}
	if (s.node[i].alive && r.one_in(60))
		s.faults(i, r.one_in(4), r.below(300), r.below(200),
			 1 + r.below(1000000));
	if (s.node[i].alive && r.one_in(80))
		seam_fake_link_cut(s.node[i].link, r.one_in(2));
	if (r.one_in(40)) {
		f.paused = r.one_in(3);
		f.fail_all = r.one_in(8);
		f.lose_answers = r.below(500);
		f.usage_lag = r.below(50) * SEAM_SEC;
		seam_fake_workers_set(
			s.workers, ("w" + std::to_string(r.below(8))).c_str(),
			&f);
	}
	if (r.one_in(300))
		s.dc(r.one_in(2) ? "a" : "b", r.one_in(2));
	if (r.one_in(10) && s.node[i].alive)
		s.read_conf(i);
	if (r.one_in(400)) {
		std::string id = "w" + std::to_string(r.below(8));
		seam_vm vm = {};

		for (auto &v : s.vms)
			if (id == v.id)
				vm = v;
		s.lose_worker(id);
		vm.boot++;
		s.vms.push_back(vm);
		seam_fake_workers_add(s.workers, &vm);
	}
}

// Each node has its own view of who owns a bucket, and the views differ for
// part of the time.
static int believed(sim &s, int me, const char *key, uint64_t salt)
{
	uint64_t h = salt;

	for (const char *c = key; *c; c++)
		h = h * 31 + (unsigned char)*c;
	for (int i = 0; i < 3; i++) {
		int n = (int)((h + (uint64_t)i) % 3);

		if (s.node[n].alive && (!s.node[n].paused || n == me))
			return n;
	}
	return me;
}

static bool all_ended(sim &s, std::vector<std::string> &ids)
{
	for (auto &id : ids) {
		std::string state = s.get(id);

		if (state == "queued" || state == "running" ||
		    state == "stopping")
			return false;
	}
	return true;
}

static void settle(sim &s, std::vector<std::string> &ids)
{
	seam_fake_worker_faults f = {};

	s.dc("a", false);
	s.dc("b", false);
	for (int i = 0; i < 8; i++)
		seam_fake_workers_set(s.workers,
				      ("w" + std::to_string(i)).c_str(), &f);
	for (int i = 0; i < 3; i++) {
		if (!s.node[i].alive)
			s.start(i);
		s.node[i].paused = false;
		s.faults(i, false);
		seam_fake_link_cut(s.node[i].link, false);
		s.read_conf(i);
	}
	for (int i = 0; i < 60 && !all_ended(s, ids); i++)
		s.run(10 * SEAM_SEC);
	s.check_rows();
}

static void random_run(int seed)
{
	sim s(3, seed);
	chaos r = {(uint64_t)seed * 0x9e3779b97f4a7c15ull | 1};
	std::vector<std::string> ids;
	uint64_t salt[3] = {};
	int ended = 0;

	for (int i = 0; i < 8; i++)
		s.add_worker(("w" + std::to_string(i)).c_str(),
			     i % 2 ? "a" : "b",
			     ("r" + std::to_string(i / 2)).c_str());
	s.owner_of = [&](int me, const char *key) {
		return believed(s, me, key, salt[me]);
	};
	for (int i = 0; i < 3; i++)
		s.start(i);
	for (int step = 0; step < 3000; step++) {
		if (r.one_in(200))
			salt[r.below(3)] = (uint64_t)r.below(3);
		if (r.one_in(100))
			salt[0] = salt[1] = salt[2] = (uint64_t)r.below(3);
		shake(s, r, ids);
		s.step();
		if (step % 20 == 0)
			s.check_rows();
	}
	salt[0] = salt[1] = salt[2] = 0;
	settle(s, ids);
	for (auto &id : ids) {
		std::string state = s.get(id);

		// Ended tasks leave their row for new ones.
		if (state.empty() || state == "done" || state == "failed" ||
		    state == "cancelled" || state == "unknown")
			ended++;
		else
			ADD_FAILURE() << "seed " << seed << " " << id << " "
				      << state << " " << s.get(id, "reason")
				      << " on " << s.get(id, "worker")
				      << " attempt " << s.get(id, "attempt")
				      << ", stop " << s.get(id, "stop");
		EXPECT_TRUE(state != "unknown" || s.get(id, "reason") != "");
	}
	printf("seed %d: %zu tasks accepted, %d ended, %d starts\n", seed,
	       ids.size(), ended, seam_fake_workers_starts(s.workers, nullptr));
}

// Guards the invariants of the fake workers and the worker rows under all
// faults at once; each accepted task ends.
TEST(Task, RandomRuns)
{
	const char *env = getenv("SEAM_SEEDS");
	const char *first = getenv("SEAM_FIRST_SEED");
	int from = first ? atoi(first) : 1;
	int seeds = env ? atoi(env) : 6;

	for (int seed = from; seed < from + seeds; seed++)
		random_run(seed);
}

// Guards the checks themselves: each invariant of the fake workers fires.
TEST(Task, InvariantsCanFire)
{
	sim s(1);
	seam_worker_cmd c = {};
	seam_workers *l = seam_fake_workers_link(s.workers);
	long before = seam_invariant_count();

	s.add_worker("w1", "a", "r1");
	s.add_worker("w2", "a", "r2");
	seam_invariant_abort(false);
	snprintf(c.task, sizeof(c.task), "t~q~0~x");
	c.attempt = 1;
	c.start_by = c.lease_until = s.clock.time + 10 * SEAM_SEC;
	c.payload = "{\"once\":true}";
	c.need = {5000, 1, 0};
	snprintf(c.worker, sizeof(c.worker), "w1");
	l->ops->send(l, &c, &s.e);
	EXPECT_EQ(seam_invariant_count(), before + 1) << "size";
	c.need.cpu = 1;
	c.attempt = 2;
	snprintf(c.worker, sizeof(c.worker), "w2");
	l->ops->send(l, &c, &s.e);
	EXPECT_EQ(seam_invariant_count(), before + 3) << "once, two leases";
	seam_fake_workers_dc_out(s.workers, "a", s.clock.time - 6 * SEAM_SEC);
	snprintf(c.task, sizeof(c.task), "t~q~0~y");
	l->ops->send(l, &c, &s.e);
	EXPECT_EQ(seam_invariant_count(), before + 4) << "data centre out";
	seam_write w = {SEAM_PUT, "worker/w1", SEAM_ABSENT,
			"{\"use\":[{\"cpu_milli\":9000}]}", 28};
	seam_commit k = {&w, 1, 1, 0};
	ASSERT_EQ(seam_store_commit(s.store, &k, s.clock.time + SEAM_SEC, &s.e),
		  0);
	s.check_rows();
	EXPECT_EQ(seam_invariant_count(), before + 5) << "committed";
	seam_invariant_abort(true);
	l->ops->free(l);
}
