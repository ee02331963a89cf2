/* Plans moves and maintenance of VMs by demand, and orders them. */
#include "process/scheduler_demand.h"
#include "base/metrics.h"
#include "base/json.h"
#include "base/log.h"
#include "process/vm_plan.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Workers of a pool without demand. */
#define POOL_WORKERS_MIN 2
/* The fleet is overloaded when demand exceeds this multiple of it. */
#define OVERLOAD_RATIO 1.3
/* Workers beyond demand, for jobs that arrive next. */
#define HEADROOM_WORKERS 1
/* Part of a pool that tasks of uneven sizes can fill. */
#define FILLABLE_SHARE 0.92
/*
 * The peak demand of a pool is kept for this long: a move costs about a second
 * of a worker, and takes longer than a job may wait.
 */
#define PEAK_RETENTION (1000 * SEAM_MSEC)
/*
 * A worker is emptied for this long after a survey that planned it. Longer than
 * a read of the VM list that times out and the next one.
 */
#define LEAVING_TIME (3 * SEAM_SEC)

SEAM_METRIC(wave_left, "seam_wave_vms_left", "VMs that a wave has left.");

/* Input and result of one plan. */
struct vm_survey {
	struct seam_scheduler *sched;
	seam_time now;
	struct seam_plan plan;
	GPtrArray *pools; /* names */
	GPtrArray *dcs; /* names */
	GHashTable *with_row; /* VMs of workers that have a row */
	struct seam_vm_pieces *pieces; /* of all jobs of each pool */
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

/*
 * Whether a worker that has not answered yet may run tasks of the previous
 * term.
 */
static bool is_unconfirmed(const struct vm_survey *l,
			   const struct seam_worker *w)
{
	const struct seam_scheduler *sched = l->sched;

	return (!w || !w->contacted) &&
	       (l->now <= sched->prior_leases_until ||
		(w && scheduler_has_long_lease(sched, w->info.id, l->now)));
}

/*
 * Whether a VM that is not up will be: it is moved or maintained, or it had a
 * worker until a moment ago.
 */
static bool is_restarting(const struct vm_survey *l,
			  const struct seam_vm_info *info)
{
	if (info->state == SEAM_PHASE_UP)
		return false;
	return info->state == SEAM_PHASE_MOVING ||
	       info->state == SEAM_PHASE_MAINTENANCE ||
	       g_hash_table_contains(l->with_row, info->vm);
}

/* Notes the VMs of workers whose rows are there, or were a moment ago. */
static void find_rows(struct vm_survey *l)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_worker *w;

	while ((w = seam_table_next(l->sched->workers, &h)))
		if (!scheduler_worker_row_is_gone(w, l->now))
			g_hash_table_add(l->with_row, w->info.vm);
}

static void describe_vm(struct vm_survey *l, size_t i)
{
	const struct seam_vm_info *info = &l->sched->vm[i];
	struct seam_vm_order *o =
		g_hash_table_lookup(l->sched->vm_orders, info->vm);
	struct seam_worker *w = scheduler_find_worker(l->sched, info->worker);
	struct seam_plan_vm *v = &l->plan.vm[i];
	/* A list from before shows the VM as it was before the order. */
	bool busy = o && l->sched->vms_read_at < o->busy_until;

	v->pool = index_of(l->pools, info->pool);
	v->dc = index_of(l->dcs, info->dc);
	v->up = info->state == SEAM_PHASE_UP && !busy;
	v->due =
		l->has_wave && scheduler_wave_due(l->sched, &l->wave, info->vm);
	v->dc_out = seam_op_state_is_evacuated(l->sched->op_state, info->dc);
	v->arriving = o && l->now < o->arrival_deadline;
	/* The worker still runs, or runs again under the same id. */
	if (w && w->vm_gone && v->up && l->sched->vms_read_at >= w->gone_at) {
		w->vm_gone = false;
		scheduler_worker_update_index(w);
		scheduler_request_assignment(l->sched);
	}
	v->returning = busy || is_restarting(l, info);
	if (*info->worker && is_unconfirmed(l, w)) {
		v->up = false;
		v->returning = true;
	}
	if (w && scheduler_worker_has_late_run(w))
		v->up = false;
	if (w) {
		v->runs =
			(int)(w->task_refs->len + scheduler_pending_orders(w));
		v->lasting = scheduler_lasting_runs(w);
		v->pinned = v->up ? scheduler_pinned_runs(w) : 0;
		v->leaving = l->now < w->leaving_until || w->info.draining;
		v->usable = scheduler_worker_is_room(w, l->now) && !v->dc_out;
		if (w->info.draining)
			v->up = false;
	}
	if (o && info->state == SEAM_PHASE_MAINTENANCE && l->has_wave &&
	    o->wave == l->wave.number)
		g_hash_table_add(l->sched->wave_done, g_strdup(info->vm));
	if (info->state == SEAM_PHASE_MAINTENANCE ||
	    (busy && (o->wave || o->refused)))
		l->plan.wave.away++;
	/*
	 * The platform does not report the destination of a moving VM, but the
	 * order has it. Only its former pool is left by its worker.
	 */
	if (busy && *o->pool) {
		v->pool = index_of(l->pools, o->pool);
		v->leaving = false;
	}
}

