#include "process/scheduler_impl.h"
#include "base/metrics.h"
#include "base/log.h"

#include <stdlib.h>
#include <string.h>

/*
 * Operations in one commit: the store accepts 100 entries, and an operation
 * with an expected version counts as two. A job that ends takes two operations,
 * and one for each further row of progress.
 */
#define COMMIT_WRITES_MAX 48
/*
 * A commit has place for another row below this size. The platform accepts
 * calls of 1 MB: with that row of 64 KiB, in base64 and with the keys, a call
 * has 0.93 MB.
 */
#define COMMIT_BYTES_MAX (600u << 10)
/* Collects ends that arrive together into one commit. */
#define BATCH_DELAY_USEC 15000
#define RETRY_USEC 100000
#define COMMIT_TIMEOUT (1500 * SEAM_MSEC)
/*
 * Delay before the rows of a job that the store refused are written again. They
 * may have become smaller, or the job may have ended.
 */
#define REFUSED_ROW_DELAY (2 * SEAM_SEC)

SEAM_METRIC(commits, "seam_commits_total",
	    "Commits of jobs' rows and progress.");
SEAM_METRIC(rows, "seam_commit_rows_total", "Rows in them.");
SEAM_METRIC(conflicts, "seam_commit_conflicts_total",
	    "Commits that another writer had overtaken.");

/*
 * An operation of the commit in progress: the row of a job that has ended, or a
 * row with its progress, which is deleted with the end.
 *
 * @change: changes of the job that are stored with this operation; 0 if others
 *          are needed
 * @row: number of the row of progress
 * @failures: failed runs in it
 */
struct pending_write {
	struct seam_handle job;
	uint64_t change;
	enum seam_op op;
	bool progress;
	size_t row;
	size_t failures;
	uint64_t version;
	char key[SEAM_KEY_MAX];
	char *text;
};

/* The operations of a commit. */
struct batch {
	struct pending_write item[COMMIT_WRITES_MAX];
	size_t n;
	size_t bytes; /* of the rows */
};

static bool is_full(const struct batch *b)
{
	return b->n == COMMIT_WRITES_MAX || b->bytes >= COMMIT_BYTES_MAX;
}

static struct pending_write *add_write(struct batch *b,
				       const struct seam_job *j)
{
	struct pending_write *i = &b->item[b->n++];

	memset(i, 0, sizeof(*i));
	i->job = j->self;
	return i;
}

static void set_text(struct batch *b, struct pending_write *i, char *text)
{
	i->text = text;
	b->bytes += text ? strlen(text) : 0;
}

static struct pending_write *add_job_row(struct batch *b,
					 const struct seam_job *j)
{
	struct pending_write *i = add_write(b, j);

	set_text(b, i, seam_jobrow_serialize(&j->row));
	i->version = j->version;
	seam_jobrow_key(j->row.spec.id, i->key);
	return i;
}

static struct pending_write *add_progress_row(struct batch *b,
					      struct seam_job *j, size_t row)
{
	struct pending_write *i = add_write(b, j);

	i->progress = true;
	i->row = row;
	i->failures = seam_progress_failures(&j->row, row);
	i->version = scheduler_progress_row(j, row)->version;
	seam_progress_key(j->row.spec.id, row, i->key);
	return i;
}

/*
 * Adds the rows of progress that have changed; returns the last one, or NULL if
 * there is no place for all of them. Failed runs that were merged are appended,
 * so the rows are written from the last one: a run is stored at its new place
 * before the row that had it is replaced. The row with the done tasks is the
 * last to be written.
 */
static struct pending_write *add_progress(struct batch *b, struct seam_job *j)
{
	struct pending_write *i = NULL;
	size_t row = seam_progress_rows(&j->row);

	while (row--) {
		if (row && scheduler_progress_row(j, row)->failures ==
				   seam_progress_failures(&j->row, row))
			continue;
		if (is_full(b))
			return NULL;
		i = add_progress_row(b, j, row);
		set_text(b, i, seam_progress_serialize(&j->row, row));
	}
	return i;
}

/* Adds the row of a job that has ended and the deletion of its progress. */
static struct pending_write *add_end(struct batch *b, struct seam_job *j)
{
	struct pending_write *i = NULL;
	size_t row;

	if (!j->row_final)
		i = add_job_row(b, j);
	for (row = 0; row < j->progress->len; row++) {
		if (scheduler_progress_row(j, row)->version == SEAM_ABSENT)
			continue;
		if (is_full(b))
			return NULL;
		i = add_progress_row(b, j, row);
		i->op = SEAM_DELETE;
	}
	return i;
}

