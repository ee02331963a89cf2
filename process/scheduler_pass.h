#ifndef SEAM_SCHEDULER_PASS_H
#define SEAM_SCHEDULER_PASS_H

#include "process/failed_needs.h"
#include "process/fit.h"
#include "process/scheduler_impl.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct seam_pass_pool - a pool during one pass
 * @settled: no worker may still run tasks that the owner does not know
 * @failed: needs of plain tasks that found no worker; the reason is a
 *     seam_delay
 */
struct seam_pass_pool {
	bool settled;
	struct seam_failed_needs failed;
};

/**
 * struct seam_pass - state of one scheduling pass
 * @sched: the scheduler, whose lock is held
 * @now: time of the pass
 * @pools: pool to struct seam_pass_pool
 * @node_limited: a worker was skipped as its node has as many pending starts as
 *     its window
 * @searches: searches for a worker
 * @failed_searches: those that found none
 * @compared: workers that they looked at
 */
struct seam_pass {
	struct seam_scheduler *sched;
	seam_time now;
	GHashTable *pools;
	bool node_limited;
	int64_t searches;
	int64_t failed_searches;
	int64_t compared;
};

/* Whether a start may be sent to @w now. */
bool scheduler_may_start_on(struct seam_pass *p, const struct seam_worker *w);

/* Returns the worker that suits a task best, or NULL if none has room. */
struct seam_worker *
scheduler_choose_worker(struct seam_pass *p, const struct seam_job *j, int step,
			const struct seam_job_task_state *t);

/* Returns the worker of a late start of a task if it can run it now. */
struct seam_worker *
scheduler_choose_late_worker(struct seam_pass *p, const struct seam_job *j,
			     int step, const struct seam_job_task_state *t);

#ifdef __cplusplus
}
#endif
#endif
