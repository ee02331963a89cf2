/* A worker that a node serves: its entry, and the thread that polls it. */
#include "process/dispatch_impl.h"
#include "base/metrics.h"
#include "base/log.h"
#include "process/poll_interval.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define POLL_TIMEOUT_MARGIN (450 * SEAM_MSEC) /* beyond the poll's wait */
/* Bounds the time between lease renewals of a worker with runs: the rest of its
 * lease has to outlast the takeover by another owner. */
#define POLL_WAIT_MS 700
#define POLL_WAIT_IDLE_MS 1800
/*
 * A worker is silent once it has not answered for as long as a poll that waits
 * takes to fail. The lost answer to a poll that does not wait shows nothing:
 * its lease would run out, and its starts would wait, each time that one is
 * lost.
 */
#define SILENT_AFTER (POLL_WAIT_MS * SEAM_MSEC + POLL_TIMEOUT_MARGIN)
/*
 * Polls do not wait while so many of the latest eight got no answer: one that
 * waits is noticed as lost only after its wait.
 */
#define LOST_POLLS_MAX 2
/*
 * While polls are lost, further threads poll the worker: with nine in ten lost,
 * one poll at a time is not answered within SILENT_AFTER a quarter of the time,
 * three are within it 49 of 50 times.
 */
#define REPEAT_THREADS_MAX 2
/* Of all such threads of a node: an eighth of a core at 150 us for each poll.
 */
#define REPEATS_PER_S 800
/*
 * They go on for so long after the last answer: a start without one keeps its
 * task waiting until it can come no more, and an end that is heard late still
 * counts.
 */
#define REPEAT_UNHEARD_MAX (14 * SEAM_SEC)
/* libcurl takes whole milliseconds. */
#define TIMEOUT_ROUNDING (2 * SEAM_MSEC)
#define POLL_FIRST_RETRY_USEC 30000 /* after the first failed poll */
#define POLL_RETRY_USEC 50000
/* A worker answers a poll immediately while it has unacknowledged ended runs,
 * so the next poll waits for the acknowledgement, at most as long as a
 * commit takes. */
#define ACK_TIMEOUT (120 * SEAM_MSEC)
/* An unchanged listing is reported once in this interval. */
#define REPORT_INTERVAL (300 * SEAM_MSEC)
/* Every fourth time with its runs, for their progress and checkpoints: these
 * are most of the bytes that the owner receives. */
#define FULL_REPORT_INTERVAL (4 * REPORT_INTERVAL)
#define STACK_BYTES (256u << 10) /* small, as each worker has a thread */

SEAM_METRIC(polls, "seam_worker_holds_total", "Leases renewed and looks.");
SEAM_METRIC(served, "seam_dispatch_workers",
	    "Workers that this node serves for the owner.");

void dispatch_worker_set_runs(struct seam_dispatch_worker *w, size_t runs)
{
	w->dispatch->busy_workers -= w->runs > 0;
	w->runs = runs;
	w->dispatch->busy_workers += w->runs > 0;
}

void dispatch_worker_drop(struct seam_dispatch_worker *w)
{
	dispatch_worker_set_runs(w, 0);
	w->removed = true;
	pthread_cond_signal(&w->orders_changed);
	pthread_cond_signal(&w->acks_changed);
	g_hash_table_remove(w->dispatch->worker_by_key,
			    GUINT_TO_POINTER(w->key));
}

void dispatch_worker_release_thread(struct seam_dispatch_worker *w)
{
	struct seam_dispatch *d = w->dispatch;
	struct seam_dispatch_order *o;

	if (--w->thread_count)
		return;
	while ((o = g_queue_pop_head(&w->orders)))
		dispatch_free_order(o);
	if (w->conn)
		w->conn->ops->close(w->conn);
	pthread_cond_destroy(&w->orders_changed);
	pthread_cond_destroy(&w->acks_changed);
	seam_table_del(d->workers, w->self);
	seam_metric_set(&served, (int64_t)seam_table_count(d->workers));
	pthread_cond_broadcast(&d->worker_freed);
}

