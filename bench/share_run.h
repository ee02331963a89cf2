#ifndef SHARE_RUN_H
#define SHARE_RUN_H

/*
 * Simulates six teams on a fleet of cores in steps of one second, with tasks of
 * one core and about 60 s. The distance from the shares is measured
 * against the entitlements of seam_share_compute().
 */

#include <json-c/json.h>
#include <string.h>

#include "bench/measure.h"
#include "process/share.h"
#include "process/task.h"

#define SHARE_TEAMS 6
#define SHARE_STEPS 7200

enum share_policy { SHARES, QUOTAS, FIRST_COME, DAEMON_ORDER };

struct share_run {
	enum share_policy policy;
	int64_t slots;
	int64_t weight[SHARE_TEAMS];
	double distance; /* mean of |used - entitled|, fraction of the fleet */
	double full; /* the same over the steps with demand for all cores */
	double used; /* fraction of the fleet */
};

struct team_queue {
	struct seam_handle team;
	struct seam_handle workspace;
	char name[8];
	int64_t weight;
	int64_t waiting;
	int64_t running;
	int64_t oldest; /* arrival of the first waiting task, in steps */
};

struct share_sim {
	struct share_run *run;
	struct seam_share *share;
	struct seam_conf_cell conf;
	struct seam_task_order *order;
	struct team_queue team[SHARE_TEAMS];
};

/* Ends a sixtieth of the running tasks and adds the tasks submitted in a step.
 */
static inline void share_end_and_submit(struct share_sim *s, int step)
{
	int64_t slots = s->run->slots;
	int i;

	for (i = 0; i < SHARE_TEAMS; i++) {
		struct team_queue *q = &s->team[i];
		struct seam_need freed = {0, 0, 0};
		int64_t ends = (q->running + (int64_t)(rnd() % 60)) / 60;
		int peak = (step / 120 + i) % SHARE_TEAMS == 0;

		q->running -= ends;
		freed.cpu = -1000 * ends;
		s->order->ops->running(s->order, q->name, "", &freed);
		if (!q->waiting)
			q->oldest = step;
		/* One team at a time is at its peak; all together submit 1.1 or
		 * 0.8 of what the fleet can end in a second. */
		q->waiting += peak ? slots * (step / 720 % 2 ? 54 : 38) / 3200 :
				     slots / 3200 + (slots < 3200 && step % 2);
	}
}

static inline int share_first_come(struct share_sim *s)
{
	int64_t weights = 0;
	int best = -1;
	int i;

	for (i = 0; i < SHARE_TEAMS; i++)
		weights += s->team[i].weight;
	for (i = 0; i < SHARE_TEAMS; i++) {
		struct team_queue *q = &s->team[i];

		if (!q->waiting ||
		    (s->run->policy == QUOTAS &&
		     q->running >= s->run->slots * q->weight / weights))
			continue;
		if (best < 0 || q->oldest < s->team[best].oldest)
			best = i;
	}
	return best;
}

static inline int share_by_order(struct share_sim *s)
{
	struct seam_task_order *o = s->order;
	double least = 0;
	int best = -1;
	int i;

	for (i = 0; i < SHARE_TEAMS; i++) {
		double r = o->ops->rank(o, s->team[i].name, "", 0);

		if (!s->team[i].waiting || (best >= 0 && r >= least))
			continue;
		least = r;
		best = i;
	}
	return best;
}

static inline int share_by_entitlement(struct share_sim *s)
{
	struct seam_handle t;
	struct seam_handle w;
	int i;

	if (!seam_share_next(s->share, NULL, NULL, &t, &w))
		return -1;
	for (i = 0; i < SHARE_TEAMS; i++)
		if (seam_handle_eq(s->team[i].team, t))
			return i;
	return -1;
}

static inline int share_next_team(struct share_sim *s)
{
	switch (s->run->policy) {
	case SHARES:
		return share_by_entitlement(s);
	case DAEMON_ORDER:
		return share_by_order(s);
	default:
		return share_first_come(s);
	}
}

static inline void share_start_tasks(struct share_sim *s, int step)
{
	struct seam_resources core = {{1, 0, 0}};
	struct seam_need need = {1000, 0, 0};
	int64_t left = s->run->slots;
	struct team_queue *q;
	int i;

	for (i = 0; i < SHARE_TEAMS; i++)
		left -= s->team[i].running;
	while (left-- > 0) {
		i = share_next_team(s);
		if (i < 0)
			return;
		q = &s->team[i];
		q->waiting--;
		q->running++;
		/* Approximates the arrival of the next waiting task. */
		if (q->waiting && q->oldest < step && rnd() % 32 == 0)
			q->oldest++;
		seam_share_use(s->share, q->workspace, &core, 1);
		s->order->ops->running(s->order, q->name, "", &need);
	}
}

