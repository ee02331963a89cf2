#ifndef SEAM_TASK_H
#define SEAM_TASK_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <json-c/json.h>

#include "base/clock.h"
#include "base/err.h"
#include "base/json.h"
#include "base/table.h"
#include "connection/workerlink.h"
#include "process/fleet.h"
#include "process/owner.h"
#include "process/place.h"
#include "process/pool.h"
#include "process/size.h"
#include "process/store.h"
#include "process/team.h"
#include "version/conf.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SEAM_BUCKETS 16 /* per queue and team */
#define SEAM_BUCKET_TASKS_MAX 64
/* A task that has not ended has at most 5 failures and 4 crashes. */
#define SEAM_TASK_FAILS_MAX 10
#define SEAM_TASK_PAYLOAD_MAX 4096

/** enum seam_task_state - state of a task, as stored in its row */
enum seam_task_state {
	SEAM_TASK_QUEUED,
	SEAM_TASK_RUNNING,
	SEAM_TASK_STOPPING,
	SEAM_TASK_DONE,
	SEAM_TASK_FAILED,
	SEAM_TASK_CANCELLED,
	SEAM_TASK_UNKNOWN,
	SEAM_TASK_NEVER_RUNS
};

/** enum seam_task_stop - reason for stopping a running task */
enum seam_task_stop {
	SEAM_STOP_NONE,
	SEAM_STOP_CANCEL,
	SEAM_STOP_PREEMPT, /* preempted by other work */
	SEAM_STOP_OVERUSE, /* moved because it exceeds its reservation */
	SEAM_STOP_DC_OUT
};

/**
 * enum seam_fail_cause - why an attempt ended early
 * @SEAM_FAIL_TASK: the worker reported a failure
 * @SEAM_FAIL_LOST: the worker was lost; not attributed to the task
 * @SEAM_FAIL_CRASH: the worker was lost shortly after the start, and not in one
 *                   wave with an earlier such loss; attributed to the task
 */
enum seam_fail_cause { SEAM_FAIL_TASK, SEAM_FAIL_LOST, SEAM_FAIL_CRASH };

/** struct seam_task_fail - a failed attempt; @what is enum seam_fail_cause */
struct seam_task_fail {
	int what;
	char worker[64];
	char rack[64];
	seam_time at;
};

/**
 * struct seam_task - a task of a bucket
 * @id: last part of the full id
 * @kind: caller-defined kind; sizes are learned for each (team, kind)
 * @group: tasks of one group are spread over racks; may be empty
 * @request: hash of the request that created it
 * @payload: JSON text for the worker, or NULL
 * @state: enum seam_task_state
 * @stop: enum seam_task_stop
 * @attempt: number of attempts so far
 * @worker: worker of the last attempt
 * @boot: boot count of that worker at the start of the attempt
 * @lease_until: end of the lease; in memory of the last renewal sent, in the
 *               row of the attempt's first lease
 * @start_by: the worker refuses a start after this time
 * @declared: size declared by the caller
 * @reserved: resources committed on @worker
 * @seen: peak of the reported usage
 * @urgent: scheduled before all tasks that are not urgent
 * @idempotent: may run more than once
 * @finish_by: deadline, SEAM_NEVER if there is none
 * @submitted: time of acceptance
 * @started_at: start of the last attempt
 * @ended_at: end of the task
 * @fail: failed attempts
 * @fails: number of entries in @fail
 * @reason: text that explains why it ended or waits
 *
 * The members below are not stored in the row:
 * @confirmed: the worker has reported that the attempt runs
 * @heard: a report has arrived since the last renewal; only then does the next
 *         renewal extend the lease, so that the lease of a lost worker expires
 * @heard_at: last report of the worker that the attempt runs
 * @inherited: started by an earlier owner, which may still renew its lease
 * @start_pending: the start command is to be sent after the commit
 * @renew_at: time of the next renewal
 * @next_command_at: time of the next stop, checkpoint or repeated start command
 * @usage_at: time of the last usage report
 * @over_since: when usage exceeded @reserved, 0 if it does not
 */
struct seam_task {
	char id[24];
	char kind[64];
	char group[64];
	char request[20];
	char *payload;
	int state;
	int stop;
	int64_t attempt;
	char worker[64];
	int64_t boot;
	seam_time lease_until;
	seam_time start_by;
	struct seam_need declared;
	struct seam_need reserved;
	struct seam_need seen;
	bool urgent;
	bool idempotent;
	seam_time finish_by;
	seam_time submitted;
	seam_time started_at;
	seam_time ended_at;
	struct seam_task_fail fail[SEAM_TASK_FAILS_MAX];
	int fails;
	char reason[160];
	bool confirmed;
	bool heard;
	seam_time heard_at;
	bool inherited;
	bool start_pending;
	seam_time renew_at;
	seam_time next_command_at;
	seam_time usage_at;
	seam_time over_since;
};