/* Computes a hash that does not depend on the order of the runs. */
static uint64_t hash_listing(const struct seam_listing *l)
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

/* Whether @l differs from the last report. */
static bool has_changed(const struct seam_dispatch_worker *w,
			const struct seam_listing *l, uint64_t hash,
			uint64_t token)
{
	return !w->answered || hash != w->reported_hash ||
	       token != w->reported_token || l->more_ends != w->reported_more ||
	       (l->ends && l->end[l->ends - 1].number > w->reported_end);
}

/*
 * Whether the runs need not be reported again. After an order they are: the
 * owner repeats a stop that did not end its run.
 */
static bool may_omit_runs(const struct seam_dispatch_worker *w, bool changed,
			  seam_time now)
{
	return !changed && !w->order_since &&
	       now < w->full_report_at + FULL_REPORT_INTERVAL;
}

static void report_listing(struct seam_dispatch_worker *w,
			   struct seam_listing *l, bool changed,
			   seam_time sent_at, uint64_t token)
{
	seam_time now = seam_now(w->dispatch->clock);
	struct seam_lane_event *v =
		dispatch_add_event(w->dispatch, w->key, SEAM_LANE_LISTED);

	v->sent_at = sent_at;
	v->token = token == w->dispatch->session.token ? 0 : token;
	v->unchanged = may_omit_runs(w, changed, now);
	if (v->unchanged) {
		seam_listing_free(l);
		l->runs = 0;
		l->ends = 0;
	} else {
		w->full_report_at = now;
		w->order_since = false;
	}
	v->listing = *l;
}

/* Discards the orders and the lease that were meant for the process before the
 * restart. */
static void reset_after_restart(struct seam_dispatch_worker *w)
{
	dispatch_worker_reject_orders(w, "the worker has restarted");
	w->restarts++;
	w->lease_until = 0;
	w->acked = 0;
	w->reported_end = 0;
	w->unconfirmed_token = 0;
	w->answered = false;
}

static void handle_listing(struct seam_dispatch_worker *w,
			   struct seam_listing *l, seam_time sent_at,
			   uint64_t token)
{
	uint64_t hash = hash_listing(l);
	seam_time now = seam_now(w->dispatch->clock);
	bool changed;

	w->listed_at = sent_at;
	w->valid_since = MAX(w->valid_since, sent_at);
	if (token > w->unconfirmed_token)
		w->unconfirmed_token = 0;
	if (l->process_start_ms && w->process_start_ms &&
	    l->process_start_ms != w->process_start_ms) {
		reset_after_restart(w);
		w->process_is_new = true;
	}
	if (l->process_start_ms)
		w->process_start_ms = l->process_start_ms;
	dispatch_worker_set_runs(w, l->runs);
	changed = has_changed(w, l, hash, token);
	if (!changed && now < w->reported_at + REPORT_INTERVAL) {
		seam_listing_free(l);
		return;
	}
	w->answered = true;
	pthread_cond_signal(&w->orders_changed);
	w->reported_hash = hash;
	w->reported_at = now;
	w->reported_token = token;
	w->reported_more = l->more_ends;
	if (l->ends)
		w->reported_end = l->end[l->ends - 1].number;
	report_listing(w, l, changed, sent_at, token);
}

static void report_no_answer(struct seam_dispatch_worker *w, int rc,
			     enum seam_order_outcome outcome,
			     const struct seam_err *e)
{
	struct seam_lane_event *v =
		dispatch_add_event(w->dispatch, w->key, SEAM_LANE_SILENT);

	w->answered = false;
	v->failed = rc ? e->kind : SEAM_OK;
	v->outcome = outcome;
	snprintf(v->why, sizeof(v->why), "%.60s", rc ? e->text : "");
}

