#include "process/task_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/metrics.h"
#include "base/log.h"

SEAM_METRIC(commits, "seam_task_commits_total", "Commits of buckets.");
SEAM_METRIC(conflicts, "seam_task_conflicts_total",
	    "Commits of buckets that lost a compare-and-set.");
SEAM_METRIC(failures, "seam_task_commit_failures_total",
	    "Commits of buckets that the store did not confirm.");

/* The operations of one commit and the keys and texts that they point to. */
struct batch {
	struct seam_write write[SEAM_COMMIT_MAX];
	char (*key)[SEAM_KEY_MAX];
	char *text[SEAM_COMMIT_MAX];
	struct seam_worker_row *row[SEAM_COMMIT_MAX];
	size_t n;
	bool limit; /* the outcome must be reported to the limiter */
	struct seam_write team; /* write of the team row, from the limiter */
};

static int add_write(struct batch *x, enum seam_op op, const char *key,
		     uint64_t version, char *text)
{
	struct seam_write *w = &x->write[x->n];

	if (x->n == SEAM_COMMIT_MAX - 1) {
		free(text);
		return -1;
	}
	g_strlcpy(x->key[x->n], key, SEAM_KEY_MAX);
	x->text[x->n] = text;
	*w = (struct seam_write){op, x->key[x->n], version, text,
				 text ? strlen(text) : 0};
	x->n++;
	return 0;
}

static int read_dc(struct seam_tasks *ts, const char *dc, struct seam_dc_row *d,
		   seam_time now, struct seam_err *e)
{
	struct seam_row row = {.data = NULL};
	char key[SEAM_KEY_MAX];
	struct json_object *o;

	seam_conf_dc_row_key(dc, key);
	if (seam_store_get(ts->c.store, key, &row,
			   now + SEAM_TASK_COMMIT_TIMEOUT, e))
		return -1;
	o = json_tokener_parse(row.data);
	d->in = !strcmp(seam_json_str(o, "state", "in"), "in");
	d->version = row.version;
	d->read_at = now;
	json_object_put(o);
	seam_row_free(&row);
	return 0;
}

struct seam_dc_row *seam_dc_in(struct seam_tasks *ts, const char *dc,
			       seam_time now, struct seam_err *e)
{
	struct seam_dc_row *d = g_hash_table_lookup(ts->dcs, dc);
	struct seam_dc_row fresh;

	if (!d || now >= d->read_at + SEAM_TASK_DC_MAX_AGE) {
		if (read_dc(ts, dc, &fresh, now, e))
			return NULL;
		d = g_new(struct seam_dc_row, 1);
		*d = fresh;
		g_hash_table_replace(ts->dcs, g_strdup(dc), d);
	}
	if (!d->in) {
		seam_fail(e, SEAM_DC_OUT, "data centre %s is out", dc);
		return NULL;
	}
	return d;
}

static struct seam_need use_of_worker(struct seam_bucket *b, const char *worker)
{
	struct seam_need sum = {0, 0, 0};
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_task *t;

	while ((t = seam_task_next(b->table, &h))) {
		if (!seam_task_active(t) || strcmp(t->worker, worker))
			continue;
		sum.cpu += t->reserved.cpu;
		sum.mem += t->reserved.mem;
		sum.acc += t->reserved.acc;
	}
	return sum;
}

static bool has_start_on(struct seam_bucket *b, const char *worker)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_task *t;

	while ((t = seam_task_next(b->table, &h)))
		if (t->start_pending && !strcmp(t->worker, worker))
			return true;
	return false;
}

static void revert_starts(struct seam_bucket *b, const char *worker,
			  const char *why)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_task *t;

	while ((t = seam_task_next(b->table, &h)))
		if (t->start_pending && !strcmp(t->worker, worker)) {
			t->attempt--;
			seam_task_requeue(b, t, why);
		}
}

static bool exceeds_size(struct seam_tasks *ts, const struct seam_worker_row *w)
{
	struct seam_placer *p = ts->c.placer;
	const struct seam_place_worker *pw = p->ops->get(p, w->id);
	struct seam_need sum = seam_worker_row_committed(w);

	return !pw || sum.cpu > pw->size.cpu || sum.mem > pw->size.mem ||
	       sum.acc > pw->size.acc;
}

/* The row may include starts by other nodes that are not in the placement yet.
 */
