#include "process/scheduler_impl.h"
#include "base/metrics.h"
#include "base/log.h"

#include <stdlib.h>
#include <string.h>

#define PAGE_ROWS 400
#define READ_TIMEOUT (2 * SEAM_SEC)
/* Timeout of one watch for changed rows. */
#define WATCH_TIMEOUT (1500 * SEAM_MSEC)
#define RETRY_USEC 100000
/*
 * Pause after changed rows, for each worker. Each of them writes its row every
 * 1.5 s, and without a pause each heartbeat takes a call of its own.
 */
#define WATCH_PAUSE(workers) ((seam_time)(workers)*SEAM_MSEC / 2)
#define WATCH_PAUSE_MAX (100 * SEAM_MSEC)
/*
 * A worker whose row is missing for longer is gone: rows that expired during a
 * store outage are back within two seconds.
 */
#define ROW_GONE_AFTER (2500 * SEAM_MSEC)

/* Interval between checks for expired leases and finished workers. */
#define REAP_INTERVAL (200 * SEAM_MSEC)
/*
 * Delay before a check, to handle changes that arrive together at once: each
 * check looks at all workers, and a rising queue moves hundreds of VMs a
 * second.
 */
#define REAP_DELAY_USEC 20000

SEAM_METRIC(checks, "seam_worker_checks_total",
	    "Checks of all workers for expired leases and lanes.");
SEAM_METRIC(known, "seam_workers", "Workers that the owner knows.");
SEAM_METRIC(lost, "seam_workers_lost_total", "Lives of workers that ended.");

/* Whether the row has been missing for longer than rows expire in an outage. */
bool scheduler_worker_row_is_gone(const struct seam_worker *w, seam_time now)
{
	return !w->listed && now > w->unlisted_at + ROW_GONE_AFTER;
}

bool scheduler_worker_usable(const struct seam_worker *w, seam_time now)
{
	return w->listed && w->contacted &&
	       w->missed_holds < SEAM_MISSED_HOLDS_MAX && !w->info.draining &&
	       !w->vm_gone && !w->retired && now >= w->leaving_until &&
	       now >= w->backoff_until;
}

struct seam_resources scheduler_worker_free(const struct seam_worker *w)
{
	return (struct seam_resources){
		.cpu = w->info.capacity.cpu - w->used.cpu,
		.memory = w->info.capacity.memory - w->used.memory,
		.gpu = w->info.capacity.gpu - w->used.gpu};
}

/*
 * Whether tasks may not be started on @w because runs failed there. These may
 * be the fault of their job, and a lasting task has no attempts to lose.
 */
bool scheduler_worker_is_shunned(const struct seam_worker *w, bool lasting,
				 seam_time now)
{
	return !lasting && now < w->shunned_until;
}

/* Returns for how long the worker has not answered a poll. */
seam_time scheduler_worker_unheard_time(const struct seam_worker *w)
{
	return seam_now(w->sched->clock) - w->heard_at;
}

static void count_lost_run(const struct seam_worker *w)
{
	struct seam_load_stats *m = &w->sched->load;
	seam_time now = seam_now(w->sched->clock);

	m->lost_runs++;
	m->lost_heard +=
		w->listed && now > w->lease_end &&
		scheduler_worker_unheard_time(w) < scheduler_lease(w->sched);
}

void scheduler_run_lost(struct seam_worker *w,
			const struct scheduler_run_ref *at, const char *why)
{
	seam_log(SEAM_INFO, "worker",
		 "event=run_lost worker=%s job=%s step=%d task=%d run=%lld "
		 "why=%s state=%d unheard_ms=%lld",
		 w->info.id, at->job->row.spec.id, at->step, at->task,
		 (long long)at->run->number, why, at->run->state,
		 (long long)scheduler_worker_unheard_time(w) / SEAM_MSEC);
	count_lost_run(w);
	scheduler_run_drop(w->sched, at->job, at->step, at->task, at->run);
}