static bool loses_polls(const struct seam_dispatch_worker *w)
{
	return __builtin_popcount(w->lost_polls) >= LOST_POLLS_MAX;
}

/* Whether a call that has just failed did so by its deadline. */
bool dispatch_timed_out(const struct seam_dispatch_worker *w,
			seam_time deadline)
{
	return seam_now(w->dispatch->clock) >= deadline - TIMEOUT_ROUNDING;
}

/* Notes whether a poll was answered, or had no answer until its @deadline. A
 * call that fails at once is not lost on the path. */
static void note_poll(struct seam_dispatch_worker *w, bool answered,
		      seam_time deadline)
{
	bool lost = !answered && dispatch_timed_out(w, deadline);

	w->lost_polls = (uint8_t)(w->lost_polls << 1 | lost);
	if (!answered && !lost)
		w->lost_polls = 0;
	w->failed_polls = answered ? 0 : w->failed_polls + 1;
	if (!answered)
		return;
	w->heard_at = seam_now(w->dispatch->clock);
	if (loses_polls(w) && w->answer_time.estimate <= SEAM_QUICK_ANSWER_MAX)
		w->dispatch->loss_seen_at = w->heard_at;
}

/*
 * Whether the worker has to be heard soon though polls are lost. Slow answers
 * show a queue, or a node without processor time, which more polls would
 * lengthen.
 */
static bool polls_quickly(const struct seam_dispatch_worker *w)
{
	return loses_polls(w) &&
	       w->answer_time.estimate <= SEAM_QUICK_ANSWER_MAX &&
	       (w->runs || w->orders.length || w->unconfirmed_token);
}

/*
 * Returns the timeout of a poll beyond its wait. The first thread has a long
 * try now and then, for a worker that has become slow.
 */
static seam_time poll_margin(const struct seam_dispatch_worker *w, bool first)
{
	unsigned tries = first && w->failed_polls ? w->failed_polls - 1 : 0;

	if (!w->failed_polls && !polls_quickly(w))
		return POLL_TIMEOUT_MARGIN;
	return seam_answer_timeout(&w->answer_time, tries, POLL_TIMEOUT_MARGIN);
}

/*
 * Whether a poll that has just failed shows no more than a lost answer: it
 * timed out, and the worker was heard shortly before.
 */
static bool is_lost_answer(const struct seam_dispatch_worker *w,
			   seam_time deadline)
{
	return w->answered && dispatch_timed_out(w, deadline) &&
	       seam_now(w->dispatch->clock) < w->heard_at + SILENT_AFTER;
}

/*
 * Polls once, as the first thread of the worker or as a further one; returns
 * the delay before the next poll, microseconds.
 */
