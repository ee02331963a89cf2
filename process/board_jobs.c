#include "process/board_impl.h"
#include "base/count.h"
#include "base/json.h"
#include "base/log.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PAGE 400 /* rows in one read */
#define READ (2 * SEAM_SEC)
/* One wait for new jobs; short, as the connection may have gone silent. */
#define WATCH (1500 * SEAM_MSEC)
#define RETRY_USEC 100000
/* A read of a job's row may be answered so long after the job has ended: one of
 * all parts, over a store that takes its whole time for each. */
#define ENDED_KEPT (60 * SEAM_SEC)
#define OLD_MAX (60 * SEAM_SEC) /* bounds the effect of a wrong wall clock */

SEAM_COUNT(completed, "seam_jobs_completed_total", "Jobs completed.");
SEAM_COUNT(failed, "seam_jobs_failed_total", "Jobs failed.");
SEAM_COUNT(open_jobs, "seam_jobs_open", "Jobs that have not ended.");

struct seam_job *board_find_job(struct seam_board *b, const char *id)
{
	struct seam_handle *h = g_hash_table_lookup(b->job_of, id);

	return h ? board_job(b, *h) : NULL;
}

void board_job_free(struct seam_job *j)
{
	int i;

	for (i = 0; j->task && i < j->row.spec.steps; i++)
		free(j->task[i]);
	g_free(j->task);
	g_free(j->left);
	g_free(j->idle);
	g_free(j->first_idle);
	seam_jobrow_free(&j->row);
}

void board_job_changed(struct seam_board *b, struct seam_job *j)
{
	j->changes++;
	board_wake_commit(b);
}

static int make_tasks(struct seam_job *j)
{
	int i;

	j->task = g_new0(struct seam_job_task *, j->row.spec.steps + 1);
	j->left = g_new0(int, j->row.spec.steps + 1);
	j->idle = g_new0(int, j->row.spec.steps + 1);
	j->first_idle = g_new0(int64_t, j->row.spec.steps + 1);
	for (i = 0; i < j->row.spec.steps; i++) {
		int64_t n = j->row.spec.step[i].tasks;

		j->task[i] = calloc((size_t)n + 1, sizeof(**j->task));
		if (!j->task[i])
			return -1;
	}
	board_job_count(j);
	return 0;
}

/* Latency objective and priority by the version in force. */
static void set_objective(struct seam_board *b, struct seam_job *j)
{
	const struct seam_catalog *c = seam_catalog_enter(b->catalog);
	const struct seam_job_queue *q =
		c ? seam_catalog_queue(c, j->row.spec.queue) : NULL;
	double stretch = q ? q->stretch : 1.0;
	int64_t extra = q ? q->target_ms : 0;

	j->priority = q ? q->priority : 0;
	seam_catalog_leave();
	j->chain_ms = seam_jobspec_chain_ms(&j->row.spec);
	j->due_at =
		j->accepted_at +
		((int64_t)(stretch * (double)j->chain_ms) + extra) * SEAM_MSEC;
}

/*
 * Whether a workspace hands in more than its weight in jobs a second. A
 * second's worth may come at once.
 */
static bool meter_share(struct seam_board *b, const char *workspace)
{
	const struct seam_catalog *c = seam_catalog_enter(b->catalog);
	const struct seam_job_workspace *w =
		c ? seam_catalog_workspace(c, workspace) : NULL;
	double share = w ? (double)w->weight : 0;
	struct seam_share_meter *m = g_hash_table_lookup(b->shares, workspace);
	seam_time now = seam_now(b->clock);

	seam_catalog_leave();
	if (!share)
		return false;
	if (!m) {
		m = g_new0(struct seam_share_meter, 1);
		m->at = now;
		g_hash_table_insert(b->shares, g_strdup(workspace), m);
	}
	m->spent -= share * (double)(now - m->at) / SEAM_SEC;
	m->at = now;
	if (m->spent < 0)
		m->spent = 0;
	if (m->spent + 1 > share)
		return true;
	m->spent += 1;
	return false;
}

/* What the runs of a workspace have reserved. */
static struct seam_amount *used_of(struct seam_board *b, const char *workspace)
{
	struct seam_amount *a = g_hash_table_lookup(b->used, workspace);

	if (a)
		return a;
	a = g_new0(struct seam_amount, 1);
	g_hash_table_insert(b->used, g_strdup(workspace), a);
	return a;
}

