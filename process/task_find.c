#include "process/task_impl.h"

#include <string.h>

#include "base/count.h"

#define SCAN_GAP                                                    \
	(3600 * (seam_time)SEAM_SEC) /* rows of nodes without marks \
				      */
#define SCAN_LEAST (2 * SEAM_SEC) /* members that come and go */
#define SCAN_RETRY (500 * SEAM_MSEC)
#define SCAN_PAGE 200
/*
 * An urgent task of another node starts within 2.1 s although the hint is
 * lost: the start takes up to 1.3 s when it preempts, and a pass and its
 * commit 0.2 s.
 */
#define MARK_GAP (500 * SEAM_MSEC)
#define MARK_PAGE 500
#define MARKS "queue-new/"
#define QUEUES "queue/"
/* Membership sends 32 hints a second; other parts need some of them. */
#define HINT_GAP (50 * SEAM_MSEC)
#define HINT_BURST (4 * HINT_GAP)
#define HINTS_KEPT 4096 /* received and not looked at yet */

SEAM_COUNT(full_scans, "seam_task_scans_total", "Scans of all buckets.");
SEAM_COUNT(marks_seen, "seam_task_marks_total",
	   "Marked buckets of this node that it had not read yet.");
SEAM_COUNT(hints_used, "seam_task_hints_total",
	   "Hints about buckets of this node.");

void seam_bucket_mark_key(const struct seam_bucket *b, char key[SEAM_KEY_MAX])
{
	g_snprintf(key, SEAM_KEY_MAX, MARKS "%s", b->key + strlen(QUEUES));
}

static void read_again(struct seam_bucket *b)
{
	b->read_at = 0;
}

static void read_key(struct seam_tasks *ts, const char *key)
{
	struct seam_bucket *b = seam_bucket_get(ts, key);

	if (b)
		read_again(b);
}

static void see_row(struct seam_tasks *ts, const struct seam_row *row,
		    seam_time now)
{
	struct seam_bucket *b;

	if (!seam_owner_mine(ts->c.owner, row->key, now))
		return;
	b = seam_bucket_get(ts, row->key);
	if (!b || !b->held || b->dirty)
		return;
	if (row->version != b->version) {
		b->reload = true;
		read_again(b);
	} else if (!b->reload) {
		/* A read that is due, for example after a worker's refusal,
		 * would be put off again by each scan. */
		b->read_at = now + SEAM_TASK_READ_GAP;
	}
}

/*
 * A mark was written in one commit with its bucket, so a bucket of a later
 * version includes what the mark stands for.
 */
static void see_mark(struct seam_tasks *ts, const struct seam_row *row,
		     seam_time now)
{
	char key[SEAM_KEY_MAX];
	struct seam_bucket *b;

	g_snprintf(key, sizeof(key), QUEUES "%s", row->key + strlen(MARKS));
	if (!seam_owner_mine(ts->c.owner, key, now))
		return;
	b = seam_bucket_get(ts, key);
	if (!b)
		return;
	b->marked = true;
	if (b->held && b->version >= row->version)
		return;
	seam_count_add(&marks_seen, 1);
	read_again(b);
}

static int scan(struct seam_tasks *ts, const char *prefix, size_t page,
		void (*see)(struct seam_tasks *ts, const struct seam_row *row,
			    seam_time now),
		seam_time now)
{
	struct seam_err e = SEAM_ERR_INIT;
	char after[SEAM_KEY_MAX] = "";
	struct seam_rows rows;
	size_t n;
	size_t i;

	do {
		if (seam_store_scan(ts->c.store, prefix, after, page, &rows,
				    now + SEAM_TASK_COMMIT_TIME, &e))
			return -1;
		for (i = 0; i < rows.n; i++)
			see(ts, &rows.row[i], now);
		n = rows.n;
		if (n)
			g_strlcpy(after, rows.row[n - 1].key, sizeof(after));
		seam_rows_free(&rows);
	} while (n == page);
	return 0;
}

