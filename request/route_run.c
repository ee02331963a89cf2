#include "request/route.h"
#include "base/metrics.h"

#include <glib.h>
#include <stdlib.h>

#define UNIT_TIMEOUT (1 * SEAM_SEC)

/*
 * A timeout counts as a failure of the target only after this time: with a
 * shorter deadline the caller may simply have allowed too little time.
 */
#define LATE_FAILURE_MIN (1 * SEAM_SEC)

SEAM_METRIC(attempts, "seam_request_attempts_total", "Attempts at targets.");
SEAM_METRIC(retries, "seam_request_retries_total",
	    "Requests sent again to another target.");
SEAM_METRIC(no_budget, "seam_request_retries_denied_total",
	    "Retries not made because the budget was used up.");
SEAM_METRIC(unknown, "seam_request_unknown_total",
	    "Attempts whose outcome is not known.");

/* Queues and retry budget of a service. */
struct service_state {
	char *name;
	struct seam_waitq *queue;
	struct seam_waitq *retry_queue; /* refused as full by a target */
	pthread_mutex_t lock;
	struct seam_retry_budget budget;
};

struct seam_router {
	struct seam_targets *targets;
	struct seam_clock *clock;
	pthread_mutex_t lock;
	GHashTable *services; /* by service name */
};

/* State of a request across its attempts. */
struct attempt {
	struct seam_router *router;
	struct seam_routed_request *req;
	struct service_state *service;
	struct seam_tried_targets excluded;
	struct seam_handle target;
	bool full; /* the last attempt was refused as full */
};

static void free_service_state(gpointer p)
{
	struct service_state *s = p;

	seam_waitq_free(s->queue);
	seam_waitq_free(s->retry_queue);
	pthread_mutex_destroy(&s->lock);
	g_free(s->name);
	free(s);
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
	r->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    free_service_state);
	return r;
}

void seam_router_free(struct seam_router *r)
{
	if (!r)
		return;
	g_hash_table_destroy(r->services);
	pthread_mutex_destroy(&r->lock);
	free(r);
}

static struct service_state *new_service_state(struct seam_clock *k,
					       const char *name)
{
	struct service_state *s = calloc(1, sizeof(*s));

	if (!s)
		return NULL;
	s->queue = seam_waitq_new(k, SEAM_WAITERS_MAX);
	s->retry_queue = seam_waitq_new(k, SEAM_WAITERS_MAX);
	if (!s->queue || !s->retry_queue) {
		seam_waitq_free(s->queue);
		seam_waitq_free(s->retry_queue);
		free(s);
		return NULL;
	}
	s->name = g_strdup(name);
	pthread_mutex_init(&s->lock, NULL);
	return s;
}

/* Called with names of configured services only, which bounds the table. */
static struct service_state *get_service_state(struct seam_router *r,
					       const char *service)
{
	struct service_state *s;

	pthread_mutex_lock(&r->lock);
	s = g_hash_table_lookup(r->services, service);
	if (!s) {
		s = new_service_state(r->clock, service);
		if (s)
			g_hash_table_insert(r->services, s->name, s);
	}
	pthread_mutex_unlock(&r->lock);
	return s;
}

int seam_router_waiting(struct seam_router *r, const char *service)
{
	struct service_state *s;

	pthread_mutex_lock(&r->lock);
	s = g_hash_table_lookup(r->services, service);
	pthread_mutex_unlock(&r->lock);
	return s ? seam_waitq_count(s->queue) +
			       seam_waitq_count(s->retry_queue) :
		   0;
}

static int take_slot(void *arg, seam_time now, struct seam_err *e)
{
	struct attempt *t = arg;

	return seam_route_acquire(t->router->targets, t->req->service,
				  &t->req->locality, &t->excluded, now,
				  &t->target, e);
}

