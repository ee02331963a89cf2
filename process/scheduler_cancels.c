/* Removal of the rows of cancels that arrived before their job was stored. */
#include "process/scheduler_impl.h"
#include "base/log.h"
#include "request/early_cancel.h"

#include <stdio.h>
#include <string.h>

#define PAGE_ROWS 200
#define DELETES_MAX 48

/* Deletes those of the rows that the store had at version @until. */
static int delete_rows(struct seam_scheduler *sched,
		       const struct seam_rows *rows, uint64_t until,
		       struct seam_err *e)
{
	struct seam_write w[DELETES_MAX];
	struct seam_commit c = {w, 0, 0, 0};
	size_t i;

	for (i = 0; i < rows->n; i++) {
		if (rows->row[i].version <= until)
			w[c.n++] = (struct seam_write){
				SEAM_DELETE, rows->row[i].key,
				rows->row[i].version, NULL, 0};
		if (!c.n || (c.n < DELETES_MAX && i + 1 < rows->n))
			continue;
		c.token = seam_store_token();
		if (seam_store_commit(sched->ports->store, &c,
				      seam_now(sched->clock) + STORE_TIMEOUT,
				      e))
			return -1;
		c.n = 0;
	}
	return 0;
}

static int sweep_part(struct seam_scheduler *sched, size_t part,
		      struct seam_err *e)
{
	uint64_t *swept = &sched->cancels_swept[part];
	char prefix[sizeof(SEAM_EARLY_CANCEL_PREFIX) + 2];
	struct seam_rows rows;
	int rc;

	snprintf(prefix, sizeof(prefix), SEAM_EARLY_CANCEL_PREFIX "%c/",
		 SEAM_JOB_PARTS[part]);
	if (seam_store_scan_all(sched->ports->store, sched->clock, prefix,
				PAGE_ROWS, STORE_TIMEOUT, &rows, e))
		return -1;
	rc = *swept ? delete_rows(sched, &rows, *swept, e) : 0;
	if (!rc)
		*swept = rows.version;
	seam_rows_free(&rows);
	return rc;
}

/* Sweeps the next part if it is due. Called without the scheduler's lock. */
void scheduler_sweep_cancels(struct seam_scheduler *sched)
{
	struct seam_err e = SEAM_ERR_INIT;
	seam_time now = seam_now(sched->clock);
	size_t part = sched->cancels_part;

	if (now < sched->cancels_sweep_at)
		return;
	sched->cancels_sweep_at = now + CANCEL_SWEEP_INTERVAL;
	sched->cancels_part = (part + 1) % strlen(SEAM_JOB_PARTS);
	if (sweep_part(sched, part, &e))
		seam_log(SEAM_WARN, "owner",
			 "event=cancels_unswept part=%c why=\"%s\"",
			 SEAM_JOB_PARTS[part], e.text);
}
