/* Scheduling pass: starts runnable tasks in order of urgency. */
#include "process/scheduler_pass.h"
#include "base/metrics.h"
#include "base/log.h"

/* Delay before a pass, to handle changes that arrive together at once. */
#define BATCH_DELAY_USEC 8000
/* Interval between passes without changes. */
#define PASS_INTERVAL (100 * SEAM_MSEC)
/* A start that waits longer for its connection is scheduled again. */
#define START_QUEUE_TIMEOUT (600 * SEAM_MSEC)
/*
 * Looks at a reserved worker for other tasks in one pass, so that the cost of a
 * pass stays bounded.
 */
#define BACKFILLS_MAX 64
SEAM_METRIC(passes, "seam_passes_total", "Passes over the waiting tasks.");
SEAM_METRIC(waiting, "seam_tasks_waiting", "Tasks that could run but wait.");
SEAM_METRIC(searches, "seam_worker_searches_total",
	    "Searches for a worker that can run a task.");
SEAM_METRIC(compared, "seam_workers_compared_total",
	    "Workers that these searches looked at.");
SEAM_METRIC(beside_late, "seam_starts_beside_late_total",
	    "Starts on a worker while another may start the task late.");

static struct seam_pass_pool *find_or_add_pool(struct seam_pass *p,
					       const char *name)
{
	struct seam_pass_pool *found = g_hash_table_lookup(p->pools, name);

	if (found)
		return found;
	found = g_new0(struct seam_pass_pool, 1);
	found->room = scheduler_pool_room(p->sched, name);
	found->backfills_left = BACKFILLS_MAX;
	found->settled =
		p->now > p->sched->prior_leases_until || p->sched->vms_read;
	g_hash_table_insert(p->pools, g_strdup(name), found);
	return found;
}

/* Pools of workers that may still run tasks under a longer lease. */
static void find_pools_of_long_leases(struct seam_pass *p)
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
static void find_unsettled_pools(struct seam_pass *p)
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

static bool within_limit(const struct seam_resources *used,
			 const struct seam_resources *need,
			 const struct seam_resources *limit)
{
	return (!limit->cpu || used->cpu + need->cpu <= limit->cpu) &&
	       (!limit->memory ||
		used->memory + need->memory <= limit->memory) &&
	       (!limit->gpu || used->gpu + need->gpu <= limit->gpu);
}

