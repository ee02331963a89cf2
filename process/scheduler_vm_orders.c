/* VM orders: recorded in the store, queued, and sent by separate threads. */
#include "process/scheduler_impl.h"
#include "base/metrics.h"
#include "base/json.h"
#include "base/log.h"

#include <stdlib.h>
#include <string.h>

#define ORDER_TIMEOUT (1200 * SEAM_MSEC)
/* An order that waits longer for a thread is dropped and planned again. */
#define ORDER_QUEUE_TIMEOUT (800 * SEAM_MSEC)
/* An order without an answer may be carried out up to this much later. */
#define UNANSWERED_ORDER_DELAY_MAX (3 * SEAM_SEC)
/*
 * A VM whose orders are refused this often in a row goes back into service, so
 * that its tasks wait less than the 7 s after which the users call them lost.
 */
#define REFUSED_ORDERS_MAX 4
/* It gets no other order for this long, as each empties its worker again. */
#define REFUSED_ORDER_PAUSE (5 * SEAM_SEC)
/*
 * Time from an order until the VM's new worker has answered: a move or
 * maintenance of about 2 s, the worker's row, and its first hold.
 */
#define WORKER_ARRIVAL_TIME_MAX (4 * SEAM_SEC)
/*
 * Part of the VM service's rate limit that is used, as the previous owner may
 * have used some of it.
 */
#define RATE_SHARE 0.9
/* Orders that may be sent at once, in seconds of the rate. */
#define BURST_S 0.5
/* Moves that are averaged for the time that one takes. */
#define ARRIVAL_SMOOTHING 8
/* Row with the VMs that were ordered recently. */
#define ORDERS_ROW "vm/orders"

SEAM_METRIC(moves, "seam_vm_moves_total", "VMs moved to another pool.");
SEAM_METRIC(arrivals, "seam_vm_arrivals_total",
	    "Moved VMs whose new worker has answered.");
SEAM_METRIC(arrival_ms, "seam_vm_arrival_ms_total",
	    "Milliseconds from the plans of these moves to the answers.");
SEAM_METRIC(maintained, "seam_vm_upkeeps_total", "VMs maintained.");

/* An order that waits for a thread. */
struct queued_order {
	struct seam_planned_vm_order task;
	seam_time deadline;
};

struct seam_worker *scheduler_find_worker(struct seam_scheduler *sched,
					  const char *id)
{
	struct seam_handle *h =
		*id ? g_hash_table_lookup(sched->worker_of, id) : NULL;

	return h ? scheduler_worker(sched, *h) : NULL;
}

static struct seam_vm_order *set_vm_order(struct seam_scheduler *sched,
					  const char *vm, int64_t wave,
					  const char *pool, seam_time until)
{
	struct seam_vm_order *last = g_hash_table_lookup(sched->vm_orders, vm);
	struct seam_vm_order *o = g_new0(struct seam_vm_order, 1);

	o->refusals = last ? last->refusals : 0;
	o->planned_at = last && *pool ? last->planned_at : 0;
	o->busy_until = until;
	o->arrival_deadline = seam_now(sched->clock) + WORKER_ARRIVAL_TIME_MAX;
	o->wave = wave;
	g_strlcpy(o->pool, pool, sizeof(o->pool));
	g_hash_table_replace(sched->vm_orders, g_strdup(vm), o);
	return o;
}

/*
 * Sends an order and returns the result of the call. Releases the lock during
 * the call.
 */
static int send_order(struct seam_scheduler *sched,
		      const struct seam_planned_vm_order *t,
		      enum seam_vm_order_outcome *outcome, struct seam_err *e)
{
	struct seam_inventory *vms = sched->ports->vms;
	seam_time deadline = seam_now(sched->clock) + ORDER_TIMEOUT;
	seam_time valid = seam_election_valid_until(sched->election);
	int rc;

	/* Past that time another owner may send orders for the VM. */
	if (deadline > valid)
		deadline = valid;
	pthread_mutex_unlock(&sched->lock);
	if (t->wave)
		rc = vms->ops->maintain(vms, t->vm, t->wave, sched->term,
					outcome, deadline, e);
	else
		rc = vms->ops->move(vms, t->vm, t->pool, sched->term, outcome,
				    deadline, e);
	pthread_mutex_lock(&sched->lock);
	return rc;
}

static void handle_refused_order(struct seam_scheduler *sched,
				 const struct seam_planned_vm_order *t)
{
	seam_time now = seam_now(sched->clock);
	struct seam_vm_order *o =
		set_vm_order(sched, t->vm, 0, "", now + VM_LIST_DELAY_MAX);
	struct seam_worker *w = scheduler_find_worker(sched, t->worker);

	if (++o->refusals < REFUSED_ORDERS_MAX) {
		o->refused = t->wave;
		return;
	}
	o->refusals = 0;
	o->busy_until = now + REFUSED_ORDER_PAUSE;
	if (!w)
		return;
	w->leaving_until = 0;
	scheduler_wake_pass(sched);
}

