#ifndef SEAM_JOBSPEC_H
#define SEAM_JOBSPEC_H

#include <stdbool.h>
#include <stdint.h>

#include <json-c/json.h>

#include "base/err.h"
#include "version/catalog.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SEAM_JOB_ID_SIZE 20 /* bytes of a job's id, NUL included */
#define SEAM_JOB_ID_DIGITS 16
#define SEAM_JOB_TEXT_MAX 4000 /* bytes */
#define SEAM_STEPS_MAX 64
#define SEAM_JOB_TASKS_MAX 20000
/*
 * Bounds of the other counts and times of a step. Sums and products over a job
 * of that size fit into int64_t, but for its work, which saturates.
 */
#define SEAM_JOB_RESOURCE_MAX 1000000000
#define SEAM_JOB_TIME_MAX_MS INT64_C(31536000000) /* 365 days */

/**
 * struct seam_step - tasks of a job with the same requirements
 * @tasks: number of tasks
 * @need: resources that a task reserves
 * @estimate_ms: estimated run time of a task
 * @after: bit I is set if step I has to be done first
 * @per_worker: maximum number of tasks on a worker; 0 is no limit
 * @target_ms: latency objective of a serving task; 0 for other tasks
 * @may_miss: maximum number of tasks that planned work may stop at a time
 * @label: label required of the worker, or ""
 * @rack: rack that holds the input data, or ""
 * @image: image; tasks with the same one behave alike
 * @checkpoints: the tasks save checkpoints
 * @speculative: copies of a task may run concurrently
 * @lasting: the tasks run until the job is cancelled
 * @fills: the tasks use only processor time that other tasks leave idle
 * @gang: the tasks can only run all at the same time
 * @same_rack: the tasks run slower when spread over several racks
 */
struct seam_step {
	int64_t tasks;
	struct seam_resources need;
	int64_t estimate_ms;
	uint64_t after;
	int64_t per_worker;
	int64_t target_ms;
	int64_t may_miss;
	char label[SEAM_NAME_SIZE];
	char rack[SEAM_NAME_SIZE];
	char image[SEAM_NAME_SIZE];
	bool checkpoints;
	bool speculative;
	bool lasting;
	bool fills;
	bool gang;
	bool same_rack;
};

/**
 * struct seam_jobspec - a job as submitted by a caller
 * @id: id chosen by the caller
 * @queue: queue
 * @pool: pool of the queue when the job was accepted
 * @attempts: failed runs of a task that the queue allowed at that time
 * @workspace: workspace of the caller's key, or "" for an open queue
 * @text: text passed to the tasks, owned; it may contain NUL bytes, and one
 *        follows it
 * @text_len: its length in bytes
 * @step: steps, owned
 * @steps: number of @step
 * @repeats: number of scheduled repetitions; 0 runs the steps once, now
 */
struct seam_jobspec {
	char id[SEAM_JOB_ID_SIZE];
	char queue[SEAM_NAME_SIZE];
	char pool[SEAM_NAME_SIZE];
	int64_t attempts;
	char workspace[SEAM_NAME_SIZE];
	char *text;
	size_t text_len;
	struct seam_step *step;
	int steps;
	int64_t repeats;
};

/** seam_jobspec_free() - free the members of @j */
void seam_jobspec_free(struct seam_jobspec *j);

/** seam_job_id_is_valid() - whether a job may have this id */
bool seam_job_id_is_valid(const char *id);

/** seam_jobspec_check() - validate; SEAM_BAD_REQUEST if a limit is exceeded */
int seam_jobspec_check(const struct seam_jobspec *j, struct seam_err *e);

/**
 * seam_jobspec_critical_path_ms() - estimated time of the critical path of
 * steps
 *
 * Long-running steps (@lasting) count as 0.
 */
int64_t seam_jobspec_critical_path_ms(const struct seam_jobspec *j);

/** seam_jobspec_core_ms() - reserved core milliseconds of all tasks */
int64_t seam_jobspec_core_ms(const struct seam_jobspec *j);

/** seam_jobspec_to_json() - JSON of the job for its row; owned by the caller */
struct json_object *seam_jobspec_to_json(const struct seam_jobspec *j);

/**
 * seam_jobspec_parse() - parse the output of seam_jobspec_to_json()
 * @e: SEAM_BAD_REQUEST if it is malformed; @j then owns nothing
 */
int seam_jobspec_parse(struct json_object *o, struct seam_jobspec *j,
		       struct seam_err *e);

#ifdef __cplusplus
}
#endif
#endif
