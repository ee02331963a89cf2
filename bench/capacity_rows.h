#ifndef CAPACITY_ROWS_H
#define CAPACITY_ROWS_H

/* Rows that a program writes before it measures, and deadlines of calls. */

#include <stdlib.h>
#include <string.h>

#include "process/store.h"

/* Late enough for any call that is measured. */
static inline seam_time soon(void)
{
	return seam_now(seam_clock_real()) + 20 * SEAM_SEC;
}

static inline void put_row(struct seam_store *s, const char *key,
			   const char *text)
{
	struct seam_write w = {SEAM_PUT, key, SEAM_ANY_VERSION, text,
			       strlen(text)};
	struct seam_commit c = {&w, 1, 1, 0};
	struct seam_err e = SEAM_ERR_INIT;

	if (seam_store_commit(s, &c, SEAM_NEVER, &e))
		abort();
}

#endif
