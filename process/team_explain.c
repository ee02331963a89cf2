#include "process/team.h"

#include <stdio.h>
#include <string.h>

static int64_t reclaimable(const struct seam_ledger *l)
{
	int64_t sum = 0;
	size_t i;

	for (i = 0; l->grant && i < l->n; i++)
		if (l->grant[i].reclaim_at)
			sum += l->grant[i].units;
	return sum;
}

static int64_t floor_reserve(const struct seam_ledger *l,
			     const struct seam_team_terms *terms)
{
	int64_t sum = 0;
	size_t i;

	for (i = 0; i < terms->dcs; i++) {
		int64_t lack =
			terms->floor - seam_ledger_dc_granted(l, terms->dc[i]);

		sum += lack > 0 ? lack : 0;
	}
	return sum;
}

static const struct seam_grant *largest(const struct seam_ledger *l)
{
	const struct seam_grant *best = NULL;
	size_t i;

	for (i = 0; i < l->n; i++)
		if (!best || l->grant[i].units > best->units)
			best = &l->grant[i];
	return best;
}

static void describe_full(const struct seam_ledger *l,
			  const struct seam_team_info *here,
			  const struct seam_team_terms *terms, char *out,
			  size_t size)
{
	const struct seam_grant *g = largest(l);

	snprintf(out, size,
		 "This node uses all %lld units of its grant. Others hold %lld "
		 "of the limit %lld, most of them %s with %lld; %lld belong to "
		 "nodes that are gone, %lld are kept for other data centres.",
		 (long long)here->units,
		 (long long)(seam_ledger_granted(l) - here->units),
		 (long long)l->limit, g ? g->holder : "nobody",
		 g ? (long long)g->units : 0, (long long)reclaimable(l),
		 (long long)floor_reserve(l, terms));
}

bool seam_team_explain(const struct seam_ledger *l,
		       const struct seam_team_info *here,
		       const struct seam_team_terms *terms, char *out,
		       size_t size)
{
	if (!here || !terms->limit)
		snprintf(out, size, "The team %s.",
			 here ? "has the limit 0 or was deleted" :
				"is not in the configuration of this node");
	else if (here->damaged)
		snprintf(out, size,
			 "The row of the team cannot be read; this node keeps "
			 "to its %lld units.",
			 (long long)here->units);
	else if (here->running < here->cap)
		snprintf(out, size,
			 "Requests are accepted: %lld of %lld units are used.",
			 (long long)here->running, (long long)here->cap);
	else if (!l)
		snprintf(out, size,
			 "This node uses all %lld units that it may use, and "
			 "the store does not answer.",
			 (long long)here->cap);
	else if (terms->limit < seam_ledger_granted(l))
		snprintf(out, size,
			 "The limit was lowered to %lld; %lld units are still "
			 "granted, and nothing starts until they fit.",
			 (long long)terms->limit,
			 (long long)seam_ledger_granted(l));
	else if (here->cap < here->units)
		snprintf(out, size,
			 "This node is giving back %lld of its %lld units.",
			 (long long)(here->units - here->cap),
			 (long long)here->units);
	else
		describe_full(l, here, terms, out, size);
	return !here || here->running >= here->cap;
}