static void lose_run(struct seam_worker *w, const struct scheduler_run_ref *at,
		     void *arg)
{
	scheduler_run_lost(w, at, arg);
}

/* Ends all runs of an incarnation that is over. */
void scheduler_worker_lost(struct seam_worker *w, const char *why)
{
	guint runs = w->task_refs->len;

	scheduler_drop_orders(w);
	scheduler_for_each_run(w, lose_run, (void *)why);
	seam_metric_add(&lost, 1);
	scheduler_wake_pass(w->sched);
	g_array_set_size(w->task_refs, 0);
	memset(&w->used, 0, sizeof(w->used));
	scheduler_worker_update_free_cpu(w);
	seam_log(SEAM_INFO, "worker",
		 "event=life_over worker=%s pool=%s why=%s runs=%u "
		 "lease_left_ms=%lld",
		 w->info.id, w->info.pool, why, runs,
		 (long long)(w->lease_end - seam_now(w->sched->clock)) /
			 SEAM_MSEC);
}

/*
 * Ends service to a worker. Rows with its id belong to another incarnation from
 * now on.
 */
static void retire(struct seam_scheduler *sched, struct seam_worker *w)
{
	struct seam_handle *h =
		g_hash_table_lookup(sched->worker_of, w->info.id);

	w->retired = true;
	seam_worker_index_remove(sched->worker_index, w->self);
	scheduler_lane_release(w);
	pthread_cond_signal(&sched->reap_wake);
	if (h && seam_handle_eq(*h, w->self))
		g_hash_table_remove(sched->worker_of, w->info.id);
}

/* Whether @w can't run tasks until something else than the time changes. */
static bool is_out_of_service(const struct seam_worker *w)
{
	return !w->listed || !w->contacted || w->info.draining || w->vm_gone ||
	       w->retired;
}

/* Indexes @w by its latest row if it is in service. */
void scheduler_worker_update_index(struct seam_worker *w)
{
	struct seam_worker_index *idx = w->sched->worker_index;

	w->indexed = !is_out_of_service(w);
	if (!w->indexed) {
		seam_worker_index_remove(idx, w->self);
		return;
	}
	seam_worker_index_put(idx, w->self, &w->info,
			      w->info.capacity.cpu - w->used.cpu,
			      w->info.warmup_ms > SEAM_SLOW_MIN_MS);
}

void scheduler_worker_add(struct seam_scheduler *sched,
			  const struct seam_worker_info *info)
{
	struct seam_handle h;
	struct seam_worker *w = seam_table_add(sched->workers, &h);

	if (!w)
		return;
	w->sched = sched;
	w->info = *info;
	w->self = h;
	w->listed = true;
	w->found_at = seam_now(sched->clock);
	w->draining_since = w->found_at;
	/* Its earlier entry may have sent orders with the latest token. */
	w->token = sched->threads ? scheduler_next_token(sched) :
				    sched->worker_token;
	w->lane = -1;
	w->avoid_lane = -1;
	w->uncommitted_ends =
		g_array_new(FALSE, FALSE, sizeof(struct seam_uncommitted_end));
	w->task_refs = g_array_new(FALSE, FALSE, sizeof(struct seam_task_ref));
	g_queue_init(&w->orders);
	g_queue_init(&w->sent);
	seam_log(SEAM_INFO, "worker",
		 "event=worker_found worker=%s vm=%s pool=%s data_centre=%s "
		 "cpu=%lld draining=%d",
		 info->id, info->vm, info->pool, info->dc,
		 (long long)info->capacity.cpu, info->draining);
	g_hash_table_replace(sched->worker_of, g_strdup(w->info.id),
			     g_memdup2(&w->self, sizeof(w->self)));
	scheduler_take_late_starts(w);
	scheduler_worker_update_index(w);
	seam_metric_set(&known, (int64_t)seam_table_count(sched->workers));
	scheduler_request_assignment(sched);
}

static struct seam_worker *find_worker(struct seam_scheduler *sched,
				       const char *id)
{
	struct seam_handle *h = g_hash_table_lookup(sched->worker_of, id);

	return h ? scheduler_worker(sched, *h) : NULL;
}

