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
 * @room: its reservation and the sizes of its starts
 * @backfills_left: looks at a reserved worker for other tasks that are left
 */
struct seam_pass_pool {
	bool settled;
	struct seam_failed_needs failed;
	struct seam_pool_room *room;
	int backfills_left;
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
scheduler_choose_worker(struct seam_pass *p, const struct seam_pass_pool *pool,
			const struct seam_job *j, int step,
			const struct seam_job_task_state *t);

/*
 * Returns the reserved worker of the pool if it is kept for the task and has
 * room, or if the task may start there without delaying that one.
 */
struct seam_worker *
scheduler_choose_reserved_worker(struct seam_pass *p,
				 struct seam_pass_pool *pool,
				 const struct seam_job *j, int step,
				 const struct seam_job_task_state *t);

/* Returns the worker of a late start of a task if it can run it now. */
struct seam_worker *
scheduler_choose_late_worker(struct seam_pass *p, const struct seam_job *j,
			     int step, const struct seam_job_task_state *t);

/* Whether @w is kept for a task that ends. */
static inline bool scheduler_is_reserved(const struct seam_pass_pool *pool,
					 struct seam_handle w)
{
	return seam_handle_eq(pool->room->reservation.worker, w);
}

/* The part of @pool that outlives the pass. */
struct seam_pool_room *scheduler_pool_room(struct seam_scheduler *sched,
					   const char *pool);

/* Whether the limit of the job's workspace allows one more task of @step. */
bool scheduler_within_limit(struct seam_pass *p, const struct seam_job *j,
			    int step);

/* Notes a start that no reservation made room for. */
void scheduler_note_start(struct seam_pass_pool *pool, const struct seam_job *j,
			  int step, seam_time now);

/*
 * Reserves a worker of the pool for the most urgent late task that has found no
 * room while smaller ones were started.
 */
void scheduler_make_reservation(struct seam_pass *p,
				struct seam_pass_pool *pool, const char *name);

/*
 * Updates the reservation of a pool. Returns its job, or NULL if there is no
 * reservation or if it has ended.
 */
struct seam_job *scheduler_renew_reservation(struct seam_pass *p,
					     struct seam_pass_pool *pool);

/* Ends the reservation of a pool and logs why. */
void scheduler_end_reservation(struct seam_pass *p, struct seam_pass_pool *pool,
			       const char *why);

#ifdef __cplusplus
}
#endif
#endif
