#ifndef SEAM_RECV_H
#define SEAM_RECV_H

#include <curl/curl.h>
#include <stdbool.h>
#include <stddef.h>

#include "base/clock.h"

/**
 * struct seam_recv - body of an HTTP answer as libcurl reads it
 * @max: most bytes, with the NUL
 * @once: the request may be sent one time only
 * @clock: clock of @send_by; NULL without one
 * @send_by: the request is not sent after it
 * @body: body with a NUL, or NULL if it is empty; the caller frees it
 * @len: its length in bytes
 * @cap: bytes allocated, private
 * @too_large: the transfer was ended because of @max
 * @sent: the request is about to be sent, or was
 */
struct seam_recv {
	size_t max;
	bool once;
	struct seam_clock *clock;
	seam_time send_by;
	char *body;
	size_t len;
	size_t cap;
	bool too_large;
	bool sent;
};

/**
 * seam_recv_set() - options of a call of this project to an HTTP server
 * @h: handle, reset before
 * @r: receives the body of the next transfer
 *
 * curl sends a request again by itself when a reused connection is closed
 * before any byte of the answer. With @r->once the second start ends the
 * transfer with CURLE_ABORTED_BY_CALLBACK, and so does a start after
 * @r->send_by: curl's own timeout does not count time for which the machine was
 * suspended. A connection is reset when it is closed: a cut network delivers
 * what it holds of a closed one when it heals, seconds after the request was
 * given up.
 */
void seam_recv_set(CURL *h, struct seam_recv *r);

/**
 * seam_recv_unsent() - the request of a failed transfer cannot have arrived
 *
 * A connect that failed says so only if no reused connection had been tried.
 */
bool seam_recv_unsent(CURL *h, const struct seam_recv *r, CURLcode rc);

#endif
