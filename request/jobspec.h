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

#define SEAM_JOB_ID 20 /* bytes of a job's id with its NUL */
#define SEAM_JOB_ID_DIGITS 16
#define SEAM_JOB_TEXT_MAX 4000 /* bytes */
#define SEAM_STEPS_MAX 64
#define SEAM_JOB_TASKS_MAX 20000

/**
 * struct seam_step - tasks of a job that are alike
 * @tasks: their number
 * @need: what one reserves
 * @estimate_ms: rough run time of one
 * @after: bit I is set if step I has to be done before
 * @per_worker: most of them on one worker; 0 is no limit
 * @target_ms: latency objective of a serving task; 0 for any other
 * @may_miss: tasks that planned work may take away at the same time
 * @label: label that the worker must have, or ""
 * @rack: rack with the data, or ""
 * @image: tasks of one image behave alike
 * @checkpoints: saves its work
 * @speculative: copies may run side by side
 * @lasting: runs until the job is cancelled
 * @fills: takes the processor time that other tasks leave
 * @gang: the tasks work only together
 * @same_rack: the tasks are slower on several racks
 */
struct seam_step {
	int64_t tasks;
	struct seam_amount need;
	int64_t estimate_ms;
	uint64_t after;
	int64_t per_worker;
	int64_t target_ms;
	int64_t may_miss;
	char label[SEAM_NAME];
	char rack[SEAM_NAME];
	char image[SEAM_NAME];
	bool checkpoints;
	bool speculative;
	bool lasting;
	bool fills;
	bool gang;
	bool same_rack;
};

/**
 * struct seam_jobspec - what a caller handed in
 * @id: id that the caller chose
 * @queue: queue
 * @pool: pool of the queue when the job was accepted
 * @attempts: failed runs of a task that the queue allowed then
 * @workspace: workspace of the caller's key, or "" for an open queue
 * @text: text for the tasks, owned
 * @step: steps, owned
 * @steps: their number
 * @repeats: times that the steps run at set times; 0 is once, now
 */
struct seam_jobspec {
	char id[SEAM_JOB_ID];
	char queue[SEAM_NAME];
	char pool[SEAM_NAME];
	int64_t attempts;
	char workspace[SEAM_NAME];
	char *text;
	struct seam_step *step;
	int steps;
	int64_t repeats;
};

/** seam_jobspec_free() - free what the job owns */
void seam_jobspec_free(struct seam_jobspec *j);

/** seam_jobspec_check() - SEAM_BAD_REQUEST if it breaks a bound */
int seam_jobspec_check(const struct seam_jobspec *j, struct seam_err *e);

/**
 * seam_jobspec_chain_ms() - run time of the longest chain of steps
 *
 * Lasting steps count nothing.
 */
int64_t seam_jobspec_chain_ms(const struct seam_jobspec *j);

/** seam_jobspec_work() - reserved core milliseconds of all tasks */
int64_t seam_jobspec_work(const struct seam_jobspec *j);

/** seam_jobspec_json() - the job as the store keeps it; caller puts it */
struct json_object *seam_jobspec_json(const struct seam_jobspec *j);

/**
 * seam_jobspec_read() - read what seam_jobspec_json() made
 * @e: SEAM_BAD_REQUEST if it is damaged; nothing is owned then
 */
int seam_jobspec_read(struct json_object *o, struct seam_jobspec *j,
		      struct seam_err *e);

#ifdef __cplusplus
}
#endif
#endif
