#ifndef SEAM_CTL_H
#define SEAM_CTL_H

#include <stdbool.h>
#include <stdint.h>

#include "cmd/client.h"
#include "version/conf.h"

#define CTL_WORDS 4

/** Exit codes of seamctl; docs/operating.md lists them. */
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

/** ctl_table() - print an array of objects as a table */
void ctl_table(struct json_object *rows);

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

/* Commands that read state or give orders (ctl_state.c). */
int ctl_list(struct ctl *a);
int ctl_task(struct ctl *a);
int ctl_wave(struct ctl *a);
int ctl_explain(struct ctl *a);

#endif
