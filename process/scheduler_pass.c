/* Scheduling pass: starts runnable tasks in order of urgency. */
#include "process/scheduler_impl.h"
#include "base/metrics.h"
#include "base/log.h"
#include "process/failed_needs.h"
#include "process/fit.h"
#include "process/urgency.h"

#include <string.h>

/* Delay before a pass, to handle changes that arrive together at once. */
#define BATCH_DELAY_USEC 8000
/* Interval between passes without changes. */
#define PASS_INTERVAL (100 * SEAM_MSEC)
/* A start that waits longer for its connection is scheduled again. */
#define START_QUEUE_TIMEOUT (600 * SEAM_MSEC)
SEAM_METRIC(passes, "seam_passes_total", "Passes over the waiting tasks.");
SEAM_METRIC(waiting, "seam_tasks_waiting", "Tasks that could run but wait.");
SEAM_METRIC(searches, "seam_worker_searches_total",
	    "Searches for a worker that can run a task.");
SEAM_METRIC(compared, "seam_workers_compared_total",
	    "Workers that these searches looked at.");
SEAM_METRIC(beside_late, "seam_starts_beside_late_total",
	    "Starts on a worker while another may start the task late.");

/*
 * A pool during one pass.
 *
 * @settled: no worker may still run tasks that the owner does not know
 * @failed: needs of plain tasks that found no worker; @why is a seam_delay
 */
struct pool {
	bool settled;
	struct seam_failed_needs failed;
};

struct pass {
	struct seam_scheduler *sched;
	seam_time now;
	GHashTable *pools;
	bool node_limited; /* a worker was skipped as its node has
			      as many pending starts as its window */
	int64_t searches; /* searches for a worker */
	int64_t failed_searches;
	int64_t compared; /* workers that they looked at */
};

static struct pool *find_or_add_pool(struct pass *p, const char *name)
{
	struct pool *found = g_hash_table_lookup(p->pools, name);

	if (found)
		return found;
	found = g_new0(struct pool, 1);
	found->settled =
		p->now > p->sched->prior_leases_until || p->sched->vms_read;
	g_hash_table_insert(p->pools, g_strdup(name), found);
	return found;
}

/* Pools of workers that may still run tasks under a longer lease. */
static void find_pools_of_long_leases(struct pass *p)
{
	const GArray *list = p->sched->long_leases;
	guint i;

	if (p->now > p->sched->long_leases_until)
		return;
	for (i = 0; i < list->len; i++) {
		const struct seam_long_lease *l =
			&g_array_index(list, struct seam_long_lease, i);
		const struct seam_worker *w =
			scheduler_find_worker(p->sched, l->worker);

		if (p->now <= l->until &&
		    (!w || scheduler_may_run_prior_tasks(w)))
			find_or_add_pool(p, l->pool)->settled = false;
	}
}

/*
 * A task of an inherited job may run on a worker that has not answered yet,
 * until the lease granted by the previous owner has expired.
 */
static void find_unsettled_pools(struct pass *p)
{
	struct seam_scheduler *sched = p->sched;
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_worker *w;
	size_t i;

	if (p->now > sched->prior_leases_until)
		return;
	/* A worker whose row expired may still be running. */
	for (i = 0; i < sched->vms; i++)
		if (*sched->vm[i].worker &&
		    !g_hash_table_contains(sched->worker_of,
					   sched->vm[i].worker))
			find_or_add_pool(p, sched->vm[i].pool)->settled = false;
	while ((w = seam_table_next(sched->workers, &h)))
		if (scheduler_may_run_prior_tasks(w))
			find_or_add_pool(p, w->info.pool)->settled = false;
}

static bool is_startable(const struct seam_job *j, int step, int64_t t,
			 seam_time now)
{
	return scheduler_task_is_idle(j, step, t) &&
	       now >= j->task[step][t].not_before;
}

static bool has_label(const struct seam_worker *w, const char *label)
{
	int i;

	for (i = 0; i < w->info.labels; i++)
		if (!strcmp(w->info.label[i], label))
			return true;
	return false;
}