/** seam_task_ended() - whether the state is final */
bool seam_task_ended(const struct seam_task *t);

/** seam_task_state_name() - name of a state as stored in rows */
const char *seam_task_state_name(int state);

/** seam_task_state_by_name() - state of a name, -1 if unknown */
int seam_task_state_by_name(const char *name);

struct seam_task_order;

/**
 * struct seam_task_load - load of a team in a queue, or in one of its buckets
 * @team: team
 * @queue: queue
 * @running: sum reserved by running tasks
 * @waiting: sum declared by waiting tasks
 * @first: size declared by the first waiting task
 * @runs: number of running tasks
 * @waits: number of waiting tasks
 */
struct seam_task_load {
	char team[64];
	char queue[64];
	struct seam_need running;
	struct seam_need waiting;
	struct seam_need first;
	int64_t runs;
	int64_t waits;
};

/** struct seam_pool_capacity - total size of the usable workers of a pool */
struct seam_pool_capacity {
	char pool[64];
	struct seam_need all;
};

/**
 * struct seam_task_excess - lent resources to reclaim in a pool
 * @team: team furthest over its share, relative to its weight
 * @workspace: workspace furthest over its part of its team's share, if the
 *             resources are reclaimed within one team; else SEAM_HANDLE_NONE
 * @used: dominant share of the pool in use by @team or @workspace
 * @amount: total dominant share to reclaim from it
 * @want: size of a waiting task of the team or workspace furthest under its
 *        share
 * @want_part: dominant share of @want
 */
struct seam_task_excess {
	char team[64];
	struct seam_handle workspace;
	double used;
	double amount;
	struct seam_need want;
	double want_part;
};

/**
 * struct seam_task_order_ops - scheduling policy between teams
 * @rank: rank of a team; the lowest starts first
 * @queue_rank: rank of a queue among the queues of its team; may be NULL
 * @lent: amount by which the team exceeds its share, 0 if it does not
 * @running: adds @by, which may be negative, to the team's running resources
 * @loads: replaces the loads of the whole fleet; may be NULL
 * @yields: whether tasks of the team start only after those of teams that are
 *          under their share and use less in relation to their weight; NULL if
 *          @loads is
 * @over: finds a team or workspace to reclaim from in a pool, false if there is
 *        none; NULL if @loads is
 * @reclaims: whether resources are reclaimed from the tasks of a queue
 * @free: frees the policy
 */
struct seam_task_order_ops {
	double (*rank)(struct seam_task_order *o, const char *team,
		       const char *queue, seam_time now);
	double (*queue_rank)(struct seam_task_order *o, const char *team,
			     const char *queue);
	double (*lent)(struct seam_task_order *o, const char *team,
		       const char *queue, seam_time now);
	void (*running)(struct seam_task_order *o, const char *team,
			const char *queue, const struct seam_need *by);
	void (*loads)(struct seam_task_order *o,
		      const struct seam_pool_capacity *capacity,
		      size_t capacities, const struct seam_task_load *load,
		      size_t n);
	bool (*yields)(struct seam_task_order *o, const char *team,
		       const char *queue);
	bool (*over)(struct seam_task_order *o, const char *pool,
		     struct seam_task_excess *out);
	bool (*reclaims)(struct seam_task_order *o,
			 const struct seam_task_excess *over, const char *team,
			 const char *queue);
	void (*free)(struct seam_task_order *o);
};

/** struct seam_task_order - scheduling policy; the vtable is the first member
 */
struct seam_task_order {
	const struct seam_task_order_ops *ops;
};

/** seam_task_order_weighted() - ranks teams by running CPU per share */
struct seam_task_order *seam_task_order_weighted(struct seam_conf_cell *conf);

/**
 * seam_task_order_fair() - dominant resource fairness in each pool
 *
 * Applied between teams, then between the workspaces of a team, with the loads
 * of the whole fleet; see struct seam_share.
 */
struct seam_task_order *seam_task_order_fair(struct seam_conf_cell *conf);

struct seam_task_limit;

/**
 * struct seam_task_limit_ops - enforces the limit of running tasks of a team
 * @write: called for a commit after which @units tasks of the team run in
 *         bucket @key; fills @w if the team row must change in that commit,
 *         else leaves @w->key NULL; SEAM_OVER_LIMIT refuses the start. The
 *         content of @w stays valid until @done.
 * @done: reports the outcome of that commit
 * @free: frees the limiter
 */
