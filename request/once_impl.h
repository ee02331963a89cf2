#ifndef SEAM_ONCE_IMPL_H
#define SEAM_ONCE_IMPL_H

/* Shared by the files of the once library only. */

#include <glib.h>
#include <pthread.h>

#include "request/once.h"

#define STORE_TIMEOUT (1 * SEAM_SEC)

/**
 * struct once_write - one row to be written
 * @key: row key
 * @row: content
 * @version: expected version, then the new one
 * @done: decided
 * @err: SEAM_OK if it is written; SEAM_CONFLICT if @found is in its place
 * @found: row of somebody else
 * @found_version: its version
 * @json: encoded row while it is committed
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

/* Writes that wait for one commit; the first writer commits for all. */
struct once_group {
	struct once_write *write[SEAM_ONCE_GROUP];
	int n;
	int users;
	bool committed;
	pthread_cond_t changed;
};

struct seam_once {
	struct seam_store *store;
	struct seam_clock *clock;
	struct seam_once_settings set;
	pthread_mutex_t lock;
	struct once_group *open;
	GHashTable *running; /* row key to request hash */
	GQueue kept; /* struct seam_once_claim with an outcome to write */
	int64_t milli; /* rows that may be written, in thousandths */
	seam_time filled_at;
	char swept[SEAM_KEY_MAX];
	seam_time sweep_at;
};

/* Writes a row in a group and waits for the result in @w. */
void seam_once_write(struct seam_once *o, struct once_write *w);

/* Commits writes and resolves conflicts and lost answers row by row. */
void seam_once_commit(struct seam_once *o, struct once_write **w, int n);

/* Writes the oldest kept outcomes; true if more can be tried at once. */
bool seam_once_write_kept(struct seam_once *o);

/* Reads a row; SEAM_NOT_FOUND if there is none. */
int seam_once_get(struct seam_once *o, const char *key,
		  struct seam_once_row *row, uint64_t *version,
		  struct seam_err *e);

#endif
