#include "request/early_cancel.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#define RATE_INTERVAL (100 * SEAM_MSEC)
#define RATE_BURST 100

/* Includes the NUL between the names, so that no other pair has the same text.
 */
static uint64_t hash_names(const char *queue, const char *workspace)
{
	return XXH3_64bits_withSeed(workspace, strlen(workspace),
				    XXH3_64bits(queue, strlen(queue) + 1));
}

void seam_early_cancel_key(const char *id, const char *queue,
			   const char *workspace, char key[SEAM_KEY_MAX])
{
	snprintf(key, SEAM_KEY_MAX,
		 SEAM_EARLY_CANCEL_PREFIX "%c/%s.%016" G_GINT64_MODIFIER "x",
		 id[0], id, (guint64)hash_names(queue, workspace));
}

bool seam_early_cancel_admit(struct seam_early_cancel_rate *r,
			     const char *queue, const char *workspace,
			     seam_time now)
{
	seam_time *next = &r->next[hash_names(queue, workspace) %
				   SEAM_EARLY_CANCEL_SLOTS];
	seam_time was = __atomic_load_n(next, __ATOMIC_RELAXED);
	seam_time begin;

	do {
		begin = MAX(was, now);
		if (begin - now > (RATE_BURST - 1) * RATE_INTERVAL)
			return false;
	} while (!__atomic_compare_exchange_n(next, &was, begin + RATE_INTERVAL,
					      true, __ATOMIC_RELAXED,
					      __ATOMIC_RELAXED));
	return true;
}
