/*
 * Buffer cost and moves: five service pools whose queues peak in turn for 10 s.
 * Work waits for a VM of its pool, so a peak above the pool's size delays it.
 */
#include <math.h>

#include "bench/measures.h"
#include "bench/pool_fleet.h"

#define SPAN (6 * HOUR)
#define WARM_UP (1 * HOUR) /* for the forecast; excluded from the results */
#define SPARE MEASURE_SERVICES
#define MEAN_LOAD 0.25 /* fraction of the instances */
#define LIMIT 10 /* seconds that work may wait; default of a service */

struct queue {
	double backlog; /* VM seconds */
	double wait; /* longest, seconds */
};

struct cost {
	double idle; /* VM hours */
	double shed; /* VM hours of work over the maximum wait */
	double wait; /* longest, seconds */
	int moves;
};

/* Runs the queue for 1 s on @have VMs; returns the number of busy VMs. */
static double serve(struct queue *q, double need, double have, struct cost *c,
		    bool counted)
{
	double ran = fmin(have, need + q->backlog);
	double over;

	q->backlog += need - ran;
	over = fmax(0, q->backlog - have * LIMIT);
	q->backlog -= over;
	if (!counted)
		return ran;
	c->shed += over / 3600;
	c->wait = fmax(c->wait, have > 0 ? q->backlog / have : LIMIT);
	return ran;
}

static double need_of(int i, seam_time t)
{
	return seam_measure_instances[i] * MEAN_LOAD * seam_measure_peak(i, t);
}

/* Baseline: pools of fixed size. */
static struct cost fixed(void)
{
	struct queue q[MEASURE_SERVICES] = {{0}};
	struct cost c = {0};
	seam_time t;
	int i;

	for (t = 0; t < SPAN; t += SEC)
		for (i = 0; i < MEASURE_SERVICES; i++) {
			int have = seam_measure_instances[i];
			double ran = serve(&q[i], need_of(i, t), have, &c,
					   t >= WARM_UP);

			if (t >= WARM_UP)
				c.idle += (have - ran) / 3600;
		}
	return c;
}

/* VMs of the spare pool above its target size, which can be returned. */
static int returnable(struct bench *b)
{
	struct seam_pool_row r;
	int64_t n;

	if (seam_pool_get_row(b->ps, "spare", &r))
		return 0;
	n = seam_pool_count(&r).active - r.forecast.want;
	seam_pool_row_free(&r);
	return n > 0 ? (int)n : 0;
}

static struct bench *fleet(const struct deployment *d, int *vms)
{
	GString *s = g_string_new("[");
	struct bench *b;
	char name[16];
	int i;
	int j;

	for (i = 0; i < MEASURE_SERVICES; i++)
		g_string_append_printf(s,
				       "{\"name\":\"s%d\",\"kind\":\"service\","
				       "\"min\":2,\"max\":%d,\"budget\":3},",
				       i, seam_measure_instances[i] + 4);
	g_string_append(s, "{\"name\":\"spare\",\"kind\":\"spare\","
			   "\"budget\":32}]");
	b = bench_new(s->str, d->size());
	g_string_free(s, TRUE);
	*vms = 0;
	for (i = 0; i < MEASURE_SERVICES; i++) {
		snprintf(name, sizeof(name), "s%d", i);
		for (j = 0; j < seam_measure_instances[i]; j++, (*vms)++)
			add_vm(b, *vms, j % 3, 100 + *vms, name, 1);
	}
	return b;
}

static void report(struct bench *b, const char *pool, double need,
		   double backlog)
{
	struct seam_demand_report r = {
		.busy = (int64_t)(need * 1000),
		.waiting = (int64_t)(backlog * 1000),
		.per_vm = 1000,
		.valid_until = b->clock.time + 3 * SEC,
	};

	seam_demand_set(b->demand, pool, "bench", &r);
}

static struct cost sized(const struct deployment *d)
{
	struct queue q[MEASURE_SERVICES] = {{0}};
	struct cost c = {0};
	seam_time t;
	char name[16];
	int vms;
	struct bench *b = fleet(d, &vms);
	int i;

	step(b, SEC);
	step(b, SEC);
	for (t = 0; t < SPAN; t += SEC) {
		double used = 0;

		for (i = 0; i < MEASURE_SERVICES; i++) {
			double ran;

			snprintf(name, sizeof(name), "s%d", i);
			ran = serve(&q[i], need_of(i, t), active_in(b, name),
				    &c, t >= WARM_UP);
			report(b, name, ran, q[i].backlog);
			used += ran;
		}
		if (t >= WARM_UP)
			c.idle += (vms - used - returnable(b)) / 3600;
		step(b, SEC);
	}
	c.moves = seam_fake_platform_reboots(b->fake);
	bench_free(b);
	return c;
}

void seam_measure_buffers(const struct deployment *d)
{
	struct cost plain = fixed();
	struct cost ours = sized(d);

	seam_measure_print(d, "buffer cost", "idle VM hours", WEIGHT_BUFFERS,
			   plain.idle, ours.idle);
	seam_measure_print(d, "moves", "in 6 h", WEIGHT_BUFFERS, plain.moves,
			   ours.moves);
	seam_measure_print(d, "work shed by small pools", "VM hours",
			   WEIGHT_NONE, plain.shed, ours.shed);
	seam_measure_print(d, "longest wait for a pool", "s", WEIGHT_NONE,
			   plain.wait, ours.wait);
}
