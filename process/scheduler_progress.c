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
void scheduler_progress_merge(struct seam_job *j, const struct seam_row *row)
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

static void free_row(gpointer row)
{
	seam_row_free(row);
	g_free(row);
}

static void free_rows(gpointer rows)
{
	g_ptr_array_free(rows, TRUE);
}

GHashTable *scheduler_progress_table_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				     free_rows);
}

void scheduler_progress_take(GHashTable *table, struct seam_rows *rows)
{
	char id[SEAM_JOB_ID_SIZE];
	GPtrArray *of_job;
	size_t number;
	size_t i;

	for (i = 0; i < rows->n; i++) {
		if (!seam_progress_parse_key(rows->row[i].key, id, &number))
			continue;
		of_job = g_hash_table_lookup(table, id);
		if (!of_job) {
			of_job = g_ptr_array_new_with_free_func(free_row);
			g_hash_table_replace(table, g_strdup(id), of_job);
		}
		g_ptr_array_add(of_job,
				g_memdup2(&rows->row[i], sizeof(rows->row[i])));
		rows->row[i].data = NULL;
	}
}

void scheduler_progress_add(struct seam_scheduler *sched, struct seam_job *j,
			    GHashTable *table)
{
	const GPtrArray *rows = g_hash_table_lookup(table, j->row.spec.id);
	guint i;

	if (!rows)
		return;
	for (i = 0; i < rows->len; i++)
		scheduler_progress_merge(j, g_ptr_array_index(rows, i));
	scheduler_job_progressed(sched, j);
}
