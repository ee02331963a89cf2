// Window of starts of an owner whose workers lose calls.
#include "tests/scheduler_fixture.h"

// Workers with room for 256 tasks, which may all wait for their start.
struct LostCalls : Scheduler {
	std::vector<FakeWorker *> workers;

	void SetUp() override
	{
		for (int i = 0; i < 8; i++)
			workers.push_back(w.add_worker("w" + std::to_string(i),
						       "p", 32000));
	}
	// Smallest windows, and least number of waiting tasks, within @ms.
	struct Least {
		double all = 1e9;
		double lane = 1e9;
		int64_t waiting = INT64_MAX;
	};
	Least watch(Owner &o, int ms)
	{
		seam_time until = seam_now(w.clock) + ms * SEAM_MSEC;
		Least least;

		while (seam_now(w.clock) < until) {
			pthread_mutex_lock(&o.sched->lock);
			least.all = std::min(least.all, o.sched->window.size);
			for (int i = 0; i < o.sched->lanes; i++)
				least.lane =
					std::min(least.lane,
						 o.sched->lane[i].window.size);
			least.waiting =
				std::min(least.waiting, o.sched->waiting);
			pthread_mutex_unlock(&o.sched->lock);
			usleep(10000);
		}
		return least;
	}
	// Waits until all workers may be used.
	bool all_usable(Owner &o)
	{
		bool all = true;

		for (auto *x : workers)
			all = all &&
			      worker_becomes(
				      o, x->id.c_str(), [&](seam_worker *y) {
					      return scheduler_worker_usable(
						      y, seam_now(w.clock));
				      });
		return all;
	}
};

// Guards against a window that lost answers make small while tasks wait.
TEST_F(LostCalls, HalfOfTheCallsLostLeaveTheWindowOpen)
{
	Owner o(&w, "n1");

	o.start_renewals();
	ASSERT_TRUE(all_usable(o));
	for (auto *x : workers) {
		x->lost_starts_time_out = true;
		x->late_percent = 50;
	}
	w.job(ID, 6000, "300");
	ASSERT_TRUE(eventually([&] {
		pthread_mutex_lock(&o.sched->lock);
		bool waits = o.sched->waiting > 1000;
		pthread_mutex_unlock(&o.sched->lock);
		return waits;
	}));
	Least least = watch(o, 4000);
	EXPECT_GT(least.waiting, 1000);
	EXPECT_GE(least.all, 200);
	EXPECT_GE(least.lane, 50);
}

// Guards against leases that run out though the worker answers other polls.
TEST_F(Scheduler, RunOutlivesLostAnswersToPolls)
{
	FakeWorker *x = w.add_worker("a");
	Owner o(&w, "n1");

	o.start_renewals();
	w.job(ID, 1, "8000");
	ASSERT_TRUE(eventually([&] { return w.running() == 1; }));
	x->lost_holds_time_out = true;
	x->answers_one_in = 4;
	EXPECT_TRUE(becomes("completed", 12000));
	EXPECT_EQ(w.started(task(0, 0)), 1);
}

// Guards against unanswered starts that hold all places of a node.
TEST_F(Scheduler, UnansweredStartsLeavePlacesToOtherWorkers)
{
	std::vector<FakeWorker *> workers;

	for (const char *id : {"a0", "a1", "a2", "a3", "b0", "b1", "b2", "b3"})
		workers.push_back(w.add_worker(id, "p", 64000));
	Owner o(&w, "n1");
	o.start_renewals();
	for (auto *x : workers)
		ASSERT_TRUE(
			worker_becomes(o, x->id.c_str(), [&](seam_worker *y) {
				return scheduler_worker_usable(
					y, seam_now(w.clock));
			}));
	for (auto *x : workers)
		if (x->id[0] == 'a') {
			x->lost_starts_time_out = true;
			x->late_starts = 1000000;
		}
	w.job(ID, 10000, "100");
	EXPECT_TRUE(eventually(
		[&] {
			std::lock_guard<std::mutex> l(w.lock);
			return w.starts.size() >= 1000;
		},
		5000));
}
