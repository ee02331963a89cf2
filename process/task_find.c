#include "process/task_impl.h"

#include <string.h>

#include "base/metrics.h"

/* Finds bucket rows written by nodes that leave no marks. */
#define SCAN_INTERVAL (3600 * (seam_time)SEAM_SEC)
#define SCAN_MIN_INTERVAL (2 * SEAM_SEC) /* while the members change */
#define SCAN_RETRY (500 * SEAM_MSEC)
#define SCAN_PAGE 200
/*
 * An urgent task accepted by another node starts within 2.1 s even if its hint
 * is lost: a start with preemption takes up to 1.3 s, a pass with its commit
 * 0.2 s.
 */
#define MARK_INTERVAL (500 * SEAM_MSEC)
#define MARK_PAGE 500
#define MARK_PREFIX "queue-new/"
#define QUEUE_PREFIX "queue/"
/* Membership sends 32 hints per second, shared with other modules. */
#define HINT_INTERVAL (50 * SEAM_MSEC)
#define HINT_BURST (4 * HINT_INTERVAL)
#define HINTS_MAX 4096 /* received and not processed yet */

SEAM_METRIC(full_scans, "seam_task_scans_total", "Scans of all buckets.");
SEAM_METRIC(marks_seen, "seam_task_marks_total",
	    "Marked buckets of this node that it had not read yet.");
SEAM_METRIC(hints_used, "seam_task_hints_total",
	    "Hints about buckets of this node.");

void seam_bucket_mark_key(const struct seam_bucket *b, char key[SEAM_KEY_MAX])
{
	g_snprintf(key, SEAM_KEY_MAX, MARK_PREFIX "%s",
		   b->key + strlen(QUEUE_PREFIX));
}

static void schedule_read(struct seam_bucket *b)
{
	b->read_at = 0;
}

static void schedule_read_key(struct seam_tasks *ts, const char *key)
{
	struct seam_bucket *b = seam_bucket_get(ts, key);

	if (b)
		schedule_read(b);
}

static void check_row(struct seam_tasks *ts, const struct seam_row *row,
		      seam_time now)
{
	struct seam_bucket *b;

	if (!seam_is_owner(ts->c.owner, row->key, now))
		return;
	b = seam_bucket_get(ts, row->key);
	if (!b || !b->held || b->dirty)
		return;
	if (row->version != b->version) {
		b->reload = true;
		schedule_read(b);
	} else if (!b->reload) {
		/* Only if no read is due, for example after a worker refused
		 * a command: each scan would postpone that read. */
		b->read_at = now + SEAM_TASK_READ_INTERVAL;
	}
}

/*
 * A mark is written in one commit with its bucket, so a bucket at the version
 * of the mark or later includes the change that it announces.
 */
static void check_mark(struct seam_tasks *ts, const struct seam_row *row,
		       seam_time now)
{
	char key[SEAM_KEY_MAX];
	struct seam_bucket *b;

	g_snprintf(key, sizeof(key), QUEUE_PREFIX "%s",
		   row->key + strlen(MARK_PREFIX));
	if (!seam_is_owner(ts->c.owner, key, now))
		return;
	b = seam_bucket_get(ts, key);
	if (!b)
		return;
	b->marked = true;
	if (b->held && b->version >= row->version)
		return;
	seam_metric_add(&marks_seen, 1);
	schedule_read(b);
}

static int scan(struct seam_tasks *ts, const char *prefix, size_t page,
		void (*visit)(struct seam_tasks *ts, const struct seam_row *row,
			      seam_time now),
		seam_time now)
{
	struct seam_err e = SEAM_ERR_INIT;
	char after[SEAM_KEY_MAX] = "";
	struct seam_rows rows;
	size_t i;
	bool more;

	do {
		if (seam_store_scan(ts->c.store, prefix, after, page, &rows,
				    now + SEAM_TASK_COMMIT_TIMEOUT, &e))
			return -1;
		for (i = 0; i < rows.n; i++)
			visit(ts, &rows.row[i], now);
		more = rows.more;
		if (more)
			g_strlcpy(after, rows.row[rows.n - 1].key,
				  sizeof(after));
		seam_rows_free(&rows);
	} while (more);
	return 0;
}

