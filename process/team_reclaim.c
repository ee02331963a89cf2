#include "base/metrics.h"
#include "base/log.h"
#include "process/team_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

SEAM_METRIC(reclaimed, "seam_team_units_reclaimed_total",
	    "Units taken back from dead nodes.");

#define NODE_PREFIX "node:"

void seam_teams_set_vms(struct seam_teams *t, const char *const *id, size_t n,
			seam_time as_of)
{
	GHashTableIter it;
	gpointer key;
	gpointer value;
	size_t i;

	if (!n || as_of <= t->vms_as_of)
		return;
	t->vms_as_of = as_of;
	g_hash_table_iter_init(&it, t->vm_missing_since);
	while (g_hash_table_iter_next(&it, &key, &value))
		if (!*(seam_time *)value)
			*(seam_time *)value = as_of;
	for (i = 0; i < n; i++)
		g_hash_table_replace(t->vm_missing_since, g_strdup(id[i]),
				     g_new0(seam_time, 1));
}

/* A list without this node's VM does not cover the nodes, so it is ignored. */
static bool list_covers_nodes(struct seam_teams *t)
{
	seam_time *own = g_hash_table_lookup(t->vm_missing_since, t->self.vm);

	return own && !*own;
}

static bool vm_is_gone(struct seam_teams *t, const char *vm)
{
	seam_time *missing = g_hash_table_lookup(t->vm_missing_since, vm);

	if (!*vm || !list_covers_nodes(t))
		return false;
	if (!missing) {
		missing = g_new0(seam_time, 1);
		*missing = t->vms_as_of;
		g_hash_table_replace(t->vm_missing_since, g_strdup(vm),
				     missing);
	}
	return *missing && t->vms_as_of - *missing > t->self.list_lag;
}

static bool is_replaced(struct seam_teams *t, const char *holder)
{
	const char *id = holder + strlen(NODE_PREFIX);
	const char *hash = strrchr(id, '#');
	char node[SEAM_TEAM_NAME_SIZE];
	struct seam_team_member *newest;

	if (!hash || (size_t)(hash - id) >= sizeof(node))
		return false;
	snprintf(node, sizeof(node), "%.*s", (int)(hash - id), id);
	newest = g_hash_table_lookup(t->members, node);
	return newest && newest->incarnation > strtoll(hash + 1, NULL, 10);
}

static bool is_dead(struct seam_teams *t, const struct seam_grant *g)
{
	if (strncmp(g->holder, NODE_PREFIX, strlen(NODE_PREFIX)) ||
	    !strcmp(g->holder, t->grant.holder))
		return false;
	return is_replaced(t, g->holder) || vm_is_gone(t, g->vm);
}

bool seam_teams_reclaim_dead(struct seam_teams *t, struct seam_ledger *l,
			     seam_time now)
{
	bool changed = false;
	size_t i;

	for (i = 0; i < l->n; i++) {
		struct seam_grant *g = &l->grant[i];
		bool gone = is_dead(t, g);

		if (gone && !g->reclaim_at) {
			/* Twice the skew: the clocks of the marking and the
			 * reclaiming node may differ, and the clock that ends
			 * the request may be behind. */
			g->reclaim_at =
				now + SEAM_REQUEST_TIME_MAX + 2 * t->self.skew;
			changed = true;
		} else if (!gone && g->reclaim_at) {
			g->reclaim_at = 0;
			changed = true;
		} else if (gone && g->reclaim_at <= now) {
			seam_log(SEAM_INFO, "team",
				 "Team %s: reclaimed %lld units of %s.",
				 l->team, (long long)g->units, g->holder);
			seam_metric_add(&reclaimed, g->units);
			g->units = 0;
			g->want = 0;
			changed = true;
		}
	}
	return changed;
}
