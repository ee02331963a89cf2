// Late starts that the next process of their worker carries out: the task may
// not have been started again elsewhere, or under another run number.
#include "tests/scheduler_fixture.h"

struct LateStart : Scheduler {
	FakeWorker *a = w.add_worker("a");
	FakeWorker *b = nullptr;
	Owner o{&w, "n1"};

	// Worker a keeps the next @n starts; waits for the first.
	void keep_starts(int n, const char *text)
	{
		o.start_renewals();
		ASSERT_TRUE(restart_is_seen(o, a));
		a->late_starts = n;
		w.job(ID, 1, text);
		ASSERT_TRUE(eventually([&] { return kept() > 0; }));
	}
	int kept()
	{
		std::lock_guard<std::mutex> l(a->lock);

		return (int)a->late.size();
	}
	int64_t latest_kept_run()
	{
		std::lock_guard<std::mutex> l(a->lock);

		return a->late.empty() ? 0 : a->late.back().run;
	}
	// The worker restarts @ms from now and carries out what it kept.
	void restart_after(int ms)
	{
		usleep((useconds_t)ms * 1000);
		a->unresponsive = true; // no poll comes before the late starts
		a->restart();
		w.deliver_late(a);
		a->unresponsive = false;
	}
	void expect_no_second_run()
	{
		usleep(300000);
		EXPECT_EQ(w.twice, 0);
		EXPECT_LE(w.running(), 1u);
	}
};

// Guards against two numbers for one task in the late starts of a worker.
TEST_F(LateStart, NextStartOnTheSameWorkerHasTheSameNumber)
{
	keep_starts(100000, "20000");
	int64_t run = latest_kept_run();

	ASSERT_TRUE(eventually([&] { return kept() > START_ATTEMPTS; }));
	EXPECT_EQ(latest_kept_run(), run);
	restart_after(0);
	expect_no_second_run();
}

// Guards against a number that its worker refuses for good.
TEST_F(LateStart, NumberOfAnEndedRunIsNotUsedAgain)
{
	a->fail_all = true;
	keep_starts(1, "20");
	EXPECT_TRUE(becomes("failed", 20000));
	EXPECT_EQ(w.started(task(0, 0)), 3);
}

// Guards against a start that is refused as its run has lapsed there.
TEST_F(LateStart, NumberOfALapsedRunIsNotUsedAgain)
{
	keep_starts(1, "lasts");
	ASSERT_TRUE(eventually([&] { return a->running() == 1; }));
	a->unresponsive = true;
	ASSERT_TRUE(eventually(
		[&] {
			bool lost = false;

			with_worker(o, "a", [&](seam_worker *x) {
				lost = !x->task_refs->len;
			});
			return lost;
		},
		10000));
	a->late_starts = 1;
	a->unresponsive = false;
	EXPECT_TRUE(eventually([&] { return a->running() == 1; }, 3000));
}

// Guards against a wait for a late start that its worker refuses.
TEST_F(LateStart, TaskGoesBackToItsWorkerAfterALapse)
{
	keep_starts(1, "20000");
	ASSERT_TRUE(eventually([&] { return a->running() == 1; }));
	a->unresponsive = true;
	usleep(4000000); // the lease of the run is over
	a->unresponsive = false;
	w.job("fedcba9876543210", 1, "20000");
	EXPECT_TRUE(eventually([&] { return a->running() == 2; }, 1500));
	EXPECT_EQ(w.started(task(0, 0)), 2);
	restart_after(0);
	usleep(300000);
	EXPECT_EQ(w.twice, 0);
}

// Guards against a full worker that is left while it may run a start late.
TEST_F(LateStart, FullWorkerRestartsAndRunsIt)
{
	keep_starts(START_ATTEMPTS, "20000");
	w.row("a", "p", 500, "d1", false);
	add_usable(o, "b");
	restart_after(3000);
	expect_no_second_run();
}

// Guards against a draining worker that is left in the same way.
TEST_F(LateStart, DrainingWorkerRestartsAndRunsIt)
{
	keep_starts(START_ATTEMPTS, "lasts");
	w.row("a", "p", 8000, "d1", true);
	add_usable(o, "b");
	restart_after(3000);
	expect_no_second_run();
}

