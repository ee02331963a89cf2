/*
 * Handles the answers of workers to holds and orders, as reported by the nodes
 * that serve them.
 */
#include "process/answer_time.h"
#include "process/scheduler_impl.h"
#include "base/metrics.h"
#include "base/log.h"

#include <string.h>

#define UNHEALTHY_BACKOFF (1 * SEAM_SEC)
#define NO_ROOM_BACKOFF (150 * SEAM_MSEC)
/* A lane loses answers if it had this evidence within this time. */
#define LOSS_SEEN_MAX (2 * SEAM_SEC)
/* A silent worker stays for so long on a lane that loses answers. Its lease
 * outlasts a move after that. */
#define LOSSY_UNHEARD_MAX (2 * SEAM_SEC)

SEAM_METRIC(no_room, "seam_starts_no_room_total",
	    "Starts that workers refused for want of room.");
SEAM_METRIC(unanswered, "seam_starts_unsure_total",
	    "Starts without an answer.");

/*
 * Longest time in which a worker's clock advances by @t: it runs at least 98%
 * as fast as the owner's.
 */
seam_time scheduler_longest_on_worker(seam_time t)
{
	return t + t / (CLOCK_DRIFT_DIVISOR - 1) + LEASE_MARGIN;
}

/*
 * Returns by when a lease has certainly expired that a worker took at @now at
 * the latest from an order for another process. Such an order names a time of
 * another clock, so the lease may be the longest that workers take.
 */
seam_time scheduler_longest_lease(const struct seam_scheduler *sched,
				  seam_time now)
{
	return now + scheduler_longest_on_worker(sched->conf.lease_max);
}

/*
 * Returns by when the leases of a worker that does not answer have expired:
 * those that the owner gave, and one that a process of it may have taken from
 * an order for another process, at @begun or when it was last heard. A lease
 * that a process takes later, from an order that is carried out late, is not
 * covered: waiting for it would take 18 s.
 */
seam_time scheduler_unheard_lease_end(const struct seam_worker *w,
				      seam_time begun)
{
	seam_time heard = w->heard_at > begun ? w->heard_at : begun;
	seam_time end = heard ? scheduler_longest_lease(w->sched, heard) : 0;

	return end > w->lease_end ? end : w->lease_end;
}

/*
 * Returns the end of a new lease by the worker's clock in milliseconds, and
 * notes by when it has certainly expired here.
 */
int64_t scheduler_new_lease(struct seam_worker *w, seam_time now)
{
	seam_time since = now - w->clock_at;
	seam_time lease = scheduler_lease(w->sched);
	seam_time end =
		w->clock_at + scheduler_longest_on_worker(since + lease);

	if (end > w->lease_end)
		w->lease_end = end;
	return w->clock_ms + (since + lease) / SEAM_MSEC;
}

static void update_clock(struct seam_worker *w, int64_t clock_ms, seam_time now)
{
	w->clock_ms = clock_ms;
	w->clock_at = now;
}

static void handle_refused_hold(struct seam_worker *w,
				enum seam_order_outcome outcome)
{
	struct seam_scheduler *sched = w->sched;

	w->answered = false;
	w->missed_holds = SEAM_MISSED_HOLDS_MAX;
	if (outcome == SEAM_ORDER_WRONG_INCARNATION)
		scheduler_worker_replaced(w, "replaced");
	if (outcome == SEAM_ORDER_FENCED)
		seam_log(SEAM_WARN, "worker",
			 "event=hold_fenced worker=%s term=%llu", w->info.id,
			 (unsigned long long)sched->term);
}

