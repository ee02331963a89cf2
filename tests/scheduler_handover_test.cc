// What an owner leaves to the next one: late starts of tasks, their run
// numbers, and how long a task waits for them.
#include "tests/scheduler_fixture.h"

#include <memory>
#include <set>

// Guards against another number after a change of the owner.
TEST_F(Scheduler, NextOwnerRepeatsALateStartUnderItsNumber)
{
	FakeWorker *a = w.add_worker("a");
	size_t kept = 0;
	auto all_kept = [&] {
		std::lock_guard<std::mutex> l(a->lock);

		return a->late;
	};

	a->late_starts = 100000;
	{
		Owner o(&w, "n1");

		o.start_renewals();
		w.job(ID, 1, "20000");
		ASSERT_TRUE(eventually([&] { return !all_kept().empty(); }));
	}
	kept = all_kept().size();
	Owner o(&w, "n2");

	o.start_renewals();
	ASSERT_TRUE(eventually([&] { return all_kept().size() > kept; }));
	for (auto &s : all_kept())
		EXPECT_EQ(s.run, all_kept()[0].run);
}

// Guards against an earlier late start that replaces the latest one.
TEST_F(Scheduler, NextOwnerKnowsTheLatestOfTwoLateStarts)
{
	w.add_worker("a");
	w.add_worker("b");
	w.job(ID, 1, "20000");
	w.store.put("owner/handover",
		    "{\"workers\":[],\"tasks\":["
		    "{\"worker\":\"b\",\"task\":\"" +
			    task(0, 0) +
			    "\",\"left_ms\":13000,\"run\":2},"
			    "{\"worker\":\"a\",\"task\":\"" +
			    task(0, 0) + "\",\"left_ms\":7000,\"run\":1}]}");
	Owner o(&w, "n1");

	pthread_mutex_lock(&o.sched->lock);
	EXPECT_EQ(scheduler_find_job(o.sched, ID)->task[0][0].late_run, 2);
	pthread_mutex_unlock(&o.sched->lock);
}

// A worker that keeps the starts of many tasks, and an owner that is lost.
struct LateStartsLeft : Scheduler {
	static const int TASKS = 150;
	FakeWorker *a = w.add_worker("a", "p", TASKS * 1000);

	size_t kept_tasks()
	{
		std::lock_guard<std::mutex> l(a->lock);
		std::set<std::string> tasks;

		for (auto &s : a->late)
			tasks.insert(s.task);
		return tasks.size();
	}
	void lose_owner_with(int tasks)
	{
		Owner o(&w, "n1");

		o.start_renewals();
		a->late_starts = 1000000;
		w.job(ID, tasks, "lasts");
		ASSERT_TRUE(eventually(
			[&] { return kept_tasks() == (size_t)tasks; }, 10000));
	}
	// Worker a starts again and carries out what it kept.
	void restart_with_late_starts()
	{
		a->unresponsive = true;
		a->late_starts = 0;
		a->restart();
		w.deliver_late(a);
		a->unresponsive = false;
	}
};

// Guards against late starts beyond the first 64 that the next owner forgets.
TEST_F(LateStartsLeft, NextOwnerKnowsThoseOfManyTasks)
{
	lose_owner_with(TASKS);
	w.row("a", "p", 500, "d1", false);
	w.add_worker("b", "p", TASKS * 1000);
	Owner o(&w, "n2");

	o.start_renewals();
	usleep(3000000);
	restart_with_late_starts();
	usleep(300000);
	EXPECT_EQ(w.twice, 0);
	EXPECT_TRUE(eventually([&] { return w.running() == TASKS; }));
}

