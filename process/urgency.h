#ifndef SEAM_URGENCY_H
#define SEAM_URGENCY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct seam_urgency - what decides when a job's tasks start
 * @priority: of its queue; 0 comes first
 * @lasting: it runs until it is cancelled
 * @over_share: its workspace handed in more than its share at that moment
 * @begun: a task of it has been started
 * @due_at: end of its latency objective
 * @left_ms: run time of its longest chain that is left
 * @accepted_at: when it was accepted
 */
struct seam_urgency {
	int priority;
	bool lasting;
	bool over_share;
	bool begun;
	seam_time due_at;
	int64_t left_ms;
	seam_time accepted_at;
};

/**
 * seam_urgency_late() - whether it will hardly meet its objective
 *
 * Run times are estimates and tasks of a step are uneven, so a job that would
 * just be in time by its estimate is late.
 */
bool seam_urgency_late(const struct seam_urgency *u, seam_time now);

/**
 * seam_urgency_before() - order in which jobs of a pool get room
 *
 * Answers a queue whose demand is above what its pool holds: first come jobs
 * that can still meet their objective, and of those that can't the oldest. A
 * job that can't is worth little to its caller, and room spent on it makes the
 * next one late as well. What a workspace hands in beyond its share comes after
 * the others' jobs. Of equal jobs those that have begun are finished first,
 * then the one with the least slack.
 *
 * Return: less than, equal to or greater than 0 as for qsort().
 */
int seam_urgency_before(const struct seam_urgency *a,
			const struct seam_urgency *b, seam_time now);

#ifdef __cplusplus
}
#endif
#endif
