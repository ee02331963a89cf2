// Soak of submissions and cancels of the same jobs at two nodes, while the
// store performs commits late or without an answer. Requests come again, and
// cancels overtake them.
#include <gtest/gtest.h>

#include <random>

#include "platform/callers.h"
#include "process/http.h"
#include "tests/addr.h"
#include "tests/http.h"
#include "tests/soak.h"
#include "tests/world.h"

static const int CALLERS = 12;
static const int LATE_MAX_MS = 1500;
static const char *const BODY = "{\"spec\":\"t\",\"steps\":[{\"count\":1}]}";

// What a caller was told of its job.
struct Told {
	std::string id;
	bool accepted = false;
	bool only_refused = false; // each of its submissions, and not cancelled
	bool cancelled = false; // acknowledged
	bool cancel_sent = false;
};

// One of the nodes, which share the store.
struct SubmitNode {
	seam_submit submit = {};
	seam_http *h;
	int port;

	SubmitNode(World *w, int listen) : port(listen)
	{
		seam_err e = SEAM_ERR_INIT;

		submit.front = &seam_platform_front;
		submit.clock = w->clock;
		submit.store = &w->store.base;
		submit.catalog = &w->ops.catalog;
		h = seam_http_new(w->clock);
		seam_http_route(h, "*", "/", seam_submit_serve, &submit);
		EXPECT_EQ(seam_http_start(h, test_addr(port).c_str(), 32, &e),
			  0);
	}
	~SubmitNode()
	{
		seam_http_free(h);
	}
	long call(const char *method, const std::string &id)
	{
		return http(method, test_url(port) + "/q/" + id,
			    {"Host: host", "Authorization: Token key",
			     "Monsoonseam-Deadline-Ms: 700"},
			    strcmp(method, "POST") ? "" : BODY)
			.status;
	}
};

struct SubmitSoak : ::testing::Test {
	World w;
	SubmitNode a{&w, 28020};
	SubmitNode b{&w, 28021};

	static bool is_refusal(long status)
	{
		return status == 429 || status == 503;
	}
	// One job: up to three submissions, and a cancel in two of three.
	Told run_job(std::mt19937 &random)
	{
		SubmitNode *node[] = {&a, &b};
		Told t;
		char id[SEAM_JOB_ID_SIZE];
		int submissions = 1 + (int)(random() % 3);
		int cancel_ms = (int)(random() % 400);
		unsigned first = random() % 2;
		std::vector<long> got((size_t)submissions);
		std::vector<std::thread> calls;
		long status = 0;

		snprintf(id, sizeof(id), "%08x%08x", (unsigned)random(),
			 (unsigned)random());
		t.id = id;
		t.cancel_sent = random() % 3 != 0;
		for (int i = 0; i < submissions; i++) {
			int at_ms = (int)(random() % (i ? 800 : 300));

			calls.emplace_back([&, i, at_ms] {
				usleep((useconds_t)at_ms * 1000);
				got[(size_t)i] =
					node[(first + (unsigned)i) % 2]->call(
						"POST", t.id);
			});
		}
		if (t.cancel_sent) {
			usleep((useconds_t)cancel_ms * 1000);
			for (int i = 0; i < 20 && !t.cancelled; i++) {
				status = node[(first + 1) % 2]->call("DELETE",
								     t.id);
				t.cancelled = status == 200 || status == 410;
			}
		}
		for (auto &c : calls)
			c.join();
		t.only_refused = !t.cancel_sent;
		for (long s : got) {
			t.accepted = t.accepted || s == 200;
			t.only_refused = t.only_refused && is_refusal(s);
		}
		return t;
	}
	std::vector<Told> run_jobs(unsigned seed, int ms)
	{
		auto end = std::chrono::steady_clock::now() +
			   std::chrono::milliseconds(ms);
		std::vector<std::thread> callers;
		std::vector<Told> all;
		std::mutex lock;

		for (unsigned i = 0; i < CALLERS; i++)
			callers.emplace_back([&, i] {
				std::mt19937 random(seed * 1000 + i);

				while (std::chrono::steady_clock::now() < end) {
					Told t = run_job(random);
					std::lock_guard<std::mutex> l(lock);
					all.push_back(t);
				}
			});
		for (auto &c : callers)
			c.join();
		return all;
	}
};

// Guards against jobs that are not as submissions and cancels were answered.
TEST_F(SubmitSoak, JobsAreAsTheirCallersWereTold)
{
	unsigned first = (unsigned)setting("SEAM_SEED", 1);
	unsigned seeds = (unsigned)setting("SEAM_SEEDS", 2);
	int ms = (int)setting("SEAM_SOAK_MS", 4000);

	for (unsigned seed = first; seed < first + seeds; seed++) {
		std::mt19937 random(seed);
		std::map<std::string, int> n;

		SCOPED_TRACE(seed);
		w.store.set_lateness([&](const seam_commit *) -> seam_time {
			return random() % 100 < 30 ?
				       (seam_time)(1 + random() % LATE_MAX_MS) *
					       SEAM_MSEC :
				       0;
		});
		std::vector<Told> all = run_jobs(seed, ms);
		w.store.set_lateness(nullptr);
		w.store.perform_late();
		for (auto &t : all) {
			std::string state = w.state(t.id);

			n["jobs"]++;
			n["accepted"] += t.accepted;
			n["cancels"] += t.cancelled;
			n["stored"] += state != "";
			if (t.cancelled) {
				EXPECT_NE(state, "queued") << t.id;
			} else if (t.accepted && !t.cancel_sent) {
				EXPECT_EQ(state, "queued") << t.id;
			} else if (t.only_refused) {
				EXPECT_EQ(state, "") << t.id;
			}
		}
		fprintf(stderr, "soak: seed %u", seed);
		for (auto &x : n)
			fprintf(stderr, "; %s %d", x.first.c_str(), x.second);
		fprintf(stderr, "\n");
	}
}
