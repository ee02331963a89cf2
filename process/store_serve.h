#ifndef SEAM_STORE_SERVE_H
#define SEAM_STORE_SERVE_H

#include "process/http.h"
#include "process/store.h"

/**
 * seam_store_serve() - serve a store to other nodes under /v1/store/
 * @s: store
 * @k: clock
 * @h: server, not started yet
 *
 * The calls are those of seam_store_http_new().
 */
void seam_store_serve(struct seam_store *s, struct seam_clock *k,
		      struct seam_http *h);

#endif
