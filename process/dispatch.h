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
 * struct seam_dispatch - forwards the owner's orders to workers
 *
 * Each node has one. It makes no scheduling decisions: the owner assigns
 * workers to it, limits how far their leases may be renewed and orders starts
 * and stops; the dispatcher reports what the workers list and answer. Each
 * worker has one thread that renews its lease and polls it, and one that sends
 * it orders.
 *
 * A session times out when its owner stops polling. The lease limits are
 * absolute times, so leases expire when the owner expects it.
 */
struct seam_dispatch;

/** seam_dispatch_new() - create a dispatcher that reaches workers through @r */
struct seam_dispatch *seam_dispatch_new(struct seam_clock *k,
					struct seam_runners *r);

/** seam_dispatch_free() - end the session, wait for its threads, and free */
void seam_dispatch_free(struct seam_dispatch *d);

/**
 * seam_dispatch_apply() - apply a batch; takes over the texts of its orders
 *
 * Return: 0; -1 with SEAM_CONFLICT if a later session is served, or with
 * SEAM_DRAINING after seam_dispatch_shutdown().
 */
int seam_dispatch_apply(struct seam_dispatch *d, struct seam_lane_batch *b,
			struct seam_err *e);

/**
 * seam_dispatch_poll() - wait for events and copy them out
 * @d: dispatcher
 * @p: request; events up to @p->seen are discarded
 * @v: receives the others; free with seam_lane_events_free()
 * @e: as in seam_dispatch_apply()
 */
int seam_dispatch_poll(struct seam_dispatch *d, const struct seam_lane_poll *p,
		       struct seam_lane_events *v, struct seam_err *e);

/** seam_dispatch_end_session() - end @s if it is the current session */
void seam_dispatch_end_session(struct seam_dispatch *d,
			       const struct seam_lane_session *s);

/** seam_dispatch_shutdown() - shut down: end the session and refuse owners */
void seam_dispatch_shutdown(struct seam_dispatch *d);

/** seam_dispatch_now() - current time of the clock that events refer to */
seam_time seam_dispatch_now(const struct seam_dispatch *d);

/** seam_dispatch_serve() - add HTTP routes; call before @h starts */
void seam_dispatch_serve(struct seam_dispatch *d, struct seam_http *h);

/** seam_lane_local_new() - lane to the dispatcher of the owner's own node */
struct seam_lane *seam_lane_local_new(struct seam_dispatch *d);

/** seam_lane_http_new() - lane to the dispatcher of the node at @addr */
struct seam_lane *seam_lane_http_new(struct seam_clock *k, const char *addr);

#ifdef __cplusplus
}
#endif
#endif
