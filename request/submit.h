#ifndef SEAM_SUBMIT_H
#define SEAM_SUBMIT_H

#include "process/store.h"
#include "request/call.h"
#include "request/jobspec.h"
#include "version/catalog.h"

#ifdef __cplusplus
extern "C" {
#endif

/** enum seam_job_state - state of a job as callers see it */
enum seam_job_state {
	SEAM_JOB_QUEUED,
	SEAM_JOB_RUNNING,
	SEAM_JOB_COMPLETED,
	SEAM_JOB_FAILED,
	SEAM_JOB_CANCELLED
};

/**
 * struct seam_front_ops - encoding of one kind of callers
 * @key: key that came with a call, or NULL
 * @host: host name that a call is for
 * @deadline: when its caller stops waiting
 * @spec: decode the body of a job into its text and steps
 * @state: answer with the state of a job
 * @pending: answer with the number of jobs that wait in a queue
 * @refuse: answer with an error; @retry_ms is when to come back, 0 is not told
 */
struct seam_front_ops {
	const char *(*key)(struct seam_call *c);
	const char *(*host)(struct seam_call *c);
	seam_time (*deadline)(struct seam_call *c);
	int (*spec)(const char *body, struct seam_jobspec *j,
		    struct seam_err *e);
	void (*state)(struct seam_call *c, enum seam_job_state s);
	void (*pending)(struct seam_call *c, int64_t n);
	void (*refuse)(struct seam_call *c, const struct seam_err *e,
		       int64_t retry_ms);
};

/**
 * struct seam_submit - front end of jobs on one node
 * @front: encoding of the callers
 * @clock: clock of deadlines
 * @store: the platform's store
 * @catalog: version in force
 * @lost: whether the store is known to be away
 * @room: whether a queue can serve another job in time; SEAM_BUSY with the time
 *        to come back otherwise; NULL admits everything
 * @room_arg: passed to @room
 */
struct seam_submit {
	const struct seam_front_ops *front;
	struct seam_clock *clock;
	struct seam_store *store;
	struct seam_catalog_cell *catalog;
	bool (*lost)(struct seam_store *s);
	int (*room)(void *arg, const struct seam_job_queue *q,
		    const struct seam_jobspec *j, int64_t *retry_ms,
		    struct seam_err *e);
	void *room_arg;
};

/** seam_submit_serve() - serve one call; @arg is a struct seam_submit */
void seam_submit_serve(struct seam_call *c, void *arg);

#ifdef __cplusplus
}
#endif
#endif
