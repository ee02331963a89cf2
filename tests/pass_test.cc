// The owner's passes over what waits, without a platform: the counts that they
// go by, after any changes.
#include <gtest/gtest.h>

#include <map>
#include <random>

#include "base/log.h"
#include "fake/board.h"

struct Pass : ::testing::Test {
	seam_fake_board f;

	void TearDown() override
	{
		seam_fake_board_clear(&f);
	}
	seam_worker *any_worker(std::mt19937 &rng)
	{
		size_t n = rng() % seam_table_count(f.board->workers);
		seam_handle h = SEAM_NONE;
		seam_worker *w;

		do
			w = (seam_worker *)seam_table_next(f.board->workers,
							   &h);
		while (n--);
		return w;
	}
	seam_worker *worker(const char *id)
	{
		return board_worker_of(f.board, id);
	}
	int runs_on(const char *id)
	{
		return (int)worker(id)->ref->len;
	}
	// What the rows and runs say, against what was kept.
	void check()
	{
		std::map<const seam_amount *, int64_t> used;
		std::map<uint32_t, int64_t> reserved;
		seam_handle h = SEAM_NONE;
		int64_t waiting = 0;
		int64_t jobs = 0;
		int starting = 0;

		board_backlog_refresh(f.board, seam_now(f.board->clock));
		while (auto *j =
			       (seam_job *)seam_table_next(f.board->jobs, &h)) {
			int64_t mine = count(j, used, reserved, starting);

			waiting += mine;
			jobs += mine > 0;
		}
		EXPECT_EQ(f.board->waiting, waiting);
		EXPECT_EQ((int64_t)seam_backlog_count(f.board->backlog), jobs);
		EXPECT_EQ(f.board->starting, starting);
		for (auto &u : used)
			EXPECT_EQ(u.first->cpu, u.second);
		h = SEAM_NONE;
		while (auto *w = (seam_worker *)seam_table_next(
			       f.board->workers, &h))
			EXPECT_EQ(w->used.cpu, reserved[w->self.bits]);
	}
	int64_t count(seam_job *j, std::map<const seam_amount *, int64_t> &used,
		      std::map<uint32_t, int64_t> &reserved, int &starting)
	{
		const seam_step &s = j->row.spec.step[0];
		int64_t idle = 0;

		used[j->used] += 0;
		for (int64_t t = 0; t < s.tasks; t++) {
			for (auto &r : j->task[0][t].run) {
				if (r.state == SEAM_RUN_FREE)
					continue;
				used[j->used] += s.need.cpu;
				reserved[r.worker.bits] += s.need.cpu;
				starting += r.counted >= 0;
			}
			idle += board_task_idle(j, 0, t);
			EXPECT_TRUE(!board_task_idle(j, 0, t) ||
				    t >= j->first_idle[0]);
		}
		EXPECT_EQ(j->idle[0], idle);
		return seam_job_over(j->row.state) ? 0 : idle;
	}
};

// Guards against counts that drift from the runs: tasks would wait with room
// free, or a workspace would be held below its limit.
TEST_F(Pass, CountsStayRight)
{
	seam_log_level(SEAM_ERROR);
	seam_fake_board_init(&f, 40);
	const char *random = getenv("SEAM_SEED");
	std::mt19937 rng(random ? (uint32_t)atoi(random) : 1);

	for (int i = 0; i < 3000; i++) {
		seam_worker *w = any_worker(rng);
		seam_job *j = nullptr;
		seam_handle h = SEAM_NONE;

		if (seam_table_count(f.board->jobs))
			j = (seam_job *)seam_table_next(f.board->jobs, &h);
		switch (rng() % 9) {
		case 0:
		case 1:
			seam_fake_board_job(&f, 1 + (int)(rng() % 20),
					    1000 * (1 + (int)(rng() % 20)),
					    rng() % 3000, (int)(rng() % 5) - 1);
			break;
		case 2:
			seam_fake_board_answer(&f);
			break;
		case 3:
			board_worker_lost(w, "test");
			break;
		case 4:
			board_worker_restarted(w, 1, seam_now(f.board->clock));
			w->heard = w->answered = true;
			break;
		case 5:
			if (j && !seam_job_over(j->row.state))
				board_job_end(f.board, j, SEAM_JOB_FAILED);
			break;
		case 6:
			f.board->crowded = !f.board->crowded;
			break;
		default:
			seam_fake_board_end(&f, w);
		}
		board_pass(f.board);
		check();
		if (HasFailure())
			FAIL() << "after change " << i;
	}
}

// Guards small tasks behind large ones that find no room, however many.
TEST_F(Pass, SmallTaskBehindManyLargeOnesStarts)
{
	seam_log_level(SEAM_ERROR);
	seam_fake_board_init(&f, SEAM_FAKE_POOLS);
	for (int i = 0; i < 200 * SEAM_FAKE_POOLS; i++)
		seam_fake_board_job(&f, 4, 40000, 1000, -1);
	for (int i = 0; i < SEAM_FAKE_POOLS; i++)
		seam_fake_board_job(&f, 1, 10000, 1000, -1);
	board_pass(f.board);
	for (int i = 0; i < SEAM_FAKE_POOLS; i++)
		EXPECT_EQ(runs_on(("w" + std::to_string(i)).c_str()), 2);
}

// Guards jobs that can never run, so that those behind them do.
TEST_F(Pass, TasksTooLargeForAnyWorkerBlockNothing)
{
	seam_log_level(SEAM_ERROR);
	seam_fake_board_init(&f, SEAM_FAKE_POOLS);
	for (int i = 0; i < 200 * SEAM_FAKE_POOLS; i++)
		seam_fake_board_job(&f, 1, 2 * SEAM_FAKE_WORKER_CPU, 1, -1);
	for (int i = 0; i < SEAM_FAKE_POOLS; i++)
		seam_fake_board_job(&f, 1, 10000, 1000, -1);
	board_pass(f.board);
	for (int i = 0; i < SEAM_FAKE_POOLS; i++)
		EXPECT_EQ(runs_on(("w" + std::to_string(i)).c_str()), 1);
}

// Guards against starts on a worker that may not be given any, though it has
// most room.
TEST_F(Pass, UnusableWorkersArePassedOver)
{
	seam_log_level(SEAM_ERROR);
	seam_fake_board_init(&f, 4 * SEAM_FAKE_POOLS);
	worker("w0")->info.draining = true;
	worker("w5")->shunned_until = SEAM_NEVER;
	worker("w10")->lane = -1;
	for (int i = 0; i < 10 * SEAM_FAKE_POOLS; i++)
		seam_fake_board_job(&f, 1, 10000, 1000, -1);
	board_pass(f.board);
	EXPECT_EQ(runs_on("w0") + runs_on("w5") + runs_on("w10"), 0);
	EXPECT_EQ(runs_on("w15"), 6);
}

// Guards against starts that wait behind workers that do not answer.
TEST_F(Pass, StartsWithoutAnswerMakeRoomForOthers)
{
	seam_log_level(SEAM_ERROR);
	seam_fake_board_init(&f, 60);
	for (int i = 0; i < 60; i++)
		seam_fake_board_job(&f, 20, 1000, 60000, -1);
	board_pass(f.board);
	int first = f.board->starting;
	EXPECT_LE(first, 256);
	board_pass(f.board);
	EXPECT_EQ(f.board->starting, first);
	usleep(310000);
	board_pass(f.board);
	EXPECT_EQ(f.board->starting, first);
	check();
}