/* Ownership changes only with the members; a scan then finds new buckets. */
static void scan_buckets(struct seam_tasks *ts, seam_time now)
{
	uint64_t epoch = seam_owner_epoch(ts->c.owner, now);

	if (now < ts->scan_at &&
	    (epoch == ts->epoch || now < ts->scan_not_before))
		return;
	ts->scan_not_before = now + SCAN_MIN_INTERVAL;
	if (scan(ts, QUEUE_PREFIX, SCAN_PAGE, check_row, now)) {
		ts->scan_at = now + SCAN_RETRY;
		return;
	}
	seam_metric_add(&full_scans, 1);
	ts->epoch = epoch;
	ts->scan_at = now + SCAN_INTERVAL;
}

static void scan_marks(struct seam_tasks *ts, seam_time now)
{
	if (now < ts->mark_at)
		return;
	ts->mark_at = now + MARK_INTERVAL;
	scan(ts, MARK_PREFIX, MARK_PAGE, check_mark, now);
}

void seam_tasks_hint(struct seam_tasks *ts, const char *key)
{
	pthread_mutex_lock(&ts->lock);
	if (strlen(key) < SEAM_KEY_MAX &&
	    g_hash_table_size(ts->received_hints) < HINTS_MAX)
		g_hash_table_add(ts->received_hints, g_strdup(key));
	pthread_mutex_unlock(&ts->lock);
	if (ts->wake)
		ts->wake(ts->wake_arg);
}

static void apply_hints(struct seam_tasks *ts, seam_time now)
{
	GHashTable *hints = NULL;
	GHashTableIter it;
	gpointer key;

	pthread_mutex_lock(&ts->lock);
	if (g_hash_table_size(ts->received_hints)) {
		hints = ts->received_hints;
		ts->received_hints = g_hash_table_new_full(
			g_str_hash, g_str_equal, g_free, NULL);
	}
	pthread_mutex_unlock(&ts->lock);
	if (!hints)
		return;
	g_hash_table_iter_init(&it, hints);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		if (!seam_is_owner(ts->c.owner, key, now))
			continue;
		seam_metric_add(&hints_used, 1);
		schedule_read_key(ts, key);
	}
	g_hash_table_destroy(hints);
}

void seam_tasks_queue_hint(struct seam_tasks *ts, const char *key, bool urgent)
{
	GList *at;

	pthread_mutex_lock(&ts->lock);
	at = g_queue_find_custom(&ts->pending_hints, key, (GCompareFunc)strcmp);
	if (at && urgent) {
		g_queue_unlink(&ts->pending_hints, at);
		g_queue_push_head_link(&ts->pending_hints, at);
	} else if (!at && urgent) {
		g_queue_push_head(&ts->pending_hints, g_strdup(key));
	} else if (!at) {
		g_queue_push_tail(&ts->pending_hints, g_strdup(key));
	}
	pthread_mutex_unlock(&ts->lock);
	if (ts->wake)
		ts->wake(ts->wake_arg);
}

/* A bucket gets one hint for all its changes since the last one. */
static void send_hints(struct seam_tasks *ts, seam_time now)
{
	char *key;

	if (ts->hint_sent_until < now - HINT_BURST)
		ts->hint_sent_until = now - HINT_BURST;
	while (ts->hint_sent_until < now) {
		pthread_mutex_lock(&ts->lock);
		key = g_queue_pop_head(&ts->pending_hints);
		pthread_mutex_unlock(&ts->lock);
		if (!key)
			return;
		/* This node may have become the owner since the commit. */
		if (seam_is_owner(ts->c.owner, key, now)) {
			schedule_read_key(ts, key);
		} else if (ts->c.hint) {
			ts->hint_sent_until += HINT_INTERVAL;
			ts->c.hint(ts->c.hint_arg, key);
		}
		g_free(key);
	}
}

void seam_tasks_find_changes(struct seam_tasks *ts, seam_time now)
{
	scan_buckets(ts, now);
	send_hints(ts, now);
	apply_hints(ts, now);
	scan_marks(ts, now);
}
