#ifndef SEAM_FAKE_HTTP_IMPL_H
#define SEAM_FAKE_HTTP_IMPL_H

/* Shared by the fakes that serve HTTP only. */

#include <civetweb.h>

/* Serves all paths; NULL if the address cannot be used. */
struct mg_context *seam_fake_http_start(const char *addr, int threads,
					mg_request_handler fn, void *arg);

/* Ends what seam_fake_http_start() returned. */
void seam_fake_http_stop(struct mg_context *ctx);

#endif
