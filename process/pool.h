#ifndef SEAM_POOL_H
#define SEAM_POOL_H

#include "process/demand.h"
#include "process/fleet.h"
#include "process/forecast.h"
#include "process/owner.h"
#include "process/platform.h"
#include "process/store.h"
#include "version/conf.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Keeps a row under SEAM_ROW_BYTES_MAX. */
#define SEAM_POOL_MEMBERS_MAX 1500
#define SEAM_MAINTENANCE_PERIOD (28LL * 86400 * SEAM_SEC)
#define SEAM_SERVICE_DRAIN_TIMEOUT (60LL * SEAM_SEC)
#define SEAM_TASK_DRAIN_TIMEOUT (600LL * SEAM_SEC)
#define SEAM_REBOOT_TIMEOUT (900LL * SEAM_SEC)

/** enum seam_member_why - why a member is not active */
enum seam_member_why {
	SEAM_WHY_NONE,
	SEAM_WHY_MAINTENANCE,
	SEAM_WHY_MOVE,
	SEAM_WHY_FAILED,
	SEAM_WHY_LEAVING
};

/**
 * struct seam_pool_vm - a VM in its pool
 * @vm: id of the VM
 * @rack: rack
 * @dc: data centre
 * @to: destination pool of a move, or ""
 * @state: enum seam_member_state
 * @why: enum seam_member_why
 * @until: deadline of the state; SEAM_NEVER for none
 * @drain_from: earliest time at which an idle report ends a drain: every node
 *              has stopped sending new work by then
 * @maintain_by: deadline of the next maintenance reboot
 * @maintained: time of the latest observed reboot, or of the adoption
 * @boot: boot number; while rebooting, the number that must be exceeded
 * @out: its data centre is out; from the configuration, not stored
 */
struct seam_pool_vm {
	char vm[64];
	char rack[64];
	char dc[64];
	char to[64];
	int state;
	int why;
	seam_time until;
	seam_time drain_from;
	seam_time maintain_by;
	seam_time maintained;
	int64_t boot;
	bool out;
};

/**
 * struct seam_pool_row - content of the row pool/NAME
 * @name: pool
 * @member: members, sorted by VM
 * @n: number of members
 * @forecast: expected demand; the row stores @forecast.want only, the other
 *            fields are in pool-forecast/NAME, which only the owner reads
 * @saved_at: time of the latest write
 * @note: latest sizing decision, for operators
 * @version: version of the row; SEAM_ABSENT before the first write
 */
struct seam_pool_row {
	char name[64];
	struct seam_pool_vm *member;
	size_t n;
	struct seam_forecast forecast;
	seam_time saved_at;
	char note[160];
	uint64_t version;
};

/** seam_pool_row_copy() - deep copy; -1 if out of memory */
int seam_pool_row_copy(struct seam_pool_row *to,
		       const struct seam_pool_row *from);

/** seam_pool_row_free() - free the members */
void seam_pool_row_free(struct seam_pool_row *r);

/** seam_pool_row_write() - JSON text; free it with free() */
char *seam_pool_row_write(const struct seam_pool_row *r);

/** seam_pool_row_read() - parse JSON text; SEAM_BAD_CONFIG if it is invalid */
int seam_pool_row_read(const char *text, struct seam_pool_row *r,
		       struct seam_err *e);

/** seam_pool_forecast_write() - row pool-forecast/NAME; free it with free() */
char *seam_pool_forecast_write(const struct seam_forecast *f);

/** seam_pool_forecast_read() - parse JSON text */
int seam_pool_forecast_read(const char *text, struct seam_forecast *f,
			    struct seam_err *e);

/** seam_pool_member() - member by VM, or NULL */
struct seam_pool_vm *seam_pool_member(const struct seam_pool_row *r,
				      const char *vm);

/** seam_pool_add() - insert a member; NULL if full or out of memory */
struct seam_pool_vm *seam_pool_add(struct seam_pool_row *r,
				   const struct seam_pool_vm *m);

/** seam_pool_remove() - remove a member */
void seam_pool_remove(struct seam_pool_row *r, const char *vm);

