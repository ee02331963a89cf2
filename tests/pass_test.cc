// Scheduling passes without a platform, and the counts that they use.
#include <gtest/gtest.h>

#include <map>
#include <random>

#include "base/log.h"
#include "fake/scheduler.h"

struct Pass : ::testing::Test {
	seam_fake_scheduler f;
	seam_fake_clock stopped;

	// Stops the clock, and runs the first pass, which clears the counts of
	// the load line. They are cleared again a second later.
	void begin_counts()
	{
		seam_fake_clock_init(&stopped, seam_now(f.sched->clock));
		f.sched->clock = &stopped.clock;
		scheduler_pass(f.sched);
	}

	void TearDown() override
	{
		seam_fake_scheduler_clear(&f);
	}
	seam_worker *any_worker(std::mt19937 &rng)
	{
		size_t n = rng() % seam_table_count(f.sched->workers);
		seam_handle h = SEAM_HANDLE_NONE;
		seam_worker *w;

		do
			w = (seam_worker *)seam_table_next(f.sched->workers,
							   &h);
		while (n--);
		return w;
	}
	seam_worker *worker(const char *id)
	{
		return scheduler_find_worker(f.sched, id);
	}
	int runs_on(const char *id)
	{
		return (int)worker(id)->task_refs->len;
	}
	// Compares the counts with the rows and runs.
	void check()
	{
		std::map<const seam_resources *, seam_resources> used;
		std::map<uint32_t, seam_resources> reserved;
		seam_handle h = SEAM_HANDLE_NONE;
		int64_t waiting = 0;
		int64_t jobs = 0;
		int starting = 0;

		scheduler_backlog_refresh(f.sched, seam_now(f.sched->clock));
		while (auto *j =
			       (seam_job *)seam_table_next(f.sched->jobs, &h)) {
			int64_t mine = count(j, used, reserved, starting);

			waiting += mine;
			jobs += mine > 0;
		}
		EXPECT_EQ(f.sched->waiting, waiting);
		EXPECT_EQ((int64_t)seam_backlog_count(f.sched->backlog), jobs);
		EXPECT_EQ(f.sched->starting, starting);
		for (auto &u : used) {
			EXPECT_EQ(u.first->cpu, u.second.cpu);
			EXPECT_EQ(u.first->memory, u.second.memory);
		}
		h = SEAM_HANDLE_NONE;
		while (auto *w = (seam_worker *)seam_table_next(
			       f.sched->workers, &h)) {
			auto &r = reserved[w->self.bits];

			EXPECT_EQ(w->used.cpu, r.cpu);
			EXPECT_EQ(w->used.memory, r.memory);
		}
	}
	static void add(seam_resources &sum, const seam_resources &a)
	{
		sum.cpu += a.cpu;
		sum.memory += a.memory;
	}
	int64_t count(seam_job *j,
		      std::map<const seam_resources *, seam_resources> &used,
		      std::map<uint32_t, seam_resources> &reserved,
		      int &starting)
	{
		const seam_step &s = j->row.spec.step[0];
		int64_t idle = 0;

		used[j->used];
		for (int64_t t = 0; t < s.tasks; t++) {
			for (auto &r : j->task[0][t].run) {
				if (r.state == SEAM_RUN_FREE)
					continue;
				add(used[j->used], s.need);
				add(reserved[r.worker.bits], s.need);
				starting += r.start_lane >= 0;
			}
			idle += scheduler_task_is_idle(j, 0, t);
			EXPECT_TRUE(!scheduler_task_is_idle(j, 0, t) ||
				    t >= j->first_idle[0]);
		}
		EXPECT_EQ(j->idle[0], idle);
		return seam_job_finished(j->row.state) ? 0 : idle;
	}
};

