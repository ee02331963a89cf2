#ifndef SEAM_RUNNER_H
#define SEAM_RUNNER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include "base/clock.h"
#include "base/err.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SEAM_TASK_NAME 64
#define SEAM_CHECKPOINT 48

/** enum seam_refusal - what a worker says to an order */
enum seam_refusal {
	SEAM_ORDER_DONE,
	SEAM_ORDER_FENCED, /* a higher fencing token was seen */
	SEAM_ORDER_OLD, /* this run or a later one was stopped or ended there */
	SEAM_ORDER_LATE, /* its lease had run out when it came */
	SEAM_ORDER_NO_ROOM,
	SEAM_ORDER_NO_TICKET,
	SEAM_ORDER_WRONG_LIFE, /* another process answers at the address */
	SEAM_ORDER_UNHEALTHY, /* the worker did nothing */
	SEAM_ORDER_INVALID
};

/** enum seam_end - how a run ended */
enum seam_end {
	SEAM_END_DONE,
	SEAM_END_FAILED,
	SEAM_END_STOPPED,
	SEAM_END_LAPSED, /* its lease ran out */
	SEAM_END_BROKEN, /* another member of the gang ended */
	SEAM_END_ALONE, /* the other members of the gang did not come */
	SEAM_ENDS
};

/**
 * struct seam_start - order to run a task
 * @task: name
 * @run: number of this start of the task; grows
 * @text: what the caller handed in
 * @token: fencing token
 * @lease_until: end of the worker's lease, milliseconds of its own clock
 * @checkpoint: saved work to go on from, or ""
 */
struct seam_start {
	const char *task;
	int64_t run;
	const char *text;
	uint64_t token;
	int64_t lease_until;
	const char *checkpoint;
};

/**
 * struct seam_listed_run - a run that a worker lists as running
 * @task: name
 * @run: number
 * @checkpoint: latest saved work, or ""
 * @percent: progress; of a lasting task 100 once it serves
 * @level: latency of a serving task in milliseconds, thousandths of a core in
 *         use of any other
 */
struct seam_listed_run {
	char task[SEAM_TASK_NAME];
	int64_t run;
	char checkpoint[SEAM_CHECKPOINT];
	int percent;
	int64_t level;
};

/**
 * struct seam_listed_end - a run that a worker lists as ended
 * @number: number of the end in this life of the worker, from 1
 * @task: name
 * @run: number
 * @how: enum seam_end
 * @checkpoint: latest saved work, or ""
 */
struct seam_listed_end {
	int64_t number;
	char task[SEAM_TASK_NAME];
	int64_t run;
	int how;
	char checkpoint[SEAM_CHECKPOINT];
};

/**
 * struct seam_hold - order to renew the lease and to list
 * @token: fencing token
 * @lease_until: new end of the lease, milliseconds of the worker's clock; 0
 *               leaves it as it is
 * @acked: the worker may forget the ends up to this number
 * @wait_ms: wait so long for an end
 */
struct seam_hold {
	uint64_t token;
	int64_t lease_until;
	int64_t acked;
	int64_t wait_ms;
};

/**
 * struct seam_listing - answer to a hold; free with seam_listing_free()
 * @clock_ms: the worker's clock
 * @born_ms: start of this life of the worker, milliseconds since 1970; 0 if it
 *           does not tell
 * @run: runs
 * @runs: their number
 * @end: ends that were not acknowledged, in order
 * @ends: their number
 */
struct seam_listing {
	int64_t clock_ms;
	int64_t born_ms;
	struct seam_listed_run *run;
	size_t runs;
	struct seam_listed_end *end;
	size_t ends;
};

static inline void seam_listing_free(struct seam_listing *l)
{
	free(l->run);
	free(l->end);
	l->run = NULL;
	l->end = NULL;
}

struct seam_runner;

/**
 * struct seam_runner_ops - connection to one life of a worker
 * @start: order a start
 * @stop: stop a run; a run that is not there is refused from now on
 * @hold: renew the lease and list
 * @close: close
 *
 * Orders return 0 when the worker answered, with @said set, and -1 with
 * SEAM_UNAVAILABLE if the order can't have arrived or SEAM_COMMIT_UNKNOWN if it
 * may be carried out, also later. @clock_ms receives the worker's clock, or 0.
 */
struct seam_runner_ops {
	int (*start)(struct seam_runner *r, const struct seam_start *s,
		     enum seam_refusal *said, int64_t *clock_ms,
		     seam_time deadline, struct seam_err *e);
	int (*stop)(struct seam_runner *r, const char *task, int64_t run,
		    uint64_t token, enum seam_refusal *said, seam_time deadline,
		    struct seam_err *e);
	int (*hold)(struct seam_runner *r, const struct seam_hold *h,
		    enum seam_refusal *said, struct seam_listing *l,
		    seam_time deadline, struct seam_err *e);
	void (*close)(struct seam_runner *r);
};

/** struct seam_runner - a connection; the vtable is the first member */
struct seam_runner {
	const struct seam_runner_ops *ops;
};

struct seam_runners;

/**
 * struct seam_runners_ops - how workers are reached
 * @open: connection to the life @id of the worker at @addr; NULL without memory
 */
struct seam_runners_ops {
	struct seam_runner *(*open)(struct seam_runners *s, const char *id,
				    const char *addr);
};

/** struct seam_runners - how workers are reached; vtable first */
struct seam_runners {
	const struct seam_runners_ops *ops;
};

#ifdef __cplusplus
}
#endif
#endif
