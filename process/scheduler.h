#ifndef SEAM_SCHEDULER_H
#define SEAM_SCHEDULER_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "base/clock.h"
#include "base/table.h"
#include "connection/lane.h"
#include "connection/runner.h"
#include "connection/vms.h"
#include "process/backfill.h"
#include "process/backlog.h"
#include "process/demand_trend.h"
#include "process/election.h"
#include "process/op_state.h"
#include "process/row_writer.h"
#include "process/start_sizes.h"
#include "process/start_window.h"
#include "process/store.h"
#include "process/wave.h"
#include "process/worker_index.h"
#include "request/jobrow.h"
#include "version/catalog.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Commits whose rows are recognised as own writes in the feed. */
#define SEAM_SCHEDULER_TOKENS 64
/*
 * A worker gets no tasks after this many unanswered holds. One may be lost on
 * the network.
 */
#define SEAM_MISSED_HOLDS_MAX 2
/*
 * Workers that stay slow for longer than this after their start are chosen
 * last.
 */
#define SEAM_SLOW_MIN_MS 200
/*
 * A call to the VM service takes up to 30 ms, so 4 threads reach its rate limit
 * of 64 a second.
 */
#define SEAM_VM_ORDER_THREADS 4
#define SEAM_SCHEDULER_THREADS (6 + SEAM_VM_ORDER_THREADS)
/* Maximum number of nodes that serve workers of one owner. */
#define SEAM_LANES_MAX 64
/* Processes of a worker whose late rows are recognised. */
#define SEAM_PAST_PROCESSES 4
/* Concurrent runs of one task. */
#define SEAM_TASK_RUNS_MAX 2

/** enum seam_run_state - state of a run in the owner's table */
enum seam_run_state {
	SEAM_RUN_FREE, /* the slot is unused */
	SEAM_RUN_SENT, /* start queued or sent, no answer yet */
	SEAM_RUN_RUNNING, /* reported as running by the worker */
	SEAM_RUN_UNCONFIRMED /* the start got no answer, so it may be running */
};

/**
 * struct seam_run_slot - a run of a task
 * @state: enum seam_run_state
 * @worker: worker
 * @number: number of the run
 * @sent_at: when the start was queued
 * @running_at: when it was first confirmed to run
 * @percent: progress in the latest listing
 * @listed_at: when its worker last listed it as running
 * @clock_known: its start was answered with the clock by which the owner
 *     reckons the leases of its worker
 * @stop: it has to be stopped
 * @stop_retry_at: when an unanswered stop is sent again
 * @stopped_at: when its stop was answered, or a start refused as stale;
 *     SEAM_NEVER before
 * @late_stop_until: a stop that was withdrawn, or ordered by the owner before,
 *     may still be carried out until then
 * @late_until: a start of it, or of an earlier run of the task there, got no
 *     answer, and the worker may carry it out until then; 0 if all were
 *     answered
 * @late_token: highest fencing token of such a start
 * @spent: a process of its worker has ended or refused this number, so that
 *     another start there needs a higher one
 * @earlier_process: it was started on an earlier process of its worker
 * @start_lane: lane whose pending starts include this one, or -1
 */
struct seam_run_slot {
	int state;
	struct seam_handle worker;
	int64_t number;
	seam_time sent_at;
	seam_time running_at;
	int percent;
	seam_time listed_at;
	bool clock_known;
	bool stop;
	seam_time stop_retry_at;
	seam_time stopped_at;
	seam_time late_stop_until;
	seam_time late_until;
	uint64_t late_token;
	bool spent;
	bool earlier_process;
	int start_lane;
};

/**
 * struct seam_job_task_state - a task of an open job
 * @run: its runs
 * @checkpoint: latest checkpoint, or ""
 * @starts: number of starts in this term
 * @avoid: worker on which it failed last
 * @not_before: earliest time of the next start
 * @listed_at: when an earlier run of it was last listed as running
 * @ran_at: when it was last known to run, but for its runs of now
 * @late_worker: worker that may carry out a start of an earlier run
 * @late_until: until then
 * @late_since: from then on it waits for that worker, on which it starts only
 *     as that run
 * @late_token: highest fencing token of such a start
 * @late_starts: starts there without an answer
 * @late_at: when the latest of them was given up
 * @late_run: number of that run, for further starts there; 0 if it is spent
 */
