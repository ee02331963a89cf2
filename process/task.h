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

#define SEAM_BUCKETS 16 /* buckets of one queue and team */
#define SEAM_BUCKET_TASKS 64
#define SEAM_TASK_FAILS 10 /* 5 failures and 4 crashes end no task */
#define SEAM_TASK_PAYLOAD_MAX 4096

/** enum seam_task_state - state of a task in its row */
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

/** enum seam_task_stop - why a task is stopping */
enum seam_task_stop {
	SEAM_STOP_NONE,
	SEAM_STOP_CANCEL,
	SEAM_STOP_PREEMPT, /* gives way to urgent work */
	SEAM_STOP_OVERUSE, /* moves to where it has room */
	SEAM_STOP_DC_OUT
};

/**
 * enum seam_fail_what - how an attempt ended early
 * @SEAM_FAIL_TASK: the worker said that it failed
 * @SEAM_FAIL_LOST: the worker was lost; this says nothing about the task
 * @SEAM_FAIL_CRASH: the worker was lost shortly after the start, for a cause of
 *                   its own
 */
enum seam_fail_what { SEAM_FAIL_TASK, SEAM_FAIL_LOST, SEAM_FAIL_CRASH };

/** struct seam_task_fail - an attempt that failed or lost its worker */
struct seam_task_fail {
	int what;
	char worker[64];
	char rack[64];
	seam_time at;
};

/**
 * struct seam_task - a task of a bucket
 * @id: last part of its id
 * @kind: kind, named by the caller; sizes are learned for (team, kind)
 * @group: tasks of one group are spread over racks; may be empty
 * @request: hash of the request that made it
 * @payload: JSON text for the worker, or NULL
 * @state: enum seam_task_state
 * @stop: enum seam_task_stop
 * @attempt: number of attempts so far
 * @worker: worker of the last attempt
 * @boot: boots of that worker at the start
 * @lease_until: end of the lease; in memory the last one sent, in the row the
 *               first one of the attempt
 * @start_by: the worker refuses the start after this time
 * @declared: size that the caller declared
 * @reserved: resources committed on @worker
 * @seen: greatest usage reported
 * @urgent: priority lane
 * @idempotent: may run more than once
 * @finish_by: when it should have ended, SEAM_NEVER if open
 * @submitted: when it was accepted
 * @started_at: start of the last attempt
 * @ended_at: when it ended
 * @fail: attempts that failed or lost their worker
 * @fails: their number
 * @reason: why it ended, or waits, in words
 *
 * The members below are not in the row:
 * @confirmed: the worker has stated that the attempt runs
 * @heard: the worker answered since the last renewal; only then the next one
 *         prolongs the lease, so that the lease of a lost worker ends
 * @heard_at: last statement of the worker that the attempt runs
 * @inherited: started by an earlier owner, which may still renew its lease
 * @launch: send the start command after the commit
 * @renew_at: next renewal
 * @ask_at: next stop, checkpoint or repeated start command
 * @usage_at: time of the last usage
 * @over_since: when usage passed @reserved, 0 if it has not
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
	struct seam_task_fail fail[SEAM_TASK_FAILS];
	int fails;
	char reason[160];
	bool confirmed;
	bool heard;
	seam_time heard_at;
	bool inherited;
	bool launch;
	seam_time renew_at;
	seam_time ask_at;
	seam_time usage_at;
	seam_time over_since;
};

/** seam_task_ended() - the state is final */
bool seam_task_ended(const struct seam_task *t);

/** seam_task_state_name() - "queued", "running", ... */
const char *seam_task_state_name(int state);

/** seam_task_state_of() - state by its name, -1 if unknown */
int seam_task_state_of(const char *name);

struct seam_task_order;

/**
 * struct seam_task_load - tasks of a team in a queue, or a part of it
 * @team: team
 * @queue: queue
 * @running: reserved by running tasks
 * @waiting: declared by waiting tasks
 * @first: declared by the first waiting task
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

/** struct seam_task_room - size of all usable workers of a pool */
struct seam_task_room {
	char pool[64];
	struct seam_need all;
};

/**
 * struct seam_task_over - lent resources to take back
 * @team: team furthest over its share for its weight
 * @workspace: workspace furthest over its part of its team's share, in place of
 *             a team; SEAM_NONE for @team
 * @used: dominant share of the pool that it has
 * @amount: dominant share to take back from it, in all
 * @want: a waiting task of the team or workspace furthest under its share
 * @want_part: dominant share of @want
 */
struct seam_task_over {
	char team[64];
	struct seam_handle workspace;
	double used;
	double amount;
	struct seam_need want;
	double want_part;
};

/**
 * struct seam_task_order_ops - order between teams
 * @rank: place in the order of a team; the least starts first
 * @inner: place of a queue among those of its team; may be NULL
 * @lent: how far the team is over its share, 0 if it is not
 * @running: the team's running resources changed by @by (may be negative)
 * @loads: the loads of the whole fleet; replaces what is known; may be NULL
 * @yields: whether the team lets others start first that are under their
 *          share and have less for their weight; NULL with @loads
 * @over: from whom to take back in a pool; false if nobody; NULL with @loads
 * @holds: whether the tasks of a queue are among those to take back
 * @free: free it
 */
