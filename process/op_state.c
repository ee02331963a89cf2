#include "process/op_state.h"
#include "base/metrics.h"
#include "base/log.h"
#include "base/outage.h"

#include <stdlib.h>
#include <string.h>

/* Bounds one wait for changes. Short, so that an unresponsive connection does
 * not delay the adoption of a new configuration. */
#define WATCH_TIMEOUT (2 * SEAM_SEC)
#define READ_TIMEOUT (1 * SEAM_SEC)
#define RETRY_DELAY (200 * SEAM_MSEC) /* after a failed read */
#define PAGE_ROWS 100

SEAM_METRIC(version, "seam_config_version", "Version of the configuration.");

static void free_wave(void *arg)
{
	struct seam_wave *w = arg;

	free(w->vm);
	free(w);
}

static void apply_config(struct seam_op_state *s, const struct seam_row *row)
{
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_catalog *c;
	uint64_t n;

	if (!row->data)
		return;
	c = s->ports->config(row->data, &e);
	if (!c) {
		seam_log(SEAM_ERROR, "config",
			 "event=config_unreadable row_version=%llu why=\"%s\"",
			 (unsigned long long)row->version, e.text);
		return;
	}
	n = c->version;
	if (!seam_catalog_publish(&s->catalog, c))
		return;
	__atomic_store_n(&s->ready, true, __ATOMIC_RELEASE);
	seam_metric_set(&version, (int64_t)n);
	seam_log(SEAM_INFO, "config",
		 "event=config_adopted version=%llu row_version=%llu",
		 (unsigned long long)n, (unsigned long long)row->version);
}

static void apply_evacuation(struct seam_op_state *s,
			     const struct seam_row *row)
{
	const char *dc = row->key + strlen(s->ports->evacuation_rows);

	pthread_mutex_lock(&s->lock);
	if (row->data)
		g_hash_table_add(s->evacuated, g_strdup(dc));
	else
		g_hash_table_remove(s->evacuated, dc);
	pthread_mutex_unlock(&s->lock);
	seam_log(SEAM_INFO, "config",
		 "event=data_centre_%s data_centre=%s row_version=%llu",
		 row->data ? "out" : "back", dc,
		 (unsigned long long)row->version);
}

static void apply_wave(struct seam_op_state *s, const struct seam_row *row)
{
	struct seam_wave *w = calloc(1, sizeof(*w));
	struct seam_err e = SEAM_ERR_INIT;
	seam_time left = 0;

	if (!w || !row->data || s->ports->wave(row->data, w, &left, &e)) {
		free(w);
		if (*e.text)
			seam_log(SEAM_ERROR, "upkeep",
				 "event=wave_unreadable row=%s why=\"%s\"",
				 row->key, e.text);
		return;
	}
	w->deadline = seam_now(s->clock) + left;
	seam_log(SEAM_INFO, "upkeep",
		 "event=wave_asked wave=%lld vms=%zu at_once=%d",
		 (long long)w->number, w->vms, w->at_once);
	pthread_mutex_lock(&s->lock);
	g_hash_table_replace(s->waves, g_strdup(row->key), w);
	pthread_mutex_unlock(&s->lock);
}

static void apply_row(struct seam_op_state *s, const struct seam_row *row)
{
	const struct seam_ports *p = s->ports;

	if (!strcmp(row->key, p->config_row))
		apply_config(s, row);
	else if (!strncmp(row->key, p->evacuation_rows,
			  strlen(p->evacuation_rows)))
		apply_evacuation(s, row);
	else if (!strncmp(row->key, p->wave_rows, strlen(p->wave_rows)))
		apply_wave(s, row);
}

/* A data centre without a row in a complete scan is back in service. */
static void remove_unlisted_evacuations(struct seam_op_state *s,
					const struct seam_rows *rows)
{
	GHashTableIter it;
	gpointer dc;
	size_t i;

	pthread_mutex_lock(&s->lock);
	g_hash_table_iter_init(&it, s->evacuated);
	while (g_hash_table_iter_next(&it, &dc, NULL)) {
		char *key = g_strconcat(s->ports->evacuation_rows, dc, NULL);

		for (i = 0; i < rows->n; i++)
			if (!strcmp(rows->row[i].key, key))
				break;
		if (i == rows->n)
			g_hash_table_iter_remove(&it);
		g_free(key);
	}
	pthread_mutex_unlock(&s->lock);
}