/* Whether a start may be sent to @w now. */
static bool may_start_on(struct pass *p, const struct seam_worker *w)
{
	struct seam_scheduler *sched = p->sched;

	if (!scheduler_worker_usable(w, p->now) || p->now < w->no_room_until ||
	    seam_op_state_is_evacuated(sched->op_state, w->info.dc) ||
	    w->lane < 0 || !scheduler_worker_takes_start(w))
		return false;
	if (sched->lane[w->lane].starting < sched->lane[w->lane].window.size)
		return true;
	p->node_limited = true;
	return false;
}

/* Selection of a worker for a task. */
struct choice {
	struct pass *pass;
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
	if ((*s->label && !has_label(w, s->label)) ||
	    scheduler_worker_is_shunned(w, s->lasting, c->pass->now) ||
	    (!s->lasting && c->pass->now < w->reserved_until) ||
	    !may_start_on(c->pass, w))
		return false;
	f->free = scheduler_worker_free(w);
	if (s->per_worker || s->target_ms || s->fills) {
		count_tasks(c->pass->sched, w, c, &same, f);
		if (s->per_worker && same >= s->per_worker)
			return false;
	}
	f->near = !*s->rack || has_label(w, s->rack);
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
	if (!w)
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

static struct seam_worker *choose_worker(struct pass *p,
					 const struct seam_job *j, int step,
					 const struct seam_job_task_state *t)
{
	const struct seam_step *s = &j->row.spec.step[step];
	struct choice c = {
		.pass = p,
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
static struct seam_worker *
choose_late_worker(struct pass *p, const struct seam_job *j, int step,
		   const struct seam_job_task_state *t)
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

static bool within_limit(const struct seam_resources *used,
			 const struct seam_resources *need,
			 const struct seam_resources *limit)
{
	return (!limit->cpu || used->cpu + need->cpu <= limit->cpu) &&
	       (!limit->memory ||
		used->memory + need->memory <= limit->memory) &&
	       (!limit->gpu || used->gpu + need->gpu <= limit->gpu);
}

static struct seam_resources workspace_limit(struct pass *p,
					     const char *workspace)
{
	const struct seam_catalog *c =
		seam_catalog_read_lock(p->sched->catalog);
	const struct seam_job_workspace *w =
		c ? seam_catalog_workspace(c, workspace) : NULL;
	struct seam_resources limit = {0, 0, 0};

	if (w)
		limit = w->limit;
	seam_catalog_read_unlock();
	return limit;
}

/*
 * A start beside a late one: if the other worker restarts before its next poll,
 * the task runs twice.
 */
static void log_start_beside_late(const struct pass *p,
				  const struct seam_job_task_state *t,
				  const struct seam_order *o,
				  const struct seam_worker *w)
{
	const struct seam_worker *late = scheduler_late_worker(p->sched, t);

	if (!late || late == w || late->vm_gone)
		return;
	seam_metric_add(&beside_late, 1);
	seam_log(SEAM_WARN, "job",
		 "event=start_beside_late task=%s run=%lld worker=%s "
		 "late_worker=%s answered=%d draining=%d listed=%d "
		 "process=%lld late_left_ms=%lld",
		 o->name, (long long)o->run, w->info.id, late->info.id,
		 late->answered, late->info.draining, late->listed,
		 (long long)late->info.process_start_ms,
		 (long long)(t->late_until - p->now) / SEAM_MSEC);
}

/*
 * Returns the number of the next run of a task on @w. Starts that may come late
 * keep theirs: each process carries out a number once, so that the next one
 * does not run the task twice.
 */
static int64_t run_number(const struct pass *p, struct seam_job_task_state *t,
			  const struct seam_worker *w)
{
	if (t->late_run && scheduler_late_worker(p->sched, t) == w)
		return t->late_run;
	return (int64_t)p->sched->term * SEAM_RUNS_PER_TERM + ++t->starts;
}

static void start_task(struct pass *p, struct seam_worker *w,
		       struct seam_job *j, int step, int task)
{
	struct seam_job_task_state *t = &j->task[step][task];
	struct seam_run_slot *r;
	struct seam_order o = {.kind = SEAM_ORDER_START,
			       .ref = {j->self, step, task},
			       .deadline = p->now + START_QUEUE_TIMEOUT};

	o.run = run_number(p, t, w);
	r = scheduler_run_add(p->sched, j, step, task, w, o.run, SEAM_RUN_SENT);
	if (!r)
		return;
	if (seam_handle_eq(t->late_worker, w->self) && p->now < t->late_until) {
		r->late_until = t->late_until;
		r->late_token = t->late_token;
	}
	scheduler_task_name(j, step, task, o.name);
	log_start_beside_late(p, t, &o, w);
	scheduler_queue_order(w, &o);
}

/*
 * Finds a worker for a task, unless a need that is not larger found none in
 * this pass. Without one, @delay receives what the task waits for.
 */
static struct seam_worker *find_worker(struct pass *p, struct pool *pool,
				       const struct seam_job *j, int step,
				       const struct seam_job_task_state *t,
				       enum seam_delay *delay)
{
	const struct seam_step *s = &j->row.spec.step[step];
	bool plain = !s->per_worker && !*s->label && !s->fills && !s->lasting;
	struct seam_resources need = scheduler_step_need(s);
	const struct seam_failed_need *failed = NULL;
	struct seam_worker *w;

	/* Lasting tasks may also use workers that are kept for them. */
	if (!s->lasting)
		failed = seam_failed_needs_find(&pool->failed, &need);
	if (failed) {
		*delay = (enum seam_delay)failed->why;
		return NULL;
	}
	w = choose_worker(p, j, step, t);
	if (w)
		return w;
	*delay = p->node_limited ? SEAM_DELAY_TURN : SEAM_DELAY_ROOM;
	if (plain)
		seam_failed_needs_add(&pool->failed, &need, *delay);
	if (s->lasting && *delay == SEAM_DELAY_ROOM)
		scheduler_reserve_worker(p->sched, j, step, p->now);
	return NULL;
}

/* Starts tasks of one step; returns what delays the first that waits. */
static enum seam_delay start_step(struct pass *p, struct pool *pool,
				  struct seam_job *j, int step)
{
	const struct seam_step *s = &j->row.spec.step[step];
	struct seam_resources limit = workspace_limit(p, j->row.spec.workspace);
	enum seam_delay delay = SEAM_DELAY_NONE;
	int64_t t;

	while (j->first_idle[step] < s->tasks &&
	       !scheduler_task_is_idle(j, step, j->first_idle[step]))
		j->first_idle[step]++;
	for (t = j->first_idle[step]; t < s->tasks; t++) {
		const struct seam_job_task_state *state = &j->task[step][t];
		struct seam_worker *w;

		if (!is_startable(j, step, t, p->now))
			continue;
		if (p->sched->starting >= p->sched->window.size)
			return SEAM_DELAY_TURN;
		if (scheduler_late_start_possible(p->sched, j, step, state)) {
			delay = SEAM_DELAY_UNCONFIRMED;
			continue;
		}
		if (!within_limit(j->used, &s->need, &limit))
			return SEAM_DELAY_LIMIT;
		w = choose_late_worker(p, j, step, state);
		if (!w &&
		    scheduler_waits_for_late_worker(p->sched, j, step, state)) {
			delay = SEAM_DELAY_UNCONFIRMED;
			continue;
		}
		if (!w)
			w = find_worker(p, pool, j, step, state, &delay);
		if (!w)
			return delay;
		start_task(p, w, j, step, (int)t);
	}
	return delay;
}

static enum seam_delay start_job(struct pass *p, struct seam_job *j)
{
	struct pool *pool = find_or_add_pool(p, j->row.spec.pool);
	enum seam_delay delay = SEAM_DELAY_NONE;
	int i;

	if (j->inherited && !pool->settled)
		return SEAM_DELAY_UNCONFIRMED;
	for (i = 0; i < j->row.spec.steps; i++) {
		enum seam_delay step = SEAM_DELAY_NONE;

		if (j->idle[i] && scheduler_step_is_ready(j, i))
			step = start_step(p, pool, j, i);
		if (!delay)
			delay = step;
	}
	return delay;
}

struct room_search {
	struct pass *pass;
	bool lasting;
	bool found;
};

static bool check_room(struct seam_handle h, void *arg)
{
	struct room_search *l = arg;
	const struct seam_worker *w = scheduler_worker(l->pass->sched, h);

	l->found = w && may_start_on(l->pass, w) &&
		   (l->lasting || l->pass->now >= w->reserved_until) &&
		   !scheduler_worker_is_shunned(w, l->lasting, l->pass->now);
	return l->found;
}

static bool is_lasting(const struct seam_job *j)
{
	int i;

	for (i = 0; i < j->row.spec.steps; i++)
		if (j->row.spec.step[i].lasting)
			return true;
	return false;
}

/*
 * Whether any worker of the pool of @j has @cpu free for it or for less urgent
 * jobs. Few of those are lasting if @j is not.
 */
static bool has_room(struct pass *p, const struct seam_job *j, int64_t cpu)
{
	struct room_search l = {.pass = p, .lasting = is_lasting(j)};
	int slow;

	for (slow = 0; slow < 2 && !l.found; slow++)
		seam_worker_index_each_fitting(p->sched->worker_index,
					       j->row.spec.pool, cpu, slow,
					       check_room, &l);
	return l.found;
}

/*
 * Starts tasks in order of urgency. Skips the rest of a pool when no more of
 * its tasks can be started.
 */
static void start_jobs(struct pass *p)
{
	struct seam_scheduler *sched = p->sched;
	struct seam_backlog_cursor c;
	struct seam_handle h;

	seam_backlog_begin(sched->backlog, &c);
	while (sched->starting < sched->window.size &&
	       seam_backlog_next(&c, &h)) {
		struct seam_job *j = scheduler_job(sched, h);
		enum seam_delay delay = start_job(p, j);

		scheduler_job_delayed(j, delay, p->now);
		if ((delay == SEAM_DELAY_ROOM || delay == SEAM_DELAY_TURN) &&
		    !has_room(p, j, seam_backlog_min_cpu(&c)))
			seam_backlog_skip_pool(&c);
	}
	seam_backlog_end(&c);
}

static void count_pass(const struct pass *p)
{
	struct seam_load_stats *m = &p->sched->load;

	m->passes++;
	m->pass_time += seam_now(p->sched->clock) - p->now;
	m->searches += p->searches;
	m->failed_searches += p->failed_searches;
	m->compared += p->compared;
	seam_metric_add(&passes, 1);
	seam_metric_add(&searches, p->searches);
	seam_metric_add(&compared, p->compared);
	seam_metric_set(&waiting, p->sched->waiting);
}

void scheduler_pass(struct seam_scheduler *sched)
{
	struct pass p = {.sched = sched, .now = seam_now(sched->clock)};

	p.pools =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	scheduler_starts_expire(sched, p.now);
	scheduler_backlog_refresh(sched, p.now);
	find_unsettled_pools(&p);
	find_pools_of_long_leases(&p);
	start_jobs(&p);
	count_pass(&p);
	scheduler_log_load(sched);
	g_hash_table_destroy(p.pools);
}

void *scheduler_pass_loop(void *arg)
{
	struct seam_scheduler *sched = arg;

	pthread_mutex_lock(&sched->lock);
	while (!sched->stop) {
		if (!sched->pass_due)
			seam_wait(sched->clock, &sched->pass_wake, &sched->lock,
				  seam_now(sched->clock) + PASS_INTERVAL);
		pthread_mutex_unlock(&sched->lock);
		g_usleep(BATCH_DELAY_USEC);
		pthread_mutex_lock(&sched->lock);
		sched->pass_due = false;
		if (!sched->stop &&
		    seam_election_is_owner(sched->election,
					   seam_now(sched->clock)))
			scheduler_pass(sched);
	}
	pthread_mutex_unlock(&sched->lock);
	return NULL;
}
