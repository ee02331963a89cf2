#ifndef SEAM_BOARD_IMPL_H
#define SEAM_BOARD_IMPL_H

#include "process/board.h"
#include "process/urgency.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Lease that is asked of a worker; longer than a takeover, so that work
 * outlives the loss of an owner. */
#define LEASE (3200 * SEAM_MSEC)
/* A worker's clock may be slower than ours by this part. */
#define CLOCK_SLOW 50 /* 1/50 is 2% */
#define LEASE_MARGIN (100 * SEAM_MSEC)
#define STORE_CALL (900 * SEAM_MSEC)
#define BOARD_LANE_PAUSE (1 * SEAM_SEC) /* of a node that did not answer */

static inline struct seam_job *board_job(struct seam_board *b,
					 struct seam_handle h)
{
	return (struct seam_job *)seam_table_get(b->jobs, h);
}

static inline struct seam_worker *board_worker(struct seam_board *b,
					       struct seam_handle h)
{
	return (struct seam_worker *)seam_table_get(b->workers, h);
}

/* A board without threads, for its own use and for benchmarks. */
struct seam_board *board_new(void);
void board_free(struct seam_board *b);

/* All below are called with the board's lock held. */

/* board_lease(): lease that is asked of workers, microseconds */
seam_time board_lease(const struct seam_board *b);

/* board_wake_pass(), board_wake_commit(): there is something to do */
void board_wake_pass(struct seam_board *b);
void board_wake_commit(struct seam_board *b);

/* board_jobs.c */
int board_load_jobs(struct seam_board *b, struct seam_err *e);
/* Adds the job of a row; a job that is over is not kept. */
void board_job_add(struct seam_board *b, const struct seam_row *row, bool old);
void *board_follow_jobs(void *arg);
struct seam_job *board_find_job(struct seam_board *b, const char *id);
void board_job_changed(struct seam_board *b, struct seam_job *j);
void board_job_end(struct seam_board *b, struct seam_job *j, int state);
void board_job_drop(struct seam_board *b, struct seam_job *j);
bool board_job_droppable(const struct seam_job *j);
void board_job_settle(struct seam_board *b, struct seam_job *j,
		      const struct seam_row *row, int state);
void board_job_merge(struct seam_board *b, struct seam_job *j,
		     const struct seam_row *row);
void board_job_free(struct seam_job *j);

bool board_step_open(const struct seam_job *j, int step);
void board_job_urgency(const struct seam_job *j, struct seam_urgency *u);

/* board_workers.c */
int board_load_workers(struct seam_board *b, struct seam_err *e);
void board_worker_add(struct seam_board *b,
		      const struct seam_worker_info *info);
void *board_follow_workers(void *arg);
void *board_reap_loop(void *arg);
void board_worker_lost(struct seam_worker *w, const char *why);
void board_worker_restarted(struct seam_worker *w, int64_t born_ms,
			    seam_time by);
void board_workers_close(struct seam_board *b);
bool board_worker_usable(const struct seam_worker *w, seam_time now);

/* board_backlog.c: what may be started, kept with each change */
void board_job_count(struct seam_job *j);
void board_job_touch(struct seam_board *b, struct seam_job *j);
void board_job_forget(struct seam_board *b, struct seam_job *j);
void board_backlog_refresh(struct seam_board *b, seam_time now);
bool board_task_idle(const struct seam_job *j, int step, int64_t task);
void board_worker_room(struct seam_worker *w);
void board_start_sent(struct seam_board *b, struct seam_worker *w,
		      const struct seam_task_ref *ref, struct seam_run_slot *r);
void board_start_over(struct seam_board *b, struct seam_run_slot *r);
void board_starts_expire(struct seam_board *b, seam_time now);

/* board_runs.c */
void board_run_set_state(struct seam_board *b, struct seam_run_slot *r,
			 int state);
struct seam_run_slot *board_run_add(struct seam_board *b, struct seam_job *j,
				    int step, int task, struct seam_worker *w,
				    int64_t number, int state);
void board_run_drop(struct seam_board *b, struct seam_job *j, int step,
		    int task, struct seam_run_slot *r);
void board_run_stop(struct seam_board *b, struct seam_job *j, int step,
		    int task, struct seam_run_slot *r);
struct seam_run_slot *board_run_find(struct seam_job *j, int step, int task,
				     struct seam_handle worker, int64_t number);
