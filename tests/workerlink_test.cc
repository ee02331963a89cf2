// Tests of the link to a worker: batched renewals and the listing schedule.
#include <gtest/gtest.h>

#include <curl/curl.h>

#include <cstring>
#include <string>
#include <thread>
#include <vector>

#include "tests/addr.h"
#include "fake/fake.h"

class WorkerLink : public ::testing::Test
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
	void send(int cmd_type, int task, uint64_t token)
	{
		seam_worker_cmd c = {};

		c.cmd_type = cmd_type;
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
	// Polls until @n reports have arrived, for at most 2 s.
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
			send(SEAM_CMD_START, i, 5);
		// A listing may repeat some.
		ASSERT_GE(poll((size_t)n), (size_t)n);
		std::this_thread::sleep_for(std::chrono::milliseconds(300));
		link->ops->poll(link, "t~q~1~", got, 64);
	}
};

// Guards against one call for each renewal: a node with many tasks on a worker
// spent most of its CPU time on these calls.
TEST_F(WorkerLink, RenewalsAreSentInOneCall)
{
	start(10);
	int before = seam_fake_worker_http_calls(http);
	for (int i = 0; i < 10; i++)
		send(SEAM_CMD_RENEW, i, 6);
	ASSERT_GE(poll(10), 10u);
	for (int i = 0; i < 10; i++) {
		EXPECT_EQ(got[i].attempt_state, SEAM_ATTEMPT_RUNNING);
		EXPECT_EQ(got[i].token, 6u);
	}
	// A listing may have been due as well.
	EXPECT_LE(seam_fake_worker_http_calls(http) - before, 2);
}

// Guards against leases that are not renewed on a worker without the call for
// several renewals.
TEST_F(WorkerLink, FallsBackToSingleRenewals)
{
	seam_fake_worker_faults f = {};
	f.no_renew_all = true;
	f.no_listing = true;
	seam_fake_workers_set_faults(fleet, "w", &f);
	start(5);
	for (int round = 0; round < 2; round++) {
		for (int i = 0; i < 5; i++)
			send(SEAM_CMD_RENEW, i, 6);
		ASSERT_EQ(poll(5), 5u);
		for (int i = 0; i < 5; i++)
			EXPECT_EQ(got[i].attempt_state, SEAM_ATTEMPT_RUNNING);
	}
}

// Guards against a renewal that is delayed in a batch and sent after a command
// with a later token: the worker fences it, from which the owner concludes that
// it has lost its bucket.
TEST_F(WorkerLink, RenewalsAreSentBeforeLaterCommands)
{
	start(2);
	send(SEAM_CMD_RENEW, 0, 6);
	send(SEAM_CMD_STOP, 0, 7);
	size_t n = poll(2);
	ASSERT_GE(n, 2u);
	for (size_t i = 0; i < n; i++)
		EXPECT_NE(got[i].attempt_state, SEAM_ATTEMPT_FENCED);
}

// Counts the listings in the time @len after a command, with or without
// responses to renewals every 5 s.
static int count_listings(int cmd_type, seam_time len, bool answered)
{
	seam_listing_schedule p = {};
	seam_time begin = 1000 * SEAM_SEC;
	int n = 0;

	seam_listing_schedule_cmd_sent(&p, cmd_type, begin);
	seam_listing_schedule_reported(&p, true, begin);
	for (seam_time t = begin; t < begin + len; t += 50 * SEAM_MSEC) {
		if (answered && (t - begin) % (5 * SEAM_SEC) == 0)
			seam_listing_schedule_reported(&p, false, t);
		if (t >= seam_listing_schedule_next(&p, t)) {
			seam_listing_schedule_reported(&p, true, t);
			n++;
		}
	}
	return n;
}

// Guards against frequent listings of workers on which nothing changes (5.4% of
// a core at the target size), against late detection of the end of short tasks,
// and against delays of an urgent task by a preempted one.
TEST(ListingSchedule, ListsOftenOnlyAfterChanges)
{
	EXPECT_GE(count_listings(SEAM_CMD_START, 4 * SEAM_SEC, true), 3);
	EXPECT_GE(count_listings(SEAM_CMD_CHECKPOINT, SEAM_SEC, true), 3);
	// At most a tenth of a listing each second.
	EXPECT_LE(count_listings(SEAM_CMD_START, 600 * SEAM_SEC, true), 60);
	EXPECT_GE(count_listings(SEAM_CMD_START, 600 * SEAM_SEC, false), 90);
}
