#include "base/json.h"
#include "process/team_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * First grants: the owner of a row grants each live member its part of the
 * floor of its data centre, in one write for all of them. A node that wrote its
 * own would need one row a team and node, of a rate that all nodes share.
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
		g_hash_table_replace(t->member, g_strdup(node), m);
		t->nodes++;
		t->dc_nodes += !strcmp(m->dc, t->self.dc);
	}
	json_object_put(o);
}

static bool listed(struct seam_teams *t, const char *vm)
{
	seam_time *missing = g_hash_table_lookup(t->vm, vm);

	return missing && !*missing;
}

static int64_t nodes_in(struct seam_teams *t, const char *dc)
{
	GHashTableIter it;
	gpointer value;
	int64_t n = 0;

	g_hash_table_iter_init(&it, t->member);
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

/* Part of the floor for one more node of @dc; never what others may use. */
static int64_t part(struct seam_teams *t, const struct seam_ledger *l,
		    const struct seam_team_terms *terms, const char *dc)
{
	int64_t n = nodes_in(t, dc);
	int64_t lack = terms->floor - seam_ledger_dc_sum(l, dc);
	int64_t room = seam_ledger_room(l, terms, dc);
	int64_t units = n ? (terms->floor + n - 1) / n : 0;

	units = units < lack ? units : lack;
	units = units < room ? units : room;
	return units > 0 ? units : 0;
}

bool seam_teams_seed(struct seam_teams *t, struct seam_ledger *l,
		     const struct seam_team_terms *terms, seam_time now)
{
	struct seam_err e = SEAM_ERR_INIT;
	bool changed = false;
	GHashTableIter it;
	gpointer name;
	gpointer value;

	if (!terms->floor || !seam_ledger_open(l) ||
	    seam_ledger_wanted(l, "", NULL, now))
		return false;
	g_hash_table_iter_init(&it, t->member);
	while (g_hash_table_iter_next(&it, &name, &value)) {
		const struct seam_team_member *m = value;
		struct seam_grant g = {.units = 0};

		snprintf(g.holder, sizeof(g.holder), "node:%s#%lld",
			 (const char *)name, (long long)m->incarnation);
		memcpy(g.dc, m->dc, sizeof(g.dc));
		memcpy(g.vm, m->vm, sizeof(g.vm));
		if (!strcmp(g.holder, t->grant.holder) ||
		    !has_floor(terms, m->dc) || !listed(t, m->vm) ||
		    seam_ledger_find(l, g.holder))
			continue;
		g.units = part(t, l, terms, m->dc);
		if (g.units && !seam_ledger_grant(l, terms, &g, &e))
			changed = true;
	}
	return changed;
}
