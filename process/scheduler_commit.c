#include "process/scheduler_impl.h"
#include "base/metrics.h"
#include "base/log.h"

#include <stdlib.h>
#include <string.h>

/*
 * Operations in one commit: the store accepts 100 entries, and an operation
 * with an expected version counts as two. A job that ends takes two operations.
 */
#define COMMIT_WRITES_MAX 48
/* Collects ends that arrive together into one commit. */
#define BATCH_DELAY_USEC 15000
#define RETRY_USEC 100000
#define COMMIT_TIMEOUT (1500 * SEAM_MSEC)

SEAM_METRIC(commits, "seam_commits_total",
	    "Commits of jobs' rows and progress.");
SEAM_METRIC(rows, "seam_commit_rows_total", "Rows in them.");
SEAM_METRIC(conflicts, "seam_commit_conflicts_total",
	    "Commits that another writer had overtaken.");

/*
 * An operation of the commit in progress: the row of a job that has ended, or
 * the row with its progress, which is deleted with the end.
 */
struct pending_write {
	struct seam_handle job;
	uint64_t change;
	enum seam_op op;
	bool progress;
	uint64_t version;
	char key[SEAM_KEY_MAX];
	char *text;
};

static struct pending_write *add_write(struct pending_write *item, size_t *n,
				       const struct seam_job *j, bool progress)
{
	struct pending_write *i = &item[(*n)++];

	memset(i, 0, sizeof(*i));
	i->job = j->self;
	i->change = j->changes;
	i->progress = progress;
	i->version = progress ? j->progress_version : j->version;
	if (progress)
		seam_progress_key(j->row.spec.id, i->key);
	else
		seam_jobrow_key(j->row.spec.id, i->key);
	return i;
}

/* Adds the operations for a job that has changed. */
static void add_job(struct pending_write *item, size_t *n,
		    const struct seam_job *j)
{
	struct pending_write *i;

	if (!seam_job_finished(j->row.state)) {
		i = add_write(item, n, j, true);
		i->text = seam_progress_serialize(&j->row);
		return;
	}
	if (!j->row_final) {
		i = add_write(item, n, j, false);
		i->text = seam_jobrow_serialize(&j->row);
	}
	if (j->progress_version != SEAM_ABSENT) {
		i = add_write(item, n, j, true);
		i->op = SEAM_DELETE;
	}
}

static void ack_all_ends(struct seam_scheduler *sched)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_worker *w;

	while ((w = seam_table_next(sched->workers, &h)))
		scheduler_ack_ends(sched, w);
}

/* Nothing is left to be written for a job that another writer has ended. */
static void finish_job(struct seam_scheduler *sched, struct seam_job *j)
{
	j->committed = j->changes;
	if (scheduler_job_droppable(j))
		scheduler_job_drop(sched, j);
	ack_all_ends(sched);
}

static size_t collect_changed(struct seam_scheduler *sched,
			      struct pending_write *item)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_job *j;
	size_t n = 0;

	while (n + 2 <= COMMIT_WRITES_MAX &&
	       (j = seam_table_next(sched->jobs, &h))) {
		if (j->committed == j->changes)
			continue;
		if (j->row_final && j->progress_version == SEAM_ABSENT)
			finish_job(sched, j);
		else
			add_job(item, &n, j);
	}
	return n;
}

/*
 * The expected row versions are the only condition. An owner whose term is over
 * can only add ends reported by workers, and the next owner merges those.
 */
static int commit(struct seam_scheduler *sched,
		  const struct pending_write *item, size_t n, uint64_t *version,
		  struct seam_err *e)
{
	struct seam_write w[COMMIT_WRITES_MAX];
	struct seam_commit c = {w, n, seam_store_token(), 0};
	size_t i;
	int rc;

	for (i = 0; i < n; i++)
		w[i] = (struct seam_write){
			item[i].op, item[i].key, item[i].version, item[i].text,
			item[i].text ? strlen(item[i].text) : 0};
	pthread_mutex_lock(&sched->lock);
	sched->token[sched->tokens++ % SEAM_SCHEDULER_TOKENS] = c.token;
	pthread_mutex_unlock(&sched->lock);
	rc = seam_store_commit(sched->ports->store, &c,
			       seam_now(sched->clock) + COMMIT_TIMEOUT, e);
	*version = c.version;
	return rc;
}

