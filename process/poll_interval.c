#include "process/poll_interval.h"

#define INTERVAL_MIN (30 * SEAM_MSEC)
/* Bounds the delay until an ended run is seen: a tenth of the shortest latency
 * objective. */
#define INTERVAL_MAX (120 * SEAM_MSEC)
/* Total rate over all workers: a quarter of a core at 150 us for each poll. */
#define POLLS_PER_S 1600

seam_time seam_poll_interval(size_t busy)
{
	seam_time gap = (seam_time)busy * SEAM_SEC / POLLS_PER_S;

	if (gap < INTERVAL_MIN)
		return INTERVAL_MIN;
	return gap < INTERVAL_MAX ? gap : INTERVAL_MAX;
}
