#include "process/urgency.h"

/* The result of a late job is of use to its caller up to this multiple of its
 * latency objective. */
#define USEFUL_OBJECTIVES 3
/* The longest of several uneven tasks takes 1/4 more than the estimate. */
#define STRAGGLER_DIVISOR 4
#define PRIORITY_BITS 31

/* Bits of the rank above the priority, from the most significant one. */
enum { NOT_LASTING = 8, LATE = 4, NOT_USEFUL = 2, OVER_SHARE = 1 };

/* Latest start that meets the objective by the estimate. */
static seam_time start_by(const struct seam_urgency *u)
{
	return u->due_at - u->left_ms * SEAM_MSEC - SEAM_START_AND_REPORT_DELAY;
}

bool seam_urgency_late(const struct seam_urgency *u, seam_time now)
{
	return !u->lasting && now > start_by(u);
}

/* Latest start that gives the caller a useful result by the estimate. */
static seam_time result_useful_until(const struct seam_urgency *u)
{
	return u->accepted_at +
	       USEFUL_OBJECTIVES * (u->due_at - u->accepted_at) -
	       u->left_ms * SEAM_MSEC;
}

struct seam_urgency_key seam_urgency_key_of(const struct seam_urgency *u,
					    seam_time now, bool overloaded)
{
	seam_time margin =
		overloaded ? u->left_ms * SEAM_MSEC / STRAGGLER_DIVISOR : 0;
	seam_time in_time_until = start_by(u) - margin;
	struct seam_urgency_key k = {.valid_until = SEAM_NEVER};
	int64_t class = 0;

	if (!u->lasting) {
		class = NOT_LASTING;
		if (now > in_time_until)
			class += LATE;
		else
			k.valid_until = in_time_until;
		if (now > result_useful_until(u))
			class += NOT_USEFUL;
		else if (result_useful_until(u) < k.valid_until)
			k.valid_until = result_useful_until(u);
	}
	if (u->over_share)
		class += OVER_SHARE;
	k.rank = (class << PRIORITY_BITS) + u->priority;
	/* The least significant bit orders begun jobs first within a
	 * priority. */
	k.rank = 2 * k.rank + (overloaded && !u->begun);
	k.at = class & LATE ? u->accepted_at :
			      u->due_at - u->left_ms * SEAM_MSEC;
	return k;
}

struct seam_urgency_key seam_urgency_first_late(void)
{
	return (struct seam_urgency_key){
		.rank = 2 * ((int64_t)(NOT_LASTING + LATE) << PRIORITY_BITS),
		.at = INT64_MIN,
		.valid_until = SEAM_NEVER};
}

int seam_urgency_compare(const struct seam_urgency_key *a,
			 const struct seam_urgency_key *b)
{
	if (a->rank != b->rank)
		return a->rank < b->rank ? -1 : 1;
	return (a->at > b->at) - (a->at < b->at);
}