struct seam_job_task_state {
	struct seam_run_slot run[SEAM_TASK_RUNS_MAX];
	char checkpoint[SEAM_CHECKPOINT_SIZE];
	int starts;
	struct seam_handle avoid;
	seam_time not_before;
	seam_time listed_at;
	seam_time ran_at;
	struct seam_handle late_worker;
	seam_time late_until;
	seam_time late_since;
	uint64_t late_token;
	int late_starts;
	seam_time late_at;
	int64_t late_run;
};

/** enum seam_delay - why runnable tasks of a job were not started */
enum seam_delay {
	SEAM_DELAY_NONE,
	SEAM_DELAY_TURN, /* more urgent tasks used up the pending starts */
	SEAM_DELAY_ROOM, /* no worker of its pool has enough free capacity */
	SEAM_DELAY_LIMIT, /* its workspace has reached its limit */
	SEAM_DELAY_UNCONFIRMED, /* workers that have not answered yet may run
				   them */
	SEAM_DELAY_REASONS
};

/**
 * struct seam_progress_row - a stored row with progress of a job
 * @version: store version, or SEAM_ABSENT
 * @failures: failed runs in it; 0 if its content is not known
 */
struct seam_progress_row {
	uint64_t version;
	size_t failures;
};

/**
 * struct seam_job - an open job
 * @row: persistent state
 * @version: store version of its row
 * @progress: struct seam_progress_row, stored rows with its progress
 * @row_final: its end is stored, so that its row is not written again
 * @self: its handle
 * @task: tasks of each step
 * @left: number of tasks of each step that are not done
 * @idle: number of those without a run
 * @first_idle: no task of the step before this index is idle
 * @waiting: idle tasks of ready steps, as of the latest backlog update
 * @dirty: its backlog entry has to be updated
 * @used: what its workspace has reserved
 * @priority: 0 comes first
 * @chain_ms: run time of its longest chain of steps
 * @accepted_at: when it was accepted
 * @due_at: end of its latency objective
 * @inherited: it was accepted before this term, so that a worker which has not
 *     answered yet may run its tasks
 * @over_share: its workspace had exceeded its share when it was accepted
 * @begun: a start of a task has been queued
 * @started: a worker has confirmed a start of a task
 * @changes: number of changes to @row
 * @committed: value of @changes that the store has
 * @commit_after: the store refused its rows; they are not written before
 * @runs: runs whose end is not confirmed
 * @first_start_at: when the first task was started; 0 before
 * @reserve_after: no worker of its pool could be kept for its tasks, and none
 *     is looked for before
 * @delay_reason: enum seam_delay of the latest pass
 * @delayed_since: start of that delay
 * @delay: time spent in each enum seam_delay before that
 */
struct seam_job {
	struct seam_jobrow row;
	uint64_t version;
	GArray *progress;
	bool row_final;
	struct seam_handle self;
	struct seam_job_task_state **task;
	int *left;
	int *idle;
	int64_t *first_idle;
	int64_t waiting;
	bool dirty;
	struct seam_resources *used;
	int priority;
	int64_t chain_ms;
	seam_time accepted_at;
	seam_time due_at;
	bool inherited;
	bool over_share;
	bool begun;
	bool started;
	uint64_t changes;
	uint64_t committed;
	seam_time commit_after;
	int runs;
	seam_time first_start_at;
	seam_time reserve_after;
	enum seam_delay delay_reason;
	seam_time delayed_since;
	seam_time delay[SEAM_DELAY_REASONS];
};

/** struct seam_task_ref - refers to a task by the handle of its job */
struct seam_task_ref {
	struct seam_handle job;
	int step;
	int task;
};

enum seam_order_kind { SEAM_ORDER_START, SEAM_ORDER_STOP };

/**
 * struct seam_order - an order that waits for its worker's connection
 * @number: number under which it was last sent to a node; 0 before
 * @kind: enum seam_order_kind
 * @ref: task
 * @name: task name
 * @run: number of the run
 * @deadline: not sent after this time
 * @maybe_sent: a node that had the order may have sent it to the worker
 */
