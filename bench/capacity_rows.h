#ifndef CAPACITY_ROWS_H
#define CAPACITY_ROWS_H

/* Test rows written before a measurement, and the deadline of calls. */

#include <stdlib.h>
#include <string.h>

#include "process/store.h"

/* Returns a deadline that no measured call reaches. */
static inline seam_time call_deadline(void)
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
