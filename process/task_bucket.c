#include "process/task_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/metrics.h"
#include "base/log.h"

SEAM_METRIC(takeovers, "seam_buckets_taken_over_total",
	    "Buckets whose ownership this node has taken over.");
SEAM_METRIC(requeued, "seam_tasks_requeued_total",
	    "Attempts that ended without an end of the task.");

bool seam_task_ended(const struct seam_task *t)
{
	return t->state >= SEAM_TASK_DONE;
}

bool seam_task_active(const struct seam_task *t)
{
	return t->state == SEAM_TASK_RUNNING || t->state == SEAM_TASK_STOPPING;
}

/*
 * The table of a bucket stores pointers, since a chunk of whole tasks would
 * allocate many more than the 64 that a bucket can hold.
 */
struct seam_task *seam_task_next(struct seam_table *t, struct seam_handle *h)
{
	struct seam_task **at = seam_table_next(t, h);

	return at ? *at : NULL;
}

struct seam_task *seam_task_add(struct seam_table *t, struct seam_handle *h)
{
	struct seam_task *task = calloc(1, sizeof(*task));
	struct seam_task **at = task ? seam_table_add(t, h) : NULL;

	if (!at) {
		free(task);
		return NULL;
	}
	*at = task;
	return task;
}

void seam_task_del(struct seam_table *t, struct seam_handle h)
{
	struct seam_task **at = seam_table_get(t, h);

	if (!at)
		return;
	free((*at)->payload);
	free(*at);
	seam_table_del(t, h);
}

/* TEAM~QUEUE~BUCKET~HEX; "~" occurs in no name. */
static int parse_id(const char *task, char team[64], char queue[64], int *nr)
{
	int used = 0;

	if (strlen(task) >= SEAM_TASK_ID_SIZE ||
	    sscanf(task, "%63[A-Za-z0-9._-]~%63[A-Za-z0-9._-]~%d~%n", team,
		   queue, nr, &used) != 3 ||
	    !used || *nr < 0 || *nr >= SEAM_BUCKETS)
		return -1;
	return used;
}

int seam_bucket_key(const char *task, char key[SEAM_KEY_MAX])
{
	char team[64];
	char queue[64];
	int nr;

	if (parse_id(task, team, queue, &nr) < 0)
		return -1;
	snprintf(key, SEAM_KEY_MAX, "queue/%s/%s/%d", team, queue, nr);
	return 0;
}

struct seam_bucket *seam_bucket_new(struct seam_tasks *ts, const char *key)
{
	struct seam_bucket *b = calloc(1, sizeof(*b));
	int nr = 0;

	if (!b)
		return NULL;
	if (sscanf(key, "queue/%63[^/]/%63[^/]/%d", b->team, b->queue, &nr) !=
	    3) {
		free(b);
		return NULL;
	}
	b->ts = ts;
	g_strlcpy(b->key, key, sizeof(b->key));
	snprintf(b->prefix, sizeof(b->prefix), "%s~%s~%d~", b->team, b->queue,
		 nr);
	b->table = seam_table_new(sizeof(struct seam_task *));
	b->touched =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	b->inbox_end = &b->inbox;
	return b;
}

struct seam_bucket *seam_bucket_get(struct seam_tasks *ts, const char *key)
{
	struct seam_bucket *b;

	pthread_mutex_lock(&ts->lock);
	b = g_hash_table_lookup(ts->buckets, key);
	if (!b) {
		b = seam_bucket_new(ts, key);
		if (b)
			g_hash_table_insert(ts->buckets, b->key, b);
	}
	pthread_mutex_unlock(&ts->lock);
	return b;
}

void seam_bucket_free(void *p)
{
	struct seam_bucket *b = p;

	seam_bucket_clear(b);
	seam_table_free(b->table);
	g_hash_table_destroy(b->touched);
	free(b->event);
	free(b);
}

struct seam_tasks *seam_tasks_new(const struct seam_task_ctx *c)
{
	struct seam_tasks *ts = calloc(1, sizeof(*ts));

