#include "process/vm_plan.h"

#include <math.h>

/* Seconds that a VM is out of use for its maintenance, with its emptying. */
#define CYCLE_S 5.0
/* Seconds before the end of a wave that are kept for stragglers. */
#define RESERVE_S 3.0

static bool is_standby(const struct seam_plan *p, const struct seam_plan_vm *v)
{
	return p->pool[v->pool].standby;
}

static void count(struct seam_plan *p)
{
	size_t i;

	for (i = 0; i < p->pools; i++)
		p->pool[i].have = 0;
	for (i = 0; i < p->vms; i++) {
		struct seam_plan_vm *v = &p->vm[i];

		v->action = SEAM_VM_KEEP;
		/* A VM that is on its way counts where it goes. */
		if (!v->leaving && (v->usable || !v->up || v->arriving))
			p->pool[v->pool].have++;
	}
}

/* VMs that may be on their way into maintenance at this moment. */
static int wave_quota(const struct seam_plan *p)
{
	double left = p->wave.left_s - RESERVE_S;
	int due = 0;
	int need;
	size_t i;

	for (i = 0; i < p->vms; i++)
		due += p->vm[i].due;
	if (left < CYCLE_S)
		return p->wave.at_once;
	need = (int)ceil(due * CYCLE_S / left);
	return need < p->wave.at_once ? need : p->wave.at_once;
}

/* How much a VM is missed while it is maintained; less comes first. */
static double loss(const struct seam_plan *p, const struct seam_plan_vm *v)
{
	const struct seam_plan_pool *pool = &p->pool[v->pool];
	double lack;

	if (pool->standby)
		return -1000;
	lack = pool->want - (pool->have - 1);
	if (v->leaving || !v->usable)
		lack = 0;
	return (lack > 0 ? 100 * lack / pool->have : 0) + 10 * v->lasting +
	       v->runs;
}

static struct seam_plan_vm *next_due(struct seam_plan *p)
{
	struct seam_plan_vm *best = NULL;
	double least = 0;
	size_t i;

	for (i = 0; i < p->vms; i++) {
		struct seam_plan_vm *v = &p->vm[i];
		double l;

		if (!v->due || !v->up || v->action != SEAM_VM_KEEP)
			continue;
		/* What was begun is ended first. */
		l = loss(p, v) - (v->leaving ? 50 : 0);
		if (!best || l < least) {
			best = v;
			least = l;
		}
	}
	return best;
}

static void plan_wave(struct seam_plan *p)
{
	int quota = wave_quota(p) - p->wave.away;
	int room = p->wave.at_once - p->wave.away;
	struct seam_plan_vm *v;

	while (room > 0 && (v = next_due(p))) {
		bool free = is_standby(p, v) || (!v->runs && !v->usable);

		if (quota <= 0 && !free)
			break;
		if (!v->leaving && v->usable)
			p->pool[v->pool].have--;
		v->action = v->runs ? SEAM_VM_EMPTY : SEAM_VM_MAINTAIN;
		quota -= !free;
		room--;
	}
}

static int wanted(const struct seam_plan_pool *pool, bool late)
{
	return late ? pool->all : pool->want;
}

/* The pool that lacks the greatest part of the VMs that it wants, or -1. */
static int most_lacking(const struct seam_plan *p, bool late, const bool *skip)
{
	double most = 0;
	int best = -1;
	size_t i;

	for (i = 0; i < p->pools; i++) {
		const struct seam_plan_pool *pool = &p->pool[i];
		int want = wanted(pool, late);
		double lack;

		if (pool->standby || skip[i] || want <= pool->have)
			continue;
		lack = (double)(want - pool->have) / want;
		if (lack > most) {
			most = lack;
			best = (int)i;
		}
	}
	return best;
}

/* VMs of pool @to in data centre @dc. */
static int count_in_dc(const struct seam_plan *p, int to, int dc)
{
	int n = 0;
	size_t i;

	for (i = 0; i < p->vms; i++) {
		const struct seam_plan_vm *v = &p->vm[i];

		n += v->dc == dc &&
		     (v->action == SEAM_VM_MOVE ? v->to : v->pool) == to;
	}
	return n;
}

