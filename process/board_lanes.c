/* The nodes that serve workers for the owner: a thread that sends each what it
 * is to do, and one that takes what it tells. */
#include "process/board_impl.h"
#include "base/count.h"
#include "base/log.h"

#include <stdlib.h>
#include <string.h>

/* Leases are told again so often; what a worker has left of its lease when an
 * owner is lost has to outlive a takeover. */
#define LEASE_GAP (300 * SEAM_MSEC)
/* Ends that have been committed are told together. */
#define ACK_GAP (40 * SEAM_MSEC)
#define SEND_CALL (400 * SEAM_MSEC)
#define POLL_WAIT_MS 400
#define POLL_MARGIN (350 * SEAM_MSEC) /* of a poll, beyond its wait */
/* Polls of all lanes together in a second, at 100 us each 2.5% of a core. */
#define POLLS_PER_S 250
#define POLL_GAP_MIN (8 * SEAM_MSEC)
/* A node whose session failed is left alone, each time twice as long. */
#define LANE_PAUSES_MAX 4 /* doublings */
#define MOVE_GAP (1 * SEAM_SEC) /* between two moves of a worker */
#define STACK_BYTES (256u << 10)

SEAM_COUNT(lane_failures, "seam_lane_failures_total",
	   "Sessions with other nodes that failed.");

static struct seam_board_lane *lane_of(const struct seam_worker *w)
{
	return w->lane < 0 ? NULL : &w->board->lane[w->lane];
}

/* A worker needs a lane, or no longer needs the one that it has. */
void board_need_lane(struct seam_board *b)
{
	b->divide_due = true;
	pthread_cond_signal(&b->reap_wake);
}

void board_lane_wake(struct seam_worker *w)
{
	struct seam_board_lane *l = lane_of(w);

	if (!l)
		return;
	l->due = true;
	pthread_cond_broadcast(&l->wake);
}

/* Its lease or its ends have changed. */
void board_lane_update(struct seam_worker *w)
{
	struct seam_board_lane *l = lane_of(w);
	seam_time at = seam_now(w->board->clock) + ACK_GAP;

	if (!l || l->update_at <= at)
		return;
	l->update_at = at;
	pthread_cond_broadcast(&l->wake);
}

/* What the node has not answered is sent again, as an order that the worker may
 * have got. */
static void requeue_sent(struct seam_worker *w)
{
	struct seam_order *o;

	while ((o = g_queue_pop_tail(&w->sent))) {
		o->unknown = true;
		g_queue_push_head(&w->orders, o);
	}
	w->told = false;
	w->answered = false;
}

/* The worker's lane is no longer to serve it. */
void board_lane_leave(struct seam_worker *w)
{
	struct seam_board_lane *l = lane_of(w);
	uint32_t key = w->self.bits;

	if (!l)
		return;
	if (w->told) {
		g_array_append_val(l->drops, key);
		board_lane_wake(w);
	}
	requeue_sent(w);
	w->lane = -1;
}

/* Gives a worker that its lane does not reach to another one. */
void board_lane_move(struct seam_worker *w)
{
	struct seam_board *b = w->board;
	seam_time now = seam_now(b->clock);

	if (w->lane < 0 || b->lanes < 2 || now < w->move_at)
		return;
	w->move_at = now + MOVE_GAP;
	w->avoid = w->lane;
	board_need_lane(b);
}

/* The session is over; the next batch opens another. */
static void reset_session(struct seam_board_lane *l)
{
	l->number++;
	l->opened = false;
	l->seen = 0;
	g_array_set_size(l->drops, 0);
}

/* The node does not answer, or serves another owner. */
static void lane_failed(struct seam_board_lane *l, const char *call,
			const struct seam_err *e)
{
	struct seam_board *b = l->board;
	struct seam_handle h = SEAM_NONE;
	struct seam_worker *w;
	int pauses =
		l->failures < LANE_PAUSES_MAX ? l->failures : LANE_PAUSES_MAX;

	seam_count_add(&lane_failures, 1);
	seam_log(SEAM_WARN, "owner",
		 "event=lane_failed node=%s call=%s term=%llu number=%llu "
		 "failures=%d why=\"%s\"",
		 l->info.addr, call, (unsigned long long)b->term,
		 (unsigned long long)l->number, l->failures, e->text);
	reset_session(l);
	l->failures++;
	l->down_until = seam_now(b->clock) + (BOARD_LANE_PAUSE << pauses);
	while ((w = seam_table_next(b->workers, &h)))
		if (w->lane == l->index)
			requeue_sent(w);
	board_need_lane(b);
}