/** seam_member_state_name() - "active", ... */
const char *seam_member_state_name(int state);

/** seam_member_why_name() - "none", "maintenance", ... */
const char *seam_member_why_name(int why);

/**
 * struct seam_pool_counts - members by availability
 * @active: active, in a data centre that is not out
 * @unavailable: all others
 * @planned: unavailable because of maintenance or a move out of the pool
 * @out: in a data centre that is out
 */
struct seam_pool_counts {
	int64_t active;
	int64_t unavailable;
	int64_t planned;
	int64_t out;
};

/** seam_pool_count() - count the members by availability */
struct seam_pool_counts seam_pool_count(const struct seam_pool_row *r);

enum seam_wave_command {
	SEAM_WAVE_ORDER_NONE,
	SEAM_WAVE_ORDER_START,
	SEAM_WAVE_ORDER_HALT
};

/**
 * struct seam_wave_order - content of the row wave/POOL
 * @order: enum seam_wave_command
 * @started: time of the latest start order; members whose latest maintenance is
 *           older are due at once; 0 for none
 * @given: time of the order
 * @reason: reason given by the operator
 * @operator_name: operator who gave the order
 * @version: version of the row
 */
struct seam_wave_order {
	int order;
	seam_time started;
	seam_time given;
	char reason[200];
	char operator_name[64];
	uint64_t version;
};

/** seam_wave_write() - JSON text; free it with free() */
char *seam_wave_write(const struct seam_wave_order *w);

/** seam_wave_read() - parse JSON text */
int seam_wave_read(const char *text, struct seam_wave_order *w,
		   struct seam_err *e);

/** enum seam_wave_refusal - why planned work on a member is refused */
enum seam_wave_refusal {
	SEAM_MAY_BEGIN,
	SEAM_STALE_LIST,
	SEAM_NOT_ACTIVE,
	SEAM_NOT_DUE,
	SEAM_HALTED,
	SEAM_DC_IS_OUT,
	SEAM_NO_BUDGET,
	SEAM_AT_MIN,
	SEAM_OTHER_RACK,
	SEAM_OTHER_DC
};

/** seam_wave_refusal_text() - one sentence for operators */
const char *seam_wave_refusal_text(enum seam_wave_refusal r);

/**
 * struct seam_pool_rules - limits on planned work in a pool
 * @min: minimum number of active members
 * @budget: maximum number of members that are not active
 * @list_ok: the VM list is recent enough
 */
struct seam_pool_rules {
	int64_t min;
	int64_t budget;
	bool list_ok;
};

/** seam_pool_may_drain() - whether @m may be drained within the rules */
enum seam_wave_refusal seam_pool_may_drain(const struct seam_pool_row *r,
					   const struct seam_pool_vm *m,
					   const struct seam_pool_rules *rules);

/** seam_wave_may_begin() - whether maintenance of @m may begin now */
enum seam_wave_refusal seam_wave_may_begin(const struct seam_pool_row *r,
					   const struct seam_pool_vm *m,
					   const struct seam_pool_rules *rules,
					   const struct seam_wave_order *w,
					   seam_time now);

/** seam_wave_next() - next member to maintain, or NULL */
struct seam_pool_vm *seam_wave_next(const struct seam_pool_row *r,
				    const struct seam_pool_rules *rules,
				    const struct seam_wave_order *w,
				    seam_time now);

/**
 * seam_wave_due() - earliest start of maintenance of a member, pool of @n
 *
 * Early enough that @n members, maintained one after another, meet their
 * deadlines.
 */
seam_time seam_wave_due(const struct seam_pool_vm *m, size_t n);

/** seam_wave_must_stop() - whether planned drains must be cancelled */
bool seam_wave_must_stop(const struct seam_pool_row *r,
			 const struct seam_pool_rules *rules);

/** seam_member_drain() - start draining @m for planned work */
void seam_member_drain(struct seam_pool_vm *m, int why, seam_time now,
		       seam_time limit);

/** seam_first_maintenance() - first maintenance deadline of an adopted VM */
seam_time seam_first_maintenance(const char *rack, seam_time now);

