// Leaving workers, data centres taken out of service, waves and moves of VMs.
#include "tests/failing_inventory.h"
#include "tests/scheduler_fixture.h"

using SchedulerVms = Scheduler;

// A VM service that refuses or loses orders, or does not list the VMs.
struct FailingVms : Scheduler {
	void SetUp() override
	{
		order_outcome = SEAM_VM_DONE;
		refused_orders = 0;
		list_fails = false;
		w.vms.ops = &failing_inventory_ops;
	}
	bool is_leaving(Owner &o, const char *id)
	{
		return worker_becomes(o, id, [](seam_worker *x) {
			return seam_now(x->sched->clock) < x->leaving_until;
		});
	}
	// Expects that a new lasting task runs before the users call it lost.
	void expect_lasting_task_runs()
	{
		w.job(ID, 1, "lasts");
		EXPECT_TRUE(eventually([&] { return w.running() == 1; }, 7000));
	}
};

// Guards against a pool whose workers are all out of use because the VM service
// refuses to maintain them.
TEST_F(FailingVms, RefusedMaintenanceKeepsNoLastingTask)
{
	order_outcome = SEAM_VM_BUSY;
	for (const char *id : {"a", "b"})
		w.add_worker(id);
	Owner o(&w, "n1");
	o.start_renewals();
	w.store.put("op/wave/1", "1 1 vm-a,vm-b");
	ASSERT_TRUE(eventually([&] { return refused_orders >= 4; }));
	expect_lasting_task_runs();
}

// Guards against the same where the orders get no answer.
TEST_F(FailingVms, UnansweredMaintenanceKeepsNoLastingTask)
{
	order_outcome = -1;
	for (const char *id : {"a", "b"})
		w.add_worker(id);
	Owner o(&w, "n1");
	o.start_renewals();
	w.store.put("op/wave/1", "1 1 vm-a,vm-b");
	ASSERT_TRUE(eventually([&] {
		return w.store.get("vm/orders").find("vm-") !=
		       std::string::npos;
	}));
	expect_lasting_task_runs();
}

// Guards against a wave that keeps all workers out of use while it is refused.
TEST_F(FailingVms, RefusedMaintenanceOfAllWorkersKeepsNoLastingTask)
{
	order_outcome = SEAM_VM_BUSY;
	for (const char *id : {"a", "b"})
		w.add_worker(id);
	Owner o(&w, "n1");
	o.start_renewals();
	w.store.put("op/wave/1", "1 2 vm-a,vm-b");
	ASSERT_TRUE(eventually([&] { return refused_orders >= 4; }));
	// 13 s before its end the wave takes both at once.
	usleep(9000000);
	expect_lasting_task_runs();
}

// Guards against a worker that stays out of use when its VM is no longer
// listed.
TEST_F(FailingVms, UnlistedVmKeepsNoLastingTask)
{
	order_outcome = -1;
	w.add_worker("a");
	Owner o(&w, "n1");
	o.start_renewals();
	w.store.put("op/wave/1", "1 1 vm-a");
	ASSERT_TRUE(is_leaving(o, "a"));
	{
		std::lock_guard<std::mutex> l(w.lock);
		w.vm.clear();
	}
	expect_lasting_task_runs();
}

// Guards against a worker that stays out of use while the VM list can't be
// read.
TEST_F(FailingVms, UnreadableVmListKeepsNoLastingTask)
{
	order_outcome = -1;
	w.add_worker("a");
	Owner o(&w, "n1");
	o.start_renewals();
	w.store.put("op/wave/1", "1 1 vm-a");
	ASSERT_TRUE(is_leaving(o, "a"));
	list_fails = true;
	expect_lasting_task_runs();
}

// Guards against starts in a data centre that was taken out of service.
TEST_F(SchedulerVms, DataCentreOut)
{
	w.add_worker("a", "p", 8000, "d1");
	w.add_worker("b", "p", 8000, "d2");
	w.store.put("op/out/d1", "x");
	eventually([&] { return seam_op_state_is_evacuated(&w.ops, "d1"); });
	Owner o(&w, "n1");
	o.start_renewals();
	w.job(ID, 4, "50");
	EXPECT_TRUE(becomes("completed"));
	EXPECT_EQ((int64_t)w.workers["a"]->next_end, 1);
}

