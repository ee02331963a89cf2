#ifndef SEAM_SUBMIT_H
#define SEAM_SUBMIT_H

#include "process/store.h"
#include "request/call.h"
#include "request/early_cancel.h"
#include "request/jobspec.h"
#include "version/catalog.h"

#ifdef __cplusplus
extern "C" {
#endif

/** enum seam_job_state - state of a job as shown to callers */
enum seam_job_state {
	SEAM_JOB_QUEUED,
	SEAM_JOB_RUNNING,
	SEAM_JOB_COMPLETED,
	SEAM_JOB_FAILED,
	SEAM_JOB_CANCELLED
};

/**
 * struct seam_front_ops - protocol of a kind of callers
 * @key: API key of a call, or NULL
 * @host: host name to which a call is addressed
 * @deadline: time at which the caller stops waiting
 * @spec: decode a request body into the text and steps of a job;
 *        SEAM_BAD_REQUEST if a member cannot be taken as it is
 * @state: respond with the state of a job
 * @pending: respond with the number of jobs waiting in a queue
 * @refuse: respond with an error; @retry_ms: delay before a retry, 0 if
 *          unspecified
 */
struct seam_front_ops {
	const char *(*key)(struct seam_call *c);
	const char *(*host)(struct seam_call *c);
	seam_time (*deadline)(struct seam_call *c);
	int (*spec)(const char *body, size_t len, struct seam_jobspec *j,
		    struct seam_err *e);
	void (*state)(struct seam_call *c, enum seam_job_state s);
	void (*pending)(struct seam_call *c, int64_t n);
	void (*refuse)(struct seam_call *c, const struct seam_err *e,
		       int64_t retry_ms);
};

/**
 * struct seam_submit - job submission on a node
 * @front: protocol of the callers
 * @clock: clock for deadlines
 * @store: the platform's store
 * @catalog: current configuration
 * @store_unreachable: whether the store is unreachable; NULL skips the check
 * @check_capacity: fails with SEAM_BUSY and a retry delay if the queue cannot
 *                  serve another job in time; NULL admits everything
 * @check_capacity_arg: passed to @check_capacity
 * @early_cancels: limits the cancels of jobs that are not stored
 */
struct seam_submit {
	const struct seam_front_ops *front;
	struct seam_clock *clock;
	struct seam_store *store;
	struct seam_catalog_cell *catalog;
	bool (*store_unreachable)(struct seam_store *s);
	int (*check_capacity)(void *arg, const struct seam_job_queue *q,
			      const struct seam_jobspec *j, int64_t *retry_ms,
			      struct seam_err *e);
	void *check_capacity_arg;
	struct seam_early_cancel_rate early_cancels;
};

/** seam_submit_serve() - serve a call; @arg is a struct seam_submit */
void seam_submit_serve(struct seam_call *c, void *arg);

#ifdef __cplusplus
}
#endif
#endif
