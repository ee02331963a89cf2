#include "request/route.h"
#include "base/count.h"

#include <glib.h>
#include <stdlib.h>

#define UNIT_WAIT (1 * SEAM_SEC)

/*
 * A late answer counts against the target only after this time: a caller with
 * a short deadline says nothing about a target that is slower than that.
 */
#define LATE_FAILS (1 * SEAM_SEC)

SEAM_COUNT(attempts, "seam_request_attempts_total", "Attempts at targets.");
SEAM_COUNT(retries, "seam_request_retries_total",
	   "Requests sent again to another target.");
SEAM_COUNT(no_budget, "seam_request_retries_denied_total",
	   "Retries not made because the budget was used up.");
SEAM_COUNT(unknown, "seam_request_unknown_total",
	   "Attempts whose outcome is not known.");

/* What the requests of one service share. */
struct lane {
	char *name;
	struct seam_waitq *queue;
	struct seam_waitq *again; /* refused as full by a target */
	pthread_mutex_t lock;
	struct seam_budget budget;
};

struct seam_router {
	struct seam_targets *targets;
	struct seam_clock *clock;
	pthread_mutex_t lock;
	GHashTable *lanes; /* service to struct lane */
};

/* State of one request between its attempts. */
struct attempt {
	struct seam_router *router;
	struct seam_job *job;
	struct lane *lane;
	struct seam_tried tried;
	struct seam_handle target;
	bool full; /* the last attempt was refused as full */
};

static void free_lane(gpointer p)
{
	struct lane *l = p;

	seam_waitq_free(l->queue);
	seam_waitq_free(l->again);
	pthread_mutex_destroy(&l->lock);
	g_free(l->name);
	free(l);
}

struct seam_router *seam_router_new(struct seam_targets *ts,
				    struct seam_clock *k)
{
	struct seam_router *r = calloc(1, sizeof(*r));

	if (!r)
		return NULL;
	r->targets = ts;
	r->clock = k;
	pthread_mutex_init(&r->lock, NULL);
	r->lanes =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_lane);
	return r;
}

void seam_router_free(struct seam_router *r)
{
	if (!r)
		return;
	g_hash_table_destroy(r->lanes);
	pthread_mutex_destroy(&r->lock);
	free(r);
}

static struct lane *new_lane(struct seam_clock *k, const char *name)
{
	struct lane *l = calloc(1, sizeof(*l));

	if (!l)
		return NULL;
	l->queue = seam_waitq_new(k, SEAM_WAITERS_MAX);
	l->again = seam_waitq_new(k, SEAM_WAITERS_MAX);
	if (!l->queue || !l->again) {
		seam_waitq_free(l->queue);
		seam_waitq_free(l->again);
		free(l);
		return NULL;
	}
	l->name = g_strdup(name);
	pthread_mutex_init(&l->lock, NULL);
	return l;
}

/* Only names of configured services come here, so lanes are bounded. */
static struct lane *lane_of(struct seam_router *r, const char *service)
{
	struct lane *l;

	pthread_mutex_lock(&r->lock);
	l = g_hash_table_lookup(r->lanes, service);
	if (!l) {
		l = new_lane(r->clock, service);
		if (l)
			g_hash_table_insert(r->lanes, l->name, l);
	}
	pthread_mutex_unlock(&r->lock);
	return l;
}

int seam_router_waiting(struct seam_router *r, const char *service)
{
	struct lane *l;

	pthread_mutex_lock(&r->lock);
	l = g_hash_table_lookup(r->lanes, service);
	pthread_mutex_unlock(&r->lock);
	return l ? seam_waitq_count(l->queue) + seam_waitq_count(l->again) : 0;
}

static int take_slot(void *arg, seam_time now, struct seam_err *e)
{
	struct attempt *t = arg;

	return seam_route_take(t->router->targets, t->job->service,
			       &t->job->near, &t->tried, now, &t->target, e);
}

