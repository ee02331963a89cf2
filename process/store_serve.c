#include "process/store_serve.h"
#include "base/json.h"
#include "process/store_json.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BASE "/v1/store"
#define CALL_TIMEOUT (900 * SEAM_MSEC) /* of a call for another node */
#define SCAN_ROWS_MAX 500
/* Added to the wait requested by the other node. */
#define WATCH_MARGIN (700 * SEAM_MSEC)
#define WAIT_MAX_MS 5000

/*
 * An unknown outcome is sent as 504, since a client takes the other statuses to
 * mean that the commit was not applied.
 */
static void reply_err(struct seam_call *c, const struct seam_err *e)
{
	struct json_object *o = json_object_new_object();
	int status = 504;

	if (e->kind == SEAM_UNAVAILABLE)
		status = 503;
	else if (e->kind == SEAM_NOT_FOUND)
		status = 404;
	else if (e->kind == SEAM_CONFLICT)
		status = 409;
	else if (e->kind == SEAM_BAD_REQUEST)
		status = 400;
	else if (e->kind == SEAM_STALE)
		status = 410;
	seam_json_add_str(o, "error", e->text);
	seam_reply_json(c, status, o, JSON_C_TO_STRING_PLAIN);
}

/* Copies an unescaped query parameter to @out, "" if it is missing. */
static void query_param(struct seam_call *c, const char *name, char *out,
			size_t size)
{
	char raw[3 * SEAM_KEY_MAX] = "";
	char *text;

	*out = '\0';
	if (seam_call_param(c, name, raw, sizeof(raw)))
		return;
	text = g_uri_unescape_string(raw, NULL);
	g_strlcpy(out, text ? text : "", size);
	g_free(text);
}

static void serve_row(struct seam_call *c, void *arg)
{
	struct seam_store_server *s = arg;
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_row row = {.data = NULL};
	struct json_object *o;

	if (seam_store_get(s->store, c->path + strlen(BASE "/rows/"), &row,
			   seam_now(s->clock) + CALL_TIMEOUT, &e)) {
		reply_err(c, &e);
		return;
	}
	o = seam_store_row_to_json(&row);
	seam_row_free(&row);
	seam_reply_json(c, 200, o, JSON_C_TO_STRING_PLAIN);
}

static void serve_scan(struct seam_call *c, void *arg)
{
	struct seam_store_server *s = arg;
	struct seam_err e = SEAM_ERR_INIT;
	char prefix[SEAM_KEY_MAX];
	char after[SEAM_KEY_MAX];
	char max[16];
	struct seam_rows rows;
	struct json_object *o;
	size_t n;

	query_param(c, "prefix", prefix, sizeof(prefix));
	query_param(c, "after", after, sizeof(after));
	query_param(c, "max", max, sizeof(max));
	n = strtoul(max, NULL, 10);
	if (seam_store_scan(s->store, prefix, *after ? after : NULL,
			    n && n < SCAN_ROWS_MAX ? n : SCAN_ROWS_MAX, &rows,
			    seam_now(s->clock) + CALL_TIMEOUT, &e)) {
		reply_err(c, &e);
		return;
	}
	o = seam_store_rows_to_json(&rows);
	seam_rows_free(&rows);
	seam_reply_json(c, 200, o, JSON_C_TO_STRING_PLAIN);
}

static void serve_watch(struct seam_call *c, void *arg)
{
	struct seam_store_server *s = arg;
	struct seam_err e = SEAM_ERR_INIT;
	char prefix[SEAM_KEY_MAX];
	char after[24];
	char wait[16];
	struct seam_rows rows;
	struct json_object *o;
	uint64_t version;
	int64_t ms;

	query_param(c, "prefix", prefix, sizeof(prefix));
	query_param(c, "after", after, sizeof(after));
	query_param(c, "wait_ms", wait, sizeof(wait));
	version = strtoull(after, NULL, 10);
	ms = strtoll(wait, NULL, 10);
	if (ms < 0 || ms > WAIT_MAX_MS)
		ms = WAIT_MAX_MS;
	if (seam_store_watch(s->store, prefix, &version, &rows,
			     seam_now(s->clock) + ms * SEAM_MSEC + WATCH_MARGIN,
			     &e)) {
		reply_err(c, &e);
		return;
	}
	rows.version = version;
	o = seam_store_rows_to_json(&rows);
	seam_rows_free(&rows);
	seam_reply_json(c, 200, o, JSON_C_TO_STRING_PLAIN);
}

static void serve_commit(struct seam_call *c, void *arg)
{
	struct seam_store_server *s = arg;
	struct seam_err e = SEAM_ERR_INIT;
	struct json_object *o = json_tokener_parse(c->body);
	struct seam_commit commit = {.n = 0};
	char text[64];
	int rc = seam_store_commit_parse(o, &commit, &e);

	if (!rc)
		rc = seam_store_commit(s->store, &commit,
				       seam_now(s->clock) + CALL_TIMEOUT, &e);
	g_free((void *)commit.write);
	json_object_put(o);
	if (rc) {
		reply_err(c, &e);
		return;
	}
	snprintf(text, sizeof(text), "{\"version\":%" PRIu64 "}",
		 commit.version);
	seam_reply_text(c, 200, "application/json", text);
}

void seam_store_serve(struct seam_store_server *s, struct seam_http *h)
{
	seam_http_route(h, "GET", BASE "/rows/", serve_row, s);
	seam_http_route(h, "GET", BASE "/rows", serve_scan, s);
	seam_http_route(h, "GET", BASE "/watch", serve_watch, s);
	seam_http_route(h, "POST", BASE "/commit", serve_commit, s);
}