// Guards against a row of over 64 KiB, which the platform refuses.
TEST_F(Scheduler, RowOfLateStartsHasNoMoreThanTheStoreTakes)
{
	const char *row = "owner/handover";
	std::string id(SEAM_NAME_SIZE - 1, 'a');
	std::string text = "{\"workers\":[],\"tasks\":[";

	w.add_worker(id);
	w.row(id, "p", 500, "d1", false);
	w.job(ID, 1000, "lasts");
	for (int i = 0; i < 1000; i++)
		text += std::string(i ? "," : "") + "{\"worker\":\"" + id +
			"\",\"task\":\"" + task(0, i) +
			"\",\"left_ms\":" + std::to_string(12000 + i) +
			",\"run\":999}";
	w.store.put(row, text + "]}");
	uint64_t version = w.store.version_of(row);
	Owner o(&w, "n1");

	o.start_renewals();
	ASSERT_TRUE(
		eventually([&] { return w.store.version_of(row) != version; }));
	EXPECT_LT(w.store.get(row).size(), 65500u);
	EXPECT_GT(w.store.get(row).size(), 60000u);
	EXPECT_NE(w.store.get(row).find(task(0, 999)), std::string::npos);
	EXPECT_EQ(w.store.get(row).find(task(0, 0) + "\""), std::string::npos);
}

// A task whose late start the owner before has left on worker a, which
// has no row.
struct LateStartWithoutRow : Scheduler {
	const char *row = "owner/handover";
	FakeWorker *b = w.add_worker("b");

	LateStartWithoutRow()
	{
		w.job(ID, 1, "lasts");
		w.store.put(row, "{\"workers\":[],\"tasks\":[{\"worker\":\"a\","
				 "\"task\":\"" +
					 task(0, 0) +
					 "\",\"left_ms\":13700,\"run\":999}]}");
	}
};

// Guards against a run elsewhere at once, and a task that waits on.
TEST_F(LateStartWithoutRow, TaskWaitsAndRunsElsewhereWithinSevenSeconds)
{
	Owner o(&w, "n1");

	o.start_renewals();
	EXPECT_TRUE(never([&] { return w.running() > 0; }, 5000));
	EXPECT_TRUE(eventually([&] { return b->running() == 1; }, 2000));
}

// Guards against another number on the worker when it comes back.
TEST_F(LateStartWithoutRow, WorkerThatComesBackGetsTheNumberAgain)
{
	Owner o(&w, "n1");

	o.start_renewals();
	ASSERT_TRUE(worker_becomes(
		o, "b", [](seam_worker *x) { return x->contacted; }));
	FakeWorker *a = w.add_worker("a");
	ASSERT_TRUE(eventually([&] { return a->running() == 1; }, 3000));
	std::lock_guard<std::mutex> l(a->lock);
	EXPECT_EQ(a->runs[0].run, 999);
}

// Guards against a run beside one that its worker has begun already.
TEST_F(LateStartWithoutRow, RunOfAWorkerThatComesBackIsKept)
{
	Owner o(&w, "n1");

	o.start_renewals();
	usleep(2000000);
	FakeWorker *a = w.add_worker("a");
	a->unresponsive = true;
	a->late.push_back({task(0, 0), 999, "lasts", 1, 60000, 0});
	w.deliver_late(a);
	a->unresponsive = false;
	ASSERT_EQ(a->running(), 1);
	EXPECT_TRUE(never([&] { return b->running() > 0; }, 6000));
	EXPECT_EQ(w.twice, 0);
}

// Guards against a second change of the owner that loses the late start.
TEST_F(LateStartWithoutRow, NextOwnerLeavesItToTheOneAfter)
{
	{
		Owner o(&w, "n1");

		o.start_renewals();
		usleep(700000);
	}
	EXPECT_NE(w.store.get(row).find("\"a\",\"task\":\"" + task(0, 0)),
		  std::string::npos);
}

