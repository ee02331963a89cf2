#ifndef SEAM_VM_PIECES_H
#define SEAM_VM_PIECES_H

#include <stdbool.h>
#include <stddef.h>

#include "version/catalog.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SEAM_NEED_SIZES_MAX 128 /* sizes of needs that are packed */

/**
 * struct seam_vm_need - tasks of the same need that want room
 * @need: resources of one task
 * @count: number of tasks that wait, or run and can be expected to move
 * @per_vm: maximum number of tasks of @step on a VM; 0 is no limit
 * @step: identifies the step of the tasks if @per_vm limits them
 */
struct seam_vm_need {
	struct seam_resources need;
	int64_t count;
	int64_t per_vm;
	uint64_t step;
};

/** struct seam_vm_held - @count fixed tasks of @step on VM @vm, an index */
struct seam_vm_held {
	size_t vm;
	uint64_t step;
	int64_t count;
};

/**
 * struct seam_vm_space - room of a VM
 * @free: what its fixed tasks leave
 * @fixed: it has fixed tasks: running ones that last
 */
struct seam_vm_space {
	struct seam_resources free;
	bool fixed;
};

/**
 * struct seam_vm_pieces - result of seam_vm_pieces_count()
 * @needed: VMs with fixed tasks, empty ones that are used and missing ones; 0
 *     if all tasks fit beside the fixed ones
 * @missing: VMs that are needed beyond those given
 */
struct seam_vm_pieces {
	int needed;
	int missing;
};

/**
 * struct seam_vm_pool - input of seam_vm_pieces_count()
 * @need: needs in any order; several may have the same size
 * @needs: number of entries
 * @vm: VMs of the pool
 * @vms: number of VMs
 * @held: fixed tasks of steps with a limit, in the order of VMs
 * @helds: number of entries
 * @unit: capacity of a VM that would be added
 */
struct seam_vm_pool {
	const struct seam_vm_need *need;
	size_t needs;
	const struct seam_vm_space *vm;
	size_t vms;
	const struct seam_vm_held *held;
	size_t helds;
	struct seam_resources unit;
};

/**
 * seam_vm_pieces_count() - count the VMs of a pool that hold each task in one
 * piece
 *
 * First-fit decreasing (Johnson, "Near-optimal bin packing algorithms", 1973),
 * sizes by the largest share of the unit that a task takes. VMs with fixed
 * tasks are filled first, then empty ones. A need that fits no VM counts for
 * none. Only the SEAM_NEED_SIZES_MAX largest sizes are packed: smaller tasks
 * fill gaps, and the sum of all needs tells how many VMs they take. The cost is
 * bounded by that number times the VMs and the entries of @held.
 */
struct seam_vm_pieces seam_vm_pieces_count(const struct seam_vm_pool *pool);

#ifdef __cplusplus
}
#endif
#endif
