#ifndef SEAM_ADMIT_H
#define SEAM_ADMIT_H

#include <stdbool.h>

#include "base/clock.h"
#include "base/err.h"

#ifdef __cplusplus
extern "C" {
#endif

struct seam_admit;

/**
 * struct seam_admit_ops - admission by a team's units on this node
 * @take: acquire @units for a request that starts now; SEAM_OVER_LIMIT with the
 *        team, the limit and the node's grant if they are not available
 * @wait: after a refusal, wait until @units may be available or @until has
 *        passed; false if they are not available; NULL if waiting is not
 *        supported
 * @release: release @units after the request has ended
 * @hold_until: the outcome of the request is unknown: keep @units acquired
 *              until @until, when the request must have ended
 */
struct seam_admit_ops {
	int (*take)(struct seam_admit *a, const char *team, int units,
		    seam_time now, struct seam_err *e);
	bool (*wait)(struct seam_admit *a, const char *team, int units,
		     seam_time until);
	void (*release)(struct seam_admit *a, const char *team, int units,
			seam_time now);
	void (*hold_until)(struct seam_admit *a, const char *team, int units,
			   seam_time until);
};

/** struct seam_admit - admission control; the vtable is the first member */
struct seam_admit {
	const struct seam_admit_ops *ops;
};

#ifdef __cplusplus
}
#endif
#endif
