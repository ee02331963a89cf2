/* What workers answer to looks and orders, as the nodes that serve them tell.
 */
#include "process/board_impl.h"
#include "base/count.h"
#include "base/log.h"

#include <string.h>

#define SHUN_UNHEALTHY (1 * SEAM_SEC)
#define FULL_PAUSE (150 * SEAM_MSEC)

SEAM_COUNT(no_room, "seam_starts_no_room_total",
	   "Starts that workers refused for want of room.");
SEAM_COUNT(unsure, "seam_starts_unsure_total", "Starts without an answer.");

/*
 * End of a new lease by the worker's clock, milliseconds; notes by when it has
 * certainly run out here. The clock ran at least 98% as fast as ours since it
 * was read.
 */
int64_t board_new_lease(struct seam_worker *w, seam_time now)
{
	seam_time since = now - w->clock_at;
	seam_time lease = board_lease(w->board);
	seam_time end = w->clock_at + since + lease +
			(since + lease) / (CLOCK_SLOW - 1) + LEASE_MARGIN;

	if (end > w->lease_end)
		w->lease_end = end;
	return w->clock_ms + (since + lease) / SEAM_MSEC;
}

static void note_clock(struct seam_worker *w, int64_t clock_ms, seam_time now)
{
	if (!clock_ms)
		return;
	w->clock_ms = clock_ms;
	w->clock_at = now;
}

static void hold_refused(struct seam_worker *w, enum seam_refusal said)
{
	struct seam_board *b = w->board;

	w->answered = false;
	w->missed = SEAM_MISSED_MAX;
	if (said == SEAM_ORDER_WRONG_LIFE && w->ref->len)
		board_worker_lost(w, "replaced");
	if (said == SEAM_ORDER_FENCED)
		seam_log(SEAM_WARN, "worker",
			 "event=hold_fenced worker=%s term=%llu", w->info.id,
			 (unsigned long long)b->term);
}

void board_hold_answered(struct seam_worker *w, const struct seam_listing *l,
			 seam_time sent_at)
{
	struct seam_board *b = w->board;
	seam_time now = seam_now(b->clock);

	if (sent_at < w->restarted_at)
		return;
	/* Its row follows. */
	if (l->born_ms && w->info.born_ms && l->born_ms != w->info.born_ms)
		board_worker_restarted(w, l->born_ms, sent_at);
	if (!w->heard || !w->answered)
		board_wake_pass(b);
	w->heard = true;
	w->answered = true;
	w->missed = 0;
	w->avoid = -1;
	note_clock(w, l->clock_ms, now);
	board_take_listing(b, w, l, sent_at);
}

void board_hold_failed(struct seam_worker *w, const struct seam_lane_event *v)
{
	struct seam_board *b = w->board;

	if (v->failed == SEAM_OK) {
		hold_refused(w, v->said);
		return;
	}
	if (w->answered)
		seam_log(SEAM_WARN, "worker",
			 "event=silent worker=%s runs=%u lane=%d why=\"%s\"",
			 w->info.id, w->ref->len, w->lane, v->why);
	/* A node without a thread for it does not look again. */
	w->missed =
		v->failed == SEAM_NO_MEMORY ? SEAM_MISSED_MAX : w->missed + 1;
	w->answered = false;
	if (w->ref->len && seam_now(b->clock) > w->lease_end && w->lease_end)
		board_worker_lost(w, "lease_over");
	/* Another node may reach it. */
	if (w->missed >= SEAM_MISSED_MAX && w->listed)
		board_lane_move(w);
}

/* The slot of an order's run, if it is still there. */
static struct seam_run_slot *
slot_of(struct seam_worker *w, const struct seam_order *o, struct seam_job **j)
{
	*j = board_job(w->board, o->ref.job);
	if (!*j)
		return NULL;
	return board_run_find(*j, o->ref.step, o->ref.task, w->self, o->run);
}

static void drop_start(struct seam_worker *w, struct seam_job *j,
		       const struct seam_order *o, struct seam_run_slot *r)
{
	board_run_drop(w->board, j, o->ref.step, o->ref.task, r);
	if (board_job_droppable(j))
		board_job_drop(w->board, j);
}

static void start_refused(struct seam_worker *w, enum seam_refusal said,
			  const struct seam_order *o)
{
	seam_time now = seam_now(w->board->clock);

	if (said == SEAM_ORDER_NO_ROOM) {
		seam_count_add(&no_room, 1);
		w->full_until = now + FULL_PAUSE;
	} else if (said == SEAM_ORDER_UNHEALTHY) {
		w->shunned_until = now + SHUN_UNHEALTHY;
	} else {
		w->shunned_until = now + FULL_PAUSE;
	}
	seam_log(SEAM_INFO, "worker",
		 "event=start_refused worker=%s task=%s run=%lld said=%d",
		 w->info.id, o->name, (long long)o->run, said);
}

/*
 * Takes the answer to a start. After an attempt without an answer a refusal
 * says nothing of that one, which may run, have ended, or begin later.
 */
static void start_answered(struct seam_worker *w, const struct seam_order *o,
			   const struct seam_lane_event *v)
{
	struct seam_board *b = w->board;
	struct seam_run_slot *r;
	struct seam_job *j;

	r = slot_of(w, o, &j);
	if (r) {
		b->meter.starts++;
		b->meter.start_time += seam_now(b->clock) - r->sent_at;
	}
	if (v->failed == SEAM_OK && v->said == SEAM_ORDER_DONE) {
		if (r && r->state == SEAM_RUN_SENT) {
			board_run_set_state(b, r, SEAM_RUN_LIVE);
			r->live_at = seam_now(b->clock);
			/* The next start may be sent. */
			board_wake_pass(b);
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
		start_refused(w, v->said, o);
	if (!r || r->state != SEAM_RUN_SENT)
		return;
	if (v->unknown || o->unknown) {
		seam_count_add(&unsure, 1);
		board_run_set_state(b, r, SEAM_RUN_UNSURE);
		return;
	}
	drop_start(w, j, o, r);
}

void board_order_answered(struct seam_worker *w, const struct seam_order *o,
			  const struct seam_lane_event *v)
{
	struct seam_run_slot *r;
	struct seam_job *j;

	if (o->kind == SEAM_ORDER_START) {
		start_answered(w, o, v);
		return;
	}
	r = slot_of(w, o, &j);
	if (v->failed == SEAM_OK && v->said == SEAM_ORDER_DONE && r)
		r->stopped_at = seam_now(w->board->clock);
}

/* Whether an order is still to be sent; a start that is not frees its room. */
bool board_order_stands(struct seam_worker *w, const struct seam_order *o,
			struct seam_job **j)
{
	struct seam_board *b = w->board;
	seam_time now = seam_now(b->clock);
	struct seam_run_slot *r;

	*j = NULL;
	if (o->kind == SEAM_ORDER_STOP)
		return now <= o->deadline;
	r = slot_of(w, o, j);
	if (!r || r->state != SEAM_RUN_SENT)
		return false;
	if (now <= o->deadline && !r->stop && board_worker_usable(w, now) &&
	    !seam_op_state_is_out(b->op_state, w->info.dc))
		return true;
	if (o->unknown)
		board_run_set_state(b, r, SEAM_RUN_UNSURE);
	else
		drop_start(w, *j, o, r);
	return false;
}
