#include "process/pool_impl.h"
#include "base/count.h"
#include "base/log.h"

#include <stdio.h>
#include <string.h>

#define INDEX "pool-version/"
#define SCAN_PAGE 512
/* Rows read in one poll; the next poll goes on. */
#define POLL_ROWS 128
/* Two threads of a process poll; one scan serves both. */
#define POLL_MIN (500 * SEAM_MSEC)
/* Polls see the versions only, so an owner reads its rows in this period. */
#define VERIFY_PERIOD (60 * SEAM_SEC)

SEAM_COUNT(rows_read, "seam_pool_rows_read_total",
	   "Pool and wave rows read because their version changed.");
SEAM_COUNT(bad_rows, "seam_pool_bad_rows_total",
	   "Pool and wave rows that could not be decoded.");
SEAM_COUNT(poll_errors, "seam_pool_poll_errors_total",
	   "Polls of the pool rows that failed.");

static void keep_wave(struct seam_pool *p, const struct seam_wave_order *w)
{
	pthread_mutex_lock(&p->ps->lock);
	if (w->version > p->wave.version)
		p->wave = *w;
	pthread_mutex_unlock(&p->ps->lock);
}

static int decode(struct seam_pool *p, const struct seam_row *row, bool wave,
		  struct seam_err *e)
{
	struct seam_pool_row r;
	struct seam_wave_order w;

	if (wave) {
		if (seam_wave_read(row->data, &w, e))
			return -1;
		w.version = row->version;
		keep_wave(p, &w);
		return 0;
	}
	if (seam_pool_row_read(row->data, &r, e))
		return -1;
	r.version = row->version;
	seam_pool_keep(p, &r);
	seam_pool_row_free(&r);
	return 0;
}

/* Logs and counts once for each version of a row. */
static void note_bad(struct seam_pool *p, bool wave, uint64_t version,
		     const char *why)
{
	struct seam_pool_bad *b = &p->bad[wave];
	bool known;

	pthread_mutex_lock(&p->ps->lock);
	known = b->damaged && b->version == version;
	b->damaged = true;
	b->version = version;
	pthread_mutex_unlock(&p->ps->lock);
	if (known)
		return;
	seam_count_add(&bad_rows, 1);
	seam_log(SEAM_ERROR, "pool", "Row %s/%s not read: %s.",
		 wave ? "wave" : "pool", p->name, why);
}

static void note_good(struct seam_pool *p, bool wave)
{
	bool was;

	pthread_mutex_lock(&p->ps->lock);
	was = p->bad[wave].damaged;
	p->bad[wave].damaged = false;
	pthread_mutex_unlock(&p->ps->lock);
	if (was)
		seam_log(SEAM_INFO, "pool", "Row %s/%s can be read again.",
			 wave ? "wave" : "pool", p->name);
}

static uint64_t held_version(struct seam_pool *p, bool wave)
{
	uint64_t v;

	pthread_mutex_lock(&p->ps->lock);
	v = wave ? p->wave.version : p->row.version;
	pthread_mutex_unlock(&p->ps->lock);
	return v;
}

static int fetch(struct seam_pools *ps, struct seam_pool *p, bool wave,
		 seam_time now, struct seam_err *e)
{
	struct seam_err bad = SEAM_ERR_INIT;
	struct seam_row row = {.data = NULL};
	char key[SEAM_KEY_MAX];

	snprintf(key, sizeof(key), "%s/%s", wave ? "wave" : "pool", p->name);
	if (seam_store_get(ps->env.store, key, &row, now + SEAM_POOL_TIMEOUT,
			   e)) {
		if (e->kind != SEAM_NOT_FOUND)
			return -1;
		seam_err_clear(e);
		if (held_version(p, wave))
			note_bad(p, wave, SEAM_ABSENT, "it is gone");
		return 0;
	}
	seam_count_add(&rows_read, 1);
	if (decode(p, &row, wave, &bad))
		note_bad(p, wave, row.version, bad.text);
	else
		note_good(p, wave);
	seam_row_free(&row);
	return 0;
}

