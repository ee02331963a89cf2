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
 * Bounds the cost of a scheduling pass under overload: a pass reads jobs in
 * order and stops early, so its cost does not grow with the jobs that it does
 * not reach. Not locked.
 */
struct seam_backlog;

/**
 * struct seam_backlog_cursor - iterator over the jobs of all pools in order
 * @backlog: backlog, which must not change during the iteration
 * @next: position in each pool, in no particular order of pools
 * @pools: number of pools in @next
 */
struct seam_backlog_cursor {
	struct seam_backlog *backlog;
	struct seam_backlog_position *next;
	size_t pools;
};

/** seam_backlog_new() - create an empty backlog */
struct seam_backlog *seam_backlog_new(void);

/** seam_backlog_free() - free the backlog */
void seam_backlog_free(struct seam_backlog *b);

/**
 * seam_backlog_put() - add a job or change its sort key
 * @b: backlog
 * @job: job
 * @pool: its pool, which must be the same in each call
 * @key: sort key
 * @cpu: least CPU that one of its tasks needs, thousandths of a core
 */
void seam_backlog_put(struct seam_backlog *b, struct seam_handle job,
		      const char *pool, const struct seam_urgency_key *key,
		      int64_t cpu);

/** seam_backlog_remove() - remove a job; no effect if it is not present */
void seam_backlog_remove(struct seam_backlog *b, struct seam_handle job);

/** seam_backlog_count() - number of jobs */
size_t seam_backlog_count(const struct seam_backlog *b);

/**
 * seam_backlog_expired() - find a job whose sort key has expired
 * @b: backlog
 * @now: time
 * @job: receives the job, which has to be put again with a new key
 *
 * Return: false if all keys are valid.
 */
bool seam_backlog_expired(struct seam_backlog *b, seam_time now,
			  struct seam_handle *job);

/**
 * seam_backlog_each_from() - iterate over a part of the jobs of a pool
 * @b: backlog, which must not change during the iteration
 * @pool: pool
 * @key: jobs that come after it in order of urgency
 * @fn: called for each, in that order; returns true to end the iteration
 * @arg: passed to @fn
 */
void seam_backlog_each_from(struct seam_backlog *b, const char *pool,
			    const struct seam_urgency_key *key,
			    bool (*fn)(struct seam_handle job, void *arg),
			    void *arg);

/** seam_backlog_begin() - start an iteration; ended with seam_backlog_end() */
void seam_backlog_begin(struct seam_backlog *b, struct seam_backlog_cursor *c);

/**
 * seam_backlog_next() - the next job in order of urgency
 * @c: cursor
 * @job: receives the job
 *
 * Takes time linear in the number of pools.
 *
 * Return: false at the end.
 */
bool seam_backlog_next(struct seam_backlog_cursor *c, struct seam_handle *job);

/**
 * seam_backlog_min_cpu() - least CPU that any task needs in the pool of the job
 * that was returned last, thousandths of a core
 */
int64_t seam_backlog_min_cpu(const struct seam_backlog_cursor *c);

/** seam_backlog_skip_pool() - skip the pool of the job returned last */
void seam_backlog_skip_pool(struct seam_backlog_cursor *c);

/** seam_backlog_end() - end an iteration */
void seam_backlog_end(struct seam_backlog_cursor *c);

#ifdef __cplusplus
}
#endif
#endif