static void handle_deleted_row(struct seam_scheduler *sched,
			       struct seam_worker *w)
{
	if (!w || !w->listed)
		return;
	w->listed = false;
	w->unlisted_at = seam_now(sched->clock);
	scheduler_worker_update_index(w);
	scheduler_request_assignment(sched);
	seam_log(SEAM_INFO, "worker",
		 "event=row_gone worker=%s draining=%d answered=%d", w->info.id,
		 w->info.draining, w->answered);
}

/*
 * Serves the worker at the address of its latest row. A row that does not tell
 * its process may be of another one.
 */
static void change_address(struct seam_worker *w,
			   const struct seam_worker_info *info)
{
	seam_log(SEAM_INFO, "worker",
		 "event=address_changed worker=%s from=%s to=%s runs=%u",
		 w->info.id, w->info.addr, info->addr, w->task_refs->len);
	if (!info->process_start_ms)
		scheduler_worker_restarted(w, 0, "address");
	scheduler_lane_release(w);
	scheduler_request_assignment(w->sched);
}

static void update_worker(struct seam_scheduler *sched, struct seam_worker *w,
			  const struct seam_worker_info *info)
{
	bool drains = info->draining && !w->info.draining;
	int64_t process_start_ms;

	if (!w->listed)
		scheduler_request_assignment(sched);
	w->listed = true;
	if (!scheduler_accept_row(w, info))
		return;
	if (strcmp(info->addr, w->info.addr))
		change_address(w, info);
	process_start_ms = w->info.process_start_ms;
	w->info = *info;
	w->info.process_start_ms = process_start_ms;
	scheduler_worker_update_index(w);
	if (drains) {
		w->draining_since = seam_now(sched->clock);
		seam_log(SEAM_INFO, "worker",
			 "event=draining worker=%s left_ms=%lld runs=%u",
			 info->id, (long long)info->drain_left_ms,
			 w->task_refs->len);
		scheduler_wake_pass(sched);
	}
}

/*
 * Logs why a row can't be used, unless this is known from an earlier read of
 * the row. Its worker counts as one without a row.
 */
static void handle_unusable_row(struct seam_scheduler *sched,
				struct seam_worker *w, const char *id,
				const char *why)
{
	const char *logged = g_hash_table_lookup(sched->unusable_rows, id);

	if (!logged || strcmp(logged, why)) {
		seam_log(SEAM_WARN, "worker", "event=row_unusable why=\"%s\"",
			 why);
		sched->unusable_rows_logged++;
		g_hash_table_replace(sched->unusable_rows, g_strdup(id),
				     g_strdup(why));
	}
	handle_deleted_row(sched, w);
}

static void apply_row(struct seam_scheduler *sched, const struct seam_row *row)
{
	struct seam_worker_info info;
	struct seam_err e = SEAM_ERR_INIT;
	const char *id = row->key + strlen(sched->ports->worker_rows);
	struct seam_worker *w = find_worker(sched, id);

	if (!row->data) {
		g_hash_table_remove(sched->unusable_rows, id);
		handle_deleted_row(sched, w);
		return;
	}
	if (sched->ports->worker(row->key, row->data, &info, &e)) {
		handle_unusable_row(sched, w, id, e.text);
		return;
	}
	/* The decoder reads the text up to the first NUL byte. */
	if (strlen(row->data) != row->len) {
		seam_fail(&e, SEAM_BAD_REQUEST, "worker row %s: NUL byte",
			  row->key);
		handle_unusable_row(sched, w, id, e.text);
		return;
	}
	g_hash_table_remove(sched->unusable_rows, id);
	if (w)
		update_worker(sched, w, &info);
	else
		scheduler_worker_add(sched, &info);
}

static bool has_row(struct seam_scheduler *sched, const struct seam_rows *rows,
		    const char *id)
{
	size_t i;

	for (i = 0; i < rows->n; i++)
		if (!strcmp(rows->row[i].key +
				    strlen(sched->ports->worker_rows),
			    id))
			return true;
	return false;
}

