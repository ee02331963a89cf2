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

#define SEAM_POOL_MEMBERS_MAX 1500 /* keeps a row under SEAM_ROW_BYTES_MAX */
#define SEAM_MAINTAIN_PERIOD (28LL * 86400 * SEAM_SEC)
#define SEAM_DRAIN_SERVICE (60LL * SEAM_SEC)
#define SEAM_DRAIN_TASKS (600LL * SEAM_SEC)
#define SEAM_REBOOT_LIMIT (900LL * SEAM_SEC)

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
 * @to: pool that it moves to, or ""
 * @state: enum seam_member_state
 * @why: enum seam_member_why
 * @until: deadline of the state; SEAM_NEVER for none
 * @drain_from: earliest time at which an idle report ends a drain: every node
 *              has stopped to send new work by then
 * @maintain_by: it must be rebooted by this time
 * @maintained: time of the latest reboot that was seen, or of its adoption
 * @boot: boot number; while rebooting, the one that must be exceeded
 * @out: operators took its data centre out; from the configuration, not stored
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
 * @n: their number
 * @forecast: expected demand; the row has @forecast.want only, the rest is in
 *            pool-forecast/NAME and known to the owner
 * @saved_at: time of the latest write
 * @note: the latest decision on the size, for operators
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

/** seam_pool_row_copy() - copy with members of its own; -1 without memory */
int seam_pool_row_copy(struct seam_pool_row *to,
		       const struct seam_pool_row *from);

/** seam_pool_row_free() - free the members */
void seam_pool_row_free(struct seam_pool_row *r);

/** seam_pool_row_write() - JSON text; free it with free() */
char *seam_pool_row_write(const struct seam_pool_row *r);

/** seam_pool_row_read() - read JSON text; SEAM_BAD_CONFIG names the fault */
int seam_pool_row_read(const char *text, struct seam_pool_row *r,
		       struct seam_err *e);

/** seam_pool_forecast_write() - row pool-forecast/NAME; free it with free() */
char *seam_pool_forecast_write(const struct seam_forecast *f);

/** seam_pool_forecast_read() - read JSON text */
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
 * struct seam_pool_tally - members by availability
 * @active: active and in a data centre that is in
 * @unavailable: all others
 * @planned: unavailable through maintenance or a move out of the pool
 * @out: in a data centre that is out
 */
struct seam_pool_tally {
	int64_t active;
	int64_t unavailable;
	int64_t planned;
	int64_t out;
};

/** seam_pool_count() - count the members */
struct seam_pool_tally seam_pool_count(const struct seam_pool_row *r);

enum seam_order { SEAM_ORDER_NONE, SEAM_ORDER_START, SEAM_ORDER_HALT };

/**
 * struct seam_wave_order - content of the row wave/POOL
 * @order: enum seam_order
 * @started: members not maintained since then are due at once; 0 for none
 * @given: time of the order
 * @reason: why
 * @operator_name: who
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

/** seam_wave_read() - read JSON text */
int seam_wave_read(const char *text, struct seam_wave_order *w,
		   struct seam_err *e);

/** enum seam_refusal - why a planned action on a member does not begin */
enum seam_refusal {
	SEAM_MAY_BEGIN,
	SEAM_NO_LIST,
	SEAM_NOT_ACTIVE,
	SEAM_NOT_DUE,
	SEAM_HALTED,
	SEAM_DC_IS_OUT,
	SEAM_NO_BUDGET,
	SEAM_AT_MIN,
	SEAM_OTHER_RACK,
	SEAM_OTHER_DC
};

/** seam_refusal_text() - one sentence for operators */
const char *seam_refusal_text(enum seam_refusal r);

/**
 * struct seam_pool_rules - what binds planned work on a pool
 * @min: least active members
 * @budget: most members that are not active
 * @list_ok: the VM list is recent enough
 */
struct seam_pool_rules {
	int64_t min;
	int64_t budget;
	bool list_ok;
};

/** seam_pool_may_take() - whether one more active member may be taken out */
enum seam_refusal seam_pool_may_take(const struct seam_pool_row *r,
				     const struct seam_pool_vm *m,
				     const struct seam_pool_rules *rules);