// Guards against new tasks on a draining worker, and against long-running tasks
// that are not moved off it.
TEST_F(SchedulerVms, DrainingWorker)
{
	w.add_worker("a");
	Owner o(&w, "n1");
	o.start_renewals();
	w.job(ID, 3, "lasts");
	EXPECT_TRUE(eventually([&] { return w.running() == 3; }));
	w.add_worker("b");
	w.row("a", "p", 8000, "d1", true);
	EXPECT_TRUE(eventually([&] { return w.workers["b"]->running() == 3; },
			       6000));
	EXPECT_EQ(w.workers["a"]->running(), 0u);
}

// Guards against maintenance that exceeds the availability budget of a serving
// job: only so many of its tasks may be unavailable at a time.
TEST_F(SchedulerVms, MaintenanceKeepsTheBudget)
{
	size_t least = 4;

	for (const char *id : {"a", "b", "c", "d", "e", "f"})
		w.add_worker(id);
	Owner o(&w, "n1");
	o.start_renewals();
	w.job(ID, 4, "lasts", 1, [](seam_step *s) {
		s->per_worker = 1;
		s->may_miss = 1;
		s->target_ms = 500;
	});
	EXPECT_TRUE(eventually([&] { return w.running() == 4; }));
	w.store.put("op/wave/1", "1 6 vm-a,vm-b,vm-c,vm-d,vm-e,vm-f");
	EXPECT_TRUE(eventually(
		[&] {
			least = std::min(least, w.running());
			return w.store.get("status/wave/1") == "completed";
		},
		20000));
	EXPECT_GE(least, 3u);
}

// Guards against an exceeded availability budget: a slow stop before
// maintenance ended its task after another task of the step had been evicted
// from a draining worker.
TEST_F(SchedulerVms, DrainWaitsForAStopThatIsUnderWay)
{
	for (const char *id : {"a", "b", "c", "d", "e"})
		w.add_worker(id);
	Owner o(&w, "n1");
	o.start_renewals();
	w.job(ID, 4, "lasts", 1, [](seam_step *s) {
		s->per_worker = 1;
		s->may_miss = 1;
		s->target_ms = 500;
	});
	EXPECT_TRUE(eventually([&] { return w.running() == 4; }));
	FakeWorker *first = nullptr;
	FakeWorker *second = nullptr;
	for (auto &x : w.workers)
		if (x.second->running())
			(first ? second : first) = x.second;
	first->stop_ms = 700;
	w.store.put("op/wave/1", "1 1 vm-" + first->id);
	EXPECT_TRUE(eventually([&] { return first->stops > 0; }));
	w.row(second->id, "p", 8000, "d1", true);
	EXPECT_TRUE(eventually([&] { return second->running() == 0; }));
	EXPECT_EQ(first->running(), 0u);
}

// Guards against an exceeded availability budget: a stop without an answer was
// repeated after other tasks of the step had become unavailable.
TEST_F(SchedulerVms, RepeatedStopKeepsTheBudget)
{
	for (const char *id : {"a", "b", "c", "d", "e"})
		w.add_worker(id);
	Owner o(&w, "n1");
	o.start_renewals();
	w.job(ID, 4, "lasts", 1, [](seam_step *s) {
		s->per_worker = 1;
		s->may_miss = 1;
		s->target_ms = 500;
	});
	ASSERT_TRUE(eventually([&] { return w.running() == 4; }));
	FakeWorker *first = nullptr;
	FakeWorker *second = nullptr;
	for (auto &x : w.workers)
		if (x.second->running())
			(first ? second : first) = x.second;
	first->lose_stops = 1000000;
	w.store.put("op/wave/1", "1 1 vm-" + first->id);
	ASSERT_TRUE(eventually([&] { return first->stops > 0; }));
	second->unresponsive = true;
	// The node repeats a stop for up to 1.1 s.
	usleep(2000000);
	first->lose_stops = 0;
	usleep(800000);
	EXPECT_EQ(first->running(), 1u);
	second->unresponsive = false;
	EXPECT_TRUE(eventually(
		[&] { return w.store.get("status/wave/1") == "completed"; },
		20000));
}

