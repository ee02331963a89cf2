// The scheduler against failing workers and a failing store.
#include "tests/scheduler_fixture.h"

// Guards against a waiting job that the count leaves out.
TEST_F(Scheduler, JobWithoutAConfirmedStartIsCountedAsWaiting)
{
	FakeWorker *a = w.add_worker("a");
	Owner o(&w, "n1");

	o.start_renewals();
	a->late_starts = 1000;
	w.job(ID, 1, "50");
	EXPECT_TRUE(eventually([&] {
		std::lock_guard<std::mutex> l(a->lock);
		return a->late.size() >= 1;
	}));
	usleep(1000000);
	EXPECT_EQ(w.store.get(SEAM_PENDING_ROW), "{\"q\":1}");
	a->late_starts = 0;
	EXPECT_TRUE(becomes("completed", 20000));
	EXPECT_TRUE(eventually(
		[&] { return w.store.get(SEAM_PENDING_ROW) == "{}"; }));
}

// Guards against a job that does not complete, or a task that runs more than
// once.
TEST_F(Scheduler, JobIsServed)
{
	w.add_worker("a");
	w.add_worker("b");
	Owner o(&w, "n1");
	o.start_renewals();
	w.job(ID, 6, "50");
	EXPECT_TRUE(becomes("completed"));
	expect_starts(1, 6, 1);
}

// Guards against steps out of order: a task of the second step starts before
// all of the first have ended.
TEST_F(Scheduler, StepsWait)
{
	w.add_worker("a");
	Owner o(&w, "n1");
	o.start_renewals();
	w.job(ID, 2, "400", 2);
	EXPECT_TRUE(eventually([&] { return w.running() == 2; }));
	EXPECT_EQ(w.started(task(1, 0)), 0);
	EXPECT_TRUE(becomes("completed"));
	expect_starts(2, 2, 1);
}

// Guards against a lost end: it was acknowledged to the worker, which then
// discards it, before it was in the store.
TEST_F(Scheduler, EndsAreStoredBeforeTheyAreAcknowledged)
{
	FakeWorker *a = w.add_worker("a");
	Owner o(&w, "n1");

	o.start_renewals();
	w.job(ID, 2, "100", 2);
	EXPECT_TRUE(eventually([&] { return w.running() == 2; }));
	w.store.refuse_commits = 1000000;
	EXPECT_TRUE(eventually([&] {
		std::lock_guard<std::mutex> l(a->lock);
		a->tick();
		return a->ends.size() >= 2;
	}));
	usleep(400000);
	EXPECT_EQ((int)a->acked, 0);
	w.store.refuse_commits = 0;
	EXPECT_TRUE(becomes("completed"));
	EXPECT_TRUE(eventually([&] { return a->acked >= 4; }));
}

// Guards against a commit of more rows than the store accepts, which blocked
// all later commits.
TEST_F(Scheduler, ManyJobsEndAtOnce)
{
	w.add_worker("a", "p", 400000);
	Owner o(&w, "n1");
	o.start_renewals();
	for (int i = 0; i < 200; i++) {
		char id[20];

		snprintf(id, sizeof(id), "%016x", i + 1);
		w.job(id, 1, "700");
	}
	for (int i = 0; i < 200; i++) {
		char id[20];

		snprintf(id, sizeof(id), "%016x", i + 1);
		EXPECT_TRUE(becomes("completed", 15000, id)) << i;
	}
	EXPECT_LE(w.store.largest, 100u);
}

// Guards against two concurrent runs: a start without an answer may have been
// carried out.
TEST_F(Scheduler, StartWithoutAnswerIsNotRepeatedElsewhere)
{
	FakeWorker *a = w.add_worker("a");
	Owner o(&w, "n1");

	o.start_renewals();
	a->lose_starts = 3;
	w.job(ID, 3, "300");
	EXPECT_TRUE(becomes("completed"));
	expect_starts(1, 3, 1);
}

// Guards against a delay of seconds after one lost answer. The same start is
// sent again, and the worker accepts it once.
TEST_F(Scheduler, StartWithoutAnswerIsSentAgain)
{
	FakeWorker *a = w.add_worker("a");
	Owner o(&w, "n1");

	o.start_renewals();
	EXPECT_TRUE(eventually([&] {
		std::lock_guard<std::mutex> l(a->lock);
		return a->lease > 0;
	}));
	a->lose_starts = 3;
	w.job(ID, 3, "300");
	EXPECT_TRUE(becomes("completed", 1500));
	expect_starts(1, 3, 1);
}

