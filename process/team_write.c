#include "base/metrics.h"
#include "base/log.h"
#include "process/team_impl.h"

#include <stdlib.h>
#include <string.h>

#define COMMIT_TIMEOUT (2 * SEAM_SEC)
/* Each team is planned at least this often, because of dead holders and expired
 * wants. */
#define PLAN_PERIOD (5 * SEAM_SEC)
/* Interval between attempts of a raise that did not fit. */
#define RAISE_RETRY_PERIOD (1 * SEAM_SEC)
/* Interval at which a node that wants units reads the row. */
#define WANT_READ_INTERVAL (300 * SEAM_MSEC)
/* The same while the read budget is low: with hundreds of teams these reads
 * would use up the budget for the rows of other teams. */
#define WANT_READ_INTERVAL_LONG (2 * SEAM_SEC)
/* A copy older than this is read again before a write: one stale row makes the
 * store refuse the whole commit. */
#define ROW_AGE_MAX (2 * SEAM_SEC)
/* Commits get smaller after conflicts; all rows of a conflicting commit of at
 * most this size are read again. */
#define CONFLICT_REREAD_ROWS_MAX 4

SEAM_METRIC(commits_total, "seam_team_commits_total",
	    "Commits of team rows that applied.");
SEAM_METRIC(conflicts_total, "seam_team_conflicts_total",
	    "Commits of team rows that lost a race.");
SEAM_METRIC(unknown_total, "seam_team_commits_unknown_total",
	    "Commits of team rows whose answer was lost.");

/* One write of the commit and its effects after it has applied. */
struct update {
	struct seam_team_slot *slot;
	struct seam_ledger ledger;
	struct seam_team_row_write put;
	int64_t units;
	bool want;
	bool notify; /* others can raise, or must release */
};

static bool needs_raise(const struct seam_team_slot *s)
{
	int64_t peak = seam_slot_peak(s);

	return peak && peak + (peak / 8 > 1 ? peak / 8 : 1) > s->units;
}

static bool plan_due(const struct seam_team_slot *s, seam_time now)
{
	if (!s->known || s->damaged || s->read_at <= now)
		return false;
	return s->plan_at <= now || s->pending || s->cap < s->units ||
	       (s->release_at && s->release_at <= now) ||
	       (needs_raise(s) && s->raise_retry_at <= now);
}

static int64_t node_floor(const struct seam_teams *t,
			  const struct seam_team_slot *s)
{
	int64_t n = t->dc_nodes > 1 ? t->dc_nodes : 1;

	return (s->terms.floor + n - 1) / n;
}

static void plan_slot(struct seam_teams *t, struct seam_team_slot *s,
		      const struct seam_ledger *l, bool is_owner, seam_time now,
		      struct seam_team_plan *p)
{
	struct seam_team_plan_input c = {.ledger = l,
					 .terms = &s->terms,
					 .self = &t->grant,
					 .node_floor = node_floor(t, s),
					 .release_at = s->release_at,
					 .now = now};
	seam_time wait;

	pthread_mutex_lock(&t->lock);
	c.running = s->running;
	c.peak = seam_slot_peak(s);
	pthread_mutex_unlock(&t->lock);
	seam_team_plan(&c, p);
	s->release_at = p->release_at;
	s->plan_at = now + PLAN_PERIOD;
	/* The owner of the row grants these units, to all nodes at once. */
	if (p->units > s->units && !is_owner && now < s->initial_grant_by &&
	    !c.peak)
		p->units = p->cap = s->units;
	s->raise_retry_at = p->units > s->units ? 0 : now + RAISE_RETRY_PERIOD;
	wait = t->read_tokens > SEAM_TEAM_READ_BURST_BYTES / 2 ?
		       WANT_READ_INTERVAL :
		       WANT_READ_INTERVAL_LONG;
	if ((p->want || !seam_ledger_within_limit(l)) &&
	    s->read_at == SEAM_NEVER)
		s->read_at = now + wait +
			     (seam_time)(seam_teams_random(t) % (uint64_t)wait);
}

/*
 * Lowers the cap before the row. Returns false while more units are in use than
 * the plan keeps: the row changes only after that work has ended.
 */