// Guards against an exceeded availability budget: a task on a draining worker
// that waited for a stop counted as available when another task was evicted.
TEST_F(SchedulerVms, BudgetCountsTasksOnDrainingWorkers)
{
	std::vector<FakeWorker *> busy;

	for (const char *id : {"a", "b", "c", "d", "e", "f", "g"})
		w.add_worker(id);
	Owner o(&w, "n1");
	o.start_renewals();
	w.job(ID, 4, "lasts", 1, [](seam_step *s) {
		s->per_worker = 1;
		s->may_miss = 2;
		s->target_ms = 500;
	});
	ASSERT_TRUE(eventually([&] { return w.running() == 4; }));
	for (auto &x : w.workers)
		if (x.second->running())
			busy.push_back(x.second);
	busy[0]->lose_stops = 1000000;
	w.store.put("op/wave/1", "1 2 vm-" + busy[0]->id);
	ASSERT_TRUE(eventually([&] { return busy[0]->stops > 0; }));
	w.row(busy[1]->id, "p", 8000, "d1", true);
	// Four VMs are so many that two are maintained at once.
	w.store.put("op/wave/1", "1 2 vm-" + busy[0]->id + ",vm-" +
					 busy[1]->id + ",vm-" + busy[2]->id +
					 ",vm-" + busy[3]->id);
	ASSERT_TRUE(eventually(
		[&] { return busy[2]->stops + busy[3]->stops > 0; }, 10000));
	EXPECT_EQ(busy[1]->running(), 0u);
}

// Guards against an exceeded availability budget after a takeover: the next
// owner evicted a task while a stop of the owner before was being carried out.
TEST_F(SchedulerVms, NextOwnerWaitsForStopsThatAreUnderWay)
{
	std::vector<FakeWorker *> busy;
	std::string stopped;

	for (const char *id : {"a", "b", "c", "d", "e"})
		w.add_worker(id);
	{
		Owner o(&w, "n1");

		o.start_renewals();
		w.job(ID, 4, "lasts", 1, [](seam_step *s) {
			s->per_worker = 1;
			s->may_miss = 1;
			s->target_ms = 500;
		});
		ASSERT_TRUE(eventually([&] { return w.running() == 4; }));
		for (auto &x : w.workers)
			if (x.second->running())
				busy.push_back(x.second);
		{
			std::lock_guard<std::mutex> l(busy[0]->lock);
			stopped = busy[0]->runs[0].task;
		}
		// The users' limit for a stop.
		busy[0]->stopping_ms = 900;
		w.store.put("op/wave/1", "1 1 vm-" + busy[0]->id);
		ASSERT_TRUE(eventually([&] { return busy[0]->stops > 0; }));
	}
	w.store.put("op/wave/1", "1 1 vm-" + busy[1]->id);
	// The same node claims a new term at once.
	Owner o(&w, "n1");
	o.start_renewals();
	ASSERT_TRUE(eventually([&] { return busy[1]->stops > 0; }, 10000));
	EXPECT_EQ(w.started(stopped), 2);
}

// Guards against a new owner that orders a VM too soon after the previous one.
TEST_F(SchedulerVms, NextOwnerLeavesOrderedVmsAlone)
{
	w.add_worker("a");
	w.store.put("op/wave/1", "1 1 vm-a");
	{
		Owner o(&w, "n1");

		o.start_renewals();
		EXPECT_TRUE(eventually([&] {
			std::lock_guard<std::mutex> l(w.lock);
			return w.orders.size() == 1;
		}));
	}
	EXPECT_NE(w.store.get("vm/orders").find("vm-a"), std::string::npos);
	EXPECT_NE(w.store.get("wave/1").find("vm-a"), std::string::npos);
}

// Guards against a second wave that counts VMs maintained by the first as done.
TEST_F(SchedulerVms, EachWaveMaintainsItsVms)
{
	auto orders = [&] {
		std::lock_guard<std::mutex> l(w.lock);
		return w.orders.size();
	};

	w.add_worker("a");
	w.store.put("op/wave/1", "1 1 vm-a");
	Owner o(&w, "n1");
	o.start_renewals();
	EXPECT_TRUE(eventually(
		[&] { return w.store.get("status/wave/1") == "completed"; }));
	EXPECT_EQ(orders(), 1u);
	w.store.put("op/wave/2", "2 1 vm-a");
	EXPECT_TRUE(eventually(
		[&] { return w.store.get("status/wave/2") == "completed"; }));
	EXPECT_EQ(orders(), 2u);
}

