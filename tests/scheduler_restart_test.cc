// Workers that start again under their id, late orders, and leases.
#include "tests/scheduler_fixture.h"

#include "process/scheduler_impl.h"

// The row in which an owner leaves what the next one has to know.
static const char *const HANDOVER = "owner/handover";

struct Restart : Scheduler {
	// Worker a keeps the starts of a task. While a poll of it waits it
	// starts again, runs the task late, and the owner sends the next start.
	FakeWorker *restart_before_the_next_start(Owner &o)
	{
		FakeWorker *a = w.add_worker("a");

		o.start_renewals();
		EXPECT_TRUE(restart_is_seen(o, a));
		a->late_starts = START_ATTEMPTS;
		w.job(ID, 1, "20000");
		EXPECT_TRUE(eventually([&] {
			std::lock_guard<std::mutex> l(a->lock);
			return a->late.size() == (size_t)START_ATTEMPTS;
		}));
		w.row("a", "p", 500, "d1", false); // no room for the task
		usleep(300000);
		a->wait_ms = 1000;
		usleep(300000);
		a->restart();
		w.deliver_late(a);
		w.store.put("workers/a", "p 8000 d1 1 0");
		return a;
	}
	bool handover_has(const std::string &text)
	{
		return w.store.get(HANDOVER).find(text) != std::string::npos;
	}
	// Loses an owner whose start of a task was kept by worker a. One that
	// is killed leaves the row that it wrote before.
	void lose_owner_with_late_start(bool killed)
	{
		FakeWorker *a = w.add_worker("a");
		std::string row;
		{
			Owner o(&w, "n1");

			o.start_renewals();
			a->late_starts = 1000;
			w.job(ID, 1, "20000");
			ASSERT_TRUE(eventually([&] {
				return !killed || handover_has(task(0, 0));
			}));
			ASSERT_TRUE(eventually([&] {
				std::lock_guard<std::mutex> l(a->lock);
				return a->late.size() >= 1;
			}));
			row = w.store.get(HANDOVER);
		}
		if (killed)
			w.store.put(HANDOVER, row);
		a->late_starts = 0;
		a->late.resize(1);
		ASSERT_EQ(w.running(), 0u);
	}
	// Restarts worker a, which then runs the start late, when the next
	// owner has started the task; worker b comes first for it.
	void expect_one_run_after_late_start()
	{
		FakeWorker *a = w.workers["a"];

		w.add_worker("b");
		w.row("b", "p", 4000, "d1", false);
		Owner o(&w, "n2");

		o.start_renewals();
		EXPECT_TRUE(eventually([&] { return w.running() == 1; }));
		a->unresponsive = true;
		a->restart();
		w.deliver_late(a);
		a->unresponsive = false;
		EXPECT_EQ(w.twice, 0);
	}
	bool task_runs_again(int ms = 15000)
	{
		return eventually([&] { return w.started(task(0, 0)) >= 2; },
				  ms);
	}
};

// Guards against a late start beside the run that was placed since.
TEST_F(Restart, LateStartForAnEarlierProcessIsRefused)
{
	FakeWorker *a = w.add_worker("a");
	Owner o(&w, "n1");

	o.start_renewals();
	a->late_starts = 1;
	w.job(ID, 1, "20000");
	ASSERT_TRUE(eventually([&] { return w.running() == 1; }));
	add_usable(o, "b");
	a->restart();
	EXPECT_TRUE(task_runs_again());
	w.deliver_late(a);
	usleep(300000);
	EXPECT_EQ(w.twice, 0);
	EXPECT_EQ(w.running(), 1u);
}

// Guards against a run that is placed again beside a late start.
TEST_F(Restart, LateStartBeforeTheFirstHoldIsAdopted)
{
	FakeWorker *a = w.add_worker("a");
	Owner o(&w, "n1");

	o.start_renewals();
	a->late_starts = 1;
	w.job(ID, 1, "20000");
	ASSERT_TRUE(eventually([&] { return w.running() == 1; }));
	add_usable(o, "b");
	usleep(1700000);
	a->unresponsive = true;
	a->restart();
	w.row("a", "p", 8000, "d1", false);
	usleep(300000);
	w.deliver_late(a);
	usleep(300000);
	a->unresponsive = false;
	ASSERT_TRUE(restart_is_seen(o, a));
	usleep(300000);
	EXPECT_EQ(w.twice, 0);
	EXPECT_EQ(w.running(), 1u);
}