struct seam_task_order_ops {
	double (*rank)(struct seam_task_order *o, const char *team,
		       const char *queue, seam_time now);
	double (*inner)(struct seam_task_order *o, const char *team,
			const char *queue);
	double (*lent)(struct seam_task_order *o, const char *team,
		       const char *queue, seam_time now);
	void (*running)(struct seam_task_order *o, const char *team,
			const char *queue, const struct seam_need *by);
	void (*loads)(struct seam_task_order *o,
		      const struct seam_task_room *room, size_t rooms,
		      const struct seam_task_load *load, size_t n);
	bool (*yields)(struct seam_task_order *o, const char *team,
		       const char *queue);
	bool (*over)(struct seam_task_order *o, const char *pool,
		     struct seam_task_over *out);
	bool (*holds)(struct seam_task_order *o,
		      const struct seam_task_over *over, const char *team,
		      const char *queue);
	void (*free)(struct seam_task_order *o);
};

/** struct seam_task_order - the order; the vtable is the first member */
struct seam_task_order {
	const struct seam_task_order_ops *ops;
};

/** seam_task_order_weighted() - running processors divided by the share */
struct seam_task_order *seam_task_order_weighted(struct seam_conf_cell *conf);

/**
 * seam_task_order_fair() - dominant resource fairness in each pool
 *
 * Between teams, then between the workspaces of a team, by the loads of the
 * whole fleet; see struct seam_share.
 */
struct seam_task_order *seam_task_order_fair(struct seam_conf_cell *conf);

struct seam_task_limit;

/**
 * struct seam_task_limit_ops - units of a team's upper limit
 * @write: called for a commit after which @units tasks of the team run in
 *         bucket @key; fills @w if the team row must change with it, else
 *         leaves @w->key NULL; SEAM_OVER_LIMIT refuses the start. The content
 *         of @w stays valid until @done.
 * @done: outcome of that commit
 * @free: free it
 */
struct seam_task_limit_ops {
	int (*write)(struct seam_task_limit *l, const char *team,
		     const char *key, int units, seam_time now,
		     struct seam_write *w, struct seam_err *e);
	void (*done)(struct seam_task_limit *l, const char *team,
		     const char *key, bool applied, uint64_t version);
	void (*free)(struct seam_task_limit *l);
};

/** struct seam_task_limit - limits; the vtable is the first member */
struct seam_task_limit {
	const struct seam_task_limit_ops *ops;
};

/**
 * seam_task_limit_teams() - grants of buckets in the rows of teams
 *
 * The row of a team changes in the commit of the bucket, so that the grants
 * and the running tasks agree at every version. A few units stay granted
 * unused, which saves a write for most starts and ends.
 */
struct seam_task_limit *seam_task_limit_teams(struct seam_store *s,
					      struct seam_conf_cell *conf);

/**
 * seam_task_limit_tell() - tell holders of units of a bucket's recorded want
 * @base: made by seam_task_limit_teams()
 * @fn: called by the thread of the pass
 * @arg: passed to it
 */
void seam_task_limit_tell(struct seam_task_limit *base, seam_team_tell_fn fn,
			  void *arg);

/**
 * struct seam_task_drain - drain of workers by what their rows have committed
 * @drain: the vtable; first member
 * @store: store
 * @clock: clock
 */
struct seam_task_drain {
	struct seam_drain drain;
	struct seam_store *store;
	struct seam_clock *clock;
};

/** seam_task_drain_init() - drain over the rows of the workers */
void seam_task_drain_init(struct seam_task_drain *d, struct seam_store *s,
			  struct seam_clock *k);

/**
 * struct seam_task_ctx - what the buckets of a node share
 * @node: name of the node, with its incarnation
 * @clock: clock
 * @store: store
 * @owner: ownership
 * @conf: current configuration
 * @fleet: VMs with their pools
 * @workers: links to workers
 * @placer: placement
 * @sizes: learned sizes
 * @order: order between teams
 * @limit: limits; NULL is none
 * @lease: lease of a task, microseconds
 * @skew: greatest difference between clocks, microseconds
 * @hint: tell the owner of a bucket that another node changed its row; may be
 *        lost; NULL tells nobody
 * @hint_arg: passed to @hint
 *
 * The caller fills in all members before seam_tasks_new() and owns
 * what they point to.
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

/** seam_tasks_new() - the buckets of a node; @c is copied */
struct seam_tasks *seam_tasks_new(const struct seam_task_ctx *c);

/** seam_tasks_free() - free all buckets; running tasks go on */
void seam_tasks_free(struct seam_tasks *ts);

/**
 * seam_tasks_pass() - one pass over the fleet and all buckets of this node
 *
 * Finds buckets by hints, marks and scans, updates the placement from the
 * fleet, and runs seam_bucket_pass() for each owned one, urgent ones first.
 *
 * Return: time of the next pass.
 */
