#include "process/dispatch.h"
#include "base/count.h"
#include "base/log.h"
#include "base/table.h"
#include "process/look_gap.h"

#include <glib.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Longest time of one order: answers take a few milliseconds, and the orders
 * behind one without an answer wait for it. */
#define ORDER_CALL (350 * SEAM_MSEC)
#define START_TRIES 3 /* of one start; a worker takes the same start once */
#define HOLD_MARGIN (450 * SEAM_MSEC) /* of a hold, beyond its wait */
/* Of a worker with runs: what is left of its lease when it is renewed again has
 * to outlive a takeover. */
#define HOLD_WAIT_MS 700
#define HOLD_WAIT_IDLE_MS 1800
#define HOLD_GAP_USEC 30000 /* after a hold without an answer */
#define HOLD_RETRY_USEC 150000
/* A worker answers a look at once while it lists ends that were not
 * acknowledged, so the next one waits for that, as long as a commit takes. */
#define ACK_WAIT (120 * SEAM_MSEC)
/* A listing without news is told so seldom. */
#define TELL_GAP (300 * SEAM_MSEC)
/* An owner polls several times a second; one that has not is gone. */
#define SESSION_IDLE (2 * SEAM_SEC)
#define STACK_BYTES (256u << 10) /* two threads for each worker */

SEAM_COUNT(starts, "seam_starts_total", "Starts that workers accepted.");
SEAM_COUNT(looks, "seam_worker_holds_total", "Leases renewed and looks.");
SEAM_COUNT(served, "seam_dispatch_workers",
	   "Workers that this node serves for the owner.");
SEAM_COUNT(sessions, "seam_dispatch_sessions_total",
	   "Sessions of owners that this node has served.");

/*
 * struct post - a worker that is served
 * @key: the owner's handle
 * @born_ms: its life; 0 if it is not known
 * @answered: it answered the latest look
 * @runs: runs that it listed last, and starts since
 * @told: hash of what the owner was told last; @told_at: when
 * @told_end: number of the latest end that the owner was told
 * @acks: signals @acked and @dead
 * @orders: struct seam_lane_order
 * @dead: it is no longer served
 * @loops: threads that have not ended; the last one frees it
 */
struct post {
	struct seam_dispatch *dispatch;
	struct seam_handle self;
	uint32_t key;
	char id[SEAM_NAME];
	struct seam_runner *conn;
	int64_t lease_until;
	int64_t acked;
	int64_t born_ms;
	bool answered;
	size_t runs;
	uint64_t told;
	seam_time told_at;
	int64_t told_end;
	pthread_cond_t acks;
	GQueue orders;
	pthread_cond_t wake;
	bool dead;
	int loops;
};

/*
 * @session: the latest session; its token is 0 before the first
 * @over: it has ended
 * @heard_at: when its owner was heard last
 * @posts: struct post
 * @post_of: the owner's handle of a worker to its post
 * @busy: posts with runs
 * @events: struct seam_lane_event that the owner has not seen
 * @numbered: number of the latest one
 * @news: signals @events and the end of a session
 * @ended: signals that a post has gone
 */
struct seam_dispatch {
	struct seam_clock *clock;
	struct seam_runners *runners;
	pthread_mutex_t lock;
	struct seam_lane_session session;
	bool over;
	seam_time heard_at;
	struct seam_table *posts;
	GHashTable *post_of;
	GQueue events;
	uint64_t numbered;
	pthread_cond_t news;
	pthread_cond_t ended;
	bool leaving;
};

static void free_order(struct seam_lane_order *o)
{
	free(o->text);
	g_free(o);
}

static void free_event(struct seam_lane_event *v)
{
	seam_listing_free(&v->listing);
	g_free(v);
}

/* All below are called with the dispatcher's lock held. */

static void clear_events(struct seam_dispatch *d)
{
	struct seam_lane_event *v;

	while ((v = g_queue_pop_head(&d->events)))
		free_event(v);
}

static void retire(struct post *p)
{
	p->dead = true;
	pthread_cond_signal(&p->wake);
	pthread_cond_signal(&p->acks);
	g_hash_table_remove(p->dispatch->post_of, GUINT_TO_POINTER(p->key));
}

