/*
 * Cost of one choice, and waits, refusals and retries of three policies under
 * peaks and a failing target. The second part runs in simulated time: a table
 * of events and no threads, with a fixed seed.
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "request/route.h"

#define CHOICES 400000
#define NODES 8 /* entry VMs; each knows its own outstanding exactly */
#define TARGETS 12
#define SLOTS 8
#define TICK (1 * SEAM_MSEC)
#define SECONDS 120
#define RUN_MS 40 /* mean run time of a request */
#define DEADLINE_MS 2000
#define LOAD_PERIOD_MS 1000 /* peers tell their load once a second */
#define WAITS_MAX 4000000

static uint64_t seed = 88172645463325252ull;

static uint64_t rnd(void)
{
	seed ^= seed << 13;
	seed ^= seed >> 7;
	seed ^= seed << 17;
	return seed >> 11;
}

static void fill(struct seam_target_info *t, int i, int dcs)
{
	memset(t, 0, sizeof(*t));
	snprintf(t->id, sizeof(t->id), "vm-%d", i);
	snprintf(t->addr, sizeof(t->addr), "127.0.0.1:%d", 1 + i % 60000);
	snprintf(t->dc, sizeof(t->dc), "dc-%d", i % dcs);
	snprintf(t->service, sizeof(t->service), "s");
	t->slots = SLOTS;
	t->connections = 64;
}

static void cost_of_choice(int n)
{
	static const char *const region[] = {"dc-1", "dc-2", "dc-3"};
	struct seam_clock *k = seam_clock_real();
	struct seam_targets *ts = seam_targets_new(k);
	struct seam_target_info *info = calloc((size_t)n, sizeof(*info));
	struct seam_near near = {"dc-0", region, 3};
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_handle h;
	seam_time start;
	seam_time set;
	int i;

	for (i = 0; i < n; i++)
		fill(&info[i], i, 16);
	seam_targets_set(ts, info, (size_t)n);
	start = seam_now(k);
	seam_targets_set(ts, info, (size_t)n);
	set = seam_now(k) - start;
	start = seam_now(k);
	for (i = 0; i < CHOICES; i++) {
		if (seam_route_take(ts, "s", &near, NULL, start, &h, &e))
			abort();
		seam_route_release(ts, h);
	}
	printf("%8d %14.0f %16.1f\n", n,
	       (double)(seam_now(k) - start) * 1000 / CHOICES,
	       (double)set / 1000);
	seam_targets_free(ts);
	free(info);
}

enum policy { TWO_CHOICES, RANDOM, LEAST };

static const char *const policy_name[] = {"two choices", "random, plain retry",
					  "least loaded"};

/* One request in the simulation. */
struct req {
	seam_time arrived;
	seam_time end;
	int node;
	int target;
	int tries;
	struct seam_waiter waiter;
	char team[8];
};

struct sim {
	enum policy policy;
	seam_time now;
	struct seam_targets *ts[NODES];
	struct seam_handle h[NODES][TARGETS];
	struct seam_fair *queue[NODES];
	struct seam_fair *again[NODES]; /* refused as full */
	struct seam_budget budget[NODES];
	int told[NODES][TARGETS]; /* outstanding of a node as last told */
	int running[TARGETS];
	GPtrArray *in_flight;
	double *wait;
	int waits;
	long offered;
	long refused;
	long retries;
	long failed;
};

static struct seam_target *at(struct sim *s, int node, int i)
{
	struct seam_table *t = seam_targets_lock(s->ts[node]);
	struct seam_target *g = seam_table_get(t, s->h[node][i]);

	seam_targets_unlock(s->ts[node]);
	return g;
}

static int load(struct sim *s, int node, int i)
{
	return at(s, node, i)->outstanding + at(s, node, i)->peer_load;
}

static int index_of(struct sim *s, int node, struct seam_handle h)
{
	int i;

	for (i = 0; i < TARGETS; i++)
		if (seam_handle_eq(s->h[node][i], h))
			return i;
	return -1;
}

static int choose(struct sim *s, int node)
{
	struct seam_near near = {"dc-0", NULL, 0};
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_handle h;
	int best = -1;
	int i;

	if (s->policy == TWO_CHOICES)
		return seam_route_take(s->ts[node], "s", &near, NULL, s->now,
				       &h, &e) ?
			       -1 :
			       index_of(s, node, h);
	if (s->policy == RANDOM)
		best = (int)(rnd() % TARGETS);
	for (i = 0; i < TARGETS && s->policy == LEAST; i++)
		if (load(s, node, i) < SLOTS &&
		    (best < 0 || load(s, node, i) < load(s, node, best)))
			best = i;
	if (best >= 0)
		at(s, node, best)->outstanding++;
	return best;
}

