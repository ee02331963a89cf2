#ifndef SEAM_STORE_SERVE_H
#define SEAM_STORE_SERVE_H

#include "process/http.h"
#include "process/store.h"

/** struct seam_store_serve - a store that is served; lives as long as @h */
struct seam_store_serve {
	struct seam_store *store;
	struct seam_clock *clock;
};

/**
 * seam_store_serve() - serve a store to other nodes under /v1/store/
 * @v: the store and the clock of deadlines
 * @h: server, not started yet
 *
 * The calls are those of seam_store_http_new().
 */
void seam_store_serve(struct seam_store_serve *v, struct seam_http *h);

#endif
