#include "process/store_json.h"
#include "base/json.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static uint64_t get_uint64(struct json_object *o, const char *name)
{
	struct json_object *v = NULL;

	json_object_object_get_ex(o, name, &v);
	return json_object_get_uint64(v);
}

static const char *get_string(struct json_object *o, const char *name, int *len)
{
	struct json_object *v = NULL;

	json_object_object_get_ex(o, name, &v);
	if (!json_object_is_type(v, json_type_string))
		return NULL;
	*len = json_object_get_string_len(v);
	return json_object_get_string(v);
}

struct json_object *seam_store_row_to_json(const struct seam_row *r)
{
	struct json_object *o = json_object_new_object();
	char writer[24];

	snprintf(writer, sizeof(writer), "%" PRIx64, r->writer);
	json_object_object_add(o, "key", json_object_new_string(r->key));
	json_object_object_add(o, "version",
			       json_object_new_uint64(r->version));
	json_object_object_add(o, "writer", json_object_new_string(writer));
	if (r->data)
		json_object_object_add(
			o, "data",
			json_object_new_string_len(r->data, (int)r->len));
	return o;
}

int seam_store_row_parse(struct json_object *o, struct seam_row *row,
			 struct seam_err *e)
{
	int len = 0;
	const char *key = get_string(o, "key", &len);
	const char *writer = get_string(o, "writer", &len);
	const char *data = get_string(o, "data", &len);

	if (!key || !writer || strlen(key) >= SEAM_KEY_MAX)
		return seam_fail(e, SEAM_UNAVAILABLE,
				 "store: broken row: bad key or no writer");
	row->version = get_uint64(o, "version");
	row->writer = strtoull(writer, NULL, 16);
	row->data = NULL;
	row->len = 0;
	if (!data)
		return 0;
	snprintf(row->key, sizeof(row->key), "%s", key);
	row->data = malloc((size_t)len + 1);
	if (!row->data)
		return seam_fail(e, SEAM_NO_MEMORY, NULL);
	memcpy(row->data, data, (size_t)len + 1);
	row->len = (size_t)len;
	return 0;
}

struct json_object *seam_store_rows_to_json(const struct seam_rows *rows)
{
	struct json_object *o = json_object_new_object();
	struct json_object *list = json_object_new_array();
	size_t i;

	for (i = 0; i < rows->n; i++)
		json_object_array_add(list,
				      seam_store_row_to_json(&rows->row[i]));
	json_object_object_add(o, "rows", list);
	json_object_object_add(o, "version",
			       json_object_new_uint64(rows->version));
	json_object_object_add(o, "more", json_object_new_boolean(rows->more));
	return o;
}

int seam_store_rows_parse(struct json_object *o, struct seam_rows *rows,
			  struct seam_err *e)
{
	struct json_object *list = NULL;
	size_t n;

	memset(rows, 0, sizeof(*rows));
	json_object_object_get_ex(o, "rows", &list);
	if (!json_object_is_type(list, json_type_array))
		return seam_fail(
			e, SEAM_UNAVAILABLE,
			"store: broken scan result: rows is not a list");
	rows->version = get_uint64(o, "version");
	rows->more = seam_json_bool(o, "more");
	n = json_object_array_length(list);
	rows->row = calloc(n + 1, sizeof(*rows->row));
	if (!rows->row)
		return seam_fail(e, SEAM_NO_MEMORY, NULL);
	for (rows->n = 0; rows->n < n; rows->n++) {
		struct json_object *r =
			json_object_array_get_idx(list, rows->n);

		if (seam_store_row_parse(r, &rows->row[rows->n], e)) {
			seam_rows_free(rows);
			return -1;
		}
	}
	return 0;
}

static const char *const op_names[] = {"put", "delete", "check"};

static struct json_object *write_to_json(const struct seam_write *w)
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

struct json_object *seam_store_commit_to_json(const struct seam_commit *c)
{
	struct json_object *o = json_object_new_object();
	struct json_object *list = json_object_new_array();
	char token[24];
	size_t i;

	snprintf(token, sizeof(token), "%" PRIx64, c->token);
	json_object_object_add(o, "token", json_object_new_string(token));
	for (i = 0; i < c->n; i++)
		json_object_array_add(list, write_to_json(&c->write[i]));
	json_object_object_add(o, "writes", list);
	return o;
}

/* Returns false if the key is missing. */
static bool parse_write(struct json_object *o, struct seam_write *w)
{
	const char *op = seam_json_str(o, "op", "");
	struct json_object *v = NULL;

	w->key = seam_json_str(o, "key", NULL);
	w->version = SEAM_ANY_VERSION;
	if (json_object_object_get_ex(o, "version", &v))
		w->version = json_object_get_uint64(v);
	w->op = !strcmp(op, "put")    ? SEAM_PUT :
		!strcmp(op, "delete") ? SEAM_DELETE :
					SEAM_CHECK;
	w->data = "";
	w->len = 0;
	if (json_object_object_get_ex(o, "data", &v)) {
		w->data = json_object_get_string(v);
		w->len = (size_t)json_object_get_string_len(v);
	}
	return w->key != NULL;
}

int seam_store_commit_parse(struct json_object *o, struct seam_commit *c,
			    struct seam_err *e)
{
	struct json_object *list = NULL;
	struct seam_write *w;
	size_t i;

	c->write = NULL;
	json_object_object_get_ex(o, "writes", &list);
	if (!json_object_is_type(list, json_type_array))
		return seam_fail(e, SEAM_BAD_REQUEST, "writes: not a list");
	c->n = json_object_array_length(list);
	c->token = strtoull(seam_json_str(o, "token", "0"), NULL, 16);
	w = g_new0(struct seam_write, c->n + 1);
	c->write = w;
	for (i = 0; i < c->n; i++)
		if (!parse_write(json_object_array_get_idx(list, i), &w[i]))
			return seam_fail(e, SEAM_BAD_REQUEST, "key: missing");
	return 0;
}
