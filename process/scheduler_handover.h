#ifndef SEAM_SCHEDULER_HANDOVER_H
#define SEAM_SCHEDULER_HANDOVER_H

#include "process/scheduler_impl.h"

#ifdef __cplusplus
extern "C" {
#endif

#define HANDOVER_ROW "owner/handover"
/* Lengths of the lists of the row. An entry of a task has 64 bytes or more. */
#define HANDOVER_WORKERS_MAX 64
#define HANDOVER_TASKS_MAX 1024

/**
 * struct handover_entry - a worker, or a task with a late start on it
 * @worker: id of the worker
 * @name: its pool, or the task
 * @until: the lease, or the time in which the start may come, is over by then
 * @wait_until: the task waits for its worker until then
 * @run: number of the late run, 0 if it is spent
 */
struct handover_entry {
	char worker[SEAM_NAME_SIZE];
	char name[SEAM_NAME_SIZE];
	seam_time until;
	seam_time wait_until;
	int64_t run;
};

_Static_assert(SEAM_TASK_NAME_SIZE <= SEAM_NAME_SIZE, "a name holds a task");

/* Returns the task that has the late start of @a as its latest one, or NULL. */
struct seam_job_task_state *
handover_absent_task(struct seam_scheduler *sched,
		     const struct seam_absent_late_start *a);

/* Notes that the row was read and has @entries. */
void handover_loaded(struct seam_scheduler *sched, size_t entries);

#ifdef __cplusplus
}
#endif
#endif
