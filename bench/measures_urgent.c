/* Start latency of urgent tasks on a fully loaded fleet. */
#include "bench/measure.h"
#include "bench/measures.h"
#include "bench/task_fleet.h"

#define SAMPLES 100
#define SAMPLE_STEPS 20 /* one urgent task every 2 s */
#define WAIT_STEPS 6000

struct sample {
	char id[SEAM_TASK_ID_SIZE];
	seam_time at;
	bool started;
};

struct run {
	struct task_fleet fleet;
	int64_t task; /* an eighth of a worker, in millicores */
	struct sample s[SAMPLES];
	double wait[SAMPLES]; /* seconds */
	int n;
	int waiting;
};

/* Submits normal tasks that run for one to three minutes. */
static void add_background_tasks(struct run *r, int n)
{
	char id[SEAM_TASK_ID_SIZE];

	while (n--)
		put(&r->fleet, "q", r->task, (int)(r->task * 9 / 10),
		    60000 + (int)(rnd() % 120000), false, id);
}

static void record_starts(struct run *r)
{
	int i;

	for (i = 0; i < r->n; i++) {
		struct sample *s = &r->s[i];

		if (s->started ||
		    !seam_fake_workers_starts(r->fleet.workers, s->id))
			continue;
		s->started = true;
		r->waiting--;
		r->wait[i] = (double)(r->fleet.clock.time - s->at) / SEAM_SEC;
	}
}

static void add_urgent(struct run *r, bool lane)
{
	struct sample *s = &r->s[r->n];

	if (put(&r->fleet, "v", r->task, (int)(r->task * 9 / 10), 5000, lane,
		s->id))
		return;
	s->at = r->fleet.clock.time;
	r->n++;
	r->waiting++;
}

static void open_run(struct run *r, const struct deployment *d, bool lane)
{
	static struct seam_task_order fifo = {&fifo_ops};

	memset(r, 0, sizeof(*r));
	seed = 88172645463325252ull;
	r->task = d->cores * 1000 / 8;
	task_fleet_new(&r->fleet, d->cores, 3);
	if (lane)
		return;
	r->fleet.c.order->ops->free(r->fleet.c.order);
	r->fleet.c.order = &fifo;
	seam_tasks_free(r->fleet.tasks);
	r->fleet.tasks = seam_tasks_new(&r->fleet.c);
}

/* 800 tasks are twice the fleet's capacity; 3.5 more arrive each second. */
static void urgent(struct run *r, const struct deployment *d, bool lane)
{
	int i;

	open_run(r, d, lane);
	add_background_tasks(r, 800);
	for (i = 0; i < 100; i++)
		step(&r->fleet);
	for (i = 0; i < SAMPLES * SAMPLE_STEPS; i++) {
		if (i % SAMPLE_STEPS == 0) {
			add_background_tasks(r, 7);
			add_urgent(r, lane);
		}
		step(&r->fleet);
		record_starts(r);
	}
	for (i = 0; r->waiting && i < WAIT_STEPS; i++) {
		step(&r->fleet);
		record_starts(r);
	}
	/* A task that never started counts with the time until the end of the
	 * run. */
	for (i = 0; i < r->n; i++)
		if (!r->s[i].started)
			r->wait[i] =
				(double)(r->fleet.clock.time - r->s[i].at) /
				SEAM_SEC;
	qsort(r->wait, (size_t)r->n, sizeof(*r->wait), by_double);
	task_fleet_free(&r->fleet);
}

void seam_measure_urgent(const struct deployment *d)
{
	struct run *fifo = malloc(sizeof(*fifo));
	struct run *lane = malloc(sizeof(*lane));

	if (!fifo || !lane)
		abort();
	urgent(fifo, d, false);
	urgent(lane, d, true);
	seam_measure_print(d, "urgent start p50", "s", WEIGHT_NORMAL,
			   percentile(fifo->wait, (size_t)fifo->n, 50),
			   percentile(lane->wait, (size_t)lane->n, 50));
	seam_measure_print(d, "urgent start p99", "s", WEIGHT_NORMAL,
			   percentile(fifo->wait, (size_t)fifo->n, 99),
			   percentile(lane->wait, (size_t)lane->n, 99));
	seam_measure_print(d, "urgent tasks refused", "of 100", WEIGHT_NONE,
			   SAMPLES - fifo->n, SAMPLES - lane->n);
	free(fifo);
	free(lane);
}
