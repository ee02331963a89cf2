#ifndef SEAM_ROUTE_H
#define SEAM_ROUTE_H

#include "connection/target.h"
#include "process/admit.h"
#include "request/waitq.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SEAM_ROUTE_TRIES 3 /* attempts for a request, including the first */

/**
 * struct seam_locality - preference of data centres by distance
 * @dc: local data centre
 * @region: other data centres of the local region
 * @n: number of @region
 */
struct seam_locality {
	const char *dc;
	const char *const *region;
	int n;
};

/**
 * struct seam_tried_targets - targets of the earlier attempts of a request
 * @h: handles
 * @n: number of @h
 */
struct seam_tried_targets {
	struct seam_handle h[SEAM_ROUTE_TRIES];
	int n;
};

/**
 * seam_route_weight() - load-balancing weight of a target
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
 * @excluded: targets to exclude
 * @now: time
 * @rnd: state of the random number generator, not 0
 *
 * Of two targets drawn at random, returns the one with the lower (load + 1) /
 * (slots * weight). Mitzenmacher, "The Power of Two Choices in Randomized Load
 * Balancing", IEEE TPDS 2001.
 *
 * Return: the target, or NULL if none has a free slot.
 */
struct seam_target *seam_route_draw(struct seam_target_service *s,
				    struct seam_target_group *g,
				    const struct seam_tried_targets *excluded,
				    seam_time now, uint64_t *rnd);

/**
 * seam_route_acquire() - choose a target and reserve a slot on it
 * @ts: targets
 * @service: service
 * @locality: the local data centre is preferred, then the local region
 * @excluded: targets to exclude
 * @now: time
 * @h: receives the target
 * @e: SEAM_NOT_FOUND if the service has no targets, SEAM_BUSY if all are
 *     full, ejected or excluded
 */
int seam_route_acquire(struct seam_targets *ts, const char *service,
		       const struct seam_locality *locality,
		       const struct seam_tried_targets *excluded, seam_time now,
		       struct seam_handle *h, struct seam_err *e);

/** seam_route_seed() - seed the random choices of this thread */
void seam_route_seed(uint64_t seed);

/** seam_route_release() - release the slot on a target */
void seam_route_release(struct seam_targets *ts, struct seam_handle h);

/** enum seam_route_result - result of an attempt, for the target's health */
enum seam_route_result {
	SEAM_ROUTE_SUCCEEDED,
	SEAM_ROUTE_FULL, /* refused by the target as not run */
	SEAM_ROUTE_SHORT_DEADLINE, /* timed out too early to count as failed */
	SEAM_ROUTE_FAILED
};

/**
 * struct seam_eject - ejection decision
 * @eject: eject the target
 * @until: end of the ejection
 */
struct seam_eject {
	bool eject;
	seam_time until;
};

/**
 * seam_eject_decide() - decide whether to eject a failing target
 * @t: target, with @fails counted
 * @s: its service
 * @now: time
 *
 * Three consecutive failures eject a target for 1 s, doubled with each further
 * ejection up to 60 s, unless more than half of the service's targets would be
 * ejected then.
 */
struct seam_eject seam_eject_decide(const struct seam_target *t,
				    const struct seam_target_service *s,
				    seam_time now);

/** seam_route_report() - record an attempt's result; ejects failing targets */
void seam_route_report(struct seam_targets *ts, struct seam_handle h,
		       enum seam_route_result result, seam_time now);

/** seam_route_readmit() - readmit targets whose ejection ended; lock held */
void seam_route_readmit(struct seam_target_service *s, seam_time now);

/**
 * struct seam_retry_budget - retry budget of a service
 * @milli: retries available, in thousandths
 * @filled_at: time of the last refill at the minimum rate
 */
struct seam_retry_budget {
	int64_t milli;
	seam_time filled_at;
};

/** seam_retry_budget_deposit() - add a tenth of a retry, for a first attempt */
void seam_retry_budget_deposit(struct seam_retry_budget *b, seam_time now);

/** seam_retry_budget_withdraw() - take a retry; false if none is left */
bool seam_retry_budget_withdraw(struct seam_retry_budget *b, seam_time now);

/** seam_retry_budget_refund() - return a retry that was not made */
void seam_retry_budget_refund(struct seam_retry_budget *b);

/**
 * seam_retry_allowed() - whether a failed attempt may be retried
 * @idempotent: running the request twice is safe
 * @kind: error of the attempt
 */
bool seam_retry_allowed(bool idempotent, enum seam_err_kind kind);

/** struct seam_router - waiting queues and retry budgets of all services */
struct seam_router;

/** seam_router_new() - create a router; the caller owns the targets */
struct seam_router *seam_router_new(struct seam_targets *ts,
				    struct seam_clock *k);

/** seam_router_free() - free @r; no request may be running */
void seam_router_free(struct seam_router *r);

/**
 * struct seam_routed_request - a request to be routed to a target
 * @service: service
 * @team: team to which the request is charged
 * @share: weight of the team in the waiting queue
 * @locality: preference of data centres
 * @admit: admission by the team's limit; NULL admits everything
 * @skew: maximum clock skew between nodes
 * @send: request to send; the router sets its trace for each attempt
 */
struct seam_routed_request {
	const char *service;
	const char *team;
	int64_t share;
	struct seam_locality locality;
	struct seam_admit *admit;
	seam_time skew;
	struct seam_target_request send;
};

/** seam_router_waiting() - number of requests for @service that wait here */
int seam_router_waiting(struct seam_router *r, const char *service);

/**
 * seam_router_check_queue() - SEAM_BUSY if the queue would refuse @req
 *
 * Called for a request with an idempotency key before its claim, so that a full
 * queue causes no writes to the store.
 */
int seam_router_check_queue(struct seam_router *r,
			    const struct seam_routed_request *req,
			    struct seam_err *e);

/**
 * seam_router_run() - admit, queue and send a request, with retries
 * @r: router
 * @req: the request
 * @a: receives the response
 * @e: as for seam_target_send() of the last attempt that may have run, else
 *     SEAM_OVER_LIMIT, SEAM_NOT_FOUND, SEAM_BUSY or SEAM_DEADLINE
 *
 * A request is retried, on another target and within the retry budget, only if
 * it is idempotent or the last attempt provably did not start.
 */
int seam_router_run(struct seam_router *r, struct seam_routed_request *req,
		    struct seam_answer *a, struct seam_err *e);

#ifdef __cplusplus
}
#endif
#endif
