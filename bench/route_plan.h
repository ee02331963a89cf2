#ifndef ROUTE_PLAN_H
#define ROUTE_PLAN_H

/* Simulated request routing: the plan, the state, the choice of a target. */

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "bench/measure.h"
#include "request/route.h"

#define SIM_NODES 9
#define SIM_SERVICES 5
#define SIM_TARGETS 12
#define SLOTS 8
#define TICK (1 * SEAM_MSEC)
#define RUN_MS 40 /* mean run time of a request */
#define LOAD_PERIOD_MS 1000 /* nodes report their load once a second */

enum policy { TWO_CHOICES, RANDOM, LEAST };

/* Scenario; node i and target i are in data centre i % dcs. */
struct sim_plan {
	int nodes;
	int services;
	int targets[SIM_SERVICES];
	int dcs;
	int threads; /* concurrent requests on a node; 0 is unlimited */
	seam_time hop; /* one-way latency between data centres */
	seam_time end;
	seam_time deadline; /* relative to the arrival */
	double (*rate)(int service, int targets, seam_time now); /* per s */
	bool (*fails)(int service, int target, seam_time now);
	bool (*out)(int dc, seam_time now); /* as known to the nodes */
	uint64_t seed; /* 0 selects a fixed default */
	seam_time from; /* arrivals before this are not counted */
	seam_time until;
};

/* A simulated request. */
struct req {
	seam_time arrived;
	seam_time end;
	int node;
	int service;
	int target;
	int tries;
	struct seam_waiter waiter;
	char team[8];
};

/* State of a service on a node. */
struct sim_service_state {
	struct seam_handle h[SIM_TARGETS];
	struct seam_fair *queue;
	struct seam_fair *again; /* requests that a target refused as full */
	struct seam_retry_budget budget;
	bool leaving[SIM_TARGETS];
	int reported_outstanding[SIM_TARGETS]; /* of this node */
	int own; /* requests of this node, as last reported */
	int before; /* the same, in the previous report */
};

struct sim {
	const struct sim_plan *plan;
	enum policy policy;
	seam_time now;
	struct seam_targets *ts[SIM_NODES];
	struct sim_service_state state[SIM_NODES][SIM_SERVICES];
	int running[SIM_SERVICES][SIM_TARGETS];
	int busy_threads[SIM_NODES]; /* threads that serve a request */
	GPtrArray *in_flight;
	GArray *wait; /* double, microseconds */
	long offered;
	long done;
	long refused;
	long retries;
	long failed;
};

static const char *const sim_service[] = {"s0", "s1", "s2", "s3", "s4"};
static const char *const sim_dc[] = {"dc-0", "dc-1", "dc-2"};

static inline void sim_info(struct seam_target_info *t, int service, int i,
			    int dcs)
{
	memset(t, 0, sizeof(*t));
	snprintf(t->id, sizeof(t->id), "vm-%d", service * 1000000 + i);
	snprintf(t->addr, sizeof(t->addr), "127.0.0.1:%d", 1 + i % 60000);
	snprintf(t->dc, sizeof(t->dc), "dc-%d", i % dcs);
	snprintf(t->service, sizeof(t->service), "s%d", service);
	t->slots = SLOTS;
	t->connections = 64;
}

static inline bool counted(const struct sim *s, const struct req *r)
{
	return r->arrived >= s->plan->from && r->arrived < s->plan->until;
}

static inline bool dc_out(const struct sim *s, int dc)
{
	return s->plan->out && s->plan->out(dc, s->now);
}

static inline struct seam_target *target_at(struct sim *s, int node,
					    int service, int i)
{
	struct seam_table *t = seam_targets_lock(s->ts[node]);
	struct seam_target *g = seam_table_get(t, s->state[node][service].h[i]);

	seam_targets_unlock(s->ts[node]);
	return g;
}

static inline int sim_load(struct sim *s, int node, int service, int i)
{
	struct seam_target *g = target_at(s, node, service, i);

	return g->outstanding + g->peer_load;
}

static inline int index_of(struct sim *s, const struct req *r,
			   struct seam_handle h)
{
	int i;

	for (i = 0; i < s->plan->targets[r->service]; i++)
		if (seam_handle_eq(s->state[r->node][r->service].h[i], h))
			return i;
	return -1;
}

static inline int take_by_route(struct sim *s, struct req *r)
{
	const char *region[3];
	char name[8];
	struct seam_locality near = {sim_dc[r->node % s->plan->dcs], region, 0};
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_handle h;
	int i;

	for (i = 0; i < s->plan->dcs && i < (int)G_N_ELEMENTS(sim_dc); i++)
		if (i != r->node % s->plan->dcs)
			region[near.n++] = sim_dc[i];
	snprintf(name, sizeof(name), "s%d", r->service);
	if (seam_route_acquire(s->ts[r->node], name, &near, NULL, s->now, &h,
			       &e))
		return -1;
	return index_of(s, r, h);
}

/* Chooses uniformly among the targets that are not leaving. */
static inline int take_random(struct sim *s, const struct req *r)
{
	const bool *leaving = s->state[r->node][r->service].leaving;
	int candidates[SIM_TARGETS];
	int n = 0;
	int i;

	for (i = 0; i < s->plan->targets[r->service]; i++)
		if (!leaving[i])
			candidates[n++] = i;
	return n ? candidates[rnd() % (uint64_t)n] : -1;
}

static inline int take_least(struct sim *s, const struct req *r)
{
	int best = -1;
	int least = SLOTS;
	int i;

	for (i = 0; i < s->plan->targets[r->service]; i++) {
		int l = sim_load(s, r->node, r->service, i);

		if (s->state[r->node][r->service].leaving[i] || l >= least)
			continue;
		best = i;
		least = l;
	}
	return best;
}

static inline int choose(struct sim *s, struct req *r)
{
	int best;

	if (s->policy == TWO_CHOICES)
		return take_by_route(s, r);
	best = s->policy == RANDOM ? take_random(s, r) : take_least(s, r);
	if (best >= 0)
		target_at(s, r->node, r->service, best)->outstanding++;
	return best;
}

#endif