static unsigned poll_worker(struct seam_dispatch_worker *w, bool first)
{
	struct seam_dispatch *d = w->dispatch;
	seam_time now = seam_now(d->clock);
	/* The lease of a silent worker is not renewed: if only answers are
	 * lost, the lease still has to expire. After an unanswered poll the
	 * worker may have restarted, which resets the numbers of its ended
	 * runs. */
	struct seam_renewal h = {
		.token = w->token,
		.acked = w->answered && !w->failed_polls ? w->acked : 0,
		.lease_until = w->answered ? w->lease_until : 0};
	enum seam_order_outcome outcome = SEAM_ORDER_INVALID;
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_listing l = {0};
	seam_time deadline;
	int rc;

	/* The answer to the first poll with a token is waited for. */
	if (h.lease_until && h.token == w->reported_token && !polls_quickly(w))
		h.wait_ms = w->runs ? POLL_WAIT_MS : POLL_WAIT_IDLE_MS;
	deadline = now + h.wait_ms * SEAM_MSEC + poll_margin(w, first);
	pthread_mutex_unlock(&d->lock);
	seam_metric_add(&polls, 1);
	rc = w->conn->ops->renew_and_list(w->conn, &h, &outcome, &l, deadline,
					  &e);
	pthread_mutex_lock(&d->lock);
	if (w->removed) {
		if (!rc && outcome == SEAM_ORDER_DONE)
			seam_listing_free(&l);
		return 0;
	}
	/* A later poll was answered or refused first. */
	if (!rc && now < w->valid_since) {
		if (outcome == SEAM_ORDER_DONE)
			seam_listing_free(&l);
		return (unsigned)seam_poll_interval(d->busy_workers);
	}
	/* An order with a later token came first. */
	if (!rc && outcome == SEAM_ORDER_FENCED && h.token != w->token)
		return POLL_FIRST_RETRY_USEC;
	note_poll(w, !rc && outcome == SEAM_ORDER_DONE, deadline);
	if (rc && is_lost_answer(w, deadline))
		return (unsigned)seam_poll_interval(d->busy_workers);
	if (rc || outcome != SEAM_ORDER_DONE) {
		bool first_failure = rc && w->answered;

		w->valid_since = MAX(w->valid_since, now);
		report_no_answer(w, rc, outcome, &e);
		return first_failure ? POLL_FIRST_RETRY_USEC : POLL_RETRY_USEC;
	}
	if (!h.wait_ms)
		seam_answer_time_note(&w->answer_time,
				      seam_now(d->clock) - now);
	handle_listing(w, &l, now, h.token);
	return (unsigned)seam_poll_interval(d->busy_workers);
}

/* Waits until the ended runs that were reported are acknowledged. */
static void wait_for_acks(struct seam_dispatch_worker *w)
{
	struct seam_clock *k = w->dispatch->clock;
	seam_time until = seam_now(k) + ACK_TIMEOUT;

	while (!w->removed && w->answered && !loses_polls(w) &&
	       w->acked < w->reported_end && seam_now(k) < until)
		seam_wait(k, &w->acks_changed, &w->dispatch->lock, until);
}

/*
 * Whether calls that get no answer are lost rather than delayed in a queue, so
 * that more of them at a time help.
 */
bool dispatch_worker_answers_quickly(const struct seam_dispatch_worker *w)
{
	return w->answered && w->answer_time.estimate <= SEAM_QUICK_ANSWER_MAX;
}

/* Whether the path to the worker loses answers, and has no queue. */
bool dispatch_worker_loses_calls(const struct seam_dispatch_worker *w)
{
	return loses_polls(w) && dispatch_worker_answers_quickly(w);
}

/* Whether threads that repeat polls go on. */
static bool goes_on_repeating(const struct seam_dispatch_worker *w)
{
	return polls_quickly(w) &&
	       seam_now(w->dispatch->clock) < w->heard_at + REPEAT_UNHEARD_MAX;
}

/*
 * Whether they may begin. A worker that falls silent may be cut off or behind a
 * queue, unless other workers of the node lose polls and answer quickly.
 */
static bool may_begin_repeating(const struct seam_dispatch_worker *w)
{
	const struct seam_dispatch *d = w->dispatch;

	return goes_on_repeating(w) &&
	       (w->answered ||
		seam_now(d->clock) < d->loss_seen_at + SILENT_AFTER);
}

/* Polls beside the first thread of the worker while polls are lost. */
static void *repeat_loop(void *arg)
{
	struct seam_dispatch_worker *w = arg;
	struct seam_dispatch *d = w->dispatch;
	unsigned pause;
	unsigned least;

	pthread_mutex_lock(&d->lock);
	while (dispatch_check_session(w) && goes_on_repeating(w)) {
		pause = poll_worker(w, false);
		least = (unsigned)d->repeat_threads * (unsigned)SEAM_SEC /
			REPEATS_PER_S;
		pthread_mutex_unlock(&d->lock);
		g_usleep(MAX(pause, least));
		pthread_mutex_lock(&d->lock);
	}
	w->repeat_threads--;
	d->repeat_threads--;
	dispatch_worker_release_thread(w);
	pthread_mutex_unlock(&d->lock);
	return NULL;
}

