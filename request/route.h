#ifndef SEAM_ROUTE_H
#define SEAM_ROUTE_H

#include "connection/target.h"
#include "process/admit.h"
#include "request/waitq.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SEAM_ROUTE_TRIES 3 /* attempts of one request, the first included */

/**
 * struct seam_near - order of data centres by distance
 * @dc: own data centre
 * @region: other data centres of the own region
 * @n: their number
 */
struct seam_near {
	const char *dc;
	const char *const *region;
	int n;
};

/**
 * struct seam_tried - targets that an earlier attempt has tried
 * @h: handles
 * @n: their number
 */
struct seam_tried {
	struct seam_handle h[SEAM_ROUTE_TRIES];
	int n;
};

/**
 * seam_route_weight() - weight of a target in the choice
 * @t: target
 * @now: time
 *
 * Return: 1,000, or less during the slow start after an ejection.
 */
int seam_route_weight(const struct seam_target *t, seam_time now);

/**
 * seam_route_draw() - power of two choices among the open targets of a group
 * @s: service, locked
 * @g: one of its groups
 * @tried: targets to leave out
 * @now: time
 * @rnd: state of the random numbers, not 0
 *
 * Of two targets drawn at random the one with the lower (load + 1) / (slots *
 * weight) is taken. Mitzenmacher, "The Power of Two Choices in Randomized Load
 * Balancing", IEEE TPDS 2001.
 *
 * Return: the target, or NULL if none is open.
 */
struct seam_target *seam_route_draw(struct seam_target_service *s,
				    struct seam_target_group *g,
				    const struct seam_tried *tried,
				    seam_time now, uint64_t *rnd);

/**
 * seam_route_take() - choose a target and take a slot on it
 * @ts: targets
 * @service: service
 * @near: own data centre first, then the own region, then the others
 * @tried: targets to leave out
 * @now: time
 * @h: receives the target
 * @e: SEAM_NOT_FOUND if the service has no targets, SEAM_BUSY if all are at
 *     their slots, ejected or left out
 */
int seam_route_take(struct seam_targets *ts, const char *service,
		    const struct seam_near *near,
		    const struct seam_tried *tried, seam_time now,
		    struct seam_handle *h, struct seam_err *e);

/** seam_route_seed() - make the choices of this thread reproducible */
void seam_route_seed(uint64_t seed);

/** seam_route_release() - give the slot back */
void seam_route_release(struct seam_targets *ts, struct seam_handle h);

/** enum seam_route_result - what an attempt says about its target */
enum seam_route_result {
	SEAM_ROUTE_WORKED,
	SEAM_ROUTE_FULL, /* refused by the target, marked as not run */
	SEAM_ROUTE_CUT_SHORT, /* the caller's deadline was short */
	SEAM_ROUTE_FAILED
};

/**
 * struct seam_eject - decision after an attempt
 * @eject: take the target out
 * @until: end of the ejection
 */
struct seam_eject {
	bool eject;
	seam_time until;
};

/**
 * seam_eject_decide() - whether a target that failed is ejected
 * @t: target, with @fails counted
 * @s: its service
 * @now: time
 *
 * Three failures in a row eject a target for 1 s, doubled with each ejection
 * up to 60 s, if at most half of the service's targets are out with it.
 */
struct seam_eject seam_eject_decide(const struct seam_target *t,
				    const struct seam_target_service *s,
				    seam_time now);

/** seam_route_report() - count the result of an attempt, eject on failures */
void seam_route_report(struct seam_targets *ts, struct seam_handle h,
		       enum seam_route_result result, seam_time now);

/** seam_route_returns() - return ejected targets that are due; lock held */
void seam_route_returns(struct seam_target_service *s, seam_time now);

/**
 * struct seam_budget - retry budget of a service
 * @milli: retries allowed now, in thousandths
 * @filled_at: time up to which the floor was added
 */
struct seam_budget {
	int64_t milli;
	seam_time filled_at;
};

/** seam_budget_first() - a first attempt: adds a tenth of a retry */
void seam_budget_first(struct seam_budget *b, seam_time now);

/** seam_budget_retry() - take one retry; false if the budget is used up */
bool seam_budget_retry(struct seam_budget *b, seam_time now);

/** seam_budget_refund() - give back a retry that was not made */
void seam_budget_refund(struct seam_budget *b);

/**
 * seam_retry_allowed() - whether a failed attempt may be sent again
 * @idempotent: the request may run more than once
 * @kind: failure of the attempt
 */
bool seam_retry_allowed(bool idempotent, enum seam_kind kind);

/** struct seam_router - waiting queues and retry budgets of all services */
struct seam_router;

/** seam_router_new() - router over targets that the caller owns */
struct seam_router *seam_router_new(struct seam_targets *ts,
				    struct seam_clock *k);

/** seam_router_free() - free it; no request may be running */
void seam_router_free(struct seam_router *r);

/**
 * struct seam_job - a request on its way to a target
 * @service: service
 * @team: team that it counts for
 * @share: weight of the team in the waiting queue
 * @near: order of data centres
 * @admit: units of the team's limit; NULL admits everything
 * @skew: greatest difference between clocks
 * @send: the attempt; its trace is set here for each hop
 */
struct seam_job {
	const char *service;
	const char *team;
	int64_t share;
	struct seam_near near;
	struct seam_admit *admit;
	seam_time skew;
	struct seam_send send;
};

/** seam_router_waiting() - requests for @service that wait in this process */
int seam_router_waiting(struct seam_router *r, const char *service);

/**
 * seam_router_would_wait() - SEAM_BUSY if the job would be shed at once
 *
 * A keyed request asks before it claims, so that a full queue costs the store
 * no writes.
 */
int seam_router_would_wait(struct seam_router *r, const struct seam_job *job,
			   struct seam_err *e);

/**
 * seam_router_run() - take a unit, wait for a slot, send, and send again
 * @r: router
 * @job: the request
 * @a: receives the answer
 * @e: as for seam_target_send() of the last attempt that may have run, else
 *     SEAM_OVER_LIMIT, SEAM_NOT_FOUND, SEAM_BUSY or SEAM_DEADLINE
 *
 * A request is sent again only if it is idempotent or the attempt before
 * provably did not start, to another target, within the retry budget.
 */
int seam_router_run(struct seam_router *r, struct seam_job *job,
		    struct seam_answer *a, struct seam_err *e);

#ifdef __cplusplus
}
#endif
#endif
