#ifndef SEAM_STORE_SERVE_H
#define SEAM_STORE_SERVE_H

#include "process/http.h"
#include "process/store.h"

/** struct seam_store_server - a store that is served to other nodes */
struct seam_store_server {
	struct seam_store *store;
	struct seam_clock *clock;
};

/**
 * seam_store_serve() - serve a store to other nodes under /v1/store/
 * @s: the store and the clock of the deadlines; must outlive @h
 * @h: server, not started yet
 *
 * The protocol is that of seam_store_http_new().
 */
void seam_store_serve(struct seam_store_server *s, struct seam_http *h);

#endif
