/*
 * Lanes: the nodes that serve workers for the owner. For each lane one thread
 * sends batches and another polls for events.
 */
#include "process/scheduler_impl.h"
#include "base/metrics.h"
#include "base/log.h"

#include <stdlib.h>
#include <string.h>

/*
 * Interval at which leases are renewed. What is left of a worker's lease when
 * an owner is lost has to outlast a takeover.
 */
#define LEASE_SEND_INTERVAL (300 * SEAM_MSEC)
/* Delay for acknowledging committed ends together. */
#define ACK_DELAY (40 * SEAM_MSEC)
#define SEND_TIMEOUT (400 * SEAM_MSEC)
#define POLL_WAIT_MS 400
/* Timeout of a poll beyond its wait. */
#define POLL_MARGIN (350 * SEAM_MSEC)
/*
 * Polls of all lanes together in a second. At 100 us each they take 2.5% of a
 * core.
 */
#define POLLS_PER_S 250
#define POLL_INTERVAL_MIN (8 * SEAM_MSEC)
/*
 * A node whose session failed is not used for a time that doubles with each
 * failure, up to this many times.
 */
#define LANE_DOUBLINGS_MAX 4
/* Minimum time between two moves of a worker. */
#define MOVE_INTERVAL (1 * SEAM_SEC)
#define STACK_BYTES (256u << 10)

SEAM_METRIC(lane_failures, "seam_lane_failures_total",
	    "Sessions with other nodes that failed.");

static struct seam_scheduler_lane *lane_of(const struct seam_worker *w)
{
	return w->lane < 0 ? NULL : &w->sched->lane[w->lane];
}

/*
 * Requests a new assignment: a worker needs a lane or has stopped needing one.
 */
void scheduler_request_assignment(struct seam_scheduler *sched)
{
	sched->assign_due = true;
	pthread_cond_signal(&sched->reap_wake);
}

void scheduler_lane_wake(struct seam_worker *w)
{
	struct seam_scheduler_lane *l = lane_of(w);

	if (!l)
		return;
	l->due = true;
	pthread_cond_broadcast(&l->wake);
}

/*
 * Schedules an update after a change of the worker's token, lease or
 * acknowledged ends.
 */
void scheduler_lane_update(struct seam_worker *w)
{
	struct seam_scheduler_lane *l = lane_of(w);
	seam_time at = seam_now(w->sched->clock) + ACK_DELAY;

	if (!l || l->update_at <= at)
		return;
	l->update_at = at;
	pthread_cond_broadcast(&l->wake);
}

static struct seam_worker *served_worker(const struct seam_scheduler_lane *l,
					 guint i)
{
	return scheduler_worker(
		l->sched, g_array_index(l->served, struct seam_handle, i));
}

/* Queues unanswered orders again. The worker may already have received them. */
static void requeue_sent(struct seam_worker *w)
{
	struct seam_order *o;

	while ((o = g_queue_pop_tail(&w->sent))) {
		scheduler_order_unanswered(w, o);
		o->maybe_sent = true;
		g_queue_push_head(&w->orders, o);
	}
	w->registered = false;
	w->answered = false;
	w->listing_known = false;
}

void scheduler_lane_add(struct seam_worker *w, int lane)
{
	w->lane = lane;
	g_array_append_val(w->sched->lane[lane].served, w->self);
}

static void remove_served(struct seam_scheduler_lane *l,
			  const struct seam_worker *w)
{
	guint i;

	for (i = 0; i < l->served->len; i++) {
		if (!seam_handle_eq(
			    g_array_index(l->served, struct seam_handle, i),
			    w->self))
			continue;
		g_array_remove_index_fast(l->served, i);
		return;
	}
}

/* Releases the worker from its lane. */
void scheduler_lane_release(struct seam_worker *w)
{
	struct seam_scheduler_lane *l = lane_of(w);
	uint32_t key = w->self.bits;

	if (!l)
		return;
	if (w->registered) {
		g_array_append_val(l->drops, key);
		scheduler_lane_wake(w);
	}
	requeue_sent(w);
	remove_served(l, w);
	w->lane = -1;
}

