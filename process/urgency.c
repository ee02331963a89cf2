#include "process/urgency.h"

/* From a decision until a task runs, and from its end until that is known. */
#define ORDER_DELAY (100 * SEAM_MSEC)
/* Objectives within which a late job is still of use to its caller. */
#define USEFUL 3
/* The longest of some uneven tasks takes this part more than the estimate. */
#define UNEVEN_PART 4

bool seam_urgency_late(const struct seam_urgency *u, seam_time now)
{
	return !u->lasting &&
	       now + u->left_ms * SEAM_MSEC + ORDER_DELAY > u->due_at;
}

/* So late by its estimate that its caller has no use for it. */
static bool is_useless(const struct seam_urgency *u, seam_time now)
{
	seam_time objective = u->due_at - u->accepted_at;

	return !u->lasting && now + u->left_ms * SEAM_MSEC >
				      u->accepted_at + USEFUL * objective;
}

/* Late by its estimate with a margin. */
static bool is_tight(const struct seam_urgency *u, seam_time now)
{
	seam_time margin = u->left_ms * SEAM_MSEC / UNEVEN_PART;

	return seam_urgency_late(u, now + margin);
}

static int compare(int64_t a, int64_t b)
{
	return (a > b) - (a < b);
}

int seam_urgency_before(const struct seam_urgency *a,
			const struct seam_urgency *b, seam_time now,
			bool crowded)
{
	bool late_a = crowded ? is_tight(a, now) : seam_urgency_late(a, now);
	bool late_b = crowded ? is_tight(b, now) : seam_urgency_late(b, now);
	bool useless_a = is_useless(a, now);

	if (a->lasting != b->lasting)
		return a->lasting ? -1 : 1;
	if (late_a != late_b)
		return late_a ? 1 : -1;
	if (useless_a != is_useless(b, now))
		return useless_a ? 1 : -1;
	if (a->over_share != b->over_share)
		return a->over_share ? 1 : -1;
	if (a->priority != b->priority)
		return compare(a->priority, b->priority);
	if (crowded && a->begun != b->begun)
		return a->begun ? -1 : 1;
	if (late_a)
		return compare(a->accepted_at, b->accepted_at);
	return compare(a->due_at - a->left_ms * SEAM_MSEC,
		       b->due_at - b->left_ms * SEAM_MSEC);
}