void board_job_add(struct seam_board *b, const struct seam_row *row, bool old)
{
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_jobrow r;
	struct seam_handle h;
	struct seam_job *j;
	seam_time age;

	if (seam_jobrow_read(row, &r, &e)) {
		seam_log(SEAM_ERROR, "job", "event=row_unreadable why=\"%s\"",
			 e.text);
		return;
	}
	j = seam_job_over(r.state) ? NULL : seam_table_add(b->jobs, &h);
	if (!j) {
		seam_jobrow_free(&r);
		return;
	}
	age = old ? (seam_wall_ms() - r.accepted_ms) * SEAM_MSEC : 0;
	if (age < 0 || age > OLD_MAX)
		age = age < 0 ? 0 : OLD_MAX;
	j->row = r;
	j->version = row->version;
	j->self = h;
	j->old = old;
	j->over_share = !old && meter_share(b, r.spec.workspace);
	j->accepted_at = seam_now(b->clock) - age;
	j->used = used_of(b, r.spec.workspace);
	set_objective(b, j);
	if (make_tasks(j)) {
		board_job_free(j);
		seam_table_del(b->jobs, h);
		return;
	}
	g_hash_table_replace(b->job_of, g_strdup(j->row.spec.id),
			     g_memdup2(&h, sizeof(h)));
	seam_count_set(&open_jobs, (int64_t)seam_table_count(b->jobs));
	board_job_touch(b, j);
	board_wake_pass(b);
}

/* Reads the rows of one part and passes each page to @take. */
static int read_part(struct seam_board *b, char part, uint64_t *version,
		     void (*take)(struct seam_board *b,
				  const struct seam_rows *rows),
		     struct seam_err *e)
{
	char prefix[] = SEAM_JOB_ROWS "p/";
	char after[SEAM_KEY_MAX] = "";
	struct seam_rows rows;
	size_t n;

	prefix[strlen(SEAM_JOB_ROWS)] = part;
	do {
		if (seam_store_scan(b->ports->store, prefix,
				    *after ? after : NULL, PAGE, &rows,
				    seam_now(b->clock) + READ, e))
			return -1;
		/* The feed goes on from the first page: a row that changes
		 * while the others are read is told again. */
		if (!*version)
			*version = rows.version;
		take(b, &rows);
		n = rows.n;
		if (n)
			snprintf(after, sizeof(after), "%s",
				 rows.row[n - 1].key);
		seam_rows_free(&rows);
	} while (n == PAGE);
	return 0;
}

static void add_old(struct seam_board *b, const struct seam_rows *rows)
{
	size_t i;

	pthread_mutex_lock(&b->lock);
	for (i = 0; i < rows->n; i++)
		board_job_add(b, &rows->row[i], true);
	pthread_mutex_unlock(&b->lock);
}

/* One part that is read at the start of a term. */
struct load {
	struct seam_board *board;
	char part;
	uint64_t version;
	int rc;
	struct seam_err err;
	pthread_t thread;
};

static void *load_part(void *arg)
{
	struct load *l = arg;

	l->rc = read_part(l->board, l->part, &l->version, add_old, &l->err);
	return NULL;
}

/* Reads the parts side by side: a slow store takes 0.2 s for each of them. */
int board_load_jobs(struct seam_board *b, struct seam_err *e)
{
	struct load load[sizeof(SEAM_JOB_PARTS)] = {{0}};
	size_t n;
	size_t i;
	int rc = 0;

	for (n = 0; SEAM_JOB_PARTS[n]; n++) {
		load[n].board = b;
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
		/* The feed goes on from the part that was read first. */
		if (!b->jobs_version || load[i].version < b->jobs_version)
			b->jobs_version = load[i].version;
	}
	return rc;
}

/* A slot that may still run keeps the job, as the stop is not confirmed. */
bool board_job_droppable(const struct seam_job *j)
{
	return seam_job_over(j->row.state) && j->committed == j->changes &&
	       !j->runs;
}

static gboolean is_forgotten(gpointer id, gpointer at, gpointer now)
{
	(void)id;
	return *(seam_time *)at + ENDED_KEPT < *(seam_time *)now;
}

/* A row of it that is read from now on is older than its end. */
static void remember_end(struct seam_board *b, const struct seam_job *j)
{
	seam_time now = seam_now(b->clock);

	g_hash_table_replace(b->ended, g_strdup(j->row.spec.id),
			     g_memdup2(&now, sizeof(now)));
	if (now < b->ended_swept_at + SEAM_SEC)
		return;
	b->ended_swept_at = now;
	g_hash_table_foreach_remove(b->ended, is_forgotten, &now);
}

void board_job_drop(struct seam_board *b, struct seam_job *j)
{
	struct seam_handle h = j->self;

	remember_end(b, j);
	board_job_forget(b, j);
	g_hash_table_remove(b->job_of, j->row.spec.id);
	board_job_free(j);
	seam_table_del(b->jobs, h);
	seam_count_set(&open_jobs, (int64_t)seam_table_count(b->jobs));
}

static void stop_all(struct seam_board *b, struct seam_job *j)
{
	int64_t t;
	int i;
	int k;

	for (i = 0; i < j->row.spec.steps; i++)
		for (t = 0; t < j->row.spec.step[i].tasks; t++)
			for (k = 0; k < SEAM_COPIES; k++) {
				struct seam_run_slot *r = &j->task[i][t].run[k];

				if (r->state != SEAM_RUN_FREE)
					board_run_stop(b, j, i, (int)t, r);
			}
}

