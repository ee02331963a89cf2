#include "process/task_impl.h"

#include <stdlib.h>
#include <string.h>

#include "base/count.h"

#define VICTIMS_MAX 4096 /* running tasks looked at for one urgent task */

SEAM_COUNT(preempted, "seam_tasks_preempted_total",
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

/* Work lent to teams over their share, and the urgent task's own team's. */
static void add_victims(struct seam_bucket *b, struct seam_bucket *of,
			const struct seam_place_ask *a, struct victims *x,
			seam_time now)
{
	struct seam_task_order *o = b->ts->c.order;
	struct seam_placer *p = b->ts->c.placer;
	double lent = o->ops->lent(o, of->team, now);
	struct seam_handle h = SEAM_NONE;
	struct seam_task *t;

	if (lent <= 0 && strcmp(of->team, b->team))
		return;
	while ((t = seam_task_next(of->table, &h))) {
		const struct seam_place_worker *w;

		if (t->state != SEAM_TASK_RUNNING || t->launch || t->urgent ||
		    !t->idempotent || x->n == VICTIMS_MAX)
			continue;
		w = p->ops->get(p, t->worker);
		if (!w || !w->usable || strcmp(w->pool, a->pool) ||
		    !g_strv_contains((const gchar *const *)a->dcs, w->dc))
			continue;
		x->v[x->n++] = (struct victim){of, t, lent};
	}
}

static int by_lent(const void *a, const void *b)
{
	const struct victim *x = a;
	const struct victim *y = b;

	if (x->lent != y->lent)
		return x->lent > y->lent ? -1 : 1;
	if (x->task->started_at != y->task->started_at)
		return x->task->started_at > y->task->started_at ? -1 : 1;
	return 0;
}

static void stop(struct victim *v)
{
	v->task->state = SEAM_TASK_STOPPING;
	v->task->stop = SEAM_STOP_PREEMPT;
	v->task->ask_at = 0;
	v->bucket->dirty = true;
	seam_count_add(&preempted, 1);
}

/* Stops the first victims, in order, that make room on one worker. */
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
				stop(&x->v[j]);
		return true;
	}
	return false;
}

bool seam_task_preempt(struct seam_bucket *b, struct seam_task *t,
		       const struct seam_place_ask *a, seam_time now)
{
	struct victims *x;
	GHashTableIter it;
	gpointer v;
	bool ok;

	if (now < t->ask_at)
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
	qsort(x->v, x->n, sizeof(*x->v), by_lent);
	ok = make_room(b->ts->c.placer, x, &a->need);
	free(x);
	if (ok)
		t->ask_at = now + SEAM_TASK_ASK_GAP;
	return ok;
}
