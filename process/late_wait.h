#ifndef SEAM_LATE_WAIT_H
#define SEAM_LATE_WAIT_H

#include <stdbool.h>

#include "base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * A task waits for the worker of a late start for this long from the first
 * start without an answer since it last ran. The users call a lasting task lost
 * that does not run in the last 3 of 7 calm seconds, and a job of which nothing
 * runs for 3 s at the end; calm ends with the order that got no answer, and the
 * next start takes up to a second.
 */
#define LATE_START_WAIT (6 * SEAM_SEC)
/*
 * A lasting task is also lost at the end if it does not run for 3 s from 6 s
 * after its last run on; the next start takes up to a second.
 */
#define LASTING_IDLE_MAX (8 * SEAM_SEC)
/* Jobs keep arriving if the latest one was accepted within this time. */
#define ARRIVAL_PAUSE_MAX (2 * SEAM_SEC)

/**
 * struct seam_late_wait - what the wait for a late start of a task depends on
 * @lasting: the task does not end by itself
 * @since: when the start without an answer was queued, the first of several
 *     since the task last ran
 * @late_until: no such start can come after this time
 * @disturbed_at: when its worker last fell silent or was seen to have
 *     restarted; 0 if never
 * @ran_at: when the task was last known to run; 0 if never
 * @job_at_work: another task of its job runs, or jobs keep arriving
 */
struct seam_late_wait {
	bool lasting;
	seam_time since;
	seam_time late_until;
	seam_time disturbed_at;
	seam_time ran_at;
	bool job_at_work;
};

/**
 * seam_late_wait_end() - until when a task starts only on the worker that may
 * carry a start of it out late
 *
 * A task that ends is lost only at the end of a day and if nothing of its job
 * runs, so it waits for all late starts while its job is at work. A lasting one
 * may be lost at any time; a disturbance of its worker ends the calm, and so
 * puts the end of the wait off.
 *
 * Return: a time, @late_until at most.
 */
seam_time seam_late_wait_end(const struct seam_late_wait *w);

#ifdef __cplusplus
}
#endif
#endif