/* The failing target answers at once with an error from 40 s to 80 s. */
static bool fails(const struct sim *s, int target)
{
	return target == 0 && s->now >= 40 * SEAM_SEC && s->now < 80 * SEAM_SEC;
}

static void let_go(struct sim *s, int node, int target,
		   enum seam_route_result result)
{
	if (s->policy == TWO_CHOICES)
		seam_route_report(s->ts[node], s->h[node][target], result,
				  s->now);
	seam_route_release(s->ts[node], s->h[node][target]);
}

static bool may_retry(struct sim *s, struct req *r)
{
	if (r->tries >= SEAM_ROUTE_TRIES)
		return false;
	if (s->policy == TWO_CHOICES &&
	    !seam_budget_retry(&s->budget[r->node], s->now))
		return false;
	s->retries++;
	return true;
}

static bool wait_again(struct sim *s, struct req *r)
{
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_waiter *out = NULL;

	if (s->policy != TWO_CHOICES || r->tries >= SEAM_ROUTE_TRIES ||
	    seam_fair_add(s->again[r->node], &r->waiter, s->now, &out, &e))
		return false;
	if (out) {
		s->refused++;
		g_free((char *)out - offsetof(struct req, waiter));
	}
	return true;
}

/* 1: runs now, 0: no slot, -1: refused or failed for good, 2: waits again. */
static int attempt(struct sim *s, struct req *r)
{
	for (;;) {
		int t = choose(s, r->node);

		if (t < 0)
			return 0;
		r->tries++;
		if (!fails(s, t) && s->running[t] < SLOTS) {
			s->running[t]++;
			r->target = t;
			r->end = s->now +
				 (RUN_MS / 2 + rnd() % RUN_MS) * SEAM_MSEC;
			s->wait[s->waits++] = (double)(s->now - r->arrived);
			g_ptr_array_add(s->in_flight, r);
			return 1;
		}
		let_go(s, r->node, t,
		       fails(s, t) ? SEAM_ROUTE_FAILED : SEAM_ROUTE_FULL);
		if (!fails(s, t) && r->waiter.at)
			return 2;
		if (!fails(s, t) && wait_again(s, r))
			return 1;
		if (!may_retry(s, r)) {
			s->failed += fails(s, t);
			s->refused += !fails(s, t);
			return -1;
		}
	}
}

static void arrive(struct sim *s, int node)
{
	struct req *r = g_new0(struct req, 1);
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_waiter *out;
	int rc = 0;

	s->offered++;
	r->arrived = s->now;
	r->node = node;
	snprintf(r->team, sizeof(r->team), "t%d", (int)(rnd() % 6));
	r->waiter.team = r->team;
	r->waiter.share = 1;
	r->waiter.deadline = s->now + DEADLINE_MS * SEAM_MSEC;
	seam_budget_first(&s->budget[node], s->now);
	if (!seam_fair_count(s->queue[node]))
		rc = attempt(s, r);
	if (rc > 0)
		return;
	/* The plain policies have no queue: no slot is a refusal. */
	if (!rc && s->policy == TWO_CHOICES &&
	    !seam_fair_add(s->queue[node], &r->waiter, s->now, &out, &e)) {
		if (out) {
			s->refused++;
			g_free((char *)out - offsetof(struct req, waiter));
		}
		return;
	}
	s->refused += !rc;
	g_free(r);
}

/* One turn: false if the first waiter has to wait on. */
static bool serve_first(struct sim *s, int node, struct seam_fair *f)
{
	struct seam_waiter *w = seam_fair_first(f);
	struct seam_budget *b = &s->budget[node];
	bool again = f == s->again[node];
	struct req *r;
	int rc;

	if (!w || (again && !seam_budget_retry(b, s->now)))
		return false;
	r = (struct req *)((char *)w - offsetof(struct req, waiter));
	rc = s->now < w->deadline ? attempt(s, r) : -2;
	if (again && (!rc || rc == -2))
		seam_budget_refund(b);
	if (!rc)
		return false;
	s->retries += again && rc != -2;
	if (rc == 1) {
		seam_fair_served(f, w, s->now);
		return true;
	}
	seam_fair_drop(f, w);
	if (rc == 2 && wait_again(s, r))
		return true;
	s->refused += rc != -1;
	g_free(r);
	return true;
}