struct seam_task_limit_ops {
	int (*write)(struct seam_task_limit *l, const char *team,
		     const char *key, int units, seam_time now,
		     struct seam_write *w, struct seam_err *e);
	void (*done)(struct seam_task_limit *l, const char *team,
		     const char *key, bool applied, uint64_t version);
	void (*free)(struct seam_task_limit *l);
};

/** struct seam_task_limit - limiter; the vtable is the first member */
struct seam_task_limit {
	const struct seam_task_limit_ops *ops;
};

/**
 * seam_task_limit_teams() - limiter that grants units to buckets in team rows
 *
 * The row of a team changes in the commit of the bucket, so that the grants
 * and the running tasks agree at every version. A few unused units stay
 * granted, which saves a write of the team row for most starts and ends.
 */
struct seam_task_limit *seam_task_limit_teams(struct seam_store *s,
					      struct seam_conf_cell *conf);

/**
 * seam_task_limit_set_notify() - set the callback that notifies holders of
 * units
 * @base: limiter from seam_task_limit_teams()
 * @fn: called by the thread of the pass after a bucket recorded a want in the
 *      team's row
 * @arg: passed to @fn
 */
void seam_task_limit_set_notify(struct seam_task_limit *base,
				seam_team_notify_fn fn, void *arg);

/**
 * struct seam_task_drain - drain that waits until worker rows commit nothing
 * @drain: base; first member
 * @store: store
 * @clock: clock
 */
struct seam_task_drain {
	struct seam_drain drain;
	struct seam_store *store;
	struct seam_clock *clock;
};

/** seam_task_drain_init() - initialise a drain that reads worker rows */
void seam_task_drain_init(struct seam_task_drain *d, struct seam_store *s,
			  struct seam_clock *k);

/**
 * struct seam_task_ctx - dependencies shared by the buckets of a node
 * @node: name of the node, with its incarnation
 * @clock: clock
 * @store: store
 * @owner: bucket ownership
 * @conf: current configuration
 * @fleet: VMs with their pools
 * @workers: links to workers
 * @placer: placement policy
 * @sizes: learned sizes
 * @order: scheduling policy between teams
 * @limit: limiter of running tasks; NULL for no limit
 * @lease: lease of a task, microseconds
 * @skew: maximum clock skew, microseconds
 * @hint: notifies the owner of a bucket that another node changed its row; the
 *        hint may be lost; NULL sends none
 * @hint_arg: passed to @hint
 *
 * The caller sets all members before seam_tasks_new() and owns the objects that
 * they point to.
 */
struct seam_task_ctx {
	char node[96];
	struct seam_clock *clock;
	struct seam_store *store;
	struct seam_owner *owner;
	struct seam_conf_cell *conf;
	struct seam_fleet *fleet;
	struct seam_workers *workers;
	struct seam_placer *placer;
	struct seam_sizes *sizes;
	struct seam_task_order *order;
	struct seam_task_limit *limit;
	seam_time lease;
	seam_time skew;
	void (*hint)(void *arg, const char *key);
	void *hint_arg;
};

struct seam_tasks;
struct seam_bucket;

/** seam_tasks_new() - create the buckets of a node; @c is copied */
struct seam_tasks *seam_tasks_new(const struct seam_task_ctx *c);

/** seam_tasks_free() - free all buckets; running tasks continue */
void seam_tasks_free(struct seam_tasks *ts);

/**
 * seam_tasks_pass() - one scheduling pass over all buckets of this node
 *
 * Updates the placement from the fleet, finds changed buckets by hints, marks
 * and scans, starts tasks of all owned buckets in the order of the scheduling
 * policy and commits each changed bucket.
 *
 * Return: time of the next pass.
 */
seam_time seam_tasks_pass(struct seam_tasks *ts, seam_time now);

/**
 * seam_bucket_pass() - one scheduling pass over a single bucket
 *
 * Takes over the row if needed, applies reports, new tasks, cancellations,
 * expired leases and starts, writes the changes in one commit and then sends
 * the resulting commands.
 *
 * Return: time of the next pass.
 */
seam_time seam_bucket_pass(struct seam_bucket *b, seam_time now);

/**
 * seam_tasks_hint() - receive a hint that another node changed bucket row @key
 *
 * May be called by any thread. The next pass reads the row if this node owns
 * the bucket.
 */
void seam_tasks_hint(struct seam_tasks *ts, const char *key);

/** seam_bucket_get() - bucket of a row key, created if absent; NULL if bad */
struct seam_bucket *seam_bucket_get(struct seam_tasks *ts, const char *key);

/** seam_bucket_key() - bucket row key of a full task id; -1 if malformed */
int seam_bucket_key(const char *task, char key[SEAM_KEY_MAX]);

