#ifndef SEAM_FAKE_HTTP_IMPL_H
#define SEAM_FAKE_HTTP_IMPL_H

/* Private to the fakes that serve HTTP. */

#include <civetweb.h>

/* Serves all paths with @fn; NULL if the address cannot be used. */
struct mg_context *seam_fake_http_start(const char *addr, int threads,
					mg_request_handler fn, void *arg);

/* Stops a server that seam_fake_http_start() started. */
void seam_fake_http_stop(struct mg_context *ctx);

#endif
