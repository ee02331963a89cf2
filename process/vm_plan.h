#ifndef SEAM_VM_PLAN_H
#define SEAM_VM_PLAN_H

#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

#define SEAM_PLAN_POOLS 1024 /* most pools in one plan */

/** enum seam_vm_action - what happens to a VM next */
enum seam_vm_action {
	SEAM_VM_KEEP, /* it takes tasks */
	SEAM_VM_EMPTY, /* it takes no more tasks */
	SEAM_VM_MOVE, /* it moves to another pool now */
	SEAM_VM_MAINTAIN /* it is maintained now */
};

/**
 * struct seam_plan_vm - a VM as the plan sees it
 * @pool: index of its pool
 * @dc: index of its data centre
 * @up: it is up and no order for it is under way
 * @usable: its worker takes tasks
 * @arriving: it was moved or maintained a short time ago, and its worker has
 * not answered yet
 * @silent_dc: most workers of its data centre do not answer
 * @runs: runs on it
 * @lasting: those of lasting tasks
 * @leaving: it has been emptied for a while
 * @due: its wave has not maintained it yet
 * @action: result, enum seam_vm_action
 * @to: result, pool that it moves to
 */
struct seam_plan_vm {
	int pool;
	int dc;
	bool up;
	bool usable;
	bool arriving;
	bool silent_dc;
	int runs;
	int lasting;
	bool leaving;
	bool due;
	int action;
	int to;
};

/**
 * struct seam_plan_pool - a pool as the plan sees it
 * @standby: its VMs are off
 * @want: VMs that jobs need which can meet their objective
 * @all: VMs that all its jobs need; at least @want
 * @hold: VMs that it keeps, as demand may return; at least @all
 * @have: result, VMs that take its tasks
 */
struct seam_plan_pool {
	bool standby;
	int want;
	int all;
	int hold;
	int have;
};

/**
 * struct seam_plan_wave - the maintenance under way
 * @at_once: VMs that may be away for it at the same time
 * @away: VMs that are
 * @left_s: seconds until it has to be done
 */
struct seam_plan_wave {
	int at_once;
	int away;
	double left_s;
};

/**
 * struct seam_plan - VMs, pools and the wave
 */
struct seam_plan {
	struct seam_plan_vm *vm;
	size_t vms;
	struct seam_plan_pool *pool;
	size_t pools;
	struct seam_plan_wave wave;
};

/**
 * seam_vm_plan() - decide for all VMs
 *
 * Answers demand that moves from pool to pool and maintenance beside it. Pools
 * that lack VMs for jobs that can be in time come first, the one that lacks the
 * greatest part before the others; they get VMs from the standby pool, then
 * from pools that have more than such jobs need there. What is left goes to
 * jobs that are late, and a VM that nobody wants to the standby pool. VMs of a
 * wave are taken where they are missed least, as many at once as the time that
 * is left asks for.
 */
void seam_vm_plan(struct seam_plan *p);

/**
 * seam_vm_plan_trim() - leave the @n orders that are needed most
 *
 * Answers a VM service that takes few orders a second: moves into pools that
 * lack VMs come before maintenance, and both before moves to standby. A VM
 * whose order is left out keeps its place.
 */
void seam_vm_plan_trim(struct seam_plan *p, size_t n);

#ifdef __cplusplus
}
#endif
#endif
