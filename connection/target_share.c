#include "connection/target_impl.h"

#include <math.h>

/*
 * Fibonacci hashing: ids that differ in the last digit only would be rounded
 * nearly alike, and one node would get more on all targets.
 */
double seam_target_phase(const char *id)
{
	return g_str_hash(id) * 2654435769u / 4294967296.0;
}

void seam_target_divide(struct seam_target_service *s,
			const struct seam_target_demand *d)
{
	s->divided = d->all > s->slots;
	if (!s->divided)
		return;
	s->from = (double)d->before / (double)d->all;
	s->to = (double)(d->before + d->own) / (double)d->all;
}

/*
 * Rounded at the same places by all nodes, so that the parts add up to the
 * slots whatever the number of nodes.
 */
static int part(const struct seam_target *t)
{
	const struct seam_target_service *s = t->service;
	double n = t->info.slots;

	return (int)(floor(s->to * n + t->phase) -
		     floor(s->from * n + t->phase));
}

int seam_target_room(const struct seam_target *t)
{
	if (t->service && t->service->divided)
		return part(t) - t->outstanding;
	return t->info.slots - seam_target_load(t);
}

bool seam_targets_own(struct seam_targets *ts, const char *service, int more)
{
	struct seam_target_service *s;

	seam_targets_lock(ts);
	s = seam_targets_service(ts, service);
	if (s)
		s->own += more;
	seam_targets_unlock(ts);
	return s;
}

void seam_targets_each_service(struct seam_targets *ts,
			       void (*fn)(void *arg,
					  struct seam_target_service *s),
			       void *arg)
{
	GHashTableIter it;
	gpointer s;

	g_hash_table_iter_init(&it, ts->by_service);
	while (g_hash_table_iter_next(&it, NULL, &s))
		fn(arg, s);
}