/* Ownership moves only with the members, so a scan then finds what is new. */
static void scan_buckets(struct seam_tasks *ts, seam_time now)
{
	uint64_t epoch = seam_owner_epoch(ts->c.owner, now);

	if (now < ts->scan_at && (epoch == ts->epoch || now < ts->scan_least))
		return;
	ts->scan_least = now + SCAN_LEAST;
	if (scan(ts, QUEUES, SCAN_PAGE, see_row, now)) {
		ts->scan_at = now + SCAN_RETRY;
		return;
	}
	seam_count_add(&full_scans, 1);
	ts->epoch = epoch;
	ts->scan_at = now + SCAN_GAP;
}

static void scan_marks(struct seam_tasks *ts, seam_time now)
{
	if (now < ts->mark_at)
		return;
	ts->mark_at = now + MARK_GAP;
	scan(ts, MARKS, MARK_PAGE, see_mark, now);
}

void seam_tasks_hint(struct seam_tasks *ts, const char *key)
{
	pthread_mutex_lock(&ts->lock);
	if (strlen(key) < SEAM_KEY_MAX &&
	    g_hash_table_size(ts->hinted) < HINTS_KEPT)
		g_hash_table_add(ts->hinted, g_strdup(key));
	pthread_mutex_unlock(&ts->lock);
	if (ts->wake)
		ts->wake(ts->wake_arg);
}

static void take_hints(struct seam_tasks *ts, seam_time now)
{
	GHashTable *got = NULL;
	GHashTableIter it;
	gpointer key;

	pthread_mutex_lock(&ts->lock);
	if (g_hash_table_size(ts->hinted)) {
		got = ts->hinted;
		ts->hinted = g_hash_table_new_full(g_str_hash, g_str_equal,
						   g_free, NULL);
	}
	pthread_mutex_unlock(&ts->lock);
	if (!got)
		return;
	g_hash_table_iter_init(&it, got);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		if (!seam_owner_mine(ts->c.owner, key, now))
			continue;
		seam_count_add(&hints_used, 1);
		read_key(ts, key);
	}
	g_hash_table_destroy(got);
}

void seam_tasks_tell(struct seam_tasks *ts, const char *key, bool urgent)
{
	GList *at;

	pthread_mutex_lock(&ts->lock);
	at = g_queue_find_custom(&ts->tell, key, (GCompareFunc)strcmp);
	if (at && urgent) {
		g_queue_unlink(&ts->tell, at);
		g_queue_push_head_link(&ts->tell, at);
	} else if (!at && urgent) {
		g_queue_push_head(&ts->tell, g_strdup(key));
	} else if (!at) {
		g_queue_push_tail(&ts->tell, g_strdup(key));
	}
	pthread_mutex_unlock(&ts->lock);
	if (ts->wake)
		ts->wake(ts->wake_arg);
}

/* One hint for all changes of a bucket that are not told yet. */
static void send_hints(struct seam_tasks *ts, seam_time now)
{
	char *key;

	if (ts->tell_at < now - HINT_BURST)
		ts->tell_at = now - HINT_BURST;
	while (ts->tell_at < now) {
		pthread_mutex_lock(&ts->lock);
		key = g_queue_pop_head(&ts->tell);
		pthread_mutex_unlock(&ts->lock);
		if (!key)
			return;
		/* This node may have become the owner since the commit. */
		if (seam_owner_mine(ts->c.owner, key, now)) {
			read_key(ts, key);
		} else if (ts->c.hint) {
			ts->tell_at += HINT_GAP;
			ts->c.hint(ts->c.hint_arg, key);
		}
		g_free(key);
	}
}

void seam_tasks_find(struct seam_tasks *ts, seam_time now)
{
	scan_buckets(ts, now);
	send_hints(ts, now);
	take_hints(ts, now);
	scan_marks(ts, now);
}