/*
 * Capacity of the VMs of a pool.
 *
 * @mean: of all its VMs
 * @most: most of each resource, as a larger VM may come where VMs differ
 */
struct pool_unit {
	struct seam_resources mean;
	struct seam_resources most;
};

/* Adds the capacities of the workers of @pool, or of all for NULL. */
static int64_t add_capacities(struct seam_scheduler *sched, const char *pool,
			      struct pool_unit *u)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_worker *w;
	int64_t n = 0;

	while ((w = seam_table_next(sched->workers, &h))) {
		const struct seam_resources *c = &w->info.capacity;

		if (pool && strcmp(w->info.pool, pool) != 0)
			continue;
		n++;
		u->mean.cpu += c->cpu;
		u->mean.memory += c->memory;
		u->mean.gpu += c->gpu;
		u->most.cpu = MAX(u->most.cpu, c->cpu);
		u->most.memory = MAX(u->most.memory, c->memory);
		u->most.gpu = MAX(u->most.gpu, c->gpu);
	}
	return n;
}

/*
 * Returns the capacity of the workers of the pool, or of all workers if the
 * pool has none.
 */
static struct pool_unit pool_unit(struct seam_scheduler *sched,
				  const char *pool)
{
	struct pool_unit u = {.mean = {0, 0, 0}};
	int64_t n = add_capacities(sched, pool, &u);

	if (!n)
		n = add_capacities(sched, NULL, &u);
	if (n) {
		u.mean.cpu /= n;
		u.mean.memory /= n;
		u.mean.gpu /= n;
	}
	return u;
}

/*
 * Returns the VMs needed for the reservations @a; tasks of uneven sizes leave
 * gaps.
 */
static int vms_for(const struct seam_resources *a,
		   const struct seam_resources *unit)
{
	double n = 0;

	if (unit->cpu)
		n = (double)a->cpu / (FILLABLE_SHARE * (double)unit->cpu);
	if (unit->memory)
		n = fmax(n, (double)a->memory /
				    (FILLABLE_SHARE * (double)unit->memory));
	if (unit->gpu)
		n = fmax(n,
			 (double)a->gpu / (FILLABLE_SHARE * (double)unit->gpu));
	return (int)ceil(n);
}

static struct seam_vm_pieces pieces_of(const struct seam_pool_demand *d,
				       const GArray *needs,
				       const struct seam_resources *unit)
{
	struct seam_vm_pool pool = {
		.need = (const struct seam_vm_need *)needs->data,
		.needs = needs->len,
		.vm = (const struct seam_vm_space *)d->vms->data,
		.vms = d->vms->len,
		.held = (const struct seam_vm_held *)d->held->data,
		.helds = d->held->len,
		.unit = *unit};

	return seam_vm_pieces_count(&pool);
}

/*
 * Sets the targets of a pool from the sum of its demand, and from the VMs that
 * hold each of its tasks in one piece. Returns the latter of all jobs.
 */
