#include "base/json.h"
#include "process/rest.h"
#include "process/store.h"
#include "process/store_json.h"

#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A node that watches on behalf of this one is to respond this long before the
 * deadline. */
#define WATCH_MARGIN (600 * SEAM_MSEC)

struct store_http {
	struct seam_store store;
	struct seam_clock *clock;
	struct seam_rest *rest;
};

/* Sends a read; returns the parsed response, or NULL. */
static struct json_object *send_read(struct store_http *s, const char *path,
				     seam_time deadline, struct seam_err *e)
{
	struct seam_rest_request c = {
		.method = "GET", .path = path, .deadline = deadline};
	struct seam_rest_response a;
	struct json_object *o = NULL;

	if (seam_rest_do(s->rest, &c, &a, e)) {
		/* A read has no outcome that could be unknown. */
		e->kind = SEAM_UNAVAILABLE;
		return NULL;
	}
	if (a.status == 200 && a.body)
		o = json_tokener_parse(a.body);
	if (a.status == 410)
		seam_fail(e, SEAM_STALE, "store: history is gone");
	else if (a.status == 404)
		seam_fail(e, SEAM_NOT_FOUND, "no row %s", path);
	else if (!o)
		seam_fail(e, SEAM_UNAVAILABLE,
			  "store: unusable response, HTTP status %d", a.status);
	free(a.body);
	return o;
}

static int http_get(struct seam_store *base, const char *key,
		    struct seam_row *row, seam_time deadline,
		    struct seam_err *e)
{
	char path[600] = "/rows/";
	struct json_object *o;
	int rc;

	seam_rest_escape(path, sizeof(path), key);
	o = send_read((struct store_http *)base, path, deadline, e);
	if (!o)
		return -1;
	rc = seam_store_row_parse(o, row, e);
	json_object_put(o);
	return rc;
}

static int http_scan(struct seam_store *base, const char *prefix,
		     const char *after, size_t max, struct seam_rows *rows,
		     seam_time deadline, struct seam_err *e)
{
	char path[1000] = "/rows?prefix=";
	struct json_object *o;
	size_t n;
	int rc;

	rows->row = NULL;
	rows->n = 0;
	seam_rest_escape(path, sizeof(path), prefix);
	n = strlen(path);
	snprintf(path + n, sizeof(path) - n, "&max=%zu&after=", max);
	seam_rest_escape(path, sizeof(path), after ? after : "");
	o = send_read((struct store_http *)base, path, deadline, e);
	if (!o)
		return -1;
	rc = seam_store_rows_parse(o, rows, e);
	/* A node of an earlier release does not tell. */
	if (!rc && !json_object_object_get_ex(o, "more", NULL))
		rows->more = rows->n >= max;
	json_object_put(o);
	return rc;
}

static int http_watch(struct seam_store *base, const char *prefix,
		      uint64_t *after, struct seam_rows *rows,
		      seam_time deadline, struct seam_err *e)
{
	struct store_http *s = (struct store_http *)base;
	seam_time wait = deadline - seam_now(s->clock) - WATCH_MARGIN;
	char path[600] = "/watch?prefix=";
	struct json_object *o;
	size_t n;
	int rc;

	memset(rows, 0, sizeof(*rows));
	seam_rest_escape(path, sizeof(path), prefix);
	n = strlen(path);
	snprintf(path + n, sizeof(path) - n, "&after=%" PRIu64 "&wait_ms=%lld",
		 *after, (long long)(wait > 0 ? wait / SEAM_MSEC : 0));
	o = send_read(s, path, deadline, e);
	if (!o)
		return -1;
	rc = seam_store_rows_parse(o, rows, e);
	if (!rc)
		*after = rows->version;
	json_object_put(o);
	return rc;
}

/* Only a complete response with a known status determines the outcome of a
 * commit; with any other the outcome is unknown. */
static int parse_commit_response(struct seam_commit *c, const char *body,
				 int status, struct seam_err *e)
{
	struct json_object *o = body ? json_tokener_parse(body) : NULL;
	const char *message = o ? seam_json_str(o, "error", NULL) : NULL;
	int rc = -1;

	if (status == 200 && o && seam_json_int(o, "version", 0)) {
		c->version = (uint64_t)seam_json_int(o, "version", 0);
		rc = 0;
	} else if (status == 409 && message) {
		seam_fail(e, SEAM_CONFLICT, "%s", message);
	} else if (status == 400 && message) {
		seam_fail(e, SEAM_BAD_REQUEST, "%s", message);
	} else if (status == 413 && message) {
		seam_fail(e, SEAM_TOO_LARGE, "%s", message);
	} else if (status == 503 && message) {
		seam_fail(e, SEAM_UNAVAILABLE, "%s", message);
	} else {
		seam_fail(
			e, SEAM_COMMIT_UNKNOWN,
			"store: unusable response to a commit, HTTP status %d",
			status);
	}
	json_object_put(o);
	return rc;
}

static int http_commit(struct seam_store *base, struct seam_commit *c,
		       seam_time deadline, struct seam_err *e)
{
	struct store_http *s = (struct store_http *)base;
	struct json_object *o = seam_store_commit_to_json(c);
	struct seam_rest_response a;
	struct seam_rest_request call = {.method = "POST",
					 .path = "/commit",
					 .body = json_object_to_json_string_ext(
						 o, JSON_C_TO_STRING_PLAIN),
					 .once = true,
					 .fresh = true,
					 .deadline = deadline};
	int rc;

	rc = seam_rest_do(s->rest, &call, &a, e);
	json_object_put(o);
	if (rc)
		return -1;
	rc = parse_commit_response(c, a.body, a.status, e);
	free(a.body);
	return rc;
}

static void http_close(struct seam_store *base)
{
	struct store_http *s = (struct store_http *)base;

	seam_rest_free(s->rest);
	free(s);
}

static const struct seam_store_ops http_ops = {
	.get = http_get,
	.scan = http_scan,
	.commit = http_commit,
	.watch = http_watch,
	.close = http_close,
};

void seam_store_http_keep_one_connection(struct seam_store *s)
{
	seam_rest_keep_one_connection(((struct store_http *)s)->rest);
}

struct seam_store *seam_store_http_new(struct seam_clock *k, const char *url)
{
	struct store_http *s = calloc(1, sizeof(*s));

	if (!s)
		return NULL;
	s->store.ops = &http_ops;
	s->clock = k;
	s->rest = seam_rest_new(k, url);
	if (!s->rest) {
		free(s);
		return NULL;
	}
	return &s->store;
}
