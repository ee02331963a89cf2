#ifndef SEAM_BOARD_H
#define SEAM_BOARD_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "base/clock.h"
#include "base/table.h"
#include "connection/lane.h"
#include "connection/runner.h"
#include "connection/vms.h"
#include "process/backlog.h"
#include "process/lead.h"
#include "process/op_state.h"
#include "process/rooms.h"
#include "process/store.h"
#include "process/upkeep.h"
#include "request/jobrow.h"
#include "version/catalog.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SEAM_BOARD_TOKENS 64 /* commits whose rows the feed may still tell */
/* Holds without an answer from which a worker gets no tasks; one may be lost.
 */
#define SEAM_MISSED_MAX 2
/* A worker that stays slow for longer after its start is taken last. */
#define SEAM_SLOW_MIN_MS 200
/* Calls to the VM service take up to 30 ms; so many fill its rate of 64 a
 * second. */
#define SEAM_VM_ORDER_THREADS 4
#define SEAM_BOARD_THREADS (6 + SEAM_VM_ORDER_THREADS)
#define SEAM_LANES_MAX 64 /* as many nodes as a node knows */
#define SEAM_COPIES 2 /* runs of a task at the same time, at most */

/** enum seam_run_state - what the owner knows of a run */
enum seam_run_state {
	SEAM_RUN_FREE, /* the slot holds no run */
	SEAM_RUN_SENT, /* ordered, not answered */
	SEAM_RUN_LIVE, /* the worker said that it runs */
	SEAM_RUN_UNSURE /* it may run: the order got no answer */
};

/**
 * struct seam_run_slot - a run of a task
 * @state: enum seam_run_state
 * @worker: worker
 * @number: number of the start
 * @sent_at: when the order was queued
 * @live_at: when it was first known to run
 * @percent: progress as last listed
 * @listed_at: when its worker last listed it as running
 * @stop: it is to end
 * @stop_next: when the stop is sent again unless it was answered
 * @stopped_at: when the stop was answered; SEAM_NEVER before
 * @counted: lane among whose starts under way it counts, or -1
 */
struct seam_run_slot {
	int state;
	struct seam_handle worker;
	int64_t number;
	seam_time sent_at;
	seam_time live_at;
	int percent;
	seam_time listed_at;
	bool stop;
	seam_time stop_next;
	seam_time stopped_at;
	int counted;
};

/**
 * struct seam_job_task - a task of an open job
 * @run: its runs
 * @checkpoint: latest saved work, or ""
 * @starts: number of starts in this term
 * @avoid: worker on which it failed last
 * @not_before: not started again before
 */
struct seam_job_task {
	struct seam_run_slot run[SEAM_COPIES];
	char checkpoint[SEAM_CHECKPOINT];
	int starts;
	struct seam_handle avoid;
	seam_time not_before;
};

/** enum seam_held - why tasks of a job that could run were not started */
enum seam_held {
	SEAM_HELD_NONE,
	SEAM_HELD_TURN, /* more urgent ones used up the starts under way */
	SEAM_HELD_ROOM, /* no worker of its pool has room */
	SEAM_HELD_LIMIT, /* its workspace runs as much as it may */
	SEAM_HELD_UNHEARD, /* unknown workers may run them */
	SEAM_HELD_REASONS
};

/**
 * struct seam_job - an open job
 * @row: what lasts
 * @version: version of its row
 * @self: its handle
 * @task: tasks of each step
 * @left: tasks of each step that are not done
 * @idle: those of them without a run
 * @first_idle: no task of the step before this one is idle
 * @waiting: idle tasks of open steps, as of the latest look
 * @touched: its place in the backlog has to be looked at
 * @used: what its workspace has reserved
 * @priority: 0 comes first
 * @chain_ms: run time of its longest chain
 * @accepted_at: when it was accepted
 * @due_at: end of its latency objective
 * @old: it was accepted before this term, so that an unknown worker may run its
 *       tasks
 * @over_share: its workspace handed in more than its share at that moment
 * @begun: a task has been started
 * @changes: number of changes to @row
 * @committed: @changes that the store has
 * @runs: runs that are not known to have ended
 * @first_start_at: when the first task was ordered; 0 before
 * @held_by: enum seam_held of the latest pass
 * @held_since: since when
 * @held: time for each enum seam_held before that
 */