static bool lower_cap(struct seam_teams *t, struct seam_team_slot *s,
		      const struct seam_team_plan *p)
{
	bool ok;

	pthread_mutex_lock(&t->lock);
	s->decrease_cap = p->cap < s->units ? p->cap : SEAM_TEAM_UNITS_MAX;
	s->cap = seam_slot_safe_cap(s);
	ok = p->units >= s->units || s->running <= p->units;
	pthread_mutex_unlock(&t->lock);
	return ok;
}

static bool want_needs_write(const struct seam_ledger *l, const char *holder,
			     int64_t want, seam_time now)
{
	const struct seam_grant *own = seam_ledger_find(l, holder);

	if (!want)
		return false;
	return !own || !own->want ||
	       own->want_until < now + SEAM_WANT_TTL / 2 ||
	       want > 2 * own->want;
}

static uint64_t row_version(const struct seam_team_slot *s)
{
	return s->row.data ? s->row.version : SEAM_ABSENT;
}

/* Applies the plan to j->ledger; returns true if it must be written. */
static bool update_ledger(struct seam_teams *t, struct update *j, seam_time now)
{
	struct seam_team_slot *s = j->slot;
	struct seam_grant g = t->grant;
	struct seam_ledger *l = &j->ledger;
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_team_plan p;
	int64_t sum = seam_ledger_granted(l);
	bool is_owner = seam_is_owner(t->self.owner, j->put.key, now);
	bool owner_change = seam_ledger_adopt_terms(l, &s->terms);
	bool write;

	if (is_owner)
		owner_change |= seam_teams_reclaim_dead(t, l, now);
	write = is_owner && owner_change && s->row.data;
	if (is_owner)
		write |= seam_teams_grant_initial(t, l, &s->terms, now);
	/* Any commit on this version settles whether an earlier one applied. */
	write |= s->pending && s->pending_version == row_version(s);
	plan_slot(t, s, l, is_owner, now, &p);
	j->units = s->units;
	j->want = want_needs_write(l, g.holder, p.want, now);
	if (lower_cap(t, s, &p) && p.units != s->units) {
		g.units = p.units;
		if (seam_ledger_set_grant(l, &s->terms, &g, &e))
			return write;
		j->units = p.units;
		write = true;
	}
	if (j->want || (write && seam_ledger_find(l, g.holder)))
		seam_ledger_set_want(l, &g, p.want, now + SEAM_WANT_TTL, &e);
	seam_ledger_prune(l, now);
	j->notify = seam_ledger_granted(l) < sum ||
		    (owner_change && !seam_ledger_within_limit(l));
	return write || j->want ||
	       (is_owner && s->deleted && s->row.data && !l->n);
}

static void free_update(struct update *j)
{
	seam_ledger_free(&j->ledger);
	seam_team_row_write_free(&j->put);
}

static bool is_recent(struct seam_teams *t, struct seam_team_slot *s,
		      seam_time now)
{
	if (now - s->refreshed_at <= ROW_AGE_MAX)
		return true;
	t->reread = true;
	s->read_at = now;
	s->plan_at = 0;
	return false;
}

static bool prepare(struct seam_teams *t, struct update *j, seam_time now)
{
	struct seam_team_slot *s = j->slot;
	struct seam_err e = SEAM_ERR_INIT;

	memset(&j->put, 0, sizeof(j->put));
	if (seam_ledger_parse(&s->row, s->name, &j->ledger, &e))
		return false;
	seam_team_key(s->name, j->put.key);
	if (!update_ledger(t, j, now) || !is_recent(t, s, now) ||
	    seam_team_encode(&j->ledger, row_version(s), &j->put, &e)) {
		free_update(j);
		return false;
	}
	if (s->deleted && !j->ledger.n) {
		j->put.write.op = SEAM_DELETE;
		j->put.write.data = NULL;
		j->put.write.len = 0;
	}
	return true;
}