// Guards against an exceeded availability budget: a task on a worker that does
// not answer counts as unavailable, even if the last listing contains it.
TEST_F(SchedulerVms, BudgetCountsSilentWorkers)
{
	for (const char *id : {"a", "b", "c"})
		w.add_worker(id);
	Owner o(&w, "n1");
	o.start_renewals();
	w.job(ID, 3, "lasts", 1, [](seam_step *s) {
		s->per_worker = 1;
		s->may_miss = 1;
	});
	EXPECT_TRUE(eventually([&] { return w.running() == 3; }));
	usleep(200000);
	w.workers["a"]->unresponsive = true;
	usleep(300000);
	w.store.put("op/wave/1", "1 3 vm-b,vm-c");
	usleep(1500000);
	EXPECT_EQ(w.workers["b"]->running(), 1u);
	EXPECT_EQ(w.workers["c"]->running(), 1u);
}

// Guards against a pool without any VM that is left out of the plan, so that
// its jobs never run.
TEST_F(SchedulerVms, PoolWithoutVmsGetsOne)
{
	w.config(0, true);
	eventually([&] { return w.version_in_force() == 2; });
	for (const char *id : {"a", "b", "c", "d", "e"})
		w.add_worker(id);
	Owner o(&w, "n1");
	o.start_renewals();
	w.job(ID, 1, "50", 1, nullptr, "other");
	EXPECT_TRUE(eventually([&] {
		std::lock_guard<std::mutex> l(w.lock);
		return !w.orders.empty() &&
		       w.orders[0].find(" other") != std::string::npos;
	}));
}

// Guards against lost tasks after a takeover: a worker that has not answered
// the new owner yet counts as not empty, so its VM is neither maintained nor
// moved.
TEST_F(SchedulerVms, UncontactedWorkerIsNotEmpty)
{
	FakeWorker *a = w.add_worker("a");
	{
		Owner o(&w, "n1");

		o.start_renewals();
		w.job(ID, 2, "lasts");
		EXPECT_TRUE(eventually([&] { return w.running() == 2; }));
	}
	a->unresponsive = true;
	w.store.put("op/wave/1", "1 1 vm-a");
	Owner o(&w, "n2");
	o.start_renewals();
	usleep(1500000);
	EXPECT_TRUE(w.orders.empty());
}

// Guards against maintenance that ends a task: a worker restarted and carried
// out a late start, and its VM counted as empty.
TEST_F(SchedulerVms, VmWithALateStartIsNotEmpty)
{
	FakeWorker *a = w.add_worker("a");
	Owner o(&w, "n1");
	o.start_renewals();
	ASSERT_TRUE(restart_is_seen(o, a));
	a->late_starts = START_ATTEMPTS;
	w.job(ID, 1, "lasts");
	ASSERT_TRUE(eventually([&] {
		std::lock_guard<std::mutex> l(a->lock);
		return a->late.size() == (size_t)START_ATTEMPTS;
	}));
	w.row("a", "p", 500, "d1", false);
	FakeWorker *b = add_usable(o, "b");
	ASSERT_TRUE(eventually([&] { return b->running() == 1; }));
	a->restart();
	w.deliver_late(a);
	ASSERT_EQ(a->running(), 1u);
	a->unresponsive = true;
	w.row("a", "p", 500, "d1", false);
	w.store.put("op/wave/1", "1 1 vm-a");
	usleep(1500000);
	{
		std::lock_guard<std::mutex> l(w.lock);
		EXPECT_TRUE(w.orders.empty());
	}
	a->unresponsive = false;
	EXPECT_TRUE(eventually(
		[&] { return w.store.get("status/wave/1") == "completed"; },
		15000));
}

// Guards against a null in the ordered VMs that ends each new owner.
TEST_F(SchedulerVms, OddOrderedVmsAreIgnored)
{
	w.add_worker("a");
	w.store.put("vm/orders", "[null,7,{},\"vm-x\"]");
	Owner o(&w, "n1");
	o.start_renewals();
	ASSERT_NE(o.sched, nullptr);
	w.store.put("op/wave/1", "1 1 vm-a");
	EXPECT_TRUE(eventually([&] {
		return w.store.get("wave/1").find("vm-a") != std::string::npos;
	}));
}

