#include "base/count.h"
#include "base/log.h"
#include "process/team_impl.h"

#include <stdlib.h>
#include <string.h>

#define COMMIT_TIMEOUT (2 * SEAM_SEC)
/* Each team is decided about at least so often: dead holders, expired wants. */
#define PLAN_PERIOD (5 * SEAM_SEC)
/* A raise that found no room is tried again so often. */
#define HUNGRY_PERIOD (1 * SEAM_SEC)
/* A node that wants units looks for released ones so often. */
#define WANT_READ (300 * SEAM_MSEC)
/* The same while the budget of bytes is short: with hundreds of teams these
 * reads would take what the rows of other teams need. */
#define WANT_READ_SHORT (2 * SEAM_SEC)
/* An older copy of a row is read again before a write: one stale row makes the
 * store refuse the whole commit. */
#define SEEN_MAX (2 * SEAM_SEC)
/* After a conflict smaller commits find the stale row; this few are read. */
#define READ_AGAIN_MAX 4

SEAM_COUNT(commits_total, "seam_team_commits_total",
	   "Commits of team rows that applied.");
SEAM_COUNT(conflicts_total, "seam_team_conflicts_total",
	   "Commits of team rows that lost a race.");
SEAM_COUNT(unknown_total, "seam_team_commits_unknown_total",
	   "Commits of team rows whose answer was lost.");

/* One operation of the commit and what follows from it. */
struct job {
	struct seam_team_slot *slot;
	struct seam_ledger ledger;
	struct seam_team_put put;
	int64_t units;
	bool want;
	bool room; /* others can raise, or must release */
};

static bool hungry(const struct seam_team_slot *s)
{
	int64_t peak = seam_slot_peak(s);

	return peak && peak + (peak / 8 > 1 ? peak / 8 : 1) > s->units;
}

static bool due(const struct seam_team_slot *s, seam_time now)
{
	if (!s->known || s->damaged || s->read_at <= now)
		return false;
	return s->plan_at <= now || s->pending || s->cap < s->units ||
	       (s->release_at && s->release_at <= now) ||
	       (hungry(s) && s->hungry_at <= now);
}

static int64_t base_of(const struct seam_teams *t,
		       const struct seam_team_slot *s)
{
	int64_t n = t->dc_nodes > 1 ? t->dc_nodes : 1;

	return (s->terms.floor + n - 1) / n;
}

static void decide(struct seam_teams *t, struct seam_team_slot *s,
		   const struct seam_ledger *l, bool mine, seam_time now,
		   struct seam_team_plan *p)
{
	struct seam_team_case c = {.ledger = l,
				   .terms = &s->terms,
				   .self = &t->grant,
				   .base = base_of(t, s),
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
	/* The owner of the row is about to grant them, for all nodes at once.
	 */
	if (p->units > s->units && !mine && now < s->seed_by && !c.peak)
		p->units = p->cap = s->units;
	s->hungry_at = p->units > s->units ? 0 : now + HUNGRY_PERIOD;
	wait = t->bytes > SEAM_TEAM_BYTES_BURST / 2 ? WANT_READ :
						      WANT_READ_SHORT;
	if ((p->want || !seam_ledger_open(l)) && s->read_at == SEAM_NEVER)
		s->read_at = now + wait +
			     (seam_time)(seam_teams_random(t) % (uint64_t)wait);
}

/*
 * Lowers the cap before the row. Returns false while more is running than the
 * new cap: the row changes only after it ended.
 */
static bool lower_first(struct seam_teams *t, struct seam_team_slot *s,
			const struct seam_team_plan *p)
{
	bool ok;

	pthread_mutex_lock(&t->lock);
	s->lower = p->cap < s->units ? p->cap : SEAM_TEAM_UNITS_MAX;
	s->cap = seam_slot_safe_cap(s);
	ok = p->units >= s->units || s->running <= p->units;
	pthread_mutex_unlock(&t->lock);
	return ok;
}

static bool renew_want(const struct seam_ledger *l, const char *holder,
		       int64_t want, seam_time now)
{
	const struct seam_grant *own = seam_ledger_find(l, holder);

	if (!want)
		return false;
	return !own || !own->want ||
	       own->want_until < now + SEAM_WANT_LIFE / 2 ||
	       want > 2 * own->want;
}

static uint64_t row_version(const struct seam_team_slot *s)
{
	return s->row.data ? s->row.version : SEAM_ABSENT;
}

/* Changes j->ledger; returns true if it is to be written. */
static bool change(struct seam_teams *t, struct job *j, seam_time now)
{
	struct seam_team_slot *s = j->slot;
	struct seam_grant g = t->grant;
	struct seam_ledger *l = &j->ledger;
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_team_plan p;
	int64_t sum = seam_ledger_sum(l);
	bool mine = seam_owner_mine(t->self.owner, j->put.key, now);
	bool owner_change = seam_ledger_terms(l, &s->terms);
	bool write;

	if (mine)
		owner_change |= seam_teams_bury(t, l, now);
	write = mine && owner_change && s->row.data;
	if (mine)
		write |= seam_teams_seed(t, l, &s->terms, now);
	/* Any commit on this version ends the doubt about an earlier one. */
	write |= s->pending && s->pending_version == row_version(s);
	decide(t, s, l, mine, now, &p);
	j->units = s->units;
	j->want = renew_want(l, g.holder, p.want, now);
	if (lower_first(t, s, &p) && p.units != s->units) {
		g.units = p.units;
		if (seam_ledger_grant(l, &s->terms, &g, &e))
			return write;
		j->units = p.units;
		write = true;
	}
	if (j->want || (write && seam_ledger_find(l, g.holder)))
		seam_ledger_want(l, &g, p.want, now + SEAM_WANT_LIFE, &e);
	seam_ledger_trim(l, now);
	j->room = seam_ledger_sum(l) < sum ||
		  (owner_change && !seam_ledger_open(l));
	return write || j->want || (mine && s->gone && s->row.data && !l->n);
}

static void end_job(struct job *j)
{
	seam_ledger_free(&j->ledger);
	seam_team_put_free(&j->put);
}

static bool recent(struct seam_teams *t, struct seam_team_slot *s,
		   seam_time now)
{
	if (now - s->seen_at <= SEEN_MAX)
		return true;
	t->stale = true;
	s->read_at = now;
	s->plan_at = 0;
	return false;
}

static bool prepare(struct seam_teams *t, struct job *j, seam_time now)
{
	struct seam_team_slot *s = j->slot;
	struct seam_err e = SEAM_ERR_INIT;

	memset(&j->put, 0, sizeof(j->put));
	if (seam_ledger_read(&s->row, s->name, &j->ledger, &e))
		return false;
	seam_team_key(s->name, j->put.key);
	if (!change(t, j, now) || !recent(t, s, now) ||
	    seam_team_encode(&j->ledger, row_version(s), &j->put, &e)) {
		end_job(j);
		return false;
	}
	if (s->gone && !j->ledger.n) {
		j->put.write.op = SEAM_DELETE;
		j->put.write.data = NULL;
		j->put.write.len = 0;
	}
	return true;
}

/* The row is now what the job wrote. */
static void settle(struct seam_teams *t, struct job *j, uint64_t version,
		   seam_time now)
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
	seam_teams_absorb(t, s, &row);
	s->read_at = read_at;
	s->seen_at = now;
	s->plan_at = now + PLAN_PERIOD;
	if (j->want && t->want)
		seam_team_tell_want(&j->ledger, t->grant.holder, now, t->want,
				    t->want_arg);
	if (j->room && t->want)
		seam_team_tell_room(&j->ledger, t->grant.holder, now, t->want,
				    t->want_arg);
}