// Guards against counts that drift from the runs: tasks would wait while there
// is room, or a workspace would be held below its limit.
TEST_F(Pass, CountsStayRight)
{
	seam_log_set_level(SEAM_ERROR);
	seam_fake_scheduler_init(&f, 40);
	const char *random = getenv("SEAM_SEED");
	std::mt19937 rng(random ? (uint32_t)atoi(random) : 1);

	for (int i = 0; i < 3000; i++) {
		seam_worker *w = any_worker(rng);
		seam_job *j = nullptr;
		seam_handle h = SEAM_HANDLE_NONE;

		if (seam_table_count(f.sched->jobs))
			j = (seam_job *)seam_table_next(f.sched->jobs, &h);
		switch (rng() % 10) {
		case 0:
		case 1:
			seam_fake_scheduler_add_job(
				&f, 1 + (int)(rng() % 20),
				1000 * (1 + (int)(rng() % 20)), rng() % 3000,
				(int)(rng() % 5) - 1);
			break;
		case 2:
			seam_fake_scheduler_ack_orders(&f);
			break;
		case 3:
			scheduler_worker_lost(w, "test");
			break;
		case 4:
			/* Listed runs are dropped, the others are kept. */
			scheduler_for_each_run(
				w,
				[](seam_worker *, const scheduler_run_ref *at,
				   void *) {
					at->run->listed_at =
						at->run->number % 2;
				},
				nullptr);
			scheduler_worker_restarted(w, 1, "test");
			w->contacted = w->answered = true;
			break;
		case 5:
			if (j && !seam_job_finished(j->row.state))
				scheduler_job_end(f.sched, j, SEAM_JOB_FAILED);
			break;
		case 6:
			f.sched->overloaded = !f.sched->overloaded;
			break;
		case 7:
			if (j && !seam_job_finished(j->row.state)) {
				seam_row row = {};

				row.version = 2;
				scheduler_job_finish(f.sched, j, &row,
						     SEAM_JOB_CANCELLED);
			}
			break;
		default:
			seam_fake_scheduler_end_run(&f, w);
		}
		scheduler_pass(f.sched);
		check();
		if (HasFailure())
			FAIL() << "after change " << i;
	}
}

// Guards against a small task that waits behind any number of large ones that
// find no room.
TEST_F(Pass, SmallTaskBehindManyLargeOnesStarts)
{
	seam_log_set_level(SEAM_ERROR);
	seam_fake_scheduler_init(&f, SEAM_FAKE_POOLS);
	for (int i = 0; i < 200 * SEAM_FAKE_POOLS; i++)
		seam_fake_scheduler_add_job(&f, 4, 40000, 1000, -1);
	for (int i = 0; i < SEAM_FAKE_POOLS; i++)
		seam_fake_scheduler_add_job(&f, 1, 10000, 1000, -1);
	scheduler_pass(f.sched);
	for (int i = 0; i < SEAM_FAKE_POOLS; i++)
		EXPECT_EQ(runs_on(("w" + std::to_string(i)).c_str()), 2);
}

// Guards against jobs that can never run and block those behind them.
TEST_F(Pass, TasksTooLargeForAnyWorkerBlockNothing)
{
	seam_log_set_level(SEAM_ERROR);
	seam_fake_scheduler_init(&f, SEAM_FAKE_POOLS);
	for (int i = 0; i < 200 * SEAM_FAKE_POOLS; i++)
		seam_fake_scheduler_add_job(&f, 1, 2 * SEAM_FAKE_WORKER_CPU, 1,
					    -1);
	for (int i = 0; i < SEAM_FAKE_POOLS; i++)
		seam_fake_scheduler_add_job(&f, 1, 10000, 1000, -1);
	scheduler_pass(f.sched);
	for (int i = 0; i < SEAM_FAKE_POOLS; i++)
		EXPECT_EQ(runs_on(("w" + std::to_string(i)).c_str()), 1);
}