// Guards against the time of an earlier start of a task that is named twice.
TEST_F(Scheduler, LatestOfTwoLateStartsLeftIsWaitedFor)
{
	auto entry = [](const char *left_ms) {
		return "{\"worker\":\"a\",\"task\":\"" + task(0, 0) +
		       "\",\"left_ms\":" + left_ms + ",\"run\":999}";
	};

	w.add_worker("a", "p", 500);
	w.add_worker("b");
	w.job(ID, 1, "lasts");
	w.store.put("owner/handover", "{\"workers\":[],\"tasks\":[" +
					      entry("13700") + "," +
					      entry("8000") + "]}");
	Owner o(&w, "n1");

	o.start_renewals();
	EXPECT_TRUE(never([&] { return w.running() > 0; }, 5000));
	EXPECT_TRUE(eventually([&] { return w.running() > 0; }, 2000));
}

// Guards against a wait beyond 6 s that the next owner ends at once.
TEST_F(Scheduler, NextOwnerWaitsOnWhileJobsArrive)
{
	FakeWorker *a = w.add_worker("a", "p", 1000);
	std::unique_ptr<Owner> o(new Owner(&w, "n1"));

	o->start_renewals();
	ASSERT_TRUE(restart_is_seen(*o, a));
	a->late_starts = 1;
	w.job(ID, 1, "40000");
	ASSERT_TRUE(eventually([&] { return w.running() == 1; }));
	FakeWorker *b = w.add_worker("b");
	int64_t since = FakeWorker::us();

	w.row("a", "p", 500, "d1", false);
	a->restart();
	for (int i = 0; FakeWorker::us() < since + 10500000; i++) {
		char id[17];

		if (i == 20) {
			EXPECT_EQ(b->running(), 0u);
			o.reset();
			o.reset(new Owner(&w, "n2"));
			o->start_renewals();
			usleep(1200000);
		}
		snprintf(id, sizeof(id), "%016x", (unsigned)i);
		w.job(id, 1, "1", 1, nullptr, "other");
		usleep(400000);
	}
	a->unresponsive = true;
	a->restart();
	w.deliver_late(a);
	EXPECT_EQ(a->running(), 1u);
	EXPECT_EQ(w.twice, 0);
}

// Guards against an earlier owner's run that is started late but not left.
TEST_F(Scheduler, HandoverHasARepeatedStartOfTheOwnerBefore)
{
	FakeWorker *a = w.add_worker("a");
	std::string row;

	a->late_starts = 100000;
	{
		Owner o(&w, "n1");

		o.start_renewals();
		w.job(ID, 1, "20000");
		ASSERT_TRUE(eventually([&] {
			return w.store.get("owner/handover").find(task(0, 0)) !=
			       std::string::npos;
		}));
		row = w.store.get("owner/handover");
	}
	w.store.put("owner/handover", row);
	Owner o(&w, "n2");
	seam_time sent_at = 0;

	o.start_renewals();
	usleep(3000000);
	ASSERT_TRUE(eventually(
		[&] {
			with_worker(o, "a", [&](seam_worker *) {
				auto *t = &scheduler_find_job(o.sched, ID)
						   ->task[0][0];

				sent_at =
					t->run[0].state == SEAM_RUN_UNCONFIRMED &&
							t->run[0].number ==
								t->late_run &&
							t->run[0].sent_at >
								t->late_until -
									START_SEND_MAX -
									LATE_ORDER_MAX +
									SEAM_SEC ?
						t->run[0].sent_at :
						0;
			});
			if (sent_at)
				scheduler_save_handover(o.sched, true);
			return sent_at != 0;
		},
		12000));
	row = w.store.get("owner/handover");
	EXPECT_TRUE(row.find("\"left_ms\":13") != std::string::npos) << row;
}

