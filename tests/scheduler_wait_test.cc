// How long a lasting task waits for a worker that may carry out a late start.
#include "tests/scheduler_fixture.h"

// The users call a task lost that does not run after 4 s and 3 s of calm, and
// at the end of a day 6 s and 3 s after its last run.
static const int LOST_AFTER_MS = 7000;
static const int LOST_AT_THE_END_MS = 9000;

struct Wait : Scheduler {
	FakeWorker *a = w.add_worker("a");
	FakeWorker *b = nullptr;
	Owner o{&w, "n1"};
	int wait_ms = 0; // of polls of worker a

	// Worker a keeps all starts of a lasting task, b has room for it.
	void SetUp() override
	{
		o.start_renewals();
		ASSERT_TRUE(restart_is_seen(o, a));
		a->late_starts = 100000;
		a->wait_ms = wait_ms;
		usleep((useconds_t)wait_ms * 1000);
		w.job(ID, 1, "lasts");
		ASSERT_TRUE(eventually([&] {
			std::lock_guard<std::mutex> l(a->lock);
			return a->late.size() >= (size_t)START_ATTEMPTS;
		}));
		b = add_usable(o, "b");
	}
	// Expects that the task runs on b in time and only there.
	void expect_run_on_b(int ms = LOST_AFTER_MS)
	{
		EXPECT_TRUE(eventually([&] { return b->running() == 1; }, ms));
		w.deliver_late(a);
		EXPECT_EQ(w.twice, 0);
	}
};

// Guards against a task that waits for a worker that drains.
TEST_F(Wait, LateStartOnADrainingWorkerDoesNotKeepTheTask)
{
	w.row("a", "p", 8000, "d1", true);
	expect_run_on_b();
}

// Guards against a task that goes back to a worker that answers no start.
TEST_F(Wait, WorkerThatAnswersNoStartDoesNotKeepTheTask)
{
	expect_run_on_b();
}

// Guards against the same wait where the stop of the start is late as well.
TEST_F(Wait, LateStopOnADrainingWorkerDoesNotKeepTheTask)
{
	a->lose_stops = 100;
	w.row("a", "p", 8000, "d1", true);
	expect_run_on_b();
}

// Guards against a task that waits for a worker that has no room for it.
TEST_F(Wait, LateStartOnAFullWorkerDoesNotKeepTheTask)
{
	w.row("a", "p", 500, "d1", false);
	expect_run_on_b();
}

// Four starts of a task that ends had no answer of worker a, the only one.
struct UnansweredStarts : Scheduler {
	FakeWorker *a = w.add_worker("a");
	Owner o{&w, "n1"};

	void SetUp() override
	{
		o.start_renewals();
		ASSERT_TRUE(restart_is_seen(o, a));
		a->late_starts = 100000;
		w.job(ID, 1, "20000");
		ASSERT_TRUE(eventually([&] {
			std::lock_guard<std::mutex> l(a->lock);
			return a->late.size() == 4 * (size_t)START_ATTEMPTS;
		}));
		ASSERT_TRUE(worker_becomes(o, "a", [&](seam_worker *x) {
			return !x->task_refs->len;
		}));
	}
};

// Guards against a task that waits for a worker that answers starts again.
TEST_F(UnansweredStarts, DoNotKeepTheTaskOnceItsWorkerAnswersStarts)
{
	a->late_starts = 0;
	w.job("fedcba9876543210", 1, "20000");
	EXPECT_TRUE(eventually([&] { return a->running() == 2; }, 1000));
	w.deliver_late(a);
	EXPECT_EQ(w.twice, 0);
}

// Guards against the same where no other task is started on that worker.
TEST_F(UnansweredStarts, DoNotKeepTheTaskOnceItsWorkerAnswersPolls)
{
	a->late_starts = 0;
	EXPECT_TRUE(eventually([&] { return a->running() == 1; }, 3000));
	w.deliver_late(a);
	EXPECT_EQ(w.twice, 0);
}

