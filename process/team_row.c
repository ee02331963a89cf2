#include "base/json.h"
#include "base/log.h"
#include "process/team.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* JSON of the row team/NAME. */

static struct json_object *grant_json(const struct seam_grant *g)
{
	struct json_object *o = json_object_new_object();

	seam_json_add_int(o, "units", g->units);
	if (*g->dc)
		json_object_object_add(o, "dc", json_object_new_string(g->dc));
	if (*g->vm)
		json_object_object_add(o, "vm", json_object_new_string(g->vm));
	if (g->want) {
		seam_json_add_int(o, "want", g->want);
		seam_json_add_int(o, "want_until", g->want_until);
	}
	if (g->reclaim_at)
		seam_json_add_int(o, "reclaim_at", g->reclaim_at);
	return o;
}

struct json_object *seam_ledger_to_json(const struct seam_ledger *l)
{
	struct json_object *o = json_object_new_object();
	struct json_object *grants = json_object_new_object();
	size_t i;

	json_object_object_add(o, "team", json_object_new_string(l->team));
	seam_json_add_int(o, "limit", l->limit);
	seam_json_add_int(o, "ceiling", l->ceiling);
	seam_json_add_int(o, "conf", (int64_t)l->conf);
	for (i = 0; i < l->n; i++)
		json_object_object_add(grants, l->grant[i].holder,
				       grant_json(&l->grant[i]));
	json_object_object_add(o, "grants", grants);
	return o;
}

/* Returns false if the member has another type or is out of range. */
static bool get_int(struct json_object *o, const char *name, int64_t def,
		    int64_t max, int64_t *out)
{
	struct json_object *v;

	*out = def;
	if (!json_object_object_get_ex(o, name, &v))
		return def >= 0;
	if (!json_object_is_type(v, json_type_int))
		return false;
	*out = json_object_get_int64(v);
	return *out >= 0 && *out <= max;
}

static bool get_text(struct json_object *o, const char *name, char *out,
		     size_t size)
{
	struct json_object *v;

	*out = '\0';
	if (!json_object_object_get_ex(o, name, &v))
		return true;
	if (!json_object_is_type(v, json_type_string))
		return false;
	return g_strlcpy(out, json_object_get_string(v), size) < size;
}

static bool read_grant(const char *holder, struct json_object *o,
		       struct seam_grant *g)
{
	if (!json_object_is_type(o, json_type_object))
		return false;
	if (g_strlcpy(g->holder, holder, sizeof(g->holder)) >=
	    sizeof(g->holder))
		return false;
	return get_int(o, "units", -1, SEAM_TEAM_UNITS_MAX, &g->units) &&
	       get_int(o, "want", 0, SEAM_TEAM_UNITS_MAX, &g->want) &&
	       get_int(o, "want_until", 0, INT64_MAX, &g->want_until) &&
	       get_int(o, "reclaim_at", 0, INT64_MAX, &g->reclaim_at) &&
	       get_text(o, "dc", g->dc, sizeof(g->dc)) &&
	       get_text(o, "vm", g->vm, sizeof(g->vm));
}

static bool read_grants(struct json_object *o, struct seam_ledger *l)
{
	struct json_object *grants;

	if (!json_object_object_get_ex(o, "grants", &grants) ||
	    !json_object_is_type(grants, json_type_object))
		return false;
	l->grant = calloc((size_t)json_object_object_length(grants) + 1,
			  sizeof(*l->grant));
	if (!l->grant)
		return false;
	json_object_object_foreach(grants, holder, value)
	{
		if (!read_grant(holder, value, &l->grant[l->n++]))
			return false;
	}
	return true;
}

static bool read_all(struct json_object *o, const char *team,
		     struct seam_ledger *l)
{
	int64_t conf;

	if (!json_object_is_type(o, json_type_object) ||
	    !get_text(o, "team", l->team, sizeof(l->team)) ||
	    strcmp(l->team, team) ||
	    !get_int(o, "limit", -1, SEAM_TEAM_UNITS_MAX, &l->limit) ||
	    !get_int(o, "ceiling", -1, SEAM_TEAM_UNITS_MAX, &l->ceiling) ||
	    !get_int(o, "conf", -1, INT64_MAX, &conf))
		return false;
	l->conf = (uint64_t)conf;
	return read_grants(o, l) && !seam_ledger_check(l, NULL);
}

int seam_ledger_parse(const struct seam_row *row, const char *team,
		      struct seam_ledger *l, struct seam_err *e)
{
	struct json_object *o;
	bool ok;

	memset(l, 0, sizeof(*l));
	g_strlcpy(l->team, team, sizeof(l->team));
	if (!row || !row->data)
		return 0;
	o = json_tokener_parse(row->data);
	ok = read_all(o, team, l);
	json_object_put(o);
	if (ok)
		return 0;
	seam_ledger_free(l);
	return seam_fail(e, SEAM_INTERNAL,
			 "row team/%s version %llu is damaged", team,
			 (unsigned long long)row->version);
}

void seam_ledger_free(struct seam_ledger *l)
{
	free(l->grant);
	l->grant = NULL;
	l->n = 0;
}

void seam_team_key(const char *team, char key[SEAM_KEY_MAX])
{
	snprintf(key, SEAM_KEY_MAX, "team/%s", team);
}

int seam_team_encode(const struct seam_ledger *l, uint64_t version,
		     struct seam_team_row_write *p, struct seam_err *e)
{
	struct json_object *o;

	SEAM_INVARIANT(!seam_ledger_check(l, NULL), "team",
		       "team %s: %lld units granted, ceiling %lld, limit %lld",
		       l->team, (long long)seam_ledger_granted(l),
		       (long long)l->ceiling, (long long)l->limit);
	memset(p, 0, sizeof(*p));
	seam_team_key(l->team, p->key);
	o = seam_ledger_to_json(l);
	p->text = strdup(
		json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN));
	json_object_put(o);
	if (!p->text)
		return seam_fail(e, SEAM_NO_MEMORY, NULL);
	p->write.op = SEAM_PUT;
	p->write.key = p->key;
	p->write.version = version;
	p->write.data = p->text;
	p->write.len = strlen(p->text);
	return 0;
}

void seam_team_row_write_free(struct seam_team_row_write *p)
{
	free(p->text);
	p->text = NULL;
}
