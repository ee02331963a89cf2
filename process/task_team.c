#include "process/task.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Units kept unused in a bucket's grant, so that not each start and end of a
 * task writes the team's row. A bucket without running tasks keeps none, nor
 * does one while others want units: 16 buckets would hold a small limit. */
#define SLACK_UNITS 4
#define READ_TIMEOUT (1 * SEAM_SEC)
#define ROW_AGE (2 * SEAM_SEC)
#define WANT_PERIOD (1 * SEAM_SEC)

/* The team's row as last read or written by this node. */
struct entry {
	struct seam_row row;
	bool known;
	seam_time read_again_at;
	seam_time want_again_at;
	struct seam_team_put put;
	bool pending;
};

/* Grants of buckets in the rows of teams; called by the thread of the pass. */
struct limit {
	struct seam_task_limit base;
	struct seam_store *store;
	struct seam_conf_cell *conf;
	GHashTable *teams; /* name to struct entry */
	GHashTable *running; /* bucket row key to units in its last commit */
	struct seam_team_set *set; /* terms of the version last seen */
	seam_team_tell_fn tell; /* NULL if nobody is told of wants */
	void *tell_arg;
	int64_t asked; /* units of the commit being prepared */
};

static void free_entry(gpointer p)
{
	struct entry *t = p;

	seam_row_free(&t->row);
	if (t->pending)
		seam_team_put_free(&t->put);
	g_free(t);
}

static struct entry *entry_of(struct limit *l, const char *team)
{
	struct entry *t = g_hash_table_lookup(l->teams, team);

	if (!t) {
		t = g_new0(struct entry, 1);
		g_hash_table_insert(l->teams, g_strdup(team), t);
	}
	return t;
}

static int read_row(struct limit *l, struct entry *t, const char *team,
		    seam_time now, struct seam_err *e)
{
	char key[SEAM_KEY_MAX];

	if (t->known && now < t->read_again_at)
		return 0;
	seam_row_free(&t->row);
	memset(&t->row, 0, sizeof(t->row));
	t->known = false;
	seam_team_key(team, key);
	if (seam_store_get(l->store, key, &t->row, now + READ_TIMEOUT, e)) {
		if (e->kind != SEAM_NOT_FOUND)
			return -1;
		seam_err_clear(e);
	}
	t->known = true;
	t->read_again_at = now + ROW_AGE;
	return 0;
}

/*
 * What the row says for a bucket. While the grants sum to more than the limit,
 * nothing starts until holders have released enough.
 */
struct granted {
	int64_t units;
	bool over;
	bool wanted; /* by other holders */
};

static int granted(struct entry *t, const struct seam_team_terms *terms,
		   const char *holder, seam_time now, struct granted *out,
		   struct seam_err *e)
{
	struct seam_ledger ledger;
	struct seam_grant *g;

	if (seam_ledger_read(t->row.data ? &t->row : NULL, terms->name, &ledger,
			     e))
		return -1;
	g = seam_ledger_find(&ledger, holder);
	out->units = g ? g->units : 0;
	out->over = seam_ledger_sum(&ledger) > terms->limit;
	out->wanted = seam_ledger_wanted(&ledger, holder, NULL, now) > 0;
	seam_ledger_free(&ledger);
	return 0;
}

/* The row as it was before the want: who holds units has not changed. */
static void tell_want(struct limit *l, struct entry *t,
		      const struct seam_team_terms *terms, const char *holder,
		      seam_time now)
{
	struct seam_ledger ledger;

	if (!l->tell || seam_ledger_read(t->row.data ? &t->row : NULL,
					 terms->name, &ledger, NULL))
		return;
	seam_team_tell_want(&ledger, holder, now, l->tell, l->tell_arg);
	seam_ledger_free(&ledger);
}

static void record_want(struct limit *l, struct entry *t,
			const struct seam_team_terms *terms, const char *holder,
			int64_t units, seam_time now)
{
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_team_put put;
	struct seam_commit c = {.n = 1};

	if (now < t->want_again_at)
		return;
	t->want_again_at = now + WANT_PERIOD;
	if (seam_team_prepare_want(t->row.data ? &t->row : NULL, terms, holder,
				   units, now, &put, &e))
		return;
	c.write = &put.write;
	c.token = seam_store_token();
	/* A lost answer or a conflict only delays the want by a period. */
	if (!seam_store_commit(l->store, &c, now + READ_TIMEOUT, &e))
		tell_want(l, t, terms, holder, now);
	seam_team_put_free(&put);
	t->known = false;
}

