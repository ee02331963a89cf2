#ifndef SEAM_SCHEDULER_IMPL_H
#define SEAM_SCHEDULER_IMPL_H

#include "process/late_wait.h"
#include "process/scheduler.h"
#include "process/urgency.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Lease granted to a worker. Longer than a takeover, so that runs outlive the
 * loss of an owner.
 */
#define WORKER_LEASE (3200 * SEAM_MSEC)
/*
 * The clock of a worker may be slower than the owner's by this fraction: 1/50
 * is 2%.
 */
#define CLOCK_DRIFT_DIVISOR 50
#define LEASE_MARGIN (100 * SEAM_MSEC)
/*
 * A start reaches its worker within this time: it may wait 0.6 s for its lane
 * and is sent for the time of seven calls of 0.15 s.
 */
#define START_SEND_MAX (1700 * SEAM_MSEC)
/* An order without an answer may be carried out up to this much later. */
#define LATE_ORDER_MAX (12 * SEAM_SEC)
/*
 * A process is polled within this time of its start: a poll that is under way
 * then takes 0.45 s, the next one follows after 0.05 s and takes 0.2 s, and its
 * answer reaches the owner within 0.1 s.
 */
#define FIRST_POLL_MAX (800 * SEAM_MSEC)
/*
 * A worker that has answered for less than this does not fall silent again: one
 * that answers few polls would put the end of a wait off each time.
 */
#define STEADY_MIN (2 * SEAM_SEC)
/* The VM list shows the effect of an order after this time at the latest. */
#define VM_LIST_DELAY_MAX (900 * SEAM_MSEC)
/* Run numbers increase with the term. */
#define SEAM_RUNS_PER_TERM 10000
#define STORE_TIMEOUT (900 * SEAM_MSEC)
/* A node is not used for this long after it did not answer. */
#define LANE_RETRY_DELAY (1 * SEAM_SEC)

static inline struct seam_job *scheduler_job(struct seam_scheduler *sched,
					     struct seam_handle h)
{
	return (struct seam_job *)seam_table_get(sched->jobs, h);
}

static inline struct seam_worker *scheduler_worker(struct seam_scheduler *sched,
						   struct seam_handle h)
{
	return (struct seam_worker *)seam_table_get(sched->workers, h);
}

/* A scheduler without threads, for seam_scheduler_open() and for benchmarks. */
struct seam_scheduler *scheduler_new(void);
void scheduler_free(struct seam_scheduler *sched);

/* The functions below are called with the scheduler's lock held. */

/* Lease granted to workers, in microseconds. */
seam_time scheduler_lease(const struct seam_scheduler *sched);

/* Wake the threads that run passes and commits. */
void scheduler_wake_pass(struct seam_scheduler *sched);
void scheduler_wake_commit(struct seam_scheduler *sched);

/* Jobs */
int scheduler_load_jobs(struct seam_scheduler *sched, struct seam_err *e);
/*
 * Adds the job of a row unless the job has ended; NULL then. It was accepted
 * before this term if it is @inherited.
 */
struct seam_job *scheduler_job_add(struct seam_scheduler *sched,
				   const struct seam_row *row, bool inherited);
void *scheduler_follow_jobs(void *arg);
struct seam_job *scheduler_find_job(struct seam_scheduler *sched,
				    const char *id);
void scheduler_job_changed(struct seam_scheduler *sched, struct seam_job *j);
void scheduler_job_end(struct seam_scheduler *sched, struct seam_job *j,
		       int state);
void scheduler_job_drop(struct seam_scheduler *sched, struct seam_job *j);
bool scheduler_job_droppable(const struct seam_job *j);
void scheduler_job_finish(struct seam_scheduler *sched, struct seam_job *j,
			  const struct seam_row *row, int state);
void scheduler_job_merge(struct seam_scheduler *sched, struct seam_job *j,
			 const struct seam_row *row);
