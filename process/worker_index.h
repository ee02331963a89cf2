#ifndef SEAM_WORKER_INDEX_H
#define SEAM_WORKER_INDEX_H

#include <stdbool.h>
#include <stddef.h>

#include "base/table.h"
#include "connection/vms.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct seam_worker_index - index of the workers of each pool by free CPU and
 * label
 *
 * Finds the fullest worker that has room for a task without a scan of the
 * others, so the cost does not grow with the fleet. Not locked.
 */
struct seam_worker_index;

/**
 * seam_worker_index_fn - callback for a worker
 *
 * Return: true to end the iteration.
 */
typedef bool (*seam_worker_index_fn)(struct seam_handle worker, void *arg);

/** seam_worker_index_new() - create an empty index */
struct seam_worker_index *seam_worker_index_new(void);

/** seam_worker_index_free() - free the index */
void seam_worker_index_free(struct seam_worker_index *idx);

/**
 * seam_worker_index_put() - add or replace a worker
 * @idx: index
 * @worker: worker
 * @info: its pool and labels
 * @cpu: CPU that is not reserved, thousandths of a core
 * @slow: the worker started recently and is still slow
 */
void seam_worker_index_put(struct seam_worker_index *idx,
			   struct seam_handle worker,
			   const struct seam_worker_info *info, int64_t cpu,
			   bool slow);

/** seam_worker_index_set_cpu() - set free CPU of a worker, if it is known */
void seam_worker_index_set_cpu(struct seam_worker_index *idx,
			       struct seam_handle worker, int64_t cpu);

/** seam_worker_index_remove() - remove a worker; no effect if unknown */
void seam_worker_index_remove(struct seam_worker_index *idx,
			      struct seam_handle worker);

/**
 * seam_worker_index_each_fitting() - iterate over the workers of a pool that
 * have room
 * @idx: index
 * @pool: pool
 * @cpu: free CPU that is needed, thousandths of a core
 * @slow: iterate over slow workers; false: over the others
 * @fn: called for each worker, in order of rising free CPU
 * @arg: passed to @fn
 */
void seam_worker_index_each_fitting(struct seam_worker_index *idx,
				    const char *pool, int64_t cpu, bool slow,
				    seam_worker_index_fn fn, void *arg);

/**
 * seam_worker_index_each_labelled() - iterate over the workers of a pool with a
 * label
 * @idx: index
 * @pool: pool
 * @label: label; "" for all workers of the pool
 * @fn: called for each worker
 * @arg: passed to @fn
 */
void seam_worker_index_each_labelled(struct seam_worker_index *idx,
				     const char *pool, const char *label,
				     seam_worker_index_fn fn, void *arg);

#ifdef __cplusplus
}
#endif
#endif
