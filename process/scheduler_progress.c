/* The rows with the progress of a job, as the store has them. */
#include "process/scheduler_impl.h"
#include "base/log.h"

struct seam_progress_row *scheduler_progress_row(struct seam_job *j, size_t row)
{
	if (row >= j->progress->len)
		g_array_set_size(j->progress, (guint)row + 1);
	return &g_array_index(j->progress, struct seam_progress_row, row);
}

bool scheduler_has_progress(const struct seam_job *j)
{
	guint i;

	for (i = 0; i < j->progress->len; i++)
		if (g_array_index(j->progress, struct seam_progress_row, i)
			    .version != SEAM_ABSENT)
			return true;
	return false;
}

/* Adds what a row of another writer has; it is written again as a whole. */
void scheduler_merge_progress(struct seam_job *j, const struct seam_row *row)
{
	struct seam_err e = SEAM_ERR_INIT;
	char id[SEAM_JOB_ID_SIZE];
	size_t number;

	if (!seam_progress_parse_key(row->key, id, &number))
		return;
	*scheduler_progress_row(j, number) =
		(struct seam_progress_row){.version = row->version};
	if (!seam_job_finished(j->row.state) &&
	    seam_progress_merge(&j->row, row, &e))
		seam_log(SEAM_ERROR, "job", "event=row_unreadable why=\"%s\"",
			 e.text);
}
