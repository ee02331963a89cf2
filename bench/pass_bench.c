/*
 * Cost of the owner's placing by waiting tasks and workers: the pools are full,
 * some runs end, others start in their place. Processor time of one thread.
 */
#include "base/log.h"
#include "bench/measure.h"
#include "fake/board.h"

#define JOB_TASKS 13
#define ENDS 32 /* runs that end between two passes: 2,000 a second at 60 */
#define ROUNDS 100
#define TASK_CPU 5600
#define TASK_MS 640
#define RACK_WORKERS 12

static void add_job(struct seam_fake_board *f)
{
	seam_fake_board_job(
		f, JOB_TASKS, TASK_CPU, TASK_MS,
		(int)(rnd() % (uint64_t)(f->workers / RACK_WORKERS + 1)));
}

/* Ends runs on workers all over the fleet. */
static void end_runs(struct seam_fake_board *f)
{
	size_t gap = (size_t)f->workers / ENDS ? (size_t)f->workers / ENDS : 1;
	size_t at = rnd() % (size_t)f->workers;
	struct seam_handle h = SEAM_NONE;
	struct seam_worker *w;
	size_t i;
	int ended = 0;

	for (i = 0; ended < ENDS; i++) {
		w = seam_table_next(f->board->workers, &h);
		if (!w)
			h = SEAM_NONE;
		else if (!((i + at) % gap))
			ended += seam_fake_board_end(f, w);
	}
}

/* Passes until nothing more can be started. */
static int fill(struct seam_fake_board *f)
{
	int running = 0;
	int before;

	do {
		before = running;
		board_pass(f->board);
		running = seam_fake_board_answer(f);
	} while (running > before);
	return running;
}

static void measure(int waiting, int workers)
{
	struct seam_fake_board f;
	int room = workers * (SEAM_FAKE_WORKER_CPU / TASK_CPU);
	int64_t spent = 0;
	int starts = 0;
	int running;
	int i;

	seam_fake_board_init(&f, workers);
	for (i = 0; i < (room + waiting) / JOB_TASKS; i++)
		add_job(&f);
	running = fill(&f);
	for (i = 0; i < ROUNDS; i++) {
		int64_t start;

		end_runs(&f);
		while (f.jobs * JOB_TASKS <
		       (uint64_t)room + (uint64_t)waiting + (uint64_t)i * ENDS)
			add_job(&f);
		start = cpu_ns();
		board_pass(f.board);
		spent += cpu_ns() - start;
		starts -= running - ENDS;
		running = seam_fake_board_answer(&f);
		starts += running;
	}
	printf("%8d %8d %10d %12.0f %12.1f\n", waiting, workers, starts,
	       (double)spent / 1000 / ROUNDS, (double)spent / 1000 / starts);
	seam_fake_board_clear(&f);
}

int main(void)
{
	static const int waiting[] = {100, 1000, 10000, 30000};
	static const int workers[] = {30, 350, 3000, 26000};
	size_t i;
	size_t k;

	seam_log_level(SEAM_ERROR);
	printf("%8s %8s %10s %12s %12s\n", "waiting", "workers", "starts",
	       "us a pass", "us a start");
	for (k = 0; k < sizeof(workers) / sizeof(*workers); k++)
		for (i = 0; i < sizeof(waiting) / sizeof(*waiting); i++)
			measure(waiting[i], workers[k]);
	return 0;
}
