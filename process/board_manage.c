/* Looks at VMs and demand, plans moves and maintenance, and orders them. */
#include "process/board_demand.h"
#include "base/count.h"
#include "base/json.h"
#include "base/log.h"
#include "process/vm_plan.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define POOL_MIN 2 /* workers that a pool keeps without demand */
/* Demand, in parts of the fleet, from which it is crowded. */
#define CROWDED 1.3
/* Workers beyond demand, for the jobs of the next moment. */
#define HEADROOM 1
#define FILL 0.92 /* part of a pool that tasks of uneven sizes can fill */
/* Demand that a pool had is kept room for: a move costs as much as a worker in
 * a pool for about a second, and takes longer than a job may wait. */
#define HOLD (1000 * SEAM_MSEC)

SEAM_COUNT(wave_left, "seam_wave_vms_left", "VMs that a wave has left.");

/* What one look at the VMs needs besides the plan. */
struct look {
	struct seam_board *board;
	seam_time now;
	struct seam_plan plan;
	GPtrArray *pools; /* names */
	GPtrArray *dcs; /* names */
	struct seam_wave wave;
	bool has_wave;
};

static int index_of(GPtrArray *names, const char *name)
{
	guint i;

	for (i = 0; i < names->len; i++)
		if (!strcmp(g_ptr_array_index(names, i), name))
			return (int)i;
	g_ptr_array_add(names, g_strdup(name));
	return (int)names->len - 1;
}

/* Until then a worker that has not answered may run what was started before. */
static bool is_unheard(const struct look *l, const struct seam_worker *w)
{
	return (!w || !w->heard) && l->now <= l->board->unlisted_until;
}

static void describe_vm(struct look *l, size_t i)
{
	const struct seam_vm_info *info = &l->board->vm[i];
	struct seam_vm_order *o =
		g_hash_table_lookup(l->board->vm_orders, info->vm);
	struct seam_worker *w = board_worker_of(l->board, info->worker);
	struct seam_plan_vm *v = &l->plan.vm[i];
	bool out = seam_op_state_is_out(l->board->op_state, info->dc);

	v->pool = index_of(l->pools, info->pool);
	v->dc = index_of(l->dcs, info->dc);
	v->up = info->state == SEAM_PHASE_UP && !(o && l->now < o->until);
	v->due = l->has_wave && board_wave_due(l->board, &l->wave, info->vm);
	v->arriving = o && l->now < o->arrives_until;
	if (*info->worker && is_unheard(l, w))
		v->up = false;
	/* It runs there after all, or again under the same id. */
	if (w && w->over && v->up) {
		w->over = false;
		board_need_lane(l->board);
	}
	if (w) {
		v->runs = (int)(w->ref->len + board_orders(w));
		v->leaving = w->leaving || w->info.draining;
		v->usable = w->listed && w->heard && !w->info.draining &&
			    !w->over && !out;
		if (w->info.draining)
			v->up = false;
	}
	if (o && info->state == SEAM_PHASE_MAINTAINED && l->has_wave &&
	    o->wave == l->wave.number)
		g_hash_table_add(l->board->wave_done, g_strdup(info->vm));
	if (info->state == SEAM_PHASE_MAINTAINED ||
	    (o && o->wave && l->now < o->until))
		l->plan.wave.away++;
	/* The platform does not say where a moving VM goes; the order does. */
	if (o && *o->pool && l->now < o->until)
		v->pool = index_of(l->pools, o->pool);
}

/* Capacity of one worker of a pool, or of any if it has none. */
static struct seam_amount unit_of(struct seam_board *b, const char *pool)
{
	struct seam_amount unit = {0, 0, 0};
	struct seam_handle h = SEAM_NONE;
	struct seam_worker *w;

	while ((w = seam_table_next(b->workers, &h)))
		if (!unit.cpu || !strcmp(w->info.pool, pool))
			unit = w->info.capacity;
	return unit;
}

/* VMs that hold the reservations @a; tasks of uneven sizes leave gaps. */
static int vms_for(const struct seam_amount *a, const struct seam_amount *unit)
{
	double n = 0;

	if (unit->cpu)
		n = (double)a->cpu / (FILL * (double)unit->cpu);
	if (unit->memory)
		n = fmax(n, (double)a->memory / (FILL * (double)unit->memory));
	return (int)ceil(n);
}

