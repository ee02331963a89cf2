#include "process/task_impl.h"

#include <stdlib.h>
#include <string.h>

#include "base/metrics.h"
#include "base/log.h"

#define SCAN_PAGE 500
/* Keeps the sum of the uses of a worker far below the overflow. */
#define AMOUNT_MAX (INT64_C(1) << 40)
#define QUARANTINE_POOL_DIVISOR 4 /* at most a quarter of a pool */

SEAM_METRIC(quarantines, "seam_workers_quarantined_total",
	    "Workers put in quarantine by this node.");
SEAM_METRIC(returns, "seam_workers_returned_total",
	    "Workers that came back from quarantine.");
SEAM_METRIC(capped, "seam_workers_quarantine_refused_total",
	    "Quarantines refused because a quarter of the pool has one.");

void seam_worker_row_free(void *p)
{
	struct seam_worker_row *w = p;

	free(w->use);
	free(w);
}

void seam_worker_row_invalidate(struct seam_tasks *ts, const char *id)
{
	struct seam_worker_row *w = g_hash_table_lookup(ts->rows, id);

	if (!w)
		return;
	w->known = false;
	ts->rows_stale = true;
}

void seam_worker_row_set_use(struct seam_worker_row *w, const char *bucket,
			     const struct seam_need *n)
{
	struct seam_worker_use *more;
	int i;

	for (i = 0; i < w->n_uses; i++)
		if (!strcmp(w->use[i].bucket, bucket))
			break;
	if (!n->cpu && !n->mem && !n->acc) {
		if (i < w->n_uses)
			w->use[i] = w->use[--w->n_uses];
		return;
	}
	if (i == w->n_uses) {
		more = realloc(w->use, (size_t)(i + 1) * sizeof(*more));
		if (!more)
			return;
		w->use = more;
		w->n_uses++;
		g_strlcpy(w->use[i].bucket, bucket, SEAM_KEY_MAX);
	}
	w->use[i].need = *n;
}

struct seam_need seam_worker_row_committed(const struct seam_worker_row *w)
{
	struct seam_need sum = {0, 0, 0};
	int i;

	for (i = 0; i < w->n_uses; i++) {
		sum.cpu += w->use[i].need.cpu;
		sum.mem += w->use[i].need.mem;
		sum.acc += w->use[i].need.acc;
	}
	return sum;
}

/* Returns NULL, or why the resources of a bucket can't be read. */
static const char *read_bucket_use(struct seam_worker_row *w,
				   struct json_object *o)
{
	static const char *const amounts[] = {"cpu_milli", "memory_mb",
					      "accelerators"};
	const char *bucket = seam_json_str(o, "bucket", "");
	struct seam_need need = seam_need_parse(o);
	struct json_object *v;
	size_t i;

	if (!*bucket || strlen(bucket) >= SEAM_KEY_MAX)
		return "a use has no bucket whose name fits";
	for (i = 0; i < G_N_ELEMENTS(amounts); i++)
		if (json_object_object_get_ex(o, amounts[i], &v) &&
		    !json_object_is_type(v, json_type_int))
			return "an amount of a use is not a whole number";
	if (MIN(need.cpu, MIN(need.mem, need.acc)) < 0 ||
	    MAX(need.cpu, MAX(need.mem, need.acc)) > AMOUNT_MAX)
		return "an amount of a use is out of range";
	seam_worker_row_set_use(w, bucket, &need);
	return NULL;
}

static const char *read_use(struct seam_worker_row *w, struct json_object *o)
{
	struct json_object *a = NULL;
	const char *why = NULL;
	size_t i;

	w->n_uses = 0;
	if (!json_object_is_type(o, json_type_object))
		return "the row is not an object";
	if (!json_object_object_get_ex(o, "use", &a))
		return NULL;
	if (!json_object_is_type(a, json_type_array))
		return "use is not a list";
	for (i = 0; !why && i < json_object_array_length(a); i++)
		why = read_bucket_use(w, json_object_array_get_idx(a, i));
	return why;
}

