#ifndef SHARE_RUN_H
#define SHARE_RUN_H

/*
 * Six teams on a fleet of cores, tasks of one core and about 60 s, in steps of
 * a second. The distance from the shares is measured against the entitlements
 * of seam_share_compute().
 */

#include <json-c/json.h>
#include <string.h>

#include "bench/measure.h"
#include "process/share.h"
#include "process/task.h"

#define SHARERS 6
#define SHARE_STEPS 7200

enum share_policy { SHARES, QUOTAS, FIRST_COME, DAEMON_ORDER };

struct share_run {
	enum share_policy policy;
	int64_t slots;
	int64_t weight[SHARERS];
	double distance; /* mean of |used - entitled|, part of the fleet */
	double full; /* the same over the steps in which all cores are used */
	double used; /* part of the fleet */
};

struct line {
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
	struct line l[SHARERS];
};

/* A sixtieth of the tasks ends in each second. */
static inline void share_arrive(struct share_sim *s, int step)
{
	int64_t slots = s->run->slots;
	int i;

	for (i = 0; i < SHARERS; i++) {
		struct line *l = &s->l[i];
		struct seam_need freed = {0, 0, 0};
		int64_t ends = (l->running + (int64_t)(rnd() % 60)) / 60;
		int peak = (step / 120 + i) % SHARERS == 0;

		l->running -= ends;
		freed.cpu = -1000 * ends;
		s->order->ops->running(s->order, l->name, "", &freed);
		if (!l->waiting)
			l->oldest = step;
		/* 1.1 or 0.8 of what the fleet can end in a second. */
		l->waiting += peak ? slots * (step / 720 % 2 ? 54 : 38) / 3200 :
				     slots / 3200 + (slots < 3200 && step % 2);
	}
}

static inline int share_first_come(struct share_sim *s)
{
	int64_t weights = 0;
	int best = -1;
	int i;

	for (i = 0; i < SHARERS; i++)
		weights += s->l[i].weight;
	for (i = 0; i < SHARERS; i++) {
		struct line *l = &s->l[i];

		if (!l->waiting ||
		    (s->run->policy == QUOTAS &&
		     l->running >= s->run->slots * l->weight / weights))
			continue;
		if (best < 0 || l->oldest < s->l[best].oldest)
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

	for (i = 0; i < SHARERS; i++) {
		double r = o->ops->rank(o, s->l[i].name, "", 0);

		if (!s->l[i].waiting || (best >= 0 && r >= least))
			continue;
		least = r;
		best = i;
	}
	return best;
}

static inline int share_by_fill(struct share_sim *s)
{
	struct seam_handle t;
	struct seam_handle w;
	int i;

	if (!seam_share_next(s->share, NULL, NULL, &t, &w))
		return -1;
	for (i = 0; i < SHARERS; i++)
		if (seam_handle_eq(s->l[i].team, t))
			return i;
	return -1;
}

static inline int share_next(struct share_sim *s)
{
	switch (s->run->policy) {
	case SHARES:
		return share_by_fill(s);
	case DAEMON_ORDER:
		return share_by_order(s);
	default:
		return share_first_come(s);
	}
}

static inline void share_start(struct share_sim *s, int step)
{
	struct seam_amount one = {{1, 0, 0}};
	struct seam_need core = {1000, 0, 0};
	int64_t left = s->run->slots;
	struct line *l;
	int i;

	for (i = 0; i < SHARERS; i++)
		left -= s->l[i].running;
	while (left-- > 0) {
		i = share_next(s);
		if (i < 0)
			return;
		l = &s->l[i];
		l->waiting--;
		l->running++;
		/* Arrival order within a team is approximated by its age. */
		if (l->waiting && l->oldest < step && rnd() % 32 == 0)
			l->oldest++;
		seam_share_use(s->share, l->workspace, &one, 1);
		s->order->ops->running(s->order, l->name, "", &core);
	}
}

/* The loads that each owner of buckets reads once a second. */
static inline void share_loads(struct share_sim *s)
{
	struct seam_task_room room = {.all = {s->run->slots * 1000, 1, 1}};
	struct seam_task_load load[SHARERS];
	int i;

	if (!s->order->ops->loads)
		return;
	memset(load, 0, sizeof(load));
	for (i = 0; i < SHARERS; i++) {
		struct line *l = &s->l[i];

		memcpy(load[i].team, l->name, sizeof(l->name));
		load[i].running.cpu = l->running * 1000;
		load[i].waiting.cpu = l->waiting * 1000;
		load[i].first.cpu = 1000;
		load[i].runs = l->running;
		load[i].waits = l->waiting;
	}
	s->order->ops->loads(s->order, &room, 1, load, SHARERS);
}

static inline void share_tell(struct share_sim *s, const int64_t *before)
{
	int i;

	for (i = 0; i < SHARERS; i++) {
		struct line *l = &s->l[i];
		struct seam_amount ended = {{before[i] - l->running, 0, 0}};
		struct seam_amount d = {{l->waiting + l->running, 0, 0}};

		seam_share_use(s->share, l->workspace, &ended, -1);
		seam_share_demand(s->share, l->workspace, &d);
	}
	seam_share_compute(s->share);
	share_loads(s);
}

static inline void share_open(struct share_sim *s)
{
	struct seam_amount all = {{s->run->slots, 1, 1}};
	struct seam_problems p = {.file = "bench"};
	struct json_object *doc = json_object_new_object();
	struct json_object *teams = json_object_new_array();
	int i;

	s->share = seam_share_new();
	seam_share_capacity(s->share, &all);
	for (i = 0; i < SHARERS; i++) {
		struct json_object *t = json_object_new_object();
		struct line *l = &s->l[i];

		l->weight = s->run->weight[i];
		snprintf(l->name, sizeof(l->name), "t%d", i);
		l->team = seam_share_team(s->share, l->weight);
		l->workspace = seam_share_workspace(s->share, l->team, 1);
		json_object_object_add(t, "name",
				       json_object_new_string(l->name));
		json_object_object_add(t, "share",
				       json_object_new_int64(l->weight));
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

	for (i = 0; i < SHARERS; i++) {
		double d = seam_share_used(s->share, s->l[i].team, SEAM_NONE) -
			   seam_share_entitled(s->share, s->l[i].team,
					       SEAM_NONE, NULL);

		sum += d < 0 ? -d : d;
	}
	return sum / SHARERS;
}

static inline void share_run(struct share_run *run)
{
	struct share_sim s = {.run = run};
	int64_t before[SHARERS];
	int64_t want;
	int full = 0;
	int step;
	int i;

	seed = 88172645463325252ull;
	share_open(&s);
	for (step = 0; step < SHARE_STEPS; step++) {
		double d;

		for (i = 0; i < SHARERS; i++)
			before[i] = s.l[i].running;
		share_arrive(&s, step);
		share_tell(&s, before);
		for (want = 0, i = 0; i < SHARERS; i++)
			want += s.l[i].waiting + s.l[i].running;
		share_start(&s, step);
		d = share_distance(&s);
		run->distance += d / SHARE_STEPS;
		if (want >= run->slots) {
			run->full += d;
			full++;
		}
		for (i = 0; i < SHARERS; i++)
			run->used += (double)s.l[i].running / SHARE_STEPS /
				     (double)run->slots;
	}
	run->full /= full ? full : 1;
	seam_share_free(s.share);
	s.order->ops->free(s.order);
	seam_conf_cell_free(&s.conf);
}

#endif
