#ifndef SEAM_EARLY_CANCEL_H
#define SEAM_EARLY_CANCEL_H

#include <stdbool.h>

#include "process/store.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Rows of cancels that arrived before their job was stored. The commit that
 * stores a job requires that there is none of its id, queue and workspace, so
 * that a submission under way, repeated or performed late by the store does not
 * run after its cancel was acknowledged. They are in the part of the job's row.
 */
#define SEAM_EARLY_CANCEL_PREFIX "cancelled/"

/** seam_early_cancel_key() - key of the row for a job of a queue and workspace
 */
void seam_early_cancel_key(const char *id, const char *queue,
			   const char *workspace, char key[SEAM_KEY_MAX]);

#define SEAM_EARLY_CANCEL_SLOTS 256

/**
 * struct seam_early_cancel_rate - limits the rows that a workspace can leave
 * @next: by hash of queue and workspace, the time at which all earlier cancels
 *        would have been accepted at the steady rate
 *
 * A node accepts 100 at once and 10 a second for a queue and workspace. Those
 * with the same hash share a limit. All zero is the initial state.
 */
struct seam_early_cancel_rate {
	seam_time next[SEAM_EARLY_CANCEL_SLOTS];
};

/** seam_early_cancel_admit() - whether another row may be written at @now */
bool seam_early_cancel_admit(struct seam_early_cancel_rate *r,
			     const char *queue, const char *workspace,
			     seam_time now);

#ifdef __cplusplus
}
#endif
#endif
