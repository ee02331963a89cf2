// Shares of teams whose buckets have several owners, on a full fleet.
#include <cmath>
#include <map>

#include "tests/task_sim.h"

static const int OWNERS = 3;

struct queue_load {
	const char *queue;
	int64_t cpu;
	int64_t mem;
	int run_ms;
	int waiting; // tasks kept waiting in the queue, at least
};

struct share_sim : sim {
	int submitted = 0;
	bool alive[OWNERS] = {true, true, true};
	std::map<std::string, int> waiting;
	std::map<std::string, int> running;

	// Teams t, u and s have shares of 1, 2 and 1; s has workspaces x and y
	// with shares of 1 and 3.
	share_sim() : sim(OWNERS)
	{
		change("{\"put\":["
		       "{\"kind\":\"team\",\"object\":{\"name\":\"t\","
		       "\"share\":1}},"
		       "{\"kind\":\"team\",\"object\":{\"name\":\"u\","
		       "\"share\":2}},"
		       "{\"kind\":\"team\",\"object\":{\"name\":\"s\","
		       "\"share\":1}},"
		       "{\"kind\":\"workspace\",\"object\":{\"name\":\"x\","
		       "\"team\":\"s\",\"share\":1}},"
		       "{\"kind\":\"workspace\",\"object\":{\"name\":\"y\","
		       "\"team\":\"s\",\"share\":3}},"
		       "{\"kind\":\"queue\",\"object\":{\"name\":\"sx\","
		       "\"team\":\"s\",\"pool\":\"p\",\"workspace\":\"x\"}},"
		       "{\"kind\":\"queue\",\"object\":{\"name\":\"sy\","
		       "\"team\":\"s\",\"pool\":\"p\",\"workspace\":\"y\"}}"
		       "]}");
		// Most buckets of t have another owner than those of the other
		// teams.
		owner_of = [this](int, const char *name) {
			size_t h = std::hash<std::string>()(name);
			int at = strstr(name, "queue/t/") ? h % 8 ? 0 : 1 :
				 h % 8 ? 1 + (int)(h / 8 % 2) :
					 0;

			for (int j = 0; j < OWNERS && !alive[at]; j++)
				at = (at + 1) % OWNERS;
			return at;
		};
		for (int i = 0; i < 8; i++)
			add_worker(("w" + std::to_string(i)).c_str(), "a",
				   ("r" + std::to_string(i / 2)).c_str(), 8000,
				   8000);
		for (int i = 0; i < OWNERS; i++)
			start(i);
	}
	// Fraction of the fleet that running tasks of a queue have reserved.
	double used(const std::string &queue, const char *what = "cpu_milli")
	{
		seam_rows rows = {};
		double sum = 0;

		waiting[queue] = running[queue] = 0;
		if (seam_store_scan(store, "queue/", NULL, 1000, &rows,
				    clock.time + SEAM_SEC, &e))
			return 0;
		for (size_t i = 0; i < rows.n; i++) {
			if (!strstr(rows.row[i].key,
				    ("/" + queue + "/").c_str()))
				continue;
			json_object *o = json_tokener_parse(rows.row[i].data);
			json_object *a = json_object_object_get(o, "tasks");
			for (size_t j = 0; j < json_object_array_length(a);
			     j++) {
				json_object *t =
					json_object_array_get_idx(a, j);
				std::string state =
					seam_json_str(t, "state", "");
				waiting[queue] += state == "queued";
				running[queue] += state == "running";
				if (state == "running")
					sum += (double)seam_json_int(
						json_object_object_get(
							t, "reserved"),
						what, 0);
			}
			json_object_put(o);
		}
		seam_rows_free(&rows);
		return sum / (8 * 8000);
	}
	void fill_queues(const std::vector<queue_load> &all)
	{
		for (auto &w : all) {
			used(w.queue);
			for (int n = waiting[w.queue]; n < w.waiting; n++)
				for (int i = 0; i < OWNERS; i++)
					if (alive[i]) {
						put(i,
						    "{\"run_ms\":" +
							    std::to_string(
								    w.run_ms +
								    submitted++ *
									    37 %
									    8000) +
							    "}",
						    w.cpu, w.mem, true, false,
						    w.queue, w.queue);
						break;
					}
		}
	}
	// Mean fraction of the fleet that each queue uses over a time of @t.
	std::map<std::string, double> mean(const std::vector<queue_load> &all,
					   seam_time t,
					   const char *what = "cpu_milli")
	{
		std::map<std::string, double> m;
		int n = 0;

		for (seam_time end = clock.time + t; clock.time < end; n++) {
			fill_queues(all);
			run(500 * SEAM_MSEC);
			for (auto &w : all)
				m[w.queue] += used(w.queue, what);
		}
		for (auto &x : m) {
			x.second /= n;
			printf("%s %.3f ", x.first.c_str(), x.second);
		}
		printf("of %s\n", what);
		return m;
	}
};

