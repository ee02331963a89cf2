#include "process/scheduler_impl.h"
#include "base/metrics.h"
#include "base/json.h"
#include "base/log.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Rows in one read. All parts are read in parallel, so that on a link of 2
 * Mbit/s pages of 400 rows of open jobs take longer than any timeout: no node
 * could become the owner. The number follows the time of the page before.
 */
#define PAGE_ROWS_MIN 40
#define PAGE_ROWS_MAX 400
#define PAGE_TIME_SHORT (250 * SEAM_MSEC)
#define PAGE_TIME_LONG (1 * SEAM_SEC)
#define READ_TIMEOUT (4 * SEAM_SEC)
/*
 * Time-out of one watch for new jobs. It is short because the connection may be
 * dead without an error.
 */
#define WATCH_TIMEOUT (1500 * SEAM_MSEC)
#define RETRY_USEC 100000
/* Pause after changed rows, so that jobs come together under load. */
#define WATCH_PAUSE_USEC 10000
/*
 * A read of a job's row may be answered this long after the job ended: it may
 * be a read of all parts from a store that uses the full timeout for each.
 */
#define ENDED_JOB_RETENTION (60 * SEAM_SEC)
/* Bounds the effect of a wrong wall clock. */
#define INHERITED_AGE_MAX (60 * SEAM_SEC)

SEAM_METRIC(completed, "seam_jobs_completed_total", "Jobs completed.");
SEAM_METRIC(failed, "seam_jobs_failed_total", "Jobs failed.");
SEAM_METRIC(open_jobs, "seam_jobs_open", "Jobs that have not ended.");

struct seam_job *scheduler_find_job(struct seam_scheduler *sched,
				    const char *id)
{
	struct seam_handle *h = g_hash_table_lookup(sched->job_of, id);

	return h ? scheduler_job(sched, *h) : NULL;
}

void scheduler_job_free(struct seam_job *j)
{
	int i;

	for (i = 0; j->task && i < j->row.spec.steps; i++)
		free(j->task[i]);
	g_free(j->task);
	g_free(j->left);
	g_free(j->idle);
	g_free(j->first_idle);
	g_array_free(j->progress, TRUE);
	seam_jobrow_free(&j->row);
}

void scheduler_job_changed(struct seam_scheduler *sched, struct seam_job *j)
{
	j->changes++;
	scheduler_wake_commit(sched);
}

static int alloc_tasks(struct seam_job *j)
{
	int i;

	j->progress =
		g_array_new(FALSE, TRUE, sizeof(struct seam_progress_row));
	j->task = g_new0(struct seam_job_task_state *, j->row.spec.steps + 1);
	j->left = g_new0(int, j->row.spec.steps + 1);
	j->idle = g_new0(int, j->row.spec.steps + 1);
	j->first_idle = g_new0(int64_t, j->row.spec.steps + 1);
	for (i = 0; i < j->row.spec.steps; i++) {
		int64_t n = j->row.spec.step[i].tasks;

		j->task[i] = calloc((size_t)n + 1, sizeof(**j->task));
		if (!j->task[i])
			return -1;
	}
	scheduler_job_count(j);
	return 0;
}

/* Sets latency objective and priority by the configuration version in force. */
static void set_objective(struct seam_scheduler *sched, struct seam_job *j)
{
	const struct seam_catalog *c = seam_catalog_read_lock(sched->catalog);
	const struct seam_job_queue *q =
		c ? seam_catalog_queue(c, j->row.spec.queue) : NULL;
	double stretch = q ? q->stretch : 1.0;
	int64_t extra = q ? q->target_ms : 0;

	j->priority = q ? q->priority : 0;
	seam_catalog_read_unlock();
	j->chain_ms = seam_jobspec_critical_path_ms(&j->row.spec);
	j->due_at =
		j->accepted_at +
		((int64_t)(stretch * (double)j->chain_ms) + extra) * SEAM_MSEC;
}

/*
 * Returns whether a workspace submits more jobs a second than its weight. It
 * may submit one second's worth at once.
 */