static void mark_missing(struct seam_scheduler *sched,
			 const struct seam_rows *rows)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_worker *w;
	GHashTableIter it;
	gpointer id;

	while ((w = seam_table_next(sched->workers, &h)))
		if (!has_row(sched, rows, w->info.id))
			handle_deleted_row(sched, w);
	g_hash_table_iter_init(&it, sched->unusable_rows);
	while (g_hash_table_iter_next(&it, &id, NULL))
		if (!has_row(sched, rows, id))
			g_hash_table_iter_remove(&it);
}

/* Reads all rows. Called without the lock. */
static int scan(struct seam_scheduler *sched, struct seam_rows *rows,
		struct seam_err *e)
{
	return seam_store_scan_all(sched->ports->store, sched->clock,
				   sched->ports->worker_rows, PAGE_ROWS,
				   READ_TIMEOUT, rows, e);
}

int scheduler_load_workers(struct seam_scheduler *sched, struct seam_err *e)
{
	struct seam_rows rows;
	size_t i;

	if (scan(sched, &rows, e))
		return -1;
	sched->workers_version = rows.version;
	for (i = 0; i < rows.n; i++)
		apply_row(sched, &rows.row[i]);
	mark_missing(sched, &rows);
	seam_rows_free(&rows);
	return 0;
}

static int rescan(struct seam_scheduler *sched, struct seam_err *e)
{
	struct seam_rows rows;
	size_t i;

	if (scan(sched, &rows, e))
		return -1;
	pthread_mutex_lock(&sched->lock);
	for (i = 0; i < rows.n; i++)
		apply_row(sched, &rows.row[i]);
	mark_missing(sched, &rows);
	pthread_mutex_unlock(&sched->lock);
	sched->workers_version = rows.version;
	seam_rows_free(&rows);
	return 0;
}

static int watch(struct seam_scheduler *sched, struct seam_err *e)
{
	struct seam_rows rows;
	size_t i;

	if (seam_store_watch(sched->ports->store, sched->ports->worker_rows,
			     &sched->workers_version, &rows,
			     seam_now(sched->clock) + WATCH_TIMEOUT, e))
		return -1;
	pthread_mutex_lock(&sched->lock);
	for (i = 0; i < rows.n; i++)
		apply_row(sched, &rows.row[i]);
	pthread_mutex_unlock(&sched->lock);
	seam_rows_free(&rows);
	return 0;
}

/*
 * A run that was never listed may be on a process whose start the owner has not
 * seen, unless its start was answered with the clock that the owner knows. An
 * answered start began by its answer; any other is taken to have begun
 * by the time the worker was last heard, and a lasting task does not wait
 * longer for it than for a late start.
 */
seam_time scheduler_run_lease_end(const struct seam_worker *w,
				  const struct scheduler_run_ref *at)
{
	const struct seam_run_slot *r = at->run;
	bool lasting = at->job->row.spec.step[at->step].lasting;

	if (r->listed_at)
		return w->lease_end;
	if (r->clock_known)
		return w->lease_end + LEASE_MARGIN;
	if (r->state != SEAM_RUN_UNCONFIRMED)
		return scheduler_unheard_lease_end(w, r->running_at);
	if (!lasting || !r->late_until)
		return scheduler_unheard_lease_end(w, 0);
	return scheduler_unconfirmed_end(w, w->answered_token > r->late_token,
					 scheduler_run_wait_end(w, at, r),
					 r->late_until);
}

static void expire_run(struct seam_worker *w,
		       const struct scheduler_run_ref *at, void *arg)
{
	seam_time now = seam_now(w->sched->clock);

	if (now > scheduler_run_lease_end(w, at))
		scheduler_run_lost(w, at,
				   now > w->lease_end ? arg : "wait_over");
}

/*
 * Drops the runs whose leases have expired on a worker that does not answer.
 */
