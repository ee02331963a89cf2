#include "process/share_impl.h"

#include <stdlib.h>
#include <string.h>

/* Smaller differences of shares are rounding errors. */
#define EPSILON 1e-9

static bool has_unmet_demand(const struct seam_share_entity *x)
{
	int r;

	for (r = 0; r < SEAM_RESOURCES; r++)
		if (x->demand.of[r] > x->used.of[r])
			return true;
	return false;
}

static double relative_use(const struct seam_share_entity *x)
{
	return x->used_share / x->weight;
}

static const struct seam_share_entity *
next_workspace(const struct seam_share *s, const struct seam_share_entity *t,
	       bool (*skip)(struct seam_handle workspace, void *arg), void *arg,
	       struct seam_handle *out)
{
	const struct seam_share_entity *best = NULL;
	const struct seam_share_entity *w;
	struct seam_handle h = t->first;

	for (; (w = seam_table_get(s->workspace, h)); h = w->next) {
		if (!has_unmet_demand(w) ||
		    (best && relative_use(w) >= relative_use(best)))
			continue;
		if (skip && skip(h, arg))
			continue;
		best = w;
		*out = h;
	}
	return best;
}

bool seam_share_next(const struct seam_share *s,
		     bool (*skip)(struct seam_handle workspace, void *arg),
		     void *arg, struct seam_handle *team,
		     struct seam_handle *workspace)
{
	const struct seam_share_entity *best = NULL;
	const struct seam_share_entity *t;
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_handle w;

	while ((t = seam_table_next(s->team, &h))) {
		if (!has_unmet_demand(t) ||
		    (best && relative_use(t) >= relative_use(best)))
			continue;
		if (!next_workspace(s, t, skip, arg, &w))
			continue;
		best = t;
		*team = h;
		*workspace = w;
	}
	return best != NULL;
}

static double relative_excess(const struct seam_share_entity *x)
{
	return (x->used_share - x->entitled_share) / x->weight;
}

static bool any_team_below(const struct seam_share *s)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	const struct seam_share_entity *t;

	while ((t = seam_table_next(s->team, &h)))
		if (has_unmet_demand(t) && relative_excess(t) < -EPSILON)
			return true;
	return false;
}

static bool workspace_over(const struct seam_share *s,
			   const struct seam_share_entity *t,
			   struct seam_handle *workspace)
{
	const struct seam_share_entity *best = NULL;
	const struct seam_share_entity *w;
	struct seam_handle h = t->first;

	for (; (w = seam_table_get(s->workspace, h)); h = w->next) {
		if (relative_excess(w) <= EPSILON ||
		    (best && relative_excess(w) <= relative_excess(best)))
			continue;
		best = w;
		*workspace = h;
	}
	return best != NULL;
}

bool seam_share_over(const struct seam_share *s, struct seam_handle *team,
		     struct seam_handle *workspace)
{
	const struct seam_share_entity *best = NULL;
	const struct seam_share_entity *t;
	struct seam_handle h = SEAM_HANDLE_NONE;

	if (!any_team_below(s))
		return false;
	while ((t = seam_table_next(s->team, &h))) {
		if (relative_excess(t) <= EPSILON ||
		    (best && relative_excess(t) <= relative_excess(best)))
			continue;
		if (!workspace_over(s, t, workspace))
			continue;
		best = t;
		*team = h;
	}
	return best != NULL && workspace_over(s, best, workspace);
}

static int newest_first(const void *a, const void *b)
{
	seam_time x = ((const struct seam_preemptible *)a)->started;
	seam_time y = ((const struct seam_preemptible *)b)->started;

	return (x < y) - (x > y);
}

static bool covered(const struct seam_resources *freed,
		    const struct seam_resources *need)
{
	int r;

	for (r = 0; r < SEAM_RESOURCES; r++)
		if (freed->of[r] < need->of[r])
			return false;
	return true;
}

static bool frees_needed(const struct seam_preemptible *t,
			 const struct seam_resources *freed,
			 const struct seam_resources *need)
{
	int r;

	for (r = 0; r < SEAM_RESOURCES; r++)
		if (freed->of[r] < need->of[r] && t->amount.of[r] > 0)
			return true;
	return false;
}

/* A task that is only partly over the entitlement is chosen too, because part
 * of its resources is borrowed. */
static bool below_excess(const struct seam_resources *freed,
			 const struct seam_resources *excess)
{
	int r;

	for (r = 0; r < SEAM_RESOURCES; r++)
		if (freed->of[r] < excess->of[r])
			return true;
	return false;
}

size_t seam_share_victims(struct seam_preemptible *running, size_t n,
			  const struct seam_resources *need,
			  const struct seam_resources *excess)
{
	struct seam_resources freed = {{0}};
	size_t chosen = 0;
	size_t i;
	int r;

	qsort(running, n, sizeof(*running), newest_first);
	for (i = 0;
	     i < n && !covered(&freed, need) && below_excess(&freed, excess);
	     i++) {
		struct seam_preemptible t = running[i];

		if (!frees_needed(&t, &freed, need))
			continue;
		for (r = 0; r < SEAM_RESOURCES; r++)
			freed.of[r] += t.amount.of[r];
		/* Moves chosen tasks to the start, in their order. */
		memmove(&running[chosen + 1], &running[chosen],
			(i - chosen) * sizeof(*running));
		running[chosen++] = t;
	}
	return chosen;
}