static void repeat_polls(struct seam_dispatch_worker *w)
{
	if (w->removed || w->repeat_threads >= REPEAT_THREADS_MAX ||
	    !may_begin_repeating(w) ||
	    dispatch_worker_start_thread(w, repeat_loop))
		return;
	w->repeat_threads++;
	w->dispatch->repeat_threads++;
}

static void *poll_loop(void *arg)
{
	struct seam_dispatch_worker *w = arg;
	struct seam_dispatch *d = w->dispatch;
	unsigned pause;

	pthread_mutex_lock(&d->lock);
	while (dispatch_check_session(w)) {
		pause = poll_worker(w, true);
		repeat_polls(w);
		pthread_mutex_unlock(&d->lock);
		g_usleep(pause);
		pthread_mutex_lock(&d->lock);
		wait_for_acks(w);
	}
	dispatch_worker_release_thread(w);
	pthread_mutex_unlock(&d->lock);
	return NULL;
}

int dispatch_worker_start_thread(struct seam_dispatch_worker *w,
				 void *(*run)(void *arg))
{
	pthread_attr_t a;
	pthread_t t;
	int rc;

	pthread_attr_init(&a);
	pthread_attr_setstacksize(&a, STACK_BYTES);
	pthread_attr_setdetachstate(&a, PTHREAD_CREATE_DETACHED);
	rc = pthread_create(&t, &a, run, w);
	pthread_attr_destroy(&a);
	if (rc)
		return -1;
	w->thread_count++;
	return 0;
}

/* Reports the worker as not answering, so that the owner assigns it to another
 * node, and frees it when its threads have ended. */
static void reject_worker(struct seam_dispatch_worker *w, const char *event,
			  const char *why)
{
	struct seam_err e = SEAM_ERR_INIT;

	seam_log(SEAM_ERROR, "dispatch", "event=%s worker=%s workers=%zu",
		 event, w->id, seam_table_count(w->dispatch->workers));
	seam_fail(&e, SEAM_NO_MEMORY, "%s", why);
	report_no_answer(w, -1, SEAM_ORDER_INVALID, &e);
	dispatch_worker_drop(w);
	w->thread_count++;
	dispatch_worker_release_thread(w);
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
	w->heard_at = seam_now(d->clock);
	w->process_start_ms = row->process_start_ms;
	w->token = row->token ? row->token : d->session.token;
	w->conn = d->runners->ops->open(d->runners, row->id, row->addr);
	g_queue_init(&w->orders);
	g_queue_init(&w->sending);
	seam_cond_init(&w->orders_changed);
	seam_cond_init(&w->acks_changed);
	g_hash_table_insert(d->worker_by_key, GUINT_TO_POINTER(row->key), w);
	seam_metric_set(&served, (int64_t)seam_table_count(d->workers));
	if (!w->conn)
		reject_worker(w, "no_connection",
			      "cannot open a connection to the worker");
	else if (dispatch_worker_start_thread(w, poll_loop))
		reject_worker(w, "no_thread",
			      "cannot create a thread for the worker");
}

void dispatch_worker_change(struct seam_dispatch_worker *w,
			    const struct seam_lane_worker *row)
{
	uint64_t token = row->token ? row->token : w->dispatch->session.token;

	if (row->process_start_ms && w->process_start_ms &&
	    row->process_start_ms != w->process_start_ms) {
		/* Each later process has a higher token. */
		if (token <= w->token)
			return;
		reset_after_restart(w);
		w->process_start_ms = row->process_start_ms;
		w->process_is_new = false;
		w->token = token;
		return;
	}
	w->process_is_new = false;
	if (token > w->token)
		w->token = token;
	if (row->lease_until > w->lease_until)
		w->lease_until = row->lease_until;
	if (row->acked > w->acked) {
		w->acked = row->acked;
		pthread_cond_signal(&w->acks_changed);
	}
}
