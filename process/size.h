#ifndef SEAM_SIZE_H
#define SEAM_SIZE_H

#include "base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct seam_need - resources of a task or a worker
 * @cpu: processors, in thousandths of a core
 * @mem: memory in MB
 * @acc: accelerators
 */
struct seam_need {
	int64_t cpu;
	int64_t mem;
	int64_t acc;
};

/** struct seam_sizes - learned sizes and run times; not thread-safe */
struct seam_sizes;

/** seam_sizes_new() - create an empty table */
struct seam_sizes *seam_sizes_new(void);

/** seam_sizes_free() - free the table; NULL is allowed */
void seam_sizes_free(struct seam_sizes *s);

/**
 * seam_sizes_add() - add a sample of a completed task
 * @s: sizes
 * @team: team
 * @kind: kind of the task, as named by its caller
 * @peak: highest usage that was reported
 * @run: run time in microseconds
 * @now: time; the weight of a sample halves every six hours
 */
void seam_sizes_add(struct seam_sizes *s, const char *team, const char *kind,
		    const struct seam_need *peak, seam_time run, seam_time now);

/**
 * seam_sizes_reserve() - resources to reserve for a task
 * @s: sizes
 * @team: team
 * @kind: kind
 * @declared: declared size, used until there are enough samples
 * @reported: usage reported for an earlier attempt, or zeros
 *
 * Return: the larger of the learned p90 and @reported, at most four times
 * @declared. Accelerators are always as declared.
 */
struct seam_need seam_sizes_reserve(const struct seam_sizes *s,
				    const char *team, const char *kind,
				    const struct seam_need *declared,
				    const struct seam_need *reported);

/**
 * seam_sizes_run_time() - learned run time of a kind of task
 * @s: sizes
 * @team: team
 * @kind: kind
 *
 * Return: the p90, in microseconds, of the run times given to seam_sizes_add()
 * for @team and @kind, newer samples weighing more; 0 if the samples weigh less
 * than five new ones.
 */
seam_time seam_sizes_run_time(const struct seam_sizes *s, const char *team,
			      const char *kind);

#ifdef __cplusplus
}
#endif
#endif
