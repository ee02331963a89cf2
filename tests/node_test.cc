// One node, called over HTTP, with fake targets.
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <thread>
#include <vector>

#include "process/demand.h"
#include "tests/node_fixture.h"

class Node : public NodeFixture
{
};

TEST_F(Node, RequestIsForwardedInFull)
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

// Guards against requests that run without a key, with an unknown key or with
// the key of another team.
TEST_F(Node, KeysAuthorizeOnlyTheirTeam)
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

// Guards against a request whose response is lost that is reported as "not
// run" or is sent again.
TEST_F(Node, LostResponseIsUnknownAndNotRetried)
{
	seam_fake_target_faults f = {};

	f.drop = true;
	seam_fake_target_set_faults(target[0], &f);
	seam_fake_target_set_faults(target[1], &f);
	reply r = send("POST", url + "/v1/services/s/extend", "lender", "x");
	EXPECT_NE(r.body.find("\"run\":\"unknown\""), std::string::npos)
		<< r.body;
	EXPECT_EQ(seam_fake_target_runs(target[0]) +
			  seam_fake_target_runs(target[1]),
		  1);
}

// Guards against a response that is delivered to another concurrent caller.
TEST_F(Node, CallersGetTheirOwnResponses)
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

// Guards against requests that the node serves but does not count as demand for
// their pool.
TEST_F(Node, RequestsAreReportedAsDemand)
{
	seam_fake_target_faults f = {};
	seam_time end = seam_now(clock) + 20 * SEAM_SEC;
	double vms = 0;
	reply slow;

	f.delay_ms = 3000;
	seam_fake_target_set_faults(target[0], &f);
	seam_fake_target_set_faults(target[1], &f);
	std::thread t([&] {
		slow = send("GET", url + "/v1/services/s/x", "lender", "");
	});
	while (vms <= 0 && seam_now(clock) < end) {
		seam_demand_vms(node->demand, "web", seam_now(clock), &vms);
		std::this_thread::sleep_for(std::chrono::milliseconds(10));
	}
	t.join();
	EXPECT_EQ(slow.status, 200);
	EXPECT_DOUBLE_EQ(vms, 1.0 / 8);
}

// Guards against a drain that aborts running requests or accepts new ones.
TEST_F(Node, DrainCompletesRunningRequests)
{
	seam_fake_target_faults f = {};
	reply slow;

	f.delay_ms = 400;
	seam_fake_target_set_faults(target[0], &f);
	seam_fake_target_set_faults(target[1], &f);
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

// Guards against a target that stays in the routing table after it left the VM
// list during a request: only a change of the list removed targets.
TEST_F(Node, TargetIsRemovedAfterItsLastRequest)
{
	seam_fake_target_faults slow = {};
	auto targets = [&] {
		size_t n = seam_table_count(seam_targets_lock(node->targets));

		seam_targets_unlock(node->targets);
		return n;
	};
	auto wait_for = [&](size_t n) {
		for (int i = 0; i < 100 && targets() != n; i++)
			std::this_thread::sleep_for(
				std::chrono::milliseconds(100));
		return targets() == n;
	};
	reply r;

	ASSERT_TRUE(wait_for(2));
	slow.delay_ms = 3000;
	seam_fake_target_set_faults(target[0], &slow);
	seam_fake_platform_del(platform, "vm-1");
	ASSERT_TRUE(wait_for(1));
	std::thread t([&] {
		r = send("POST", url + "/v1/services/s/x", "lender", "x");
	});
	std::this_thread::sleep_for(std::chrono::milliseconds(500));
	seam_fake_platform_del(platform, "vm-0");
	t.join();
	EXPECT_EQ(r.status, 200) << r.body;
	EXPECT_TRUE(wait_for(0));
}

// Guards against a response that is truncated when the process exits: callers
// received the head of a refusal without its body.
TEST_F(Node, SmallResponseIsOneWrite)
{
	const std::string request =
		"GET /v1/services/s/x HTTP/1.1\r\nHost: n\r\n"
		"Connection: close\r\n\r\n";

	for (int i = 0; i < 50; i++) {
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		sockaddr_in a = {};
		char b[4096];

		a.sin_family = AF_INET;
		a.sin_port = htons(18480);
		inet_pton(AF_INET, test_host(), &a.sin_addr);
		ASSERT_EQ(connect(fd, (sockaddr *)&a, sizeof(a)), 0);
		ASSERT_GT(::send(fd, request.data(), request.size(), 0), 0);
		ssize_t n = recv(fd, b, sizeof(b), 0);
		close(fd);
		ASSERT_GT(n, 0);
		std::string got(b, (size_t)n);
		EXPECT_NE(got.find("HTTP/1.1 401"), std::string::npos) << got;
		EXPECT_NE(got.find("\"run\":\"not_run\""), std::string::npos)
			<< got;
	}
}