static bool exceeds_share(struct seam_scheduler *sched, const char *workspace)
{
	const struct seam_catalog *c = seam_catalog_read_lock(sched->catalog);
	const struct seam_job_workspace *w =
		c ? seam_catalog_workspace(c, workspace) : NULL;
	double share = w ? (double)w->weight : 0;
	struct seam_share_bucket *m =
		g_hash_table_lookup(sched->share_buckets, workspace);
	seam_time now = seam_now(sched->clock);

	seam_catalog_read_unlock();
	if (!share)
		return false;
	if (!m) {
		m = g_new0(struct seam_share_bucket, 1);
		m->updated_at = now;
		g_hash_table_insert(sched->share_buckets, g_strdup(workspace),
				    m);
	}
	m->level -= share * (double)(now - m->updated_at) / SEAM_SEC;
	m->updated_at = now;
	if (m->level < 0)
		m->level = 0;
	if (m->level + 1 > share)
		return true;
	m->level += 1;
	return false;
}

/* Returns what the runs of a workspace have reserved. */
static struct seam_resources *workspace_usage(struct seam_scheduler *sched,
					      const char *workspace)
{
	struct seam_resources *a =
		g_hash_table_lookup(sched->workspace_used, workspace);

	if (a)
		return a;
	a = g_new0(struct seam_resources, 1);
	g_hash_table_insert(sched->workspace_used, g_strdup(workspace), a);
	return a;
}

bool scheduler_job_all_done(const struct seam_job *j)
{
	int i;

	for (i = 0; i < j->row.spec.steps; i++)
		if (j->left[i])
			return false;
	return true;
}

void scheduler_job_progressed(struct seam_scheduler *sched, struct seam_job *j)
{
	scheduler_job_count(j);
	scheduler_job_mark_dirty(sched, j);
	if (!seam_job_finished(j->row.state) && scheduler_job_all_done(j))
		scheduler_job_end(sched, j, SEAM_JOB_COMPLETED);
}

struct seam_job *scheduler_job_add(struct seam_scheduler *sched,
				   const struct seam_row *row, bool inherited)
{
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_jobrow r;
	struct seam_handle h;
	struct seam_job *j;
	seam_time age;

	if (seam_jobrow_parse(row, &r, &e)) {
		seam_log(SEAM_ERROR, "job", "event=row_unreadable why=\"%s\"",
			 e.text);
		return NULL;
	}
	j = seam_job_finished(r.state) ? NULL : seam_table_add(sched->jobs, &h);
	if (!j) {
		seam_jobrow_free(&r);
		return NULL;
	}
	age = inherited ? (seam_wall_ms() - r.accepted_ms) * SEAM_MSEC : 0;
	if (age < 0 || age > INHERITED_AGE_MAX)
		age = age < 0 ? 0 : INHERITED_AGE_MAX;
	j->row = r;
	j->version = row->version;
	j->self = h;
	j->inherited = inherited;
	j->over_share = !inherited && exceeds_share(sched, r.spec.workspace);
	j->accepted_at = seam_now(sched->clock) - age;
	if (!inherited)
		sched->job_accepted_at = j->accepted_at;
	j->used = workspace_usage(sched, r.spec.workspace);
	set_objective(sched, j);
	if (alloc_tasks(j)) {
		scheduler_job_free(j);
		seam_table_del(sched->jobs, h);
		return NULL;
	}
	g_hash_table_replace(sched->job_of, g_strdup(j->row.spec.id),
			     g_memdup2(&h, sizeof(h)));
	seam_metric_set(&open_jobs, (int64_t)seam_table_count(sched->jobs));
	scheduler_job_mark_dirty(sched, j);
	scheduler_wake_pass(sched);
	return j;
}

/*
 * One part of the jobs' rows that is read.
 *
 * @take: receives each page
 * @progress: rows of progress, read at the start of a term
 */
struct part {
	struct seam_scheduler *sched;
	char part;
	void (*take)(struct part *p, struct seam_rows *rows);
	uint64_t version;
	GHashTable *progress;
	int rc;
	struct seam_err err;
	pthread_t thread;
};