/* After the commit: applies the written row and notifies other holders. */
static void apply_commit(struct seam_teams *t, struct update *j,
			 uint64_t version, seam_time now)
{
	struct seam_team_slot *s = j->slot;
	struct seam_row row = {.data = NULL};
	seam_time read_at = s->read_at;

	if (j->put.write.op == SEAM_PUT) {
		row.data = j->put.text;
		row.len = j->put.write.len;
		row.version = version;
		j->put.text = NULL;
	}
	seam_teams_apply_row(t, s, &row);
	s->read_at = read_at;
	s->refreshed_at = now;
	s->plan_at = now + PLAN_PERIOD;
	if (j->want && t->on_change)
		seam_team_notify_want(&j->ledger, t->grant.holder, now,
				      t->on_change, t->on_change_arg);
	if (j->notify && t->on_change)
		seam_team_notify_change(&j->ledger, t->grant.holder, now,
					t->on_change, t->on_change_arg);
}

static void set_pending(struct seam_teams *t, struct update *j, seam_time now)
{
	struct seam_team_slot *s = j->slot;

	pthread_mutex_lock(&t->lock);
	if (!s->pending || s->pending_version != row_version(s))
		s->pending_units = j->units;
	else if (j->units < s->pending_units)
		s->pending_units = j->units;
	s->pending = true;
	s->pending_version = row_version(s);
	s->cap = seam_slot_safe_cap(s);
	pthread_mutex_unlock(&t->lock);
	s->read_at = now;
}

static void commit_failed(struct seam_teams *t, struct update *j,
			  enum seam_err_kind kind, bool read, seam_time now)
{
	struct seam_team_slot *s = j->slot;

	if (kind == SEAM_COMMIT_UNKNOWN) {
		set_pending(t, j, now);
		return;
	}
	pthread_mutex_lock(&t->lock);
	s->cap = seam_slot_safe_cap(s);
	pthread_mutex_unlock(&t->lock);
	s->plan_at = 0;
	if (kind == SEAM_CONFLICT && read)
		s->read_at = now;
}

/* A conflict on one row fails the whole commit, so the next one is smaller. */
static void adapt_batch(struct seam_teams *t, enum seam_err_kind kind)
{
	if (kind == SEAM_OK) {
		seam_metric_add(&commits_total, 1);
		t->batch_rows = t->batch_rows * 2 > SEAM_TEAM_COMMIT_ROWS_MAX ?
					SEAM_TEAM_COMMIT_ROWS_MAX :
					t->batch_rows * 2;
	} else if (kind == SEAM_CONFLICT) {
		seam_metric_add(&conflicts_total, 1);
		t->batch_rows = t->batch_rows > 1 ? t->batch_rows / 2 : 1;
	} else if (kind == SEAM_COMMIT_UNKNOWN) {
		seam_metric_add(&unknown_total, 1);
	}
}

static void commit(struct seam_teams *t, struct update *update, size_t n,
		   seam_time now)
{
	struct seam_write write[SEAM_TEAM_COMMIT_ROWS_MAX];
	struct seam_commit c = {write, n, seam_store_token(), 0};
	struct seam_err e = SEAM_ERR_INIT;
	size_t i;

	for (i = 0; i < n; i++)
		write[i] = update[i].put.write;
	t->write_tokens -= (int64_t)n * 1000;
	seam_store_commit(t->self.store, &c, now + COMMIT_TIMEOUT, &e);
	adapt_batch(t, e.kind);
	for (i = 0; i < n; i++) {
		if (e.kind == SEAM_OK)
			apply_commit(t, &update[i], c.version, now);
		else
			commit_failed(t, &update[i], e.kind,
				      n <= CONFLICT_REREAD_ROWS_MAX, now);
		free_update(&update[i]);
	}
}

bool seam_teams_write(struct seam_teams *t, seam_time now)
{
	struct update *update =
		calloc(SEAM_TEAM_COMMIT_ROWS_MAX, sizeof(*update));
	size_t left = seam_table_count(t->table);
	struct seam_handle h = t->write_cursor;
	size_t n = 0;

	while (update && left-- && n < t->batch_rows &&
	       t->write_tokens >= (int64_t)(n + 1) * 1000) {
		struct seam_team_slot *s = seam_teams_next(t, &h);
		bool plan;

		pthread_mutex_lock(&t->lock);
		plan = plan_due(s, now);
		pthread_mutex_unlock(&t->lock);
		update[n].slot = s;
		if (plan && prepare(t, &update[n], now))
			n++;
	}
	t->write_cursor = h;
	if (n)
		commit(t, update, n, now);
	free(update);
	return n > 0;
}
