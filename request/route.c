#include "request/route.h"

#include <string.h>

static int load(const struct seam_target *t)
{
	return t->outstanding + t->peer_load;
}

/* Free slots first near, then far; the least loaded of them. */
static bool better(const struct seam_target *t, const struct seam_target *best,
		   const char *dc)
{
	bool near = !strcmp(t->info.dc, dc);
	bool best_near;

	if (!best)
		return true;
	best_near = !strcmp(best->info.dc, dc);
	if (near != best_near)
		return near;
	return load(t) * best->info.slots < load(best) * t->info.slots;
}

int seam_route_take(struct seam_targets *ts, const char *service,
		    const char *dc, seam_time now, struct seam_handle *h,
		    struct seam_err *e)
{
	struct seam_table *table = seam_targets_lock(ts);
	struct seam_handle at = SEAM_NONE;
	struct seam_target *best = NULL;
	struct seam_target *t;
	bool any = false;

	while ((t = seam_table_next(table, &at))) {
		if (strcmp(t->info.service, service) || t->info.leaving)
			continue;
		any = true;
		if (t->ejected_until > now || load(t) >= t->info.slots)
			continue;
		if (!better(t, best, dc))
			continue;
		best = t;
		*h = at;
	}
	if (best)
		best->outstanding++;
	seam_targets_unlock(ts);
	if (best)
		return 0;
	if (any)
		return seam_fail(e, SEAM_BUSY,
				 "service %s: all targets are at their slots",
				 service);
	return seam_fail(e, SEAM_NOT_FOUND, "service %s has no targets",
			 service);
}

void seam_route_release(struct seam_targets *ts, struct seam_handle h)
{
	struct seam_table *table = seam_targets_lock(ts);
	struct seam_target *t = seam_table_get(table, h);

	if (t)
		t->outstanding--;
	seam_targets_unlock(ts);
}
