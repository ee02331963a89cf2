#ifndef SEAM_VM_PLAN_H
#define SEAM_VM_PLAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define SEAM_PLAN_POOLS_MAX 1024 /* pools in one plan */
#define SEAM_PLAN_LABELS_MAX 64 /* labels that tasks wait for */

/** enum seam_vm_action - next action for a VM */
enum seam_vm_action {
	SEAM_VM_KEEP, /* leave it in service */
	SEAM_VM_DRAIN, /* start no more tasks on it */
	SEAM_VM_MOVE, /* move it to another pool now */
	SEAM_VM_MAINTAIN /* maintain it now */
};

/**
 * struct seam_plan_vm - a VM, input and result of the plan
 * @pool: index of its pool
 * @dc: index of its data centre
 * @up: it is up and no order for it is in progress
 * @usable: its worker accepts tasks, or soon will
 * @arriving: it was moved or maintained recently, and its worker has not
 *            answered yet
 * @returning: it is not up, and an order for it is in progress, its worker may
 *     still answer after a takeover, or it went down a moment ago
 * @dc_unreachable: most workers of its data centre do not answer
 * @dc_out: its data centre is out of service, so that it runs no tasks
 * @runs: tasks running on it
 * @lasting: long-running tasks among them
 * @pinned: those for which no other worker has room
 * @leaving: it has been draining since an earlier plan
 * @due: the current wave still has to maintain it
 * @labels: bits of the labels of struct seam_plan_label that it has
 * @action: result, enum seam_vm_action
 * @to: result, index of the pool that it moves to
 */
struct seam_plan_vm {
	int pool;
	int dc;
	bool up;
	bool usable;
	bool arriving;
	bool returning;
	bool dc_unreachable;
	bool dc_out;
	int runs;
	int lasting;
	int pinned;
	bool leaving;
	bool due;
	uint64_t labels;
	int action;
	int to;
};

/**
 * struct seam_plan_pool - a pool, input and result of the plan
 * @standby: the standby pool, whose VMs are powered off
 * @want: VMs needed by jobs that can still meet their objective
 * @all: VMs needed by all its jobs; at least @want
 * @soon: VMs needed when one that is ordered now has arrived; at least @all
 * @hold: VMs kept because demand may return; at least @soon
 * @have: result, VMs available for its tasks
 */
struct seam_plan_pool {
	bool standby;
	int want;
	int all;
	int soon;
	int hold;
	int have;
};

/**
 * struct seam_plan_wave - the maintenance wave in progress
 * @at_once: most VMs that may be out of service for it at the same time
 * @away: VMs that are out of service for it now
 * @remaining_s: seconds until its deadline
 */
struct seam_plan_wave {
	int at_once;
	int away;
	double remaining_s;
};

/**
 * struct seam_plan_label - a label that waiting tasks of a pool need
 * @pool: index of the pool
 * @bit: bit of the label in struct seam_plan_vm
 * @have: result, VMs of the pool that have it
 */
struct seam_plan_label {
	int pool;
	uint64_t bit;
	int have;
};

/** struct seam_plan - input and result of seam_vm_plan() */
struct seam_plan {
	struct seam_plan_vm *vm;
	size_t vms;
	struct seam_plan_pool *pool;
	size_t pools;
	struct seam_plan_label label[SEAM_PLAN_LABELS_MAX];
	size_t labels;
	struct seam_plan_wave wave;
};

/**
 * seam_plan_vm_is_available() - whether a VM counts as room of its pool: it
 * takes tasks, or will soon
 */
bool seam_plan_vm_is_available(const struct seam_plan_vm *v);

/**
 * seam_vm_plan() - choose the next action for each VM
 *
 * Handles demand that shifts between pools, and maintenance at the same time.
 * A pool without a VM that has a label which its tasks wait for gets one first.
 * Pools that are short of VMs for jobs that can still meet their objective are
 * served first, in order of their relative shortage; they get VMs from the
 * standby pool, then from pools that have more than such jobs need there. The
 * rest goes to late jobs. Demand that is only expected gets VMs that their pool
 * does not hold, then VMs of the standby pool. VMs that no pool needs go to the
 * standby pool. A wave takes the VMs with the least impact on their pools
 * first, as many at once as needed to end by its deadline. While it has VMs
 * left, only it takes those with long-running tasks.
 */
void seam_vm_plan(struct seam_plan *p);

/**
 * seam_vm_plan_trim() - keep only the @n most important orders
 *
 * Needed because the VM service limits the rate of orders. Moves into pools
 * that are short of VMs have priority over maintenance, and both over moves to
 * standby. A VM whose order is dropped stays as it is.
 */
void seam_vm_plan_trim(struct seam_plan *p, size_t n);

#ifdef __cplusplus
}
#endif
#endif
