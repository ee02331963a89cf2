#ifndef SEAM_CLIENT_H
#define SEAM_CLIENT_H

#include <json-c/json.h>

#include "base/err.h"

/**
 * struct seam_client - daemon that the command-line tool calls
 * @url: base URL of the daemon, http://IP:PORT
 * @key: operators' key, sent as a bearer token
 */
struct seam_client {
	const char *url;
	const char *key;
};

/**
 * seam_client_call() - send a request and parse the JSON response
 * @c: client
 * @method: HTTP method
 * @path: path and query
 * @body: JSON text, or NULL
 * @e: SEAM_UNAVAILABLE if no usable response arrived; otherwise the kind and
 *     message that the daemon returned
 *
 * Return: the response with one reference owned by the caller, or NULL.
 */
struct json_object *seam_client_call(const struct seam_client *c,
				     const char *method, const char *path,
				     const char *body, struct seam_err *e);

#endif
