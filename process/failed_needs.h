#ifndef SEAM_FAILED_NEEDS_H
#define SEAM_FAILED_NEEDS_H

#include "process/fit.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Needs that are kept. One beyond them costs a search that finds nothing. */
#define SEAM_FAILED_NEEDS_MAX 16

/**
 * struct seam_failed_need - a need that found no worker
 * @need: the need
 * @why: what its task waits for; the caller's
 */
struct seam_failed_need {
	struct seam_resources need;
	int why;
};

/**
 * struct seam_failed_needs - the smallest needs that found no worker
 * @need: the needs, none of them as large as another in all resources
 * @count: number of them
 *
 * While room only shrinks, a need that is as large as one of them finds none
 * either. Zeroed, it is empty. Not locked.
 */
struct seam_failed_needs {
	struct seam_failed_need need[SEAM_FAILED_NEEDS_MAX];
	int count;
};

/**
 * seam_failed_needs_find() - look for a need that is not larger than @need
 *
 * Return: one that found no worker, or NULL if @need may find one.
 */
const struct seam_failed_need *
seam_failed_needs_find(const struct seam_failed_needs *f,
		       const struct seam_resources *need);

/** seam_failed_needs_add() - note that @need found no worker */
void seam_failed_needs_add(struct seam_failed_needs *f,
			   const struct seam_resources *need, int why);

#ifdef __cplusplus
}
#endif
#endif
