#ifndef SEAM_TARGET_IMPL_H
#define SEAM_TARGET_IMPL_H

/* Shared by the files of the target library only. */

#include <glib.h>
#include <pthread.h>

#include "connection/target.h"

struct seam_targets {
	struct seam_clock *clock;
	pthread_mutex_t lock;
	struct seam_table *table;
	GHashTable *by_id; /* id, in the entry, to struct seam_target */
	GHashTable *by_service; /* name to struct seam_target_service */
	uint64_t round;
};

void seam_target_close_idle(struct seam_target *t);

/* Puts a target into the index by its info; false without memory. */
bool seam_target_attach(struct seam_targets *ts, struct seam_target *t);
void seam_target_detach(struct seam_target *t);

void seam_target_member(struct seam_target *t, int by);
double seam_target_phase(const char *id);

void seam_target_service_free(void *service);

#endif
