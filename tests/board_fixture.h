#ifndef BOARD_FIXTURE_H
#define BOARD_FIXTURE_H

// One job and its tasks, for the tests of an owner.
#include <gtest/gtest.h>

#include "tests/owner.h"

static const char *const ID = "0123456789abcdef";

static inline std::string task(int step, int index, const char *id = ID)
{
	return std::string(id) + ".0." + std::to_string(step) + "." +
	       std::to_string(index);
}

struct Board : ::testing::Test {
	World w;

	bool becomes(const char *state, int ms = 8000, const char *id = ID)
	{
		return eventually([&] { return w.state(id) == state; }, ms);
	}
	// Each task began so many times.
	void expect_starts(int steps, int tasks, int n)
	{
		for (int s = 0; s < steps; s++)
			for (int t = 0; t < tasks; t++)
				EXPECT_EQ(w.started(task(s, t)), n)
					<< task(s, t);
	}
};

#endif
