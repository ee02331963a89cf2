#include "process/scheduler_impl.h"
#include "base/metrics.h"
#include "base/log.h"

#include <stdio.h>
#include <string.h>

/* Consecutive failed runs after which a worker gets no tasks for a while. */
#define WORKER_FAILURES_MAX 2
#define FAILURE_BACKOFF (6 * SEAM_SEC)
/* Delay before a failed long-running task is started again. */
#define RESTART_DELAY (300 * SEAM_MSEC)
/* Workers end a run within 0.9 s of its stop. */
#define STOP_DURATION_MAX (1 * SEAM_SEC)

SEAM_METRIC(ends_done, "seam_runs_done_total", "Runs that ended done.");
SEAM_METRIC(ends_failed, "seam_runs_failed_total", "Runs that failed.");
SEAM_METRIC(ends_lapsed, "seam_runs_lapsed_total", "Runs whose lease ran out.");
SEAM_METRIC(vanished, "seam_runs_vanished_total",
	    "Runs that a worker listed neither as running nor as ended.");
SEAM_METRIC(second_runs, "seam_second_runs_total",
	    "Listings of a run that the owner did not know, of a task with "
	    "another run.");
SEAM_METRIC(adopted, "seam_runs_adopted_total",
	    "Listed runs that the owner did not know.");

static void stop_other_runs(struct seam_scheduler *sched, struct seam_job *j,
			    int step, int task,
			    const struct seam_run_slot *except)
{
	int i;

	for (i = 0; i < SEAM_TASK_RUNS_MAX; i++) {
		struct seam_run_slot *r = &j->task[step][task].run[i];

		if (r != except && r->state != SEAM_RUN_FREE)
			scheduler_run_stop(sched, j, step, task, r);
	}
}

void scheduler_task_done(struct seam_scheduler *sched, struct seam_job *j,
			 int step, int task)
{
	if (j->row.done[step][task] || j->row.spec.step[step].lasting)
		return;
	j->idle[step] -= scheduler_task_is_idle(j, step, task);
	j->row.done[step][task] = 1;
	j->left[step]--;
	scheduler_job_mark_dirty(sched, j);
	scheduler_job_changed(sched, j);
	scheduler_wake_pass(sched);
}

static void handle_successful_end(struct seam_scheduler *sched,
				  struct seam_worker *w, struct seam_job *j,
				  int step, int task)
{
	seam_metric_add(&ends_done, 1);
	w->failures = 0;
	scheduler_task_done(sched, j, step, task);
}

static void handle_failed_end(struct seam_scheduler *sched,
			      struct seam_worker *w, struct seam_job *j,
			      int step, int task, int64_t run)
{
	struct seam_job_task_state *t = &j->task[step][task];
	struct seam_failed_run f = {step, task, run};
	seam_time now = seam_now(sched->clock);

	seam_metric_add(&ends_failed, 1);
	seam_log(SEAM_INFO, "job",
		 "event=run_failed worker=%s job=%s step=%d task=%d run=%lld "
		 "failures=%d attempts=%lld",
		 w->info.id, j->row.spec.id, step, task, (long long)run,
		 seam_jobrow_failures(&j->row, step, task) + 1,
		 (long long)j->row.spec.attempts);
	t->avoid = w->self;
	if (++w->failures >= WORKER_FAILURES_MAX && now >= w->shunned_until) {
		w->shunned_until = now + FAILURE_BACKOFF;
		seam_log(SEAM_WARN, "worker",
			 "event=shunned worker=%s why=failures failures=%d",
			 w->info.id, w->failures);
	}
	if (j->row.spec.step[step].lasting) {
		t->not_before = now + RESTART_DELAY;
		return;
	}
	if (j->row.done[step][task] || !seam_jobrow_add_failed(&j->row, &f))
		return;
	scheduler_job_changed(sched, j);
}

/* A run that was given up before its end was listed has spent its number. */
static void forget_late_run(struct seam_job_task_state *t,
			    const struct seam_worker *w, int64_t run)
{
	if (seam_handle_eq(t->late_worker, w->self) && t->late_run <= run)
		t->late_run = 0;
}