// Guards against further starts on a worker that answers polls only.
TEST_F(UnansweredStarts, DoNotKeepTheTaskForAWorkerThatAnswersPollsOnly)
{
	FakeWorker *b = add_usable(o, "b");

	EXPECT_TRUE(eventually([&] { return b->running() == 1; }, 9500));
	std::lock_guard<std::mutex> l(a->lock);
	EXPECT_EQ(a->late.size(), 5 * (size_t)START_ATTEMPTS);
}

// The same with starts that time out, as those of the users' platform.
struct SlowUnansweredStarts : UnansweredStarts {
	SlowUnansweredStarts()
	{
		a->lost_starts_time_out = true;
	}
};

// Guards against a wait that begins again with each start of a task that ends.
TEST_F(SlowUnansweredStarts, DoNotBeginTheWaitAgain)
{
	int64_t first_us;
	{
		std::lock_guard<std::mutex> l(a->lock);

		first_us = a->late.front().sent_us;
	}
	w.row("a", "p", 8000, "d1", true);
	FakeWorker *b = w.add_worker("b");
	int64_t left_ms = LOST_AFTER_MS - (FakeWorker::us() - first_us) / 1000;
	EXPECT_TRUE(
		eventually([&] { return b->running() == 1; }, (int)left_ms));
	EXPECT_GT(FakeWorker::us() - first_us, 5500000);
}

// Guards against a wait on one worker that counts as one on the next.
TEST_F(SlowUnansweredStarts, ChangeOfTheWorkerBeginsTheWaitAgain)
{
	auto late = [](FakeWorker *x) {
		std::lock_guard<std::mutex> l(x->lock);

		return x->late.size();
	};

	w.row("a", "p", 8000, "d1", true);
	FakeWorker *other[2] = {w.add_worker("b"), w.add_worker("c")};
	for (auto *x : other) {
		x->lost_starts_time_out = true;
		x->late_starts = 1000;
	}
	ASSERT_TRUE(eventually(
		[&] { return late(other[0]) + late(other[1]) > 0; }, 12000));
	usleep(3000000);
	EXPECT_TRUE(!late(other[0]) || !late(other[1]));
}

struct IdleWait : Wait {
	IdleWait()
	{
		wait_ms = 1800;
	}
};

// Guards against a worker without runs that is asked after two long polls.
TEST_F(IdleWait, LateStartOnAnIdleWorkerIsAskedForAtOnce)
{
	int64_t began_us = FakeWorker::us();

	w.row("a", "p", 500, "d1", false);
	EXPECT_TRUE(worker_becomes(
		o, "a", [&](seam_worker *x) { return !x->task_refs->len; }));
	EXPECT_LT(FakeWorker::us() - began_us, wait_ms * 1000);
	expect_run_on_b();
}

// Guards against a task that waits for a worker that does not answer.
TEST_F(Wait, LateStartOnASilentWorkerDoesNotKeepTheTask)
{
	a->unresponsive = true;
	expect_run_on_b();
}

// Guards against a start that is not sent to a worker that answers few polls.
TEST_F(Wait, LateStartOnAWorkerThatAnswersFewPollsDoesNotKeepTheTask)
{
	a->late_starts = 0;
	a->wait_ms = 200;
	a->answers_one_in = 10;
	EXPECT_TRUE(
		eventually([&] { return w.running() == 1; }, LOST_AFTER_MS));
	w.deliver_late(a);
	EXPECT_EQ(w.twice, 0);
}

// Guards against a wait that begins again with each answered poll.
TEST_F(Wait, LateStartOnAWorkerThatFallsSilentLaterDoesNotKeepTheTask)
{
	usleep(3500000);
	a->unresponsive = true;
	expect_run_on_b(LOST_AT_THE_END_MS - 3500);
}

// Guards against starts that are queued for such a worker and never sent.
TEST_F(Wait, WorkerThatAnswersFewPollsAndNoStartDoesNotKeepTheTask)
{
	a->answers_one_in = 90;
	expect_run_on_b(LOST_AT_THE_END_MS);
}

