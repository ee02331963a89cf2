#include "connection/target_impl.h"

#include <math.h>

/*
 * Uses Fibonacci hashing: with the plain hash, ids that differ only in the last
 * digit have nearly the same offset, so one node would get the larger part of
 * all these targets.
 */
double seam_target_rounding_offset(const char *id)
{
	return g_str_hash(id) * 2654435769u / 4294967296.0;
}

void seam_target_divide_slots(struct seam_target_service *s,
			      const struct seam_target_demand *d)
{
	s->divided = d->all > s->slots;
	if (!s->divided)
		return;
	s->part_begin = (double)d->before / (double)d->all;
	s->part_end = (double)(d->before + d->own) / (double)d->all;
}

/*
 * All nodes round at the same points, so that their parts add up to the slots
 * for any number of nodes.
 */
static int own_part(const struct seam_target *t)
{
	const struct seam_target_service *s = t->service;
	double n = t->info.slots;

	return (int)(floor(s->part_end * n + t->rounding_offset) -
		     floor(s->part_begin * n + t->rounding_offset));
}

int seam_target_free_slots(const struct seam_target *t)
{
	if (t->service && t->service->divided)
		return own_part(t) - t->outstanding;
	return t->info.slots - seam_target_load(t);
}

bool seam_targets_add_requests(struct seam_targets *ts, const char *service,
			       int more)
{
	struct seam_target_service *s;

	seam_targets_lock(ts);
	s = seam_targets_service(ts, service);
	if (s)
		s->own += more;
	seam_targets_unlock(ts);
	return s;
}

void seam_targets_for_each_service(struct seam_targets *ts,
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
