#ifndef NODE_FIXTURE_H
#define NODE_FIXTURE_H

// One node with two fake targets, an in-memory store and a configuration.
#include <gtest/gtest.h>

#include <string>

#include "fake/fake.h"
#include "tests/change.h"
#include "tests/http.h"
#include "tests/node.h"

static inline reply send(const char *method, const std::string &url,
			 const std::string &key, const std::string &body)
{
	std::vector<std::string> headers;

	if (!key.empty())
		headers.push_back(bearer(key));
	return http(method, url, headers, body);
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
		char lender[SEAM_SHA256_HEX_SIZE];
		char other[SEAM_SHA256_HEX_SIZE];
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
		commit_change(store, clock, doc, 0);
	}

	void add_target(int i)
	{
		seam_vm vm =
			test_vm("vm-" + std::to_string(i), "web", 18481 + i);

		target[i] = seam_fake_target_new(vm.id, vm.addr, 32);
		ASSERT_NE(target[i], nullptr);
		seam_fake_platform_put(platform, &vm);
	}

	void SetUp() override
	{
		seam_settings s = test_settings("n1", 18480, 18490);

		curl_global_init(CURL_GLOBAL_DEFAULT);
		store = seam_store_mem_new(clock);
		platform = seam_fake_platform_new(clock);
		add_target(0);
		add_target(1);
		configure();
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
