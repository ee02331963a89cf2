#ifndef SEAM_FIT_H
#define SEAM_FIT_H

#include <stdbool.h>
#include <stddef.h>

#include "version/catalog.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct seam_fit_worker - a worker as a candidate for one task
 * @free: resources that are not reserved
 * @near: the worker is in the rack of the task's data, or the task has no data
 * @avoid: the latest run of the task failed there
 * @copy: another copy of the task runs there
 * @serving: number of serving tasks on it
 * @filling: number of filling tasks on it
 * @slow: the worker started recently and is still slow
 */
struct seam_fit_worker {
	struct seam_resources free;
	bool near;
	bool avoid;
	bool copy;
	int serving;
	int filling;
	bool slow;
};

/**
 * struct seam_fit_task - a task to be placed
 * @need: resources to reserve
 * @serves: a serving task
 * @fills: a filling task: it uses the CPU time that others leave
 */
struct seam_fit_task {
	struct seam_resources need;
	bool serves;
	bool fills;
};

/** seam_fits() - whether @need is within @free */
bool seam_fits(const struct seam_resources *need,
	       const struct seam_resources *free);

/**
 * seam_fit() - choose a worker for a task
 * @t: task
 * @w: workers that may run it
 * @n: number of workers
 *
 * Best fit: takes the worker with the least free CPU that the task fits on, so
 * that other workers become empty and can leave the pool. Penalties apply, from
 * small to large, to workers with serving or filling tasks if the task is one
 * of these, to slow workers, and to workers that are not near the task's data.
 * A worker on which the task failed is taken only if it fits on no other.
 *
 * Return: index into @w, or -1.
 */
int seam_fit(const struct seam_fit_task *t, const struct seam_fit_worker *w,
	     size_t n);

#ifdef __cplusplus
}
#endif
#endif