// Guards against a worker that is left at once after its second start.
TEST_F(LateStart, WorkerThatAnswersNoStartRestartsAndRunsIt)
{
	keep_starts(100000, "lasts");
	add_usable(o, "b");
	restart_after(4000);
	expect_no_second_run();
}

// Guards against a start that comes after the task has ended elsewhere.
TEST_F(LateStart, FullWorkerRestartsAfterTheEndElsewhere)
{
	keep_starts(START_ATTEMPTS, "100");
	w.row("a", "p", 500, "d1", false);
	add_usable(o, "b");
	restart_after(4000);
	expect_no_second_run();
}

// Guards against a task that moves on while its first start may come late.
TEST_F(LateStart, MovedTaskIsStartedLateOnItsFirstWorker)
{
	keep_starts(1, "lasts");
	ASSERT_TRUE(eventually([&] { return w.running() == 1; }));
	add_usable(o, "b");
	with_worker(o, "a", [&](seam_worker *x) {
		seam_job *j = scheduler_find_job(o.sched, ID);

		x->info.draining = true;
		scheduler_run_stop(o.sched, j, 0, 0, &j->task[0][0].run[0]);
	});
	restart_after(3000);
	expect_no_second_run();
}

// A task that runs on b while the next process of a starts it late.
struct SecondRun : LateStart {
	// A refused poll and its retry, the longest unanswered one and its
	// retry, and a stop.
	static constexpr int RETRY_MS = 50 + 50;
	static constexpr int SEEN_MS = 450 + 50;
	static constexpr int STOP_MS = 150;
	// Time until an unchanged listing is told again, and its way.
	static constexpr int LISTED_MS = 300 + 100;

	void move_to_b(const char *text, int ms = 8000)
	{
		keep_starts(START_ATTEMPTS, text);
		w.row("a", "p", 500, "d1", false);
		b = add_usable(o, "b");
		ASSERT_TRUE(eventually([&] { return b->running() == 1; }, ms));
	}
	// Returns how long the run on a lasts from @since on, milliseconds.
	int second_run_ms(int64_t since)
	{
		EXPECT_TRUE(
			eventually([&] { return a->running() == 0; }, 5000));
		return (int)(FakeWorker::us() - since) / 1000;
	}
	// Restarts a, lists its run in another state with each poll, and
	// returns the most orders to it at a time until the run ends.
	size_t most_orders_until_stopped()
	{
		size_t most = 0;
		int64_t since = FakeWorker::us();

		restart_after(0);
		EXPECT_EQ(a->running(), 1u);
		while (a->running() && FakeWorker::us() < since + 6000000) {
			with_worker(o, "a", [&](seam_worker *x) {
				most = std::max(most,
						scheduler_pending_orders(x));
			});
			usleep(5000);
			std::lock_guard<std::mutex> l(a->lock);

			for (auto &r : a->runs) {
				r.until_us = INT64_MAX;
				r.lasts = !r.lasts;
			}
		}
		printf("stops=%d orders=%zu ms=%d\n", (int)a->stops, most,
		       (int)(FakeWorker::us() - since) / 1000);
		EXPECT_EQ(a->running(), 0u);
		return most;
	}
	void expect_run_on_b_is_kept()
	{
		usleep(300000);
		EXPECT_EQ(a->running(), 0u);
		EXPECT_EQ(b->running(), 1u);
		EXPECT_EQ(b->stops, 0);
		EXPECT_EQ(w.started(task(0, 0)), 2);
	}
};

// Guards against a second run that lasts, or that ends the first.
TEST_F(SecondRun, RunOnTheLateWorkerIsStopped)
{
	move_to_b("lasts");
	int64_t since = FakeWorker::us();

	restart_after(0);
	ASSERT_EQ(a->running(), 1u);
	int ms = second_run_ms(since);

	printf("second run: %d ms\n", ms);
	EXPECT_LE(ms, SEEN_MS + STOP_MS);
	expect_run_on_b_is_kept();
}

// Guards against a second run that lasts beyond the cut that hides it.
TEST_F(SecondRun, RunBehindACutIsStoppedAfterIt)
{
	move_to_b("lasts");
	int64_t since = FakeWorker::us();

	a->unresponsive_ms = 450;
	a->unresponsive = true;
	a->restart();
	w.deliver_late(a);
	ASSERT_EQ(a->running(), 1u);
	usleep(1000000);
	a->unresponsive = false;
	int ms = second_run_ms(since);

	printf("second run behind a cut of 1000 ms: %d ms\n", ms);
	EXPECT_LE(ms, 1000 + SEEN_MS + STOP_MS);
	expect_run_on_b_is_kept();
}