/**
 * struct seam_vm_observation - observed state of a member's VM
 * @vm: entry of the VM list, or NULL if it is not in the list
 * @as_of: time of the list
 * @list_ok: the list is recent enough
 * @lag: lag of the list, microseconds
 * @idle: no work runs on the VM
 */
struct seam_vm_observation {
	const struct seam_vm *vm;
	seam_time as_of;
	bool list_ok;
	seam_time lag;
	bool idle;
};

/** enum seam_step_result - result of a state transition of a member */
enum seam_step_result { SEAM_STEP_NONE, SEAM_STEP_CHANGED, SEAM_STEP_REMOVE };

/** seam_member_step() - update @m to its next state */
enum seam_step_result seam_member_step(struct seam_pool_vm *m,
				       const struct seam_vm_observation *s,
				       seam_time now);

struct seam_drain;

/**
 * struct seam_drain_ops - operations of a drain
 * @begin: make the target or worker refuse new work; called repeatedly
 * @idle: whether no work runs on the VM
 * @end: accept new work again after a cancelled drain; may be NULL
 */
struct seam_drain_ops {
	void (*begin)(struct seam_drain *d, const char *vm, seam_time deadline);
	bool (*idle)(struct seam_drain *d, const char *vm);
	void (*end)(struct seam_drain *d, const char *vm);
};

/** struct seam_drain - base of drains; the vtable is the first member */
struct seam_drain {
	const struct seam_drain_ops *ops;
};

/**
 * struct seam_pools_env - dependencies of the pools of a process
 * @clock: clock
 * @store: store
 * @platform: VM list and reboots
 * @conf: configuration
 * @owner: ownership of pools
 * @drain: drain of VMs of service and spare pools; with NULL, idle is never
 *         reported and drains last until their deadlines
 * @drain_tasks: drain of VMs of task pools, likewise
 * @demand: reported demand; NULL disables resizing
 * @size: sizing policy; NULL disables resizing
 * @fleet: receives VMs with pools and states; may be NULL
 * @send_hint: sends a hint about a changed row to all other nodes; NULL without
 *        other nodes
 * @hint_gaps: returns a counter that increases when a hint from another node
 * may have been missed; NULL without hints: each poll then reads the index
 * @hint_context: argument of @send_hint and @hint_gaps
 * @vm_list_ms: maximum age of the VM list for moves and maintenance
 */
struct seam_pools_env {
	struct seam_clock *clock;
	struct seam_store *store;
	struct seam_platform *platform;
	struct seam_conf_cell *conf;
	struct seam_owner *owner;
	struct seam_drain *drain;
	struct seam_drain *drain_tasks;
	struct seam_demand *demand;
	const struct seam_size_policy *size;
	struct seam_fleet *fleet;
	void (*send_hint)(void *arg, const char *key);
	uint64_t (*hint_gaps)(void *arg, seam_time now);
	void *hint_context;
	int64_t vm_list_ms;
};

/** struct seam_pools - all pools, as read by one process; has its own lock */
struct seam_pools;

/** struct seam_pool - a pool; valid until seam_pools_free() */
struct seam_pool;

/** seam_pools_new() - create; copies @env and reads nothing yet */
struct seam_pools *seam_pools_new(const struct seam_pools_env *env);

/**
 * seam_pools_set_task_drain() - set the drain that is used for task pools
 * @ps: pools
 * @d: drain; has to stay valid as long as @ps
 *
 * Not locked: call this before the first pass over a pool.
 */
void seam_pools_set_task_drain(struct seam_pools *ps, struct seam_drain *d);

/**
 * seam_pools_names() - names of the pools known
 *
 * Return: a NULL-terminated array to be freed with g_strfreev().
 */
char **seam_pools_names(struct seam_pools *ps);

/** seam_pools_free() - free; the objects in the environment are kept */
void seam_pools_free(struct seam_pools *ps);

/**
 * seam_pools_read_vm_list() - read the VM list; keep the previous list on an
 * error
 *
 * A list that is older than the current one is discarded.
 */
int seam_pools_read_vm_list(struct seam_pools *ps, seam_time now,
			    struct seam_err *e);

