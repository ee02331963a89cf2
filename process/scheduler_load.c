/* Delays of jobs and activity of the owner, for the log. */
#include "process/scheduler_impl.h"
#include "base/metrics.h"
#include "base/log.h"
#include "base/traffic.h"

#include <string.h>

#define LOAD_LOG_INTERVAL (1 * SEAM_SEC)
/* A lasting task without a listed run for longer is logged. */
#define WAIT_LOG_MIN (2 * SEAM_SEC)
/* Lines for such tasks in one interval. */
#define WAIT_LINES_MAX 20
#define TRAFFIC_KINDS_MAX 32

SEAM_METRIC(waiting_beside_room, "seam_tasks_waiting_beside_room",
	    "Tasks that end, of jobs of which nothing has run for two seconds "
	    "while half of their pool is free.");
SEAM_METRIC(lasting_waiting, "seam_lasting_tasks_waiting",
	    "Lasting tasks without a listed run for two seconds.");
SEAM_METRIC(pools_overtaking, "seam_pools_overtaking",
	    "Pools that start tasks while one with a larger need, of a job of "
	    "which nothing runs, has waited for room for two seconds.");

void scheduler_job_delayed(struct seam_job *j, enum seam_delay reason,
			   seam_time now)
{
	if (j->delay_reason != SEAM_DELAY_NONE)
		j->delay[j->delay_reason] += now - j->delayed_since;
	j->delay_reason = reason;
	j->delayed_since = now;
}

/*
 * Computes the number of tasks and the core milliseconds of a job from its
 * estimates.
 */
static void job_size(const struct seam_job *j, int64_t *tasks, int64_t *work_ms)
{
	int i;

	*tasks = 0;
	*work_ms = 0;
	for (i = 0; i < j->row.spec.steps; i++) {
		const struct seam_step *s = &j->row.spec.step[i];

		*tasks += s->tasks;
		*work_ms += s->tasks * s->need.cpu * s->estimate_ms / 1000;
	}
}

void scheduler_log_job(const struct seam_scheduler *sched,
		       const struct seam_job *j, const char *event)
{
	seam_time now = seam_now(sched->clock);
	int64_t tasks;
	int64_t work_ms;

	job_size(j, &tasks, &work_ms);
	seam_log(
		SEAM_INFO, "job",
		"event=%s job=%s queue=%s workspace=%s age_ms=%lld "
		"objective_ms=%lld tasks=%lld work_ms=%lld first_start_ms=%lld "
		"turn_ms=%lld room_ms=%lld limit_ms=%lld unheard_ms=%lld "
		"failures=%zu term=%llu",
		event, j->row.spec.id, j->row.spec.queue, j->row.spec.workspace,
		(long long)(now - j->accepted_at) / SEAM_MSEC,
		(long long)(j->due_at - j->accepted_at) / SEAM_MSEC,
		(long long)tasks, (long long)work_ms,
		j->first_start_at ?
			(long long)(j->first_start_at - j->accepted_at) /
				SEAM_MSEC :
			-1LL,
		(long long)j->delay[SEAM_DELAY_TURN] / SEAM_MSEC,
		(long long)j->delay[SEAM_DELAY_ROOM] / SEAM_MSEC,
		(long long)j->delay[SEAM_DELAY_LIMIT] / SEAM_MSEC,
		(long long)j->delay[SEAM_DELAY_UNCONFIRMED] / SEAM_MSEC,
		j->row.failures, (unsigned long long)sched->term);
}

/* Counts jobs by the reason of their delay. */
static void count_delayed(struct seam_scheduler *sched,
			  int n[SEAM_DELAY_REASONS])
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_job *j;

	memset(n, 0, SEAM_DELAY_REASONS * sizeof(*n));
	while ((j = seam_table_next(sched->jobs, &h)))
		n[j->delay_reason]++;
}