static void set_wants(struct seam_plan_pool *p,
		      const struct seam_pool_demand *d,
		      const struct seam_amount *unit)
{
	struct seam_amount all = {d->due.cpu + d->late.cpu,
				  d->due.memory + d->late.memory,
				  d->due.gpu + d->late.gpu};

	p->want = (int)fmax(vms_for(&d->due, unit) + HEADROOM, d->spread);
	p->all = (int)fmax(vms_for(&all, unit) + HEADROOM, d->spread);
	if (p->want < POOL_MIN)
		p->want = POOL_MIN;
	if (p->all < POOL_MIN)
		p->all = POOL_MIN;
}

/* Demand of a pool that was highest a short time ago. */
static int held(struct seam_board *b, const char *pool, int want, seam_time now)
{
	struct seam_pool_hold *h = g_hash_table_lookup(b->holds, pool);

	if (!h) {
		h = g_new0(struct seam_pool_hold, 1);
		g_hash_table_insert(b->holds, g_strdup(pool), h);
	}
	if (want >= h->vms || now >= h->until) {
		if (want != h->vms)
			seam_log(SEAM_INFO, "vms",
				 "event=pool_wants pool=%s vms=%d was=%d", pool,
				 want, h->vms);
		h->vms = want;
		h->until = now + HOLD;
	}
	return h->vms;
}

static void describe_pools(struct look *l)
{
	const struct seam_catalog *c = seam_catalog_enter(l->board->catalog);
	GArray *demand = board_demands(l->board);
	guint i;
	guint k;

	/* Pools without a VM are planned for as well. */
	for (i = 0; c && i < c->pools; i++)
		index_of(l->pools, c->pool[i].name);
	l->plan.pools = l->pools->len;
	l->plan.pool = g_new0(struct seam_plan_pool, l->pools->len + 1);
	for (i = 0; i < l->pools->len; i++) {
		const char *name = g_ptr_array_index(l->pools, i);
		const struct seam_pool_info *info =
			c ? seam_catalog_pool(c, name) : NULL;
		struct seam_plan_pool *p = &l->plan.pool[i];
		struct seam_amount unit = unit_of(l->board, name);

		p->standby = info && info->standby;
		p->want = p->standby ? 0 : POOL_MIN;
		p->all = p->want;
		for (k = 0; k < demand->len && !p->standby; k++) {
			struct seam_pool_demand *d = &g_array_index(
				demand, struct seam_pool_demand, k);

			if (!strcmp(d->pool, name))
				set_wants(p, d, &unit);
		}
		p->hold = held(l->board, name, p->all, l->now);
	}
	seam_catalog_leave();
	g_array_free(demand, TRUE);
}

/*
 * Marks the VMs of data centres that are cut off, as far as their workers show:
 * VMs that are off have none.
 */
static void mark_silent_dcs(struct look *l)
{
	int *balance = g_new0(int, l->dcs->len + 1);
	struct seam_handle h = SEAM_NONE;
	struct seam_worker *w;
	guint k;
	size_t i;

	while ((w = seam_table_next(l->board->workers, &h)))
		for (k = 0; k < l->dcs->len && w->listed && !w->over; k++)
			if (!strcmp(g_ptr_array_index(l->dcs, k), w->info.dc))
				balance[k] +=
					w->missed < SEAM_MISSED_MAX ? 1 : -1;
	for (i = 0; i < l->plan.vms; i++)
		l->plan.vm[i].silent_dc = balance[l->plan.vm[i].dc] < 0;
	g_free(balance);
}

/* VMs on their way count: for a moment any peak asks for more than there are.
 */
static bool is_crowded(const struct look *l)
{
	int asked = 0;
	size_t i;

	for (i = 0; i < l->plan.pools; i++)
		if (!l->plan.pool[i].standby)
			asked += l->plan.pool[i].all;
	return asked > CROWDED * (double)l->plan.vms;
}

static void look_at_vms(struct look *l)
{
	size_t i;

	l->plan.wave.left_s = 1e9;
	l->has_wave = board_wave_read(l->board, &l->wave);
	if (l->has_wave) {
		l->plan.wave.at_once = l->wave.at_once;
		l->plan.wave.left_s =
			(double)(l->wave.deadline - l->now) / (double)SEAM_SEC;
	}
	l->plan.vms = l->board->vms;
	l->plan.vm = g_new0(struct seam_plan_vm, l->board->vms + 1);
	for (i = 0; i < l->board->vms; i++)
		describe_vm(l, i);
	mark_silent_dcs(l);
	describe_pools(l);
	l->board->crowded = is_crowded(l);
	seam_vm_plan(&l->plan);
	seam_vm_plan_trim(&l->plan, board_vm_budget(l->board, l->now));
}

