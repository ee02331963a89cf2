// End-to-end tests of requests: two nodes over one store, with callers and
// targets over real connections.
#include <gtest/gtest.h>

#include <atomic>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "base/metrics.h"
#include "base/log.h"
#include "fake/fake.h"
#include "tests/change.h"
#include "tests/http.h"
#include "tests/node.h"

static long metric(const std::string &name)
{
	char *text = nullptr;
	size_t len = 0;
	FILE *f = open_memstream(&text, &len);

	seam_metrics_write(f);
	fclose(f);
	std::string all(text, len);
	free(text);
	size_t at = all.find("\n" + name + " ");
	return at == std::string::npos ?
		       0 :
		       atol(all.c_str() + at + name.size() + 2);
}

/* Admission that records its calls. */
struct fake_admit {
	seam_admit admit;
	std::atomic<int> taken{0}, released{0}, held{0};
	std::atomic<int> limit{1000};
	std::atomic<seam_time> until{0};
};

static int admit_take(seam_admit *a, const char *, int, seam_time, seam_err *e)
{
	auto *f = (fake_admit *)a;

	if (f->taken - f->released >= f->limit)
		return seam_fail(e, SEAM_OVER_LIMIT, nullptr);
	f->taken++;
	return 0;
}

static void admit_release(seam_admit *a, const char *, int, seam_time)
{
	((fake_admit *)a)->released++;
}

static void admit_hold_until(seam_admit *a, const char *, int, seam_time until)
{
	((fake_admit *)a)->held++;
	((fake_admit *)a)->until = until;
}

static const seam_admit_ops admit_ops = {admit_take, nullptr, admit_release,
					 admit_hold_until};

class Requests : public ::testing::Test
{
      protected:
	static const int T = 3;
	seam_clock *clock = seam_clock_real();
	seam_store *store = nullptr;
	seam_store *view[2] = {};
	seam_fake_platform *platform = nullptr;
	seam_fake_target *target[T] = {};
	seam_node *node[2] = {};
	fake_admit admit;
	seam_err e = SEAM_ERR_INIT;

