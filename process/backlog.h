#ifndef SEAM_BACKLOG_H
#define SEAM_BACKLOG_H

#include "base/table.h"
#include "process/urgency.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct seam_backlog - jobs with tasks to start, by pool, in order of urgency
 *
 * Answers a load above what can be started at once: what a pass looks at does
 * not grow with the jobs that wait behind. Not locked.
 */
struct seam_backlog;

/**
 * struct seam_backlog_cursor - a walk over the jobs of all pools in order
 * @backlog: what is walked over; it is not changed meanwhile
 * @next: next job of each pool, in no order of pools
 * @pools: their number
 */
struct seam_backlog_cursor {
	struct seam_backlog *backlog;
	struct seam_backlog_next *next;
	size_t pools;
};

/** seam_backlog_new() - without jobs */
struct seam_backlog *seam_backlog_new(void);

/** seam_backlog_free() - free it */
void seam_backlog_free(struct seam_backlog *b);

/**
 * seam_backlog_put() - add a job, or give it another place
 * @b: jobs
 * @job: job
 * @pool: its pool, always the same
 * @key: its place
 * @cpu: least processors that one of its tasks needs, thousandths of a core
 */
void seam_backlog_put(struct seam_backlog *b, struct seam_handle job,
		      const char *pool, const struct seam_urgency_key *key,
		      int64_t cpu);

/** seam_backlog_remove() - a job has no tasks to start; it may be unknown */
void seam_backlog_remove(struct seam_backlog *b, struct seam_handle job);

/** seam_backlog_count() - number of jobs */
size_t seam_backlog_count(const struct seam_backlog *b);

/**
 * seam_backlog_stale() - a job whose key does not hold any more
 * @b: jobs
 * @now: time
 * @job: receives the job, which has to be put again
 *
 * Return: false if all keys hold.
 */
bool seam_backlog_stale(struct seam_backlog *b, seam_time now,
			struct seam_handle *job);

/** seam_backlog_begin() - begin a walk; seam_backlog_end() */
void seam_backlog_begin(struct seam_backlog *b, struct seam_backlog_cursor *c);

/**
 * seam_backlog_next() - the most urgent job that the walk has not had
 * @c: walk
 * @job: receives it
 *
 * Takes a step for each pool.
 *
 * Return: false at the end.
 */
bool seam_backlog_next(struct seam_backlog_cursor *c, struct seam_handle *job);

/** seam_backlog_least() - least processors that a task in the pool of the job
 * that came last needs, thousandths of a core */
int64_t seam_backlog_least(const struct seam_backlog_cursor *c);

/** seam_backlog_skip_pool() - leave out the pool of the job that came last */
void seam_backlog_skip_pool(struct seam_backlog_cursor *c);

/** seam_backlog_end() - end a walk */
void seam_backlog_end(struct seam_backlog_cursor *c);

#ifdef __cplusplus
}
#endif
#endif
