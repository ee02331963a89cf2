#include "process/task_impl.h"

#include <string.h>

/*
 * Running and waiting tasks of every team in the whole fleet. Own buckets are
 * counted from memory; the rows of others are read a page at a time and parsed
 * only if their version has changed.
 */

#define LOADS_PERIOD (1 * SEAM_SEC)
#define PAGE_ROWS 128
#define PAGE_PERIOD_MIN (500 * SEAM_MSEC)
/* The row of a full bucket has 20 KB. At 20 KB/s a round took 5 s with three
 * owners and 120 waiting tasks. */
#define READ_BYTES_PER_SEC 200000

/* Load of a bucket that another node owns, from its row. */
struct remote_load {
	uint64_t version;
	uint64_t round; /* last round of reading that found the row */
	struct seam_task_load load;
};

static void add_need(struct seam_need *sum, const struct seam_need *n)
{
	sum->cpu += n->cpu;
	sum->mem += n->mem;
	sum->acc += n->acc;
}

/* A stopping task counts as waiting, not as running, so that no more tasks than
 * needed are preempted. */
static void add_task(struct seam_task_load *l, const struct seam_task *t)
{
	if (t->state == SEAM_TASK_QUEUED) {
		if (!l->waits++)
			l->first = t->declared;
		add_need(&l->waiting, &t->declared);
	} else if (seam_task_active(t)) {
		l->runs++;
		if (t->state == SEAM_TASK_STOPPING)
			add_need(&l->waiting, &t->reserved);
		else
			add_need(&l->running, &t->reserved);
	}
}

static void add_bucket(struct seam_task_load *l, struct seam_bucket *b)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_task *t;

	g_strlcpy(l->team, b->team, sizeof(l->team));
	g_strlcpy(l->queue, b->queue, sizeof(l->queue));
	while ((t = seam_task_next(b->table, &h)))
		add_task(l, t);
}

static void read_remote_row(struct seam_tasks *ts, const struct seam_row *row)
{
	struct remote_load *s = g_hash_table_lookup(ts->seen, row->key);
	struct seam_bucket *b;

	if (!s) {
		s = g_new0(struct remote_load, 1);
		g_hash_table_insert(ts->seen, g_strdup(row->key), s);
	}
	s->round = ts->load_round;
	if (s->version == row->version)
		return;
	b = seam_bucket_new(ts, row->key);
	if (!b)
		return;
	memset(&s->load, 0, sizeof(s->load));
	if (!seam_bucket_parse(b, row->data, NULL))
		add_bucket(&s->load, b);
	s->version = row->version;
	seam_bucket_free(b);
}

static void read_page(struct seam_tasks *ts, seam_time now)
{
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_rows rows;
	int64_t bytes = 0;
	size_t i;

	if (now < ts->load_read_at)
		return;
	ts->load_read_at = now + LOADS_PERIOD;
	if (seam_store_scan(ts->c.store, "queue/", ts->load_cursor, PAGE_ROWS,
			    &rows, now + SEAM_TASK_COMMIT_TIMEOUT, &e))
		return;
	for (i = 0; i < rows.n; i++) {
		read_remote_row(ts, &rows.row[i]);
		bytes += (int64_t)rows.row[i].len;
	}
	if (rows.more) {
		g_strlcpy(ts->load_cursor, rows.row[rows.n - 1].key,
			  sizeof(ts->load_cursor));
	} else {
		*ts->load_cursor = '\0';
		ts->load_round++;
	}
	ts->load_read_at = now + MAX(PAGE_PERIOD_MIN,
				     bytes * SEAM_SEC / READ_BYTES_PER_SEC);
	seam_rows_free(&rows);
}

static bool is_own(struct seam_tasks *ts, const char *key)
{
	struct seam_bucket *b = g_hash_table_lookup(ts->buckets, key);

	return b && b->held;
}

/* Drops rows that a complete round of reading did not find: they are deleted.
 */
static void append_remote_loads(struct seam_tasks *ts, GArray *a)
{
	GHashTableIter it;
	gpointer key;
	gpointer v;

	g_hash_table_iter_init(&it, ts->seen);
	while (g_hash_table_iter_next(&it, &key, &v)) {
		struct remote_load *s = v;

		if (s->round + 1 < ts->load_round)
			g_hash_table_iter_remove(&it);
		else if (!is_own(ts, key) && (s->load.runs || s->load.waits))
			g_array_append_val(a, s->load);
	}
}

/* With an urgent task to start, the loads are updated before their period ends.
 */
static bool has_urgent(GPtrArray *ready)
{
	guint i;

	for (i = 0; i < ready->len; i++) {
		struct seam_bucket *b = ready->pdata[i];

		if (b->plans && b->plan[0]->urgent)
			return true;
	}
	return false;
}

static GArray *pool_capacities(struct seam_tasks *ts)
{
	GArray *a = g_array_new(FALSE, TRUE, sizeof(struct seam_pool_capacity));
	GHashTableIter it;
	gpointer pool;
	gpointer v;

	g_hash_table_iter_init(&it, ts->capacity_by_pool);
	while (g_hash_table_iter_next(&it, &pool, &v)) {
		struct seam_pool_capacity r = {.all = *(struct seam_need *)v};

		g_strlcpy(r.pool, pool, sizeof(r.pool));
		g_array_append_val(a, r);
	}
	return a;
}

void seam_loads_add_capacity(struct seam_tasks *ts, const char *pool,
			     const struct seam_need *size)
{
	struct seam_need *n = g_hash_table_lookup(ts->capacity_by_pool, pool);

	if (!n) {
		n = g_new0(struct seam_need, 1);
		g_hash_table_insert(ts->capacity_by_pool, g_strdup(pool), n);
	}
	add_need(n, size);
}

void seam_loads_update(struct seam_tasks *ts, GPtrArray *ready, seam_time now)
{
	struct seam_task_order *o = ts->c.order;
	GArray *load;
	GArray *room;
	guint i;

	if (!o->ops->loads)
		return;
	read_page(ts, now);
	if (now < ts->loads_at && !has_urgent(ready))
		return;
	load = g_array_new(FALSE, TRUE, sizeof(struct seam_task_load));
	pthread_mutex_lock(&ts->lock);
	append_remote_loads(ts, load);
	pthread_mutex_unlock(&ts->lock);
	for (i = 0; i < ready->len; i++) {
		struct seam_task_load l = {.runs = 0};

		add_bucket(&l, ready->pdata[i]);
		if (l.runs || l.waits)
			g_array_append_val(load, l);
	}
	room = pool_capacities(ts);
	o->ops->loads(o, (struct seam_pool_capacity *)(void *)room->data,
		      room->len, (struct seam_task_load *)(void *)load->data,
		      load->len);
	g_array_free(load, TRUE);
	g_array_free(room, TRUE);
	if (now >= ts->loads_at) {
		ts->loads_at = now + LOADS_PERIOD;
		seam_task_reclaim(ts, ready, now);
	}
}