/* Moves a worker that its lane does not reach to another lane. */
void scheduler_lane_move(struct seam_worker *w)
{
	struct seam_scheduler *sched = w->sched;
	seam_time now = seam_now(sched->clock);

	if (w->lane < 0 || sched->lanes < 2 || now < w->move_at)
		return;
	w->move_at = now + MOVE_INTERVAL;
	w->avoid_lane = w->lane;
	scheduler_request_assignment(sched);
}

/* Ends the session; the next batch opens a new one. */
static void reset_session(struct seam_scheduler_lane *l)
{
	l->number++;
	l->opened = false;
	l->clock = (struct seam_lane_clock){0};
	l->last_event = 0;
	g_array_set_size(l->drops, 0);
}

/* Handles a node that does not answer or that serves another owner. */
static void reset_failed_lane(struct seam_scheduler_lane *l, const char *call,
			      const struct seam_err *e)
{
	struct seam_scheduler *sched = l->sched;
	guint i;
	int pauses = l->failures < LANE_DOUBLINGS_MAX ? l->failures :
							LANE_DOUBLINGS_MAX;

	seam_metric_add(&lane_failures, 1);
	seam_log(SEAM_WARN, "owner",
		 "event=lane_failed node=%s call=%s term=%llu number=%llu "
		 "failures=%d why=\"%s\"",
		 l->info.addr, call, (unsigned long long)sched->term,
		 (unsigned long long)l->number, l->failures, e->text);
	reset_session(l);
	l->failures++;
	l->retry_at = seam_now(sched->clock) + (LANE_RETRY_DELAY << pauses);
	for (i = 0; i < l->served->len; i++)
		requeue_sent(served_worker(l, i));
	scheduler_request_assignment(sched);
}

/*
 * Adds a row for @w to the batch: all fields if the worker is not registered at
 * the node yet, else those that change.
 */
static void add_worker(struct seam_lane_batch *m, struct seam_worker *w,
		       seam_time now)
{
	struct seam_lane_worker *row = &m->worker[m->workers++];

	row->key = w->self.bits;
	row->acked = w->acked;
	row->process_start_ms = w->info.process_start_ms;
	row->token = w->token == w->sched->term ? 0 : w->token;
	if (w->answered && w->clock_at)
		row->lease_until = scheduler_new_lease(w, now);
	if (!w->registered) {
		g_strlcpy(row->id, w->info.id, sizeof(row->id));
		g_strlcpy(row->addr, w->info.addr, sizeof(row->addr));
	}
	w->registered = true;
	w->acked_sent = w->acked;
	w->token_sent = w->token;
	w->lease_sent_at = now;
}

static void add_drop(struct seam_lane_batch *m, uint32_t key)
{
	struct seam_lane_worker *row = &m->worker[m->workers++];

	row->key = key;
	row->drop = true;
}

static void add_order(struct seam_lane_batch *m, struct seam_worker *w,
		      struct seam_order *o, struct seam_job *j, seam_time now)
{
	const struct seam_lane_clock *node = &lane_of(w)->clock;
	seam_time valid = seam_election_valid_until(w->sched->election);
	struct seam_lane_order *to = &m->order[m->orders++];
	const struct seam_job_task_state *t;
	const struct seam_run_slot *r;

	o->number = ++w->sched->orders_sent;
	to->number = o->number;
	to->key = w->self.bits;
	to->stop = o->kind == SEAM_ORDER_STOP;
	g_strlcpy(to->task, o->name, sizeof(to->task));
	to->run = o->run;
	to->send_by = seam_lane_clock_deadline(
		node, o->deadline < valid ? o->deadline : valid);
	to->repeat_by = seam_lane_clock_deadline(node, valid);
	if (to->stop)
		return;
	r = scheduler_run_find(j, o->ref.step, o->ref.task, w->self, o->run);
	t = &j->task[o->ref.step][o->ref.task];
	/* A process that runs the late start takes its number only once. */
	to->poll_first = r && now < r->late_until && o->run != t->late_run;
	to->lease_until = scheduler_new_lease(w, now);
	to->text = g_memdup2(j->row.spec.text, j->row.spec.text_len + 1);
	to->text_len = j->row.spec.text_len;
	g_strlcpy(to->checkpoint, t->checkpoint, sizeof(to->checkpoint));
}

