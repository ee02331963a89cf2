#ifndef SEAM_DISPATCH_IMPL_H
#define SEAM_DISPATCH_IMPL_H

#include <pthread.h>

#include <glib.h>

#include "base/table.h"
#include "process/answer_time.h"
#include "process/dispatch.h"

/**
 * struct seam_dispatch_order - an order that waits to be sent, or is sent
 * @order: as received
 * @queued_at: when it was received
 * @calls: calls to the worker that were made for it
 * @call_time: time of the call that was answered; 0 before
 * @lost: time for which it waited for calls to the worker without an answer,
 *     its own and those before it
 * @lost_until: end of the last of these times
 */
struct seam_dispatch_order {
	struct seam_lane_order order;
	seam_time queued_at;
	unsigned calls;
	seam_time call_time;
	seam_time lost;
	seam_time lost_until;
};

/**
 * struct seam_dispatch_worker - a worker that this node serves
 * @dispatch: dispatcher
 * @self: handle in @dispatch->workers
 * @key: the owner's handle
 * @id: id of the worker
 * @conn: connection
 * @lease_until: limit of lease renewals, ms of the worker's clock
 * @acked: number of the latest ended run that the owner has acknowledged
 * @process_start_ms: start time of the worker's process; 0 if it is not known
 * @process_is_new: the owner has not named @process_start_ms yet
 * @restarts: restarts that the owner or a listing has shown
 * @token: fencing token of polls and orders
 * @answer_time: of its answers to starts, and to polls that do not wait
 * @answered: the worker is in touch: it has answered a poll lately, and no call
 *     has failed since in another way than without an answer in time
 * @heard_at: when it last answered a poll, or was assigned to this node
 * @lost_polls: which of the latest polls had no answer in time, a bit for each;
 *     the lowest is that of the latest one
 * @failed_polls: number of polls without an answer since the last one with it
 * @runs: number of runs in the latest listing, plus starts since
 * @reported_hash: hash of the listing that was reported last
 * @reported_at: time of that report
 * @reported_token: fencing token of the poll of that report
 * @full_report_at: when the runs were last reported, and not only that they are
 *     unchanged
 * @order_since: an order was carried out or given up since
 * @reported_more: that report had not all ends
 * @reported_end: number of the latest ended run that was reported
 * @listed_at: when the poll was sent whose listing was handled last
 * @valid_since: answers to polls that were sent before are not used, as a later
 *     one was answered or refused
 * @repeat_threads: threads that poll beside the first one
 * @unconfirmed_token: token of the latest start without an answer, until a poll
 *     with a later one is answered; 0 without one
 * @acks_changed: signalled when @acked or @removed changes
 * @orders: struct seam_dispatch_order, in order of sending
 * @sending: struct seam_dispatch_order that are being sent
 * @orders_changed: signalled when @orders, @sending or @removed changes
 * @order_thread: a thread sends orders
 * @order_thread_until: it ends then unless an order comes
 * @more_order_threads: threads that send orders beside it
 * @removed: the worker is no longer served
 * @thread_count: running threads; the last one to exit frees the entry
 */
struct seam_dispatch_worker {
	struct seam_dispatch *dispatch;
	struct seam_handle self;
	uint32_t key;
	char id[SEAM_NAME_SIZE];
	struct seam_runner *conn;
	int64_t lease_until;
	int64_t acked;
	int64_t process_start_ms;
	bool process_is_new;
	unsigned restarts;
	uint64_t token;
	struct seam_answer_time answer_time;
	bool answered;
	seam_time heard_at;
	uint8_t lost_polls;
	unsigned failed_polls;
	size_t runs;
	uint64_t reported_hash;
	seam_time reported_at;
	uint64_t reported_token;
	seam_time full_report_at;
	bool order_since;
	bool reported_more;
	int64_t reported_end;
	seam_time listed_at;
	seam_time valid_since;
	int repeat_threads;
	uint64_t unconfirmed_token;
	pthread_cond_t acks_changed;
	GQueue orders;
	GQueue sending;
	pthread_cond_t orders_changed;
	bool order_thread;
	seam_time order_thread_until;
	int more_order_threads;
	bool removed;
	int thread_count;
};

/**
 * struct seam_dispatch - see dispatch.h
 * @clock: clock
 * @runners: connections to workers
 * @lock: guards all members below
 * @session: the latest session; its token is 0 before the first
 * @session_ended: @session has ended
 * @last_order: number of the latest order of the session
 * @owner_seen_at: time of the latest message from the owner
 * @workers: struct seam_dispatch_worker
 * @worker_by_key: the owner's handle of a worker to its entry
 * @busy_workers: number of workers with runs
 * @repeat_threads: threads that poll a worker beside its first one
 * @loss_seen_at: when a worker that loses polls last answered one quickly
 * @events: struct seam_lane_event that the owner has not acknowledged
 * @last_event: number of the latest event
 * @events_changed: signalled for a new event and at the end of a session
 * @worker_freed: signalled when an entry of @workers is freed
 * @stopping: the node is shutting down
 */
struct seam_dispatch {
	struct seam_clock *clock;
	struct seam_runners *runners;
	pthread_mutex_t lock;
	struct seam_lane_session session;
	bool session_ended;
	uint64_t last_order;
	seam_time owner_seen_at;
	struct seam_table *workers;
	GHashTable *worker_by_key;
	size_t busy_workers;
	int repeat_threads;
	seam_time loss_seen_at;
	GQueue events;
	uint64_t last_event;
	pthread_cond_t events_changed;
	pthread_cond_t worker_freed;
	bool stopping;
};

/* The functions below are called with the dispatcher's lock held. */

/* dispatch.c */
void dispatch_end_session(struct seam_dispatch *d);
bool dispatch_check_session(struct seam_dispatch_worker *w);
struct seam_lane_event *dispatch_add_event(struct seam_dispatch *d,
					   uint32_t key, int kind);
void dispatch_reject_order(struct seam_dispatch *d,
			   const struct seam_lane_order *o, const char *why);
struct seam_lane_event *
dispatch_report_answer(struct seam_dispatch *d, const struct seam_lane_order *o,
		       int rc, enum seam_order_outcome outcome, bool unknown,
		       const struct seam_err *e);
void dispatch_free_order(struct seam_dispatch_order *o);

/* dispatch_worker.c */
void dispatch_worker_add(struct seam_dispatch *d,
			 const struct seam_lane_worker *row);
void dispatch_worker_change(struct seam_dispatch_worker *w,
			    const struct seam_lane_worker *row);
void dispatch_worker_drop(struct seam_dispatch_worker *w);
void dispatch_worker_set_runs(struct seam_dispatch_worker *w, size_t runs);
bool dispatch_timed_out(const struct seam_dispatch_worker *w,
			seam_time deadline);
bool dispatch_worker_loses_calls(const struct seam_dispatch_worker *w);
bool dispatch_worker_answers_quickly(const struct seam_dispatch_worker *w);
int dispatch_worker_start_thread(struct seam_dispatch_worker *w,
				 void *(*run)(void *arg));
void dispatch_worker_release_thread(struct seam_dispatch_worker *w);

/* dispatch_orders.c */
void dispatch_worker_queue_order(struct seam_dispatch_worker *w,
				 struct seam_dispatch_order *o);
void dispatch_worker_reject_orders(struct seam_dispatch_worker *w,
				   const char *why);

#endif