// Guards against a second run of a task that has ended: the repeated start is
// refused because of that end, which is listed only later.
TEST_F(Scheduler, RefusedRepeatIsNoRefusalOfTheFirst)
{
	w.add_worker("a")->lose_new = true;
	w.add_worker("b")->lose_new = true;
	Owner o(&w, "n1");
	o.start_renewals();
	w.job(ID, 8, "0");
	EXPECT_TRUE(becomes("completed"));
	expect_starts(1, 8, 1);
}

// Guards against a start that is carried out late. The task is stopped on that
// worker first, so that the late start is refused.
TEST_F(Scheduler, LateStartIsRefused)
{
	FakeWorker *a = w.add_worker("a");
	w.add_worker("b");
	Owner o(&w, "n1");

	o.start_renewals();
	a->late_starts = 2;
	w.job(ID, 12, "400");
	EXPECT_TRUE(becomes("completed"));
	{
		std::lock_guard<std::mutex> l(a->lock);
		for (auto &s : a->late)
			EXPECT_NE(a->begin(s.task, s.run, "1", s.token,
					   a->clock_ms() + 1000),
				  SEAM_ORDER_DONE);
	}
}

// Guards against runs that stay assigned to a worker which restarted under its
// id and lost them.
TEST_F(Scheduler, RestartedWorkerLosesItsRuns)
{
	FakeWorker *a = w.add_worker("a");
	Owner o(&w, "n1");

	o.start_renewals();
	w.job(ID, 2, "700");
	EXPECT_TRUE(eventually([&] { return w.running() == 2; }));
	a->restart();
	EXPECT_TRUE(becomes("completed"));
	expect_starts(1, 2, 2);
}

// Guards against a second run while the first may still be active: a worker
// that does not answer keeps its runs until its lease has expired.
TEST_F(Scheduler, SilentWorkerKeepsItsLease)
{
	FakeWorker *a = w.add_worker("a");
	Owner o(&w, "n1");

	o.start_renewals();
	w.job(ID, 1, "20000");
	EXPECT_TRUE(eventually([&] { return w.running() == 1; }));
	w.add_worker("b");
	a->unresponsive = true;
	EXPECT_TRUE(eventually([&] { return w.started(task(0, 0)) == 2; }));
	EXPECT_EQ(a->running(), 0u);
	EXPECT_EQ(w.workers["b"]->running(), 1u);
}

// Guards against a failing task that is started without end.
TEST_F(Scheduler, FailingTaskFailsItsJob)
{
	FakeWorker *a = w.add_worker("a");
	FakeWorker *b = w.add_worker("b");
	Owner o(&w, "n1");

	o.start_renewals();
	a->fail_all = b->fail_all = true;
	w.job(ID, 1, "20");
	EXPECT_TRUE(becomes("failed", 25000));
	EXPECT_EQ(w.started(task(0, 0)), 3);
}

// Guards against a job that fails because of one bad worker: the next run goes
// to another one.
TEST_F(Scheduler, FailingWorkerIsAvoided)
{
	FakeWorker *a = w.add_worker("a", "p", 2000);
	w.add_worker("b");
	Owner o(&w, "n1");

	o.start_renewals();
	a->fail_all = true;
	w.job(ID, 4, "50");
	EXPECT_TRUE(becomes("completed"));
}

// Guards against runs of a cancelled job that go on, and against new ones.
TEST_F(Scheduler, CancelStops)
{
	char key[SEAM_KEY_MAX];
	w.add_worker("a");
	Owner o(&w, "n1");
	o.start_renewals();
	w.job(ID, 2, "lasts");
	EXPECT_TRUE(eventually([&] { return w.running() == 2; }));
	seam_jobrow_key(ID, key);
	std::string row = w.store.get(key);
	size_t at = row.find("\"state\":\"queued\"");
	ASSERT_NE(at, std::string::npos);
	w.store.put(key, row.replace(at, 16, "\"state\":\"cancelled\""));
	EXPECT_TRUE(eventually([&] { return w.running() == 0; }, 3000));
	usleep(300000);
	EXPECT_EQ(w.running(), 0u);
	EXPECT_EQ(w.state(ID), "cancelled");
}

