#ifndef SEAM_TARGET_H
#define SEAM_TARGET_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/err.h"
#include "base/table.h"
#include "request/call.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct seam_target_info - what is known of a target from outside
 * @id: id of its VM
 * @addr: IP:PORT
 * @dc: data centre
 * @rack: rack
 * @service: service that it runs
 * @slots: requests that it runs at once
 * @connections: connections to it from this process
 * @leaving: takes no new work
 */
struct seam_target_info {
	char id[64];
	char addr[64];
	char dc[64];
	char rack[64];
	char service[64];
	int slots;
	int connections;
	bool leaving;
};

#define SEAM_TARGET_DCS_MAX 64 /* data centres with targets of one service */

/**
 * struct seam_target_group - targets of a service in one data centre
 * @dc: data centre
 * @open: handles of targets that can take a request now, in no order
 * @opens: their number
 * @cap: allocated length of @open
 */
struct seam_target_group {
	char dc[64];
	struct seam_handle *open;
	int opens;
	int cap;
};

/**
 * struct seam_target_service - index of the targets of one service
 * @name: service
 * @table: table of the targets
 * @group: one group for each data centre
 * @groups: their number
 * @members: targets that are not leaving
 * @away: handles of ejected targets
 * @ejected: their number
 * @away_cap: allocated length of @away
 * @return_at: the earliest end of an ejection
 * @slots: slots of the targets that are not leaving
 * @own: requests of this process that wait for a slot or have one
 * @divided: more requests than slots are known: each node has a part
 * @from: begin of this node's part of the slots, 0 to 1
 * @to: its end
 */
struct seam_target_service {
	char name[64];
	struct seam_table *table;
	struct seam_target_group *group[SEAM_TARGET_DCS_MAX];
	int groups;
	int members;
	struct seam_handle *away;
	int ejected;
	int away_cap;
	seam_time return_at;
	int64_t slots;
	int own;
	bool divided;
	double from;
	double to;
};

/**
 * struct seam_target - a target and the connections to it
 * @info: from the pool rows and the VM list
 * @outstanding: requests of this process on it
 * @peer_load: requests of other nodes on it; see seam_targets_peer_load()
 * @learned: what own attempts showed of the load of other nodes since it was
 *           told, added to @peer_load
 * @full_until: it refused as full: not chosen before this time
 * @fails: consecutive failures
 * @ejections: ejections since it last worked at full weight
 * @ejected: in @service->away
 * @ejected_until: no new work before this time
 * @full_weight_at: end of the slow start after a return
 * @self: its handle
 * @service: index that it is in; NULL until it is listed
 * @group: group that it is in
 * @phase: where the parts of nodes are rounded, the same on all nodes, 0 to 1
 * @open_at: position in @group->open, from 1; 0 if it is not open
 * @round: number of the last list that named it
 * @idle: idle connections, private to target.c
 * @idle_count: their number
 */
struct seam_target {
	struct seam_target_info info;
	int outstanding;
	int peer_load;
	int learned;
	seam_time full_until;
	int fails;
	int ejections;
	bool ejected;
	seam_time ejected_until;
	seam_time full_weight_at;
	struct seam_handle self;
	struct seam_target_service *service;
	struct seam_target_group *group;
	double phase;
	int open_at;
	uint64_t round;
	struct seam_conn *idle;
	int idle_count;
};

/**
 * struct seam_targets - all targets of a process
 *
 * Members are read and changed with the lock held: seam_targets_lock().
 */
struct seam_targets;

/** seam_targets_new() - empty table */
struct seam_targets *seam_targets_new(struct seam_clock *k);

/** seam_targets_free() - close all connections and free */
void seam_targets_free(struct seam_targets *ts);

/**
 * seam_targets_set() - take over the list of targets
 * @ts: targets
 * @info: wanted targets
 * @n: their number
 *
 * Targets that are not listed any more stop taking work at once and are
 * removed by the next call after their last request has ended. State of known
 * ones stays.
 *
 * Return: true if a target that is not listed is still there; call again.
 */
