#include "base/count.h"
#include "base/log.h"
#include "process/member_impl.h"

#include <stdlib.h>
#include <string.h>

SEAM_COUNT(unknown_vms, "seam_members_unknown_vms",
	   "Listed VMs of no pool that had no member when the store was lost.");

/* The lock is held. */
static bool known(struct seam_members *m, const char *vm)
{
	struct seam_handle h = SEAM_NONE;
	struct seam_member *b;

	if (!strcmp(m->node->settings.vm, vm))
		return true;
	while ((b = seam_table_next(m->table, &h)))
		if (!strcmp(b->vm, vm))
			return true;
	return false;
}

/* Nodes run on VMs that were made for no pool, see seam_pools_publish(). */
static int count_unknown(struct seam_members *m, const struct seam_fleet_vm *vm,
			 size_t n, const char **first)
{
	int unknown = 0;
	size_t i;

	for (i = 0; i < n; i++) {
		if (*vm[i].vm.pool || known(m, vm[i].vm.id))
			continue;
		if (!unknown++)
			*first = vm[i].vm.id;
	}
	return unknown;
}

/*
 * A VM that was seen stays unknown until the rows are read: it can accept a
 * change and leave the list again. So can one that came and left between two
 * lists, but not within the time for which a list may lag.
 */
static void watch(struct seam_members *m, const struct seam_fleet_vm *vm,
		  size_t n, seam_time as_of)
{
	seam_time lag = m->node->settings.vm_list_ms * SEAM_MSEC;
	const char *first = "";
	int unknown = count_unknown(m, vm, n, &first);

	seam_count_set(&unknown_vms, unknown);
	if (unknown && !m->unknown)
		seam_log(SEAM_WARN, "member",
			 "VM %s may have a node that is not known; no "
			 "confirmation by peers until the store is back.",
			 first);
	m->unknown = m->unknown || unknown || as_of - m->watched > lag;
	m->watched = as_of;
}

void seam_member_watch(struct seam_members *m, seam_time now)
{
	struct seam_budget_state st = seam_store_budget_state(m->node->store);
	struct seam_fleet_vm *vm;
	seam_time as_of = 0;
	bool newer;
	size_t n;

	if (now - st.last_ok < SEAM_STORE_GONE)
		return;
	seam_fleet_changes(m->node->fleet, &as_of);
	pthread_mutex_lock(&m->lock);
	newer = m->watched && as_of > m->watched;
	pthread_mutex_unlock(&m->lock);
	if (!newer)
		return;
	vm = seam_fleet_copy(m->node->fleet, NULL, &n, &as_of);
	pthread_mutex_lock(&m->lock);
	/* An empty list is more likely a fault of the platform. */
	if (n && m->watched && as_of > m->watched)
		watch(m, vm, n, as_of);
	pthread_mutex_unlock(&m->lock);
	free(vm);
}

void seam_member_watched(struct seam_members *m, seam_time now)
{
	m->rows_at = now;
	m->watched = now;
	m->unknown = false;
	seam_count_set(&unknown_vms, 0);
}
