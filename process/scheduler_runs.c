#include "process/scheduler_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Interval at which an unanswered stop is sent again. */
#define STOP_RETRY_INTERVAL (400 * SEAM_MSEC)
/*
 * A task leaves a worker after this many starts without an answer while one of
 * them may still come late. Each is sent seven times or more, so that 95% of
 * the tasks get an answer with nine in ten orders lost.
 */
#define LATE_STARTS_MAX 4
/* A stop that waits longer for its connection is queued again. */
#define STOP_QUEUE_TIMEOUT (2 * SEAM_SEC)

/* Filling tasks use CPU time that others leave, so they reserve none. */
struct seam_resources scheduler_step_need(const struct seam_step *s)
{
	struct seam_resources a = s->need;

	if (s->fills)
		a.cpu = 0;
	return a;
}

void scheduler_task_name(const struct seam_job *j, int step, int task,
			 char name[SEAM_TASK_NAME_SIZE])
{
	snprintf(name, SEAM_TASK_NAME_SIZE, "%s.0.%d.%d", j->row.spec.id, step,
		 task);
}

bool scheduler_task_parse(struct seam_scheduler *sched, const char *name,
			  struct seam_job **j, int *step, int *task)
{
	char id[SEAM_JOB_ID_SIZE];
	int repeat;

	if (sscanf(name, "%16[0-9a-f].%d.%d.%d", id, &repeat, step, task) != 4)
		return false;
	*j = scheduler_find_job(sched, id);
	return *j && *step >= 0 && *step < (*j)->row.spec.steps && *task >= 0 &&
	       *task < (*j)->row.spec.step[*step].tasks;
}

int scheduler_task_runs(const struct seam_job_task_state *t)
{
	int n = 0;
	int i;

	for (i = 0; i < SEAM_TASK_RUNS_MAX; i++)
		n += t->run[i].state != SEAM_RUN_FREE;
	return n;
}

struct seam_run_slot *scheduler_run_find(struct seam_job *j, int step, int task,
					 struct seam_handle worker,
					 int64_t number)
{
	struct seam_job_task_state *t = &j->task[step][task];
	int i;

	for (i = 0; i < SEAM_TASK_RUNS_MAX; i++)
		if (t->run[i].state != SEAM_RUN_FREE &&
		    t->run[i].number == number &&
		    seam_handle_eq(t->run[i].worker, worker))
			return &t->run[i];
	return NULL;
}

static void add(struct seam_resources *sum, const struct seam_resources *a,
		int sign)
{
	sum->cpu += sign * a->cpu;
	sum->memory += sign * a->memory;
	sum->gpu += sign * a->gpu;
}

void scheduler_run_set_state(struct seam_scheduler *sched,
			     struct seam_run_slot *r, int state)
{
	scheduler_start_finished(sched, r);
	r->state = state;
}

struct seam_run_slot *scheduler_run_add(struct seam_scheduler *sched,
					struct seam_job *j, int step, int task,
					struct seam_worker *w, int64_t number,
					int state)
{
	struct seam_task_ref ref = {j->self, step, task};
	struct seam_resources need =
		scheduler_step_need(&j->row.spec.step[step]);
	struct seam_job_task_state *t = &j->task[step][task];
	seam_time now = seam_now(sched->clock);
	int i;

	for (i = 0; i < SEAM_TASK_RUNS_MAX; i++)
		if (t->run[i].state == SEAM_RUN_FREE)
			break;
	if (i == SEAM_TASK_RUNS_MAX)
		return NULL;
	j->idle[step] -= scheduler_task_is_idle(j, step, task);
	t->run[i] = (struct seam_run_slot){.state = state,
					   .worker = w->self,
					   .number = number,
					   .sent_at = now,
					   .running_at = now,
					   .stopped_at = SEAM_NEVER,
					   .start_lane = -1};
	if (state == SEAM_RUN_SENT)
		scheduler_start_sent(sched, w, &ref, &t->run[i]);
	g_array_append_val(w->task_refs, ref);
	add(&w->used, &need, 1);
	add(j->used, &j->row.spec.step[step].need, 1);
	scheduler_worker_update_free_cpu(w);
	j->runs++;
	j->begun = true;
	j->started = j->started || state == SEAM_RUN_RUNNING;
	scheduler_job_mark_dirty(sched, j);
	if (!j->first_start_at)
		j->first_start_at = now;
	return &t->run[i];
}

