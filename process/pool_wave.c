#include "process/pool.h"

#include <string.h>
#include <xxhash.h>

/* Start of maintenance before the deadline: a day for halts and failures, and
 * the time of one member for each member of the pool. */
#define LEAD (86400LL * SEAM_SEC)
#define LEAD_EACH (1200LL * SEAM_SEC)
/*
 * Every node that reaches the store has stopped sending after 5 s, and one that
 * is not suspected has told its load in the 3 s after that.
 */
#define DRAIN_SETTLE (8 * SEAM_SEC)
#define SPREAD (7LL * 86400 * SEAM_SEC)

/* A rack at a time: members of one rack share their first deadline. */
seam_time seam_maintain_first(const char *rack, seam_time now)
{
	uint64_t h = XXH3_64bits(rack, strlen(rack));

	return now + SEAM_MAINTAIN_PERIOD - (seam_time)(h % SPREAD);
}

seam_time seam_wave_due(const struct seam_pool_vm *m, size_t n)
{
	return m->maintain_by - LEAD - (seam_time)n * LEAD_EACH;
}

static bool in_wave(const struct seam_pool_vm *m)
{
	return m->why == SEAM_WHY_MAINTENANCE && m->state != SEAM_MEMBER_ACTIVE;
}

static const struct seam_pool_vm *leader(const struct seam_pool_row *r)
{
	size_t i;

	for (i = 0; i < r->n; i++)
		if (in_wave(&r->member[i]))
			return &r->member[i];
	return NULL;
}

static enum seam_refusal own(const struct seam_pool_row *r,
			     const struct seam_pool_vm *m,
			     const struct seam_wave_order *w,
			     const struct seam_pool_vm *lead, seam_time now)
{
	if (m->state != SEAM_MEMBER_ACTIVE)
		return SEAM_NOT_ACTIVE;
	if (now < seam_wave_due(m, r->n) &&
	    !(w->started && m->maintained < w->started))
		return SEAM_NOT_DUE;
	if (w->order == SEAM_ORDER_HALT)
		return SEAM_HALTED;
	if (lead && strcmp(lead->dc, m->dc))
		return SEAM_OTHER_DC;
	if (lead && strcmp(lead->rack, m->rack))
		return SEAM_OTHER_RACK;
	return SEAM_MAY_BEGIN;
}

enum seam_refusal seam_wave_may_begin(const struct seam_pool_row *r,
				      const struct seam_pool_vm *m,
				      const struct seam_pool_rules *rules,
				      const struct seam_wave_order *w,
				      seam_time now)
{
	enum seam_refusal why = own(r, m, w, leader(r), now);

	return why == SEAM_MAY_BEGIN ? seam_pool_may_take(r, m, rules) : why;
}

struct seam_pool_vm *seam_wave_next(const struct seam_pool_row *r,
				    const struct seam_pool_rules *rules,
				    const struct seam_wave_order *w,
				    seam_time now)
{
	const struct seam_pool_vm *lead = leader(r);
	struct seam_pool_vm *best = NULL;
	size_t i;

	for (i = 0; i < r->n; i++) {
		struct seam_pool_vm *m = &r->member[i];

		if ((!best || m->maintain_by < best->maintain_by) &&
		    own(r, m, w, lead, now) == SEAM_MAY_BEGIN)
			best = m;
	}
	if (best && seam_pool_may_take(r, best, rules) != SEAM_MAY_BEGIN)
		return NULL;
	return best;
}

bool seam_wave_must_stop(const struct seam_pool_row *r,
			 const struct seam_pool_rules *rules)
{
	struct seam_pool_tally t = seam_pool_count(r);

	return t.out || t.unavailable > rules->budget;
}

void seam_member_drain(struct seam_pool_vm *m, int why, seam_time now,
		       seam_time limit)
{
	m->state = SEAM_MEMBER_DRAINING;
	m->why = why;
	m->until = now + limit;
	m->drain_from = now + DRAIN_SETTLE;
}
