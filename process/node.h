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
 * struct seam_part_ops - behaviour of a part of the daemon
 * @name: name for logs
 * @start: register routes and start threads; the node is not listening yet
 * @drain: stop new work and let running work end until @deadline; may be NULL
 * @stop: end threads and free the part
 */
struct seam_part_ops {
	const char *name;
	int (*start)(struct seam_part *p, struct seam_err *e);
	void (*drain)(struct seam_part *p, seam_time deadline);
	void (*stop)(struct seam_part *p);
};

/** struct seam_part - a part; the vtable is the first member */
struct seam_part {
	const struct seam_part_ops *ops;
};

/**
 * struct seam_node - one daemon: what its parts share
 * @clock: clock
 * @settings: checked settings
 * @store: the platform's table service
 * @platform: VM list and reboots
 * @conf: current version of the configuration
 * @fleet: VMs with their pools
 * @owner: who decides for a shard; never NULL
 * @admit: units of the teams' limits; NULL admits everything
 * @targets: targets and connections to them
 * @pools: pool rows as last read; made by the inventory part
 * @demand: demand for pools, reported by parts and by other nodes
 * @http: front end
 * @members: other nodes; NULL until its part has started
 * @versions: adoption of versions; NULL until its part has started
 * @confirmed_at: latest time at which @conf was known to be the newest
 * @part: parts in order of start
 * @parts: their number
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
 * seam_node_new() - node over a store and a platform that the caller owns
 * @s: settings, copied
 * @k: clock
 * @store: store
 * @platform: platform
 * @e: error
 */
struct seam_node *seam_node_new(const struct seam_settings *s,
				struct seam_clock *k, struct seam_store *store,
				struct seam_platform *platform,
				struct seam_err *e);

/** seam_node_start() - start all parts, then listen */
int seam_node_start(struct seam_node *n, struct seam_err *e);

/**
 * seam_node_drain() - graceful shutdown up to the last answer
 *
 * Return: true if every running request ended before @deadline.
 */
bool seam_node_drain(struct seam_node *n, seam_time deadline);

/** seam_node_free() - stop all parts and free */
void seam_node_free(struct seam_node *n);

/** seam_node_confirm() - record that the version was the newest at @t */
void seam_node_confirm(struct seam_node *n, seam_time t);

/**
 * seam_node_confirmed() - latest time at which the version was the newest
 *
 * Read it before the version that it is to vouch for: the other way round, an
 * old version could pass with the confirmation of a newer one.
 */
seam_time seam_node_confirmed(struct seam_node *n);

/**
 * seam_node_fresh() - seam_fresh_check() of the configuration, now
 * @n: node
 * @class_: class of the action
 * @confirmed: from seam_node_confirmed()
 * @e: SEAM_STALE with the age
 */
int seam_node_fresh(struct seam_node *n, enum seam_fresh_class class_,
		    seam_time confirmed, struct seam_err *e);

/**
 * seam_node_hint_team() - hint that a team's row is worth a read
 * @arg: struct seam_node
 * @team: team
 * @holder: holder in the row, whose node is told; NULL tells the row's owner
 *
 * A seam_team_notify_fn.
 */
void seam_node_hint_team(void *arg, const char *team, const char *holder);

/** seam_node_operator() - true if @c carries the operators' key */
bool seam_node_operator(struct seam_node *n, struct seam_call *c,
			struct seam_err *e);

/** seam_node_changed() - @n has committed a change: push it to peers now */
void seam_node_changed(struct seam_node *n);

/* The parts, in the order in which a node starts them. */
struct seam_part *seam_part_members(struct seam_node *n);
struct seam_part *seam_part_versions(struct seam_node *n);
struct seam_part *seam_part_inventory(struct seam_node *n);
struct seam_part *seam_part_teams(struct seam_node *n);
struct seam_part *seam_part_requests(struct seam_node *n);
struct seam_part *seam_part_tasks(struct seam_node *n);
struct seam_part *seam_part_pools(struct seam_node *n);
struct seam_part *seam_part_admin(struct seam_node *n);

/**
 * struct seam_loop - a thread that runs a pass and waits
 * @clock: clock
 * @pass: one pass; returns the time of the next one
 * @arg: passed to it
 * @lock: protects @stop and @woken
 * @wake: signalled by seam_loop_wake() and seam_loop_stop()
 * @stop: the thread ends after the current pass
 * @woken: run a pass at once
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

/** seam_loop_wake() - run a pass now */
void seam_loop_wake(struct seam_loop *l);

/** seam_loop_stop() - end the thread and wait for it */
void seam_loop_stop(struct seam_loop *l);

#ifdef __cplusplus
}
#endif
#endif