static size_t next_page_rows(size_t rows, seam_time took)
{
	if (took < PAGE_TIME_SHORT)
		rows *= 2;
	else if (took > PAGE_TIME_LONG)
		rows /= 2;
	return CLAMP(rows, PAGE_ROWS_MIN, PAGE_ROWS_MAX);
}

/* Reads the rows under @table, "job/" or "done/", of a part. */
static int read_part(struct part *p, const char *table, struct seam_err *e)
{
	struct seam_clock *k = p->sched->clock;
	char prefix[16];
	char after[SEAM_KEY_MAX] = "";
	size_t page = PAGE_ROWS_MIN;
	struct seam_rows rows;
	bool more;

	snprintf(prefix, sizeof(prefix), "%s%c/", table, p->part);
	do {
		seam_time begin = seam_now(k);

		if (seam_store_scan(p->sched->ports->store, prefix,
				    *after ? after : NULL, page, &rows,
				    begin + READ_TIMEOUT, e))
			return -1;
		/*
		 * The feed resumes from the version of the first page, so that
		 * rows which change while later pages are read are delivered
		 * again.
		 */
		if (!p->version)
			p->version = rows.version;
		more = rows.more;
		if (rows.n)
			snprintf(after, sizeof(after), "%s",
				 rows.row[rows.n - 1].key);
		page = next_page_rows(page, seam_now(k) - begin);
		p->take(p, &rows);
		seam_rows_free(&rows);
	} while (more);
	return 0;
}

static void take_progress(struct part *p, struct seam_rows *rows)
{
	scheduler_progress_take(p->progress, rows);
}

static void add_inherited(struct part *p, struct seam_rows *rows)
{
	struct seam_scheduler *sched = p->sched;
	struct seam_job *j;
	size_t i;

	pthread_mutex_lock(&sched->lock);
	for (i = 0; i < rows->n; i++) {
		j = scheduler_job_add(sched, &rows->row[i], true);
		if (j)
			scheduler_progress_add(sched, j, p->progress);
	}
	pthread_mutex_unlock(&sched->lock);
}

/*
 * Reads the progress first: a job whose end is committed between the two reads
 * is then known to have ended, and its progress is deleted with its end.
 */
static void *load_part(void *arg)
{
	struct part *p = arg;

	p->progress = scheduler_progress_table_new();
	p->take = take_progress;
	p->rc = read_part(p, SEAM_PROGRESS_ROW_PREFIX, &p->err);
	p->version = 0;
	p->take = add_inherited;
	if (!p->rc)
		p->rc = read_part(p, SEAM_JOB_ROW_PREFIX, &p->err);
	g_hash_table_destroy(p->progress);
	return NULL;
}

/* Reads the parts in parallel: a slow store takes 0.2 s for each of them. */
int scheduler_load_jobs(struct seam_scheduler *sched, struct seam_err *e)
{
	struct part load[sizeof(SEAM_JOB_PARTS)] = {{0}};
	size_t n;
	size_t i;
	int rc = 0;

	for (n = 0; SEAM_JOB_PARTS[n]; n++) {
		load[n].sched = sched;
		load[n].part = SEAM_JOB_PARTS[n];
		if (pthread_create(&load[n].thread, NULL, load_part, &load[n]))
			break;
	}
	if (SEAM_JOB_PARTS[n])
		rc = seam_fail(e, SEAM_NO_MEMORY, "cannot start a thread");
	for (i = 0; i < n; i++) {
		pthread_join(load[i].thread, NULL);
		if (load[i].rc) {
			*e = load[i].err;
			rc = -1;
		}
		/* The feed resumes from the earliest version of all parts. */
		if (!sched->jobs_version ||
		    load[i].version < sched->jobs_version)
			sched->jobs_version = load[i].version;
	}
	return rc;
}

/*
 * A run that may still be active keeps the job, as its stop is not confirmed.
 */