/* Carries out an order for a VM whose worker is empty. */
static void order_vm(struct seam_scheduler *sched,
		     const struct seam_planned_vm_order *t)
{
	struct seam_worker *w = scheduler_find_worker(sched, t->worker);
	enum seam_vm_order_outcome outcome = SEAM_VM_INVALID;
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_vm_order *o;
	seam_time until;
	int rc;

	/* Ends that are not stored are only on the worker. */
	if ((w && (w->task_refs->len || w->uncommitted_ends->len ||
		   scheduler_pending_orders(w) ||
		   scheduler_worker_has_late_run(w))) ||
	    !seam_election_is_owner(sched->election, seam_now(sched->clock))) {
		set_vm_order(sched, t->vm, 0, "", seam_now(sched->clock));
		return;
	}
	until = seam_now(sched->clock) + UNANSWERED_ORDER_DELAY_MAX;
	set_vm_order(sched, t->vm, t->wave, t->pool, until);
	/* Runs that began meanwhile would end with the VM. */
	if (w && w->leaving_until < until)
		w->leaving_until = until;
	rc = send_order(sched, t, &outcome, &e);
	seam_log(
		SEAM_INFO, "orders",
		"event=%s vm=%s worker=%s pool=%s wave=%lld said=%d why=\"%s\"",
		t->wave ? "maintain" : "move", t->vm, t->worker, t->pool,
		(long long)t->wave, rc ? -1 : (int)outcome, e.text);
	if (rc)
		return;
	if (outcome != SEAM_VM_DONE) {
		handle_refused_order(sched, t);
		return;
	}
	seam_metric_add(t->wave ? &maintained : &moves, 1);
	o = set_vm_order(sched, t->vm, t->wave, t->pool,
			 seam_now(sched->clock) + VM_LIST_DELAY_MAX);
	o->refusals = 0;
	if (t->wave)
		g_hash_table_add(sched->wave_done, g_strdup(t->vm));
	w = scheduler_find_worker(sched, t->worker);
	if (w) {
		w->vm_gone = true;
		scheduler_worker_update_index(w);
		w->answered = false;
		scheduler_worker_lost(w, t->wave ? "maintained" : "moved");
		scheduler_request_assignment(sched);
	}
}

/* Notes how long a move took until the first answer of the VM's new worker. */
void scheduler_vm_arrived(struct seam_worker *w)
{
	struct seam_scheduler *sched = w->sched;
	struct seam_vm_order *o =
		g_hash_table_lookup(sched->vm_orders, w->info.vm);
	seam_time took;

	if (!o || !o->planned_at || strcmp(o->pool, w->info.pool))
		return;
	took = seam_now(sched->clock) - o->planned_at;
	o->planned_at = 0;
	sched->load.arrivals++;
	sched->load.arrival_time += took;
	seam_metric_add(&arrivals, 1);
	seam_metric_add(&arrival_ms, took / SEAM_MSEC);
	/* A worker that takes longer was silent, or late for another reason. */
	if (took < WORKER_ARRIVAL_TIME_MAX)
		sched->arrival_time +=
			(took - sched->arrival_time) / ARRIVAL_SMOOTHING;
}

void *scheduler_vm_order_loop(void *arg)
{
	struct seam_scheduler *sched = arg;
	struct queued_order *q;

	pthread_mutex_lock(&sched->lock);
	while (!sched->stop) {
		q = g_queue_pop_head(&sched->vm_queue);
		if (!q) {
			seam_wait(sched->clock, &sched->vm_wake, &sched->lock,
				  SEAM_NEVER);
			continue;
		}
		if (seam_now(sched->clock) <= q->deadline)
			order_vm(sched, &q->task);
		else
			set_vm_order(sched, q->task.vm, 0, "",
				     seam_now(sched->clock));
		g_free(q);
	}
	pthread_mutex_unlock(&sched->lock);
	return NULL;
}

size_t scheduler_vm_budget(struct seam_scheduler *sched, seam_time now)
{
	double rate = RATE_SHARE * sched->conf.vm_orders_per_s;
	double most = rate * BURST_S > 1 ? rate * BURST_S : 1;

	sched->vm_budget +=
		rate * (double)(now - sched->vm_budget_at) / (double)SEAM_SEC;
	sched->vm_budget_at = now;
	if (sched->vm_budget > most)
		sched->vm_budget = most;
	return sched->vm_budget > 0 ? (size_t)sched->vm_budget : 0;
}

static void expire_recent_orders(struct seam_scheduler *sched, seam_time now)
{
	guint i;

	for (i = sched->recent_vm_orders->len; i-- > 0;)
		if (g_array_index(sched->recent_vm_orders,
				  struct seam_recent_vm_order, i)
				    .at +
			    sched->conf.vm_lease <
		    now)
			g_array_remove_index_fast(sched->recent_vm_orders, i);
}

