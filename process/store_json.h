#ifndef SEAM_STORE_JSON_H
#define SEAM_STORE_JSON_H

#include <json-c/json.h>

#include "process/store.h"

/* JSON encoding of store calls, used between nodes and by the fake platform. */

/** seam_store_row_to_json() - encode a row; a deleted row has no data */
struct json_object *seam_store_row_to_json(const struct seam_row *r);

/** seam_store_row_parse() - decode a row; SEAM_UNAVAILABLE if malformed */
int seam_store_row_parse(struct json_object *o, struct seam_row *r,
			 struct seam_err *e);

/** seam_store_rows_to_json() - encode rows with the version of the store */
struct json_object *seam_store_rows_to_json(const struct seam_rows *rows);

/** seam_store_rows_parse() - decode rows; SEAM_UNAVAILABLE if malformed */
int seam_store_rows_parse(struct json_object *o, struct seam_rows *rows,
			  struct seam_err *e);

/** seam_store_commit_to_json() - encode a commit */
struct json_object *seam_store_commit_to_json(const struct seam_commit *c);

/**
 * seam_store_commit_parse() - decode a commit
 *
 * The caller frees @c->write with g_free(), also after an error. Its keys and
 * data point into @o.
 */
int seam_store_commit_parse(struct json_object *o, struct seam_commit *c,
			    struct seam_err *e);

#endif