// Guards against a late start that runs on after the end of its task.
TEST_F(SecondRun, RunOfACompletedJobIsStopped)
{
	keep_starts(START_ATTEMPTS, "20000");
	{
		std::lock_guard<std::mutex> l(a->lock);

		for (auto &s : a->late)
			s.text = "lasts";
	}
	w.row("a", "p", 500, "d1", false);
	b = add_usable(o, "b");
	ASSERT_TRUE(eventually([&] { return b->running() == 1; }, 8000));
	{
		std::lock_guard<std::mutex> l(b->lock);

		b->runs[0].until_us = 0;
	}
	ASSERT_TRUE(becomes("completed"));
	int64_t since = FakeWorker::us();

	restart_after(0);
	ASSERT_EQ(a->running(), 1u);
	int ms = second_run_ms(since);

	printf("run after the end: %d ms\n", ms);
	EXPECT_LE(ms, SEEN_MS + STOP_MS);
	usleep(300000);
	EXPECT_EQ(w.state(ID), "completed");
	EXPECT_EQ(w.started(task(0, 0)), 2);
	EXPECT_TRUE(eventually([&] {
		std::lock_guard<std::mutex> l(a->lock);

		return a->ends.empty();
	}));
}

// Guards against a second run that lasts as its stops get no answer.
TEST_F(SecondRun, StopWithoutAnAnswerIsRepeatedSoon)
{
	move_to_b("lasts");
	a->lost_stops_time_out = true;
	a->lose_stops = 4;
	int64_t since = FakeWorker::us();

	restart_after(0);
	ASSERT_EQ(a->running(), 1u);
	int ms = second_run_ms(since);

	printf("second run with four lost stops: %d ms\n", ms);
	EXPECT_LE(ms, RETRY_MS + 4 * STOP_MS + LISTED_MS);
	expect_run_on_b_is_kept();
}

// Guards against stops of a second run that pile up.
TEST_F(SecondRun, StopWithoutAnAnswerIsRepeatedOneAtATime)
{
	move_to_b("lasts");
	a->lost_stops_time_out = true;
	a->lose_stops = 4;
	size_t most = most_orders_until_stopped();

	EXPECT_EQ(most, 1u);
	EXPECT_EQ(a->stops, 5);
	expect_run_on_b_is_kept();
}

// Guards against no wait for a late start where an earlier one had its wait.
TEST_F(SecondRun, LateStartAfterARunElsewhereIsWaitedFor)
{
	move_to_b("lasts");
	FakeWorker *c = add_usable(o, "c");

	c->late_starts = START_ATTEMPTS;
	usleep(500000);
	b->restart();
	w.row("b", "p", 500, "d1", false);
	ASSERT_TRUE(eventually([&] {
		std::lock_guard<std::mutex> l(c->lock);

		return c->late.size() == (size_t)START_ATTEMPTS;
	}));
	w.row("c", "p", 500, "d1", false);
	add_usable(o, "d");
	usleep(2000000);
	c->unresponsive = true;
	c->restart();
	w.deliver_late(c);
	c->unresponsive = false;
	expect_no_second_run();
}

// Guards against two failed runs that count once as their numbers are equal.
TEST_F(LateStart, FailedRunsUnderOneNumberAreAllCounted)
{
	a->fail_all = true;
	o.start_renewals();
	ASSERT_TRUE(restart_is_seen(o, a));
	a->lose_starts = 100000;
	a->start_ms = 300;
	w.job(ID, 1, "30");
	ASSERT_TRUE(eventually([&] { return w.starting > 0; }));
	a->answers_one_in = 1000000;
	ASSERT_TRUE(eventually([&] { return w.started(task(0, 0)) == 1; }));
	a->unresponsive = true;
	a->start_ms = 0;
	a->answers_one_in = 1;
	ASSERT_TRUE(eventually([&] { return !a->running(); }));
	int state = 0;
	with_worker(o, "a", [&](seam_worker *) {
		state = scheduler_find_job(o.sched, ID)
				->task[0][0]
				.run[0]
				.state;
	});
	ASSERT_EQ(state, SEAM_RUN_SENT);
	ASSERT_TRUE(eventually(
		[&] {
			bool lost = false;

			with_worker(o, "a", [&](seam_worker *x) {
				lost = !x->task_refs->len;
			});
			return lost;
		},
		12000));
	a->lose_starts = 0;
	w.row("a", "p", 500, "d1", false);
	usleep(200000);
	a->unresponsive = false;
	ASSERT_TRUE(eventually([&] {
		int n = 0;

		with_worker(o, "a", [&](seam_worker *) {
			n = seam_jobrow_failures(
				&scheduler_find_job(o.sched, ID)->row, 0, 0);
		});
		return n == 1;
	}));
	ASSERT_TRUE(eventually([&] { return a->acked > 0; }));
	a->restart();
	w.row("a", "p", 8000, "d1", false);
	EXPECT_TRUE(becomes("failed", 20000));
	EXPECT_EQ(w.started(task(0, 0)), 3);
}

