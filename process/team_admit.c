#include "base/metrics.h"
#include "base/log.h"
#include "process/team_impl.h"

#include <stdlib.h>
#include <string.h>

#define WAITERS_MAX 8

SEAM_METRIC(refused_total, "seam_team_units_refused_total",
	    "Units of requests refused for lack of granted units.");
SEAM_METRIC(held_total, "seam_team_units_held_total",
	    "Units kept because the end of a request was not known.");

struct seam_team_slot *seam_teams_slot(struct seam_teams *t, const char *name)
{
	struct seam_handle h;

	h.bits = GPOINTER_TO_UINT(g_hash_table_lookup(t->index, name));
	return seam_table_get(t->table, h);
}

void seam_slot_expire(struct seam_team_slot *s, seam_time now)
{
	size_t kept = 0;
	size_t i;

	for (i = 0; i < s->holds; i++) {
		if (s->hold[i].until > now) {
			s->hold[kept++] = s->hold[i];
			continue;
		}
		s->held -= s->hold[i].units;
		s->running -= s->hold[i].units;
	}
	s->holds = kept;
}

int64_t seam_slot_peak(const struct seam_team_slot *s)
{
	return s->peak[0] > s->peak[1] ? s->peak[0] : s->peak[1];
}

int64_t seam_slot_safe_cap(const struct seam_team_slot *s)
{
	int64_t cap = s->row_cap < s->units ? s->row_cap : s->units;

	if (s->reread_required)
		return 0;
	if (s->decrease_cap < cap)
		cap = s->decrease_cap;
	if (s->pending && s->pending_units < cap)
		cap = s->pending_units;
	return cap;
}

static void record_demand(struct seam_team_slot *s)
{
	int64_t demand = s->running + s->refused_since_pass;

	if (demand > s->peak[0])
		s->peak[0] = demand;
}

static int refuse(struct seam_team_slot *s, int units, struct seam_err *e)
{
	s->refused_since_pass += units;
	s->refused += units;
	seam_metric_add(&refused_total, units);
	return seam_fail(e, SEAM_OVER_LIMIT,
			 "team %s: limit %lld, this node's grant %lld, cap "
			 "%lld, running %lld",
			 s->name, (long long)s->terms.limit,
			 (long long)s->units, (long long)s->cap,
			 (long long)s->running);
}

static int take(struct seam_admit *a, const char *team, int units,
		seam_time now, struct seam_err *e)
{
	struct seam_teams *t = (struct seam_teams *)a;
	struct seam_team_slot *s;
	int rc = 0;

	pthread_mutex_lock(&t->lock);
	s = seam_teams_slot(t, team);
	if (!s) {
		pthread_mutex_unlock(&t->lock);
		return seam_fail(e, SEAM_OVER_LIMIT,
				 "team %s: no grant on this node yet", team);
	}
	if (s->holds)
		seam_slot_expire(s, now);
	if (s->running + units > s->cap) {
		rc = refuse(s, units, e);
	} else {
		s->running += units;
		SEAM_INVARIANT(s->running <= s->units, "team",
			       "team %s: running %lld, grant %lld", s->name,
			       (long long)s->running, (long long)s->units);
	}
	record_demand(s);
	pthread_mutex_unlock(&t->lock);
	if (rc && t->on_demand)
		t->on_demand(t->on_demand_arg);
	return rc;
}

static bool must_wait(struct seam_teams *t, const char *team, int units)
{
	struct seam_team_slot *s = seam_teams_slot(t, team);

	return !s || s->running + units > s->cap;
}

/* The number of waiters is limited, so that a team at its limit does not occupy
 * the threads that serve other teams. */
static bool wait_units(struct seam_admit *a, const char *team, int units,
		       seam_time until)
{
	struct seam_teams *t = (struct seam_teams *)a;
	struct seam_clock *clock = t->self.clock;
	bool ok;

	pthread_mutex_lock(&t->lock);
	if (t->waiters >= WAITERS_MAX) {
		pthread_mutex_unlock(&t->lock);
		return false;
	}
	t->waiters++;
	while (must_wait(t, team, units) && seam_now(clock) < until)
		seam_wait(clock, &t->pass_done, &t->lock, until);
	t->waiters--;
	ok = !must_wait(t, team, units);
	pthread_mutex_unlock(&t->lock);
	return ok;
}

static void release(struct seam_admit *a, const char *team, int units,
		    seam_time now)
{
	struct seam_teams *t = (struct seam_teams *)a;
	struct seam_team_slot *s;

	(void)now;
	pthread_mutex_lock(&t->lock);
	s = seam_teams_slot(t, team);
	if (s) {
		SEAM_INVARIANT(s->running - s->held >= units, "team",
			       "team %s: %d units released, %lld taken", team,
			       units, (long long)(s->running - s->held));
		s->running -= units;
	}
	pthread_mutex_unlock(&t->lock);
}

static bool add_hold(struct seam_team_slot *s, seam_time until, int units)
{
	struct seam_team_hold *grown;
	size_t i;

	/* Rounded up to a second, which limits the list to as many entries as
	 * the longest request has seconds. */
	until = (until + SEAM_SEC - 1) / SEAM_SEC * SEAM_SEC;
	for (i = 0; i < s->holds; i++)
		if (s->hold[i].until == until) {
			s->hold[i].units += units;
			return true;
		}
	grown = realloc(s->hold, (s->holds + 1) * sizeof(*grown));
	if (!grown)
		return false;
	s->hold = grown;
	grown[s->holds++] = (struct seam_team_hold){until, units};
	return true;
}

static void hold_until(struct seam_admit *a, const char *team, int units,
		       seam_time until)
{
	struct seam_teams *t = (struct seam_teams *)a;
	struct seam_team_slot *s;

	pthread_mutex_lock(&t->lock);
	s = seam_teams_slot(t, team);
	/* If out of memory, the units are never released, which is safe. */
	if (s && add_hold(s, until, units)) {
		s->held += units;
		seam_metric_add(&held_total, units);
	}
	pthread_mutex_unlock(&t->lock);
}

const struct seam_admit_ops seam_teams_admit_ops = {
	.take = take,
	.wait = wait_units,
	.release = release,
	.hold_until = hold_until,
};

static void fill_info(const struct seam_team_slot *s, struct seam_team_info *o)
{
	memcpy(o->name, s->name, sizeof(o->name));
	o->limit = s->terms.limit;
	o->units = s->units;
	o->cap = s->cap;
	o->running = s->running;
	o->held = s->held;
	o->peak = seam_slot_peak(s);
	o->refused = s->refused;
	o->damaged = s->damaged;
}

bool seam_teams_info(struct seam_teams *t, const char *team,
		     struct seam_team_info *out)
{
	struct seam_team_slot *s;

	pthread_mutex_lock(&t->lock);
	s = seam_teams_slot(t, team);
	if (s)
		fill_info(s, out);
	pthread_mutex_unlock(&t->lock);
	return s != NULL;
}

struct seam_team_info *seam_teams_list(struct seam_teams *t, size_t *n)
{
	struct seam_team_info *out;
	struct seam_team_slot *s;
	struct seam_handle h = SEAM_HANDLE_NONE;

	*n = 0;
	pthread_mutex_lock(&t->lock);
	out = calloc(seam_table_count(t->table) + 1, sizeof(*out));
	while (out && (s = seam_table_next(t->table, &h)))
		fill_info(s, &out[(*n)++]);
	pthread_mutex_unlock(&t->lock);
	return out;
}