	void configure()
	{
		char key[SEAM_SHA256_HEX_SIZE];

		seam_sha256_hex("lender", key);
		std::string doc = std::string(R"({"put":[
			{"kind":"data_centre","object":
			 {"name":"a","region":"r"}},
			{"kind":"pool","object":
			 {"name":"web","kind":"service"}},
			{"kind":"team","object":{"name":"t"}},
			{"kind":"service","object":{"name":"s","pool":"web",
			 "slots":4,"timeout_ms":8000}},
			{"kind":"key","object":{"name":"k","team":"t",
			 "sha256":")") +
				  key + "\"}}]}";
		commit_change(store, clock, doc, 0);
	}

	void add_target(int i)
	{
		seam_vm vm =
			test_vm("vm-" + std::to_string(i), "web", 20110 + i);

		target[i] = seam_fake_target_new(vm.id, vm.addr, 24);
		ASSERT_NE(target[i], nullptr);
		seam_fake_platform_put(platform, &vm);
		set_faults(i);
	}

	void set_faults(int i, int delay = 0, bool refuse = false,
			bool drop = false, int slots = 4)
	{
		seam_fake_target_faults f = {};

		f.delay_ms = delay;
		f.refuse = refuse;
		f.drop = drop;
		f.slots = slots;
		seam_fake_target_set_faults(target[i], &f);
	}

	void SetUp() override
	{
		curl_global_init(CURL_GLOBAL_DEFAULT);
		admit.admit.ops = &admit_ops;
		store = seam_store_mem_new(clock);
		platform = seam_fake_platform_new(clock);
		for (int i = 0; i < T; i++)
			add_target(i);
		configure();
		for (int i = 0; i < 2; i++) {
			seam_settings s = test_settings("n" + std::to_string(i),
							20100 + i, 20105 + i);

			view[i] = seam_store_mem_connect(store);
			node[i] = seam_node_new(
				&s, clock, view[i],
				seam_fake_platform_base(platform), &e);
			ASSERT_NE(node[i], nullptr) << e.text;
			ASSERT_EQ(seam_node_start(node[i], &e), 0) << e.text;
			// Replaces the admission that the part "team" set.
			node[i]->admit = &admit.admit;
		}
	}

	void TearDown() override
	{
		for (int i = 0; i < 2; i++) {
			seam_node_free(node[i]);
			if (view[i])
				seam_store_close(view[i]);
		}
		for (auto *t : target)
			seam_fake_target_free(t);
		seam_fake_platform_free(platform);
		seam_store_close(store);
	}

	void store_faults(int i, bool down, int lose)
	{
		seam_store_faults f = {};

		f.down = down;
		f.lose_answers = lose;
		f.seed = 3;
		seam_store_mem_set_faults(view[i], &f);
	}

	reply send(int n, const char *method, const std::string &path,
		   const std::string &key = "", int ms = 8000,
		   const std::string &body = "x")
	{
		std::vector<std::string> headers = {bearer("lender"),
						    "X-Request-Timeout-Ms: " +
							    std::to_string(ms)};

		if (!key.empty())
			headers.push_back("Idempotency-Key: " + key);
		return http(method,
			    test_url(20100 + n) + "/v1/services/s" + path,
			    headers, strcmp(method, "GET") ? body : "");
	}

	int path_runs(const std::string &path)
	{
		int n = 0;

		for (auto *t : target)
			n += seam_fake_target_path_runs(t, path.c_str());
		return n;
	}

	int runs()
	{
		int n = 0;

		for (auto *t : target)
			n += seam_fake_target_runs(t);
		return n;
	}
};

// Guards against errors at callers when a target dies while requests run:
// idempotent requests are retried at other targets, others are not repeated.
TEST_F(Requests, TargetDiesWhileRequestsRun)
{
	std::vector<std::thread> threads;
	std::atomic<int> succeeded{0};

	set_faults(0, 20, false, true);
	for (int i = 0; i < 3; i++)
		threads.emplace_back([&] {
			for (int j = 0; j < 40; j++)
				succeeded += send(0, "GET", "/g").status == 200;
		});
	for (auto &t : threads)
		t.join();
	EXPECT_EQ(succeeded, 120);
	for (int i = 0; i < 30; i++) {
		std::string path = "/p" + std::to_string(i);
		reply r = send(0, "POST", path);

		EXPECT_TRUE(r.status == 200 || r.has("\"unknown\"")) << r.body;
		EXPECT_EQ(path_runs(path), 1);
	}
}

// Guards against refusals in a short peak: requests wait and are served.
TEST_F(Requests, PeakWaitsAndPasses)
{
	std::vector<std::thread> threads;
	std::atomic<int> succeeded{0};
	long waited = metric("seam_request_waited_total");

	for (int i = 0; i < T; i++)
		set_faults(i, 50);
	for (int i = 0; i < 36; i++)
		threads.emplace_back([&] {
			for (int j = 0; j < 3; j++)
				succeeded +=
					send(0, "POST", "/peak").status == 200;
		});
	for (auto &t : threads)
		t.join();
	EXPECT_EQ(succeeded, 108);
	EXPECT_GT(metric("seam_request_waited_total"), waited);
	EXPECT_EQ(metric("seam_request_waiting"), 0);
}

// Guards against a request that runs although it was reported as not run when
// all targets are full; one with an unknown outcome may have run. Requests with
// short deadlines must not eject a slow target.
TEST_F(Requests, FullTargetsRefuseNotRun)
{
	std::vector<std::thread> threads;
	std::atomic<int> refused{0}, answered{0};
	long ejected = metric("seam_request_ejections_total");

	for (int i = 0; i < T; i++)
		set_faults(i, 1000);
	for (int i = 0; i < 24; i++)
		threads.emplace_back([&, i] {
			std::string path = "/f" + std::to_string(i);
			reply r =
				send(0, "POST", path, "", i < 12 ? 8000 : 300);
			if (r.not_run()) {
				refused++;
				EXPECT_EQ(path_runs(path), 0) << r.body;
			} else {
				answered++;
				EXPECT_LE(path_runs(path), 1) << r.body;
				EXPECT_TRUE(r.status != 200 ||
					    path_runs(path) == 1);
			}
		});
	for (auto &t : threads)
		t.join();
	EXPECT_EQ(refused + answered, 24);
	EXPECT_GE(answered, 12);
	EXPECT_EQ(metric("seam_request_ejections_total"), ejected);
}

// Guards against retry storms: targets that refuse every request get at most
// 10% more attempts than requests, plus the minimum retry rate. A refusal that
// arrives after the caller's deadline is an unknown outcome; nothing may run.
TEST_F(Requests, RetryStormIsBounded)
{
	long retries = metric("seam_request_retries_total");
	seam_time from = seam_now(clock);

	for (int i = 0; i < T; i++)
		set_faults(i, 0, true);
	std::vector<std::thread> threads;
	for (int t = 0; t < 10; t++)
		threads.emplace_back([&] {
			for (int i = 0; i < 15; i++) {
				reply r = send(0, "GET", "/r", "", 500);
				EXPECT_TRUE(r.not_run() || r.has("\"unknown\""))
					<< r.body;
			}
		});
	for (auto &t : threads)
		t.join();
	long floor = 3 + (seam_now(clock) - from) / SEAM_SEC + 1;
	EXPECT_LE(metric("seam_request_retries_total") - retries, 15 + floor);
	EXPECT_EQ(runs(), 0);
}

// Guards, end to end, against a keyed request that runs twice: a repeat at the
// other node gets the same answer.
TEST_F(Requests, KeyedRequestRunsOnce)
{
	reply first = send(0, "POST", "/extend", "key-1");
	reply again = send(1, "POST", "/extend", "key-1");
	reply other = send(1, "POST", "/extend", "key-1", 8000, "other body");

	EXPECT_EQ(first.status, 200);
	EXPECT_EQ(again.status, 200);
	EXPECT_EQ(first.body, again.body);
	EXPECT_TRUE(other.has("\"conflict\"")) << other.body;
	EXPECT_EQ(path_runs("/extend"), 1);
	store_faults(0, true, 0);
	reply down = send(0, "POST", "/down", "key-2");
	EXPECT_TRUE(down.has("\"unavailable\"") && down.not_run()) << down.body;
	EXPECT_EQ(path_runs("/down"), 0);
	EXPECT_EQ(send(0, "GET", "/down").status, 200);
}

// Guards against a late answer that goes to another caller, and against its
// unit being released early: the unit stays taken until the work must have
// ended, so that the team stays within its limit, and a repeat gets "unknown".
TEST_F(Requests, LateAnswer)
{
	for (int i = 0; i < T; i++)
		set_faults(i, 700);
	reply r = send(0, "POST", "/late", "key-3", 300);
	EXPECT_TRUE(r.has("\"outcome_unknown\"")) << r.body;
	EXPECT_EQ(admit.held, 1);
	EXPECT_GT(admit.until, seam_now(clock) - 2 * SEAM_SEC);
	for (int i = 0; i < T; i++)
		set_faults(i);
	EXPECT_TRUE(send(1, "POST", "/late", "key-3").has("outcome_unknown"));
	for (int i = 0; i < 10; i++)
		EXPECT_TRUE(send(0, "GET", "/mine").has("/mine"));
	EXPECT_EQ(path_runs("/late"), 1);
	EXPECT_EQ(admit.taken, admit.released + admit.held);
	admit.limit = 0;
	EXPECT_TRUE(send(0, "GET", "/x").has("over_limit"));
}

/* Checks the runs of a key; @maybe: an answer was other than "not run". */
static void check_key(const std::string &key, int runs, bool maybe)
{
	SEAM_INVARIANT(runs <= 1, "request", "Key %s ran %d times.",
		       key.c_str(), runs);
	SEAM_INVARIANT(maybe || !runs, "request",
		       "Key %s was reported as not run, but ran %d times.",
		       key.c_str(), runs);
}

// Checks that both invariants of the randomised test fire.
TEST_F(Requests, InvariantsFire)
{
	long before = seam_invariant_count();

	seam_invariant_set_abort(false);
	ASSERT_EQ(send(0, "POST", "/i").status, 200);
	check_key("/i", path_runs("/i"), true);
	EXPECT_EQ(seam_invariant_count(), before);
	check_key("/i", path_runs("/i"), false);
	EXPECT_EQ(seam_invariant_count(), before + 1);
	ASSERT_EQ(send(0, "POST", "/i").status, 200);
	check_key("/i", path_runs("/i"), true);
	EXPECT_EQ(seam_invariant_count(), before + 2);
	seam_invariant_set_abort(true);
}

// Guards against keyed requests that run twice under faults: callers repeat
// them at both nodes while targets and the store fail at random. A violated
// invariant aborts the test.
TEST_F(Requests, RandomisedKeysRunAtMostOnce)
{
	for (unsigned seed = 1; seed <= 3; seed++) {
		std::vector<std::thread> threads;
		std::atomic<bool> stop{false};
		std::mutex lock;
		std::map<std::string, bool> maybe;
		std::string tag = "/s" + std::to_string(seed) + "-";
		std::thread chaos([&] {
			std::mt19937 rnd(seed * 100);

			while (!stop) {
				set_faults((int)(rnd() % T), (int)(rnd() % 30),
					   rnd() % 5 == 0, rnd() % 5 == 0);
				store_faults((int)(rnd() % 2), rnd() % 6 == 0,
					     (int)(rnd() % 200));
				std::this_thread::sleep_for(
					std::chrono::milliseconds(30));
			}
		});
		for (int t = 0; t < 8; t++)
			threads.emplace_back([&, t] {
				std::mt19937 rnd(seed * 1000 + t);
				for (int i = 0; i < 40; i++) {
					std::string k =
						tag +
						std::to_string(rnd() % 80);
					reply r = send((int)(rnd() % 2), "POST",
						       k, k, 3000);
					std::lock_guard<std::mutex> g(lock);
					maybe[k] |= !r.not_run();
				}
			});
		for (auto &t : threads)
			t.join();
		stop = true;
		chaos.join();
		for (int i = 0; i < 2; i++)
			store_faults(i, false, 0);
		int ran = 0;
		for (auto &m : maybe) {
			int n = path_runs(m.first);

			ran += n;
			check_key(m.first, n, m.second);
		}
		EXPECT_GT(ran, 10) << "seed " << seed;
		for (int i = 0; i < T; i++)
			set_faults(i);
	}
}
