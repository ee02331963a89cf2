#include "process/board_impl.h"
#include "base/count.h"
#include "base/log.h"

#include <stdio.h>
#include <string.h>

/* Failed runs in a row after which a worker gets no tasks for a while. */
#define FAILURES_MAX 2
#define SHUN_FAILING (6 * SEAM_SEC)
/* A lasting task that fails is not started again at once. */
#define RESTART_PAUSE (300 * SEAM_MSEC)

SEAM_COUNT(ends_done, "seam_runs_done_total", "Runs that ended done.");
SEAM_COUNT(ends_failed, "seam_runs_failed_total", "Runs that failed.");
SEAM_COUNT(ends_lapsed, "seam_runs_lapsed_total", "Runs whose lease ran out.");
SEAM_COUNT(vanished, "seam_runs_vanished_total",
	   "Runs that a worker listed neither as running nor as ended.");

static void stop_copies(struct seam_board *b, struct seam_job *j, int step,
			int task, const struct seam_run_slot *but)
{
	int i;

	for (i = 0; i < SEAM_COPIES; i++) {
		struct seam_run_slot *r = &j->task[step][task].run[i];

		if (r != but && r->state != SEAM_RUN_FREE)
			board_run_stop(b, j, step, task, r);
	}
}

static bool all_done(const struct seam_job *j)
{
	int i;

	for (i = 0; i < j->row.spec.steps; i++)
		if (j->left[i])
			return false;
	return true;
}

void board_task_done(struct seam_board *b, struct seam_job *j, int step,
		     int task)
{
	if (j->row.done[step][task] || j->row.spec.step[step].lasting)
		return;
	j->idle[step] -= board_task_idle(j, step, task);
	j->row.done[step][task] = 1;
	j->left[step]--;
	board_job_touch(b, j);
	board_job_changed(b, j);
	board_wake_pass(b);
}

static void end_done(struct seam_board *b, struct seam_worker *w,
		     struct seam_job *j, int step, int task)
{
	seam_count_add(&ends_done, 1);
	w->failures = 0;
	board_task_done(b, j, step, task);
}

static void end_failed(struct seam_board *b, struct seam_worker *w,
		       struct seam_job *j, int step, int task, int64_t run)
{
	struct seam_job_task *t = &j->task[step][task];
	struct seam_failed_run f = {step, task, run};
	seam_time now = seam_now(b->clock);

	seam_count_add(&ends_failed, 1);
	seam_log(SEAM_INFO, "job",
		 "event=run_failed worker=%s job=%s step=%d task=%d run=%lld "
		 "failures=%d attempts=%lld",
		 w->info.id, j->row.spec.id, step, task, (long long)run,
		 seam_jobrow_failures(&j->row, step, task) + 1,
		 (long long)j->row.spec.attempts);
	t->avoid = w->self;
	if (++w->failures >= FAILURES_MAX) {
		w->shunned_until = now + SHUN_FAILING;
		seam_log(SEAM_WARN, "worker",
			 "event=shunned worker=%s why=failures failures=%d",
			 w->info.id, w->failures);
	}
	if (j->row.spec.step[step].lasting) {
		t->not_before = now + RESTART_PAUSE;
		return;
	}
	if (j->row.done[step][task] || !seam_jobrow_add_failed(&j->row, &f))
		return;
	board_job_changed(b, j);
}

static void take_end(struct seam_board *b, struct seam_worker *w,
		     const struct seam_listed_end *d)
{
	struct seam_end_mark mark = {.number = d->number};
	struct seam_run_slot *r;
	struct seam_job *j;
	int step;
	int task;

	if (!board_task_parse(b, d->task, &j, &step, &task))
		return;
	r = board_run_find(j, step, task, w->self, d->run);
	if (*d->checkpoint)
		snprintf(j->task[step][task].checkpoint, SEAM_CHECKPOINT, "%s",
			 d->checkpoint);
	if (!seam_job_over(j->row.state)) {
		if (d->how == SEAM_END_DONE)
			end_done(b, w, j, step, task);
		else if (d->how == SEAM_END_FAILED)
			end_failed(b, w, j, step, task, d->run);
		else if (d->how == SEAM_END_LAPSED)
			seam_count_add(&ends_lapsed, 1);
	}
	if (r)
		board_run_drop(b, j, step, task, r);
	if (j->row.done[step][task])
		stop_copies(b, j, step, task, NULL);
	if (!seam_job_over(j->row.state)) {
		if (all_done(j))
			board_job_end(b, j, SEAM_JOB_COMPLETED);
		else if (d->how == SEAM_END_FAILED &&
			 !j->row.spec.step[step].lasting &&
			 seam_jobrow_failures(&j->row, step, task) >=
				 j->row.spec.attempts)
			board_job_end(b, j, SEAM_JOB_FAILED);
	}
	if (j->committed < j->changes) {
		mark.job = j->self;
		mark.change = j->changes;
		g_array_append_val(w->marks, mark);
	} else if (board_job_droppable(j)) {
		board_job_drop(b, j);
	}
}

