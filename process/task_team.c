#include "process/task.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Unused units that a bucket's grant may keep, so that not every start and end
 * of a task writes the team's row. A bucket without running tasks keeps none,
 * nor does any while others want units: the 16 buckets of a queue could use up
 * a small limit. */
#define SLACK_UNITS 4
#define READ_TIMEOUT (1 * SEAM_SEC)
#define ROW_AGE_MAX (2 * SEAM_SEC)
#define WANT_PERIOD (1 * SEAM_SEC)

/* The team's row as last read or written by this node. */
struct team_row {
	struct seam_row row;
	bool valid;
	seam_time expires_at;
	seam_time next_want_at;
	struct seam_team_row_write put;
	bool pending;
};

/* Grants of buckets in the rows of teams. Only called by the thread that runs
 * the passes. */
struct limit {
	struct seam_task_limit base;
	struct seam_store *store;
	struct seam_conf_cell *conf;
	GHashTable *teams; /* name to struct team_row */
	GHashTable *committed; /* bucket row key to units in its last commit */
	struct seam_team_terms_set *terms; /* of the configuration last used */
	seam_team_notify_fn notify; /* reports wants to holders; may be NULL */
	void *notify_arg;
	int64_t prepared_units; /* units of the commit being prepared */
};

static void free_team_row(gpointer p)
{
	struct team_row *r = p;

	seam_row_free(&r->row);
	if (r->pending)
		seam_team_row_write_free(&r->put);
	g_free(r);
}

static struct team_row *team_row_of(struct limit *l, const char *team)
{
	struct team_row *r = g_hash_table_lookup(l->teams, team);

	if (!r) {
		r = g_new0(struct team_row, 1);
		g_hash_table_insert(l->teams, g_strdup(team), r);
	}
	return r;
}

static int read_row(struct limit *l, struct team_row *r, const char *team,
		    seam_time now, struct seam_err *e)
{
	char key[SEAM_KEY_MAX];

	if (r->valid && now < r->expires_at)
		return 0;
	seam_row_free(&r->row);
	memset(&r->row, 0, sizeof(r->row));
	r->valid = false;
	seam_team_key(team, key);
	if (seam_store_get(l->store, key, &r->row, now + READ_TIMEOUT, e)) {
		if (e->kind != SEAM_NOT_FOUND)
			return -1;
		seam_err_clear(e);
	}
	r->valid = true;
	r->expires_at = now + ROW_AGE_MAX;
	return 0;
}

/*
 * State of a bucket's grant in the row. While the grants sum to more than the
 * limit, nothing starts until holders have released enough.
 */
struct grant_state {
	int64_t units;
	bool over_limit;
	bool wanted; /* other holders want units */
};

static int read_grant(struct team_row *r, const struct seam_team_terms *terms,
		      const char *holder, seam_time now,
		      struct grant_state *out, struct seam_err *e)
{
	struct seam_ledger ledger;
	struct seam_grant *g;

	if (seam_ledger_parse(r->row.data ? &r->row : NULL, terms->name,
			      &ledger, e))
		return -1;
	g = seam_ledger_find(&ledger, holder);
	out->units = g ? g->units : 0;
	out->over_limit = seam_ledger_granted(&ledger) > terms->limit;
	out->wanted =
		seam_ledger_wanted_by_others(&ledger, holder, NULL, now) > 0;
	seam_ledger_free(&ledger);
	return 0;
}

/* Uses the row from before the want: the holders of units are the same. */
static void notify_holders(struct limit *l, struct team_row *r,
			   const struct seam_team_terms *terms,
			   const char *holder, seam_time now)
{
	struct seam_ledger ledger;

	if (!l->notify || seam_ledger_parse(r->row.data ? &r->row : NULL,
					    terms->name, &ledger, NULL))
		return;
	seam_team_notify_want(&ledger, holder, now, l->notify, l->notify_arg);
	seam_ledger_free(&ledger);
}

static void record_want(struct limit *l, struct team_row *r,
			const struct seam_team_terms *terms, const char *holder,
			int64_t units, seam_time now)
{
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_team_row_write put;
	struct seam_commit c = {.n = 1};

	if (now < r->next_want_at)
		return;
	r->next_want_at = now + WANT_PERIOD;
	if (seam_team_prepare_want(r->row.data ? &r->row : NULL, terms, holder,
				   units, now, &put, &e))
		return;
	c.write = &put.write;
	c.token = seam_store_token();
	/* A lost answer or a conflict delays the want by one period only. */
	if (!seam_store_commit(l->store, &c, now + READ_TIMEOUT, &e))
		notify_holders(l, r, terms, holder, now);
	seam_team_row_write_free(&put);
	r->valid = false;
}

