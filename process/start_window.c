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
/*
 * A queue that makes calls time out, after 50 ms or more, delays those that are
 * answered by more than this.
 */
#define CALL_QUICK (25 * SEAM_MSEC)
/* Number of calls that their time is smoothed over. */
#define SMOOTHED_CALLS 16

void seam_start_window_init(struct seam_start_window *w, int size, int min,
			    int max)
{
	w->size = size;
	w->min = min;
	w->max = max;
	/* Neither quick nor late: an answer has to show which. */
	w->smoothed = TIME_SHORT;
	w->call_time = 0;
	w->answered_sent_at = 0;
	w->cut_at = 0;
}

static void note_call(struct seam_start_window *w,
		      const struct seam_start_end *s)
{
	double took = (double)s->call_time;

	if (s->sent_at > w->answered_sent_at)
		w->answered_sent_at = s->sent_at;
	if (!w->call_time)
		w->call_time = took;
	else
		w->call_time += (took - w->call_time) / SMOOTHED_CALLS;
}

/* Whether answers to calls of @s were lost, and not delayed by a queue. */
static bool lost_answers(const struct seam_start_window *w,
			 const struct seam_start_end *s)
{
	return w->answered_sent_at >= s->sent_at && w->call_time < CALL_QUICK;
}

void seam_start_window_ended(struct seam_start_window *w,
			     const struct seam_start_end *s, int pending,
			     seam_time now)
{
	seam_time took = now - s->sent_at;

	if (s->answered)
		note_call(w, s);
	if (lost_answers(w, s)) {
		if (!s->answered)
			return;
		took -= s->lost;
	}
	seam_start_window_answered(w, took, pending, now);
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
