#ifndef NODE_FIXTURE_H
#define NODE_FIXTURE_H

// One daemon with two fake targets, a memory store and a first configuration.
#include <gtest/gtest.h>

#include <curl/curl.h>
#include <json-c/json.h>

#include <string>

#include "tests/addr.h"
#include "fake/fake.h"
#include "process/node.h"

struct reply {
	long status = 0;
	std::string body;
};

static inline size_t on_body(char *data, size_t size, size_t n, void *arg)
{
	((std::string *)arg)->append(data, size * n);
	return size * n;
}

static inline reply send(const char *method, const std::string &url,
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

class NodeFixture : public ::testing::Test
{
      protected:
	seam_clock *clock = seam_clock_real();
	seam_store *store = nullptr;
	seam_fake_platform *platform = nullptr;
	seam_fake_target *target[2] = {};
	seam_node *node = nullptr;
	seam_err e = SEAM_ERR_INIT;
	const std::string url = test_url(18480);

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
		snprintf(vm.addr, sizeof(vm.addr), "%s:%d", test_host(),
			 18481 + i);
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
		s.threads = 128; // sanitizers are slow with a thousand
		snprintf(s.node, sizeof(s.node), "n1");
		snprintf(s.data_centre, sizeof(s.data_centre), "a");
		snprintf(s.listen, sizeof(s.listen), "%s:18480", test_host());
		snprintf(s.peer, sizeof(s.peer), "%s:18490", test_host());
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

#endif
