// Tasks over HTTP, from callers through a node to fake workers.
#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <thread>
#include <vector>

#include "fake/fake.h"
#include "tests/change.h"
#include "tests/http.h"
#include "tests/node.h"

static reply send(const char *method, const std::string &url, const char *key,
		  const std::string &body = "",
		  const char *idempotency_key = nullptr)
{
	std::vector<std::string> headers = {bearer(key)};

	if (idempotency_key)
		headers.push_back(std::string("Idempotency-Key: ") +
				  idempotency_key);
	return http(method, url, headers, body);
}

class Worker : public ::testing::Test
{
      protected:
	seam_clock *clock = seam_clock_real();
	seam_store *store = nullptr;
	seam_fake_platform *platform = nullptr;
	seam_fake_workers *workers = nullptr;
	seam_fake_worker_http *http[2] = {};
	seam_node *node = nullptr;
	seam_err e = SEAM_ERR_INIT;
	const std::string url = test_url(22080);

	static std::string key(const char *name, const char *team)
	{
		char hash[SEAM_SHA256_HEX_SIZE];

		seam_sha256_hex(name, hash);
		return std::string(
			       "{\"kind\":\"key\",\"object\":{\"name\":\"") +
		       name + "\",\"team\":\"" + team + "\",\"sha256\":\"" +
		       hash + "\"}}";
	}
	void configure()
	{
		std::string doc =
			"{\"put\":[{\"kind\":\"data_centre\",\"object\":{"
			"\"name\":\"a\",\"region\":\"r\"}},"
			"{\"kind\":\"pool\",\"object\":{\"name\":\"p\","
			"\"kind\":\"tasks\"}},"
			"{\"kind\":\"team\",\"object\":{\"name\":\"t\"}},"
			"{\"kind\":\"team\",\"object\":{\"name\":\"u\"}},"
			"{\"kind\":\"queue\",\"object\":{\"name\":\"q\","
			"\"team\":\"t\",\"pool\":\"p\"}},"
			"{\"kind\":\"queue\",\"object\":{\"name\":\"o\","
			"\"team\":\"t\",\"pool\":\"p\",\"open\":true}}," +
			key("kt", "t") + "," + key("ku", "u") + "]}";
		commit_change(store, clock, doc, 0);
	}
	void add_worker(int i)
	{
		seam_vm vm = test_vm("w" + std::to_string(i), "p", 22090 + i);

		vm.cpu_milli = 4000;
		vm.memory_mb = 4096;
		vm.boot = 1;
		seam_fake_workers_add(workers, &vm);
		http[i] = seam_fake_worker_http_new(workers, vm.id, vm.addr);
		ASSERT_NE(http[i], nullptr);
		seam_fake_platform_put(platform, &vm);
	}
	void SetUp() override
	{
		seam_settings s = test_settings("n1", 22080, 22081);

		curl_global_init(CURL_GLOBAL_DEFAULT);
		store = seam_store_mem_new(clock);
		platform = seam_fake_platform_new(clock);
		workers = seam_fake_workers_new(clock, 5);
		add_worker(0);
		add_worker(1);
		configure();
		node = seam_node_new(&s, clock, store,
				     seam_fake_platform_base(platform), &e);
		ASSERT_NE(node, nullptr) << e.text;
		ASSERT_EQ(seam_node_start(node, &e), 0) << e.text;
	}
	void TearDown() override
	{
		seam_node_free(node);
		for (auto *h : http)
			seam_fake_worker_http_free(h);
		seam_fake_workers_free(workers);
		seam_fake_platform_free(platform);
		seam_store_close(store);
	}
	std::string submit(const char *api_key, const std::string &extra_fields,
			   const char *queue = "q",
			   const char *idempotency_key = nullptr)
	{
		reply r = send("POST", url + "/v1/queues/" + queue + "/tasks",
			       api_key,
			       "{\"kind\":\"k\",\"cpu_milli\":100,"
			       "\"memory_mb\":10" +
				       extra_fields + "}",
			       idempotency_key);
		size_t at = r.body.find("\"id\":\"");

		EXPECT_EQ(r.status, 202) << r.body;
		return at == std::string::npos ?
			       "" :
			       r.body.substr(at + 6, r.body.size() - at - 8);
	}
	bool wait_for_state(const std::string &id, const char *api_key,
			    const char *state)
	{
		std::string expected =
			std::string("\"state\":\"") + state + "\"";

		for (int i = 0; i < 200; i++) {
			reply r = send("GET", url + "/v1/tasks/" + id, api_key);

			if (r.body.find(expected) != std::string::npos)
				return true;
			std::this_thread::sleep_for(
				std::chrono::milliseconds(50));
		}
		return false;
	}
};