static void end_session(struct seam_dispatch *d)
{
	struct seam_handle h = SEAM_NONE;
	struct post *p;

	while ((p = seam_table_next(d->posts, &h)))
		if (!p->dead)
			retire(p);
	clear_events(d);
	d->over = true;
	pthread_cond_broadcast(&d->news);
}

static int compare(const struct seam_lane_session *a,
		   const struct seam_lane_session *b)
{
	if (a->token != b->token)
		return a->token < b->token ? -1 : 1;
	return (a->number > b->number) - (a->number < b->number);
}

/* Whether the owner of @p's session is still there. */
static bool is_attended(struct post *p)
{
	struct seam_dispatch *d = p->dispatch;

	if (!p->dead && seam_now(d->clock) > d->heard_at + SESSION_IDLE) {
		seam_log(SEAM_INFO, "dispatch",
			 "event=session_idle term=%llu number=%llu",
			 (unsigned long long)d->session.token,
			 (unsigned long long)d->session.number);
		end_session(d);
	}
	return !p->dead;
}

static void post_ended(struct post *p)
{
	struct seam_dispatch *d = p->dispatch;
	struct seam_lane_order *o;

	if (--p->loops)
		return;
	while ((o = g_queue_pop_head(&p->orders)))
		free_order(o);
	p->conn->ops->close(p->conn);
	pthread_cond_destroy(&p->wake);
	pthread_cond_destroy(&p->acks);
	seam_table_del(d->posts, p->self);
	seam_count_set(&served, (int64_t)seam_table_count(d->posts));
	pthread_cond_broadcast(&d->ended);
}

static struct seam_lane_event *add_event(struct seam_dispatch *d, uint32_t key,
					 int kind)
{
	struct seam_lane_event *v = g_new0(struct seam_lane_event, 1);

	v->number = ++d->numbered;
	v->kind = kind;
	v->key = key;
	g_queue_push_tail(&d->events, v);
	pthread_cond_broadcast(&d->news);
	return v;
}

static uint64_t hash_of(const struct seam_listing *l)
{
	uint64_t h = 0;
	size_t i;

	for (i = 0; i < l->runs; i++) {
		const struct seam_listed_run *r = &l->run[i];
		int64_t n[2] = {r->run, r->percent >= 100};

		h ^= XXH64(r->task, strlen(r->task), XXH64(n, sizeof(n), 1));
	}
	return h + l->runs;
}

/* Whether the owner does not know what @l says. */
static bool is_news(const struct post *p, const struct seam_listing *l,
		    uint64_t hash, seam_time now)
{
	return !p->answered || hash != p->told ||
	       now >= p->told_at + TELL_GAP ||
	       (l->ends && l->end[l->ends - 1].number > p->told_end);
}

static void tell_answer(struct seam_dispatch *d,
			const struct seam_lane_order *o, int rc,
			enum seam_refusal said, bool unknown,
			const struct seam_err *e)
{
	struct seam_lane_event *v = add_event(d, o->key, SEAM_LANE_ANSWERED);

	snprintf(v->task, sizeof(v->task), "%s", o->task);
	v->run = o->run;
	v->stop = o->stop;
	v->failed = rc ? e->kind : SEAM_OK;
	v->said = said;
	v->unknown = unknown;
	snprintf(v->why, sizeof(v->why), "%.60s", rc ? e->text : "");
}

/* Answers an order that is not sent. */
static void tell_unsent(struct seam_dispatch *d,
			const struct seam_lane_order *o, const char *why)
{
	struct seam_err e = SEAM_ERR_INIT;
	int rc = seam_fail(&e, SEAM_UNAVAILABLE, "%s", why);

	tell_answer(d, o, rc, SEAM_ORDER_INVALID, false, &e);
}

/* The worker has started again; orders and leases are of the life before. */
static void forget_life(struct post *p)
{
	struct seam_lane_order *o;

	while ((o = g_queue_pop_head(&p->orders))) {
		tell_unsent(p->dispatch, o, "the worker has restarted");
		free_order(o);
	}
	p->lease_until = 0;
	p->acked = 0;
	p->told_end = 0;
	p->answered = false;
}

