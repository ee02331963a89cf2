// Reservations for late tasks that end, without a platform.
#include <gtest/gtest.h>

#include <algorithm>

#include "base/log.h"
#include "fake/scheduler.h"

static const int64_t ALL = SEAM_FAKE_WORKER_CPU;

struct Reservation : ::testing::Test {
	seam_fake_scheduler f;
	seam_fake_clock clock;

	// Makes a pool of @workers.
	void begin(int workers)
	{
		seam_log_set_level(SEAM_ERROR);
		seam_fake_scheduler_init(&f, workers * SEAM_FAKE_POOLS);
		seam_fake_clock_init(&clock, seam_now(f.sched->clock));
		f.sched->clock = &clock.clock;
	}
	void TearDown() override
	{
		seam_fake_scheduler_clear(&f);
	}
	void pass(int64_t ms = 10)
	{
		seam_fake_scheduler_ack_orders(&f);
		seam_fake_clock_set(&clock, clock.time + ms * SEAM_MSEC);
		scheduler_pass(f.sched);
	}
	// Adds a job to the first pool; it is late unless it has an objective.
	seam_job *job(int64_t cpu, int64_t ms, int tasks = 1,
		      int64_t objective_ms = 0)
	{
		char id[SEAM_JOB_ID_SIZE];

		f.jobs += SEAM_FAKE_POOLS - 1 - f.jobs % SEAM_FAKE_POOLS;
		seam_fake_scheduler_add_job(&f, tasks, cpu, ms, -1);
		snprintf(id, sizeof(id), "%016llx", (unsigned long long)f.jobs);
		seam_job *j = scheduler_find_job(f.sched, id);

		if (objective_ms)
			j->due_at = j->accepted_at + objective_ms * SEAM_MSEC;
		scheduler_job_mark_dirty(f.sched, j);
		return j;
	}
	seam_job *lasting(int64_t cpu, int tasks = 1)
	{
		seam_job *j = job(cpu, 1000, tasks);

		j->row.spec.step[0].lasting = true;
		return j;
	}
	// @i: number of the worker in the first pool
	seam_worker *worker(int i)
	{
		return scheduler_find_worker(
			f.sched,
			("w" + std::to_string(i * SEAM_FAKE_POOLS)).c_str());
	}
	int runs_on(int i)
	{
		return (int)worker(i)->task_refs->len;
	}
	// Ends the run on a worker that was started first.
	void end_run(int i)
	{
		seam_worker *w = worker(i);
		auto *ref = (seam_task_ref *)(void *)w->task_refs->data;

		ASSERT_GT(w->task_refs->len, 0u);
		std::iter_swap(ref,
			       std::min_element(ref, ref + w->task_refs->len,
						[&](auto &x, auto &y) {
							return sent_at(x) <
							       sent_at(y);
						}));
		seam_fake_scheduler_end_run(&f, w);
	}
	seam_time sent_at(const seam_task_ref &r)
	{
		return scheduler_job(f.sched, r.job)
			->task[r.step][r.task]
			.run[0]
			.sent_at;
	}
	// Returns the number of the worker that is reserved, or -1.
	int reserved()
	{
		auto *room = (seam_pool_room *)g_hash_table_lookup(
			f.sched->pool_rooms, "pool-0");
		seam_worker *w =
			room ? scheduler_worker(f.sched,
						room->reservation.worker) :
			       nullptr;

		return w ? atoi(w->info.id + 1) / SEAM_FAKE_POOLS : -1;
	}
	// Two workers with four tasks each; then a large late job, and small
	// ones that go on starting. Returns the large job.
	seam_job *large_beside_small(int64_t ms = 1000)
	{
		begin(2);
		job(ALL / 4, ms, 8);
		pass();
		EXPECT_EQ(runs_on(0) + runs_on(1), 8);
		seam_job *j = job(ALL * 3 / 4, 1000);

		pass();
		EXPECT_EQ(reserved(), -1) << "no smaller one has overtaken it";
		seam_fake_clock_set(&clock, clock.time + SEAM_SEC);
		job(ALL / 4, ms, 1, 60000);
		end_run(1);
		pass();
		EXPECT_GE(reserved(), 0);
		return j;
	}
};