// A silent worker without a row that may carry out a start of a task; the task
// has no run any more.
struct RowGone : LateStart {
	int64_t number = 0;
	int64_t sent_us = 0;

	void SetUp() override
	{
		keep_starts(100000, "lasts");
		a->unresponsive = true;
		w.store.del("workers/a");
		{
			std::lock_guard<std::mutex> l(a->lock);

			number = a->late.back().run;
			sent_us = a->late.back().sent_us;
		}
		usleep(7000000);
		a->late_starts = 0;
		bool entry = false;

		with_worker(o, "a", [&](seam_worker *x) {
			entry = x && !x->task_refs->len;
		});
		EXPECT_TRUE(entry);
	}
};

// Guards against a new process that is not polled before its row is read.
TEST_F(RowGone, NextProcessIsPolledWhileAStartMayComeLate)
{
	int64_t since = FakeWorker::us();

	a->restart();
	a->unresponsive = false;
	EXPECT_TRUE(restart_is_seen(o, a));
	EXPECT_LT(FakeWorker::us() - since, 1000000);
}

// Guards against a second number on a worker whose row has come back.
TEST_F(RowGone, TaskGoesBackUnderItsNumber)
{
	a->restart();
	w.row("a", "p", 8000, "d1", false);
	a->unresponsive = false;
	ASSERT_TRUE(eventually([&] { return a->running() == 1; }));
	std::lock_guard<std::mutex> l(a->lock);
	EXPECT_EQ(a->runs[0].run, number);
}

// Guards against an entry that stays for good.
TEST_F(RowGone, EntryIsRemovedWhenNoStartCanComeAnyMore)
{
	EXPECT_TRUE(eventually(
		[&] {
			bool entry = true;

			with_worker(o, "a", [&](seam_worker *x) { entry = x; });
			return !entry;
		},
		(int)((sent_us - FakeWorker::us()) / 1000) + 16000));
	EXPECT_GT(FakeWorker::us() - sent_us, 12000000);
}

// Guards against a second run at once as a worker tells another address.
TEST_F(LateStart, RunOfAWorkerWithAnotherAddressIsKept)
{
	o.start_renewals();
	ASSERT_TRUE(restart_is_seen(o, a));
	w.job(ID, 1, "lasts");
	ASSERT_TRUE(eventually([&] { return a->running() == 1; }));
	add_usable(o, "b");
	a->unresponsive = true;
	w.row("a", "p", 8000, "d1", false, "elsewhere");
	usleep(1000000);
	EXPECT_EQ(w.twice, 0);
	a->unresponsive = false;
	ASSERT_TRUE(worker_becomes(o, "a", [](seam_worker *x) {
		return !strcmp(x->info.addr, "elsewhere") && x->answered;
	}));
	expect_no_second_run();
	EXPECT_EQ(a->running(), 1u);
	EXPECT_EQ(w.started(task(0, 0)), 1);
}

// Guards against a second number after a restart at another address.
TEST_F(LateStart, RestartAtAnotherAddressKeepsTheNumber)
{
	keep_starts(START_ATTEMPTS, "lasts");
	int64_t run = latest_kept_run();

	a->restart();
	w.row("a", "p", 8000, "d1", false, "elsewhere");
	ASSERT_TRUE(eventually([&] { return a->running() == 1; }));
	std::lock_guard<std::mutex> l(a->lock);
	EXPECT_EQ(a->runs[0].run, run);
}