static int fit_worker(struct seam_bucket *b, const char *id, seam_time now,
		      struct seam_err *e)
{
	struct seam_tasks *ts = b->ts;
	struct seam_worker_row *w =
		seam_worker_row_get(ts, id, now + SEAM_TASK_COMMIT_TIMEOUT, e);
	struct seam_need use = use_of_worker(b, id);

	if (!w)
		return -1;
	if (w->unreadable) {
		seam_worker_row_update_placement(ts, w);
		revert_starts(b, id, "the row of the worker can't be read");
		return 0;
	}
	seam_worker_row_set_use(w, b->key, &use);
	if (!has_start_on(b, id) || !exceeds_size(ts, w))
		return 0;
	seam_worker_row_update_placement(ts, w);
	revert_starts(b, id, "no room any more");
	use = use_of_worker(b, id);
	seam_worker_row_set_use(w, b->key, &use);
	return 0;
}

static int for_each_touched(struct seam_bucket *b, struct batch *x,
			    seam_time now, struct seam_err *e,
			    int (*fn)(struct seam_bucket *b, struct batch *x,
				      const char *id, seam_time now,
				      struct seam_err *e))
{
	GList *ids = g_hash_table_get_keys(b->touched);
	GList *l;
	int rc = 0;

	for (l = ids; l && !rc; l = l->next)
		rc = fn(b, x, l->data, now, e);
	g_list_free(ids);
	return rc;
}

static int fit_each_worker(struct seam_bucket *b, struct batch *x,
			   const char *id, seam_time now, struct seam_err *e)
{
	(void)x;
	return fit_worker(b, id, now, e);
}

static int add_worker_row(struct seam_bucket *b, struct batch *x,
			  const char *id, seam_time now, struct seam_err *e)
{
	struct seam_worker_row *w = g_hash_table_lookup(b->ts->rows, id);
	struct seam_need use = use_of_worker(b, id);
	char key[SEAM_KEY_MAX];
	int i;

	(void)e;
	/* Written without the uses by other buckets, the row would look like
	 * that of a worker with room. */
	if (w->unreadable)
		return 0;
	seam_worker_row_set_use(w, b->key, &use);
	for (i = 0; i < b->events; i++)
		if (!strcmp(b->event[i].worker, id))
			seam_worker_row_apply_event(b->ts, w, &b->event[i],
						    now);
	SEAM_INVARIANT(!has_start_on(b, id) || !exceeds_size(b->ts, w), "task",
		       "worker %s committed beyond its size by %s", id, b->key);
	snprintf(key, sizeof(key), "worker/%s", id);
	x->row[x->n] = w;
	return add_write(x, SEAM_PUT, key, w->version,
			 seam_worker_row_serialize(w));
}

static bool has_key(const struct batch *x, const char *key)
{
	size_t i;

	for (i = 0; i < x->n; i++)
		if (!strcmp(x->key[i], key))
			return true;
	return false;
}

/*
 * Adds a check so that a start commits only if the row of the worker's pool is
 * still at the version that this node has read. A node that was paused or cut
 * off from the store would otherwise start tasks on a VM that has left the
 * pool.
 */
static int add_pool_check(struct batch *x, const struct seam_place_worker *w)
{
	char key[SEAM_KEY_MAX];

	if (!w->pool_version)
		return 0;
	snprintf(key, sizeof(key), "pool-version/%s", w->pool);
	if (has_key(x, key))
		return 0;
	return add_write(x, SEAM_CHECK, key, w->pool_version, NULL);
}

/* Adds a check so that a start commits only while the state of its data centre
 * is "in". */
static int add_dc_checks(struct seam_bucket *b, struct batch *x, seam_time now,
			 struct seam_err *e)
{
	struct seam_placer *p = b->ts->c.placer;
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_task *t;

	while ((t = seam_task_next(b->table, &h))) {
		const struct seam_place_worker *w;
		struct seam_dc_row *d;
		char key[SEAM_KEY_MAX];

		if (!t->start_pending)
			continue;
		w = p->ops->get(p, t->worker);
		d = w ? seam_dc_in(b->ts, w->dc, now, e) : NULL;
		if (!d)
			return -1;
		seam_conf_dc_row_key(w->dc, key);
		if (!has_key(x, key) &&
		    add_write(x, SEAM_CHECK, key, d->version, NULL))
			return -1;
		if (add_pool_check(x, w))
			return -1;
	}
	return 0;
}

static int running_units(struct seam_bucket *b)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_task *t;
	int n = 0;

	while ((t = seam_task_next(b->table, &h)))
		n += seam_task_active(t);
	return n;
}