	if (!ts)
		return NULL;
	ts->c = *c;
	pthread_mutex_init(&ts->pass, NULL);
	pthread_mutex_init(&ts->lock, NULL);
	seam_cond_init(&ts->answered);
	ts->buckets = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    seam_bucket_free);
	ts->seen =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	ts->capacity_by_pool =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	ts->lending =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	ts->rows = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					 seam_worker_row_free);
	ts->received_hints =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_queue_init(&ts->pending_hints);
	ts->dcs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return ts;
}

void seam_tasks_free(struct seam_tasks *ts)
{
	if (!ts)
		return;
	g_hash_table_destroy(ts->buckets);
	g_hash_table_destroy(ts->received_hints);
	g_queue_clear_full(&ts->pending_hints, g_free);
	g_hash_table_destroy(ts->rows);
	g_hash_table_destroy(ts->seen);
	g_hash_table_destroy(ts->capacity_by_pool);
	g_hash_table_destroy(ts->lending);
	g_hash_table_destroy(ts->dcs);
	pthread_cond_destroy(&ts->answered);
	pthread_mutex_destroy(&ts->lock);
	pthread_mutex_destroy(&ts->pass);
	free(ts);
}

struct seam_task *seam_bucket_find(struct seam_bucket *b, const char *id)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_task *t;

	while ((t = seam_task_next(b->table, &h)))
		if (!strcmp(t->id, id))
			return t;
	return NULL;
}

void seam_task_full_id(const struct seam_bucket *b, const struct seam_task *t,
		       char out[SEAM_TASK_ID_SIZE])
{
	snprintf(out, SEAM_TASK_ID_SIZE, "%s%s", b->prefix, t->id);
}

void seam_bucket_touch(struct seam_bucket *b, const char *worker)
{
	/* Replacing an entry would free a name that a caller may still use. */
	if (*worker && !g_hash_table_contains(b->touched, worker))
		g_hash_table_add(b->touched, g_strdup(worker));
	b->dirty = true;
}

static void count_running(struct seam_bucket *b, const struct seam_need *n,
			  int sign)
{
	struct seam_need by = {sign * n->cpu, sign * n->mem, sign * n->acc};

	b->ts->c.order->ops->running(b->ts->c.order, b->team, b->queue, &by);
}

void seam_task_end(struct seam_bucket *b, struct seam_task *t, int state,
		   seam_time now, const char *why)
{
	if (seam_task_active(t))
		count_running(b, &t->reserved, -1);
	seam_bucket_touch(b, t->worker);
	t->state = state;
	t->stop = SEAM_STOP_NONE;
	t->ended_at = now;
	t->start_pending = false;
	g_strlcpy(t->reason, why, sizeof(t->reason));
}

void seam_task_requeue(struct seam_bucket *b, struct seam_task *t,
		       const char *why)
{
	if (seam_task_active(t))
		count_running(b, &t->reserved, -1);
	seam_metric_add(&requeued, 1);
	seam_bucket_touch(b, t->worker);
	t->state = SEAM_TASK_QUEUED;
	t->stop = SEAM_STOP_NONE;
	t->start_pending = false;
	t->confirmed = false;
	t->heard = false;
	t->heard_at = 0;
	t->inherited = false;
	t->next_command_at = 0;
	t->over_since = 0;
	memset(&t->reserved, 0, sizeof(t->reserved));
	g_strlcpy(t->reason, why, sizeof(t->reason));
}

static void count_running_all(struct seam_bucket *b, int sign)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_task *t;

	while ((t = seam_task_next(b->table, &h)))
		if (seam_task_active(t))
			count_running(b, &t->reserved, sign);
}

static void clear_changes(struct seam_bucket *b)
{
	b->dirty = false;
	b->events = 0;
	g_hash_table_remove_all(b->touched);
}

void seam_bucket_remove_task(struct seam_bucket *b, struct seam_handle h)
{
	seam_task_del(b->table, h);
	b->dirty = true;
}

void seam_bucket_release(struct seam_bucket *b)
{
	if (!b->held)
		return;
	count_running_all(b, -1);
	seam_bucket_clear(b);
	clear_changes(b);
	b->held = false;
	b->marked = false;
	b->read_at = 0;
	b->reload = false;
	b->owned_version = 0;
	seam_bucket_complete_requests(b, false);
}

