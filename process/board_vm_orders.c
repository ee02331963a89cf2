/* Orders for VMs: written down, queued, sent by threads of their own. */
#include "process/board_impl.h"
#include "base/count.h"
#include "base/json.h"
#include "base/log.h"

#include <stdlib.h>
#include <string.h>

#define ORDER_CALL (1200 * SEAM_MSEC)
/* An order that waits longer for a thread is planned anew. */
#define QUEUE_TIME (800 * SEAM_MSEC)
/* The list shows what an order has done after this time at the latest. */
#define SETTLE (900 * SEAM_MSEC)
/* An order without an answer may be carried out so much later. */
#define UNSURE (3 * SEAM_SEC)
/* From an order until the VM's new worker has answered: a move or maintenance
 * of about 2 s, the worker's row, and its first hold. */
#define ARRIVAL (4 * SEAM_SEC)
/* Part of the VM service's rate that is used: the owner before may have used
 * some of it. */
#define RATE_PART 0.9
/* Orders of so much time may be sent at once. */
#define BURST_S 0.5
#define ORDERS_ROW "vm/orders" /* VMs that were ordered a short time ago */

SEAM_COUNT(moves, "seam_vm_moves_total", "VMs moved to another pool.");
SEAM_COUNT(upkeeps, "seam_vm_upkeeps_total", "VMs maintained.");

/* An order that waits for a thread. */
struct queued {
	struct seam_vm_task task;
	seam_time deadline;
};

struct seam_worker *board_worker_of(struct seam_board *b, const char *id)
{
	struct seam_handle *h =
		*id ? g_hash_table_lookup(b->worker_of, id) : NULL;

	return h ? board_worker(b, *h) : NULL;
}

static void note_order(struct seam_board *b, const char *vm, int64_t wave,
		       const char *pool, seam_time until)
{
	struct seam_vm_order *o = g_new0(struct seam_vm_order, 1);

	o->until = until;
	o->arrives_until = seam_now(b->clock) + ARRIVAL;
	o->wave = wave;
	g_strlcpy(o->pool, pool, sizeof(o->pool));
	g_hash_table_replace(b->vm_orders, g_strdup(vm), o);
}

/* Sends an order; the lock is released meanwhile. Returns as the call does. */
static int send_order(struct seam_board *b, const struct seam_vm_task *t,
		      enum seam_vm_said *said, struct seam_err *e)
{
	struct seam_inventory *vms = b->ports->vms;
	seam_time deadline = seam_now(b->clock) + ORDER_CALL;
	seam_time valid = seam_lead_valid_until(b->lead);
	int rc;

	/* A later owner may send orders for the VM after it. */
	if (deadline > valid)
		deadline = valid;
	pthread_mutex_unlock(&b->lock);
	if (t->wave)
		rc = vms->ops->maintain(vms, t->vm, t->wave, b->term, said,
					deadline, e);
	else
		rc = vms->ops->move(vms, t->vm, t->pool, b->term, said,
				    deadline, e);
	pthread_mutex_lock(&b->lock);
	return rc;
}

/* Carries out an order for a VM whose worker is empty. */
static void order_vm(struct seam_board *b, const struct seam_vm_task *t)
{
	struct seam_worker *w = board_worker_of(b, t->worker);
	enum seam_vm_said said = SEAM_VM_INVALID;
	struct seam_err e = SEAM_ERR_INIT;
	int rc;

	if ((w && (w->ref->len || board_orders(w))) ||
	    !seam_lead_valid(b->lead, seam_now(b->clock))) {
		note_order(b, t->vm, 0, "", seam_now(b->clock));
		return;
	}
	note_order(b, t->vm, t->wave, t->pool, seam_now(b->clock) + UNSURE);
	rc = send_order(b, t, &said, &e);
	seam_log(
		SEAM_INFO, "vms",
		"event=%s vm=%s worker=%s pool=%s wave=%lld said=%d why=\"%s\"",
		t->wave ? "maintain" : "move", t->vm, t->worker, t->pool,
		(long long)t->wave, rc ? -1 : (int)said, e.text);
	if (rc)
		return;
	if (said != SEAM_VM_DONE) {
		note_order(b, t->vm, 0, "", seam_now(b->clock) + SETTLE);
		return;
	}
	seam_count_add(t->wave ? &upkeeps : &moves, 1);
	note_order(b, t->vm, t->wave, t->pool, seam_now(b->clock) + SETTLE);
	if (t->wave)
		g_hash_table_add(b->wave_done, g_strdup(t->vm));
	w = board_worker_of(b, t->worker);
	if (w) {
		w->over = true;
		w->answered = false;
		board_worker_lost(w, t->wave ? "maintained" : "moved");
		board_need_lane(b);
	}
}

