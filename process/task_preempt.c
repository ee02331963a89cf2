#include "process/task_impl.h"

#include <stdlib.h>
#include <string.h>

#include "base/metrics.h"

#define VICTIMS_MAX 4096 /* running tasks considered for one urgent task */

SEAM_METRIC(preempted, "seam_tasks_preempted_total",
	    "Tasks checkpointed for urgent work.");

struct victim {
	struct seam_bucket *bucket;
	struct seam_task *task;
	double lent;
};

struct victims {
	struct victim v[VICTIMS_MAX];
	size_t n;
};

/* Adds tasks of teams over their share and of the urgent task's own team. */
static void add_victims(struct seam_bucket *b, struct seam_bucket *source,
			const struct seam_place_request *a, struct victims *x,
			seam_time now)
{
	struct seam_task_order *o = b->ts->c.order;
	struct seam_placer *p = b->ts->c.placer;
	double lent = o->ops->lent(o, source->team, source->queue, now);
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_task *t;

	if (lent <= 0 && strcmp(source->team, b->team))
		return;
	while ((t = seam_task_next(source->table, &h))) {
		const struct seam_place_worker *w;

		if (t->state != SEAM_TASK_RUNNING || t->start_pending ||
		    t->urgent || !t->idempotent || x->n == VICTIMS_MAX)
			continue;
		w = p->ops->get(p, t->worker);
		if (!w || !w->usable || strcmp(w->pool, a->pool) ||
		    !g_strv_contains((const gchar *const *)a->dcs, w->dc))
			continue;
		x->v[x->n++] = (struct victim){source, t, lent};
	}
}

static int compare_victims(const void *a, const void *b)
{
	const struct victim *x = a;
	const struct victim *y = b;

	if (x->lent != y->lent)
		return x->lent > y->lent ? -1 : 1;
	if (x->task->started_at != y->task->started_at)
		return x->task->started_at > y->task->started_at ? -1 : 1;
	return 0;
}

static void preempt_victim(struct victim *v)
{
	v->task->state = SEAM_TASK_STOPPING;
	v->task->stop = SEAM_STOP_PREEMPT;
	v->task->next_command_at = 0;
	v->bucket->dirty = true;
	seam_metric_add(&preempted, 1);
}

/* Preempts the first victims, in order, that free enough on one worker. */
static bool make_room(struct seam_placer *p, struct victims *x,
		      const struct seam_need *need)
{
	size_t i;
	size_t j;

	for (i = 0; i < x->n; i++) {
		const char *id = x->v[i].task->worker;
		struct seam_place_worker w = *p->ops->get(p, id);

		for (j = 0; j <= i; j++) {
			if (strcmp(x->v[j].task->worker, id))
				continue;
			w.used.cpu -= x->v[j].task->reserved.cpu;
			w.used.mem -= x->v[j].task->reserved.mem;
			w.used.acc -= x->v[j].task->reserved.acc;
		}
		if (!seam_need_fits(&w, need))
			continue;
		for (j = 0; j <= i; j++)
			if (!strcmp(x->v[j].task->worker, id))
				preempt_victim(&x->v[j]);
		return true;
	}
	return false;
}

bool seam_task_preempt(struct seam_bucket *b, struct seam_task *t,
		       const struct seam_place_request *a, seam_time now)
{
	struct victims *x;
	GHashTableIter it;
	gpointer v;
	bool ok;

	if (now < t->next_command_at)
		return true;
	x = malloc(sizeof(*x));
	if (!x)
		return false;
	x->n = 0;
	pthread_mutex_lock(&b->ts->lock);
	g_hash_table_iter_init(&it, b->ts->buckets);
	while (g_hash_table_iter_next(&it, NULL, &v))
		if (((struct seam_bucket *)v)->held)
			add_victims(b, v, a, x, now);
	pthread_mutex_unlock(&b->ts->lock);
	qsort(x->v, x->n, sizeof(*x->v), compare_victims);
	ok = make_room(b->ts->c.placer, x, &a->need);
	free(x);
	if (ok)
		t->next_command_at = now + SEAM_TASK_COMMAND_INTERVAL;
	return ok;
}

/* Owners plan every 100 ms, so teams under their share cannot use resources
 * that stay free for this long. */
#define YIELD_MAX (1500 * SEAM_MSEC)
/* A longer interval between two deferred starts of a team begins a new period
 * of YIELD_MAX. */
#define YIELD_GAP_MAX (300 * SEAM_MSEC)
/* Time for resources that become free to reach teams under their share before
 * any are reclaimed. */
#define RECLAIM_DELAY (3 * SEAM_SEC)
/* Fraction of the excess reclaimed per second, since a stop shows in the rows
 * only after two to three seconds. */