static void unknown(struct seam_teams *t, struct job *j, seam_time now)
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

static void failed(struct seam_teams *t, struct job *j, enum seam_kind kind,
		   bool read, seam_time now)
{
	struct seam_team_slot *s = j->slot;

	if (kind == SEAM_COMMIT_UNKNOWN) {
		unknown(t, j, now);
		return;
	}
	pthread_mutex_lock(&t->lock);
	s->cap = seam_slot_safe_cap(s);
	pthread_mutex_unlock(&t->lock);
	s->plan_at = 0;
	if (kind == SEAM_CONFLICT && read)
		s->read_at = now;
}

/* A conflict on one row refuses all, so the next commit takes fewer rows. */
static void adapt(struct seam_teams *t, enum seam_kind kind)
{
	if (kind == SEAM_OK) {
		seam_count_add(&commits_total, 1);
		t->batch = t->batch * 2 > SEAM_TEAM_ROWS_MAX ?
				   SEAM_TEAM_ROWS_MAX :
				   t->batch * 2;
	} else if (kind == SEAM_CONFLICT) {
		seam_count_add(&conflicts_total, 1);
		t->batch = t->batch > 1 ? t->batch / 2 : 1;
	} else if (kind == SEAM_COMMIT_UNKNOWN) {
		seam_count_add(&unknown_total, 1);
	}
}

static void commit(struct seam_teams *t, struct job *job, size_t n,
		   seam_time now)
{
	struct seam_write write[SEAM_TEAM_ROWS_MAX];
	struct seam_commit c = {write, n, seam_store_token(), 0};
	struct seam_err e = SEAM_ERR_INIT;
	size_t i;

	for (i = 0; i < n; i++)
		write[i] = job[i].put.write;
	t->rows -= (int64_t)n * 1000;
	seam_store_commit(t->self.store, &c, now + COMMIT_TIMEOUT, &e);
	adapt(t, e.kind);
	for (i = 0; i < n; i++) {
		if (e.kind == SEAM_OK)
			settle(t, &job[i], c.version, now);
		else
			failed(t, &job[i], e.kind, n <= READ_AGAIN_MAX, now);
		end_job(&job[i]);
	}
}

bool seam_teams_write(struct seam_teams *t, seam_time now)
{
	struct job *job = calloc(SEAM_TEAM_ROWS_MAX, sizeof(*job));
	size_t left = seam_table_count(t->table);
	struct seam_handle h = t->start;
	size_t n = 0;

	while (job && left-- && n < t->batch &&
	       t->rows >= (int64_t)(n + 1) * 1000) {
		struct seam_team_slot *s = seam_teams_next(t, &h);
		bool go;

		pthread_mutex_lock(&t->lock);
		go = due(s, now);
		pthread_mutex_unlock(&t->lock);
		job[n].slot = s;
		if (go && prepare(t, &job[n], now))
			n++;
	}
	t->start = h;
	if (n)
		commit(t, job, n, now);
	free(job);
	return n > 0;
}