static void look_answered(struct post *p, struct seam_listing *l,
			  seam_time sent_at)
{
	uint64_t hash = hash_of(l);
	seam_time now = seam_now(p->dispatch->clock);
	struct seam_lane_event *v;

	if (l->born_ms && p->born_ms && l->born_ms != p->born_ms)
		forget_life(p);
	if (l->born_ms)
		p->born_ms = l->born_ms;
	p->runs = l->runs;
	if (!is_news(p, l, hash, now)) {
		seam_listing_free(l);
		return;
	}
	p->answered = true;
	p->told = hash;
	p->told_at = now;
	if (l->ends)
		p->told_end = l->end[l->ends - 1].number;
	v = add_event(p->dispatch, p->key, SEAM_LANE_LISTED);
	v->listing = *l;
	v->sent_at = sent_at;
}

static void look_failed(struct post *p, int rc, enum seam_refusal said,
			const struct seam_err *e)
{
	struct seam_lane_event *v =
		add_event(p->dispatch, p->key, SEAM_LANE_SILENT);

	p->answered = false;
	v->failed = rc ? e->kind : SEAM_OK;
	v->said = said;
	snprintf(v->why, sizeof(v->why), "%.60s", rc ? e->text : "");
}

static size_t count_busy(struct seam_dispatch *d)
{
	struct seam_handle h = SEAM_NONE;
	struct post *p;
	size_t n = 0;

	while ((p = seam_table_next(d->posts, &h)))
		n += p->runs > 0;
	return n;
}

/* One look; returns the pause before the next, microseconds. */
static unsigned look(struct post *p)
{
	struct seam_dispatch *d = p->dispatch;
	seam_time now = seam_now(d->clock);
	/* After a look without an answer the lease is not renewed: the answers
	 * may be lost one way, and the lease has to run out some time. It may
	 * also have started again, and its ends be numbered anew. */
	struct seam_hold h = {.token = d->session.token,
			      .acked = p->answered ? p->acked : 0,
			      .lease_until = p->answered ? p->lease_until : 0};
	enum seam_refusal said = SEAM_ORDER_INVALID;
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_listing l = {0};
	seam_time deadline;
	int rc;

	if (h.lease_until)
		h.wait_ms = p->runs ? HOLD_WAIT_MS : HOLD_WAIT_IDLE_MS;
	deadline = now + h.wait_ms * SEAM_MSEC + HOLD_MARGIN;
	pthread_mutex_unlock(&d->lock);
	seam_count_add(&looks, 1);
	rc = p->conn->ops->hold(p->conn, &h, &said, &l, deadline, &e);
	pthread_mutex_lock(&d->lock);
	if (p->dead) {
		if (!rc && said == SEAM_ORDER_DONE)
			seam_listing_free(&l);
		return 0;
	}
	if (rc || said != SEAM_ORDER_DONE) {
		bool again = rc && p->answered;

		look_failed(p, rc, said, &e);
		return again ? HOLD_GAP_USEC : HOLD_RETRY_USEC;
	}
	look_answered(p, &l, now);
	return (unsigned)seam_look_gap(count_busy(d));
}

/* Waits until the ends that the worker has listed are acknowledged. */
static void wait_for_acks(struct post *p)
{
	struct seam_clock *k = p->dispatch->clock;
	seam_time until = seam_now(k) + ACK_WAIT;

	while (!p->dead && p->answered && p->acked < p->told_end &&
	       seam_now(k) < until)
		seam_wait(k, &p->acks, &p->dispatch->lock, until);
}

static void *look_loop(void *arg)
{
	struct post *p = arg;
	struct seam_dispatch *d = p->dispatch;
	unsigned pause;

	pthread_mutex_lock(&d->lock);
	while (is_attended(p)) {
		pause = look(p);
		pthread_mutex_unlock(&d->lock);
		g_usleep(pause);
		pthread_mutex_lock(&d->lock);
		wait_for_acks(p);
	}
	post_ended(p);
	pthread_mutex_unlock(&d->lock);
	return NULL;
}