static const struct seam_run_slot *
first_run(const struct seam_job_task_state *t)
{
	int i;

	for (i = 0; i < SEAM_TASK_RUNS_MAX; i++)
		if (t->run[i].state != SEAM_RUN_FREE)
			return &t->run[i];
	return NULL;
}

/* Returns the worker that is reserved for a step, or NULL. */
static struct seam_worker *reserved_worker(struct seam_scheduler *sched,
					   const struct seam_job *j, int step)
{
	const struct seam_pool_room *room =
		g_hash_table_lookup(sched->pool_rooms, j->row.spec.pool);

	if (!room || !seam_handle_eq(room->reservation.job, j->self) ||
	    room->reservation.step != step)
		return NULL;
	return scheduler_worker(sched, room->reservation.worker);
}

/*
 * Returns what a task without a listed run waits for; @w receives the worker
 * that keeps it waiting, or NULL.
 */
static const char *wait_reason(struct seam_scheduler *sched,
			       const struct seam_job *j, int step, int64_t task,
			       struct seam_worker **w)
{
	const struct seam_job_task_state *t = &j->task[step][task];
	static const char *const delay[] = {"none", "turn", "room", "limit",
					    "unheard"};
	static const char *const run[] = {"free", "start", "listing",
					  "unconfirmed"};
	const struct seam_run_slot *r = first_run(t);
	struct seam_worker *reserved;

	*w = NULL;
	if (r) {
		*w = scheduler_worker(sched, r->worker);
		return r->earlier_process ? "restart" : run[r->state];
	}
	if (seam_now(sched->clock) < t->not_before)
		return "pause";
	*w = scheduler_late_worker(sched, t);
	if (scheduler_late_start_possible(sched, j, step, t))
		return "late_start";
	if (scheduler_waits_for_late_worker(sched, j, step, t))
		return "late_wait";
	reserved = reserved_worker(sched, j, step);
	if (reserved) {
		*w = reserved;
		return "reserved";
	}
	return delay[j->delay_reason];
}

/* Milliseconds from @now to @t; 0 if it has passed. */
static long long ms_left(seam_time t, seam_time now)
{
	return t > now ? (long long)(t - now) / SEAM_MSEC : 0;
}

/*
 * CPU of a pool's usable workers, in thousandths of a core.
 *
 * @largest_free: of the worker with most left
 * @recent_starts: starts of its runs since the last lines
 * @least_started: least need of those
 * @large_job: job of which nothing runs, with the task of the largest need that
 *     waits for room, or NULL; @large_step and @large_task say which
 */
struct pool_room {
	int64_t used;
	int64_t all;
	int64_t largest_free;
	int recent_starts;
	int64_t least_started;
	const struct seam_job *large_job;
	int large_step;
	int64_t large_task;
};

struct start_count {
	struct pool_room *room;
	seam_time since;
};

static void count_start(struct seam_worker *w,
			const struct scheduler_run_ref *at, void *arg)
{
	const struct start_count *c = arg;
	int64_t cpu = at->job->row.spec.step[at->step].need.cpu;

	(void)w;
	if (at->run->sent_at < c->since)
		return;
	if (!c->room->recent_starts++ || cpu < c->room->least_started)
		c->room->least_started = cpu;
}

/* Returns pool to struct pool_room. */
static GHashTable *pool_rooms(struct seam_scheduler *sched)
{
	struct start_count starts = {.since = sched->load.since};
	GHashTable *rooms =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	struct seam_handle h = SEAM_HANDLE_NONE;
	seam_time now = seam_now(sched->clock);
	struct pool_room *room;
	struct seam_worker *w;
	int64_t left;

	while ((w = seam_table_next(sched->workers, &h))) {
		if (!scheduler_worker_usable(w, now))
			continue;
		room = g_hash_table_lookup(rooms, w->info.pool);
		if (!room) {
			room = g_new0(struct pool_room, 1);
			g_hash_table_insert(rooms, w->info.pool, room);
		}
		starts.room = room;
		scheduler_for_each_run(w, count_start, &starts);
		left = scheduler_worker_free(w).cpu;
		room->used += w->used.cpu;
		room->all += w->info.capacity.cpu;
		if (left > room->largest_free)
			room->largest_free = left;
	}
	return rooms;
}