/* A row of the batch for @w: all of it, or what has changed. */
static void add_worker(struct seam_lane_batch *m, struct seam_worker *w,
		       seam_time now)
{
	struct seam_lane_worker *row = &m->worker[m->workers++];

	row->key = w->self.bits;
	row->acked = w->acked;
	row->born_ms = w->info.born_ms;
	if (w->answered && w->clock_at)
		row->lease_until = board_new_lease(w, now);
	if (!w->told) {
		g_strlcpy(row->id, w->info.id, sizeof(row->id));
		g_strlcpy(row->addr, w->info.addr, sizeof(row->addr));
	}
	w->told = true;
	w->acked_told = w->acked;
	w->lease_told_at = now;
}

static void add_drop(struct seam_lane_batch *m, uint32_t key)
{
	struct seam_lane_worker *row = &m->worker[m->workers++];

	row->key = key;
	row->drop = true;
}

static void add_order(struct seam_lane_batch *m, struct seam_worker *w,
		      const struct seam_order *o, const struct seam_job *j,
		      seam_time now)
{
	seam_time valid = seam_lead_valid_until(w->board->lead);
	struct seam_lane_order *to = &m->order[m->orders++];

	to->key = w->self.bits;
	to->stop = o->kind == SEAM_ORDER_STOP;
	g_strlcpy(to->task, o->name, sizeof(to->task));
	to->run = o->run;
	to->send_by = o->deadline < valid ? o->deadline : valid;
	to->repeat_by = valid;
	if (to->stop)
		return;
	to->lease_until = board_new_lease(w, now);
	to->text = strdup(j->row.spec.text);
	g_strlcpy(to->checkpoint, j->task[o->ref.step][o->ref.task].checkpoint,
		  sizeof(to->checkpoint));
}

static void add_orders(struct seam_lane_batch *m, struct seam_worker *w,
		       seam_time now)
{
	struct seam_order *o;
	struct seam_job *j;

	while ((o = g_queue_pop_head(&w->orders))) {
		if (!board_order_stands(w, o, &j)) {
			g_free(o);
			continue;
		}
		m->order = g_realloc(m->order,
				     (m->orders + 1) * sizeof(*m->order));
		memset(&m->order[m->orders], 0, sizeof(*m->order));
		add_order(m, w, o, j, now);
		g_queue_push_tail(&w->sent, o);
	}
}

/* Gathers what the node of a lane is to know. */
static void gather(struct seam_board_lane *l, struct seam_lane_batch *m)
{
	struct seam_board *b = l->board;
	seam_time now = seam_now(b->clock);
	struct seam_handle h = SEAM_NONE;
	struct seam_worker *w;
	guint i;

	memset(m, 0, sizeof(*m));
	m->session = (struct seam_lane_session){b->term, l->number};
	m->first = !l->opened;
	m->worker = g_new0(struct seam_lane_worker,
			   seam_table_count(b->workers) + l->drops->len + 1);
	for (i = 0; i < l->drops->len; i++)
		add_drop(m, g_array_index(l->drops, uint32_t, i));
	g_array_set_size(l->drops, 0);
	while ((w = seam_table_next(b->workers, &h))) {
		if (w->lane != l->index)
			continue;
		if (!w->told || w->acked != w->acked_told ||
		    now >= w->lease_told_at + LEASE_GAP)
			add_worker(m, w, now);
		add_orders(m, w, now);
	}
	l->due = false;
	l->update_at = now + LEASE_GAP;
}

/* Sends one batch, if there is something to tell. */
static void send_batch(struct seam_board_lane *l)
{
	struct seam_board *b = l->board;
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_lane_batch m;
	uint64_t number = l->number;
	bool told;
	int rc = 0;

	gather(l, &m);
	told = m.workers || m.orders;
	if (told) {
		pthread_mutex_unlock(&b->lock);
		rc = l->conn->ops->send(l->conn, &m,
					seam_now(b->clock) + SEND_CALL, &e);
		pthread_mutex_lock(&b->lock);
	}
	seam_lane_batch_free(&m);
	if (b->stop || number != l->number)
		return;
	if (rc) {
		lane_failed(l, "send", &e);
	} else if (!l->opened && told) {
		l->opened = true;
		pthread_cond_broadcast(&l->wake);
	}
}

static bool may_send(const struct seam_board_lane *l, seam_time now)
{
	return now >= l->down_until && seam_lead_valid(l->board->lead, now);
}