/*
 * Maximum age of the index of versions while no hint was missed; see
 * docs/pools.md.
 */
#define SEAM_POOL_INDEX_PERIOD (30 * SEAM_SEC)

/**
 * seam_pools_poll() - read the rows whose version changed
 *
 * Other nodes send hints about these rows. If a hint may have been missed, a
 * commit failed or SEAM_POOL_INDEX_PERIOD has passed, one scan of the small
 * rows under pool-version/ finds the changed rows.
 */
int seam_pools_poll(struct seam_pools *ps, seam_time now, struct seam_err *e);

/** seam_pools_hint() - record a hint that row @key changed; reads nothing */
void seam_pools_hint(struct seam_pools *ps, const char *key);

/** seam_pools_publish() - update the fleet's VMs, pools and states */
void seam_pools_publish(struct seam_pools *ps);

/** seam_pools_pass() - poll, then run a pass over each owned pool */
seam_time seam_pools_pass(struct seam_pools *ps, seam_time now);

/**
 * seam_pool_damaged() - whether a row of the pool can't be read
 *
 * The last valid row stays in effect; the owner starts and commits nothing.
 * The result is true only on nodes that have tried to read the row: the owner,
 * and all nodes if the row was written together with its row under
 * pool-version/.
 */
bool seam_pool_damaged(struct seam_pools *ps, const char *name);

/** seam_pools_get_or_add() - pool by name, created if it is missing */
struct seam_pool *seam_pools_get_or_add(struct seam_pools *ps,
					const char *name);

/**
 * seam_pool_pass() - run one pass over a pool as its owner
 *
 * Makes at most one commit for the row and one for each VM that arrives.
 * Effects outside the store follow the commit that recorded them.
 *
 * Return: 0, or -1 if a commit failed.
 */
int seam_pool_pass(struct seam_pool *p, seam_time now);

/** seam_pool_get_row() - copy the row as last read */
int seam_pool_get_row(struct seam_pools *ps, const char *name,
		      struct seam_pool_row *out);

/** seam_pool_get_rules() - rules at @now; false if pool is not configured */
bool seam_pool_get_rules(struct seam_pools *ps, const char *name, seam_time now,
			 struct seam_pool_rules *out);

/**
 * seam_wave_set_order() - record an operator's order for a pool
 * @ps: pools
 * @pool: pool
 * @w: order with reason and operator; @w->version is the expected version of
 *     the row, or SEAM_ANY_VERSION for the current one
 * @now: time of the order
 * @e: SEAM_BAD_REQUEST without a reason, SEAM_CONFLICT after an intervening
 *     order, SEAM_NOT_FOUND, SEAM_UNAVAILABLE, SEAM_COMMIT_UNKNOWN
 */
int seam_wave_set_order(struct seam_pools *ps, const char *pool,
			struct seam_wave_order *w, seam_time now,
			struct seam_err *e);

/** seam_wave_get_order() - current order; SEAM_WAVE_ORDER_NONE if absent */
int seam_wave_get_order(struct seam_pools *ps, const char *pool,
			struct seam_wave_order *w, seam_time now,
			struct seam_err *e);

struct seam_targets;

/**
 * struct seam_target_drain - drain of the targets in the target table
 * @drain: base; pass &d.drain to seam_pools_new()
 * @targets: target table
 * @all_current: whether every other node is reachable and reads the rows; NULL
 *               without other nodes
 * @arg: argument of @all_current
 *
 * Every node reads the pool row and stops sending, so begin does nothing. Idle
 * means that this node has no outstanding request on the target and the other
 * nodes last reported none. An unreachable node, or one that has not yet read
 * that the target is draining, may have a request; then the drain lasts until
 * its deadline.
 */
struct seam_target_drain {
	struct seam_drain drain;
	struct seam_targets *targets;
	bool (*all_current)(void *arg);
	void *arg;
};

/** seam_target_drain_init() - initialise a drain of the targets in @ts */
void seam_target_drain_init(struct seam_target_drain *d,
			    struct seam_targets *ts,
			    bool (*all_current)(void *arg), void *arg);

#ifdef __cplusplus
}
#endif
#endif
