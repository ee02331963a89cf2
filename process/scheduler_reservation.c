/*
 * Reservations for tasks that end. Small tasks take each part of a worker that
 * becomes free before it is large enough for a large one, so a late task that
 * finds no room gets a worker that is kept for it, one a pool.
 */
#include "process/scheduler_pass.h"
#include "base/metrics.h"
#include "base/log.h"

#include <string.h>

/* Late jobs that are looked at in one pass, so that its cost stays bounded. */
#define LATE_JOBS_MAX 64
/* Tasks of a step that are looked at for one that waits for room. */
#define TASKS_MAX 64
/*
 * A pool gives pieces of a size if a task as large was started within this
 * time, or within the objective of the task that waits if that is shorter. The
 * users call a job lost of which nothing runs for 3 s.
 */
#define RECENT_START_MAX (3 * SEAM_SEC)

SEAM_METRIC(reservations, "seam_reservations_total",
	    "Workers reserved for a late task that ends and found no room.");

struct seam_pool_room *scheduler_pool_room(struct seam_scheduler *sched,
					   const char *pool)
{
	struct seam_pool_room *room =
		g_hash_table_lookup(sched->pool_rooms, pool);

	if (room)
		return room;
	room = g_new0(struct seam_pool_room, 1);
	g_hash_table_insert(sched->pool_rooms, g_strdup(pool), room);
	return room;
}

void scheduler_note_start(struct seam_pass_pool *pool, const struct seam_job *j,
			  int step, seam_time now)
{
	struct seam_resources need =
		scheduler_step_need(&j->row.spec.step[step]);

	seam_start_sizes_add(&pool->room->cpu, need.cpu, now);
	seam_start_sizes_add(&pool->room->memory, need.memory, now);
	seam_start_sizes_add(&pool->room->gpu, need.gpu, now);
}

/* Whether @w may be kept for a task of @step. */
static bool may_keep(const struct seam_pass *p, const struct seam_worker *w,
		     const struct seam_job *j, int step)
{
	const struct seam_step *s = &j->row.spec.step[step];

	return scheduler_worker_usable(w, p->now) && w->lane >= 0 &&
	       p->now >= w->no_room_until &&
	       !strcmp(w->info.pool, j->row.spec.pool) &&
	       !seam_op_state_is_evacuated(p->sched->op_state, w->info.dc) &&
	       p->now >= w->reserved_until &&
	       !scheduler_worker_is_shunned(w, false, p->now) &&
	       scheduler_worker_has_label(w, s->label) &&
	       !scheduler_worker_has_all_of_step(w, j->self, step,
						 s->per_worker);
}

/* Search for the worker that has room for a task the soonest. */
struct keep_search {
	struct seam_pass *pass;
	const struct seam_job *job;
	int step;
	const struct seam_job_task_state *task;
	struct seam_resources need;
	struct seam_worker *best;
	bool best_avoided;
	struct seam_backfill plan;
};

static bool compare_keep(struct seam_handle h, void *arg)
{
	struct keep_search *s = arg;
	struct seam_worker *w = scheduler_worker(s->pass->sched, h);
	struct seam_backfill plan;
	bool avoided;

	if (!w || !seam_fits(&s->need, &w->info.capacity) ||
	    !may_keep(s->pass, w, s->job, s->step))
		return false;
	if (--s->pass->sched->plans_left < 0)
		return true;
	plan = scheduler_plan_room(w, &s->need, s->pass->now);
	avoided = seam_handle_eq(s->task->avoid, w->self);
	if (plan.room_at == SEAM_NEVER ||
	    (s->best &&
	     (avoided > s->best_avoided ||
	      (avoided == s->best_avoided && plan.room_at >= s->plan.room_at))))
		return false;
	s->best = w;
	s->best_avoided = avoided;
	s->plan = plan;
	return false;
}

struct room_check {
	struct seam_pass *pass;
	const struct seam_job *job;
	int step;
	struct seam_resources need;
	int left;
	bool found;
};

static bool check_free(struct seam_handle h, void *arg)
{
	struct room_check *c = arg;
	const struct seam_worker *w = scheduler_worker(c->pass->sched, h);
	struct seam_resources free;

	if (!w)
		return false;
	free = scheduler_worker_free(w);
	c->found = seam_fits(&c->need, &free) &&
		   may_keep(c->pass, w, c->job, c->step);
	return c->found || --c->left <= 0;
}

