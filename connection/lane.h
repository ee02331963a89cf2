#ifndef SEAM_LANE_H
#define SEAM_LANE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <json-c/json.h>

#include "base/clock.h"
#include "base/err.h"
#include "connection/runner.h"
#include "connection/vms.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct seam_lane_session - an owner's hold on the dispatcher of a node
 * @token: fencing token of the owner
 * @number: grows each time the owner begins anew with the node
 *
 * A dispatcher serves the latest session only: the one of the highest token,
 * and of equal tokens that of the highest number.
 */
struct seam_lane_session {
	uint64_t token;
	uint64_t number;
};

/**
 * struct seam_lane_worker - a worker that a node serves, or a change of it
 * @key: the owner's handle
 * @id: its id; "" in a change
 * @addr: its address; "" in a change
 * @lease_until: its lease may be renewed up to this time of its own clock,
 *               milliseconds; 0 leaves it as it is
 * @acked: it may forget the ends up to this number
 * @born_ms: life that both are of; 0 if it is not known
 * @drop: it is no longer served
 */
struct seam_lane_worker {
	uint32_t key;
	char id[SEAM_NAME];
	char addr[SEAM_NAME];
	int64_t lease_until;
	int64_t acked;
	int64_t born_ms;
	bool drop;
};

/**
 * struct seam_lane_order - a start or a stop
 * @key: worker
 * @stop: it is a stop
 * @task: name
 * @run: number of the run
 * @text: what the caller handed in; NULL in a stop; owned by the order
 * @checkpoint: saved work to go on from, or ""
 * @lease_until: end of the lease, milliseconds of the worker's clock
 * @send_by: not sent after it
 * @repeat_by: not sent again after it
 */
struct seam_lane_order {
	uint32_t key;
	bool stop;
	char task[SEAM_TASK_NAME];
	int64_t run;
	char *text;
	char checkpoint[SEAM_CHECKPOINT];
	int64_t lease_until;
	seam_time send_by;
	seam_time repeat_by;
};

/**
 * struct seam_lane_batch - what an owner tells a node at once
 * @session: session
 * @first: it opens the session; any other is refused by a node that does not
 *         serve it, so that a restarted node is noticed
 */
struct seam_lane_batch {
	struct seam_lane_session session;
	bool first;
	struct seam_lane_worker *worker;
	size_t workers;
	struct seam_lane_order *order;
	size_t orders;
};

/** seam_lane_batch_free() - free what it owns */
void seam_lane_batch_free(struct seam_lane_batch *b);

enum seam_lane_event_kind {
	SEAM_LANE_LISTED, /* a worker has listed what it runs */
	SEAM_LANE_SILENT, /* it did not, or refused to */
	SEAM_LANE_ANSWERED /* an order is done with */
};

/**
 * struct seam_lane_event - what a node tells an owner
 * @number: number of the event in its session, from 1
 * @kind: enum seam_lane_event_kind
 * @key: worker
 * @listing: LISTED: the listing; owned by the event
 * @sent_at: LISTED: the look was not sent before this time
 * @task: ANSWERED: name
 * @run: ANSWERED: number of the run
 * @stop: ANSWERED: it was a stop
 * @failed: SEAM_OK if the worker answered, with @said; SEAM_UNAVAILABLE if
 *          the order can't have arrived, else SEAM_COMMIT_UNKNOWN
 * @said: what it answered
 * @unknown: ANSWERED: an attempt before the last got no answer
 * @why: text of the failure
 */
struct seam_lane_event {
	uint64_t number;
	int kind;
	uint32_t key;
	struct seam_listing listing;
	seam_time sent_at;
	char task[SEAM_TASK_NAME];
	int64_t run;
	bool stop;
	enum seam_kind failed;
	enum seam_refusal said;
	bool unknown;
	char why[64];
};

/** struct seam_lane_events - events in order; seam_lane_events_free() */
struct seam_lane_events {
	struct seam_lane_event *event;
	size_t n;
};

void seam_lane_events_free(struct seam_lane_events *v);

/**
 * struct seam_lane_poll - a question for events
 * @session: session
 * @seen: events up to this number have been taken
 * @wait_ms: wait so long for one
 */
struct seam_lane_poll {
	struct seam_lane_session session;
	uint64_t seen;
	int64_t wait_ms;
};

struct seam_lane;

/**
 * struct seam_lane_ops - an owner's way to the dispatcher of a node
 * @send: tell it a batch; texts of its orders may move out of it
 * @poll: take events
 * @close: end; the session is not continued
 *
 * -1 with SEAM_CONFLICT: the dispatcher does not serve this session; any other
 * error: it is not known what arrived.
 */
struct seam_lane_ops {
	int (*send)(struct seam_lane *l, struct seam_lane_batch *b,
		    seam_time deadline, struct seam_err *e);
	int (*poll)(struct seam_lane *l, const struct seam_lane_poll *p,
		    struct seam_lane_events *v, seam_time deadline,
		    struct seam_err *e);
	void (*close)(struct seam_lane *l);
};

/** struct seam_lane - the vtable is the first member */
struct seam_lane {
	const struct seam_lane_ops *ops;
};

/**
 * struct seam_node_info - a node as an owner sees it
 * @addr: its control address; "" is the owner's own node
 * @dc: data centre, or "" if it is not known
 * @processor: thousandths of a core that it may use; 0 if it is not known
 * @live: it has registered lately
 */
struct seam_node_info {
	char addr[64];
	char dc[SEAM_NAME];
	int processor;
	bool live;
};

struct seam_nodes;

/**
 * struct seam_nodes_ops - the nodes of a deployment
 * @list: this node first, then the others that are known; at most @max
 * @open: way to the dispatcher of a node; NULL without memory
 */
struct seam_nodes_ops {
	size_t (*list)(struct seam_nodes *n, struct seam_node_info *info,
		       size_t max);
	struct seam_lane *(*open)(struct seam_nodes *n,
				  const struct seam_node_info *info);
};

/** struct seam_nodes - the vtable is the first member */
struct seam_nodes {
	const struct seam_nodes_ops *ops;
};

/* Encoding between nodes, lane_json.c. Times are sent as time left and age. */

/** seam_lane_batch_json() - encode; @now is the time of sending */
struct json_object *seam_lane_batch_json(const struct seam_lane_batch *b,
					 seam_time now);

/** seam_lane_batch_read() - decode what came at @now; SEAM_BAD_REQUEST */
int seam_lane_batch_read(struct json_object *o, seam_time now,
			 struct seam_lane_batch *b, struct seam_err *e);

/** seam_lane_events_json() - encode; the poll came at @asked_at */
struct json_object *seam_lane_events_json(const struct seam_lane_events *v,
					  seam_time asked_at, seam_time now);

/** seam_lane_events_read() - decode the answer to a poll sent at @asked_at */
int seam_lane_events_read(struct json_object *o, seam_time asked_at,
			  struct seam_lane_events *v, struct seam_err *e);

#ifdef __cplusplus
}
#endif
#endif