// Guards against a late start that the process after the next one runs.
TEST_F(Restart, LateStartAfterASecondRestartIsNotBesideAnotherRun)
{
	FakeWorker *a = w.add_worker("a");
	Owner o(&w, "n1");

	o.start_renewals();
	a->late_starts = 1;
	w.job(ID, 1, "20000");
	ASSERT_TRUE(eventually([&] { return w.running() == 1; }));
	add_usable(o, "b");
	w.row("b", "p", 4000, "d1", false); // the fuller worker comes first
	usleep(300000);
	a->restart();
	EXPECT_TRUE(task_runs_again());
	usleep(500000);
	a->unresponsive = true;
	a->restart();
	w.deliver_late(a);
	a->unresponsive = false;
	usleep(1000000);
	EXPECT_EQ(w.twice, 0);
	EXPECT_EQ(w.running(), 1u);
}

// Guards against a second run elsewhere beside a start that was stopped.
TEST_F(Restart, StoppedStartIsTriedAgainOnItsWorkerOnly)
{
	FakeWorker *a = w.add_worker("a");
	Owner o(&w, "n1");

	o.start_renewals();
	ASSERT_TRUE(restart_is_seen(o, a));
	a->late_starts = 1000;
	w.job(ID, 1, "20000");
	ASSERT_TRUE(eventually([&] {
		std::lock_guard<std::mutex> l(a->lock);
		return a->late.size() >= (size_t)START_ATTEMPTS;
	}));
	add_usable(o, "b");
	w.row("b", "p", 4000, "d1", false);
	ASSERT_TRUE(worker_becomes(o, "b", [](seam_worker *x) {
		return x->info.capacity.cpu == 4000;
	}));
	a->late_starts = 0;
	EXPECT_TRUE(eventually([&] { return w.running() == 1; }));
	EXPECT_EQ(a->running(), 1u);
	{
		std::lock_guard<std::mutex> l(a->lock);
		a->late.resize(
			START_ATTEMPTS); // the attempts of the first start
	}
	a->unresponsive = true;
	a->restart();
	w.deliver_late(a);
	a->unresponsive = false;
	usleep(1000000);
	EXPECT_EQ(w.twice, 0);
}

// Guards against a run elsewhere as soon as the lease of a lost process is
// over.
TEST_F(Restart, LateStartAfterALongRestartIsNotBesideAnotherRun)
{
	FakeWorker *a = w.add_worker("a");
	Owner o(&w, "n1");

	o.start_renewals();
	ASSERT_TRUE(restart_is_seen(o, a));
	a->late_starts = 1;
	w.job(ID, 1, "20000");
	ASSERT_TRUE(eventually([&] { return a->running() == 1; }));
	add_usable(o, "b");
	usleep(2500000);
	a->restart_ms = 5000;
	a->restart();
	ASSERT_TRUE(eventually([&] { return a->is_up(); }, 6000));
	w.deliver_late(a);
	usleep(1000000);
	EXPECT_EQ(w.twice, 0);
	EXPECT_EQ(w.running(), 1u);
}

// Guards against two runs on a process that started while a poll waited.
TEST_F(Restart, StartAfterARestartBetweenTwoPollsIsNotBesideALateStart)
{
	Owner o(&w, "n1");
	restart_before_the_next_start(o);
	usleep(1500000);
	EXPECT_TRUE(eventually([&] { return w.running() == 1; }));
	EXPECT_EQ(w.twice, 0);
}

