#include "process/fresh.h"

#include <stddef.h>

#define NO_BOUND SIZE_MAX

/* Requirements of each class; see docs/design.md, section 6. */
static const struct need {
	const char *name;
	const char *subject;
	size_t bound; /* offset in struct seam_fresh_bounds */
	bool store;
} needs[SEAM_FRESH_CLASSES] = {
	[SEAM_FRESH_IDEMPOTENT] = {"idempotent request", "configuration",
				   offsetof(struct seam_fresh_bounds,
					    stale_serve_ms),
				   false},
	[SEAM_FRESH_NON_IDEMPOTENT] =
		{"non-idempotent request", "configuration",
		 offsetof(struct seam_fresh_bounds, stale_key_ms), false},
	[SEAM_FRESH_KEYED] = {"request with a key", "configuration",
			      offsetof(struct seam_fresh_bounds, stale_key_ms),
			      true},
	[SEAM_FRESH_PUT_TASK] = {"new task", "configuration",
				 offsetof(struct seam_fresh_bounds,
					  stale_key_ms),
				 true},
	[SEAM_FRESH_START_TASK] = {"start of a task", "configuration", NO_BOUND,
				   true},
	[SEAM_FRESH_RUNNING_TASK] = {"running task", "configuration", NO_BOUND,
				     false},
	[SEAM_FRESH_MOVE_VM] = {"move of a VM", "VM list",
				offsetof(struct seam_fresh_bounds, vm_list_ms),
				true},
	[SEAM_FRESH_ADOPT_CONF] = {"new configuration", "configuration",
				   NO_BOUND, false},
};

int seam_fresh_check(enum seam_fresh_class class_, seam_time confirmed_at,
		     seam_time now, const struct seam_fresh_bounds *bounds,
		     struct seam_err *e)
{
	const struct need *n;
	int64_t age = (now - confirmed_at) / SEAM_MSEC;
	int64_t max;

	if ((unsigned)class_ >= SEAM_FRESH_CLASSES)
		return seam_fail(e, SEAM_INTERNAL, "unknown freshness class");
	n = &needs[class_];
	if (n->bound == NO_BOUND)
		return 0;
	if (!confirmed_at)
		return seam_fail(e, SEAM_STALE, "%s: no %s yet", n->name,
				 n->subject);
	max = *(const int64_t *)((const char *)bounds + n->bound);
	if (now - confirmed_at <= max * SEAM_MSEC &&
	    confirmed_at - now <= bounds->clock_skew_ms * SEAM_MSEC)
		return 0;
	return seam_fail(e, SEAM_STALE,
			 "%s: %s was confirmed %lld ms ago, limit %lld",
			 n->name, n->subject, (long long)age, (long long)max);
}

bool seam_fresh_needs_store(enum seam_fresh_class class_)
{
	return (unsigned)class_ < SEAM_FRESH_CLASSES && needs[class_].store;
}
