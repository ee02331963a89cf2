#ifndef SEAM_TRANSFER_H
#define SEAM_TRANSFER_H

#include <curl/curl.h>
#include <stdbool.h>
#include <stddef.h>

#include "base/clock.h"

/**
 * struct seam_transfer - an HTTP transfer of libcurl
 * @max: maximum size of @body in bytes, including the NUL
 * @once: the request must not be sent more than once
 * @clock: clock of @send_by; NULL for no deadline
 * @send_by: deadline for sending the request
 * @body: NUL-terminated body, or NULL if it is empty; the caller frees it
 * @len: length of the body in bytes
 * @cap: bytes allocated, private
 * @too_large: the transfer was aborted because the body exceeds @max
 * @sent: the request was sent or is about to be sent
 */
struct seam_transfer {
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
 * seam_transfer_setup() - set the common options of all HTTP requests
 * @h: handle, after a reset
 * @r: receives the body of the next transfer
 *
 * libcurl repeats a request by itself if a reused connection is closed before
 * the first byte of the response. With @r->once, the repetition is aborted with
 * CURLE_ABORTED_BY_CALLBACK. So is a request after @r->send_by, because the
 * timeout of libcurl does not count time for which the machine was suspended.
 * Closing a connection resets it: otherwise the data of an abandoned request is
 * delivered when a network partition heals, seconds later.
 */
void seam_transfer_setup(CURL *h, struct seam_transfer *r);

/**
 * seam_transfer_not_sent() - true if the request cannot have arrived
 * @h: handle of a failed transfer
 * @r: its state
 * @rc: its result
 *
 * A failure to connect proves it only if no reused connection was tried before.
 */
bool seam_transfer_not_sent(CURL *h, const struct seam_transfer *r,
			    CURLcode rc);

#endif