// Guards against a commit in progress that reopens a cancelled job.
TEST_F(Scheduler, CancelDuringACommit)
{
	char key[SEAM_KEY_MAX];
	w.add_worker("a");
	Owner o(&w, "n1");
	o.start_renewals();
	w.job(ID, 4, "200", 3);
	EXPECT_TRUE(eventually([&] { return w.started(task(1, 0)) == 1; }));
	seam_jobrow_key(ID, key);
	std::string row = w.store.get(key);
	size_t at = row.find("\"state\":\"queued\"");
	ASSERT_NE(at, std::string::npos);
	w.store.put(key, row.replace(at, 16, "\"state\":\"cancelled\""));
	usleep(1500000);
	EXPECT_EQ(w.state(ID), "cancelled");
	EXPECT_EQ(w.started(task(2, 0)), 0);
}

// Guards against a workspace that exceeds its limit over all its runs.
TEST_F(Scheduler, LimitOfAWorkspace)
{
	size_t most = 0;

	w.config(3000);
	w.add_worker("a", "p", 64000);
	Owner o(&w, "n1");
	o.start_renewals();
	eventually([&] { return w.version_in_force() == 2; });
	w.job(ID, 9, "200");
	EXPECT_TRUE(eventually([&] {
		most = std::max(most, w.running());
		return w.state(ID) == "completed";
	}));
	EXPECT_EQ(most, 3u);
}

// Guards against a late job whose log line does not show the reason of its
// delay: lack of room, a limit, or the owner.
TEST_F(Scheduler, DelayedJobShowsItsReason)
{
	auto delayed_by = [&](Owner &o, const char *id, seam_delay reason) {
		pthread_mutex_lock(&o.sched->lock);
		seam_handle *h =
			(seam_handle *)g_hash_table_lookup(o.sched->job_of, id);
		seam_job *j =
			h ? (seam_job *)seam_table_get(o.sched->jobs, *h) :
			    nullptr;
		bool is = j && j->delay_reason == reason;
		pthread_mutex_unlock(&o.sched->lock);
		return is;
	};

	w.config(3000);
	w.add_worker("a", "p", 2000);
	Owner o(&w, "n1");
	o.start_renewals();
	eventually([&] { return w.version_in_force() == 2; });
	w.job(ID, 4, "600");
	EXPECT_TRUE(
		eventually([&] { return delayed_by(o, ID, SEAM_DELAY_ROOM); }));
	w.add_worker("b", "p", 64000);
	EXPECT_TRUE(eventually(
		[&] { return delayed_by(o, ID, SEAM_DELAY_LIMIT); }));
	EXPECT_TRUE(becomes("completed"));
}

// Guards against loss of runs when the owner is lost. The next owner adopts
// them from the workers, starts nothing twice, and counts each end once.
TEST_F(Scheduler, TakeoverAdoptsRuns)
{
	w.add_worker("a");
	w.add_worker("b");
	w.job(ID, 6, "2500", 1);
	{
		Owner o(&w, "n1");

		o.start_renewals();
		EXPECT_TRUE(eventually([&] { return w.running() == 6; }));
	}
	Owner o(&w, "n2");
	o.start_renewals();
	EXPECT_EQ(o.election.term, 2u * SEAM_ELECTION_TERM_STEP);
	EXPECT_TRUE(becomes("completed"));
	expect_starts(1, 6, 1);
}

// Guards against orders of an owner that was suspended while another took over.
TEST_F(Scheduler, OldOwnerIsFenced)
{
	FakeWorker *a = w.add_worker("a");
	Owner *old = new Owner(&w, "n1"); // renewals stop

	w.job(ID, 2, "lasts");
	EXPECT_TRUE(eventually([&] { return w.running() == 2; }));
	Owner o(&w, "n2");
	o.start_renewals();
	EXPECT_TRUE(eventually([&] {
		std::lock_guard<std::mutex> l(a->lock);
		return a->token == 2u * SEAM_ELECTION_TERM_STEP;
	}));
	/* Simulates an owner that still considers its term valid after another
	 * node has taken over. */
	seam_election_extend(&old->election, seam_now(w.clock) + 10 * SEAM_SEC);
	usleep(1500000);
	EXPECT_EQ((uint64_t)a->token, 2u * SEAM_ELECTION_TERM_STEP);
	EXPECT_EQ(w.running(), 2u);
	expect_starts(1, 2, 1);
	delete old;
}