static void *send_loop(void *arg)
{
	struct seam_board_lane *l = arg;
	struct seam_board *b = l->board;

	pthread_mutex_lock(&b->lock);
	while (!b->stop) {
		seam_time now = seam_now(b->clock);

		if (!may_send(l, now))
			seam_wait(b->clock, &l->wake, &b->lock, now + ACK_GAP);
		else if (!l->due && now < l->update_at)
			seam_wait(b->clock, &l->wake, &b->lock, l->update_at);
		else
			send_batch(l);
	}
	pthread_mutex_unlock(&b->lock);
	return NULL;
}

/* The order that an event is about; it is taken from the list. */
static struct seam_order *take_sent(struct seam_worker *w,
				    const struct seam_lane_event *v)
{
	GList *at;

	for (at = w->sent.head; at; at = at->next) {
		struct seam_order *o = at->data;

		if (o->run == v->run && !strcmp(o->name, v->task) &&
		    (o->kind == SEAM_ORDER_STOP) == v->stop) {
			g_queue_delete_link(&w->sent, at);
			return o;
		}
	}
	return NULL;
}

static void take_event(struct seam_board_lane *l,
		       const struct seam_lane_event *v)
{
	struct seam_worker *w =
		board_worker(l->board, (struct seam_handle){v->key});
	struct seam_order *o;

	if (!w || w->dead || w->lane != l->index)
		return;
	if (v->kind == SEAM_LANE_LISTED) {
		l->board->meter.looks++;
		board_hold_answered(w, &v->listing, v->sent_at);
		return;
	}
	if (v->kind == SEAM_LANE_SILENT) {
		board_hold_failed(w, v);
		return;
	}
	o = take_sent(w, v);
	if (o)
		board_order_answered(w, o, v);
	g_free(o);
}

static void take_events(struct seam_board_lane *l,
			const struct seam_lane_events *v)
{
	size_t i;

	l->failures = 0;
	for (i = 0; i < v->n; i++) {
		if (v->event[i].number <= l->seen)
			continue;
		l->seen = v->event[i].number;
		take_event(l, &v->event[i]);
	}
}

/* Pause between two polls: more lanes are polled less often. */
static seam_time poll_gap(const struct seam_board *b)
{
	seam_time gap = (seam_time)b->lanes_used * SEAM_SEC / POLLS_PER_S;

	return gap > POLL_GAP_MIN ? gap : POLL_GAP_MIN;
}

/* One poll; returns the pause before the next. */
static seam_time poll_events(struct seam_board_lane *l)
{
	struct seam_board *b = l->board;
	struct seam_lane_poll p = {{b->term, l->number}, l->seen, POLL_WAIT_MS};
	seam_time deadline =
		seam_now(b->clock) + POLL_WAIT_MS * SEAM_MSEC + POLL_MARGIN;
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_lane_events v;
	int rc;

	pthread_mutex_unlock(&b->lock);
	rc = l->conn->ops->poll(l->conn, &p, &v, deadline, &e);
	pthread_mutex_lock(&b->lock);
	if (!b->stop && p.session.number == l->number) {
		if (rc)
			lane_failed(l, "poll", &e);
		else
			take_events(l, &v);
	}
	if (!rc)
		seam_lane_events_free(&v);
	return rc ? 0 : poll_gap(b);
}

static void *poll_loop(void *arg)
{
	struct seam_board_lane *l = arg;
	struct seam_board *b = l->board;

	pthread_mutex_lock(&b->lock);
	while (!b->stop) {
		seam_time gap;

		if (l->opened && !l->workers && !l->drops->len)
			reset_session(l);
		if (!l->opened) {
			seam_wait(b->clock, &l->wake, &b->lock, SEAM_NEVER);
			continue;
		}
		gap = poll_events(l);
		pthread_mutex_unlock(&b->lock);
		g_usleep((gulong)gap);
		pthread_mutex_lock(&b->lock);
	}
	pthread_mutex_unlock(&b->lock);
	return NULL;
}

/* Opens the way to a lane's node and starts its threads. */
int board_lane_start(struct seam_board_lane *l)
{
	static void *(*const loops[])(void *arg) = {send_loop, poll_loop};
	struct seam_board *b = l->board;
	pthread_attr_t a;

	if (!l->conn)
		l->conn = b->ports->nodes->ops->open(b->ports->nodes, &l->info);
	if (!l->conn)
		return -1;
	pthread_attr_init(&a);
	pthread_attr_setstacksize(&a, STACK_BYTES);
	while (l->threads < 2 && !pthread_create(&l->thread[l->threads], &a,
						 loops[l->threads], l))
		l->threads++;
	pthread_attr_destroy(&a);
	return l->threads == 2 ? 0 : -1;
}