void scheduler_hold_answered(struct seam_worker *w,
			     const struct seam_lane_event *v)
{
	struct seam_scheduler *sched = w->sched;
	const struct seam_listing *l = &v->listing;
	seam_time now = seam_now(sched->clock);
	uint64_t token = v->token ? v->token : sched->term;
	bool fenced;
	bool read;

	if (!scheduler_accept_listing(w, l->process_start_ms, v->sent_at)) {
		w->listing_known = false;
		return;
	}
	/* An end that is not listed yet leaves its run out of the listing. */
	read = (!v->unchanged || w->listing_known) && !l->more_ends;
	/* What a listing proves holds only with the runs that it has. */
	fenced = read && token >= w->token;
	if (read && token > w->answered_token)
		w->answered_token = token;
	w->heard_at = now;
	if (!w->contacted || w->missed_holds >= SEAM_MISSED_HOLDS_MAX)
		w->steady_since = now;
	if ((fenced && !w->contacted) || !w->answered)
		scheduler_wake_pass(sched);
	if (fenced && !w->contacted) {
		w->contacted = true;
		scheduler_worker_update_index(w);
		scheduler_vm_arrived(w);
		w->lease_end = scheduler_longest_lease(sched, now);
		w->long_lease_until = w->lease_end;
	}
	w->answered = true;
	w->missed_holds = 0;
	w->avoid_lane = -1;
	update_clock(w, l->clock_ms, now);
	if (!v->unchanged)
		scheduler_apply_listing(sched, w, l, v->sent_at);
	else if (read)
		scheduler_apply_unchanged(sched, w, v->sent_at);
}

/* What silenced the worker began after its latest answer. */
static void note_silence(struct seam_worker *w)
{
	if (w->contacted && w->missed_holds == SEAM_MISSED_HOLDS_MAX &&
	    w->heard_at >= w->steady_since + STEADY_MIN)
		w->disturbed_at = w->heard_at;
}

/*
 * Whether a silent worker is left to its node. Where answers are lost, another
 * node is as likely to lose them, and does not know yet that it does: it polls
 * the worker less often than the node that has noticed.
 */
static bool stays_on_lane(const struct seam_worker *w)
{
	seam_time now = seam_now(w->sched->clock);

	return w->lane >= 0 &&
	       now < w->sched->lane[w->lane].loss_seen_at + LOSS_SEEN_MAX &&
	       now < w->heard_at + LOSSY_UNHEARD_MAX;
}

void scheduler_hold_failed(struct seam_worker *w,
			   const struct seam_lane_event *v)
{
	if (v->failed == SEAM_OK) {
		handle_refused_hold(w, v->outcome);
		return;
	}
	if (w->answered)
		seam_log(SEAM_WARN, "worker",
			 "event=silent worker=%s runs=%u lane=%d why=\"%s\"",
			 w->info.id, w->task_refs->len, w->lane, v->why);
	/* A node that has no thread for the worker sends no further holds. */
	w->missed_holds = v->failed == SEAM_NO_MEMORY ? SEAM_MISSED_HOLDS_MAX :
							w->missed_holds + 1;
	w->answered = false;
	if (v->failed != SEAM_NO_MEMORY)
		note_silence(w);
	/* Another node may reach it. */
	if (w->missed_holds >= SEAM_MISSED_HOLDS_MAX && w->listed &&
	    (v->failed == SEAM_NO_MEMORY || !stays_on_lane(w)))
		scheduler_lane_move(w);
}

/* Returns the slot of an order's run, or NULL if it is gone. */
static struct seam_run_slot *find_slot(struct seam_worker *w,
				       const struct seam_order *o,
				       struct seam_job **j)
{
	*j = scheduler_job(w->sched, o->ref.job);
	if (!*j)
		return NULL;
	return scheduler_run_find(*j, o->ref.step, o->ref.task, w->self,
				  o->run);
}

/*
 * Gives the worker a new token, with which it refuses all orders that were sent
 * before. A token that no node has yet serves for all of them.
 */
static void fence_orders(struct seam_worker *w)
{
	if (w->token != w->token_sent)
		return;
	scheduler_raise_token(w);
	scheduler_lane_update(w);
}