// Guards against a large task that waits while small ones go on starting.
TEST_F(Reservation, LateLargeTaskGetsOneWorker)
{
	seam_job *j = large_beside_small();
	int kept = reserved();

	job(ALL * 3 / 4, 1000);
	job(ALL / 4, 1000, 8, 60000);
	/* One small task may start beside it. */
	for (int i = 0; i < 4 && j->idle[0]; i++) {
		end_run(kept);
		end_run(1 - kept);
		pass();
		EXPECT_EQ(runs_on(1 - kept), 4) << "the other worker goes on";
	}
	EXPECT_EQ(j->idle[0], 0);
	EXPECT_EQ(runs_on(kept), 2);
	EXPECT_GE(reserved(), 0) << "now for the second large job";
}

// Guards against a reservation for a job that is late by its urgency alone.
TEST_F(Reservation, LateTaskOfTheUsualSizeGetsNone)
{
	begin(2);
	job(ALL / 4, 1000, 8);
	pass();
	job(ALL / 4, 1000);
	job(ALL / 4, 1000, 20, 60000);
	for (int i = 0; i < 8; i++) {
		end_run(i % 2);
		pass(500);
		EXPECT_EQ(reserved(), -1);
		EXPECT_EQ(runs_on(0) + runs_on(1), 8);
	}
}

// Guards against a worker that is idle for a task which is still in time.
TEST_F(Reservation, TaskInTimeGetsNone)
{
	begin(2);
	job(ALL / 4, 1000, 8);
	pass();
	seam_job *j = job(ALL * 3 / 4, 1000, 1, 6000);

	job(ALL / 4, 1000, 20, 60000);
	for (int i = 0; i < 4; i++) {
		end_run(i % 2);
		pass(900);
		EXPECT_EQ(reserved(), -1);
	}
	EXPECT_EQ(j->idle[0], 1);
	end_run(0);
	pass(1500);
	EXPECT_GE(reserved(), 0);
}

// Guards against a reservation for a task that no worker can ever hold.
TEST_F(Reservation, TaskThatNoWorkerCanHoldKeepsNone)
{
	begin(2);
	lasting(ALL / 2, 2)->row.spec.step[0].per_worker = 1;
	pass();
	ASSERT_EQ(runs_on(0) + runs_on(1), 2);
	job(ALL / 4, 1000, 4);
	pass();
	job(ALL * 3 / 4, 1000); // fits beside no lasting task
	job(2 * ALL, 1000);
	seam_fake_clock_set(&clock, clock.time + 5 * SEAM_SEC);
	job(ALL / 4, 1000, 1, 60000);
	end_run(0);
	pass();
	EXPECT_EQ(reserved(), -1);
	seam_job *j = job(ALL * 3 / 8, 1000);

	seam_fake_clock_set(&clock, clock.time + 5 * SEAM_SEC);
	job(ALL / 4, 1000, 1, 60000);
	end_run(0);
	pass();
	EXPECT_GE(reserved(), 0);
	EXPECT_TRUE(seam_handle_eq(((seam_pool_room *)g_hash_table_lookup(
					    f.sched->pool_rooms, "pool-0"))
					   ->reservation.job,
				   j->self));
}

// Guards against a reserved worker that other tasks leave idle, or fill.
TEST_F(Reservation, TasksThatEndBeforeOrFitBesideGoOn)
{
	seam_job *j = large_beside_small(10000);
	int kept = reserved();

	end_run(kept); // a quarter is free, the next one in some seconds
	end_run(kept);
	seam_job *slow = job(ALL / 2, 60000, 1, 90000);
	seam_job *quick = job(ALL / 4, 1000, 1, 90000);
	seam_job *beside = job(ALL / 4, 60000, 1, 90000);
	seam_job *second = job(ALL / 4, 60000, 1, 90000);

	pass();
	EXPECT_EQ(slow->idle[0], 1);
	EXPECT_EQ(quick->idle[0], 0);
	EXPECT_EQ(beside->idle[0] + second->idle[0], 1);
	EXPECT_EQ(j->idle[0], 1);
}

