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
 * struct seam_target_info - configured properties of a target
 * @id: id of its VM
 * @addr: IP:PORT
 * @dc: data centre
 * @rack: rack
 * @service: service that it runs
 * @slots: requests that it runs concurrently
 * @connections: most idle connections that this process keeps to it
 * @leaving: it gets no new requests
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
 * @available: handles of targets with a free slot, unordered
 * @available_count: length of @available
 * @cap: allocated length of @available
 */
struct seam_target_group {
	char dc[64];
	struct seam_handle *available;
	int available_count;
	int cap;
};

/**
 * struct seam_target_service - index of the targets of one service
 * @name: service
 * @table: table of the targets
 * @group: one group for each data centre
 * @groups: length of @group
 * @members: number of targets that are not leaving
 * @ejected_targets: handles of ejected targets
 * @ejected: length of @ejected_targets
 * @ejected_cap: allocated length of @ejected_targets
 * @ejection_end_at: earliest end of an ejection
 * @slots: slots of the targets that are not leaving
 * @own: requests of this process that wait for a slot or use one
 * @divided: there are more requests than slots, so each node has a part of them
 * @part_begin: begin of this node's part of the slots, 0 to 1
 * @part_end: end of this node's part of the slots, 0 to 1
 */
struct seam_target_service {
	char name[64];
	struct seam_table *table;
	struct seam_target_group *group[SEAM_TARGET_DCS_MAX];
	int groups;
	int members;
	struct seam_handle *ejected_targets;
	int ejected;
	int ejected_cap;
	seam_time ejection_end_at;
	int64_t slots;
	int own;
	bool divided;
	double part_begin;
	double part_end;
};

/**
 * struct seam_target - a target and the connections to it
 * @info: properties from the pool rows and the VM list
 * @outstanding: requests of this process on it
 * @peer_load: requests of other nodes on it; see seam_targets_set_peer_load()
 * @inferred_load: load of other nodes beyond @peer_load, inferred from refusals
 *     since @peer_load was set
 * @full_until: it refused a request as full and is not chosen before this time
 * @fails: consecutive failures
 * @ejections: ejections since it last worked at full weight
 * @ejected: it is in @service->ejected_targets
 * @ejected_until: it gets no requests before this time
 * @full_weight_at: end of the slow start after an ejection
 * @self: its handle
 * @service: index that contains it; NULL if none does
 * @group: group that contains it
 * @rounding_offset: where the parts of nodes are rounded, 0 to 1; the same on
 *                   all nodes
 * @group_pos: position in @group->available, from 1; 0 if it is not in there
 * @list_number: number of the latest list that contains it
 * @idle: idle connections, private to target.c
 * @idle_count: number of idle connections
 */
struct seam_target {
	struct seam_target_info info;
	int outstanding;
	int peer_load;
	int inferred_load;
	seam_time full_until;
	int fails;
	int ejections;
	bool ejected;
	seam_time ejected_until;
	seam_time full_weight_at;
	struct seam_handle self;
	struct seam_target_service *service;
	struct seam_target_group *group;
	double rounding_offset;
	int group_pos;
	uint64_t list_number;
	struct seam_conn *idle;
	int idle_count;
};

/**
 * struct seam_targets - all targets of a process
 *
 * The targets are read and changed with the lock of seam_targets_lock() held.
 */
struct seam_targets;

/** seam_targets_new() - create an empty table */
struct seam_targets *seam_targets_new(struct seam_clock *k);

/** seam_targets_free() - close all connections and free the table */
void seam_targets_free(struct seam_targets *ts);

/**
 * seam_targets_set() - replace the list of targets
 * @ts: targets
 * @info: new list
 * @n: length of @info
 *
 * Targets that are no longer listed get no further requests. They are removed
 * by this call, or by the first one after their last request has ended. The
 * state of targets that stay listed is kept.
 *
 * Return: true if an unlisted target still has requests; call again.
 */
bool seam_targets_set(struct seam_targets *ts,
		      const struct seam_target_info *info, size_t n);

/** seam_targets_lock() - lock the table and return it */
struct seam_table *seam_targets_lock(struct seam_targets *ts);

