#ifndef SEAM_COMMON_H
#define SEAM_COMMON_H

#include <signal.h>

#include "process/store.h"

/**
 * cmd_first_config() - write the first configuration into a store
 * @s: store without a configuration
 * @file: JSON document with comments
 * @who: operator's name in the log of changes
 * @e: SEAM_BAD_CONFIG with the first problem, or the store's error
 */
int cmd_first_config(struct seam_store *s, const char *file, const char *who,
		     struct seam_err *e);

/**
 * cmd_block_signals() - leave SIGTERM and SIGINT to sigwait()
 * @set: receives both
 *
 * Call it before any thread starts, so that no other thread takes them.
 */
void cmd_block_signals(sigset_t *set);

#endif
