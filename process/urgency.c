#include "process/urgency.h"

/* From a decision until a task runs, and from its end until that is known. */
#define ORDER_DELAY (100 * SEAM_MSEC)
/* Objectives within which a late job is still of use to its caller. */
#define USEFUL 3
/* The longest of some uneven tasks takes this part more than the estimate. */
#define UNEVEN_PART 4
#define PRIORITY_BITS 31

/* From the most significant on, above the priority. */
enum { NOT_LASTING = 8, LATE = 4, USELESS = 2, OVER_SHARE = 1 };

/* Last moment at which it can be started in time by its estimate. */
static seam_time start_by(const struct seam_urgency *u)
{
	return u->due_at - u->left_ms * SEAM_MSEC - ORDER_DELAY;
}

bool seam_urgency_late(const struct seam_urgency *u, seam_time now)
{
	return !u->lasting && now > start_by(u);
}

/* After it, its caller has no use for it by its estimate. */
static seam_time useful_until(const struct seam_urgency *u)
{
	return u->accepted_at + USEFUL * (u->due_at - u->accepted_at) -
	       u->left_ms * SEAM_MSEC;
}

struct seam_urgency_key seam_urgency_key_of(const struct seam_urgency *u,
					    seam_time now, bool crowded)
{
	seam_time margin = crowded ? u->left_ms * SEAM_MSEC / UNEVEN_PART : 0;
	seam_time in_time_until = start_by(u) - margin;
	struct seam_urgency_key k = {.holds_until = SEAM_NEVER};
	int64_t class = 0;

	if (!u->lasting) {
		class = NOT_LASTING;
		if (now > in_time_until)
			class += LATE;
		else
			k.holds_until = in_time_until;
		if (now > useful_until(u))
			class += USELESS;
		else if (useful_until(u) < k.holds_until)
			k.holds_until = useful_until(u);
	}
	if (u->over_share)
		class += OVER_SHARE;
	k.rank = (class << PRIORITY_BITS) + u->priority;
	/* The last bit is for begun jobs, within one priority. */
	k.rank = 2 * k.rank + (crowded && !u->begun);
	k.at = class & LATE ? u->accepted_at :
			      u->due_at - u->left_ms * SEAM_MSEC;
	return k;
}

int seam_urgency_compare(const struct seam_urgency_key *a,
			 const struct seam_urgency_key *b)
{
	if (a->rank != b->rank)
		return a->rank < b->rank ? -1 : 1;
	return (a->at > b->at) - (a->at < b->at);
}