// Guards against a task that waits for a worker that is gone.
TEST_F(Wait, LateStartOnAGoneWorkerDoesNotKeepTheTask)
{
	a->unresponsive = true;
	w.store.del("workers/a");
	expect_run_on_b();
}

// Guards against a task that waits for a worker of another pool.
TEST_F(Wait, LateStartOnAWorkerThatMovedDoesNotKeepTheTask)
{
	a->restart();
	w.row("a", "other", 8000, "d1", false);
	expect_run_on_b();
}

// Guards against a task that waits for a worker that restarts and is lost.
TEST_F(Wait, LateStartOnARestartedWorkerThatIsLostDoesNotKeepTheTask)
{
	a->unresponsive = true;
	a->restart();
	a->up_at_us = INT64_MAX; // the new process is lost
	w.row("a", "p", 8000, "d1", false);
	expect_run_on_b();
}

// A task whose worker a has kept a copy of its start and runs it; b has room.
struct WaitAfterARun : Scheduler {
	static const int RUN_MS = 4000;
	// A job of which nothing runs is lost after this time at the end.
	static const int LOST_WITHOUT_A_RUN_MS = 3000;
	FakeWorker *a = w.add_worker("a", "p", 1000);
	FakeWorker *b = nullptr;
	Owner o{&w, "n1"};

	void begin(const char *text, int tasks = 1)
	{
		o.start_renewals();
		if (tasks > 1) {
			w.add_worker("c", "p", 1000);
			ASSERT_TRUE(worker_becomes(o, "c", [](seam_worker *x) {
				return x->contacted;
			}));
		}
		ASSERT_TRUE(restart_is_seen(o, a));
		a->late_starts = 1;
		w.job(ID, tasks, text);
		ASSERT_TRUE(eventually(
			[&] { return w.running() == (size_t)tasks; }));
		b = add_usable(o, "b");
	}
	// Expects that the task runs in time on a worker with room.
	void expect_run(int ms)
	{
		EXPECT_TRUE(eventually(
			[&] { return w.running() == 1 && !a->running(); }, ms));
		EXPECT_EQ(w.twice, 0);
	}
};

// Guards against a lasting task that waits too long for a silent worker.
TEST_F(WaitAfterARun, SilenceDoesNotKeepALastingTask)
{
	begin("lasts");
	usleep(RUN_MS * 1000);
	a->unresponsive = true;
	expect_run(LOST_AFTER_MS);
}

// Guards against one that waits too long for a worker that has restarted.
TEST_F(WaitAfterARun, RestartDoesNotKeepALastingTask)
{
	begin("lasts");
	usleep(RUN_MS * 1000);
	w.row("a", "p", 1000, "d1", true);
	a->restart();
	expect_run(LOST_AFTER_MS);
}

// Guards against the longest lease for a worker that has drained and left.
TEST_F(WaitAfterARun, WorkerThatHasLeftDoesNotKeepATaskThatEnds)
{
	o.start_renewals();
	ASSERT_TRUE(restart_is_seen(o, a));
	a->late_starts = START_ATTEMPTS;
	w.job(ID, 1, "20000");
	ASSERT_TRUE(eventually([&] {
		std::lock_guard<std::mutex> l(a->lock);

		return a->late.size() == (size_t)START_ATTEMPTS;
	}));
	b = add_usable(o, "b");
	w.row("a", "p", 1000, "d1", true);
	usleep(3000000);
	a->unresponsive = true;
	w.store.del("workers/a");
	expect_run(LOST_AFTER_MS - 3000);
}

// Guards against a wait that goes on when there is no more traffic.
TEST_F(WaitAfterARun, EndOfTheTrafficEndsTheWaitOfATaskThatEnds)
{
	begin("40000");
	a->unresponsive = true;
	for (int i = 0; i < 20; i++) {
		char id[17];

		snprintf(id, sizeof(id), "00000000000000%02x", i);
		w.job(id, 1, "1", 1, nullptr, "other");
		usleep(500000);
		EXPECT_EQ(b->running(), 0u);
	}
	expect_run(LOST_WITHOUT_A_RUN_MS);
}

