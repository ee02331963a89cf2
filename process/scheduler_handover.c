/*
 * Row for the next owner: workers whose leases may outlast those that the owner
 * gives, and tasks with a start that may be carried out late. Times are stored
 * as what is left of them at a time of the owner's clock, which the heartbeats
 * of its term tell to the next owner. They do not depend on when the row is
 * written or read.
 */
#include "process/scheduler_handover.h"
#include "base/json.h"
#include "base/log.h"

#include <stdlib.h>
#include <string.h>

/* Minimum time between two writes of the row. */
#define SAVE_INTERVAL (500 * SEAM_MSEC)
/*
 * The platform takes rows of 64 KiB, with the commit's token; the rest is for
 * the frame of the lists. This holds 400 tasks whose workers have names of 63
 * characters.
 */
#define ENTRIES_BYTES_MAX (60u << 10)

/* The entries of the row that are being collected. */
struct handover {
	struct seam_scheduler *sched;
	seam_time now;
	bool closing; /* runs without an answer or a listing count as well */
	GArray *workers; /* struct handover_entry */
	GArray *tasks; /* struct handover_entry */
};

static void add_entry(GArray *list, const char *worker, const char *name,
		      const struct handover_entry *with)
{
	struct handover_entry e = *with;

	g_strlcpy(e.worker, worker, sizeof(e.worker));
	g_strlcpy(e.name, name, sizeof(e.name));
	g_array_append_val(list, e);
}

static void add_worker(struct handover *h, const char *worker, const char *pool,
		       seam_time until)
{
	const struct handover_entry e = {.until = until};

	add_entry(h->workers, worker, pool, &e);
}

static void add_task(struct handover *h, const struct seam_job *j, int step,
		     int task, const char *worker,
		     const struct handover_entry *with)
{
	char name[SEAM_TASK_NAME_SIZE];

	if (with->until <= h->now)
		return;
	scheduler_task_name(j, step, task, name);
	add_entry(h->tasks, worker, name, with);
}

/*
 * Returns what is left of a late start that is the latest of its task. The next
 * owner sees for itself whether the job is at work.
 */
static struct handover_entry late_entry(const struct handover *h,
					const struct seam_job *j, int step,
					const struct seam_job_task_state *t)
{
	struct handover_entry e = {.until = t->late_until,
				   .wait_until =
					   t->late_since + LATE_START_WAIT,
				   .run = t->late_run};

	if (j->row.spec.step[step].lasting)
		e.wait_until = scheduler_late_wait_end(h->sched, j, step, t);
	return e;
}

/*
 * Returns by when a start of a run can't come any more; 0 if none is late. What
 * the previous owner left of its own runs is kept with their tasks.
 */
static seam_time late_start_end(const struct handover *h,
				const struct seam_job_task_state *t,
				const struct seam_run_slot *r)
{
	if (r->number < (int64_t)h->sched->term * SEAM_RUNS_PER_TERM &&
	    r->number != t->late_run)
		return 0;
	if (h->closing && r->state != SEAM_RUN_RUNNING &&
	    r->late_until < r->sent_at + START_SEND_MAX + LATE_ORDER_MAX)
		return r->sent_at + START_SEND_MAX + LATE_ORDER_MAX;
	return r->late_until;
}

/* Adds the start of a run on @w if it may come late. */
static void add_late_run(struct handover *h, const struct seam_worker *w,
			 const struct scheduler_run_ref *at)
{
	const struct seam_job_task_state *t =
		&at->job->task[at->step][at->task];
	struct seam_run_slot late = *at->run;
	struct handover_entry e = {.run = late.spent ? 0 : late.number};

	late.late_until = late_start_end(h, t, at->run);
	e.until = late.late_until;
	e.wait_until = scheduler_run_wait_end(w, at, &late);
	add_task(h, at->job, at->step, at->task, w->info.id, &e);
}

/* Adds late starts of runs on @w; returns the end of the longest lease there.
 */
static seam_time add_runs(struct handover *h, const struct seam_worker *w)
{
	seam_time until = w->long_lease_until;
	guint i;
	int k;

	for (i = 0; i < w->task_refs->len; i++) {
		const struct seam_task_ref *t =
			&g_array_index(w->task_refs, struct seam_task_ref, i);
		struct seam_job *j = scheduler_job(h->sched, t->job);

		for (k = 0; j && k < SEAM_TASK_RUNS_MAX; k++) {
			const struct scheduler_run_ref at = {
				j, t->step, t->task,
				&j->task[t->step][t->task].run[k]};
			const struct seam_run_slot *r = at.run;
			seam_time end = scheduler_run_lease_end(w, &at);

			if (r->state == SEAM_RUN_FREE ||
			    !seam_handle_eq(r->worker, w->self))
				continue;
			add_late_run(h, w, &at);
			if (h->closing && !r->listed_at && end > until)
				until = end;
		}
	}
	return until;
}

