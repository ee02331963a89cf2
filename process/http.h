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
 * seam_http_new() - front end over CivetWeb
 * @k: clock
 *
 * Each connection has a thread that reads a request, runs its handler and
 * writes the answer, and then the next one.
 */
struct seam_http *seam_http_new(struct seam_clock *k);

/**
 * seam_http_route() - register a handler; before seam_http_start() only
 * @h: front end
 * @methods: methods separated by "|", or "*"
 * @prefix: path; one that ends in "/" stands for all paths below it
 * @fn: handler
 * @arg: passed to it
 *
 * The longest matching prefix decides.
 */
void seam_http_route(struct seam_http *h, const char *methods,
		     const char *prefix, seam_handler fn, void *arg);

/**
 * seam_http_start() - listen
 * @h: front end
 * @addr: IP:PORT
 * @threads: connections served at once
 * @e: SEAM_UNAVAILABLE if the address can't be used
 */
int seam_http_start(struct seam_http *h, const char *addr, int threads,
		    struct seam_err *e);

/**
 * seam_http_drain() - take no new work and wait for running requests
 * @h: front end
 * @deadline: end of the wait
 *
 * Paths that are not under /v1/services/ or /v1/queues/ are still served, so
 * that probes see the state.
 *
 * Return: true if no request was running at the end.
 */
bool seam_http_drain(struct seam_http *h, seam_time deadline);

/** seam_http_close_after() - close each connection after its next answer */
void seam_http_close_after(struct seam_http *h);

/** seam_http_draining() - whether the drain has begun */
bool seam_http_draining(struct seam_http *h);

/** seam_http_free() - stop and free */
void seam_http_free(struct seam_http *h);

#ifdef __cplusplus
}
#endif
#endif
