/*
 * What the previous owner has left in its row: longer leases of workers, and
 * tasks with a start that may be carried out late.
 */
#include "process/scheduler_handover.h"
#include "base/json.h"
#include "base/log.h"

#include <string.h>

/* Whether the previous owner has left a longer lease that is not over yet. */
bool scheduler_has_long_lease(const struct seam_scheduler *sched,
			      const char *worker, seam_time now)
{
	guint i;

	if (now > sched->long_leases_until)
		return false;
	for (i = 0; i < sched->long_leases->len; i++) {
		const struct seam_long_lease *l = &g_array_index(
			sched->long_leases, struct seam_long_lease, i);

		if (now <= l->until && !strcmp(l->worker, worker))
			return true;
	}
	return false;
}

/*
 * Reads the entry at @i, whose times count from @since; false if it is odd.
 */
static bool read_entry(struct json_object *list, size_t i, const char *name,
		       seam_time max, seam_time since, struct handover_entry *e)
{
	struct json_object *o = json_object_array_get_idx(list, i);
	const char *worker = seam_json_str(o, "worker", "");
	const char *text = seam_json_str(o, name, "");
	int64_t left = seam_json_int(o, "left_ms", 0);
	int64_t wait = seam_json_int(o, "wait_ms", -1);

	if (!*worker || !*text || strlen(worker) >= SEAM_NAME_SIZE ||
	    strlen(text) >= SEAM_NAME_SIZE || left <= 0)
		return false;
	g_strlcpy(e->worker, worker, sizeof(e->worker));
	g_strlcpy(e->name, text, sizeof(e->name));
	e->run = seam_json_int(o, "run", 0);
	e->until = since + (left < max / SEAM_MSEC ? left * SEAM_MSEC : max);
	e->wait_until = scheduler_late_sent_at(e->until) + LATE_START_WAIT;
	if (wait >= 0 && wait < LATE_START_WAIT / SEAM_MSEC)
		e->wait_until = since + wait * SEAM_MSEC;
	return true;
}

static void take_worker(struct seam_scheduler *sched,
			const struct handover_entry *e)
{
	struct seam_worker *w = scheduler_find_worker(sched, e->worker);
	struct seam_long_lease l = {.until = e->until};

	g_strlcpy(l.worker, e->worker, sizeof(l.worker));
	g_strlcpy(l.pool, e->name, sizeof(l.pool));
	g_array_append_val(sched->long_leases, l);
	if (w && e->until > w->lease_end)
		w->lease_end = e->until;
	if (e->until > sched->long_leases_until)
		sched->long_leases_until = e->until;
}

static void bind_late_start(struct seam_job_task_state *t,
			    struct seam_worker *w, seam_time late_until)
{
	t->late_worker = w->self;
	if (late_until > w->late_until)
		w->late_until = late_until;
	/* A worker that can't be asked has its longest lease from then on. */
	w->heard_at = w->sched->opened_at;
}

/* Binds the late starts on a worker that has come back under its id. */
void scheduler_take_late_starts(struct seam_worker *w)
{
	GArray *list = w->sched->absent_late_starts;
	guint i;

	for (i = list->len; i-- > 0;) {
		const struct seam_absent_late_start *a =
			&g_array_index(list, struct seam_absent_late_start, i);
		struct seam_job_task_state *t =
			handover_absent_task(w->sched, a);

		if (strcmp(a->worker, w->info.id))
			continue;
		if (t && seam_now(w->sched->clock) < t->late_until)
			bind_late_start(t, w, t->late_until);
		g_array_remove_index_fast(list, i);
	}
}

static void add_absent_late_start(struct seam_scheduler *sched,
				  const char *worker, const struct seam_job *j,
				  int step, int task)
{
	struct seam_absent_late_start a = {.task = {j->self, step, task}};

	g_strlcpy(a.worker, worker, sizeof(a.worker));
	g_array_append_val(sched->absent_late_starts, a);
}