static void apply_end(struct seam_scheduler *sched, struct seam_worker *w,
		      const struct seam_listed_end *d)
{
	struct seam_uncommitted_end pending = {.number = d->number};
	struct seam_run_slot *r;
	struct seam_job *j;
	int step;
	int task;

	if (!scheduler_task_parse(sched, d->task, &j, &step, &task))
		return;
	r = scheduler_run_find(j, step, task, w->self, d->run);
	j->started = true;
	if (*d->checkpoint)
		snprintf(j->task[step][task].checkpoint, SEAM_CHECKPOINT_SIZE,
			 "%s", d->checkpoint);
	if (!seam_job_finished(j->row.state)) {
		if (d->reason == SEAM_END_DONE)
			handle_successful_end(sched, w, j, step, task);
		else if (d->reason == SEAM_END_FAILED)
			handle_failed_end(sched, w, j, step, task, d->run);
		else if (d->reason == SEAM_END_LAPSED)
			seam_metric_add(&ends_lapsed, 1);
	}
	if (r) {
		r->spent = true; /* even if its start had no answer yet */
		scheduler_run_drop(sched, j, step, task, r);
	} else {
		forget_late_run(&j->task[step][task], w, d->run);
	}
	if (j->row.done[step][task])
		stop_other_runs(sched, j, step, task, NULL);
	if (!seam_job_finished(j->row.state)) {
		if (scheduler_job_all_done(j))
			scheduler_job_end(sched, j, SEAM_JOB_COMPLETED);
		else if (d->reason == SEAM_END_FAILED &&
			 !j->row.spec.step[step].lasting &&
			 seam_jobrow_failures(&j->row, step, task) >=
				 j->row.spec.attempts)
			scheduler_job_end(sched, j, SEAM_JOB_FAILED);
	}
	if (j->committed < j->changes) {
		pending.job = j->self;
		pending.change = j->changes;
		g_array_append_val(w->uncommitted_ends, pending);
	} else if (scheduler_job_droppable(j)) {
		scheduler_job_drop(sched, j);
	}
}

/*
 * Whether the other run of a task is a start for an earlier process of @w,
 * which is over when the current one has answered with its token.
 */
static bool awaits_token(const struct seam_job_task_state *t,
			 const struct seam_worker *w)
{
	int i;

	for (i = 0; i < SEAM_TASK_RUNS_MAX; i++)
		if (t->run[i].state != SEAM_RUN_FREE &&
		    t->run[i].earlier_process &&
		    seam_handle_eq(t->run[i].worker, w->self))
			return true;
	return false;
}

static bool is_current_stop(const struct seam_order *o,
			    const struct seam_listed_run *l, seam_time now)
{
	return o->kind == SEAM_ORDER_STOP && o->run == l->run &&
	       now <= o->deadline && !strcmp(o->name, l->task);
}

/* Whether a stop of a listed run is queued, or sent and not answered yet. */
static bool stop_is_pending(const struct seam_worker *w,
			    const struct seam_listed_run *l, seam_time now)
{
	const GList *at;

	for (at = w->orders.head; at; at = at->next)
		if (is_current_stop(at->data, l, now))
			return true;
	for (at = w->sent.head; at; at = at->next)
		if (is_current_stop(at->data, l, now))
			return true;
	return false;
}

/*
 * Handles a listed run that is not in the owner's table: adopts it if its task
 * is open and has no other run, else stops it.
 */
static void handle_unknown_run(struct seam_scheduler *sched,
			       struct seam_worker *w,
			       const struct seam_listed_run *l)
{
	struct seam_run_slot *r = NULL;
	struct seam_job *j = NULL;
	int step = 0;
	int task = 0;
	struct seam_order o = {.kind = SEAM_ORDER_STOP,
			       .run = l->run,
			       .deadline = seam_now(sched->clock) + SEAM_SEC};
	bool open = scheduler_task_parse(sched, l->task, &j, &step, &task) &&
		    !seam_job_finished(j->row.state) &&
		    !j->row.done[step][task];
	bool second = open && scheduler_task_runs(&j->task[step][task]);

	if (second && awaits_token(&j->task[step][task], w))
		return;
	if (second) {
		seam_metric_add(&second_runs, 1);
		seam_log(SEAM_ERROR, "worker",
			 "event=second_run worker=%s task=%s run=%lld "
			 "process=%lld",
			 w->info.id, l->task, (long long)l->run,
			 (long long)w->info.process_start_ms);
	}
	if (open && !second)
		r = scheduler_run_add(sched, j, step, task, w, l->run,
				      SEAM_RUN_RUNNING);
	if (r) {
		r->percent = l->percent;
		r->listed_at = w->listing_at;
		/* Whether its starts were answered is not known. */
		r->late_until = r->sent_at + LATE_ORDER_MAX;
		/* The owner before may have stopped it. */
		r->late_stop_until = r->sent_at + STOP_DURATION_MAX;
		seam_metric_add(&adopted, 1);
		seam_log(SEAM_INFO, "worker",
			 "event=run_adopted worker=%s task=%s run=%lld "
			 "process=%lld",
			 w->info.id, l->task, (long long)l->run,
			 (long long)w->info.process_start_ms);
		return;
	}
	/* Listings come faster than an unanswered stop times out. */
	if (stop_is_pending(w, l, seam_now(sched->clock)))
		return;
	snprintf(o.name, sizeof(o.name), "%s", l->task);
	scheduler_queue_order(w, &o);
}

/* Handles a listed run that is in the owner's table; false if it is not. */
static bool apply_known_run(struct seam_scheduler *sched, struct seam_worker *w,
			    const struct seam_listed_run *l, seam_time now)
{
	struct seam_run_slot *r = NULL;
	struct seam_job *j;
	int step;
	int task;

	if (scheduler_task_parse(sched, l->task, &j, &step, &task))
		r = scheduler_run_find(j, step, task, w->self, l->run);
	if (!r)
		return false;
	if (r->state != SEAM_RUN_RUNNING)
		r->running_at = now;
	scheduler_run_set_state(sched, r, SEAM_RUN_RUNNING);
	j->started = true;
	r->earlier_process = false;
	r->percent = l->percent;
	r->listed_at = now;
	if (*l->checkpoint)
		snprintf(j->task[step][task].checkpoint, SEAM_CHECKPOINT_SIZE,
			 "%s", l->checkpoint);
	return true;
}