static void read_fails(struct seam_worker_row *w, struct json_object *a)
{
	size_t n = seam_json_array_length(a);
	size_t i;

	w->fails = 0;
	for (i = 0; i < n && w->fails < SEAM_TASK_QUARANTINE_FAILS; i++) {
		struct json_object *o = json_object_array_get_idx(a, i);
		struct seam_worker_fail *f = &w->fail[w->fails];

		if (!json_object_is_type(o, json_type_object))
			continue;
		g_strlcpy(f->task, seam_json_str(o, "task", ""),
			  sizeof(f->task));
		g_strlcpy(f->pair, seam_json_str(o, "pair", ""),
			  sizeof(f->pair));
		f->elsewhere = seam_json_int(o, "elsewhere", 0) != 0;
		w->fails++;
	}
}

/*
 * A row whose uses can't be read is not an empty one: its worker could get more
 * than it has room for. Failures that can't be read are left out, as they
 * only count towards a quarantine.
 */
static void read_row(struct seam_worker_row *w, const struct seam_row *row)
{
	struct json_object *o = json_tokener_parse(row->data);
	const char *why = read_use(w, o);

	if (why && w->version != row->version)
		seam_log(SEAM_ERROR, "task",
			 "Row %s can't be read: %s. Its worker gets no tasks.",
			 row->key, why);
	w->unreadable = why != NULL;
	w->known = true;
	w->version = row->version;
	read_fails(w, seam_json_member(o, "fails"));
	w->quarantined = seam_json_int(o, "quarantined", 0) != 0;
	w->probe_at = seam_json_int(o, "probe_at", 0);
	g_strlcpy(w->reason, seam_json_str(o, "reason", ""), sizeof(w->reason));
	json_object_put(o);
}

static struct json_object *use_json(const struct seam_worker_row *w)
{
	struct json_object *a = json_object_new_array();
	int i;

	for (i = 0; i < w->n_uses; i++) {
		struct json_object *o = seam_need_json(&w->use[i].need);

		json_object_object_add(
			o, "bucket", json_object_new_string(w->use[i].bucket));
		json_object_array_add(a, o);
	}
	return a;
}

static struct json_object *fails_json(const struct seam_worker_row *w)
{
	struct json_object *a = json_object_new_array();
	int i;

	for (i = 0; i < w->fails; i++) {
		const struct seam_worker_fail *f = &w->fail[i];
		struct json_object *o = json_object_new_object();

		json_object_object_add(o, "task",
				       json_object_new_string(f->task));
		json_object_object_add(o, "pair",
				       json_object_new_string(f->pair));
		json_object_object_add(o, "elsewhere",
				       json_object_new_int(f->elsewhere));
		json_object_array_add(a, o);
	}
	return a;
}

char *seam_worker_row_serialize(const struct seam_worker_row *w)
{
	struct json_object *o = json_object_new_object();
	char *text;

	json_object_object_add(o, "use", use_json(w));
	json_object_object_add(o, "fails", fails_json(w));
	json_object_object_add(o, "quarantined",
			       json_object_new_int(w->quarantined));
	json_object_object_add(o, "probe_at",
			       json_object_new_int64(w->probe_at));
	json_object_object_add(o, "reason", json_object_new_string(w->reason));
	text = strdup(
		json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN));
	json_object_put(o);
	return text;
}

/* A worker in quarantine is open to one probe task once probe_at is reached. */
static bool accepts_tasks(const struct seam_worker_row *w, seam_time now)
{
	return !w->unreadable &&
	       (!w->quarantined || (now >= w->probe_at && !w->n_uses));
}

void seam_worker_row_update_placement(struct seam_tasks *ts,
				      struct seam_worker_row *w)
{
	struct seam_placer *p = ts->c.placer;
	struct seam_need sum = seam_worker_row_committed(w);

	p->ops->used(p, w->id, &sum);
	p->ops->open(p, w->id, accepts_tasks(w, seam_now(ts->c.clock)));
}

static struct seam_worker_row *ensure_row(struct seam_tasks *ts, const char *id)
{
	struct seam_worker_row *w = g_hash_table_lookup(ts->rows, id);

	if (w)
		return w;
	w = calloc(1, sizeof(*w));
	if (!w)
		return NULL;
	g_strlcpy(w->id, id, sizeof(w->id));
	g_hash_table_insert(ts->rows, w->id, w);
	return w;
}