struct seam_job {
	struct seam_jobrow row;
	uint64_t version;
	struct seam_handle self;
	struct seam_job_task **task;
	int *left;
	int *idle;
	int64_t *first_idle;
	int64_t waiting;
	bool touched;
	struct seam_amount *used;
	int priority;
	int64_t chain_ms;
	seam_time accepted_at;
	seam_time due_at;
	bool old;
	bool over_share;
	bool begun;
	uint64_t changes;
	uint64_t committed;
	int runs;
	seam_time first_start_at;
	enum seam_held held_by;
	seam_time held_since;
	seam_time held[SEAM_HELD_REASONS];
};

/** struct seam_task_ref - a task, by the handle of its job */
struct seam_task_ref {
	struct seam_handle job;
	int step;
	int task;
};

enum seam_order_kind { SEAM_ORDER_START, SEAM_ORDER_STOP };

/**
 * struct seam_order - an order that waits for its worker's connection
 * @kind: enum seam_order_kind
 * @ref: task
 * @name: its name
 * @run: number of the run
 * @deadline: not sent after it
 * @unknown: a node that it was given to may have sent it
 */
struct seam_order {
	int kind;
	struct seam_task_ref ref;
	char name[SEAM_TASK_NAME];
	int64_t run;
	seam_time deadline;
	bool unknown;
};

/** struct seam_sent_start - a start that was sent at a time */
struct seam_sent_start {
	struct seam_task_ref ref;
	int64_t run;
	seam_time at;
};

/** struct seam_end_mark - an end that waits for the commit of its job */
struct seam_end_mark {
	int64_t number;
	struct seam_handle job;
	uint64_t change;
};

/**
 * struct seam_vm_order - the latest order for a VM
 * @until: it is left alone until then
 * @arrives_until: its worker is expected to answer until then
 * @wave: it was maintained for this wave, or 0
 * @pool: pool that it was sent to, or ""
 */
struct seam_vm_order {
	seam_time until;
	seam_time arrives_until;
	int64_t wave;
	char pool[SEAM_NAME];
};

/**
 * struct seam_share_meter - what a workspace handed in of late
 * @spent: jobs of its share that are used up
 * @at: when @spent was computed
 */
struct seam_share_meter {
	double spent;
	seam_time at;
};

/** struct seam_recent_vm - a VM that was ordered at a time */
struct seam_recent_vm {
	char vm[SEAM_NAME];
	seam_time at;
};

/** struct seam_pool_hold - VMs that a pool keeps until a time */
struct seam_pool_hold {
	int vms;
	seam_time until;
};

struct seam_board;

/**
 * struct seam_worker - one life of a worker
 * @info: what it says of itself
 * @self: its handle
 * @listed: its row is there
 * @gone_at: since when its row is missing
 * @heard: it has answered in this term
 * @answered: it answered the latest hold
 * @missed: holds since that it did not answer
 * @clock_ms: its clock at @clock_at of ours
 * @clock_at: when that answer came
 * @lease_end: its lease has certainly run out by then
 * @seen_end: number of the latest end that was taken
 * @marks: ends whose jobs have to be committed; struct seam_end_mark
 * @acked: ends up to this number may be forgotten
 * @ref: tasks with runs on it; struct seam_task_ref
 * @used: reserved by them
 * @orders: struct seam_order that wait for its lane, in order of sending
 * @sent: struct seam_order that its lane has not answered
 * @full_until: it refused a task for want of room
 * @shunned_until: it gets no tasks, because it failed or did not answer
 * @failures: runs that failed there since one ended done
 * @drains_at: when its row first said that it drains
 * @leaving: it is emptied for a move or for maintenance
 * @over: its VM was moved or maintained, so that it is gone; its row follows
 * @dead: it is to be taken out of the table
 * @restarted_at: looks that were sent before are of the life before
 * @lane: lane that serves it, -1 before the first
 * @avoid: lane that does not reach it, or -1
 * @told: the lane's node knows that it serves it
 * @move_at: it is not given to another lane before
 * @acked_told: @acked that the node knows
 * @lease_told_at: when the node was last told how far its lease goes
 */
