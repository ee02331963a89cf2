// How long a task waits for the worker of a late start, by case.
#include <gtest/gtest.h>

#include "process/late_wait.h"

static const double NEVER = 0;

// Times in seconds; the start without an answer was queued at 100, and may come
// until 113.7.
struct Row {
	const char *name;
	bool lasting;
	double disturbed_at;
	double ran_at;
	bool job_at_work;
	double end;
};

static const Row ROWS[] = {
	// A task that ends.
	{"nothing of its job runs", false, NEVER, NEVER, false, 106},
	{"its job is at work", false, NEVER, NEVER, true, 113.7},
	{"its worker restarts", false, 104, 104, false, 106},
	// A lasting task that has not run.
	{"no disturbance", true, NEVER, NEVER, false, 106},
	{"its job is at work", true, NEVER, NEVER, true, 106},
	{"an earlier disturbance", true, 90, NEVER, false, 106},
	{"a disturbance", true, 101, NEVER, false, 107},
	{"a disturbance, 8 s without a run", true, 105, NEVER, false, 108},
	// A lasting task that has run.
	{"it has ended", true, NEVER, 104, false, 106},
	{"its worker falls silent", true, 104, 104, false, 110},
	{"its worker restarts later on", true, 107, 104, false, 112},
	{"no start can come", true, 109, 109, false, 113.7},
};

static seam_time at(double s)
{
	return (seam_time)(s * 1000) * SEAM_MSEC;
}

// Guards against a wait that loses tasks, or that is needlessly short.
TEST(LateWait, EndsByCase)
{
	for (const Row &r : ROWS) {
		seam_late_wait w = {r.lasting,	  at(100),
				    at(113.7),	  at(r.disturbed_at),
				    at(r.ran_at), r.job_at_work};

		EXPECT_EQ(seam_late_wait_end(&w), at(r.end))
			<< (r.lasting ? "lasting: " : "") << r.name;
	}
}

// Guards against a wait of a task that has no late start.
TEST(LateWait, NoLateStartMeansNoWait)
{
	for (int i = 0; i < 4; i++) {
		seam_late_wait w = {i % 2 > 0, 0, 0, at(50), at(50), i / 2 > 0};

		EXPECT_EQ(seam_late_wait_end(&w), 0);
	}
}