void scheduler_job_free(struct seam_job *j);
bool scheduler_job_all_done(const struct seam_job *j);
/* Takes into account that tasks were done which its runs do not show. */
void scheduler_job_progressed(struct seam_scheduler *sched, struct seam_job *j);

/* scheduler_cancels.c */

/*
 * One part is swept at a time. A row goes with the second sweep of its part
 * after it was written, 320 to 640 s later. That has to be longer than a
 * submission may be under way: 60 s, the longest deadline of a caller, and the
 * 6 s by which the store may perform a write late.
 */
#define CANCEL_SWEEP_INTERVAL (20 * SEAM_SEC)

void scheduler_sweep_cancels(struct seam_scheduler *sched);

/* scheduler_progress.c */

/** scheduler_progress_row() - row of progress @row of @j, added if missing */
struct seam_progress_row *scheduler_progress_row(struct seam_job *j,
						 size_t row);

/** scheduler_has_progress() - whether the store has progress of @j */
bool scheduler_has_progress(const struct seam_job *j);

/** scheduler_progress_merge() - add what a row of progress in the store has */
void scheduler_progress_merge(struct seam_job *j, const struct seam_row *row);

/**
 * scheduler_progress_table_new() - rows of progress by the id of their job
 *
 * Return: GPtrArray of struct seam_row by id; free with g_hash_table_destroy().
 */
GHashTable *scheduler_progress_table_new(void);

/** scheduler_progress_take() - move the content of the rows into the table */
void scheduler_progress_take(GHashTable *table, struct seam_rows *rows);

/** scheduler_progress_add() - add the progress of @j that the table has */
void scheduler_progress_add(struct seam_scheduler *sched, struct seam_job *j,
			    GHashTable *table);

bool scheduler_step_is_ready(const struct seam_job *j, int step);
void scheduler_job_urgency(const struct seam_job *j, struct seam_urgency *u);

/* Workers */
int scheduler_load_workers(struct seam_scheduler *sched, struct seam_err *e);
void scheduler_worker_add(struct seam_scheduler *sched,
			  const struct seam_worker_info *info);
void *scheduler_follow_workers(void *arg);
void *scheduler_reap_loop(void *arg);
void scheduler_worker_lost(struct seam_worker *w, const char *why);
void scheduler_workers_close(struct seam_scheduler *sched);
bool scheduler_worker_usable(const struct seam_worker *w, seam_time now);
/*
 * Updates the entry of a worker in the index, after a change of its row or as
 * it comes into service or goes out of it.
 */
void scheduler_worker_update_index(struct seam_worker *w);
seam_time scheduler_worker_unheard_time(const struct seam_worker *w);
bool scheduler_worker_row_is_gone(const struct seam_worker *w, seam_time now);
struct seam_resources scheduler_worker_free(const struct seam_worker *w);
/* A run on a worker. */
struct scheduler_run_ref {
	struct seam_job *job;
	int step;
	int task;
	struct seam_run_slot *run;
};

seam_time scheduler_run_lease_end(const struct seam_worker *w,
				  const struct scheduler_run_ref *at);
bool scheduler_worker_is_shunned(const struct seam_worker *w, bool lasting,
				 seam_time now);

/* Restarts of workers */
uint64_t scheduler_next_token(struct seam_scheduler *sched);
void scheduler_raise_token(struct seam_worker *w);
void scheduler_worker_restarted(struct seam_worker *w, int64_t process_start_ms,
				const char *source);
bool scheduler_accept_listing(struct seam_worker *w, int64_t process_start_ms,
			      seam_time sent_at);
bool scheduler_accept_row(struct seam_worker *w,
			  const struct seam_worker_info *info);

/* Workers that take no tasks */
void scheduler_start_refused(struct seam_worker *w, seam_time now);
void scheduler_start_accepted(struct seam_worker *w);
/*
 * Whether the VM of @w counts as room of its pool: it takes tasks that end, or
 * will before a VM that is ordered now could.
 */
bool scheduler_worker_is_room(const struct seam_worker *w, seam_time now);

