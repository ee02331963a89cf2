#ifndef SEAM_LANE_H
#define SEAM_LANE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/err.h"
#include "connection/runner.h"
#include "connection/vms.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct seam_lane_session - session of an owner with the dispatcher of a node
 * @token: fencing token of the owner
 * @number: incremented for each new session of the owner with the node
 *
 * A dispatcher serves only the latest session: the one with the highest token
 * and, among equal tokens, the highest number.
 */
struct seam_lane_session {
	uint64_t token;
	uint64_t number;
};

/**
 * struct seam_lane_worker - a worker to serve, or a change to one
 * @key: the owner's handle of the worker
 * @id: worker id; "" in a change
 * @addr: address of the worker; "" in a change
 * @lease_until: limit of lease renewals, milliseconds of the worker's clock; 0
 *               leaves the limit unchanged
 * @acked: the worker may delete its records of ended runs up to this number
 * @process_start_ms: start time of the worker process that the two above refer
 *     to, milliseconds since 1970; 0 if unknown
 * @drop: the worker is no longer served
 * @token: fencing token of polls and orders; 0 for that of the session
 */
struct seam_lane_worker {
	uint32_t key;
	char id[SEAM_NAME_SIZE];
	char addr[SEAM_NAME_SIZE];
	int64_t lease_until;
	int64_t acked;
	int64_t process_start_ms;
	bool drop;
	uint64_t token;
};

/**
 * struct seam_lane_order - an order to start or stop a run
 * @number: number of the order in the owner's term; an order that is sent again
 *          gets another one
 * @key: the owner's handle of the worker
 * @stop: true for a stop, false for a start
 * @task: task name
 * @run: run number
 * @text: job text as submitted by the caller, which may contain NUL bytes;
 *        NULL in a stop; owned by the order
 * @text_len: its length in bytes
 * @checkpoint: checkpoint to resume from, or ""
 * @lease_until: end of the lease, milliseconds of the worker's clock
 * @send_by: not sent after this time of the node's clock
 * @repeat_by: not retried after this time of the node's clock
 * @poll_first: the worker is polled right before the start: a process that has
 *     started since the latest poll may run a late start of the task
 */
struct seam_lane_order {
	uint64_t number;
	uint32_t key;
	bool stop;
	char task[SEAM_TASK_NAME_SIZE];
	int64_t run;
	char *text;
	size_t text_len;
	char checkpoint[SEAM_CHECKPOINT_SIZE];
	int64_t lease_until;
	seam_time send_by;
	seam_time repeat_by;
	bool poll_first;
};

/**
 * struct seam_lane_batch - message from an owner to a dispatcher
 * @session: session
 * @first: opens the session. A node refuses any other batch of a session that
 *         it does not serve, so that the owner notices a restarted node.
 * @worker: workers and changes to workers
 * @workers: length of @worker
 * @order: orders
 * @orders: length of @order
 */
struct seam_lane_batch {
	struct seam_lane_session session;
	bool first;
	struct seam_lane_worker *worker;
	size_t workers;
	struct seam_lane_order *order;
	size_t orders;
};

/** seam_lane_batch_free() - free the arrays and the texts of the orders */
void seam_lane_batch_free(struct seam_lane_batch *b);

/* Longest time of the calls of an order, which are given up before. */
#define SEAM_LANE_CALLS_MS_MAX INT64_C(60000)

enum seam_lane_event_kind {
	SEAM_LANE_LISTED, /* a worker has listed its runs */
	SEAM_LANE_SILENT, /* a worker did not answer a poll, or refused it */
	SEAM_LANE_ANSWERED /* an order was answered or has failed */
};

/**
 * struct seam_lane_event - message from a dispatcher to an owner
 * @number: number of the event in its session, from 1
 * @kind: enum seam_lane_event_kind
 * @key: the owner's handle of the worker
 * @listing: LISTED: the listing; owned by the event
 * @unchanged: LISTED: the worker runs what the latest listing has that was
 *     reported in full, and no run has ended since; @listing has only its times
 * @sent_at: LISTED: lower bound of the time at which the poll was sent
 * @token: LISTED: fencing token of the poll; 0 for that of the session
 * @order: ANSWERED: number of the order
 * @failed: SEAM_OK if the worker answered, with @outcome; SEAM_UNAVAILABLE if
 *          the order cannot have arrived, else SEAM_COMMIT_UNKNOWN. SILENT:
 *          also SEAM_NO_MEMORY if the node has no thread for the worker.
 * @outcome: the worker's answer
 * @unknown: ANSWERED: an attempt got no answer and may have taken effect
 * @lease_ms: ANSWERED: what was left of the lease of a start, by the clock in
 *     the worker's answer; 0 if unknown
 * @calls: ANSWERED: calls that were made for a start
 * @call_ms: ANSWERED: time of the call that was answered; at most
 *     SEAM_LANE_CALLS_MS_MAX
 * @lost_ms: ANSWERED: time for which a start waited on the node for calls to
 *     its worker without an answer, its own and those before it; at most
 *     SEAM_LANE_CALLS_MS_MAX
 * @why: error message
 */
struct seam_lane_event {
	uint64_t number;
	int kind;
	uint32_t key;
	struct seam_listing listing;
	bool unchanged;
	seam_time sent_at;
	uint64_t token;
	uint64_t order;
	enum seam_err_kind failed;
	enum seam_order_outcome outcome;
	bool unknown;
	int64_t lease_ms;
	unsigned calls;
	int64_t call_ms;
	int64_t lost_ms;
	char why[64];
};