/* A slot and a retry of the budget, or neither. */
static int take_again(void *arg, seam_time now, struct seam_err *e)
{
	struct attempt *t = arg;
	struct lane *l = t->lane;
	bool ok;

	pthread_mutex_lock(&l->lock);
	ok = seam_budget_retry(&l->budget, now);
	pthread_mutex_unlock(&l->lock);
	if (!ok)
		return seam_fail(e, SEAM_BUSY, "retry budget is used up");
	if (!take_slot(t, now, e)) {
		seam_count_add(&retries, 1);
		return 0;
	}
	pthread_mutex_lock(&l->lock);
	seam_budget_refund(&l->budget);
	pthread_mutex_unlock(&l->lock);
	return -1;
}

static struct seam_waiter waiter_of(const struct seam_job *job)
{
	struct seam_waiter w = {.team = job->team,
				.share = job->share,
				.deadline = job->send.deadline};

	return w;
}

int seam_router_would_wait(struct seam_router *r, const struct seam_job *job,
			   struct seam_err *e)
{
	struct lane *l = lane_of(r, job->service);
	struct seam_waiter w = waiter_of(job);

	if (!l)
		return seam_fail(e, SEAM_NO_MEMORY, NULL);
	return seam_waitq_check(l->queue, &w, e);
}

/*
 * The first attempt waits for its turn, and one refused as full waits behind
 * the retry budget, in a queue of its own so that it holds up no first
 * attempts. Other retries take what is free.
 */
static int get_slot(struct attempt *t, struct seam_err *e)
{
	struct seam_trace span;
	struct seam_waiter w = waiter_of(t->job);
	seam_time from = seam_now(t->router->clock);
	int rc;

	if (t->tried.n && !t->full)
		return take_slot(t, from, e);
	if (t->full)
		rc = seam_waitq_wait(t->lane->again, &w, take_again, t, e);
	else
		rc = seam_waitq_wait(t->lane->queue, &w, take_slot, t, e);
	seam_trace_child(&span, &t->job->send.call->trace);
	seam_span_end(&span, "wait", from, seam_now(t->router->clock), 0);
	return rc;
}

static enum seam_route_result result_of(int rc, const struct seam_answer *a,
					seam_time length,
					const struct seam_err *e)
{
	if (!rc)
		return a->status >= 500 ? SEAM_ROUTE_FAILED : SEAM_ROUTE_WORKED;
	if (e->kind == SEAM_TARGET_REFUSED && a->status)
		return SEAM_ROUTE_FULL;
	if (e->kind == SEAM_OUTCOME_UNKNOWN && length < LATE_FAILS)
		return SEAM_ROUTE_CUT_SHORT;
	return SEAM_ROUTE_FAILED;
}

static int send_once(struct attempt *t, struct seam_answer *a,
		     struct seam_err *e)
{
	struct seam_router *r = t->router;
	struct seam_send *s = &t->job->send;
	seam_time start = seam_now(r->clock);
	enum seam_route_result result;
	seam_time end;
	int rc;

	if (start >= s->deadline)
		rc = seam_fail(e, SEAM_DEADLINE, NULL);
	else {
		seam_count_add(&attempts, 1);
		seam_trace_child(&s->trace, &s->call->trace);
		rc = seam_target_send(r->targets, t->target, s, a, e);
		end = seam_now(r->clock);
		seam_span_end(&s->trace, "target", start, end, a->status);
		result = result_of(rc, a, end - start, e);
		seam_route_report(r->targets, t->target, result, end);
		t->full = result == SEAM_ROUTE_FULL;
	}
	seam_route_release(r->targets, t->target);
	end = seam_now(r->clock);
	seam_waitq_released(t->lane->queue, rc ? 0 : end - start);
	seam_waitq_released(t->lane->again, rc ? 0 : end - start);
	return rc;
}

static bool ran_perhaps(const struct seam_err *e)
{
	return seam_kind_info(e->kind)->run != SEAM_NOT_RUN;
}

