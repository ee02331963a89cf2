/* Converts deadlines of an owner to the clock of a node. */
#include "connection/lane.h"

/* Time synchronisation changes the rate of a clock by up to 500 ppm. */
#define DRIFT_DIVISOR 1000
/*
 * The answer that took the shortest way gives the latest bound. A newer one
 * replaces it after this time at the latest.
 */
#define SAMPLE_AGE_MAX (5 * SEAM_SEC)

/* Returns by how much the clocks can have changed from each other in @t. */
static seam_time drift(seam_time t)
{
	return (t < 0 ? -t : t) / DRIFT_DIVISOR;
}

/*
 * The node reads its clock before the owner receives the answer, so the bound
 * is too early by the time that the answer took, and never too late.
 */
void seam_lane_clock_note(struct seam_lane_clock *c, seam_time node_now,
			  seam_time now)
{
	seam_time ahead = node_now - now;

	if (c->known && now <= c->at + SAMPLE_AGE_MAX &&
	    ahead < c->ahead - drift(now - c->at))
		return;
	*c = (struct seam_lane_clock){true, ahead, now};
}

seam_time seam_lane_clock_deadline(const struct seam_lane_clock *c,
				   seam_time deadline)
{
	return deadline + c->ahead - drift(deadline - c->at);
}
