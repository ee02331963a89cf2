#ifndef FAILING_INVENTORY_H
#define FAILING_INVENTORY_H

// A VM service that refuses or loses orders, and whose list is slow or fails.
#include "tests/world.h"

// Outcome of an order for a VM; -1: no answer.
static std::atomic<int> order_outcome{SEAM_VM_DONE};
static std::atomic<int> refused_orders{0};
static std::atomic<bool> list_fails{false};
static std::atomic<int> list_ms{0}; // time from a request to its answer
static std::atomic<bool> list_lacks_vms{false}; // and tells so
static std::atomic<int> lists_asked{0};

static int maintain_with_outcome(seam_inventory *i, const char *vm,
				 int64_t wave, uint64_t token,
				 seam_vm_order_outcome *outcome,
				 seam_time deadline, seam_err *e)
{
	if (order_outcome < 0)
		return seam_fail(e, SEAM_COMMIT_UNKNOWN, "no answer");
	if (order_outcome == SEAM_VM_DONE)
		return fake_maintain(i, vm, wave, token, outcome, deadline, e);
	refused_orders++;
	*outcome = (seam_vm_order_outcome)(int)order_outcome;
	return 0;
}

static int list_or_fail(seam_inventory *i, seam_vm_info **vm, size_t *n,
			bool *complete, seam_time deadline, seam_err *e)
{
	int rc;

	if (list_fails)
		return seam_fail(e, SEAM_UNAVAILABLE, "down");
	lists_asked++;
	rc = fake_list(i, vm, n, complete, deadline, e);
	*complete = !list_lacks_vms;
	usleep((useconds_t)list_ms * 1000);
	return rc;
}

static const seam_inventory_ops failing_inventory_ops = {
	list_or_fail, fake_move, maintain_with_outcome, fake_inventory_close};

#endif
