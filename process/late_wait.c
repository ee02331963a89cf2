/* How long a task waits for the worker of a late start. */
#include "process/late_wait.h"

static seam_time later(seam_time a, seam_time b)
{
	return a > b ? a : b;
}

static seam_time earlier(seam_time a, seam_time b)
{
	return a < b ? a : b;
}

seam_time seam_late_wait_end(const struct seam_late_wait *w)
{
	seam_time end = w->since + LATE_START_WAIT;

	if (!w->lasting)
		return w->job_at_work ? w->late_until :
					earlier(end, w->late_until);
	end = later(end, w->disturbed_at + LATE_START_WAIT);
	end = earlier(end, later(w->since, w->ran_at) + LASTING_IDLE_MAX);
	return earlier(end, w->late_until);
}
