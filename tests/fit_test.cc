// Choice of the worker for a task.
#include <gtest/gtest.h>

#include <vector>

#include "process/fit.h"

static seam_fit_worker worker(int64_t cpu, int64_t memory = 100000)
{
	seam_fit_worker w = {};

	w.free.cpu = cpu;
	w.free.memory = memory;
	w.near = true;
	return w;
}

static int fit(std::vector<seam_fit_worker> w, int64_t cpu = 2000,
	       bool fills = false, bool serves = false)
{
	seam_fit_task t = {};

	t.need.cpu = cpu;
	t.need.memory = 1000;
	t.fills = fills;
	t.serves = serves;
	return seam_fit(&t, w.data(), w.size());
}

// Guards against free resources scattered over workers, none of which can then
// leave the pool.
TEST(Fit, FullestWorkerWithRoom)
{
	EXPECT_EQ(fit({worker(64000), worker(3000), worker(1000)}), 1);
}

// Guards against a task on a worker with too little of one resource.
TEST(Fit, AllResources)
{
	EXPECT_EQ(fit({worker(64000, 10)}), -1);
	EXPECT_EQ(fit({worker(1000), worker(64000, 10)}), -1);
}

// Guards against repeated failures of a task on one worker, and against a task
// that waits although that worker is the only one left.
TEST(Fit, WhereItFailedLast)
{
	seam_fit_worker bad = worker(2000);

	bad.avoid = true;
	EXPECT_EQ(fit({bad, worker(64000)}), 1);
	EXPECT_EQ(fit({bad}), 0);
}

// Guards against two copies of a task on one worker.
TEST(Fit, CopyElsewhere)
{
	seam_fit_worker w = worker(64000);

	w.copy = true;
	EXPECT_EQ(fit({w}), -1);
}

// Guards against long run times caused by data in another rack.
TEST(Fit, NearItsData)
{
	seam_fit_worker far = worker(3000);

	far.near = false;
	EXPECT_EQ(fit({far, worker(64000)}), 1);
	EXPECT_EQ(fit({far}), 0);
}

// Guards against filling tasks on a worker that runs serving tasks.
TEST(Fit, FillingApartFromServing)
{
	seam_fit_worker serving = worker(20000);

	serving.serving = 2;
	EXPECT_EQ(fit({serving, worker(20500)}, 0, true), 1);
	EXPECT_EQ(fit({serving, worker(20500)}, 2000), 0);
}