static struct seam_resources workspace_limit(struct seam_pass *p,
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

bool scheduler_within_limit(struct seam_pass *p, const struct seam_job *j,
			    int step)
{
	struct seam_resources limit = workspace_limit(p, j->row.spec.workspace);

	return within_limit(j->used, &j->row.spec.step[step].need, &limit);
}

/*
 * A start beside a late one: if the other worker restarts before its next poll,
 * the task runs twice.
 */
static void log_start_beside_late(const struct seam_pass *p,
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
static int64_t run_number(const struct seam_pass *p,
			  struct seam_job_task_state *t,
			  const struct seam_worker *w)
{
	if (t->late_run && scheduler_late_worker(p->sched, t) == w)
		return t->late_run;
	return (int64_t)p->sched->term * SEAM_RUNS_PER_TERM + ++t->starts;
}

static void start_task(struct seam_pass *p, struct seam_worker *w,
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
 * Finds a worker that is not reserved, unless a need that is not larger found
 * none in this pass. Without one, @delay receives what the task waits for.
 */
static struct seam_worker *find_unreserved(struct seam_pass *p,
					   struct seam_pass_pool *pool,
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
	w = scheduler_choose_worker(p, pool, j, step, t);
	if (w)
		return w;
	*delay = p->node_limited ? SEAM_DELAY_TURN : SEAM_DELAY_ROOM;
	if (plain)
		seam_failed_needs_add(&pool->failed, &need, *delay);
	return NULL;
}

/* Finds a worker for a task; without one, @delay receives what it waits for. */
static struct seam_worker *find_worker(struct seam_pass *p,
				       struct seam_pass_pool *pool,
				       struct seam_job *j, int step,
				       const struct seam_job_task_state *t,
				       enum seam_delay *delay)
{
	bool lasting = j->row.spec.step[step].lasting;
	struct seam_worker *w = find_unreserved(p, pool, j, step, t, delay);

	if (!w && !lasting)
		w = scheduler_choose_reserved_worker(p, pool, j, step, t);
	if (!w && lasting && *delay == SEAM_DELAY_ROOM)
		scheduler_reserve_worker(p->sched, j, step, p->now);
	return w;
}

/*
 * Starts tasks of one step, at most one if a worker is @reserved for it;
 * returns what delays the first that waits.
 */
static enum seam_delay start_step(struct seam_pass *p,
				  struct seam_pass_pool *pool,
				  struct seam_job *j, int step, bool reserved)
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
		w = scheduler_choose_late_worker(p, j, step, state);
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
		if (reserved)
			return delay;
		scheduler_note_start(pool, j, step, p->now);
	}
	return delay;
}

static enum seam_delay start_job(struct seam_pass *p, struct seam_job *j)
{
	struct seam_pass_pool *pool = find_or_add_pool(p, j->row.spec.pool);
	enum seam_delay delay = SEAM_DELAY_NONE;
	int i;

	if (j->inherited && !pool->settled)
		return SEAM_DELAY_UNCONFIRMED;
	for (i = 0; i < j->row.spec.steps; i++) {
		enum seam_delay step = SEAM_DELAY_NONE;

		if (j->idle[i] && scheduler_step_is_ready(j, i))
			step = start_step(p, pool, j, i, false);
		if (!delay)
			delay = step;
	}
	return delay;
}

struct room_search {
	struct seam_pass *pass;
	const struct seam_pass_pool *pool;
	bool lasting;
	bool found;
};

static bool check_room(struct seam_handle h, void *arg)
{
	struct room_search *l = arg;
	const struct seam_worker *w = scheduler_worker(l->pass->sched, h);

	l->found = w && scheduler_may_start_on(l->pass, w) &&
		   (l->lasting || (l->pass->now >= w->reserved_until &&
				   (l->pool->backfills_left ||
				    !scheduler_is_reserved(l->pool, h)))) &&
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
static bool has_room(struct seam_pass *p, const struct seam_job *j, int64_t cpu)
{
	struct room_search l = {.pass = p,
				.pool = find_or_add_pool(p, j->row.spec.pool),
				.lasting = is_lasting(j)};
	int slow;

	for (slow = 0; slow < 2 && !l.found; slow++)
		seam_worker_index_each_fitting(p->sched->worker_index,
					       j->row.spec.pool, cpu, slow,
					       check_room, &l);
	return l.found;
}

/* Starts a task for which a worker of @pool is reserved, if there is room. */
static void start_reserved_task(struct seam_pass *p,
				struct seam_pass_pool *pool)
{
	struct seam_job *j = scheduler_renew_reservation(p, pool);
	static const char *const why[] = {[SEAM_DELAY_NONE] = "paused",
					  [SEAM_DELAY_LIMIT] = "limit",
					  [SEAM_DELAY_UNCONFIRMED] =
						  "unconfirmed"};
	int step = pool->room->reservation.step;
	enum seam_delay delay;
	int idle;

	if (!j)
		return;
	idle = j->idle[step];
	delay = start_step(p, pool, j, step, true);
	if (j->idle[step] < idle)
		scheduler_end_reservation(p, pool, "started");
	else if (delay == SEAM_DELAY_ROOM || delay == SEAM_DELAY_TURN)
		scheduler_job_delayed(j, delay, p->now);
	else
		scheduler_end_reservation(p, pool, why[delay]);
}

/* Starts the tasks of reservations. */
static void start_reserved(struct seam_pass *p)
{
	GHashTableIter it;
	gpointer name;

	g_hash_table_iter_init(&it, p->sched->pool_rooms);
	while (g_hash_table_iter_next(&it, &name, NULL))
		start_reserved_task(p, find_or_add_pool(p, name));
}

/* Makes reservations in pools that have none. */
static void make_reservations(struct seam_pass *p)
{
	GHashTableIter it;
	gpointer name;
	gpointer pool;

	g_hash_table_iter_init(&it, p->pools);
	while (g_hash_table_iter_next(&it, &name, &pool))
		scheduler_make_reservation(p, pool, name);
}

/*
 * Starts tasks in order of urgency; those of reservations come after lasting
 * ones. Skips the rest of a pool when no more of its tasks can be started.
 */
static void start_jobs(struct seam_pass *p)
{
	struct seam_scheduler *sched = p->sched;
	struct seam_backlog_cursor c;
	bool reserved = false;
	struct seam_handle h;

	seam_backlog_begin(sched->backlog, &c);
	while (sched->starting < sched->window.size &&
	       seam_backlog_next(&c, &h)) {
		struct seam_job *j = scheduler_job(sched, h);
		enum seam_delay delay;

		if (!reserved && !is_lasting(j)) {
			start_reserved(p);
			reserved = true;
		}
		delay = start_job(p, j);
		scheduler_job_delayed(j, delay, p->now);
		if ((delay == SEAM_DELAY_ROOM || delay == SEAM_DELAY_TURN) &&
		    !has_room(p, j, seam_backlog_min_cpu(&c)))
			seam_backlog_skip_pool(&c);
	}
	seam_backlog_end(&c);
	if (!reserved)
		start_reserved(p);
	make_reservations(p);
}

static void count_pass(const struct seam_pass *p)
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
	struct seam_pass p = {.sched = sched, .now = seam_now(sched->clock)};

	sched->plans_left = SCHEDULER_PLANS_MAX;
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
