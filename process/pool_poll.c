#include "process/pool_impl.h"
#include "base/metrics.h"

#include <stdio.h>
#include <string.h>

#define INDEX_PREFIX "pool-version/"
#define SCAN_PAGE 512
/* Rows read in one poll; the next poll continues. */
#define POLL_ROWS_MAX 128
/* Time after a node's start in which its membership may be incomplete. */
#define STARTUP_PERIOD (10 * SEAM_SEC)
/* Longer intervals between polls count as missed hints. */
#define POLL_GAP_MAX (3 * SEAM_SEC)
/* Two threads of a process poll; within this time one scan serves both. */
#define POLL_MIN_PERIOD (500 * SEAM_MSEC)

SEAM_METRIC(index_reads, "seam_pool_index_reads_total",
	    "Reads of the index of versions, pool-version/.");
SEAM_METRIC(poll_errors, "seam_pool_poll_errors_total",
	    "Polls of the pool rows that failed.");

static int poll_page(struct seam_pools *ps, const struct seam_rows *rows,
		     int *remaining, seam_time now, struct seam_err *e)
{
	size_t i;

	for (i = 0; i < rows->n && *remaining; i++) {
		char name[SEAM_KEY_MAX];
		struct seam_pool *p;
		char *slash;

		g_strlcpy(name, rows->row[i].key + strlen(INDEX_PREFIX),
			  sizeof(name));
		slash = strchr(name, '/');
		if (slash)
			*slash = '\0';
		if (strlen(name) >= SEAM_CONF_NAME_SIZE ||
		    !seam_pool_has_newer(ps, name, slash, rows->row[i].version,
					 &p))
			continue;
		(*remaining)--;
		if (seam_pool_fetch(ps, p, slash, now, e))
			return -1;
	}
	return 0;
}

/* The index, read afterwards, includes the changes of all earlier hints. */
static void clear_hints(struct seam_pools *ps)
{
	GHashTableIter it;
	gpointer value;

	pthread_mutex_lock(&ps->lock);
	g_hash_table_iter_init(&it, ps->pool);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct seam_pool *p = value;

		p->hinted = false;
		p->wave_hinted = false;
	}
	pthread_mutex_unlock(&ps->lock);
}

static int read_index(struct seam_pools *ps, int *remaining, seam_time now,
		      struct seam_err *e)
{
	char after[SEAM_KEY_MAX] = "";
	struct seam_rows rows = {.row = NULL};
	bool more;
	int rc;

	seam_metric_add(&index_reads, 1);
	clear_hints(ps);
	do {
		if (seam_store_scan(ps->env.store, INDEX_PREFIX, after,
				    SCAN_PAGE, &rows, now + SEAM_POOL_TIMEOUT,
				    e))
			return -1;
		more = rows.more;
		if (more)
			memcpy(after, rows.row[rows.n - 1].key, sizeof(after));
		rc = poll_page(ps, &rows, remaining, now, e);
		seam_rows_free(&rows);
	} while (!rc && more && *remaining);
	return rc;
}

void seam_pools_hint(struct seam_pools *ps, const char *key)
{
	const char *name = strchr(key, '/');
	struct seam_pool *p;

	if (!name || strlen(++name) >= SEAM_CONF_NAME_SIZE)
		return;
	pthread_mutex_lock(&ps->lock);
	p = seam_pools_get_or_add_locked(ps, name);
	if (p && *key == 'w')
		p->wave_hinted = true;
	else if (p)
		p->hinted = true;
	pthread_mutex_unlock(&ps->lock);
}

/* Removes one pending hint; false if there is none. */
static bool pop_hint(struct seam_pools *ps, struct seam_pool **p, bool *wave)
{
	GHashTableIter it;
	gpointer value;
	bool found = false;

	pthread_mutex_lock(&ps->lock);
	g_hash_table_iter_init(&it, ps->pool);
	while (!found && g_hash_table_iter_next(&it, NULL, &value)) {
		*p = value;
		*wave = !(*p)->hinted;
		found = (*p)->hinted || (*p)->wave_hinted;
		if (*wave)
			(*p)->wave_hinted = false;
		else
			(*p)->hinted = false;
	}
	pthread_mutex_unlock(&ps->lock);
	return found;
}

/* The sender of a hint has also written the row's version in the index. */
static void mark_indexed(struct seam_pool *p)
{
	pthread_mutex_lock(&p->ps->lock);
	p->indexed = MAX(p->indexed, p->row.version);
	pthread_mutex_unlock(&p->ps->lock);
}

static int read_hinted(struct seam_pools *ps, int *remaining, seam_time now,
		       struct seam_err *e)
{
	struct seam_pool *p;
	bool wave;

	while (*remaining && pop_hint(ps, &p, &wave)) {
		(*remaining)--;
		if (seam_pool_fetch(ps, p, wave, now, e))
			return -1;
		if (!wave)
			mark_indexed(p);
	}
	return 0;
}

static seam_time startup_end(struct seam_pools *ps, seam_time now)
{
	seam_time first = 0;

	__atomic_compare_exchange_n(&ps->first_poll, &first, now, 0,
				    __ATOMIC_ACQ_REL, __ATOMIC_ACQUIRE);
	return (first ? first : now) + STARTUP_PERIOD;
}

/*
 * A process that was paused, and so did not poll, may have unprocessed hints
 * waiting. The gap counter is read first, so that a hint missed while the index
 * is read makes the next poll read the index.
 */
int seam_pools_poll(struct seam_pools *ps, seam_time now, struct seam_err *e)
{
	seam_time last =
		__atomic_exchange_n(&ps->polling_at, now, __ATOMIC_ACQ_REL);
	uint64_t hint_gaps =
		ps->env.hint_gaps ?
			ps->env.hint_gaps(ps->env.hint_context, now) :
			0;
	bool due = !ps->env.hint_gaps || now - last > POLL_GAP_MAX ||
		   now < startup_end(ps, now) ||
		   hint_gaps !=
			   __atomic_load_n(&ps->hint_gaps, __ATOMIC_ACQUIRE) ||
		   now >= __atomic_load_n(&ps->index_at, __ATOMIC_ACQUIRE);
	int remaining = POLL_ROWS_MAX;
	int rc = 0;

	if (due) {
		__atomic_store_n(&ps->index_at, now + SEAM_POOL_INDEX_PERIOD,
				 __ATOMIC_RELEASE);
		rc = read_index(ps, &remaining, now, e);
	} else {
		rc = read_hinted(ps, &remaining, now, e);
	}
	/* Rows that were not read are found in the index by the next poll. */
	if (rc || !remaining)
		__atomic_store_n(&ps->index_at, 0, __ATOMIC_RELEASE);
	else if (due)
		__atomic_store_n(&ps->hint_gaps, hint_gaps, __ATOMIC_RELEASE);
	if (!rc && remaining)
		__atomic_store_n(&ps->polled_at, now, __ATOMIC_RELEASE);
	if (rc)
		seam_metric_add(&poll_errors, 1);
	return rc;
}

bool seam_pools_polled_recently(struct seam_pools *ps, seam_time now)
{
	seam_time at = __atomic_load_n(&ps->polled_at, __ATOMIC_ACQUIRE);

	return at && now - at < POLL_MIN_PERIOD;
}
