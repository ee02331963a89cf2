#ifndef SEAM_LOOK_GAP_H
#define SEAM_LOOK_GAP_H

#include <stddef.h>

#include "base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * seam_look_gap() - pause between two looks at a worker with runs
 * @busy: workers with runs
 *
 * A look ends with the first run that ends, and takes the owner about 150 us of
 * processor time. The pause lets further ends go in one look. It answers many
 * busy workers: it grows with their number, so that looks at all of them
 * together keep to a rate that a node of half a core can do beside the starts.
 *
 * Return: microseconds.
 */
seam_time seam_look_gap(size_t busy);

#ifdef __cplusplus
}
#endif
#endif
