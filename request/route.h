#ifndef SEAM_ROUTE_H
#define SEAM_ROUTE_H

#include "connection/target.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * seam_route_take() - choose a target and take a slot on it
 * @ts: targets
 * @service: service
 * @dc: data centre of this node, preferred
 * @now: time
 * @h: receives the target
 * @e: SEAM_NOT_FOUND if the service has no targets, SEAM_BUSY if all are at
 *     their slots
 */
int seam_route_take(struct seam_targets *ts, const char *service,
		    const char *dc, seam_time now, struct seam_handle *h,
		    struct seam_err *e);

/** seam_route_release() - give the slot back */
void seam_route_release(struct seam_targets *ts, struct seam_handle h);

#ifdef __cplusplus
}
#endif
#endif
