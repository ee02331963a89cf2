#ifndef SEAM_WAITQ_H
#define SEAM_WAITQ_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/err.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SEAM_WAITERS_MAX 1024 /* waiting requests for a service on a node */

/**
 * struct seam_waiter - a request that waits for a slot
 * @team: team to which it is charged
 * @share: weight of the team, at least 1
 * @deadline: time at which the caller stops waiting
 * @start: start tag; the smallest is served first
 * @finish: finish tag: @start + cost / @share
 * @shed: removed from the full queue for a request of a team further below its
 *        share
 * @at: position in the queue, private to the queue
 * @turn: signalled when the waiter is the first, or shed
 */
struct seam_waiter {
	const char *team;
	int64_t share;
	seam_time deadline;
	int64_t start;
	int64_t finish;
	bool shed;
	void *at;
	pthread_cond_t turn;
};

/**
 * struct seam_fair - start-time fair queue
 *
 * Not thread-safe; uses no clock of its own. Goyal, Vin, Cheng,
 * "Start-time Fair Queueing", SIGCOMM 1996.
 */
struct seam_fair;

/** seam_fair_new() - create an empty queue for at most @max waiters */
struct seam_fair *seam_fair_new(int max);

/** seam_fair_free() - free @f; it must be empty */
void seam_fair_free(struct seam_fair *f);

/**
 * seam_fair_check() - whether a waiter would be accepted
 * @f: queue
 * @w: waiter; receives its tags
 * @now: time
 * @e: SEAM_BUSY if the queue is full of waiters that precede it, or if it is
 *     expected to end after its deadline
 */
int seam_fair_check(struct seam_fair *f, struct seam_waiter *w, seam_time now,
		    struct seam_err *e);

/**
 * seam_fair_add() - seam_fair_check(), then add to the queue
 *
 * Return: 0 or -1. @displaced receives the waiter that was shed for it, or
 * NULL.
 */
int seam_fair_add(struct seam_fair *f, struct seam_waiter *w, seam_time now,
		  struct seam_waiter **displaced, struct seam_err *e);

/** seam_fair_first() - next waiter to serve, or NULL */
struct seam_waiter *seam_fair_first(struct seam_fair *f);

/** seam_fair_served() - remove @w, which got its slot at @now */
void seam_fair_served(struct seam_fair *f, struct seam_waiter *w,
		      seam_time now);

/** seam_fair_drop() - remove @w, which got no slot */
void seam_fair_drop(struct seam_fair *f, struct seam_waiter *w);

/** seam_fair_add_run_time() - update the mean run time with @length */
void seam_fair_add_run_time(struct seam_fair *f, seam_time length);

/** seam_fair_count() - number of waiters */
int seam_fair_count(struct seam_fair *f);

/** struct seam_waitq - thread-safe fair queue for waiting threads */
struct seam_waitq;

/** seam_waitq_new() - create an empty queue */
struct seam_waitq *seam_waitq_new(struct seam_clock *k, int max);

/** seam_waitq_free() - free @q; no thread may be waiting */
void seam_waitq_free(struct seam_waitq *q);

/**
 * typedef seam_waitq_take - try to take a slot
 *
 * Return: 0, or -1 with SEAM_BUSY if none is free; any other error ends the
 * wait.
 */
typedef int (*seam_waitq_take)(void *arg, seam_time now, struct seam_err *e);

/**
 * seam_waitq_wait() - take a slot, waiting in the queue if necessary
 * @q: queue
 * @w: waiter with team, share and deadline
 * @take: called at once if the queue is empty, then while @w is the first
 * @arg: passed to @take
 * @e: SEAM_BUSY if it was shed, SEAM_DEADLINE, or an error of @take
 */
int seam_waitq_wait(struct seam_waitq *q, struct seam_waiter *w,
		    seam_waitq_take take, void *arg, struct seam_err *e);

/** seam_waitq_count() - number of waiters */
int seam_waitq_count(struct seam_waitq *q);

/** seam_waitq_check() - seam_fair_check() if the queue is not empty */
int seam_waitq_check(struct seam_waitq *q, struct seam_waiter *w,
		     struct seam_err *e);

/**
 * seam_waitq_released() - wake the first waiter after a slot became free
 * @q: queue
 * @length: run time of the request, or 0 if it did not run
 */
void seam_waitq_released(struct seam_waitq *q, seam_time length);

#ifdef __cplusplus
}
#endif
#endif
