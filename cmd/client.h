#ifndef SEAM_CLIENT_H
#define SEAM_CLIENT_H

#include <json-c/json.h>

#include "base/err.h"

/**
 * struct seam_client - connection of the command-line tool to a daemon
 * @url: http://IP:PORT
 * @key: operators' key
 */
struct seam_client {
	const char *url;
	const char *key;
};

/**
 * seam_client_call() - send a request and read a JSON answer
 * @c: client
 * @method: method
 * @path: path and query
 * @body: JSON text, or NULL
 * @e: SEAM_UNAVAILABLE without an answer; otherwise the kind that the daemon
 *     named, with its message
 *
 * Return: the answer, to be put, or NULL.
 */
struct json_object *seam_client_call(const struct seam_client *c,
				     const char *method, const char *path,
				     const char *body, struct seam_err *e);

#endif