/* Whether a worker has room for the task, so that it waits for its turn. */
static bool has_room_now(struct seam_pass *p, const struct seam_job *j,
			 int step)
{
	struct room_check c = {
		.pass = p,
		.job = j,
		.step = step,
		.need = scheduler_step_need(&j->row.spec.step[step]),
		.left = LATE_JOBS_MAX};
	int slow;

	for (slow = 0; slow < 2 && !c.found; slow++)
		seam_worker_index_each_fitting(p->sched->worker_index,
					       j->row.spec.pool, c.need.cpu,
					       slow, check_free, &c);
	return c.found;
}

/* Returns a task of the step that only waits for a worker, or NULL. */
static const struct seam_job_task_state *
waiting_task(struct seam_scheduler *sched, const struct seam_job *j, int step,
	     seam_time now)
{
	const struct seam_step *s = &j->row.spec.step[step];
	int64_t end = j->first_idle[step] + TASKS_MAX;
	int64_t i;

	for (i = j->first_idle[step]; i < s->tasks && i < end; i++) {
		const struct seam_job_task_state *t = &j->task[step][i];

		if (scheduler_task_is_idle(j, step, i) &&
		    now >= t->not_before &&
		    !scheduler_late_start_possible(sched, j, step, t) &&
		    !scheduler_waits_for_late_worker(sched, j, step, t))
			return t;
	}
	return NULL;
}

/*
 * Whether the pool starts tasks, but none as large as those of @step for some
 * time. Otherwise the pool gives pieces of this size, and they go by urgency.
 */
static bool is_overtaken(const struct seam_pool_room *room,
			 const struct seam_job *j, int step, seam_time now)
{
	struct seam_resources need =
		scheduler_step_need(&j->row.spec.step[step]);
	seam_time objective = j->due_at - j->accepted_at;
	seam_time since =
		now -
		(objective < RECENT_START_MAX ? objective : RECENT_START_MAX);
	seam_time any = seam_start_sizes_latest(&room->cpu, 0);

	return any > since && any > j->accepted_at &&
	       (seam_start_sizes_latest(&room->cpu, need.cpu) <= since ||
		seam_start_sizes_latest(&room->memory, need.memory) <= since ||
		seam_start_sizes_latest(&room->gpu, need.gpu) <= since);
}

static bool is_late(const struct seam_job *j, seam_time now)
{
	struct seam_urgency u;

	scheduler_job_urgency(j, &u);
	return seam_urgency_late(&u, now);
}

struct late_search {
	struct seam_pass *pass;
	struct seam_pass_pool *pool;
	struct seam_failed_needs too_large; /* no worker can ever hold them */
	int left;
};

static bool reserve_for_step(struct late_search *l, struct seam_job *j,
			     int step)
{
	struct seam_pass *p = l->pass;
	const struct seam_step *t = &j->row.spec.step[step];
	struct seam_reservation *r = &l->pool->room->reservation;
	struct keep_search s = {.pass = p,
				.job = j,
				.step = step,
				.task = waiting_task(p->sched, j, step, p->now),
				.need = scheduler_step_need(t)};

	if (!s.task || seam_failed_needs_find(&l->too_large, &s.need) ||
	    !is_overtaken(l->pool->room, j, step, p->now) ||
	    !scheduler_within_limit(p, j, step) || has_room_now(p, j, step))
		return false;
	seam_worker_index_each_labelled(p->sched->worker_index,
					j->row.spec.pool, t->label,
					compare_keep, &s);
	if (!s.best) {
		if (p->sched->plans_left <= 0)
			return false;
		j->reserve_after = p->now + SCHEDULER_RESERVE_RETRY;
		if (!*t->label && !t->per_worker)
			seam_failed_needs_add(&l->too_large, &s.need, 0);
		return false;
	}
	*r = (struct seam_reservation){
		.job = j->self,
		.step = step,
		.worker = s.best->self,
		.made_at = p->now,
		.until = scheduler_reservation_due(s.plan.room_at, p->now),
		.plan = s.plan};
	seam_metric_add(&reservations, 1);
	seam_log(SEAM_INFO, "waits",
		 "event=reservation_made pool=%s job=%s step=%d worker=%s "
		 "need_cpu=%lld need_memory=%lld age_ms=%lld room_ms=%lld",
		 j->row.spec.pool, j->row.spec.id, step, s.best->info.id,
		 (long long)s.need.cpu, (long long)s.need.memory,
		 (long long)(p->now - j->accepted_at) / SEAM_MSEC,
		 (long long)(s.plan.room_at - p->now) / SEAM_MSEC);
	return true;
}

