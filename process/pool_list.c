#include "process/pool_impl.h"
#include "base/count.h"
#include "base/log.h"

#include <stdlib.h>
#include <string.h>

SEAM_COUNT(list_errors, "seam_pool_vm_list_errors_total",
	   "Reads of the VM list that failed.");

static struct seam_vm_list *list_new(struct seam_vms *vms)
{
	struct seam_vm_list *l = g_new0(struct seam_vm_list, 1);
	size_t i;

	l->refs = 1;
	l->vms = *vms;
	l->index = g_hash_table_new(g_str_hash, g_str_equal);
	for (i = 0; i < vms->n; i++)
		g_hash_table_insert(l->index, l->vms.vm[i].id, &l->vms.vm[i]);
	return l;
}

struct seam_vm_list *seam_vm_list_hold(struct seam_pools *ps)
{
	struct seam_vm_list *l;

	pthread_mutex_lock(&ps->lock);
	l = ps->list;
	if (l)
		__atomic_add_fetch(&l->refs, 1, __ATOMIC_ACQ_REL);
	pthread_mutex_unlock(&ps->lock);
	return l;
}

void seam_vm_list_drop(struct seam_vm_list *l)
{
	if (!l || __atomic_sub_fetch(&l->refs, 1, __ATOMIC_ACQ_REL))
		return;
	g_hash_table_destroy(l->index);
	seam_vms_free(&l->vms);
	g_free(l);
}

const struct seam_vm *seam_vm_list_find(const struct seam_vm_list *l,
					const char *vm)
{
	return l ? g_hash_table_lookup(l->index, vm) : NULL;
}

int seam_pools_list(struct seam_pools *ps, seam_time now, struct seam_err *e)
{
	struct seam_platform *p = ps->env.platform;
	struct seam_vms vms = {.vm = NULL};
	struct seam_vm_list *old = NULL;
	struct seam_vm_list *l;

	if (p->ops->vms(p, &vms, now + SEAM_POOL_TIMEOUT, e)) {
		seam_count_add(&list_errors, 1);
		return -1;
	}
	l = list_new(&vms);
	pthread_mutex_lock(&ps->lock);
	if (!ps->list || l->vms.as_of >= ps->list->vms.as_of) {
		old = ps->list;
		ps->list = l;
		l = NULL;
	}
	pthread_mutex_unlock(&ps->lock);
	seam_vm_list_drop(old);
	seam_vm_list_drop(l);
	return 0;
}

/*
 * Member by VM over all rows read. A VM that is in two of them was read around
 * a move; the row with the higher version is the newer one.
 */
struct entry {
	const struct seam_pool *pool;
	const struct seam_pool_vm *member;
};

static void index_row(GHashTable *t, GArray *moving, const struct seam_pool *p)
{
	size_t i;

	for (i = 0; i < p->row.n; i++) {
		const struct seam_pool_vm *m = &p->row.member[i];
		struct entry *old = g_hash_table_lookup(t, m->vm);

		if (*m->to) {
			struct seam_moving v = {.from = ""};

			g_strlcpy(v.from, p->name, sizeof(v.from));
			memcpy(v.to, m->to, sizeof(v.to));
			memcpy(v.vm, m->vm, sizeof(v.vm));
			g_array_append_val(moving, v);
		}
		if (old && old->pool->row.version > p->row.version)
			continue;
		old = g_new(struct entry, 1);
		old->pool = p;
		old->member = m;
		g_hash_table_replace(t, (gpointer)m->vm, old);
	}
}

static GHashTable *index_all(struct seam_pools *ps)
{
	GHashTable *t =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	GHashTableIter it;
	gpointer p;

	g_array_set_size(ps->moving, 0);
	g_hash_table_iter_init(&it, ps->pool);
	while (g_hash_table_iter_next(&it, NULL, &p))
		index_row(t, ps->moving, p);
	return t;
}

/*
 * A VM without a row counts for the pool that it was made for. One that was
 * made for none is not ours to move or reboot: the entry VMs are such.
 */
static void place_orphan(struct seam_pools *ps, struct seam_fleet_vm *f,
			 const struct seam_conf *c)
{
	const struct seam_pool_conf *spare = seam_pool_spare(c);

	if (!*f->vm.pool)
		return;
	if (!seam_conf_named(c, SEAM_CONF_POOL, f->vm.pool)) {
		if (!spare)
			return;
		memcpy(f->vm.pool, spare->name, sizeof(f->vm.pool));
	}
	g_array_append_val(ps->orphans, f->vm);
}

static struct seam_fleet_vm *build(struct seam_pools *ps,
				   const struct seam_conf *c, size_t *n)
{
	GHashTable *t = index_all(ps);
	struct seam_fleet_vm *f = NULL;
	size_t i;

	*n = ps->list ? ps->list->vms.n : 0;
	g_array_set_size(ps->orphans, 0);
	f = calloc(*n + 1, sizeof(*f));
	for (i = 0; f && i < *n; i++) {
		struct entry *x;

		f[i].vm = ps->list->vms.vm[i];
		x = g_hash_table_lookup(t, f[i].vm.id);
		if (!x) {
			place_orphan(ps, &f[i], c);
			continue;
		}
		memcpy(f[i].vm.pool, x->pool->name, sizeof(f[i].vm.pool));
		f[i].member = x->member->state;
		f[i].pool_version = x->pool->row.version;
	}
	g_hash_table_destroy(t);
	return f;
}

void seam_pools_publish(struct seam_pools *ps)
{
	struct seam_conf *c = seam_conf_current(ps->env.conf);
	struct seam_fleet_vm *f;
	seam_time as_of;
	size_t n;

	pthread_mutex_lock(&ps->lock);
	f = build(ps, c, &n);
	as_of = ps->list ? ps->list->vms.as_of : 0;
	pthread_mutex_unlock(&ps->lock);
	if (f && ps->env.fleet)
		seam_fleet_set(ps->env.fleet, f, n, as_of);
	free(f);
	seam_conf_drop(c);
}