/* Whether most of a pool is free, so that a task there should not wait. */
static bool is_half_free(const struct pool_room *room)
{
	return room && room->all > 2 * room->used;
}

static void log_waiting_task(struct seam_scheduler *sched,
			     const struct seam_job *j, int step, int64_t task,
			     seam_time waited, const struct pool_room *room)
{
	const struct seam_job_task_state *t = &j->task[step][task];
	const struct seam_step *s = &j->row.spec.step[step];
	struct seam_worker *w;
	const char *why = wait_reason(sched, j, step, task, &w);
	seam_time now = seam_now(sched->clock);

	seam_log(
		SEAM_INFO, "waits",
		"event=task_waits job=%s step=%d task=%lld pool=%s why=%s "
		"waited_ms=%lld lasting=%d room=%d need_cpu=%lld "
		"need_memory=%lld per_worker=%lld largest_free_cpu=%lld "
		"pool_used_pct=%d pool_starts=%d worker=%s answered=%d usable=%d "
		"draining=%d listed=%d unheard_ms=%lld lease_left_ms=%lld refused=%d "
		"late_left_ms=%lld late_wait_left_ms=%lld late_starts=%d",
		j->row.spec.id, step, (long long)task, j->row.spec.pool, why,
		(long long)waited / SEAM_MSEC, s->lasting,
		scheduler_room_elsewhere(sched, j, step, NULL),
		(long long)s->need.cpu, (long long)s->need.memory,
		(long long)s->per_worker,
		room ? (long long)room->largest_free : 0LL,
		room && room->all ? (int)(100 * room->used / room->all) : 100,
		room ? room->recent_starts : 0, w ? w->info.id : "",
		w && w->answered, w && scheduler_worker_usable(w, now),
		w && w->info.draining, w && w->listed,
		w ? (long long)scheduler_worker_unheard_time(w) / SEAM_MSEC :
		    0LL,
		w ? (long long)(w->lease_end - now) / SEAM_MSEC : 0LL,
		w && w->answered_token > t->late_token,
		ms_left(t->late_until, now),
		ms_left(scheduler_late_wait_end(sched, j, step, t), now),
		t->late_starts);
}

/* Returns for how long no run of a task was listed. */
static seam_time unlisted_time(const struct seam_job *j, int step, int64_t task,
			       seam_time now)
{
	const struct seam_job_task_state *t = &j->task[step][task];
	const struct seam_run_slot *r = first_run(t);
	seam_time since =
		t->listed_at > j->accepted_at ? t->listed_at : j->accepted_at;

	if (r && r->listed_at > since)
		since = r->listed_at;
	return now - since;
}

static int64_t log_waiting_step(struct seam_scheduler *sched,
				const struct seam_job *j, int step,
				int64_t logged, const struct pool_room *room)
{
	seam_time now = seam_now(sched->clock);
	int64_t n = 0;
	int64_t t;

	for (t = 0; t < j->row.spec.step[step].tasks; t++) {
		seam_time waited = unlisted_time(j, step, t, now);

		if (j->row.done[step][t] || waited < WAIT_LOG_MIN)
			continue;
		if (logged + n++ < WAIT_LINES_MAX)
			log_waiting_task(sched, j, step, t, waited, room);
	}
	return n;
}

/*
 * Whether a worker has confirmed a run of @j that has not ended, and still
 * answers: a run on any other worker may have ended.
 */
static bool has_confirmed_run(struct seam_scheduler *sched,
			      const struct seam_job *j)
{
	const struct seam_run_slot *r;
	const struct seam_worker *w;
	int i;
	int64_t t;

	for (i = 0; i < j->row.spec.steps; i++)
		for (t = 0; t < j->row.spec.step[i].tasks; t++) {
			r = first_run(&j->task[i][t]);
			if (!r || r->state != SEAM_RUN_RUNNING)
				continue;
			w = scheduler_worker(sched, r->worker);
			if (w &&
			    scheduler_worker_unheard_time(w) < WAIT_LOG_MIN)
				return true;
		}
	return false;
}

