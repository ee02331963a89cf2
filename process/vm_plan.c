#include "process/vm_plan.h"

#include <math.h>

#include <glib.h>

/* Seconds that a VM is out of service for maintenance, including its drain. */
#define MAINTENANCE_CYCLE_S 5.0
/* Seconds before the deadline of a wave that are reserved for late VMs. */
#define WAVE_RESERVE_S 3.0

/*
 * A plan in progress.
 *
 * @plan: input and result
 * @dcs: number of data centres
 * @in_dc: VMs by pool and data centre once the plan is carried out. Counting
 *     them for each VM that could be moved took 0.3 s with 1,100 VMs.
 */
struct planner {
	struct seam_plan *plan;
	int dcs;
	int *in_dc;
};

static bool is_standby(const struct seam_plan *p, const struct seam_plan_vm *v)
{
	return p->pool[v->pool].standby;
}

/* Adds @n to the VMs of pool @pool that have the labels of @v. */
static void count_labels(struct seam_plan *p, const struct seam_plan_vm *v,
			 int pool, int n)
{
	size_t i;

	for (i = 0; i < p->labels; i++)
		if (p->label[i].pool == pool && (v->labels & p->label[i].bit))
			p->label[i].have += n;
}

bool seam_plan_vm_is_available(const struct seam_plan_vm *v)
{
	return !v->leaving && !v->dc_out &&
	       (v->usable || v->returning || v->arriving);
}

static void count_available(struct seam_plan *p)
{
	size_t i;

	for (i = 0; i < p->pools; i++)
		p->pool[i].have = 0;
	for (i = 0; i < p->labels; i++)
		p->label[i].have = 0;
	for (i = 0; i < p->vms; i++) {
		struct seam_plan_vm *v = &p->vm[i];

		v->action = SEAM_VM_KEEP;
		/* A VM that is moving counts in the pool it moves to. */
		if (seam_plan_vm_is_available(v)) {
			p->pool[v->pool].have++;
			count_labels(p, v, v->pool, 1);
		}
	}
}

/* VMs that have to be in maintenance now for the wave to end in time. */
static int wave_quota(const struct seam_plan *p)
{
	double left = p->wave.remaining_s - WAVE_RESERVE_S;
	int due = 0;
	int need;
	size_t i;

	for (i = 0; i < p->vms; i++)
		due += p->vm[i].due;
	if (left < MAINTENANCE_CYCLE_S)
		return p->wave.at_once;
	need = (int)ceil(due * MAINTENANCE_CYCLE_S / left);
	return need < p->wave.at_once ? need : p->wave.at_once;
}

/* Cost of taking a VM out of service; the cheapest VM is maintained first. */
static double maintenance_cost(const struct seam_plan *p,
			       const struct seam_plan_vm *v)
{
	const struct seam_plan_pool *pool = &p->pool[v->pool];
	double shortage;

	if (pool->standby)
		return -1000;
	shortage = pool->want - (pool->have - 1);
	if (v->leaving || !v->usable)
		shortage = 0;
	return (shortage > 0 ? 100 * shortage / pool->have : 0) +
	       10 * v->pinned + v->runs;
}

static struct seam_plan_vm *next_for_maintenance(struct seam_plan *p)
{
	struct seam_plan_vm *best = NULL;
	double least = 0;
	size_t i;