// Guards against a run that is stopped for a start that is over.
TEST_F(Restart, LateStartOfARestartedWorkerIsNotStopped)
{
	Owner o(&w, "n1");
	FakeWorker *a = restart_before_the_next_start(o);

	usleep(1500000);
	EXPECT_EQ(a->stops, 0);
	EXPECT_EQ(a->running(), 1u);
}

// Guards against a restart that an older row makes count twice.
TEST_F(Restart, RowOfAnEarlierProcessIsNoRestart)
{
	FakeWorker *a = w.add_worker("a");
	Owner o(&w, "n1");

	o.start_renewals();
	ASSERT_TRUE(restart_is_seen(o, a));
	a->restart();
	ASSERT_TRUE(restart_is_seen(o, a));
	w.job(ID, 1, "20000");
	ASSERT_TRUE(eventually([&] { return w.running() == 1; }));
	add_usable(o, "b");
	usleep(1700000);
	for (int i = 0; i < 10; i++) {
		w.store.put("workers/a", "p 8000 d1 1 0");
		usleep(30000);
		w.row("a", "p", 8000, "d1", false);
		usleep(30000);
	}
	usleep(300000);
	EXPECT_EQ(w.twice, 0);
	EXPECT_EQ(w.started(task(0, 0)), 1);
}

// Guards against a restart that a late answer makes count twice.
TEST_F(Restart, AnswerOfAnEarlierProcessIsNoRestart)
{
	FakeWorker *a = w.add_worker("a");
	Owner o(&w, "n1");
	seam_lane_event first = {};
	seam_lane_event next = {};

	o.start_renewals();
	ASSERT_TRUE(restart_is_seen(o, a));
	first.listing.process_start_ms = a->born;
	next.listing.process_start_ms = a->born + 1;
	next.sent_at = seam_now(w.clock);
	usleep(10000);
	first.sent_at = seam_now(w.clock);
	usleep(10000);
	with_worker(o, "a", [&](seam_worker *x) {
		scheduler_hold_answered(x, &next);
		scheduler_hold_answered(x, &first);
		EXPECT_EQ(x->info.process_start_ms, a->born + 1);
	});
}

// Guards against a second run after an unchanged listing that was not read.
TEST_F(Restart, UnreadListingSettlesNoWorker)
{
	FakeWorker *a = w.add_worker("a");
	{
		Owner o(&w, "n1");

		o.start_renewals();
		w.job(ID, 1, "lasts");
		ASSERT_TRUE(eventually([&] { return w.running() == 1; }));
	}
	a->unresponsive = true;
	w.row("a", "p", 8000, "d1", true);
	w.add_worker("b");
	Owner o(&w, "n2");
	o.start_renewals();
	ASSERT_TRUE(worker_becomes(o, "b", [&](seam_worker *x) {
		return scheduler_worker_usable(x, seam_now(w.clock));
	}));
	with_worker(o, "a", [&](seam_worker *x) {
		seam_lane_event v = {};

		v.unchanged = true;
		v.sent_at = seam_now(w.clock);
		v.listing.process_start_ms = a->born;
		v.listing.clock_ms = a->clock_ms();
		scheduler_hold_answered(x, &v);
		EXPECT_FALSE(x->contacted);
	});
	usleep(500000);
	EXPECT_EQ(w.twice, 0);
	EXPECT_EQ(w.started(task(0, 0)), 1);
}

// Guards against a run that is given up for a listing that was not read.
TEST_F(Restart, UnreadListingRefusesNoStart)
{
	FakeWorker *a = w.add_worker("a");
	Owner o(&w, "n1");

	o.start_renewals();
	w.job(ID, 1, "lasts");
	ASSERT_TRUE(worker_becomes(o, "a", [&](seam_worker *x) {
		return x->task_refs->len && w.running() == 1;
	}));
	with_worker(o, "a", [&](seam_worker *x) {
		seam_time now = seam_now(w.clock);
		seam_job *j = scheduler_find_job(o.sched, ID);
		seam_run_slot *r = &j->task[0][0].run[0];
		const scheduler_run_ref at = {j, 0, 0, r};
		seam_lane_event v = {};

		/* Its start got no answer, and it was not listed. */
		scheduler_run_set_state(o.sched, r, SEAM_RUN_UNCONFIRMED);
		r->listed_at = 0;
		r->clock_known = false;
		r->late_until = now + LATE_ORDER_MAX - 4 * SEAM_SEC;
		r->late_token = x->token;
		/* The worker has changed its lane. */
		x->listing_known = false;
		v.unchanged = true;
		v.sent_at = now;
		v.token = x->token + 1;
		v.listing.process_start_ms = a->born;
		v.listing.clock_ms = a->clock_ms();
		scheduler_hold_answered(x, &v);
		EXPECT_GT(x->lease_end, now);
		EXPECT_GE(scheduler_run_lease_end(x, &at), x->lease_end);
	});
}

