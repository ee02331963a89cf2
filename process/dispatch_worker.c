/* A worker that a node serves: a thread that holds its lease and looks at it,
 * and one that sends it orders. */
#include "process/dispatch_impl.h"
#include "base/count.h"
#include "base/log.h"
#include "process/look_gap.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Longest time of one order: answers take a few milliseconds, and the orders
 * behind one without an answer wait for it. */
#define ORDER_CALL (350 * SEAM_MSEC)
#define START_TRIES 3 /* of one start; a worker takes the same start once */
#define HOLD_MARGIN (450 * SEAM_MSEC) /* of a hold, beyond its wait */
/* Of a worker with runs: what is left of its lease when it is renewed again has
 * to outlive a takeover. */
#define HOLD_WAIT_MS 700
#define HOLD_WAIT_IDLE_MS 1800
#define HOLD_GAP_USEC 30000 /* after a hold without an answer */
#define HOLD_RETRY_USEC 150000
/* A worker answers a look at once while it lists ends that were not
 * acknowledged, so the next one waits for that, as long as a commit takes. */
#define ACK_WAIT (120 * SEAM_MSEC)
/* A listing without news is told so seldom. */
#define TELL_GAP (300 * SEAM_MSEC)
#define STACK_BYTES (256u << 10) /* two threads for each worker */

SEAM_COUNT(starts, "seam_starts_total", "Starts that workers accepted.");
SEAM_COUNT(looks, "seam_worker_holds_total", "Leases renewed and looks.");
SEAM_COUNT(served, "seam_dispatch_workers",
	   "Workers that this node serves for the owner.");

static void set_runs(struct seam_dispatch_worker *w, size_t runs)
{
	w->dispatch->busy -= w->runs > 0;
	w->runs = runs;
	w->dispatch->busy += w->runs > 0;
}

void dispatch_worker_drop(struct seam_dispatch_worker *w)
{
	set_runs(w, 0);
	w->dead = true;
	pthread_cond_signal(&w->wake);
	pthread_cond_signal(&w->acks);
	g_hash_table_remove(w->dispatch->worker_of, GUINT_TO_POINTER(w->key));
}

static void thread_ended(struct seam_dispatch_worker *w)
{
	struct seam_dispatch *d = w->dispatch;
	struct seam_lane_order *o;

	if (--w->loops)
		return;
	while ((o = g_queue_pop_head(&w->orders)))
		dispatch_free_order(o);
	w->conn->ops->close(w->conn);
	pthread_cond_destroy(&w->wake);
	pthread_cond_destroy(&w->acks);
	seam_table_del(d->workers, w->self);
	seam_count_set(&served, (int64_t)seam_table_count(d->workers));
	pthread_cond_broadcast(&d->ended);
}

/* The same for listings of the same runs in any order. */
static uint64_t hash_of(const struct seam_listing *l)
{
	uint64_t h = 0;
	size_t i;

	for (i = 0; i < l->runs; i++) {
		const struct seam_listed_run *r = &l->run[i];
		int64_t n[2] = {r->run, r->percent >= 100};

		h ^= XXH64(r->task, strlen(r->task), XXH64(n, sizeof(n), 1));
	}
	return h + l->runs;
}

/* Whether the owner does not know what @l says. */
static bool is_news(const struct seam_dispatch_worker *w,
		    const struct seam_listing *l, uint64_t hash, seam_time now)
{
	return !w->answered || hash != w->told ||
	       now >= w->told_at + TELL_GAP ||
	       (l->ends && l->end[l->ends - 1].number > w->told_end);
}

/* The worker has started again; orders and leases are of the life before. */
static void forget_life(struct seam_dispatch_worker *w)
{
	struct seam_lane_order *o;

	while ((o = g_queue_pop_head(&w->orders))) {
		dispatch_tell_unsent(w->dispatch, o,
				     "the worker has restarted");
		dispatch_free_order(o);
	}
	w->lease_until = 0;
	w->acked = 0;
	w->told_end = 0;
	w->answered = false;
}

static void look_answered(struct seam_dispatch_worker *w,
			  struct seam_listing *l, seam_time sent_at)
{
	uint64_t hash = hash_of(l);
	seam_time now = seam_now(w->dispatch->clock);
	struct seam_lane_event *v;

	if (l->born_ms && w->born_ms && l->born_ms != w->born_ms)
		forget_life(w);
	if (l->born_ms)
		w->born_ms = l->born_ms;
	set_runs(w, l->runs);
	if (!is_news(w, l, hash, now)) {
		seam_listing_free(l);
		return;
	}
	w->answered = true;
	w->told = hash;
	w->told_at = now;
	if (l->ends)
		w->told_end = l->end[l->ends - 1].number;
	v = dispatch_add_event(w->dispatch, w->key, SEAM_LANE_LISTED);
	v->listing = *l;
	v->sent_at = sent_at;
}