void board_job_end(struct seam_board *b, struct seam_job *j, int state)
{
	j->row.state = state;
	j->row.ended_ms = seam_wall_ms();
	seam_count_add(state == SEAM_JOB_COMPLETED ? &completed : &failed, 1);
	board_job_held(j, SEAM_HELD_NONE, seam_now(b->clock));
	board_job_log(b, j,
		      state == SEAM_JOB_COMPLETED ? "completed" : "failed");
	stop_all(b, j);
	board_job_touch(b, j);
	board_job_changed(b, j);
}

/* The row says that the job is over: @state is final and need not be written.
 */
void board_job_settle(struct seam_board *b, struct seam_job *j,
		      const struct seam_row *row, int state)
{
	seam_log(SEAM_INFO, "job", "event=stopping job=%s state=%d runs=%d",
		 j->row.spec.id, state, j->runs);
	j->row.state = state;
	j->version = row->version;
	j->committed = j->changes; /* its row is final */
	stop_all(b, j);
	board_job_touch(b, j);
	if (board_job_droppable(j))
		board_job_drop(b, j);
}

/*
 * Takes what another writer put into the row: a caller that cancels, or an
 * owner before us whose commit was carried out late.
 */
void board_job_merge(struct seam_board *b, struct seam_job *j,
		     const struct seam_row *row)
{
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_jobrow r;

	if (row->version <= j->version || seam_jobrow_read(row, &r, &e))
		return;
	if (seam_job_over(r.state)) {
		board_job_settle(b, j, row, r.state);
	} else {
		j->version = row->version;
		seam_jobrow_merge(&j->row, &r);
		board_job_count(j);
		board_job_touch(b, j);
	}
	seam_jobrow_free(&r);
}

static bool is_own(const struct seam_board *b, uint64_t token)
{
	size_t i;

	for (i = 0; i < SEAM_BOARD_TOKENS; i++)
		if (b->token[i] == token && token)
			return true;
	return false;
}

static void take_row(struct seam_board *b, const struct seam_row *row)
{
	struct seam_job *j = board_find_job(b, seam_jobrow_id(row->key));

	if (!row->data || is_own(b, row->writer))
		return;
	if (j)
		board_job_merge(b, j, row);
	else if (!g_hash_table_contains(b->ended, seam_jobrow_id(row->key)))
		board_job_add(b, row, false);
}

static void take_rows(struct seam_board *b, const struct seam_rows *rows)
{
	size_t i;

	pthread_mutex_lock(&b->lock);
	for (i = 0; i < rows->n; i++)
		take_row(b, &rows->row[i]);
	pthread_mutex_unlock(&b->lock);
}

/* History was lost: what the feed would have told is read again. */
static int read_again(struct seam_board *b, struct seam_err *e)
{
	uint64_t version = 0;
	const char *part;

	for (part = SEAM_JOB_PARTS; *part; part++)
		if (read_part(b, *part, &version, take_rows, e))
			return -1;
	b->jobs_version = version;
	return 0;
}

static int watch(struct seam_board *b, struct seam_err *e)
{
	struct seam_rows rows;

	if (seam_store_watch(b->ports->store, SEAM_JOB_ROWS, &b->jobs_version,
			     &rows, seam_now(b->clock) + WATCH, e))
		return -1;
	take_rows(b, &rows);
	seam_rows_free(&rows);
	return 0;
}

void *board_follow_jobs(void *arg)
{
	struct seam_board *b = arg;
	struct seam_err e = SEAM_ERR_INIT;
	bool stale = false;

	while (!__atomic_load_n(&b->stop, __ATOMIC_ACQUIRE)) {
		seam_err_clear(&e);
		if (stale ? read_again(b, &e) : watch(b, &e)) {
			if (e.kind == SEAM_STALE)
				stale = true;
			g_usleep(RETRY_USEC);
		} else {
			stale = false;
		}
	}
	return NULL;
}

bool board_step_open(const struct seam_job *j, int step)
{
	uint64_t after = j->row.spec.step[step].after;
	int i;

	for (i = 0; i < step; i++)
		if (after >> i & 1 && j->left[i])
			return false;
	return true;
}

/* Run time of the longest chain of steps that are not done. */
static int64_t left_ms(const struct seam_job *j)
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

void board_job_urgency(const struct seam_job *j, struct seam_urgency *u)
{
	int i;

	memset(u, 0, sizeof(*u));
	for (i = 0; i < j->row.spec.steps; i++)
		u->lasting = u->lasting || j->row.spec.step[i].lasting;
	u->priority = j->priority;
	u->over_share = j->over_share;
	u->begun = j->begun;
	u->due_at = j->due_at;
	u->left_ms = left_ms(j);
	u->accepted_at = j->accepted_at;
}