/* Adds the operations for a job that has changed, as far as there is place. */
static void add_job(struct batch *b, struct seam_job *j)
{
	struct pending_write *last = seam_job_finished(j->row.state) ?
					     add_end(b, j) :
					     add_progress(b, j);

	if (last)
		last->change = j->changes;
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

static void collect_changed(struct seam_scheduler *sched, struct batch *b)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	seam_time now = seam_now(sched->clock);
	struct seam_job *j;

	b->n = 0;
	b->bytes = 0;
	sched->commit_again_at = SEAM_NEVER;
	while (!is_full(b) && (j = seam_table_next(sched->jobs, &h))) {
		if (j->committed == j->changes)
			continue;
		if (j->commit_after > now) {
			sched->commit_again_at =
				MIN(sched->commit_again_at, j->commit_after);
			continue;
		}
		if (j->row_final && !scheduler_has_progress(j))
			finish_job(sched, j);
		else
			add_job(b, j);
	}
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
	if (i->op == SEAM_DELETE) {
		*scheduler_progress_row(j, i->row) =
			(struct seam_progress_row){.version = SEAM_ABSENT};
	} else if (i->progress) {
		*scheduler_progress_row(j, i->row) =
			(struct seam_progress_row){version, i->failures};
	} else {
		j->version = version;
		j->row_final = true;
	}
	if (i->change > j->committed)
		j->committed = i->change;
	/* It was ended by another writer while its progress was written. */
	if (j->row_final && j->committed == j->changes &&
	    scheduler_has_progress(j))
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
	if (j && absent) {
		*scheduler_progress_row(j, item->row) =
			(struct seam_progress_row){.version = SEAM_ABSENT};
	} else if (j && item->progress) {
		scheduler_progress_merge(j, &row);
		scheduler_job_progressed(sched, j);
	} else if (j) {
		scheduler_job_merge(sched, j, &row);
	}
	pthread_mutex_unlock(&sched->lock);
	if (!absent)
		seam_row_free(&row);
}

/* Whether the store refuses the content, so that it refuses it again. */
static bool is_refusal(const struct seam_err *e)
{
	return e->kind == SEAM_BAD_REQUEST || e->kind == SEAM_TOO_LARGE;
}

/*
 * Returns the number of operations in the first half of the jobs; 0 if all are
 * of one job.
 */
static size_t half_of_jobs(const struct pending_write *item, size_t n)
{
	size_t half = n / 2;

	while (half < n && half &&
	       seam_handle_eq(item[half].job, item[half - 1].job))
		half++;
	if (half < n)
		return half;
	for (half = n / 2; half; half--)
		if (!seam_handle_eq(item[half].job, item[half - 1].job))
			break;
	return half;
}

/* Leaves the job of a refused commit out of the next ones. */
static void defer_job(struct seam_scheduler *sched,
		      const struct pending_write *item, size_t n,
		      const struct seam_err *e)
{
	struct seam_job *j;

	seam_log(SEAM_ERROR, "owner",
		 "event=rows_refused row=%s rows=%zu term=%llu why=\"%s\"",
		 item->key, n, (unsigned long long)sched->term, e->text);
	pthread_mutex_lock(&sched->lock);
	j = scheduler_job(sched, item->job);
	if (j)
		j->commit_after = seam_now(sched->clock) + REFUSED_ROW_DELAY;
	pthread_mutex_unlock(&sched->lock);
}

/*
 * Commits the operations. If the store refuses them, those of one half of the
 * jobs and then of the other: a job whose rows are refused delays no other.
 * Returns false if the next commit has to wait.
 */
static bool commit_items(struct seam_scheduler *sched,
			 const struct pending_write *item, size_t n)
{
	struct seam_err e = SEAM_ERR_INIT;
	uint64_t version = 0;
	size_t half;
	size_t i;
	int rc = commit(sched, item, n, &version, &e);

	seam_metric_add(&commits, 1);
	seam_metric_add(&rows, (int64_t)n);
	if (!rc) {
		pthread_mutex_lock(&sched->lock);
		apply_commit(sched, item, n, version);
		pthread_mutex_unlock(&sched->lock);
		return true;
	}
	if (is_refusal(&e)) {
		half = half_of_jobs(item, n);
		if (!half) {
			defer_job(sched, item, n, &e);
			return true;
		}
		return commit_items(sched, item, half) &&
		       commit_items(sched, item + half, n - half);
	}
	if (e.kind == SEAM_CONFLICT || e.kind == SEAM_COMMIT_UNKNOWN) {
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
	return false;
}

/* Commits changed rows; returns whether there may be more. */
static bool commit_some(struct seam_scheduler *sched)
{
	struct batch b;
	size_t i;

	pthread_mutex_lock(&sched->lock);
	sched->commit_due = false;
	collect_changed(sched, &b);
	pthread_mutex_unlock(&sched->lock);
	if (!b.n)
		return false;
	if (!commit_items(sched, b.item, b.n))
		g_usleep(RETRY_USEC);
	for (i = 0; i < b.n; i++)
		free(b.item[i].text);
	return true;
}

void *scheduler_commit_loop(void *arg)
{
	struct seam_scheduler *sched = arg;

	pthread_mutex_lock(&sched->lock);
	while (!sched->stop) {
		if (!sched->commit_due &&
		    seam_now(sched->clock) < sched->commit_again_at) {
			seam_wait(sched->clock, &sched->commit_wake,
				  &sched->lock, sched->commit_again_at);
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
