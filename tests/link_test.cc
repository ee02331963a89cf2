// The link to one worker: renewals together, listings when they are due.
#include <gtest/gtest.h>

#include <curl/curl.h>

#include <cstring>
#include <string>
#include <thread>
#include <vector>

#include "tests/addr.h"
#include "fake/fake.h"

class Link : public ::testing::Test
{
      protected:
	seam_clock *clock = seam_clock_real();
	seam_fake_workers *fleet = nullptr;
	seam_fake_worker_http *http = nullptr;
	seam_workers *link = nullptr;
	std::string addr = std::string(test_host()) + ":22190";
	seam_worker_report got[64];
	seam_err e = SEAM_ERR_INIT;

	void SetUp() override
	{
		seam_vm vm = {};

		curl_global_init(CURL_GLOBAL_DEFAULT);
		fleet = seam_fake_workers_new(clock, 1);
		snprintf(vm.id, sizeof(vm.id), "w");
		vm.cpu_milli = 64000;
		vm.memory_mb = 65536;
		vm.boot = 1;
		seam_fake_workers_add(fleet, &vm);
		http = seam_fake_worker_http_new(fleet, "w", addr.c_str());
		ASSERT_NE(http, nullptr);
		link = seam_workerlink_new(clock, "key", nullptr, nullptr);
	}
	void TearDown() override
	{
		link->ops->free(link);
		seam_fake_worker_http_free(http);
		seam_fake_workers_free(fleet);
	}
	void send(int what, int task, uint64_t token)
	{
		seam_worker_cmd c = {};

		c.what = what;
		snprintf(c.worker, sizeof(c.worker), "w");
		snprintf(c.addr, sizeof(c.addr), "%s", addr.c_str());
		snprintf(c.task, sizeof(c.task), "t~q~1~%016d", task);
		c.attempt = 1;
		c.token = token;
		c.boot = 1;
		c.start_by = seam_now(clock) + SEAM_SEC;
		c.lease_until = seam_now(clock) + 15 * SEAM_SEC;
		c.payload = "{\"run_ms\":60000}";
		ASSERT_EQ(link->ops->send(link, &c, &e), 0) << e.text;
	}
	// Reports until @n came, or 2 s.
	size_t poll(size_t n)
	{
		size_t have = 0;

		for (int i = 0; i < 40 && have < n; i++) {
			std::this_thread::sleep_for(
				std::chrono::milliseconds(50));
			have += link->ops->poll(link, "t~q~1~", got + have,
						64 - have);
		}
		return have;
	}
	void start(int n)
	{
		for (int i = 0; i < n; i++)
			send(SEAM_DO_START, i, 5);
		// A listing may repeat some.
		ASSERT_GE(poll((size_t)n), (size_t)n);
		std::this_thread::sleep_for(std::chrono::milliseconds(300));
		link->ops->poll(link, "t~q~1~", got, 64);
	}
};

// Guards against a call for each task: a node with many tasks on a worker spent
// most of its processor time on them.
TEST_F(Link, RenewalsGoTogether)
{
	start(10);
	int before = seam_fake_worker_http_calls(http);
	for (int i = 0; i < 10; i++)
		send(SEAM_DO_RENEW, i, 6);
	ASSERT_GE(poll(10), 10u);
	for (int i = 0; i < 10; i++) {
		EXPECT_EQ(got[i].say, SEAM_SAY_RUNNING);
		EXPECT_EQ(got[i].token, 6u);
	}
	// One more if a listing was due.
	EXPECT_LE(seam_fake_worker_http_calls(http) - before, 2);
}

// Guards leases on workers that know only the call for one task.
TEST_F(Link, WorkerThatTakesSingleRenewals)
{
	seam_fake_worker_faults f = {};
	f.single = true;
	f.no_listing = true;
	seam_fake_workers_set(fleet, "w", &f);
	start(5);
	for (int round = 0; round < 2; round++) {
		for (int i = 0; i < 5; i++)
			send(SEAM_DO_RENEW, i, 6);
		ASSERT_EQ(poll(5), 5u);
		for (int i = 0; i < 5; i++)
			EXPECT_EQ(got[i].say, SEAM_SAY_RUNNING);
	}
}

// Guards against a renewal that waits for others and comes after a command with
// a later token: the worker refuses it, and the owner would think that it had
// lost its bucket.
TEST_F(Link, RenewalsGoBeforeLaterCommands)
{
	start(2);
	send(SEAM_DO_RENEW, 0, 6);
	send(SEAM_DO_STOP, 0, 7);
	size_t n = poll(2);
	ASSERT_GE(n, 2u);
	for (size_t i = 0; i < n; i++)
		EXPECT_NE(got[i].say, SEAM_SAY_FENCED);
}

// Listings in @len after a command, with renewals answered or not.
static int listings(int what, seam_time len, bool answered)
{
	seam_worker_pace p = {};
	seam_time begin = 1000 * SEAM_SEC;
	int n = 0;

	seam_worker_pace_cmd(&p, what, begin);
	seam_worker_pace_states(&p, true, begin);
	for (seam_time t = begin; t < begin + len; t += 50 * SEAM_MSEC) {
		if (answered && (t - begin) % (5 * SEAM_SEC) == 0)
			seam_worker_pace_states(&p, false, t);
		if (t >= seam_worker_pace_next(&p, t)) {
			seam_worker_pace_states(&p, true, t);
			n++;
		}
	}
	return n;
}

// Guards against listings of workers on which nothing changes (5.4% of a core
// at the target size), against ends of short tasks that are seen late, and
// against preempted work that holds up an urgent task.
TEST(Pace, ListsOftenOnlyAfterChanges)
{
	EXPECT_GE(listings(SEAM_DO_START, 4 * SEAM_SEC, true), 3);
	EXPECT_GE(listings(SEAM_DO_CHECKPOINT, SEAM_SEC, true), 3);
	// A tenth of one a second.
	EXPECT_LE(listings(SEAM_DO_START, 600 * SEAM_SEC, true), 60);
	EXPECT_GE(listings(SEAM_DO_START, 600 * SEAM_SEC, false), 90);
}
