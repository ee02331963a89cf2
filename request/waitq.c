#include "request/waitq.h"
#include "base/metrics.h"

#include <stdlib.h>

/*
 * New targets, readmitted targets and a lower load reported by peers do not
 * signal the queue, so the first waiter polls at this interval.
 */
#define POLL_INTERVAL (20 * SEAM_MSEC)

SEAM_METRIC(waiting, "seam_request_waiting", "Requests that wait for a slot.");
SEAM_METRIC(waited, "seam_request_waited_total",
	    "Requests that got a slot after a wait.");
SEAM_METRIC(shed, "seam_request_shed_total",
	    "Requests shed because the queue was full or their turn too late.");
SEAM_METRIC(expired, "seam_request_wait_expired_total",
	    "Requests whose deadline passed while they waited.");
SEAM_METRIC(wait_us, "seam_request_wait_microseconds_total",
	    "Time spent waiting by requests that got a slot.");

struct seam_waitq {
	struct seam_clock *clock;
	pthread_mutex_t lock;
	struct seam_fair *fair;
};

struct seam_waitq *seam_waitq_new(struct seam_clock *k, int max)
{
	struct seam_waitq *q = calloc(1, sizeof(*q));

	if (!q)
		return NULL;
	q->clock = k;
	q->fair = seam_fair_new(max);
	if (!q->fair) {
		free(q);
		return NULL;
	}
	pthread_mutex_init(&q->lock, NULL);
	return q;
}

void seam_waitq_free(struct seam_waitq *q)
{
	if (!q)
		return;
	seam_fair_free(q->fair);
	pthread_mutex_destroy(&q->lock);
	free(q);
}

static void wake_first(struct seam_waitq *q)
{
	struct seam_waiter *w = seam_fair_first(q->fair);

	if (w)
		pthread_cond_signal(&w->turn);
}

/* Checks @w once: 1 to keep waiting, 0 if it got a slot, -1 on an error. */
static int check_waiter(struct seam_waitq *q, struct seam_waiter *w,
			seam_waitq_take take, void *arg, seam_time now,
			struct seam_err *e)
{
	if (w->shed) {
		seam_metric_add(&shed, 1);
		return seam_fail(e, SEAM_BUSY,
				 "shed in favour of teams below their share");
	}
	if (now >= w->deadline) {
		seam_fair_drop(q->fair, w);
		seam_metric_add(&expired, 1);
		return seam_fail(e, SEAM_DEADLINE,
				 "no slot became free before the deadline");
	}
	if (seam_fair_first(q->fair) != w)
		return 1;
	if (!take(arg, now, e)) {
		seam_fair_served(q->fair, w, now);
		seam_err_clear(e);
		return 0;
	}
	if (e->kind == SEAM_BUSY)
		return 1;
	seam_fair_drop(q->fair, w);
	return -1;
}

static int wait_turn(struct seam_waitq *q, struct seam_waiter *w,
		     seam_waitq_take take, void *arg, struct seam_err *e)
{
	seam_time now = seam_now(q->clock);
	seam_time from = now;
	int rc;

	while ((rc = check_waiter(q, w, take, arg, now, e)) > 0) {
		seam_time until = w->deadline;

		if (seam_fair_first(q->fair) == w &&
		    now + POLL_INTERVAL < until)
			until = now + POLL_INTERVAL;
		seam_wait(q->clock, &w->turn, &q->lock, until);
		now = seam_now(q->clock);
	}
	if (!rc) {
		seam_metric_add(&waited, 1);
		seam_metric_add(&wait_us, now - from);
	}
	wake_first(q);
	return rc;
}

static int enqueue_and_wait(struct seam_waitq *q, struct seam_waiter *w,
			    seam_waitq_take take, void *arg, struct seam_err *e)
{
	seam_time now = seam_now(q->clock);
	struct seam_waiter *displaced;
	int rc;

	if (!seam_fair_count(q->fair)) {
		if (!take(arg, now, e))
			return 0;
		if (e->kind != SEAM_BUSY)
			return -1;
	}
	if (seam_fair_add(q->fair, w, now, &displaced, e)) {
		seam_metric_add(&shed, 1);
		return -1;
	}
	if (displaced)
		pthread_cond_signal(&displaced->turn);
	seam_metric_add(&waiting, 1);
	rc = wait_turn(q, w, take, arg, e);
	seam_metric_add(&waiting, -1);
	return rc;
}

int seam_waitq_wait(struct seam_waitq *q, struct seam_waiter *w,
		    seam_waitq_take take, void *arg, struct seam_err *e)
{
	int rc;

	seam_cond_init(&w->turn);
	pthread_mutex_lock(&q->lock);
	rc = enqueue_and_wait(q, w, take, arg, e);
	pthread_mutex_unlock(&q->lock);
	pthread_cond_destroy(&w->turn);
	return rc;
}

int seam_waitq_count(struct seam_waitq *q)
{
	int n;

	pthread_mutex_lock(&q->lock);
	n = seam_fair_count(q->fair);
	pthread_mutex_unlock(&q->lock);
	return n;
}

int seam_waitq_check(struct seam_waitq *q, struct seam_waiter *w,
		     struct seam_err *e)
{
	int rc = 0;

	pthread_mutex_lock(&q->lock);
	if (seam_fair_count(q->fair))
		rc = seam_fair_check(q->fair, w, seam_now(q->clock), e);
	pthread_mutex_unlock(&q->lock);
	if (rc)
		seam_metric_add(&shed, 1);
	return rc;
}

void seam_waitq_released(struct seam_waitq *q, seam_time length)
{
	pthread_mutex_lock(&q->lock);
	if (length)
		seam_fair_add_run_time(q->fair, length);
	wake_first(q);
	pthread_mutex_unlock(&q->lock);
}