// Guards against a pass whose cost for each start grows with the pool.
TEST_F(Pass, BoundOfTasksOnAWorkerNeedsNoLookAtTheWholePool)
{
	seam_log_set_level(SEAM_ERROR);
	seam_fake_scheduler_init(&f, 200 * SEAM_FAKE_POOLS);
	begin_counts();
	seam_fake_scheduler_add_job(&f, 8, 1000, 1000, -1);
	seam_job *j = scheduler_find_job(f.sched, "0000000000000001");
	j->row.spec.step[0].per_worker = 1;
	scheduler_pass(f.sched);
	EXPECT_EQ(j->idle[0], 0);
	/* Each task passes over the workers that have one. */
	EXPECT_GE(f.sched->load.compared, 8);
	EXPECT_LE(f.sched->load.compared, 8 * (8 + 1) / 2);
	for (int i = 0; i < f.workers; i++)
		EXPECT_LE(runs_on(("w" + std::to_string(i)).c_str()), 1);
}

// Guards against a search for each need of the jobs that wait in a full pool.
TEST_F(Pass, NeedLargerThanOneWithoutRoomIsNotSearchedFor)
{
	seam_log_set_level(SEAM_ERROR);
	seam_fake_scheduler_init(&f, SEAM_FAKE_POOLS);
	begin_counts();
	for (int i = 0; i < 201 * SEAM_FAKE_POOLS; i++) {
		bool first = i < SEAM_FAKE_POOLS;
		char id[SEAM_JOB_ID_SIZE];

		/* The first ones have room by their CPU alone. */
		seam_fake_scheduler_add_job(&f, 1, first ? 1 : 33000 + i % 7,
					    1000, -1);
		snprintf(id, sizeof(id), "%016llx", (unsigned long long)f.jobs);
		scheduler_find_job(f.sched, id)->row.spec.step[0].need.memory =
			first ? INT64_MAX : 1000 + i % 11;
	}
	scheduler_pass(f.sched);
	for (int i = 0; i < SEAM_FAKE_POOLS; i++)
		EXPECT_EQ(runs_on(("w" + std::to_string(i)).c_str()), 1);
	/* At most one for each of the seven needs of CPU and of memory. */
	EXPECT_GE(f.sched->load.failed_searches, 2 * SEAM_FAKE_POOLS);
	EXPECT_LE(f.sched->load.failed_searches,
		  SEAM_FAKE_POOLS * (1 + 7 + 11));
}

// Guards against a pass whose cost goes by the VMs that have left a pool.
TEST_F(Pass, WorkersOfVmsThatLeftAreNotLookedAt)
{
	seam_log_set_level(SEAM_ERROR);
	seam_fake_scheduler_init(&f, 200 * SEAM_FAKE_POOLS);
	begin_counts();
	for (int i = SEAM_FAKE_POOLS; i < f.workers; i++)
		scheduler_worker_replaced(
			worker(("w" + std::to_string(i)).c_str()), "moved");
	for (int i = 0; i < 2 * SEAM_FAKE_POOLS; i++)
		seam_fake_scheduler_add_job(&f, 1, 40000, 1000, -1);
	scheduler_pass(f.sched);
	for (int i = 0; i < SEAM_FAKE_POOLS; i++)
		EXPECT_EQ(runs_on(("w" + std::to_string(i)).c_str()), 1);
	EXPECT_EQ(f.sched->load.compared, SEAM_FAKE_POOLS);
}

// Guards against starts on an unusable worker, though it has the most room.
TEST_F(Pass, UnusableWorkersArePassedOver)
{
	seam_log_set_level(SEAM_ERROR);
	seam_fake_scheduler_init(&f, 4 * SEAM_FAKE_POOLS);
	worker("w0")->info.draining = true;
	worker("w5")->backoff_until = SEAM_NEVER;
	worker("w10")->lane = -1;
	for (int i = 0; i < 10 * SEAM_FAKE_POOLS; i++)
		seam_fake_scheduler_add_job(&f, 1, 10000, 1000, -1);
	scheduler_pass(f.sched);
	EXPECT_EQ(runs_on("w0") + runs_on("w5") + runs_on("w10"), 0);
	EXPECT_EQ(runs_on("w15"), 6);
}

