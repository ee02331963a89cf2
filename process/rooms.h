#ifndef SEAM_ROOMS_H
#define SEAM_ROOMS_H

#include <stdbool.h>
#include <stddef.h>

#include "base/table.h"
#include "connection/vms.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct seam_rooms - workers of each pool by their free processors and labels
 *
 * Answers a fleet of any size: the fullest worker that has room for a task is
 * found without a look at the others. Not locked.
 */
struct seam_rooms;

/**
 * seam_room_fn - called for a worker
 * Return: true ends the walk.
 */
typedef bool (*seam_room_fn)(struct seam_handle worker, void *arg);

/** seam_rooms_new() - without workers */
struct seam_rooms *seam_rooms_new(void);

/** seam_rooms_free() - free it */
void seam_rooms_free(struct seam_rooms *r);

/**
 * seam_rooms_put() - add a worker, or take what it says of itself anew
 * @r: workers
 * @worker: worker
 * @info: its pool and labels
 * @cpu: processors that are not reserved, thousandths of a core
 * @slow: it was started a short time ago and is still slow
 */
void seam_rooms_put(struct seam_rooms *r, struct seam_handle worker,
		    const struct seam_worker_info *info, int64_t cpu,
		    bool slow);

/** seam_rooms_set() - its free processors have changed; it may be unknown */
void seam_rooms_set(struct seam_rooms *r, struct seam_handle worker,
		    int64_t cpu);

/** seam_rooms_remove() - it may be unknown */
void seam_rooms_remove(struct seam_rooms *r, struct seam_handle worker);

/**
 * seam_rooms_fullest() - walk over the workers of a pool with room
 * @r: workers
 * @pool: pool
 * @cpu: free processors that are needed, thousandths of a core
 * @slow: those that are slow, or those that are not
 * @fn: called for each, those with least free processors first
 * @arg: passed to it
 */
void seam_rooms_fullest(struct seam_rooms *r, const char *pool, int64_t cpu,
			bool slow, seam_room_fn fn, void *arg);

/** seam_rooms_labelled() - walk over the workers of a pool with a label, or all
 * of them if it is "" */
void seam_rooms_labelled(struct seam_rooms *r, const char *pool,
			 const char *label, seam_room_fn fn, void *arg);

#ifdef __cplusplus
}
#endif
#endif