// A tenth of the fleet, six of 64 cores: one task more or less with each of the
// three owners, and tasks that are being started or stopped.
static const double TOLERANCE = 0.1;

// Guards against unfair shares when the tasks of a team have one owner and
// those of other teams have other owners.
TEST(ShareOwner, EachTeamGetsItsShare)
{
	share_sim s;
	std::vector<queue_load> all = {{"q", 1000, 100, 20000, 40},
				       {"v", 1000, 100, 20000, 40},
				       {"sx", 1000, 100, 20000, 40}};

	s.mean(all, 60 * SEAM_SEC);
	auto m = s.mean(all, 60 * SEAM_SEC);
	EXPECT_NEAR(m["q"], 0.25, TOLERANCE);
	EXPECT_NEAR(m["v"], 0.5, TOLERANCE);
	EXPECT_NEAR(m["sx"], 0.25, TOLERANCE);
	EXPECT_GE(m["q"] + m["v"] + m["sx"], 0.9);
}

// Guards against shares computed from processors alone: t uses mostly
// processors and u mostly memory, and they compete for the memory.
TEST(ShareOwner, DominantResourceCounts)
{
	share_sim s;
	std::vector<queue_load> all = {{"q", 1000, 500, 20000, 60},
				       {"v", 200, 1000, 20000, 60}};

	s.change("{\"put\":[{\"kind\":\"team\",\"object\":{\"name\":\"u\","
		 "\"share\":1}}]}");
	for (int i = 0; i < OWNERS; i++)
		s.read_conf(i);
	s.mean(all, 60 * SEAM_SEC);
	seam_time at = s.clock.time;
	auto cpu = s.mean(all, 40 * SEAM_SEC);
	auto mem = s.mean(all, 40 * SEAM_SEC, "memory_mb");
	EXPECT_GT(s.clock.time, at);
	// 2/3 of the processors for t go with 1/3 of the memory; u has the
	// other 2/3 of it. By processors alone t would get 0.18 of them.
	EXPECT_NEAR(cpu["q"], 2.0 / 3, TOLERANCE);
	EXPECT_NEAR(mem["v"], 2.0 / 3, TOLERANCE);
}

// Guards against a wrong division of a team's share between its workspaces.
TEST(ShareOwner, WorkspacesDivideTheShareOfTheirTeam)
{
	share_sim s;
	std::vector<queue_load> all = {{"v", 1000, 100, 20000, 40},
				       {"sx", 1000, 100, 20000, 40},
				       {"sy", 1000, 100, 20000, 40}};

	s.mean(all, 60 * SEAM_SEC);
	auto m = s.mean(all, 60 * SEAM_SEC);
	EXPECT_NEAR(m["v"], 2.0 / 3, TOLERANCE);
	EXPECT_NEAR(m["sx"] + m["sy"], 1.0 / 3, TOLERANCE);
	EXPECT_NEAR(m["sx"], 1.0 / 12, TOLERANCE / 2);
	EXPECT_NEAR(m["sy"], 3.0 / 12, TOLERANCE / 2);
}