/*
 * Adds workers with a longer lease than the next owner reckons with for all
 * workers.
 */
static void add_workers(struct handover *h)
{
	seam_time usual =
		h->now + scheduler_longest_on_worker(scheduler_lease(h->sched));
	struct seam_handle at = SEAM_HANDLE_NONE;
	const struct seam_worker *w;

	while ((w = seam_table_next(h->sched->workers, &at))) {
		seam_time until = add_runs(h, w);

		if (!w->vm_gone && !w->retired && until > usual)
			add_worker(h, w->info.id, w->info.pool, until);
	}
}

/* Adds what the previous owner left and no worker has answered yet. */
static void add_inherited(struct handover *h)
{
	const GArray *list = h->sched->long_leases;
	guint i;

	for (i = 0; i < list->len; i++) {
		const struct seam_long_lease *l =
			&g_array_index(list, struct seam_long_lease, i);
		const struct seam_worker *w =
			scheduler_find_worker(h->sched, l->worker);

		if (h->now <= l->until &&
		    (!w || scheduler_may_run_prior_tasks(w)))
			add_worker(h, l->worker, l->pool, l->until);
	}
}

/* Adds the task if a start of an earlier run of it may come late. */
static void add_idle_task(struct handover *h, const struct seam_job *j,
			  int step, int task)
{
	const struct seam_job_task_state *t = &j->task[step][task];
	const struct seam_worker *w = scheduler_late_worker(h->sched, t);
	const struct handover_entry e = late_entry(h, j, step, t);

	if (w && !w->vm_gone)
		add_task(h, j, step, task, w->info.id, &e);
}

static void add_tasks(struct handover *h)
{
	struct seam_scheduler *sched = h->sched;
	struct seam_handle at = SEAM_HANDLE_NONE;
	const struct seam_job *j;
	int64_t t;
	int i;

	if (h->now >= sched->late_starts_until)
		return;
	while ((j = seam_table_next(sched->jobs, &at)))
		for (i = 0; i < j->row.spec.steps; i++)
			for (t = 0; t < j->row.spec.step[i].tasks; t++)
				add_idle_task(h, j, i, (int)t);
}

struct seam_job_task_state *
handover_absent_task(struct seam_scheduler *sched,
		     const struct seam_absent_late_start *a)
{
	struct seam_job *j = scheduler_job(sched, a->task.job);
	struct seam_job_task_state *t;

	if (!j)
		return NULL;
	t = &j->task[a->task.step][a->task.task];
	return seam_handle_eq(t->late_worker, SEAM_HANDLE_NONE) ? t : NULL;
}

/* Adds tasks with late starts on workers that have not come back. */
static void add_absent(struct handover *h)
{
	const GArray *list = h->sched->absent_late_starts;
	guint i;

	for (i = 0; i < list->len; i++) {
		const struct seam_absent_late_start *a =
			&g_array_index(list, struct seam_absent_late_start, i);
		const struct seam_job_task_state *t =
			handover_absent_task(h->sched, a);
		const struct seam_job *j = scheduler_job(h->sched, a->task.job);
		struct handover_entry e;

		if (!t)
			continue;
		e = late_entry(h, j, a->task.step, t);
		add_task(h, j, a->task.step, a->task.task, a->worker, &e);
	}
}

static int compare_entries(gconstpointer a, gconstpointer b)
{
	const struct handover_entry *x = a;
	const struct handover_entry *y = b;

	if (x->until != y->until)
		return x->until < y->until ? 1 : -1;
	return strcmp(x->name, y->name);
}

static struct json_object *entry_to_json(const struct handover_entry *e,
					 const char *name, seam_time since)
{
	struct json_object *o = json_object_new_object();

	seam_json_add_str(o, "worker", e->worker);
	seam_json_add_str(o, name, e->name);
	seam_json_add_int(o, "left_ms", (e->until - since) / SEAM_MSEC + 1);
	/* The reader knows the end of any other wait from that of the start. */
	if (e->wait_until &&
	    e->wait_until != scheduler_late_sent_at(e->until) + LATE_START_WAIT)
		seam_json_add_int(o, "wait_ms",
				  e->wait_until > since ?
					  (e->wait_until - since) / SEAM_MSEC :
					  0);
	if (e->run)
		seam_json_add_int(o, "run", e->run);
	return o;
}

/*
 * Keeps the entries with the most time left, as far as @max entries and @bytes
 * allow, and takes their size from @bytes. Returns the number of others.
 */