static struct seam_vm_pieces set_targets(struct seam_plan_pool *p,
					 const struct seam_pool_demand *d,
					 const struct pool_unit *unit)
{
	struct seam_vm_pieces due = pieces_of(d, d->due_needs, &unit->most);
	struct seam_vm_pieces pieces = pieces_of(d, d->all_needs, &unit->most);
	struct seam_resources all = {d->due.cpu + d->late.cpu,
				     d->due.memory + d->late.memory,
				     d->due.gpu + d->late.gpu};

	p->want = (int)fmax(vms_for(&d->due, &unit->mean) + HEADROOM_WORKERS,
			    d->spread);
	p->all = (int)fmax(vms_for(&all, &unit->mean) + HEADROOM_WORKERS,
			   d->spread);
	p->want = MAX(p->want, due.needed);
	p->all = MAX(p->all, MAX(p->want, pieces.needed));
	if (p->want < POOL_WORKERS_MIN)
		p->want = POOL_WORKERS_MIN;
	if (p->all < POOL_WORKERS_MIN)
		p->all = POOL_WORKERS_MIN;
	return pieces;
}

static struct seam_pool_history *history_of(struct seam_scheduler *sched,
					    const char *pool)
{
	struct seam_pool_history *h =
		g_hash_table_lookup(sched->pool_history, pool);

	if (!h) {
		h = g_new0(struct seam_pool_history, 1);
		g_hash_table_insert(sched->pool_history, g_strdup(pool), h);
	}
	return h;
}

/* Returns what a pool will need when a VM that is ordered now has arrived. */
static int needed_soon(struct seam_scheduler *sched, const char *pool, int all,
		       seam_time now)
{
	struct seam_demand_trend *t = &history_of(sched, pool)->trend;

	seam_demand_trend_add(t, all, now);
	return all + (int)seam_demand_trend_rise(t, sched->arrival_time);
}

/* Returns the recent peak of a pool's demand. */
static int recent_peak(struct seam_scheduler *sched, const char *pool, int want,
		       seam_time now)
{
	struct seam_pool_history *h = history_of(sched, pool);

	if (want >= h->peak || now >= h->peak_until) {
		if (want != h->peak)
			seam_log(SEAM_INFO, "vms",
				 "event=pool_wants pool=%s vms=%d was=%d", pool,
				 want, h->peak);
		h->peak = want;
		h->peak_until = now + PEAK_RETENTION;
	}
	return h->peak;
}

/* Adds the VMs that the plan counts, each with the room that it has. */
static void add_vms_to_demand(struct vm_survey *l, GArray *demand,
			      const struct pool_unit *unit)
{
	size_t i;

	for (i = 0; i < l->plan.vms; i++) {
		const struct seam_plan_vm *v = &l->plan.vm[i];
		struct seam_worker *w =
			scheduler_find_worker(l->sched, l->sched->vm[i].worker);

		/* A VM on its way counts, so that its order is not repeated. */
		if (seam_plan_vm_is_available(v))
			scheduler_demand_add_vm(
				demand, g_ptr_array_index(l->pools, v->pool),
				w ? &w->info.capacity : &unit[v->pool].most, w);
		/* On VMs that only take no more tasks, lasting ones stay. */
		else if (w && (v->leaving || v->dc_out || w->vm_gone))
			scheduler_demand_add_leaving(demand, w);
	}
}

