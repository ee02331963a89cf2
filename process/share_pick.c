#include "process/share_impl.h"

#include <stdlib.h>
#include <string.h>

/* Entitlements are rounded down to whole units; a smaller excess is none. */
#define TINY 1e-9

static bool unmet(const struct seam_sharer *x)
{
	int r;

	for (r = 0; r < SEAM_RESOURCES; r++)
		if (x->demand.of[r] > x->used.of[r])
			return true;
	return false;
}

static double level(const struct seam_sharer *x)
{
	return x->used_share / x->weight;
}

static const struct seam_sharer *
next_workspace(const struct seam_share *s, const struct seam_sharer *t,
	       bool (*skip)(struct seam_handle workspace, void *arg), void *arg,
	       struct seam_handle *out)
{
	const struct seam_sharer *best = NULL;
	const struct seam_sharer *w;
	struct seam_handle h = t->first;

	for (; (w = seam_table_get(s->workspace, h)); h = w->next) {
		if (!unmet(w) || (best && level(w) >= level(best)))
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
	const struct seam_sharer *best = NULL;
	const struct seam_sharer *t;
	struct seam_handle h = SEAM_NONE;
	struct seam_handle w;

	while ((t = seam_table_next(s->team, &h))) {
		if (!unmet(t) || (best && level(t) >= level(best)))
			continue;
		if (!next_workspace(s, t, skip, arg, &w))
			continue;
		best = t;
		*team = h;
		*workspace = w;
	}
	return best != NULL;
}

static double excess(const struct seam_sharer *x)
{
	return (x->used_share - x->entitled_share) / x->weight;
}

static bool anyone_under(const struct seam_share *s)
{
	struct seam_handle h = SEAM_NONE;
	const struct seam_sharer *t;

	while ((t = seam_table_next(s->team, &h)))
		if (unmet(t) && excess(t) < -TINY)
			return true;
	return false;
}

static bool workspace_over(const struct seam_share *s,
			   const struct seam_sharer *t,
			   struct seam_handle *workspace)
{
	const struct seam_sharer *best = NULL;
	const struct seam_sharer *w;
	struct seam_handle h = t->first;

	for (; (w = seam_table_get(s->workspace, h)); h = w->next) {
		if (excess(w) <= TINY || (best && excess(w) <= excess(best)))
			continue;
		best = w;
		*workspace = h;
	}
	return best != NULL;
}

bool seam_share_over(const struct seam_share *s, struct seam_handle *team,
		     struct seam_handle *workspace)
{
	const struct seam_sharer *best = NULL;
	const struct seam_sharer *t;
	struct seam_handle h = SEAM_NONE;

	if (!anyone_under(s))
		return false;
	while ((t = seam_table_next(s->team, &h))) {
		if (excess(t) <= TINY || (best && excess(t) <= excess(best)))
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
	seam_time x = ((const struct seam_lent *)a)->started;
	seam_time y = ((const struct seam_lent *)b)->started;

	return (x < y) - (x > y);
}

static bool covered(const struct seam_amount *got,
		    const struct seam_amount *need)
{
	int r;

	for (r = 0; r < SEAM_RESOURCES; r++)
		if (got->of[r] < need->of[r])
			return false;
	return true;
}

static bool helps(const struct seam_lent *t, const struct seam_amount *got,
		  const struct seam_amount *need)
{
	int r;

	for (r = 0; r < SEAM_RESOURCES; r++)
		if (got->of[r] < need->of[r] && t->amount.of[r] > 0)
			return true;
	return false;
}

/* A task that is partly above the share is taken: it was lent in part. */
static bool allowed(const struct seam_amount *got,
		    const struct seam_amount *over)
{
	int r;

	for (r = 0; r < SEAM_RESOURCES; r++)
		if (got->of[r] < over->of[r])
			return true;
	return false;
}

size_t seam_share_victims(struct seam_lent *lent, size_t n,
			  const struct seam_amount *need,
			  const struct seam_amount *over)
{
	struct seam_amount got = {{0}};
	size_t taken = 0;
	size_t i;
	int r;

	qsort(lent, n, sizeof(*lent), newest_first);
	for (i = 0; i < n && !covered(&got, need) && allowed(&got, over); i++) {
		struct seam_lent t = lent[i];

		if (!helps(&t, &got, need))
			continue;
		for (r = 0; r < SEAM_RESOURCES; r++)
			got.of[r] += t.amount.of[r];
		/* Chosen tasks move to the start and keep their order. */
		memmove(&lent[taken + 1], &lent[taken],
			(i - taken) * sizeof(*lent));
		lent[taken++] = t;
	}
	return taken;
}
