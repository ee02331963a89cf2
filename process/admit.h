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
 * struct seam_admit_ops - units of a team's upper limit on this node
 * @take: take @units for a request that starts now; SEAM_OVER_LIMIT with the
 *        team, the limit and the node's grant
 * @wait: after a refusal, wait until @units may be free or @until has passed;
 *        false if it is not worth to wait; NULL if it never is
 * @release: give them back when the request has ended
 * @hold_until: the end of the request is not known: the units stay taken
 *              until @until, when it must have ended
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

/** struct seam_admit - admission; the vtable is the first member */
struct seam_admit {
	const struct seam_admit_ops *ops;
};

#ifdef __cplusplus
}
#endif
#endif