static void describe_pools(struct vm_survey *l)
{
	const struct seam_catalog *c =
		seam_catalog_read_lock(l->sched->catalog);
	GArray *demand = scheduler_demands(l->sched);
	struct pool_unit *unit;
	guint i;
	guint k;

	/* Include pools without a VM. */
	for (i = 0; c && i < c->pools; i++)
		index_of(l->pools, c->pool[i].name);
	l->plan.pools = l->pools->len;
	l->plan.pool = g_new0(struct seam_plan_pool, l->pools->len + 1);
	l->pieces = g_new0(struct seam_vm_pieces, l->pools->len + 1);
	unit = g_new(struct pool_unit, l->pools->len + 1);
	for (i = 0; i < l->pools->len; i++)
		unit[i] = pool_unit(l->sched, g_ptr_array_index(l->pools, i));
	add_vms_to_demand(l, demand, unit);
	for (i = 0; i < l->pools->len; i++) {
		const char *name = g_ptr_array_index(l->pools, i);
		const struct seam_pool_info *info =
			c ? seam_catalog_pool(c, name) : NULL;
		struct seam_plan_pool *p = &l->plan.pool[i];

		p->standby = info && info->standby;
		p->want = p->standby ? 0 : POOL_WORKERS_MIN;
		p->all = p->want;
		for (k = 0; k < demand->len && !p->standby; k++) {
			struct seam_pool_demand *d = &g_array_index(
				demand, struct seam_pool_demand, k);

			if (!strcmp(d->pool, name))
				l->pieces[i] = set_targets(p, d, &unit[i]);
		}
		p->soon = needed_soon(l->sched, name, p->all, l->now);
		p->hold = recent_peak(l->sched, name, p->soon, l->now);
	}
	seam_catalog_read_unlock();
	scheduler_demands_free(demand);
	g_free(unit);
}

/*
 * Marks the VMs of data centres that are cut off. Only VMs with workers show
 * that: VMs that are off have none.
 */
static void mark_silent_dcs(struct vm_survey *l)
{
	int *balance = g_new0(int, l->dcs->len + 1);
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_worker *w;
	guint k;
	size_t i;

	while ((w = seam_table_next(l->sched->workers, &h)))
		for (k = 0; k < l->dcs->len && w->listed && !w->vm_gone; k++)
			if (!strcmp(g_ptr_array_index(l->dcs, k), w->info.dc))
				balance[k] +=
					w->missed_holds <
							SEAM_MISSED_HOLDS_MAX ?
						1 :
						-1;
	for (i = 0; i < l->plan.vms; i++)
		l->plan.vm[i].dc_unreachable = balance[l->plan.vm[i].dc] < 0;
	g_free(balance);
}

/*
 * Moving VMs count as capacity, since any short peak would exceed what is up at
 * the moment.
 */
static bool is_overloaded(const struct vm_survey *l)
{
	int asked = 0;
	size_t i;

	for (i = 0; i < l->plan.pools; i++)
		if (!l->plan.pool[i].standby)
			asked += l->plan.pool[i].all;
	return asked > OVERLOAD_RATIO * (double)l->plan.vms;
}

static void plan_vms(struct vm_survey *l)
{
	size_t i;

	l->plan.wave.remaining_s = 1e9;
	l->has_wave = scheduler_wave_read(l->sched, &l->wave);
	if (l->has_wave) {
		l->plan.wave.at_once = l->wave.at_once;
		l->plan.wave.remaining_s =
			(double)(l->wave.deadline - l->now) / (double)SEAM_SEC;
	}
	l->plan.vms = l->sched->vms;
	l->plan.vm = g_new0(struct seam_plan_vm, l->sched->vms + 1);
	find_rows(l);
	for (i = 0; i < l->sched->vms; i++)
		describe_vm(l, i);
	mark_silent_dcs(l);
	describe_pools(l);
	scheduler_describe_labels(l->sched, &l->plan, l->pools);
	l->sched->overloaded = is_overloaded(l);
	seam_vm_plan(&l->plan);
	seam_vm_plan_trim(&l->plan, scheduler_vm_budget(l->sched, l->now));
}

static void mark_leaving(struct vm_survey *l)
{
	size_t i;

	for (i = 0; i < l->plan.vms; i++) {
		struct seam_worker *w =
			scheduler_find_worker(l->sched, l->sched->vm[i].worker);

		if (!w || !l->plan.vm[i].up)
			continue;
		w->leaving_until = l->plan.vm[i].action == SEAM_VM_KEEP ?
					   0 :
					   l->now + LEAVING_TIME;
	}
}

static size_t collect_orders(struct vm_survey *l,
			     struct seam_planned_vm_order *t)
{
	size_t n = 0;
	size_t i;

