#ifndef SEAM_POLL_INTERVAL_H
#define SEAM_POLL_INTERVAL_H

#include <stddef.h>

#include "base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * seam_poll_interval() - pause between two polls of a worker with runs
 * @busy: number of workers with runs
 *
 * A poll returns when the first run ends, and takes about 150 us of CPU time.
 * During the pause further runs can end, which one poll then reports together.
 * The pause grows with the number of busy workers, so that the total rate of
 * polls leaves a node of half a core enough time for the starts.
 *
 * Return: microseconds.
 */
seam_time seam_poll_interval(size_t busy);

#ifdef __cplusplus
}
#endif
#endif