/* Takes both a slot and a retry from the budget, or neither. */
static int take_retry_slot(void *arg, seam_time now, struct seam_err *e)
{
	struct attempt *t = arg;
	struct service_state *s = t->service;
	bool ok;

	pthread_mutex_lock(&s->lock);
	ok = seam_retry_budget_withdraw(&s->budget, now);
	pthread_mutex_unlock(&s->lock);
	if (!ok)
		return seam_fail(e, SEAM_BUSY, "retry budget is used up");
	if (!take_slot(t, now, e)) {
		seam_metric_add(&retries, 1);
		return 0;
	}
	pthread_mutex_lock(&s->lock);
	seam_retry_budget_refund(&s->budget);
	pthread_mutex_unlock(&s->lock);
	return -1;
}

static struct seam_waiter make_waiter(const struct seam_routed_request *req)
{
	struct seam_waiter w = {.team = req->team,
				.share = req->share,
				.deadline = req->send.deadline};

	return w;
}

int seam_router_check_queue(struct seam_router *r,
			    const struct seam_routed_request *req,
			    struct seam_err *e)
{
	struct service_state *s = get_service_state(r, req->service);
	struct seam_waiter w = make_waiter(req);

	if (!s)
		return seam_fail(e, SEAM_NO_MEMORY, NULL);
	return seam_waitq_check(s->queue, &w, e);
}

/*
 * First attempts wait in the queue. Attempts after a refusal by a full target
 * need the retry budget as well, and wait in a queue of their own so that they
 * do not block first attempts. Other retries do not wait.
 */
static int wait_for_slot(struct attempt *t, struct seam_err *e)
{
	struct seam_trace span;
	struct seam_waiter w = make_waiter(t->req);
	seam_time from = seam_now(t->router->clock);
	int rc;

	if (t->excluded.n && !t->full)
		return take_slot(t, from, e);
	if (t->full)
		rc = seam_waitq_wait(t->service->retry_queue, &w,
				     take_retry_slot, t, e);
	else
		rc = seam_waitq_wait(t->service->queue, &w, take_slot, t, e);
	seam_trace_child(&span, &t->req->send.call->trace);
	seam_span_record(&span, "wait", from, seam_now(t->router->clock), 0);
	return rc;
}

static enum seam_route_result attempt_result(int rc,
					     const struct seam_answer *a,
					     seam_time length,
					     const struct seam_err *e)
{
	if (!rc)
		return a->status >= 500 ? SEAM_ROUTE_FAILED :
					  SEAM_ROUTE_SUCCEEDED;
	if (e->kind == SEAM_TARGET_REFUSED && a->status)
		return SEAM_ROUTE_FULL;
	if (e->kind == SEAM_OUTCOME_UNKNOWN && length < LATE_FAILURE_MIN)
		return SEAM_ROUTE_SHORT_DEADLINE;
	return SEAM_ROUTE_FAILED;
}

static int send_once(struct attempt *t, struct seam_answer *a,
		     struct seam_err *e)
{
	struct seam_router *r = t->router;
	struct seam_target_request *s = &t->req->send;
	seam_time start = seam_now(r->clock);
	enum seam_route_result result;
	seam_time end;
	int rc;

	if (start >= s->deadline)
		rc = seam_fail(e, SEAM_DEADLINE, NULL);
	else {
		seam_metric_add(&attempts, 1);
		seam_trace_child(&s->trace, &s->call->trace);
		rc = seam_target_send(r->targets, t->target, s, a, e);
		end = seam_now(r->clock);
		seam_span_record(&s->trace, "target", start, end, a->status);
		result = attempt_result(rc, a, end - start, e);
		seam_route_report(r->targets, t->target, result, end);
		t->full = result == SEAM_ROUTE_FULL;
	}
	seam_route_release(r->targets, t->target);
	end = seam_now(r->clock);
	seam_waitq_released(t->service->queue, rc ? 0 : end - start);
	seam_waitq_released(t->service->retry_queue, rc ? 0 : end - start);
	return rc;
}

static bool may_have_run(const struct seam_err *e)
{
	return seam_err_kind_info(e->kind)->run != SEAM_NOT_RUN;
}

/*
 * A node that was idle may have no units of the limit while other nodes have
 * spare ones. Those are transferred within one or two passes over the team's
 * row.
 */
