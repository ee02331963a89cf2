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

/**
 * struct seam_target - a target and the connections to it
 * @info: from the pool rows and the VM list
 * @outstanding: requests of this process on it
 * @peer_load: requests of other nodes on it, as last told
 * @fails: consecutive failures
 * @ejected_until: no new work before this time
 * @full_weight_at: end of the slow start after a return
 * @idle: idle connections, private to target.c
 * @idle_count: their number
 */
struct seam_target {
	struct seam_target_info info;
	int outstanding;
	int peer_load;
	int fails;
	seam_time ejected_until;
	seam_time full_weight_at;
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
 * removed when their last request has ended. State of known ones stays.
 */
void seam_targets_set(struct seam_targets *ts,
		      const struct seam_target_info *info, size_t n);

/** seam_targets_lock() - lock the table and return it */
struct seam_table *seam_targets_lock(struct seam_targets *ts);

/** seam_targets_unlock() - end of seam_targets_lock() */
void seam_targets_unlock(struct seam_targets *ts);

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
 * @e: SEAM_TARGET_REFUSED if it provably did not start, SEAM_TARGET_FAILED if
 *     the answer is incomplete, SEAM_OUTCOME_UNKNOWN at the deadline,
 *     SEAM_NOT_FOUND if @h is stale
 */
int seam_target_send(struct seam_targets *ts, struct seam_handle h,
		     const struct seam_send *s, struct seam_answer *a,
		     struct seam_err *e);

#ifdef __cplusplus
}
#endif
#endif
