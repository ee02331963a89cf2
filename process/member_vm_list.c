#include "base/metrics.h"
#include "base/log.h"
#include "process/member_impl.h"

#include <stdlib.h>
#include <string.h>

SEAM_METRIC(
	unknown_vms, "seam_members_unknown_vms",
	"Listed VMs of no pool that had no member when the store was lost.");

/* Called with the lock held. */
static bool has_member(struct seam_members *m, const char *vm)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_member *b;

	if (!strcmp(m->node->settings.vm, vm))
		return true;
	while ((b = seam_table_next(m->table, &h)))
		if (!strcmp(b->vm, vm))
			return true;
	return false;
}

/* Nodes run on VMs without a pool, see seam_pools_publish(). */
static int count_unknown(struct seam_members *m, const struct seam_fleet_vm *vm,
			 size_t n, const char **first)
{
	int unknown = 0;
	size_t i;

	for (i = 0; i < n; i++) {
		if (*vm[i].vm.pool || has_member(m, vm[i].vm.id))
			continue;
		if (!unknown++)
			*first = vm[i].vm.id;
	}
	return unknown;
}

/*
 * Once a VM without a member was listed, unknown nodes are assumed until the
 * rows are read: its node can accept a change before the VM leaves the list. A
 * VM that is created and deleted between two lists can do so too, unless the
 * lists are no further apart than a list may lag.
 */
static void apply_vm_list(struct seam_members *m,
			  const struct seam_fleet_vm *vm, size_t n,
			  seam_time as_of)
{
	seam_time lag = m->node->settings.vm_list_ms * SEAM_MSEC;
	const char *first = "";
	int unknown = count_unknown(m, vm, n, &first);

	seam_metric_set(&unknown_vms, unknown);
	if (unknown && !m->unknown_nodes)
		seam_log(SEAM_WARN, "member",
			 "VM %s may run an unknown node; peers do not confirm "
			 "versions until the store is reachable.",
			 first);
	m->unknown_nodes =
		m->unknown_nodes || unknown || as_of - m->known_until > lag;
	m->known_until = as_of;
}

void seam_member_check_vm_list(struct seam_members *m, seam_time now)
{
	struct seam_budget_state st = seam_store_budget_state(m->node->store);
	struct seam_fleet_vm *vm;
	seam_time as_of = 0;
	bool newer;
	size_t n;

	if (now - st.last_ok < SEAM_STORE_UNREACHABLE_AFTER)
		return;
	seam_fleet_changes(m->node->fleet, &as_of);
	pthread_mutex_lock(&m->lock);
	newer = m->known_until && as_of > m->known_until;
	pthread_mutex_unlock(&m->lock);
	if (!newer)
		return;
	vm = seam_fleet_copy(m->node->fleet, NULL, &n, &as_of);
	pthread_mutex_lock(&m->lock);
	/* An empty list is more likely a fault of the platform than the
	 * deletion of every VM. */
	if (n && m->known_until && as_of > m->known_until)
		apply_vm_list(m, vm, n, as_of);
	pthread_mutex_unlock(&m->lock);
	free(vm);
}

void seam_member_rows_read(struct seam_members *m, seam_time now)
{
	m->rows_read_at = now;
	m->known_until = now;
	m->unknown_nodes = false;
	seam_metric_set(&unknown_vms, 0);
}
