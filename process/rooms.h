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
 * struct seam_rooms - index of the workers of each pool by free CPU and label
 *
 * Finds the fullest worker that has room for a task without a scan of the
 * others, so the cost does not grow with the fleet. Not locked.
 */
struct seam_rooms;

/**
 * seam_room_fn - callback for a worker
 *
 * Return: true to end the iteration.
 */
typedef bool (*seam_room_fn)(struct seam_handle worker, void *arg);

/** seam_rooms_new() - create an empty index */
struct seam_rooms *seam_rooms_new(void);

/** seam_rooms_free() - free the index */
void seam_rooms_free(struct seam_rooms *r);

/**
 * seam_rooms_put() - add or replace a worker
 * @r: index
 * @worker: worker
 * @info: its pool and labels
 * @cpu: CPU that is not reserved, thousandths of a core
 * @slow: the worker started recently and is still slow
 */
void seam_rooms_put(struct seam_rooms *r, struct seam_handle worker,
		    const struct seam_worker_info *info, int64_t cpu,
		    bool slow);

/** seam_rooms_set() - update the free CPU of a worker; no effect if unknown */
void seam_rooms_set(struct seam_rooms *r, struct seam_handle worker,
		    int64_t cpu);

/** seam_rooms_remove() - remove a worker; no effect if unknown */
void seam_rooms_remove(struct seam_rooms *r, struct seam_handle worker);

/**
 * seam_rooms_fullest() - iterate over the workers of a pool that have room
 * @r: index
 * @pool: pool
 * @cpu: free CPU that is needed, thousandths of a core
 * @slow: iterate over slow workers; false: over the others
 * @fn: called for each worker, in order of rising free CPU
 * @arg: passed to @fn
 */
void seam_rooms_fullest(struct seam_rooms *r, const char *pool, int64_t cpu,
			bool slow, seam_room_fn fn, void *arg);

/**
 * seam_rooms_labelled() - iterate over the workers of a pool with a label
 * @r: index
 * @pool: pool
 * @label: label; "" for all workers of the pool
 * @fn: called for each worker
 * @arg: passed to @fn
 */
void seam_rooms_labelled(struct seam_rooms *r, const char *pool,
			 const char *label, seam_room_fn fn, void *arg);

#ifdef __cplusplus
}
#endif
#endif
