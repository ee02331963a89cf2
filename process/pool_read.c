#include "process/pool_impl.h"
#include "base/metrics.h"
#include "base/log.h"

#include <stdio.h>
#include <string.h>

/* Polls read only the versions, so an owner reads its rows in this period. */
#define VERIFY_PERIOD (60 * SEAM_SEC)

SEAM_METRIC(rows_read, "seam_pool_rows_read_total",
	    "Pool and wave rows read because their version changed.");
SEAM_METRIC(bad_rows, "seam_pool_bad_rows_total",
	    "Pool and wave rows that could not be decoded.");

static void set_wave(struct seam_pool *p, const struct seam_wave_order *w)
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
		set_wave(p, &w);
		return 0;
	}
	if (seam_pool_row_read(row->data, &r, e))
		return -1;
	r.version = row->version;
	seam_pool_set_row(p, &r);
	seam_pool_row_free(&r);
	return 0;
}

/* Logs and counts each damaged version of a row once. */
static void mark_damaged(struct seam_pool *p, bool wave, uint64_t version,
			 const char *why)
{
	struct seam_pool_damage *b = &p->bad[wave];
	bool known;

	pthread_mutex_lock(&p->ps->lock);
	known = b->damaged && b->version == version;
	b->damaged = true;
	b->version = version;
	pthread_mutex_unlock(&p->ps->lock);
	if (known)
		return;
	seam_metric_add(&bad_rows, 1);
	seam_log(SEAM_ERROR, "pool", "Row %s/%s can't be read: %s.",
		 wave ? "wave" : "pool", p->name, why);
}

static void clear_damaged(struct seam_pool *p, bool wave)
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

static uint64_t current_version(struct seam_pool *p, bool wave)
{
	uint64_t v;

	pthread_mutex_lock(&p->ps->lock);
	v = wave ? p->wave.version : p->row.version;
	pthread_mutex_unlock(&p->ps->lock);
	return v;
}

int seam_pool_fetch(struct seam_pools *ps, struct seam_pool *p, bool wave,
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
		if (current_version(p, wave))
			mark_damaged(p, wave, SEAM_ABSENT, "it was deleted");
		return 0;
	}
	seam_metric_add(&rows_read, 1);
	if (decode(p, &row, wave, &bad))
		mark_damaged(p, wave, row.version, bad.text);
	else
		clear_damaged(p, wave);
	seam_row_free(&row);
	return 0;
}

/*
 * A row that was written by hand is newer than its version under pool-version/;
 * the owner writes both again, so that all nodes read the row.
 */
void seam_pool_verify(struct seam_pool *p, seam_time now)
{
	struct seam_err e = SEAM_ERR_INIT;
	bool conflict = p->conflict;

	if (now < p->verify_at && !conflict)
		return;
	if (!p->verify_at) {
		/* Pools are found together, so spread the reads. */
		p->verify_at = now + g_str_hash(p->name) % 60 * SEAM_SEC;
		return;
	}
	if (seam_pool_fetch(p->ps, p, false, now, &e) ||
	    (conflict && seam_pool_fetch(p->ps, p, true, now, &e)))
		return;
	p->conflict = false;
	p->verify_at = now + VERIFY_PERIOD;
	pthread_mutex_lock(&p->ps->lock);
	p->rewrite = !p->bad[0].damaged && p->row.version > p->indexed;
	pthread_mutex_unlock(&p->ps->lock);
}

void seam_pool_set_indexed(struct seam_pool *p, uint64_t version)
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

bool seam_pool_has_newer(struct seam_pools *ps, const char *name, bool wave,
			 uint64_t version, struct seam_pool **p)
{
	bool newer;

	pthread_mutex_lock(&ps->lock);
	*p = seam_pools_get_or_add_locked(ps, name);
	newer = *p && version > (wave ? (*p)->wave.version : (*p)->row.version);
	if (newer && (*p)->bad[wave].damaged)
		newer = version != (*p)->bad[wave].version;
	if (*p && !wave && (*p)->indexed < version)
		(*p)->indexed = version;
	pthread_mutex_unlock(&ps->lock);
	return newer;
}