static void apply_write(struct seam_scheduler *sched,
			const struct pending_write *i, uint64_t version)
{
	struct seam_job *j = scheduler_job(sched, i->job);

	if (!j)
		return;
	if (i->progress)
		j->progress_version =
			i->op == SEAM_DELETE ? SEAM_ABSENT : version;
	else
		j->version = version;
	if (i->change > j->committed)
		j->committed = i->change;
	/* It was ended by another writer while its progress was written. */
	if (j->row_final && j->progress_version != SEAM_ABSENT &&
	    j->committed == j->changes)
		scheduler_job_changed(sched, j);
}

static void apply_commit(struct seam_scheduler *sched,
			 const struct pending_write *item, size_t n,
			 uint64_t version)
{
	struct seam_job *j;
	size_t i;

	for (i = 0; i < n; i++)
		apply_write(sched, &item[i], version);
	for (i = 0; i < n; i++) {
		j = scheduler_job(sched, item[i].job);
		if (j && scheduler_job_droppable(j))
			scheduler_job_drop(sched, j);
	}
	ack_all_ends(sched);
}

/* @row is NULL if there is no progress. */
static void merge_progress(struct seam_scheduler *sched, struct seam_job *j,
			   const struct seam_row *row)
{
	struct seam_err e = SEAM_ERR_INIT;

	j->progress_version = row ? row->version : SEAM_ABSENT;
	if (!row || seam_job_finished(j->row.state))
		return;
	if (seam_progress_merge(&j->row, row, &e))
		seam_log(SEAM_ERROR, "job", "event=row_unreadable why=\"%s\"",
			 e.text);
	scheduler_job_progressed(sched, j);
}

/* Reads a row that another writer may have changed. Called without the lock. */
static void read_back(struct seam_scheduler *sched,
		      const struct pending_write *item)
{
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_row row = {.data = NULL};
	struct seam_job *j;
	bool absent =
		seam_store_get(sched->ports->store, item->key, &row,
			       seam_now(sched->clock) + STORE_TIMEOUT, &e);

	if (absent && (e.kind != SEAM_NOT_FOUND || !item->progress))
		return;
	pthread_mutex_lock(&sched->lock);
	j = scheduler_job(sched, item->job);
	if (j && item->progress)
		merge_progress(sched, j, absent ? NULL : &row);
	else if (j)
		scheduler_job_merge(sched, j, &row);
	pthread_mutex_unlock(&sched->lock);
	if (!absent)
		seam_row_free(&row);
}

/* Commits changed rows; returns whether there may be more. */
static bool commit_some(struct seam_scheduler *sched)
{
	struct pending_write item[COMMIT_WRITES_MAX];
	struct seam_err e = SEAM_ERR_INIT;
	uint64_t version = 0;
	size_t n;
	size_t i;
	int rc;

	pthread_mutex_lock(&sched->lock);
	sched->commit_due = false;
	n = collect_changed(sched, item);
	pthread_mutex_unlock(&sched->lock);
	if (!n)
		return false;
	rc = commit(sched, item, n, &version, &e);
	seam_metric_add(&commits, 1);
	seam_metric_add(&rows, (int64_t)n);
	if (!rc) {
		pthread_mutex_lock(&sched->lock);
		apply_commit(sched, item, n, version);
		pthread_mutex_unlock(&sched->lock);
	} else if (e.kind == SEAM_CONFLICT || e.kind == SEAM_COMMIT_UNKNOWN) {
		/*
		 * Without an answer the commit was applied either wholly or not
		 * at all.
		 */
		seam_metric_add(&conflicts, 1);
		for (i = 0; i < n; i++)
			read_back(sched, &item[i]);
	} else {
		seam_log(SEAM_WARN, "owner",
			 "event=commit_failed rows=%zu term=%llu why=\"%s\"", n,
			 (unsigned long long)sched->term, e.text);
	}
	for (i = 0; i < n; i++)
		free(item[i].text);
	if (rc)
		g_usleep(RETRY_USEC);
	return true;
}

void *scheduler_commit_loop(void *arg)
{
	struct seam_scheduler *sched = arg;

	pthread_mutex_lock(&sched->lock);
	while (!sched->stop) {
		if (!sched->commit_due) {
			seam_wait(sched->clock, &sched->commit_wake,
				  &sched->lock, SEAM_NEVER);
			continue;
		}
		pthread_mutex_unlock(&sched->lock);
		g_usleep(BATCH_DELAY_USEC);
		while (commit_some(sched) &&
		       !__atomic_load_n(&sched->stop, __ATOMIC_ACQUIRE))
			;
		pthread_mutex_lock(&sched->lock);
	}
	pthread_mutex_unlock(&sched->lock);
	/* Tries to save what workers reported for the next owner. */
	commit_some(sched);
	return NULL;
}
