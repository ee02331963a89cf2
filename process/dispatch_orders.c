/* The threads that send a worker its orders, while there are any. */
#include "process/dispatch_impl.h"
#include "base/metrics.h"

/* Workers answer within a few milliseconds; the orders queued behind one that
 * is not answered wait for the timeout. */
#define ORDER_TIMEOUT (350 * SEAM_MSEC)
/* A repeated start has no effect on a worker, so a start without an answer is
 * repeated soon. Each try without an answer may come late to a later process,
 * which runs the task once more, so a worker that answers polls and no start
 * gets no more of them. */
#define START_TIMEOUT (150 * SEAM_MSEC)
#define START_ATTEMPTS_MAX 7
/* While polls are lost as well, a start is repeated for as long as the slowest
 * of these tries take: with nine in ten calls lost, seven quick ones get an
 * answer half of the time. */
#define START_REPEAT_MAX (START_ATTEMPTS_MAX * START_TIMEOUT)
/* A repeated stop has no effect either. The orders behind it wait, so it is
 * given up sooner; the owner orders it again. */
#define STOP_TIMEOUT (150 * SEAM_MSEC)
#define STOP_ATTEMPTS_MAX 3
/* The thread for orders ends when there was none for this time. Busy workers
 * get several starts a second, and a new thread for each would cost 50 us. */
#define ORDER_THREAD_IDLE_MAX (1 * SEAM_SEC)
/* While polls are lost as well, so many more threads send the orders behind a
 * lost call. The tasks of a step are often placed on one worker, and one start
 * after another takes half a second each with nine in ten calls lost. A worker
 * that answers polls and no start gets no more starts at a time: each of them
 * may come late. */
#define MORE_ORDER_THREADS_MAX 7

SEAM_METRIC(starts, "seam_starts_total", "Starts that workers accepted.");

/* Reports that no order which waits is sent. */
void dispatch_worker_reject_orders(struct seam_dispatch_worker *w,
				   const char *why)
{
	struct seam_dispatch_order *o;

	while ((o = g_queue_pop_head(&w->orders))) {
		dispatch_reject_order(w->dispatch, &o->order, why);
		dispatch_free_order(o);
	}
}

/* Notes that @o has waited since @began for a call without an answer. Calls
 * that were lost at the same time count once. */
static void note_lost_time(struct seam_dispatch_order *o, seam_time began,
			   seam_time now)
{
	began = MAX(began, o->queued_at);
	o->lost += now - MAX(began, o->lost_until);
	o->lost_until = now;
}

/* Notes that the orders which wait have waited since @began, or since they
 * came, for a call without an answer. */
static void note_lost_call(struct seam_dispatch_worker *w, seam_time began)
{
	seam_time now = seam_now(w->dispatch->clock);
	GList *at;

	for (at = w->orders.head; at; at = at->next)
		note_lost_time(at->data, began, now);
}

/* The process that a call is made to, as far as it is known. */
struct call_target {
	int64_t process_start_ms;
	unsigned restarts;
	uint64_t token;
};

static struct call_target target_of(const struct seam_dispatch_worker *w)
{
	return (struct call_target){w->process_start_ms, w->restarts, w->token};
}

/*
 * Whether the worker may have restarted since. A later token alone does not
 * show it: an earlier order without an answer raises the token as well. It does
 * where no process was known.
 */
static bool may_have_restarted(const struct seam_dispatch_worker *w,
			       const struct call_target *t)
{
	return w->restarts != t->restarts ||
	       w->process_start_ms != t->process_start_ms ||
	       (!t->process_start_ms && w->token != t->token);
}

static void note_answer(struct seam_dispatch_worker *w,
			struct seam_dispatch_order *o, seam_time began)
{
	o->call_time = seam_now(w->dispatch->clock) - began;
	seam_answer_time_note(&w->answer_time, o->call_time);
}

static void send_more_orders(struct seam_dispatch_worker *w);

/* Whether a start that has timed out is sent again to the same process. */
static bool may_repeat_start(const struct seam_dispatch_worker *w,
			     const struct seam_dispatch_order *o,
			     seam_time deadline)
{
	if (o->calls < START_ATTEMPTS_MAX)
		return true;
	return dispatch_worker_loses_calls(w) &&
	       dispatch_timed_out(w, deadline) &&
	       seam_now(w->dispatch->clock) + START_TIMEOUT <
		       o->order.send_by + START_REPEAT_MAX;
}