/* Returns when a start was queued that may come until @late_until. */
seam_time scheduler_late_sent_at(seam_time late_until)
{
	return late_until - START_SEND_MAX - LATE_ORDER_MAX;
}

/* Returns when the task was last known to run as @r or before. */
static seam_time ran_at(const struct seam_job_task_state *t,
			const struct seam_run_slot *r)
{
	seam_time at =
		r->listed_at > r->running_at ? r->listed_at : r->running_at;

	return r->state == SEAM_RUN_RUNNING && at > t->ran_at ? at : t->ran_at;
}

/* Notes until when the task was known to run as @r. */
void scheduler_note_ran(struct seam_job_task_state *t,
			const struct seam_run_slot *r)
{
	t->ran_at = ran_at(t, r);
}

/*
 * Returns from when the task waits for @w after a start of @r without an
 * answer: from the first such start since it last ran, or since the latest one
 * can't come any more. A lasting task may not run for 7 s in all, so that it
 * counts those on other workers as well.
 */
static seam_time late_since(const struct seam_job_task_state *t,
			    const struct seam_worker *w,
			    const struct seam_run_slot *r, bool lasting,
			    seam_time now)
{
	bool ran = ran_at(t, r) > t->late_since;
	bool counts = lasting || seam_handle_eq(t->late_worker, w->self);

	if (t->late_until == r->late_until ||
	    (counts && !ran && now < t->late_until))
		return t->late_since;
	return scheduler_late_sent_at(r->late_until);
}

/* Whether a task of @j runs on a worker that answers. */
static bool job_runs(struct seam_scheduler *sched, const struct seam_job *j)
{
	int i;
	int k;
	int64_t t;

	for (i = 0; i < j->row.spec.steps && j->runs; i++)
		for (t = 0; t < j->row.spec.step[i].tasks; t++)
			for (k = 0; k < SEAM_TASK_RUNS_MAX; k++) {
				const struct seam_run_slot *r =
					&j->task[i][t].run[k];
				const struct seam_worker *w =
					scheduler_worker(sched, r->worker);

				if (r->state == SEAM_RUN_RUNNING && !r->stop &&
				    w && w->answered)
					return true;
			}
	return false;
}

static bool job_at_work(struct seam_scheduler *sched, const struct seam_job *j)
{
	return seam_now(sched->clock) <
		       sched->job_accepted_at + ARRIVAL_PAUSE_MAX ||
	       job_runs(sched, j);
}

/* Returns the end of the wait for the late worker of a task without a run. */
seam_time scheduler_late_wait_end(struct seam_scheduler *sched,
				  const struct seam_job *j, int step,
				  const struct seam_job_task_state *t)
{
	const struct seam_worker *w = scheduler_worker(sched, t->late_worker);
	bool lasting = j->row.spec.step[step].lasting;
	struct seam_late_wait wait = {.lasting = lasting,
				      .since = t->late_since,
				      .late_until = t->late_until,
				      .disturbed_at = w ? w->disturbed_at : 0,
				      .ran_at = t->ran_at};

	if (!lasting && seam_now(sched->clock) < t->late_until)
		wait.job_at_work = job_at_work(sched, j);
	return seam_late_wait_end(&wait);
}

/* Returns the end of the wait for @w if the task loses its run @r there now. */
seam_time scheduler_run_wait_end(const struct seam_worker *w,
				 const struct scheduler_run_ref *at,
				 const struct seam_run_slot *r)
{
	const struct seam_job_task_state *t =
		&at->job->task[at->step][at->task];
	bool lasting = at->job->row.spec.step[at->step].lasting;
	struct seam_late_wait wait = {
		.lasting = lasting,
		.since =
			late_since(t, w, r, lasting, seam_now(w->sched->clock)),
		.late_until = r->late_until,
		.disturbed_at = w->disturbed_at,
		.ran_at = ran_at(t, r)};

	return seam_late_wait_end(&wait);
}

/*
 * Even if the worker refuses a late start of the run, its next process does not
 * before it has seen its own token. The owner before may have had answers to
 * its starts, so only those of its runs count that it has left as late.
 */
static void note_late_start(struct seam_job_task_state *t,
			    const struct seam_worker *w,
			    const struct seam_run_slot *r, bool answered,
			    bool lasting)
{
	seam_time now = seam_now(w->sched->clock);

	if (now >= r->late_until ||
	    (r->number < (int64_t)w->sched->term * SEAM_RUNS_PER_TERM &&
	     r->number != t->late_run))
		return;
	if (now >= t->late_until || !seam_handle_eq(t->late_worker, w->self))
		t->late_starts = 0;
	if (!answered) {
		t->late_starts++;
		t->late_at = now;
	}
	t->late_since = late_since(t, w, r, lasting, now);
	t->late_worker = w->self;
	t->late_until = r->late_until;
	t->late_token = r->late_token;
	t->late_run = r->spent ? 0 : r->number;
}