static void look_failed(struct seam_dispatch_worker *w, int rc,
			enum seam_refusal said, const struct seam_err *e)
{
	struct seam_lane_event *v =
		dispatch_add_event(w->dispatch, w->key, SEAM_LANE_SILENT);

	w->answered = false;
	v->failed = rc ? e->kind : SEAM_OK;
	v->said = said;
	snprintf(v->why, sizeof(v->why), "%.60s", rc ? e->text : "");
}

/* One look; returns the pause before the next, microseconds. */
static unsigned look(struct seam_dispatch_worker *w)
{
	struct seam_dispatch *d = w->dispatch;
	seam_time now = seam_now(d->clock);
	/* After a look without an answer the lease is not renewed: the answers
	 * may be lost one way, and the lease has to run out some time. It may
	 * also have started again, and its ends be numbered anew. */
	struct seam_hold h = {.token = d->session.token,
			      .acked = w->answered ? w->acked : 0,
			      .lease_until = w->answered ? w->lease_until : 0};
	enum seam_refusal said = SEAM_ORDER_INVALID;
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_listing l = {0};
	seam_time deadline;
	int rc;

	if (h.lease_until)
		h.wait_ms = w->runs ? HOLD_WAIT_MS : HOLD_WAIT_IDLE_MS;
	deadline = now + h.wait_ms * SEAM_MSEC + HOLD_MARGIN;
	pthread_mutex_unlock(&d->lock);
	seam_count_add(&looks, 1);
	rc = w->conn->ops->hold(w->conn, &h, &said, &l, deadline, &e);
	pthread_mutex_lock(&d->lock);
	if (w->dead) {
		if (!rc && said == SEAM_ORDER_DONE)
			seam_listing_free(&l);
		return 0;
	}
	if (rc || said != SEAM_ORDER_DONE) {
		bool again = rc && w->answered;

		look_failed(w, rc, said, &e);
		return again ? HOLD_GAP_USEC : HOLD_RETRY_USEC;
	}
	look_answered(w, &l, now);
	return (unsigned)seam_look_gap(d->busy);
}

/* Waits until the ends that the worker has listed are acknowledged. */
static void wait_for_acks(struct seam_dispatch_worker *w)
{
	struct seam_clock *k = w->dispatch->clock;
	seam_time until = seam_now(k) + ACK_WAIT;

	while (!w->dead && w->answered && w->acked < w->told_end &&
	       seam_now(k) < until)
		seam_wait(k, &w->acks, &w->dispatch->lock, until);
}

static void *look_loop(void *arg)
{
	struct seam_dispatch_worker *w = arg;
	struct seam_dispatch *d = w->dispatch;
	unsigned pause;

	pthread_mutex_lock(&d->lock);
	while (dispatch_attended(w)) {
		pause = look(w);
		pthread_mutex_unlock(&d->lock);
		g_usleep(pause);
		pthread_mutex_lock(&d->lock);
		wait_for_acks(w);
	}
	thread_ended(w);
	pthread_mutex_unlock(&d->lock);
	return NULL;
}

/* Sends a start until it is answered; the lock is not held meanwhile. */
static int send_start(struct seam_dispatch_worker *w,
		      const struct seam_lane_order *o, enum seam_refusal *said,
		      bool *unknown, struct seam_err *e)
{
	struct seam_dispatch *d = w->dispatch;
	struct seam_start s = {.task = o->task,
			       .run = o->run,
			       .text = o->text,
			       .token = d->session.token,
			       .lease_until = o->lease_until,
			       .checkpoint = o->checkpoint};
	int64_t clock_ms = 0;
	int tries;
	int rc = -1;

	for (tries = 0; tries < START_TRIES; tries++) {
		seam_time now = seam_now(d->clock);

		if (tries && now > o->repeat_by)
			break;
		seam_err_clear(e);
		pthread_mutex_unlock(&d->lock);
		rc = w->conn->ops->start(w->conn, &s, said, &clock_ms,
					 now + ORDER_CALL, e);
		pthread_mutex_lock(&d->lock);
		*unknown = *unknown || (rc && e->kind == SEAM_COMMIT_UNKNOWN);
		if (!rc || w->dead)
			break;
	}
	return rc;
}

static int send_stop(struct seam_dispatch_worker *w,
		     const struct seam_lane_order *o, enum seam_refusal *said,
		     struct seam_err *e)
{
	struct seam_dispatch *d = w->dispatch;
	uint64_t token = d->session.token;
	int rc;

