// The owner of all jobs, against workers and a store that fail.
#include "tests/board_fixture.h"

// The whole path of a job; each of its tasks runs once.
TEST_F(Board, JobIsServed)
{
	w.add_worker("a");
	w.add_worker("b");
	Owner o(&w, "n1");
	o.renew();
	w.job(ID, 6, "50");
	EXPECT_TRUE(becomes("completed"));
	expect_starts(1, 6, 1);
}

// Guards the order of steps: no task of the second before all of the first.
TEST_F(Board, StepsWait)
{
	w.add_worker("a");
	Owner o(&w, "n1");
	o.renew();
	w.job(ID, 2, "400", 2);
	EXPECT_TRUE(eventually([&] { return w.running() == 2; }));
	EXPECT_EQ(w.started(task(1, 0)), 0);
	EXPECT_TRUE(becomes("completed"));
	expect_starts(2, 2, 1);
}

// Guards against an end that is lost because the worker was told to forget it
// before the store had it.
TEST_F(Board, EndsAreStoredBeforeTheyAreAcknowledged)
{
	FakeWorker *a = w.add_worker("a");
	Owner o(&w, "n1");

	o.renew();
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

// Guards against a commit of more rows than the service takes, which stood in
// the way of all that followed.
TEST_F(Board, ManyJobsEndAtOnce)
{
	w.add_worker("a", "p", 400000);
	Owner o(&w, "n1");
	o.renew();
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

// Guards against two runs at the same time: an order without an answer may have
// been carried out.
TEST_F(Board, StartWithoutAnswerIsNotRepeatedElsewhere)
{
	FakeWorker *a = w.add_worker("a");
	Owner o(&w, "n1");

	o.renew();
	a->lose_starts = 3;
	w.job(ID, 3, "300");
	EXPECT_TRUE(becomes("completed"));
	expect_starts(1, 3, 1);
}

// Guards jobs against a wait for seconds because of one lost answer: the same
// start is sent again, which a worker takes once.
TEST_F(Board, StartWithoutAnswerIsSentAgain)
{
	FakeWorker *a = w.add_worker("a");
	Owner o(&w, "n1");

	o.renew();
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
// refused because of that end, which is listed a moment later.
TEST_F(Board, RefusedRepeatIsNoRefusalOfTheFirst)
{
	w.add_worker("a")->lose_new = true;
	w.add_worker("b")->lose_new = true;
	Owner o(&w, "n1");
	o.renew();
	w.job(ID, 8, "0");
	EXPECT_TRUE(becomes("completed"));
	expect_starts(1, 8, 1);
}

// Guards against an order that is carried out late: the task is stopped there
// first, so that the late start is refused.
TEST_F(Board, LateStartIsRefused)
{
	FakeWorker *a = w.add_worker("a");
	w.add_worker("b");
	Owner o(&w, "n1");

	o.renew();
	a->late_starts = 2;
	w.job(ID, 12, "400");
	EXPECT_TRUE(becomes("completed"));
	{
		std::lock_guard<std::mutex> l(a->lock);
		for (size_t i = 0; i < a->late.size(); i++)
			EXPECT_NE(a->begin(a->late_task[i], a->late[i].run, "1",
					   a->late[i].token,
					   a->clock_ms() + 1000),
				  SEAM_ORDER_DONE);
	}
}

// Guards tasks of a worker that started again under its id: it runs nothing.
TEST_F(Board, RestartedWorkerLosesItsRuns)
{
	FakeWorker *a = w.add_worker("a");
	Owner o(&w, "n1");

	o.renew();
	w.job(ID, 2, "700");
	EXPECT_TRUE(eventually([&] { return w.running() == 2; }));
	a->restart();
	EXPECT_TRUE(becomes("completed"));
	expect_starts(1, 2, 2);
}

// Guards against a second run while the first may go on: a worker that does not
// answer keeps its runs until its lease has run out.
TEST_F(Board, SilentWorkerKeepsItsLease)
{
	FakeWorker *a = w.add_worker("a");
	Owner o(&w, "n1");

	o.renew();
	w.job(ID, 1, "20000");
	EXPECT_TRUE(eventually([&] { return w.running() == 1; }));
	w.add_worker("b");
	a->silent = true;
	EXPECT_TRUE(eventually([&] { return w.started(task(0, 0)) == 2; }));
	EXPECT_EQ(a->running(), 0u);
	EXPECT_EQ(w.workers["b"]->running(), 1u);
}

// Guards against a poisoned task that is started for ever.
TEST_F(Board, FailingTaskFailsItsJob)
{
	FakeWorker *a = w.add_worker("a");
	FakeWorker *b = w.add_worker("b");
	Owner o(&w, "n1");

	o.renew();
	a->fail_all = b->fail_all = true;
	w.job(ID, 1, "20");
	EXPECT_TRUE(becomes("failed", 25000));
	EXPECT_EQ(w.started(task(0, 0)), 3);
}

// Guards against a job that fails because of one worker: the next run is
// elsewhere.
TEST_F(Board, FailingWorkerIsAvoided)
{
	FakeWorker *a = w.add_worker("a", "p", 2000);
	w.add_worker("b");
	Owner o(&w, "n1");

	o.renew();
	a->fail_all = true;
	w.job(ID, 4, "50");
	EXPECT_TRUE(becomes("completed"));
}

// Guards a cancelled job: its runs are stopped and none begins.
TEST_F(Board, CancelStops)
{
	char key[SEAM_KEY_MAX];
	w.add_worker("a");
	Owner o(&w, "n1");
	o.renew();
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

// Guards against a cancelled job that a commit under way opens again.
TEST_F(Board, CancelDuringACommit)
{
	char key[SEAM_KEY_MAX];
	w.add_worker("a");
	Owner o(&w, "n1");
	o.renew();
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

// Guards a workspace's limit over all that it runs.
TEST_F(Board, LimitOfAWorkspace)
{
	size_t most = 0;

	w.config(3000);
	w.add_worker("a", "p", 64000);
	Owner o(&w, "n1");
	o.renew();
	eventually([&] { return w.version_in_force() == 2; });
	w.job(ID, 9, "200");
	EXPECT_TRUE(eventually([&] {
		most = std::max(most, w.running());
		return w.state(ID) == "completed";
	}));
	EXPECT_EQ(most, 3u);
}

// Guards against a late job whose line does not tell what held it up: on the
// grown site nobody could say whether room, a limit or the owner was missing.
TEST_F(Board, JobKnowsWhatHeldItUp)
{
	auto held = [&](Owner &o, const char *id, seam_held by) {
		pthread_mutex_lock(&o.board->lock);
		seam_handle *h =
			(seam_handle *)g_hash_table_lookup(o.board->job_of, id);
		seam_job *j =
			h ? (seam_job *)seam_table_get(o.board->jobs, *h) :
			    nullptr;
		bool is = j && j->held_by == by;
		pthread_mutex_unlock(&o.board->lock);
		return is;
	};

	w.config(3000);
	w.add_worker("a", "p", 2000);
	Owner o(&w, "n1");
	o.renew();
	eventually([&] { return w.version_in_force() == 2; });
	w.job(ID, 4, "600");
	EXPECT_TRUE(eventually([&] { return held(o, ID, SEAM_HELD_ROOM); }));
	w.add_worker("b", "p", 64000);
	EXPECT_TRUE(eventually([&] { return held(o, ID, SEAM_HELD_LIMIT); }));
	EXPECT_TRUE(becomes("completed"));
}

// Guards work in progress over the loss of an owner: the next one takes it over
// from the workers, starts nothing twice, and ends count once.
TEST_F(Board, TakeoverAdoptsRuns)
{
	w.add_worker("a");
	w.add_worker("b");
	w.job(ID, 6, "2500", 1);
	{
		Owner o(&w, "n1");

		o.renew();
		EXPECT_TRUE(eventually([&] { return w.running() == 6; }));
	}
	Owner o(&w, "n2");
	o.renew();
	EXPECT_EQ(o.lead.term, 2u);
	EXPECT_TRUE(becomes("completed"));
	expect_starts(1, 6, 1);
}

// Guards against orders of an owner that was suspended while another took over.
TEST_F(Board, OldOwnerIsFenced)
{
	FakeWorker *a = w.add_worker("a");
	Owner *old = new Owner(&w, "n1"); // its renewals stop

	w.job(ID, 2, "lasts");
	EXPECT_TRUE(eventually([&] { return w.running() == 2; }));
	Owner o(&w, "n2");
	o.renew();
	EXPECT_TRUE(eventually([&] {
		std::lock_guard<std::mutex> l(a->lock);
		return a->token == 2;
	}));
	/* As if it did not know that its term is over. */
	seam_lead_extend(&old->lead, seam_now(w.clock) + 10 * SEAM_SEC);
	usleep(1500000);
	EXPECT_EQ((uint64_t)a->token, 2u);
	EXPECT_EQ(w.running(), 2u);
	expect_starts(1, 2, 1);
	delete old;
}

// Guards against a second run after a takeover: a worker that the new owner
// can't reach may run what the old one started there.
TEST_F(Board, TakeoverWaitsForUnreachableWorkers)
{
	FakeWorker *a = w.add_worker("a");
	{
		Owner o(&w, "n1");

		o.renew();
		w.job(ID, 1, "20000");
		EXPECT_TRUE(eventually([&] { return w.running() == 1; }));
	}
	w.add_worker("b");
	a->silent = true;
	Owner o(&w, "n2");
	o.renew();
	w.job("00000000000000aa", 1, "100");
	/* A job that came later can't run there and need not wait. */
	EXPECT_TRUE(becomes("completed", 2000, "00000000000000aa"));
	EXPECT_TRUE(eventually([&] { return w.started(task(0, 0)) == 2; }));
	EXPECT_EQ(a->running(), 0u);
}

// Guards jobs that were accepted while the feed forgot its history.
TEST_F(Board, ForgottenHistory)
{
	w.add_worker("a");
	Owner o(&w, "n1");
	o.renew();
	w.store.down = true;
	usleep(300000);
	w.job(ID, 2, "50");
	w.store.forgotten = w.store.version + 1;
	w.store.put("other/row", "");
	w.store.put("other/row", "");
	w.store.down = false;
	EXPECT_TRUE(becomes("completed"));
}

// Guards against lost or doubled ends when a commit's answer is lost.
TEST_F(Board, CommitWithoutAnswer)
{
	w.add_worker("a");
	Owner o(&w, "n1");
	o.renew();
	w.job(ID, 4, "100", 2);
	EXPECT_TRUE(eventually([&] { return w.running() == 4; }));
	w.store.lose_answers = 3;
	EXPECT_TRUE(becomes("completed"));
	expect_starts(2, 4, 1);
}

// Guards the discovery of new workers: it waited for the last hold of each
// worker that had left, one after the other, so that it took seconds after some
// VMs had moved.
TEST_F(Board, EndedWorkersDoNotDelayNewOnes)
{
	for (int i = 0; i < 8; i++)
		w.add_worker("old" + std::to_string(i));
	Owner o(&w, "n1");

	o.renew();
	w.job(ID, 1, "50");
	EXPECT_TRUE(eventually([&] { return w.started(task(0, 0)) == 1; }));
	for (int i = 0; i < 8; i++) {
		FakeWorker *old = w.workers["old" + std::to_string(i)];

		old->silent_ms = 600;
		old->silent = true;
		w.store.del("workers/" + old->id);
	}
	/* By now their rows are missing for good. */
	usleep(3000000);
	w.add_worker("new");
	w.job("00000000000000a2", 1, "50");
	usleep(1000000);
	EXPECT_EQ(w.started("00000000000000a2.0.0.0"), 1);
}

// Guards the order of urgency where the owner can't send starts as fast as it
// places tasks: all were under way at once, and what came later queued behind.
TEST_F(Board, StartsUnderWayAreBounded)
{
	for (int i = 0; i < 100; i++)
		w.add_worker("w" + std::to_string(i), "p", 1000)->start_ms =
			150;
	Owner o(&w, "n1");
	o.renew();
	usleep(500000);
	w.job(ID, 100, "9000");
	EXPECT_TRUE(eventually([&] { return w.running() == 100; }));
	EXPECT_LE(w.most_starting, 64);
}

// Guards against a job that runs again: a read of its row from before its end
// was answered after it, over a slow store, and was taken as a new job.
TEST_F(Board, LateReadDoesNotRunAJobAgain)
{
	char key[SEAM_KEY_MAX];

	seam_jobrow_key(ID, key);
	w.add_worker("a");
	Owner o(&w, "n1");
	o.renew();
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
