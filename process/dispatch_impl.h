#ifndef SEAM_DISPATCH_IMPL_H
#define SEAM_DISPATCH_IMPL_H

#include <pthread.h>

#include <glib.h>

#include "base/table.h"
#include "process/dispatch.h"

/**
 * struct seam_dispatch_worker - a worker that is served
 * @key: the owner's handle
 * @conn: connection
 * @lease_until: its lease may be renewed up to this time of its own clock, ms
 * @acked: it may forget the ends up to this number
 * @born_ms: its life; 0 if it is not known
 * @answered: it answered the latest look
 * @runs: runs that it listed last, and starts since
 * @told: hash of what the owner was told last
 * @told_at: when it was told
 * @told_end: number of the latest end that the owner was told
 * @acks: signals @acked and @dead
 * @orders: struct seam_lane_order, in order of sending
 * @wake: signals @orders and @dead
 * @dead: it is no longer served
 * @loops: threads that have not ended; the last one frees it
 */
struct seam_dispatch_worker {
	struct seam_dispatch *dispatch;
	struct seam_handle self;
	uint32_t key;
	char id[SEAM_NAME];
	struct seam_runner *conn;
	int64_t lease_until;
	int64_t acked;
	int64_t born_ms;
	bool answered;
	size_t runs;
	uint64_t told;
	seam_time told_at;
	int64_t told_end;
	pthread_cond_t acks;
	GQueue orders;
	pthread_cond_t wake;
	bool dead;
	int loops;
};

/**
 * struct seam_dispatch - see dispatch.h
 * @session: the latest session; its token is 0 before the first
 * @over: it has ended
 * @heard_at: when its owner was heard last
 * @workers: struct seam_dispatch_worker
 * @worker_of: the owner's handle of a worker to its entry
 * @busy: workers with runs
 * @events: struct seam_lane_event that the owner has not seen
 * @numbered: number of the latest one
 * @news: signals @events and the end of a session
 * @ended: signals that the threads of a worker have ended
 * @leaving: the node stops
 */
struct seam_dispatch {
	struct seam_clock *clock;
	struct seam_runners *runners;
	pthread_mutex_t lock;
	struct seam_lane_session session;
	bool over;
	seam_time heard_at;
	struct seam_table *workers;
	GHashTable *worker_of;
	size_t busy;
	GQueue events;
	uint64_t numbered;
	pthread_cond_t news;
	pthread_cond_t ended;
	bool leaving;
};

/* All below are called with the dispatcher's lock held. */

/* dispatch.c */
void dispatch_end_session(struct seam_dispatch *d);
bool dispatch_attended(struct seam_dispatch_worker *w);
struct seam_lane_event *dispatch_add_event(struct seam_dispatch *d,
					   uint32_t key, int kind);
void dispatch_tell_unsent(struct seam_dispatch *d,
			  const struct seam_lane_order *o, const char *why);
void dispatch_tell_answer(struct seam_dispatch *d,
			  const struct seam_lane_order *o, int rc,
			  enum seam_refusal said, bool unknown,
			  const struct seam_err *e);
void dispatch_free_order(struct seam_lane_order *o);

/* dispatch_worker.c */
void dispatch_worker_add(struct seam_dispatch *d,
			 const struct seam_lane_worker *row);
void dispatch_worker_change(struct seam_dispatch_worker *w,
			    const struct seam_lane_worker *row);
void dispatch_worker_order(struct seam_dispatch_worker *w,
			   struct seam_lane_order *o);
void dispatch_worker_drop(struct seam_dispatch_worker *w);

#endif