static int take_unit(struct attempt *t, struct seam_err *e)
{
	struct seam_admit *a = t->req->admit;
	const char *team = t->req->team;
	seam_time now = seam_now(t->router->clock);
	seam_time until = now + UNIT_TIMEOUT;

	if (!a || !a->ops->take(a, team, 1, now, e))
		return 0;
	if (until > t->req->send.deadline)
		until = t->req->send.deadline;
	if (!a->ops->wait || !a->ops->wait(a, team, 1, until))
		return -1;
	seam_err_clear(e);
	return a->ops->take(a, team, 1, seam_now(t->router->clock), e);
}

/*
 * The target stops work at the attempt's deadline by its own clock. A unit
 * whose attempt has an unknown outcome is held until then, plus the clock skew.
 */
static void release_unit(struct attempt *t, int rc, const struct seam_err *e)
{
	struct seam_admit *a = t->req->admit;

	if (rc && may_have_run(e))
		seam_metric_add(&unknown, 1);
	if (!a)
		return;
	if (rc && may_have_run(e))
		a->ops->hold_until(a, t->req->team, 1,
				   t->req->send.deadline + t->req->skew);
	else
		a->ops->release(a, t->req->team, 1, seam_now(t->router->clock));
}

/* Makes an attempt with a unit of its own; sets @started if it took a slot. */
static int attempt(struct attempt *t, struct seam_answer *a, bool *started,
		   struct seam_err *e)
{
	bool counted;
	int rc;

	*started = false;
	if (take_unit(t, e))
		return -1;
	counted = seam_targets_add_requests(t->router->targets, t->req->service,
					    1);
	rc = wait_for_slot(t, e);
	if (!rc) {
		*started = true;
		rc = send_once(t, a, e);
	}
	if (counted)
		seam_targets_add_requests(t->router->targets, t->req->service,
					  -1);
	release_unit(t, rc, e);
	return rc;
}

bool seam_retry_allowed(bool idempotent, enum seam_err_kind kind)
{
	switch (kind) {
	case SEAM_TARGET_REFUSED:
	case SEAM_NOT_FOUND: /* removed between the choice and the send */
		return true;
	case SEAM_TARGET_FAILED:
		return idempotent;
	default:
		return false;
	}
}

static bool may_retry(struct attempt *t, const struct seam_err *e)
{
	seam_time now = seam_now(t->router->clock);
	bool ok;

	if (t->excluded.n + 1 >= SEAM_ROUTE_TRIES ||
	    now >= t->req->send.deadline)
		return false;
	if (!seam_retry_allowed(t->req->send.idempotent, e->kind))
		return false;
	if (t->full)
		return true;
	pthread_mutex_lock(&t->service->lock);
	ok = seam_retry_budget_withdraw(&t->service->budget, now);
	pthread_mutex_unlock(&t->service->lock);
	seam_metric_add(ok ? &retries : &no_budget, 1);
	return ok;
}

int seam_router_run(struct seam_router *r, struct seam_routed_request *req,
		    struct seam_answer *a, struct seam_err *e)
{
	struct attempt t = {.router = r, .req = req};
	struct seam_err first = SEAM_ERR_INIT;
	bool started;

	t.service = get_service_state(r, req->service);
	if (!t.service)
		return seam_fail(e, SEAM_NO_MEMORY, NULL);
	pthread_mutex_lock(&t.service->lock);
	seam_retry_budget_deposit(&t.service->budget, seam_now(r->clock));
	pthread_mutex_unlock(&t.service->lock);
	for (;;) {
		if (!attempt(&t, a, &started, e)) {
			seam_err_clear(e);
			return 0;
		}
		/* An attempt that did not run must not hide the error of an
		 * earlier one that may have run. */
		if (may_have_run(e) || (started && !may_have_run(&first)) ||
		    first.kind == SEAM_OK)
			first = *e;
		if (!started || !may_retry(&t, e))
			break;
		t.excluded.h[t.excluded.n++] = t.target;
	}
	*e = first;
	return -1;
}
