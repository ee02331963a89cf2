#include "process/pool_impl.h"

#include <stdlib.h>
#include <string.h>

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
	ps->changes = 1; /* so that the first publication is not skipped */
	ps->pool =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_pool);
	ps->orphans = g_array_new(FALSE, TRUE, sizeof(struct seam_vm));
	ps->moving = g_array_new(FALSE, TRUE, sizeof(struct seam_vm_move));
	return ps;
}

void seam_pools_free(struct seam_pools *ps)
{
	if (!ps)
		return;
	seam_vm_list_unref(ps->list);
	g_hash_table_destroy(ps->pool);
	g_array_free(ps->orphans, TRUE);
	g_array_free(ps->moving, TRUE);
	pthread_mutex_destroy(&ps->lock);
	pthread_mutex_destroy(&ps->publish_lock);
	g_free(ps);
}

struct seam_pool *seam_pools_get_or_add_locked(struct seam_pools *ps,
					       const char *name)
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

struct seam_pool *seam_pools_get_or_add(struct seam_pools *ps, const char *name)
{
	struct seam_pool *p;

	pthread_mutex_lock(&ps->lock);
	p = seam_pools_get_or_add_locked(ps, name);
	pthread_mutex_unlock(&ps->lock);
	return p;
}

/*
 * The owner updates its forecast in memory, and rows written by earlier
 * releases hold a forecast too: the newer of both is kept. The desired size is
 * always that of the newest row.
 */
void seam_pool_set_row(struct seam_pool *p, const struct seam_pool_row *r)
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

void seam_pools_set_task_drain(struct seam_pools *ps, struct seam_drain *d)
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

int seam_pool_get_row(struct seam_pools *ps, const char *name,
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
		seam_pool_mark_evacuated(out, c);
	seam_conf_unref(c);
	return rc;
}

void seam_pool_mark_evacuated(struct seam_pool_row *r,
			      const struct seam_conf *c)
{
	size_t i;

	for (i = 0; i < r->n; i++)
		r->member[i].out = seam_conf_dc_out(c, r->member[i].dc);
}

const struct seam_pool_conf *seam_spare_pool_conf(const struct seam_conf *c)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	const struct seam_pool_conf *pc;

	while ((pc = seam_conf_next(c, SEAM_CONF_POOL, &h)))
		if (pc->kind == SEAM_POOL_SPARE)
			return pc;
	return NULL;
}

bool seam_pool_get_rules(struct seam_pools *ps, const char *name, seam_time now,
			 struct seam_pool_rules *out)
{
	struct seam_conf *c = seam_conf_current(ps->env.conf);
	const struct seam_pool_conf *pc =
		seam_conf_lookup(c, SEAM_CONF_POOL, name);
	struct seam_vm_list *l = seam_vm_list_ref(ps);

	/* A deleted pool is drained one VM at a time. */
	out->min = pc ? pc->min : 0;
	out->budget = pc ? pc->budget : 1;
	out->list_ok = l && now - seam_vm_list_as_of(l) <=
				    ps->env.vm_list_ms * SEAM_MSEC;
	seam_vm_list_unref(l);
	seam_conf_unref(c);
	return pc;
}
