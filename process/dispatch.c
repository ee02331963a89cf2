#include "process/dispatch_impl.h"
#include "base/metrics.h"
#include "base/log.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* An owner polls several times a second, so one that has not polled for this
 * time is presumed lost. */
#define SESSION_TIMEOUT (2 * SEAM_SEC)

SEAM_METRIC(sessions, "seam_dispatch_sessions_total",
	    "Sessions of owners that this node has served.");

void dispatch_free_order(struct seam_dispatch_order *o)
{
	free(o->order.text);
	g_free(o);
}

static void free_event(struct seam_lane_event *v)
{
	seam_listing_free(&v->listing);
	g_free(v);
}

static void clear_events(struct seam_dispatch *d)
{
	struct seam_lane_event *v;

	while ((v = g_queue_pop_head(&d->events)))
		free_event(v);
}

void dispatch_end_session(struct seam_dispatch *d)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_dispatch_worker *w;

	while ((w = seam_table_next(d->workers, &h)))
		if (!w->removed)
			dispatch_worker_drop(w);
	clear_events(d);
	d->session_ended = true;
	pthread_cond_broadcast(&d->events_changed);
}

static int compare_sessions(const struct seam_lane_session *a,
			    const struct seam_lane_session *b)
{
	if (a->token != b->token)
		return a->token < b->token ? -1 : 1;
	return (a->number > b->number) - (a->number < b->number);
}

/* Ends the session if its owner has not polled for SESSION_TIMEOUT. Returns
 * whether @w is still served. */
bool dispatch_check_session(struct seam_dispatch_worker *w)
{
	struct seam_dispatch *d = w->dispatch;

	if (!w->removed &&
	    seam_now(d->clock) > d->owner_seen_at + SESSION_TIMEOUT) {
		seam_log(SEAM_INFO, "dispatch",
			 "event=session_idle term=%llu number=%llu",
			 (unsigned long long)d->session.token,
			 (unsigned long long)d->session.number);
		dispatch_end_session(d);
	}
	return !w->removed;
}

struct seam_lane_event *dispatch_add_event(struct seam_dispatch *d,
					   uint32_t key, int kind)
{
	struct seam_lane_event *v = g_new0(struct seam_lane_event, 1);

	v->number = ++d->last_event;
	v->kind = kind;
	v->key = key;
	g_queue_push_tail(&d->events, v);
	pthread_cond_broadcast(&d->events_changed);
	return v;
}

/* Returns the event, for further members. */
struct seam_lane_event *
dispatch_report_answer(struct seam_dispatch *d, const struct seam_lane_order *o,
		       int rc, enum seam_order_outcome outcome, bool unknown,
		       const struct seam_err *e)
{
	struct seam_lane_event *v =
		dispatch_add_event(d, o->key, SEAM_LANE_ANSWERED);

	v->order = o->number;
	v->failed = rc ? e->kind : SEAM_OK;
	v->outcome = outcome;
	v->unknown = unknown;
	snprintf(v->why, sizeof(v->why), "%.60s", rc ? e->text : "");
	return v;
}

/* Reports the failure of an order that is not sent. */
void dispatch_reject_order(struct seam_dispatch *d,
			   const struct seam_lane_order *o, const char *why)
{
	struct seam_err e = SEAM_ERR_INIT;
	int rc = seam_fail(&e, SEAM_UNAVAILABLE, "%s", why);

	dispatch_report_answer(d, o, rc, SEAM_ORDER_INVALID, false, &e);
}

static struct seam_dispatch_worker *find_worker(struct seam_dispatch *d,
						uint32_t key)
{
	return g_hash_table_lookup(d->worker_by_key, GUINT_TO_POINTER(key));
}

static void apply_worker(struct seam_dispatch *d,
			 const struct seam_lane_worker *row)
{
	struct seam_dispatch_worker *w = find_worker(d, row->key);

	if (row->drop) {
		if (w)
			dispatch_worker_drop(w);
	} else if (w) {
		dispatch_worker_change(w, row);
	} else if (*row->id) {
		dispatch_worker_add(d, row);
	}
}

/* Moves the text out of @from. */
static void apply_order(struct seam_dispatch *d, struct seam_lane_order *from)
{
	struct seam_dispatch_worker *w = find_worker(d, from->key);
	struct seam_dispatch_order *o;

	if (!w || w->process_is_new) {
		dispatch_reject_order(
			d, from,
			w ? "the worker has restarted" :
			    "the node does not serve this worker");
		return;
	}
	o = g_new0(struct seam_dispatch_order, 1);
	o->order = *from;
	o->queued_at = seam_now(d->clock);
	from->text = NULL;
	dispatch_worker_queue_order(w, o);
}

