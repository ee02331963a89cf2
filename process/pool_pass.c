#include "process/pool_impl.h"
#include "base/metrics.h"
#include "base/log.h"

#include <stdlib.h>
#include <string.h>

#define PASS_PERIOD (1 * SEAM_SEC)
#define REBOOT_REQUEST_TIMEOUT (2 * SEAM_SEC)

SEAM_METRIC(begun, "seam_pool_maintenance_begun_total",
	    "Drains for maintenance that began.");
SEAM_METRIC(undone, "seam_pool_drains_undone_total",
	    "Drains undone because the budget or a data centre was lost.");
SEAM_METRIC(removed, "seam_pool_removed_total",
	    "Members removed because their VM left the list.");
SEAM_METRIC(reboots, "seam_pool_reboots_asked_total",
	    "Reboots asked of the platform, with repeats.");
SEAM_METRIC(overdue, "seam_pool_overdue",
	    "Members past their maintenance deadline in the owned pools.");
SEAM_METRIC(damaged, "seam_pool_damaged",
	    "Owned pools with a row that can't be read.");
SEAM_METRIC(over_budget, "seam_pool_over_budget",
	    "Owned pools with more unavailable members than their budget.");

seam_time seam_pool_drain_limit(const struct seam_pool_pass_state *w)
{
	return w->pc && w->pc->kind == SEAM_POOL_TASKS ?
		       SEAM_TASK_DRAIN_TIMEOUT :
		       SEAM_SERVICE_DRAIN_TIMEOUT;
}

struct seam_drain *seam_pool_drain(const struct seam_pool_pass_state *w)
{
	return w->pc && w->pc->kind == SEAM_POOL_TASKS ?
		       w->ps->env.drain_tasks :
		       w->ps->env.drain;
}

/*
 * Begins the drain again before each query: the owner that committed it may
 * have terminated before it began the drain.
 */
static bool is_idle(const struct seam_pool_pass_state *w,
		    const struct seam_pool_vm *m)
{
	struct seam_drain *d = seam_pool_drain(w);

	if (m->state != SEAM_MEMBER_DRAINING)
		return false;
	if (!d)
		return false;
	d->ops->begin(d, m->vm, m->until);
	return d->ops->idle(d, m->vm);
}

static void remove_member(struct seam_pool_pass_state *w,
			  struct seam_pool_vm *m)
{
	seam_log(SEAM_INFO, "pool",
		 "VM %s is not in the VM list; removed from pool %s.", m->vm,
		 w->next.name);
	seam_batch_add(&w->batch, SEAM_DELETE, g_strconcat("vm/", m->vm, NULL),
		       SEAM_ANY_VERSION, NULL);
	seam_pool_remove(&w->next, m->vm);
	seam_metric_add(&removed, 1);
	w->changed = true;
}

static void step_members(struct seam_pool_pass_state *w)
{
	size_t i = 0;

	while (i < w->next.n) {
		struct seam_pool_vm *m = &w->next.member[i];
		struct seam_vm_observation s = {
			.vm = seam_vm_list_find(w->list, m->vm),
			.as_of = seam_vm_list_as_of(w->list),
			.list_ok = w->rules.list_ok,
			.lag = w->ps->env.vm_list_ms * SEAM_MSEC,
			.idle = is_idle(w, m),
		};

		switch (seam_member_step(m, &s, w->now)) {
		case SEAM_STEP_REMOVE:
			remove_member(w, m);
			continue;
		case SEAM_STEP_CHANGED:
			w->changed = true;
			break;
		default:
			break;
		}
		i++;
	}
}

static void cancel_drain(struct seam_pool_pass_state *w, struct seam_pool_vm *m)
{
	m->state = SEAM_MEMBER_ACTIVE;
	m->why = SEAM_WHY_NONE;
	m->until = SEAM_NEVER;
	m->drain_from = 0;
	m->to[0] = '\0';
	w->changed = true;
	seam_metric_add(&undone, 1);
}