	pthread_mutex_unlock(&d->lock);
	rc = w->conn->ops->stop(w->conn, o->task, o->run, token, said,
				seam_now(d->clock) + ORDER_CALL, e);
	pthread_mutex_lock(&d->lock);
	return rc;
}

static void send_order(struct seam_dispatch_worker *w,
		       const struct seam_lane_order *o)
{
	enum seam_refusal said = SEAM_ORDER_INVALID;
	struct seam_err e = SEAM_ERR_INIT;
	bool unknown = false;
	int rc;

	if (seam_now(w->dispatch->clock) > o->send_by)
		rc = seam_fail(&e, SEAM_UNAVAILABLE, "too late to be sent");
	else if (o->stop)
		rc = send_stop(w, o, &said, &e);
	else
		rc = send_start(w, o, &said, &unknown, &e);
	if (w->dead)
		return;
	if (!rc && !o->stop && said == SEAM_ORDER_DONE) {
		seam_count_add(&starts, 1);
		set_runs(w, w->runs + 1);
	}
	dispatch_tell_answer(w->dispatch, o, rc, said, unknown, &e);
}

static void *order_loop(void *arg)
{
	struct seam_dispatch_worker *w = arg;
	struct seam_dispatch *d = w->dispatch;
	struct seam_lane_order *o;

	pthread_mutex_lock(&d->lock);
	while (!w->dead) {
		o = g_queue_pop_head(&w->orders);
		if (!o) {
			seam_wait(d->clock, &w->wake, &d->lock, SEAM_NEVER);
			continue;
		}
		send_order(w, o);
		dispatch_free_order(o);
	}
	thread_ended(w);
	pthread_mutex_unlock(&d->lock);
	return NULL;
}

/* Without its threads a worker is told as silent, so that it goes elsewhere. */
static void start_threads(struct seam_dispatch_worker *w)
{
	static void *(*const loops[])(void *arg) = {look_loop, order_loop};
	struct seam_err e = SEAM_ERR_INIT;
	pthread_attr_t a;
	pthread_t t;

	pthread_attr_init(&a);
	pthread_attr_setstacksize(&a, STACK_BYTES);
	pthread_attr_setdetachstate(&a, PTHREAD_CREATE_DETACHED);
	while (w->loops < 2 && !pthread_create(&t, &a, loops[w->loops], w))
		w->loops++;
	pthread_attr_destroy(&a);
	if (w->loops == 2)
		return;
	seam_log(SEAM_ERROR, "dispatch",
		 "event=no_thread worker=%s workers=%zu", w->id,
		 seam_table_count(w->dispatch->workers));
	seam_fail(&e, SEAM_NO_MEMORY, "no thread for the worker");
	look_failed(w, -1, SEAM_ORDER_INVALID, &e);
	dispatch_worker_drop(w);
	w->loops++;
	thread_ended(w);
}

void dispatch_worker_add(struct seam_dispatch *d,
			 const struct seam_lane_worker *row)
{
	struct seam_handle h;
	struct seam_dispatch_worker *w = seam_table_add(d->workers, &h);

	if (!w)
		return;
	w->dispatch = d;
	w->self = h;
	w->key = row->key;
	snprintf(w->id, sizeof(w->id), "%s", row->id);
	w->lease_until = row->lease_until;
	w->acked = row->acked;
	w->born_ms = row->born_ms;
	w->conn = d->runners->ops->open(d->runners, row->id, row->addr);
	g_queue_init(&w->orders);
	seam_cond_init(&w->wake);
	seam_cond_init(&w->acks);
	g_hash_table_insert(d->worker_of, GUINT_TO_POINTER(row->key), w);
	seam_count_set(&served, (int64_t)seam_table_count(d->workers));
	start_threads(w);
}

void dispatch_worker_change(struct seam_dispatch_worker *w,
			    const struct seam_lane_worker *row)
{
	/* What is told of another life does not hold for this one. */
	if (row->born_ms && w->born_ms && row->born_ms != w->born_ms)
		return;
	if (row->lease_until > w->lease_until)
		w->lease_until = row->lease_until;
	if (row->acked > w->acked) {
		w->acked = row->acked;
		pthread_cond_signal(&w->acks);
	}
}

void dispatch_worker_order(struct seam_dispatch_worker *w,
			   struct seam_lane_order *o)
{
	/* A stop frees room that a start may wait for. */
	if (o->stop)
		g_queue_push_head(&w->orders, o);
	else
		g_queue_push_tail(&w->orders, o);
	pthread_cond_signal(&w->wake);
}
