#ifndef SEAM_SCHEDULER_DEMAND_H
#define SEAM_SCHEDULER_DEMAND_H

#include "process/scheduler_impl.h"

/**
 * struct seam_pool_demand - demand of the jobs of a pool
 * @pool: name
 * @due: capacity reserved by runs and needed by runnable tasks, of jobs that
 *     can still meet their objective
 * @late: the same of jobs that can't
 * @spread: workers needed by long-running tasks that limit how many share one
 */
struct seam_pool_demand {
	char pool[SEAM_NAME_SIZE];
	struct seam_resources due;
	struct seam_resources late;
	int spread;
};

/**
 * scheduler_demands() - returns an array with one entry a pool; free with
 * g_array_free()
 */
GArray *scheduler_demands(struct seam_scheduler *sched);

#endif
