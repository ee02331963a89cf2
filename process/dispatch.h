#ifndef SEAM_DISPATCH_H
#define SEAM_DISPATCH_H

#include "base/clock.h"
#include "connection/lane.h"
#include "connection/runner.h"
#include "process/http.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct seam_dispatch - carries out an owner's orders at workers
 *
 * Each node has one. It decides nothing: the owner says which workers it
 * serves, how far their leases may be renewed and what is to be started and
 * stopped, and is told what they list and answer. Each worker has a thread that
 * holds its lease and looks at it, and one that sends it orders.
 *
 * A session that the owner has left ends by itself; leases that it may renew
 * are absolute, so they run out as the owner has reckoned.
 */
struct seam_dispatch;

/** seam_dispatch_new() - dispatcher over the node's way to the workers */
struct seam_dispatch *seam_dispatch_new(struct seam_clock *k,
					struct seam_runners *r);

/** seam_dispatch_free() - end the session and its threads, and free */
void seam_dispatch_free(struct seam_dispatch *d);

/**
 * seam_dispatch_take() - take a batch; its orders' texts move
 *
 * Return: 0; -1 with SEAM_CONFLICT if a later session is served, or with
 * SEAM_DRAINING after seam_dispatch_leave().
 */
int seam_dispatch_take(struct seam_dispatch *d, struct seam_lane_batch *b,
		       struct seam_err *e);

/**
 * seam_dispatch_poll() - wait for events and copy them out
 * @p: events that it has seen are forgotten
 * @v: receives the others; free with seam_lane_events_free()
 * @e: as of seam_dispatch_take()
 */
int seam_dispatch_poll(struct seam_dispatch *d, const struct seam_lane_poll *p,
		       struct seam_lane_events *v, struct seam_err *e);

/** seam_dispatch_end() - end a session, if it is the one that is served */
void seam_dispatch_end(struct seam_dispatch *d,
		       const struct seam_lane_session *s);

/** seam_dispatch_leave() - the node stops: owners are turned away */
void seam_dispatch_leave(struct seam_dispatch *d);

/** seam_dispatch_now() - time by the clock of its events */
seam_time seam_dispatch_now(const struct seam_dispatch *d);

/** seam_dispatch_serve() - serve owners on other nodes; before start only */
void seam_dispatch_serve(struct seam_dispatch *d, struct seam_http *h);

/** seam_lane_local_new() - way to the dispatcher of the owner's own node */
struct seam_lane *seam_lane_local_new(struct seam_dispatch *d);

/** seam_lane_http_new() - way to the dispatcher of the node at @addr */
struct seam_lane *seam_lane_http_new(struct seam_clock *k, const char *addr);

#ifdef __cplusplus
}
#endif
#endif