struct seam_order {
	uint64_t number;
	int kind;
	struct seam_task_ref ref;
	char name[SEAM_TASK_NAME_SIZE];
	int64_t run;
	seam_time deadline;
	bool maybe_sent;
};

/** struct seam_sent_start - a start and when it was sent */
struct seam_sent_start {
	struct seam_task_ref ref;
	int64_t run;
	seam_time at;
};

/**
 * struct seam_uncommitted_end - an end of a run whose job has yet to be
 * committed
 */
struct seam_uncommitted_end {
	int64_t number;
	struct seam_handle job;
	uint64_t change;
};

/**
 * struct seam_vm_order - the latest order for a VM
 * @busy_until: no other order is planned for the VM before
 * @arrival_deadline: its worker is expected to have answered by then
 * @planned_at: when a move was planned whose worker has not answered yet, or 0
 * @wave: wave that maintained it, or 0
 * @refused: maintenance that was refused, which counts as one of those at once
 *     until @busy_until
 * @refusals: orders for the VM that were refused in a row
 * @pool: pool that it was moved to, or ""
 */
struct seam_vm_order {
	seam_time busy_until;
	seam_time arrival_deadline;
	seam_time planned_at;
	int64_t wave;
	bool refused;
	int refusals;
	char pool[SEAM_NAME_SIZE];
};

/**
 * struct seam_share_bucket - leaky bucket of the jobs that a workspace
 * submitted
 * @level: jobs that count against the share
 * @updated_at: when @level was computed
 */
struct seam_share_bucket {
	double level;
	seam_time updated_at;
};

/** struct seam_recent_vm_order - a VM and when it was ordered */
struct seam_recent_vm_order {
	char vm[SEAM_NAME_SIZE];
	seam_time at;
};

/**
 * struct seam_long_lease - a lease that the previous owner has left
 * @worker: worker
 * @pool: its pool
 * @until: the lease may last until then
 */
struct seam_long_lease {
	char worker[SEAM_NAME_SIZE];
	char pool[SEAM_NAME_SIZE];
	seam_time until;
};

/**
 * struct seam_absent_late_start - a late start on a worker without an entry
 * @worker: its id; it may come back under it
 * @task: task
 */
struct seam_absent_late_start {
	char worker[SEAM_NAME_SIZE];
	struct seam_task_ref task;
};

/**
 * struct seam_pool_history - demand of a pool over time
 * @peak: VMs that it keeps after a peak of its demand
 * @peak_until: until then
 * @trend: slope of the VMs that all its jobs need
 */
struct seam_pool_history {
	int peak;
	seam_time peak_until;
	struct seam_demand_trend trend;
};

/**
 * struct seam_reservation - a worker that is kept for a task that ends
 * @job: its job; SEAM_HANDLE_NONE without a reservation
 * @step: step of the task; any task of it may use the worker
 * @worker: worker
 * @made_at: when it was made
 * @until: it ends then, as runs on the worker exceed their estimates
 * @plan: what other tasks may start there; its time of room is not put off
 */
struct seam_reservation {
	struct seam_handle job;
	int step;
	struct seam_handle worker;
	seam_time made_at;
	seam_time until;
	struct seam_backfill plan;
};

/**
 * struct seam_pool_room - room in a pool for tasks that end
 * @reservation: its reservation, one at a time
 * @cpu: starts by the CPU that they need
 * @memory: starts by memory
 * @gpu: starts by GPUs
 */
struct seam_pool_room {
	struct seam_reservation reservation;
	struct seam_start_sizes cpu;
	struct seam_start_sizes memory;
	struct seam_start_sizes gpu;
};

struct seam_scheduler;

