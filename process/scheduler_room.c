/*
 * Room for lasting tasks, and when a worker has room. The users call a lasting
 * task lost that does not run for 3 s although a worker of its pool could hold
 * it, however full the pool is with tasks that end.
 */
#include "process/fit.h"
#include "process/scheduler_impl.h"

#include <string.h>

/* A reservation ends when no pass has renewed it for this time. */
#define RESERVATION_TIME (500 * SEAM_MSEC)
/*
 * A reservation is overdue this much later than twice the time until its worker
 * was expected to have room; then another worker may have it sooner.
 */
#define OVERDUE_MIN (500 * SEAM_MSEC)
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

struct runs {
	GArray *run; /* struct seam_backfill_run */
	seam_time now;
};

static void add_run(struct seam_worker *w, const struct scheduler_run_ref *at,
		    void *arg)
{
	const struct seam_step *s = &at->job->row.spec.step[at->step];
	struct runs *r = arg;
	struct seam_backfill_run run = {
		.need = scheduler_step_need(s),
		.end = s->lasting ? SEAM_NEVER :
				    seam_backfill_end(at->run->running_at,
						      s->estimate_ms, r->now)};

	(void)w;
	g_array_append_val(r->run, run);
}

struct seam_backfill scheduler_plan_room(struct seam_worker *w,
					 const struct seam_resources *need,
					 seam_time now)
{
	struct runs r = {
		g_array_new(FALSE, FALSE, sizeof(struct seam_backfill_run)),
		now};
	struct seam_resources free = scheduler_worker_free(w);
	struct seam_backfill b;

	scheduler_for_each_run(w, add_run, &r);
	b = seam_backfill_plan(need, &free,
			       (struct seam_backfill_run *)(void *)r.run->data,
			       r.run->len, now);
	g_array_free(r.run, TRUE);
	return b;
}

seam_time scheduler_reservation_due(seam_time room_at, seam_time now)
{
	return room_at + (room_at - now) + OVERDUE_MIN;
}

/*
 * Search for the worker that has room for a lasting task the soonest. With
 * @reserved, among those that are reserved and not overdue.
 */
struct reservation {
	struct search search;
	bool reserved;
	struct seam_worker *best;
	seam_time room_at;
};

static bool compare_for_reservation(struct seam_handle h, void *arg)
{
	struct reservation *r = arg;
	const struct search *s = &r->search;
	struct seam_worker *w = scheduler_worker(s->sched, h);
	seam_time room_at;

	if (!w || !scheduler_worker_usable(w, s->now) || w->lane < 0 ||
	    s->now < w->no_room_until ||
	    seam_op_state_is_evacuated(s->sched->op_state, w->info.dc) ||
	    !scheduler_worker_has_label(w, s->step->label) ||
	    w->reserved_at == s->now ||
	    (r->reserved &&
	     (s->now >= w->reserved_until || s->now >= w->reserved_due)) ||
	    !seam_fits(&s->need, &w->info.capacity) || has_all_of_step(s, w))
		return false;
	room_at = scheduler_plan_room(w, &s->need, s->now).room_at;
	if (room_at == SEAM_NEVER || (r->best && room_at >= r->room_at))
		return false;
	r->best = w;
	r->room_at = room_at;
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

	/* One that was reserved before has become emptier since. */
	r.reserved = true;
	seam_worker_index_each_labelled(sched->worker_index, j->row.spec.pool,
					"", compare_for_reservation, &r);
	if (!r.best) {
		r.reserved = false;
		seam_worker_index_each_labelled(sched->worker_index,
						j->row.spec.pool, "",
						compare_for_reservation, &r);
	}
	if (!r.best)
		return;
	if (!r.reserved)
		r.best->reserved_due =
			scheduler_reservation_due(r.room_at, now);
	r.best->reserved_at = now;
	r.best->reserved_until = now + RESERVATION_TIME;
}
