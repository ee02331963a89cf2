// Workers that do not answer, beside what the VM list and the answers of other
// workers tell of them.
#include "tests/failing_inventory.h"
#include "tests/scheduler_fixture.h"

struct VmList : Scheduler {
	// The list shows @worker on the VM of @id from now on.
	void list(const char *id, const char *worker, int state)
	{
		std::lock_guard<std::mutex> l(w.lock);

		for (auto &v : w.vm)
			if (std::string(v.vm) == std::string("vm-") + id) {
				v.state = state;
				snprintf(v.worker, SEAM_NAME_SIZE, "%s",
					 worker);
			}
	}
	// Worker a is dead at a takeover, but its row is not removed yet.
	// Expects that a job from before starts before all leases of the owner
	// before are over.
	void expect_start_after_takeover(const char *worker, int state)
	{
		FakeWorker *a = w.add_worker("a");

		w.add_worker("b");
		{
			Owner o(&w, "n1");

			o.start_renewals();
			ASSERT_TRUE(restart_is_seen(o, a));
		}
		a->unresponsive = true;
		list("a", worker, state);
		w.job(ID, 1, "lasts");
		Owner o(&w, "n2");
		o.start_renewals();
		ASSERT_GT(o.sched->prior_leases_until,
			  seam_now(w.clock) + 2500 * SEAM_MSEC);
		EXPECT_TRUE(eventually([&] { return w.running() == 1; }, 2000));
	}
};

// A worker whose VM the list shows in another state while it does not answer.
struct ListedVm : VmList {
	FakeWorker *a = add_worker_to_list();
	Owner o{&w, "n1"};

	// Before there is an owner, whose threads read the list.
	FakeWorker *add_worker_to_list()
	{
		list_fails = false;
		list_lacks_vms = false;
		list_ms = 0;
		w.vms.ops = &failing_inventory_ops;
		return w.add_worker("a");
	}
	void SetUp() override
	{
		o.start_renewals();
		ASSERT_TRUE(restart_is_seen(o, a));
		ASSERT_TRUE(worker_becomes(o, "a", [](seam_worker *x) {
			return x->named_by_list;
		}));
	}
	// A task runs on worker a, and b has room for it.
	FakeWorker *run_on_a(const char *text)
	{
		w.job(ID, 1, text);
		EXPECT_TRUE(eventually([&] { return a->running() == 1; }));
		EXPECT_TRUE(worker_becomes(o, "a", [](seam_worker *x) {
			return x->listing_at > 0;
		}));
		usleep(500000); // a listing shows it
		return add_usable(o, "b");
	}
	// Worker a keeps each copy of each start, and b has room for the task.
	FakeWorker *keep_starts_on_a(const char *text)
	{
		a->late_starts = 100000;
		w.job(ID, 1, text);
		EXPECT_TRUE(eventually([&] {
			std::lock_guard<std::mutex> l(a->lock);
			return a->late.size() >= (size_t)START_ATTEMPTS;
		}));
		return add_usable(o, "b");
	}
	// The process of worker a ends, and another worker runs on its VM.
	void replace_a()
	{
		a->unresponsive = true;
		{
			std::lock_guard<std::mutex> l(a->lock);
			a->runs.clear();
		}
		list("a", "a2", SEAM_PHASE_UP);
	}
	// The process of worker a ends with its VM.
	void remove_a()
	{
		a->unresponsive = true;
		{
			std::lock_guard<std::mutex> l(a->lock);
			a->runs.clear();
		}
		std::lock_guard<std::mutex> l(w.lock);
		w.vm.erase(w.vm.begin());
	}
	static size_t count(const std::string &text, const std::string &what)
	{
		size_t n = 0;

		for (size_t at = 0;
		     (at = text.find(what, at)) != std::string::npos; at++)
			n++;
		return n;
	}
};