static void serve_queues(struct sim *s, int node)
{
	while (serve_first(s, node, s->queue[node]))
		continue;
	while (serve_first(s, node, s->again[node]))
		continue;
}

static void finish(struct sim *s)
{
	guint i;

	for (i = 0; i < s->in_flight->len; i++) {
		struct req *r = s->in_flight->pdata[i];

		if (r->end > s->now)
			continue;
		s->running[r->target]--;
		let_go(s, r->node, r->target, SEAM_ROUTE_WORKED);
		seam_fair_ran(s->queue[r->node], RUN_MS * SEAM_MSEC);
		seam_fair_ran(s->again[r->node], RUN_MS * SEAM_MSEC);
		g_ptr_array_remove_index_fast(s->in_flight, i--);
		g_free(r);
	}
}

/* Each node tells the others; for the plain policies too. */
static void tell(struct sim *s)
{
	int n;
	int i;
	int m;

	for (i = 0; i < TARGETS; i++) {
		int all = 0;
		char id[16];

		snprintf(id, sizeof(id), "vm-%d", i);
		for (n = 0; n < NODES; n++)
			all += at(s, n, i)->outstanding;
		for (m = 0; m < NODES; m++)
			seam_targets_peer_load(s->ts[m], id,
					       all - at(s, m, i)->outstanding);
	}
}

/* Offered load: a mean of 35% of the slots, five times that in peaks. */
static double rate(seam_time now)
{
	double slots = (double)TARGETS * SLOTS;
	double mean = slots * 1000 / RUN_MS * 0.35;
	int second = (int)(now / SEAM_SEC) % 20;

	return second < 3 ? mean * 5 : mean * 0.6;
}

static int by_value(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

static void sim_start(struct sim *s, struct seam_fake_clock *k)
{
	struct seam_target_info info[TARGETS];
	int n;
	int i;

	s->in_flight = g_ptr_array_new();
	s->wait = malloc(WAITS_MAX * sizeof(*s->wait));
	for (n = 0; n < NODES; n++) {
		struct seam_handle h = SEAM_NONE;

		s->ts[n] = seam_targets_new(&k->clock);
		for (i = 0; i < TARGETS; i++)
			fill(&info[i], i, 1);
		seam_targets_set(s->ts[n], info, TARGETS);
		for (i = 0; i < TARGETS; i++) {
			seam_table_next(seam_targets_lock(s->ts[n]), &h);
			seam_targets_unlock(s->ts[n]);
			s->h[n][i] = h;
		}
		s->queue[n] = seam_fair_new(SEAM_WAITERS_MAX);
		s->again[n] = seam_fair_new(SEAM_WAITERS_MAX);
	}
}

static void simulate(enum policy p)
{
	struct sim s = {.policy = p, .now = 1 * SEAM_SEC};
	struct seam_fake_clock k;
	double due = 0;
	int n;

	seed = 88172645463325252ull;
	seam_route_seed(seed);
	seam_fake_init(&k, s.now);
	sim_start(&s, &k);
	for (; s.now < SECONDS * SEAM_SEC; s.now += TICK) {
		finish(&s);
		if (s.now / SEAM_MSEC % LOAD_PERIOD_MS == 0)
			tell(&s);
		for (n = 0; n < NODES; n++)
			serve_queues(&s, n);
		due += rate(s.now) * TICK / SEAM_SEC;
		for (n = (int)due, due -= n; n > 0; n--)
			arrive(&s, (int)(rnd() % NODES));
	}
	qsort(s.wait, (size_t)s.waits, sizeof(*s.wait), by_value);
	printf("%-20s %8ld %9.1f %9.1f %9.2f%% %9.2f%% %9.2f%%\n",
	       policy_name[p], s.offered, s.wait[s.waits / 2] / 1000,
	       s.wait[(size_t)s.waits * 99 / 100] / 1000,
	       100.0 * (double)s.refused / (double)s.offered,
	       100.0 * (double)s.failed / (double)s.offered,
	       100.0 * (double)s.retries / (double)s.offered);
	free(s.wait);
}

int main(void)
{
	static const int sizes[] = {50, 500, 5000, 25000};
	size_t i;

	printf("%8s %14s %16s\n", "targets", "choice (ns)", "list again (ms)");
	for (i = 0; i < sizeof(sizes) / sizeof(*sizes); i++)
		cost_of_choice(sizes[i]);
	printf("\n%-20s %8s %9s %9s %10s %10s %10s\n", "policy", "requests",
	       "p50 ms", "p99 ms", "refused", "failed", "retries");
	for (i = 0; i < 3; i++)
		simulate((enum policy)i);
	return 0;
}
