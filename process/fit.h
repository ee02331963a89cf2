#ifndef SEAM_FIT_H
#define SEAM_FIT_H

#include <stdbool.h>
#include <stddef.h>

#include "version/catalog.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct seam_fit_worker - a worker as the placing of one task sees it
 * @free: resources that are not reserved
 * @near: it is in the rack with the task's data, or the task has none
 * @avoid: the task failed there last
 * @copy: another copy of the task runs there
 * @serving: serving tasks on it
 * @filling: filling tasks on it
 * @slow: it was started a short time ago and is still slow
 */
struct seam_fit_worker {
	struct seam_amount free;
	bool near;
	bool avoid;
	bool copy;
	int serving;
	int filling;
	bool slow;
};

/** struct seam_fit_task - a task that is to be placed */
struct seam_fit_task {
	struct seam_amount need;
	bool serves;
	bool fills;
};

/** seam_fits() - whether @need is within @free */
bool seam_fits(const struct seam_amount *need, const struct seam_amount *free);

/**
 * seam_fit() - choose a worker for a task
 * @t: task
 * @w: workers that may run it
 * @n: their number
 *
 * The fullest worker that has room is taken, so that others empty and can leave
 * the pool. Before that counts that data is near, that filling and serving
 * tasks are apart, and that a worker is not slow. Where a task failed it goes
 * only if no other worker has room.
 *
 * Return: index into @w, or -1.
 */
int seam_fit(const struct seam_fit_task *t, const struct seam_fit_worker *w,
	     size_t n);

#ifdef __cplusplus
}
#endif
#endif
