// Shares of teams over several owners of buckets, on a full fleet.
#include <cmath>
#include <map>

#include "tests/task_sim.h"

static const int OWNERS = 3;

struct want {
	const char *queue;
	int64_t cpu;
	int64_t mem;
	int run_ms;
	int waiting; // kept at least so many in the queue
};

struct shares : sim {
	int puts = 0;
	bool alive[OWNERS] = {true, true, true};
	std::map<std::string, int> waits;
	std::map<std::string, int> runs;

	// Teams t and u with shares of 1 and 2; s has workspaces x and y.
	shares() : sim(OWNERS)
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
		// The buckets of t and of the others have different owners,
		// but for a few.
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
	// Reserved by running tasks of a queue, in parts of the fleet.
	double used(const std::string &queue, const char *what = "cpu_milli")
	{
		seam_rows rows = {};
		double sum = 0;

		waits[queue] = runs[queue] = 0;
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
				waits[queue] += state == "queued";
				runs[queue] += state == "running";
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
	void keep(const std::vector<want> &all)
	{
		for (auto &w : all) {
			used(w.queue);
			for (int n = waits[w.queue]; n < w.waiting; n++)
				for (int i = 0; i < OWNERS; i++)
					if (alive[i]) {
						put(i,
						    "{\"run_ms\":" +
							    std::to_string(
								    w.run_ms +
								    puts++ *
									    37 %
									    8000) +
							    "}",
						    w.cpu, w.mem, true, false,
						    w.queue, w.queue);
						break;
					}
		}
	}
	// Mean part of the fleet in use by each queue over @t.
	std::map<std::string, double> mean(const std::vector<want> &all,
					   seam_time t,
					   const char *what = "cpu_milli")
	{
		std::map<std::string, double> m;
		int n = 0;

		for (seam_time end = clock.time + t; clock.time < end; n++) {
			keep(all);
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

// A tenth of the fleet is the bound: six of 64 cores, one task more or less
// with each of three owners and those that are being stopped or started.
static const double NEAR = 0.1;

// Guards shares when the tasks of a team are with one owner, and those of
// others with other owners.
TEST(ShareOwner, EachTeamComesNearItsShare)
{
	shares s;
	std::vector<want> all = {{"q", 1000, 100, 20000, 40},
				 {"v", 1000, 100, 20000, 40},
				 {"sx", 1000, 100, 20000, 40}};

	s.mean(all, 60 * SEAM_SEC);
	auto m = s.mean(all, 60 * SEAM_SEC);
	EXPECT_NEAR(m["q"], 0.25, NEAR);
	EXPECT_NEAR(m["v"], 0.5, NEAR);
	EXPECT_NEAR(m["sx"], 0.25, NEAR);
	EXPECT_GE(m["q"] + m["v"] + m["sx"], 0.9);
}

// Guards against shares by processors alone: t uses processors most and u
// memory, and the memory is what they contend for.
TEST(ShareOwner, DominantResourceCounts)
{
	shares s;
	std::vector<want> all = {{"q", 1000, 500, 20000, 60},
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
	// 2/3 of the processors for t need 1/3 of the memory, and u has the
	// other 2/3 of it. By processors alone t would have 0.18 of them.
	EXPECT_NEAR(cpu["q"], 2.0 / 3, NEAR);
	EXPECT_NEAR(mem["v"], 2.0 / 3, NEAR);
}

// Guards the division of a team's share between its workspaces.
TEST(ShareOwner, WorkspacesDivideTheShareOfTheirTeam)
{
	shares s;
	std::vector<want> all = {{"v", 1000, 100, 20000, 40},
				 {"sx", 1000, 100, 20000, 40},
				 {"sy", 1000, 100, 20000, 40}};

	s.mean(all, 60 * SEAM_SEC);
	auto m = s.mean(all, 60 * SEAM_SEC);
	EXPECT_NEAR(m["v"], 2.0 / 3, NEAR);
	EXPECT_NEAR(m["sx"] + m["sy"], 1.0 / 3, NEAR);
	EXPECT_NEAR(m["sx"], 1.0 / 12, NEAR / 2);
	EXPECT_NEAR(m["sy"], 3.0 / 12, NEAR / 2);
}

// Guards the lending of unused share, and its return by checkpoint: long tasks
// of the other team must not keep it.
TEST(ShareOwner, LentShareIsTakenBack)
{
	shares s;
	std::vector<want> t = {{"q", 1000, 100, 600000, 40}};
	std::vector<want> both = {{"q", 1000, 100, 600000, 40},
				  {"v", 1000, 100, 600000, 40}};

	auto m = s.mean(t, 20 * SEAM_SEC);
	EXPECT_GE(s.used("q"), 0.95);
	s.mean(both, 30 * SEAM_SEC);
	m = s.mean(both, 10 * SEAM_SEC);
	EXPECT_NEAR(m["q"], 1.0 / 3, NEAR);
	EXPECT_NEAR(m["v"], 2.0 / 3, NEAR);
	// No churn after that: nobody starts again what was stopped.
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

// Guards shares when an owner dies: its buckets go to another one.
TEST(ShareOwner, OwnerDies)
{
	shares s;
	std::vector<want> all = {{"q", 1000, 100, 20000, 40},
				 {"v", 1000, 100, 20000, 40},
				 {"sx", 1000, 100, 20000, 40}};

	s.mean(all, 60 * SEAM_SEC);
	s.alive[1] = false;
	s.kill(1);
	s.mean(all, 60 * SEAM_SEC);
	auto m = s.mean(all, 40 * SEAM_SEC);
	EXPECT_NEAR(m["q"], 0.25, NEAR);
	EXPECT_NEAR(m["v"], 0.5, NEAR);
	EXPECT_NEAR(m["sx"], 0.25, NEAR);
}

// Guards against a team at its upper limit that keeps others from room.
TEST(ShareOwner, TeamAtItsLimitHoldsNobodyBack)
{
	shares s;
	std::vector<want> all = {{"q", 1000, 100, 20000, 40},
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
	EXPECT_LE(s.runs["v"], 4);
	EXPECT_GE(m["q"], 0.8);
	for (int i = 0; i < OWNERS; i++) {
		s.node[i].c.limit->ops->free(s.node[i].c.limit);
		s.node[i].c.limit = nullptr;
	}
}
