#ifndef SEAM_JOBROW_H
#define SEAM_JOBROW_H

#include "process/store.h"
#include "request/jobspec.h"
#include "request/submit.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SEAM_JOB_ROWS "job/" /* prefix of the rows of jobs */
/* Rows are spread over parts by the first digit of the id, because the service
 * does the transactions of one part one after another. */
#define SEAM_JOB_PARTS "0123456789abcdef"
#define SEAM_PENDING_ROW "board/pending"

/**
 * struct seam_failed_run - a run that ended as failed
 *
 * Workers list an end again after a takeover, so runs are kept and not counted.
 */
struct seam_failed_run {
	int step;
	int task;
	int64_t run;
};

/**
 * struct seam_jobrow - a job as its row keeps it
 * @spec: what was handed in; without steps once the job has ended
 * @state: enum seam_job_state
 * @accepted_ms: when it was accepted, milliseconds since 1970
 * @ended_ms: when it ended, or 0
 * @done: one array for each step with a byte a task: it has ended done
 * @failed: failed runs
 * @failures: their number
 */
struct seam_jobrow {
	struct seam_jobspec spec;
	int state;
	int64_t accepted_ms;
	int64_t ended_ms;
	unsigned char **done;
	struct seam_failed_run *failed;
	size_t failures;
};

/** seam_jobrow_key() - key of the row of job @id */
void seam_jobrow_key(const char *id, char key[SEAM_KEY_MAX]);

/** seam_jobrow_id() - id of the job whose row has @key */
const char *seam_jobrow_id(const char *key);

/** seam_jobrow_merge() - add what @from says of done tasks and failed runs */
void seam_jobrow_merge(struct seam_jobrow *j, const struct seam_jobrow *from);

/** seam_jobrow_text() - text of the row; free() it; NULL without memory */
char *seam_jobrow_text(const struct seam_jobrow *j);

/**
 * seam_jobrow_read() - read a row; seam_jobrow_free() it
 * @e: SEAM_BAD_REQUEST if it is damaged; nothing is owned then
 */
int seam_jobrow_read(const struct seam_row *row, struct seam_jobrow *j,
		     struct seam_err *e);

/** seam_jobrow_free() - free what it owns */
void seam_jobrow_free(struct seam_jobrow *j);

/** seam_jobrow_new_done() - make @j->done for the steps of @j->spec */
int seam_jobrow_new_done(struct seam_jobrow *j);

/** seam_jobrow_add_failed() - note a failed run; false if it was noted before
 */
bool seam_jobrow_add_failed(struct seam_jobrow *j,
			    const struct seam_failed_run *f);

/** seam_jobrow_failures() - noted failed runs of a task */
int seam_jobrow_failures(const struct seam_jobrow *j, int step, int task);

/** seam_job_over() - the state does not change any more */
static inline bool seam_job_over(int state)
{
	return state >= SEAM_JOB_COMPLETED;
}

#ifdef __cplusplus
}
#endif
#endif