/**
 * struct seam_worker - one incarnation of a worker
 * @info: properties from its row
 * @self: its handle
 * @listed: its row exists
 * @unlisted_at: when its row disappeared
 * @contacted: its current process has answered a hold with a token of its own
 * @token: fencing token of its next polls and orders
 * @token_sent: token that was last sent to a node
 * @answered_token: highest token of a poll that its current process answered
 * @heard_at: when its current process last answered or was first seen
 * @found_at: when its entry was added
 * @listed_worker: worker of its VM in the latest list that was read while it
 *     did not answer, or ""
 * @listed_state: state of the VM in that list; NULL before the first
 * @answered: it answered the latest hold
 * @missed_holds: holds that it did not answer since
 * @steady_since: it has answered holds since then, without falling silent
 * @start_answered_at: when it last answered a start
 * @disturbed_at: when it last fell silent after it had answered for a while, or
 *     restarted; 0 before
 * @clock_ms: its clock at @clock_at of the owner's clock
 * @clock_at: when that answer arrived
 * @lease_end: its lease has certainly expired by then
 * @long_lease_until: a lease that its current process took from an order for
 *     another one may last until then
 * @listing_known: its latest listing that was reported in full was applied
 * @listing_at: when that listing, or an unchanged one since, was applied
 * @seen_end: number of the latest end that was processed
 * @uncommitted_ends: ends whose jobs have to be committed; struct
 *     seam_uncommitted_end
 * @acked: ends up to this number are stored, so the worker may discard them
 * @task_refs: tasks with runs on it; struct seam_task_ref
 * @used: capacity reserved by them
 * @orders: struct seam_order that wait for its lane, in sending order
 * @sent: struct seam_order that its lane has not answered
 * @late_until: a start without an answer may be carried out there until then
 * @no_room_until: it gets no tasks until then, as it refused one for lack of
 *     room
 * @backoff_until: it gets no tasks until then, as it failed or did not answer
 * @refusal_limit: refusals after that time show that it takes no tasks; 0 if it
 *     has not refused a start since the latest one that it accepted
 * @refusing_until: it counts as full until then, as it refuses each start
 * @failures: failed runs there since the last successful one
 * @shunned_until: until then it gets only lasting tasks, and these only if no
 *     other worker has room, as runs failed there
 * @draining_since: when its row was first read as draining
 * @leaving_until: until then it is being emptied for a move or for maintenance;
 *     each survey of the VMs that still plans this puts it off
 * @reserved_at: pass that reserved it last
 * @reserved_until: until then it gets only lasting tasks, one of which waits
 * for room
 * @reserved_due: from then on another worker may be reserved instead, as its
 *     runs exceed their estimates
 * @vm_gone: its VM was moved or maintained, or runs another worker; its row
 *     disappears later
 * @named_by_list: a list of this term named it as the worker of its VM
 * @unlisted: successive complete lists without its VM, while it did not answer
 * @vm_was_empty: the list showed that the process which it had, when it was
 *     found or last heard, has ended
 * @gone_at: when another worker was found on its VM or at its address, or 0
 * @retired: it has to be removed from the table
 * @indexed: it has an entry in the index of workers
 * @process_known_at: when its current process was first seen
 * @past_process_ms: start times of its latest processes before the current one
 * @restarts: restarts that were seen in this term
 * @ignored_process_ms: start time in the latest row that was ignored
 * @lane: lane that serves it, -1 before the first
 * @avoid_lane: lane that does not reach it, or -1
 * @registered: the worker was sent to the lane's node in this session
 * @move_at: earliest time of the next move to another lane
 * @acked_sent: value of @acked last sent to the node
 * @lease_sent_at: when the end of the lease was last sent to the node
 */
struct seam_worker {
	struct seam_scheduler *sched;
	struct seam_worker_info info;
	struct seam_handle self;
	bool listed;
	seam_time unlisted_at;
	bool contacted;
	uint64_t token;
	uint64_t token_sent;
	uint64_t answered_token;
	seam_time heard_at;
	seam_time found_at;
	char listed_worker[SEAM_NAME_SIZE];
	const char *listed_state;
	bool answered;
	int missed_holds;
	seam_time steady_since;
	seam_time start_answered_at;
	seam_time disturbed_at;
	int64_t clock_ms;
	seam_time clock_at;
	seam_time lease_end;
	seam_time long_lease_until;
	bool listing_known;
	seam_time listing_at;
	int64_t seen_end;
	GArray *uncommitted_ends;
	int64_t acked;
	GArray *task_refs;
	struct seam_resources used;
	GQueue orders;
	GQueue sent;
	seam_time late_until;
	seam_time no_room_until;
	seam_time backoff_until;
	seam_time refusal_limit;
	seam_time refusing_until;
	int failures;
	seam_time shunned_until;
	seam_time draining_since;
	seam_time leaving_until;
	seam_time reserved_at;
	seam_time reserved_until;
	seam_time reserved_due;
	bool vm_gone;
	bool named_by_list;
	int unlisted;
	bool vm_was_empty;
	seam_time gone_at;
	bool retired;
	bool indexed;
	seam_time process_known_at;
	int64_t past_process_ms[SEAM_PAST_PROCESSES];
	unsigned restarts;
	int64_t ignored_process_ms;
	int lane;
	int avoid_lane;
	bool registered;
	seam_time move_at;
	int64_t acked_sent;
	seam_time lease_sent_at;
};

