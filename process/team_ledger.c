#include "process/team_impl.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

static int64_t max64(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

static int64_t min64(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

int64_t seam_ledger_granted(const struct seam_ledger *l)
{
	int64_t sum = 0;
	size_t i;

	for (i = 0; i < l->n; i++)
		sum += l->grant[i].units;
	return sum;
}

int64_t seam_ledger_dc_granted(const struct seam_ledger *l, const char *dc)
{
	int64_t sum = 0;
	size_t i;

	for (i = 0; i < l->n; i++)
		if (!strcmp(l->grant[i].dc, dc))
			sum += l->grant[i].units;
	return sum;
}

struct seam_grant *seam_ledger_find(const struct seam_ledger *l,
				    const char *holder)
{
	size_t i;

	for (i = 0; i < l->n; i++)
		if (!strcmp(l->grant[i].holder, holder))
			return &l->grant[i];
	return NULL;
}

int seam_ledger_check(const struct seam_ledger *l, struct seam_err *e)
{
	int64_t units = 0;
	size_t i;

	for (i = 0; i < l->n; i++) {
		const struct seam_grant *g = &l->grant[i];

		if (g->units < 0 || g->want < 0)
			return seam_fail(e, SEAM_INTERNAL,
					 "team %s: grant of %s out of range",
					 l->team, g->holder);
		units += g->units;
	}
	if (units > l->ceiling || l->limit > l->ceiling)
		return seam_fail(e, SEAM_INTERNAL,
				 "team %s: grants %lld, ceiling %lld, limit "
				 "%lld",
				 l->team, (long long)units,
				 (long long)l->ceiling, (long long)l->limit);
	return 0;
}

bool seam_ledger_within_limit(const struct seam_ledger *l)
{
	return seam_ledger_granted(l) <= l->limit;
}

bool seam_ledger_adopt_terms(struct seam_ledger *l,
			     const struct seam_team_terms *terms)
{
	if (terms->conf <= l->conf)
		return false;
	l->conf = terms->conf;
	if (terms->limit == l->limit)
		return false;
	l->limit = terms->limit;
	l->ceiling = max64(l->limit, seam_ledger_granted(l));
	return true;
}

int64_t seam_ledger_available(const struct seam_ledger *l,
			      const struct seam_team_terms *terms,
			      const char *dc)
{
	int64_t sum = seam_ledger_granted(l);
	int64_t available = l->limit - sum;
	size_t i;

	for (i = 0; i < terms->dcs; i++)
		if (strcmp(terms->dc[i], dc))
			available -= max64(0, terms->floor -
						      seam_ledger_dc_granted(
							      l, terms->dc[i]));
	return max64(0, available);
}

static struct seam_grant *find_or_add_grant(struct seam_ledger *l,
					    const struct seam_grant *g)
{
	struct seam_grant *old = seam_ledger_find(l, g->holder);
	struct seam_grant *more;

	if (old)
		return old;
	more = calloc(l->n + 1, sizeof(*more));
	if (!more)
		return NULL;
	if (l->n)
		memcpy(more, l->grant, l->n * sizeof(*more));
	free(l->grant);
	l->grant = more;
	old = &more[l->n++];
	memcpy(old->holder, g->holder, sizeof(old->holder));
	memcpy(old->dc, g->dc, sizeof(old->dc));
	memcpy(old->vm, g->vm, sizeof(old->vm));
	return old;
}

static int over_limit(const struct seam_ledger *l, const struct seam_grant *g,
		      int64_t have, int64_t available, struct seam_err *e)
{
	return seam_fail(e, SEAM_OVER_LIMIT,
			 "team %s: limit %lld, %s holds %lld and asks for "
			 "%lld, others hold %lld, %lld available",
			 l->team, (long long)l->limit, g->holder,
			 (long long)have, (long long)g->units,
			 (long long)(seam_ledger_granted(l) - have),
			 (long long)available);
}

int seam_ledger_set_grant(struct seam_ledger *l,
			  const struct seam_team_terms *terms,
			  const struct seam_grant *g, struct seam_err *e)
{
	struct seam_grant *own = seam_ledger_find(l, g->holder);
	int64_t have = own ? own->units : 0;
	int64_t available = seam_ledger_available(l, terms, g->dc);

	if (g->units < 0 || g->units > SEAM_TEAM_UNITS_MAX)
		return seam_fail(e, SEAM_BAD_REQUEST, "units out of range");
	if (g->units > have && g->units - have > available)
		return over_limit(l, g, have, available, e);
	own = find_or_add_grant(l, g);
	if (!own)
		return seam_fail(e, SEAM_NO_MEMORY, NULL);
	own->units = g->units;
	l->ceiling = max64(l->limit, seam_ledger_granted(l));
	return 0;
}

int seam_ledger_set_want(struct seam_ledger *l, const struct seam_grant *g,
			 int64_t want, seam_time until, struct seam_err *e)
{
	struct seam_grant *own = find_or_add_grant(l, g);

	if (!own)
		return seam_fail(e, SEAM_NO_MEMORY, NULL);
	own->want = want;
	own->want_until = want ? until : 0;
	return 0;
}

static bool has_want(const struct seam_grant *g, seam_time now)
{
	return g->want > 0 && g->want_until > now;
}

int64_t seam_ledger_wanted_by_others(const struct seam_ledger *l,
				     const char *holder, const char *dc,
				     seam_time now)
{
	int64_t sum = 0;
	size_t i;

	for (i = 0; i < l->n; i++) {
		const struct seam_grant *g = &l->grant[i];

		if (has_want(g, now) && strcmp(g->holder, holder) &&
		    (!dc || !strcmp(g->dc, dc)))
			sum += g->want;
	}
	return sum;
}

static int compare(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

/* Max-min fair level: the largest one for which the sum of the demands, each
 * capped at it, fits in @limit. */
static int64_t water_level(int64_t *demand, size_t n, int64_t limit)
{
	size_t i;

	qsort(demand, n, sizeof(*demand), compare);
	for (i = 0; i < n; i++) {
		if (demand[i] * (int64_t)(n - i) > limit)
			return limit / (int64_t)(n - i);
		limit -= demand[i];
	}
	return SEAM_TEAM_UNITS_MAX;
}

int64_t seam_ledger_fair_share(const struct seam_ledger *l, const char *holder,
			       seam_time now)
{
	int64_t *demand = calloc(l->n + 1, sizeof(*demand));
	const struct seam_grant *own = seam_ledger_find(l, holder);
	int64_t demanded;
	size_t i;

	if (!demand || !own) {
		free(demand);
		return own ? own->units : 0;
	}
	for (i = 0; i < l->n; i++) {
		const struct seam_grant *g = &l->grant[i];

		demand[i] = g->units + (has_want(g, now) ? g->want : 0);
	}
	demanded = own->units + (has_want(own, now) ? own->want : 0);
	demanded = min64(demanded, water_level(demand, l->n, l->limit));
	free(demand);
	return demanded;
}

void seam_ledger_prune(struct seam_ledger *l, seam_time now)
{
	size_t kept = 0;
	size_t i;

	for (i = 0; i < l->n; i++) {
		struct seam_grant *g = &l->grant[i];

		if (!has_want(g, now)) {
			g->want = 0;
			g->want_until = 0;
		}
		if (g->units || g->want)
			l->grant[kept++] = *g;
	}
	l->n = kept;
	l->ceiling = max64(l->limit, seam_ledger_granted(l));
}

static int load_ledger(const struct seam_row *row,
		       const struct seam_team_terms *terms, const char *holder,
		       struct seam_ledger *l, struct seam_grant *g,
		       struct seam_err *e)
{
	memset(l, 0, sizeof(*l));
	memset(g, 0, sizeof(*g));
	if (g_strlcpy(g->holder, holder, sizeof(g->holder)) >=
	    sizeof(g->holder))
		return seam_fail(e, SEAM_BAD_REQUEST, "holder too long");
	if (seam_ledger_parse(row, terms->name, l, e))
		return -1;
	seam_ledger_adopt_terms(l, terms);
	return 0;
}

static uint64_t row_version(const struct seam_row *row)
{
	return row && row->data ? row->version : SEAM_ABSENT;
}

int seam_team_prepare_grant(const struct seam_row *row,
			    const struct seam_team_terms *terms,
			    const char *holder, int64_t units, seam_time now,
			    struct seam_team_row_write *p, struct seam_err *e)
{
	struct seam_ledger l;
	struct seam_grant g;
	int rc;

	if (load_ledger(row, terms, holder, &l, &g, e))
		return -1;
	g.units = units;
	rc = seam_ledger_set_grant(&l, terms, &g, e);
	if (!rc)
		rc = seam_ledger_set_want(&l, &g, 0, 0, e);
	seam_ledger_prune(&l, now);
	if (!rc)
		rc = seam_team_encode(&l, row_version(row), p, e);
	seam_ledger_free(&l);
	return rc;
}

int seam_team_prepare_want(const struct seam_row *row,
			   const struct seam_team_terms *terms,
			   const char *holder, int64_t want, seam_time now,
			   struct seam_team_row_write *p, struct seam_err *e)
{
	struct seam_ledger l;
	struct seam_grant g;
	int rc;

	if (load_ledger(row, terms, holder, &l, &g, e))
		return -1;
	rc = seam_ledger_set_want(&l, &g, want, now + SEAM_WANT_TTL, e);
	seam_ledger_prune(&l, now);
	if (!rc)
		rc = seam_team_encode(&l, row_version(row), p, e);
	seam_ledger_free(&l);
	return rc;
}