/*
 * Whether the task stays off the worker that gave no answer to several of its
 * starts. It gets the task again once it has answered any start since, and once
 * more if it has answered holds for some time.
 */
bool scheduler_late_worker_is_avoided(const struct seam_worker *w,
				      const struct seam_job_task_state *t)
{
	seam_time since = t->late_at;

	if (!seam_handle_eq(t->late_worker, w->self) ||
	    t->late_starts < LATE_STARTS_MAX || w->start_answered_at > since)
		return false;
	if (since < w->steady_since)
		since = w->steady_since;
	return t->late_starts > LATE_STARTS_MAX || !w->answered ||
	       seam_now(w->sched->clock) < since + STEADY_MIN;
}

/* Returns the worker that may get a start of an earlier run late, or NULL. */
struct seam_worker *scheduler_late_worker(struct seam_scheduler *sched,
					  const struct seam_job_task_state *t)
{
	if (seam_now(sched->clock) >= t->late_until)
		return NULL;
	return scheduler_worker(sched, t->late_worker);
}

/*
 * Whether the task may be started only as the run that its worker may start
 * late: the next process of the worker refuses no late start. Nothing runs on a
 * worker whose VM was moved or maintained.
 */
bool scheduler_waits_for_late_worker(struct seam_scheduler *sched,
				     const struct seam_job *j, int step,
				     const struct seam_job_task_state *t)
{
	const struct seam_worker *w = scheduler_worker(sched, t->late_worker);

	return !(w && w->vm_gone) &&
	       seam_now(sched->clock) <
		       scheduler_late_wait_end(sched, j, step, t);
}

/*
 * Returns until when a start without an answer may be carried out, or run, on a
 * worker that does not answer. Its process has the leases that the owner gave,
 * unless it has refused the start. That its next process carries the start out
 * is waited for until @wait at most, as answered polls put the end of the
 * longest lease off, but as long as its node may send it and the process is not
 * polled. Such a start may come until @late_until.
 */
seam_time scheduler_unconfirmed_end(const struct seam_worker *w, bool refused,
				    seam_time wait, seam_time late_until)
{
	seam_time longest = scheduler_unheard_lease_end(w, 0);
	seam_time given = refused || !w->contacted ? 0 : w->lease_end;
	seam_time fresh = late_until - LATE_ORDER_MAX + FIRST_POLL_MAX;
	seam_time end = wait > given ? wait : given;

	if (end < fresh)
		end = fresh;
	return end < longest ? end : longest;
}

/*
 * Whether a start of an earlier run of the task may still be carried out by the
 * process that its worker has now. A process that answers, and has done so with
 * a later token, refuses it. One that does not may be another one by now, but a
 * worker whose row is gone has left, or is waited for by time alone.
 */
bool scheduler_late_start_possible(struct seam_scheduler *sched,
				   const struct seam_job *j, int step,
				   const struct seam_job_task_state *t)
{
	const struct seam_worker *w = scheduler_late_worker(sched, t);
	seam_time now = seam_now(sched->clock);
	bool refused;

	if (!w || w->vm_gone)
		return false;
	refused = w->answered_token > t->late_token;
	if (w->answered)
		return !refused;
	if (scheduler_worker_row_is_gone(w, now))
		return false;
	if (j->row.spec.step[step].lasting)
		return now <=
		       scheduler_unconfirmed_end(
			       w, refused,
			       scheduler_late_wait_end(sched, j, step, t),
			       t->late_until);
	return now <= scheduler_unheard_lease_end(w, 0);
}

