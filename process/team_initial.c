#include "base/json.h"
#include "process/team_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Initial grants: the owner of a row grants each live member its part of the
 * floor of its data centre in one write. If each node wrote its own grant, that
 * would take one row write per team and node, and all nodes share the write
 * rate.
 */

void seam_teams_add_member(struct seam_teams *t, const struct seam_row *row)
{
	struct json_object *o = json_tokener_parse(row->data);
	const char *node = row->key + strlen("member/");
	int64_t incarnation = seam_json_int(o, "incarnation", 0);
	struct seam_team_member *m;

	if (incarnation > 0) {
		m = g_new0(struct seam_team_member, 1);
		m->incarnation = incarnation;
		g_strlcpy(m->dc, seam_json_str(o, "data_centre", ""),
			  sizeof(m->dc));
		g_strlcpy(m->vm, seam_json_str(o, "vm", ""), sizeof(m->vm));
		g_hash_table_replace(t->members, g_strdup(node), m);
		t->nodes++;
		t->dc_nodes += !strcmp(m->dc, t->self.dc);
	}
	json_object_put(o);
}

static bool vm_listed(struct seam_teams *t, const char *vm)
{
	seam_time *missing = g_hash_table_lookup(t->vm_missing_since, vm);

	return missing && !*missing;
}

static int64_t count_nodes(struct seam_teams *t, const char *dc)
{
	GHashTableIter it;
	gpointer value;
	int64_t n = 0;

	g_hash_table_iter_init(&it, t->members);
	while (g_hash_table_iter_next(&it, NULL, &value))
		n += !strcmp(((struct seam_team_member *)value)->dc, dc);
	return n;
}

static bool has_floor(const struct seam_team_terms *terms, const char *dc)
{
	size_t i;

	for (i = 0; i < terms->dcs; i++)
		if (!strcmp(terms->dc[i], dc))
			return true;
	return false;
}

/* Part of the floor for one more node of @dc, limited to available units. */
static int64_t initial_units(struct seam_teams *t, const struct seam_ledger *l,
			     const struct seam_team_terms *terms,
			     const char *dc)
{
	int64_t n = count_nodes(t, dc);
	int64_t lack = terms->floor - seam_ledger_dc_granted(l, dc);
	int64_t available = seam_ledger_available(l, terms, dc);
	int64_t units = n ? (terms->floor + n - 1) / n : 0;

	units = units < lack ? units : lack;
	units = units < available ? units : available;
	return units > 0 ? units : 0;
}

bool seam_teams_grant_initial(struct seam_teams *t, struct seam_ledger *l,
			      const struct seam_team_terms *terms,
			      seam_time now)
{
	struct seam_err e = SEAM_ERR_INIT;
	bool changed = false;
	GHashTableIter it;
	gpointer name;
	gpointer value;

	if (!terms->floor || !seam_ledger_within_limit(l) ||
	    seam_ledger_wanted_by_others(l, "", NULL, now))
		return false;
	g_hash_table_iter_init(&it, t->members);
	while (g_hash_table_iter_next(&it, &name, &value)) {
		const struct seam_team_member *m = value;
		struct seam_grant g = {.units = 0};

		snprintf(g.holder, sizeof(g.holder), "node:%s#%lld",
			 (const char *)name, (long long)m->incarnation);
		memcpy(g.dc, m->dc, sizeof(g.dc));
		memcpy(g.vm, m->vm, sizeof(g.vm));
		if (!strcmp(g.holder, t->grant.holder) ||
		    !has_floor(terms, m->dc) || !vm_listed(t, m->vm) ||
		    seam_ledger_find(l, g.holder))
			continue;
		g.units = initial_units(t, l, terms, m->dc);
		if (g.units && !seam_ledger_set_grant(l, terms, &g, &e))
			changed = true;
	}
	return changed;
}
