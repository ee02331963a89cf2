#include "process/team_impl.h"

#include <string.h>

/* How long a surplus lasts before it is released. Demand peaks last some
 * seconds, so a shorter delay would move units between two peaks. */
#define RELEASE_DELAY (10 * SEAM_SEC)

static int64_t max64(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

static int64_t min64(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

static bool has_floor(const struct seam_team_plan_input *c)
{
	size_t i;

	for (i = 0; i < c->terms->dcs; i++)
		if (!strcmp(c->terms->dc[i], c->self->dc))
			return true;
	return false;
}

static int64_t dc_floor(const struct seam_team_plan_input *c)
{
	return has_floor(c) ? c->terms->floor : 0;
}

static int64_t wanted_units(const struct seam_team_plan_input *c)
{
	if (!c->peak)
		return 0;
	return min64(c->ledger->limit, c->peak + max64(1, c->peak / 4));
}

/* Units that this node still has to take to fill the floor of its data centre.
 */
static int64_t fill_floor(const struct seam_team_plan_input *c, int64_t units)
{
	int64_t lack =
		dc_floor(c) - seam_ledger_dc_granted(c->ledger, c->self->dc);

	return max64(0, min64(lack, c->node_floor - units));
}

static void raise_units(const struct seam_team_plan_input *c, int64_t units,
			struct seam_team_plan *p)
{
	int64_t goal = units + fill_floor(c, units);
	int64_t available;

	if (c->peak && c->peak + max64(1, c->peak / 8) > units)
		goal = max64(goal, wanted_units(c));
	if (goal <= units)
		return;
	available = seam_ledger_available(c->ledger, c->terms, c->self->dc);
	p->units = min64(goal, units + available);
	p->want = max64(0, wanted_units(c) - p->units);
}

/* Limits @release so that the data centre keeps its floor; units wanted in the
 * same data centre count as remaining in it. */
static int64_t limit_to_floor(const struct seam_team_plan_input *c,
			      int64_t release)
{
	const struct seam_ledger *l = c->ledger;
	int64_t sum = seam_ledger_dc_granted(l, c->self->dc);
	int64_t wanted_in_dc = seam_ledger_wanted_by_others(
		l, c->self->holder, c->self->dc, c->now);

	return min64(release, max64(wanted_in_dc, max64(0, sum - dc_floor(c))));
}

static int64_t release_wanted(const struct seam_team_plan_input *c,
			      int64_t units, int64_t wanted)
{
	int64_t release = min64(wanted, max64(0, units - c->peak));
	int64_t fair =
		seam_ledger_fair_share(c->ledger, c->self->holder, c->now);

	/* Units over the fair share are released in steps of a quarter, so that
	 * a short demand moves few of them. */
	if (units - release > fair)
		release = min64(units - fair, release + max64(1, units / 4));
	return limit_to_floor(c, release);
}

static int64_t release_idle(const struct seam_team_plan_input *c, int64_t units,
			    struct seam_team_plan *p)
{
	int64_t surplus =
		units - max64(wanted_units(c), min64(units, c->node_floor));

	if (surplus < max64(2, units / 4) &&
	    !(surplus > 0 && !c->peak && !c->node_floor))
		return 0;
	if (limit_to_floor(c, surplus) <= 0)
		return 0;
	p->release_at = c->release_at ? c->release_at : c->now + RELEASE_DELAY;
	return p->release_at <= c->now ? limit_to_floor(c, surplus) : 0;
}

/* The grants exceed the limit: nothing starts, and unused units are released
 * until the grants fit. */
static void reduce(const struct seam_team_plan_input *c, int64_t units,
		   struct seam_team_plan *p)
{
	int64_t excess = seam_ledger_granted(c->ledger) - c->ledger->limit;

	p->units = min64(units, max64(c->running, units - excess));
	p->cap = 0;
}

void seam_team_plan(const struct seam_team_plan_input *c,
		    struct seam_team_plan *p)
{
	const struct seam_grant *own =
		seam_ledger_find(c->ledger, c->self->holder);
	int64_t units = own ? own->units : 0;
	int64_t wanted;

	p->units = units;
	p->cap = units;
	p->want = 0;
	p->release_at = 0;
	if (!seam_ledger_within_limit(c->ledger)) {
		reduce(c, units, p);
		return;
	}
	raise_units(c, units, p);
	if (p->units > units)
		return;
	wanted = seam_ledger_wanted_by_others(c->ledger, c->self->holder, NULL,
					      c->now);
	if (wanted)
		p->units -= release_wanted(c, units, wanted);
	else
		p->units -= release_idle(c, units, p);
	p->cap = p->units;
}