// Guards against a log without the change, or with a line for each read.
TEST_F(ListedVm, ChangeOfASilentWorkersVmIsLoggedOnce)
{
	testing::internal::CaptureStderr();
	a->unresponsive = true;
	list("a", "", SEAM_PHASE_DOWN);
	usleep(2500000);
	list("a", "a2", SEAM_PHASE_UP);
	usleep(2500000);
	std::string log = testing::internal::GetCapturedStderr();

	EXPECT_EQ(count(log, "event=vm_worker_changed vm=vm-a worker=a "
			     "listed_worker= state=down"),
		  1u);
	EXPECT_EQ(count(log, "event=vm_worker_changed vm=vm-a worker=a "
			     "listed_worker=a2 state=up"),
		  1u);
}

// Guards against runs that are waited for although their worker is replaced.
TEST_F(ListedVm, RunsOfAReplacedWorkerStartElsewhereBeforeItsLeaseIsOver)
{
	FakeWorker *b = run_on_a("lasts");

	replace_a();
	EXPECT_TRUE(eventually([&] { return b->running() == 1; }, 2500));
	EXPECT_EQ(w.twice, 0);
}

// Guards against a wait for a late start that its worker can't carry out.
TEST_F(ListedVm, LateStartOnAReplacedWorkerIsNotWaitedFor)
{
	FakeWorker *b = keep_starts_on_a("20000");

	replace_a();
	EXPECT_TRUE(eventually([&] { return b->running() == 1; }, 2500));
}

// Guards against a count of second runs that can't come.
TEST_F(ListedVm, StartBesideAReplacedWorkerIsNotCounted)
{
	FakeWorker *b = keep_starts_on_a("20000");

	testing::internal::CaptureStderr();
	replace_a();
	EXPECT_TRUE(eventually([&] { return b->running() == 1; }));
	std::string log = testing::internal::GetCapturedStderr();

	EXPECT_EQ(count(log, "event=life_over worker=a"), 1u);
	EXPECT_EQ(count(log, "event=start_beside_late"), 0u);
}

// Guards against the same wait at the next owner.
TEST_F(ListedVm, LateStartOnAReplacedWorkerIsNotLeftToTheNextOwner)
{
	FakeWorker *b = keep_starts_on_a("20000");

	ASSERT_TRUE(eventually([&] {
		return w.store.get("owner/handover").find(task(0, 0)) !=
		       std::string::npos;
	}));
	replace_a();
	ASSERT_TRUE(eventually([&] { return b->running() == 1; }));
	EXPECT_TRUE(eventually(
		[&] {
			return w.store.get("owner/handover").find(task(0, 0)) ==
			       std::string::npos;
		},
		2000));
}

// Guards against a second run beside a worker that answers.
TEST_F(ListedVm, WorkerThatAnswersKeepsItsRuns)
{
	run_on_a("lasts");
	list("a", "a2", SEAM_PHASE_UP);
	usleep(3000000);
	EXPECT_EQ(w.started(task(0, 0)), 1);
	EXPECT_EQ(a->running(), 1u);
}

// Guards against a second run for a list that was asked for before the silence.
TEST_F(ListedVm, ListFromBeforeTheSilenceLosesNoRun)
{
	run_on_a("lasts");
	list("a", "a2", SEAM_PHASE_UP);
	list_ms = 1300;
	int asked = lists_asked;
	ASSERT_TRUE(eventually([&] { return lists_asked > asked; }));
	a->unresponsive = true;
	list("a", "a", SEAM_PHASE_UP);
	usleep(2300000);
	a->unresponsive = false;
	usleep(500000);
	EXPECT_EQ(w.started(task(0, 0)), 1);
	EXPECT_EQ(a->running(), 1u);
}

// Guards against polls of a worker that is over, when its old row comes back.
TEST_F(ListedVm, RowOfAReplacedWorkerIsNotUsed)
{
	replace_a();
	ASSERT_TRUE(worker_becomes(o, "a",
				   [](seam_worker *x) { return x->vm_gone; }));
	w.store.del("workers/a");
	usleep(3500000);
	w.row("a", "p", 8000, "d1", false);
	usleep(500000);
	int polls = a->polls;
	usleep(1500000);
	EXPECT_EQ(a->polls, polls);
}