// Guards against a second run after a takeover: a worker that the new owner
// can't reach may still run what the previous one started.
TEST_F(Scheduler, TakeoverWaitsForUnreachableWorkers)
{
	FakeWorker *a = w.add_worker("a");
	{
		Owner o(&w, "n1");

		o.start_renewals();
		w.job(ID, 1, "20000");
		EXPECT_TRUE(eventually([&] { return w.running() == 1; }));
	}
	w.add_worker("b");
	a->unresponsive = true;
	Owner o(&w, "n2");
	o.start_renewals();
	w.job("00000000000000aa", 1, "100");
	/* A job that was accepted later can't run there and need not wait. */
	EXPECT_TRUE(becomes("completed", 2000, "00000000000000aa"));
	EXPECT_TRUE(eventually([&] { return w.started(task(0, 0)) == 2; }));
	EXPECT_EQ(a->running(), 0u);
}

// Guards against loss of jobs that were accepted while the feed lost its
// history.
TEST_F(Scheduler, ForgottenHistory)
{
	w.add_worker("a");
	Owner o(&w, "n1");
	o.start_renewals();
	w.store.down = true;
	usleep(300000);
	w.job(ID, 2, "50");
	w.store.forgotten = w.store.version + 1;
	w.store.put("other/row", "");
	w.store.put("other/row", "");
	w.store.down = false;
	EXPECT_TRUE(becomes("completed"));
}

// Guards against rows that are forgotten as they are behind a cut page.
TEST_F(Scheduler, ForgottenHistoryBehindPagesThatTheStoreCut)
{
	auto evacuated = [&](const char *dc) {
		return seam_op_state_is_evacuated(&w.ops, dc);
	};

	for (const char *id : {"a", "b", "c"})
		w.add_worker(id);
	w.store.put("op/out/d1", "x");
	w.store.put("op/out/d2", "x");
	Owner o(&w, "n1");
	o.start_renewals();
	EXPECT_TRUE(eventually([&] { return evacuated("d2"); }));
	w.store.down = true;
	usleep(300000);
	w.add_worker("d");
	w.store.put("op/out/d3", "x");
	for (int i = 10; i < 70; i++)
		w.job("00000000000000" + std::to_string(i), 1, "100", 1,
		      nullptr, "elsewhere");
	w.store.page_bytes = 1;
	w.store.forgotten = w.store.version + 1;
	w.store.put("other/row", "");
	w.store.down = false;
	EXPECT_TRUE(eventually([&] { return evacuated("d3"); }));
	EXPECT_TRUE(evacuated("d1"));
	EXPECT_TRUE(evacuated("d2"));
	EXPECT_TRUE(eventually([&] {
		pthread_mutex_lock(&o.sched->lock);
		bool all = seam_table_count(o.sched->jobs) == 60 &&
			   seam_table_count(o.sched->workers) == 4;
		pthread_mutex_unlock(&o.sched->lock);
		return all;
	}));
}

// Guards against lost or duplicated ends when the answer to a commit is lost.
TEST_F(Scheduler, CommitWithoutAnswer)
{
	w.add_worker("a");
	Owner o(&w, "n1");
	o.start_renewals();
	w.job(ID, 4, "100", 2);
	EXPECT_TRUE(eventually([&] { return w.running() == 4; }));
	w.store.lose_answers = 3;
	EXPECT_TRUE(becomes("completed"));
	expect_starts(2, 4, 1);
}

// Guards against slow discovery of new workers: it waited for the last hold of
// each worker that had left, one after the other, which took seconds after
// several VMs had moved.
TEST_F(Scheduler, EndedWorkersDoNotDelayNewOnes)
{
	for (int i = 0; i < 8; i++)
		w.add_worker("old" + std::to_string(i));
	Owner o(&w, "n1");

	o.start_renewals();
	w.job(ID, 1, "50");
	EXPECT_TRUE(eventually([&] { return w.started(task(0, 0)) == 1; }));
	for (int i = 0; i < 8; i++) {
		FakeWorker *old = w.workers["old" + std::to_string(i)];

		old->unresponsive_ms = 600;
		old->unresponsive = true;
		w.store.del("workers/" + old->id);
	}
	/* By now the workers without rows count as gone. */
	usleep(3000000);
	w.add_worker("new");
	w.job("00000000000000a2", 1, "50");
	usleep(1000000);
	EXPECT_EQ(w.started("00000000000000a2.0.0.0"), 1);
}

// Guards against starts that block more urgent ones: all were pending at once
// when the owner placed tasks faster than it could send starts.
TEST_F(Scheduler, StartsUnderWayAreBounded)
{
	for (int i = 0; i < 100; i++)
		w.add_worker("w" + std::to_string(i), "p", 1000)->start_ms =
			150;
	Owner o(&w, "n1");
	o.start_renewals();
	usleep(500000);
	w.job(ID, 100, "9000");
	EXPECT_TRUE(eventually([&] { return w.running() == 100; }));
	EXPECT_LE(w.most_starting, 64);
}

