#ifndef SCHEDULER_FIXTURE_H
#define SCHEDULER_FIXTURE_H

// Helpers with one job and its tasks, for tests of the scheduler.
#include <gtest/gtest.h>

#include "tests/owner.h"

static const char *const ID = "0123456789abcdef";

static inline std::string task(int step, int index, const char *id = ID)
{
	return std::string(id) + ".0." + std::to_string(step) + "." +
	       std::to_string(index);
}

struct Scheduler : ::testing::Test {
	World w;

	bool becomes(const char *state, int ms = 8000, const char *id = ID)
	{
		return eventually([&] { return w.state(id) == state; }, ms);
	}
	// Expects each task to have been started @n times.
	void expect_starts(int steps, int tasks, int n)
	{
		for (int s = 0; s < steps; s++)
			for (int t = 0; t < tasks; t++)
				EXPECT_EQ(w.started(task(s, t)), n)
					<< task(s, t);
	}
};

#endif
