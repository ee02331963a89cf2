// VMs that can't take the tasks of their pool, and orders for others.
#include "tests/failing_inventory.h"
#include "tests/scheduler_fixture.h"

// Two workers of the pool of the jobs, and more than another pool needs.
struct VmRoom : Scheduler {
	FakeWorker *a = nullptr;
	FakeWorker *b = nullptr;
	int moves_before = 0; // until all workers are usable

	void SetUp() override
	{
		w.config(0, true);
		eventually([&] { return w.version_in_force() == 2; });
		a = w.add_worker("a");
		b = w.add_worker("b");
		for (const char *id : {"c", "d", "e", "f", "g"})
			w.add_worker(id, "other", 8000, "d2");
	}
	// Moves to the pool of the jobs since all workers are usable.
	int moves()
	{
		std::lock_guard<std::mutex> l(w.lock);

		return (int)std::count_if(w.orders.begin(), w.orders.end(),
					  [&](const std::string &s) {
						  return s.find(" p") !=
							 std::string::npos;
					  }) -
		       moves_before;
	}
	void wait_until_usable(Owner &o)
	{
		for (const char *id : {"a", "b", "c", "d", "e", "f", "g"})
			ASSERT_TRUE(worker_becomes(o, id, [&](seam_worker *x) {
				return scheduler_worker_usable(
					x, seam_now(w.clock));
			}));
		moves_before = moves();
	}
};

// Guards against a task that waits beside VMs that are shunned for failed runs.
TEST_F(VmRoom, ShunnedVmsAreReplaced)
{
	Owner o(&w, "n1");
	o.start_renewals();
	wait_until_usable(o);
	a->fail_all = true;
	b->fail_all = true;
	w.job("1123456789abcdef", 4, "10");
	for (const char *id : {"a", "b"})
		ASSERT_TRUE(worker_becomes(o, id, [&](seam_worker *x) {
			return seam_now(w.clock) < x->shunned_until;
		}));
	w.job(ID, 1, "50");
	EXPECT_TRUE(eventually([&] { return moves() > 0; }, 3000));
}

// Guards against a task that waits beside VMs that refuse each start.
TEST_F(VmRoom, VmsThatRefuseEachStartAreReplaced)
{
	Owner o(&w, "n1");
	o.start_renewals();
	wait_until_usable(o);
	a->no_room = true;
	b->no_room = true;
	w.job(ID, 1, "50");
	EXPECT_TRUE(eventually([&] { return moves() > 0; }, 5000));
}

// Guards against orders of VMs in place of those that refused a single start.
TEST_F(VmRoom, VmsThatRefuseAStartForAMomentAreKept)
{
	Owner o(&w, "n1");
	o.start_renewals();
	wait_until_usable(o);
	a->no_room = true;
	b->no_room = true;
	w.job(ID, 1, "50");
	ASSERT_TRUE(eventually([&] { return a->refusals + b->refusals > 0; }));
	usleep(300000);
	a->no_room = false;
	b->no_room = false;
	EXPECT_TRUE(becomes("completed"));
	usleep(1500000);
	EXPECT_EQ(moves(), 0);
}

// Guards against a task that waits beside VMs whose workers answer nothing.
TEST_F(VmRoom, SilentVmsAreReplaced)
{
	Owner o(&w, "n1");
	o.start_renewals();
	wait_until_usable(o);
	a->unresponsive = true;
	b->unresponsive = true;
	w.job(ID, 1, "50");
	EXPECT_TRUE(eventually([&] { return moves() > 0; }, 9000));
}

// Guards against orders of VMs in place of those that are silent for a moment.
TEST_F(VmRoom, VmsThatAreSilentForAMomentAreKept)
{
	Owner o(&w, "n1");
	o.start_renewals();
	wait_until_usable(o);
	a->unresponsive = true;
	b->unresponsive = true;
	usleep(2000000);
	a->unresponsive = false;
	b->unresponsive = false;
	usleep(1000000);
	EXPECT_EQ(moves(), 0);
}

// A VM list that shows the VMs of the jobs as down, or as up again.
struct VmsDown : VmRoom {
	void set_down(bool down)
	{
		std::lock_guard<std::mutex> l(w.lock);

		for (auto &v : w.vm) {
			if (strcmp(v.pool, "p") != 0)
				continue;
			v.state = down ? SEAM_PHASE_DOWN : SEAM_PHASE_UP;
			snprintf(v.worker, SEAM_NAME_SIZE, "%s",
				 down ? "" : v.vm + strlen("vm-"));
		}
	}
	void go_down()
	{
		set_down(true);
		a->unresponsive = true;
		b->unresponsive = true;
		w.store.del("workers/a");
		w.store.del("workers/b");
	}
};

// Guards against a task that waits beside VMs that are down.
TEST_F(VmsDown, TheyAreReplaced)
{
	Owner o(&w, "n1");
	o.start_renewals();
	wait_until_usable(o);
	go_down();
	w.job(ID, 1, "50");
	EXPECT_TRUE(eventually([&] { return moves() > 0; }, 9000));
}

// Guards against orders of VMs in place of those that restart.
TEST_F(VmsDown, TheyAreKeptWhileTheyRestart)
{
	Owner o(&w, "n1");
	o.start_renewals();
	wait_until_usable(o);
	go_down();
	usleep(2000000);
	set_down(false);
	for (FakeWorker *x : {a, b}) {
		x->unresponsive = false;
		x->restart();
		w.row(x->id, "p", 8000, "d1", false);
	}
	usleep(1500000);
	EXPECT_EQ(moves(), 0);
}

// Guards against moves of VMs of a data centre that is out of service.
TEST_F(VmRoom, NoVmOfADataCentreThatIsOutIsOrdered)
{
	for (const char *id : {"h", "i", "j"})
		w.add_worker(id, "other", 8000, "d3");
	w.store.put("op/out/d2", "x");
	eventually([&] { return seam_op_state_is_evacuated(&w.ops, "d2"); });
	Owner o(&w, "n1");
	o.start_renewals();
	wait_until_usable(o);
	w.job(ID, 4, "lasts", 1, [](seam_step *s) { s->per_worker = 1; });
	EXPECT_TRUE(eventually([&] { return moves() > 0; }, 3000));
	std::lock_guard<std::mutex> l(w.lock);
	for (auto &s : w.orders)
		EXPECT_NE(std::string("hij").find(s[strlen("move vm-")]),
			  std::string::npos)
			<< s;
}

// Guards against a task that waits for a label which only other pools have.
TEST_F(VmRoom, VmWithTheLabelOfAWaitingTaskIsOrdered)
{
	Owner o(&w, "n1");
	o.start_renewals();
	wait_until_usable(o);
	{
		std::lock_guard<std::mutex> l(w.lock);
		snprintf(w.vm.back().label[0], SEAM_NAME_SIZE, "big");
		w.vm.back().labels = 1;
	}
	w.job(ID, 1, "50", 1,
	      [](seam_step *s) { snprintf(s->label, SEAM_NAME_SIZE, "big"); });
	EXPECT_TRUE(eventually([&] { return moves() > 0; }, 4000));
	std::lock_guard<std::mutex> l(w.lock);
	EXPECT_EQ(std::count(w.orders.begin(), w.orders.end(), "move vm-g p"),
		  1);
}