struct seam_worker {
	struct seam_board *board;
	struct seam_worker_info info;
	struct seam_handle self;
	bool listed;
	seam_time gone_at;
	bool heard;
	bool answered;
	int missed;
	int64_t clock_ms;
	seam_time clock_at;
	seam_time lease_end;
	int64_t seen_end;
	GArray *marks;
	int64_t acked;
	GArray *ref;
	struct seam_amount used;
	GQueue orders;
	GQueue sent;
	seam_time full_until;
	seam_time shunned_until;
	int failures;
	seam_time drains_at;
	bool leaving;
	bool over;
	bool dead;
	seam_time restarted_at;
	int lane;
	int avoid;
	bool told;
	seam_time move_at;
	int64_t acked_told;
	seam_time lease_told_at;
};

/**
 * struct seam_board_lane - a node that serves workers for the owner
 * @board: board
 * @index: its place among the lanes; 0 is the owner's own node
 * @info: the node
 * @conn: way to it; NULL before it is given its first worker
 * @workers: workers that it was given
 * @number: number of the session with it
 * @opened: the node has taken a batch of this session
 * @seen: number of the latest event of this session
 * @failures: sessions that failed since an event came
 * @down_until: it is not tried again before
 * @drops: keys of workers that it is to serve no longer; uint32_t
 * @due: there is something to send
 * @update_at: changes of leases and ends are sent then
 * @starting: starts that wait for an answer
 * @wake: signals @due and @opened
 * @thread: one sends, one polls
 * @threads: their number
 */
struct seam_board_lane {
	struct seam_board *board;
	int index;
	struct seam_node_info info;
	struct seam_lane *conn;
	int workers;
	uint64_t number;
	bool opened;
	uint64_t seen;
	int failures;
	seam_time down_until;
	GArray *drops;
	bool due;
	seam_time update_at;
	int starting;
	pthread_cond_t wake;
	pthread_t thread[2];
	int threads;
};

/**
 * struct seam_load_meter - what the owner did since its last line on it
 * @since: when that line was written; 0 before the first
 * @passes: passes over the waiting tasks
 * @pass_time: time that they took, with the lock held
 * @starts: starts that were answered
 * @start_time: time from placing them to the answers, together
 * @looks: listings that came
 */
struct seam_load_meter {
	seam_time since;
	int64_t passes;
	seam_time pass_time;
	int64_t starts;
	seam_time start_time;
	int64_t looks;
};

/**
 * struct seam_board_conf - bounds of an owner
 * @vm_lease: no VM is ordered so soon after a takeover, as the owner before may
 *            have sent its last order then
 * @lease_max: longest lease of a worker
 * @vm_orders_per_s: orders that the VM service takes in a second
 */
struct seam_board_conf {
	seam_time vm_lease;
	seam_time lease_max;
	double vm_orders_per_s;
};