static void take_task(struct seam_scheduler *sched,
		      const struct handover_entry *e)
{
	struct seam_worker *w = scheduler_find_worker(sched, e->worker);
	seam_time wait_max =
		sched->election->heartbeat_seen_at + LATE_START_WAIT;
	struct seam_job_task_state *t;
	struct seam_job *j;
	int step;
	int task;

	if (!scheduler_task_parse(sched, e->name, &j, &step, &task))
		return;
	t = &j->task[step][task];
	/* A task may be named twice, by a run and by the one before. */
	if (t->late_until >= e->until)
		return;
	if (w)
		bind_late_start(t, w, e->until);
	else
		add_absent_late_start(sched, e->worker, j, step, task);
	t->late_until = e->until;
	t->late_since = (e->wait_until < wait_max ? e->wait_until : wait_max) -
			LATE_START_WAIT;
	t->late_run = e->run;
	/* Every token of this term is later. */
	t->late_token = sched->term - 1;
	if (e->until > sched->late_starts_until)
		sched->late_starts_until = e->until;
}

/*
 * Returns the time from which the times of the row count. It is not known for a
 * row of an owner whose heartbeats this node has not read, or that told no
 * clock; the row was written before it is read.
 */
static seam_time row_time(struct seam_scheduler *sched, struct json_object *o)
{
	seam_time now = seam_now(sched->clock);
	seam_time at = seam_json_int(o, "clock_us", 0);
	uint64_t term = (uint64_t)seam_json_int(o, "term", 0);

	if (seam_election_from_prior_clock(sched->election, term, &at) ||
	    at > now)
		return now;
	return at;
}

/*
 * Takes the entries of one list that are not over; their times count from
 * @since. Returns the number of those that are odd.
 */
static size_t take_entries(struct seam_scheduler *sched,
			   struct json_object *list, const char *name,
			   size_t entries_max, seam_time max, seam_time since,
			   void (*take)(struct seam_scheduler *sched,
					const struct handover_entry *e))
{
	seam_time now = seam_now(sched->clock);
	size_t n = seam_json_array_length(list);
	size_t odd = n > entries_max ? n - entries_max : 0;
	struct handover_entry e;
	size_t i;

	for (i = 0; i < n && i < entries_max; i++) {
		if (!read_entry(list, i, name, max, since, &e)) {
			odd++;
			continue;
		}
		if (e.until > now)
			take(sched, &e);
	}
	return odd;
}

/* Takes the entries of the row; returns their number. */
static size_t take_row(struct seam_scheduler *sched, const char *text)
{
	struct json_object *o = json_tokener_parse(text);
	struct json_object *workers = seam_json_member(o, "workers");
	struct json_object *tasks = seam_json_member(o, "tasks");
	size_t entries =
		seam_json_array_length(workers) + seam_json_array_length(tasks);
	seam_time since = row_time(sched, o);
	size_t odd = 0;

	if (!json_object_is_type(workers, json_type_array) ||
	    !json_object_is_type(tasks, json_type_array))
		seam_log(SEAM_ERROR, "owner",
			 "event=row_unreadable row=" HANDOVER_ROW
			 " why=\"workers and tasks must be lists\"");
	odd += take_entries(sched, workers, "pool", HANDOVER_WORKERS_MAX,
			    scheduler_longest_lease(sched, 0), since,
			    take_worker);
	odd += take_entries(sched, tasks, "task", HANDOVER_TASKS_MAX,
			    START_SEND_MAX + LATE_ORDER_MAX, since, take_task);
	if (odd)
		seam_log(SEAM_ERROR, "owner",
			 "event=row_elements_ignored row=" HANDOVER_ROW
			 " elements=%zu",
			 odd);
	seam_log(SEAM_INFO, "owner",
		 "event=handover_read workers=%zu tasks=%zu age_ms=%lld",
		 seam_json_array_length(workers), seam_json_array_length(tasks),
		 (long long)(seam_now(sched->clock) - since) / SEAM_MSEC);
	json_object_put(o);
	return entries;
}

/* Reads the row of the previous owner, after jobs and workers. */
int scheduler_load_handover(struct seam_scheduler *sched, struct seam_err *e)
{
	struct seam_row row = {.data = NULL};
	size_t entries = 0;

	if (seam_store_get(sched->ports->store, HANDOVER_ROW, &row,
			   seam_now(sched->clock) + STORE_TIMEOUT, e)) {
		if (e->kind != SEAM_NOT_FOUND)
			return -1;
		seam_err_clear(e);
	}
	if (row.data)
		entries = take_row(sched, row.data);
	handover_loaded(sched, entries);
	seam_row_free(&row);
	return 0;
}