struct seam_worker_row *seam_worker_row_get(struct seam_tasks *ts,
					    const char *id, seam_time deadline,
					    struct seam_err *e)
{
	struct seam_worker_row *w = ensure_row(ts, id);
	struct seam_row row = {.data = NULL};
	char key[SEAM_KEY_MAX];

	if (!w || w->known)
		return w;
	g_snprintf(key, sizeof(key), "worker/%s", id);
	if (!seam_store_get(ts->c.store, key, &row, deadline, e)) {
		read_row(w, &row);
		seam_row_free(&row);
		return w;
	}
	if (e->kind != SEAM_NOT_FOUND)
		return NULL;
	seam_err_clear(e);
	w->known = true;
	w->unreadable = false;
	w->version = SEAM_ABSENT;
	w->n_uses = 0;
	w->fails = 0;
	w->quarantined = false;
	return w;
}

/* Whether the id in @key fits; if it were cut, it might be that of another
 * worker. */
static bool id_fits(struct seam_tasks *ts, const struct seam_row *row)
{
	if (strlen(row->key + strlen("worker/")) <
	    sizeof(((struct seam_worker_row *)NULL)->id))
		return true;
	if (row->version > ts->ignored_row_version) {
		ts->ignored_row_version = row->version;
		seam_log(SEAM_ERROR, "task",
			 "Row %s is ignored: the id of a worker is too long.",
			 row->key);
	}
	return false;
}

static void update_row(struct seam_tasks *ts, const struct seam_row *row)
{
	struct seam_worker_row *w =
		id_fits(ts, row) ?
			ensure_row(ts, row->key + strlen("worker/")) :
			NULL;

	if (!w)
		return;
	if (!w->known || w->version < row->version)
		read_row(w, row);
	seam_worker_row_update_placement(ts, w);
}

/* Reads the next page of worker rows; false if the store did not answer. */
static bool read_page(struct seam_tasks *ts, seam_time now)
{
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_rows rows;
	size_t i;

	if (seam_store_scan(ts->c.store, "worker/", ts->row_cursor, SCAN_PAGE,
			    &rows, now + SEAM_TASK_COMMIT_TIMEOUT, &e))
		return false;
	for (i = 0; i < rows.n; i++)
		update_row(ts, &rows.row[i]);
	if (rows.more) {
		g_strlcpy(ts->row_cursor, rows.row[rows.n - 1].key,
			  sizeof(ts->row_cursor));
	} else {
		*ts->row_cursor = '\0';
		ts->rows_loaded = true;
	}
	seam_rows_free(&rows);
	return true;
}

/*
 * A failed commit leaves its starts counted in the placer. The rows concerned
 * are read again one by one: a worker that never ran a task has no row that a
 * scan of pages would find, and would stay full in the placer for ever.
 */
static void reread_forgotten(struct seam_tasks *ts, seam_time now)
{
	struct seam_err e = SEAM_ERR_INIT;
	GHashTableIter it;
	gpointer v;

	ts->rows_stale = false;
	g_hash_table_iter_init(&it, ts->rows);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct seam_worker_row *w = v;

		if (w->known)
			continue;
		if (seam_worker_row_get(ts, w->id,
					now + SEAM_TASK_COMMIT_TIMEOUT, &e))
			seam_worker_row_update_placement(ts, w);
		else
			ts->rows_stale = true;
	}
}

/*
 * The first round reads all rows at once, later ones one page per second: all
 * rows of 26,000 workers every second would be 52 reads and 6.4 MB/s on each
 * node. An outdated row makes the commit of a start conflict, and is then read
 * again.
 */
void seam_worker_rows_scan(struct seam_tasks *ts, seam_time now)
{
	bool read;

	do {
		read = read_page(ts, now);
	} while (read && !ts->rows_loaded);
	if (read && ts->rows_stale)
		reread_forgotten(ts, now);
}

bool seam_worker_quarantined(struct seam_tasks *ts, const char *id)
{
	struct seam_worker_row *w = g_hash_table_lookup(ts->rows, id);

	return w && w->quarantined;
}

