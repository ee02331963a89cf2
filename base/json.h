#ifndef SEAM_JSON_H
#define SEAM_JSON_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <json-c/json.h>

#include "base/err.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct seam_problems - all errors found in an input
 * @file: name of the input, the prefix of each line
 * @text: one line for each problem: "FILE: PATH: RULE"
 * @n: number of lines
 */
struct seam_problems {
	const char *file;
	char **text;
	size_t n;
};

/** seam_problems_add() - add a problem at @path; always returns -1 */
int seam_problems_add(struct seam_problems *p, const char *path,
		      const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/** seam_problems_free() - free the lines and reset to empty */
void seam_problems_free(struct seam_problems *p);

/** seam_problems_to_err() - set @e to the first line and the count */
int seam_problems_to_err(const struct seam_problems *p, enum seam_err_kind kind,
			 struct seam_err *e);

/**
 * seam_json_parse() - parse JSON with comments
 * @text: NUL-terminated text
 * @p: receives syntax errors and duplicate names, with their lines
 *
 * json-c silently keeps the last of several members with the same name, so the
 * text is scanned for duplicate names as well.
 *
 * Return: an object with one reference, or NULL.
 */
struct json_object *seam_json_parse(const char *text, struct seam_problems *p);

/**
 * seam_json_parse_file() - read and parse a file of at most 64 MB
 * @name: file name, or "-" for standard input
 * @p: receives the problems
 *
 * A file with duplicate names is returned, so that the caller can report its
 * other problems as well. The caller rejects the file if @p has any.
 *
 * Return: an object with one reference, or NULL.
 */
struct json_object *seam_json_parse_file(const char *name,
					 struct seam_problems *p);

/** seam_json_check_duplicates() - report duplicate names within objects */
void seam_json_check_duplicates(const char *text, struct seam_problems *p);

enum seam_json_type {
	SEAM_JSON_INT, /* int64_t */
	SEAM_JSON_REAL, /* double */
	SEAM_JSON_BOOL, /* bool */
	SEAM_JSON_TEXT, /* char[size] */
	SEAM_JSON_NAME, /* char[size], letters, digits, "-", "_", "." */
	SEAM_JSON_CHOICE, /* int, index into choices */
	SEAM_JSON_NAMES, /* char **, NULL-terminated; free with g_strfreev() */
	SEAM_JSON_ANY, /* accepted, but not read */
};

/**
 * struct seam_json_field - maps a member of an object to a structure member
 * @name: name in JSON
 * @type: JSON type, which determines the C type at @off
 * @off: offset in the destination structure
 * @size: size of the buffer of a text
 * @min: minimum of a number
 * @max: maximum of a number
 * @choices: NULL-terminated list of the accepted values of a choice
 * @required: an absent member is a problem
 */
struct seam_json_field {
	const char *name;
	enum seam_json_type type;
	size_t off;
	size_t size;
	int64_t min;
	int64_t max;
	const char *const *choices;
	bool required;
};

/**
 * seam_json_decode() - decode an object into a structure
 * @o: object
 * @f: fields
 * @n: number of fields
 * @out: structure, initialised to the defaults
 * @path: path of @o for problems
 * @p: receives unknown names, wrong types, values out of range
 *
 * Return: 0, or -1 if a problem was added.
 */
int seam_json_decode(struct json_object *o, const struct seam_json_field *f,
		     size_t n, void *out, const char *path,
		     struct seam_problems *p);

/** seam_json_bool() - boolean member @name of @o; false if absent */
bool seam_json_bool(struct json_object *o, const char *name);

/** seam_json_str() - string member @name of @o without U+0000, or @def */
const char *seam_json_str(struct json_object *o, const char *name,
			  const char *def);

/** seam_json_text() - string member @name of @o with any characters, or NULL */
const char *seam_json_text(struct json_object *o, const char *name,
			   size_t *len);

/** seam_json_int() - integer member @name of @o, or @def */
int64_t seam_json_int(struct json_object *o, const char *name, int64_t def);

/** seam_json_member() - member @name of @o, or NULL */
struct json_object *seam_json_member(struct json_object *o, const char *name);

/** seam_json_array_length() - number of elements; 0 if @list is not an array */
size_t seam_json_array_length(struct json_object *list);

/** seam_json_int_at() - integer at @i; 0 if there is no such element */
int64_t seam_json_int_at(struct json_object *list, size_t i);

/**
 * seam_json_str_at() - string at @i without U+0000, or the JSON text of another
 * element; "" if there is no such element
 */
const char *seam_json_str_at(struct json_object *list, size_t i);

/** seam_json_copy_at() - copy the string at @i, truncated to @size bytes */
void seam_json_copy_at(char *to, size_t size, struct json_object *list,
		       size_t i);

/** seam_json_add_str() - add or replace a string member */
void seam_json_add_str(struct json_object *o, const char *name, const char *v);

/** seam_json_add_text() - add or replace a string of @len bytes */
void seam_json_add_text(struct json_object *o, const char *name, const char *v,
			size_t len);

/** seam_json_add_int() - add or replace an integer member */
void seam_json_add_int(struct json_object *o, const char *name, int64_t v);

#ifdef __cplusplus
}
#endif
#endif