static struct seam_task *first_pending_start(struct seam_bucket *b)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_task *t;

	while ((t = seam_task_next(b->table, &h)))
		if (t->start_pending)
			return t;
	return NULL;
}

/* Reverts starts until the remaining ones are within the team's limit. */
static int apply_limit(struct seam_bucket *b, struct batch *x, seam_time now,
		       struct seam_err *e)
{
	struct seam_task_limit *l = b->ts->c.limit;
	struct seam_task *t;
	char why[160];

	if (!l)
		return 0;
	while (l->ops->write(l, b->team, b->key, running_units(b), now,
			     &x->team, e)) {
		t = first_pending_start(b);
		if (e->kind != SEAM_OVER_LIMIT || !t)
			return -1;
		g_strlcpy(why, e->text, sizeof(why));
		t->attempt--;
		seam_task_requeue(b, t, why);
		seam_err_clear(e);
	}
	x->limit = true;
	return 0;
}

static void settle_worker_rows(struct seam_bucket *b, struct batch *x, bool ok,
			       uint64_t version)
{
	size_t i;

	for (i = 0; i < x->n; i++) {
		struct seam_worker_row *w = x->row[i];

		if (!w)
			continue;
		if (ok)
			w->version = version;
		else
			w->known = false;
		if (ok)
			seam_worker_row_update_placement(b->ts, w);
	}
}

/* Index 0 is the bucket: an unknown outcome is resolved by the first row. */
static int build_commit(struct seam_bucket *b, struct batch *x, seam_time now,
			struct seam_err *e)
{
	char mark[SEAM_KEY_MAX];
	char *text;

	x->n = 1;
	if (for_each_touched(b, x, now, e, fit_each_worker) ||
	    apply_limit(b, x, now, e) ||
	    for_each_touched(b, x, now, e, add_worker_row) ||
	    add_dc_checks(b, x, now, e))
		return -1;
	if (b->marked) {
		seam_bucket_mark_key(b, mark);
		if (add_write(x, SEAM_DELETE, mark, SEAM_ANY_VERSION, NULL))
			return -1;
	}
	if (x->team.key)
		x->write[x->n++] = x->team;
	text = seam_bucket_serialize(b);
	x->text[0] = text;
	x->write[0] = (struct seam_write){SEAM_PUT, b->key, b->version, text,
					  strlen(text)};
	return 0;
}

static void handle_failure(struct seam_bucket *b, enum seam_err_kind kind,
			   seam_time now)
{
	GHashTableIter it;
	gpointer id;

	g_hash_table_iter_init(&it, b->touched);
	while (g_hash_table_iter_next(&it, &id, NULL))
		seam_worker_row_invalidate(b->ts, id);
	seam_metric_add(kind == SEAM_CONFLICT ? &conflicts : &failures, 1);
	b->reload = true;
	b->read_at = kind == SEAM_CONFLICT ? 0 : now + SEAM_TASK_READ_RETRY;
	g_hash_table_remove_all(b->ts->dcs);
}

static void finish_commit(struct seam_bucket *b, struct batch *x,
			  struct seam_commit *c, int rc,
			  enum seam_err_kind kind, seam_time now)
{
	struct seam_task_limit *l = b->ts->c.limit;

	settle_worker_rows(b, x, !rc, c->version);
	if (x->limit)
		l->ops->done(l, b->team, b->key, !rc, c->version);
	if (rc) {
		handle_failure(b, kind, now);
		return;
	}
	seam_metric_add(&commits, 1);
	b->version = c->version;
	b->dirty = false;
	b->marked = false;
	b->events = 0;
	g_hash_table_remove_all(b->touched);
	b->commit_at = now + SEAM_TASK_COMMIT_INTERVAL;
	b->read_at = now + SEAM_TASK_READ_INTERVAL;
}

int seam_bucket_commit(struct seam_bucket *b, seam_time now)
{
	struct batch *x = calloc(1, sizeof(*x));
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_commit c = {.write = x->write};
	int rc = -1;
	size_t i;

	x->key = calloc(SEAM_COMMIT_MAX, SEAM_KEY_MAX);
	if (!build_commit(b, x, now, &e)) {
		c.n = x->n;
		rc = seam_store_commit_retry(b->ts->c.store, b->ts->c.clock, &c,
					     now + SEAM_TASK_COMMIT_TIMEOUT,
					     &e);
	}
	finish_commit(b, x, &c, rc, e.kind, now);
	for (i = 0; i < x->n; i++)
		free(x->text[i]);
	free(x->key);
	free(x);
	return rc;
}
