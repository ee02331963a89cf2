#include "process/pool_impl.h"
#include "base/metrics.h"
#include "base/log.h"

#include <stdlib.h>
#include <string.h>

#define FORECAST_PREFIX "pool-forecast/"
#define SCAN_PAGE 512
/* Maximum age of the forecast that a new owner starts from. */
#define SAVE_PERIOD (60LL * SEAM_SEC)
/* Maximum further age of other owners' forecasts when sizing the spare pool. */
#define SPARE_PERIOD (60LL * SEAM_SEC)

SEAM_METRIC(saved, "seam_pool_forecasts_saved_total",
	    "Forecasts of owned pools stored.");
SEAM_METRIC(bad, "seam_pool_forecasts_bad_total",
	    "Forecast rows that could not be decoded.");

/*
 * Keeps the wanted size, which is part of the pool row. A forecast older than
 * the known one is ignored: a stale owner may have written it.
 */
static void merge(struct seam_pool *p, const struct seam_row *row)
{
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_forecast f;
	int64_t want;

	if (seam_pool_forecast_read(row->data, &f, &e)) {
		seam_metric_add(&bad, 1);
		seam_log(SEAM_ERROR, "pool", "Row %s can't be read: %s.",
			 row->key, e.text);
		return;
	}
	pthread_mutex_lock(&p->ps->lock);
	want = p->row.forecast.want;
	if (f.at > p->row.forecast.at) {
		p->row.forecast = f;
		p->row.forecast.want = want;
		p->forecast_saved = f.at;
	}
	pthread_mutex_unlock(&p->ps->lock);
}

int seam_pool_forecast_load(struct seam_pool *p, seam_time now)
{
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_row row = {.data = NULL};
	char key[SEAM_KEY_MAX];

	if (p->forecast_known)
		return 0;
	snprintf(key, sizeof(key), FORECAST_PREFIX "%s", p->name);
	if (!seam_store_get(p->ps->env.store, key, &row,
			    now + SEAM_POOL_TIMEOUT, &e))
		merge(p, &row);
	else if (e.kind != SEAM_NOT_FOUND)
		return -1;
	seam_row_free(&row);
	p->forecast_known = true;
	return 0;
}

static void merge_page(struct seam_pools *ps, const struct seam_rows *rows)
{
	size_t i;

	for (i = 0; i < rows->n; i++) {
		const char *name = rows->row[i].key + strlen(FORECAST_PREFIX);
		struct seam_pool *p = strlen(name) < SEAM_CONF_NAME_SIZE ?
					      seam_pools_get_or_add(ps, name) :
					      NULL;

		if (!p)
			continue;
		merge(p, &rows->row[i]);
		p->forecast_known = true;
	}
}

static int load_all(struct seam_pools *ps, seam_time now)
{
	struct seam_err e = SEAM_ERR_INIT;
	char after[SEAM_KEY_MAX] = "";
	struct seam_rows rows = {.row = NULL};
	bool more;

	do {
		if (seam_store_scan(ps->env.store, FORECAST_PREFIX, after,
				    SCAN_PAGE, &rows, now + SEAM_POOL_TIMEOUT,
				    &e))
			return -1;
		more = rows.more;
		if (more)
			memcpy(after, rows.row[rows.n - 1].key, sizeof(after));
		merge_page(ps, &rows);
		seam_rows_free(&rows);
	} while (more);
	return 0;
}

static bool owns_spare(struct seam_pools *ps, const GPtrArray *owned)
{
	struct seam_conf *c = seam_conf_current(ps->env.conf);
	const struct seam_pool_conf *spare = seam_spare_pool_conf(c);
	bool owns = false;
	guint i;

	for (i = 0; spare && i < owned->len && !owns; i++) {
		const struct seam_pool *p = g_ptr_array_index(owned, i);

		owns = !strcmp(p->name, spare->name);
	}
	seam_conf_unref(c);
	return owns;
}

void seam_forecasts_refresh(struct seam_pools *ps, const GPtrArray *owned,
			    seam_time now)
{
	guint i;

	if (!ps->env.size || !owns_spare(ps, owned)) {
		ps->forecasts_read_at = 0;
		return;
	}
	if (now < ps->forecasts_read_at)
		return;
	if (load_all(ps, now))
		return;
	/* The scan also covered pools that have no forecast row yet. */
	for (i = 0; i < owned->len; i++)
		((struct seam_pool *)g_ptr_array_index(owned, i))
			->forecast_known = true;
	ps->forecasts_read_at = now + SPARE_PERIOD;
}

/* Writes the forecasts. The commit checks no version, as only the next owner
 * uses the rows. */
static int save(struct seam_pools *ps, GPtrArray *pools, seam_time now)
{
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_batch b;
	uint64_t version;
	guint i;
	int rc;

	seam_batch_init(&b);
	pthread_mutex_lock(&ps->lock);
	for (i = 0; i < pools->len; i++) {
		struct seam_pool *p = g_ptr_array_index(pools, i);

		seam_batch_add(&b, SEAM_PUT,
			       g_strconcat(FORECAST_PREFIX, p->name, NULL),
			       SEAM_ANY_VERSION,
			       seam_pool_forecast_write(&p->row.forecast));
		p->forecast_saved = p->row.forecast.at;
	}
	pthread_mutex_unlock(&ps->lock);
	rc = seam_batch_commit(ps, &b, &version, now, &e);
	if (!rc)
		seam_metric_add(&saved, (int64_t)pools->len);
	seam_batch_free(&b);
	return rc;
}

void seam_forecasts_save(struct seam_pools *ps, const GPtrArray *owned,
			 seam_time now)
{
	GPtrArray *due;
	int rc = 0;
	guint i;

	if (!ps->env.size || now < ps->forecasts_save_at)
		return;
	due = g_ptr_array_new();
	for (i = 0; i < owned->len && !rc; i++) {
		struct seam_pool *p = g_ptr_array_index(owned, i);

		pthread_mutex_lock(&ps->lock);
		if (p->forecast_known && p->row.forecast.at > p->forecast_saved)
			g_ptr_array_add(due, p);
		pthread_mutex_unlock(&ps->lock);
		if (due->len == SEAM_COMMIT_MAX ||
		    (due->len && i + 1 == owned->len)) {
			rc = save(ps, due, now);
			g_ptr_array_set_size(due, 0);
		}
	}
	g_ptr_array_free(due, TRUE);
	ps->forecasts_save_at = now + SAVE_PERIOD;
}