#define RECLAIM_RATE 0.25

struct lending {
	seam_time since;
	seam_time seen;
	double debt; /* dominant share that this node has yet to reclaim */
};

static struct lending *lending_of(struct seam_tasks *ts, char kind,
				  const char *name)
{
	char key[80];
	struct lending *l;

	g_snprintf(key, sizeof(key), "%c%s", kind, name);
	l = g_hash_table_lookup(ts->lending, key);
	if (!l) {
		l = g_new0(struct lending, 1);
		g_hash_table_insert(ts->lending, g_strdup(key), l);
	}
	return l;
}

bool seam_task_yields(struct seam_bucket *b, const struct seam_task *t,
		      seam_time now)
{
	struct seam_task_order *o = b->ts->c.order;
	struct lending *l;

	if (!o->ops->yields || t->urgent || t->finish_by != SEAM_NEVER ||
	    !o->ops->yields(o, b->team, b->queue))
		return false;
	l = lending_of(b->ts, 't', b->team);
	if (now - l->seen > YIELD_GAP_MAX)
		l->since = now;
	l->seen = now;
	if (now - l->since < YIELD_MAX)
		return true;
	l->since = now;
	return false;
}

/* Adds the tasks of a bucket that can be preempted in a pool. */
static void add_reclaimable(struct seam_bucket *b, const char *pool,
			    struct victims *x)
{
	struct seam_placer *p = b->ts->c.placer;
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_task *t;

	while ((t = seam_task_next(b->table, &h))) {
		const struct seam_place_worker *w;

		if (t->state != SEAM_TASK_RUNNING || t->start_pending ||
		    t->urgent || !t->idempotent || x->n == VICTIMS_MAX)
			continue;
		w = p->ops->get(p, t->worker);
		if (w && w->usable && !strcmp(w->pool, pool))
			x->v[x->n++] = (struct victim){b, t, 0};
	}
}

static double dominant_share(const struct victims *x,
			     const struct seam_need *all)
{
	struct seam_need sum = {0, 0, 0};
	double most = 0;
	size_t i;

	for (i = 0; i < x->n; i++) {
		sum.cpu += x->v[i].task->reserved.cpu;
		sum.mem += x->v[i].task->reserved.mem;
		sum.acc += x->v[i].task->reserved.acc;
	}
	if (all->cpu > 0)
		most = (double)sum.cpu / (double)all->cpu;
	if (all->mem > 0 && (double)sum.mem / (double)all->mem > most)
		most = (double)sum.mem / (double)all->mem;
	if (all->acc > 0 && (double)sum.acc / (double)all->acc > most)
		most = (double)sum.acc / (double)all->acc;
	return most;
}

static void drop_stopped(struct victims *x)
{
	size_t kept = 0;
	size_t i;

	for (i = 0; i < x->n; i++)
		if (x->v[i].task->state == SEAM_TASK_RUNNING)
			x->v[kept++] = x->v[i];
	x->n = kept;
}

/* Reclaims the part of the excess that runs in the buckets of this node. */
static void reclaim(struct seam_tasks *ts, GPtrArray *ready, const char *pool,
		    const struct seam_need *all, struct victims *x,
		    seam_time now)
{
	struct seam_task_order *o = ts->c.order;
	struct lending *l = lending_of(ts, 'p', pool);
	struct seam_task_excess out;
	guint i;

	if (!o->ops->over(o, pool, &out)) {
		l->since = 0;
		l->debt = 0;
		return;
	}
	if (!l->since)
		l->since = now;
	if (now - l->since < RECLAIM_DELAY)
		return;
	x->n = 0;
	for (i = 0; i < ready->len; i++) {
		struct seam_bucket *b = ready->pdata[i];

		if (o->ops->reclaims(o, &out, b->team, b->queue))
			add_reclaimable(b, pool, x);
	}
	qsort(x->v, x->n, sizeof(*x->v), compare_victims);
	l->debt +=
		RECLAIM_RATE * out.amount * dominant_share(x, all) / out.used;
	while (l->debt >= out.want_part && out.want_part > 0) {
		l->debt -= out.want_part;
		if (!make_room(ts->c.placer, x, &out.want))
			return;
		drop_stopped(x);
	}
}

void seam_task_reclaim(struct seam_tasks *ts, GPtrArray *ready, seam_time now)
{
	struct victims *x;
	GHashTableIter it;
	gpointer pool;
	gpointer v;

	if (!ts->c.order->ops->over)
		return;
	x = malloc(sizeof(*x));
	if (!x)
		return;
	g_hash_table_iter_init(&it, ts->capacity_by_pool);
	while (g_hash_table_iter_next(&it, &pool, &v))
		reclaim(ts, ready, pool, v, x, now);
	free(x);
}
