#ifndef SEAM_CTL_H
#define SEAM_CTL_H

#include <stdbool.h>
#include <stdint.h>

#include "cmd/client.h"
#include "version/conf.h"

#define CTL_WORDS 4

/** Exit codes of seamctl; docs/OPERATIONS.md lists them. */
enum { CTL_DONE, CTL_REFUSED, CTL_USAGE, CTL_FILE, CTL_UNREACHABLE };

/**
 * struct ctl - one run of the command-line tool
 * @client: connection to a daemon
 * @message: reason of a change, or NULL
 * @operator_name: who makes it
 * @expect: version that a change must meet; -1 takes the one just read
 * @json: print JSON in place of tables
 * @word: command and its arguments
 * @words: their number
 */
struct ctl {
	struct seam_client client;
	const char *message;
	const char *operator_name;
	int64_t expect;
	bool json;
	char *word[CTL_WORDS];
	int words;
};

/** ctl_refused() - print an error and return the exit code for it */
int ctl_refused(const struct seam_err *e);

/** ctl_print() - print JSON */
void ctl_print(struct json_object *o);

#define CTL_COLUMNS 12 /* most columns of a table */

/** How a member is printed; times are microseconds since the Unix epoch. */
enum ctl_format { CTL_TEXT, CTL_YES, CTL_UTC, CTL_CORES, CTL_GB };

/**
 * struct ctl_column - one column of a table
 * @title: heading
 * @path: member of each row, with dots between names
 * @format: how it is printed
 */
struct ctl_column {
	const char *title;
	const char *path;
	enum ctl_format format;
};

/** ctl_table() - print an array of objects; @n is at most CTL_COLUMNS */
void ctl_table(struct json_object *rows, const struct ctl_column *col, int n);

/** CTL_TABLE() - ctl_table() with all columns of an array */
#define CTL_TABLE(rows, columns) \
	ctl_table((rows), (columns), sizeof(columns) / sizeof(*(columns)))

/** ctl_line() - print one named member, or nothing if it is absent or empty */
void ctl_line(const char *name, struct json_object *o, const char *path,
	      enum ctl_format format);

/** ctl_at() - member at a path with dots between names, or NULL */
struct json_object *ctl_at(struct json_object *o, const char *path);

/** ctl_int() - number at a path, or 0 */
int64_t ctl_int(struct json_object *o, const char *path);

/** ctl_str() - text at a path, or "" */
const char *ctl_str(struct json_object *o, const char *path);

/** ctl_utc() - write a time in microseconds as UTC; "-" for none */
const char *ctl_utc(int64_t us, char *out, size_t size);

/** ctl_path() - path of a request; escapes @word as one part of it */
void ctl_path(char *out, size_t size, const char *prefix, const char *word,
	      const char *suffix);

/** ctl_find() - object of a configuration by kind and name, or NULL */
struct json_object *ctl_find(struct json_object *doc, const char *kind,
			     const char *name);

/** ctl_print_change() - print a change of @doc, one object a line */
void ctl_print_change(struct json_object *change, struct json_object *doc);

/* Commands on files and the configuration (ctl_config.c). */
int ctl_check(struct ctl *a);
int ctl_show(struct ctl *a);
int ctl_diff(struct ctl *a);
int ctl_apply(struct ctl *a);
int ctl_log(struct ctl *a);

/* Commands that change one object (ctl_object.c). */
int ctl_dc(struct ctl *a);
int ctl_key(struct ctl *a);

/**
 * ctl_send() - send a change
 * @a: run; its message is required
 * @change: put and delete
 * @version: version that the change starts from
 */
int ctl_send(struct ctl *a, struct json_object *change, uint64_t version);

/** ctl_try_send() - the same; a refusal is left in @e and not printed */
int ctl_try_send(struct ctl *a, struct json_object *change, uint64_t version,
		 struct seam_err *e);

/* Commands that read state or give orders (ctl_state.c, ctl_explain.c). */
int ctl_list(struct ctl *a);
int ctl_wave(struct ctl *a);
int ctl_task(struct ctl *a);
int ctl_tasks(struct ctl *a);
int ctl_explain(struct ctl *a);

#endif
