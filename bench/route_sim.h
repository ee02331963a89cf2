#ifndef ROUTE_SIM_H
#define ROUTE_SIM_H

/*
 * Requests in simulated time: a table of events and no threads, with a fixed
 * seed. Entry nodes route to the targets of several services; each node knows
 * its own outstanding exactly and that of others once a second.
 */

#include "bench/route_plan.h"

static inline bool target_fails(const struct sim *s, int service, int target)
{
	return s->plan->fails && s->plan->fails(service, target, s->now);
}

static inline void let_go(struct sim *s, const struct req *r, int target,
			  enum seam_route_result result)
{
	struct seam_handle h = s->lane[r->node][r->service].h[target];

	if (s->policy == TWO_CHOICES)
		seam_route_report(s->ts[r->node], h, result, s->now);
	seam_route_release(s->ts[r->node], h);
}

static inline bool may_retry(struct sim *s, struct req *r)
{
	if (r->tries >= SEAM_ROUTE_TRIES)
		return false;
	if (s->policy == TWO_CHOICES &&
	    !seam_budget_retry(&s->lane[r->node][r->service].budget, s->now))
		return false;
	s->retries++;
	return true;
}

static inline void end_req(struct sim *s, struct req *r)
{
	s->taken[r->node]--;
	g_free(r);
}

static inline void refuse(struct sim *s, struct req *r)
{
	s->refused += counted(s, r);
	end_req(s, r);
}

static inline void shed(struct sim *s, struct seam_waiter *out)
{
	if (out)
		refuse(s, (struct req *)((char *)out -
					 offsetof(struct req, waiter)));
}

static inline bool wait_again(struct sim *s, struct req *r)
{
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_waiter *out = NULL;

	if (s->policy != TWO_CHOICES || r->tries >= SEAM_ROUTE_TRIES ||
	    seam_fair_add(s->lane[r->node][r->service].again, &r->waiter,
			  s->now, &out, &e))
		return false;
	shed(s, out);
	return true;
}

static inline void begin(struct sim *s, struct req *r, int target)
{
	double wait = (double)(s->now - r->arrived);
	int dcs = s->plan->dcs;

	s->running[r->service][target]++;
	r->target = target;
	r->end = s->now + (seam_time)(RUN_MS / 2 + rnd() % RUN_MS) * SEAM_MSEC;
	if (r->node % dcs != target % dcs)
		r->end += 2 * s->plan->hop;
	if (counted(s, r))
		g_array_append_val(s->wait, wait);
	g_ptr_array_add(s->in_flight, r);
}

/* 1: runs or waits, 0: no slot, -1: refused or failed, 2: waits again. */
static inline int attempt(struct sim *s, struct req *r)
{
	for (;;) {
		int t = choose(s, r);
		bool bad = t >= 0 && target_fails(s, r->service, t);

		if (t < 0)
			return 0;
		r->tries++;
		if (!bad && s->running[r->service][t] < SLOTS) {
			begin(s, r, t);
			return 1;
		}
		let_go(s, r, t, bad ? SEAM_ROUTE_FAILED : SEAM_ROUTE_FULL);
		if (!bad && r->waiter.at)
			return 2;
		if (!bad && wait_again(s, r))
			return 1;
		if (!may_retry(s, r)) {
			s->failed += bad && counted(s, r);
			s->refused += !bad && counted(s, r);
			return -1;
		}
	}
}

static inline void arrive(struct sim *s, int node, int service)
{
	struct sim_lane *l = &s->lane[node][service];
	struct req *r = g_new0(struct req, 1);
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_waiter *out;
	int rc = 0;

	r->arrived = s->now;
	r->node = node;
	r->service = service;
	s->offered += counted(s, r);
	s->taken[node]++;
	if (s->plan->threads && s->taken[node] > s->plan->threads) {
		refuse(s, r);
		return;
	}
	snprintf(r->team, sizeof(r->team), "t%d", (int)(rnd() % 6));
	r->waiter.team = r->team;
	r->waiter.share = 1;
	r->waiter.deadline = s->now + s->plan->deadline;
	seam_budget_first(&l->budget, s->now);
	if (!seam_fair_count(l->queue))
		rc = attempt(s, r);
	if (rc > 0)
		return;
	/* The plain policies have no queue: no slot is a refusal. */
	if (!rc && s->policy == TWO_CHOICES &&
	    !seam_fair_add(l->queue, &r->waiter, s->now, &out, &e)) {
		shed(s, out);
		return;
	}
	s->refused += !rc && counted(s, r);
	end_req(s, r);
}