// Guards against a wait that begins again with the next owner.
TEST_F(Scheduler, WaitAfterAChangeOfTheOwnerCountsFromTheStart)
{
	FakeWorker *a = w.add_worker("a");
	std::string row;

	a->late_starts = 100000;
	{
		Owner o(&w, "n1");

		o.start_renewals();
		w.job(ID, 1, "lasts");
		ASSERT_TRUE(eventually([&] {
			return w.store.get("owner/handover").find(task(0, 0)) !=
			       std::string::npos;
		}));
		row = w.store.get("owner/handover");
	}
	w.store.put("owner/handover", row);
	a->late_starts = 0;
	w.row("a", "p", 500, "d1", false);
	w.add_worker("b");
	// The next owner sees the last renewal of the lost one from now on.
	seam_time lost_at = seam_now(w.clock);
	Owner o(&w, "n2");

	o.start_renewals();
	ASSERT_TRUE(eventually([&] { return w.running() == 1; }, 15000));
	EXPECT_LE((seam_now(w.clock) - lost_at) / SEAM_MSEC, 6500);
}

// A lasting task on worker a, which has restarted within the last seconds and
// then falls silent with its owner; worker b has room.
struct LongLeaseLeft : Scheduler {
	// The users call a task lost that does not run 7 s after the last
	// fault.
	static const int LOST_AFTER_MS = 7000;
	FakeWorker *a = w.add_worker("a");
	std::unique_ptr<Owner> o;

	void take_over(const char *name)
	{
		o.reset(new Owner(&w, name));
		o->start_renewals();
	}
	// Loses the owner; returns when.
	seam_time lose_owner()
	{
		o.reset();
		return seam_now(w.clock);
	}
	void SetUp() override
	{
		take_over("n1");
		a->restart();
		ASSERT_TRUE(restart_is_seen(*o, a));
		w.job(ID, 1, "lasts");
		ASSERT_TRUE(eventually([&] { return a->running() == 1; }));
		w.add_worker("b");
	}
	void expect_run_on_b_after(seam_time lost_at)
	{
		seam_time now = seam_now(w.clock);
		int left = LOST_AFTER_MS - (int)((now - lost_at) / SEAM_MSEC);

		EXPECT_TRUE(eventually(
			[&] { return w.workers["b"]->running() == 1; }, left));
		EXPECT_EQ(w.twice, 0);
	}
};

// Guards against a long lease that counts from the reading of the row.
TEST_F(LongLeaseLeft, TaskDoesNotWaitForTheTakeoverAsWell)
{
	a->unresponsive = true;
	seam_time lost_at = lose_owner();

	take_over("n2");
	expect_run_on_b_after(lost_at);
}

// Guards against a wait for the lease of a worker that is over.
TEST_F(LongLeaseLeft, TaskDoesNotWaitForAWorkerThatIsReplaced)
{
	a->unresponsive = true;
	{
		std::lock_guard<std::mutex> l(a->lock);
		a->runs.clear();
	}
	lose_owner();
	{
		std::lock_guard<std::mutex> l(w.lock);
		snprintf(w.vm[0].worker, SEAM_NAME_SIZE, "b");
	}
	take_over("n2");
	ASSERT_GT(o->sched->long_leases_until,
		  seam_now(w.clock) + 2500 * SEAM_MSEC);
	EXPECT_TRUE(eventually([&] { return w.running() == 1; }, 2000));
}

// Guards against the same by the row of an owner that was killed.
TEST_F(LongLeaseLeft, TaskDoesNotWaitForTheAgeOfTheRow)
{
	const char *row = "owner/handover";

	ASSERT_TRUE(eventually([&] {
		return w.store.get(row).find("\"a\"") != std::string::npos;
	}));
	std::string text = w.store.get(row);
	usleep(2000000);
	a->unresponsive = true;
	seam_time lost_at = lose_owner();

	w.store.put(row, text);
	take_over("n2");
	expect_run_on_b_after(lost_at);
}

// Guards against a wait that begins again with the second owner.
TEST_F(LongLeaseLeft, TaskDoesNotWaitAgainAfterASecondTakeover)
{
	a->unresponsive = true;
	lose_owner();
	take_over("n2");
	usleep(1500000);
	seam_time lost_at = lose_owner();

	take_over("n3");
	expect_run_on_b_after(lost_at);
}

