#include "process/scheduler_impl.h"
#include "base/metrics.h"
#include "base/log.h"

#include <stdlib.h>
#include <string.h>

/*
 * Jobs in one commit: the store accepts 100 entries, and a put with an expected
 * version counts as two.
 */
#define COMMIT_JOBS_MAX 45
/* Collects ends that arrive together into one commit. */
#define BATCH_DELAY_USEC 15000
#define RETRY_USEC 100000
#define COMMIT_TIMEOUT (1500 * SEAM_MSEC)

SEAM_METRIC(commits, "seam_commits_total", "Commits of jobs' rows.");
SEAM_METRIC(rows, "seam_commit_rows_total", "Rows in them.");
SEAM_METRIC(conflicts, "seam_commit_conflicts_total",
	    "Commits that another writer had overtaken.");

/* A row of the commit in progress. */
struct pending_row {
	struct seam_handle job;
	uint64_t change;
	uint64_t version;
	char key[SEAM_KEY_MAX];
	char *text;
};

/* The row of an ended job omits its steps. */
static char *row_text(const struct seam_job *j)
{
	struct seam_jobrow r = j->row;

	if (!seam_job_finished(r.state))
		return seam_jobrow_serialize(&j->row);
	r.spec.text = (char *)"";
	r.spec.steps = 0;
	r.done = NULL;
	r.failures = 0;
	return seam_jobrow_serialize(&r);
}

static size_t collect_changed(struct seam_scheduler *sched,
			      struct pending_row *item)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_job *j;
	size_t n = 0;

	while (n < COMMIT_JOBS_MAX && (j = seam_table_next(sched->jobs, &h))) {
		struct pending_row *i = &item[n];

		if (j->committed == j->changes)
			continue;
		i->text = row_text(j);
		if (!i->text)
			continue;
		i->job = h;
		i->change = j->changes;
		i->version = j->version;
		seam_jobrow_key(j->row.spec.id, i->key);
		n++;
	}
	return n;
}

/*
 * The expected row versions are the only condition. An owner whose term is over
 * can only add ends reported by workers, and the next owner merges those.
 */
static int commit(struct seam_scheduler *sched, const struct pending_row *item,
		  size_t n, uint64_t *version, struct seam_err *e)
{
	struct seam_write w[COMMIT_JOBS_MAX];
	struct seam_commit c = {w, n, seam_store_token(), 0};
	size_t i;
	int rc;

	for (i = 0; i < n; i++)
		w[i] = (struct seam_write){SEAM_PUT, item[i].key,
					   item[i].version, item[i].text,
					   strlen(item[i].text)};
	pthread_mutex_lock(&sched->lock);
	sched->token[sched->tokens++ % SEAM_SCHEDULER_TOKENS] = c.token;
	pthread_mutex_unlock(&sched->lock);
	rc = seam_store_commit(sched->ports->store, &c,
			       seam_now(sched->clock) + COMMIT_TIMEOUT, e);
	*version = c.version;
	return rc;
}

static void ack_all_ends(struct seam_scheduler *sched)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_worker *w;

	while ((w = seam_table_next(sched->workers, &h)))
		scheduler_ack_ends(sched, w);
}

static void apply_commit(struct seam_scheduler *sched,
			 const struct pending_row *item, size_t n,
			 uint64_t version)
{
	size_t i;

	for (i = 0; i < n; i++) {
		struct seam_job *j = scheduler_job(sched, item[i].job);

		if (!j)
			continue;
		j->version = version;
		if (item[i].change > j->committed)
			j->committed = item[i].change;
		if (scheduler_job_droppable(j))
			scheduler_job_drop(sched, j);
	}
	ack_all_ends(sched);
}

/* Reads a row that another writer may have changed. Called without the lock. */
static void read_back(struct seam_scheduler *sched,
		      const struct pending_row *item)
{
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_row row;
	struct seam_job *j;

	if (seam_store_get(sched->ports->store, item->key, &row,
			   seam_now(sched->clock) + STORE_TIMEOUT, &e))
		return;
	pthread_mutex_lock(&sched->lock);
	j = scheduler_job(sched, item->job);
	if (j)
		scheduler_job_merge(sched, j, &row);
	pthread_mutex_unlock(&sched->lock);
	seam_row_free(&row);
}

/* Commits changed rows; returns whether there may be more. */
static bool commit_some(struct seam_scheduler *sched)
{
	struct pending_row item[COMMIT_JOBS_MAX];
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