/* One turn: false if the first waiter has to wait on. */
static inline bool serve_first(struct sim *s, struct sim_lane *l, bool again)
{
	struct seam_fair *f = again ? l->again : l->queue;
	struct seam_waiter *w = seam_fair_first(f);
	struct req *r;
	int rc;

	if (!w || (again && !seam_budget_retry(&l->budget, s->now)))
		return false;
	r = (struct req *)((char *)w - offsetof(struct req, waiter));
	rc = s->now < w->deadline ? attempt(s, r) : -2;
	if (again && (!rc || rc == -2))
		seam_budget_refund(&l->budget);
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
	s->refused += rc != -1 && counted(s, r);
	end_req(s, r);
	return true;
}

static inline void serve_queues(struct sim *s)
{
	int n;
	int v;

	for (n = 0; n < s->plan->nodes; n++)
		for (v = 0; v < s->plan->services; v++) {
			struct sim_lane *l = &s->lane[n][v];

			while (serve_first(s, l, false))
				continue;
			while (serve_first(s, l, true))
				continue;
		}
}

static inline void finish(struct sim *s)
{
	guint i;

	for (i = 0; i < s->in_flight->len; i++) {
		struct req *r = s->in_flight->pdata[i];
		struct sim_lane *l = &s->lane[r->node][r->service];
		bool lost = target_fails(s, r->service, r->target);

		if (r->end > s->now && !lost)
			continue;
		s->running[r->service][r->target]--;
		let_go(s, r, r->target,
		       lost ? SEAM_ROUTE_FAILED : SEAM_ROUTE_WORKED);
		s->failed += lost && counted(s, r);
		s->done += !lost && counted(s, r);
		seam_fair_ran(l->queue, RUN_MS * SEAM_MSEC);
		seam_fair_ran(l->again, RUN_MS * SEAM_MSEC);
		g_ptr_array_remove_index_fast(s->in_flight, i--);
		end_req(s, r);
	}
}

static inline void tell(struct sim *s, int n)
{
	int v;
	int i;

	for (v = 0; v < s->plan->services; v++) {
		struct sim_lane *l = &s->lane[n][v];

		l->before = l->own;
		l->own = seam_fair_count(l->queue) + seam_fair_count(l->again);
		for (i = 0; i < s->plan->targets[v]; i++) {
			l->told[i] = at(s, n, v, i)->outstanding;
			l->own += l->told[i];
		}
	}
}

/* What all nodes told last of the targets of a service. */
static inline void hear(struct sim *s, int n, int v)
{
	const struct sim_lane *l = &s->lane[n][v];
	struct seam_target_demand d = {.own = (l->own + l->before) / 2};
	struct seam_target_service *service;
	int m;
	int i;

	d.all = d.own;
	for (m = 0; m < s->plan->nodes; m++) {
		d.all += m != n ? s->lane[m][v].own : 0;
		d.before += m < n ? s->lane[m][v].own : 0;
	}
	seam_targets_lock(s->ts[n]);
	service = seam_targets_service(s->ts[n], sim_service[v]);
	seam_target_divide(service, &d);
	seam_targets_unlock(s->ts[n]);
	for (i = 0; i < s->plan->targets[v]; i++) {
		int all = -s->lane[n][v].told[i];

		for (m = 0; m < s->plan->nodes; m++)
			all += s->lane[m][v].told[i];
		seam_target_told(at(s, n, v, i), all);
	}
}