// Guards against tasks that spend their attempts on a worker that fails them.
TEST_F(Pass, ShunnedWorkerGetsOnlyLastingTasks)
{
	seam_log_set_level(SEAM_ERROR);
	seam_fake_scheduler_init(&f, 2 * SEAM_FAKE_POOLS);
	worker("w1")->shunned_until = SEAM_NEVER;
	for (int i = 0; i < 4 * SEAM_FAKE_POOLS; i++) {
		char id[SEAM_JOB_ID_SIZE];

		seam_fake_scheduler_add_job(&f, 1, 40000, 1000, -1);
		snprintf(id, sizeof(id), "%016llx", (unsigned long long)f.jobs);
		scheduler_find_job(f.sched, id)->row.spec.step[0].lasting =
			i >= SEAM_FAKE_POOLS && i < 2 * SEAM_FAKE_POOLS;
		scheduler_pass(f.sched);
	}
	/* The first job of the pool is on w6, so the lasting one is on w1. */
	EXPECT_EQ(runs_on("w6"), 1);
	ASSERT_EQ(runs_on("w1"), 1);
	auto &r = g_array_index(worker("w1")->task_refs, seam_task_ref, 0);
	EXPECT_TRUE(scheduler_job(f.sched, r.job)->row.spec.step[0].lasting);
}

// Guards against starts that wait behind workers that do not answer.
TEST_F(Pass, StartsWithoutAnswerMakeRoomForOthers)
{
	seam_log_set_level(SEAM_ERROR);
	seam_fake_scheduler_init(&f, 60);
	for (int i = 0; i < 60; i++)
		seam_fake_scheduler_add_job(&f, 20, 1000, 60000, -1);
	scheduler_pass(f.sched);
	int first = f.sched->starting;
	EXPECT_LE(first, 256);
	scheduler_pass(f.sched);
	EXPECT_EQ(f.sched->starting, first);
	usleep(310000);
	scheduler_pass(f.sched);
	EXPECT_EQ(f.sched->starting, first);
	check();
}

// Whether @w is reserved for a task that ends, of another step than this one.
static bool is_kept_for_another(seam_fake_scheduler *f, const seam_worker *w,
				const seam_job *j, int step)
{
	auto *room = (const seam_pool_room *)g_hash_table_lookup(
		f->sched->pool_rooms, w->info.pool);

	return room && seam_handle_eq(room->reservation.worker, w->self) &&
	       (!seam_handle_eq(room->reservation.job, j->self) ||
		room->reservation.step != step);
}

// Whether a start of the task may be sent to @w, by its row and its runs alone.
static bool has_place(seam_fake_scheduler *f, const seam_worker *w,
		      const seam_job *j, int step)
{
	const seam_step &s = j->row.spec.step[step];
	seam_resources need = scheduler_step_need(&s);
	bool labelled = !*s.label;
	int same = 0;

	if (strcmp(w->info.pool, j->row.spec.pool) || w->lane < 0 ||
	    !scheduler_worker_usable(w, seam_now(f->sched->clock)) ||
	    (!s.lasting && seam_now(f->sched->clock) < w->shunned_until) ||
	    /* It is kept for a lasting task that waits for room. */
	    (!s.lasting && seam_now(f->sched->clock) < w->reserved_until) ||
	    (!s.lasting && is_kept_for_another(f, w, j, step)) ||
	    f->sched->lane[w->lane].starting >=
		    f->sched->lane[w->lane].window.size)
		return false;
	for (int i = 0; i < w->info.labels; i++)
		labelled |= !strcmp(w->info.label[i], s.label);
	for (guint i = 0; i < w->task_refs->len; i++) {
		auto &r = g_array_index(w->task_refs, seam_task_ref, i);

		same += seam_handle_eq(r.job, j->self) && r.step == step;
	}
	return labelled && (!s.per_worker || same < s.per_worker) &&
	       need.cpu <= w->info.capacity.cpu - w->used.cpu &&
	       need.memory <= w->info.capacity.memory - w->used.memory &&
	       need.gpu <= w->info.capacity.gpu - w->used.gpu;
}

