// Orders for VMs by the demand of pools.
#include "tests/scheduler_fixture.h"

// Carries out a move at once: another VM with an empty worker replaces the VM.
static int move_vm(seam_inventory *i, const char *vm, const char *pool,
		   uint64_t token, seam_vm_order_outcome *outcome,
		   seam_time deadline, seam_err *e)
{
	std::string worker = vm + strlen("vm-");

	fake_move(i, vm, pool, token, outcome, deadline, e);
	{
		std::lock_guard<std::mutex> l(the_world->lock);
		auto &all = the_world->vm;

		all.erase(std::remove_if(
				  all.begin(), all.end(),
				  [&](auto &x) { return worker == x.worker; }),
			  all.end());
	}
	the_world->store.del("workers/" + worker);
	the_world->add_worker(worker + "-moved", pool);
	return 0;
}

static const seam_inventory_ops moving_inventory_ops = {
	fake_list, move_vm, fake_maintain, fake_inventory_close};

struct SchedulerDemand : Scheduler {
	// Moves into @pool that were ordered.
	int orders_into(const char *pool)
	{
		std::lock_guard<std::mutex> l(w.lock);

		return (int)std::count_if(
			w.orders.begin(), w.orders.end(),
			[&](const std::string &x) {
				return x.rfind("move ", 0) == 0 &&
				       x.substr(x.rfind(' ') + 1) == pool;
			});
	}
	// Runs on all workers, to which a move may add one meanwhile.
	size_t running()
	{
		std::map<std::string, FakeWorker *> all;
		size_t n = 0;

		{
			std::lock_guard<std::mutex> l(w.lock);
			all = w.workers;
		}
		for (auto &x : all)
			n += x.second->running("");
		return n;
	}
};

// Guards against a large task without a piece of a VM beside lasting tasks.
TEST_F(SchedulerDemand, TaskThatFitsBesideNoLastingTaskGetsAVm)
{
	w.config(0, true);
	eventually([&] { return w.version_in_force() == 2; });
	for (const char *id : {"a", "b", "c", "d"})
		w.add_worker(id);
	for (const char *id : {"e", "f", "g", "h"})
		w.add_worker(id, "other");
	// Before the owner, as a rise of the demand would order VMs as well.
	w.job("00000000000000aa", 4, "lasts", 1, [](seam_step *s) {
		s->need.cpu = 3500;
		s->per_worker = 1;
	});
	w.vms.ops = &moving_inventory_ops;
	Owner o(&w, "n1");
	o.start_renewals();
	ASSERT_TRUE(eventually([&] { return running() == 4; }));
	usleep(2000000);
	EXPECT_EQ(orders_into("p"), 0);
	w.job(ID, 1, "100", 1, [](seam_step *s) { s->need.cpu = 4800; });
	EXPECT_TRUE(becomes("completed", 3000));
	// One VM, and one for a demand that is rising.
	EXPECT_LE(orders_into("p"), 2);
}

// Guards against a lasting task that has no VM left which may run it.
TEST_F(SchedulerDemand, TaskOfALimitedStepBesideAFullVmGetsAVm)
{
	w.config(0, true);
	eventually([&] { return w.version_in_force() == 2; });
	for (const char *id : {"a", "b", "c", "d"})
		w.add_worker(id);
	for (const char *id : {"e", "f", "g", "h"})
		w.add_worker(id, "other");
	// Before the owner, as a rise of the demand would order VMs as well.
	w.job("00000000000000aa", 4, "lasts", 1, [](seam_step *s) {
		s->need.cpu = 400;
		s->per_worker = 1;
	});
	w.job("00000000000000ab", 1, "lasts", 1,
	      [](seam_step *s) { s->need.cpu = 7500; });
	w.vms.ops = &moving_inventory_ops;
	Owner o(&w, "n1");
	o.start_renewals();
	ASSERT_TRUE(eventually([&] { return running() == 5; }));
	usleep(2000000);
	EXPECT_EQ(orders_into("p"), 0);
	w.job(ID, 4, "lasts", 1, [](seam_step *s) { s->per_worker = 1; });
	EXPECT_TRUE(eventually([&] { return running() == 9; }, 3000));
}

// Guards against a pool that is sized by one of its VMs where they differ.
TEST_F(SchedulerDemand, OneSmallVmOfAPoolOrdersNoOthers)
{
	w.config(0, true);
	eventually([&] { return w.version_in_force() == 2; });
	for (const char *id : {"a", "c", "d"})
		w.add_worker(id);
	for (const char *id : {"b", "e"})
		w.add_worker(id, "p", 1000);
	for (int i = 0; i < 10; i++)
		w.add_worker("o" + std::to_string(i), "other");
	// Before the owner, as a rise of the demand would order VMs as well.
	w.job(ID, 12, "lasts");
	Owner o(&w, "n1");
	o.start_renewals();
	EXPECT_TRUE(eventually([&] { return running() == 12; }));
	usleep(2000000);
	EXPECT_EQ(orders_into("p"), 0);
}

// Guards against a pool without headroom whose accelerators are all in use.
TEST_F(SchedulerDemand, PoolWithoutFreeAcceleratorsGetsVms)
{
	w.config(0, true);
	eventually([&] { return w.version_in_force() == 2; });
	for (const char *id : {"e", "f", "g", "h", "i", "j"})
		w.add_worker(id, "other");
	Owner o(&w, "n1");
	o.start_renewals();
	for (const char *id : {"a", "b"}) {
		add_usable(o, id);
		with_worker(o, id,
			    [](seam_worker *x) { x->info.capacity.gpu = 4; });
	}
	w.job(ID, 8, "lasts", 1, [](seam_step *s) {
		s->need.cpu = 100;
		s->need.gpu = 1;
	});
	EXPECT_TRUE(eventually([&] { return running() == 8; }));
	EXPECT_TRUE(eventually([&] { return orders_into("p") >= 2; }, 3000));
}

// Guards against orders that are repeated until the list shows the move.
TEST_F(SchedulerDemand, VmOnItsWayIsNotOrderedAgain)
{
	w.config(0, true);
	eventually([&] { return w.version_in_force() == 2; });
	for (int i = 0; i < 20; i++)
		w.add_worker("o" + std::to_string(i), "other");
	for (const char *id : {"a", "b"})
		w.add_worker(id);
	Owner o(&w, "n1");
	o.start_renewals();
	for (auto &x : w.workers)
		worker_becomes(o, x.first.c_str(), [&](seam_worker *y) {
			return scheduler_worker_usable(y, seam_now(w.clock));
		});
	usleep(1000000);
	w.job(ID, 4, "lasts", 1, [](seam_step *s) { s->per_worker = 1; });
	EXPECT_TRUE(eventually([&] { return orders_into("p") >= 2; }));
	// The list may not show a move for 0.9 s.
	usleep(700000);
	// A demand that rises is at most doubled, so that the pool gets 8 VMs.
	EXPECT_LE(orders_into("p"), 6);
}