// Guards against unused shares that stay idle, and against long tasks that keep
// a borrowed share: they are preempted by checkpoint.
TEST(ShareOwner, BorrowedShareIsReclaimed)
{
	share_sim s;
	std::vector<queue_load> t = {{"q", 1000, 100, 600000, 40}};
	std::vector<queue_load> both = {{"q", 1000, 100, 600000, 40},
					{"v", 1000, 100, 600000, 40}};

	auto m = s.mean(t, 20 * SEAM_SEC);
	EXPECT_GE(s.used("q"), 0.95);
	s.mean(both, 30 * SEAM_SEC);
	m = s.mean(both, 10 * SEAM_SEC);
	EXPECT_NEAR(m["q"], 1.0 / 3, TOLERANCE);
	EXPECT_NEAR(m["v"], 2.0 / 3, TOLERANCE);
	// Preempted tasks are not started and stopped again after that.
	int before = 0;
	int after = 0;
	seam_rows rows = {};
	auto attempts = [&](int &sum) {
		seam_store_scan(s.store, "queue/", NULL, 1000, &rows,
				s.clock.time + SEAM_SEC, &s.e);
		for (size_t i = 0; i < rows.n; i++) {
			json_object *o = json_tokener_parse(rows.row[i].data);
			json_object *a = json_object_object_get(o, "tasks");
			for (size_t j = 0; j < json_object_array_length(a); j++)
				sum += (int)seam_json_int(
					json_object_array_get_idx(a, j),
					"attempt", 0);
			json_object_put(o);
		}
		seam_rows_free(&rows);
	};
	attempts(before);
	s.mean(both, 30 * SEAM_SEC);
	attempts(after);
	EXPECT_LE(after - before, 6);
}

// Guards against unfair shares after a node failed and others took over its
// buckets.
TEST(ShareOwner, OwnerFails)
{
	share_sim s;
	std::vector<queue_load> all = {{"q", 1000, 100, 20000, 40},
				       {"v", 1000, 100, 20000, 40},
				       {"sx", 1000, 100, 20000, 40}};

	s.mean(all, 60 * SEAM_SEC);
	s.alive[1] = false;
	s.kill(1);
	s.mean(all, 60 * SEAM_SEC);
	auto m = s.mean(all, 40 * SEAM_SEC);
	EXPECT_NEAR(m["q"], 0.25, TOLERANCE);
	EXPECT_NEAR(m["v"], 0.5, TOLERANCE);
	EXPECT_NEAR(m["sx"], 0.25, TOLERANCE);
}

// Guards against capacity reserved for a team that is at its upper limit and
// cannot use it.
TEST(ShareOwner, TeamAtItsLimitDoesNotBlockOthers)
{
	share_sim s;
	std::vector<queue_load> all = {{"q", 1000, 100, 20000, 40},
				       {"v", 1000, 100, 20000, 40}};

	s.change("{\"put\":[{\"kind\":\"team\",\"object\":{\"name\":\"u\","
		 "\"share\":2,\"limit\":4}}]}");
	for (int i = 0; i < OWNERS; i++) {
		s.read_conf(i);
		s.node[i].c.limit =
			seam_task_limit_teams(s.node[i].store, &s.node[i].conf);
		seam_tasks_free(s.node[i].tasks);
		s.node[i].tasks = seam_tasks_new(&s.node[i].c);
	}
	s.mean(all, 60 * SEAM_SEC);
	auto m = s.mean(all, 40 * SEAM_SEC);
	EXPECT_LE(s.running["v"], 4);
	EXPECT_GE(m["q"], 0.8);
	for (int i = 0; i < OWNERS; i++) {
		s.node[i].c.limit->ops->free(s.node[i].c.limit);
		s.node[i].c.limit = nullptr;
	}
}