static void mark_leaving(struct look *l)
{
	size_t i;

	for (i = 0; i < l->plan.vms; i++) {
		struct seam_worker *w =
			board_worker_of(l->board, l->board->vm[i].worker);

		if (w && l->plan.vm[i].up)
			w->leaving = l->plan.vm[i].action != SEAM_VM_KEEP;
	}
}

static size_t gather_orders(struct look *l, struct seam_vm_task *t)
{
	size_t n = 0;
	size_t i;

	for (i = 0; i < l->plan.vms; i++) {
		const struct seam_plan_vm *v = &l->plan.vm[i];
		const struct seam_vm_info *info = &l->board->vm[i];

		if (v->action != SEAM_VM_MAINTAIN && v->action != SEAM_VM_MOVE)
			continue;
		memset(&t[n], 0, sizeof(t[n]));
		g_strlcpy(t[n].vm, info->vm, SEAM_NAME);
		g_strlcpy(t[n].worker, info->worker, SEAM_NAME);
		if (v->action == SEAM_VM_MAINTAIN)
			t[n].wave = l->wave.number;
		else
			g_strlcpy(t[n].pool, g_ptr_array_index(l->pools, v->to),
				  SEAM_NAME);
		n++;
	}
	return n;
}

static void carry_out(struct look *l)
{
	struct seam_vm_task *t = g_new(struct seam_vm_task, l->plan.vms + 1);

	board_order_vms(l->board, t, gather_orders(l, t));
	g_free(t);
}

static bool wave_is_done(const struct look *l)
{
	size_t i;
	size_t left = 0;

	for (i = 0; i < l->board->vms; i++)
		left += board_wave_due(l->board, &l->wave, l->board->vm[i].vm);
	seam_count_set(&wave_left, (int64_t)left);
	return !left;
}

static void free_look(struct look *l)
{
	g_free(l->plan.vm);
	g_free(l->plan.pool);
	g_ptr_array_free(l->pools, TRUE);
	g_ptr_array_free(l->dcs, TRUE);
	if (l->has_wave)
		free(l->wave.vm);
}

/* Reserved part of the processors of a pool's usable workers, percent. */
static int used_pct(struct seam_board *b, const char *pool)
{
	struct seam_handle h = SEAM_NONE;
	struct seam_worker *w;
	int64_t used = 0;
	int64_t all = 0;

	while ((w = seam_table_next(b->workers, &h)))
		if (!strcmp(w->info.pool, pool) &&
		    board_worker_usable(w, seam_now(b->clock))) {
			used += w->used.cpu;
			all += w->info.capacity.cpu;
		}
	return all ? (int)(100 * used / all) : 0;
}

/* One line a second for each pool: what the plan had to go by. */
static void log_pools(struct look *l)
{
	struct seam_board *b = l->board;
	size_t i;
	size_t k;

	if (l->now < b->pools_logged_at + SEAM_SEC)
		return;
	b->pools_logged_at = l->now;
	for (i = 0; i < l->plan.pools; i++) {
		const struct seam_plan_pool *p = &l->plan.pool[i];
		const char *name = g_ptr_array_index(l->pools, i);
		int vms = 0;
		int empty = 0;
		int due = 0;

		for (k = 0; k < l->plan.vms; k++) {
			const struct seam_plan_vm *v = &l->plan.vm[k];

			if (v->pool != (int)i)
				continue;
			vms++;
			empty += !v->runs;
			due += v->due;
		}
		seam_log(SEAM_INFO, "vms",
			 "event=pool pool=%s vms=%d empty=%d due=%d have=%d "
			 "want=%d all=%d hold=%d used_pct=%d",
			 name, vms, empty, due, p->have, p->want, p->all,
			 p->hold, used_pct(b, name));
	}
}

void board_manage_vms(struct seam_board *b)
{
	struct look l = {.board = b, .now = seam_now(b->clock)};
	bool done;

	if (!seam_lead_valid(b->lead, l.now))
		return;
	l.pools = g_ptr_array_new_with_free_func(g_free);
	l.dcs = g_ptr_array_new_with_free_func(g_free);
	pthread_mutex_lock(&b->lock);
	look_at_vms(&l);
	if (l.has_wave && b->wave_loaded != l.wave.number) {
		pthread_mutex_unlock(&b->lock);
		board_wave_load(b, &l.wave);
		free_look(&l);
		return;
	}
	log_pools(&l);
	mark_leaving(&l);
	board_empty_workers(b);
	carry_out(&l);
	done = l.has_wave && wave_is_done(&l);
	pthread_mutex_unlock(&b->lock);
	if (l.has_wave)
		board_wave_report(b, &l.wave, done);
	free_look(&l);
}
