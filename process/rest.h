#ifndef SEAM_REST_H
#define SEAM_REST_H

#include <stdbool.h>
#include <stddef.h>

#include "base/clock.h"
#include "base/err.h"

#ifdef __cplusplus
extern "C" {
#endif

/** struct seam_rest - JSON client with a small pool of connections */
struct seam_rest;

/**
 * struct seam_rest_call - one request
 * @method: HTTP method
 * @path: path and query, escaped
 * @body: JSON text, or NULL
 * @header: further header lines, NULL-terminated; may be NULL
 * @once: never sent again by the client on another connection
 * @deadline: end of the request
 */
struct seam_rest_call {
	const char *method;
	const char *path;
	const char *body;
	const char *const *header;
	bool once;
	seam_time deadline;
};

/**
 * struct seam_rest_answer - the whole answer
 * @status: HTTP status
 * @body: body with a NUL; the caller frees it
 * @len: its length in bytes
 */
struct seam_rest_answer {
	int status;
	char *body;
	size_t len;
};

/** seam_rest_new() - client of http://IP:PORT */
struct seam_rest *seam_rest_new(struct seam_clock *k, const char *url);

/** seam_rest_free() - close the connections and free */
void seam_rest_free(struct seam_rest *r);

/**
 * seam_rest_do() - send a request and read the whole answer
 * @r: client
 * @c: request
 * @a: receives the answer
 * @e: SEAM_UNAVAILABLE if no connection was made, SEAM_COMMIT_UNKNOWN if the
 *     request may have been received but there is no whole answer
 */
int seam_rest_do(struct seam_rest *r, const struct seam_rest_call *c,
		 struct seam_rest_answer *a, struct seam_err *e);

/** seam_rest_escape() - append @text to @out, escaped for a URL */
void seam_rest_escape(char *out, size_t size, const char *text);

#ifdef __cplusplus
}
#endif
#endif
