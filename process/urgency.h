#ifndef SEAM_URGENCY_H
#define SEAM_URGENCY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct seam_urgency - inputs for the position of a job in the start order
 * @priority: priority of its queue; 0 comes first
 * @lasting: the job runs until it is cancelled
 * @over_share: its workspace exceeded its share when the job was submitted
 * @begun: a task of the job has been started
 * @due_at: end of its latency objective
 * @left_ms: remaining run time of its critical path
 * @accepted_at: when the job was accepted
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
 * struct seam_urgency_key - sort key of a job; the least comes first
 * @rank: compared first
 * @at: compared next
 * @valid_until: the key changes after this time; SEAM_NEVER if it does not
 */
struct seam_urgency_key {
	int64_t rank;
	seam_time at;
	seam_time valid_until;
};

/*
 * Delay from a decision to the start of a task, plus that from its end to the
 * report of it.
 */
#define SEAM_START_AND_REPORT_DELAY (100 * SEAM_MSEC)

/** seam_urgency_late() - whether the job is late by its estimate */
bool seam_urgency_late(const struct seam_urgency *u, seam_time now);

/**
 * seam_urgency_key_of() - sort key for the start order of the jobs of a pool
 * @u: job
 * @now: time
 * @overloaded: demand exceeds the capacity of the whole fleet
 *
 * Jobs that can still meet their objective come first, then late jobs that are
 * still of use, within three times the objective, then all others. A late job
 * is worth little to its caller, and capacity spent on it makes the next job
 * late as well. Within each of these classes, jobs that exceed the share of
 * their workspace come after those of others. Equal jobs are ordered by least
 * slack, late ones by age.
 *
 * This order suits a pool that is full until more VMs join it. If the whole
 * fleet is overloaded, least slack would start each job when it is just too
 * late. So with @overloaded a job without a margin for tasks that exceed their
 * estimate counts as late, and begun jobs come first.
 */
struct seam_urgency_key seam_urgency_key_of(const struct seam_urgency *u,
					    seam_time now, bool overloaded);

/** seam_urgency_first_late() - a key that comes just before all late jobs */
struct seam_urgency_key seam_urgency_first_late(void);

/** seam_urgency_compare() - as strcmp(): negative, 0 or positive */
int seam_urgency_compare(const struct seam_urgency_key *a,
			 const struct seam_urgency_key *b);

#ifdef __cplusplus
}
#endif
#endif
