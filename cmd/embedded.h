#ifndef SEAM_EMBEDDED_H
#define SEAM_EMBEDDED_H

#include "process/node.h"

/**
 * struct seam_embedded - platform, targets and workers in the daemon's process
 *
 * For trying out the daemon without other processes. All state is in memory and
 * is lost when the process ends.
 */
struct seam_embedded;

/** seam_embedded_new() - start all of it in data centre @dc; NULL sets @e */
struct seam_embedded *seam_embedded_new(struct seam_clock *k, const char *dc,
					struct seam_err *e);

/** seam_embedded_store() - table service */
struct seam_store *seam_embedded_store(struct seam_embedded *m);

/** seam_embedded_platform() - VM list and reboots */
struct seam_platform *seam_embedded_platform(struct seam_embedded *m);

/** seam_embedded_free() - stop the targets and workers, and free all */
void seam_embedded_free(struct seam_embedded *m);

#endif