bool scheduler_job_droppable(const struct seam_job *j)
{
	return seam_job_finished(j->row.state) && j->committed == j->changes &&
	       !j->runs;
}

static gboolean is_expired(gpointer id, gpointer at, gpointer now)
{
	(void)id;
	return *(seam_time *)at + ENDED_JOB_RETENTION < *(seam_time *)now;
}

/*
 * Remembers the end of a job, to ignore older versions of its row that are read
 * later.
 */
static void record_ended_job(struct seam_scheduler *sched,
			     const struct seam_job *j)
{
	seam_time now = seam_now(sched->clock);

	g_hash_table_replace(sched->ended_jobs, g_strdup(j->row.spec.id),
			     g_memdup2(&now, sizeof(now)));
	if (now < sched->ended_jobs_swept_at + SEAM_SEC)
		return;
	sched->ended_jobs_swept_at = now;
	g_hash_table_foreach_remove(sched->ended_jobs, is_expired, &now);
}

void scheduler_job_drop(struct seam_scheduler *sched, struct seam_job *j)
{
	struct seam_handle h = j->self;

	record_ended_job(sched, j);
	scheduler_job_unqueue(sched, j);
	g_hash_table_remove(sched->job_of, j->row.spec.id);
	scheduler_job_free(j);
	seam_table_del(sched->jobs, h);
	seam_metric_set(&open_jobs, (int64_t)seam_table_count(sched->jobs));
}

static void stop_all_runs(struct seam_scheduler *sched, struct seam_job *j)
{
	int64_t t;
	int i;
	int k;

	for (i = 0; i < j->row.spec.steps; i++)
		for (t = 0; t < j->row.spec.step[i].tasks; t++)
			for (k = 0; k < SEAM_TASK_RUNS_MAX; k++) {
				struct seam_run_slot *r = &j->task[i][t].run[k];

				if (r->state != SEAM_RUN_FREE)
					scheduler_run_stop(sched, j, i, (int)t,
							   r);
			}
}

void scheduler_job_end(struct seam_scheduler *sched, struct seam_job *j,
		       int state)
{
	j->row.state = state;
	j->row.ended_ms = seam_wall_ms();
	seam_metric_add(state == SEAM_JOB_COMPLETED ? &completed : &failed, 1);
	scheduler_job_delayed(j, SEAM_DELAY_NONE, seam_now(sched->clock));
	scheduler_log_job(sched, j,
			  state == SEAM_JOB_COMPLETED ? "completed" : "failed");
	stop_all_runs(sched, j);
	scheduler_job_mark_dirty(sched, j);
	scheduler_job_changed(sched, j);
}

/* Takes over the final @state from the row, which need not be written again. */
void scheduler_job_finish(struct seam_scheduler *sched, struct seam_job *j,
			  const struct seam_row *row, int state)
{
	seam_log(SEAM_INFO, "job", "event=stopping job=%s state=%d runs=%d",
		 j->row.spec.id, state, j->runs);
	j->row.state = state;
	j->version = row->version;
	j->row_final = true;
	j->committed = j->changes;
	stop_all_runs(sched, j);
	scheduler_job_mark_dirty(sched, j);
	if (scheduler_has_progress(j))
		scheduler_job_changed(sched, j); /* deletes its progress */
	if (scheduler_job_droppable(j))
		scheduler_job_drop(sched, j);
}

/*
 * Merges the row of another writer: a client that cancelled the job, or a
 * previous owner whose commit was applied late.
 */
void scheduler_job_merge(struct seam_scheduler *sched, struct seam_job *j,
			 const struct seam_row *row)
{
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_jobrow r;

	if (row->version <= j->version || seam_jobrow_parse(row, &r, &e))
		return;
	if (seam_job_finished(r.state)) {
		scheduler_job_finish(sched, j, row, r.state);
	} else {
		j->version = row->version;
		seam_jobrow_merge(&j->row, &r);
		scheduler_job_progressed(sched, j);
	}
	seam_jobrow_free(&r);
}

