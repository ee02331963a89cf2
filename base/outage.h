#ifndef SEAM_OUTAGE_H
#define SEAM_OUTAGE_H

#include "base/clock.h"
#include "base/err.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Calls that fail now and then are one outage: it ends after this time. */
#define SEAM_OUTAGE_OVER (5 * SEAM_SEC)

/**
 * struct seam_outage - a run of failures of one periodic call
 * @part: prefix of the log lines
 * @what: what fails, as the start of a sentence, e.g. "VM list"
 * @down: an outage was logged and has not ended
 * @failed: failures in it
 * @failed_at: latest failure
 */
struct seam_outage {
	const char *part;
	const char *what;
	bool down;
	long failed;
	seam_time failed_at;
};

/**
 * seam_outage_note() - take the result of a call; log the start and the end
 * @o: outage, used by one thread
 * @why: error of the call, or NULL if it succeeded
 * @now: time
 *
 * Return: true if a line was logged.
 */
bool seam_outage_note(struct seam_outage *o, const struct seam_err *why,
		      seam_time now);

#ifdef __cplusplus
}
#endif
#endif