/*
 * Whether waiting tasks of @step are logged: those that last, and those of a
 * job of which nothing runs because starts got no answer, or though half of its
 * pool is free. The load line counts other jobs that wait for room, for their
 * turn or for a limit.
 */
static bool logs_waiting_step(struct seam_scheduler *sched,
			      const struct seam_job *j, int step,
			      const struct pool_room *room)
{
	if (seam_job_finished(j->row.state) ||
	    !scheduler_step_is_ready(j, step))
		return false;
	if (j->row.spec.step[step].lasting)
		return true;
	return ((j->delay_reason == SEAM_DELAY_UNCONFIRMED && j->begun) ||
		is_half_free(room)) &&
	       !has_confirmed_run(sched, j);
}

/*
 * Notes the first task of @step that has waited for room, if its need is the
 * largest of its pool.
 */
static void note_large_task(struct seam_scheduler *sched,
			    struct pool_room *room, const struct seam_job *j,
			    int step)
{
	const struct seam_step *s = &j->row.spec.step[step];
	seam_time now = seam_now(sched->clock);
	int64_t t;

	/* A pass that found no room for others may not have reached the job. */
	if (s->lasting ||
	    (j->delay_reason != SEAM_DELAY_ROOM &&
	     j->delay_reason != SEAM_DELAY_NONE) ||
	    (room->large_job &&
	     s->need.cpu <= room->large_job->row.spec.step[room->large_step]
				    .need.cpu) ||
	    seam_job_finished(j->row.state) ||
	    !scheduler_step_is_ready(j, step) || has_confirmed_run(sched, j))
		return;
	for (t = j->first_idle[step]; t < s->tasks; t++) {
		if (!scheduler_task_is_idle(j, step, t) ||
		    unlisted_time(j, step, t, now) < WAIT_LOG_MIN)
			continue;
		room->large_job = j;
		room->large_step = step;
		room->large_task = t;
		return;
	}
}

/*
 * Logs, for each pool that goes on starting smaller tasks, the one with the
 * largest need that waits for room; at most a line a pool. Returns how many
 * such pools there are.
 */
static int64_t log_overtaken_tasks(struct seam_scheduler *sched,
				   GHashTable *rooms)
{
	seam_time now = seam_now(sched->clock);
	GHashTableIter it;
	gpointer value;
	int64_t pools = 0;

	g_hash_table_iter_init(&it, rooms);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct pool_room *room = value;
		const struct seam_job *j = room->large_job;

		if (!j || !room->recent_starts ||
		    room->least_started >=
			    j->row.spec.step[room->large_step].need.cpu)
			continue;
		pools++;
		/* Otherwise it has a line already. */
		if (!is_half_free(room))
			log_waiting_task(sched, j, room->large_step,
					 room->large_task,
					 unlisted_time(j, room->large_step,
						       room->large_task, now),
					 room);
	}
	return pools;
}

/* Logs tasks that do not run and what they wait for. */
static void log_waiting_tasks(struct seam_scheduler *sched)
{
	GHashTable *rooms = pool_rooms(sched);
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct pool_room *room;
	struct seam_job *j;
	int64_t lasting = 0;
	int64_t others = 0;
	int64_t beside_room = 0;
	int64_t waiting;
	int i;

	while ((j = seam_table_next(sched->jobs, &h))) {
		room = g_hash_table_lookup(rooms, j->row.spec.pool);
		for (i = 0; i < j->row.spec.steps; i++) {
			if (room)
				note_large_task(sched, room, j, i);
			if (!logs_waiting_step(sched, j, i, room))
				continue;
			waiting = log_waiting_step(sched, j, i,
						   lasting + others, room);
			if (j->row.spec.step[i].lasting) {
				lasting += waiting;
				continue;
			}
			others += waiting;
			if (is_half_free(room))
				beside_room += waiting;
		}
	}
	seam_metric_set(&pools_overtaking, log_overtaken_tasks(sched, rooms));
	g_hash_table_destroy(rooms);
	seam_metric_set(&lasting_waiting, lasting);
	seam_metric_set(&waiting_beside_room, beside_room);
}