/*
 * A VM that pool @to may take: from standby first, then from a pool with more
 * than it wants, an empty one before one that runs tasks which are not lasting.
 */
static struct seam_plan_vm *donor(struct seam_plan *p, int to, bool late)
{
	struct seam_plan_vm *best = NULL;
	int least = 0;
	size_t i;

	for (i = 0; i < p->vms; i++) {
		struct seam_plan_vm *v = &p->vm[i];
		const struct seam_plan_pool *pool = &p->pool[v->pool];
		int cost = count_in_dc(p, to, v->dc);

		if (!v->up || v->pool == to || v->action != SEAM_VM_KEEP)
			continue;
		if (!pool->standby) {
			/* One that is being emptied is not counted any more. */
			if (!v->leaving && pool->have <= wanted(pool, late))
				continue;
			if (v->lasting || (late && v->runs))
				continue;
			cost += pool->have > pool->all ? 1000 : 2000;
			cost += v->leaving ? 0 : 10000 * v->runs;
		}
		/* Its worker may not be reached there. */
		if (v->silent_dc)
			cost += 5000;
		/* It would have to leave again for its wave. */
		if (v->due)
			cost += 100;
		if (!best || cost < least) {
			best = v;
			least = cost;
		}
	}
	return best;
}

static void fill_lacks(struct seam_plan *p, bool late)
{
	bool skip[SEAM_PLAN_POOLS] = {false};
	struct seam_plan_vm *v;
	int to;

	while ((to = most_lacking(p, late, skip)) >= 0) {
		v = donor(p, to, late);
		if (!v) {
			skip[to] = true;
			continue;
		}
		if (!p->pool[v->pool].standby && v->usable && !v->leaving)
			p->pool[v->pool].have--;
		v->action = v->runs ? SEAM_VM_EMPTY : SEAM_VM_MOVE;
		v->to = to;
		p->pool[to].have++;
	}
}

static int standby_pool(const struct seam_plan *p)
{
	size_t i;

	for (i = 0; i < p->pools; i++)
		if (p->pool[i].standby)
			return (int)i;
	return -1;
}

/* Of the VMs that a pool has too many, one of its fullest data centre. */
static struct seam_plan_vm *surplus(struct seam_plan *p, int pool)
{
	struct seam_plan_vm *best = NULL;
	int most = 0;
	size_t i;

	for (i = 0; i < p->vms; i++) {
		struct seam_plan_vm *v = &p->vm[i];
		int n;

		if (v->pool != pool || !v->up || !v->usable || v->runs ||
		    v->action != SEAM_VM_KEEP)
			continue;
		n = 2 * count_in_dc(p, pool, v->dc) + v->due;
		if (!best || n > most) {
			best = v;
			most = n;
		}
	}
	return best;
}

static void park_surplus(struct seam_plan *p)
{
	int to = standby_pool(p);
	struct seam_plan_vm *v;
	size_t i;

	if (to < 0)
		return;
	for (i = 0; i < p->pools; i++) {
		struct seam_plan_pool *pool = &p->pool[i];

		while (!pool->standby && pool->have > pool->hold &&
		       (v = surplus(p, (int)i))) {
			v->action = SEAM_VM_MOVE;
			v->to = to;
			pool->have--;
		}
	}
}

void seam_vm_plan(struct seam_plan *p)
{
	count(p);
	plan_wave(p);
	fill_lacks(p, false);
	fill_lacks(p, true);
	park_surplus(p);
}

static void trim(struct seam_plan *p, int action, bool to_standby, size_t *left)
{
	size_t i;

	for (i = 0; i < p->vms; i++) {
		struct seam_plan_vm *v = &p->vm[i];

		if (v->action != action ||
		    (action == SEAM_VM_MOVE &&
		     p->pool[v->to].standby != to_standby))
			continue;
		if (*left)
			(*left)--;
		else
			v->action = SEAM_VM_KEEP;
	}
}

void seam_vm_plan_trim(struct seam_plan *p, size_t n)
{
	trim(p, SEAM_VM_MOVE, false, &n);
	trim(p, SEAM_VM_MAINTAIN, false, &n);
	trim(p, SEAM_VM_MOVE, true, &n);
}
