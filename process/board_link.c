/* The two threads of a worker: one holds its lease, one sends it orders. */
#include "process/board_impl.h"
#include "base/count.h"
#include "base/log.h"
#include "process/look_gap.h"

#include <stdlib.h>
#include <string.h>

/* Longest time of one order: answers take a few milliseconds, and the orders
 * behind one without an answer wait for it. */
#define ORDER_CALL (350 * SEAM_MSEC)
#define START_TRIES 3 /* of one start; a worker takes the same start once */
#define HOLD_MARGIN (450 * SEAM_MSEC) /* of a hold, beyond its wait */
#define HOLD_WAIT_MS 1000 /* of a worker with runs */
#define HOLD_WAIT_IDLE_MS 1800
#define HOLD_GAP_USEC 30000 /* after a hold without an answer */
#define HOLD_RETRY_USEC 150000
#define SHUN_UNHEALTHY (1 * SEAM_SEC)
#define FULL_PAUSE (150 * SEAM_MSEC)

SEAM_COUNT(starts, "seam_starts_total", "Starts that workers accepted.");
SEAM_COUNT(no_room, "seam_starts_no_room_total",
	   "Starts that workers refused for want of room.");
SEAM_COUNT(unsure, "seam_starts_unsure_total", "Starts without an answer.");
SEAM_COUNT(looks, "seam_worker_holds_total", "Leases renewed and looks.");

/*
 * End of a new lease by the worker's clock, milliseconds; notes by when it has
 * certainly run out here. The clock ran at least 98% as fast as ours since it
 * was read.
 */
static int64_t new_lease(struct seam_worker *w, seam_time now)
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
		board_worker_lost(b, w, "replaced");
	if (said == SEAM_ORDER_FENCED)
		seam_log(SEAM_WARN, "worker",
			 "event=hold_fenced worker=%s term=%llu", w->info.id,
			 (unsigned long long)b->term);
}

static void hold_answered(struct seam_worker *w, const struct seam_listing *l,
			  seam_time sent_at)
{
	struct seam_board *b = w->board;
	seam_time now = seam_now(b->clock);

	/* Its row follows; until then nothing is known of this life. */
	if (l->born_ms && w->info.born_ms && l->born_ms != w->info.born_ms)
		board_worker_restarted(b, w, l->born_ms);
	if (!w->heard || !w->answered)
		board_wake_pass(b);
	w->heard = true;
	w->answered = true;
	w->missed = 0;
	note_clock(w, l->clock_ms, now);
	board_take_listing(b, w, l, sent_at);
}

/* One hold; returns the pause before the next, microseconds. */
static unsigned hold_once(struct seam_worker *w)
{
	struct seam_board *b = w->board;
	seam_time now = seam_now(b->clock);
	/* After a look without an answer the lease is not renewed: the answers
	 * may be lost one way, and the lease has to run out some time. */
	bool renew = w->answered && w->clock_at;
	struct seam_hold h = {.token = b->term,
			      .acked = w->acked,
			      .lease_until = renew ? new_lease(w, now) : 0};
	enum seam_refusal said = SEAM_ORDER_INVALID;
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_listing l;
	seam_time deadline;
	int rc;

	if (renew)
		h.wait_ms = w->ref->len ? HOLD_WAIT_MS : HOLD_WAIT_IDLE_MS;
	deadline = now + h.wait_ms * SEAM_MSEC + HOLD_MARGIN;
	b->meter.looks++;
	pthread_mutex_unlock(&b->lock);
	seam_count_add(&looks, 1);
	rc = w->conn->ops->hold(w->conn, &h, &said, &l, deadline, &e);
	pthread_mutex_lock(&b->lock);
	if (rc) {
		if (w->answered)
			seam_log(SEAM_WARN, "worker",
				 "event=silent worker=%s runs=%u why=\"%s\"",
				 w->info.id, w->ref->len, e.text);
		w->missed++;
		w->answered = false;
		if (w->ref->len && seam_now(b->clock) > w->lease_end &&
		    w->lease_end)
			board_worker_lost(b, w, "lease_over");
		return w->missed < SEAM_MISSED_MAX ? HOLD_GAP_USEC :
						     HOLD_RETRY_USEC;
	}
	if (said != SEAM_ORDER_DONE) {
		hold_refused(w, said);
		return HOLD_RETRY_USEC;
	}
	hold_answered(w, &l, now);
	seam_listing_free(&l);
	return (unsigned)seam_look_gap(b->busy);
}