/* A run on a worker. */
struct board_run_at {
	struct seam_job *job;
	int step;
	int task;
	struct seam_run_slot *run;
};

/* Calls @fn with each run on @w; it may drop the run. A job that is done with
 * afterwards is dropped. */
void board_each_run(struct seam_worker *w,
		    void (*fn)(struct seam_worker *w,
			       const struct board_run_at *at, void *arg),
		    void *arg);
void board_task_name(const struct seam_job *j, int step, int task,
		     char name[SEAM_TASK_NAME]);
bool board_task_parse(struct seam_board *b, const char *name,
		      struct seam_job **j, int *step, int *task);
void board_order(struct seam_worker *w, const struct seam_order *o);
size_t board_orders(const struct seam_worker *w);
void board_drop_orders(struct seam_worker *w);
int board_task_runs(const struct seam_job_task *t);
struct seam_amount board_step_need(const struct seam_step *s);

/* board_link.c: what workers answer */
int64_t board_new_lease(struct seam_worker *w, seam_time now);
void board_hold_answered(struct seam_worker *w, const struct seam_listing *l,
			 seam_time sent_at);
void board_hold_failed(struct seam_worker *w, const struct seam_lane_event *v);
void board_order_answered(struct seam_worker *w, const struct seam_order *o,
			  const struct seam_lane_event *v);
bool board_order_stands(struct seam_worker *w, const struct seam_order *o,
			struct seam_job **j);

/* board_divide.c */
int board_lanes_open(struct seam_board *b, struct seam_err *e);
void board_lanes_close(struct seam_board *b);
void board_lanes_attend(struct seam_board *b);

/* board_lanes.c */
int board_lane_start(struct seam_board_lane *l);
void board_need_lane(struct seam_board *b);
void board_lane_wake(struct seam_worker *w);
void board_lane_update(struct seam_worker *w);
void board_lane_leave(struct seam_worker *w);
void board_lane_move(struct seam_worker *w);

/* board_listing.c */
void board_task_done(struct seam_board *b, struct seam_job *j, int step,
		     int task);
void board_take_listing(struct seam_board *b, struct seam_worker *w,
			const struct seam_listing *l, seam_time sent_at);
void board_settle_ends(struct seam_board *b, struct seam_worker *w);

/* board_load.c; board_load_log() writes a line a second at most */
void board_job_held(struct seam_job *j, enum seam_held by, seam_time now);
void board_job_log(const struct seam_board *b, const struct seam_job *j,
		   const char *event);
void board_load_log(struct seam_board *b);

/* One pass: starts what can be started. */
void board_pass(struct seam_board *b);

/* board_commit.c, board_pass.c, board_vms.c */
void *board_commit_loop(void *arg);
void *board_pass_loop(void *arg);
void *board_vms_loop(void *arg);

/* board_manage.c, called without the lock */
void board_manage_vms(struct seam_board *b);

/**
 * struct seam_vm_task - an order for a VM
 * @vm: VM
 * @worker: its worker, which is to be empty
 * @pool: pool to move to, or ""
 * @wave: wave that maintains it, or 0
 */
struct seam_vm_task {
	char vm[SEAM_NAME];
	char worker[SEAM_NAME];
	char pool[SEAM_NAME];
	int64_t wave;
};

/* board_vm_orders.c; board_put_row() and board_load_orders() without the lock
 */
struct seam_worker *board_worker_of(struct seam_board *b, const char *id);
size_t board_vm_budget(struct seam_board *b, seam_time now);
void board_order_vms(struct seam_board *b, const struct seam_vm_task *t,
		     size_t n);
void *board_vm_order_loop(void *arg);
int board_load_orders(struct seam_board *b, struct seam_err *e);
int board_put_row(struct seam_board *b, const char *key, const char *text);

/* board_wave.c, called without the lock but for board_wave_due() */
bool board_wave_read(struct seam_board *b, struct seam_wave *w);
void board_wave_load(struct seam_board *b, const struct seam_wave *w);
bool board_wave_due(const struct seam_board *b, const struct seam_wave *w,
		    const char *vm);
void board_wave_keep(struct seam_board *b);
void board_wave_report(struct seam_board *b, const struct seam_wave *w,
		       bool done);

/* board_leave.c */
void board_empty_workers(struct seam_board *b);

#ifdef __cplusplus
}
#endif
#endif