// Guards against a row that a second owner had no time to write again.
TEST_F(LongLeaseLeft, TaskDoesNotWaitAgainAfterAnOwnerWithoutARow)
{
	seam_election second;
	seam_election third;
	seam_err e = SEAM_ERR_INIT;

	seam_election_init(&second, &w.store.base, w.clock, "n2");
	seam_election_init(&third, &w.store.base, w.clock, "n3");
	for (int i = 0; i < 5; i++) {
		seam_election_try_claim(&second, &e);
		seam_election_try_claim(&third, &e);
		usleep(100000);
	}
	a->unresponsive = true;
	lose_owner();
	/* n3 watches the election, but leaves the claim to n2. */
	third.delay_claim = true;
	ASSERT_TRUE(eventually([&] {
		bool claimed = seam_election_try_claim(&second, &e);

		usleep(20000);
		if (!claimed)
			seam_election_try_claim(&third, &e);
		return claimed;
	}));
	third.delay_claim = false;
	seam_time lost_at = seam_now(w.clock);
	EXPECT_FALSE(seam_election_try_claim(&third, &e));
	o.reset(new Owner(&w, "n3", 500, &third));
	o->start_renewals();
	expect_run_on_b_after(lost_at);
}

// A lasting task whose start worker a keeps; a falls silent with the owner.
struct LateStartOnASilentWorker : LongLeaseLeft {
	void SetUp() override
	{
		take_over("n1");
		ASSERT_TRUE(restart_is_seen(*o, a));
		a->late_starts = 1000;
		w.job(ID, 1, "lasts");
		ASSERT_TRUE(eventually([&] {
			return w.store.get("owner/handover").find(task(0, 0)) !=
			       std::string::npos;
		}));
		w.add_worker("b");
		a->unresponsive = true;
	}
};

// Guards against a wait that counts from the start of the next term.
TEST_F(LateStartOnASilentWorker, TaskDoesNotWaitForTheTakeoverAsWell)
{
	seam_time lost_at = lose_owner();

	take_over("n2");
	expect_run_on_b_after(lost_at);
}

// Guards against a wait that begins again with each start of an owner.
TEST_F(LateStartOnASilentWorker, NextOwnerKnowsTheEndOfTheWait)
{
	std::string row = w.store.get("owner/handover");
	size_t at = row.find(task(0, 0));

	seam_time lost_at = lose_owner();
	// The owner had sent starts for 4 s before the one that it has left.
	row.insert(row.find("\"left_ms\"", at), "\"wait_ms\":2000,");
	w.store.put("owner/handover", row);
	take_over("n2");
	EXPECT_TRUE(eventually(
		[&] { return w.workers["b"]->running() == 1; },
		6000 - (int)((seam_now(w.clock) - lost_at) / SEAM_MSEC)));
	EXPECT_EQ(w.twice, 0);
}

// Guards against an end of the wait that no owner writes.
TEST_F(LateStartOnASilentWorker, OwnerLeavesTheEndOfTheWait)
{
	a->unresponsive = false;
	EXPECT_TRUE(eventually([&] {
		return w.store.get("owner/handover").find("\"wait_ms\":") !=
		       std::string::npos;
	}));
}

// Guards against a second run beside one of this node's last term.
TEST_F(Scheduler, OwnerThatClaimsAgainWaitsForItsLeases)
{
	FakeWorker *a = w.add_worker("a");
	seam_election last;

	{
		Owner o(&w, "n1");

		o.start_renewals();
		w.job(ID, 1, "20000");
		ASSERT_TRUE(eventually([&] { return a->running() == 1; }));
		// Leases of the first seconds of the process are waited for.
		usleep(4000000);
		last = o.election;
	}
	a->unresponsive = true;
	w.add_worker("b");
	Owner o(&w, "n1", 500, &last);

	o.start_renewals();
	ASSERT_TRUE(eventually([&] { return a->running() == 0; }));
	EXPECT_TRUE(eventually([&] { return w.running() == 1; }));
	EXPECT_EQ(w.twice, 0);
}