// Guards against a lease by the clock of the earlier process.
TEST_F(Restart, LeaseFromAHoldForAnEarlierProcessIsWaitedOut)
{
	FakeWorker *a = w.add_worker("a");
	Owner o(&w, "n1");

	o.start_renewals();
	ASSERT_TRUE(eventually([&] {
		std::lock_guard<std::mutex> l(a->lock);
		return a->lease > 0;
	}));
	a->restart();
	ASSERT_TRUE(restart_is_seen(o, a));
	{
		std::lock_guard<std::mutex> l(a->lock);
		ASSERT_GT(a->lease, 5000);
	}
	w.job(ID, 1, "20000");
	ASSERT_TRUE(eventually([&] { return w.running() == 1; }));
	w.add_worker("b");
	usleep(400000);
	a->unresponsive = true;
	EXPECT_TRUE(task_runs_again());
	EXPECT_EQ(w.twice, 0);
}

// Guards against the same lease from a start, before the restart was seen.
TEST_F(Restart, LeaseFromOrdersForAnEarlierProcessIsWaitedOut)
{
	FakeWorker *a = w.add_worker("a");
	Owner o(&w, "n1");

	o.start_renewals();
	ASSERT_TRUE(eventually([&] {
		std::lock_guard<std::mutex> l(a->lock);
		return a->lease > 0;
	}));
	a->restart();
	w.job(ID, 1, "20000");
	ASSERT_TRUE(eventually([&] { return w.running() == 1; }));
	w.add_worker("b");
	a->unresponsive = true;
	EXPECT_TRUE(task_runs_again());
	EXPECT_EQ(w.twice, 0);
}

// Guards against a run that is held for hours on a worker that is lost.
TEST_F(Restart, ClockOfANewProcessMayShowZero)
{
	FakeWorker *a = w.add_worker("a");
	Owner o(&w, "n1");

	o.start_renewals();
	ASSERT_TRUE(restart_is_seen(o, a));
	with_worker(o, "a", [&](seam_worker *x) {
		seam_time now = seam_now(w.clock);
		seam_lane_event v = {};

		v.listing.process_start_ms = a->born + 1;
		v.sent_at = now;
		scheduler_hold_answered(x, &v);
		v.token = x->token;
		scheduler_hold_answered(x, &v);
		scheduler_new_lease(x, now);
		EXPECT_LE(x->lease_end, now + 7 * SEAM_SEC);
	});
}

// Guards against a second run after a takeover, within a long lease.
TEST_F(Restart, TakeoverWaitsForTheLongestLease)
{
	FakeWorker *a = w.add_worker("a");

	w.add_worker("b");
	w.row("b", "p", 8000, "d1", true);
	{
		Owner o(&w, "n1");

		o.start_renewals();
		ASSERT_TRUE(eventually([&] {
			std::lock_guard<std::mutex> l(a->lock);
			return a->lease > 0;
		}));
		a->restart();
		w.job(ID, 1, "20000");
		ASSERT_TRUE(eventually([&] { return w.running() == 1; }));
		a->unresponsive = true;
	}
	w.row("b", "p", 8000, "d1", false);
	Owner o(&w, "n2");
	o.start_renewals();
	EXPECT_TRUE(task_runs_again());
	EXPECT_EQ(w.twice, 0);
}