/**
 * struct seam_lane_events - events in ascending order of their numbers
 * @event: the events
 * @n: their number
 * @node_now: the node's clock when it answered
 */
struct seam_lane_events {
	struct seam_lane_event *event;
	size_t n;
	seam_time node_now;
};

/** seam_lane_events_free() - free the events and their listings */
void seam_lane_events_free(struct seam_lane_events *v);

/**
 * struct seam_lane_poll - a request for events
 * @session: session
 * @seen: the owner has received the events up to this number
 * @wait_ms: longest wait for an event
 */
struct seam_lane_poll {
	struct seam_lane_session session;
	uint64_t seen;
	int64_t wait_ms;
};

/**
 * struct seam_lane_clock - what an owner knows of a node's clock
 * @known: the node has told its clock in this session
 * @ahead: the node's clock was at least this far ahead of the owner's at @at
 * @at: time of that answer, by the owner's clock
 */
struct seam_lane_clock {
	bool known;
	seam_time ahead;
	seam_time at;
};

/**
 * seam_lane_clock_note() - note an answer of the node
 * @c: what is known
 * @node_now: the node's clock when it answered
 * @now: the owner's clock after the answer has arrived
 */
void seam_lane_clock_note(struct seam_lane_clock *c, seam_time node_now,
			  seam_time now);

/**
 * seam_lane_clock_deadline() - convert a deadline to the node's clock
 *
 * Return: a time that the node's clock shows at @deadline of the owner's clock
 * at the latest; @c must be known.
 */
seam_time seam_lane_clock_deadline(const struct seam_lane_clock *c,
				   seam_time deadline);

struct seam_lane;

/**
 * struct seam_lane_ops - connection from an owner to the dispatcher of a node
 * @send: send a batch; may take over the texts of its orders; @node_now
 *        receives the node's clock when it answered
 * @poll: request events
 * @close: close the lane; its session cannot be continued
 *
 * Return: -1 with SEAM_CONFLICT if the dispatcher does not serve this session.
 * After any other error the request may or may not have taken effect.
 */
struct seam_lane_ops {
	int (*send)(struct seam_lane *l, struct seam_lane_batch *b,
		    seam_time *node_now, seam_time deadline,
		    struct seam_err *e);
	int (*poll)(struct seam_lane *l, const struct seam_lane_poll *p,
		    struct seam_lane_events *v, seam_time deadline,
		    struct seam_err *e);
	void (*close)(struct seam_lane *l);
};

/** struct seam_lane - a lane; the vtable is the first member */
struct seam_lane {
	const struct seam_lane_ops *ops;
};

/**
 * struct seam_node_info - a node as known to the owner
 * @addr: control address of the node; "" for the owner's own node
 * @dc: data centre, or "" if unknown
 * @processor: CPU that the node may use, thousandths of a core; 0 if unknown
 * @live: it has registered recently
 */
struct seam_node_info {
	char addr[64];
	char dc[SEAM_NAME_SIZE];
	int processor;
	bool live;
};

struct seam_nodes;

/**
 * struct seam_nodes_ops - the nodes of a deployment
 * @list: list this node first, then the other known nodes; at most @max
 * @open: open a lane to the dispatcher of a node; NULL if out of memory
 */
struct seam_nodes_ops {
	size_t (*list)(struct seam_nodes *n, struct seam_node_info *info,
		       size_t max);
	struct seam_lane *(*open)(struct seam_nodes *n,
				  const struct seam_node_info *info);
};

/** struct seam_nodes - a set of nodes; the vtable is the first member */
struct seam_nodes {
	const struct seam_nodes_ops *ops;
};

/*
 * Encoding in MessagePack, in lane_codec.c. Each node has a clock of its own,
 * so a deadline is sent as a time of the node's clock and a past time as its
 * age: a message that is late neither extends a deadline nor makes an event
 * newer. The encoders return a message to be freed with free(), or NULL if out
 * of memory; the decoders fail with SEAM_BAD_REQUEST if a message is malformed
 * or of another version.
 */

/** seam_lane_batch_encode() - encode a batch */
char *seam_lane_batch_encode(const struct seam_lane_batch *b, size_t *len);

/** seam_lane_batch_decode() - decode a batch */
int seam_lane_batch_decode(const char *data, size_t len,
			   struct seam_lane_batch *b, struct seam_err *e);

/** seam_lane_answer_encode() - encode the answer to a batch */
char *seam_lane_answer_encode(seam_time node_now, size_t *len);

/** seam_lane_answer_decode() - decode the answer to a batch */
int seam_lane_answer_decode(const char *data, size_t len, seam_time *node_now,
			    struct seam_err *e);

/** seam_lane_poll_encode() - encode a request for events */
char *seam_lane_poll_encode(const struct seam_lane_poll *q, size_t *len);

/** seam_lane_poll_decode() - decode a request for events */
int seam_lane_poll_decode(const char *data, size_t len,
			  struct seam_lane_poll *q, struct seam_err *e);

/** seam_lane_events_encode() - encode; the poll arrived at @asked_at, and @now
 * is the time of the answer */
char *seam_lane_events_encode(const struct seam_lane_events *v,
			      seam_time asked_at, seam_time now, size_t *len);

/** seam_lane_events_decode() - decode the response to a poll of @asked_at */
int seam_lane_events_decode(const char *data, size_t len, seam_time asked_at,
			    struct seam_lane_events *v, struct seam_err *e);

#ifdef __cplusplus
}
#endif
#endif