static guint limit_entries(GArray *list, const char *name, guint max,
			   seam_time since, size_t *bytes)
{
	guint all = list->len;
	guint n;

	g_array_sort(list, compare_entries);
	for (n = 0; n < all && n < max; n++) {
		struct json_object *o = entry_to_json(
			&g_array_index(list, struct handover_entry, n), name,
			since);
		/* One more for the comma. */
		size_t size = 1 + strlen(json_object_to_json_string_ext(
					  o, JSON_C_TO_STRING_PLAIN));

		json_object_put(o);
		if (size > *bytes)
			break;
		*bytes -= size;
	}
	g_array_set_size(list, n);
	return all - n;
}

/* Logs the entries that have no place in the row, once for each number. */
static void log_dropped(struct seam_scheduler *sched, guint workers,
			guint tasks)
{
	if (workers + tasks == sched->handover_dropped)
		return;
	sched->handover_dropped = workers + tasks;
	if (workers + tasks)
		seam_log(SEAM_WARN, "owner",
			 "event=handover_limited workers=%u tasks=%u", workers,
			 tasks);
}

static struct json_object *entries_to_json(const GArray *list, const char *name,
					   seam_time since)
{
	struct json_object *a = json_object_new_array();
	guint i;

	for (i = 0; i < list->len; i++)
		json_object_array_add(
			a,
			entry_to_json(
				&g_array_index(list, struct handover_entry, i),
				name, since));
	return a;
}

/* Returns the text of the row with all times counted from @since. */
static char *row_text(const struct handover *h, seam_time since)
{
	struct json_object *o = json_object_new_object();
	char *text;

	seam_json_add_int(o, "term", (int64_t)h->sched->term);
	seam_json_add_int(o, "clock_us", since);
	json_object_object_add(o, "workers",
			       entries_to_json(h->workers, "pool", since));
	json_object_object_add(o, "tasks",
			       entries_to_json(h->tasks, "task", since));
	text = g_strdup(
		json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN));
	json_object_put(o);
	return text;
}

/*
 * Collects the entries under the lock. @content receives the row with times of
 * the owner's clock, which are the same as long as the entries are.
 */
static char *collect(struct seam_scheduler *sched, bool closing, char **content)
{
	struct handover h = {
		.sched = sched,
		.now = seam_now(sched->clock),
		.closing = closing,
		.workers = g_array_new(FALSE, FALSE,
				       sizeof(struct handover_entry)),
		.tasks = g_array_new(FALSE, FALSE,
				     sizeof(struct handover_entry))};
	size_t bytes = ENTRIES_BYTES_MAX;
	char *text;
	guint dropped;

	pthread_mutex_lock(&sched->lock);
	add_workers(&h);
	add_inherited(&h);
	add_tasks(&h);
	add_absent(&h);
	pthread_mutex_unlock(&sched->lock);
	dropped = limit_entries(h.workers, "pool", HANDOVER_WORKERS_MAX, h.now,
				&bytes);
	log_dropped(sched, dropped,
		    limit_entries(h.tasks, "task", HANDOVER_TASKS_MAX, h.now,
				  &bytes));
	text = row_text(&h, h.now);
	*content = row_text(&h, 0);
	g_array_free(h.workers, TRUE);
	g_array_free(h.tasks, TRUE);
	return text;
}

static void save(struct seam_scheduler *sched, bool closing)
{
	seam_time now = seam_now(sched->clock);
	struct seam_row_writer *row = &sched->handover_row;
	char *content;
	char *text;
	bool changed;

	if (!sched->handover_loaded ||
	    (!closing && now < sched->handover_saved_at + SAVE_INTERVAL))
		return;
	sched->handover_saved_at = now;
	text = collect(sched, closing, &content);
	changed = seam_row_writer_is_unsettled(row) ||
		  g_strcmp0(content, sched->handover);
	if (changed && !scheduler_put_row(sched, row, HANDOVER_ROW, text)) {
		g_free(sched->handover);
		sched->handover = content;
		content = NULL;
	}
	g_free(content);
	g_free(text);
}

/*
 * Writes the row if its entries have changed; the last time with @closing.
 * Called without the scheduler's lock.
 */
void scheduler_save_handover(struct seam_scheduler *sched, bool closing)
{
	pthread_mutex_lock(&sched->handover_lock);
	save(sched, closing);
	if (closing)
		sched->handover_loaded = false;
	pthread_mutex_unlock(&sched->handover_lock);
}

/* A row without entries stays as it is while there are none. */
void handover_loaded(struct seam_scheduler *sched, size_t entries)
{
	if (!entries)
		g_free(collect(sched, false, &sched->handover));
	sched->handover_loaded = true;
}
