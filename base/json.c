#include "base/json.h"

#include <errno.h>
#include <glib.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FILE_BYTES_MAX (64u << 20)

int seam_problems_add(struct seam_problems *p, const char *path,
		      const char *fmt, ...)
{
	char line[512];
	int n;
	va_list ap;
	char **t = realloc(p->text, (p->n + 1) * sizeof(*t));

	if (!t)
		return -1;
	p->text = t;
	n = snprintf(line, sizeof(line), "%s: %s%s", p->file ? p->file : "-",
		     path, *path ? ": " : "");
	if (n < 0 || (size_t)n >= sizeof(line))
		n = sizeof(line) - 1;
	va_start(ap, fmt);
	vsnprintf(line + n, sizeof(line) - (size_t)n, fmt, ap);
	va_end(ap);
	p->text[p->n] = strdup(line);
	if (p->text[p->n])
		p->n++;
	return -1;
}

void seam_problems_free(struct seam_problems *p)
{
	size_t i;

	for (i = 0; i < p->n; i++)
		free(p->text[i]);
	free(p->text);
	p->text = NULL;
	p->n = 0;
}

int seam_problems_to_err(const struct seam_problems *p, enum seam_err_kind kind,
			 struct seam_err *e)
{
	if (!p->n)
		return seam_fail(e, kind, NULL);
	if (p->n == 1)
		return seam_fail(e, kind, "%s", p->text[0]);
	return seam_fail(e, kind, "%s (and %zu more)", p->text[0], p->n - 1);
}

static int line_number_at(const char *text, size_t off)
{
	int line = 1;
	size_t i;

	for (i = 0; i < off && text[i]; i++)
		if (text[i] == '\n')
			line++;
	return line;
}

/* Does not check for duplicate names. */
static struct json_object *parse(const char *text, struct seam_problems *p)
{
	struct json_tokener *tok = json_tokener_new();
	struct json_object *o;
	size_t before = p->n;
	size_t end;

	if (!tok)
		return NULL;
	o = json_tokener_parse_ex(tok, text, -1);
	/* json-c counts the terminating NUL if it ends a number or a comment.
	 */
	end = json_tokener_get_parse_end(tok);
	if (end > strlen(text))
		end = strlen(text);
	if (!o) {
		enum json_tokener_error err = json_tokener_get_error(tok);
		char where[32];

		snprintf(where, sizeof(where), "line %d",
			 line_number_at(text, end));
		seam_problems_add(p, where, "%s",
				  err == json_tokener_continue ?
					  "unexpected end of input" :
					  json_tokener_error_desc(err));
	}
	json_tokener_free(tok);
	if (o && text[end + strspn(text + end, " \t\r\n")]) {
		char where[32];

		snprintf(where, sizeof(where), "line %d",
			 line_number_at(text, end));
		seam_problems_add(p, where,
				  "text after the end of the document");
	}
	if (p->n == before)
		return o;
	json_object_put(o);
	return NULL;
}

struct json_object *seam_json_parse(const char *text, struct seam_problems *p)
{
	struct json_object *o = parse(text, p);
	size_t before = p->n;

	if (o)
		seam_json_check_duplicates(text, p);
	if (p->n == before)
		return o;
	json_object_put(o);
	return NULL;
}

static char *read_all(FILE *f)
{
	size_t cap = 4096;
	size_t n = 0;
	char *buf = malloc(cap);

	while (buf) {
		size_t got = fread(buf + n, 1, cap - n - 1, f);
		char *more;

		n += got;
		if (!got)
			break;
		if (n + 1 < cap)
			continue;
		more = cap < FILE_BYTES_MAX ? realloc(buf, cap * 2) : NULL;
		if (!more) {
			free(buf);
			return NULL;
		}
		buf = more;
		cap *= 2;
	}
	if (buf)
		buf[n] = '\0';
	return buf;
}

struct json_object *seam_json_parse_file(const char *name,
					 struct seam_problems *p)
{
	FILE *f = strcmp(name, "-") ? fopen(name, "r") : stdin;
	struct json_object *o = NULL;
	char *text;