/* Retries a start until it is answered; releases the lock during the calls. It
 * is not sent to another process, as its lease goes by the clock of the first.
 * @clock_ms receives the worker's clock of the answer.
 */
static int send_start(struct seam_dispatch_worker *w,
		      struct seam_dispatch_order *to_send,
		      enum seam_order_outcome *outcome, bool *unknown,
		      int64_t *clock_ms, struct seam_err *e)
{
	const struct seam_lane_order *o = &to_send->order;
	struct seam_dispatch *d = w->dispatch;
	struct seam_start s = {.task = o->task,
			       .run = o->run,
			       .text = o->text,
			       .text_len = o->text_len,
			       .token = w->token,
			       .lease_until = o->lease_until,
			       .checkpoint = o->checkpoint};
	struct call_target target = target_of(w);
	seam_time deadline = 0;
	int rc = -1;

	while (may_repeat_start(w, to_send, deadline)) {
		seam_time now = seam_now(d->clock);

		deadline = now + seam_answer_timeout(&w->answer_time,
						     to_send->calls,
						     START_TIMEOUT);

		if (to_send->calls &&
		    (now > o->repeat_by || may_have_restarted(w, &target)))
			break;
		s.token = w->token;
		to_send->calls++;
		seam_err_clear(e);
		pthread_mutex_unlock(&d->lock);
		rc = w->conn->ops->start(w->conn, &s, outcome, clock_ms,
					 deadline, e);
		pthread_mutex_lock(&d->lock);
		*unknown = *unknown || (rc && e->kind == SEAM_COMMIT_UNKNOWN);
		if (!rc)
			note_answer(w, to_send, now);
		if (!rc || w->removed)
			break;
		note_lost_time(to_send, now, seam_now(d->clock));
		note_lost_call(w, now);
		send_more_orders(w);
	}
	return rc;
}

/* Fails if the order may not be sent any more. */
static int check_deadline(const struct seam_dispatch_worker *w,
			  const struct seam_lane_order *o, struct seam_err *e)
{
	if (w->removed)
		return seam_fail(e, SEAM_UNAVAILABLE, "the session has ended");
	if (seam_now(w->dispatch->clock) > o->send_by)
		return seam_fail(e, SEAM_UNAVAILABLE,
				 "the deadline for sending has passed");
	return 0;
}

/*
 * Polls the worker until it has answered this or another poll that was sent
 * meanwhile. Returns whether a process has, and notes in @process_start_ms
 * which one. Releases the lock during the calls.
 */
static bool ask_process(struct seam_dispatch_worker *w,
			int64_t *process_start_ms, struct seam_err *e)
{
	struct seam_dispatch *d = w->dispatch;
	enum seam_order_outcome outcome = SEAM_ORDER_INVALID;
	seam_time began = seam_now(d->clock);
	seam_time until = began + ORDER_TIMEOUT;
	seam_time deadline;
	int rc;

	do {
		struct seam_renewal h = {.token = w->token};
		struct seam_listing l = {0};

		deadline = until;
		if (dispatch_worker_answers_quickly(w))
			deadline = MIN(
				until,
				seam_now(d->clock) +
					seam_answer_timeout(&w->answer_time, 0,
							    ORDER_TIMEOUT));
		seam_err_clear(e);
		pthread_mutex_unlock(&d->lock);
		rc = w->conn->ops->renew_and_list(w->conn, &h, &outcome, &l,
						  deadline, e);
		pthread_mutex_lock(&d->lock);
		if (!rc && outcome == SEAM_ORDER_DONE) {
			*process_start_ms = l.process_start_ms;
			seam_listing_free(&l);
			return true;
		}
		*process_start_ms = w->process_start_ms;
		if (w->listed_at >= began)
			return true;
	} while (rc && !w->removed && dispatch_timed_out(w, deadline) &&
		 deadline < until);
	/* Further starts wait for the answer to the next poll. */
	if (!rc || !dispatch_timed_out(w, deadline))
		w->answered = false;
	return false;
}

/* Fails if another process answers a poll than the one that the order is meant
 * for. Releases the lock during the calls. */
static int check_process(struct seam_dispatch_worker *w, struct seam_err *e)
{
	int64_t expected = w->process_start_ms;
	struct seam_err why = SEAM_ERR_INIT;
	seam_time began = seam_now(w->dispatch->clock);
	int64_t answered = 0;

	if (ask_process(w, &answered, &why)) {
		if (answered == expected && w->process_start_ms == expected)
			return 0;
		w->answered = false;
	}
	note_lost_call(w, began);
	return seam_fail(e, SEAM_UNAVAILABLE, "no answer of the process: %.30s",
			 why.text);
}