bool seam_targets_set(struct seam_targets *ts,
		      const struct seam_target_info *info, size_t n);

/** seam_targets_lock() - lock the table and return it */
struct seam_table *seam_targets_lock(struct seam_targets *ts);

/** seam_targets_unlock() - end of seam_targets_lock() */
void seam_targets_unlock(struct seam_targets *ts);

/**
 * seam_targets_service() - index of a service, or NULL if it has no targets
 *
 * To be called, and the result used, with the lock held.
 */
struct seam_target_service *seam_targets_service(struct seam_targets *ts,
						 const char *name);

/**
 * seam_target_place() - bring the index in line with the target's state
 *
 * To be called with the lock held after a change of the load, of @leaving or
 * of @ejected.
 */
void seam_target_place(struct seam_target *t);

/** seam_target_load() - requests of all nodes on it, as far as known */
static inline int seam_target_load(const struct seam_target *t)
{
	return t->outstanding + t->peer_load + t->learned;
}

/**
 * struct seam_target_demand - requests of a service on all nodes
 * @before: of the nodes that come before this one in an order all nodes share
 * @own: of this node, as it told the others
 * @all: of all nodes
 */
struct seam_target_demand {
	int64_t before;
	int64_t own;
	int64_t all;
};

/**
 * seam_target_divide() - divide the slots of a service between the nodes
 * @s: service
 * @d: demand; while it is not above the slots, nothing is divided
 *
 * While requests wait on several nodes, a slot that ends is taken again by the
 * node that had it, so nodes keep what they got at the begin of a peak. Each
 * node gets the part of its requests in all of them instead, so that all
 * queues end together. The lock is held; seam_target_told() is to be called
 * for the targets afterwards.
 */
void seam_target_divide(struct seam_target_service *s,
			const struct seam_target_demand *d);

/** seam_target_room() - slots that this process may use now; lock held */
int seam_target_room(const struct seam_target *t);

/**
 * seam_targets_own() - add to the requests of @service in this process
 *
 * Return: false if the service has no targets; nothing is counted then.
 */
bool seam_targets_own(struct seam_targets *ts, const char *service, int more);

/** seam_targets_each_service() - call @fn for all services; lock held */
void seam_targets_each_service(struct seam_targets *ts,
			       void (*fn)(void *arg,
					  struct seam_target_service *s),
			       void *arg);

/** seam_target_told() - peers told that they have @load on it; lock held */
void seam_target_told(struct seam_target *t, int load);

/** seam_target_away() - eject a target until @until; lock held */
void seam_target_away(struct seam_target *t, seam_time until);

/** seam_target_back() - end the ejection of a target; lock held */
void seam_target_back(struct seam_target *t);

/**
 * seam_targets_peer_load() - set what other nodes have on a target
 * @ts: targets
 * @id: id of the VM
 * @load: requests of other nodes that run on it
 *
 * Return: false if there is no such target.
 */
bool seam_targets_peer_load(struct seam_targets *ts, const char *id, int load);

/**
 * struct seam_send - one attempt at a target
 * @call: the caller's request
 * @path: path and query at the target
 * @deadline: end of the attempt
 * @idempotent: a connection that broke may be replaced and the request sent
 *              again
 * @trace: trace context of this hop
 */
struct seam_send {
	struct seam_call *call;
	const char *path;
	seam_time deadline;
	bool idempotent;
	struct seam_trace trace;
};

/**
 * seam_target_send() - send a request and read the whole answer
 * @ts: targets
 * @h: target
 * @s: the attempt
 * @a: receives the answer
 * @e: SEAM_TARGET_REFUSED if it provably did not start (@a->status is then 503
 *     if the target said so itself, else 0), SEAM_TARGET_FAILED if the answer
 *     is incomplete, SEAM_OUTCOME_UNKNOWN at the deadline,
 *     SEAM_NOT_FOUND if @h is stale
 */
int seam_target_send(struct seam_targets *ts, struct seam_handle h,
		     const struct seam_send *s, struct seam_answer *a,
		     struct seam_err *e);

#ifdef __cplusplus
}
#endif
#endif