/*
 * Cancels planned drains when their capacity is needed, after a halt, or when
 * the destination pool of a move was deleted.
 */
static void cancel_drains(struct seam_pool_pass_state *w)
{
	size_t i;

	for (i = 0; i < w->next.n; i++) {
		struct seam_pool_vm *m = &w->next.member[i];
		bool wave = m->why == SEAM_WHY_MAINTENANCE;

		if (m->state != SEAM_MEMBER_DRAINING ||
		    (!wave && m->why != SEAM_WHY_MOVE))
			continue;
		if (seam_wave_must_stop(&w->next, &w->rules) ||
		    (wave && w->wave.order == SEAM_WAVE_ORDER_HALT) ||
		    (!wave &&
		     !seam_conf_lookup(w->conf, SEAM_CONF_POOL, m->to)))
			cancel_drain(w, m);
	}
}

static void begin_wave(struct seam_pool_pass_state *w)
{
	struct seam_pool_vm *m;

	while (w->pc &&
	       (m = seam_wave_next(&w->next, &w->rules, &w->wave, w->now))) {
		seam_member_drain(m, SEAM_WHY_MAINTENANCE, w->now,
				  seam_pool_drain_limit(w));
		w->changed = true;
		w->began = true;
		seam_metric_add(&begun, 1);
	}
}

/*
 * The version check of the wave row makes a halt take effect at once: after it
 * was accepted, no commit that starts planned work can succeed.
 */
static int commit(struct seam_pool_pass_state *w, struct seam_err *e)
{
	struct seam_batch head;

	w->next.saved_at = w->now;
	seam_batch_init(&head);
	seam_batch_add_row(&head, &w->next);
	if (w->began)
		seam_batch_add(&head, SEAM_CHECK,
			       g_strconcat("wave/", w->next.name, NULL),
			       w->wave.version, NULL);
	g_array_append_vals(head.write, w->batch.write->data,
			    w->batch.write->len);
	if (seam_batch_commit(w->ps, &head, &w->next.version, w->now, e)) {
		seam_batch_free(&head);
		w->p->check_new = w->adopted;
		w->p->conflict = e->kind == SEAM_CONFLICT;
		return -1;
	}
	w->p->rewrite = false;
	seam_batch_free(&head);
	seam_pool_check_invariants(&w->old, &w->next, &w->rules);
	return 0;
}

static void begin_drain(struct seam_pool_pass_state *w,
			const struct seam_pool_vm *m)
{
	struct seam_drain *d = seam_pool_drain(w);

	if (d)
		d->ops->begin(d, m->vm, m->until);
}

static void end_drain(struct seam_pool_pass_state *w,
		      const struct seam_pool_vm *m)
{
	struct seam_drain *d = seam_pool_drain(w);
	const struct seam_pool_vm *old = seam_pool_member(&w->old, m->vm);

	if (d && d->ops->end && old && old->state == SEAM_MEMBER_DRAINING)
		d->ops->end(d, m->vm);
}

/* Repeats are safe: the platform compares the boot number and reboots once. */
static int request_reboot(struct seam_pool_pass_state *w,
			  const struct seam_pool_vm *m)
{
	const struct seam_vm *vm = seam_vm_list_find(w->list, m->vm);
	struct seam_platform *p = w->ps->env.platform;
	struct seam_err e = SEAM_ERR_INIT;

	if (vm && vm->boot > m->boot)
		return 0;
	seam_metric_add(&reboots, 1);
	if (p->ops->reboot(p, m->vm, m->boot, w->now + REBOOT_REQUEST_TIMEOUT,
			   &e) &&
	    e.kind == SEAM_UNAVAILABLE)
		return -1;
	return 0;
}

/*
 * A reboot that the platform never started, for example because it was down
 * until the deadline, is requested again; the member stays failed until then.
 */
