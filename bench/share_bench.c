/* Distance of teams from their shares, and cost of computing shares. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "bench/share_run.h"

static double seconds(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (double)t.tv_sec + (double)t.tv_nsec * 1e-9;
}

static void print_cost(int teams)
{
	struct seam_share *s = seam_share_new();
	struct seam_resources all = {{26000 * 64000ll, 26000 * 128000ll, 4000}};
	struct seam_handle t;
	struct seam_handle w;
	int rounds = 200;
	double start;
	int i;
	int j;

	seam_share_capacity(s, &all);
	for (i = 0; i < teams; i++) {
		struct seam_handle team = seam_share_team(s, 1 + i % 5);

		for (j = 0; j < 6; j++) {
			struct seam_resources d = {
				{(int64_t)(rnd() % 1000000000),
				 (int64_t)(rnd() % 2000000000),
				 (int64_t)(rnd() % 3 ? 0 : rnd() % 40)}};

			w = seam_share_workspace(s, team, 1 + j);
			seam_share_demand(s, w, &d);
		}
	}
	start = seconds();
	for (i = 0; i < rounds; i++)
		seam_share_compute(s);
	printf("share computation, %3d teams, 6 workspaces each: %.1f us",
	       teams, (seconds() - start) * 1e6 / rounds);
	start = seconds();
	for (i = 0; i < rounds * 10; i++)
		seam_share_next(s, NULL, NULL, &t, &w);
	printf(", choice of the next team: %.2f us\n",
	       (seconds() - start) * 1e6 / rounds / 10);
	seam_share_free(s);
}

int main(void)
{
	static const char *const policy_name[] = {
		"shares", "fixed quotas", "first come", "daemon's order"};
	int p;

	for (p = SHARES; p <= DAEMON_ORDER; p++) {
		struct share_run r = {.policy = (enum share_policy)p,
				      .slots = 3200, /* 50 workers of 64 */
				      .weight = {1, 2, 3, 1, 2, 3}};

		share_run(&r);
		printf("distance from share, %s: %.2f%% of the fleet a team "
		       "(%.2f%% when all is full), %.1f%% of the fleet in "
		       "use\n",
		       policy_name[p], 100 * r.distance, 100 * r.full,
		       100 * r.used);
	}
	print_cost(10);
	print_cost(100);
	print_cost(710);
	return 0;
}
