#ifndef SEAM_BACKFILL_H
#define SEAM_BACKFILL_H

#include <stdbool.h>
#include <stddef.h>

#include "base/clock.h"
#include "process/fit.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Backfill of a worker that is kept for a task, as in EASY (Lifka, The ANL/IBM
 * SP scheduling system, 1995): other tasks may start there if they do not put
 * the start of that task off.
 */

/**
 * struct seam_backfill_run - a run on the worker
 * @need: what it has reserved
 * @end: when it ends by its estimate; SEAM_NEVER if it lasts
 */
struct seam_backfill_run {
	struct seam_resources need;
	seam_time end;
};

/**
 * struct seam_backfill - when a worker has room for the task it is kept for
 * @room_at: then, by the estimates of the runs; SEAM_NEVER if never
 * @beside: what is free beside the task from then on
 */
struct seam_backfill {
	seam_time room_at;
	struct seam_resources beside;
};

/**
 * seam_backfill_end() - when a run is expected to end
 * @begun: when it began
 * @estimate_ms: its estimated run time
 * @now: time
 *
 * A run that exceeds its estimate is expected to exceed it as much again.
 */
seam_time seam_backfill_end(seam_time begun, int64_t estimate_ms,
			    seam_time now);

/**
 * seam_backfill_plan() - when a worker has room for a task
 * @need: what the task needs
 * @free: what is free on the worker now
 * @run: runs on the worker; sorted by their ends
 * @n: number of runs
 * @now: time
 */
struct seam_backfill seam_backfill_plan(const struct seam_resources *need,
					const struct seam_resources *free,
					struct seam_backfill_run *run, size_t n,
					seam_time now);

/**
 * seam_backfill_fits() - whether another task may start on the worker
 * @b: plan
 * @need: what it needs, which has to be free now
 * @end: when it ends by its estimate
 */
bool seam_backfill_fits(const struct seam_backfill *b,
			const struct seam_resources *need, seam_time end);

#ifdef __cplusplus
}
#endif
#endif
