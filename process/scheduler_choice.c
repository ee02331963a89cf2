/* Choice of a worker for a task. */
#include "process/scheduler_pass.h"

#include <string.h>

/* Whether a start may be sent to @w now. */
bool scheduler_may_start_on(struct seam_pass *p, const struct seam_worker *w)
{
	struct seam_scheduler *sched = p->sched;

	if (!scheduler_worker_usable(w, p->now) || p->now < w->no_room_until ||
	    seam_op_state_is_evacuated(sched->op_state, w->info.dc) ||
	    w->lane < 0)
		return false;
	if (sched->lane[w->lane].starting < sched->lane[w->lane].window.size)
		return true;
	p->node_limited = true;
	return false;
}

/* Selection of a worker for a task. */
struct choice {
	struct seam_pass *pass;
	const struct seam_pass_pool *pool;
	const struct seam_job *job;
	int step;
	const struct seam_job_task_state *task;
	struct seam_fit_task fit;
	GArray *workers; /* struct seam_fit_worker */
	GArray *handles; /* of the same workers, struct seam_handle */
};

/*
 * Counts the tasks on @w that are of the step, of serving steps, and of filling
 * steps.
 */
static void count_tasks(struct seam_scheduler *sched,
			const struct seam_worker *w, const struct choice *c,
			int *same, struct seam_fit_worker *f)
{
	guint i;

	*same = 0;
	for (i = 0; i < w->task_refs->len; i++) {
		const struct seam_task_ref *r =
			&g_array_index(w->task_refs, struct seam_task_ref, i);
		const struct seam_job *other = scheduler_job(sched, r->job);

		if (!other)
			continue;
		*same += seam_handle_eq(r->job, c->job->self) &&
			 r->step == c->step;
		f->serving += other->row.spec.step[r->step].target_ms > 0;
		f->filling += other->row.spec.step[r->step].fills;
	}
}

/* Whether the task has waited long enough for a late start on @w. */
static bool has_not_confirmed_in_time(const struct choice *c,
				      const struct seam_worker *w)
{
	return seam_handle_eq(c->task->late_worker, w->self) &&
	       c->pass->now < c->task->late_until &&
	       c->pass->now >= scheduler_late_wait_end(c->pass->sched, c->job,
						       c->step, c->task);
}

/* Describes @w for the task; false if @w can't run it. */
static bool describe_worker(const struct choice *c, const struct seam_worker *w,
			    struct seam_fit_worker *f)
{
	const struct seam_step *s = &c->job->row.spec.step[c->step];
	int same;
	int i;

	memset(f, 0, sizeof(*f));
	if (!scheduler_worker_has_label(w, s->label) ||
	    scheduler_worker_is_shunned(w, s->lasting, c->pass->now) ||
	    (!s->lasting && c->pass->now < w->reserved_until) ||
	    !scheduler_may_start_on(c->pass, w))
		return false;
	f->free = scheduler_worker_free(w);
	if (s->per_worker || s->target_ms || s->fills) {
		count_tasks(c->pass->sched, w, c, &same, f);
		if (s->per_worker && same >= s->per_worker)
			return false;
	}
	f->near = scheduler_worker_has_label(w, s->rack);
	f->avoid = seam_handle_eq(c->task->avoid, w->self) ||
		   scheduler_late_worker_is_avoided(w, c->task) ||
		   c->pass->now < w->shunned_until ||
		   has_not_confirmed_in_time(c, w);
	f->slow = w->info.warmup_ms > SEAM_SLOW_MIN_MS;
	for (i = 0; i < SEAM_TASK_RUNS_MAX; i++)
		if (c->task->run[i].state != SEAM_RUN_FREE &&
		    seam_handle_eq(c->task->run[i].worker, w->self))
			f->copy = true;
	return true;
}

/*
 * Adds a worker to the candidates; returns whether it is good enough to end the
 * search.
 */
static bool add_worker(struct seam_handle h, struct choice *c)
{
	const struct seam_worker *w = scheduler_worker(c->pass->sched, h);
	struct seam_resources free;
	struct seam_fit_worker f;

	c->pass->compared++;
	if (!w || (!c->job->row.spec.step[c->step].lasting &&
		   scheduler_is_reserved(c->pool, h)))
		return false;
	free = scheduler_worker_free(w);
	if (!seam_fits(&c->fit.need, &free) || !describe_worker(c, w, &f))
		return false;
	g_array_append_val(c->workers, f);
	g_array_append_val(c->handles, h);
	return !f.avoid && !f.copy;
}

static bool add_first(struct seam_handle h, void *arg)
{
	return add_worker(h, arg);
}

static bool add_each(struct seam_handle h, void *arg)
{
	add_worker(h, arg);
	return false;
}

