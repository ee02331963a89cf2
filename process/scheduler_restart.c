/*
 * Tells the processes of a worker apart. A worker may start again under its id;
 * rows and answers of an earlier process can arrive after those of a later one.
 */
#include "process/scheduler_impl.h"
#include "base/metrics.h"
#include "base/log.h"

SEAM_METRIC(restarts, "seam_worker_restarts_total",
	    "Restarts of workers under the same id.");

static bool is_past_process(const struct seam_worker *w,
			    int64_t process_start_ms)
{
	int i;

	for (i = 0; i < SEAM_PAST_PROCESSES; i++)
		if (w->past_process_ms[i] == process_start_ms)
			return true;
	return false;
}

/*
 * Returns the token after @token. The number after the term is left out: a node
 * of a version that counts terms by one may claim it.
 */
static uint64_t token_after(struct seam_scheduler *sched, uint64_t token)
{
	uint64_t next = token == sched->term ? token + 2 : token + 1;

	if (next < sched->term + SEAM_ELECTION_TERM_STEP)
		return next;
	seam_log(SEAM_ERROR, "worker", "event=no_token term=%llu",
		 (unsigned long long)sched->term);
	return token;
}

/*
 * Returns a fencing token for a new process of a worker, later than those of
 * all workers. The process has not seen it, and the tokens of the next term are
 * higher.
 */
uint64_t scheduler_next_token(struct seam_scheduler *sched)
{
	sched->worker_token = token_after(sched, sched->worker_token);
	return sched->worker_token;
}

/* Gives the current process of a worker a later token. */
void scheduler_raise_token(struct seam_worker *w)
{
	struct seam_scheduler *sched = w->sched;

	w->token = token_after(sched, w->token);
	if (w->token > sched->worker_token)
		sched->worker_token = w->token;
}

/* Orders that were sent to the earlier process get no answer any more. */
static void give_up_sent_orders(struct seam_worker *w)
{
	struct seam_order *o;

	while ((o = g_queue_pop_head(&w->sent))) {
		scheduler_order_unanswered(w, o);
		g_free(o);
	}
}

/*
 * A run that the earlier process listed, and whose starts were all answered,
 * has ended with it. Any other may be on the new process already, or start
 * there late, until that process has seen its token.
 */
static void leave_earlier_process(struct seam_worker *w,
				  const struct scheduler_run_ref *at, void *arg)
{
	struct seam_run_slot *r = at->run;
	bool answered = seam_now(w->sched->clock) >= r->late_until;

	(void)arg;
	if (r->state == SEAM_RUN_SENT && answered)
		return;
	if (r->state == SEAM_RUN_RUNNING && r->listed_at && answered) {
		scheduler_run_lost(w, at, "restarted");
		return;
	}
	scheduler_note_ran(&at->job->task[at->step][at->task], r);
	scheduler_run_set_state(w->sched, r, SEAM_RUN_UNCONFIRMED);
	r->earlier_process = true;
	r->listed_at = 0;
	r->clock_known = false;
	r->stopped_at = SEAM_NEVER;
	r->stop_retry_at = 0;
}

/* Handles a restart of the worker, whose new process knows nothing of before.
 */
void scheduler_worker_restarted(struct seam_worker *w, int64_t process_start_ms,
				const char *source)
{
	guint runs = w->task_refs->len;

	give_up_sent_orders(w);
	scheduler_for_each_run(w, leave_earlier_process, NULL);
	seam_metric_add(&restarts, 1);
	w->past_process_ms[w->restarts++ % SEAM_PAST_PROCESSES] =
		w->info.process_start_ms;
	w->token = scheduler_next_token(w->sched);
	seam_log(SEAM_INFO, "worker",
		 "event=restarted worker=%s pool=%s runs=%u kept=%u source=%s "
		 "process=%lld previous=%lld token=%llu",
		 w->info.id, w->info.pool, runs, w->task_refs->len, source,
		 (long long)process_start_ms,
		 (long long)w->info.process_start_ms,
		 (unsigned long long)w->token);
	w->info.process_start_ms = process_start_ms;
	w->process_known_at = seam_now(w->sched->clock);
	w->disturbed_at = w->answered ? w->heard_at : w->process_known_at;
	w->listing_known = false;
	w->seen_end = 0;
	w->acked = 0;
	w->clock_at = 0;
	w->lease_end = scheduler_longest_lease(w->sched, w->process_known_at);
	w->long_lease_until = w->lease_end;
	w->contacted = false;
	w->answered_token = 0;
	w->heard_at = w->process_known_at;
	w->answered = false;
	w->missed_holds = 0;
	w->failures = 0;
	w->start_unanswered = false;
	g_array_set_size(w->uncommitted_ends, 0);
	if (w->vm_gone)
		scheduler_request_assignment(w->sched);
	w->vm_gone = false;
	w->vm_was_empty = false;
	w->lease_sent_at = 0;
	scheduler_lane_wake(w);
	scheduler_wake_pass(w->sched);
}

static void log_other_process(const struct seam_worker *w,
			      int64_t process_start_ms, const char *source)
{
	seam_log(SEAM_INFO, "worker",
		 "event=other_process worker=%s source=%s process=%lld "
		 "current=%lld",
		 w->info.id, source, (long long)process_start_ms,
		 (long long)w->info.process_start_ms);
}

/*
 * Whether a listing that was requested at @sent_at is of the current process;
 * handles a restart that it shows. Only a request that was sent after the
 * current process was known proves that another one is later: start times go by
 * clocks that can be set back.
 */
bool scheduler_accept_listing(struct seam_worker *w, int64_t process_start_ms,
			      seam_time sent_at)
{
	if (!process_start_ms || process_start_ms == w->info.process_start_ms)
		return process_start_ms || sent_at >= w->process_known_at;
	if (!w->info.process_start_ms) {
		w->info.process_start_ms = process_start_ms;
		return true;
	}
	if (sent_at < w->process_known_at) {
		log_other_process(w, process_start_ms, "listing");
		return false;
	}
	/* The row of this process was ignored, so it is read again. */
	if (process_start_ms == w->ignored_process_ms)
		w->sched->workers_stale = true;
	scheduler_worker_restarted(w, process_start_ms, "listing");
	return true;
}

/*
 * Whether a row is of the current process; handles a restart that it shows. The
 * rows of a process can be read after the answers of the next one.
 */
bool scheduler_accept_row(struct seam_worker *w,
			  const struct seam_worker_info *info)
{
	int64_t current = w->info.process_start_ms;

	if (!info->process_start_ms || info->process_start_ms == current)
		return true;
	if (!current) {
		w->info.process_start_ms = info->process_start_ms;
		return true;
	}
	if (info->process_start_ms < current ||
	    is_past_process(w, info->process_start_ms)) {
		w->ignored_process_ms = info->process_start_ms;
		log_other_process(w, info->process_start_ms, "row");
		return false;
	}
	scheduler_worker_restarted(w, info->process_start_ms, "row");
	return true;
}
