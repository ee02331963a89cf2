/* Rows that each write of the owner replaces. */
#include "process/scheduler_impl.h"
#include "base/log.h"

int scheduler_put_row(struct seam_scheduler *sched, struct seam_row_writer *row,
		      const char *key, const char *text)
{
	const struct seam_write term = {SEAM_CHECK, SEAM_ELECTION_OWNER_ROW,
					sched->election->owner_version, NULL,
					0};
	struct seam_err e = SEAM_ERR_INIT;

	seam_row_writer_set_key(row, key);
	if (!seam_row_writer_put(row, sched->ports->store, sched->clock, &term,
				 text, STORE_TIMEOUT, &e))
		return 0;
	seam_log(SEAM_WARN, "owner", "event=row_unwritten row=%s why=\"%s\"",
		 key, e.text);
	return -1;
}
