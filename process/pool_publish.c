#include "process/pool_impl.h"
#include "base/metrics.h"

#include <stdlib.h>
#include <string.h>

SEAM_METRIC(publications, "seam_pool_publications_total",
	    "Times that the fleet was built anew from the list and the rows.");

/*
 * The pool and member of a VM. A VM is in two rows if these were read before
 * and after a move; the row with the higher version is the newer one.
 */
struct member_ref {
	const struct seam_pool *pool;
	const struct seam_pool_vm *member;
};

static void index_row(GHashTable *t, struct member_ref **next, GArray *moving,
		      const struct seam_pool *p)
{
	size_t i;

	for (i = 0; i < p->row.n; i++) {
		const struct seam_pool_vm *m = &p->row.member[i];
		struct member_ref *old = g_hash_table_lookup(t, m->vm);

		if (*m->to) {
			struct seam_vm_move v = {.from = ""};

			g_strlcpy(v.from, p->name, sizeof(v.from));
			memcpy(v.to, m->to, sizeof(v.to));
			memcpy(v.vm, m->vm, sizeof(v.vm));
			g_array_append_val(moving, v);
		}
		if (old && old->pool->row.version > p->row.version)
			continue;
		old = (*next)++;
		old->pool = p;
		old->member = m;
		g_hash_table_replace(t, (gpointer)m->vm, old);
	}
}

/* The values are in @all, which the caller frees after the table. */
static GHashTable *index_all(struct seam_pools *ps, struct member_ref **all)
{
	GHashTable *t = g_hash_table_new(g_str_hash, g_str_equal);
	struct member_ref *next;
	GHashTableIter it;
	gpointer p;
	size_t n = 0;

	g_hash_table_iter_init(&it, ps->pool);
	while (g_hash_table_iter_next(&it, NULL, &p))
		n += ((struct seam_pool *)p)->row.n;
	*all = next = g_new(struct member_ref, n + 1);
	g_array_set_size(ps->moving, 0);
	g_hash_table_iter_init(&it, ps->pool);
	while (g_hash_table_iter_next(&it, NULL, &p))
		index_row(t, &next, ps->moving, p);
	return t;
}

/*
 * Assigns a VM in no pool row to the pool that it was created for, or to the
 * spare pool if that one does not exist. A VM created for no pool, such as an
 * entry VM, must not be moved or rebooted.
 */
static void add_orphan(struct seam_pools *ps, struct seam_fleet_vm *f,
		       const struct seam_conf *c)
{
	const struct seam_pool_conf *spare = seam_spare_pool_conf(c);

	if (!*f->vm.pool)
		return;
	if (!seam_conf_lookup(c, SEAM_CONF_POOL, f->vm.pool)) {
		if (!spare)
			return;
		memcpy(f->vm.pool, spare->name, sizeof(f->vm.pool));
	}
	g_array_append_val(ps->orphans, f->vm);
}

static struct seam_fleet_vm *build_fleet(struct seam_pools *ps,
					 const struct seam_conf *c, size_t *n)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct member_ref *all;
	GHashTable *t = index_all(ps, &all);
	struct seam_fleet_vm *f;
	const struct seam_vm *vm;

	*n = 0;
	g_array_set_size(ps->orphans, 0);
	f = calloc(ps->list ? seam_table_count(ps->list->table) + 1 : 1,
		   sizeof(*f));
	while (f && ps->list && (vm = seam_table_next(ps->list->table, &h))) {
		struct seam_fleet_vm *x = &f[(*n)++];
		struct member_ref *in = g_hash_table_lookup(t, vm->id);

		x->vm = *vm;
		if (!in) {
			add_orphan(ps, x, c);
			continue;
		}
		memcpy(x->vm.pool, in->pool->name, sizeof(x->vm.pool));
		x->member = in->member->state;
		x->pool_version = in->pool->row.version;
	}
	g_hash_table_destroy(t);
	g_free(all);
	return f;
}

/* True if neither the inputs nor the fleet changed since its last update. */
static bool is_current(struct seam_pools *ps, const struct seam_conf *c)
{
	seam_time as_of;

	return ps->published.changes == ps->changes &&
	       ps->published.conf == seam_conf_version(c) &&
	       (!ps->env.fleet ||
		ps->published.fleet ==
			seam_fleet_changes(ps->env.fleet, &as_of));
}

/*
 * Two threads publish; publish_lock prevents older content from replacing
 * newer content.
 */
void seam_pools_publish(struct seam_pools *ps)
{
	struct seam_conf *c = seam_conf_current(ps->env.conf);
	struct seam_fleet_vm *f = NULL;
	seam_time as_of;
	size_t n = 0;
	bool current;

	pthread_mutex_lock(&ps->publish_lock);
	pthread_mutex_lock(&ps->lock);
	as_of = seam_vm_list_as_of(ps->list);
	current = is_current(ps, c);
	if (!current)
		f = build_fleet(ps, c, &n);
	if (f) {
		seam_metric_add(&publications, 1);
		ps->published.changes = ps->changes;
		ps->published.conf = seam_conf_version(c);
	}
	pthread_mutex_unlock(&ps->lock);
	if (ps->env.fleet && current)
		seam_fleet_confirm(ps->env.fleet, as_of);
	else if (ps->env.fleet && f)
		ps->published.fleet =
			seam_fleet_adopt(ps->env.fleet, f, n, as_of);
	else
		free(f);
	pthread_mutex_unlock(&ps->publish_lock);
	seam_conf_unref(c);
}
