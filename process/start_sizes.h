#ifndef SEAM_START_SIZES_H
#define SEAM_START_SIZES_H

#include <stdint.h>

#include "base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Sizes that are kept; the largest, which is the oldest, is dropped first. */
#define SEAM_START_SIZES_MAX 16

/** struct seam_start_size - a start and what it needed of a resource */
struct seam_start_size {
	int64_t size;
	seam_time at;
};

/**
 * struct seam_start_sizes - when a task as large as a size was last started
 * @start: starts that no later one was as large as, so that sizes fall and
 *     times rise
 * @count: number of them
 *
 * Zeroed, it is empty. Not locked.
 */
struct seam_start_sizes {
	struct seam_start_size start[SEAM_START_SIZES_MAX];
	int count;
};

/** seam_start_sizes_add() - note a start; times may not fall */
void seam_start_sizes_add(struct seam_start_sizes *s, int64_t size,
			  seam_time at);

/**
 * seam_start_sizes_latest() - when a task of @size or more was last started
 *
 * Return: 0 if none is known.
 */
seam_time seam_start_sizes_latest(const struct seam_start_sizes *s,
				  int64_t size);

#ifdef __cplusplus
}
#endif
#endif