// Guards against a worker that stays out of use after a list that was wrong.
TEST_F(ListedVm, WorkerThatIsListedAgainIsUsedAgain)
{
	replace_a();
	ASSERT_TRUE(worker_becomes(o, "a",
				   [](seam_worker *x) { return x->vm_gone; }));
	a->unresponsive = false;
	list("a", "a", SEAM_PHASE_UP);
	w.job(ID, 1, "lasts");
	EXPECT_TRUE(eventually([&] { return a->running() == 1; }));
}

// Guards against the same while a late start on its new process is possible.
TEST_F(ListedVm, RestartedWorkerThatIsListedAgainIsPolledAgain)
{
	keep_starts_on_a("20000");
	a->unresponsive = true;
	a->restart();
	w.row("a", "p", 8000, "d1", false);
	ASSERT_TRUE(worker_becomes(
		o, "a", [](seam_worker *x) { return !x->contacted; }));
	list("a", "a2", SEAM_PHASE_UP);
	ASSERT_TRUE(worker_becomes(o, "a",
				   [](seam_worker *x) { return x->vm_gone; }));
	a->unresponsive = false;
	list("a", "a", SEAM_PHASE_UP);
	int polls = a->polls;
	EXPECT_TRUE(eventually([&] { return a->polls > polls; }, 3000));
}

// Guards against runs that are waited for although their VM is down.
TEST_F(ListedVm, RunsOnAVmThatIsDownStartElsewhereBeforeTheLeaseIsOver)
{
	FakeWorker *b = run_on_a("lasts");

	replace_a();
	list("a", "", SEAM_PHASE_DOWN);
	EXPECT_TRUE(eventually([&] { return b->running() == 1; }, 2500));
	EXPECT_EQ(w.twice, 0);
}

// Guards against a second run by a worker that starts again under its id.
TEST_F(ListedVm, LateStartOnAVmThatIsDownIsWaitedFor)
{
	keep_starts_on_a("lasts");
	a->unresponsive = true;
	list("a", "", SEAM_PHASE_DOWN);
	usleep(2500000);
	EXPECT_EQ(w.running(), 0u);
	a->restart();
	w.deliver_late(a);
	list("a", "a", SEAM_PHASE_UP);
	a->unresponsive = false;
	usleep(2500000);
	EXPECT_EQ(w.twice, 0);
	EXPECT_EQ(w.running(), 1u);
}

// Guards against a process that counts as over as the one before it is.
TEST_F(ListedVm, NextProcessOnAVmThatWasDownIsNotOver)
{
	a->unresponsive = true;
	list("a", "", SEAM_PHASE_DOWN);
	ASSERT_TRUE(worker_becomes(
		o, "a", [](seam_worker *x) { return x->vm_was_empty; }));
	list("a", "a", SEAM_PHASE_UP);
	a->restart();
	w.row("a", "p", 8000, "d1", false);
	EXPECT_TRUE(worker_becomes(o, "a", [](seam_worker *x) {
		return !x->contacted && scheduler_may_run_prior_tasks(x);
	}));
}

// Guards against lost runs on a VM whose state has a name of a later version.
TEST_F(ListedVm, RunsOnAVmOfUnknownStateAreKept)
{
	run_on_a("lasts");
	a->unresponsive = true;
	list("a", "", SEAM_PHASE_UNKNOWN);
	usleep(2300000);
	a->unresponsive = false;
	usleep(500000);
	EXPECT_EQ(w.started(task(0, 0)), 1);
	EXPECT_EQ(a->running(), 1u);
}

// Guards against a lost run that began after the list was asked for.
TEST_F(ListedVm, RunThatBeganAfterTheListIsKept)
{
	list_ms = 1300;
	a->unresponsive = true;
	list("a", "", SEAM_PHASE_DOWN);
	usleep(2000000);
	int asked = lists_asked;
	ASSERT_TRUE(eventually([&] { return lists_asked > asked; }));
	a->restart();
	list("a", "a", SEAM_PHASE_UP);
	a->unresponsive = false;
	FakeWorker *b = nullptr;
	w.job(ID, 1, "lasts");
	ASSERT_TRUE(eventually([&] { return a->running() == 1; }, 1000));
	a->unresponsive = true;
	b = add_usable(o, "b");
	usleep(1800000);
	EXPECT_EQ(w.started(task(0, 0)), 1);
	EXPECT_EQ(b->running(), 0u);
}

