#include "process/team.h"

#include <stdlib.h>
#include <string.h>

#define DCS_MAX 64

struct seam_team_terms_set {
	struct seam_team_terms *terms;
	size_t n;
	char dc[DCS_MAX][SEAM_TEAM_NAME_SIZE];
	uint64_t version;
};

/*
 * Units are reserved in each data centre only for teams that may call a
 * service; for other teams they would stay unused.
 */
static bool calls_services(const struct seam_conf *c, const char *team)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	const struct seam_service *s;
	char **t;

	while ((s = seam_conf_next(c, SEAM_CONF_SERVICE, &h))) {
		if (!s->teams)
			return true;
		for (t = s->teams; *t; t++)
			if (!strcmp(*t, team))
				return true;
	}
	return false;
}

static size_t list_dcs(const struct seam_conf *c,
		       char (*dc)[SEAM_TEAM_NAME_SIZE])
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	const struct seam_dc *d;
	size_t n = 0;

	while (n < DCS_MAX && (d = seam_conf_next(c, SEAM_CONF_DC, &h)))
		if (d->state == SEAM_DC_STATE_IN)
			memcpy(dc[n++], d->name, SEAM_TEAM_NAME_SIZE);
	return n;
}

static void fill(const struct seam_conf *c, const struct seam_team *team,
		 struct seam_team_terms_set *set, size_t dcs,
		 struct seam_team_terms *t)
{
	memcpy(t->name, team->name, sizeof(t->name));
	t->limit = team->limit < SEAM_TEAM_UNITS_MAX ? team->limit :
						       SEAM_TEAM_UNITS_MAX;
	t->conf = seam_conf_version(c);
	t->dc = (const char(*)[SEAM_TEAM_NAME_SIZE])set->dc;
	t->dcs = dcs;
	if (dcs && calls_services(c, team->name))
		t->floor = t->limit / 2 / (int64_t)dcs;
}

struct seam_team_terms_set *seam_team_terms_set_new(const struct seam_conf *c)
{
	struct seam_team_terms_set *set = calloc(1, sizeof(*set));
	size_t n = seam_conf_count(c, SEAM_CONF_TEAM);
	struct seam_handle h = SEAM_HANDLE_NONE;
	const struct seam_team *team;
	size_t dcs;

	if (!set)
		return NULL;
	set->version = seam_conf_version(c);
	set->terms = calloc(n + 1, sizeof(*set->terms));
	dcs = list_dcs(c, set->dc);
	while (set->terms && set->n < n &&
	       (team = seam_conf_next(c, SEAM_CONF_TEAM, &h)))
		fill(c, team, set, dcs, &set->terms[set->n++]);
	return set;
}

uint64_t seam_team_terms_set_version(const struct seam_team_terms_set *s)
{
	return s->version;
}

const struct seam_team_terms *
seam_team_terms_set_all(const struct seam_team_terms_set *s, size_t *n)
{
	*n = s->n;
	return s->terms;
}

const struct seam_team_terms *
seam_team_terms_set_find(const struct seam_team_terms_set *s, const char *team)
{
	size_t i;

	for (i = 0; i < s->n; i++)
		if (!strcmp(s->terms[i].name, team))
			return &s->terms[i];
	return NULL;
}

void seam_team_terms_set_free(struct seam_team_terms_set *s)
{
	if (s)
		free(s->terms);
	free(s);
}