/**
 * struct seam_scheduler_lane - a node that serves workers for the owner
 * @sched: the scheduler
 * @index: index of the lane; 0 is the owner's own node
 * @info: the node
 * @conn: connection; NULL before the first worker is assigned
 * @workers: number of assigned workers
 * @served: those that are assigned now, each once; struct seam_handle
 * @number: number of the session
 * @opened: the node has accepted a batch of this session
 * @clock: the node's clock; known while @opened
 * @last_event: number of the latest event of this session
 * @failures: failed sessions since the last event
 * @retry_at: the node is not used before
 * @drops: keys of workers that it no longer serves; uint32_t
 * @due: there is something to send
 * @update_at: when changed leases and acknowledged ends are sent
 * @starting: starts that wait for an answer
 * @window: how many may wait
 * @loss_seen_at: when a start was last answered quickly after lost calls
 * @wake: signals @due and @opened
 * @thread: one sends, one polls
 * @threads: number of running threads
 */
struct seam_scheduler_lane {
	struct seam_scheduler *sched;
	int index;
	struct seam_node_info info;
	struct seam_lane *conn;
	int workers;
	GArray *served;
	uint64_t number;
	bool opened;
	struct seam_lane_clock clock;
	uint64_t last_event;
	int failures;
	seam_time retry_at;
	GArray *drops;
	bool due;
	seam_time update_at;
	int starting;
	struct seam_start_window window;
	seam_time loss_seen_at;
	pthread_cond_t wake;
	pthread_t thread[2];
	int threads;
};

/**
 * struct seam_load_stats - activity of the owner since its last load line
 * @since: when that line was logged; 0 before the first
 * @passes: scheduling passes
 * @pass_time: time of those passes, with the lock held
 * @surveys: plans for the VMs
 * @survey_time: time of those plans, with the lock held
 * @arrivals: VMs whose worker has answered after a move
 * @arrival_time: sum of the times from the plans of these moves
 * @starts: starts that were answered or given up
 * @start_time: sum of the times that they took
 * @retried: of those, answered after more than one call
 * @unanswered: of those, without an answer
 * @lost_time: sum of the times for which they waited for calls to workers
 *     without an answer
 * @unsent: starts that no call was made for
 * @lost_runs: runs that were given up
 * @lost_heard: of those, runs that their leases ended though their worker had
 *     answered a poll within the time of a lease
 * @listings: listings received
 * @checks: checks of all workers, with their division over the lanes
 * @searches: searches for a worker that can run a task
 * @failed_searches: those that found none
 * @compared: workers that these searches looked at
 */
struct seam_load_stats {
	seam_time since;
	int64_t passes;
	seam_time pass_time;
	int64_t surveys;
	seam_time survey_time;
	int64_t arrivals;
	seam_time arrival_time;
	int64_t starts;
	seam_time start_time;
	int64_t retried;
	int64_t unanswered;
	seam_time lost_time;
	int64_t unsent;
	int64_t lost_runs;
	int64_t lost_heard;
	int64_t listings;
	int64_t checks;
	int64_t searches;
	int64_t failed_searches;
	int64_t compared;
};

/**
 * struct seam_scheduler_conf - limits of an owner
 * @vm_lease: no VM is ordered for this long after a takeover, as the previous
 *     owner may have sent its last order just before
 * @lease_max: longest lease of a worker
 * @vm_orders_per_s: orders a second that the VM service accepts
 */
struct seam_scheduler_conf {
	seam_time vm_lease;
	seam_time lease_max;
	double vm_orders_per_s;
};