// Guards against runs that are waited for although their VM was removed.
TEST_F(ListedVm, RunsOnARemovedVmStartElsewhereBeforeTheLeaseIsOver)
{
	FakeWorker *b = run_on_a("20000");

	remove_a();
	EXPECT_TRUE(eventually([&] { return b->running() == 1; }, 2500));
}

// Guards against lost runs on a VM that was left out of a list.
TEST_F(ListedVm, IncompleteListLosesNoRun)
{
	FakeWorker *b = run_on_a("20000");

	list_lacks_vms = true;
	remove_a();
	usleep(2500000);
	EXPECT_EQ(b->running(), 0u);
	EXPECT_TRUE(eventually([&] { return b->running() == 1; }));
}

// Guards against a wait for a late start to an address of another worker.
TEST_F(ListedVm, LateStartToAnAddressOfAnotherWorkerIsNotWaitedFor)
{
	FakeWorker *b = keep_starts_on_a("20000");

	list_fails = true;
	a->replaced = true;
	EXPECT_TRUE(eventually([&] { return b->running() == 1; }, 2500));
}

// Guards against polls of an address that another worker has.
TEST_F(ListedVm, AddressOfAnotherWorkerIsNotPolled)
{
	a->replaced = true;
	ASSERT_TRUE(worker_becomes(o, "a",
				   [](seam_worker *x) { return x->vm_gone; }));
	list("a", "a2", SEAM_PHASE_UP);
	usleep(1500000);
	int polls = a->polls;
	usleep(1500000);
	EXPECT_EQ(a->polls, polls);
}

// Guards against a pool that waits after a takeover for a worker that is over.
TEST_F(VmList, ReplacedWorkerKeepsNoPoolFromStartingAfterATakeover)
{
	expect_start_after_takeover("b", SEAM_PHASE_UP);
}

// Guards against the same wait for a worker whose VM is down.
TEST_F(VmList, EmptyVmKeepsNoPoolFromStartingAfterATakeover)
{
	expect_start_after_takeover("", SEAM_PHASE_DOWN);
}

// Guards against a list that is read too seldom to spare a wait.
TEST_F(ListedVm, ListIsReadOftenWhileRunsOfASilentWorkerAreWaitedFor)
{
	{
		std::lock_guard<std::mutex> l(w.lock);
		for (int i = 0; i < 200; i++)
			w.vm.push_back(w.vm[0]);
		for (size_t i = 1; i < w.vm.size(); i++) {
			snprintf(w.vm[i].vm, SEAM_NAME_SIZE, "vm-%zu", i);
			w.vm[i].worker[0] = '\0';
			w.vm[i].state = SEAM_PHASE_DOWN;
		}
	}
	run_on_a("lasts");
	usleep(2000000);
	int before = lists_asked;
	usleep(3000000);
	EXPECT_LE(lists_asked - before, 2);
	before = lists_asked;
	a->unresponsive = true;
	usleep(2600000);
	EXPECT_GE(lists_asked - before, 3);
}

// Guards against a second run beside one on a VM in a state of unknown name.
TEST_F(VmList, VmOfUnknownStateKeepsItsPoolFromStartingAfterATakeover)
{
	FakeWorker *a = w.add_worker("a");
	{
		Owner o(&w, "n1");

		o.start_renewals();
		w.job(ID, 1, "lasts");
		ASSERT_TRUE(eventually([&] { return a->running() == 1; }));
		// Longer than the leases that the owner leaves to the next one.
		usleep(7000000);
	}
	w.add_worker("b");
	w.store.del("workers/a");
	{
		std::lock_guard<std::mutex> l(w.lock);

		for (auto &v : w.vm)
			if (v.worker == a->id)
				v.state = SEAM_PHASE_UNKNOWN;
	}
	Owner o(&w, "n2");

	o.start_renewals();
	EXPECT_TRUE(eventually([&] { return a->running() == 0; }));
	EXPECT_TRUE(eventually([&] { return w.running() == 1; }));
	EXPECT_EQ(w.twice, 0);
}