static bool below_quarantine_cap(struct seam_tasks *ts, const char *id)
{
	struct seam_placer *p = ts->c.placer;
	const struct seam_place_worker *own = p->ops->get(p, id);
	GHashTableIter it;
	size_t quarantined = 0;
	gpointer v;

	if (!own)
		return false;
	g_hash_table_iter_init(&it, ts->rows);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct seam_worker_row *w = v;
		const struct seam_place_worker *o =
			w->quarantined ? p->ops->get(p, w->id) : NULL;

		quarantined += o && !strcmp(o->pool, own->pool);
	}
	return (quarantined + 1) * QUARANTINE_POOL_DIVISOR <=
	       p->ops->count(p, own->pool);
}

static bool distinct_pairs(const struct seam_worker_row *w)
{
	int i;
	int j;

	for (i = 0; i < w->fails; i++)
		for (j = 0; j < i; j++)
			if (!strcmp(w->fail[i].pair, w->fail[j].pair))
				return false;
	return true;
}

static bool all_elsewhere(const struct seam_worker_row *w)
{
	int i;

	for (i = 0; i < w->fails; i++)
		if (!w->fail[i].elsewhere)
			return false;
	return true;
}

static void update_quarantine(struct seam_tasks *ts, struct seam_worker_row *w,
			      seam_time now)
{
	if (w->quarantined || w->fails < SEAM_TASK_QUARANTINE_FAILS)
		return;
	if (!distinct_pairs(w) && !all_elsewhere(w))
		return;
	if (!below_quarantine_cap(ts, w->id)) {
		seam_metric_add(&capped, 1);
		return;
	}
	w->quarantined = true;
	w->probe_at = now + SEAM_TASK_PROBE_INTERVAL;
	g_snprintf(w->reason, sizeof(w->reason),
		   "%d tasks in a row failed on it", w->fails);
	seam_metric_add(&quarantines, 1);
	seam_log(SEAM_WARN, "task", "Worker %s put in quarantine: %s.", w->id,
		 w->reason);
}

static void record_fail(struct seam_worker_row *w,
			const struct seam_worker_event *ev)
{
	int i;

	for (i = 0; i < w->fails; i++)
		if (!strcmp(w->fail[i].task, ev->task))
			return;
	if (w->fails == SEAM_TASK_QUARANTINE_FAILS) {
		memmove(w->fail, w->fail + 1,
			(SEAM_TASK_QUARANTINE_FAILS - 1) * sizeof(*w->fail));
		w->fails--;
	}
	memset(&w->fail[w->fails], 0, sizeof(*w->fail));
	g_strlcpy(w->fail[w->fails].task, ev->task, SEAM_TASK_ID_SIZE);
	g_strlcpy(w->fail[w->fails].pair, ev->pair,
		  sizeof(w->fail[w->fails].pair));
	w->fails++;
}

void seam_worker_row_apply_event(struct seam_tasks *ts,
				 struct seam_worker_row *w,
				 const struct seam_worker_event *ev,
				 seam_time now)
{
	int i;

	switch (ev->type) {
	case SEAM_WORKER_TASK_DONE:
		w->fails = 0;
		if (w->quarantined) {
			w->quarantined = false;
			*w->reason = '\0';
			seam_metric_add(&returns, 1);
			seam_log(SEAM_INFO, "task",
				 "Worker %s leaves quarantine: its probe task "
				 "ended without failure.",
				 w->id);
		}
		break;
	case SEAM_WORKER_TASK_FAILED:
		if (w->quarantined)
			w->probe_at = now + SEAM_TASK_PROBE_INTERVAL;
		record_fail(w, ev);
		break;
	case SEAM_WORKER_TASK_DONE_ELSEWHERE:
		for (i = 0; i < w->fails; i++)
			if (!strcmp(w->fail[i].task, ev->task))
				w->fail[i].elsewhere = true;
		break;
	}
	update_quarantine(ts, w, now);
}

void seam_bucket_add_worker_event(struct seam_bucket *b, int type,
				  const char *worker, const struct seam_task *t)
{
	struct seam_worker_event *more =
		realloc(b->event, (size_t)(b->events + 1) * sizeof(*more));
	struct seam_worker_event *ev;

	if (!more)
		return;
	b->event = more;
	ev = &more[b->events++];
	ev->type = type;
	g_strlcpy(ev->worker, worker, sizeof(ev->worker));
	seam_task_full_id(b, t, ev->task);
	g_snprintf(ev->pair, sizeof(ev->pair), "%s/%s", b->team, t->kind);
	seam_bucket_touch(b, worker);
}
