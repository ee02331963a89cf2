#include "base/outage.h"
#include "base/log.h"

static bool start_outage(struct seam_outage *o, const struct seam_err *error)
{
	o->active = true;
	o->failures = 1;
	seam_log(SEAM_WARN, o->part, "%s could not be read: %s.", o->what,
		 error->text);
	return true;
}

bool seam_outage_update(struct seam_outage *o, const struct seam_err *error,
			seam_time now)
{
	if (error)
		o->last_failure_at = now;
	if (error && !o->active)
		return start_outage(o, error);
	o->failures += error != NULL;
	if (error || !o->active ||
	    now - o->last_failure_at < SEAM_OUTAGE_CLEAR_DELAY)
		return false;
	o->active = false;
	seam_log(SEAM_INFO, o->part, "%s read successfully after %ld failures.",
		 o->what, o->failures);
	return true;
}