// Guards against a job that runs again: a slow store answered a read after the
// end of the job with the row from before, which was taken as a new job.
TEST_F(Scheduler, LateReadDoesNotRunAJobAgain)
{
	char key[SEAM_KEY_MAX];

	seam_jobrow_key(ID, key);
	w.add_worker("a");
	Owner o(&w, "n1");
	o.start_renewals();
	w.job(ID, 1, "200");
	FeedStore::Entry open;
	{
		std::lock_guard<std::mutex> l(w.store.lock);
		open = w.store.rows[key];
	}
	EXPECT_TRUE(eventually([&] { return w.state(ID) == "completed"; }));
	usleep(200000);
	{
		std::lock_guard<std::mutex> l(w.store.lock);
		w.store.late[key] = open;
		w.store.changed.notify_all();
	}
	usleep(700000);
	EXPECT_EQ(w.started(task(0, 0)), 1);
	std::lock_guard<std::mutex> l(w.store.lock);
	EXPECT_TRUE(w.store.late.empty());
}

// Guards against an odd row that is not logged, or ends the list.
TEST_F(Scheduler, UnusableWorkerRowIsLoggedOnce)
{
	w.add_worker("a");
	w.store.put("workers/odd", "broken");
	Owner o(&w, "n1");
	auto logged = [&] {
		pthread_mutex_lock(&o.sched->lock);
		int64_t n = o.sched->unusable_rows_logged;
		pthread_mutex_unlock(&o.sched->lock);
		return n;
	};
	auto knows = [&](const char *id) {
		pthread_mutex_lock(&o.sched->lock);
		bool found = g_hash_table_contains(o.sched->worker_of, id);
		pthread_mutex_unlock(&o.sched->lock);
		return found;
	};
	// Makes the owner read all rows: the feed has lost its history.
	auto read_all = [&](const char *id) {
		w.store.down = true;
		usleep(300000);
		w.add_worker(id);
		w.store.forgotten = w.store.version + 1;
		w.store.put("other/row", "");
		w.store.down = false;
		EXPECT_TRUE(eventually([&] { return knows(id); }));
	};

	o.start_renewals();
	EXPECT_EQ(logged(), 1);
	w.store.put("workers/odd", "broken");
	read_all("b");
	read_all("c");
	EXPECT_EQ(logged(), 1);
	EXPECT_FALSE(knows("odd"));
	w.job(ID, 24, "600");
	EXPECT_TRUE(eventually([&] { return w.running() == 24; }));

	FakeWorker *odd = w.add_worker("odd");
	w.job("00000000000000a2", 8, "600");
	EXPECT_TRUE(eventually([&] { return odd->running("") == 8; }));
	EXPECT_TRUE(becomes("completed"));
	EXPECT_TRUE(becomes("completed", 8000, "00000000000000a2"));

	w.store.put("workers/odd", "broken");
	EXPECT_TRUE(eventually([&] { return logged() == 2; }));
	read_all("d");
	EXPECT_TRUE(eventually([&] { return !knows("odd"); }));
	read_all("e");
	EXPECT_EQ(logged(), 2);
	w.row("odd", "p", 8000, "d1", false);
	w.job("00000000000000a3", 48, "600");
	EXPECT_TRUE(eventually([&] { return odd->running("") == 8; }));
	EXPECT_TRUE(becomes("completed", 8000, "00000000000000a3"));
	w.store.del("workers/odd");
	w.store.put("workers/odd", "broken");
	EXPECT_TRUE(eventually([&] { return logged() == 3; }));
}

// Guards against a row with bytes that the decoder does not see.
TEST_F(Scheduler, WorkerRowWithANulIsNotUsed)
{
	w.add_worker("a");
	std::string row = w.store.get("workers/a");
	w.store.put("workers/a", row + std::string("\0x", 2));
	Owner o(&w, "n1");
	auto knows = [&] {
		pthread_mutex_lock(&o.sched->lock);
		bool found = g_hash_table_contains(o.sched->worker_of, "a");
		pthread_mutex_unlock(&o.sched->lock);
		return found;
	};

	o.start_renewals();
	EXPECT_FALSE(knows());
	EXPECT_EQ(o.sched->unusable_rows_logged, 1);
	w.store.put("workers/a", row);
	EXPECT_TRUE(eventually(knows));
}
