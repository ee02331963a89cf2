#ifndef SCHEDULER_FIXTURE_H
#define SCHEDULER_FIXTURE_H

// Helpers with one job and its tasks, for tests of the scheduler.
#include <gtest/gtest.h>

#include "process/scheduler_impl.h"
#include "tests/owner.h"

static const char *const ID = "0123456789abcdef";

// Times that a node sends a start that gets no answer.
static const int START_ATTEMPTS = 7;

static inline std::string task(int step, int index, const char *id = ID)
{
	return std::string(id) + ".0." + std::to_string(step) + "." +
	       std::to_string(index);
}

struct Scheduler : ::testing::Test {
	World w;

	bool becomes(const char *state, int ms = 8000, const char *id = ID)
	{
		return eventually([&] { return w.state(id) == state; }, ms);
	}
	// Expects each task to have been started @n times.
	void expect_starts(int steps, int tasks, int n)
	{
		for (int s = 0; s < steps; s++)
			for (int t = 0; t < tasks; t++)
				EXPECT_EQ(w.started(task(s, t)), n)
					<< task(s, t);
	}
	// Calls @fn with the owner's entry of a worker.
	void with_worker(Owner &o, const char *id,
			 std::function<void(seam_worker *)> fn)
	{
		pthread_mutex_lock(&o.sched->lock);
		fn(scheduler_find_worker(o.sched, id));
		pthread_mutex_unlock(&o.sched->lock);
	}
	bool worker_becomes(Owner &o, const char *id,
			    std::function<bool(seam_worker *)> fn)
	{
		return eventually([&] {
			bool is = false;

			with_worker(o, id,
				    [&](seam_worker *x) { is = x && fn(x); });
			return is;
		});
	}
	FakeWorker *add_usable(Owner &o, const char *id)
	{
		FakeWorker *x = w.add_worker(id);

		EXPECT_TRUE(worker_becomes(o, id, [&](seam_worker *y) {
			return scheduler_worker_usable(y, seam_now(w.clock));
		}));
		return x;
	}
	// Waits until the owner has seen the latest process of a worker.
	bool restart_is_seen(Owner &o, FakeWorker *x)
	{
		return worker_becomes(o, x->id.c_str(), [&](seam_worker *y) {
			return y->info.process_start_ms == x->born &&
			       y->contacted;
		});
	}
};

#endif
