#include "cmd/ctl.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "base/clock.h"

#define CELL_SIZE 160
#define MILLI_PER_CORE 1000.0
#define MB_PER_GB 1024.0

struct json_object *ctl_get(struct json_object *o, const char *path)
{
	struct json_object *v = o;
	char name[64];

	while (v && *path) {
		size_t n = strcspn(path, ".");

		snprintf(name, sizeof(name), "%.*s", (int)n, path);
		if (!json_object_object_get_ex(v, name, &v))
			return NULL;
		path += n + (path[n] == '.');
	}
	return v;
}

int64_t ctl_get_int(struct json_object *o, const char *path)
{
	return json_object_get_int64(ctl_get(o, path));
}

const char *ctl_get_str(struct json_object *o, const char *path)
{
	const char *s = json_object_get_string(ctl_get(o, path));

	return s ? s : "";
}

const char *ctl_format_utc(int64_t us, char *out, size_t size)
{
	time_t sec = (time_t)(us / SEAM_SEC);
	struct tm tm;

	if (us <= 0 || !gmtime_r(&sec, &tm))
		snprintf(out, size, "-");
	else
		strftime(out, size, "%Y-%m-%d %H:%M:%S UTC", &tm);
	return out;
}

static void format_cell(struct json_object *row, const struct ctl_column *c,
			char *out)
{
	struct json_object *v = ctl_get(row, c->path);
	const char *s = v ? json_object_get_string(v) : NULL;

	/* The daemon omits sizes that are 0. */
	if (!s && (c->format == CTL_CORES || c->format == CTL_GB))
		snprintf(out, CELL_SIZE, "0.0");
	else if (!s || !*s)
		snprintf(out, CELL_SIZE, "-");
	else if (c->format == CTL_UTC)
		ctl_format_utc(json_object_get_int64(v), out, CELL_SIZE);
	else if (c->format == CTL_BOOL)
		snprintf(out, CELL_SIZE, "%s",
			 json_object_get_boolean(v) ? "yes" : "no");
	else if (c->format == CTL_CORES)
		snprintf(out, CELL_SIZE, "%.1f",
			 json_object_get_double(v) / MILLI_PER_CORE);
	else if (c->format == CTL_GB)
		snprintf(out, CELL_SIZE, "%.1f",
			 json_object_get_double(v) / MB_PER_GB);
	else
		snprintf(out, CELL_SIZE, "%s", s);
}

static int column_width(struct json_object *rows, const struct ctl_column *c)
{
	size_t width = strlen(c->title);
	char text[CELL_SIZE];
	size_t i;

	for (i = 0; i < json_object_array_length(rows); i++) {
		format_cell(json_object_array_get_idx(rows, i), c, text);
		if (strlen(text) > width)
			width = strlen(text);
	}
	return (int)width;
}

/* The last column is not padded, so that no line ends in spaces. */
static void print_cell(const char *text, int width, bool last)
{
	if (last)
		printf("%s\n", text);
	else
		printf("%-*s  ", width, text);
}

void ctl_print_table(struct json_object *rows, const struct ctl_column *col,
		     int n)
{
	int width[CTL_COLUMNS_MAX];
	char text[CELL_SIZE];
	size_t i;
	int c;

	for (c = 0; c < n; c++)
		width[c] = column_width(rows, &col[c]);
	for (c = 0; c < n; c++)
		print_cell(col[c].title, width[c], c + 1 == n);
	for (i = 0; i < json_object_array_length(rows); i++)
		for (c = 0; c < n; c++) {
			format_cell(json_object_array_get_idx(rows, i), &col[c],
				    text);
			print_cell(text, width[c], c + 1 == n);
		}
}

void ctl_print_field(const char *name, struct json_object *o, const char *path,
		     enum ctl_format format)
{
	const struct ctl_column c = {name, path, format};
	char text[CELL_SIZE];

	format_cell(o, &c, text);
	if (ctl_get(o, path) && strcmp(text, "-"))
		printf("%-16s%s\n", name, text);
}
