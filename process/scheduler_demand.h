#ifndef SEAM_SCHEDULER_DEMAND_H
#define SEAM_SCHEDULER_DEMAND_H

#include "process/scheduler_impl.h"
#include "process/vm_pieces.h"

/**
 * struct seam_pool_demand - demand of the jobs of a pool
 * @pool: name
 * @due: capacity reserved by runs and needed by runnable tasks, of jobs that
 *     can still meet their objective
 * @late: the same of jobs that can't
 * @spread: workers needed by long-running tasks that limit how many share one
 * @due_needs: tasks that want room, struct seam_vm_need: those that wait, those
 *     that end, and lasting ones whose VM is not available; of jobs that can
 *     still meet their objective
 * @all_needs: the same of all jobs
 * @vms: available VMs, struct seam_vm_space
 * @held: lasting tasks there of steps that limit how many share one, struct
 *     seam_vm_held
 */
struct seam_pool_demand {
	char pool[SEAM_NAME_SIZE];
	struct seam_resources due;
	struct seam_resources late;
	int spread;
	GArray *due_needs;
	GArray *all_needs;
	GArray *vms;
	GArray *held;
};

/**
 * scheduler_demands() - returns an array of struct seam_pool_demand, one a pool
 * with jobs; free with scheduler_demands_free()
 */
GArray *scheduler_demands(struct seam_scheduler *sched);
void scheduler_demands_free(GArray *demands);

/** scheduler_demand_of() - the entry of @pool, which is added if need be */
struct seam_pool_demand *scheduler_demand_of(GArray *demands, const char *pool);

/**
 * scheduler_demand_add_vm() - add a VM that tasks of a pool may get
 * @demands: from scheduler_demands()
 * @pool: pool of the VM
 * @capacity: of the VM
 * @w: its worker, or NULL
 */
void scheduler_demand_add_vm(GArray *demands, const char *pool,
			     const struct seam_resources *capacity,
			     struct seam_worker *w);

/**
 * scheduler_demand_add_leaving() - add the lasting tasks of a worker whose VM
 * is not available: they will need room elsewhere
 */
void scheduler_demand_add_leaving(GArray *demands, struct seam_worker *w);

#endif
