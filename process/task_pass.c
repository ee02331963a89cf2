#include "process/task_impl.h"

#include <stdlib.h>
#include <string.h>

#include "base/metrics.h"
#include "base/log.h"

#define FLEET_INTERVAL (1 * SEAM_SEC)
#define STARTS_PER_PASS 512 /* planned starts */

SEAM_METRIC(owned, "seam_buckets_owned", "Buckets held by this node.");
SEAM_METRIC(queued, "seam_tasks_queued", "Queued tasks in held buckets.");
SEAM_METRIC(running_now, "seam_tasks_running",
	    "Running tasks in held buckets.");

int seam_bucket_prepare(struct seam_bucket *b, seam_time now)
{
	if (!seam_is_owner(b->ts->c.owner, b->key, now)) {
		seam_bucket_release(b);
		return -1;
	}
	if (seam_bucket_load(b, now)) {
		seam_bucket_complete_requests(b, false);
		if (b->held)
			seam_bucket_renew(b, now);
		return -1;
	}
	seam_bucket_apply_reports(b, now);
	seam_bucket_apply_requests(b, now);
	seam_bucket_check_leases(b, now);
	b->plans = 0;
	b->plan_next = 0;
	if (now >= b->commit_at)
		seam_bucket_plan(b, now);
	return 0;
}

static void send_starts(struct seam_bucket *b, seam_time now)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_task *t;

	while ((t = seam_task_next(b->table, &h)))
		if (t->start_pending) {
			t->start_pending = false;
			seam_task_send(b, t, SEAM_CMD_START, now);
		}
}

void seam_bucket_finish(struct seam_bucket *b, seam_time now)
{
	int rc = 0;

	if (b->marked && !b->reload)
		b->dirty = true; /* the commit deletes the mark */
	if (b->dirty && !b->reload && now >= b->commit_at) {
		rc = seam_bucket_commit(b, now);
		seam_bucket_complete_requests(b, !rc);
		if (!rc)
			send_starts(b, seam_now(b->ts->c.clock));
	} else if (!b->dirty) {
		/* Requests that changed nothing, such as repeated ones. */
		seam_bucket_complete_requests(b, true);
	}
	seam_bucket_renew(b, seam_now(b->ts->c.clock));
}

seam_time seam_bucket_pass(struct seam_bucket *b, seam_time now)
{
	if (seam_bucket_prepare(b, now))
		return now + SEAM_TASK_COMMIT_INTERVAL;
	while (b->plan_next < b->plans)
		seam_bucket_start_next(b, now);
	seam_bucket_finish(b, now);
	return now + SEAM_TASK_COMMIT_INTERVAL;
}

static void place_vm(struct seam_tasks *ts, const struct seam_conf *c,
		     const struct seam_fleet_vm *f)
{
	const struct seam_pool_conf *pool =
		seam_conf_lookup(c, SEAM_CONF_POOL, f->vm.pool);
	struct seam_placer *p = ts->c.placer;
	struct seam_place_worker w;

	if (!pool || pool->kind != SEAM_POOL_TASKS)
		return;
	memset(&w, 0, sizeof(w));
	g_strlcpy(w.id, f->vm.id, sizeof(w.id));
	g_strlcpy(w.addr, f->vm.addr, sizeof(w.addr));
	g_strlcpy(w.dc, f->vm.dc, sizeof(w.dc));
	g_strlcpy(w.rack, f->vm.rack, sizeof(w.rack));
	g_strlcpy(w.pool, f->vm.pool, sizeof(w.pool));
	w.size.cpu = f->vm.cpu_milli;
	w.size.mem = f->vm.memory_mb;
	w.size.acc = f->vm.accelerators;
	w.boot = f->vm.boot;
	w.pool_version = f->pool_version;
	w.usable = f->vm.state == SEAM_VM_LIVE &&
		   f->member == SEAM_MEMBER_ACTIVE &&
		   !seam_conf_dc_out(c, f->vm.dc);
	if (w.usable)
		seam_loads_add_capacity(ts, w.pool, &w.size);
	p->ops->set(p, &w);
}

/* An empty list means that the fleet has not been read yet. */
static void place_fleet(struct seam_tasks *ts, const struct seam_conf *c,
			uint64_t changes)
{
	seam_time as_of = 0;
	size_t n;
	size_t i;
	struct seam_fleet_vm *vm =
		seam_fleet_copy(ts->c.fleet, NULL, &n, &as_of);

	if (n)
		g_hash_table_remove_all(ts->capacity_by_pool);
	for (i = 0; i < n; i++)
		place_vm(ts, c, &vm[i]);
	if (n) {
		ts->c.placer->ops->sweep(ts->c.placer);
		ts->fleet_as_of = as_of;
		ts->fleet_changes = changes;
		ts->fleet_conf = seam_conf_version(c);
	}
	free(vm);
}

static void update_fleet(struct seam_tasks *ts, seam_time now)
{
	struct seam_conf *c = seam_conf_current(ts->c.conf);
	seam_time as_of;
	uint64_t changes = seam_fleet_changes(ts->c.fleet, &as_of);

	if (changes && changes == ts->fleet_changes &&
	    seam_conf_version(c) == ts->fleet_conf)
		ts->fleet_as_of = as_of;
	else
		place_fleet(ts, c, changes);
	seam_conf_unref(c);
	ts->fleet_at = now + FLEET_INTERVAL;
}