static bool needs_reboot(const struct seam_pool_pass_state *w,
			 const struct seam_pool_vm *m)
{
	if (m->state == SEAM_MEMBER_REBOOTING)
		return true;
	return m->state == SEAM_MEMBER_FAILED && m->why == SEAM_WHY_FAILED &&
	       seam_vm_list_find(w->list, m->vm);
}

void seam_pool_apply_effects(struct seam_pool_pass_state *w)
{
	bool platform = true;
	size_t i;

	for (i = 0; i < w->next.n; i++) {
		const struct seam_pool_vm *m = &w->next.member[i];

		if (m->state == SEAM_MEMBER_DRAINING)
			begin_drain(w, m);
		else if (m->state == SEAM_MEMBER_ACTIVE)
			end_drain(w, m);
		else if (platform && needs_reboot(w, m))
			platform = !request_reboot(w, m);
	}
}

static int pass_init(struct seam_pool_pass_state *w, struct seam_pool *p,
		     seam_time now)
{
	int rc;

	memset(w, 0, sizeof(*w));
	w->p = p;
	w->ps = p->ps;
	w->now = now;
	w->conf = seam_conf_current(p->ps->env.conf);
	w->pc = seam_conf_lookup(w->conf, SEAM_CONF_POOL, p->name);
	w->list = seam_vm_list_ref(p->ps);
	seam_pool_get_rules(p->ps, p->name, now, &w->rules);
	seam_batch_init(&w->batch);
	pthread_mutex_lock(&p->ps->lock);
	rc = seam_pool_row_copy(&w->old, &p->row) ||
	     seam_pool_row_copy(&w->next, &p->row);
	w->wave = p->wave;
	pthread_mutex_unlock(&p->ps->lock);
	w->changed = p->rewrite;
	seam_pool_mark_evacuated(&w->old, w->conf);
	seam_pool_mark_evacuated(&w->next, w->conf);
	return rc ? -1 : 0;
}

static void pass_free(struct seam_pool_pass_state *w)
{
	seam_pool_row_free(&w->old);
	seam_pool_row_free(&w->next);
	seam_batch_free(&w->batch);
	seam_vm_list_unref(w->list);
	seam_conf_unref(w->conf);
}

/* Later passes over other pools in this round count these as incoming VMs. */
static void record_moves(struct seam_pool_pass_state *w)
{
	size_t i;

	pthread_mutex_lock(&w->ps->lock);
	for (i = 0; w->began && i < w->next.n; i++) {
		const struct seam_pool_vm *m = &w->next.member[i];
		const struct seam_pool_vm *old =
			seam_pool_member(&w->old, m->vm);
		struct seam_vm_move v = {.from = ""};

		if (!*m->to || (old && *old->to))
			continue;
		memcpy(v.from, w->next.name, sizeof(v.from));
		memcpy(v.to, m->to, sizeof(v.to));
		memcpy(v.vm, m->vm, sizeof(v.vm));
		g_array_append_val(w->ps->moving, v);
	}
	pthread_mutex_unlock(&w->ps->lock);
}

int seam_pool_pass(struct seam_pool *p, seam_time now)
{
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_pool_pass_state w;
	int rc;

	/* If this fails, the pool is not resized in this pass. */
	if (p->ps->env.size)
		seam_pool_forecast_load(p, now);
	rc = pass_init(&w, p, now);
	if (!rc)
		rc = seam_pool_accept_arrivals(&w);
	if (!rc) {
		step_members(&w);
		cancel_drains(&w);
		seam_pool_adopt(&w);
		begin_wave(&w);
		seam_pool_resize(&w);
		if (w.changed)
			rc = commit(&w, &e);
		if (rc)
			seam_log(SEAM_INFO, "pool",
				 "Commit for pool %s failed: %s.", p->name,
				 e.text);
	}
	if (!rc) {
		seam_pool_set_row(p, &w.next);
		if (w.changed)
			seam_pool_set_indexed(p, w.next.version);
		record_moves(&w);
		seam_pool_apply_effects(&w);
	}
	pass_free(&w);
	return rc;
}