	p->file = name;
	if (!f) {
		seam_problems_add(p, "", "%s", strerror(errno));
		return NULL;
	}
	text = read_all(f);
	if (f != stdin)
		fclose(f);
	if (text)
		o = parse(text, p);
	else
		seam_problems_add(p, "", "file is larger than 64 MB");
	if (o)
		seam_json_check_duplicates(text, p);
	free(text);
	return o;
}

static bool is_name_char(char c)
{
	return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
	       (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

static bool is_valid_name(const char *s)
{
	if (!*s)
		return false;
	for (; *s; s++)
		if (!is_name_char(*s))
			return false;
	return true;
}

static int read_real(struct json_object *v, const struct seam_json_field *f,
		     double *out, const char *path, struct seam_problems *p)
{
	double x = json_object_get_double(v);

	if (!json_object_is_type(v, json_type_double) &&
	    !json_object_is_type(v, json_type_int))
		return seam_problems_add(p, path, "must be a number");
	if (!(x >= (double)f->min && x <= (double)f->max))
		return seam_problems_add(p, path, "must be from %lld to %lld",
					 (long long)f->min, (long long)f->max);
	*out = x;
	return 0;
}

/*
 * Returns the text of a string, or NULL if @v is no string or contains U+0000:
 * the part in front of it is another text.
 */
static const char *c_string(struct json_object *v)
{
	const char *s;

	if (!json_object_is_type(v, json_type_string))
		return NULL;
	s = json_object_get_string(v);
	return strlen(s) == (size_t)json_object_get_string_len(v) ? s : NULL;
}

static int read_text(struct json_object *v, const struct seam_json_field *f,
		     char *out, const char *path, struct seam_problems *p)
{
	const char *s = c_string(v);

	if (!s)
		return seam_problems_add(p, path,
					 "must be a string without U+0000");
	if (strlen(s) >= f->size)
		return seam_problems_add(
			p, path, "must be shorter than %zu bytes", f->size);
	if (f->type == SEAM_JSON_NAME && !is_valid_name(s))
		return seam_problems_add(
			p, path, "must be letters, digits, '-', '_', '.'");
	memcpy(out, s, strlen(s) + 1);
	return 0;
}

static int read_int(struct json_object *v, const struct seam_json_field *f,
		    int64_t *out, const char *path, struct seam_problems *p)
{
	int64_t i;

	if (!json_object_is_type(v, json_type_int))
		return seam_problems_add(p, path, "must be a whole number");
	i = json_object_get_int64(v);
	if (i < f->min || i > f->max)
		return seam_problems_add(p, path, "must be from %lld to %lld",
					 (long long)f->min, (long long)f->max);
	*out = i;
	return 0;
}

static int read_choice(struct json_object *v, const struct seam_json_field *f,
		       int *out, const char *path, struct seam_problems *p)
{
	char list[160] = "";
	const char *s = c_string(v);
	int i;

	for (i = 0; f->choices[i]; i++) {
		size_t n = strlen(list);

		if (s && !strcmp(f->choices[i], s)) {
			*out = i;
			return 0;
		}
		snprintf(list + n, sizeof(list) - n, "%s\"%s\"", i ? ", " : "",
			 f->choices[i]);
	}
	return seam_problems_add(p, path, "must be one of %s", list);
}

static int read_names(struct json_object *v, char ***out, const char *path,
		      struct seam_problems *p)
{
	size_t n;
	size_t i;
	char **list;

	if (!json_object_is_type(v, json_type_array))
		return seam_problems_add(p, path, "must be an array of names");
	n = json_object_array_length(v);
	for (i = 0; i < n; i++) {
		const char *s = c_string(json_object_array_get_idx(v, i));

		if (!s || !is_valid_name(s))
			return seam_problems_add(p, path,
						 "entry %zu is not a name", i);
	}
	list = g_new0(char *, n + 1);
	for (i = 0; i < n; i++)
		list[i] = g_strdup(json_object_get_string(
			json_object_array_get_idx(v, i)));
	g_strfreev(*out);
	*out = list;
	return 0;
}

static int read_field(struct json_object *v, const struct seam_json_field *f,
		      void *out, const char *path, struct seam_problems *p)
{
	char *at = (char *)out + f->off;

	switch (f->type) {
	case SEAM_JSON_INT:
		return read_int(v, f, (int64_t *)at, path, p);
	case SEAM_JSON_REAL:
		return read_real(v, f, (double *)at, path, p);
	case SEAM_JSON_BOOL:
		if (!json_object_is_type(v, json_type_boolean))
			return seam_problems_add(p, path,
						 "must be true or false");
		*(bool *)at = json_object_get_boolean(v);
		return 0;
	case SEAM_JSON_TEXT:
	case SEAM_JSON_NAME:
		return read_text(v, f, at, path, p);
	case SEAM_JSON_CHOICE:
		return read_choice(v, f, (int *)at, path, p);
	case SEAM_JSON_NAMES:
		return read_names(v, (char ***)at, path, p);
	default:
		return 0;
	}
}

int seam_json_decode(struct json_object *o, const struct seam_json_field *f,
		     size_t n, void *out, const char *path,
		     struct seam_problems *p)
{
	size_t before = p->n;
	char where[200];
	size_t i;

	if (!json_object_is_type(o, json_type_object))
		return seam_problems_add(p, path, "must be an object");
	json_object_object_foreach(o, name, value)
	{
		snprintf(where, sizeof(where), "%s%s%s", path, *path ? "." : "",
			 name);
		for (i = 0; i < n && strcmp(f[i].name, name); i++)
			continue;
		if (i == n)
			seam_problems_add(p, where, "unknown name");
		else
			read_field(value, &f[i], out, where, p);
	}
	for (i = 0; i < n; i++)
		if (f[i].required &&
		    !json_object_object_get_ex(o, f[i].name, NULL))
			seam_problems_add(p, path, "\"%s\" is missing",
					  f[i].name);
	return p->n == before ? 0 : -1;
}

bool seam_json_bool(struct json_object *o, const char *name)
{
	struct json_object *v = NULL;

	json_object_object_get_ex(o, name, &v);
	return json_object_get_boolean(v);
}

const char *seam_json_str(struct json_object *o, const char *name,
			  const char *def)
{
	const char *s = c_string(seam_json_member(o, name));

	return s ? s : def;
}

const char *seam_json_text(struct json_object *o, const char *name, size_t *len)
{
	struct json_object *v = seam_json_member(o, name);

	if (!json_object_is_type(v, json_type_string))
		return NULL;
	*len = (size_t)json_object_get_string_len(v);
	return json_object_get_string(v);
}

int64_t seam_json_int(struct json_object *o, const char *name, int64_t def)
{
	struct json_object *v;

	if (!json_object_object_get_ex(o, name, &v) ||
	    !json_object_is_type(v, json_type_int))
		return def;
	return json_object_get_int64(v);
}

struct json_object *seam_json_member(struct json_object *o, const char *name)
{
	struct json_object *v = NULL;

	json_object_object_get_ex(o, name, &v);
	return v;
}

size_t seam_json_array_length(struct json_object *list)
{
	return json_object_is_type(list, json_type_array) ?
		       json_object_array_length(list) :
		       0;
}

/* json-c aborts if an element is requested of a value that is not an array. */
static struct json_object *element(struct json_object *list, size_t i)
{
	return i < seam_json_array_length(list) ?
		       json_object_array_get_idx(list, i) :
		       NULL;
}

int64_t seam_json_int_at(struct json_object *list, size_t i)
{
	return json_object_get_int64(element(list, i));
}

const char *seam_json_str_at(struct json_object *list, size_t i)
{
	struct json_object *v = element(list, i);
	const char *s = json_object_is_type(v, json_type_string) ?
				c_string(v) :
				json_object_get_string(v);

	return s ? s : "";
}

void seam_json_copy_at(char *to, size_t size, struct json_object *list,
		       size_t i)
{
	snprintf(to, size, "%s", seam_json_str_at(list, i));
}

void seam_json_add_str(struct json_object *o, const char *name, const char *v)
{
	json_object_object_add(o, name, json_object_new_string(v));
}

void seam_json_add_text(struct json_object *o, const char *name, const char *v,
			size_t len)
{
	json_object_object_add(o, name,
			       json_object_new_string_len(v, (int)len));
}

void seam_json_add_int(struct json_object *o, const char *name, int64_t v)
{
	json_object_object_add(o, name, json_object_new_int64(v));
}