struct seam_plan;
/*
 * Adds the labels that tasks wait for to the plan, and the VMs that have them.
 * @pools: names of the pools of the plan
 */
void scheduler_describe_labels(struct seam_scheduler *sched,
			       struct seam_plan *plan, GPtrArray *pools);

/* Room for lasting tasks */
/* Whether another worker than @except has room for a task of @step now. */
bool scheduler_room_elsewhere(struct seam_scheduler *sched,
			      const struct seam_job *j, int step,
			      const struct seam_worker *except);
/* Whether @w has @label; each has "". */
bool scheduler_worker_has_label(const struct seam_worker *w, const char *label);
/*
 * Whether @w has as many tasks of a step as it may have; any number if
 * @per_worker is 0.
 */
bool scheduler_worker_has_all_of_step(const struct seam_worker *w,
				      struct seam_handle job, int step,
				      int64_t per_worker);
/* Number of lasting runs on @w. */
int scheduler_lasting_runs(struct seam_worker *w);
/* Number of those for which no other worker has room now. */
int scheduler_pinned_runs(struct seam_worker *w);
/* When @w has room for @need, by the estimates of its runs. */
struct seam_backfill scheduler_plan_room(struct seam_worker *w,
					 const struct seam_resources *need,
					 seam_time now);
/* When a reservation that is made now for room at @room_at is overdue. */
seam_time scheduler_reservation_due(seam_time room_at, seam_time now);
/*
 * Workers whose runs one pass reads in search of those that it can keep for
 * tasks; reading them takes about a microsecond a worker.
 */
#define SCHEDULER_PLANS_MAX 4096
/* A job for which no worker can be kept is looked at again after this time. */
#define SCHEDULER_RESERVE_RETRY (500 * SEAM_MSEC)
/* Keeps tasks that end off the worker that has room for @step the soonest. */
void scheduler_reserve_worker(struct seam_scheduler *sched, struct seam_job *j,
			      int step, seam_time now);

/* Backlog */
void scheduler_job_count(struct seam_job *j);
void scheduler_job_mark_dirty(struct seam_scheduler *sched, struct seam_job *j);
void scheduler_job_unqueue(struct seam_scheduler *sched, struct seam_job *j);
void scheduler_backlog_refresh(struct seam_scheduler *sched, seam_time now);
bool scheduler_task_is_idle(const struct seam_job *j, int step, int64_t task);
void scheduler_worker_update_free_cpu(struct seam_worker *w);
void scheduler_start_sent(struct seam_scheduler *sched, struct seam_worker *w,
			  const struct seam_task_ref *ref,
			  struct seam_run_slot *r);
void scheduler_start_finished(struct seam_scheduler *sched,
			      struct seam_run_slot *r);
void scheduler_starts_expire(struct seam_scheduler *sched, seam_time now);

/* Runs */
void scheduler_run_set_state(struct seam_scheduler *sched,
			     struct seam_run_slot *r, int state);
struct seam_run_slot *scheduler_run_add(struct seam_scheduler *sched,
					struct seam_job *j, int step, int task,
					struct seam_worker *w, int64_t number,
					int state);
void scheduler_run_drop(struct seam_scheduler *sched, struct seam_job *j,
			int step, int task, struct seam_run_slot *r);
void scheduler_run_stop(struct seam_scheduler *sched, struct seam_job *j,
			int step, int task, struct seam_run_slot *r);
struct seam_run_slot *scheduler_run_find(struct seam_job *j, int step, int task,
					 struct seam_handle worker,
					 int64_t number);
/* Drops a run that has ended with its worker. */
void scheduler_run_lost(struct seam_worker *w,
			const struct scheduler_run_ref *at, const char *why);
/*
 * Calls @fn with each run on @w; it may drop the run. Drops a job that is
 * finished afterwards.
 */
void scheduler_for_each_run(struct seam_worker *w,
			    void (*fn)(struct seam_worker *w,
				       const struct scheduler_run_ref *at,
				       void *arg),
			    void *arg);