// Guards against a worker that is kept for a job that no longer waits.
TEST_F(Reservation, EndsWithItsJob)
{
	seam_job *j = large_beside_small();
	seam_job *small = job(ALL / 4, 1000, 1, 60000);

	scheduler_job_end(f.sched, j, SEAM_JOB_FAILED);
	end_run(reserved());
	pass();
	EXPECT_EQ(reserved(), -1);
	EXPECT_EQ(small->idle[0], 0);
}

// Guards against a reservation of a worker that is no longer in service.
TEST_F(Reservation, EndsWithItsWorker)
{
	large_beside_small();
	int kept = reserved();

	worker(kept)->info.draining = true;
	pass();
	EXPECT_EQ(reserved(), 1 - kept);
}

// Guards against a reservation for as long as runs exceed their estimates.
TEST_F(Reservation, EndsIfTheWorkerGetsNoRoomInTime)
{
	large_beside_small();
	int kept = reserved();
	int64_t ms = 0;

	for (; reserved() == kept && ms < 10000; ms += 100) {
		/* Runs of the other worker keep to their estimates. */
		end_run(1 - kept);
		job(ALL / 4, 1000, 1, 60000);
		pass(100);
	}
	/* Its runs exceed 1 s by more than the others are to take. */
	EXPECT_LT(ms, 5000);
}

// Guards against a reservation for a task that pauses after a failed run.
TEST_F(Reservation, EndsWhileTheTaskMayNotStart)
{
	seam_job *j = large_beside_small();

	j->task[0][0].not_before = clock.time + 60 * SEAM_SEC;
	pass();
	EXPECT_EQ(reserved(), -1);
}

// Guards against a lasting task that waits for a worker of one that ends.
TEST_F(Reservation, LastingTasksComeFirst)
{
	seam_job *j = large_beside_small();
	int kept = reserved();

	end_run(kept);
	end_run(kept);
	end_run(kept);
	seam_job *l = lasting(ALL * 3 / 4);

	pass();
	EXPECT_EQ(l->idle[0], 0);
	EXPECT_EQ(j->idle[0], 1);
}

// Guards against room beside a started task that waits for the next pass.
TEST_F(Reservation, RoomBesideAStartedTaskIsUsedInTheSamePass)
{
	begin(2);
	job(ALL / 8, 1000, 16);
	pass();
	seam_job *first = job(ALL / 2, 1000);

	seam_fake_clock_set(&clock, clock.time + SEAM_SEC);
	job(ALL / 8, 1000, 1, 60000);
	end_run(1);
	pass();
	int kept = reserved();

	ASSERT_GE(kept, 0);
	while (runs_on(kept) > 0)
		end_run(kept);
	seam_job *second = job(ALL / 2, 1000);

	pass();
	EXPECT_EQ(first->idle[0], 0);
	EXPECT_EQ(second->idle[0], 0);
}

// Guards against a reservation of a worker that gets no starts.
TEST_F(Reservation, WorkerThatGetsNoStartsIsNotKept)
{
	large_beside_small();
	int kept = reserved();

	while (runs_on(kept) > 0)
		end_run(kept);
	worker(kept)->no_room_until = SEAM_NEVER;
	job(ALL / 4, 1000, 8, 60000);
	end_run(1 - kept);
	pass();
	EXPECT_EQ(reserved(), 1 - kept);
	worker(kept)->no_room_until = 0;
	worker(1 - kept)->lane = -1;
	pass();
	EXPECT_NE(reserved(), 1 - kept);
}