/* Retries a stop until it is answered; releases the lock during the calls. */
static int send_stop(struct seam_dispatch_worker *w,
		     const struct seam_lane_order *o,
		     enum seam_order_outcome *outcome, struct seam_err *e)
{
	struct seam_dispatch *d = w->dispatch;
	struct call_target target = target_of(w);
	uint64_t token;
	int attempts;
	int rc = -1;

	for (attempts = 0; attempts < STOP_ATTEMPTS_MAX; attempts++) {
		seam_time now = seam_now(d->clock);

		if (attempts &&
		    (now > o->send_by || may_have_restarted(w, &target)))
			break;
		token = w->token;
		seam_err_clear(e);
		pthread_mutex_unlock(&d->lock);
		rc = w->conn->ops->stop(w->conn, o->task, o->run, token,
					outcome, now + STOP_TIMEOUT, e);
		pthread_mutex_lock(&d->lock);
		if (!rc || w->removed)
			break;
		note_lost_call(w, now);
		send_more_orders(w);
	}
	return rc;
}

static bool is_start_of(const struct seam_lane_order *o,
			const struct seam_lane_order *stop)
{
	return !o->stop && o->run == stop->run && !strcmp(o->task, stop->task);
}

/* Whether a start of the run that @o stops is being sent. */
static bool is_being_started(const struct seam_dispatch_worker *w,
			     const struct seam_lane_order *o)
{
	const GList *at;

	for (at = w->sending.head; at; at = at->next) {
		const struct seam_dispatch_order *s = at->data;

		if (is_start_of(&s->order, o))
			return true;
	}
	return false;
}

/*
 * Whether an order that waits may be sent. A start waits while the worker is
 * silent: it may have restarted, and the answer to the next poll tells. A stop
 * waits for the start of its run: the owner takes a run that was stopped for
 * over, and would not know that the start may come late.
 */
static bool may_send(const struct seam_dispatch_worker *w,
		     const struct seam_lane_order *o)
{
	if (o->stop)
		return !is_being_started(w, o);
	return w->answered || seam_now(w->dispatch->clock) > o->send_by;
}

/* Removes and returns the next order that may be sent, or NULL. */
static struct seam_dispatch_order *pop_order(struct seam_dispatch_worker *w)
{
	GList *at;

	for (at = w->orders.head; at; at = at->next) {
		struct seam_dispatch_order *o = at->data;

		if (!may_send(w, &o->order))
			continue;
		g_queue_delete_link(&w->orders, at);
		return o;
	}
	return NULL;
}

static void send_order(struct seam_dispatch_worker *w,
		       struct seam_dispatch_order *to_send)
{
	const struct seam_lane_order *o = &to_send->order;
	enum seam_order_outcome outcome = SEAM_ORDER_INVALID;
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_lane_event *v;
	int64_t clock_ms = 0;
	bool unknown = false;
	int rc;

	rc = check_deadline(w, o, &e);
	if (!rc && o->poll_first) {
		rc = check_process(w, &e);
		/* The poll may have taken long. */
		rc = rc ? rc : check_deadline(w, o, &e);
	}
	if (!rc && o->stop)
		rc = send_stop(w, o, &outcome, &e);
	else if (!rc)
		rc = send_start(w, to_send, &outcome, &unknown, &clock_ms, &e);
	if (w->removed)
		return;
	if (!rc && !o->stop && outcome == SEAM_ORDER_DONE) {
		seam_metric_add(&starts, 1);
		dispatch_worker_set_runs(w, w->runs + 1);
	}
	if (unknown && rc)
		w->unconfirmed_token = MAX(w->unconfirmed_token, w->token);
	w->order_since = true;
	v = dispatch_report_answer(w->dispatch, o, rc, outcome, unknown, &e);
	if (!rc && clock_ms)
		v->lease_ms = o->lease_until - clock_ms;
	v->calls = to_send->calls;
	v->call_ms =
		MIN(to_send->call_time / SEAM_MSEC, SEAM_LANE_CALLS_MS_MAX);
	v->lost_ms = MIN(to_send->lost / SEAM_MSEC, SEAM_LANE_CALLS_MS_MAX);
}

