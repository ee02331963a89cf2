#include "process/task_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/metrics.h"

#define RACKS_MAX 256 /* running tasks of a group that are considered */

SEAM_METRIC(starts, "seam_task_starts_total", "Starts planned.");
SEAM_METRIC(never, "seam_tasks_never_run_total",
	    "Tasks larger than any worker ever listed.");

static seam_time latest_start(struct seam_bucket *b, const struct seam_task *t)
{
	if (t->finish_by == SEAM_NEVER)
		return SEAM_NEVER;
	return t->finish_by -
	       seam_sizes_run_time(b->ts->c.sizes, b->team, t->kind);
}

/* By urgency, then latest start time, then rank, then time of acceptance. */
static int compare_tasks(struct seam_bucket *a, const struct seam_task *x,
			 struct seam_bucket *b, const struct seam_task *y,
			 seam_time now)
{
	struct seam_task_order *o = a->ts->c.order;
	seam_time sx;
	seam_time sy;

	if (x->urgent != y->urgent)
		return x->urgent ? -1 : 1;
	sx = latest_start(a, x);
	sy = latest_start(b, y);
	if (sx != sy)
		return sx < sy ? -1 : 1;
	if (strcmp(a->team, b->team)) {
		double ra = o->ops->rank(o, a->team, a->queue, now);
		double rb = o->ops->rank(o, b->team, b->queue, now);

		if (ra != rb)
			return ra < rb ? -1 : 1;
	} else if (o->ops->queue_rank && strcmp(a->queue, b->queue)) {
		double ra = o->ops->queue_rank(o, a->team, a->queue);
		double rb = o->ops->queue_rank(o, b->team, b->queue);

		if (ra != rb)
			return ra < rb ? -1 : 1;
	}
	return x->submitted < y->submitted ? -1 : x->submitted > y->submitted;
}

void seam_bucket_plan(struct seam_bucket *b, seam_time now)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_task *t;
	int i;

	b->plans = 0;
	b->plan_next = 0;
	memset(&b->no_room, 0xff, sizeof(b->no_room));
	while ((t = seam_task_next(b->table, &h))) {
		if (t->state != SEAM_TASK_QUEUED ||
		    b->plans == SEAM_BUCKET_TASKS_MAX)
			continue;
		for (i = b->plans++; i > 0; i--) {
			if (compare_tasks(b, b->plan[i - 1], b, t, now) <= 0)
				break;
			b->plan[i] = b->plan[i - 1];
		}
		b->plan[i] = t;
	}
}

bool seam_bucket_starts_before(struct seam_bucket *a, struct seam_bucket *b,
			       seam_time now)
{
	return compare_tasks(a, a->plan[a->plan_next], b, b->plan[b->plan_next],
			     now) < 0;
}

static void set_wait_reason(struct seam_bucket *b, struct seam_task *t,
			    const char *why)
{
	if (!strcmp(t->reason, why))
		return;
	g_strlcpy(t->reason, why, sizeof(t->reason));
	b->dirty = true;
}

struct dc_sets {
	char **dcs; /* of the queue, in state "in"; NULL-terminated */
	char *out; /* names of those in state "out" */
};

static int find_dcs(struct seam_bucket *b, const struct seam_conf *c,
		    const struct seam_queue *q, seam_time now,
		    struct dc_sets *w)
{
	GPtrArray *a = g_ptr_array_new();
	GString *out = g_string_new(NULL);
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_err e = SEAM_ERR_INIT;
	const struct seam_dc *d;

	while ((d = seam_conf_next(c, SEAM_CONF_DC, &h))) {
		if (q->data_centres &&
		    !g_strv_contains((const gchar *const *)q->data_centres,
				     d->name))
			continue;
		if (seam_dc_in(b->ts, d->name, now, &e))
			g_ptr_array_add(a, g_strdup(d->name));
		else if (e.kind == SEAM_DC_OUT)
			g_string_append_printf(out, " %s", d->name);
	}
	g_ptr_array_add(a, NULL);
	w->dcs = (char **)g_ptr_array_free(a, FALSE);
	w->out = g_string_free(out, FALSE);
	return *w->dcs || *w->out ? 0 : -1;
}

struct racks {
	const char *name[RACKS_MAX];
	size_t n;
};

static void add_racks(struct seam_bucket *b, const char *group, struct racks *r)
{
	struct seam_placer *p = b->ts->c.placer;
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_task *t;

	while ((t = seam_task_next(b->table, &h))) {
		const struct seam_place_worker *w;

		if (!seam_task_active(t) || strcmp(t->group, group) ||
		    r->n == RACKS_MAX)
			continue;
		w = p->ops->get(p, t->worker);
		if (w)
			r->name[r->n++] = w->rack;
	}
}

/* Tasks of a group can be in any bucket of their queue. */
static void group_racks(struct seam_bucket *b, const char *group,
			struct racks *r)
{
	GHashTableIter it;
	gpointer v;

	r->n = 0;
	if (!*group)
		return;
	pthread_mutex_lock(&b->ts->lock);
	g_hash_table_iter_init(&it, b->ts->buckets);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct seam_bucket *o = v;

		if (o->held && !strcmp(o->team, b->team) &&
		    !strcmp(o->queue, b->queue))
			add_racks(o, group, r);
	}
	pthread_mutex_unlock(&b->ts->lock);
}

