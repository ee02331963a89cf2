#include "base/outage.h"
#include "base/log.h"

static bool begin(struct seam_outage *o, const struct seam_err *why)
{
	o->down = true;
	o->failed = 1;
	seam_log(SEAM_WARN, o->part, "%s not read: %s.", o->what, why->text);
	return true;
}

bool seam_outage_note(struct seam_outage *o, const struct seam_err *why,
		      seam_time now)
{
	if (why)
		o->failed_at = now;
	if (why && !o->down)
		return begin(o, why);
	o->failed += why != NULL;
	if (why || !o->down || now - o->failed_at < SEAM_OUTAGE_OVER)
		return false;
	o->down = false;
	seam_log(SEAM_INFO, o->part, "%s read again after %ld failures.",
		 o->what, o->failed);
	return true;
}
