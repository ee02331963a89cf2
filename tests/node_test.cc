// One node end to end: a real HTTP client, targets and a configuration.
#include <gtest/gtest.h>

#include <curl/curl.h>
#include <json-c/json.h>

#include <string>
#include <thread>
#include <vector>

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

static reply send(const char *method, const std::string &url,
		  const std::string &key, const std::string &body)
{
	CURL *c = curl_easy_init();
	curl_slist *list = nullptr;
	reply r;

	if (!key.empty())
		list = curl_slist_append(
			list, ("Authorization: Bearer " + key).c_str());
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

class Node : public ::testing::Test
{
      protected:
	seam_clock *clock = seam_clock_real();
	seam_store *store = nullptr;
	seam_fake_platform *platform = nullptr;
	seam_fake_target *target[2] = {};
	seam_node *node = nullptr;
	seam_err e = SEAM_ERR_INIT;
	const std::string url = "http://127.0.0.1:18480";

	void configure()
	{
		char lender[SEAM_SHA256_HEX];
		char other[SEAM_SHA256_HEX];
		seam_sha256_hex("lender", lender);
		seam_sha256_hex("other", other);
		std::string doc =
			std::string("{\"put\":["
				    "{\"kind\":\"data_centre\",\"object\":{"
				    "\"name\":\"a\",\"region\":\"r\"}},"
				    "{\"kind\":\"pool\",\"object\":{"
				    "\"name\":\"web\",\"kind\":\"service\"}},"
				    "{\"kind\":\"team\",\"object\":{"
				    "\"name\":\"t\"}},"
				    "{\"kind\":\"team\",\"object\":{"
				    "\"name\":\"u\"}},"
				    "{\"kind\":\"service\",\"object\":{"
				    "\"name\":\"s\",\"pool\":\"web\","
				    "\"teams\":[\"t\"]}},"
				    "{\"kind\":\"key\",\"object\":{\"name\":"
				    "\"k\",\"team\":\"t\",\"sha256\":\"") +
			lender +
			"\"}},{\"kind\":\"key\",\"object\":{\"name\":"
			"\"l\",\"team\":\"u\",\"sha256\":\"" +
			other + "\"}}]}";
		json_object *o = json_tokener_parse(doc.c_str());
		seam_change ch = {o, "test", "test", 0};
		seam_conf *c = seam_conf_commit(
			store, clock, &ch, seam_now(clock) + 5 * SEAM_SEC, &e);
		ASSERT_NE(c, nullptr) << e.text;
		seam_conf_drop(c);
		json_object_put(o);
	}

	void add_target(int i)
	{
		seam_vm vm = {};

		snprintf(vm.id, sizeof(vm.id), "vm-%d", i);
		snprintf(vm.dc, sizeof(vm.dc), "a");
		snprintf(vm.rack, sizeof(vm.rack), "r%d", i);
		snprintf(vm.addr, sizeof(vm.addr), "127.0.0.1:%d", 18481 + i);
		snprintf(vm.pool, sizeof(vm.pool), "web");
		target[i] = seam_fake_target_new(vm.id, vm.addr, 32);
		ASSERT_NE(target[i], nullptr);
		seam_fake_platform_put(platform, &vm);
	}

	void SetUp() override
	{
		seam_settings s;

		curl_global_init(CURL_GLOBAL_DEFAULT);
		store = seam_store_mem_new(clock);
		platform = seam_fake_platform_new(clock);
		add_target(0);
		add_target(1);
		configure();
		seam_settings_default(&s);
		snprintf(s.node, sizeof(s.node), "n1");
		snprintf(s.data_centre, sizeof(s.data_centre), "a");
		snprintf(s.listen, sizeof(s.listen), "127.0.0.1:18480");
		snprintf(s.peer, sizeof(s.peer), "127.0.0.1:18490");
		seam_sha256_hex("op", s.operator_sha256);
		node = seam_node_new(&s, clock, store,
				     seam_fake_platform_base(platform), &e);
		ASSERT_NE(node, nullptr) << e.text;
		ASSERT_EQ(seam_node_start(node, &e), 0) << e.text;
	}

	void TearDown() override
	{
		seam_node_free(node);
		for (auto *t : target)
			seam_fake_target_free(t);
		seam_fake_platform_free(platform);
		seam_store_close(store);
	}
};

TEST_F(Node, ServesARequestWhole)
{
	std::string body(200000, 'b');
	reply r =
		send("POST", url + "/v1/services/s/loans?x=1", "lender", body);

	ASSERT_EQ(r.status, 200) << r.body;
	json_object *o = json_tokener_parse(r.body.c_str());
	ASSERT_NE(o, nullptr);
	EXPECT_EQ(body,
		  json_object_get_string(json_object_object_get(o, "body")));
	EXPECT_STREQ("/loans",
		     json_object_get_string(json_object_object_get(o, "path")));
	json_object_put(o);
}

// Guards P3: no key, an unknown key, and a key of another team open nothing.
TEST_F(Node, KeysOpenOnlyTheirOwn)
{
	EXPECT_EQ(send("GET", url + "/v1/services/s/", "", "").status, 401);
	EXPECT_EQ(send("GET", url + "/v1/services/s/", "nokey", "").status,
		  401);
	EXPECT_EQ(send("GET", url + "/v1/services/s/", "other", "").status,
		  403);
	EXPECT_EQ(send("GET", url + "/v1/config", "lender", "").status, 401);
	EXPECT_EQ(seam_fake_target_runs(target[0]) +
			  seam_fake_target_runs(target[1]),
		  0);
}

// Guards P7 and P8: a broken answer is not called "not run" and the request
// is not sent again.
TEST_F(Node, BrokenAnswerIsUnknownAndNotRepeated)
{
	seam_fake_target_faults f = {};

	f.drop = true;
	seam_fake_target_set(target[0], &f);
	seam_fake_target_set(target[1], &f);
	reply r = send("POST", url + "/v1/services/s/extend", "lender", "x");
	EXPECT_NE(r.body.find("\"run\":\"unknown\""), std::string::npos)
		<< r.body;
	EXPECT_EQ(seam_fake_target_runs(target[0]) +
			  seam_fake_target_runs(target[1]),
		  1);
}

// Guards P6: concurrent callers each get the answer to their own request.
TEST_F(Node, AnswersDoNotCross)
{
	std::vector<std::thread> threads;
	int wrong = 0;

	for (int i = 0; i < 8; i++)
		threads.emplace_back([&, i] {
			for (int j = 0; j < 50; j++) {
				std::string own = "c" + std::to_string(i) +
						  "r" + std::to_string(j);
				reply r = send("PUT",
					       url + "/v1/services/s/" + own,
					       "lender", "<" + own + ">");
				if (r.status != 200 ||
				    r.body.find("<" + own + ">") ==
					    std::string::npos)
					__atomic_fetch_add(&wrong, 1,
							   __ATOMIC_RELAXED);
			}
		});
	for (auto &t : threads)
		t.join();
	EXPECT_EQ(wrong, 0);
}

// Guards P10: a drain answers running requests in full and refuses new ones.
TEST_F(Node, DrainAnswersRunningRequests)
{
	seam_fake_target_faults f = {};
	reply slow;

	f.delay_ms = 400;
	seam_fake_target_set(target[0], &f);
	seam_fake_target_set(target[1], &f);
	std::thread t([&] {
		slow = send("POST", url + "/v1/services/s/x", "lender", "y");
	});
	while (!seam_fake_target_runs(target[0]) &&
	       !seam_fake_target_runs(target[1]))
		std::this_thread::yield();
	EXPECT_TRUE(seam_node_drain(node, seam_now(clock) + 20 * SEAM_SEC));
	t.join();
	EXPECT_EQ(slow.status, 200);
	reply r = send("GET", url + "/v1/services/s/", "lender", "");
	EXPECT_NE(r.body.find("\"draining\""), std::string::npos) << r.body;
}
