/*
 * Measures the cost of choosing a target, and in simulated time the waits,
 * refusals and retries of three policies under load peaks and a failing target.
 */
#include <stdio.h>

#include "bench/route_sim.h"

#define CHOICES 400000
#define SECONDS 120

static void measure_choice(int n)
{
	static const char *const region[] = {"dc-1", "dc-2", "dc-3"};
	struct seam_clock *k = seam_clock_real();
	struct seam_targets *ts = seam_targets_new(k);
	struct seam_target_info *info = calloc((size_t)n, sizeof(*info));
	struct seam_locality near = {"dc-0", region, 3};
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_handle h;
	seam_time start;
	seam_time set;
	int i;

	for (i = 0; i < n; i++)
		sim_info(&info[i], 0, i, 16);
	seam_targets_set(ts, info, (size_t)n);
	start = seam_now(k);
	seam_targets_set(ts, info, (size_t)n);
	set = seam_now(k) - start;
	start = seam_now(k);
	for (i = 0; i < CHOICES; i++) {
		if (seam_route_acquire(ts, "s0", &near, NULL, start, &h, &e))
			abort();
		seam_route_release(ts, h);
	}
	printf("%8d %14.0f %16.1f\n", n,
	       (double)(seam_now(k) - start) * 1000 / CHOICES,
	       (double)set / 1000);
	seam_targets_free(ts);
	free(info);
}

static const char *const policy_name[] = {"two choices", "random, plain retry",
					  "least loaded"};

/* Target 0 responds immediately with an error from 40 s to 80 s. */
static bool fails(int service, int target, seam_time now)
{
	(void)service;
	return target == 0 && now >= 40 * SEAM_SEC && now < 80 * SEAM_SEC;
}

/* Offered load: 35% of the slots on average, five times that in peaks. */
static double rate(int service, int targets, seam_time now)
{
	double mean = (double)targets * SLOTS * 1000 / RUN_MS * 0.35;
	int second = (int)(now / SEAM_SEC) % 20;

	(void)service;
	return second < 3 ? mean * 5 : mean * 0.6;
}

static const struct sim_plan plan = {
	.nodes = 8,
	.services = 1,
	.targets = {12},
	.dcs = 1,
	.end = SECONDS * SEAM_SEC,
	.deadline = 2 * SEAM_SEC,
	.rate = rate,
	.fails = fails,
	.until = SEAM_NEVER,
};

static void simulate(enum policy p)
{
	struct sim s;

	sim_run(&s, &plan, p);
	printf("%-20s %8ld %9.1f %9.1f %9.2f%% %9.2f%% %9.2f%%\n",
	       policy_name[p], s.offered, sim_wait_ms(&s, 50),
	       sim_wait_ms(&s, 99),
	       100.0 * (double)s.refused / (double)s.offered,
	       100.0 * (double)s.failed / (double)s.offered,
	       100.0 * (double)s.retries / (double)s.offered);
	sim_close(&s);
}

int main(void)
{
	static const int sizes[] = {50, 500, 5000, 25000};
	size_t i;

	printf("%8s %14s %16s\n", "targets", "choice (ns)", "list again (ms)");
	for (i = 0; i < sizeof(sizes) / sizeof(*sizes); i++)
		measure_choice(sizes[i]);
	printf("\n%-20s %8s %9s %9s %10s %10s %10s\n", "policy", "requests",
	       "p50 ms", "p99 ms", "refused", "failed", "retries");
	for (i = 0; i < 3; i++)
		simulate((enum policy)i);
	return 0;
}