// Guards against a lease from a late order after the row was gone.
TEST_F(Restart, WorkerThatIsAddedAgainHasATokenOfItsOwn)
{
	FakeWorker *a = w.add_worker("a");
	Owner o(&w, "n1");
	seam_renewal late = {};

	o.start_renewals();
	ASSERT_TRUE(restart_is_seen(o, a));
	late.token = a->token;
	late.lease_until = 600000;
	a->unresponsive = true;
	w.store.del("workers/a");
	ASSERT_TRUE(eventually(
		[&] {
			bool gone = false;

			with_worker(o, "a", [&](seam_worker *x) { gone = !x; });
			return gone;
		},
		15000));
	a->restart();
	a->unresponsive = false;
	w.row("a", "p", 8000, "d1", false);
	ASSERT_TRUE(restart_is_seen(o, a));
	std::lock_guard<std::mutex> l(a->lock);
	EXPECT_EQ(a->hold(late), SEAM_ORDER_FENCED);
}

// Guards against two runs by a late start of the previous owner.
TEST_F(Restart, LateStartOfThePreviousOwnerIsNotBesideAnotherRun)
{
	FakeWorker *a = w.add_worker("a");
	{
		Owner o(&w, "n1");

		o.start_renewals();
		a->late_starts = START_ATTEMPTS;
		w.job(ID, 1, "20000");
		ASSERT_TRUE(eventually([&] {
			std::lock_guard<std::mutex> l(a->lock);
			return a->late.size() >= 1;
		}));
	}
	w.add_worker("b");
	w.row("b", "p", 4000, "d1", false);
	Owner o(&w, "n2");
	o.start_renewals();
	EXPECT_TRUE(eventually([&] { return w.running() == 1; }, 15000));
	a->unresponsive = true;
	a->restart();
	w.deliver_late(a);
	a->unresponsive = false;
	EXPECT_EQ(w.twice, 0);
}

// Guards against a run elsewhere beside a start that the next owner must know.
TEST_F(Restart, LateStartLeftByTheOwnerIsNotBesideARunElsewhere)
{
	lose_owner_with_late_start(false);
	expect_one_run_after_late_start();
}

// Guards against the same by an owner that was killed.
TEST_F(Restart, LateStartLeftByAKilledOwnerIsNotBesideARunElsewhere)
{
	lose_owner_with_late_start(true);
	expect_one_run_after_late_start();
}

// Guards against a run elsewhere within such a start's lease, and a long wait.
TEST_F(Restart, LateStartLeftOnASilentWorkerWaitsForTheLongestLease)
{
	lose_owner_with_late_start(true);
	w.workers["a"]->unresponsive = true;
	w.add_worker("b");
	Owner o(&w, "n2");

	o.start_renewals();
	EXPECT_TRUE(never([&] { return w.running() == 1; }, 5500));
	EXPECT_TRUE(eventually([&] { return w.running() == 1; }, 1500));
}

// Guards against writes without a change, and entries that are over.
TEST_F(Restart, RowForTheNextOwnerIsEmptyAndUnchangedAfterLongLeases)
{
	w.add_worker("a");
	Owner o(&w, "n1");

	o.start_renewals();
	ASSERT_TRUE(eventually([&] { return handover_has("\"a\""); }));
	ASSERT_TRUE(eventually([&] { return !handover_has("\"a\""); }));
	uint64_t version = w.store.version_of(HANDOVER);
	usleep(1500000);
	EXPECT_EQ(w.store.version_of(HANDOVER), version);
}