/* Sends a start until it is answered; the lock is not held meanwhile. */
static int send_start(struct post *p, const struct seam_lane_order *o,
		      enum seam_refusal *said, bool *unknown,
		      struct seam_err *e)
{
	struct seam_dispatch *d = p->dispatch;
	struct seam_start s = {.task = o->task,
			       .run = o->run,
			       .text = o->text,
			       .token = d->session.token,
			       .lease_until = o->lease_until,
			       .checkpoint = o->checkpoint};
	int64_t clock_ms = 0;
	int tries;
	int rc = -1;

	for (tries = 0; tries < START_TRIES; tries++) {
		seam_time now = seam_now(d->clock);

		if (tries && now > o->repeat_by)
			break;
		seam_err_clear(e);
		pthread_mutex_unlock(&d->lock);
		rc = p->conn->ops->start(p->conn, &s, said, &clock_ms,
					 now + ORDER_CALL, e);
		pthread_mutex_lock(&d->lock);
		*unknown = *unknown || (rc && e->kind == SEAM_COMMIT_UNKNOWN);
		if (!rc || p->dead)
			break;
	}
	return rc;
}

static int send_stop(struct post *p, const struct seam_lane_order *o,
		     enum seam_refusal *said, struct seam_err *e)
{
	struct seam_dispatch *d = p->dispatch;
	uint64_t token = d->session.token;
	int rc;

	pthread_mutex_unlock(&d->lock);
	rc = p->conn->ops->stop(p->conn, o->task, o->run, token, said,
				seam_now(d->clock) + ORDER_CALL, e);
	pthread_mutex_lock(&d->lock);
	return rc;
}

static void send_order(struct post *p, const struct seam_lane_order *o)
{
	enum seam_refusal said = SEAM_ORDER_INVALID;
	struct seam_err e = SEAM_ERR_INIT;
	bool unknown = false;
	int rc;

	if (seam_now(p->dispatch->clock) > o->send_by)
		rc = seam_fail(&e, SEAM_UNAVAILABLE, "too late to be sent");
	else if (o->stop)
		rc = send_stop(p, o, &said, &e);
	else
		rc = send_start(p, o, &said, &unknown, &e);
	if (p->dead)
		return;
	if (!rc && !o->stop && said == SEAM_ORDER_DONE) {
		seam_count_add(&starts, 1);
		p->runs++;
	}
	tell_answer(p->dispatch, o, rc, said, unknown, &e);
}

static void *order_loop(void *arg)
{
	struct post *p = arg;
	struct seam_dispatch *d = p->dispatch;
	struct seam_lane_order *o;

	pthread_mutex_lock(&d->lock);
	while (!p->dead) {
		o = g_queue_pop_head(&p->orders);
		if (!o) {
			seam_wait(d->clock, &p->wake, &d->lock, SEAM_NEVER);
			continue;
		}
		send_order(p, o);
		free_order(o);
	}
	post_ended(p);
	pthread_mutex_unlock(&d->lock);
	return NULL;
}

/* Without its threads a worker is told as silent, so that it goes elsewhere. */
static void start_threads(struct post *p)
{
	static void *(*const loops[])(void *arg) = {look_loop, order_loop};
	struct seam_err e = SEAM_ERR_INIT;
	pthread_attr_t a;
	pthread_t t;

	pthread_attr_init(&a);
	pthread_attr_setstacksize(&a, STACK_BYTES);
	pthread_attr_setdetachstate(&a, PTHREAD_CREATE_DETACHED);
	while (p->loops < 2 && !pthread_create(&t, &a, loops[p->loops], p))
		p->loops++;
	pthread_attr_destroy(&a);
	if (p->loops == 2)
		return;
	seam_log(SEAM_ERROR, "dispatch",
		 "event=no_thread worker=%s workers=%zu", p->id,
		 seam_table_count(p->dispatch->posts));
	seam_fail(&e, SEAM_NO_MEMORY, "no thread for the worker");
	look_failed(p, -1, SEAM_ORDER_INVALID, &e);
	retire(p);
	p->loops++;
	post_ended(p);
}

static struct post *find_post(struct seam_dispatch *d, uint32_t key)
{
	return g_hash_table_lookup(d->post_of, GUINT_TO_POINTER(key));
}

