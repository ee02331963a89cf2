/* Evicts tasks from leaving workers within the availability budgets. */
#include "process/scheduler_impl.h"
#include "base/log.h"

/* Progress at which a long-running task is serving. */
#define SERVING_PERCENT 100
/* A stop without an answer after three calls is no longer waited for. */
#define DRAIN_STOP_TIMEOUT (1100 * SEAM_MSEC)
/* Margin for a run to end by itself on a leaving worker. */
#define EVICT_MARGIN_MS 300

/* Whether the run may yet be ended by a stop. */
static bool has_pending_stop(const struct seam_scheduler *sched,
			     const struct seam_run_slot *r)
{
	return r->stop || seam_now(sched->clock) < r->late_stop_until;
}

/*
 * The tasks of a worker that does not answer count as unavailable, as it may be
 * lost. Those of a draining worker end soon, whether they are evicted or not.
 */
static bool is_serving(struct seam_scheduler *sched,
		       const struct seam_job_task_state *t)
{
	int i;

	for (i = 0; i < SEAM_TASK_RUNS_MAX; i++) {
		const struct seam_run_slot *r = &t->run[i];
		const struct seam_worker *w =
			scheduler_worker(sched, r->worker);

		if (r->state == SEAM_RUN_RUNNING &&
		    !has_pending_stop(sched, r) &&
		    r->percent >= SERVING_PERCENT && w && w->answered &&
		    w->listed && !w->info.draining)
			return true;
	}
	return false;
}

/* Whether the budget allows one more unavailable task of a step. */
static bool budget_allows_eviction(struct seam_scheduler *sched,
				   const struct seam_job *j, int step, int task)
{
	const struct seam_step *s = &j->row.spec.step[step];
	int64_t unavailable = 0;
	int64_t t;

	if (!s->may_miss)
		return true;
	for (t = 0; t < s->tasks; t++)
		unavailable +=
			t != task && !is_serving(sched, &j->task[step][t]);
	return unavailable < s->may_miss;
}

/*
 * Whether a stop is pending for a run of the step on another worker that is not
 * draining.
 */
static bool is_stop_pending(struct seam_scheduler *sched,
			    const struct seam_worker *except,
			    const struct seam_job *j, int step)
{
	int64_t t;
	int i;

	for (t = 0; t < j->row.spec.step[step].tasks; t++)
		for (i = 0; i < SEAM_TASK_RUNS_MAX; i++) {
			const struct seam_run_slot *r =
				&j->task[step][t].run[i];
			const struct seam_worker *w =
				scheduler_worker(sched, r->worker);

			if (r->state != SEAM_RUN_FREE &&
			    has_pending_stop(sched, r) && w && w != except &&
			    !w->info.draining)
				return true;
		}
	return false;
}

/*
 * A long-running task on a draining worker ends anyway, but not while a stop
 * that the budget allowed is pending: that task would become unavailable as
 * well.
 */
static bool may_drain(struct seam_scheduler *sched, const struct seam_worker *w,
		      const struct seam_job *j, int step)
{
	return !j->row.spec.step[step].may_miss ||
	       seam_now(sched->clock) >
		       w->draining_since + DRAIN_STOP_TIMEOUT ||
	       !is_stop_pending(sched, w, j, step);
}

static int64_t remaining_ms(const struct seam_step *s,
			    const struct seam_run_slot *r)
{
	return s->estimate_ms * (100 - r->percent) / 100;
}

/* Whether a run has to be stopped because its worker leaves. */
static bool should_evict(struct seam_scheduler *sched,
			 const struct seam_worker *w, const struct seam_job *j,
			 int step, int task, const struct seam_run_slot *r)
{
	const struct seam_step *s = &j->row.spec.step[step];

	if (s->lasting && w->info.draining)
		return may_drain(sched, w, j, step);
	if (s->lasting)
		return budget_allows_eviction(sched, j, step, task);
	/*
	 * Stopping saves the progress of a task only if it writes checkpoints.
	 */
	if (!s->checkpoints)
		return false;
	if (w->info.draining)
		return remaining_ms(s, r) + EVICT_MARGIN_MS >
		       w->info.drain_left_ms;
	return remaining_ms(s, r) > EVICT_MARGIN_MS;
}

static void evict_run(struct seam_worker *w, const struct scheduler_run_ref *at,
		      void *arg)
{
	struct seam_scheduler *sched = w->sched;

	(void)arg;
	if (at->run->stop ||
	    !should_evict(sched, w, at->job, at->step, at->task, at->run))
		return;
	seam_log(SEAM_INFO, "worker",
		 "event=task_taken_off worker=%s job=%s step=%d task=%d "
		 "run=%lld draining=%d",
		 w->info.id, at->job->row.spec.id, at->step, at->task,
		 (long long)at->run->number, w->info.draining);
	if (at->job->row.spec.step[at->step].lasting &&
	    !scheduler_room_elsewhere(sched, at->job, at->step, w))
		scheduler_reserve_worker(sched, at->job, at->step,
					 seam_now(sched->clock));
	scheduler_run_stop(sched, at->job, at->step, at->task, at->run);
}

static bool should_withdraw_stop(struct seam_worker *w,
				 const struct scheduler_run_ref *at)
{
	const struct seam_job *j = at->job;

	return j->row.spec.step[at->step].may_miss &&
	       !seam_job_finished(j->row.state) && !w->info.draining &&
	       at->run->state == SEAM_RUN_RUNNING &&
	       scheduler_task_runs(&j->task[at->step][at->task]) == 1 &&
	       !(seam_now(w->sched->clock) < w->leaving_until &&
		 budget_allows_eviction(w->sched, j, at->step, at->task));
}

void scheduler_repeat_stop(struct seam_worker *w,
			   const struct scheduler_run_ref *at)
{
	struct seam_run_slot *r = at->run;
	seam_time now = seam_now(w->sched->clock);

	if (now < r->stop_retry_at)
		return;
	if (!should_withdraw_stop(w, at)) {
		scheduler_run_stop(w->sched, at->job, at->step, at->task, r);
		return;
	}
	r->stop = false;
	r->late_stop_until = now + LATE_ORDER_MAX;
	seam_log(SEAM_INFO, "worker",
		 "event=stop_withdrawn worker=%s job=%s step=%d task=%d "
		 "run=%lld leaving=%d",
		 w->info.id, at->job->row.spec.id, at->step, at->task,
		 (long long)r->number, now < w->leaving_until);
}

void scheduler_evict_tasks(struct seam_scheduler *sched)
{
	seam_time now = seam_now(sched->clock);
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_worker *w;

	sched->plans_left = SCHEDULER_PLANS_MAX;
	/*
	 * Draining workers come first, as the tasks they lose use up the budget
	 * of the others.
	 */
	while ((w = seam_table_next(sched->workers, &h)))
		if (w->info.draining && !w->retired)
			scheduler_for_each_run(w, evict_run, NULL);
	h = SEAM_HANDLE_NONE;
	while ((w = seam_table_next(sched->workers, &h)))
		if (now < w->leaving_until && !w->info.draining && !w->retired)
			scheduler_for_each_run(w, evict_run, NULL);
}