// Guards against a wait that goes on when nothing else of the job runs.
TEST_F(WaitAfterARun, EndOfTheOtherTaskEndsTheWaitOfATaskThatEnds)
{
	begin("9000", 2);
	std::string other = task(0, !w.workers["c"]->running(task(0, 0)));
	a->unresponsive = true;
	usleep(7500000);
	EXPECT_EQ(b->running(), 0u);
	ASSERT_TRUE(eventually([&] { return !w.running(other); }));
	expect_run(LOST_WITHOUT_A_RUN_MS);
}

// Guards against the longest lease for a run whose answer shows its lease.
TEST_F(Scheduler, AnsweredRunThatWasNeverListedDoesNotKeepTheTask)
{
	FakeWorker *a = w.add_worker("a");
	Owner o(&w, "n1");

	o.start_renewals();
	ASSERT_TRUE(restart_is_seen(o, a));
	usleep(4000000); // the longest lease counts from the first answer
	a->wait_ms = 700;
	usleep(1000000);
	w.job(ID, 1, "lasts");
	ASSERT_TRUE(eventually([&] { return a->running() == 1; }));
	a->unresponsive = true;
	int64_t gone_us = FakeWorker::us();
	FakeWorker *b = w.add_worker("b");
	ASSERT_TRUE(eventually([&] { return b->running() == 1; }));
	// The users count a task as lost from 6 s after its last run.
	EXPECT_LT(FakeWorker::us() - gone_us, 6000000);
	EXPECT_EQ(w.twice, 0);
}

// Guards against a run beside a start that was sent after the wait was over.
TEST_F(Scheduler, FreshStartOfARestartedWorkerIsNotBesideAnotherRun)
{
	FakeWorker *a = w.add_worker("a");
	FakeWorker *b = w.add_worker("b");
	Owner o(&w, "n1");
	auto kept = [&] {
		std::lock_guard<std::mutex> l(a->lock);

		return a->late.size();
	};

	w.row("b", "p", 500, "d1", false); // no room for the task
	o.start_renewals();
	ASSERT_TRUE(restart_is_seen(o, a));
	a->late_starts = 1000000;
	w.job(ID, 1, "lasts");
	ASSERT_TRUE(eventually([&] { return kept() > 0; }));
	usleep(6500000);
	size_t before = kept();
	ASSERT_TRUE(eventually([&] { return kept() > before; }));
	a->late_starts = 0;
	a->unresponsive = true;
	a->restart();
	w.row("a", "p", 8000, "d1", false);
	w.row("b", "p", 8000, "d1", false);
	usleep(1000000);
	{
		std::lock_guard<std::mutex> l(a->lock);

		a->late.erase(a->late.begin(), a->late.begin() + (long)before);
	}
	w.deliver_late(a);
	a->unresponsive = false;
	usleep(2500000);
	EXPECT_EQ(w.twice, 0);
	EXPECT_EQ(a->running() + b->running(), 1u);
}

// Guards against workers that are all shunned because of one job whose tasks
// fail everywhere.
TEST_F(Scheduler, FailingTasksDoNotKeepOtherTasks)
{
	static const char *const OTHER = "00000000000000aa";

	Owner o(&w, "n1");
	o.start_renewals();
	for (const char *id : {"a", "b", "c"}) {
		FakeWorker *x = add_usable(o, id);

		x->fail_all = true;
		x->start_ms = 50;
	}
	w.job(ID, 24, "20", 1, [](seam_step *s) { s->lasting = true; });
	ASSERT_TRUE(eventually([&] {
		int shunned = 0;

		for (const char *id : {"a", "b", "c"})
			with_worker(o, id, [&](seam_worker *x) {
				shunned += x->shunned_until >
					   seam_now(w.clock) + 3 * SEAM_SEC;
			});
		return shunned == 3;
	}));
	w.job(OTHER, 1, "lasts");
	EXPECT_TRUE(
		eventually([&] { return w.running(task(0, 0, OTHER)) == 1; },
			   LOST_AFTER_MS));
}
