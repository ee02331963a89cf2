#ifndef SEAM_COMMON_H
#define SEAM_COMMON_H

#include <signal.h>

#include "process/store.h"

/**
 * cmd_write_initial_config() - commit the initial configuration
 * @s: store without a configuration
 * @file: JSON document with comments
 * @operator_name: name recorded in the change log
 * @e: SEAM_BAD_CONFIG with the first problem, or the store's error
 *
 * Return: 0, or -1 with @e set.
 */
int cmd_write_initial_config(struct seam_store *s, const char *file,
			     const char *operator_name, struct seam_err *e);

/**
 * cmd_block_signals() - block SIGTERM and SIGINT for sigwait(), ignore SIGPIPE
 * @set: receives SIGTERM and SIGINT
 *
 * Call it before any thread starts: threads inherit the mask, so that the
 * signals are delivered to sigwait() only.
 */
void cmd_block_signals(sigset_t *set);

#endif