/**
 * struct seam_board - all that the owner knows during one term
 * @lock: protects all below
 * @conf: bounds
 * @clock: clock of all times
 * @ports: the platform
 * @catalog: version in force
 * @op_state: operators' orders, kept by the node
 * @lead: right to decide
 * @term: fencing token of this term
 * @opened_at: start of the term
 * @jobs: struct seam_job
 * @job_of: job id to its handle
 * @ended: id of a job that has left @jobs to the time when, seam_time
 * @ended_swept_at: when old entries were taken out of @ended
 * @workers: struct seam_worker
 * @worker_of: id to handle
 * @vm: the VM list as last read
 * @vms: its length
 * @vm_queue: orders for VMs that wait for a thread
 * @vm_wake: signals @vm_queue
 * @vm_budget: orders that may be sent now, as of @vm_budget_at
 * @vm_budget_at: when it was computed
 * @vm_orders: id of a VM to struct seam_vm_order
 * @wave_number: wave under way, 0 without one
 * @wave_done: VMs that it has maintained; set of ids
 * @wave_reported: state of it that operators were told: 1 running, 2 completed
 * @wave_completed: latest wave that is completed
 * @wave_loaded: wave whose row has been read
 * @wave_kept: number of VMs in its row
 * @pools_logged_at: when the pools were last logged
 * @holds: pool to struct seam_pool_hold
 * @shares: workspace to struct seam_share_meter
 * @crowded: all VMs together hold less than what is asked for
 * @backlog: jobs with tasks that may be started
 * @backlog_crowded: @crowded, as the places in it have it
 * @touched: jobs whose place in it has to be looked at; struct seam_handle
 * @waiting: tasks that may be started, of all jobs
 * @rooms: workers by their free processors
 * @used: workspace to struct seam_amount, what its runs have reserved
 * @starting: starts that wait for an answer
 * @sent: latest starts, struct seam_sent_start
 * @recent: VMs that were ordered a short time ago; struct seam_recent_vm
 * @vms_read: the VM list was read in this term
 * @unlisted_until: a worker without a row may run tasks until then
 * @commit_wake: signals changes of rows
 * @pass_wake: signals that something may be started
 * @reap_wake: signals that a worker has finished or needs a lane
 * @token: tokens of the latest commits; rows with them are our own
 * @tokens: number of commits
 * @pass_due: something may be started
 * @commit_due: a row changed
 * @jobs_version: version of the store up to which jobs were read
 * @workers_version: the same for workers
 * @workers_stale: rows of workers have to be read again
 * @thread: threads
 * @threads: their number
 * @stop: the term ends
 * @meter: its load
 * @lane: nodes that serve workers
 * @lanes: their number
 * @lanes_used: lanes with workers
 * @divide_due: a worker needs a lane
 * @listed_nodes_at: when the nodes were last listed
 */
struct seam_board {
	pthread_mutex_t lock;
	struct seam_board_conf conf;
	struct seam_clock *clock;
	const struct seam_ports *ports;
	struct seam_catalog_cell *catalog;
	struct seam_op_state *op_state;
	struct seam_lead *lead;
	uint64_t term;
	seam_time opened_at;
	struct seam_table *jobs;
	GHashTable *job_of;
	GHashTable *ended;
	seam_time ended_swept_at;
	struct seam_table *workers;
	GHashTable *worker_of;
	bool vms_read;
	seam_time unlisted_until;
	pthread_cond_t commit_wake;
	pthread_cond_t pass_wake;
	pthread_cond_t reap_wake;
	uint64_t token[SEAM_BOARD_TOKENS];
	size_t tokens;
	bool pass_due;
	bool commit_due;
	bool stop;
	uint64_t jobs_version;
	uint64_t workers_version;
	bool workers_stale;
	struct seam_vm_info *vm;
	size_t vms;
	GQueue vm_queue;
	pthread_cond_t vm_wake;
	double vm_budget;
	seam_time vm_budget_at;
	GHashTable *vm_orders;
	int64_t wave_number;
	GHashTable *wave_done;
	int wave_reported;
	int64_t wave_completed;
	int64_t wave_loaded;
	guint wave_kept;
	seam_time pools_logged_at;
	GHashTable *holds;
	GHashTable *shares;
	bool crowded;
	struct seam_backlog *backlog;
	bool backlog_crowded;
	GArray *touched;
	int64_t waiting;
	struct seam_rooms *rooms;
	GHashTable *used;
	int starting;
	GQueue sent;
	GArray *recent;
	pthread_t thread[SEAM_BOARD_THREADS];
	int threads;
	struct seam_load_meter meter;
	struct seam_board_lane lane[SEAM_LANES_MAX];
	int lanes;
	int lanes_used;
	bool divide_due;
	seam_time listed_nodes_at;
};

/**
 * seam_board_open() - begin a term: load what the store has, start the threads
 * @e: why it could not be read
 *
 * Return: NULL if the store or memory failed.
 */
struct seam_board *seam_board_open(const struct seam_board_conf *conf,
				   struct seam_clock *k,
				   const struct seam_ports *ports,
				   struct seam_catalog_cell *catalog,
				   struct seam_op_state *op_state,
				   struct seam_lead *lead, struct seam_err *e);

/** seam_board_close() - end the term; commits what it can and frees */
void seam_board_close(struct seam_board *b);

#ifdef __cplusplus
}
#endif
#endif