/**
 * struct seam_scheduler - state of the owner's scheduler during one term
 * @lock: protects all members below
 * @conf: limits
 * @clock: clock of all times
 * @ports: the platform
 * @catalog: configuration version in force
 * @op_state: operator state, kept by the node
 * @election: state of this node as the owner; holds the end of the term
 * @term: fencing token of this term
 * @worker_token: highest fencing token of a worker
 * @orders_sent: orders sent to nodes in this term; the number of the latest
 * @opened_at: start of the term
 * @jobs: struct seam_job
 * @job_of: job id to its handle
 * @ended_jobs: id of a job removed from @jobs to the time of its removal,
 *     seam_time
 * @job_accepted_at: when the latest job was accepted; before the first of this
 *     term, its start, as jobs may have arrived until then
 * @ended_jobs_swept_at: when old entries were last removed from @ended_jobs
 * @workers: struct seam_worker
 * @worker_of: worker id to its handle
 * @vm: the VM list as last read
 * @vms: its length
 * @vm_queue: VM orders that wait for a thread
 * @vm_wake: signals @vm_queue
 * @vm_budget: VM orders that may be sent now, as of @vm_budget_at
 * @vm_budget_at: when @vm_budget was computed
 * @vm_orders: VM id to struct seam_vm_order
 * @wave_number: current wave, 0 without one
 * @wave_done: set of the VM ids that it has maintained
 * @wave_reported: its state as published to operators: 1 running, 2 completed
 * @wave_completed: latest completed wave
 * @wave_loaded: wave whose row has been read
 * @wave_saved: number of VMs in its row
 * @wave_row: writer of that row
 * @wave_status_row: writer of its state for operators
 * @pools_logged_at: when the pools were last logged
 * @pool_history: pool to struct seam_pool_history
 * @share_buckets: workspace to struct seam_share_bucket
 * @overloaded: all VMs together can't hold the demand
 * @backlog: jobs with tasks that may be started
 * @backlog_overloaded: value of @overloaded that the backlog is sorted by
 * @dirty_jobs: jobs whose backlog entry has to be updated; struct seam_handle
 * @waiting: tasks that may be started, of all jobs
 * @worker_index: workers by free CPU
 * @pool_rooms: pool to struct seam_pool_room
 * @plans_left: workers whose runs the pass may still read in search of one that
 *     can be kept for a task
 * @workspace_used: workspace to the struct seam_resources that its runs reserve
 * @starting: starts that wait for an answer
 * @window: how many may wait, of all lanes together
 * @recent_starts: latest starts, struct seam_sent_start
 * @recent_vm_orders: latest VM orders; struct seam_recent_vm_order
 * @arrival_time: smoothed time from the plan of a move until the VM's new
 * worker has answered
 * @vm_orders_row: writer of the row with these
 * @pending_row: writer of the numbers of waiting jobs
 * @pending: those numbers, as last written
 * @unusable_rows: id of a worker whose row can't be used to the reason
 * @unusable_rows_logged: number of times that such a reason was logged
 * @vms_read: the VM list was read in this term
 * @vms_complete: no VM was left out of @vm
 * @vms_read_at: when the list was requested that @vm holds
 * @prior_leases_until: until then workers may run tasks under leases of the
 *     previous owner
 * @long_leases: longer ones of single workers; struct seam_long_lease
 * @long_leases_until: end of the last of them
 * @late_starts_until: no start of an earlier run may come after this time
 * @absent_late_starts: those that the previous owner has left on workers that
 *     are not known; struct seam_absent_late_start
 * @handover_lock: protects the following members, also during a write
 * @handover_row: writer of the row for the next owner
 * @handover: its entries, as last written
 * @handover_loaded: the row of the previous owner was read, and the last one of
 *     this term is not written
 * @handover_saved_at: when the entries were last compared with the row
 * @handover_dropped: entries without a place in the row
 * @commit_wake: signals changed rows
 * @pass_wake: signals that something may be started
 * @reap_wake: signals that a worker is to be removed or needs a lane
 * @token: tokens of the latest commits, to recognise own rows in the feed
 * @tokens: number of commits
 * @pass_due: something may be started
 * @cancels_part: index of the part whose early cancels are swept next
 * @cancels_sweep_at: when that is due
 * @cancels_swept: store version at the latest sweep of each part; 0 for none
 * @commit_due: a row changed
 * @commit_again_at: a row that the store refused is written again
 * @jobs_version: store version up to which jobs were read
 * @workers_version: the same for workers
 * @workers_stale: worker rows have to be read again
 * @thread: threads
 * @threads: number of running threads
 * @stop: the term ends
 * @load: activity for the load line
 * @lane: nodes that serve workers
 * @lanes: number of lanes
 * @lanes_used: lanes with workers
 * @assign_due: a worker needs a lane
 * @listed_nodes_at: when the nodes were last listed
 */