/* Units that ran after the bucket's last commit; they stay allowed. */
static int64_t running_before(struct limit *l, const char *key, int64_t have)
{
	gpointer units;

	if (!g_hash_table_lookup_extended(l->running, key, NULL, &units))
		return have;
	return GPOINTER_TO_INT(units);
}

static int change(struct limit *l, struct entry *t,
		  const struct seam_team_terms *terms, const char *holder,
		  int64_t units, int64_t slack, seam_time now,
		  struct seam_write *w, struct seam_err *e)
{
	const struct seam_row *row = t->row.data ? &t->row : NULL;

	if (seam_team_prepare(row, terms, holder, units + slack / 2, now,
			      &t->put, e)) {
		seam_err_clear(e);
		if (seam_team_prepare(row, terms, holder, units, now, &t->put,
				      e)) {
			record_want(l, t, terms, holder, units, now);
			return -1;
		}
	}
	t->pending = true;
	*w = t->put.write;
	return 0;
}

static const struct seam_team_terms *terms_of(struct limit *l, const char *team)
{
	struct seam_conf *c = seam_conf_current(l->conf);

	if (!l->set || seam_team_set_version(l->set) != seam_conf_version(c)) {
		seam_team_set_free(l->set);
		l->set = seam_team_set_new(c);
	}
	seam_conf_drop(c);
	return l->set ? seam_team_set_find(l->set, team) : NULL;
}

static int limit_write(struct seam_task_limit *base, const char *team,
		       const char *key, int units, seam_time now,
		       struct seam_write *w, struct seam_err *e)
{
	struct limit *l = (struct limit *)base;
	struct entry *t = entry_of(l, team);
	const struct seam_team_terms *terms;
	char holder[SEAM_HOLDER_MAX];
	struct seam_team_terms deleted = {.limit = 0};
	struct granted have;
	int64_t slack;

	w->key = NULL;
	l->asked = units;
	snprintf(holder, sizeof(holder), "bucket:%s", key + strlen("queue/"));
	terms = terms_of(l, team);
	if (!terms) {
		/* The running tasks of a deleted team still end and release. */
		g_strlcpy(deleted.name, team, sizeof(deleted.name));
		terms = &deleted;
	}
	if (read_row(l, t, team, now, e) ||
	    granted(t, terms, holder, now, &have, e))
		return -1;
	if (have.over && units > running_before(l, key, have.units))
		return seam_fail(e, SEAM_OVER_LIMIT,
				 "team %s: more is granted than the limit %lld",
				 team, (long long)terms->limit);
	slack = units && !have.over && !have.wanted ? SLACK_UNITS : 0;
	if (units <= have.units && have.units - units <= slack)
		return 0;
	return change(l, t, terms, holder, units, slack, now, w, e);
}

static void limit_done(struct seam_task_limit *base, const char *team,
		       const char *key, bool applied, uint64_t version)
{
	struct limit *l = (struct limit *)base;
	struct entry *t = entry_of(l, team);

	if (applied)
		g_hash_table_replace(l->running, g_strdup(key),
				     GINT_TO_POINTER((int)l->asked));
	else
		t->known = false;
	if (!t->pending)
		return;
	t->pending = false;
	if (applied) {
		seam_row_free(&t->row);
		g_strlcpy(t->row.key, t->put.key, sizeof(t->row.key));
		t->row.data = strndup(t->put.write.data, t->put.write.len);
		t->row.len = t->put.write.len;
		t->row.version = version;
		t->known = t->row.data != NULL;
	}
	seam_team_put_free(&t->put);
}

static void limit_free(struct seam_task_limit *base)
{
	struct limit *l = (struct limit *)base;

	seam_team_set_free(l->set);
	g_hash_table_destroy(l->teams);
	g_hash_table_destroy(l->running);
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
	l->running =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	l->teams = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 free_entry);
	return &l->base;
}

void seam_task_limit_tell(struct seam_task_limit *base, seam_team_tell_fn fn,
			  void *arg)
{
	struct limit *l = (struct limit *)base;

	l->tell = fn;
	l->tell_arg = arg;
}
