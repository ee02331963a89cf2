#include "process/team_impl.h"

#include <string.h>

/* A surplus is given back when it has lasted so long. Demand peaks last some
 * seconds, so a shorter time would move units in each gap. */
#define RELEASE_HOLD (10 * SEAM_SEC)

static int64_t max64(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

static int64_t min64(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

static bool has_floor(const struct seam_team_case *c)
{
	size_t i;

	for (i = 0; i < c->terms->dcs; i++)
		if (!strcmp(c->terms->dc[i], c->self->dc))
			return true;
	return false;
}

static int64_t floor_of(const struct seam_team_case *c)
{
	return has_floor(c) ? c->terms->floor : 0;
}

static int64_t target(const struct seam_team_case *c)
{
	if (!c->peak)
		return 0;
	return min64(c->ledger->limit, c->peak + max64(1, c->peak / 4));
}

/* Units that fill the floor of the own data centre. */
static int64_t refill(const struct seam_team_case *c, int64_t units)
{
	int64_t lack = floor_of(c) - seam_ledger_dc_sum(c->ledger, c->self->dc);

	return max64(0, min64(lack, c->base - units));
}

static void raise_units(const struct seam_team_case *c, int64_t units,
			struct seam_team_plan *p)
{
	int64_t goal = units + refill(c, units);
	int64_t room;

	if (c->peak && c->peak + max64(1, c->peak / 8) > units)
		goal = max64(goal, target(c));
	if (goal <= units)
		return;
	room = seam_ledger_room(c->ledger, c->terms, c->self->dc);
	p->units = min64(goal, units + room);
	p->want = max64(0, target(c) - p->units);
}

/* Of @give, what may leave without taking the data centre under its floor;
 * units wanted in the same data centre stay in it. */
static int64_t above_floor(const struct seam_team_case *c, int64_t give)
{
	const struct seam_ledger *l = c->ledger;
	int64_t sum = seam_ledger_dc_sum(l, c->self->dc);
	int64_t near =
		seam_ledger_wanted(l, c->self->holder, c->self->dc, c->now);

	return min64(give, max64(near, max64(0, sum - floor_of(c))));
}

static int64_t give_wanted(const struct seam_team_case *c, int64_t units,
			   int64_t wanted)
{
	int64_t give = min64(wanted, max64(0, units - c->peak));
	int64_t fair = seam_ledger_fair(c->ledger, c->self->holder, c->now);

	/* In steps, so that a demand that ends soon moves little. */
	if (units - give > fair)
		give = min64(units - fair, give + max64(1, units / 4));
	return above_floor(c, give);
}

static int64_t give_idle(const struct seam_team_case *c, int64_t units,
			 struct seam_team_plan *p)
{
	int64_t surplus = units - max64(target(c), min64(units, c->base));

	if (surplus < max64(2, units / 4) &&
	    !(surplus > 0 && !c->peak && !c->base))
		return 0;
	if (above_floor(c, surplus) <= 0)
		return 0;
	p->release_at = c->release_at ? c->release_at : c->now + RELEASE_HOLD;
	return p->release_at <= c->now ? above_floor(c, surplus) : 0;
}

/* The limit is below the grants: nothing starts, and what this node does not
 * use is released as far as needed. */
static void shrink(const struct seam_team_case *c, int64_t units,
		   struct seam_team_plan *p)
{
	int64_t excess = seam_ledger_sum(c->ledger) - c->ledger->limit;

	p->units = min64(units, max64(c->running, units - excess));
	p->cap = 0;
}

void seam_team_plan(const struct seam_team_case *c, struct seam_team_plan *p)
{
	const struct seam_grant *own =
		seam_ledger_find(c->ledger, c->self->holder);
	int64_t units = own ? own->units : 0;
	int64_t wanted;

	p->units = units;
	p->cap = units;
	p->want = 0;
	p->release_at = 0;
	if (!seam_ledger_open(c->ledger)) {
		shrink(c, units, p);
		return;
	}
	raise_units(c, units, p);
	if (p->units > units)
		return;
	wanted = seam_ledger_wanted(c->ledger, c->self->holder, NULL, c->now);
	if (wanted)
		p->units -= give_wanted(c, units, wanted);
	else
		p->units -= give_idle(c, units, p);
	p->cap = p->units;
}