/* The orders leave after the write, which takes seconds on a slow store. */
static void restart_order_leases(struct seam_scheduler *sched, size_t n)
{
	GArray *list = sched->recent_vm_orders;
	seam_time at = seam_now(sched->clock) + ORDER_QUEUE_TIMEOUT;
	guint i;

	for (i = list->len - (guint)n; i < list->len; i++)
		g_array_index(list, struct seam_recent_vm_order, i).at = at;
}

/*
 * Records the VMs before they are ordered. The next owner does not order these
 * for a while, and may order all others at once. Releases the lock during the
 * write.
 */
static int save_recent_orders(struct seam_scheduler *sched,
			      const struct seam_planned_vm_order *t, size_t n)
{
	struct json_object *list = json_object_new_array();
	seam_time now = seam_now(sched->clock);
	guint k;
	size_t i;
	int rc;

	expire_recent_orders(sched, now);
	for (i = 0; i < n; i++) {
		struct seam_recent_vm_order r = {.at = now +
						       ORDER_QUEUE_TIMEOUT};

		g_strlcpy(r.vm, t[i].vm, sizeof(r.vm));
		g_array_append_val(sched->recent_vm_orders, r);
	}
	for (k = 0; k < sched->recent_vm_orders->len; k++)
		json_object_array_add(
			list,
			json_object_new_string(
				g_array_index(sched->recent_vm_orders,
					      struct seam_recent_vm_order, k)
					.vm));
	pthread_mutex_unlock(&sched->lock);
	rc = scheduler_put_row(
		sched, &sched->vm_orders_row, ORDERS_ROW,
		json_object_to_json_string_ext(list, JSON_C_TO_STRING_PLAIN));
	pthread_mutex_lock(&sched->lock);
	restart_order_leases(sched, n);
	json_object_put(list);
	return rc;
}

void scheduler_order_vms(struct seam_scheduler *sched,
			 const struct seam_planned_vm_order *t, size_t n)
{
	size_t i;

	if (!n || save_recent_orders(sched, t, n))
		return;
	sched->vm_budget -= (double)n;
	for (i = 0; i < n; i++) {
		struct queued_order *q = g_new0(struct queued_order, 1);
		seam_time now = seam_now(sched->clock);
		struct seam_vm_order *o;

		q->task = t[i];
		q->deadline = now + ORDER_QUEUE_TIMEOUT;
		/*
		 * From now on the VM counts in its new pool and gets no other
		 * order.
		 */
		o = set_vm_order(sched, t[i].vm, t[i].wave, t[i].pool,
				 q->deadline + ORDER_TIMEOUT);
		o->planned_at = t[i].wave ? 0 : now;
		g_queue_push_tail(&sched->vm_queue, q);
	}
	pthread_cond_broadcast(&sched->vm_wake);
}

/* An element that is not a name is ignored: as a key, NULL ends the process. */
char **scheduler_parse_vm_names(struct json_object *list, const char *row)
{
	size_t n = seam_json_array_length(list);
	char **names = g_new0(char *, n + 1);
	size_t count = 0;
	size_t i;

	if (!json_object_is_type(list, json_type_array))
		seam_log(SEAM_ERROR, "vms",
			 "event=row_unreadable row=%s why=\"not a list of VM "
			 "names\"",
			 row);
	for (i = 0; i < n; i++) {
		struct json_object *v = json_object_array_get_idx(list, i);

		if (json_object_is_type(v, json_type_string))
			names[count++] = g_strdup(json_object_get_string(v));
		else
			seam_log(SEAM_ERROR, "vms",
				 "event=row_element_ignored row=%s element=%zu "
				 "why=\"a VM name must be a string, not %s\"",
				 row, i,
				 json_type_to_name(json_object_get_type(v)));
	}
	return names;
}

int scheduler_load_orders(struct seam_scheduler *sched, struct seam_err *e)
{
	seam_time until = sched->election->orders_until + sched->conf.vm_lease;
	struct json_object *list;
	struct seam_row row;
	char **names;
	size_t i;

	if (seam_store_get(sched->ports->store, ORDERS_ROW, &row,
			   seam_now(sched->clock) + STORE_TIMEOUT, e)) {
		if (e->kind != SEAM_NOT_FOUND)
			return -1;
		seam_err_clear(e);
		return 0;
	}
	list = json_tokener_parse(row.data);
	names = scheduler_parse_vm_names(list, ORDERS_ROW);
	for (i = 0; names[i]; i++)
		set_vm_order(sched, names[i], 0, "", until);
	g_strfreev(names);
	json_object_put(list);
	seam_row_free(&row);
	return 0;
}