/** seam_targets_unlock() - unlock the table */
void seam_targets_unlock(struct seam_targets *ts);

/**
 * seam_targets_service() - index of a service, or NULL if it has no targets
 *
 * Call it, and use the result, with the lock held.
 */
struct seam_target_service *seam_targets_service(struct seam_targets *ts,
						 const char *name);

/**
 * seam_target_update_index() - update the index after a change of a target
 *
 * Call it with the lock held after a change of the load, of @leaving or of
 * @ejected.
 */
void seam_target_update_index(struct seam_target *t);

/** seam_target_load() - known requests of all nodes on a target */
static inline int seam_target_load(const struct seam_target *t)
{
	return t->outstanding + t->peer_load + t->inferred_load;
}

/**
 * struct seam_target_demand - requests for a service on all nodes
 * @before: requests of the nodes that precede this one in an order that all
 *          nodes share
 * @own: requests of this node, as it reported them to the others
 * @all: requests of all nodes
 */
struct seam_target_demand {
	int64_t before;
	int64_t own;
	int64_t all;
};

/**
 * seam_target_divide_slots() - divide the slots of a service between the nodes
 * @s: service
 * @d: demand; the slots are divided only if it exceeds them
 *
 * Without a division, a slot that becomes free while requests wait on several
 * nodes goes again to the node that used it, so nodes keep the slots that they
 * got when a peak began. With it, each node gets a part in proportion to its
 * requests, so that all queues become empty at the same time.
 *
 * Call it with the lock held, and seam_target_set_peer_load() for the targets
 * afterwards.
 */
void seam_target_divide_slots(struct seam_target_service *s,
			      const struct seam_target_demand *d);

/** seam_target_free_slots() - slots left for this process; lock held */
int seam_target_free_slots(const struct seam_target *t);

/**
 * seam_targets_add_requests() - add @more to the own requests of @service
 *
 * Return: false if the service has no targets; nothing is counted then.
 */
bool seam_targets_add_requests(struct seam_targets *ts, const char *service,
			       int more);

/** seam_targets_for_each_service() - call @fn for each service; lock held */
void seam_targets_for_each_service(struct seam_targets *ts,
				   void (*fn)(void *arg,
					      struct seam_target_service *s),
				   void *arg);

/** seam_target_set_peer_load() - set the load reported by peers; lock held */
void seam_target_set_peer_load(struct seam_target *t, int load);

/** seam_target_eject() - eject a target until @until; lock held */
void seam_target_eject(struct seam_target *t, seam_time until);

/** seam_target_end_ejection() - end the ejection of a target; lock held */
void seam_target_end_ejection(struct seam_target *t);

/**
 * seam_targets_set_peer_load() - set the load of other nodes on a target
 * @ts: targets
 * @id: id of the VM
 * @load: requests of other nodes that run on it
 *
 * Return: false if there is no such target.
 */
bool seam_targets_set_peer_load(struct seam_targets *ts, const char *id,
				int load);

/**
 * struct seam_target_request - one attempt of a request to a target
 * @call: the caller's request
 * @path: path and query at the target
 * @deadline: end of the attempt
 * @idempotent: the request may be sent again on a new connection if the
 *              connection breaks
 * @trace: trace context of this hop
 */
struct seam_target_request {
	struct seam_call *call;
	const char *path;
	seam_time deadline;
	bool idempotent;
	struct seam_trace trace;
};

/**
 * seam_target_send() - send a request and read the whole response
 * @ts: targets
 * @h: target
 * @s: the attempt
 * @a: receives the response
 * @e: SEAM_TARGET_REFUSED if the request has certainly not run (@a->status is
 *     then 503 if the target refused it, else 0), SEAM_TARGET_FAILED if the
 *     response is incomplete, SEAM_OUTCOME_UNKNOWN at the deadline,
 *     SEAM_NOT_FOUND if @h is stale
 */
int seam_target_send(struct seam_targets *ts, struct seam_handle h,
		     const struct seam_target_request *s, struct seam_answer *a,
		     struct seam_err *e);

#ifdef __cplusplus
}
#endif
#endif
