// A start is sent again when a copy of it gets no answer. The copy that its
// worker has kept is carried out up to 12 s later, by a new process that nobody
// has polled: the task may not run elsewhere by then.
#include "tests/scheduler_fixture.h"

#include <memory>

// A task, what else its job has running, and the times of the case counted
// from the start of the task.
struct Kind {
	const char *name;
	const char *text;
	int tasks;
	int disturbed_ms; // worker a falls silent, or restarts
	int copy_ms; // worker a carries the copy out
};

// Those with equal times of the disturbance stand together, by @copy_ms.
static const Kind KINDS[] = {
	{"LastingDisturbedAtOnce", "lasts", 1, 200, 9500},
	{"Ending", "40000", 1, 200, 10800},
	{"EndingBesideAnother", "40000", 2, 200, 10800},
	{"LastingDisturbedLater", "lasts", 1, 4000, 9500},
};

static void PrintTo(const Kind &k, std::ostream *to)
{
	*to << k.name;
}

enum Disturbance { SILENT, DRAINS, IS_FULL, OWNER_IS_LOST };

// Worker a keeps a copy of a start and answers the next, so that the task runs;
// worker b has room. With two tasks, the other one runs on worker c. Each case
// has a pool of its own.
struct Case {
	const Kind &kind;
	World &w;
	std::string pool;
	std::string id; // of the job
	FakeWorker *a;
	FakeWorker *b = nullptr;
	std::string task; // on worker a
	int64_t started_us = 0;

	Case(World &world, const Kind &k)
	    : kind(k), w(world), pool(k.name),
	      id("0123456789abcde" + std::to_string(&k - KINDS)),
	      a(add_worker("a", 1000))
	{
		if (k.tasks > 1)
			add_worker("c", 1000);
	}
	// Its VM is not listed, so that it is not moved to another pool.
	FakeWorker *add_worker(const std::string &name, int64_t cpu)
	{
		FakeWorker *x = w.add_worker(name + pool, pool, cpu);
		std::lock_guard<std::mutex> l(w.lock);

		w.vm.pop_back();
		return x;
	}
	bool start()
	{
		bool runs;

		a->late_starts = 1;
		w.job(id, kind.tasks, kind.text, 1, nullptr, pool.c_str());
		runs = eventually([&] {
			size_t n = 0;

			for (int i = 0; i < kind.tasks; i++)
				n += w.running(::task(0, i, id.c_str()));
			return n == (size_t)kind.tasks;
		});
		b = add_worker("b", 8000);
		std::lock_guard<std::mutex> l(a->lock);

		if (!runs || a->late.empty())
			return false;
		task = a->late[0].task;
		started_us = a->late[0].sent_us;
		return true;
	}
	void wait_until(int ms)
	{
		int64_t left = started_us + ms * 1000 - FakeWorker::us();

		if (left > 0)
			usleep((useconds_t)left);
	}
	void disturb(Disturbance how)
	{
		wait_until(kind.disturbed_ms);
		if (how == SILENT || how == OWNER_IS_LOST)
			a->unresponsive = true;
		if (how == DRAINS)
			w.row(a->id, pool, 1000, "d1", true);
		if (how == IS_FULL)
			w.row(a->id, pool, 500, "d1", false);
		if (how == DRAINS || how == IS_FULL)
			a->restart();
	}
	// The next process of worker a carries the copy out, not polled before.
	// Returns the number of runs of the task.
	size_t carry_copy_out()
	{
		size_t runs;

		wait_until(kind.copy_ms);
		a->unresponsive = true;
		a->restart();
		w.deliver_late(a);
		runs = w.running(task);
		a->unresponsive = false;
		return runs;
	}
};

struct LateCopy : ::testing::TestWithParam<Kind> {
	// Number of runs of the task, by the case.
	static std::map<std::string, size_t> runs;

	static std::string key(Disturbance how, const Kind &k)
	{
		return std::to_string(how) + k.name;
	}
	static bool sees(Owner &o, const std::string &id,
			 const std::function<bool(seam_worker *)> &fn)
	{
		return eventually([&] {
			pthread_mutex_lock(&o.sched->lock);
			seam_worker *x =
				scheduler_find_worker(o.sched, id.c_str());
			bool is = x && fn(x);

			pthread_mutex_unlock(&o.sched->lock);
			return is;
		});
	}
	static bool sees_process(Owner &o, FakeWorker *x)
	{
		return sees(o, x->id, [&](seam_worker *y) {
			return y->info.process_start_ms == x->born &&
			       y->contacted;
		});
	}
	// Carries out the cases with one time of the disturbance.
	static void run_cases(Disturbance how, int disturbed_ms)
	{
		World w;
		std::unique_ptr<Owner> o(new Owner(&w, "n1"));
		std::vector<Case> cases;

		o->start_renewals();
		for (const Kind &k : KINDS)
			if (k.disturbed_ms == disturbed_ms)
				cases.emplace_back(w, k);
		for (auto &x : w.workers)
			ASSERT_TRUE(sees_process(*o, x.second));
		for (auto &c : cases)
			ASSERT_TRUE(c.start());
		for (auto &c : cases)
			ASSERT_TRUE(sees_process(*o, c.b));
		for (auto &c : cases)
			c.disturb(how);
		for (auto &c : cases)
			ASSERT_TRUE(sees(*o, c.a->id, [&](seam_worker *x) {
				return c.a->unresponsive ?
					       x->missed_holds >=
						       SEAM_MISSED_HOLDS_MAX :
					       x->info.process_start_ms ==
						       c.a->born;
			}));
		if (how == OWNER_IS_LOST) {
			o.reset();
			o.reset(new Owner(&w, "n2"));
			o->start_renewals();
		}
		for (auto &c : cases)
			runs[key(how, c.kind)] = c.carry_copy_out();
		for (auto &c : cases)
			EXPECT_TRUE(eventually(
				[&] { return w.running(c.task) == 1; }));
	}
	static void expect_one_run(Disturbance how)
	{
		std::string name = key(how, GetParam());

		if (!runs.count(name))
			run_cases(how, GetParam().disturbed_ms);
		ASSERT_TRUE(runs.count(name));
		EXPECT_EQ(runs[name], 1u);
	}
};

std::map<std::string, size_t> LateCopy::runs;

// Guards against a task that leaves a silent worker too soon.
TEST_P(LateCopy, OfASilentWorkerThatRestartsBehindItsCut)
{
	expect_one_run(SILENT);
}

// Guards against a task that leaves a draining worker too soon.
TEST_P(LateCopy, OfAWorkerThatRestartsDrainsAndRestarts)
{
	expect_one_run(DRAINS);
}

// Guards against a task that leaves a worker without room too soon.
TEST_P(LateCopy, OfAWorkerThatRestartsIsFullAndRestarts)
{
	expect_one_run(IS_FULL);
}

// Guards against a wait that the next owner does not know.
TEST_P(LateCopy, OfASilentWorkerWhoseOwnerIsLost)
{
	expect_one_run(OWNER_IS_LOST);
}

INSTANTIATE_TEST_SUITE_P(Tasks, LateCopy, ::testing::ValuesIn(KINDS),
			 [](const ::testing::TestParamInfo<Kind> &i) {
				 return std::string(i.param.name);
			 });