static void add_post(struct seam_dispatch *d, const struct seam_lane_worker *w)
{
	struct seam_handle h;
	struct post *p = seam_table_add(d->posts, &h);

	if (!p)
		return;
	p->dispatch = d;
	p->self = h;
	p->key = w->key;
	snprintf(p->id, sizeof(p->id), "%s", w->id);
	p->lease_until = w->lease_until;
	p->acked = w->acked;
	p->born_ms = w->born_ms;
	p->conn = d->runners->ops->open(d->runners, w->id, w->addr);
	g_queue_init(&p->orders);
	seam_cond_init(&p->wake);
	seam_cond_init(&p->acks);
	g_hash_table_insert(d->post_of, GUINT_TO_POINTER(w->key), p);
	seam_count_set(&served, (int64_t)seam_table_count(d->posts));
	start_threads(p);
}

static void take_worker(struct seam_dispatch *d,
			const struct seam_lane_worker *w)
{
	struct post *p = find_post(d, w->key);

	if (w->drop) {
		if (p)
			retire(p);
	} else if (p) {
		if (w->born_ms && p->born_ms && w->born_ms != p->born_ms)
			return;
		if (w->lease_until > p->lease_until)
			p->lease_until = w->lease_until;
		if (w->acked > p->acked) {
			p->acked = w->acked;
			pthread_cond_signal(&p->acks);
		}
	} else if (*w->id) {
		add_post(d, w);
	}
}

/* Takes the text out of @from. */
static void take_order(struct seam_dispatch *d, struct seam_lane_order *from)
{
	struct post *p = find_post(d, from->key);
	struct seam_lane_order *o;

	if (!p) {
		tell_unsent(d, from, "the worker is not served");
		return;
	}
	o = g_memdup2(from, sizeof(*from));
	from->text = NULL;
	/* A stop frees room that a start may wait for. */
	if (o->stop)
		g_queue_push_head(&p->orders, o);
	else
		g_queue_push_tail(&p->orders, o);
	pthread_cond_signal(&p->wake);
}

/* Whether @s may be served; with @open it may be a new one. */
static int attend(struct seam_dispatch *d, const struct seam_lane_session *s,
		  bool open, struct seam_err *e)
{
	int order = compare(s, &d->session);

	if (d->leaving)
		return seam_fail(e, SEAM_DRAINING, "the node stops");
	if (order < 0 || (order > 0 && !open) || (!order && d->over))
		return seam_fail(e, SEAM_CONFLICT, "another session is served");
	if (order > 0) {
		end_session(d);
		d->session = *s;
		d->over = false;
		d->numbered = 0;
		seam_count_add(&sessions, 1);
		seam_log(SEAM_INFO, "dispatch",
			 "event=session term=%llu number=%llu",
			 (unsigned long long)s->token,
			 (unsigned long long)s->number);
	}
	d->heard_at = seam_now(d->clock);
	return 0;
}

int seam_dispatch_take(struct seam_dispatch *d, struct seam_lane_batch *b,
		       struct seam_err *e)
{
	size_t i;
	int rc;

	pthread_mutex_lock(&d->lock);
	rc = attend(d, &b->session, b->first, e);
	for (i = 0; !rc && i < b->workers; i++)
		take_worker(d, &b->worker[i]);
	for (i = 0; !rc && i < b->orders; i++)
		take_order(d, &b->order[i]);
	pthread_mutex_unlock(&d->lock);
	return rc;
}

static void copy_listing(struct seam_listing *to, const struct seam_listing *l)
{
	*to = *l;
	to->run = g_memdup2(l->run, l->runs * sizeof(*l->run));
	to->end = g_memdup2(l->end, l->ends * sizeof(*l->end));
}

static void copy_events(struct seam_dispatch *d, uint64_t seen,
			struct seam_lane_events *v)
{
	struct seam_lane_event *first;
	GList *at;

	while ((first = g_queue_peek_head(&d->events)) && first->number <= seen)
		free_event(g_queue_pop_head(&d->events));
	v->event = calloc(d->events.length + 1, sizeof(*v->event));
	for (at = d->events.head; v->event && at; at = at->next) {
		const struct seam_lane_event *from = at->data;
		struct seam_lane_event *to = &v->event[v->n++];

		*to = *from;
		copy_listing(&to->listing, &from->listing);
	}
}

