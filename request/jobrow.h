#ifndef SEAM_JOBROW_H
#define SEAM_JOBROW_H

#include "process/store.h"
#include "request/jobspec.h"
#include "request/submit.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SEAM_JOB_ROW_PREFIX "job/" /* prefix of job rows */
/* Job rows are spread over the store's parts by the first digit of the id: the
 * store runs the transactions of one part serially. */
#define SEAM_JOB_PARTS "0123456789abcdef"
#define SEAM_PENDING_ROW "board/pending"
/* The users' platform takes 65,536 bytes, with the token of the commit. */
#define SEAM_JOB_ROW_BYTES_MAX 65519
/*
 * Progress of open jobs, in rows of their own. Nobody follows these, so that a
 * job's row, which the owner follows, changes only when it is cancelled or
 * ends.
 */
#define SEAM_PROGRESS_ROW_PREFIX "done/"
/*
 * Failed runs in one row of progress. With 29 bytes for each and the done tasks
 * of the largest job, a row has at most 61,000 bytes.
 */
#define SEAM_PROGRESS_FAILURES_MAX 1400

/**
 * struct seam_failed_run - a run that ended as failed
 *
 * Workers report the end of a run again after a takeover. Keeping the runs
 * instead of a count makes the repeated reports harmless.
 */
struct seam_failed_run {
	int step;
	int task;
	int64_t run;
};

/**
 * struct seam_jobrow - a job as stored in its row, with its progress
 * @spec: the submitted job; without text and steps once the job has ended
 * @state: enum seam_job_state
 * @accepted_ms: time of acceptance, milliseconds since 1970
 * @ended_ms: time at which it ended, or 0
 * @done: an array for each step, with a byte for each task: 1 if it is done
 * @failed: failed runs
 * @failures: number of @failed
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

/**
 * seam_progress_key() - key of a row with progress of job @id
 * @row: number of the row; 0 has the done tasks
 */
void seam_progress_key(const char *id, size_t row, char key[SEAM_KEY_MAX]);

/**
 * seam_progress_parse_key() - job and number of a row with progress
 * @id: receives the id of the job
 * @row: receives the number of the row
 *
 * Return: false if @key is not of such a row.
 */
bool seam_progress_parse_key(const char *key, char id[SEAM_JOB_ID_SIZE],
			     size_t *row);

/**
 * seam_progress_rows() - number of rows that the progress of a job takes
 *
 * A job may have more failed runs than fit into a row of the platform's table
 * service. They are appended only, so that a full row does not change.
 */
size_t seam_progress_rows(const struct seam_jobrow *j);

/** seam_progress_failures() - number of failed runs in a row of progress */
size_t seam_progress_failures(const struct seam_jobrow *j, size_t row);

/** seam_jobrow_merge() - add the done tasks and failed runs of @from */
void seam_jobrow_merge(struct seam_jobrow *j, const struct seam_jobrow *from);

/**
 * seam_jobrow_serialize() - serialise a row without its progress as JSON; free
 * with free()
 *
 * Return: the text, or NULL if out of memory.
 */
char *seam_jobrow_serialize(const struct seam_jobrow *j);

/**
 * seam_jobrow_parse() - parse a row; free it with seam_jobrow_free()
 * @e: SEAM_BAD_REQUEST if it is malformed; @j then owns nothing
 */
int seam_jobrow_parse(const struct seam_row *row, struct seam_jobrow *j,
		      struct seam_err *e);

/**
 * seam_progress_serialize() - serialise a row of progress as JSON; free with
 * free()
 * @row: number of the row
 *
 * Return: the text, or NULL if out of memory.
 */
char *seam_progress_serialize(const struct seam_jobrow *j, size_t row);

/**
 * seam_progress_merge() - add the done tasks and failed runs of a row of
 * progress
 * @e: SEAM_BAD_REQUEST if it is malformed; @j is then unchanged
 */
int seam_progress_merge(struct seam_jobrow *j, const struct seam_row *row,
			struct seam_err *e);

/** seam_jobrow_free() - free the members of @j */
void seam_jobrow_free(struct seam_jobrow *j);

/** seam_jobrow_alloc_done() - allocate @j->done for the steps of @j->spec */
int seam_jobrow_alloc_done(struct seam_jobrow *j);

/**
 * seam_jobrow_add_failed() - record a failed run
 *
 * Return: false if it was recorded before, or if out of memory.
 */
bool seam_jobrow_add_failed(struct seam_jobrow *j,
			    const struct seam_failed_run *f);

/** seam_jobrow_failures() - number of recorded failed runs of a task */
int seam_jobrow_failures(const struct seam_jobrow *j, int step, int task);

/** seam_job_finished() - whether the state is final */
static inline bool seam_job_finished(int state)
{
	return state >= SEAM_JOB_COMPLETED;
}

#ifdef __cplusplus
}
#endif
#endif