	for (i = 0; i < p->vms; i++) {
		struct seam_plan_vm *v = &p->vm[i];
		double l;

		if (!v->due || !v->up || v->action != SEAM_VM_KEEP)
			continue;
		/* VMs that are draining already are completed first. */
		l = maintenance_cost(p, v) - (v->leaving ? 50 : 0);
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

	while (room > 0 && (v = next_for_maintenance(p))) {
		bool no_loss = is_standby(p, v) || (!v->runs && !v->usable);

		if (quota <= 0 && !no_loss)
			break;
		if (!v->leaving && v->usable)
			p->pool[v->pool].have--;
		v->action = v->runs ? SEAM_VM_DRAIN : SEAM_VM_MAINTAIN;
		quota -= !no_loss;
		room--;
	}
}

/* What a pool is short of VMs for, the most important first. */
enum need { NEED_DUE, NEED_LATE, NEED_SOON };

static int target_size(const struct seam_plan_pool *pool, enum need need)
{
	const int size[] = {pool->want, pool->all, pool->soon};

	return size[need];
}

/* The pool with the largest shortage relative to its target, or -1. */
static int pool_most_short(const struct seam_plan *p, enum need need,
			   const bool *skip)
{
	double most = 0;
	int best = -1;
	size_t i;

	for (i = 0; i < p->pools; i++) {
		const struct seam_plan_pool *pool = &p->pool[i];
		int want = target_size(pool, need);
		double shortage;

		if (pool->standby || skip[i] || want <= pool->have)
			continue;
		shortage = (double)(want - pool->have) / want;
		if (shortage > most) {
			most = shortage;
			best = (int)i;
		}
	}
	return best;
}

static int *count_of(struct planner *r, int pool, int dc)
{
	return &r->in_dc[pool * r->dcs + dc];
}

static void count_vms(struct planner *r)
{
	const struct seam_plan *p = r->plan;
	size_t i;

	for (i = 0; i < p->vms; i++)
		if (p->vm[i].dc >= r->dcs)
			r->dcs = p->vm[i].dc + 1;
	r->in_dc = g_new0(int, p->pools *(size_t)r->dcs + 1);
	for (i = 0; i < p->vms; i++)
		++*count_of(r, p->vm[i].pool, p->vm[i].dc);
}

static void move_vm(struct planner *r, struct seam_plan_vm *v, int to)
{
	v->action = SEAM_VM_MOVE;
	v->to = to;
	--*count_of(r, v->pool, v->dc);
	++*count_of(r, to, v->dc);
}

static bool wave_has_vms_left(const struct seam_plan *p)
{
	size_t i;

	for (i = 0; i < p->vms; i++)
		if (p->vm[i].due)
			return true;
	return false;
}

/* Whether no other VM of its pool has a label that tasks there wait for. */
static bool is_last_with_label(const struct seam_plan *p,
			       const struct seam_plan_vm *v)
{
	size_t i;

	for (i = 0; i < p->labels; i++)
		if (p->label[i].pool == v->pool && p->label[i].have <= 1 &&
		    (v->labels & p->label[i].bit))
			return true;
	return false;
}

/* Whether @v goes to standby unless a pool takes it before. */
static bool is_surplus(const struct seam_plan *p, const struct seam_plan_vm *v)
{
	const struct seam_plan_pool *pool = &p->pool[v->pool];

	return !pool->standby && pool->have > pool->hold && v->up &&
	       v->usable && !v->runs && v->action == SEAM_VM_KEEP &&
	       !is_last_with_label(p, v);
}

/*
 * Returns a VM with the labels @labels that pool @to may take: from standby
 * first, then from a pool above its target; there idle VMs come before those
 * that run tasks. For demand to come only surplus VMs and those from standby
 * are taken, the former first: they would need one move to standby and another
 * one from there. A VM with long-running tasks that have no room elsewhere is
 * never taken, and none with long-running tasks during a wave: their
 * availability budgets allow few evictions at a time, and the wave has a
 * deadline.
 */
static struct seam_plan_vm *find_donor(struct planner *r, int to,
				       enum need need, uint64_t labels)
{
	struct seam_plan *p = r->plan;
	bool wave = wave_has_vms_left(p);
	struct seam_plan_vm *best = NULL;
	int least = 0;
	size_t i;