/* Continues committed drains and reboots without reading or writing rows. */
static void resume_effects(struct seam_pool *p, seam_time now)
{
	struct seam_pool_pass_state w;

	if (!pass_init(&w, p, now))
		seam_pool_apply_effects(&w);
	pass_free(&w);
}

static GPtrArray *list_owned(struct seam_pools *ps, seam_time now)
{
	GPtrArray *out = g_ptr_array_new();
	struct seam_conf *c = seam_conf_current(ps->env.conf);
	struct seam_handle h = SEAM_HANDLE_NONE;
	const struct seam_pool_conf *pc;
	GHashTableIter it;
	gpointer p;

	while ((pc = seam_conf_next(c, SEAM_CONF_POOL, &h)))
		seam_pools_get_or_add(ps, pc->name);
	seam_conf_unref(c);
	pthread_mutex_lock(&ps->lock);
	g_hash_table_iter_init(&it, ps->pool);
	while (g_hash_table_iter_next(&it, NULL, &p))
		g_ptr_array_add(out, p);
	pthread_mutex_unlock(&ps->lock);
	for (guint i = 0; i < out->len;) {
		struct seam_pool *x = g_ptr_array_index(out, i);
		char name[80];

		g_snprintf(name, sizeof(name), "pool/%s", x->name);
		if (seam_is_owner(ps->env.owner, name, now)) {
			i++;
		} else {
			/* Another owner may update the forecast. */
			x->forecast_known = false;
			g_ptr_array_remove_index_fast(out, i);
		}
	}
	return out;
}

static void update_gauges(struct seam_pools *ps, GPtrArray *owned,
			  seam_time now)
{
	int64_t late = 0;
	int64_t over = 0;
	int64_t bad = 0;

	for (guint i = 0; i < owned->len; i++) {
		struct seam_pool *p = g_ptr_array_index(owned, i);
		struct seam_pool_rules rules;
		struct seam_pool_row r;

		bad += seam_pool_damaged(ps, p->name);
		if (seam_pool_get_row(ps, p->name, &r))
			continue;
		seam_pool_get_rules(ps, p->name, now, &rules);
		over += seam_pool_count(&r).unavailable > rules.budget;
		for (size_t j = 0; j < r.n; j++)
			late += r.member[j].maintain_by < now;
		seam_pool_row_free(&r);
	}
	seam_metric_set(&overdue, late);
	seam_metric_set(&over_budget, over);
	seam_metric_set(&damaged, bad);
}

/* Without a configuration, pools would look deleted and data centres out. */
static bool has_configuration(struct seam_pools *ps)
{
	struct seam_conf *c = seam_conf_current(ps->env.conf);
	bool any = seam_conf_version(c) > 0;

	seam_conf_unref(c);
	return any;
}

seam_time seam_pools_pass(struct seam_pools *ps, seam_time now)
{
	struct seam_err e = SEAM_ERR_INIT;
	GPtrArray *owned = list_owned(ps, now);
	bool recent = seam_pools_polled_recently(ps, now);
	bool store = recent || !seam_pools_poll(ps, now, &e);

	if (!store)
		seam_log(SEAM_DEBUG, "pool",
			 "Poll of the pool rows failed: %s.", e.text);
	/* The thread that polled has also published. */
	if (!recent)
		seam_pools_publish(ps);
	if (store)
		seam_forecasts_refresh(ps, owned, now);
	for (guint i = 0; i < owned->len && has_configuration(ps); i++) {
		struct seam_pool *p = g_ptr_array_index(owned, i);

		if (store)
			seam_pool_verify(p, now);
		if (store && !seam_pool_damaged(ps, p->name))
			seam_pool_pass(p, now);
		else
			resume_effects(p, now);
	}
	if (store)
		seam_forecasts_save(ps, owned, now);
	update_gauges(ps, owned, now);
	g_ptr_array_free(owned, TRUE);
	return now + PASS_PERIOD;
}