/* Keeps the state of an attempt that is not in the row when it is reread. */
static void keep_volatile_state(struct seam_task *to,
				const struct seam_task *from)
{
	to->lease_until = MAX(to->lease_until, from->lease_until);
	to->confirmed = from->confirmed;
	to->heard = from->heard;
	to->heard_at = from->heard_at;
	to->inherited = from->inherited;
	to->renew_at = from->renew_at;
	to->next_command_at = from->next_command_at;
	to->usage_at = from->usage_at;
	to->over_since = from->over_since;
	to->seen.cpu = MAX(to->seen.cpu, from->seen.cpu);
	to->seen.mem = MAX(to->seen.mem, from->seen.mem);
}

static bool same_term(const struct seam_bucket *b, int64_t term,
		      const char *owner)
{
	return b->held && b->term == term && !strcmp(b->owner, owner);
}

static void merge_active(struct seam_bucket *b, struct seam_table *old,
			 bool same, seam_time now)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_task *t;

	while ((t = seam_task_next(b->table, &h))) {
		struct seam_handle g = SEAM_HANDLE_NONE;
		struct seam_task *o;

		if (!seam_task_active(t))
			continue;
		while (same && (o = seam_task_next(old, &g)))
			if (!strcmp(o->id, t->id) && o->attempt == t->attempt)
				break;
		if (same && o) {
			keep_volatile_state(t, o);
			continue;
		}
		t->inherited = true;
		t->lease_until = MAX(t->lease_until, now + b->ts->c.lease);
	}
}

static int get_row(struct seam_bucket *b, struct seam_row *row, seam_time now)
{
	struct seam_err e = SEAM_ERR_INIT;

	if (!seam_store_get(b->ts->c.store, b->key, row,
			    now + SEAM_TASK_COMMIT_TIMEOUT, &e))
		return 0;
	if (e.kind != SEAM_NOT_FOUND)
		return -1;
	row->data = strdup("{}");
	row->version = SEAM_ABSENT;
	return 0;
}

static void free_tasks(struct seam_table *t)
{
	struct seam_handle h = SEAM_HANDLE_NONE;

	while (seam_task_next(t, &h))
		seam_task_del(t, h);
}

/* Reads the row; on failure the copy in memory is unchanged. */
static int read_row(struct seam_bucket *b, seam_time now)
{
	struct seam_row row = {.data = NULL};
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_table *old = b->table;
	int64_t term = b->term;
	char owner[96];
	bool same;

	if (get_row(b, &row, now))
		return -1;
	b->read_at = now + SEAM_TASK_READ_INTERVAL;
	if (b->held && !b->reload && row.version == b->version) {
		seam_row_free(&row);
		return 0;
	}
	g_strlcpy(owner, b->owner, sizeof(owner));
	count_running_all(b, -1);
	b->table = seam_table_new(sizeof(struct seam_task *));
	*b->owner = '\0';
	b->term = 0;
	if (seam_bucket_parse(b, row.data, &e))
		seam_log(SEAM_ERROR, "task", "%s.", e.text);
	same = same_term(b, term, owner);
	merge_active(b, old, same, now);
	count_running_all(b, 1);
	b->version = row.version;
	b->held = true;
	b->reload = false;
	clear_changes(b);
	seam_bucket_complete_requests(b, false);
	seam_row_free(&row);
	free_tasks(old);
	seam_table_free(old);
	return 0;
}

int seam_bucket_load(struct seam_bucket *b, seam_time now)
{
	const char *me = b->ts->c.node;

	if (b->held && !b->reload && (b->dirty || now < b->read_at))
		return 0;
	if (now < b->read_at && (b->reload || !b->held))
		return -1;
	if (read_row(b, now)) {
		b->read_at = now + SEAM_TASK_READ_RETRY;
		/* Renewals continue although no commit is possible. */
		return b->held && !b->reload ? 0 : -1;
	}
	if (!strcmp(b->owner, me) || b->version == SEAM_ABSENT) {
		if (!b->owned_version)
			b->owned_version = b->version;
		return 0;
	}
	b->term++;
	g_strlcpy(b->owner, me, sizeof(b->owner));
	seam_metric_add(&takeovers, 1);
	b->dirty = true;
	if (seam_bucket_commit(b, now))
		return -1;
	b->owned_version = b->version;
	return 0;
}
