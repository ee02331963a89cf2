#include "process/rest.h"
#include "process/store.h"

#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct store_http {
	struct seam_store store;
	struct seam_rest *rest;
};

static uint64_t number(struct json_object *o, const char *name)
{
	struct json_object *v = NULL;

	json_object_object_get_ex(o, name, &v);
	return json_object_get_uint64(v);
}

static const char *text(struct json_object *o, const char *name, int *len)
{
	struct json_object *v = NULL;

	json_object_object_get_ex(o, name, &v);
	if (!json_object_is_type(v, json_type_string))
		return NULL;
	*len = json_object_get_string_len(v);
	return json_object_get_string(v);
}

static int read_row(struct json_object *o, struct seam_row *row,
		    struct seam_err *e)
{
	int len = 0;
	const char *key = text(o, "key", &len);
	const char *writer = text(o, "writer", &len);
	const char *data = text(o, "data", &len);

	if (!key || !data || !writer || strlen(key) >= SEAM_KEY_MAX)
		return seam_fail(e, SEAM_UNAVAILABLE, "store: broken row");
	snprintf(row->key, sizeof(row->key), "%s", key);
	row->data = malloc((size_t)len + 1);
	if (!row->data)
		return seam_fail(e, SEAM_NO_MEMORY, NULL);
	memcpy(row->data, data, (size_t)len + 1);
	row->len = (size_t)len;
	row->version = number(o, "version");
	row->writer = strtoull(writer, NULL, 16);
	return 0;
}

/* Returns the parsed answer of a read, or NULL. */
static struct json_object *read_answer(struct store_http *s, const char *path,
				       seam_time deadline, struct seam_err *e)
{
	struct seam_rest_call c = {
		.method = "GET", .path = path, .deadline = deadline};
	struct seam_rest_answer a;
	struct json_object *o = NULL;

	if (seam_rest_do(s->rest, &c, &a, e)) {
		/* A read without an answer changed nothing. */
		e->kind = SEAM_UNAVAILABLE;
		return NULL;
	}
	if (a.status == 200 && a.body)
		o = json_tokener_parse(a.body);
	if (a.status == 404)
		seam_fail(e, SEAM_NOT_FOUND, "no row %s", path);
	else if (!o)
		seam_fail(e, SEAM_UNAVAILABLE, "store: status %d", a.status);
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
	o = read_answer((struct store_http *)base, path, deadline, e);
	if (!o)
		return -1;
	rc = read_row(o, row, e);
	json_object_put(o);
	return rc;
}

static int read_rows(struct json_object *o, struct seam_rows *rows,
		     struct seam_err *e)
{
	struct json_object *list = NULL;
	size_t n;

	json_object_object_get_ex(o, "rows", &list);
	if (!json_object_is_type(list, json_type_array))
		return seam_fail(e, SEAM_UNAVAILABLE, "store: broken scan");
	n = json_object_array_length(list);
	rows->row = calloc(n + 1, sizeof(*rows->row));
	if (!rows->row)
		return seam_fail(e, SEAM_NO_MEMORY, NULL);
	for (rows->n = 0; rows->n < n; rows->n++) {
		struct json_object *r =
			json_object_array_get_idx(list, rows->n);

		if (read_row(r, &rows->row[rows->n], e)) {
			seam_rows_free(rows);
			return -1;
		}
	}
	return 0;
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
	o = read_answer((struct store_http *)base, path, deadline, e);
	if (!o)
		return -1;
	rc = read_rows(o, rows, e);
	json_object_put(o);
	return rc;
}

static const char *const op_names[] = {"put", "delete", "check"};

static struct json_object *write_object(const struct seam_write *w)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(o, "op",
			       json_object_new_string(op_names[w->op]));
	json_object_object_add(o, "key", json_object_new_string(w->key));
	if (w->version != SEAM_ANY_VERSION)
		json_object_object_add(o, "version",
				       json_object_new_uint64(w->version));
	if (w->op == SEAM_PUT)
		json_object_object_add(
			o, "data",
			json_object_new_string_len(w->data ? w->data : "",
						   (int)w->len));
	return o;
}

static struct json_object *commit_object(const struct seam_commit *c)
{
	struct json_object *o = json_object_new_object();
	struct json_object *list = json_object_new_array();
	char token[24];
	size_t i;

	snprintf(token, sizeof(token), "%" PRIx64, c->token);
	json_object_object_add(o, "token", json_object_new_string(token));
	for (i = 0; i < c->n; i++)
		json_object_array_add(list, write_object(&c->write[i]));
	json_object_object_add(o, "writes", list);
	return o;
}

/* Only a whole answer with a known status says whether the commit applied. */
static int commit_answer(struct seam_commit *c, const char *body, int status,
			 struct seam_err *e)
{
	struct json_object *o = body ? json_tokener_parse(body) : NULL;
	int len = 0;
	const char *why = text(o, "error", &len);
	int rc = -1;

	if (status == 200 && number(o, "version")) {
		c->version = number(o, "version");
		rc = 0;
	} else if (status == 409 && why) {
		seam_fail(e, SEAM_CONFLICT, "%s", why);
	} else if (status == 400 && why) {
		seam_fail(e, SEAM_BAD_REQUEST, "%s", why);
	} else if (status == 413 && why) {
		seam_fail(e, SEAM_TOO_LARGE, "%s", why);
	} else if (status == 503 && why) {
		seam_fail(e, SEAM_UNAVAILABLE, "%s", why);
	} else {
		seam_fail(e, SEAM_COMMIT_UNKNOWN, "store: status %d", status);
	}
	json_object_put(o);
	return rc;
}

static int http_commit(struct seam_store *base, struct seam_commit *c,
		       seam_time deadline, struct seam_err *e)
{
	struct store_http *s = (struct store_http *)base;
	struct json_object *o = commit_object(c);
	struct seam_rest_answer a;
	struct seam_rest_call call = {.method = "POST",
				      .path = "/commit",
				      .body = json_object_to_json_string_ext(
					      o, JSON_C_TO_STRING_PLAIN),
				      .once = true,
				      .deadline = deadline};
	int rc;

	rc = seam_rest_do(s->rest, &call, &a, e);
	json_object_put(o);
	if (rc)
		return -1;
	rc = commit_answer(c, a.body, a.status, e);
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
	.close = http_close,
};

struct seam_store *seam_store_http_new(struct seam_clock *k, const char *url)
{
	struct store_http *s = calloc(1, sizeof(*s));

	if (!s)
		return NULL;
	s->store.ops = &http_ops;
	s->rest = seam_rest_new(k, url);
	if (!s->rest) {
		free(s);
		return NULL;
	}
	return &s->store;
}
