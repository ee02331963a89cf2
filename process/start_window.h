#ifndef SEAM_START_WINDOW_H
#define SEAM_START_WINDOW_H

#include <stdbool.h>

#include "base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct seam_start_window - how many starts may wait for an answer
 * @size: the number
 * @min: its lower bound
 * @max: its upper bound
 * @smoothed: smoothed time from a start to its answer; neither quick nor late
 *     before the first answer
 * @call_time: smoothed time of single calls that workers answered; 0 before the
 *     first
 * @answered_sent_at: when the start was sent that is the latest of those that
 *     were answered
 * @cut_at: no further cut before, as answers of starts that were sent before
 * the last one still come
 *
 * A queue in front of a narrow link or a small processor delays renewals of
 * leases, and a more urgent start cannot overtake those in it. The window grows
 * while answers come fast and is cut when they come late, as a window of
 * congestion control that goes by delay does (TCP Vegas: Brakmo, Peterson, "TCP
 * Vegas: end to end congestion avoidance on a global Internet", 1995), with the
 * smoothed time of RFC 6298. It answers load at five times the mean on links of
 * 2 Mbit/s, and 5,000 starts a second on half of a core.
 *
 * The time that a start waits for calls without an answer says nothing of the
 * queue if those answers were lost (Karn, Partridge, "Improving round-trip time
 * estimates in reliable transport protocols", 1987). They were if other calls
 * are answered at once, and some start that was sent later was answered (after
 * RACK, RFC 8985). A queue delays the calls that are answered as well, or lets
 * none through.
 */
struct seam_start_window {
	double size;
	double min;
	double max;
	double smoothed;
	double call_time;
	seam_time answered_sent_at;
	seam_time cut_at;
};

/**
 * struct seam_start_end - how a start came to an answer, or was given up
 * @sent_at: when it was queued
 * @answered: the worker answered one of its calls
 * @call_time: time of that call
 * @lost: time for which the start waited for calls without an answer
 */
struct seam_start_end {
	seam_time sent_at;
	bool answered;
	seam_time call_time;
	seam_time lost;
};

/** seam_start_window_init() - start with @size; bounds @min and @max */
void seam_start_window_init(struct seam_start_window *w, int size, int min,
			    int max);

/**
 * seam_start_window_ended() - a start was answered or given up
 * @w: window
 * @s: the start
 * @pending: starts that wait for an answer
 * @now: current time
 */
void seam_start_window_ended(struct seam_start_window *w,
			     const struct seam_start_end *s, int pending,
			     seam_time now);

/**
 * seam_start_window_answered() - a start was answered without a lost call
 * @w: window
 * @took: time from the start to its answer
 * @pending: starts that wait for an answer; a window that is not used does not
 *     grow
 * @now: current time
 */
void seam_start_window_answered(struct seam_start_window *w, seam_time took,
				int pending, seam_time now);

#ifdef __cplusplus
}
#endif
#endif
