#ifndef SEAM_OUTAGE_H
#define SEAM_OUTAGE_H

#include "base/clock.h"
#include "base/err.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * An outage ends this long after its last failure, so that intermittent
 * failures are one outage.
 */
#define SEAM_OUTAGE_CLEAR_DELAY (5 * SEAM_SEC)

/**
 * struct seam_outage - outage of a periodic call, logged at its start and end
 * @part: component, as for seam_log()
 * @what: what fails, as the start of a sentence, e.g. "VM list"
 * @active: the start of an outage was logged, and not yet its end
 * @failures: number of failed calls in the outage
 * @last_failure_at: time of the last failed call
 */
struct seam_outage {
	const char *part;
	const char *what;
	bool active;
	long failures;
	seam_time last_failure_at;
};

/**
 * seam_outage_update() - record the result of a call
 * @o: state, used by one thread only
 * @error: error of the call, or NULL if it succeeded
 * @now: current time
 *
 * Return: true if a line was logged.
 */
bool seam_outage_update(struct seam_outage *o, const struct seam_err *error,
			seam_time now);

#ifdef __cplusplus
}
#endif
#endif
