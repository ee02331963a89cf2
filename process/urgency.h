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
 * struct seam_urgency_key - place of a job in the order; the least comes first
 * @rank: compared first
 * @at: compared next
 * @holds_until: the place changes after this time; SEAM_NEVER if it stays
 */
struct seam_urgency_key {
	int64_t rank;
	seam_time at;
	seam_time holds_until;
};

/** seam_urgency_late() - it can't meet its objective by its estimate */
bool seam_urgency_late(const struct seam_urgency *u, seam_time now);

/**
 * seam_urgency_key_of() - place in the order in which jobs of a pool get room
 * @u: a job
 * @now: time
 * @crowded: all VMs together hold less than what is asked for
 *
 * First come jobs that can still meet their objective, then late ones that are
 * still of use, within three times the objective, then all others; of late ones
 * the oldest. A job that can't be in time is worth little to its caller, and
 * room spent on it makes the next one late as well. What a workspace hands in
 * beyond its share comes after the others' jobs. Of equal jobs the one with the
 * least slack comes first.
 *
 * Answers a pool that is full for a moment, until VMs have come to it, and with
 * @crowded a load above the whole fleet: then the least slack would start each
 * job when it is just too late, so a job counts as late that has no margin for
 * tasks longer than their estimate, and begun jobs are finished first.
 */
struct seam_urgency_key seam_urgency_key_of(const struct seam_urgency *u,
					    seam_time now, bool crowded);

/** seam_urgency_compare() - less than, equal to or greater than 0 */
int seam_urgency_compare(const struct seam_urgency_key *a,
			 const struct seam_urgency_key *b);

#ifdef __cplusplus
}
#endif
#endif
