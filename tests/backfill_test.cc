// When a worker has room for a task, and what may start there before.
#include <gtest/gtest.h>

#include <cstdlib>
#include <random>
#include <vector>

#include "process/backfill.h"

struct Backfill : ::testing::Test {
	std::mt19937 rng{
		getenv("SEAM_SEED") ? (uint32_t)atoi(getenv("SEAM_SEED")) : 1};
	std::vector<seam_backfill_run> run;

	seam_backfill plan(const seam_resources &need,
			   const seam_resources &free, seam_time now = 1000)
	{
		std::vector<seam_backfill_run> copy = run;

		return seam_backfill_plan(&need, &free, copy.data(),
					  copy.size(), now);
	}
	// What is free at a time, if nothing else starts.
	seam_resources free_at(seam_resources free, seam_time t)
	{
		for (auto &r : run)
			if (r.end <= t) {
				free.cpu += r.need.cpu;
				free.memory += r.need.memory;
				free.gpu += r.need.gpu;
			}
		return free;
	}
};

// Guards against a time of room that is not the first with enough of all.
TEST_F(Backfill, RoomComesWithTheFirstEndThatSuffices)
{
	for (int i = 0; i < 2000; i++) {
		seam_resources need = {(int64_t)(rng() % 9),
				       (int64_t)(rng() % 9),
				       (int64_t)(rng() % 2)};
		seam_resources free = {(int64_t)(rng() % 3),
				       (int64_t)(rng() % 3), 0};

		run.clear();
		for (size_t k = rng() % 6; k > 0; k--)
			run.push_back(
				{{(int64_t)(rng() % 4), (int64_t)(rng() % 4),
				  (int64_t)(rng() % 2)},
				 rng() % 4 ? 1000 + (seam_time)(rng() % 9) :
					     SEAM_NEVER});
		seam_backfill b = plan(need, free);
		seam_time first = SEAM_NEVER;

		for (seam_time t = 1010; t >= 1000; t--) {
			seam_resources left = free_at(free, t);

			if (seam_fits(&need, &left))
				first = t;
		}
		ASSERT_EQ(b.room_at, first);
		if (first == SEAM_NEVER)
			continue;
		/* Beside it nothing is promised that is not free. */
		seam_resources left = free_at(free, first);
		EXPECT_LE(need.cpu + b.beside.cpu, left.cpu);
		EXPECT_LE(need.memory + b.beside.memory, left.memory);
		EXPECT_LE(need.gpu + b.beside.gpu, left.gpu);
		EXPECT_GE(b.beside.cpu, 0);
		EXPECT_GE(b.beside.memory, 0);
	}
}

// Guards against a reservation of a worker without room beside lasting tasks.
TEST_F(Backfill, RunsThatLastGiveNoRoom)
{
	run = {{{4000, 0, 0}, SEAM_NEVER}, {{4000, 0, 0}, 1500}};
	EXPECT_EQ(plan({4000, 0, 0}, {0, 0, 0}).room_at, 1500);
	EXPECT_EQ(plan({4001, 0, 0}, {0, 0, 0}).room_at, SEAM_NEVER);
}

// Guards against small tasks that put off the start of the large one.
TEST_F(Backfill, OthersStartIfTheyEndBeforeOrFitBeside)
{
	run = {{{4000, 0, 0}, 2000}};
	seam_backfill b = plan({6000, 0, 0}, {4000, 0, 0});
	seam_resources beside = {2000, 0, 0};
	seam_resources more = {2001, 0, 0};

	ASSERT_EQ(b.room_at, 2000);
	EXPECT_TRUE(seam_backfill_fits(&b, &more, 2000));
	EXPECT_FALSE(seam_backfill_fits(&b, &more, 2001));
	EXPECT_TRUE(seam_backfill_fits(&b, &beside, 9000));
}

// Guards against a run beyond its estimate that is always about to end.
TEST_F(Backfill, RunBeyondItsEstimateGoesOn)
{
	EXPECT_EQ(seam_backfill_end(1000000, 500, 1200000), 1500000);
	EXPECT_EQ(seam_backfill_end(1000000, 500, 1500000), 1500000);
	EXPECT_EQ(seam_backfill_end(1000000, 500, 1800000), 2100000);
}
