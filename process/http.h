#ifndef SEAM_HTTP_H
#define SEAM_HTTP_H

#include "base/clock.h"
#include "base/err.h"
#include "request/call.h"

#ifdef __cplusplus
extern "C" {
#endif

struct seam_http;

/** typedef seam_handler - serves one request and replies to it */
typedef void (*seam_handler)(struct seam_call *c, void *arg);

/**
 * seam_http_new() - create an HTTP server, implemented with
 * libmicrohttpd
 * @k: clock for arrival times and deadlines
 *
 * Each connection has a thread, which reads a request, runs its handler, writes
 * the response and continues with the next request. The thread begins and ends
 * with its connection.
 */
struct seam_http *seam_http_new(struct seam_clock *k);

/**
 * seam_http_route() - register a handler; call before seam_http_start()
 * @h: server
 * @methods: methods separated by "|", or "*" for all
 * @prefix: path; if it ends in "/", it matches all paths below it
 * @fn: handler
 * @arg: passed to @fn
 *
 * The longest matching prefix is used.
 */
void seam_http_route(struct seam_http *h, const char *methods,
		     const char *prefix, seam_handler fn, void *arg);

/**
 * seam_http_start() - listen and serve
 * @h: server
 * @addr: IP:PORT
 * @max: limit of requests served at the same time, and of connections before
 * idle ones are closed; see struct seam_conn_set. Further requests are refused.
 * @e: SEAM_UNAVAILABLE if the address cannot be used
 */
int seam_http_start(struct seam_http *h, const char *addr, int max,
		    struct seam_err *e);

/**
 * seam_http_drain() - refuse callers' requests and wait for running ones
 * @h: server
 * @deadline: end of the wait
 *
 * Refuses paths under /v1/services/ and /v1/queues/. Other paths are still
 * served, so that probes see the state.
 *
 * Return: whether no request was running at the end.
 */
bool seam_http_drain(struct seam_http *h, seam_time deadline);

/**
 * seam_http_disable_keep_alive() - close each connection after its next
 * response
 */
void seam_http_disable_keep_alive(struct seam_http *h);

/** seam_http_draining() - whether seam_http_drain() was called */
bool seam_http_draining(struct seam_http *h);

/** seam_http_free() - stop and free */
void seam_http_free(struct seam_http *h);

#ifdef __cplusplus
}
#endif
#endif
