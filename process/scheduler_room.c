/*
 * Room for lasting tasks. The users call a lasting task lost that does not run
 * for 3 s although a worker of its pool could hold it, however full the pool is
 * with tasks that end.
 */
#include "process/fit.h"
#include "process/scheduler_impl.h"

#include <math.h>
#include <string.h>

/* A reservation ends when no pass has renewed it for this time. */
#define RESERVATION_TIME (500 * SEAM_MSEC)
/* Workers that are looked at for one task, so that the cost stays bounded. */
#define CANDIDATES_MAX 64

bool scheduler_worker_has_label(const struct seam_worker *w, const char *label)
{
	int i;

	for (i = 0; i < w->info.labels; i++)
		if (!strcmp(w->info.label[i], label))
			return true;
	return !*label;
}

struct search {
	struct seam_scheduler *sched;
	const struct seam_worker *except;
	struct seam_handle job;
	int step_index;
	const struct seam_step *step;
	struct seam_resources need;
	seam_time now;
	int left;
	bool found;
};

bool scheduler_worker_has_all_of_step(const struct seam_worker *w,
				      struct seam_handle job, int step,
				      int64_t per_worker)
{
	int64_t same = 0;
	guint i;

	for (i = 0; i < w->task_refs->len && per_worker; i++) {
		const struct seam_task_ref *r =
			&g_array_index(w->task_refs, struct seam_task_ref, i);

		same += seam_handle_eq(r->job, job) && r->step == step;
	}
	return per_worker && same >= per_worker;
}

static bool has_all_of_step(const struct search *s, const struct seam_worker *w)
{
	return scheduler_worker_has_all_of_step(w, s->job, s->step_index,
						s->step->per_worker);
}

static bool check_candidate(struct seam_handle h, void *arg)
{
	struct search *s = arg;
	const struct seam_worker *w = scheduler_worker(s->sched, h);
	struct seam_resources free;

	if (!w || w == s->except)
		return false;
	free = scheduler_worker_free(w);
	s->found = scheduler_worker_usable(w, s->now) &&
		   s->now >= w->no_room_until && seam_fits(&s->need, &free) &&
		   scheduler_worker_has_label(w, s->step->label) &&
		   !has_all_of_step(s, w) &&
		   !seam_op_state_is_evacuated(s->sched->op_state, w->info.dc);
	return s->found || --s->left <= 0;
}

bool scheduler_room_elsewhere(struct seam_scheduler *sched,
			      const struct seam_job *j, int step,
			      const struct seam_worker *except)
{
	const struct seam_step *t = &j->row.spec.step[step];
	struct search s = {.sched = sched,
			   .except = except,
			   .job = j->self,
			   .step_index = step,
			   .step = t,
			   .need = scheduler_step_need(t),
			   .now = seam_now(sched->clock),
			   .left = CANDIDATES_MAX};
	int slow;

	for (slow = 0; slow < 2 && !s.found; slow++)
		seam_worker_index_each_fitting(sched->worker_index,
					       j->row.spec.pool, s.need.cpu,
					       slow, check_candidate, &s);
	return s.found;
}

static void count_lasting(struct seam_worker *w,
			  const struct scheduler_run_ref *at, void *arg)
{
	int *n = arg;

	(void)w;
	*n += at->job->row.spec.step[at->step].lasting &&
	      !seam_job_finished(at->job->row.state);
}

int scheduler_lasting_runs(struct seam_worker *w)
{
	int n = 0;

	scheduler_for_each_run(w, count_lasting, &n);
	return n;
}

static void count_pinned(struct seam_worker *w,
			 const struct scheduler_run_ref *at, void *arg)
{
	int *n = arg;

	*n += at->job->row.spec.step[at->step].lasting &&
	      !seam_job_finished(at->job->row.state) &&
	      !scheduler_room_elsewhere(w->sched, at->job, at->step, w);
}

int scheduler_pinned_runs(struct seam_worker *w)
{
	int n = 0;

	scheduler_for_each_run(w, count_pinned, &n);
	return n;
}

static void add_lasting(struct seam_worker *w,
			const struct scheduler_run_ref *at, void *arg)
{
	const struct seam_step *s = &at->job->row.spec.step[at->step];
	struct seam_resources need = scheduler_step_need(s);
	struct seam_resources *sum = arg;

	(void)w;
	if (!s->lasting)
		return;
	sum->cpu += need.cpu;
	sum->memory += need.memory;
	sum->gpu += need.gpu;
}

/* Whether @need would fit @w if all tasks that end were over. */
static bool fits_beside_lasting(struct seam_worker *w,
				const struct seam_resources *need)
{
	struct seam_resources used = {0, 0, 0};
	struct seam_resources left = w->info.capacity;

	scheduler_for_each_run(w, add_lasting, &used);
	left.cpu -= used.cpu;
	left.memory -= used.memory;
	left.gpu -= used.gpu;
	return seam_fits(need, &left);
}

/* The part of the worker that has to become free for @need. */
static double missing_share(const struct seam_worker *w,
			    const struct seam_resources *need)
{
	const struct seam_resources *all = &w->info.capacity;
	struct seam_resources free = scheduler_worker_free(w);
	double cpu = all->cpu ?
			     (double)(need->cpu - free.cpu) / (double)all->cpu :
			     0;
	double memory = all->memory ? (double)(need->memory - free.memory) /
					      (double)all->memory :
				      0;

	return fmax(cpu, memory);
}

struct reservation {
	struct search search;
	struct seam_worker *best;
	double missing;
};

static bool compare_for_reservation(struct seam_handle h, void *arg)
{
	struct reservation *r = arg;
	const struct search *s = &r->search;
	struct seam_worker *w = scheduler_worker(s->sched, h);
	double missing;

	if (!w || !scheduler_worker_usable(w, s->now) || w->lane < 0 ||
	    s->now < w->no_room_until ||
	    seam_op_state_is_evacuated(s->sched->op_state, w->info.dc) ||
	    !scheduler_worker_has_label(w, s->step->label) ||
	    w->reserved_at == s->now)
		return false;
	missing = missing_share(w, &s->need);
	/* The one that was reserved before has become emptier since. */
	if (s->now < w->reserved_until)
		missing -= 1;
	/* The runs of a worker are read only if it is better than the best. */
	if ((r->best && missing >= r->missing) || has_all_of_step(s, w) ||
	    !fits_beside_lasting(w, &s->need))
		return false;
	r->best = w;
	r->missing = missing;
	return false;
}

void scheduler_reserve_worker(struct seam_scheduler *sched,
			      const struct seam_job *j, int step, seam_time now)
{
	const struct seam_step *t = &j->row.spec.step[step];
	struct reservation r = {.search = {.sched = sched,
					   .job = j->self,
					   .step_index = step,
					   .step = t,
					   .need = scheduler_step_need(t),
					   .now = now}};

	seam_worker_index_each_labelled(sched->worker_index, j->row.spec.pool,
					"", compare_for_reservation, &r);
	if (!r.best)
		return;
	r.best->reserved_at = now;
	r.best->reserved_until = now + RESERVATION_TIME;
}
