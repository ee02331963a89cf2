#ifndef SEAM_CALL_H
#define SEAM_CALL_H

#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/err.h"
#include "request/trace.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SEAM_BODY_MAX (1u << 20)
#define SEAM_TIMEOUT_MS_MAX 30000

struct seam_call;

/**
 * struct seam_answer - complete response to a request
 * @status: HTTP status
 * @type: content type
 * @body: content, owned by this struct; free with seam_answer_free()
 * @len: length in bytes
 * @target: id of the VM that sent it, or ""
 * @retry_ms: delay before a refused caller may retry, or 0 if unspecified
 */
struct seam_answer {
	int status;
	char type[96];
	char *body;
	size_t len;
	char target[64];
	int64_t retry_ms;
};

struct json_object;

/**
 * struct seam_call_ops - operations of the front end that read a request
 * @header: value of a request header, or NULL
 * @reply: send the complete response
 */
struct seam_call_ops {
	const char *(*header)(struct seam_call *c, const char *name);
	int (*reply)(struct seam_call *c, const struct seam_answer *a);
};

/**
 * struct seam_call - a request, from its arrival until it is answered
 * @ops: front end; first member
 * @method: "GET", ...
 * @path: path without the query
 * @query: query without "?", or ""
 * @body: body, @len bytes and a NUL
 * @len: length in bytes
 * @arrived: time at which it was read
 * @deadline: time at which the caller stops waiting
 * @trace: trace context of this hop
 * @status: status of the response once it was sent
 */
struct seam_call {
	const struct seam_call_ops *ops;
	const char *method;
	const char *path;
	const char *query;
	char *body;
	size_t len;
	seam_time arrived;
	seam_time deadline;
	struct seam_trace trace;
	int status;
};

static inline const char *seam_call_header(struct seam_call *c,
					   const char *name)
{
	return c->ops->header(c, name);
}

/** seam_call_key() - token of the Authorization header, or NULL */
const char *seam_call_key(struct seam_call *c);

/**
 * seam_call_param() - value of a query parameter
 * @c: request
 * @name: name
 * @out: receives the value, still percent-encoded
 * @size: size of @out
 *
 * Return: 0, or -1 if it is absent or too long.
 */
int seam_call_param(struct seam_call *c, const char *name, char *out,
		    size_t size);

/** seam_reply() - send a response */
int seam_reply(struct seam_call *c, const struct seam_answer *a);

/** seam_reply_text() - send @text with a status and content type */
int seam_reply_text(struct seam_call *c, int status, const char *type,
		    const char *text);

/**
 * seam_reply_json() - send a JSON object and release it
 * @style: JSON_C_TO_STRING_PRETTY for operators, else JSON_C_TO_STRING_PLAIN
 */
int seam_reply_json(struct seam_call *c, int status, struct json_object *o,
		    int style);

/** seam_reply_err() - send @e as a JSON error response */
int seam_reply_err(struct seam_call *c, const struct seam_err *e);

/** seam_answer_free() - free the body */
void seam_answer_free(struct seam_answer *a);

#ifdef __cplusplus
}
#endif
#endif
