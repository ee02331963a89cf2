#include "connection/workerlink.h"

#define START_GAP (1 * SEAM_SEC)
#define STOP_GAP (250 * SEAM_MSEC) /* an urgent task may wait for the room */
/*
 * An end is seen within a sixteenth of the run time. With a quarter, a full
 * fleet ran 11% fewer tasks of 10 s than with a listing each second.
 */
#define SHARE 16
#define RENEWAL_GAP                                               \
	(6 * SEAM_SEC) /* renewals come each 5 s and tell as much \
			*/
#define LIST_GAP_MAX (50 * SEAM_SEC) /* records are listed for a minute */

void seam_worker_pace_cmd(struct seam_worker_pace *p, int what, seam_time now)
{
	if (what == SEAM_DO_RENEW || what == SEAM_DO_THROTTLE)
		return;
	p->news_at = now;
	p->least = what == SEAM_DO_START ? START_GAP : STOP_GAP;
}

void seam_worker_pace_states(struct seam_worker_pace *p, bool listing,
			     seam_time now)
{
	p->states_at = now;
	if (listing)
		p->listed_at = now;
}

seam_time seam_worker_pace_next(const struct seam_worker_pace *p, seam_time now)
{
	seam_time gap = (now - p->news_at) / SHARE;
	seam_time next;

	if (gap < p->least)
		gap = p->least;
	if (gap > RENEWAL_GAP)
		gap = RENEWAL_GAP;
	next = p->states_at + gap;
	if (next > p->listed_at + LIST_GAP_MAX)
		next = p->listed_at + LIST_GAP_MAX;
	return next;
}