struct seam_scheduler {
	pthread_mutex_t lock;
	struct seam_scheduler_conf conf;
	struct seam_clock *clock;
	const struct seam_ports *ports;
	struct seam_catalog_cell *catalog;
	struct seam_op_state *op_state;
	struct seam_election *election;
	uint64_t term;
	uint64_t worker_token;
	uint64_t orders_sent;
	seam_time opened_at;
	struct seam_table *jobs;
	GHashTable *job_of;
	GHashTable *ended_jobs;
	seam_time job_accepted_at;
	seam_time ended_jobs_swept_at;
	struct seam_table *workers;
	GHashTable *worker_of;
	GHashTable *unusable_rows;
	int64_t unusable_rows_logged;
	bool vms_read;
	bool vms_complete;
	seam_time vms_read_at;
	seam_time prior_leases_until;
	GArray *long_leases;
	seam_time long_leases_until;
	seam_time late_starts_until;
	GArray *absent_late_starts;
	pthread_mutex_t handover_lock;
	struct seam_row_writer handover_row;
	char *handover;
	bool handover_loaded;
	seam_time handover_saved_at;
	guint handover_dropped;
	pthread_cond_t commit_wake;
	pthread_cond_t pass_wake;
	pthread_cond_t reap_wake;
	uint64_t token[SEAM_SCHEDULER_TOKENS];
	size_t tokens;
	bool pass_due;
	size_t cancels_part;
	seam_time cancels_sweep_at;
	uint64_t cancels_swept[sizeof(SEAM_JOB_PARTS) - 1];
	bool commit_due;
	seam_time commit_again_at;
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
	guint wave_saved;
	struct seam_row_writer wave_row;
	struct seam_row_writer wave_status_row;
	seam_time pools_logged_at;
	GHashTable *pool_history;
	GHashTable *share_buckets;
	bool overloaded;
	struct seam_backlog *backlog;
	bool backlog_overloaded;
	GArray *dirty_jobs;
	int64_t waiting;
	struct seam_worker_index *worker_index;
	GHashTable *pool_rooms;
	int plans_left;
	GHashTable *workspace_used;
	int starting;
	struct seam_start_window window;
	GQueue recent_starts;
	GArray *recent_vm_orders;
	seam_time arrival_time;
	struct seam_row_writer vm_orders_row;
	struct seam_row_writer pending_row;
	char *pending;
	pthread_t thread[SEAM_SCHEDULER_THREADS];
	int threads;
	struct seam_load_stats load;
	struct seam_scheduler_lane lane[SEAM_LANES_MAX];
	int lanes;
	int lanes_used;
	bool assign_due;
	seam_time listed_nodes_at;
};

/**
 * seam_scheduler_open() - begin a term: load the stored state, start the
 * threads
 * @e: why it could not be read
 *
 * Return: NULL if the store failed or memory ran out.
 */
struct seam_scheduler *
seam_scheduler_open(const struct seam_scheduler_conf *conf,
		    struct seam_clock *k, const struct seam_ports *ports,
		    struct seam_catalog_cell *catalog,
		    struct seam_op_state *op_state,
		    struct seam_election *election, struct seam_err *e);

/**
 * seam_scheduler_stop() - stop deciding, and save what the next owner has to
 * know; call it before the term is released
 */
void seam_scheduler_stop(struct seam_scheduler *sched);

/**
 * seam_scheduler_close() - end the term; commits what it can and frees the
 * state
 */
void seam_scheduler_close(struct seam_scheduler *sched);

#ifdef __cplusplus
}
#endif
#endif
