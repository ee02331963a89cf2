#ifndef SEAM_STORE_JSON_H
#define SEAM_STORE_JSON_H

#include <json-c/json.h>

#include "process/store.h"

/* The store's calls as JSON: between nodes and in the stand-in's protocol. */

/** seam_store_row_json() - a row; without data it was deleted */
struct json_object *seam_store_row_json(const struct seam_row *r);

/** seam_store_row_read() - SEAM_UNAVAILABLE if it is broken */
int seam_store_row_read(struct json_object *o, struct seam_row *r,
			struct seam_err *e);

/** seam_store_rows_json() - rows with their version */
struct json_object *seam_store_rows_json(const struct seam_rows *rows);

/** seam_store_rows_read() - SEAM_UNAVAILABLE if they are broken */
int seam_store_rows_read(struct json_object *o, struct seam_rows *rows,
			 struct seam_err *e);

/** seam_store_commit_json() - a commit */
struct json_object *seam_store_commit_json(const struct seam_commit *c);

/**
 * seam_store_commit_read() - read a commit
 *
 * @c->write is to be freed with g_free() in any case; it points into @o.
 */
int seam_store_commit_read(struct json_object *o, struct seam_commit *c,
			   struct seam_err *e);

#endif
