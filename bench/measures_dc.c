/* Work lost while a data centre is taken out at short notice and returns. */
#include <math.h>

#include "bench/measures.h"
#include "bench/route_sim.h"

#define OUT_AT (50 * SEAM_SEC)
#define OFF_AT (55 * SEAM_SEC) /* VMs of the data centre go down */
#define ON_AT (148 * SEAM_SEC) /* VMs are up again */
#define IN_AT (150 * SEAM_SEC)
#define CHANGE_DELAY (1 * SEAM_SEC) /* until the nodes have the change */
#define THREADS_DEFAULT 128
#define MEAN_RUN_MS (RUN_MS - 0.5) /* of RUN_MS / 2 + rnd() % RUN_MS */
#define OUT_DC 0 /* index of the data centre */

/* The mean rate fills a quarter of the slots, so a peak exceeds all of them. */
static double rate(int service, int targets, seam_time now)
{
	return targets * SLOTS * 1000.0 / RUN_MS * 0.25 *
	       seam_measure_peak(service, now);
}

static bool out(int dc, seam_time now)
{
	return dc == OUT_DC && now >= OUT_AT + CHANGE_DELAY &&
	       now < IN_AT + CHANGE_DELAY;
}

static bool off(int service, int target, seam_time now)
{
	(void)service;
	return target % 3 == OUT_DC && now >= OFF_AT && now < ON_AT;
}

/* Slots of the service that are available at @now. */
static double slots_at(const struct sim_plan *p, int service, seam_time now)
{
	int n = p->targets[service];

	if (out(OUT_DC, now))
		n -= (n + p->dcs - 1 - OUT_DC) / p->dcs;
	return n * SLOTS;
}

static double done_in_tick(const struct sim_plan *p, int service, seam_time now)
{
	return slots_at(p, service, now) * TICK / (MEAN_RUN_MS * SEAM_MSEC);
}

/*
 * Lower bound on the loss of any policy, from a fluid model: all slots are busy
 * while work waits, without network latency, and each service may use the
 * threads of all nodes.
 * @room: requests that can wait; only those that end within the deadline do.
 */
static double least_lost(const struct sim_plan *p, double room)
{
	double offered = 0;
	double gone = 0;
	int v;

	for (v = 0; v < p->services; v++) {
		double waits = 0;
		seam_time t;

		for (t = SEAM_SEC; t < p->end; t += TICK) {
			double in =
				p->rate(v, p->targets[v], t) * TICK / SEAM_SEC;
			double done = done_in_tick(p, v, t);
			double most = done * (double)p->deadline / TICK;
			double over;

			waits = fmax(0, waits + in - done);
			over = fmax(0, waits - fmin(room, most));
			waits -= over;
			if (t < p->from || t >= p->until)
				continue;
			offered += in;
			gone += over;
		}
	}
	return 100 * gone / offered;
}

/* Threads of the nodes that callers can reach while the data centre is out. */
static double threads_left(const struct sim_plan *p)
{
	int n = p->nodes - (p->nodes + p->dcs - 1 - OUT_DC) / p->dcs;

	return (double)n * p->threads;
}

static double lost(const struct sim *s)
{
	return 100.0 * (double)(s->offered - s->done) / (double)s->offered;
}

void seam_measure_dc(const struct deployment *d)
{
	struct sim_plan plan = {
		.nodes = 9,
		.services = MEASURE_SERVICES,
		.dcs = 3,
		.threads = 1024, /* as with the setting "threads" */
		.hop = d->hop,
		.end = 220 * SEAM_SEC,
		.deadline = 10 * SEAM_SEC, /* default of a service */
		.seed = seam_measure_seed,
		.rate = rate,
		.fails = off,
		.out = out,
		.from = OUT_AT,
		.until = 200 * SEAM_SEC,
	};
	struct sim *plain = calloc(1, sizeof(*plain));
	struct sim *ours = calloc(1, sizeof(*ours));

	if (!plain || !ours)
		abort();
	memcpy(plan.targets, seam_measure_instances, sizeof(plan.targets));
	sim_run(plain, &plan, RANDOM);
	sim_run(ours, &plan, TWO_CHOICES);
	seam_measure_print(d, "work lost, data centre change", "% of requests",
			   WEIGHT_SHARES, lost(plain), lost(ours));
	seam_measure_print(d, "least work lost by any policy", "% of requests",
			   WEIGHT_NONE, least_lost(&plan, 0),
			   least_lost(&plan, threads_left(&plan)));
	seam_measure_print(d, "the same without a bound on threads",
			   "% of requests", WEIGHT_NONE, least_lost(&plan, 0),
			   least_lost(&plan, plan.end));
	seam_measure_print(
		d, "attempts that failed", "% of requests", WEIGHT_NONE,
		100.0 * (double)plain->failed / (double)plain->offered,
		100.0 * (double)ours->failed / (double)ours->offered);
	seam_measure_print(d, "wait for a slot p50", "ms", WEIGHT_NONE,
			   sim_wait_ms(plain, 50), sim_wait_ms(ours, 50));
	seam_measure_print(d, "wait for a slot p99", "ms", WEIGHT_NONE,
			   sim_wait_ms(plain, 99), sim_wait_ms(ours, 99));
	plan.threads = THREADS_DEFAULT;
	sim_close(plain);
	sim_close(ours);
	sim_run(plain, &plan, RANDOM);
	sim_run(ours, &plan, TWO_CHOICES);
	seam_measure_print(d, "the same with 128 threads", "% of requests",
			   WEIGHT_NONE, lost(plain), lost(ours));
	sim_close(plain);
	sim_close(ours);
	free(plain);
	free(ours);
}