/*
 * A row that was written by hand has a version that its row under INDEX lacks:
 * the owner writes both again, so that all nodes read it.
 */
void seam_pool_verify(struct seam_pool *p, seam_time now)
{
	struct seam_err e = SEAM_ERR_INIT;
	bool conflict = p->conflict;

	if (now < p->verify_at && !conflict)
		return;
	if (!p->verify_at) {
		/* Spread over the period, as pools are found together. */
		p->verify_at = now + g_str_hash(p->name) % 60 * SEAM_SEC;
		return;
	}
	if (fetch(p->ps, p, false, now, &e) ||
	    (conflict && fetch(p->ps, p, true, now, &e)))
		return;
	p->conflict = false;
	p->verify_at = now + VERIFY_PERIOD;
	pthread_mutex_lock(&p->ps->lock);
	p->rewrite = !p->bad[0].damaged && p->row.version > p->indexed;
	pthread_mutex_unlock(&p->ps->lock);
}

void seam_pool_indexed(struct seam_pool *p, uint64_t version)
{
	pthread_mutex_lock(&p->ps->lock);
	if (p->indexed < version)
		p->indexed = version;
	pthread_mutex_unlock(&p->ps->lock);
}

bool seam_pool_damaged(struct seam_pools *ps, const char *name)
{
	struct seam_pool *p;
	bool damaged;

	pthread_mutex_lock(&ps->lock);
	p = g_hash_table_lookup(ps->pool, name);
	damaged = p && (p->bad[0].damaged || p->bad[1].damaged);
	pthread_mutex_unlock(&ps->lock);
	return damaged;
}

static bool is_newer(struct seam_pools *ps, const char *name, bool wave,
		     uint64_t version, struct seam_pool **p)
{
	bool newer;

	pthread_mutex_lock(&ps->lock);
	*p = seam_pools_get_locked(ps, name);
	newer = *p && version > (wave ? (*p)->wave.version : (*p)->row.version);
	if (newer && (*p)->bad[wave].damaged)
		newer = version != (*p)->bad[wave].version;
	if (*p && !wave && (*p)->indexed < version)
		(*p)->indexed = version;
	pthread_mutex_unlock(&ps->lock);
	return newer;
}

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
		    !is_newer(ps, name, slash, rows->row[i].version, &p))
			continue;
		(*left)--;
		if (fetch(ps, p, slash, now, e))
			return -1;
	}
	return 0;
}

static int poll_all(struct seam_pools *ps, seam_time now, struct seam_err *e)
{
	char after[SEAM_KEY_MAX] = "";
	struct seam_rows rows = {.row = NULL};
	int left = POLL_ROWS;
	size_t n;
	int rc;

	do {
		if (seam_store_scan(ps->env.store, INDEX, after, SCAN_PAGE,
				    &rows, now + SEAM_POOL_TIMEOUT, e))
			return -1;
		n = rows.n;
		if (n)
			memcpy(after, rows.row[n - 1].key, sizeof(after));
		rc = poll_page(ps, &rows, &left, now, e);
		seam_rows_free(&rows);
	} while (!rc && n == SCAN_PAGE && left);
	if (!rc && left)
		__atomic_store_n(&ps->polled_at, now, __ATOMIC_RELEASE);
	return rc;
}

int seam_pools_poll(struct seam_pools *ps, seam_time now, struct seam_err *e)
{
	int rc = poll_all(ps, now, e);

	if (rc)
		seam_count_add(&poll_errors, 1);
	return rc;
}

bool seam_pools_polled(struct seam_pools *ps, seam_time now)
{
	seam_time at = __atomic_load_n(&ps->polled_at, __ATOMIC_ACQUIRE);

	return at && now - at < POLL_MIN;
}