static bool has_startable_task(seam_fake_scheduler *f, seam_job *j)
{
	for (int64_t t = 0; t < j->row.spec.step[0].tasks; t++)
		if (scheduler_task_is_idle(j, 0, t) &&
		    !scheduler_late_start_possible(f->sched, j, 0,
						   &j->task[0][t]) &&
		    !scheduler_waits_for_late_worker(f->sched, j, 0,
						     &j->task[0][t]))
			return true;
	return false;
}

// Returns the number of waiting jobs with a task that some worker has room for.
static int jobs_passed_over(seam_fake_scheduler *f)
{
	seam_handle h = SEAM_HANDLE_NONE;
	int n = 0;

	while (auto *j = (seam_job *)seam_table_next(f->sched->jobs, &h)) {
		seam_handle at = SEAM_HANDLE_NONE;
		bool found = false;

		if (seam_job_finished(j->row.state) ||
		    !has_startable_task(f, j))
			continue;
		while (auto *w = (seam_worker *)seam_table_next(
			       f->sched->workers, &at))
			found |= has_place(f, w, j, 0);
		n += found;
	}
	return n;
}

// Guards against a pass that ends while a worker has room for a task, because
// tasks with other needs found none.
TEST_F(Pass, NoTaskWithRoomIsPassedOver)
{
	seam_log_set_level(SEAM_ERROR);
	seam_fake_scheduler_init(&f, 12 * SEAM_FAKE_POOLS);
	const char *random = getenv("SEAM_SEED");
	std::mt19937 rng(random ? (uint32_t)atoi(random) : 1);
	/* No wait or reservation ends between a pass and its check. */
	seam_fake_clock clock;

	seam_fake_clock_init(&clock, seam_now(f.sched->clock));
	f.sched->clock = &clock.clock;
	for (int i = 0; i < 1500; i++) {
		seam_worker *w = any_worker(rng);

		seam_fake_clock_set(&clock, clock.time + SEAM_MSEC);

		if (rng() % 3 == 0) {
			char id[SEAM_JOB_ID_SIZE];

			seam_fake_scheduler_add_job(&f, 1 + (int)(rng() % 12),
						    1000 * (int)(rng() % 30),
						    rng() % 3000,
						    (int)(rng() % 7) - 1);
			snprintf(id, sizeof(id), "%016llx",
				 (unsigned long long)f.jobs);
			seam_step &s = scheduler_find_job(f.sched, id)
					       ->row.spec.step[0];
			s.fills = rng() % 5 == 0;
			s.lasting = rng() % 3 == 0;
			s.per_worker = rng() % 4 ? 0 : 1 + (int)(rng() % 2);
			s.target_ms = rng() % 4 ? 0 : 100;
			s.need.memory = 1000 * (int64_t)(rng() % 40);
			if (rng() % 4 == 0)
				snprintf(s.label, SEAM_NAME_SIZE, "rack-%d",
					 (int)(rng() % 5));
		} else if (rng() % 3 == 0) {
			seam_handle h = SEAM_HANDLE_NONE;

			/* A late start of the task may be on @w. */
			while (auto *j = (seam_job *)seam_table_next(
				       f.sched->jobs, &h)) {
				seam_job_task_state &t = j->task[0][0];

				if (rng() % 8)
					continue;
				t.avoid = w->self;
				t.late_worker = w->self;
				t.late_until = seam_now(f.sched->clock) +
					       (rng() % 2) * 3600 * SEAM_SEC;
				t.late_token = rng() % 2;
				w->answered_token = 1;
			}
		} else if (rng() % 4 == 0) {
			seam_fake_scheduler_ack_orders(&f);
		} else if (rng() % 40 == 0) {
			scheduler_worker_lost(w, "test");
		} else if (rng() % 10 == 0) {
			w->backoff_until = w->backoff_until ? 0 : SEAM_NEVER;
		} else if (rng() % 5 == 0) {
			w->shunned_until = w->shunned_until ? 0 : SEAM_NEVER;
		} else {
			seam_fake_scheduler_end_run(&f, w);
		}
		scheduler_pass(f.sched);
		if (f.sched->starting >= 256)
			continue;
		ASSERT_EQ(jobs_passed_over(&f), 0) << "after change " << i;
	}
}