/* Nodes tell their load one after the other, each once in a period. */
static inline void tell_load(struct sim *s)
{
	int n;
	int v;

	for (n = 0; n < s->plan->nodes; n++) {
		if (s->now / SEAM_MSEC % LOAD_PERIOD_MS !=
		    n * LOAD_PERIOD_MS / s->plan->nodes)
			continue;
		tell(s, n);
		for (v = 0; v < s->plan->services; v++)
			hear(s, n, v);
	}
}

/* The list of targets, as the nodes' configuration has it. */
static inline void list_targets(struct sim *s)
{
	struct seam_target_info info[SIM_SERVICES * SIM_TARGETS];
	int count = 0;
	int v;
	int i;
	int n;

	for (v = 0; v < s->plan->services; v++)
		for (i = 0; i < s->plan->targets[v]; i++) {
			struct seam_target_info *t = &info[count++];

			sim_info(t, v, i, s->plan->dcs);
			t->leaving = dc_out(s, i % s->plan->dcs);
			for (n = 0; n < s->plan->nodes; n++)
				s->lane[n][v].leaving[i] = t->leaving;
		}
	for (n = 0; n < s->plan->nodes; n++)
		seam_targets_set(s->ts[n], info, (size_t)count);
}

static inline void find_handles(struct sim *s, int n)
{
	struct seam_table *t = seam_targets_lock(s->ts[n]);
	struct seam_handle h = SEAM_NONE;
	struct seam_target *g;

	while ((g = seam_table_next(t, &h))) {
		int id = atoi(g->info.id + 3);

		s->lane[n][id / 1000000].h[id % 1000000] = h;
	}
	seam_targets_unlock(s->ts[n]);
}

static inline void sim_open(struct sim *s, struct seam_clock *k)
{
	int n;
	int v;

	s->in_flight = g_ptr_array_new();
	s->wait = g_array_new(FALSE, FALSE, sizeof(double));
	for (n = 0; n < s->plan->nodes; n++) {
		s->ts[n] = seam_targets_new(k);
		for (v = 0; v < s->plan->services; v++) {
			s->lane[n][v].queue = seam_fair_new(SEAM_WAITERS_MAX);
			s->lane[n][v].again = seam_fair_new(SEAM_WAITERS_MAX);
		}
	}
	list_targets(s);
	for (n = 0; n < s->plan->nodes; n++)
		find_handles(s, n);
}

static inline void sim_close(struct sim *s)
{
	g_array_free(s->wait, TRUE);
}

/* The load balancer sends nothing to nodes of a data centre that is out. */
static inline int entry_node(struct sim *s)
{
	int n;

	do
		n = (int)(rnd() % (uint64_t)s->plan->nodes);
	while (dc_out(s, n % s->plan->dcs));
	return n;
}

/* Runs the plan; @s->wait is sorted then. */
static inline void sim_run(struct sim *s, const struct sim_plan *plan,
			   enum policy p)
{
	double due[SIM_SERVICES] = {0};
	struct seam_fake_clock k;
	int v;

	memset(s, 0, sizeof(*s));
	s->plan = plan;
	s->policy = p;
	s->now = 1 * SEAM_SEC;
	seed = plan->seed ? plan->seed : 88172645463325252ull;
	seam_route_seed(seed);
	seam_fake_init(&k, s->now);
	sim_open(s, &k.clock);
	for (; s->now < plan->end; s->now += TICK) {
		finish(s);
		if (s->now / SEAM_MSEC % LOAD_PERIOD_MS == 0)
			list_targets(s);
		tell_load(s);
		serve_queues(s);
		for (v = 0; v < plan->services; v++) {
			due[v] += plan->rate(v, plan->targets[v], s->now) *
				  TICK / SEAM_SEC;
			for (; due[v] >= 1; due[v]--)
				arrive(s, entry_node(s), v);
		}
	}
	g_array_sort(s->wait, by_double);
}

static inline double sim_wait_ms(const struct sim *s, int percent)
{
	return percentile((double *)s->wait->data, s->wait->len, percent) /
	       1000;
}

#endif
