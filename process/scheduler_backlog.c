/*
 * Runnable tasks and free capacity. The counts are updated with each change, so
 * that a pass does not visit unchanged jobs and workers.
 */
#include "process/scheduler_impl.h"

/*
 * A start without an answer for longer is taken to be with an unreachable
 * worker and no longer counts as pending.
 */
#define START_ANSWER_TIMEOUT (300 * SEAM_MSEC)

bool scheduler_task_is_idle(const struct seam_job *j, int step, int64_t task)
{
	return !j->row.done[step][task] &&
	       !scheduler_task_runs(&j->task[step][task]);
}

/* Recomputes the task counts of a job. */
void scheduler_job_count(struct seam_job *j)
{
	int64_t t;
	int i;

	for (i = 0; i < j->row.spec.steps; i++) {
		j->left[i] = 0;
		j->idle[i] = 0;
		j->first_idle[i] = 0;
		for (t = 0; t < j->row.spec.step[i].tasks; t++) {
			j->left[i] += !j->row.done[i][t];
			j->idle[i] += scheduler_task_is_idle(j, i, t);
		}
	}
}

/* Notes that the tasks, the urgency or the state of a job changed. */
void scheduler_job_mark_dirty(struct seam_scheduler *sched, struct seam_job *j)
{
	if (j->dirty)
		return;
	j->dirty = true;
	g_array_append_val(sched->dirty_jobs, j->self);
}

/* Returns the number of runnable tasks; @cpu gets the smallest CPU need. */
static int64_t count_waiting(const struct seam_job *j, int64_t *cpu)
{
	int64_t n = 0;
	int i;

	*cpu = INT64_MAX;
	if (seam_job_finished(j->row.state))
		return 0;
	for (i = 0; i < j->row.spec.steps; i++) {
		struct seam_resources need;

		if (!j->idle[i] || !scheduler_step_is_ready(j, i))
			continue;
		need = scheduler_step_need(&j->row.spec.step[i]);
		if (need.cpu < *cpu)
			*cpu = need.cpu;
		n += j->idle[i];
	}
	return n;
}

static void update_backlog_entry(struct seam_scheduler *sched,
				 struct seam_job *j, seam_time now)
{
	struct seam_urgency_key key;
	struct seam_urgency u;
	int64_t cpu;
	int64_t n = count_waiting(j, &cpu);

	sched->waiting += n - j->waiting;
	j->waiting = n;
	if (!n) {
		seam_backlog_remove(sched->backlog, j->self);
		scheduler_job_delayed(j, SEAM_DELAY_NONE, now);
		return;
	}
	/* Until a pass reaches the job, its tasks wait for their turn. */
	if (j->delay_reason == SEAM_DELAY_NONE)
		scheduler_job_delayed(j, SEAM_DELAY_TURN, now);
	scheduler_job_urgency(j, &u);
	key = seam_urgency_key_of(&u, now, sched->overloaded);
	seam_backlog_put(sched->backlog, j->self, j->row.spec.pool, &key, cpu);
}

/* Takes a job out of the backlog before it is removed. */
void scheduler_job_unqueue(struct seam_scheduler *sched, struct seam_job *j)
{
	sched->waiting -= j->waiting;
	seam_backlog_remove(sched->backlog, j->self);
}

static void mark_all_dirty(struct seam_scheduler *sched)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_job *j;

	while ((j = seam_table_next(sched->jobs, &h)))
		scheduler_job_mark_dirty(sched, j);
}

/*
 * Updates the backlog entries of changed jobs and of those whose urgency
 * changes with time.
 */
void scheduler_backlog_refresh(struct seam_scheduler *sched, seam_time now)
{
	struct seam_handle h;
	struct seam_job *j;
	guint i;

	if (sched->overloaded != sched->backlog_overloaded)
		mark_all_dirty(sched);
	sched->backlog_overloaded = sched->overloaded;
	for (i = 0; i < sched->dirty_jobs->len; i++) {
		j = scheduler_job(sched, g_array_index(sched->dirty_jobs,
						       struct seam_handle, i));
		if (!j)
			continue;
		j->dirty = false;
		update_backlog_entry(sched, j, now);
	}
	g_array_set_size(sched->dirty_jobs, 0);
	while (seam_backlog_expired(sched->backlog, now, &h))
		update_backlog_entry(sched, scheduler_job(sched, h), now);
}

/* Updates the index by free CPU after a change of the reservations on @w. */
void scheduler_worker_update_free_cpu(struct seam_worker *w)
{
	seam_worker_index_set_cpu(w->sched->worker_index, w->self,
				  w->info.capacity.cpu - w->used.cpu);
}

/* Counts a start on @w as pending. */
void scheduler_start_sent(struct seam_scheduler *sched, struct seam_worker *w,
			  const struct seam_task_ref *ref,
			  struct seam_run_slot *r)
{
	struct seam_sent_start *s;

	if (w->lane < 0)
		return;
	r->start_lane = w->lane;
	sched->lane[w->lane].starting++;
	sched->starting++;
	s = g_new(struct seam_sent_start, 1);
	*s = (struct seam_sent_start){*ref, r->number, r->sent_at};
	g_queue_push_tail(&sched->recent_starts, s);
}

/* Ends counting a start as pending: it was answered or has expired. */
void scheduler_start_finished(struct seam_scheduler *sched,
			      struct seam_run_slot *r)
{
	if (r->start_lane < 0)
		return;
	sched->lane[r->start_lane].starting--;
	sched->starting--;
	r->start_lane = -1;
}

/*
 * Whether a start may be sent to @w besides those under way. Its node sends one
 * after another, so those behind one that is not answered only take places from
 * other workers.
 */
bool scheduler_worker_takes_start(const struct seam_worker *w)
{
	return !w->start_unanswered || (!w->orders.length && !w->sent.length);
}

static void expire_start(struct seam_scheduler *sched,
			 const struct seam_sent_start *s)
{
	struct seam_job *j = scheduler_job(sched, s->ref.job);
	int i;

	for (i = 0; j && i < SEAM_TASK_RUNS_MAX; i++) {
		struct seam_run_slot *r =
			&j->task[s->ref.step][s->ref.task].run[i];

		if (r->state == SEAM_RUN_SENT && r->number == s->run)
			scheduler_start_finished(sched, r);
	}
}

/* Stops counting starts with workers that do not answer. */
void scheduler_starts_expire(struct seam_scheduler *sched, seam_time now)
{
	struct seam_sent_start *s;

	while ((s = g_queue_peek_head(&sched->recent_starts)) &&
	       now >= s->at + START_ANSWER_TIMEOUT) {
		expire_start(sched, s);
		g_free(g_queue_pop_head(&sched->recent_starts));
	}
}