// Guards against a lasting task that reserves a worker which refuses it.
TEST_F(Reservation, LastingTaskReservesAWorkerThatGetsStarts)
{
	begin(2);
	worker(0)->no_room_until = SEAM_NEVER;
	job(ALL / 4, 1000, 4);
	pass();
	ASSERT_EQ(runs_on(1), 4);
	seam_job *l = lasting(ALL / 2);

	job(ALL / 4, 1000, 20, 60000);
	for (int i = 0; i < 3; i++) {
		pass();
		end_run(1);
	}
	EXPECT_EQ(l->idle[0], 0);
}

// Guards against a lasting task that waits for a long run of its worker.
TEST_F(Reservation, LastingTaskReservesTheWorkerWithRoomTheSoonest)
{
	begin(2);
	job(ALL * 5 / 8, 60000);
	pass();
	int slow = runs_on(0) ? 0 : 1;

	job(ALL / 4, 300, 5);
	pass();
	ASSERT_EQ(runs_on(1 - slow), 4);
	seam_job *l = lasting(ALL / 2);

	for (int i = 0; i < 3; i++) {
		job(ALL / 4, 300, 1, 60000);
		pass();
		end_run(1 - slow);
	}
	EXPECT_EQ(l->idle[0], 0);
}

// Guards against a lasting task that waits for runs beyond their estimates.
TEST_F(Reservation, LastingTaskLeavesAWorkerThatGetsNoRoomInTime)
{
	begin(2);
	job(ALL * 5 / 8, 100);
	pass();
	int slow = runs_on(0) ? 0 : 1;

	job(ALL / 4, 300, 5);
	pass();
	ASSERT_EQ(runs_on(1 - slow), 4);
	seam_job *l = lasting(ALL / 2);

	for (int i = 0; i < 50 && l->idle[0]; i++) {
		job(ALL / 4, 300, 1, 60000);
		pass(100);
		end_run(1 - slow);
	}
	EXPECT_EQ(l->idle[0], 0);
}

// Guards against a second run of an inherited task that may run elsewhere.
TEST_F(Reservation, InheritedJobOfAnUnsettledPoolIsNotStarted)
{
	seam_job *j = large_beside_small();
	int kept = reserved();

	ASSERT_GE(kept, 0);
	f.sched->prior_leases_until = clock.time + 5 * SEAM_SEC;
	f.sched->vms_read = true;
	j->inherited = true;
	pass();
	EXPECT_EQ(j->idle[0], 1);
	/* The other worker of the pool restarts. */
	scheduler_worker_restarted(worker(1 - kept), 5, "row");
	EXPECT_TRUE(scheduler_may_run_prior_tasks(worker(1 - kept)));
	seam_job *plain = job(ALL / 8, 1000);
	plain->inherited = true;
	while (runs_on(kept) > 0)
		end_run(kept);
	pass();
	EXPECT_EQ(plain->idle[0], 1) << "ordinary path";
	EXPECT_EQ(j->idle[0], 1) << "reservation";
}

// Guards against passes that read the runs of each worker for each late job.
TEST_F(Reservation, LateJobsWithoutAWorkerAreNotSearchedForInEachPass)
{
	begin(220);
	lasting(ALL / 2, 220)->row.spec.step[0].per_worker = 1;
	job(ALL / 32, 5000, 440);
	for (int i = 0; i < 10; i++)
		pass();
	for (int i = 0; i < 100; i++)
		job(ALL * 3 / 4, 1000)->row.spec.step[0].per_worker = 1;
	seam_fake_clock_set(&clock, clock.time + 4 * SEAM_SEC);
	job(ALL / 32, 5000, 1, 60000);
	end_run(0);
	pass();
	EXPECT_LT(f.sched->plans_left, SCHEDULER_PLANS_MAX);
	for (int i = 0; i < 8; i++)
		pass(1);
	pass();
	EXPECT_EQ(f.sched->plans_left, SCHEDULER_PLANS_MAX);
}