/* A run that this owner does not know: its own is adopted, any other stopped.
 */
static void unknown_run(struct seam_board *b, struct seam_worker *w,
			const struct seam_listed_run *l, struct seam_job *j,
			int step, int task)
{
	struct seam_run_slot *r = NULL;
	struct seam_order o = {.kind = SEAM_ORDER_STOP,
			       .run = l->run,
			       .deadline = seam_now(b->clock) + SEAM_SEC};

	if (j && !seam_job_over(j->row.state) && !j->row.done[step][task])
		r = board_run_add(b, j, step, task, w, l->run, SEAM_RUN_LIVE);
	if (r) {
		r->percent = l->percent;
		r->listed_at = seam_now(b->clock);
		return;
	}
	snprintf(o.name, sizeof(o.name), "%s", l->task);
	board_order(w, &o);
}

static void take_run(struct seam_board *b, struct seam_worker *w,
		     const struct seam_listed_run *l, seam_time now)
{
	struct seam_run_slot *r = NULL;
	struct seam_job *j = NULL;
	int step = 0;
	int task = 0;

	if (board_task_parse(b, l->task, &j, &step, &task))
		r = board_run_find(j, step, task, w->self, l->run);
	else
		j = NULL;
	if (!r) {
		unknown_run(b, w, l, j, step, task);
		return;
	}
	if (r->state != SEAM_RUN_LIVE)
		r->live_at = now;
	board_run_set_state(b, r, SEAM_RUN_LIVE);
	r->percent = l->percent;
	r->listed_at = now;
	if (*l->checkpoint)
		snprintf(j->task[step][task].checkpoint, SEAM_CHECKPOINT, "%s",
			 l->checkpoint);
}

/* A listing: when it came, and when its look was sent at the earliest. */
struct sweep {
	seam_time now;
	seam_time sent_at;
};

/* What the listing says of a run that it does not show. */
static void missing_run(struct seam_worker *w, const struct board_run_at *at,
			seam_time sent_at)
{
	struct seam_board *b = w->board;
	struct seam_run_slot *r = at->run;

	if (r->stopped_at < sent_at) {
		board_run_drop(b, at->job, at->step, at->task, r);
	} else if (r->state == SEAM_RUN_LIVE && r->live_at < sent_at &&
		   r->listed_at < sent_at) {
		seam_count_add(&vanished, 1);
		seam_log(SEAM_WARN, "worker",
			 "event=run_vanished worker=%s job=%s step=%d task=%d "
			 "run=%lld",
			 w->info.id, at->job->row.spec.id, at->step, at->task,
			 (long long)r->number);
		board_run_drop(b, at->job, at->step, at->task, r);
	} else if (r->state == SEAM_RUN_UNSURE) {
		/* Only the answer to a stop tells that it will not start. */
		board_run_stop(b, at->job, at->step, at->task, r);
	}
}

static void sweep_run(struct seam_worker *w, const struct board_run_at *at,
		      void *arg)
{
	const struct sweep *s = arg;

	if (at->run->stop && at->run->stopped_at == SEAM_NEVER)
		board_run_stop(w->board, at->job, at->step, at->task, at->run);
	if (at->run->listed_at != s->now)
		missing_run(w, at, s->sent_at);
}

void board_settle_ends(struct seam_board *b, struct seam_worker *w)
{
	int64_t before = w->acked;
	guint n = 0;

	while (n < w->marks->len) {
		struct seam_end_mark *m =
			&g_array_index(w->marks, struct seam_end_mark, n);
		struct seam_job *j = board_job(b, m->job);

		if (j && j->committed < m->change)
			break;
		n++;
	}
	if (n == w->marks->len)
		w->acked = w->seen_end;
	else
		w->acked = g_array_index(w->marks, struct seam_end_mark, n)
				   .number -
			   1;
	if (n)
		g_array_remove_range(w->marks, 0, n);
	if (w->acked != before)
		board_lane_update(w);
}

void board_take_listing(struct seam_board *b, struct seam_worker *w,
			const struct seam_listing *l, seam_time sent_at)
{
	seam_time now = seam_now(b->clock);
	struct sweep s = {now, sent_at};
	size_t i;

	for (i = 0; i < l->ends; i++)
		if (l->end[i].number > w->seen_end) {
			take_end(b, w, &l->end[i]);
			w->seen_end = l->end[i].number;
		}
	for (i = 0; i < l->runs; i++)
		take_run(b, w, &l->run[i], now);
	board_each_run(w, sweep_run, &s);
	board_settle_ends(b, w);
}