// Guards against a damaged list of maintained VMs that ends the owner.
TEST_F(SchedulerVms, OddMaintainedVmsAreIgnored)
{
	for (const char *id : {"a", "b"})
		w.add_worker(id);
	w.store.put("wave/1", "{\"done\":[null,7,{},\"vm-a\"]}");
	w.store.put("wave/2", "{\"done\":\"vm-a\"}");
	w.store.put("op/wave/1", "1 2 vm-a,vm-b");
	Owner o(&w, "n1");
	o.start_renewals();
	EXPECT_TRUE(eventually(
		[&] { return w.store.get("status/wave/1") == "completed"; }));
	{
		std::lock_guard<std::mutex> l(w.lock);
		ASSERT_EQ(w.orders.size(), 1u);
		EXPECT_NE(w.orders[0].find("vm-b"), std::string::npos);
	}
	w.store.put("op/wave/2", "2 1 vm-a");
	EXPECT_TRUE(eventually(
		[&] { return w.store.get("status/wave/2") == "completed"; }));
}

static int maintain_and_restart(seam_inventory *i, const char *vm, int64_t wave,
				uint64_t token, seam_vm_order_outcome *outcome,
				seam_time deadline, seam_err *e)
{
	the_world->workers[vm + strlen("vm-")]->restart();
	return fake_maintain(i, vm, wave, token, outcome, deadline, e);
}

static const seam_inventory_ops restarting_inventory_ops = {
	fake_list, fake_move, maintain_and_restart, fake_inventory_close};

// Guards against a task that runs again as its end was lost with its VM.
TEST_F(SchedulerVms, VmWithAnEndThatIsNotStoredIsNotEmpty)
{
	w.vms.ops = &restarting_inventory_ops;
	FakeWorker *a = w.add_worker("a");
	w.add_worker("b");
	{
		Owner o(&w, "n1");

		o.start_renewals();
		w.job(ID, 1, "300");
		ASSERT_TRUE(eventually([&] { return w.running() == 1; }));
		if (!a->running())
			a = w.workers["b"];
		w.store.hold_rows("job/");
		w.store.put("op/wave/1", "1 1 vm-" + a->id);
		usleep(1500000);
		EXPECT_EQ(a->running(), 0u);
		std::lock_guard<std::mutex> l(w.lock);
		EXPECT_TRUE(w.orders.empty());
	}
	w.store.hold_rows("");
	Owner o(&w, "n2");
	o.start_renewals();
	EXPECT_TRUE(becomes("completed"));
	EXPECT_EQ(w.started(task(0, 0)), 1);
	EXPECT_TRUE(eventually(
		[&] { return w.store.get("status/wave/1") == "completed"; },
		15000));
}

// Guards against a VM that is moved to standby with an end that is not stored.
TEST_F(SchedulerVms, VmWithAnEndThatIsNotStoredIsNotMoved)
{
	auto moved = [&](FakeWorker *x) {
		std::lock_guard<std::mutex> l(w.lock);
		return std::count_if(w.orders.begin(), w.orders.end(),
				     [&](const std::string &s) {
					     return s.find(" vm-" + x->id +
							   " ") !=
						    std::string::npos;
				     });
	};

	w.config(0, true);
	eventually([&] { return w.version_in_force() == 2; });
	FakeWorker *a = w.add_worker("a");
	Owner o(&w, "n1");
	o.start_renewals();
	w.job(ID, 1, "300");
	ASSERT_TRUE(eventually([&] { return a->running() == 1; }));
	w.store.hold_rows("job/");
	ASSERT_TRUE(eventually([&] { return a->running() == 0; }));
	for (const char *id : {"b", "c", "d", "e"})
		w.add_worker(id);
	usleep(1500000);
	EXPECT_EQ(moved(a), 0);
}