void *board_vm_order_loop(void *arg)
{
	struct seam_board *b = arg;
	struct queued *q;

	pthread_mutex_lock(&b->lock);
	while (!b->stop) {
		q = g_queue_pop_head(&b->vm_queue);
		if (!q) {
			seam_wait(b->clock, &b->vm_wake, &b->lock, SEAM_NEVER);
			continue;
		}
		if (seam_now(b->clock) <= q->deadline)
			order_vm(b, &q->task);
		else
			note_order(b, q->task.vm, 0, "", seam_now(b->clock));
		g_free(q);
	}
	pthread_mutex_unlock(&b->lock);
	return NULL;
}

size_t board_vm_budget(struct seam_board *b, seam_time now)
{
	double rate = RATE_PART * b->conf.vm_orders_per_s;
	double most = rate * BURST_S > 1 ? rate * BURST_S : 1;

	b->vm_budget +=
		rate * (double)(now - b->vm_budget_at) / (double)SEAM_SEC;
	b->vm_budget_at = now;
	if (b->vm_budget > most)
		b->vm_budget = most;
	return b->vm_budget > 0 ? (size_t)b->vm_budget : 0;
}

/* Writes a row while this node is the owner; the lock is not held. */
int board_put_row(struct seam_board *b, const char *key, const char *text)
{
	struct seam_write w[] = {
		{SEAM_PUT, key, SEAM_ANY_VERSION, text, strlen(text)},
		{SEAM_CHECK, SEAM_LEAD_ROW, b->lead->owner_version, NULL, 0},
	};
	struct seam_commit c = {w, 2, seam_store_token(), 0};
	struct seam_err e = SEAM_ERR_INIT;

	if (!seam_store_commit(b->ports->store, &c,
			       seam_now(b->clock) + STORE_CALL, &e))
		return 0;
	seam_log(SEAM_WARN, "upkeep", "event=row_unwritten row=%s why=\"%s\"",
		 key, e.text);
	return -1;
}

static void forget_recent(struct seam_board *b, seam_time now)
{
	guint i;

	for (i = b->recent->len; i-- > 0;)
		if (g_array_index(b->recent, struct seam_recent_vm, i).at +
			    b->conf.vm_lease <
		    now)
			g_array_remove_index_fast(b->recent, i);
}

/*
 * Writes down which VMs are ordered now, before they are: the next owner leaves
 * them alone for a time, and may order all others at once. The lock is released
 * meanwhile.
 */
static int record(struct seam_board *b, const struct seam_vm_task *t, size_t n)
{
	struct json_object *list = json_object_new_array();
	seam_time now = seam_now(b->clock);
	guint k;
	size_t i;
	int rc;

	forget_recent(b, now);
	for (i = 0; i < n; i++) {
		struct seam_recent_vm r = {.at = now + QUEUE_TIME};

		g_strlcpy(r.vm, t[i].vm, sizeof(r.vm));
		g_array_append_val(b->recent, r);
	}
	for (k = 0; k < b->recent->len; k++)
		json_object_array_add(
			list, json_object_new_string(
				      g_array_index(b->recent,
						    struct seam_recent_vm, k)
					      .vm));
	pthread_mutex_unlock(&b->lock);
	rc = board_put_row(
		b, ORDERS_ROW,
		json_object_to_json_string_ext(list, JSON_C_TO_STRING_PLAIN));
	pthread_mutex_lock(&b->lock);
	json_object_put(list);
	return rc;
}

void board_order_vms(struct seam_board *b, const struct seam_vm_task *t,
		     size_t n)
{
	size_t i;

	if (!n || record(b, t, n))
		return;
	b->vm_budget -= (double)n;
	for (i = 0; i < n; i++) {
		struct queued *q = g_new0(struct queued, 1);
		seam_time now = seam_now(b->clock);

		q->task = t[i];
		q->deadline = now + QUEUE_TIME;
		/* Counted where it goes, and left alone, from now on. */
		note_order(b, t[i].vm, t[i].wave, t[i].pool,
			   q->deadline + ORDER_CALL);
		g_queue_push_tail(&b->vm_queue, q);
	}
	pthread_cond_broadcast(&b->vm_wake);
}

int board_load_orders(struct seam_board *b, struct seam_err *e)
{
	seam_time until = b->lead->orders_until + b->conf.vm_lease;
	struct json_object *list;
	struct seam_row row;
	size_t i;

	if (seam_store_get(b->ports->store, ORDERS_ROW, &row,
			   seam_now(b->clock) + STORE_CALL, e)) {
		if (e->kind != SEAM_NOT_FOUND)
			return -1;
		seam_err_clear(e);
		return 0;
	}
	list = json_tokener_parse(row.data);
	for (i = 0; json_object_is_type(list, json_type_array) &&
		    i < json_object_array_length(list);
	     i++)
		note_order(b,
			   json_object_get_string(
				   json_object_array_get_idx(list, i)),
			   0, "", until);
	json_object_put(list);
	seam_row_free(&row);
	return 0;
}
