#include "process/pool_impl.h"
#include "base/metrics.h"
#include "base/log.h"

#include <stdlib.h>
#include <string.h>

SEAM_METRIC(list_errors, "seam_pool_vm_list_errors_total",
	    "Reads of the VM list that failed.");
SEAM_METRIC(full_reads, "seam_pool_vm_lists_whole_total",
	    "Reads of the VM list that brought the whole list.");
SEAM_METRIC(list_changes, "seam_pool_vm_list_changes_total",
	    "VMs that were new, different or gone in changes of the list.");

static struct seam_vm_list *list_new(void)
{
	struct seam_vm_list *l = g_new0(struct seam_vm_list, 1);

	l->refs = 1;
	l->table = seam_table_new(sizeof(struct seam_vm));
	l->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	return l;
}

struct seam_vm_list *seam_vm_list_ref(struct seam_pools *ps)
{
	struct seam_vm_list *l;

	pthread_mutex_lock(&ps->lock);
	l = ps->list;
	if (l)
		__atomic_add_fetch(&l->refs, 1, __ATOMIC_ACQ_REL);
	pthread_mutex_unlock(&ps->lock);
	return l;
}

void seam_vm_list_unref(struct seam_vm_list *l)
{
	if (!l || __atomic_sub_fetch(&l->refs, 1, __ATOMIC_ACQ_REL))
		return;
	g_hash_table_destroy(l->by_id);
	seam_table_free(l->table);
	g_free(l);
}

static struct seam_handle find_handle(const struct seam_vm_list *l,
				      const char *vm)
{
	return (struct seam_handle){
		GPOINTER_TO_UINT(g_hash_table_lookup(l->by_id, vm))};
}

const struct seam_vm *seam_vm_list_find(const struct seam_vm_list *l,
					const char *vm)
{
	return l ? seam_table_get(l->table, find_handle(l, vm)) : NULL;
}

seam_time seam_vm_list_as_of(const struct seam_vm_list *l)
{
	return l ? __atomic_load_n(&l->as_of, __ATOMIC_ACQUIRE) : 0;
}

static int set_vm(struct seam_vm_list *l, const struct seam_vm *vm)
{
	struct seam_handle h = find_handle(l, vm->id);
	struct seam_vm *at = seam_table_get(l->table, h);

	if (at) {
		*at = *vm;
		return 0;
	}
	at = seam_table_add(l->table, &h);
	if (!at)
		return -1;
	*at = *vm;
	g_hash_table_insert(l->by_id, at->id, GUINT_TO_POINTER(h.bits));
	return 0;
}

static void remove_vm(struct seam_vm_list *l, const char *id)
{
	struct seam_handle h = find_handle(l, id);

	/* The key is part of the table entry, so it is removed first. */
	g_hash_table_remove(l->by_id, id);
	seam_table_del(l->table, h);
}

static struct seam_vm_list *list_copy(const struct seam_vm_list *from)
{
	struct seam_vm_list *l = list_new();
	struct seam_handle h = SEAM_HANDLE_NONE;
	const struct seam_vm *vm;

	l->as_of = from->as_of;
	memcpy(l->cursor, from->cursor, sizeof(l->cursor));
	while ((vm = seam_table_next(from->table, &h)))
		if (set_vm(l, vm)) {
			seam_vm_list_unref(l);
			return NULL;
		}
	return l;
}

static bool lists_equal(const struct seam_vm_list *l,
			const struct seam_vms *vms)
{
	size_t i;

	if (seam_table_count(l->table) != vms->n)
		return false;
	for (i = 0; i < vms->n; i++) {
		const struct seam_vm *vm = seam_vm_list_find(l, vms->vm[i].id);

		if (!vm || !seam_vm_equal(vm, &vms->vm[i]))
			return false;
	}
	return true;
}

/* The caller holds the lock. VMs are not changed: readers may use the list. */
static void set_list_position(struct seam_vm_list *l,
			      const struct seam_vms *vms)
{
	memcpy(l->cursor, vms->cursor, sizeof(l->cursor));
	__atomic_store_n(&l->as_of, vms->as_of, __ATOMIC_RELEASE);
}

static int replace_list(struct seam_pools *ps, const struct seam_vms *vms)
{
	struct seam_vm_list *l;
	size_t i;

	seam_metric_add(&full_reads, 1);
	if (ps->list && lists_equal(ps->list, vms)) {
		set_list_position(ps->list, vms);
		return 0;
	}
	l = list_new();
	for (i = 0; i < vms->n; i++)
		if (set_vm(l, &vms->vm[i])) {
			seam_vm_list_unref(l);
			return -1;
		}
	set_list_position(l, vms);
	seam_vm_list_unref(ps->list);
	ps->list = l;
	ps->changes++;
	return 0;
}

/* The caller holds the lock, so no new references to the list appear. */
static int apply_change(struct seam_pools *ps, const struct seam_vms *vms)
{
	struct seam_vm_list *l = ps->list;
	int rc = 0;
	size_t i;

	if (vms->n + vms->gone_n &&
	    __atomic_load_n(&l->refs, __ATOMIC_ACQUIRE) > 1) {
		l = list_copy(ps->list);
		if (!l)
			return -1;
		seam_vm_list_unref(ps->list);
		ps->list = l;
	}
	for (i = 0; i < vms->gone_n; i++)
		remove_vm(l, vms->gone[i]);
	for (i = 0; i < vms->n && !rc; i++)
		rc = set_vm(l, &vms->vm[i]);
	if (vms->n + vms->gone_n)
		ps->changes++;
	seam_metric_add(&list_changes, (int64_t)(vms->n + vms->gone_n));
	set_list_position(l, vms);
	/* A list with a wrong number of VMs is replaced by a full read. */
	if (rc || (vms->total && seam_table_count(l->table) != vms->total))
		l->cursor[0] = '\0';
	return rc;
}

/*
 * Ignores a response that is older than the current list, or is a change
 * against another cursor: another thread has applied a newer one.
 */
static int apply_response(struct seam_pools *ps, const char *since,
			  const struct seam_vms *vms)
{
	int rc = 0;

	pthread_mutex_lock(&ps->lock);
	if (ps->list && vms->as_of < ps->list->as_of)
		rc = 0;
	else if (!vms->change)
		rc = replace_list(ps, vms);
	else if (ps->list && !strcmp(ps->list->cursor, since))
		rc = apply_change(ps, vms);
	pthread_mutex_unlock(&ps->lock);
	return rc;
}

int seam_pools_read_vm_list(struct seam_pools *ps, seam_time now,
			    struct seam_err *e)
{
	struct seam_platform *p = ps->env.platform;
	seam_time until = now + SEAM_POOL_TIMEOUT;
	char since[SEAM_CURSOR_MAX] = "";
	struct seam_vms vms = {.vm = NULL};
	int rc;

	pthread_mutex_lock(&ps->lock);
	if (ps->list)
		memcpy(since, ps->list->cursor, sizeof(since));
	pthread_mutex_unlock(&ps->lock);
	rc = p->ops->changes ? p->ops->changes(p, since, &vms, until, e) :
			       p->ops->vms(p, &vms, until, e);
	if (rc) {
		seam_metric_add(&list_errors, 1);
		return -1;
	}
	rc = apply_response(ps, since, &vms);
	seam_vms_free(&vms);
	return rc ? seam_fail(e, SEAM_NO_MEMORY, NULL) : 0;
}