static int read_all(struct seam_op_state *s, uint64_t *after,
		    struct seam_err *e)
{
	struct seam_rows rows;
	size_t i;

	if (seam_store_scan_all(s->ports->store, s->clock, s->ports->op_rows,
				PAGE_ROWS, READ_TIMEOUT, &rows, e))
		return -1;
	for (i = 0; i < rows.n; i++)
		apply_row(s, &rows.row[i]);
	remove_unlisted_evacuations(s, &rows);
	*after = rows.version;
	seam_rows_free(&rows);
	return 0;
}

static int watch_changes(struct seam_op_state *s, uint64_t *after,
			 struct seam_err *e)
{
	struct seam_rows rows;
	size_t i;

	if (seam_store_watch(s->ports->store, s->ports->op_rows, after, &rows,
			     seam_now(s->clock) + WATCH_TIMEOUT, e))
		return -1;
	for (i = 0; i < rows.n; i++)
		apply_row(s, &rows.row[i]);
	seam_rows_free(&rows);
	return 0;
}

static void *follow_rows(void *arg)
{
	struct seam_op_state *s = arg;
	struct seam_outage outage = {.part = "config",
				     .what = "Reading of operators' rows"};
	struct seam_err e = SEAM_ERR_INIT;
	uint64_t after = 0;
	int rc = -1;

	while (!__atomic_load_n(&s->stop, __ATOMIC_ACQUIRE)) {
		seam_err_clear(&e);
		rc = after ? watch_changes(s, &after, &e) :
			     read_all(s, &after, &e);
		seam_outage_update(&outage, rc ? &e : NULL, seam_now(s->clock));
		if (rc) {
			/* Changes may have been missed: read all rows. */
			after = 0;
			g_usleep(RETRY_DELAY);
		}
	}
	return NULL;
}

int seam_op_state_start(struct seam_op_state *s, const struct seam_ports *p,
			struct seam_clock *k, struct seam_err *e)
{
	memset(s, 0, sizeof(*s));
	s->ports = p;
	s->clock = k;
	pthread_mutex_init(&s->lock, NULL);
	s->evacuated =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	s->waves = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 free_wave);
	if (pthread_create(&s->thread, NULL, follow_rows, s))
		return seam_fail(e, SEAM_NO_MEMORY, "cannot start a thread");
	return 0;
}

void seam_op_state_stop(struct seam_op_state *s)
{
	__atomic_store_n(&s->stop, true, __ATOMIC_RELEASE);
	pthread_join(s->thread, NULL);
	g_hash_table_destroy(s->evacuated);
	g_hash_table_destroy(s->waves);
	pthread_mutex_destroy(&s->lock);
}

bool seam_op_state_ready(struct seam_op_state *s)
{
	return __atomic_load_n(&s->ready, __ATOMIC_ACQUIRE);
}

bool seam_op_state_is_evacuated(struct seam_op_state *s, const char *dc)
{
	bool evacuated;

	pthread_mutex_lock(&s->lock);
	evacuated = g_hash_table_contains(s->evacuated, dc);
	pthread_mutex_unlock(&s->lock);
	return evacuated;
}

bool seam_op_state_wave(struct seam_op_state *s, unsigned i,
			struct seam_wave *w)
{
	struct seam_wave *found = NULL;
	GHashTableIter it;
	gpointer v;

	pthread_mutex_lock(&s->lock);
	g_hash_table_iter_init(&it, s->waves);
	while (g_hash_table_iter_next(&it, NULL, &v))
		if (!i--) {
			found = v;
			break;
		}
	if (found) {
		*w = *found;
		w->vm = calloc(w->vms + 1, sizeof(*w->vm));
		if (w->vm)
			memcpy(w->vm, found->vm, w->vms * sizeof(*w->vm));
		else
			w->vms = 0;
	}
	pthread_mutex_unlock(&s->lock);
	return found != NULL;
}
