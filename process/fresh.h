#ifndef SEAM_FRESH_H
#define SEAM_FRESH_H

#include <stdbool.h>

#include "base/clock.h"
#include "base/err.h"

#ifdef __cplusplus
extern "C" {
#endif

/** enum seam_fresh_class - classes of action by required data freshness */
enum seam_fresh_class {
	SEAM_FRESH_IDEMPOTENT,
	SEAM_FRESH_NON_IDEMPOTENT,
	SEAM_FRESH_KEYED,
	SEAM_FRESH_PUT_TASK,
	SEAM_FRESH_START_TASK,
	SEAM_FRESH_RUNNING_TASK, /* checkpoint, stop, renew */
	SEAM_FRESH_MOVE_VM,
	SEAM_FRESH_ADOPT_CONF,
	SEAM_FRESH_CLASSES
};

/**
 * struct seam_fresh_bounds - maximum ages, from the settings
 * @stale_serve_ms: of the configuration, for idempotent requests
 * @stale_key_ms: of the configuration, for other requests and new tasks
 * @vm_list_ms: of the VM list, for moves and maintenance
 * @clock_skew_ms: how far in the future a confirmation time may lie
 */
struct seam_fresh_bounds {
	int64_t stale_serve_ms;
	int64_t stale_key_ms;
	int64_t vm_list_ms;
	int64_t clock_skew_ms;
};

/**
 * seam_fresh_check() - check that cached data is recent enough for an action
 * @class_: enum seam_fresh_class
 * @confirmed_at: when the configuration was last known to be the newest; for
 *                SEAM_FRESH_MOVE_VM the time of the VM list; 0 for never
 * @now: current time; read it after the last blocking call
 * @bounds: maximum ages
 * @e: SEAM_STALE with the age and the bound
 *
 * SEAM_FRESH_START_TASK, _RUNNING_TASK and _ADOPT_CONF have no maximum age: a
 * store commit, a token or the version number decides.
 */
int seam_fresh_check(enum seam_fresh_class class_, seam_time confirmed_at,
		     seam_time now, const struct seam_fresh_bounds *bounds,
		     struct seam_err *e);

/** seam_fresh_needs_store() - whether the action also needs a store commit */
bool seam_fresh_needs_store(enum seam_fresh_class class_);

#ifdef __cplusplus
}
#endif
#endif