/* Notes that the worker may carry out an order at any later time. */
void scheduler_order_unanswered(struct seam_worker *w,
				const struct seam_order *o)
{
	struct seam_run_slot *r;
	struct seam_job *j;

	if (o->kind != SEAM_ORDER_START)
		return;
	w->late_until =
		seam_now(w->sched->clock) + START_SEND_MAX + LATE_ORDER_MAX;
	r = find_slot(w, o, &j);
	if (!r)
		return;
	r->late_until = r->sent_at + START_SEND_MAX + LATE_ORDER_MAX;
	r->late_token = w->token_sent;
	if (r->late_until > w->sched->late_starts_until)
		w->sched->late_starts_until = r->late_until;
	fence_orders(w);
}

static void drop_start(struct seam_worker *w, struct seam_job *j,
		       const struct seam_order *o, struct seam_run_slot *r)
{
	scheduler_run_drop(w->sched, j, o->ref.step, o->ref.task, r);
	if (scheduler_job_droppable(j))
		scheduler_job_drop(w->sched, j);
}

static void handle_refused_start(struct seam_worker *w,
				 enum seam_order_outcome outcome,
				 const struct seam_order *o)
{
	seam_time now = seam_now(w->sched->clock);

	if (outcome == SEAM_ORDER_NO_ROOM || outcome == SEAM_ORDER_UNHEALTHY)
		scheduler_start_refused(w, now);
	if (outcome == SEAM_ORDER_NO_ROOM) {
		seam_metric_add(&no_room, 1);
		w->no_room_until = now + NO_ROOM_BACKOFF;
	} else if (outcome == SEAM_ORDER_UNHEALTHY) {
		w->backoff_until = now + UNHEALTHY_BACKOFF;
	} else {
		w->backoff_until = now + NO_ROOM_BACKOFF;
	}
	seam_log(SEAM_INFO, "worker",
		 "event=start_refused worker=%s task=%s run=%lld said=%d",
		 w->info.id, o->name, (long long)o->run, outcome);
}

/*
 * Whether a start was answered by a process with the clock that the owner
 * knows: by that clock, the lease ends when the owner expects it. All leases
 * that it gives are times of that clock, whichever process has them. A process
 * that started since has an earlier clock, which leaves more of the lease.
 */
static bool clock_is_known(const struct seam_worker *w,
			   const struct seam_lane_event *v)
{
	seam_time now = seam_now(w->sched->clock);
	seam_time left = w->lease_end + LEASE_MARGIN - now;

	return v->lease_ms && v->lease_ms <= left / SEAM_MSEC;
}

/* Counts a start that was answered or given up, and adjusts the windows. */
static void count_answer(struct seam_worker *w, const struct seam_run_slot *r,
			 const struct seam_lane_event *v)
{
	struct seam_scheduler *sched = w->sched;
	struct seam_load_stats *m = &sched->load;
	seam_time now = seam_now(sched->clock);
	struct seam_start_end s = {.sent_at = r->sent_at,
				   .answered = v->failed == SEAM_OK,
				   .call_time = v->call_ms * SEAM_MSEC,
				   .lost = v->lost_ms * SEAM_MSEC};

	m->starts++;
	m->start_time += now - r->sent_at;
	m->retried += s.answered && v->calls > 1;
	m->unanswered += !s.answered;
	m->lost_time += s.lost;
	m->unsent += !s.answered && !v->calls;
	seam_start_window_ended(&sched->window, &s, sched->starting, now);
	if (w->lane >= 0 && s.answered && v->calls > 1 &&
	    s.call_time <= SEAM_QUICK_ANSWER_MAX)
		sched->lane[w->lane].loss_seen_at = now;
	if (w->lane >= 0)
		seam_start_window_ended(&sched->lane[w->lane].window, &s,
					sched->lane[w->lane].starting, now);
}

/*
 * Handles the answer to a start. If an earlier attempt got no answer, a refusal
 * does not apply to that attempt: it may be running, have ended, or begin
 * later.
 */