static const struct seam_fit_worker *best_of(const struct choice *c, int *i)
{
	const struct seam_fit_worker *f =
		(const struct seam_fit_worker *)(void *)c->workers->data;

	*i = seam_fit(&c->fit, f, c->workers->len);
	return *i < 0 ? NULL : &f[*i];
}

/*
 * A task that other tasks on a worker slow down is compared with all workers,
 * one with a label with those that have it. Any other goes near its data, or
 * else to the fullest worker with enough room; slow workers come last. A bound
 * of the tasks on a worker leaves workers out, but does not change the order of
 * the others.
 */
static int compare_workers(struct choice *c)
{
	const struct seam_step *s = &c->job->row.spec.step[c->step];
	struct seam_worker_index *worker_index = c->pass->sched->worker_index;
	const char *pool = c->job->row.spec.pool;
	const struct seam_fit_worker *f;
	int best;
	int slow;

	if (s->target_ms || s->fills || *s->label) {
		seam_worker_index_each_labelled(worker_index, pool, s->label,
						add_each, c);
		best_of(c, &best);
		return best;
	}
	if (*s->rack)
		seam_worker_index_each_labelled(worker_index, pool, s->rack,
						add_each, c);
	f = best_of(c, &best);
	for (slow = 0; slow < 2 && (!f || f->avoid); slow++) {
		seam_worker_index_each_fitting(worker_index, pool, s->need.cpu,
					       slow, add_first, c);
		f = best_of(c, &best);
	}
	return best;
}

struct seam_worker *scheduler_choose_worker(struct seam_pass *p,
					    const struct seam_pass_pool *pool,
					    const struct seam_job *j, int step,
					    const struct seam_job_task_state *t)
{
	const struct seam_step *s = &j->row.spec.step[step];
	struct choice c = {
		.pass = p,
		.pool = pool,
		.job = j,
		.step = step,
		.task = t,
		.fit = {scheduler_step_need(s), s->target_ms > 0, s->fills},
		.workers = g_array_new(FALSE, FALSE,
				       sizeof(struct seam_fit_worker)),
		.handles =
			g_array_new(FALSE, FALSE, sizeof(struct seam_handle))};
	struct seam_worker *w = NULL;
	int best;

	p->node_limited = false;
	p->searches++;
	best = compare_workers(&c);
	p->failed_searches += best < 0;
	if (best >= 0)
		w = scheduler_worker(
			p->sched,
			g_array_index(c.handles, struct seam_handle, best));
	g_array_free(c.workers, TRUE);
	g_array_free(c.handles, TRUE);
	return w;
}

/*
 * Returns the worker that may get a start of an earlier run late, if it can run
 * the task now, or NULL. It does so under the same number or, if that is spent
 * there, under a later one: its process refuses the late start, and the run
 * ends with the process. A worker on which the task has failed does not get it
 * again.
 */
struct seam_worker *
scheduler_choose_late_worker(struct seam_pass *p, const struct seam_job *j,
			     int step, const struct seam_job_task_state *t)
{
	struct seam_worker *w = scheduler_late_worker(p->sched, t);
	struct choice c = {.pass = p, .job = j, .step = step, .task = t};
	struct seam_resources need =
		scheduler_step_need(&j->row.spec.step[step]);
	struct seam_fit_worker f;

	if (!w || strcmp(w->info.pool, j->row.spec.pool) ||
	    !describe_worker(&c, w, &f) || f.avoid || f.copy ||
	    !seam_fits(&need, &f.free))
		return NULL;
	return w;
}

struct seam_worker *scheduler_choose_reserved_worker(
	struct seam_pass *p, struct seam_pass_pool *pool,
	const struct seam_job *j, int step, const struct seam_job_task_state *t)
{
	const struct seam_step *s = &j->row.spec.step[step];
	struct seam_reservation *r = &pool->room->reservation;
	struct seam_worker *w = scheduler_worker(p->sched, r->worker);
	struct choice c = {.pass = p, .job = j, .step = step, .task = t};
	struct seam_resources need = scheduler_step_need(s);
	struct seam_fit_worker f;
	seam_time end = p->now + s->estimate_ms * SEAM_MSEC +
			SEAM_START_AND_REPORT_DELAY;

	if (!w || !pool->backfills_left)
		return NULL;
	if (seam_handle_eq(r->job, j->self) && r->step == step)
		return describe_worker(&c, w, &f) && !f.copy &&
				       seam_fits(&need, &f.free) ?
			       w :
			       NULL;
	pool->backfills_left--;
	if (!describe_worker(&c, w, &f) || f.copy || f.avoid ||
	    !seam_fits(&need, &f.free) ||
	    !seam_backfill_fits(&r->plan, &need, end))
		return NULL;
	if (end > r->plan.room_at) {
		r->plan.beside.cpu -= need.cpu;
		r->plan.beside.memory -= need.memory;
		r->plan.beside.gpu -= need.gpu;
	}
	return w;
}
