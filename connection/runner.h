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

#define SEAM_TASK_NAME_SIZE 64
#define SEAM_CHECKPOINT_SIZE 48

/** enum seam_order_outcome - answer of a worker to an order */
enum seam_order_outcome {
	SEAM_ORDER_DONE,
	SEAM_ORDER_FENCED, /* a higher fencing token was seen */
	SEAM_ORDER_STALE_RUN, /* this run or a later one was stopped or ended */
	SEAM_ORDER_LEASE_EXPIRED, /* its lease had expired on arrival */
	SEAM_ORDER_NO_ROOM,
	SEAM_ORDER_NO_TICKET,
	SEAM_ORDER_WRONG_INCARNATION, /* another process has the address */
	SEAM_ORDER_UNHEALTHY, /* the worker did not carry out the order */
	SEAM_ORDER_INVALID
};

/** enum seam_end_reason - why a run ended */
enum seam_end_reason {
	SEAM_END_DONE,
	SEAM_END_FAILED,
	SEAM_END_STOPPED,
	SEAM_END_LAPSED, /* its lease expired */
	SEAM_END_GANG_BROKEN, /* another member of the gang ended */
	SEAM_END_GANG_INCOMPLETE, /* other members of the gang did not start */
	SEAM_END_REASONS
};

/**
 * struct seam_start - order to run a task
 * @task: task name
 * @run: run number; higher than those of earlier starts of the task
 * @text: job text as submitted by the caller, which may contain NUL bytes
 * @text_len: its length in bytes
 * @token: fencing token
 * @lease_until: end of the worker's lease, milliseconds of its own clock
 * @checkpoint: checkpoint to resume from, or ""
 */
struct seam_start {
	const char *task;
	int64_t run;
	const char *text;
	size_t text_len;
	uint64_t token;
	int64_t lease_until;
	const char *checkpoint;
};

/**
 * struct seam_listed_run - a run that a worker lists as running
 * @task: task name
 * @run: run number
 * @checkpoint: latest checkpoint, or ""
 * @percent: progress; 100 for a long-running task that serves requests
 * @level: latency in milliseconds for a task that serves requests, CPU usage
 *         in thousandths of a core for any other
 */
struct seam_listed_run {
	char task[SEAM_TASK_NAME_SIZE];
	int64_t run;
	char checkpoint[SEAM_CHECKPOINT_SIZE];
	int percent;
	int64_t level;
};

/**
 * struct seam_listed_end - a run that a worker lists as ended
 * @number: sequence number of the end in this worker process, from 1
 * @task: task name
 * @run: run number
 * @reason: enum seam_end_reason
 * @checkpoint: latest checkpoint, or ""
 */
struct seam_listed_end {
	int64_t number;
	char task[SEAM_TASK_NAME_SIZE];
	int64_t run;
	int reason;
	char checkpoint[SEAM_CHECKPOINT_SIZE];
};

/**
 * struct seam_renewal - request to renew a worker's lease and to list its runs
 * @token: fencing token
 * @lease_until: new end of the lease, milliseconds of the worker's clock; 0
 *               leaves it unchanged
 * @acked: the worker may delete its records of ended runs up to this number
 * @wait_ms: longest wait for a run to end before the worker answers
 */
struct seam_renewal {
	uint64_t token;
	int64_t lease_until;
	int64_t acked;
	int64_t wait_ms;
};

/**
 * struct seam_listing - runs of a worker; free with seam_listing_free()
 * @clock_ms: the worker's clock
 * @process_start_ms: start time of the worker process, milliseconds since 1970;
 *     0 if it was not sent
 * @run: current runs
 * @runs: length of @run
 * @end: ended runs that were not acknowledged, in ascending order
 * @ends: length of @end
 * @more_ends: there may be further ended runs, which are listed once these are
 *     acknowledged
 */
struct seam_listing {
	int64_t clock_ms;
	int64_t process_start_ms;
	struct seam_listed_run *run;
	size_t runs;
	struct seam_listed_end *end;
	size_t ends;
	bool more_ends;
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
 * struct seam_runner_ops - connection to one worker process
 * @start: start a run
 * @stop: stop a run. If the worker does not have it, the worker refuses to
 *        start it from then on.
 * @renew_and_list: renew the lease and list the runs
 * @close: close the connection and free it
 *
 * Orders return 0 when the worker answered, with @outcome set. They return -1
 * with SEAM_UNAVAILABLE if the order cannot have arrived, or with
 * SEAM_COMMIT_UNKNOWN if the worker may carry it out, possibly later. @clock_ms
 * receives the worker's clock, or 0.
 */
struct seam_runner_ops {
	int (*start)(struct seam_runner *r, const struct seam_start *s,
		     enum seam_order_outcome *outcome, int64_t *clock_ms,
		     seam_time deadline, struct seam_err *e);
	int (*stop)(struct seam_runner *r, const char *task, int64_t run,
		    uint64_t token, enum seam_order_outcome *outcome,
		    seam_time deadline, struct seam_err *e);
	int (*renew_and_list)(struct seam_runner *r,
			      const struct seam_renewal *h,
			      enum seam_order_outcome *outcome,
			      struct seam_listing *l, seam_time deadline,
			      struct seam_err *e);
	void (*close)(struct seam_runner *r);
};

/** struct seam_runner - a connection; the vtable is the first member */
struct seam_runner {
	const struct seam_runner_ops *ops;
};

struct seam_runners;

/**
 * struct seam_runners_ops - opens connections to workers
 * @open: connection to the worker process @id at @addr; NULL if out of memory
 */
struct seam_runners_ops {
	struct seam_runner *(*open)(struct seam_runners *s, const char *id,
				    const char *addr);
};

/** struct seam_runners - opens connections; vtable first */
struct seam_runners {
	const struct seam_runners_ops *ops;
};

#ifdef __cplusplus
}
#endif
#endif
