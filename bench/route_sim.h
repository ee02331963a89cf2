#ifndef ROUTE_SIM_H
#define ROUTE_SIM_H

/*
 * Simulates request routing, with a fixed seed and without threads. Entry nodes
 * route to the targets of several services. The counts of outstanding requests
 * on a node are exact for its own requests; those of other nodes are updated
 * once a second.
 */

#include "bench/route_plan.h"

static inline bool target_fails(const struct sim *s, int service, int target)
{
	return s->plan->fails && s->plan->fails(service, target, s->now);
}

static inline void release_target(struct sim *s, const struct req *r,
				  int target, enum seam_route_result result)
{
	struct seam_handle h = s->state[r->node][r->service].h[target];

	if (s->policy == TWO_CHOICES)
		seam_route_report(s->ts[r->node], h, result, s->now);
	seam_route_release(s->ts[r->node], h);
}

static inline bool may_retry(struct sim *s, struct req *r)
{
	if (r->tries >= SEAM_ROUTE_TRIES)
		return false;
	if (s->policy == TWO_CHOICES &&
	    !seam_retry_budget_withdraw(&s->state[r->node][r->service].budget,
					s->now))
		return false;
	s->retries++;
	return true;
}

static inline void free_request(struct sim *s, struct req *r)
{
	s->busy_threads[r->node]--;
	g_free(r);
}

static inline void refuse(struct sim *s, struct req *r)
{
	s->refused += counted(s, r);
	free_request(s, r);
}

static inline void shed(struct sim *s, struct seam_waiter *out)
{
	if (out)
		refuse(s, (struct req *)((char *)out -
					 offsetof(struct req, waiter)));
}

static inline bool queue_retry(struct sim *s, struct req *r)
{
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_waiter *out = NULL;

	if (s->policy != TWO_CHOICES || r->tries >= SEAM_ROUTE_TRIES ||
	    seam_fair_add(s->state[r->node][r->service].again, &r->waiter,
			  s->now, &out, &e))
		return false;
	shed(s, out);
	return true;
}

static inline void start_request(struct sim *s, struct req *r, int target)
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

/* Returns 1 if it runs or was queued, 0 without a slot, -1 if it was refused or
 * failed, 2 if a queued request has to be queued for a retry. */
