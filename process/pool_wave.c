#include "process/pool.h"

#include <string.h>
#include <xxhash.h>

/*
 * Time between the earliest start of maintenance and the deadline: a day for
 * halts and failures, and the time of one member for each member of the pool.
 */
#define WAVE_MARGIN (86400LL * SEAM_SEC)
#define WAVE_TIME_PER_MEMBER (1200LL * SEAM_SEC)
/*
 * Within 5 s, every node that reaches the store has stopped sending; in the 3 s
 * after that, every node that is not suspected has reported its load.
 */
#define DRAIN_TIME_MIN (8 * SEAM_SEC)
#define FIRST_DEADLINE_SPREAD (7LL * 86400 * SEAM_SEC)

/*
 * Members of one rack share their first deadline, so that racks are maintained
 * one after another.
 */
seam_time seam_first_maintenance(const char *rack, seam_time now)
{
	uint64_t h = XXH3_64bits(rack, strlen(rack));

	return now + SEAM_MAINTENANCE_PERIOD -
	       (seam_time)(h % FIRST_DEADLINE_SPREAD);
}

seam_time seam_wave_due(const struct seam_pool_vm *m, size_t n)
{
	return m->maintain_by - WAVE_MARGIN -
	       (seam_time)n * WAVE_TIME_PER_MEMBER;
}

static bool in_wave(const struct seam_pool_vm *m)
{
	return m->why == SEAM_WHY_MAINTENANCE && m->state != SEAM_MEMBER_ACTIVE;
}

static const struct seam_pool_vm *first_in_wave(const struct seam_pool_row *r)
{
	size_t i;

	for (i = 0; i < r->n; i++)
		if (in_wave(&r->member[i]))
			return &r->member[i];
	return NULL;
}

static enum seam_wave_refusal check_member(const struct seam_pool_row *r,
					   const struct seam_pool_vm *m,
					   const struct seam_wave_order *w,
					   const struct seam_pool_vm *current,
					   seam_time now)
{
	if (m->state != SEAM_MEMBER_ACTIVE)
		return SEAM_NOT_ACTIVE;
	if (now < seam_wave_due(m, r->n) &&
	    !(w->started && m->maintained < w->started))
		return SEAM_NOT_DUE;
	if (w->order == SEAM_WAVE_ORDER_HALT)
		return SEAM_HALTED;
	if (current && strcmp(current->dc, m->dc))
		return SEAM_OTHER_DC;
	if (current && strcmp(current->rack, m->rack))
		return SEAM_OTHER_RACK;
	return SEAM_MAY_BEGIN;
}

enum seam_wave_refusal seam_wave_may_begin(const struct seam_pool_row *r,
					   const struct seam_pool_vm *m,
					   const struct seam_pool_rules *rules,
					   const struct seam_wave_order *w,
					   seam_time now)
{
	enum seam_wave_refusal why =
		check_member(r, m, w, first_in_wave(r), now);

	return why == SEAM_MAY_BEGIN ? seam_pool_may_drain(r, m, rules) : why;
}

struct seam_pool_vm *seam_wave_next(const struct seam_pool_row *r,
				    const struct seam_pool_rules *rules,
				    const struct seam_wave_order *w,
				    seam_time now)
{
	const struct seam_pool_vm *current = first_in_wave(r);
	struct seam_pool_vm *best = NULL;
	size_t i;

	for (i = 0; i < r->n; i++) {
		struct seam_pool_vm *m = &r->member[i];

		if ((!best || m->maintain_by < best->maintain_by) &&
		    check_member(r, m, w, current, now) == SEAM_MAY_BEGIN)
			best = m;
	}
	if (best && seam_pool_may_drain(r, best, rules) != SEAM_MAY_BEGIN)
		return NULL;
	return best;
}

bool seam_wave_must_stop(const struct seam_pool_row *r,
			 const struct seam_pool_rules *rules)
{
	struct seam_pool_counts t = seam_pool_count(r);

	return t.out || t.unavailable > rules->budget;
}

void seam_member_drain(struct seam_pool_vm *m, int why, seam_time now,
		       seam_time limit)
{
	m->state = SEAM_MEMBER_DRAINING;
	m->why = why;
	m->until = now + limit;
	m->drain_from = now + DRAIN_TIME_MIN;
}