int seam_dispatch_poll(struct seam_dispatch *d, const struct seam_lane_poll *p,
		       struct seam_lane_events *v, struct seam_err *e)
{
	seam_time until = seam_now(d->clock) + p->wait_ms * SEAM_MSEC;
	int rc;

	memset(v, 0, sizeof(*v));
	pthread_mutex_lock(&d->lock);
	rc = attend(d, &p->session, false, e);
	while (!rc && d->numbered <= p->seen && seam_now(d->clock) < until) {
		seam_wait(d->clock, &d->news, &d->lock, until);
		if (d->over || compare(&p->session, &d->session))
			rc = seam_fail(e, SEAM_CONFLICT, "the session ended");
	}
	if (!rc)
		copy_events(d, p->seen, v);
	pthread_mutex_unlock(&d->lock);
	return rc;
}

void seam_dispatch_end(struct seam_dispatch *d,
		       const struct seam_lane_session *s)
{
	pthread_mutex_lock(&d->lock);
	if (!compare(s, &d->session))
		end_session(d);
	pthread_mutex_unlock(&d->lock);
}

void seam_dispatch_leave(struct seam_dispatch *d)
{
	pthread_mutex_lock(&d->lock);
	d->leaving = true;
	end_session(d);
	pthread_mutex_unlock(&d->lock);
}

struct seam_dispatch *seam_dispatch_new(struct seam_clock *k,
					struct seam_runners *r)
{
	struct seam_dispatch *d = calloc(1, sizeof(*d));

	if (!d)
		return NULL;
	d->clock = k;
	d->runners = r;
	pthread_mutex_init(&d->lock, NULL);
	seam_cond_init(&d->news);
	seam_cond_init(&d->ended);
	g_queue_init(&d->events);
	d->posts = seam_table_new(sizeof(struct post));
	d->post_of = g_hash_table_new(NULL, NULL);
	return d;
}

void seam_dispatch_free(struct seam_dispatch *d)
{
	if (!d)
		return;
	pthread_mutex_lock(&d->lock);
	end_session(d);
	while (seam_table_count(d->posts))
		seam_wait(d->clock, &d->ended, &d->lock, SEAM_NEVER);
	pthread_mutex_unlock(&d->lock);
	g_hash_table_destroy(d->post_of);
	seam_table_free(d->posts);
	pthread_mutex_destroy(&d->lock);
	pthread_cond_destroy(&d->news);
	pthread_cond_destroy(&d->ended);
	free(d);
}

seam_time seam_dispatch_now(const struct seam_dispatch *d)
{
	return seam_now(d->clock);
}

/* The owner's own node. */
struct local {
	struct seam_lane base;
	struct seam_dispatch *dispatch;
	struct seam_lane_session session;
};

static int local_send(struct seam_lane *base, const struct seam_lane_batch *b,
		      seam_time deadline, struct seam_err *e)
{
	struct local *l = (struct local *)base;
	struct seam_lane_batch batch = *b;

	(void)deadline;
	l->session = b->session;
	return seam_dispatch_take(l->dispatch, &batch, e);
}

static int local_poll(struct seam_lane *base, const struct seam_lane_poll *p,
		      struct seam_lane_events *v, seam_time deadline,
		      struct seam_err *e)
{
	(void)deadline;
	return seam_dispatch_poll(((struct local *)base)->dispatch, p, v, e);
}

static void local_close(struct seam_lane *base)
{
	struct local *l = (struct local *)base;

	seam_dispatch_end(l->dispatch, &l->session);
	free(l);
}

static const struct seam_lane_ops local_ops = {
	.send = local_send,
	.poll = local_poll,
	.close = local_close,
};

struct seam_lane *seam_lane_local_new(struct seam_dispatch *d)
{
	struct local *l = calloc(1, sizeof(*l));

	if (!l)
		return NULL;
	l->base.ops = &local_ops;
	l->dispatch = d;
	return &l->base;
}