static void handle_start_answer(struct seam_worker *w,
				const struct seam_order *o,
				const struct seam_lane_event *v)
{
	struct seam_scheduler *sched = w->sched;
	struct seam_run_slot *r;
	struct seam_job *j;

	r = find_slot(w, o, &j);
	if (r)
		count_answer(w, r, v);
	if (v->unknown)
		scheduler_order_unanswered(w, o);
	if (v->failed == SEAM_OK)
		w->start_answered_at = seam_now(sched->clock);
	if (v->failed == SEAM_OK && v->outcome == SEAM_ORDER_DONE) {
		scheduler_start_accepted(w);
		if (r && r->state == SEAM_RUN_SENT) {
			scheduler_run_set_state(sched, r, SEAM_RUN_RUNNING);
			j->started = true;
			r->running_at = seam_now(sched->clock);
			r->clock_known = clock_is_known(w, v);
			seam_log(SEAM_INFO, "job",
				 "event=started task=%s run=%lld worker=%s "
				 "lane=%d lease_ms=%lld after_ms=%lld",
				 o->name, (long long)o->run, w->info.id,
				 w->lane, (long long)v->lease_ms,
				 (long long)(r->running_at - r->sent_at) /
					 SEAM_MSEC);
			/* A pending start ended, so the next may be sent. */
			scheduler_wake_pass(sched);
		}
		return;
	}
	if (v->failed != SEAM_OK)
		seam_log(SEAM_WARN, "worker",
			 "event=start_unanswered worker=%s task=%s run=%lld "
			 "lane=%d why=\"%s\"",
			 w->info.id, o->name, (long long)o->run, w->lane,
			 v->why);
	else
		handle_refused_start(w, v->outcome, o);
	/* The next listing has its end, or shows that it did not run. */
	if (r && v->failed == SEAM_OK && v->outcome == SEAM_ORDER_STALE_RUN) {
		r->spent = true;
		r->stopped_at = seam_now(sched->clock);
	}
	if (!r || r->state != SEAM_RUN_SENT)
		return;
	if (v->unknown || o->maybe_sent) {
		seam_metric_add(&unanswered, 1);
		scheduler_run_set_state(sched, r, SEAM_RUN_UNCONFIRMED);
		return;
	}
	drop_start(w, j, o, r);
}

void scheduler_order_answered(struct seam_worker *w, const struct seam_order *o,
			      const struct seam_lane_event *v)
{
	struct seam_run_slot *r;
	struct seam_job *j;

	if (o->kind == SEAM_ORDER_START) {
		handle_start_answer(w, o, v);
		return;
	}
	r = find_slot(w, o, &j);
	if (v->failed == SEAM_OK && v->outcome == SEAM_ORDER_DONE && r)
		r->stopped_at = seam_now(w->sched->clock);
}

/*
 * Whether an order still has to be sent. A start that has not releases its
 * reservation.
 */
bool scheduler_order_is_current(struct seam_worker *w,
				const struct seam_order *o, struct seam_job **j)
{
	struct seam_scheduler *sched = w->sched;
	seam_time now = seam_now(sched->clock);
	struct seam_run_slot *r;
	bool lasting;

	*j = NULL;
	r = find_slot(w, o, j);
	if (o->kind == SEAM_ORDER_STOP)
		return now <= o->deadline && (!r || r->stop);
	if (!r || r->state != SEAM_RUN_SENT)
		return false;
	lasting = (*j)->row.spec.step[o->ref.step].lasting;
	if (now <= o->deadline && !r->stop && scheduler_worker_usable(w, now) &&
	    !scheduler_worker_is_shunned(w, lasting, now) &&
	    !seam_op_state_is_evacuated(sched->op_state, w->info.dc))
		return true;
	if (o->maybe_sent)
		scheduler_run_set_state(sched, r, SEAM_RUN_UNCONFIRMED);
	else
		drop_start(w, *j, o, r);
	return false;
}