void scheduler_run_drop(struct seam_scheduler *sched, struct seam_job *j,
			int step, int task, struct seam_run_slot *r)
{
	struct seam_worker *w = scheduler_worker(sched, r->worker);
	struct seam_resources need =
		scheduler_step_need(&j->row.spec.step[step]);
	bool answered = r->state != SEAM_RUN_UNCONFIRMED || r->earlier_process;
	guint i;

	/* It has ended there, or its end is not known yet. */
	r->spent = r->spent || r->state == SEAM_RUN_RUNNING;
	scheduler_note_ran(&j->task[step][task], r);
	scheduler_run_set_state(sched, r, SEAM_RUN_FREE);
	if (r->listed_at)
		j->task[step][task].listed_at = r->listed_at;
	j->runs--;
	if (scheduler_task_is_idle(j, step, task)) {
		j->idle[step]++;
		if (task < j->first_idle[step])
			j->first_idle[step] = task;
	}
	add(j->used, &j->row.spec.step[step].need, -1);
	scheduler_job_mark_dirty(sched, j);
	scheduler_wake_pass(sched);
	if (!w)
		return;
	note_late_start(&j->task[step][task], w, r, answered,
			j->row.spec.step[step].lasting);
	add(&w->used, &need, -1);
	scheduler_worker_update_free_cpu(w);
	for (i = 0; i < w->task_refs->len; i++) {
		struct seam_task_ref *t =
			&g_array_index(w->task_refs, struct seam_task_ref, i);

		if (seam_handle_eq(t->job, j->self) && t->step == step &&
		    t->task == task) {
			g_array_remove_index_fast(w->task_refs, i);
			break;
		}
	}
}

void scheduler_for_each_run(struct seam_worker *w,
			    void (*fn)(struct seam_worker *w,
				       const struct scheduler_run_ref *at,
				       void *arg),
			    void *arg)
{
	struct seam_scheduler *sched = w->sched;
	guint i;
	int k;

	for (i = w->task_refs->len; i-- > 0;) {
		struct seam_task_ref ref;
		struct seam_job *j;

		/* Dropping a job may have removed several entries. */
		if (i >= w->task_refs->len)
			continue;
		ref = g_array_index(w->task_refs, struct seam_task_ref, i);
		j = scheduler_job(sched, ref.job);
		for (k = 0; j && k < SEAM_TASK_RUNS_MAX; k++) {
			struct scheduler_run_ref at = {
				j, ref.step, ref.task,
				&j->task[ref.step][ref.task].run[k]};

			if (at.run->state != SEAM_RUN_FREE &&
			    seam_handle_eq(at.run->worker, w->self))
				fn(w, &at, arg);
		}
		if (j && scheduler_job_droppable(j))
			scheduler_job_drop(sched, j);
	}
}

void scheduler_queue_order(struct seam_worker *w, const struct seam_order *o)
{
	struct seam_order *copy = g_memdup2(o, sizeof(*o));

	/* A stop frees room that a start may need. */
	if (o->kind == SEAM_ORDER_STOP)
		g_queue_push_head(&w->orders, copy);
	else
		g_queue_push_tail(&w->orders, copy);
	scheduler_lane_wake(w);
}

/* Returns the number of unanswered orders. */
size_t scheduler_pending_orders(const struct seam_worker *w)
{
	return w->orders.length + w->sent.length;
}

/*
 * Whether a process of the worker may carry out a late start. Nothing runs on a
 * worker whose VM was moved or maintained.
 */
bool scheduler_worker_may_start_late(const struct seam_worker *w)
{
	return !w->vm_gone && seam_now(w->sched->clock) < w->late_until;
}

/*
 * Whether the worker may run a late start that the owner has not seen: its
 * process has not answered yet, and does not refuse starts for earlier ones.
 */
bool scheduler_worker_has_late_run(const struct seam_worker *w)
{
	return !w->contacted && w->late_until &&
	       seam_now(w->sched->clock) <=
		       scheduler_longest_lease(w->sched, w->late_until);
}

void scheduler_drop_orders(struct seam_worker *w)
{
	g_queue_clear_full(&w->orders, g_free);
	g_queue_clear_full(&w->sent, g_free);
}

void scheduler_run_stop(struct seam_scheduler *sched, struct seam_job *j,
			int step, int task, struct seam_run_slot *r)
{
	struct seam_worker *w = scheduler_worker(sched, r->worker);
	seam_time now = seam_now(sched->clock);
	struct seam_order o = {.kind = SEAM_ORDER_STOP,
			       .ref = {j->self, step, task},
			       .run = r->number,
			       .deadline = now + STOP_QUEUE_TIMEOUT};

	if (r->stop && now < r->stop_retry_at)
		return;
	r->stop = true;
	r->stop_retry_at = now + STOP_RETRY_INTERVAL;
	if (!w || r->stopped_at != SEAM_NEVER)
		return;
	scheduler_task_name(j, step, task, o.name);
	scheduler_queue_order(w, &o);
}
