#include "cmd/ctl.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define COLUMNS_MAX 16
#define CELL_MAX 40

static const char *cell(struct json_object *row, const char *name)
{
	struct json_object *v = NULL;

	json_object_object_get_ex(row, name, &v);
	if (!v)
		return "-";
	if (json_object_is_type(v, json_type_array) ||
	    json_object_is_type(v, json_type_object))
		return json_object_to_json_string_ext(v,
						      JSON_C_TO_STRING_PLAIN);
	return json_object_get_string(v);
}

static int width_of(struct json_object *rows, const char *name)
{
	size_t width = strlen(name);
	size_t i;

	for (i = 0; i < json_object_array_length(rows); i++) {
		size_t n =
			strlen(cell(json_object_array_get_idx(rows, i), name));

		if (n > width)
			width = n;
	}
	return width > CELL_MAX ? CELL_MAX : (int)width;
}

void ctl_table(struct json_object *rows)
{
	const char *name[COLUMNS_MAX];
	int width[COLUMNS_MAX];
	int columns = 0;
	size_t i;
	int c;

	if (!json_object_array_length(rows))
		return;
	json_object_object_foreach(json_object_array_get_idx(rows, 0), key, val)
	{
		(void)val;
		if (columns == COLUMNS_MAX)
			break;
		name[columns] = key;
		width[columns] = width_of(rows, key);
		columns++;
	}
	for (c = 0; c < columns; c++)
		printf("%-*s%s", width[c], name[c],
		       c + 1 < columns ? "  " : "\n");
	for (i = 0; i < json_object_array_length(rows); i++)
		for (c = 0; c < columns; c++)
			printf("%-*.*s%s", width[c], CELL_MAX,
			       cell(json_object_array_get_idx(rows, i),
				    name[c]),
			       c + 1 < columns ? "  " : "\n");
}

/* An answer is an array, or an object with one array under the list's name. */
static struct json_object *rows_of(struct json_object *o, const char *name)
{
	struct json_object *rows = NULL;

	if (json_object_is_type(o, json_type_array))
		return o;
	json_object_object_get_ex(o, name, &rows);
	return json_object_is_type(rows, json_type_array) ? rows : NULL;
}

static int show(struct ctl *a, const char *method, const char *path,
		const char *body, const char *list)
{
	struct seam_err e = SEAM_ERR_INIT;
	struct json_object *o =
		seam_client_call(&a->client, method, path, body, &e);
	struct json_object *rows;

	if (!o)
		return ctl_refused(&e);
	rows = list ? rows_of(o, list) : NULL;
	if (rows && !a->json)
		ctl_table(rows);
	else
		ctl_print(o);
	json_object_put(o);
	return CTL_DONE;
}

int ctl_list(struct ctl *a)
{
	char path[64];

	snprintf(path, sizeof(path), "/v1/%s", a->word[0]);
	return show(a, "GET", path, NULL, a->word[0]);
}

/* Escapes a word for use as one part of a path. */
static void path_of(char *out, size_t size, const char *prefix,
		    const char *word, const char *suffix)
{
	char *escaped = curl_easy_escape(NULL, word, 0);

	snprintf(out, size, "%s%s%s", prefix, escaped ? escaped : "", suffix);
	curl_free(escaped);
}

int ctl_task(struct ctl *a)
{
	char path[600];

	path_of(path, sizeof(path), "/v1/tasks/", a->word[1], "");
	return show(a, "GET", path, NULL, NULL);
}

int ctl_wave(struct ctl *a)
{
	struct json_object *o = json_object_new_object();
	char path[600];
	int rc;

	if (strcmp(a->word[1], "start") && strcmp(a->word[1], "halt")) {
		fprintf(stderr, "seamctl: wave takes start or halt\n");
		json_object_put(o);
		return CTL_USAGE;
	}
	json_object_object_add(o, "order", json_object_new_string(a->word[1]));
	json_object_object_add(o, "reason", json_object_new_string(a->message));
	json_object_object_add(o, "operator",
			       json_object_new_string(a->operator_name));
	path_of(path, sizeof(path), "/v1/pools/", a->word[2], "/wave");
	rc = show(a, "POST", path, json_object_to_json_string(o), NULL);
	json_object_put(o);
	return rc;
}

int ctl_explain(struct ctl *a)
{
	char prefix[80];
	char path[700];

	snprintf(prefix, sizeof(prefix), "/v1/explain/%.40s/", a->word[1]);
	path_of(path, sizeof(path), prefix, a->word[2], "");
	return show(a, "GET", path, NULL, NULL);
}
