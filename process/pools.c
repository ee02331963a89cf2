#include "process/pool_impl.h"
#include "base/count.h"
#include "base/log.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define INDEX "pool-version/"
#define SCAN_PAGE 512
/* Rows read in one poll; the next poll goes on. */
#define POLL_ROWS 128
/* Two threads of a process poll; one scan serves both. */
#define POLL_MIN (500 * SEAM_MSEC)

SEAM_COUNT(rows_read, "seam_pool_rows_read_total",
	   "Pool and wave rows read because their version changed.");
SEAM_COUNT(bad_rows, "seam_pool_bad_rows_total",
	   "Pool and wave rows that could not be decoded.");
SEAM_COUNT(poll_errors, "seam_pool_poll_errors_total",
	   "Polls of the pool rows that failed.");

static void free_pool(gpointer arg)
{
	struct seam_pool *p = arg;

	seam_pool_row_free(&p->row);
	free(p);
}

struct seam_pools *seam_pools_new(const struct seam_pools_env *env)
{
	struct seam_pools *ps = g_new0(struct seam_pools, 1);

	ps->env = *env;
	pthread_mutex_init(&ps->lock, NULL);
	pthread_mutex_init(&ps->publish_lock, NULL);
	ps->changes = 1; /* the first publication is never skipped */
	ps->pool =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_pool);
	ps->orphans = g_array_new(FALSE, TRUE, sizeof(struct seam_vm));
	ps->moving = g_array_new(FALSE, TRUE, sizeof(struct seam_moving));
	return ps;
}

void seam_pools_free(struct seam_pools *ps)
{
	if (!ps)
		return;
	seam_vm_list_drop(ps->list);
	g_hash_table_destroy(ps->pool);
	g_array_free(ps->orphans, TRUE);
	g_array_free(ps->moving, TRUE);
	pthread_mutex_destroy(&ps->lock);
	pthread_mutex_destroy(&ps->publish_lock);
	g_free(ps);
}

static struct seam_pool *get_locked(struct seam_pools *ps, const char *name)
{
	struct seam_pool *p = g_hash_table_lookup(ps->pool, name);

	if (p)
		return p;
	p = calloc(1, sizeof(*p));
	if (!p)
		return NULL;
	p->ps = ps;
	g_strlcpy(p->name, name, sizeof(p->name));
	g_strlcpy(p->row.name, name, sizeof(p->row.name));
	p->row.forecast.shrink_at = SEAM_NEVER;
	g_hash_table_insert(ps->pool, p->name, p);
	return p;
}

struct seam_pool *seam_pools_get(struct seam_pools *ps, const char *name)
{
	struct seam_pool *p;

	pthread_mutex_lock(&ps->lock);
	p = get_locked(ps, name);
	pthread_mutex_unlock(&ps->lock);
	return p;
}

/*
 * The owner's forecast goes on in memory; rows of earlier versions have it too.
 * What the pool wants is always that of the newest row.
 */
void seam_pool_keep(struct seam_pool *p, const struct seam_pool_row *r)
{
	struct seam_pool_row copy;

	if (seam_pool_row_copy(&copy, r))
		return;
	pthread_mutex_lock(&p->ps->lock);
	if (copy.version >= p->row.version) {
		p->ps->changes += copy.version > p->row.version;
		if (copy.forecast.at < p->row.forecast.at) {
			copy.forecast = p->row.forecast;
			copy.forecast.want = r->forecast.want;
		}
		seam_pool_row_free(&p->row);
		p->row = copy;
		copy.member = NULL;
	}
	pthread_mutex_unlock(&p->ps->lock);
	free(copy.member);
}

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
		return 0;
	}
	seam_count_add(&rows_read, 1);
	if (decode(p, &row, wave, &bad)) {
		seam_count_add(&bad_rows, 1);
		seam_log(SEAM_ERROR, "pool", "Row %s not read: %s.", key,
			 bad.text);
	}
	seam_row_free(&row);
	return 0;
}

static bool is_newer(struct seam_pools *ps, const char *name, bool wave,
		     uint64_t version, struct seam_pool **p)
{
	bool newer;

	pthread_mutex_lock(&ps->lock);
	*p = get_locked(ps, name);
	newer = *p && version > (wave ? (*p)->wave.version : (*p)->row.version);
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

void seam_pools_drain_tasks(struct seam_pools *ps, struct seam_drain *d)
{
	ps->env.drain_tasks = d;
}

char **seam_pools_names(struct seam_pools *ps)
{
	GHashTableIter it;
	gpointer p;
	char **out;
	guint i = 0;

	pthread_mutex_lock(&ps->lock);
	out = g_new0(char *, g_hash_table_size(ps->pool) + 1);
	g_hash_table_iter_init(&it, ps->pool);
	while (g_hash_table_iter_next(&it, NULL, &p))
		out[i++] = g_strdup(((struct seam_pool *)p)->name);
	pthread_mutex_unlock(&ps->lock);
	return out;
}

int seam_pool_peek(struct seam_pools *ps, const char *name,
		   struct seam_pool_row *out)
{
	struct seam_conf *c = seam_conf_current(ps->env.conf);
	struct seam_pool *p;
	int rc = -1;

	pthread_mutex_lock(&ps->lock);
	p = g_hash_table_lookup(ps->pool, name);
	if (p)
		rc = seam_pool_row_copy(out, &p->row);
	pthread_mutex_unlock(&ps->lock);
	if (!rc)
		seam_pool_mark_out(out, c);
	seam_conf_drop(c);
	return rc;
}

void seam_pool_mark_out(struct seam_pool_row *r, const struct seam_conf *c)
{
	size_t i;

	for (i = 0; i < r->n; i++)
		r->member[i].out = seam_conf_dc_out(c, r->member[i].dc);
}

const struct seam_pool_conf *seam_pool_spare(const struct seam_conf *c)
{
	struct seam_handle h = SEAM_NONE;
	const struct seam_pool_conf *pc;

	while ((pc = seam_conf_next(c, SEAM_CONF_POOL, &h)))
		if (pc->kind == SEAM_POOL_SPARE)
			return pc;
	return NULL;
}

bool seam_pool_rules_of(struct seam_pools *ps, const char *name, seam_time now,
			struct seam_pool_rules *out)
{
	struct seam_conf *c = seam_conf_current(ps->env.conf);
	const struct seam_pool_conf *pc =
		seam_conf_named(c, SEAM_CONF_POOL, name);
	struct seam_vm_list *l = seam_vm_list_hold(ps);

	/* A pool that was deleted is emptied one VM at a time. */
	out->min = pc ? pc->min : 0;
	out->budget = pc ? pc->budget : 1;
	out->list_ok = l && now - seam_vm_list_as_of(l) <=
				    ps->env.vm_list_ms * SEAM_MSEC;
	seam_vm_list_drop(l);
	seam_conf_drop(c);
	return pc;
}