static bool reserve_for_job(struct seam_handle h, void *arg)
{
	struct late_search *l = arg;
	struct seam_job *j = scheduler_job(l->pass->sched, h);
	int i;

	if (--l->left < 0)
		return true;
	if (!j || l->pass->now < j->reserve_after ||
	    seam_job_finished(j->row.state) ||
	    (j->inherited && !l->pool->settled) || !is_late(j, l->pass->now))
		return false;
	for (i = 0; i < j->row.spec.steps; i++)
		if (j->idle[i] && !j->row.spec.step[i].lasting &&
		    scheduler_step_is_ready(j, i) && reserve_for_step(l, j, i))
			return true;
	return false;
}

void scheduler_make_reservation(struct seam_pass *p,
				struct seam_pass_pool *pool, const char *name)
{
	struct late_search l = {.pass = p, .pool = pool, .left = LATE_JOBS_MAX};
	struct seam_urgency_key late = seam_urgency_first_late();

	if (!seam_handle_eq(pool->room->reservation.job, SEAM_HANDLE_NONE))
		return;
	seam_backlog_each_from(p->sched->backlog, name, &late, reserve_for_job,
			       &l);
}

void scheduler_end_reservation(struct seam_pass *p, struct seam_pass_pool *pool,
			       const char *why)
{
	struct seam_reservation *r = &pool->room->reservation;
	const struct seam_job *j = scheduler_job(p->sched, r->job);
	const struct seam_worker *w = scheduler_worker(p->sched, r->worker);

	seam_log(SEAM_INFO, "waits",
		 "event=reservation_ended job=%s step=%d worker=%s why=%s "
		 "held_ms=%lld overdue_ms=%lld",
		 j ? j->row.spec.id : "", r->step, w ? w->info.id : "", why,
		 (long long)(p->now - r->made_at) / SEAM_MSEC,
		 p->now > r->plan.room_at ?
			 (long long)(p->now - r->plan.room_at) / SEAM_MSEC :
			 0LL);
	*r = (struct seam_reservation){.job = SEAM_HANDLE_NONE,
				       .worker = SEAM_HANDLE_NONE};
	/* The worker may have room for needs that found none without it. */
	pool->failed.count = 0;
}

/* Returns why the reservation ends, or NULL; updates its plan. */
static const char *check_reservation(struct seam_pass *p,
				     const struct seam_pass_pool *pool,
				     struct seam_reservation *r,
				     const struct seam_job *j)
{
	struct seam_worker *w = scheduler_worker(p->sched, r->worker);
	struct seam_resources need;
	struct seam_backfill plan;

	if (!j || seam_job_finished(j->row.state) || !j->idle[r->step] ||
	    !scheduler_step_is_ready(j, r->step))
		return "not_waiting";
	if (j->inherited && !pool->settled)
		return "unconfirmed";
	if (!w || !may_keep(p, w, j, r->step))
		return "worker";
	if (p->now >= r->until)
		return "overdue";
	need = scheduler_step_need(&j->row.spec.step[r->step]);
	plan = scheduler_plan_room(w, &need, p->now);
	if (plan.room_at == SEAM_NEVER)
		return "lasting";
	r->plan.beside = plan.beside;
	if (plan.room_at < r->plan.room_at)
		r->plan.room_at = plan.room_at;
	return NULL;
}

struct seam_job *scheduler_renew_reservation(struct seam_pass *p,
					     struct seam_pass_pool *pool)
{
	struct seam_reservation *r = &pool->room->reservation;
	struct seam_job *j = scheduler_job(p->sched, r->job);
	const char *why;

	if (seam_handle_eq(r->job, SEAM_HANDLE_NONE))
		return NULL;
	why = check_reservation(p, pool, r, j);
	if (!why)
		return j;
	scheduler_end_reservation(p, pool, why);
	return NULL;
}
