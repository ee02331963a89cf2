/* Shares: distance from the share, cost of a computation. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "process/share.h"

static uint64_t rnd_state = 88172645463325252ull;

static uint64_t rnd(void)
{
	rnd_state ^= rnd_state << 13;
	rnd_state ^= rnd_state >> 7;
	rnd_state ^= rnd_state << 17;
	return rnd_state;
}

static double seconds(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (double)t.tv_sec + (double)t.tv_nsec * 1e-9;
}

#define SHARERS 6
#define SLOTS 3200 /* cores: 50 workers of 64 */

struct line {
	struct seam_handle team;
	struct seam_handle workspace;
	int64_t weight;
	int64_t waiting;
	int64_t running;
	int64_t oldest; /* arrival of the first waiting task, in steps */
};

/* One core a task; a sixtieth of the tasks ends in each second. */
static void arrive(struct line *l, int n, int step)
{
	int i;

	for (i = 0; i < n; i++) {
		int64_t ends = (l[i].running + (int64_t)(rnd() % 60)) / 60;
		int peak = (step / 120 + i) % SHARERS == 0;

		l[i].running -= ends;
		if (!l[i].waiting)
			l[i].oldest = step;
		/* 59 or 43 a second in all; the fleet can end 53. */
		l[i].waiting += peak ? (step / 720 % 2 ? 54 : 38) : 1;
	}
}

static void tell(struct seam_share *s, const struct line *l, int n)
{
	int i;

	for (i = 0; i < n; i++) {
		struct seam_amount d = {{l[i].waiting + l[i].running, 0, 0}};

		seam_share_demand(s, l[i].workspace, &d);
	}
	seam_share_compute(s);
}

static int next_first_come(struct line *l, int n, bool quota)
{
	int64_t weights = 0;
	int best = -1;
	int i;

	for (i = 0; i < n; i++)
		weights += l[i].weight;
	for (i = 0; i < n; i++) {
		if (!l[i].waiting ||
		    (quota && l[i].running >= SLOTS * l[i].weight / weights))
			continue;
		if (best < 0 || l[i].oldest < l[best].oldest)
			best = i;
	}
	return best;
}

static int next_share(struct seam_share *s, const struct line *l, int n)
{
	struct seam_handle t;
	struct seam_handle w;
	int i;

	if (!seam_share_next(s, NULL, NULL, &t, &w))
		return -1;
	for (i = 0; i < n; i++)
		if (seam_handle_eq(l[i].team, t))
			return i;
	return -1;
}

enum policy { SHARES, QUOTAS, FIRST_COME };

static void start_tasks(struct seam_share *s, struct line *l, int n,
			enum policy p, int step)
{
	struct seam_amount one = {{1, 0, 0}};
	int64_t free_slots = SLOTS;
	int i;

	for (i = 0; i < n; i++)
		free_slots -= l[i].running;
	while (free_slots-- > 0) {
		i = p == SHARES ? next_share(s, l, n) :
				  next_first_come(l, n, p == QUOTAS);
		if (i < 0)
			return;
		l[i].waiting--;
		l[i].running++;
		/* Arrival order within a team is approximated by its age. */
		if (l[i].waiting && l[i].oldest < step && rnd() % 32 == 0)
			l[i].oldest++;
		seam_share_use(s, l[i].workspace, &one, 1);
	}
}

static void sync_use(struct seam_share *s, struct line *l, int n,
		     int64_t *before)
{
	int i;

	for (i = 0; i < n; i++) {
		struct seam_amount d = {{before[i] - l[i].running, 0, 0}};

		seam_share_use(s, l[i].workspace, &d, -1);
	}
}

static double distance(enum policy p, double *used)
{
	struct seam_share *s = seam_share_new();
	struct seam_amount all = {{SLOTS, 1, 1}};
	struct line l[SHARERS];
	int64_t before[SHARERS];
	double sum = 0;
	double busy = 0;
	int steps = 7200;
	int step;
	int i;

	rnd_state = 88172645463325252ull;
	memset(l, 0, sizeof(l));
	seam_share_capacity(s, &all);
	for (i = 0; i < SHARERS; i++) {
		l[i].weight = 1 + i % 3;
		l[i].team = seam_share_team(s, l[i].weight);
		l[i].workspace = seam_share_workspace(s, l[i].team, 1);
	}
	for (step = 0; step < steps; step++) {
		for (i = 0; i < SHARERS; i++)
			before[i] = l[i].running;
		arrive(l, SHARERS, step);
		sync_use(s, l, SHARERS, before);
		tell(s, l, SHARERS);
		start_tasks(s, l, SHARERS, p, step);
		for (i = 0; i < SHARERS; i++) {
			double d = seam_share_used(s, l[i].team, SEAM_NONE) -
				   seam_share_entitled(s, l[i].team, SEAM_NONE,
						       NULL);

			sum += d < 0 ? -d : d;
			busy += (double)l[i].running;
		}
	}
	*used = busy / steps / SLOTS;
	seam_share_free(s);
	return sum / steps / SHARERS;
}

static void cost(int teams)
{
	struct seam_share *s = seam_share_new();
	struct seam_amount all = {{26000 * 64000ll, 26000 * 128000ll, 4000}};
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
			struct seam_amount d = {
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
	static const char *const name[] = {"shares", "fixed quotas",
					   "first come"};
	double used;
	int p;

	for (p = SHARES; p <= FIRST_COME; p++) {
		double d = distance((enum policy)p, &used);

		printf("distance from share, %s: %.2f%% of the fleet a team, "
		       "%.1f%% of the fleet in use\n",
		       name[p], 100 * d, 100 * used);
	}
	cost(10);
	cost(100);
	cost(710);
	return 0;
}