// Guards against an order that the next owner repeats, as its row came late.
TEST_F(SchedulerVms, VmOfASlowWriteIsKeptForTheLeaseOfItsOrder)
{
	seam_time ordered_at;
	seam_time kept_from = 0;

	w.store.set_lateness([](const seam_commit *c) -> seam_time {
		if (!strcmp(c->write[0].key, "vm/orders"))
			usleep(1100000); // the term outlasts it
		return 0;
	});
	w.add_worker("a");
	Owner o(&w, "n1");
	o.start_renewals();
	w.store.put("op/wave/1", "1 1 vm-a");
	ASSERT_TRUE(eventually([&] {
		std::lock_guard<std::mutex> l(w.lock);

		return !w.orders.empty();
	}));
	ordered_at = seam_now(w.clock);
	pthread_mutex_lock(&o.sched->lock);
	for (guint i = 0; i < o.sched->recent_vm_orders->len; i++)
		kept_from = std::max(kept_from,
				     g_array_index(o.sched->recent_vm_orders,
						   seam_recent_vm_order, i)
					     .at);
	pthread_mutex_unlock(&o.sched->lock);
	EXPECT_GE(kept_from, ordered_at);
}

// A worker that is full, so that further jobs wait.
struct WaitingJobs : Scheduler {
	static constexpr int FIRST = 4;
	static constexpr int MORE = 20;
	int submitted = 0;

	void submit(int jobs)
	{
		for (int i = 0; i < jobs; i++) {
			char id[20];

			snprintf(id, sizeof(id), "%016x", 0x1000 + submitted++);
			w.job(id, 1, "60000");
		}
	}
	void cancel_latest()
	{
		char key[SEAM_KEY_MAX];
		char id[20];

		snprintf(id, sizeof(id), "%016x", 0x1000 + submitted - 1);
		seam_jobrow_key(id, key);
		std::string text = w.store.get(key);
		size_t at = text.find("\"state\":\"queued\"");

		ASSERT_NE(at, std::string::npos) << text;
		w.store.put(key,
			    text.replace(at, 16, "\"state\":\"cancelled\""));
	}
	bool row_tells(int jobs)
	{
		return eventually([&] { return row() == text(jobs); });
	}
	std::string row()
	{
		return w.store.get("board/pending");
	}
	static std::string text(int jobs)
	{
		return jobs ? "{\"q\":" + std::to_string(jobs) + "}" : "{}";
	}
	// Commits of the counts that tell @jobs come late.
	void make_late(int jobs)
	{
		w.store.set_lateness([=](const seam_commit *c) -> seam_time {
			const seam_write *p = &c->write[0];

			return !strcmp(p->key, "board/pending") &&
					       std::string(p->data, p->len) ==
						       text(jobs) ?
				       SEAM_NEVER :
				       0;
		});
	}
	void fill()
	{
		w.add_worker("a", "p", 1000);
		w.job(ID, 1, "60000");
	}
};

// Guards against a wrong count of waiting jobs that stays while none comes.
TEST_F(WaitingJobs, LateWriteDoesNotSetTheCountBack)
{
	fill();
	Owner o(&w, "n1");

	o.start_renewals();
	ASSERT_TRUE(eventually([&] { return w.running() == 1; }));
	ASSERT_TRUE(row_tells(0));
	make_late(FIRST);
	submit(FIRST);
	ASSERT_TRUE(eventually([&] { return w.store.kept_late() > 0; }));
	submit(MORE);
	ASSERT_TRUE(row_tells(FIRST + MORE));
	w.store.perform_late();
	usleep(1000000);
	EXPECT_EQ(row(), text(FIRST + MORE));
	EXPECT_TRUE(w.store.set_back.empty());
}

// Guards against the same where the count is again what was written before.
TEST_F(WaitingJobs, LateWriteDoesNotReplaceACountThatCameBack)
{
	fill();
	Owner o(&w, "n1");

	o.start_renewals();
	ASSERT_TRUE(eventually([&] { return w.running() == 1; }));
	ASSERT_TRUE(row_tells(0));
	submit(MORE);
	ASSERT_TRUE(row_tells(MORE));
	make_late(MORE + 1);
	submit(1);
	ASSERT_TRUE(eventually([&] { return w.store.kept_late() > 0; }));
	cancel_latest();
	usleep(1000000);
	w.store.perform_late();
	usleep(1000000);
	EXPECT_EQ(row(), text(MORE));
}