	for (i = 0; i < l->plan.vms; i++) {
		const struct seam_plan_vm *v = &l->plan.vm[i];
		const struct seam_vm_info *info = &l->sched->vm[i];

		if (v->action != SEAM_VM_MAINTAIN && v->action != SEAM_VM_MOVE)
			continue;
		memset(&t[n], 0, sizeof(t[n]));
		g_strlcpy(t[n].vm, info->vm, SEAM_NAME_SIZE);
		g_strlcpy(t[n].worker, info->worker, SEAM_NAME_SIZE);
		if (v->action == SEAM_VM_MAINTAIN)
			t[n].wave = l->wave.number;
		else
			g_strlcpy(t[n].pool, g_ptr_array_index(l->pools, v->to),
				  SEAM_NAME_SIZE);
		n++;
	}
	return n;
}

static void queue_planned_orders(struct vm_survey *l)
{
	struct seam_planned_vm_order *t =
		g_new(struct seam_planned_vm_order, l->plan.vms + 1);

	scheduler_order_vms(l->sched, t, collect_orders(l, t));
	g_free(t);
}

static bool wave_is_done(const struct vm_survey *l)
{
	size_t i;
	size_t left = 0;

	for (i = 0; i < l->sched->vms; i++)
		left += scheduler_wave_due(l->sched, &l->wave,
					   l->sched->vm[i].vm);
	seam_metric_set(&wave_left, (int64_t)left);
	return !left;
}

static void free_survey(struct vm_survey *l)
{
	g_free(l->plan.vm);
	g_free(l->plan.pool);
	g_free(l->pieces);
	g_ptr_array_free(l->pools, TRUE);
	g_ptr_array_free(l->dcs, TRUE);
	g_hash_table_destroy(l->with_row);
	if (l->has_wave)
		free(l->wave.vm);
}

/*
 * Returns the reserved part of the CPU of a pool's usable workers in percent.
 */
static int used_pct(struct seam_scheduler *sched, const char *pool)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_worker *w;
	int64_t used = 0;
	int64_t all = 0;

	while ((w = seam_table_next(sched->workers, &h)))
		if (!strcmp(w->info.pool, pool) &&
		    scheduler_worker_usable(w, seam_now(sched->clock))) {
			used += w->used.cpu;
			all += w->info.capacity.cpu;
		}
	return all ? (int)(100 * used / all) : 0;
}

/* Logs the input of the plan once a second, one line a pool. */
static void log_pools(struct vm_survey *l)
{
	struct seam_scheduler *sched = l->sched;
	size_t i;
	size_t k;

	if (l->now < sched->pools_logged_at + SEAM_SEC)
		return;
	sched->pools_logged_at = l->now;
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
			 "want=%d all=%d soon=%d hold=%d used_pct=%d pieces=%d "
			 "missing=%d",
			 name, vms, empty, due, p->have, p->want, p->all,
			 p->soon, p->hold, used_pct(sched, name),
			 l->pieces[i].needed, l->pieces[i].missing);
	}
}

void scheduler_manage_vms(struct seam_scheduler *sched)
{
	struct vm_survey l = {.sched = sched, .now = seam_now(sched->clock)};
	seam_time locked_at;
	bool done;

	if (!seam_election_is_owner(sched->election, l.now))
		return;
	l.pools = g_ptr_array_new_with_free_func(g_free);
	l.dcs = g_ptr_array_new_with_free_func(g_free);
	l.with_row = g_hash_table_new(g_str_hash, g_str_equal);
	pthread_mutex_lock(&sched->lock);
	locked_at = seam_now(sched->clock);
	plan_vms(&l);
	if (l.has_wave && sched->wave_loaded != l.wave.number) {
		pthread_mutex_unlock(&sched->lock);
		scheduler_wave_load(sched, &l.wave);
		free_survey(&l);
		return;
	}
	log_pools(&l);
	mark_leaving(&l);
	scheduler_evict_tasks(sched);
	sched->load.surveys++;
	sched->load.survey_time += seam_now(sched->clock) - locked_at;
	queue_planned_orders(&l);
	done = l.has_wave && wave_is_done(&l);
	pthread_mutex_unlock(&sched->lock);
	if (l.has_wave)
		scheduler_wave_report(sched, &l.wave, done);
	free_survey(&l);
}