seam_time seam_tasks_pass(struct seam_tasks *ts, seam_time now);

/**
 * seam_bucket_pass() - one pass over a bucket
 *
 * Takes over the row if needed, applies reports, new tasks, cancellations,
 * ended leases and starts, writes the changes in one commit and then sends the
 * commands that follow from it.
 *
 * Return: time of the next pass.
 */
seam_time seam_bucket_pass(struct seam_bucket *b, seam_time now);

/**
 * seam_tasks_hint() - another node changed the row @key of a bucket
 *
 * May be called by any thread; the next pass reads the row if this node owns
 * it.
 */
void seam_tasks_hint(struct seam_tasks *ts, const char *key);

/** seam_bucket_get() - bucket of a row key, made if absent; for tests */
struct seam_bucket *seam_bucket_get(struct seam_tasks *ts, const char *key);

/** seam_bucket_key() - row key of the bucket in a full task id; -1 if bad */
int seam_bucket_key(const char *task, char key[SEAM_KEY_MAX]);

/**
 * struct seam_task_ask - a task as submitted
 * @team: team that it counts for
 * @queue: queue, an object of @conf
 * @idem_key: caller's Idempotency-Key, or NULL
 * @kind: kind
 * @group: group or ""
 * @payload: JSON text or NULL
 * @need: declared size
 * @urgent: priority lane
 * @idempotent: may run more than once
 * @finish_by: when it should have ended, or SEAM_NEVER
 */
struct seam_task_ask {
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
 * seam_tasks_put() - accept a task; returns after its commit
 * @ts: tasks
 * @a: the task
 * @id: receives its full id
 * @deadline: end of the wait
 * @e: SEAM_CONFLICT if the key was used with another request, SEAM_BUSY if the
 *     bucket is full, SEAM_UNAVAILABLE, SEAM_COMMIT_UNKNOWN
 *
 * Writes the bucket row itself by compare-and-set, whether this node owns the
 * bucket or not, and tells the owner by a hint. A task whose hint is lost is
 * found by a mark in the same commit (urgent tasks, new buckets), or when the
 * owner reads its row again.
 */
int seam_tasks_put(struct seam_tasks *ts, const struct seam_task_ask *a,
		   char id[SEAM_TASK_ID], seam_time deadline,
		   struct seam_err *e);

/**
 * seam_tasks_cancel() - ask for the end of a task; returns after the commit
 *
 * A queued task is cancelled at once, a running one is marked as stopping.
 */
int seam_tasks_cancel(struct seam_tasks *ts, const char *id, seam_time deadline,
		      struct seam_err *e);

/**
 * seam_tasks_get() - a task from its row
 *
 * Return: JSON object, or NULL with SEAM_NOT_FOUND or SEAM_UNAVAILABLE.
 */
struct json_object *seam_tasks_get(struct seam_tasks *ts, const char *id,
				   seam_time deadline, struct seam_err *e);

#define SEAM_LIST_MAX 100 /* tasks on one page */

/**
 * struct seam_task_list - which tasks to list
 * @queue: queue
 * @teams: teams whose tasks are listed, in order of their names
 * @n_teams: their number
 * @state: enum seam_task_state, or -1 for all
 * @limit: most tasks on the page
 * @after: token of the page before, "" for the first one
 */
struct seam_task_list {
	const char *queue;
	const char *const *teams;
	size_t n_teams;
	int state;
	int limit;
	char after[SEAM_TASK_ID];
};

/**
 * seam_task_list_read() - members from a query: state, limit (50), after
 *
 * Return: -1 with SEAM_BAD_REQUEST for a wrong value or an unknown name.
 */
int seam_task_list_read(const char *query, struct seam_task_list *a,
			struct seam_err *e);

/**
 * seam_tasks_list() - a page of the tasks of a queue, from their rows
 *
 * At most 16 rows are read, so a page can hold fewer tasks than its limit, or
 * none, and still have a next one.
 *
 * Return: JSON object with "tasks" and, unless it is the last page, "next";
 * NULL with SEAM_BAD_REQUEST for a bad token or SEAM_UNAVAILABLE.
 */
struct json_object *seam_tasks_list(struct seam_tasks *ts,
				    const struct seam_task_list *ask,
				    seam_time deadline, struct seam_err *e);

/**
 * seam_tasks_explain() - why a task waits, for operators
 *
 * The task as in seam_tasks_get(), with its team's rank and whether it is over
 * its share, the least size that found no room, and workers in quarantine.
 */
struct json_object *seam_tasks_explain(struct seam_tasks *ts, const char *id,
				       seam_time deadline, struct seam_err *e);

/**
 * seam_tasks_wake() - passes now run in a loop
 * @wake: called when a pass has something to do; until it is set, tasks are
 *        put and cancelled by compare-and-set of the row only
 */
void seam_tasks_wake(struct seam_tasks *ts, void (*wake)(void *arg), void *arg);

/** seam_tasks_workers() - workers as placed on; JSON array, caller puts it */
struct json_object *seam_tasks_workers(struct seam_tasks *ts);

#ifdef __cplusplus
}
#endif
#endif