static void start_on_worker(struct seam_bucket *b, struct seam_task *t,
			    const struct seam_place_worker *w,
			    const struct seam_need *need, seam_time now)
{
	struct seam_placer *p = b->ts->c.placer;
	struct seam_task_order *o = b->ts->c.order;
	struct seam_need used = {w->used.cpu + need->cpu,
				 w->used.mem + need->mem,
				 w->used.acc + need->acc};

	t->state = SEAM_TASK_RUNNING;
	t->attempt++;
	g_strlcpy(t->worker, w->id, sizeof(t->worker));
	t->boot = w->boot;
	t->lease_until = now + b->ts->c.lease;
	t->start_by = now + SEAM_TASK_START_TIMEOUT;
	t->started_at = now;
	t->reserved = *need;
	t->confirmed = false;
	t->heard = false;
	t->inherited = false;
	t->start_pending = true;
	t->usage_at = 0;
	t->over_since = 0;
	*t->reason = '\0';
	seam_bucket_touch(b, w->id);
	o->ops->running(o, b->team, b->queue, need);
	p->ops->used(p, t->worker, &used);
	seam_metric_add(&starts, 1);
}

static bool known_no_room(const struct seam_bucket *b,
			  const struct seam_need *n)
{
	return b->no_room.cpu >= 0 && n->cpu >= b->no_room.cpu &&
	       n->mem >= b->no_room.mem && n->acc >= b->no_room.acc;
}

static const struct seam_place_worker *choose(struct seam_bucket *b,
					      struct seam_task *t,
					      struct seam_place_request *a,
					      seam_time now, struct seam_err *e)
{
	struct seam_placer *p = b->ts->c.placer;
	const struct seam_place_worker *w;

	if (known_no_room(b, &a->need)) {
		seam_fail(e, SEAM_BUSY, "no worker of pool %s has room",
			  a->pool);
		return NULL;
	}
	w = p->ops->choose(p, a, now, e);
	if (!w && a->avoid_count >= p->ops->count(p, a->pool)) {
		a->avoid_count = 0;
		w = p->ops->choose(p, a, now, e);
	}
	if (!w && !t->fails)
		b->no_room = a->need;
	return w;
}

static int choose_reservation(struct seam_bucket *b, struct seam_task *t,
			      struct seam_place_request *a, seam_time now)
{
	struct seam_placer *p = b->ts->c.placer;
	struct seam_err e = SEAM_ERR_INIT;

	a->need = t->declared;
	if (p->ops->ever(p, a, &e)) {
		seam_task_end(b, t, SEAM_TASK_NEVER_RUNS, now, e.text);
		seam_metric_add(&never, 1);
		return -1;
	}
	a->need = seam_sizes_reserve(b->ts->c.sizes, b->team, t->kind,
				     &t->declared, &t->seen);
	if (p->ops->ever(p, a, &e))
		a->need = t->declared;
	return 0;
}

static void explain_wait(struct seam_bucket *b, struct seam_task *t,
			 const struct seam_queue *q, const struct dc_sets *at)
{
	char why[160];

	if (!*at->dcs)
		snprintf(why, sizeof(why),
			 "every data centre of queue %s is out", q->name);
	else
		snprintf(why, sizeof(why), "no worker of pool %s has room%s%s",
			 q->pool, *at->out ? "; data centres out:" : "",
			 at->out);
	set_wait_reason(b, t, why);
}

static void try_start(struct seam_bucket *b, struct seam_task *t,
		      const struct seam_queue *q, const struct dc_sets *at,
		      seam_time now)
{
	const char *avoid[SEAM_TASK_FAILS_MAX];
	struct seam_place_request a = {.pool = q->pool};
	const struct seam_place_worker *w;
	struct seam_err e = SEAM_ERR_INIT;
	struct racks racks;
	int i;

	for (i = 0; i < t->fails; i++)
		if (t->fail[i].what != SEAM_FAIL_LOST ||
		    now - t->fail[i].at < SEAM_TASK_AVOID_LOST_TIME)
			avoid[a.avoid_count++] = t->fail[i].worker;
	a.avoid = avoid;
	if (now < seam_task_backoff_until(t)) {
		set_wait_reason(b, t,
				"pauses: workers were lost after its starts");
		return;
	}
	/* All data centres of the queue are searched, also those that are out,
	 * as a larger worker may be available when they are back. */
	a.dcs = q->data_centres;
	if (choose_reservation(b, t, &a, now))
		return;
	a.dcs = at->dcs;
	group_racks(b, t->group, &racks);
	a.racks = racks.name;
	a.rack_count = racks.n;
	w = *at->dcs ? choose(b, t, &a, now, &e) : NULL;
	if (w && seam_task_yields(b, t, now))
		return;
	if (w)
		start_on_worker(b, t, w, &a.need, now);
	else if (t->urgent && *at->dcs && seam_task_preempt(b, t, &a, now))
		set_wait_reason(b, t, "waits for preempted work to stop");
	else
		explain_wait(b, t, q, at);
}

void seam_bucket_start_next(struct seam_bucket *b, seam_time now)
{
	struct seam_task *t = b->plan[b->plan_next++];
	struct seam_conf *c = seam_conf_current(b->ts->c.conf);
	const struct seam_queue *q =
		seam_conf_lookup(c, SEAM_CONF_QUEUE, b->queue);
	struct dc_sets at;

	if (!q) {
		set_wait_reason(b, t, "its queue is not configured");
	} else {
		if (find_dcs(b, c, q, now, &at))
			set_wait_reason(b, t, "data centres not read");
		else
			try_start(b, t, q, &at, now);
		g_strfreev(at.dcs);
		g_free(at.out);
	}
	seam_conf_unref(c);
}