static bool is_own_write(const struct seam_scheduler *sched, uint64_t token)
{
	size_t i;

	for (i = 0; i < SEAM_SCHEDULER_TOKENS; i++)
		if (sched->token[i] == token && token)
			return true;
	return false;
}

static void apply_row(struct seam_scheduler *sched, const struct seam_row *row)
{
	struct seam_job *j =
		scheduler_find_job(sched, seam_jobrow_id(row->key));

	if (!row->data || is_own_write(sched, row->writer))
		return;
	if (j)
		scheduler_job_merge(sched, j, row);
	else if (!g_hash_table_contains(sched->ended_jobs,
					seam_jobrow_id(row->key)))
		scheduler_job_add(sched, row, false);
}

static void apply_rows(struct seam_scheduler *sched,
		       const struct seam_rows *rows)
{
	size_t i;

	pthread_mutex_lock(&sched->lock);
	for (i = 0; i < rows->n; i++)
		apply_row(sched, &rows->row[i]);
	pthread_mutex_unlock(&sched->lock);
}

static void apply_page(struct part *p, struct seam_rows *rows)
{
	apply_rows(p->sched, rows);
}

/* Reads all parts again after the feed lost its history. */
static int read_again(struct seam_scheduler *sched, struct seam_err *e)
{
	struct part p = {.sched = sched, .take = apply_page};
	const char *part;

	for (part = SEAM_JOB_PARTS; *part; part++) {
		p.part = *part;
		if (read_part(&p, SEAM_JOB_ROW_PREFIX, e))
			return -1;
	}
	sched->jobs_version = p.version;
	return 0;
}

static int watch(struct seam_scheduler *sched, struct seam_err *e)
{
	struct seam_rows rows;

	if (seam_store_watch(sched->ports->store, SEAM_JOB_ROW_PREFIX,
			     &sched->jobs_version, &rows,
			     seam_now(sched->clock) + WATCH_TIMEOUT, e))
		return -1;
	apply_rows(sched, &rows);
	seam_rows_free(&rows);
	return 0;
}

void *scheduler_follow_jobs(void *arg)
{
	struct seam_scheduler *sched = arg;
	struct seam_err e = SEAM_ERR_INIT;
	bool stale = false;

	while (!__atomic_load_n(&sched->stop, __ATOMIC_ACQUIRE)) {
		seam_err_clear(&e);
		if (stale ? read_again(sched, &e) : watch(sched, &e)) {
			if (e.kind == SEAM_STALE)
				stale = true;
			g_usleep(RETRY_USEC);
		} else {
			stale = false;
			g_usleep(WATCH_PAUSE_USEC);
		}
	}
	return NULL;
}

bool scheduler_step_is_ready(const struct seam_job *j, int step)
{
	uint64_t after = j->row.spec.step[step].after;
	int i;

	for (i = 0; i < step; i++)
		if (after >> i & 1 && j->left[i])
			return false;
	return true;
}

/* Returns the run time of the longest chain of unfinished steps. */
static int64_t remaining_ms(const struct seam_job *j)
{
	int64_t end[SEAM_STEPS_MAX];
	int64_t longest = 0;
	int i;
	int k;

	for (i = 0; i < j->row.spec.steps; i++) {
		const struct seam_step *s = &j->row.spec.step[i];

		end[i] = 0;
		for (k = 0; k < i; k++)
			if (s->after >> k & 1 && end[k] > end[i])
				end[i] = end[k];
		if (j->left[i] && !s->lasting)
			end[i] += s->estimate_ms;
		if (end[i] > longest)
			longest = end[i];
	}
	return longest;
}

void scheduler_job_urgency(const struct seam_job *j, struct seam_urgency *u)
{
	int i;

	memset(u, 0, sizeof(*u));
	for (i = 0; i < j->row.spec.steps; i++)
		u->lasting = u->lasting || j->row.spec.step[i].lasting;
	u->priority = j->priority;
	u->over_share = j->over_share;
	u->begun = j->begun;
	u->due_at = j->due_at;
	u->left_ms = remaining_ms(j);
	u->accepted_at = j->accepted_at;
}