void *board_hold_loop(void *arg)
{
	struct seam_worker *w = arg;
	struct seam_board *b = w->board;
	unsigned pause;

	pthread_mutex_lock(&b->lock);
	while (!w->dead && !b->stop) {
		if (seam_lead_valid(b->lead, seam_now(b->clock)))
			pause = hold_once(w);
		else
			pause = HOLD_RETRY_USEC;
		pthread_mutex_unlock(&b->lock);
		g_usleep(pause);
		pthread_mutex_lock(&b->lock);
	}
	board_worker_ended(w);
	pthread_mutex_unlock(&b->lock);
	return NULL;
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
 * Takes the answer to a start. With @unknown an attempt before it got none: a
 * refusal then says nothing of that one, which may run, have ended, or begin
 * later.
 */
static void start_answered(struct seam_worker *w, const struct seam_order *o,
			   int rc, enum seam_refusal said, bool unknown,
			   const struct seam_err *e)
{
	struct seam_board *b = w->board;
	struct seam_run_slot *r;
	struct seam_job *j;

	r = slot_of(w, o, &j);
	if (r) {
		b->meter.starts++;
		b->meter.start_time += seam_now(b->clock) - r->sent_at;
	}
	if (!rc && said == SEAM_ORDER_DONE) {
		seam_count_add(&starts, 1);
		if (r && r->state == SEAM_RUN_SENT) {
			r->state = SEAM_RUN_LIVE;
			r->live_at = seam_now(b->clock);
			/* The next start may be sent. */
			board_wake_pass(b);
		}
		return;
	}
	if (rc)
		seam_log(SEAM_WARN, "worker",
			 "event=start_unanswered worker=%s task=%s run=%lld "
			 "why=\"%s\"",
			 w->info.id, o->name, (long long)o->run, e->text);
	else
		start_refused(w, said, o);
	if (!r || r->state != SEAM_RUN_SENT)
		return;
	if (unknown) {
		seam_count_add(&unsure, 1);
		r->state = SEAM_RUN_UNSURE;
		return;
	}
	board_run_drop(b, j, o->ref.step, o->ref.task, r);
	if (board_job_droppable(j))
		board_job_drop(b, j);
}

static void send_start(struct seam_worker *w, const struct seam_order *o)
{
	struct seam_board *b = w->board;
	seam_time now = seam_now(b->clock);
	struct seam_start s = {
		.task = o->name, .run = o->run, .token = b->term};
	char checkpoint[SEAM_CHECKPOINT];
	enum seam_refusal said = SEAM_ORDER_INVALID;
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_run_slot *r;
	struct seam_job *j;
	int64_t clock_ms = 0;
	bool unknown = false;
	char *text;
	int tries;
	int rc = -1;

	r = slot_of(w, o, &j);
	if (!r || r->state != SEAM_RUN_SENT)
		return;
	if (now > o->deadline || r->stop || !board_worker_usable(w, now) ||
	    !seam_lead_valid(b->lead, now) ||
	    seam_op_state_is_out(b->op_state, w->info.dc)) {
		board_run_drop(b, j, o->ref.step, o->ref.task, r);
		if (board_job_droppable(j))
			board_job_drop(b, j);
		return;
	}
	text = g_strdup(j->row.spec.text);
	memcpy(checkpoint, j->task[o->ref.step][o->ref.task].checkpoint,
	       sizeof(checkpoint));
	s.text = text;
	s.checkpoint = checkpoint;
	for (tries = 0; tries < START_TRIES; tries++) {
		now = seam_now(b->clock);
		if (!seam_lead_valid(b->lead, now))
			break;
		s.lease_until = new_lease(w, now);
		seam_err_clear(&e);
		pthread_mutex_unlock(&b->lock);
		rc = w->conn->ops->start(w->conn, &s, &said, &clock_ms,
					 now + ORDER_CALL, &e);
		pthread_mutex_lock(&b->lock);
		unknown = unknown || (rc && e.kind == SEAM_COMMIT_UNKNOWN);
		if (!rc || w->dead || b->stop)
			break;
	}
	g_free(text);
	start_answered(w, o, rc, said, unknown, &e);
}

static void send_stop(struct seam_worker *w, const struct seam_order *o)
{
	struct seam_board *b = w->board;
	enum seam_refusal said = SEAM_ORDER_INVALID;
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_run_slot *r;
	struct seam_job *j;
	int rc;

	pthread_mutex_unlock(&b->lock);
	rc = w->conn->ops->stop(w->conn, o->name, o->run, b->term, &said,
				seam_now(b->clock) + ORDER_CALL, &e);
	pthread_mutex_lock(&b->lock);
	r = slot_of(w, o, &j);
	if (!rc && said == SEAM_ORDER_DONE && r)
		r->stopped_at = seam_now(b->clock);
}

static void send_order(struct seam_worker *w, const struct seam_order *o)
{
	if (o->kind == SEAM_ORDER_START)
		send_start(w, o);
	else if (!seam_lead_valid(w->board->lead, seam_now(w->board->clock)))
		return;
	else
		send_stop(w, o);
}

void *board_order_loop(void *arg)
{
	struct seam_worker *w = arg;
	struct seam_board *b = w->board;
	struct seam_order *o;

	pthread_mutex_lock(&b->lock);
	while (!w->dead && !b->stop) {
		o = g_queue_pop_head(&w->orders);
		if (!o) {
			seam_wait(b->clock, &w->wake, &b->lock, SEAM_NEVER);
			continue;
		}
		send_order(w, o);
		g_free(o);
	}
	board_worker_ended(w);
	pthread_mutex_unlock(&b->lock);
	return NULL;
}