// Guards against a term that does not begin, or a task that waits, by odd rows.
TEST_F(Restart, OddRowOfThePreviousOwnerIsNoError)
{
	w.add_worker("a");
	for (const char *text :
	     {"", "broken", "null", "7", "[]", "{}", "{\"workers\":{}}",
	      "{\"workers\":[null,7,{},{\"worker\":7}],\"tasks\":[null,[]]}",
	      "{\"workers\":[{\"worker\":\"x\",\"pool\":\"p\","
	      "\"left_ms\":\"7\"},{\"worker\":\"x\",\"pool\":\"p\","
	      "\"left_ms\":-7}],\"tasks\":[{\"worker\":\"a\",\"task\":"
	      "\"0123456789abcdef.0.9.9\",\"left_ms\":9000},{\"worker\":"
	      "\"a\",\"task\":\"0123456789abcdef\",\"left_ms\":9000}]}"}) {
		w.store.put(HANDOVER, text);
		w.job(ID, 1, "100");
		Owner o(&w, "n1");

		ASSERT_NE(o.sched, nullptr) << text;
		o.start_renewals();
		EXPECT_TRUE(becomes("completed", 3000)) << text;
	}
}

// Guards against a wait without end by a row with times that are too long.
TEST_F(Restart, LongTimesOfThePreviousOwnerAreLimited)
{
	w.add_worker("a");
	w.store.put(HANDOVER, "{\"workers\":[{\"worker\":\"x\",\"pool\":"
			      "\"p\",\"left_ms\":9223372036854775807}],"
			      "\"tasks\":[]}");
	w.job(ID, 1, "100");
	Owner o(&w, "n1");

	o.start_renewals();
	EXPECT_TRUE(never([&] { return w.state(ID) == "completed"; }, 5000));
	EXPECT_TRUE(becomes("completed", 3000));
}

// Guards against a run that is reserved for 18 s on a worker that is lost.
TEST_F(Restart, AnsweredStartDoesNotWaitForLateOrders)
{
	FakeWorker *a = w.add_worker("a");
	Owner o(&w, "n1");

	o.start_renewals();
	ASSERT_TRUE(restart_is_seen(o, a));
	add_usable(o, "b");
	usleep(500000);
	w.job(ID, 1, "60000");
	ASSERT_TRUE(eventually([&] { return w.running() == 1; }));
	FakeWorker *on = a->running() ? a : w.workers["b"];
	with_worker(o, on->id.c_str(), [&](seam_worker *x) {
		seam_worker_info later = x->info;

		on->unresponsive = true;
		later.process_start_ms++;
		scheduler_for_each_run(
			x,
			[](seam_worker *, const scheduler_run_ref *at, void *) {
				at->run->listed_at = 0;
			},
			nullptr);
		EXPECT_TRUE(scheduler_accept_row(x, &later));
		EXPECT_EQ(x->task_refs->len, 1u);
	});
	EXPECT_TRUE(task_runs_again(10000));
	EXPECT_EQ(w.twice, 0);
}

// Guards against a second run that goes on until the task ends.
TEST_F(Restart, SecondRunIsStopped)
{
	FakeWorker *a = w.add_worker("a");
	Owner o(&w, "n1");

	o.start_renewals();
	w.job(ID, 1, "20000");
	ASSERT_TRUE(eventually([&] { return a->running() == 1; }));
	FakeWorker *b = add_usable(o, "b");
	{
		std::lock_guard<std::mutex> l(b->lock);

		ASSERT_EQ(b->begin(task(0, 0), 7, "20000", b->token,
				   b->clock_ms() + 3000),
			  SEAM_ORDER_DONE);
	}
	EXPECT_TRUE(eventually([&] { return b->running() == 0; }, 2000));
	EXPECT_EQ(a->running(), 1u);
	EXPECT_EQ(w.started(task(0, 0)), 1);
}

// Guards against a second run while a draining worker has its lease.
TEST_F(Restart, DrainingWorkerWithoutARowKeepsItsLease)
{
	FakeWorker *a = w.add_worker("a");
	Owner o(&w, "n1");

	o.start_renewals();
	w.job(ID, 1, "20000");
	ASSERT_TRUE(eventually([&] { return w.running() == 1; }));
	w.add_worker("b");
	w.row("a", "p", 8000, "d1", true);
	ASSERT_TRUE(worker_becomes(
		o, "a", [](seam_worker *x) { return x->info.draining; }));
	a->unresponsive = true;
	w.store.del("workers/a");
	EXPECT_TRUE(task_runs_again());
	EXPECT_EQ(w.twice, 0);
}
