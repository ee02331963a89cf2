#ifndef SEAM_TARGET_IMPL_H
#define SEAM_TARGET_IMPL_H

/* Private to connection/target*.c. */

#include <glib.h>
#include <pthread.h>

#include "connection/target.h"

struct seam_targets {
	struct seam_clock *clock;
	pthread_mutex_t lock;
	struct seam_table *table;
	GHashTable *by_id; /* id, owned by the entry, to struct seam_target */
	GHashTable *by_service; /* name to struct seam_target_service */
	uint64_t list_number;
};

void seam_target_close_idle(struct seam_target *t);

/* Adds a target to the index; false if out of memory. */
bool seam_target_attach(struct seam_targets *ts, struct seam_target *t);
void seam_target_detach(struct seam_target *t);

/* Counts a target, @by is 1 or -1, in its service unless it is leaving. */
void seam_target_count_member(struct seam_target *t, int by);
double seam_target_rounding_offset(const char *id);

void seam_target_service_free(void *service);

#endif
