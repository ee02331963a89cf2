#ifndef SEAM_EMBEDDED_H
#define SEAM_EMBEDDED_H

#include "process/node.h"

/**
 * struct seam_embedded - platform, targets and workers in one process
 *
 * For trying the daemon without any other process; nothing outlives it.
 */
struct seam_embedded;

/** seam_embedded_new() - store, VM list, targets and workers of @dc */
struct seam_embedded *seam_embedded_new(struct seam_clock *k, const char *dc,
					struct seam_err *e);

/** seam_embedded_store() - its table service */
struct seam_store *seam_embedded_store(struct seam_embedded *m);

/** seam_embedded_platform() - its VM list */
struct seam_platform *seam_embedded_platform(struct seam_embedded *m);

/** seam_embedded_free() - stop targets and workers, and free */
void seam_embedded_free(struct seam_embedded *m);

#endif
