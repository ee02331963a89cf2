// Tasks over HTTP: callers, a node, links and fake workers.
#include <gtest/gtest.h>

#include <curl/curl.h>

#include <cstring>
#include <string>
#include <thread>
#include <vector>

#include "tests/addr.h"
#include "fake/fake.h"
#include "process/node.h"

struct reply {
	long status = 0;
	std::string body;
};

static size_t on_body(char *data, size_t size, size_t n, void *arg)
{
	((std::string *)arg)->append(data, size * n);
	return size * n;
}

static reply send(const char *method, const std::string &url, const char *key,
		  const std::string &body = "", const char *idem = nullptr)
{
	CURL *c = curl_easy_init();
	curl_slist *list = curl_slist_append(
		nullptr, (std::string("Authorization: Bearer ") + key).c_str());
	reply r;

	if (idem)
		list = curl_slist_append(
			list,
			(std::string("Idempotency-Key: ") + idem).c_str());
	curl_easy_setopt(c, CURLOPT_URL, url.c_str());
	curl_easy_setopt(c, CURLOPT_PROXY, "");
	curl_easy_setopt(c, CURLOPT_TIMEOUT_MS, 20000L);
	curl_easy_setopt(c, CURLOPT_HTTPHEADER, list);
	curl_easy_setopt(c, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(c, CURLOPT_WRITEDATA, &r.body);
	if (!body.empty())
		curl_easy_setopt(c, CURLOPT_COPYPOSTFIELDS, body.c_str());
	curl_easy_setopt(c, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_perform(c);
	curl_easy_getinfo(c, CURLINFO_RESPONSE_CODE, &r.status);
	curl_slist_free_all(list);
	curl_easy_cleanup(c);
	return r;
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
		char hash[SEAM_SHA256_HEX];

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
		json_object *o = json_tokener_parse(doc.c_str());
		seam_change ch = {o, "test", "test", 0};
		seam_conf *c = seam_conf_commit(
			store, clock, &ch, seam_now(clock) + 5 * SEAM_SEC, &e);
		ASSERT_NE(c, nullptr) << e.text;
		seam_conf_drop(c);
		json_object_put(o);
	}
	void add_worker(int i)
	{
		seam_vm vm = {};

		snprintf(vm.id, sizeof(vm.id), "w%d", i);
		snprintf(vm.dc, sizeof(vm.dc), "a");
		snprintf(vm.rack, sizeof(vm.rack), "r%d", i);
		snprintf(vm.addr, sizeof(vm.addr), "%s:%d", test_host(),
			 22090 + i);
		snprintf(vm.pool, sizeof(vm.pool), "p");
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
		seam_settings s;

		curl_global_init(CURL_GLOBAL_DEFAULT);
		store = seam_store_mem_new(clock);
		platform = seam_fake_platform_new(clock);
		workers = seam_fake_workers_new(clock, 5);
		add_worker(0);
		add_worker(1);
		configure();
		seam_settings_default(&s);
		s.threads = 128; // sanitizers are slow with a thousand
		snprintf(s.node, sizeof(s.node), "n1");
		snprintf(s.data_centre, sizeof(s.data_centre), "a");
		snprintf(s.listen, sizeof(s.listen), "%s:22080", test_host());
		snprintf(s.peer, sizeof(s.peer), "%s:22081", test_host());
		seam_sha256_hex("op", s.operator_sha256);
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
	std::string put(const char *k, const std::string &more,
			const char *queue = "q", const char *idem = nullptr)
	{
		reply r =
			send("POST", url + "/v1/queues/" + queue + "/tasks", k,
			     "{\"kind\":\"k\",\"cpu_milli\":100,"
			     "\"memory_mb\":10" +
				     more + "}",
			     idem);
		size_t at = r.body.find("\"id\":\"");

		EXPECT_EQ(r.status, 202) << r.body;
		return at == std::string::npos ?
			       "" :
			       r.body.substr(at + 6, r.body.size() - at - 8);
	}
	bool until(const std::string &id, const char *k, const char *state)
	{
		std::string want = std::string("\"state\":\"") + state + "\"";

		for (int i = 0; i < 200; i++) {
			reply r = send("GET", url + "/v1/tasks/" + id, k);

			if (r.body.find(want) != std::string::npos)
				return true;
			std::this_thread::sleep_for(
				std::chrono::milliseconds(50));
		}
		return false;
	}
};

// Guards the whole path over HTTP, with answers of workers lost.
TEST_F(Worker, RunsTasks)
{
	seam_fake_worker_faults f = {};
	std::vector<std::string> ids;

	f.lose_answers = 300;
	seam_fake_workers_set(workers, "w0", &f);
	seam_fake_workers_set(workers, "w1", &f);
	for (int i = 0; i < 20; i++)
		ids.push_back(put("kt", ",\"idempotent\":false,\"payload\":{"
					"\"run_ms\":200,\"once\":true}"));
	for (auto &id : ids) {
		ASSERT_TRUE(until(id, "kt", "done"))
			<< send("GET", url + "/v1/explain/task/" + id, "op")
				   .body;
		EXPECT_EQ(seam_fake_workers_starts(workers, id.c_str()), 1);
	}
}

// Guards P3: a key opens its own team's queues and open ones, and only the
// tasks of its own team.
TEST_F(Worker, KeysOpenOnlyTheirOwn)
{
	std::string tasks = url + "/v1/queues/q/tasks";
	std::string body = "{\"kind\":\"k\",\"cpu_milli\":1,\"memory_mb\":1}";

	EXPECT_EQ(send("POST", tasks, "ku", body).status, 403);
	EXPECT_EQ(send("POST", tasks, "nokey", body).status, 401);
	std::string id = put("ku", "", "o");
	EXPECT_EQ(id.substr(0, 4), "u~o~");
	EXPECT_TRUE(until(id, "ku", "done"));
	EXPECT_EQ(send("GET", url + "/v1/tasks/" + id, "kt").status, 404);
	EXPECT_EQ(send("DELETE", url + "/v1/tasks/" + id, "kt").status, 404);
	EXPECT_EQ(send("GET", url + "/v1/workers", "kt").status, 401);
}

// Guards against a second task for a repeated request, and refusals that name
// no cause.
TEST_F(Worker, RepeatsAndRefusals)
{
	std::string one = put("kt", "", "q", "same");

	EXPECT_EQ(put("kt", "", "q", "same"), one);
	reply r = send("POST", url + "/v1/queues/q/tasks", "kt",
		       "{\"kind\":\"k\",\"cpu_milli\":1,\"memory_mb\":1}",
		       "same");
	EXPECT_EQ(r.status, 409) << r.body;
	r = send("POST", url + "/v1/queues/q/tasks", "kt",
		 "{\"kind\":\"k\",\"cpu\":1}");
	EXPECT_EQ(r.status, 400);
	EXPECT_NE(r.body.find("\"run\":\"not_run\""), std::string::npos);
	std::string big = put("kt", ",\"accelerators\":9");
	EXPECT_TRUE(until(big, "kt", "never_runs"));
}

// Guards the cancellation of a running task, and what operators see of it.
TEST_F(Worker, CancelAndExplain)
{
	std::string id = put("kt", ",\"payload\":{\"run_ms\":60000}");

	EXPECT_TRUE(until(id, "kt", "running"));
	reply r = send("GET", url + "/v1/workers", "op");
	EXPECT_NE(r.body.find("\"cpu_milli\":100"), std::string::npos)
		<< r.body;
	r = send("GET", url + "/v1/explain/task/" + id, "op");
	EXPECT_NE(r.body.find("\"team_rank\""), std::string::npos) << r.body;
	EXPECT_EQ(send("DELETE", url + "/v1/tasks/" + id, "kt").status, 200);
	EXPECT_TRUE(until(id, "kt", "cancelled"));
	EXPECT_EQ(seam_fake_workers_running(workers), 0);
}

// Guards P3 for lists: a key sees its own team's tasks only, operators those of
// all teams.
TEST_F(Worker, ListsOfAQueue)
{
	std::string list = url + "/v1/queues/o/tasks";
	std::string mine = put("kt", "", "o");
	std::string theirs = put("ku", "", "o");

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