static void add_orders(struct seam_lane_batch *m, struct seam_worker *w,
		       seam_time now)
{
	struct seam_order *o;
	struct seam_job *j;

	while ((o = g_queue_pop_head(&w->orders))) {
		if (!scheduler_order_is_current(w, o, &j)) {
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

/*
 * Builds the next batch for the node of a lane. The first one of a session has
 * no orders: their deadlines are times of the node's clock, which the answer to
 * it tells.
 */
static void build_batch(struct seam_scheduler_lane *l,
			struct seam_lane_batch *m)
{
	struct seam_scheduler *sched = l->sched;
	seam_time now = seam_now(sched->clock);
	struct seam_worker *w;
	guint i;

	memset(m, 0, sizeof(*m));
	m->session = (struct seam_lane_session){sched->term, l->number};
	m->first = !l->opened;
	m->worker = g_new0(struct seam_lane_worker,
			   l->served->len + l->drops->len + 1);
	for (i = 0; i < l->drops->len; i++)
		add_drop(m, g_array_index(l->drops, uint32_t, i));
	g_array_set_size(l->drops, 0);
	for (i = 0; i < l->served->len; i++) {
		w = served_worker(l, i);
		if (!w->registered || w->acked != w->acked_sent ||
		    w->token != w->token_sent ||
		    now >= w->lease_sent_at + LEASE_SEND_INTERVAL)
			add_worker(m, w, now);
		if (l->opened)
			add_orders(m, w, now);
	}
	l->due = false;
	l->update_at = now + LEASE_SEND_INTERVAL;
}

/* Sends a batch unless it is empty. */
static void send_batch(struct seam_scheduler_lane *l)
{
	struct seam_scheduler *sched = l->sched;
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_lane_batch m;
	uint64_t number = l->number;
	seam_time node_now = 0;
	bool nonempty;
	int rc = 0;

	build_batch(l, &m);
	nonempty = m.workers || m.orders;
	if (nonempty) {
		pthread_mutex_unlock(&sched->lock);
		rc = l->conn->ops->send(l->conn, &m, &node_now,
					seam_now(sched->clock) + SEND_TIMEOUT,
					&e);
		pthread_mutex_lock(&sched->lock);
	}
	seam_lane_batch_free(&m);
	if (sched->stop || number != l->number)
		return;
	if (rc) {
		reset_failed_lane(l, "send", &e);
		return;
	}
	if (nonempty)
		seam_lane_clock_note(&l->clock, node_now,
				     seam_now(sched->clock));
	if (!l->opened && nonempty) {
		l->opened = true;
		l->due = true; /* for the orders that wait */
		pthread_cond_broadcast(&l->wake);
	}
}

static bool may_send(const struct seam_scheduler_lane *l, seam_time now)
{
	return now >= l->retry_at &&
	       seam_election_is_owner(l->sched->election, now);
}

static void *send_loop(void *arg)
{
	struct seam_scheduler_lane *l = arg;
	struct seam_scheduler *sched = l->sched;

	pthread_mutex_lock(&sched->lock);
	while (!sched->stop) {
		seam_time now = seam_now(sched->clock);

		if (!may_send(l, now))
			seam_wait(sched->clock, &l->wake, &sched->lock,
				  now + ACK_DELAY);
		else if (!l->due && now < l->update_at)
			seam_wait(sched->clock, &l->wake, &sched->lock,
				  l->update_at);
		else
			send_batch(l);
	}
	pthread_mutex_unlock(&sched->lock);
	return NULL;
}

/* Removes and returns the sent order that an event refers to. */
static struct seam_order *pop_sent_order(struct seam_worker *w,
					 const struct seam_lane_event *v)
{
	GList *at;

	for (at = w->sent.head; at; at = at->next) {
		struct seam_order *o = at->data;

		if (o->number == v->order) {
			g_queue_delete_link(&w->sent, at);
			return o;
		}
	}
	return NULL;
}

static void apply_event(struct seam_scheduler_lane *l,
			const struct seam_lane_event *v)
{
	struct seam_worker *w =
		scheduler_worker(l->sched, (struct seam_handle){v->key});
	struct seam_order *o;

	if (!w || w->retired || w->lane != l->index)
		return;
	if (v->kind == SEAM_LANE_LISTED) {
		l->sched->load.listings++;
		scheduler_hold_answered(w, v);
		return;
	}
	if (v->kind == SEAM_LANE_SILENT) {
		scheduler_hold_failed(w, v);
		return;
	}
	o = pop_sent_order(w, v);
	if (o)
		scheduler_order_answered(w, o, v);
	g_free(o);
}

static void apply_events(struct seam_scheduler_lane *l,
			 const struct seam_lane_events *v)
{
	size_t i;

	l->failures = 0;
	seam_lane_clock_note(&l->clock, v->node_now, seam_now(l->sched->clock));
	for (i = 0; i < v->n; i++) {
		if (v->event[i].number <= l->last_event)
			continue;
		l->last_event = v->event[i].number;
		apply_event(l, &v->event[i]);
	}
}

/* Pause between two polls; it grows with the number of lanes. */
static seam_time poll_interval(const struct seam_scheduler *sched)
{
	seam_time gap = (seam_time)sched->lanes_used * SEAM_SEC / POLLS_PER_S;

	return gap > POLL_INTERVAL_MIN ? gap : POLL_INTERVAL_MIN;
}

/* Polls once; returns the pause before the next poll. */
static seam_time poll_events(struct seam_scheduler_lane *l)
{
	struct seam_scheduler *sched = l->sched;
	struct seam_lane_poll p = {
		{sched->term, l->number}, l->last_event, POLL_WAIT_MS};
	seam_time deadline =
		seam_now(sched->clock) + POLL_WAIT_MS * SEAM_MSEC + POLL_MARGIN;
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_lane_events v;
	int rc;

	pthread_mutex_unlock(&sched->lock);
	rc = l->conn->ops->poll(l->conn, &p, &v, deadline, &e);
	pthread_mutex_lock(&sched->lock);
	if (!sched->stop && p.session.number == l->number) {
		if (rc)
			reset_failed_lane(l, "poll", &e);
		else
			apply_events(l, &v);
	}
	if (!rc)
		seam_lane_events_free(&v);
	return rc ? 0 : poll_interval(sched);
}

static void *poll_loop(void *arg)
{
	struct seam_scheduler_lane *l = arg;
	struct seam_scheduler *sched = l->sched;

	pthread_mutex_lock(&sched->lock);
	while (!sched->stop) {
		seam_time gap;

		if (l->opened && !l->workers && !l->drops->len)
			reset_session(l);
		if (!l->opened) {
			seam_wait(sched->clock, &l->wake, &sched->lock,
				  SEAM_NEVER);
			continue;
		}
		gap = poll_events(l);
		pthread_mutex_unlock(&sched->lock);
		g_usleep((gulong)gap);
		pthread_mutex_lock(&sched->lock);
	}
	pthread_mutex_unlock(&sched->lock);
	return NULL;
}

/* Connects to the node of a lane and starts the lane's threads. */
int scheduler_lane_start(struct seam_scheduler_lane *l)
{
	static void *(*const loops[])(void *arg) = {send_loop, poll_loop};
	struct seam_scheduler *sched = l->sched;
	pthread_attr_t a;

	if (!l->conn)
		l->conn = sched->ports->nodes->ops->open(sched->ports->nodes,
							 &l->info);
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