void scheduler_task_name(const struct seam_job *j, int step, int task,
			 char name[SEAM_TASK_NAME_SIZE]);
bool scheduler_task_parse(struct seam_scheduler *sched, const char *name,
			  struct seam_job **j, int *step, int *task);
void scheduler_queue_order(struct seam_worker *w, const struct seam_order *o);
size_t scheduler_pending_orders(const struct seam_worker *w);
void scheduler_drop_orders(struct seam_worker *w);
bool scheduler_worker_may_start_late(const struct seam_worker *w);
bool scheduler_worker_has_late_run(const struct seam_worker *w);
seam_time scheduler_late_wait_end(struct seam_scheduler *sched,
				  const struct seam_job *j, int step,
				  const struct seam_job_task_state *t);
seam_time scheduler_run_wait_end(const struct seam_worker *w,
				 const struct scheduler_run_ref *at,
				 const struct seam_run_slot *r);
seam_time scheduler_late_sent_at(seam_time late_until);
void scheduler_note_ran(struct seam_job_task_state *t,
			const struct seam_run_slot *r);
seam_time scheduler_unconfirmed_end(const struct seam_worker *w, bool refused,
				    seam_time wait, seam_time late_until);
bool scheduler_late_start_possible(struct seam_scheduler *sched,
				   const struct seam_job *j, int step,
				   const struct seam_job_task_state *t);
/* Whether the task stays off a worker that answers none of its starts. */
bool scheduler_late_worker_is_avoided(const struct seam_worker *w,
				      const struct seam_job_task_state *t);
struct seam_worker *scheduler_late_worker(struct seam_scheduler *sched,
					  const struct seam_job_task_state *t);
bool scheduler_waits_for_late_worker(struct seam_scheduler *sched,
				     const struct seam_job *j, int step,
				     const struct seam_job_task_state *t);
int scheduler_task_runs(const struct seam_job_task_state *t);
struct seam_resources scheduler_step_need(const struct seam_step *s);

/* Answers of workers */
seam_time scheduler_longest_on_worker(seam_time t);
seam_time scheduler_unheard_lease_end(const struct seam_worker *w,
				      seam_time begun);
seam_time scheduler_longest_lease(const struct seam_scheduler *sched,
				  seam_time now);
int64_t scheduler_new_lease(struct seam_worker *w, seam_time now);
void scheduler_hold_answered(struct seam_worker *w,
			     const struct seam_lane_event *v);
void scheduler_hold_failed(struct seam_worker *w,
			   const struct seam_lane_event *v);
void scheduler_order_unanswered(struct seam_worker *w,
				const struct seam_order *o);
void scheduler_order_answered(struct seam_worker *w, const struct seam_order *o,
			      const struct seam_lane_event *v);
bool scheduler_order_is_current(struct seam_worker *w,
				const struct seam_order *o,
				struct seam_job **j);

/* Assignment of workers to lanes */
int scheduler_lanes_open(struct seam_scheduler *sched, struct seam_err *e);
void scheduler_lanes_close(struct seam_scheduler *sched);
void scheduler_update_lanes(struct seam_scheduler *sched);

/* Lanes */
int scheduler_lane_start(struct seam_scheduler_lane *l);
void scheduler_request_assignment(struct seam_scheduler *sched);
void scheduler_lane_wake(struct seam_worker *w);
void scheduler_lane_update(struct seam_worker *w);
/* Assigns a worker without a lane to one. */
void scheduler_lane_add(struct seam_worker *w, int lane);
void scheduler_lane_release(struct seam_worker *w);
void scheduler_lane_move(struct seam_worker *w);

/* Listings */
void scheduler_task_done(struct seam_scheduler *sched, struct seam_job *j,
			 int step, int task);
void scheduler_apply_listing(struct seam_scheduler *sched,
			     struct seam_worker *w,
			     const struct seam_listing *l, seam_time sent_at);
/* Applies a listing that is the same as the latest one that was applied. */
void scheduler_apply_unchanged(struct seam_scheduler *sched,
			       struct seam_worker *w, seam_time sent_at);