/** seam_wave_may_begin() - whether maintenance of @m may begin now */
enum seam_refusal seam_wave_may_begin(const struct seam_pool_row *r,
				      const struct seam_pool_vm *m,
				      const struct seam_pool_rules *rules,
				      const struct seam_wave_order *w,
				      seam_time now);

/** seam_wave_next() - the member to maintain next, or NULL */
struct seam_pool_vm *seam_wave_next(const struct seam_pool_row *r,
				    const struct seam_pool_rules *rules,
				    const struct seam_wave_order *w,
				    seam_time now);

/**
 * seam_wave_due() - when maintenance of a member of a pool of @n may begin
 *
 * Early enough that @n members, one after the other, end by their deadlines.
 */
seam_time seam_wave_due(const struct seam_pool_vm *m, size_t n);

/** seam_wave_must_stop() - drains of planned work must be undone */
bool seam_wave_must_stop(const struct seam_pool_row *r,
			 const struct seam_pool_rules *rules);

/** seam_member_drain() - begin planned work on @m */
void seam_member_drain(struct seam_pool_vm *m, int why, seam_time now,
		       seam_time limit);

/** seam_maintain_first() - first maintenance deadline of an adopted VM */
seam_time seam_maintain_first(const char *rack, seam_time now);

/**
 * struct seam_sight - what is known of a member's VM
 * @vm: entry of the VM list, or NULL if it is not in the list
 * @as_of: time of the list
 * @list_ok: the list is recent enough
 * @lag: lag of the list, microseconds
 * @idle: no work runs on it
 */
struct seam_sight {
	const struct seam_vm *vm;
	seam_time as_of;
	bool list_ok;
	seam_time lag;
	bool idle;
};

/** enum seam_step - what a step did to a member */
enum seam_step { SEAM_STEP_NONE, SEAM_STEP_CHANGED, SEAM_STEP_REMOVE };

/** seam_member_step() - next state of @m, which it changes */
enum seam_step seam_member_step(struct seam_pool_vm *m,
				const struct seam_sight *s, seam_time now);

struct seam_drain;

/**
 * struct seam_drain_ops - how running work on a VM ends
 * @begin: tell the target or worker to take no new work; repeated
 * @idle: no work runs on it
 * @end: it takes new work again after a drain that was undone; may be NULL
 */
struct seam_drain_ops {
	void (*begin)(struct seam_drain *d, const char *vm, seam_time deadline);
	bool (*idle)(struct seam_drain *d, const char *vm);
	void (*end)(struct seam_drain *d, const char *vm);
};

/** struct seam_drain - drain; the vtable is the first member */
struct seam_drain {
	const struct seam_drain_ops *ops;
};

/**
 * struct seam_pools_env - what the pools of a process work with
 * @clock: clock
 * @store: store
 * @platform: VM list and reboots
 * @conf: configuration
 * @owner: ownership of pools
 * @drain: for VMs of service and spare pools; NULL never reports idle, so that
 *         the deadline ends a drain
 * @drain_tasks: the same for VMs of task pools
 * @demand: reported demand; NULL keeps sizes
 * @size: sizing policy; NULL keeps sizes
 * @fleet: receives VMs with pools and states; may be NULL
 * @tell: tell all other nodes that a row changed; NULL without others
 * @gaps: a number that has grown if @tell of another node may have been missed;
 *        NULL if nothing is told: then the index is read in each poll
 * @told_arg: passed to both
 * @vm_list_ms: age of the VM list up to which VMs are moved or maintained
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
	void (*tell)(void *arg, const char *key);
	uint64_t (*gaps)(void *arg, seam_time now);
	void *told_arg;
	int64_t vm_list_ms;
};

/** struct seam_pools - the pools that a process knows; locked inside */
struct seam_pools;

/** struct seam_pool - one of them; valid until seam_pools_free() */
struct seam_pool;

/** seam_pools_new() - pools of @env, copied; nothing is read yet */
struct seam_pools *seam_pools_new(const struct seam_pools_env *env);

/** seam_pools_drain_tasks() - set the drain of task pools; before any pass */
void seam_pools_drain_tasks(struct seam_pools *ps, struct seam_drain *d);

/**
 * seam_pools_names() - names of the pools known
 *
 * Return: a NULL-terminated array to be freed with g_strfreev().
 */
char **seam_pools_names(struct seam_pools *ps);

