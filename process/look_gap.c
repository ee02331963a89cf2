#include "process/look_gap.h"

#define GAP_MIN (30 * SEAM_MSEC)
/* An end is known so much later at most: a tenth of the shortest objective. */
#define GAP_MAX (120 * SEAM_MSEC)
/* Looks at all workers in a second, at 150 us a quarter of a core. */
#define LOOKS_PER_S 1600

seam_time seam_look_gap(size_t busy)
{
	seam_time gap = (seam_time)busy * SEAM_SEC / LOOKS_PER_S;

	if (gap < GAP_MIN)
		return GAP_MIN;
	return gap < GAP_MAX ? gap : GAP_MAX;
}