/* Units in use as of the bucket's last commit. They may stay in use while the
 * grants exceed the limit. */
static int64_t committed_units(struct limit *l, const char *key, int64_t have)
{
	gpointer units;

	if (!g_hash_table_lookup_extended(l->committed, key, NULL, &units))
		return have;
	return GPOINTER_TO_INT(units);
}

static int prepare_change(struct limit *l, struct team_row *r,
			  const struct seam_team_terms *terms,
			  const char *holder, int64_t units, int64_t slack,
			  seam_time now, struct seam_write *w,
			  struct seam_err *e)
{
	const struct seam_row *row = r->row.data ? &r->row : NULL;

	if (seam_team_prepare_grant(row, terms, holder, units + slack / 2, now,
				    &r->put, e)) {
		seam_err_clear(e);
		if (seam_team_prepare_grant(row, terms, holder, units, now,
					    &r->put, e)) {
			record_want(l, r, terms, holder, units, now);
			return -1;
		}
	}
	r->pending = true;
	*w = r->put.write;
	return 0;
}

static const struct seam_team_terms *terms_of(struct limit *l, const char *team)
{
	struct seam_conf *c = seam_conf_current(l->conf);

	if (!l->terms ||
	    seam_team_terms_set_version(l->terms) != seam_conf_version(c)) {
		seam_team_terms_set_free(l->terms);
		l->terms = seam_team_terms_set_new(c);
	}
	seam_conf_unref(c);
	return l->terms ? seam_team_terms_set_find(l->terms, team) : NULL;
}

static int limit_write(struct seam_task_limit *base, const char *team,
		       const char *key, int units, seam_time now,
		       struct seam_write *w, struct seam_err *e)
{
	struct limit *l = (struct limit *)base;
	struct team_row *r = team_row_of(l, team);
	const struct seam_team_terms *terms;
	char holder[SEAM_HOLDER_SIZE];
	struct seam_team_terms deleted = {.limit = 0};
	struct grant_state have;
	int64_t slack;

	w->key = NULL;
	l->prepared_units = units;
	snprintf(holder, sizeof(holder), "bucket:%s", key + strlen("queue/"));
	terms = terms_of(l, team);
	if (!terms) {
		/* Tasks of a deleted team still end and release units. */
		g_strlcpy(deleted.name, team, sizeof(deleted.name));
		terms = &deleted;
	}
	if (read_row(l, r, team, now, e) ||
	    read_grant(r, terms, holder, now, &have, e))
		return -1;
	if (have.over_limit && units > committed_units(l, key, have.units))
		return seam_fail(e, SEAM_OVER_LIMIT,
				 "team %s: more is granted than the limit %lld",
				 team, (long long)terms->limit);
	slack = units && !have.over_limit && !have.wanted ? SLACK_UNITS : 0;
	if (units <= have.units && have.units - units <= slack)
		return 0;
	return prepare_change(l, r, terms, holder, units, slack, now, w, e);
}

static void limit_done(struct seam_task_limit *base, const char *team,
		       const char *key, bool applied, uint64_t version)
{
	struct limit *l = (struct limit *)base;
	struct team_row *r = team_row_of(l, team);

	if (applied)
		g_hash_table_replace(l->committed, g_strdup(key),
				     GINT_TO_POINTER((int)l->prepared_units));
	else
		r->valid = false;
	if (!r->pending)
		return;
	r->pending = false;
	if (applied) {
		seam_row_free(&r->row);
		g_strlcpy(r->row.key, r->put.key, sizeof(r->row.key));
		r->row.data = strndup(r->put.write.data, r->put.write.len);
		r->row.len = r->put.write.len;
		r->row.version = version;
		r->valid = r->row.data != NULL;
	}
	seam_team_row_write_free(&r->put);
}

static void limit_free(struct seam_task_limit *base)
{
	struct limit *l = (struct limit *)base;

	seam_team_terms_set_free(l->terms);
	g_hash_table_destroy(l->teams);
	g_hash_table_destroy(l->committed);
	g_free(l);
}

static const struct seam_task_limit_ops ops = {
	.write = limit_write,
	.done = limit_done,
	.free = limit_free,
};

struct seam_task_limit *seam_task_limit_teams(struct seam_store *s,
					      struct seam_conf_cell *conf)
{
	struct limit *l = g_new0(struct limit, 1);

	l->base.ops = &ops;
	l->store = s;
	l->conf = conf;
	l->committed =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	l->teams = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 free_team_row);
	return &l->base;
}

void seam_task_limit_set_notify(struct seam_task_limit *base,
				seam_team_notify_fn fn, void *arg)
{
	struct limit *l = (struct limit *)base;

	l->notify = fn;
	l->notify_arg = arg;
}
