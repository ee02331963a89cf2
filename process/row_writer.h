#ifndef SEAM_ROW_WRITER_H
#define SEAM_ROW_WRITER_H

#include "process/store.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct seam_row_writer - writer of a row that one process at a time replaces
 * @key: key of the row; empty before seam_row_writer_set_key()
 * @version: version that the next write expects, if @known
 * @known: @version is that of the row, as far as this writer knows
 * @unsettled: a write had no answer or met another version, and none was
 *     answered since
 *
 * The store may perform a write that it has not answered after it has answered
 * later ones. Each write therefore expects the version that was last seen, and
 * after a write without an answer the row is read before the next one. Not safe
 * for calls from several threads at once.
 */
struct seam_row_writer {
	char key[SEAM_KEY_MAX];
	uint64_t version;
	bool known;
	bool unsettled;
};

/**
 * seam_row_writer_set_key() - choose the row
 *
 * Does nothing if @w has that row already. The first write reads the row.
 */
void seam_row_writer_set_key(struct seam_row_writer *w, const char *key);

/**
 * seam_row_writer_is_unsettled() - whether the row may not be as it was written
 * last
 *
 * An earlier write may still be performed then, so the row has to be written
 * again even if its content would be the same.
 */
bool seam_row_writer_is_unsettled(const struct seam_row_writer *w);

/**
 * seam_row_writer_put() - write the row
 * @w: writer
 * @s: store
 * @k: clock of the deadlines
 * @check: further condition, such as the owner row of a term; NULL for none
 * @text: new content
 * @timeout: of each call, microseconds; there are up to four
 * @e: as for a commit; SEAM_CONFLICT if @check does not hold, or if the row
 *     changed again after it was read
 */
int seam_row_writer_put(struct seam_row_writer *w, struct seam_store *s,
			struct seam_clock *k, const struct seam_write *check,
			const char *text, seam_time timeout,
			struct seam_err *e);

#ifdef __cplusplus
}
#endif
#endif