static GPtrArray *all_buckets(struct seam_tasks *ts)
{
	GPtrArray *a = g_ptr_array_new();
	GHashTableIter it;
	gpointer v;

	pthread_mutex_lock(&ts->lock);
	g_hash_table_iter_init(&it, ts->buckets);
	while (g_hash_table_iter_next(&it, NULL, &v))
		g_ptr_array_add(a, v);
	pthread_mutex_unlock(&ts->lock);
	return a;
}

/* Starts one task at a time, so that each start counts towards the shares. */
static void start_in_order(GPtrArray *ready, seam_time now)
{
	int n;
	guint i;

	for (n = 0; n < STARTS_PER_PASS; n++) {
		struct seam_bucket *best = NULL;

		for (i = 0; i < ready->len; i++) {
			struct seam_bucket *b = ready->pdata[i];

			if (b->plan_next < b->plans &&
			    (!best || seam_bucket_starts_before(b, best, now)))
				best = b;
		}
		if (!best)
			return;
		seam_bucket_start_next(best, now);
	}
}

static void count_states(GPtrArray *ready)
{
	int64_t q = 0;
	int64_t r = 0;
	guint i;

	for (i = 0; i < ready->len; i++) {
		struct seam_bucket *b = ready->pdata[i];
		struct seam_handle h = SEAM_HANDLE_NONE;
		struct seam_task *t;

		while ((t = seam_task_next(b->table, &h))) {
			q += t->state == SEAM_TASK_QUEUED;
			r += seam_task_active(t);
		}
	}
	seam_metric_set(&owned, ready->len);
	seam_metric_set(&queued, q);
	seam_metric_set(&running_now, r);
}

seam_time seam_tasks_pass(struct seam_tasks *ts, seam_time now)
{
	GPtrArray *all;
	GPtrArray *ready = g_ptr_array_new();
	guint i;

	pthread_mutex_lock(&ts->pass);
	if (now >= ts->fleet_at) {
		update_fleet(ts, now);
		seam_worker_rows_scan(ts, now);
	}
	seam_tasks_find_changes(ts, now);
	all = all_buckets(ts);
	for (i = 0; i < all->len; i++)
		if (!seam_bucket_prepare(all->pdata[i], now))
			g_ptr_array_add(ready, all->pdata[i]);
	seam_loads_update(ts, ready, now);
	start_in_order(ready, now);
	for (i = 0; i < ready->len; i++)
		seam_bucket_finish(ready->pdata[i], now);
	count_states(ready);
	g_ptr_array_free(all, TRUE);
	g_ptr_array_free(ready, TRUE);
	pthread_mutex_unlock(&ts->pass);
	return now + SEAM_TASK_COMMIT_INTERVAL;
}

void seam_tasks_set_wake(struct seam_tasks *ts, void (*wake)(void *arg),
			 void *arg)
{
	ts->wake = wake;
	ts->wake_arg = arg;
	ts->running = true;
}

struct json_object *seam_tasks_explain(struct seam_tasks *ts, const char *id,
				       seam_time deadline, struct seam_err *e)
{
	struct json_object *o = seam_tasks_get(ts, id, deadline, e);
	struct seam_task_order *order = ts->c.order;
	seam_time now = seam_now(ts->c.clock);
	char key[SEAM_KEY_MAX];
	struct seam_bucket *b;

	if (!o || seam_bucket_key(id, key))
		return o;
	b = seam_bucket_get(ts, key);
	pthread_mutex_lock(&ts->pass);
	json_object_object_add(o, "owned_here",
			       json_object_new_boolean(b->held));
	json_object_object_add(o, "team_rank",
			       json_object_new_double(order->ops->rank(
				       order, b->team, b->queue, now)));
	json_object_object_add(o, "team_over_share",
			       json_object_new_double(order->ops->lent(
				       order, b->team, b->queue, now)));
	if (b->held && b->no_room.cpu > 0)
		json_object_object_add(o, "no_room_for",
				       seam_need_json(&b->no_room));
	pthread_mutex_unlock(&ts->pass);
	return o;
}

struct json_object *seam_tasks_workers(struct seam_tasks *ts)
{
	struct json_object *a = json_object_new_array();
	struct seam_placer *p = ts->c.placer;
	GHashTableIter it;
	gpointer v;

	pthread_mutex_lock(&ts->pass);
	g_hash_table_iter_init(&it, ts->rows);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct seam_worker_row *w = v;
		const struct seam_place_worker *pw = p->ops->get(p, w->id);
		struct seam_need sum = seam_worker_row_committed(w);
		struct json_object *o;

		if (!pw)
			continue;
		o = json_object_new_object();
		json_object_object_add(o, "id", json_object_new_string(w->id));
		json_object_object_add(o, "pool",
				       json_object_new_string(pw->pool));
		json_object_object_add(o, "data_centre",
				       json_object_new_string(pw->dc));
		json_object_object_add(o, "size", seam_need_json(&pw->size));
		json_object_object_add(o, "committed", seam_need_json(&sum));
		json_object_object_add(o, "usable",
				       json_object_new_boolean(pw->usable));
		json_object_object_add(o, "quarantined",
				       json_object_new_boolean(w->quarantined));
		json_object_object_add(o, "reason",
				       json_object_new_string(w->reason));
		json_object_array_add(a, o);
	}
	pthread_mutex_unlock(&ts->pass);
	return a;
}
