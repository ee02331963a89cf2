#ifndef SEAM_ONCE_IMPL_H
#define SEAM_ONCE_IMPL_H

/* Internal to request/once*.c. */

#include <glib.h>
#include <pthread.h>

#include "request/once.h"

#define STORE_TIMEOUT (1 * SEAM_SEC)

/**
 * struct once_write - a row to write
 * @key: row key
 * @row: content
 * @version: expected version; the new one after the write
 * @done: the result is in @err
 * @err: SEAM_OK if the row was written; SEAM_CONFLICT if it met @found
 * @found: conflicting row
 * @found_version: version of @found
 * @json: serialised row during the commit
 */
struct once_write {
	const char *key;
	const struct seam_once_row *row;
	uint64_t version;
	bool done;
	struct seam_err err;
	struct seam_once_row found;
	uint64_t found_version;
	char *json;
};

/* Group commit: the thread of the first write commits the whole group. */
struct once_group {
	struct once_write *write[SEAM_ONCE_GROUP];
	int n;
	int refs;
	bool committed;
	pthread_cond_t changed;
};

struct seam_once {
	struct seam_store *store;
	struct seam_clock *clock;
	struct seam_once_settings set;
	pthread_mutex_t lock;
	struct once_group *open_group;
	GHashTable *running; /* row key to request hash */
	GQueue pending; /* struct seam_once_claim with an outcome to store */
	int64_t write_budget_milli; /* token bucket: rows, in thousandths */
	seam_time filled_at;
	char sweep_cursor[SEAM_KEY_MAX];
	seam_time sweep_at;
};

/* Writes a row as part of a group commit; the result is in @w. */
void seam_once_write(struct seam_once *o, struct once_write *w);

/* Commits writes. After a conflict or a commit of unknown outcome, each row is
 * read back to find its result. */
void seam_once_commit(struct seam_once *o, struct once_write **w, int n);

/* Writes the oldest pending outcomes; true if it should be called again now. */
bool seam_once_write_pending(struct seam_once *o);

/* Reads a row; SEAM_NOT_FOUND if there is none. */
int seam_once_get(struct seam_once *o, const char *key,
		  struct seam_once_row *row, uint64_t *version,
		  struct seam_err *e);

#endif
