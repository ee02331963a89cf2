#ifndef SEAM_CTL_H
#define SEAM_CTL_H

#include <stdbool.h>
#include <stdint.h>

#include "cmd/client.h"
#include "version/conf.h"

#define CTL_ARGS_MAX 4 /* the command included */

/** Exit codes of seamctl; docs/OPERATIONS.md lists them. */
enum { CTL_DONE, CTL_REFUSED, CTL_USAGE, CTL_BAD_FILE, CTL_UNREACHABLE };

/**
 * struct ctl - parsed command line of one invocation
 * @client: daemon to call
 * @message: reason recorded with a change, or NULL
 * @operator_name: operator recorded with a change
 * @expect: version that the change or wave order requires; -1 if not given
 * @json: print JSON instead of tables and text
 * @argv: command and its arguments
 * @argc: number of elements of @argv in use
 */
struct ctl {
	struct seam_client client;
	const char *message;
	const char *operator_name;
	int64_t expect;
	bool json;
	char *argv[CTL_ARGS_MAX];
	int argc;
};

/** ctl_report_error() - print an error and return the exit code for it */
int ctl_report_error(const struct seam_err *e);

/** ctl_print_json() - print a value as indented JSON */
void ctl_print_json(struct json_object *o);

#define CTL_COLUMNS_MAX 12 /* columns of a table */

/** Output format of a member; times are microseconds since the Unix epoch. */
enum ctl_format { CTL_TEXT, CTL_BOOL, CTL_UTC, CTL_CORES, CTL_GB };

/**
 * struct ctl_column - one column of a table
 * @title: heading
 * @path: path of the member in each row, with dots between names
 * @format: output format
 */
struct ctl_column {
	const char *title;
	const char *path;
	enum ctl_format format;
};

/** ctl_print_table() - print an array; @n is at most CTL_COLUMNS_MAX */
void ctl_print_table(struct json_object *rows, const struct ctl_column *col,
		     int n);

/** CTL_PRINT_TABLE() - ctl_print_table() with all columns of an array */
#define CTL_PRINT_TABLE(rows, columns) \
	ctl_print_table((rows), (columns), sizeof(columns) / sizeof(*(columns)))

/** ctl_print_field() - print a member, or nothing if it is absent or empty */
void ctl_print_field(const char *name, struct json_object *o, const char *path,
		     enum ctl_format format);

/** ctl_get() - member at a path with dots between names, or NULL; borrowed */
struct json_object *ctl_get(struct json_object *o, const char *path);

/** ctl_get_int() - number at a path, or 0 */
int64_t ctl_get_int(struct json_object *o, const char *path);

/** ctl_get_str() - text at a path, or "" */
const char *ctl_get_str(struct json_object *o, const char *path);

/** ctl_format_utc() - format microseconds as a UTC time; "-" if not positive */
const char *ctl_format_utc(int64_t us, char *out, size_t size);

/** ctl_format_path() - build a request path; @segment is URL-escaped */
void ctl_format_path(char *out, size_t size, const char *prefix,
		     const char *segment, const char *suffix);

/** ctl_find_object() - object of a configuration by kind and name, or NULL */
struct json_object *ctl_find_object(struct json_object *doc, const char *kind,
				    const char *name);

/** ctl_print_change() - print how a change modifies the objects of @doc */
void ctl_print_change(struct json_object *change, struct json_object *doc);

/* Commands for configuration files and the configuration (ctl_config.c). */
int ctl_check(struct ctl *a);
int ctl_show(struct ctl *a);
int ctl_diff(struct ctl *a);
int ctl_apply(struct ctl *a);
int ctl_log(struct ctl *a);

/* Commands that change one object (ctl_object.c). */
int ctl_dc(struct ctl *a);
int ctl_key(struct ctl *a);

/**
 * ctl_send_change() - send a change of the configuration and print the result
 * @a: command line; its message is required
 * @change: objects to put and to delete
 * @version: expected version, unless the command line gives one
 *
 * Return: exit code.
 */
int ctl_send_change(struct ctl *a, struct json_object *change,
		    uint64_t version);

/** ctl_try_send_change() - as above, but returns -1 and sets @e on failure */
int ctl_try_send_change(struct ctl *a, struct json_object *change,
			uint64_t version, struct seam_err *e);

/* Commands that read state or send orders (ctl_state.c and others). */
int ctl_list(struct ctl *a);
int ctl_wave(struct ctl *a);
int ctl_task(struct ctl *a);
int ctl_tasks(struct ctl *a);
int ctl_explain(struct ctl *a);

#endif