/* Sends an order that was taken from the queue, and frees it. */
static void carry_out(struct seam_dispatch_worker *w,
		      struct seam_dispatch_order *o)
{
	g_queue_push_tail(&w->sending, o);
	send_order(w, o);
	g_queue_remove(&w->sending, o);
	dispatch_free_order(o);
	/* A stop may have waited for it. */
	pthread_cond_signal(&w->orders_changed);
}

/*
 * Returns when the thread for orders has something to do, or ends. A stop that
 * waits for a start is sent when that one has been.
 */
static seam_time next_order_deadline(const struct seam_dispatch_worker *w)
{
	seam_time at = SEAM_NEVER;
	const GList *l;

	if (g_queue_is_empty((GQueue *)&w->orders))
		return w->order_thread_until;
	for (l = w->orders.head; l; l = l->next) {
		const struct seam_dispatch_order *o = l->data;

		if (!o->order.stop && o->order.send_by < at)
			at = o->order.send_by + 1;
	}
	return at;
}

static bool may_end_order_thread(const struct seam_dispatch_worker *w)
{
	return g_queue_is_empty((GQueue *)&w->orders) &&
	       seam_now(w->dispatch->clock) >= w->order_thread_until;
}

/* Sends orders beside the first thread until none waits. */
static void *more_orders_loop(void *arg)
{
	struct seam_dispatch_worker *w = arg;
	struct seam_dispatch *d = w->dispatch;
	struct seam_dispatch_order *o;

	pthread_mutex_lock(&d->lock);
	while (!w->removed && (o = pop_order(w)))
		carry_out(w, o);
	w->more_order_threads--;
	dispatch_worker_release_thread(w);
	pthread_mutex_unlock(&d->lock);
	return NULL;
}

/* Starts another thread for the orders behind one whose call was lost. */
static void send_more_orders(struct seam_dispatch_worker *w)
{
	if (g_queue_is_empty(&w->orders) ||
	    w->more_order_threads >= MORE_ORDER_THREADS_MAX ||
	    !dispatch_worker_loses_calls(w) ||
	    dispatch_worker_start_thread(w, more_orders_loop))
		return;
	w->more_order_threads++;
}

static void *order_loop(void *arg)
{
	struct seam_dispatch_worker *w = arg;
	struct seam_dispatch *d = w->dispatch;
	struct seam_dispatch_order *o;
	seam_time began;

	pthread_mutex_lock(&d->lock);
	w->order_thread_until = seam_now(d->clock) + ORDER_THREAD_IDLE_MAX;
	while (!w->removed && !may_end_order_thread(w)) {
		o = pop_order(w);
		if (!o) {
			began = seam_now(d->clock);
			seam_wait(d->clock, &w->orders_changed, &d->lock,
				  next_order_deadline(w));
			/* Orders that wait here wait for an answered poll. */
			note_lost_call(w, began);
			continue;
		}
		carry_out(w, o);
		w->order_thread_until =
			seam_now(d->clock) + ORDER_THREAD_IDLE_MAX;
	}
	w->order_thread = false;
	dispatch_worker_release_thread(w);
	pthread_mutex_unlock(&d->lock);
	return NULL;
}

/* Rejects the start of the run that @stop stops, if it waits to be sent. */
static void withdraw_start(struct seam_dispatch_worker *w,
			   const struct seam_lane_order *stop)
{
	GList *at;

	for (at = w->orders.head; at; at = at->next) {
		struct seam_dispatch_order *o = at->data;

		if (!is_start_of(&o->order, stop))
			continue;
		dispatch_reject_order(w->dispatch, &o->order,
				      "the run is to be stopped");
		g_queue_delete_link(&w->orders, at);
		dispatch_free_order(o);
		return;
	}
}

void dispatch_worker_queue_order(struct seam_dispatch_worker *w,
				 struct seam_dispatch_order *o)
{
	if (o->order.stop)
		withdraw_start(w, &o->order);
	/* A stop goes first: it frees resources that a start may need. */
	if (o->order.stop)
		g_queue_push_head(&w->orders, o);
	else
		g_queue_push_tail(&w->orders, o);
	if (w->order_thread) {
		pthread_cond_signal(&w->orders_changed);
		return;
	}
	w->order_thread = !dispatch_worker_start_thread(w, order_loop);
	if (!w->order_thread)
		dispatch_worker_reject_orders(
			w, "the node has no thread for orders");
}