/* Checks that @s is the current session; @open allows a later one to begin. */
static int accept_session(struct seam_dispatch *d,
			  const struct seam_lane_session *s, bool open,
			  struct seam_err *e)
{
	int order = compare_sessions(s, &d->session);

	if (d->stopping)
		return seam_fail(e, SEAM_DRAINING, "the node is shutting down");
	if (order < 0 || (order > 0 && !open) || (!order && d->session_ended))
		return seam_fail(e, SEAM_CONFLICT,
				 "the dispatcher serves another session");
	if (order > 0) {
		dispatch_end_session(d);
		d->session = *s;
		d->session_ended = false;
		d->last_event = 0;
		d->last_order = 0;
		seam_metric_add(&sessions, 1);
		seam_log(SEAM_INFO, "dispatch",
			 "event=session term=%llu number=%llu",
			 (unsigned long long)s->token,
			 (unsigned long long)s->number);
	}
	d->owner_seen_at = seam_now(d->clock);
	return 0;
}

/*
 * Whether the batch has been applied: libcurl sends it again if the connection
 * breaks before the answer. The owner takes one answer to each order.
 */
static bool is_repeated(const struct seam_dispatch *d,
			const struct seam_lane_batch *b)
{
	return b->orders && b->order[b->orders - 1].number <= d->last_order;
}

int seam_dispatch_apply(struct seam_dispatch *d, struct seam_lane_batch *b,
			struct seam_err *e)
{
	size_t i;
	int rc;

	pthread_mutex_lock(&d->lock);
	rc = accept_session(d, &b->session, b->first, e);
	if (!rc && is_repeated(d, b)) {
		pthread_mutex_unlock(&d->lock);
		return 0;
	}
	for (i = 0; !rc && i < b->workers; i++)
		apply_worker(d, &b->worker[i]);
	for (i = 0; !rc && i < b->orders; i++)
		apply_order(d, &b->order[i]);
	if (!rc && b->orders)
		d->last_order = b->order[b->orders - 1].number;
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
	rc = accept_session(d, &p->session, false, e);
	while (!rc && d->last_event <= p->seen && seam_now(d->clock) < until) {
		seam_wait(d->clock, &d->events_changed, &d->lock, until);
		if (d->session_ended ||
		    compare_sessions(&p->session, &d->session))
			rc = seam_fail(e, SEAM_CONFLICT,
				       "the session has ended");
	}
	if (!rc)
		copy_events(d, p->seen, v);
	v->node_now = seam_now(d->clock);
	pthread_mutex_unlock(&d->lock);
	return rc;
}

void seam_dispatch_end_session(struct seam_dispatch *d,
			       const struct seam_lane_session *s)
{
	pthread_mutex_lock(&d->lock);
	if (!compare_sessions(s, &d->session))
		dispatch_end_session(d);
	pthread_mutex_unlock(&d->lock);
}

void seam_dispatch_shutdown(struct seam_dispatch *d)
{
	pthread_mutex_lock(&d->lock);
	d->stopping = true;
	dispatch_end_session(d);
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
	seam_cond_init(&d->events_changed);
	seam_cond_init(&d->worker_freed);
	g_queue_init(&d->events);
	d->workers = seam_table_new(sizeof(struct seam_dispatch_worker));
	d->worker_by_key = g_hash_table_new(NULL, NULL);
	return d;
}

void seam_dispatch_free(struct seam_dispatch *d)
{
	if (!d)
		return;
	pthread_mutex_lock(&d->lock);
	dispatch_end_session(d);
	while (seam_table_count(d->workers))
		seam_wait(d->clock, &d->worker_freed, &d->lock, SEAM_NEVER);
	pthread_mutex_unlock(&d->lock);
	g_hash_table_destroy(d->worker_by_key);
	seam_table_free(d->workers);
	pthread_mutex_destroy(&d->lock);
	pthread_cond_destroy(&d->events_changed);
	pthread_cond_destroy(&d->worker_freed);
	free(d);
}

seam_time seam_dispatch_now(const struct seam_dispatch *d)
{
	return seam_now(d->clock);
}
