// Workers that leave, data centres that are out, waves and moves of VMs.
#include "tests/board_fixture.h"

struct BoardVms : Board {
};

// Guards a data centre that is taken out: nothing begins there.
TEST_F(BoardVms, DataCentreOut)
{
	w.add_worker("a", "p", 8000, "d1");
	w.add_worker("b", "p", 8000, "d2");
	w.store.put("op/out/d1", "x");
	eventually([&] { return seam_op_state_is_out(&w.ops, "d1"); });
	Owner o(&w, "n1");
	o.renew();
	w.job(ID, 4, "50");
	EXPECT_TRUE(becomes("completed"));
	EXPECT_EQ((int64_t)w.workers["a"]->next_end, 1);
}

// Guards a worker that leaves: it gets nothing new, and its lasting tasks are
// moved.
TEST_F(BoardVms, DrainingWorker)
{
	w.add_worker("a");
	Owner o(&w, "n1");
	o.renew();
	w.job(ID, 3, "lasts");
	EXPECT_TRUE(eventually([&] { return w.running() == 3; }));
	w.add_worker("b");
	w.row("a", "p", 8000, "d1", true);
	EXPECT_TRUE(eventually([&] { return w.workers["b"]->running() == 3; },
			       6000));
	EXPECT_EQ(w.workers["a"]->running(), 0u);
}

// Guards the availability budget of a serving job against maintenance: only so
// many of its tasks are away at the same time.
TEST_F(BoardVms, MaintenanceKeepsTheBudget)
{
	size_t least = 4;

	for (const char *id : {"a", "b", "c", "d", "e", "f"})
		w.add_worker(id);
	Owner o(&w, "n1");
	o.renew();
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

// Guards the availability budget: a stop before maintenance that was slow ended
// its task after another one of the step had been taken off a draining worker.
TEST_F(BoardVms, DrainWaitsForAStopThatIsUnderWay)
{
	for (const char *id : {"a", "b", "c", "d", "e"})
		w.add_worker(id);
	Owner o(&w, "n1");
	o.renew();
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

// Guards against a second owner that orders a VM so soon after the first.
TEST_F(BoardVms, NextOwnerLeavesOrderedVmsAlone)
{
	w.add_worker("a");
	w.store.put("op/wave/1", "1 1 vm-a");
	{
		Owner o(&w, "n1");

		o.renew();
		EXPECT_TRUE(eventually([&] {
			std::lock_guard<std::mutex> l(w.lock);
			return w.orders.size() == 1;
		}));
	}
	EXPECT_NE(w.store.get("vm/orders").find("vm-a"), std::string::npos);
	EXPECT_NE(w.store.get("wave/1").find("vm-a"), std::string::npos);
}

// Guards against a second wave that is said to be done by what the first did.
TEST_F(BoardVms, EachWaveMaintainsItsVms)
{
	auto orders = [&] {
		std::lock_guard<std::mutex> l(w.lock);
		return w.orders.size();
	};

	w.add_worker("a");
	w.store.put("op/wave/1", "1 1 vm-a");
	Owner o(&w, "n1");
	o.renew();
	EXPECT_TRUE(eventually(
		[&] { return w.store.get("status/wave/1") == "completed"; }));
	EXPECT_EQ(orders(), 1u);
	w.store.put("op/wave/2", "2 1 vm-a");
	EXPECT_TRUE(eventually(
		[&] { return w.store.get("status/wave/2") == "completed"; }));
	EXPECT_EQ(orders(), 2u);
}

// Guards the availability budget: a task on a worker that does not answer is
// away, whatever it was when it was listed last.
TEST_F(BoardVms, BudgetCountsSilentWorkers)
{
	for (const char *id : {"a", "b", "c"})
		w.add_worker(id);
	Owner o(&w, "n1");
	o.renew();
	w.job(ID, 3, "lasts", 1, [](seam_step *s) {
		s->per_worker = 1;
		s->may_miss = 1;
	});
	EXPECT_TRUE(eventually([&] { return w.running() == 3; }));
	usleep(200000);
	w.workers["a"]->silent = true;
	usleep(300000);
	w.store.put("op/wave/1", "1 3 vm-b,vm-c");
	usleep(1500000);
	EXPECT_EQ(w.workers["b"]->running(), 1u);
	EXPECT_EQ(w.workers["c"]->running(), 1u);
}

// Guards jobs of a pool that has no VM at all: it was not planned for.
TEST_F(BoardVms, PoolWithoutVmsGetsOne)
{
	w.config(0, true);
	eventually([&] { return w.version_in_force() == 2; });
	for (const char *id : {"a", "b", "c", "d", "e"})
		w.add_worker(id);
	Owner o(&w, "n1");
	o.renew();
	w.job(ID, 1, "50", 1, nullptr, "other");
	EXPECT_TRUE(eventually([&] {
		std::lock_guard<std::mutex> l(w.lock);
		return !w.orders.empty() &&
		       w.orders[0].find(" other") != std::string::npos;
	}));
}

// Guards tasks over a takeover: a worker that the new owner has not heard yet
// is not empty, so that its VM is not maintained or moved under them.
TEST_F(BoardVms, UnheardWorkerIsNotEmpty)
{
	FakeWorker *a = w.add_worker("a");
	{
		Owner o(&w, "n1");

		o.renew();
		w.job(ID, 2, "lasts");
		EXPECT_TRUE(eventually([&] { return w.running() == 2; }));
	}
	a->silent = true;
	w.store.put("op/wave/1", "1 1 vm-a");
	Owner o(&w, "n2");
	o.renew();
	usleep(1500000);
	EXPECT_TRUE(w.orders.empty());
}