static void expire_runs(struct seam_worker *w)
{
	const char *why = w->listed ? "lease_over" : "gone";

	if (w->answered || !w->lease_end || !w->task_refs->len)
		return;
	scheduler_for_each_run(w, expire_run, (void *)why);
	if (!w->task_refs->len && seam_now(w->sched->clock) > w->lease_end)
		scheduler_worker_lost(w, why);
}

static void free_worker(struct seam_worker *w)
{
	scheduler_drop_orders(w);
	g_array_free(w->uncommitted_ends, TRUE);
	g_array_free(w->task_refs, TRUE);
}

/*
 * Whether the worker is gone. A row also expires while the worker still runs,
 * so its leases have to expire first, and its next process has to be polled
 * while it may carry out a late start.
 */
static bool is_finished(struct seam_scheduler *sched, struct seam_worker *w)
{
	seam_time now = seam_now(sched->clock);

	if (w->listed || w->retired)
		return w->retired;
	/* Late starts of one that is over are not waited for. */
	if (w->gone_at && now <= w->gone_at + START_SEND_MAX + LATE_ORDER_MAX)
		return false;
	return !w->task_refs->len && scheduler_worker_row_is_gone(w, now) &&
	       !scheduler_worker_may_start_late(w);
}

/* Removes runs and workers that are over from the tables. */
static void reap(struct seam_scheduler *sched)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_worker *w;

	while ((w = seam_table_next(sched->workers, &h))) {
		expire_runs(w);
		if (w->indexed == is_out_of_service(w))
			scheduler_worker_update_index(w);
		if (!w->retired && is_finished(sched, w))
			retire(sched, w);
		if (!w->retired)
			continue;
		scheduler_worker_lost(w, "closed");
		free_worker(w);
		seam_table_del(sched->workers, h);
	}
	seam_metric_set(&known, (int64_t)seam_table_count(sched->workers));
}

void *scheduler_reap_loop(void *arg)
{
	struct seam_scheduler *sched = arg;

	pthread_mutex_lock(&sched->lock);
	while (!sched->stop) {
		reap(sched);
		scheduler_update_lanes(sched);
		sched->load.checks++;
		seam_metric_add(&checks, 1);
		seam_wait(sched->clock, &sched->reap_wake, &sched->lock,
			  seam_now(sched->clock) + REAP_INTERVAL);
		pthread_mutex_unlock(&sched->lock);
		g_usleep(REAP_DELAY_USEC);
		pthread_mutex_lock(&sched->lock);
	}
	pthread_mutex_unlock(&sched->lock);
	return NULL;
}

static bool is_stale(struct seam_scheduler *sched)
{
	bool stale;

	pthread_mutex_lock(&sched->lock);
	stale = sched->workers_stale;
	sched->workers_stale = false;
	pthread_mutex_unlock(&sched->lock);
	return stale;
}

static void set_stale(struct seam_scheduler *sched)
{
	pthread_mutex_lock(&sched->lock);
	sched->workers_stale = true;
	pthread_mutex_unlock(&sched->lock);
}

void *scheduler_follow_workers(void *arg)
{
	struct seam_scheduler *sched = arg;
	struct seam_err e = SEAM_ERR_INIT;
	seam_time pause;

	while (!__atomic_load_n(&sched->stop, __ATOMIC_ACQUIRE)) {
		seam_err_clear(&e);
		if (is_stale(sched) ? rescan(sched, &e) : watch(sched, &e)) {
			/* Rows that expired meanwhile are not in the feed. */
			set_stale(sched);
			g_usleep(RETRY_USEC);
		} else {
			pthread_mutex_lock(&sched->lock);
			pause = WATCH_PAUSE(seam_table_count(sched->workers));
			pthread_mutex_unlock(&sched->lock);
			g_usleep((gulong)MIN(pause, WATCH_PAUSE_MAX));
		}
	}
	return NULL;
}

void scheduler_workers_close(struct seam_scheduler *sched)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_worker *w;

	while ((w = seam_table_next(sched->workers, &h)))
		free_worker(w);
}