/*
 * A node that was idle may have no units while others have some to spare; they
 * come within a pass or two of the team's row.
 */
static int take_unit(struct attempt *t, struct seam_err *e)
{
	struct seam_admit *a = t->job->admit;
	const char *team = t->job->team;
	seam_time now = seam_now(t->router->clock);
	seam_time until = now + UNIT_WAIT;

	if (!a || !a->ops->take(a, team, 1, now, e))
		return 0;
	if (until > t->job->send.deadline)
		until = t->job->send.deadline;
	if (!a->ops->wait || !a->ops->wait(a, team, 1, until))
		return -1;
	seam_err_clear(e);
	return a->ops->take(a, team, 1, seam_now(t->router->clock), e);
}

/*
 * The target stops at the deadline of the attempt by its own clock, so that
 * is when work whose end nobody saw must have ended.
 */
static void give_unit(struct attempt *t, int rc, const struct seam_err *e)
{
	struct seam_admit *a = t->job->admit;

	if (rc && ran_perhaps(e))
		seam_count_add(&unknown, 1);
	if (!a)
		return;
	if (rc && ran_perhaps(e))
		a->ops->hold_until(a, t->job->team, 1,
				   t->job->send.deadline + t->job->skew);
	else
		a->ops->release(a, t->job->team, 1, seam_now(t->router->clock));
}

/* One attempt with a unit of its own; @started: the target was reached. */
static int attempt(struct attempt *t, struct seam_answer *a, bool *started,
		   struct seam_err *e)
{
	bool counted;
	int rc;

	*started = false;
	if (take_unit(t, e))
		return -1;
	counted = seam_targets_own(t->router->targets, t->job->service, 1);
	rc = get_slot(t, e);
	if (!rc) {
		*started = true;
		rc = send_once(t, a, e);
	}
	if (counted)
		seam_targets_own(t->router->targets, t->job->service, -1);
	give_unit(t, rc, e);
	return rc;
}

bool seam_retry_allowed(bool idempotent, enum seam_kind kind)
{
	switch (kind) {
	case SEAM_TARGET_REFUSED:
	case SEAM_NOT_FOUND: /* it left between the choice and the send */
		return true;
	case SEAM_TARGET_FAILED:
		return idempotent;
	default:
		return false;
	}
}

static bool retry(struct attempt *t, const struct seam_err *e)
{
	seam_time now = seam_now(t->router->clock);
	bool ok;

	if (t->tried.n + 1 >= SEAM_ROUTE_TRIES || now >= t->job->send.deadline)
		return false;
	if (!seam_retry_allowed(t->job->send.idempotent, e->kind))
		return false;
	if (t->full)
		return true;
	pthread_mutex_lock(&t->lane->lock);
	ok = seam_budget_retry(&t->lane->budget, now);
	pthread_mutex_unlock(&t->lane->lock);
	seam_count_add(ok ? &retries : &no_budget, 1);
	return ok;
}

int seam_router_run(struct seam_router *r, struct seam_job *job,
		    struct seam_answer *a, struct seam_err *e)
{
	struct attempt t = {.router = r, .job = job};
	struct seam_err first = SEAM_ERR_INIT;
	bool started;

	t.lane = lane_of(r, job->service);
	if (!t.lane)
		return seam_fail(e, SEAM_NO_MEMORY, NULL);
	pthread_mutex_lock(&t.lane->lock);
	seam_budget_first(&t.lane->budget, seam_now(r->clock));
	pthread_mutex_unlock(&t.lane->lock);
	for (;;) {
		if (!attempt(&t, a, &started, e)) {
			seam_err_clear(e);
			return 0;
		}
		/* A later attempt that did not run hides no earlier one. */
		if (ran_perhaps(e) || (started && !ran_perhaps(&first)) ||
		    first.kind == SEAM_OK)
			first = *e;
		if (!started || !retry(&t, e))
			break;
		t.tried.h[t.tried.n++] = t.target;
	}
	*e = first;
	return -1;
}
