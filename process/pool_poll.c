#include "process/pool_impl.h"
#include "base/count.h"

#include <stdio.h>
#include <string.h>

#define INDEX "pool-version/"
#define SCAN_PAGE 512
/* Rows read in one poll; the next poll goes on. */
#define POLL_ROWS 128
/* A node that has just started may not know all members, nor they it. */
#define POLL_NEW (10 * SEAM_SEC)
/* Pauses longer than this count as missed hints. */
#define POLL_PAUSE (3 * SEAM_SEC)
/* Two threads of a process poll; one scan serves both. */
#define POLL_MIN (500 * SEAM_MSEC)

SEAM_COUNT(index_reads, "seam_pool_index_reads_total",
	   "Reads of the index of versions, pool-version/.");
SEAM_COUNT(poll_errors, "seam_pool_poll_errors_total",
	   "Polls of the pool rows that failed.");

static int poll_page(struct seam_pools *ps, const struct seam_rows *rows,
		     int *left, seam_time now, struct seam_err *e)
{
	size_t i;

	for (i = 0; i < rows->n && *left; i++) {
		char name[SEAM_KEY_MAX];
		struct seam_pool *p;
		char *slash;

		g_strlcpy(name, rows->row[i].key + strlen(INDEX), sizeof(name));
		slash = strchr(name, '/');
		if (slash)
			*slash = '\0';
		if (strlen(name) >= SEAM_NAME_MAX ||
		    !seam_pool_newer(ps, name, slash, rows->row[i].version, &p))
			continue;
		(*left)--;
		if (seam_pool_fetch(ps, p, slash, now, e))
			return -1;
	}
	return 0;
}

/* What was told before the index is read is in the index. */
static void drop_hints(struct seam_pools *ps)
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

static int read_index(struct seam_pools *ps, int *left, seam_time now,
		      struct seam_err *e)
{
	char after[SEAM_KEY_MAX] = "";
	struct seam_rows rows = {.row = NULL};
	size_t n;
	int rc;

	seam_count_add(&index_reads, 1);
	drop_hints(ps);
	do {
		if (seam_store_scan(ps->env.store, INDEX, after, SCAN_PAGE,
				    &rows, now + SEAM_POOL_TIMEOUT, e))
			return -1;
		n = rows.n;
		if (n)
			memcpy(after, rows.row[n - 1].key, sizeof(after));
		rc = poll_page(ps, &rows, left, now, e);
		seam_rows_free(&rows);
	} while (!rc && n == SCAN_PAGE && *left);
	return rc;
}

void seam_pools_hint(struct seam_pools *ps, const char *key)
{
	const char *name = strchr(key, '/');
	struct seam_pool *p;

	if (!name || strlen(++name) >= SEAM_NAME_MAX)
		return;
	pthread_mutex_lock(&ps->lock);
	p = seam_pools_get_locked(ps, name);
	if (p && *key == 'w')
		p->wave_hinted = true;
	else if (p)
		p->hinted = true;
	pthread_mutex_unlock(&ps->lock);
}

/* Takes one hint back; false without any. */
static bool take_hint(struct seam_pools *ps, struct seam_pool **p, bool *wave)
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

/* The writer that gave the hint wrote the row of the index as well. */
static void note_indexed(struct seam_pool *p)
{
	pthread_mutex_lock(&p->ps->lock);
	p->indexed = MAX(p->indexed, p->row.version);
	pthread_mutex_unlock(&p->ps->lock);
}

static int read_hinted(struct seam_pools *ps, int *left, seam_time now,
		       struct seam_err *e)
{
	struct seam_pool *p;
	bool wave;

	while (*left && take_hint(ps, &p, &wave)) {
		(*left)--;
		if (seam_pool_fetch(ps, p, wave, now, e))
			return -1;
		if (!wave)
			note_indexed(p);
	}
	return 0;
}

static seam_time new_until(struct seam_pools *ps, seam_time now)
{
	seam_time none = 0;

	__atomic_compare_exchange_n(&ps->first_poll, &none, now, 0,
				    __ATOMIC_ACQ_REL, __ATOMIC_ACQUIRE);
	return (none ? none : now) + POLL_NEW;
}

/*
 * A process that did not poll for a while, because it was paused, may have
 * messages that wait. What is missed while the index is read counts for the
 * next poll.
 */
int seam_pools_poll(struct seam_pools *ps, seam_time now, struct seam_err *e)
{
	seam_time last =
		__atomic_exchange_n(&ps->polling_at, now, __ATOMIC_ACQ_REL);
	uint64_t gaps = ps->env.gaps ? ps->env.gaps(ps->env.told_arg, now) : 0;
	bool due = !ps->env.gaps || now - last > POLL_PAUSE ||
		   now < new_until(ps, now) ||
		   gaps != __atomic_load_n(&ps->gaps, __ATOMIC_ACQUIRE) ||
		   now >= __atomic_load_n(&ps->index_at, __ATOMIC_ACQUIRE);
	int left = POLL_ROWS;
	int rc = 0;

	if (due) {
		__atomic_store_n(&ps->index_at, now + SEAM_POOL_INDEX_PERIOD,
				 __ATOMIC_RELEASE);
		rc = read_index(ps, &left, now, e);
	} else {
		rc = read_hinted(ps, &left, now, e);
	}
	/* What was not read is found by the index. */
	if (rc || !left)
		__atomic_store_n(&ps->index_at, 0, __ATOMIC_RELEASE);
	else if (due)
		__atomic_store_n(&ps->gaps, gaps, __ATOMIC_RELEASE);
	if (!rc && left)
		__atomic_store_n(&ps->polled_at, now, __ATOMIC_RELEASE);
	if (rc)
		seam_count_add(&poll_errors, 1);
	return rc;
}

bool seam_pools_polled(struct seam_pools *ps, seam_time now)
{
	seam_time at = __atomic_load_n(&ps->polled_at, __ATOMIC_ACQUIRE);

	return at && now - at < POLL_MIN;
}
