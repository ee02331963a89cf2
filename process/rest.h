#ifndef SEAM_REST_H
#define SEAM_REST_H

#include <stdbool.h>
#include <stddef.h>

#include "base/clock.h"
#include "base/err.h"

#ifdef __cplusplus
extern "C" {
#endif

/** struct seam_rest - HTTP client of a JSON service, with a connection pool */
struct seam_rest;

/**
 * struct seam_rest_request - one request
 * @method: HTTP method
 * @path: path and query, percent-encoded
 * @body: body, or NULL
 * @body_len: its length in bytes; 0 for a NUL-terminated text
 * @type: its content type; NULL for JSON
 * @header: additional header lines, NULL-terminated; may be NULL
 * @once: not sent again on another connection: an attempt without an answer is
 *     SEAM_COMMIT_UNKNOWN, whatever the next one would be answered
 * @fresh: sent on a connection of its own
 * @deadline: the request is not sent after it, and fails at it
 */
struct seam_rest_request {
	const char *method;
	const char *path;
	const char *body;
	size_t body_len;
	const char *type;
	const char *const *header;
	bool once;
	bool fresh;
	seam_time deadline;
};

/**
 * struct seam_rest_response - complete response
 * @status: HTTP status
 * @body: body with a NUL, or NULL if it is empty; the caller frees it
 * @len: length of @body in bytes
 */
struct seam_rest_response {
	int status;
	char *body;
	size_t len;
};

/** seam_rest_new() - create a client of http://IP:PORT */
struct seam_rest *seam_rest_new(struct seam_clock *k, const char *url);

/**
 * seam_rest_keep_one_connection() - keep at most one idle connection
 *
 * For a server that is one of many: each idle connection takes a thread there
 * and a descriptor here.
 */
void seam_rest_keep_one_connection(struct seam_rest *r);

/** seam_rest_free() - close the connections and free */
void seam_rest_free(struct seam_rest *r);

/**
 * seam_rest_do() - send a request and read the complete response
 * @r: client
 * @c: request
 * @a: receives the response
 * @e: SEAM_UNAVAILABLE if the request cannot have arrived, SEAM_COMMIT_UNKNOWN
 *     if it may have arrived but there is no complete response
 */
int seam_rest_do(struct seam_rest *r, const struct seam_rest_request *c,
		 struct seam_rest_response *a, struct seam_err *e);

/** seam_rest_escape() - append @text to @out, percent-encoded except for "/" */
void seam_rest_escape(char *out, size_t size, const char *text);

#ifdef __cplusplus
}
#endif
#endif
