/* Work done while a data centre leaves at short notice and returns. */
#include "bench/measures.h"
#include "bench/route_sim.h"

#define OUT_AT (50 * SEAM_SEC)
#define OFF_AT (55 * SEAM_SEC) /* its VMs are off */
#define ON_AT (148 * SEAM_SEC) /* and on again */
#define IN_AT (150 * SEAM_SEC)
#define SPREAD (1 * SEAM_SEC) /* until the nodes know the change */
#define THREADS_DEFAULT 128
#define GONE 0 /* the data centre */

/* A quarter of the slots is the mean, so that a peak passes all of them. */
static double rate(int service, int targets, seam_time now)
{
	return targets * SLOTS * 1000.0 / RUN_MS * 0.25 *
	       seam_measure_peak(service, now);
}

static bool out(int dc, seam_time now)
{
	return dc == GONE && now >= OUT_AT + SPREAD && now < IN_AT + SPREAD;
}

static bool off(int service, int target, seam_time now)
{
	(void)service;
	return target % 3 == GONE && now >= OFF_AT && now < ON_AT;
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
		.threads = 1024, /* by the setting "threads" */
		.hop = d->hop,
		.end = 220 * SEAM_SEC,
		.deadline = 10 * SEAM_SEC, /* default of a service */
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
			   SHARES_WEIGH, lost(plain), lost(ours));
	seam_measure_print(
		d, "attempts that failed", "% of requests", NO_AIM,
		100.0 * (double)plain->failed / (double)plain->offered,
		100.0 * (double)ours->failed / (double)ours->offered);
	seam_measure_print(d, "wait for a slot p50", "ms", NO_AIM,
			   sim_wait_ms(plain, 50), sim_wait_ms(ours, 50));
	seam_measure_print(d, "wait for a slot p99", "ms", NO_AIM,
			   sim_wait_ms(plain, 99), sim_wait_ms(ours, 99));
	plan.threads = THREADS_DEFAULT;
	sim_close(plain);
	sim_close(ours);
	sim_run(plain, &plan, RANDOM);
	sim_run(ours, &plan, TWO_CHOICES);
	seam_measure_print(d, "the same with 128 threads", "% of requests",
			   NO_AIM, lost(plain), lost(ours));
	sim_close(plain);
	sim_close(ours);
	free(plain);
	free(ours);
}