void scheduler_ack_ends(struct seam_scheduler *sched, struct seam_worker *w);

/* Load; scheduler_log_load() logs at most one line a second */
void scheduler_job_delayed(struct seam_job *j, enum seam_delay reason,
			   seam_time now);
void scheduler_log_job(const struct seam_scheduler *sched,
		       const struct seam_job *j, const char *event);
void scheduler_log_load(struct seam_scheduler *sched);

/* Runs one pass: starts the tasks that can be started. */
void scheduler_pass(struct seam_scheduler *sched);

/* Thread functions */
void *scheduler_commit_loop(void *arg);
void *scheduler_pass_loop(void *arg);
void *scheduler_vms_loop(void *arg);

/* The VM list beside the workers */
void scheduler_check_vm_workers(struct seam_scheduler *sched);
void scheduler_worker_replaced(struct seam_worker *w, const char *why);
bool scheduler_waits_for_silent_worker(struct seam_scheduler *sched);
bool scheduler_may_run_prior_tasks(const struct seam_worker *w);

/* VM management, called without the lock */
void scheduler_manage_vms(struct seam_scheduler *sched);

/**
 * struct seam_planned_vm_order - an order for a VM
 * @vm: VM
 * @worker: its worker, which has to be empty
 * @pool: pool to move to, or ""
 * @wave: wave that maintains it, or 0
 */
struct seam_planned_vm_order {
	char vm[SEAM_NAME_SIZE];
	char worker[SEAM_NAME_SIZE];
	char pool[SEAM_NAME_SIZE];
	int64_t wave;
};

/*
 * Replaces the row @key through its writer @row if this node is still the
 * owner. Called without the lock. Returns -1 if the write was not answered or
 * refused. While @row is unsettled, a write may be performed later.
 */
int scheduler_put_row(struct seam_scheduler *sched, struct seam_row_writer *row,
		      const char *key, const char *text);

/* VM orders; scheduler_load_orders() is called without the lock */
struct seam_worker *scheduler_find_worker(struct seam_scheduler *sched,
					  const char *id);
size_t scheduler_vm_budget(struct seam_scheduler *sched, seam_time now);
void scheduler_order_vms(struct seam_scheduler *sched,
			 const struct seam_planned_vm_order *t, size_t n);
void *scheduler_vm_order_loop(void *arg);
void scheduler_vm_arrived(struct seam_worker *w);
int scheduler_load_orders(struct seam_scheduler *sched, struct seam_err *e);
/* The row for the next owner, read and written without the lock. */
int scheduler_load_handover(struct seam_scheduler *sched, struct seam_err *e);
void scheduler_save_handover(struct seam_scheduler *sched, bool closing);
/* Called with the lock. */
bool scheduler_has_long_lease(const struct seam_scheduler *sched,
			      const char *worker, seam_time now);
void scheduler_take_late_starts(struct seam_worker *w);
/* Returns the names in @list of @row, NULL-terminated; free with g_strfreev()
 */
char **scheduler_parse_vm_names(struct json_object *list, const char *row);

/* Waves, called without the lock except for scheduler_wave_due() */
bool scheduler_wave_read(struct seam_scheduler *sched, struct seam_wave *w);
void scheduler_wave_load(struct seam_scheduler *sched,
			 const struct seam_wave *w);
bool scheduler_wave_due(const struct seam_scheduler *sched,
			const struct seam_wave *w, const char *vm);
void scheduler_wave_save(struct seam_scheduler *sched);
void scheduler_wave_report(struct seam_scheduler *sched,
			   const struct seam_wave *w, bool done);

/* Eviction of tasks from leaving workers */
void scheduler_evict_tasks(struct seam_scheduler *sched);
/* Repeats an unanswered stop, or withdraws it if the budget is used up. */
void scheduler_repeat_stop(struct seam_worker *w,
			   const struct scheduler_run_ref *at);

#ifdef __cplusplus
}
#endif
#endif
