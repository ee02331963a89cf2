#include "process/start_window.h"

/* Answers that come within this time let the window grow. */
#define TIME_SHORT (100 * SEAM_MSEC)
/* Later ones cut it. A start has 0.6 s to be sent. */
#define TIME_LONG (200 * SEAM_MSEC)
#define CUT 0.8
#define GROWTH 8.0 /* per window of answers */
/*
 * Least number of answers that are smoothed over; else those of a window. One
 * in a hundred starts waits 0.5 s for a worker that does not answer, which says
 * nothing of the link.
 */
#define SMOOTHED_MIN 32

void seam_start_window_init(struct seam_start_window *w, int size, int min,
			    int max)
{
	w->size = size;
	w->min = min;
	w->max = max;
	/* Neither quick nor late: an answer has to show which. */
	w->smoothed = TIME_SHORT;
	w->cut_at = 0;
}

void seam_start_window_answered(struct seam_start_window *w, seam_time took,
				int pending, seam_time now)
{
	double n = w->size > SMOOTHED_MIN ? w->size : SMOOTHED_MIN;

	w->smoothed += ((double)took - w->smoothed) / n;
	if (w->smoothed > TIME_LONG && now >= w->cut_at) {
		w->size *= CUT;
		w->cut_at = now + (seam_time)w->smoothed;
	} else if (w->smoothed < TIME_SHORT && 2 * pending >= w->size) {
		w->size += GROWTH / w->size;
	}
	if (w->size < w->min)
		w->size = w->min;
	if (w->size > w->max)
		w->size = w->max;
}