/**
 * struct seam_task_spec - a task as submitted by a caller
 * @team: team that the task is accounted to
 * @queue: queue, an object of the current configuration
 * @idem_key: caller's Idempotency-Key, or NULL
 * @kind: kind
 * @group: group or ""
 * @payload: JSON text or NULL
 * @need: declared size
 * @urgent: scheduled before all tasks that are not urgent
 * @idempotent: may run more than once
 * @finish_by: deadline, or SEAM_NEVER
 */
struct seam_task_spec {
	const char *team;
	const struct seam_queue *queue;
	const char *idem_key;
	const char *kind;
	const char *group;
	const char *payload;
	struct seam_need need;
	bool urgent;
	bool idempotent;
	seam_time finish_by;
};

/**
 * seam_tasks_submit() - accept a task; returns after its commit
 * @ts: tasks
 * @a: the task
 * @id: receives its full id
 * @deadline: end of the wait
 * @e: SEAM_CONFLICT if the key was used with another request, SEAM_BUSY if the
 *     bucket is full, SEAM_UNAVAILABLE, SEAM_COMMIT_UNKNOWN
 *
 * If this node owns the bucket and runs passes, the next pass commits the task.
 * Otherwise this function writes the bucket row by compare-and-set and sends a
 * hint to the owner. A task whose hint is lost is found by a mark in the same
 * commit (urgent tasks, new buckets), or when the owner next reads its row.
 */
int seam_tasks_submit(struct seam_tasks *ts, const struct seam_task_spec *a,
		      char id[SEAM_TASK_ID_SIZE], seam_time deadline,
		      struct seam_err *e);

/**
 * seam_tasks_cancel() - cancel a task; returns after the commit
 *
 * A queued task is cancelled at once; a running one changes to stopping.
 */
int seam_tasks_cancel(struct seam_tasks *ts, const char *id, seam_time deadline,
		      struct seam_err *e);

/**
 * seam_tasks_get() - read a task from its row
 *
 * Return: JSON object, or NULL with SEAM_NOT_FOUND or SEAM_UNAVAILABLE.
 */
struct json_object *seam_tasks_get(struct seam_tasks *ts, const char *id,
				   seam_time deadline, struct seam_err *e);

#define SEAM_TASK_LIST_MAX 100 /* tasks per page */

/**
 * struct seam_task_list_query - query for a page of tasks
 * @queue: queue
 * @teams: teams whose tasks are listed, sorted by name
 * @n_teams: number of @teams
 * @state: enum seam_task_state, or -1 for all
 * @limit: maximum number of tasks on the page
 * @after: token of the preceding page, "" for the first one
 */
struct seam_task_list_query {
	const char *queue;
	const char *const *teams;
	size_t n_teams;
	int state;
	int limit;
	char after[SEAM_TASK_ID_SIZE];
};

/**
 * seam_task_list_query_parse() - parse a query string: state, limit (default
 * 50), after
 *
 * Return: -1 with SEAM_BAD_REQUEST for an invalid value or an unknown
 * parameter.
 */
int seam_task_list_query_parse(const char *query,
			       struct seam_task_list_query *a,
			       struct seam_err *e);

/**
 * seam_tasks_list() - read a page of the tasks of a queue from their rows
 *
 * At most 16 rows are read, so a page can hold fewer tasks than its limit, or
 * none, and still not be the last one.
 *
 * Return: JSON object with "tasks" and, except on the last page, "next"; NULL
 * with SEAM_BAD_REQUEST for an invalid token or SEAM_UNAVAILABLE.
 */
struct json_object *seam_tasks_list(struct seam_tasks *ts,
				    const struct seam_task_list_query *query,
				    seam_time deadline, struct seam_err *e);

/**
 * seam_tasks_explain() - explain to operators why a task waits
 *
 * Return: the task as in seam_tasks_get(), with whether this node owns its
 * bucket, its team's rank and excess over its share, and, if the bucket is
 * held here, the size for which the last pass found no worker.
 */
struct json_object *seam_tasks_explain(struct seam_tasks *ts, const char *id,
				       seam_time deadline, struct seam_err *e);

/**
 * seam_tasks_set_wake() - set the callback that wakes the loop of passes
 * @ts: tasks
 * @wake: called when a pass has work to do; until it is set, tasks are
 *        submitted and cancelled by compare-and-set of the row only
 * @arg: passed to @wake
 */
void seam_tasks_set_wake(struct seam_tasks *ts, void (*wake)(void *arg),
			 void *arg);

/**
 * seam_tasks_workers() - workers with their committed resources
 *
 * Return: JSON array, released by the caller with json_object_put().
 */
struct json_object *seam_tasks_workers(struct seam_tasks *ts);

#ifdef __cplusplus
}
#endif
#endif