/** seam_pools_free() - free; the environment stays */
void seam_pools_free(struct seam_pools *ps);

/**
 * seam_pools_list() - read the VM list; the old one stays on an error
 *
 * A list that is older than the one held is dropped.
 */
int seam_pools_list(struct seam_pools *ps, seam_time now, struct seam_err *e);

/* Age of the index of versions while no hint was missed; see docs/pools.md. */
#define SEAM_POOL_INDEX_PERIOD (30 * SEAM_SEC)

/**
 * seam_pools_poll() - read the rows whose version changed
 *
 * These are the rows that other nodes gave a hint about. If a hint may have
 * been missed, a commit failed or SEAM_POOL_INDEX_PERIOD has passed, one scan
 * of the small rows pool-version/ tells which rows changed.
 */
int seam_pools_poll(struct seam_pools *ps, seam_time now, struct seam_err *e);

/** seam_pools_hint() - another node says that row @key changed; reads nothing
 */
void seam_pools_hint(struct seam_pools *ps, const char *key);

/** seam_pools_publish() - give the fleet VMs with their pools and states */
void seam_pools_publish(struct seam_pools *ps);

/** seam_pools_pass() - poll, then a pass for each pool that is owned */
seam_time seam_pools_pass(struct seam_pools *ps, seam_time now);

/**
 * seam_pool_damaged() - a row of the pool can't be read
 *
 * The row read before stays in force; its owner begins and commits nothing.
 * True on nodes that have tried to read the row: the owner, and all nodes if
 * the row was written together with the one that polls see.
 */
bool seam_pool_damaged(struct seam_pools *ps, const char *name);

/** seam_pools_get() - pool by name, made when the configuration has it */
struct seam_pool *seam_pools_get(struct seam_pools *ps, const char *name);

/**
 * seam_pool_pass() - one pass of a pool's owner
 *
 * At most one commit for the row and one for each VM that arrives. Effects
 * outside the store follow the commit that recorded them.
 *
 * Return: 0, or -1 if the store did not take a commit.
 */
int seam_pool_pass(struct seam_pool *p, seam_time now);

/** seam_pool_peek() - copy of the row as last read */
int seam_pool_peek(struct seam_pools *ps, const char *name,
		   struct seam_pool_row *out);

/** seam_pool_rules_of() - rules of a pool at @now; false if not configured */
bool seam_pool_rules_of(struct seam_pools *ps, const char *name, seam_time now,
			struct seam_pool_rules *out);

/**
 * seam_wave_give() - record an operators' order for a pool
 * @ps: pools
 * @pool: pool
 * @w: order with reason and operator; @w->version is the version seen, or
 *     SEAM_ANY_VERSION to take the current one
 * @now: time of the order
 * @e: SEAM_BAD_REQUEST without a reason, SEAM_CONFLICT if another order came
 *     first, SEAM_NOT_FOUND, SEAM_UNAVAILABLE, SEAM_COMMIT_UNKNOWN
 */
int seam_wave_give(struct seam_pools *ps, const char *pool,
		   struct seam_wave_order *w, seam_time now,
		   struct seam_err *e);

/** seam_wave_get() - current order of a pool; SEAM_ORDER_NONE if absent */
int seam_wave_get(struct seam_pools *ps, const char *pool,
		  struct seam_wave_order *w, seam_time now, struct seam_err *e);

struct seam_targets;

/**
 * struct seam_target_drain - drain of targets by this process's table of them
 * @drain: pass &d.drain to seam_pools_new()
 * @targets: targets
 * @all_current: every other node is heard and reads the rows; NULL without
 *               others
 * @arg: passed to it
 *
 * Every node reads the pool row and stops sending, so begin has nothing to
 * tell. Idle means that neither this node nor, as last told, another one has a
 * request on the target. A node that is not heard, or that has not read that
 * the target is draining, may have one; then the drain lasts to its deadline.
 */
struct seam_target_drain {
	struct seam_drain drain;
	struct seam_targets *targets;
	bool (*all_current)(void *arg);
	void *arg;
};

/** seam_target_drain_init() - drain over @ts; see the structure */
void seam_target_drain_init(struct seam_target_drain *d,
			    struct seam_targets *ts,
			    bool (*all_current)(void *arg), void *arg);

#ifdef __cplusplus
}
#endif
#endif
