/* How long to wait for the answer of a worker before a call is repeated. */
#include "process/answer_time.h"

/* A multiple of the estimate, for answers that vary. */
#define MARGIN 2
/* Shorter waits gain little and double the calls to a worker that is slow once.
 */
#define TIMEOUT_MIN (50 * SEAM_MSEC)
/* Also before the first answer. A longer one would delay the first poll of a
 * process that has just started. */
#define TIMEOUT_MAX (200 * SEAM_MSEC)
/* A quicker answer lowers the estimate by this fraction of the difference. */
#define FALL 8
/* One try in this number has the longest wait. */
#define LONG_TRY 4

void seam_answer_time_note(struct seam_answer_time *a, seam_time took)
{
	if (!a->estimate || took > a->estimate)
		a->estimate = took;
	else
		a->estimate -= (a->estimate - took) / FALL;
}

seam_time seam_answer_timeout(const struct seam_answer_time *a, unsigned tries,
			      seam_time longest)
{
	seam_time t = a->estimate ? MARGIN * a->estimate : TIMEOUT_MAX;

	if (t < TIMEOUT_MIN)
		t = TIMEOUT_MIN;
	if (t > TIMEOUT_MAX)
		t = TIMEOUT_MAX;
	if (tries % LONG_TRY == LONG_TRY - 1 || t > longest)
		return longest;
	return t;
}
