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

#define SEAM_WAITERS_MAX 1024 /* waiting requests of one service on a node */

/**
 * struct seam_waiter - one request that waits for a slot
 * @team: team that it counts for
 * @share: weight of the team, at least 1
 * @deadline: when its caller stops waiting
 * @start: start tag; the least is served first
 * @finish: finish tag: @start + cost / @share
 * @shed: thrown out for a request of a team that is further below its share
 * @at: position in the queue, private to waitq.c
 * @turn: signalled when it is the first, or shed
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
 * struct seam_fair - queue in the order of start-time fair queueing
 *
 * Not locked, and without threads or a clock of its own. Goyal, Vin, Cheng,
 * "Start-time Fair Queueing", SIGCOMM 1996.
 */
struct seam_fair;

/** seam_fair_new() - empty queue of at most @max waiters */
struct seam_fair *seam_fair_new(int max);

/** seam_fair_free() - free it; nobody may be waiting */
void seam_fair_free(struct seam_fair *f);

/**
 * seam_fair_check() - whether a waiter would be let in
 * @f: queue
 * @w: waiter; its tags are set
 * @now: time
 * @e: SEAM_BUSY if the queue is full of waiters that come before it, or if its
 *     turn and its run are expected to end after its deadline
 */
int seam_fair_check(struct seam_fair *f, struct seam_waiter *w, seam_time now,
		    struct seam_err *e);

/**
 * seam_fair_add() - seam_fair_check(), then queue it
 *
 * Return: 0 or -1. @out receives a waiter that was shed for it, or NULL.
 */
int seam_fair_add(struct seam_fair *f, struct seam_waiter *w, seam_time now,
		  struct seam_waiter **out, struct seam_err *e);

/** seam_fair_first() - whose turn it is, or NULL */
struct seam_waiter *seam_fair_first(struct seam_fair *f);

/** seam_fair_served() - @w got its slot at @now; it leaves the queue */
void seam_fair_served(struct seam_fair *f, struct seam_waiter *w,
		      seam_time now);

/** seam_fair_drop() - @w leaves the queue without a slot */
void seam_fair_drop(struct seam_fair *f, struct seam_waiter *w);

/** seam_fair_ran() - a request of the service ran for @length */
void seam_fair_ran(struct seam_fair *f, seam_time length);

/** seam_fair_count() - number of waiters */
int seam_fair_count(struct seam_fair *f);

/** struct seam_waitq - a fair queue in which threads wait; locked inside */
struct seam_waitq;

/** seam_waitq_new() - empty queue */
struct seam_waitq *seam_waitq_new(struct seam_clock *k, int max);

/** seam_waitq_free() - free it; nobody may be waiting */
void seam_waitq_free(struct seam_waitq *q);

/**
 * typedef seam_waitq_take - try to take a slot
 *
 * Return: 0, or -1 with SEAM_BUSY if there is none now; any other kind ends
 * the wait.
 */
typedef int (*seam_waitq_take)(void *arg, seam_time now, struct seam_err *e);

/**
 * seam_waitq_wait() - take a slot, waiting for the turn
 * @q: queue
 * @w: waiter with team, share and deadline
 * @take: tried at once if nobody waits, then on each turn
 * @arg: passed to it
 * @e: SEAM_BUSY if it was shed, SEAM_DEADLINE, or what @take said
 */
int seam_waitq_wait(struct seam_waitq *q, struct seam_waiter *w,
		    seam_waitq_take take, void *arg, struct seam_err *e);

/** seam_waitq_count() - number of waiters */
int seam_waitq_count(struct seam_waitq *q);

/** seam_waitq_check() - seam_fair_check() if others are waiting */
int seam_waitq_check(struct seam_waitq *q, struct seam_waiter *w,
		     struct seam_err *e);

/**
 * seam_waitq_released() - a slot became free: wake the first waiter
 * @q: queue
 * @length: time for which the request ran, or 0 if it did not
 */
void seam_waitq_released(struct seam_waitq *q, seam_time length);

#ifdef __cplusplus
}
#endif
#endif