// Guards against tasks that are lost or run twice when workers' answers are
// lost.
TEST_F(Worker, RunsTasks)
{
	seam_fake_worker_faults f = {};
	std::vector<std::string> ids;

	f.lose_answers = 300;
	seam_fake_workers_set_faults(workers, "w0", &f);
	seam_fake_workers_set_faults(workers, "w1", &f);
	for (int i = 0; i < 20; i++)
		ids.push_back(submit("kt", ",\"idempotent\":false,\"payload\":{"
					   "\"run_ms\":200,\"once\":true}"));
	for (auto &id : ids) {
		ASSERT_TRUE(wait_for_state(id, "kt", "done"))
			<< send("GET", url + "/v1/explain/task/" + id, "op")
				   .body;
		EXPECT_EQ(seam_fake_workers_starts(workers, id.c_str()), 1);
	}
}

// Guards against a key that gives access to other queues than its team's and
// the open ones, or to tasks of another team.
TEST_F(Worker, KeysReachOnlyTheirTeam)
{
	std::string tasks = url + "/v1/queues/q/tasks";
	std::string body = "{\"kind\":\"k\",\"cpu_milli\":1,\"memory_mb\":1}";

	EXPECT_EQ(send("POST", tasks, "ku", body).status, 403);
	EXPECT_EQ(send("POST", tasks, "nokey", body).status, 401);
	std::string id = submit("ku", "", "o");
	EXPECT_EQ(id.substr(0, 4), "u~o~");
	EXPECT_TRUE(wait_for_state(id, "ku", "done"));
	EXPECT_EQ(send("GET", url + "/v1/tasks/" + id, "kt").status, 404);
	EXPECT_EQ(send("DELETE", url + "/v1/tasks/" + id, "kt").status, 404);
	EXPECT_EQ(send("GET", url + "/v1/workers", "kt").status, 401);
}

// Guards against a second task for a repeated request, refusals that don't say
// that nothing ran, and a task that waits although no worker is large enough.
TEST_F(Worker, RepeatsAndRefusals)
{
	std::string one = submit("kt", "", "q", "same");

	EXPECT_EQ(submit("kt", "", "q", "same"), one);
	reply r = send("POST", url + "/v1/queues/q/tasks", "kt",
		       "{\"kind\":\"k\",\"cpu_milli\":1,\"memory_mb\":1}",
		       "same");
	EXPECT_EQ(r.status, 409) << r.body;
	r = send("POST", url + "/v1/queues/q/tasks", "kt",
		 "{\"kind\":\"k\",\"cpu\":1}");
	EXPECT_EQ(r.status, 400);
	EXPECT_NE(r.body.find("\"run\":\"not_run\""), std::string::npos);
	std::string big = submit("kt", ",\"accelerators\":9");
	EXPECT_TRUE(wait_for_state(big, "kt", "never_runs"));
}

// Guards against a running task that operators cannot see or that a
// cancellation does not stop.
TEST_F(Worker, CancelAndExplain)
{
	std::string id = submit("kt", ",\"payload\":{\"run_ms\":60000}");

	EXPECT_TRUE(wait_for_state(id, "kt", "running"));
	reply r = send("GET", url + "/v1/workers", "op");
	EXPECT_NE(r.body.find("\"cpu_milli\":100"), std::string::npos)
		<< r.body;
	r = send("GET", url + "/v1/explain/task/" + id, "op");
	EXPECT_NE(r.body.find("\"team_rank\""), std::string::npos) << r.body;
	EXPECT_EQ(send("DELETE", url + "/v1/tasks/" + id, "kt").status, 200);
	EXPECT_TRUE(wait_for_state(id, "kt", "cancelled"));
	EXPECT_EQ(seam_fake_workers_running(workers), 0);
}

// Guards against a list that shows a key the tasks of another team, or that
// does not show an operator's key those of all teams.
TEST_F(Worker, ListsOfAQueue)
{
	std::string list = url + "/v1/queues/o/tasks";
	std::string mine = submit("kt", "", "o");
	std::string theirs = submit("ku", "", "o");

	reply r = send("GET", list, "ku");
	EXPECT_EQ(r.status, 200) << r.body;
	EXPECT_NE(r.body.find(theirs), std::string::npos) << r.body;
	EXPECT_EQ(r.body.find(mine), std::string::npos) << r.body;
	std::string after;
	std::string pages;
	do {
		r = send("GET", list + after, "op");
		ASSERT_EQ(r.status, 200) << r.body;
		pages += r.body;
		size_t at = r.body.find("\"next\":\"");
		after = "";
		if (at == std::string::npos)
			break;
		at += strlen("\"next\":\"");
		after = "?after=" +
			r.body.substr(at, r.body.find('"', at) - at);
	} while (pages.size() < 100000);
	EXPECT_TRUE(after.empty()) << "no last page";
	EXPECT_NE(pages.find(mine), std::string::npos) << pages;
	EXPECT_NE(pages.find(theirs), std::string::npos) << pages;
	EXPECT_EQ(send("GET", list, "nokey").status, 401);
	EXPECT_EQ(send("GET", url + "/v1/queues/q/tasks", "ku").status, 403);
	EXPECT_EQ(send("GET", url + "/v1/queues/none/tasks", "op").status, 404);
	EXPECT_EQ(send("GET", list + "?limit=0", "op").status, 400);
}
