/*
 * CPU time of a scheduling pass by number of waiting tasks and workers. The
 * pools are full; runs end and others start in their place. Single thread.
 */
#include "base/log.h"
#include "bench/measure.h"
#include "fake/scheduler.h"

#define TASKS_PER_JOB 13
/* Runs that end between two passes: 2,000 a second at 60 passes a second. */
#define ENDS_PER_ROUND 32
#define ROUNDS 100
#define TASK_CPU_MILLI 5600
#define TASK_MS 640
#define WORKERS_PER_RACK 12

static void add_job(struct seam_fake_scheduler *f)
{
	seam_fake_scheduler_add_job(
		f, TASKS_PER_JOB, TASK_CPU_MILLI, TASK_MS,
		(int)(rnd() % (uint64_t)(f->workers / WORKERS_PER_RACK + 1)));
}

/* Ends runs on workers spread over the fleet. */
static void end_runs(struct seam_fake_scheduler *f)
{
	size_t gap = (size_t)f->workers / ENDS_PER_ROUND ?
			     (size_t)f->workers / ENDS_PER_ROUND :
			     1;
	size_t at = rnd() % (size_t)f->workers;
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_worker *w;
	size_t i;
	int ended = 0;

	for (i = 0; ended < ENDS_PER_ROUND; i++) {
		w = seam_table_next(f->sched->workers, &h);
		if (!w)
			h = SEAM_HANDLE_NONE;
		else if (!((i + at) % gap))
			ended += seam_fake_scheduler_end_run(f, w);
	}
}

/*
 * Runs passes until no more tasks can be started; returns the number of runs.
 */
static int fill(struct seam_fake_scheduler *f)
{
	int running = 0;
	int before;

	do {
		before = running;
		scheduler_pass(f->sched);
		running = seam_fake_scheduler_ack_orders(f);
	} while (running > before);
	return running;
}

static void measure(int waiting, int workers)
{
	struct seam_fake_scheduler f;
	int room = workers * (SEAM_FAKE_WORKER_CPU / TASK_CPU_MILLI);
	int64_t spent = 0;
	int starts = 0;
	int running;
	int i;

	seam_fake_scheduler_init(&f, workers);
	for (i = 0; i < (room + waiting) / TASKS_PER_JOB; i++)
		add_job(&f);
	running = fill(&f);
	for (i = 0; i < ROUNDS; i++) {
		int64_t start;

		end_runs(&f);
		while (f.jobs * TASKS_PER_JOB <
		       (uint64_t)room + (uint64_t)waiting +
			       (uint64_t)i * ENDS_PER_ROUND)
			add_job(&f);
		start = cpu_ns();
		scheduler_pass(f.sched);
		spent += cpu_ns() - start;
		starts -= running - ENDS_PER_ROUND;
		running = seam_fake_scheduler_ack_orders(&f);
		starts += running;
	}
	printf("%8d %8d %10d %12.0f %12.1f\n", waiting, workers, starts,
	       (double)spent / 1000 / ROUNDS, (double)spent / 1000 / starts);
	seam_fake_scheduler_clear(&f);
}

int main(void)
{
	static const int waiting[] = {100, 1000, 10000, 30000};
	static const int workers[] = {30, 350, 3000, 26000};
	size_t i;
	size_t k;

	seam_log_set_level(SEAM_ERROR);
	printf("%8s %8s %10s %12s %12s\n", "waiting", "workers", "starts",
	       "us a pass", "us a start");
	for (k = 0; k < sizeof(workers) / sizeof(*workers); k++)
		for (i = 0; i < sizeof(waiting) / sizeof(*waiting); i++)
			measure(waiting[i], workers[k]);
	return 0;
}