/* Returns the lane with the most pending starts, or NULL without any. */
static const struct seam_scheduler_lane *
busiest_lane(const struct seam_scheduler *sched)
{
	const struct seam_scheduler_lane *most = NULL;
	int i;

	for (i = 0; i < sched->lanes; i++)
		if (sched->lane[i].starting > (most ? most->starting : 0))
			most = &sched->lane[i];
	return most;
}

/* Logs what this node sent and received in its calls since the last line. */
static void log_traffic(seam_time over)
{
	struct seam_traffic t[TRAFFIC_KINDS_MAX];
	size_t n = seam_traffic_take(t, TRAFFIC_KINDS_MAX);
	char text[800];

	seam_traffic_format(text, sizeof(text), t, n);
	seam_log(SEAM_INFO, "owner", "event=traffic over_ms=%lld %s",
		 (long long)over / SEAM_MSEC, text);
}

static long long mean_ms(seam_time sum, int64_t n)
{
	return n ? (long long)(sum / n) / SEAM_MSEC : 0;
}

void scheduler_log_load(struct seam_scheduler *sched)
{
	const struct seam_scheduler_lane *l = busiest_lane(sched);
	struct seam_load_stats *m = &sched->load;
	seam_time now = seam_now(sched->clock);
	int delayed[SEAM_DELAY_REASONS];

	if (m->since && now < m->since + LOAD_LOG_INTERVAL)
		return;
	if (m->since) {
		count_delayed(sched, delayed);
		seam_log(
			SEAM_INFO, "owner",
			"event=load over_ms=%lld jobs=%zu "
			"waiting=%lld starting=%d window=%d starts=%lld "
			"start_ms=%lld lost_ms=%lld retried=%lld "
			"unanswered=%lld unsent=%lld lost_runs=%lld lost_heard=%lld "
			"looks=%lld passes=%lld pass_ms=%lld searches=%lld "
			"failed_searches=%lld compared=%lld checks=%lld "
			"surveys=%lld "
			"survey_ms=%lld arrivals=%lld arrival_ms=%lld "
			"turn=%d room=%d "
			"limit=%d unheard=%d crowded=%d busiest_node=%s "
			"node_starting=%d",
			(long long)(now - m->since) / SEAM_MSEC,
			seam_table_count(sched->jobs),
			(long long)sched->waiting, sched->starting,
			(int)sched->window.size, (long long)m->starts,
			mean_ms(m->start_time, m->starts),
			mean_ms(m->lost_time, m->starts), (long long)m->retried,
			(long long)m->unanswered, (long long)m->unsent,
			(long long)m->lost_runs, (long long)m->lost_heard,
			(long long)m->listings, (long long)m->passes,
			(long long)m->pass_time / SEAM_MSEC,
			(long long)m->searches, (long long)m->failed_searches,
			(long long)m->compared, (long long)m->checks,
			(long long)m->surveys,
			(long long)m->survey_time / SEAM_MSEC,
			(long long)m->arrivals,
			mean_ms(m->arrival_time, m->arrivals),
			delayed[SEAM_DELAY_TURN], delayed[SEAM_DELAY_ROOM],
			delayed[SEAM_DELAY_LIMIT],
			delayed[SEAM_DELAY_UNCONFIRMED], sched->overloaded,
			l ? l->info.addr : "", l ? l->starting : 0);
		log_traffic(now - m->since);
		log_waiting_tasks(sched);
	}
	*m = (struct seam_load_stats){.since = now};
}