/* Passes on the loads, which each owner of buckets reads once a second. */
static inline void share_update_loads(struct share_sim *s)
{
	struct seam_pool_capacity room = {.all = {s->run->slots * 1000, 1, 1}};
	struct seam_task_load load[SHARE_TEAMS];
	int i;

	if (!s->order->ops->loads)
		return;
	memset(load, 0, sizeof(load));
	for (i = 0; i < SHARE_TEAMS; i++) {
		struct team_queue *q = &s->team[i];

		memcpy(load[i].team, q->name, sizeof(q->name));
		load[i].running.cpu = q->running * 1000;
		load[i].waiting.cpu = q->waiting * 1000;
		load[i].first.cpu = 1000;
		load[i].runs = q->running;
		load[i].waits = q->waiting;
	}
	s->order->ops->loads(s->order, &room, 1, load, SHARE_TEAMS);
}

static inline void share_update(struct share_sim *s, const int64_t *before)
{
	int i;

	for (i = 0; i < SHARE_TEAMS; i++) {
		struct team_queue *q = &s->team[i];
		struct seam_resources ended = {{before[i] - q->running, 0, 0}};
		struct seam_resources d = {{q->waiting + q->running, 0, 0}};

		seam_share_use(s->share, q->workspace, &ended, -1);
		seam_share_demand(s->share, q->workspace, &d);
	}
	seam_share_compute(s->share);
	share_update_loads(s);
}

static inline void share_open(struct share_sim *s)
{
	struct seam_resources all = {{s->run->slots, 1, 1}};
	struct seam_problems p = {.file = "bench"};
	struct json_object *doc = json_object_new_object();
	struct json_object *teams = json_object_new_array();
	int i;

	s->share = seam_share_new();
	seam_share_capacity(s->share, &all);
	for (i = 0; i < SHARE_TEAMS; i++) {
		struct json_object *t = json_object_new_object();
		struct team_queue *q = &s->team[i];

		q->weight = s->run->weight[i];
		snprintf(q->name, sizeof(q->name), "t%d", i);
		q->team = seam_share_team(s->share, q->weight);
		q->workspace = seam_share_workspace(s->share, q->team, 1);
		json_object_object_add(t, "name",
				       json_object_new_string(q->name));
		json_object_object_add(t, "share",
				       json_object_new_int64(q->weight));
		json_object_array_add(teams, t);
	}
	json_object_object_add(doc, "teams", teams);
	seam_conf_cell_init(&s->conf);
	seam_conf_publish(&s->conf, seam_conf_parse(doc, 1, &p));
	json_object_put(doc);
	s->order = seam_task_order_fair(&s->conf);
}

static inline double share_distance(struct share_sim *s)
{
	double sum = 0;
	int i;

	for (i = 0; i < SHARE_TEAMS; i++) {
		double d = seam_share_used(s->share, s->team[i].team,
					   SEAM_HANDLE_NONE) -
			   seam_share_entitled(s->share, s->team[i].team,
					       SEAM_HANDLE_NONE, NULL);

		sum += d < 0 ? -d : d;
	}
	return sum / SHARE_TEAMS;
}

static inline void share_run(struct share_run *run)
{
	struct share_sim s = {.run = run};
	int64_t before[SHARE_TEAMS];
	int64_t want;
	int full = 0;
	int step;
	int i;

	seed = 88172645463325252ull;
	share_open(&s);
	for (step = 0; step < SHARE_STEPS; step++) {
		double d;

		for (i = 0; i < SHARE_TEAMS; i++)
			before[i] = s.team[i].running;
		share_end_and_submit(&s, step);
		share_update(&s, before);
		for (want = 0, i = 0; i < SHARE_TEAMS; i++)
			want += s.team[i].waiting + s.team[i].running;
		share_start_tasks(&s, step);
		d = share_distance(&s);
		run->distance += d / SHARE_STEPS;
		if (want >= run->slots) {
			run->full += d;
			full++;
		}
		for (i = 0; i < SHARE_TEAMS; i++)
			run->used += (double)s.team[i].running / SHARE_STEPS /
				     (double)run->slots;
	}
	run->full /= full ? full : 1;
	seam_share_free(s.share);
	s.order->ops->free(s.order);
	seam_conf_cell_free(&s.conf);
}

#endif