/*
 * When a listing arrived, the earliest time at which it was requested, and
 * whether it may lack ends.
 */
struct listing_state {
	seam_time now;
	seam_time sent_at;
	bool more_ends;
};

/* Handles a run that a listing does not contain. */
static void handle_missing_run(struct seam_worker *w,
			       const struct scheduler_run_ref *at,
			       const struct listing_state *s)
{
	struct seam_scheduler *sched = w->sched;
	struct seam_run_slot *r = at->run;
	seam_time sent_at = s->sent_at;

	if (r->earlier_process) {
		if (w->contacted)
			scheduler_run_lost(w, at, "restarted");
	} else if (r->stopped_at < sent_at) {
		r->spent = true;
		scheduler_run_drop(sched, at->job, at->step, at->task, r);
	} else if (r->state == SEAM_RUN_RUNNING && r->running_at < sent_at &&
		   r->listed_at < sent_at) {
		seam_metric_add(&vanished, 1);
		seam_log(SEAM_WARN, "worker",
			 "event=run_vanished worker=%s job=%s step=%d task=%d "
			 "run=%lld",
			 w->info.id, at->job->row.spec.id, at->step, at->task,
			 (long long)r->number);
		scheduler_run_drop(sched, at->job, at->step, at->task, r);
	} else if (r->state == SEAM_RUN_UNCONFIRMED &&
		   w->answered_token > r->late_token) {
		scheduler_run_lost(w, at, "not_started");
	} else if (r->state == SEAM_RUN_UNCONFIRMED &&
		   w->token <= r->late_token) {
		/* Without a later token only a stop proves it. */
		scheduler_run_stop(sched, at->job, at->step, at->task, r);
	}
}

static void check_listed_run(struct seam_worker *w,
			     const struct scheduler_run_ref *at, void *arg)
{
	const struct listing_state *s = arg;

	if (at->run->stop && at->run->stopped_at == SEAM_NEVER)
		scheduler_repeat_stop(w, at);
	if (at->run->listed_at != s->now && !s->more_ends)
		handle_missing_run(w, at, s);
}

void scheduler_ack_ends(struct seam_scheduler *sched, struct seam_worker *w)
{
	int64_t before = w->acked;
	guint n = 0;

	while (n < w->uncommitted_ends->len) {
		struct seam_uncommitted_end *m = &g_array_index(
			w->uncommitted_ends, struct seam_uncommitted_end, n);
		struct seam_job *j = scheduler_job(sched, m->job);

		if (j && j->committed < m->change)
			break;
		n++;
	}
	if (n == w->uncommitted_ends->len)
		w->acked = w->seen_end;
	else
		w->acked = g_array_index(w->uncommitted_ends,
					 struct seam_uncommitted_end, n)
				   .number -
			   1;
	if (n)
		g_array_remove_range(w->uncommitted_ends, 0, n);
	if (w->acked != before)
		scheduler_lane_update(w);
}

static void list_again(struct seam_worker *w,
		       const struct scheduler_run_ref *at, void *arg)
{
	const struct listing_state *s = arg;

	if (at->run->listed_at >= w->listing_at)
		at->run->listed_at = s->now;
}

void scheduler_apply_unchanged(struct seam_scheduler *sched,
			       struct seam_worker *w, seam_time sent_at)
{
	struct listing_state s = {seam_now(sched->clock), sent_at, false};

	scheduler_for_each_run(w, list_again, &s);
	w->listing_at = s.now;
	scheduler_for_each_run(w, check_listed_run, &s);
	scheduler_ack_ends(sched, w);
}

void scheduler_apply_listing(struct seam_scheduler *sched,
			     struct seam_worker *w,
			     const struct seam_listing *l, seam_time sent_at)
{
	seam_time now = seam_now(sched->clock);
	struct listing_state s = {now, sent_at, l->more_ends};
	size_t *unknown;
	size_t n = 0;
	size_t i;

	for (i = 0; i < l->ends; i++)
		if (l->end[i].number > w->seen_end) {
			apply_end(sched, w, &l->end[i]);
			w->seen_end = l->end[i].number;
		}
	w->listing_known = !l->more_ends;
	w->listing_at = now;
	unknown = g_new(size_t, l->runs + 1);
	for (i = 0; i < l->runs; i++)
		if (!apply_known_run(sched, w, &l->run[i], now))
			unknown[n++] = i;
	/* What an unknown run stands for may be over by the same listing. */
	scheduler_for_each_run(w, check_listed_run, &s);
	for (i = 0; i < n; i++)
		handle_unknown_run(sched, w, &l->run[unknown[i]]);
	g_free(unknown);
	scheduler_ack_ends(sched, w);
}
