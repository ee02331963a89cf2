#ifndef SEAM_NODE_H
#define SEAM_NODE_H

#include "base/clock.h"
#include "base/err.h"
#include "connection/target.h"
#include "process/admit.h"
#include "process/fleet.h"
#include "process/http.h"
#include "process/fresh.h"
#include "process/owner.h"
#include "process/platform.h"
#include "process/settings.h"
#include "process/store.h"
#include "version/conf.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SEAM_PARTS_MAX 16

struct seam_part;
struct seam_members;
struct seam_versions;
struct seam_node;
struct seam_pools;
struct seam_demand;

/**
 * struct seam_part_ops - operations of a part of the daemon
 * @name: name of the part, as in log lines
 * @start: register routes and start threads; called before the node listens
 * @drain: accept no new work and wait until @deadline for running work; may be
 *         NULL
 * @stop: stop the threads and free the part
 */
struct seam_part_ops {
	const char *name;
	int (*start)(struct seam_part *p, struct seam_err *e);
	void (*drain)(struct seam_part *p, seam_time deadline);
	void (*stop)(struct seam_part *p);
};

/**
 * struct seam_part - component of the daemon, such as the inventory or tasks
 * @ops: vtable; first member
 */
struct seam_part {
	const struct seam_part_ops *ops;
};

/**
 * struct seam_node - one daemon: the state that its parts share
 * @clock: clock of all times
 * @settings: validated settings
 * @store: the platform's table service
 * @platform: VM list and reboots
 * @conf: current configuration
 * @fleet: VMs and their pools
 * @owner: ownership of shards; never NULL
 * @admit: admission by the teams' limits; NULL admits everything
 * @targets: targets and connections to them
 * @pools: pool rows as last read; created by the inventory part
 * @demand: demand for pools, reported by parts and by other nodes
 * @http: HTTP server for callers and operators
 * @members: other nodes; NULL until its part has started
 * @versions: adopts configuration versions; NULL until its part has started
 * @confirmed_at: latest time at which @conf was known to be the newest
 * @part: parts in the order in which they were started
 * @parts: number of parts
 */
struct seam_node {
	struct seam_clock *clock;
	struct seam_settings settings;
	struct seam_store *store;
	struct seam_platform *platform;
	struct seam_conf_cell conf;
	struct seam_fleet *fleet;
	struct seam_owner *owner;
	struct seam_admit *admit;
	struct seam_targets *targets;
	struct seam_pools *pools;
	struct seam_demand *demand;
	struct seam_http *http;
	struct seam_members *members;
	struct seam_versions *versions;
	seam_time confirmed_at;
	struct seam_part *part[SEAM_PARTS_MAX];
	int parts;
};

/**
 * seam_node_new() - create a node
 * @s: settings; copied
 * @k: clock of all times
 * @store: table service; not owned
 * @platform: VM list and reboots; not owned
 * @e: receives the error
 *
 * Return: the node, or NULL without memory.
 */
struct seam_node *seam_node_new(const struct seam_settings *s,
				struct seam_clock *k, struct seam_store *store,
				struct seam_platform *platform,
				struct seam_err *e);

/** seam_node_start() - start all parts, then the HTTP server */
int seam_node_start(struct seam_node *n, struct seam_err *e);

/**
 * seam_node_drain() - accept no new work and wait for running work
 *
 * Return: whether every running request ended before @deadline.
 */
bool seam_node_drain(struct seam_node *n, seam_time deadline);

/** seam_node_free() - stop the HTTP server and all parts, and free */
void seam_node_free(struct seam_node *n);

/** seam_node_confirm() - record that @n->conf was the newest version at @t */
void seam_node_confirm(struct seam_node *n, seam_time t);

/**
 * seam_node_confirmed() - latest time at which @n->conf was the newest version
 *
 * Read this time before the configuration. In the opposite order, an old
 * version could be used with the confirmation time of a newer one.
 */
seam_time seam_node_confirmed(struct seam_node *n);

/**
 * seam_node_check_fresh() - check that the configuration is recent enough now
 * @n: node
 * @class_: class of the action
 * @confirmed: from seam_node_confirmed()
 * @e: SEAM_STALE with the age and the bound
 *
 * Calls seam_fresh_check() with the bounds of the settings.
 */
int seam_node_check_fresh(struct seam_node *n, enum seam_fresh_class class_,
			  seam_time confirmed, struct seam_err *e);

/**
 * seam_node_hint_team() - send a hint to read the row of a team
 * @arg: struct seam_node
 * @team: name of the team
 * @holder: holder in the row whose node is notified; NULL notifies the owner of
 *          the row
 *
 * A seam_team_notify_fn.
 */
void seam_node_hint_team(void *arg, const char *team, const char *holder);

/** seam_node_is_operator() - whether @c was sent with the operators' key */
bool seam_node_is_operator(struct seam_node *n, struct seam_call *c,
			   struct seam_err *e);

/** seam_node_sync_versions() - poll the store and push to peers now */
void seam_node_sync_versions(struct seam_node *n);

/* Constructors of the parts; node.c has the order in which they start. */
struct seam_part *seam_part_members(struct seam_node *n);
struct seam_part *seam_part_versions(struct seam_node *n);
struct seam_part *seam_part_inventory(struct seam_node *n);
struct seam_part *seam_part_teams(struct seam_node *n);
struct seam_part *seam_part_requests(struct seam_node *n);
struct seam_part *seam_part_tasks(struct seam_node *n);
struct seam_part *seam_part_pools(struct seam_node *n);
struct seam_part *seam_part_admin(struct seam_node *n);

/**
 * struct seam_loop - thread that calls a function at the times it returns
 * @clock: clock of these times
 * @pass: runs one pass and returns the time of the next
 * @arg: passed to @pass
 * @lock: protects @stop and @woken
 * @wake: signalled by seam_loop_wake() and seam_loop_stop()
 * @stop: end after the current pass
 * @woken: run the next pass without waiting for its time
 * @thread: the thread
 */
struct seam_loop {
	struct seam_clock *clock;
	seam_time (*pass)(void *arg, seam_time now);
	void *arg;
	pthread_mutex_t lock;
	pthread_cond_t wake;
	bool stop;
	bool woken;
	pthread_t thread;
};

/** seam_loop_start() - start the thread */
int seam_loop_start(struct seam_loop *l, struct seam_clock *k,
		    seam_time (*pass)(void *arg, seam_time now), void *arg,
		    struct seam_err *e);

/** seam_loop_wake() - run the next pass now */
void seam_loop_wake(struct seam_loop *l);

/** seam_loop_stop() - end the thread and wait for it */
void seam_loop_stop(struct seam_loop *l);

#ifdef __cplusplus
}
#endif
#endif