static inline int attempt(struct sim *s, struct req *r)
{
	for (;;) {
		int t = choose(s, r);
		bool bad = t >= 0 && target_fails(s, r->service, t);

		if (t < 0)
			return 0;
		r->tries++;
		if (!bad && s->running[r->service][t] < SLOTS) {
			start_request(s, r, t);
			return 1;
		}
		release_target(s, r, t,
			       bad ? SEAM_ROUTE_FAILED : SEAM_ROUTE_FULL);
		if (!bad && r->waiter.at)
			return 2;
		if (!bad && queue_retry(s, r))
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
	struct sim_service_state *st = &s->state[node][service];
	struct req *r = g_new0(struct req, 1);
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_waiter *out;
	int rc = 0;

	r->arrived = s->now;
	r->node = node;
	r->service = service;
	s->offered += counted(s, r);
	s->busy_threads[node]++;
	if (s->plan->threads && s->busy_threads[node] > s->plan->threads) {
		refuse(s, r);
		return;
	}
	snprintf(r->team, sizeof(r->team), "t%d", (int)(rnd() % 6));
	r->waiter.team = r->team;
	r->waiter.share = 1;
	r->waiter.deadline = s->now + s->plan->deadline;
	seam_retry_budget_deposit(&st->budget, s->now);
	if (!seam_fair_count(st->queue))
		rc = attempt(s, r);
	if (rc > 0)
		return;
	/* The other policies have no queue and refuse without a slot. */
	if (!rc && s->policy == TWO_CHOICES &&
	    !seam_fair_add(st->queue, &r->waiter, s->now, &out, &e)) {
		shed(s, out);
		return;
	}
	s->refused += !rc && counted(s, r);
	free_request(s, r);
}

/* Serves the first waiter; false if it has to keep waiting. */
static inline bool serve_first(struct sim *s, struct sim_service_state *st,
			       bool again)
{
	struct seam_fair *f = again ? st->again : st->queue;
	struct seam_waiter *w = seam_fair_first(f);
	struct req *r;
	int rc;

	if (!w || (again && !seam_retry_budget_withdraw(&st->budget, s->now)))
		return false;
	r = (struct req *)((char *)w - offsetof(struct req, waiter));
	rc = s->now < w->deadline ? attempt(s, r) : -2;
	if (again && (!rc || rc == -2))
		seam_retry_budget_refund(&st->budget);
	if (!rc)
		return false;
	s->retries += again && rc != -2;
	if (rc == 1) {
		seam_fair_served(f, w, s->now);
		return true;
	}
	seam_fair_drop(f, w);
	if (rc == 2 && queue_retry(s, r))
		return true;
	s->refused += rc != -1 && counted(s, r);
	free_request(s, r);
	return true;
}

static inline void serve_queues(struct sim *s)
{
	int n;
	int v;

	for (n = 0; n < s->plan->nodes; n++)
		for (v = 0; v < s->plan->services; v++) {
			struct sim_service_state *st = &s->state[n][v];

			while (serve_first(s, st, false))
				continue;
			while (serve_first(s, st, true))
				continue;
		}
}

static inline void finish(struct sim *s)
{
	guint i;

	for (i = 0; i < s->in_flight->len; i++) {
		struct req *r = s->in_flight->pdata[i];
		struct sim_service_state *st = &s->state[r->node][r->service];
		bool lost = target_fails(s, r->service, r->target);

		if (r->end > s->now && !lost)
			continue;
		s->running[r->service][r->target]--;
		release_target(s, r, r->target,
			       lost ? SEAM_ROUTE_FAILED : SEAM_ROUTE_SUCCEEDED);
		s->failed += lost && counted(s, r);
		s->done += !lost && counted(s, r);
		seam_fair_add_run_time(st->queue, RUN_MS * SEAM_MSEC);
		seam_fair_add_run_time(st->again, RUN_MS * SEAM_MSEC);
		g_ptr_array_remove_index_fast(s->in_flight, i--);
		free_request(s, r);
	}
}

static inline void record_load(struct sim *s, int n)
{
	int v;
	int i;

	for (v = 0; v < s->plan->services; v++) {
		struct sim_service_state *st = &s->state[n][v];

		st->before = st->own;
		st->own =
			seam_fair_count(st->queue) + seam_fair_count(st->again);
		for (i = 0; i < s->plan->targets[v]; i++) {
			st->reported_outstanding[i] =
				target_at(s, n, v, i)->outstanding;
			st->own += st->reported_outstanding[i];
		}
	}
}

/* Applies the last reports of all nodes for a service to node @n. */
static inline void apply_reported_load(struct sim *s, int n, int v)
{
	const struct sim_service_state *st = &s->state[n][v];
	struct seam_target_demand d = {.own = (st->own + st->before) / 2};
	struct seam_target_service *service;
	int m;
	int i;

	d.all = d.own;
	for (m = 0; m < s->plan->nodes; m++) {
		d.all += m != n ? s->state[m][v].own : 0;
		d.before += m < n ? s->state[m][v].own : 0;
	}
	seam_targets_lock(s->ts[n]);
	service = seam_targets_service(s->ts[n], sim_service[v]);
	seam_target_divide_slots(service, &d);
	seam_targets_unlock(s->ts[n]);
	for (i = 0; i < s->plan->targets[v]; i++) {
		int all = -s->state[n][v].reported_outstanding[i];

		for (m = 0; m < s->plan->nodes; m++)
			all += s->state[m][v].reported_outstanding[i];
		seam_target_set_peer_load(target_at(s, n, v, i), all);
	}
}

/* Nodes report their load once a period each, at staggered times. */
static inline void exchange_load(struct sim *s)
{
	int n;
	int v;

	for (n = 0; n < s->plan->nodes; n++) {
		if (s->now / SEAM_MSEC % LOAD_PERIOD_MS !=
		    n * LOAD_PERIOD_MS / s->plan->nodes)
			continue;
		record_load(s, n);
		for (v = 0; v < s->plan->services; v++)
			apply_reported_load(s, n, v);
	}
}

/* Sets the nodes' lists of targets, with the state of the data centres. */
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
				s->state[n][v].leaving[i] = t->leaving;
		}
	for (n = 0; n < s->plan->nodes; n++)
		seam_targets_set(s->ts[n], info, (size_t)count);
}

static inline void find_handles(struct sim *s, int n)
{
	struct seam_table *t = seam_targets_lock(s->ts[n]);
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_target *g;

	while ((g = seam_table_next(t, &h))) {
		int id = atoi(g->info.id + 3);

		s->state[n][id / 1000000].h[id % 1000000] = h;
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
			s->state[n][v].queue = seam_fair_new(SEAM_WAITERS_MAX);
			s->state[n][v].again = seam_fair_new(SEAM_WAITERS_MAX);
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

/* Load balancer: picks a node, but none in a data centre that is out. */
static inline int entry_node(struct sim *s)
{
	int n;

	do
		n = (int)(rnd() % (uint64_t)s->plan->nodes);
	while (dc_out(s, n % s->plan->dcs));
	return n;
}

/* Runs the plan and sorts @s->wait. */
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
	seam_fake_clock_init(&k, s->now);
	sim_open(s, &k.clock);
	for (; s->now < plan->end; s->now += TICK) {
		finish(s);
		if (s->now / SEAM_MSEC % LOAD_PERIOD_MS == 0)
			list_targets(s);
		exchange_load(s);
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