	for (i = 0; i < p->vms; i++) {
		struct seam_plan_vm *v = &p->vm[i];
		const struct seam_plan_pool *pool = &p->pool[v->pool];
		int cost = *count_of(r, to, v->dc);

		if (!v->up || v->dc_out || v->pool == to ||
		    v->action != SEAM_VM_KEEP ||
		    (v->labels & labels) != labels ||
		    is_last_with_label(p, v) ||
		    (need == NEED_SOON && !pool->standby && !is_surplus(p, v)))
			continue;
		if (need == NEED_SOON && pool->standby)
			cost += 2000;
		if (!pool->standby) {
			/* A draining VM is not counted in its pool any more. */
			if (!v->leaving &&
			    pool->have <= target_size(pool, need))
				continue;
			if (v->pinned || (wave && v->lasting) ||
			    (need == NEED_LATE && v->runs))
				continue;
			cost += pool->have > pool->all ? 1000 : 2000;
			cost += v->leaving ? 0 : 10000 * v->runs;
		}
		/* Its worker may be unreachable there. */
		if (v->dc_unreachable)
			cost += 5000;
		/* Its wave would soon take it out of the pool again. */
		if (v->due)
			cost += 100;
		if (!best || cost < least) {
			best = v;
			least = cost;
		}
	}
	return best;
}

static void take_vm(struct planner *r, struct seam_plan_vm *v, int to)
{
	struct seam_plan *p = r->plan;

	if (!p->pool[v->pool].standby && v->usable && !v->leaving) {
		p->pool[v->pool].have--;
		count_labels(p, v, v->pool, -1);
	}
	if (v->runs) {
		v->action = SEAM_VM_DRAIN;
		v->to = to;
	} else {
		move_vm(r, v, to);
	}
	p->pool[to].have++;
	count_labels(p, v, to, 1);
}

/* Gives each pool a VM with each label that its tasks wait for. */
static void fill_labels(struct planner *r)
{
	struct seam_plan *p = r->plan;
	struct seam_plan_vm *v;
	size_t i;

	for (i = 0; i < p->labels; i++) {
		struct seam_plan_label *need = &p->label[i];

		v = need->have ? NULL :
				 find_donor(r, need->pool, NEED_DUE, need->bit);
		if (v)
			take_vm(r, v, need->pool);
	}
}

static void fill_shortages(struct planner *r, enum need need)
{
	struct seam_plan *p = r->plan;
	bool skip[SEAM_PLAN_POOLS_MAX] = {false};
	struct seam_plan_vm *v;
	int to;

	while ((to = pool_most_short(p, need, skip)) >= 0) {
		v = find_donor(r, to, need, 0);
		if (v)
			take_vm(r, v, to);
		else
			skip[to] = true;
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

/* An idle VM to remove from @pool, from its data centre with most VMs. */
static struct seam_plan_vm *find_surplus(struct planner *r, int pool)
{
	struct seam_plan *p = r->plan;
	struct seam_plan_vm *best = NULL;
	int most = 0;
	size_t i;

	for (i = 0; i < p->vms; i++) {
		struct seam_plan_vm *v = &p->vm[i];
		int n;

		if (v->pool != pool || !is_surplus(p, v))
			continue;
		n = 2 * *count_of(r, pool, v->dc) + v->due;
		if (!best || n > most) {
			best = v;
			most = n;
		}
	}
	return best;
}

static void move_surplus_to_standby(struct planner *r)
{
	struct seam_plan *p = r->plan;
	int to = standby_pool(p);
	struct seam_plan_vm *v;
	size_t i;

	if (to < 0)
		return;
	for (i = 0; i < p->pools; i++) {
		struct seam_plan_pool *pool = &p->pool[i];

		while (!pool->standby && pool->have > pool->hold &&
		       (v = find_surplus(r, (int)i))) {
			move_vm(r, v, to);
			pool->have--;
			count_labels(p, v, (int)i, -1);
		}
	}
}

void seam_vm_plan(struct seam_plan *p)
{
	struct planner r = {.plan = p};

	count_available(p);
	plan_wave(p);
	count_vms(&r);
	fill_labels(&r);
	fill_shortages(&r, NEED_DUE);
	fill_shortages(&r, NEED_LATE);
	fill_shortages(&r, NEED_SOON);
	move_surplus_to_standby(&r);
	g_free(r.in_dc);
}

static void trim_action(struct seam_plan *p, int action, bool to_standby,
			size_t *left)
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
	trim_action(p, SEAM_VM_MOVE, false, &n);
	trim_action(p, SEAM_VM_MAINTAIN, false, &n);
	trim_action(p, SEAM_VM_MOVE, true, &n);
}
