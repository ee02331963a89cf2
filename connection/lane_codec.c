/* MessagePack messages between an owner and the dispatchers of other nodes. */
#include "connection/lane.h"
#include "base/pack.h"

#include <stdlib.h>
#include <string.h>

/*
 * First element of each message. A node of another version refuses the message,
 * so that the owner serves its workers from elsewhere.
 */
#define LANE_FORMAT 6

/* Lengths of the rows. */
#define DROP_LEN 1
#define CHANGE_LEN 5
#define WORKER_LEN 7
#define STOP_LEN 6
#define START_LEN 10
#define LISTED_LEN 11
#define SILENT_LEN 6
#define ANSWERED_LEN 12

void seam_lane_batch_free(struct seam_lane_batch *b)
{
	size_t i;

	for (i = 0; b->order && i < b->orders; i++)
		free(b->order[i].text);
	free(b->order);
	free(b->worker);
	b->order = NULL;
	b->worker = NULL;
	b->orders = 0;
	b->workers = 0;
}

void seam_lane_events_free(struct seam_lane_events *v)
{
	size_t i;

	for (i = 0; v->event && i < v->n; i++)
		seam_listing_free(&v->event[i].listing);
	free(v->event);
	v->event = NULL;
	v->n = 0;
}

/*
 * The key alone for a dropped worker; for a change the members that change; id
 * and address as well for a new worker.
 */
static void pack_worker(struct seam_packer *p, const struct seam_lane_worker *w)
{
	seam_pack_array(p, w->drop ? DROP_LEN :
			   *w->id  ? WORKER_LEN :
				     CHANGE_LEN);
	seam_pack_uint(p, w->key);
	if (w->drop)
		return;
	seam_pack_int(p, w->lease_until);
	seam_pack_int(p, w->acked);
	seam_pack_int(p, w->process_start_ms);
	seam_pack_uint(p, w->token);
	if (!*w->id)
		return;
	seam_pack_str(p, w->id);
	seam_pack_str(p, w->addr);
}

/* A text of a received batch, shared by the orders that refer to it. */
struct text {
	char *data;
	size_t len;
};

static bool same_text(const struct seam_lane_order *a,
		      const struct seam_lane_order *b)
{
	return a->text_len == b->text_len &&
	       !memcmp(a->text, b->text, a->text_len);
}

/* Returns the index of the text of order @i among the texts of the batch. */
static size_t text_index(const struct seam_lane_batch *b, const size_t *index,
			 size_t i, size_t texts)
{
	size_t k;

	for (k = 0; k < i; k++)
		if (!b->order[k].stop && same_text(&b->order[k], &b->order[i]))
			return index[k];
	return texts;
}

/*
 * The texts of the orders, each once: tasks of a job have the same. @index
 * receives the position of each order's text.
 */
static void pack_texts(struct seam_packer *p, const struct seam_lane_batch *b,
		       size_t *index)
{
	size_t *first = calloc(b->orders + 1, sizeof(*first));
	size_t texts = 0;
	size_t i;

	for (i = 0; first && i < b->orders; i++) {
		if (b->order[i].stop)
			continue;
		index[i] = text_index(b, index, i, texts);
		if (index[i] == texts)
			first[texts++] = i;
	}
	p->failed = p->failed || !first;
	seam_pack_array(p, texts);
	for (i = 0; i < texts; i++)
		seam_pack_text(p, b->order[first[i]].text,
			       b->order[first[i]].text_len);
	free(first);
}

static void pack_order(struct seam_packer *p, const struct seam_lane_order *o,
		       size_t text)
{
	seam_pack_array(p, o->stop ? STOP_LEN : START_LEN);
	seam_pack_uint(p, o->number);
	seam_pack_uint(p, o->key);
	seam_pack_str(p, o->task);
	seam_pack_int(p, o->run);
	seam_pack_int(p, o->send_by);
	seam_pack_int(p, o->repeat_by);
	if (o->stop)
		return;
	seam_pack_int(p, o->lease_until);
	seam_pack_str(p, o->checkpoint);
	seam_pack_uint(p, text);
	seam_pack_uint(p, o->poll_first);
}

static void pack_session(struct seam_packer *p,
			 const struct seam_lane_session *s)
{
	seam_pack_uint(p, LANE_FORMAT);
	seam_pack_uint(p, s->token);
	seam_pack_uint(p, s->number);
}

char *seam_lane_batch_encode(const struct seam_lane_batch *b, size_t *len)
{
	size_t *text = calloc(b->orders + 1, sizeof(*text));
	struct seam_packer p;
	size_t i;

	seam_pack_init(&p);
	seam_pack_array(&p, 7);
	pack_session(&p, &b->session);
	seam_pack_uint(&p, b->first);
	seam_pack_array(&p, b->workers);
	for (i = 0; i < b->workers; i++)
		pack_worker(&p, &b->worker[i]);
	if (text)
		pack_texts(&p, b, text);
	p.failed = p.failed || !text;
	seam_pack_array(&p, b->orders);
	for (i = 0; text && i < b->orders; i++)
		pack_order(&p, &b->order[i], text[i]);
	free(text);
	return seam_pack_finish(&p, len);
}

/* Reads a time of a node's clock, which can be added to and subtracted from. */
static seam_time unpack_clock(struct seam_unpacker *u)
{
	seam_time t = seam_unpack_int(u);

	if (t < -SEAM_NEVER / 4 || t > SEAM_NEVER / 4)
		u->malformed = true;
	return t;
}

/* Reads the format and the session; the message has @n elements. */
static void unpack_session(struct seam_unpacker *u, size_t n,
			   struct seam_lane_session *s)
{
	if (seam_unpack_array(u) != n || seam_unpack_uint(u) != LANE_FORMAT)
		u->malformed = true;
	s->token = seam_unpack_uint(u);
	s->number = seam_unpack_uint(u);
}

static void unpack_worker(struct seam_unpacker *u, struct seam_lane_worker *w)
{
	size_t n = seam_unpack_array(u);

	if (n != DROP_LEN && n != CHANGE_LEN && n != WORKER_LEN) {
		u->malformed = true;
		return;
	}
	w->key = (uint32_t)seam_unpack_uint(u);
	w->drop = n == DROP_LEN;
	if (w->drop)
		return;
	w->lease_until = seam_unpack_int(u);
	w->acked = seam_unpack_int(u);
	w->process_start_ms = seam_unpack_int(u);
	w->token = seam_unpack_uint(u);
	if (n == CHANGE_LEN)
		return;
	seam_unpack_str(u, w->id, sizeof(w->id));
	seam_unpack_str(u, w->addr, sizeof(w->addr));
}

static void copy_text(struct seam_unpacker *u, const struct text *from,
		      struct seam_lane_order *o)
{
	o->text = malloc(from->len + 1);
	if (!o->text) {
		u->malformed = true;
		return;
	}
	memcpy(o->text, from->data, from->len + 1);
	o->text_len = from->len;
}

static void unpack_order(struct seam_unpacker *u, const struct text *text,
			 size_t texts, struct seam_lane_order *o)
{
	size_t n = seam_unpack_array(u);
	size_t i;

	if (n != STOP_LEN && n != START_LEN) {
		u->malformed = true;
		return;
	}
	o->number = seam_unpack_uint(u);
	o->key = (uint32_t)seam_unpack_uint(u);
	seam_unpack_str(u, o->task, sizeof(o->task));
	o->run = seam_unpack_int(u);
	o->send_by = unpack_clock(u);
	o->repeat_by = unpack_clock(u);
	o->stop = n == STOP_LEN;
	if (o->stop)
		return;
	o->lease_until = seam_unpack_int(u);
	seam_unpack_str(u, o->checkpoint, sizeof(o->checkpoint));
	i = seam_unpack_uint(u);
	o->poll_first = seam_unpack_uint(u);
	if (!u->malformed && i < texts)
		copy_text(u, &text[i], o);
	else
		u->malformed = true;
}

static void unpack_workers(struct seam_unpacker *u, struct seam_lane_batch *b)
{
	size_t n = seam_unpack_array(u);

	b->worker = calloc(n + 1, sizeof(*b->worker));
	u->malformed = u->malformed || !b->worker;
	while (!u->malformed && b->workers < n)
		unpack_worker(u, &b->worker[b->workers++]);
}

static void unpack_orders(struct seam_unpacker *u, const struct text *text,
			  size_t texts, struct seam_lane_batch *b)
{
	size_t n = seam_unpack_array(u);

	b->order = calloc(n + 1, sizeof(*b->order));
	u->malformed = u->malformed || !b->order;
	while (!u->malformed && b->orders < n)
		unpack_order(u, text, texts, &b->order[b->orders++]);
}

/* Reads the texts and the orders, which refer to them. */
static void unpack_texts_and_orders(struct seam_unpacker *u,
				    struct seam_lane_batch *b)
{
	size_t n = seam_unpack_array(u);
	struct text *text = calloc(n + 1, sizeof(*text));
	size_t i;

	u->malformed = u->malformed || !text;
	for (i = 0; !u->malformed && i < n; i++)
		text[i].data = seam_unpack_text(u, &text[i].len);
	if (!u->malformed)
		unpack_orders(u, text, n, b);
	for (i = 0; text && i < n; i++)
		free(text[i].data);
	free(text);
}

int seam_lane_batch_decode(const char *data, size_t len,
			   struct seam_lane_batch *b, struct seam_err *e)
{
	struct seam_unpacker u;

	memset(b, 0, sizeof(*b));
	seam_unpack_init(&u, data, len);
	unpack_session(&u, 7, &b->session);
	b->first = seam_unpack_uint(&u);
	unpack_workers(&u, b);
	unpack_texts_and_orders(&u, b);
	if (seam_unpack_done(&u))
		return 0;
	seam_lane_batch_free(b);
	return seam_fail(e, SEAM_BAD_REQUEST,
			 "batch: malformed or of another format than %d",
			 LANE_FORMAT);
}

char *seam_lane_answer_encode(seam_time node_now, size_t *len)
{
	struct seam_packer p;

	seam_pack_init(&p);
	seam_pack_array(&p, 2);
	seam_pack_uint(&p, LANE_FORMAT);
	seam_pack_int(&p, node_now);
	return seam_pack_finish(&p, len);
}

int seam_lane_answer_decode(const char *data, size_t len, seam_time *node_now,
			    struct seam_err *e)
{
	struct seam_unpacker u;

	seam_unpack_init(&u, data, len);
	if (seam_unpack_array(&u) != 2 || seam_unpack_uint(&u) != LANE_FORMAT)
		u.malformed = true;
	*node_now = unpack_clock(&u);
	if (seam_unpack_done(&u))
		return 0;
	return seam_fail(e, SEAM_BAD_REQUEST,
			 "answer: malformed or of another format than %d",
			 LANE_FORMAT);
}

char *seam_lane_poll_encode(const struct seam_lane_poll *q, size_t *len)
{
	struct seam_packer p;

	seam_pack_init(&p);
	seam_pack_array(&p, 5);
	pack_session(&p, &q->session);
	seam_pack_uint(&p, q->seen);
	seam_pack_int(&p, q->wait_ms);
	return seam_pack_finish(&p, len);
}

int seam_lane_poll_decode(const char *data, size_t len,
			  struct seam_lane_poll *q, struct seam_err *e)
{
	struct seam_unpacker u;

	memset(q, 0, sizeof(*q));
	seam_unpack_init(&u, data, len);
	unpack_session(&u, 5, &q->session);
	q->seen = seam_unpack_uint(&u);
	q->wait_ms = seam_unpack_int(&u);
	if (seam_unpack_done(&u))
		return 0;
	return seam_fail(e, SEAM_BAD_REQUEST,
			 "poll: malformed or of another format than %d",
			 LANE_FORMAT);
}

static void pack_listing(struct seam_packer *p, const struct seam_listing *l)
{
	size_t i;

	seam_pack_array(p, l->runs);
	for (i = 0; i < l->runs; i++) {
		seam_pack_array(p, 5);
		seam_pack_str(p, l->run[i].task);
		seam_pack_int(p, l->run[i].run);
		seam_pack_str(p, l->run[i].checkpoint);
		seam_pack_int(p, l->run[i].percent);
		seam_pack_int(p, l->run[i].level);
	}
	seam_pack_array(p, l->ends);
	for (i = 0; i < l->ends; i++) {
		seam_pack_array(p, 5);
		seam_pack_int(p, l->end[i].number);
		seam_pack_str(p, l->end[i].task);
		seam_pack_int(p, l->end[i].run);
		seam_pack_int(p, l->end[i].reason);
		seam_pack_str(p, l->end[i].checkpoint);
	}
}

static void pack_listed(struct seam_packer *p, const struct seam_lane_event *v,
			seam_time now)
{
	seam_pack_int(p, now - v->sent_at);
	seam_pack_int(p, v->listing.clock_ms);
	seam_pack_int(p, v->listing.process_start_ms);
	seam_pack_uint(p, v->token);
	seam_pack_uint(p, v->unchanged);
	seam_pack_uint(p, v->listing.more_ends);
	pack_listing(p, &v->listing);
}

static void pack_event(struct seam_packer *p, const struct seam_lane_event *v,
		       seam_time now)
{
	seam_pack_array(p, v->kind == SEAM_LANE_LISTED ? LISTED_LEN :
			   v->kind == SEAM_LANE_SILENT ? SILENT_LEN :
							 ANSWERED_LEN);
	seam_pack_uint(p, v->number);
	seam_pack_int(p, v->kind);
	seam_pack_uint(p, v->key);
	if (v->kind == SEAM_LANE_LISTED) {
		pack_listed(p, v, now);
		return;
	}
	seam_pack_int(p, v->failed);
	seam_pack_int(p, v->outcome);
	seam_pack_str(p, v->why);
	if (v->kind == SEAM_LANE_SILENT)
		return;
	seam_pack_uint(p, v->order);
	seam_pack_uint(p, v->unknown);
	seam_pack_int(p, v->lease_ms);
	seam_pack_uint(p, v->calls);
	seam_pack_int(p, v->call_ms);
	seam_pack_int(p, v->lost_ms);
}

char *seam_lane_events_encode(const struct seam_lane_events *v,
			      seam_time asked_at, seam_time now, size_t *len)
{
	struct seam_packer p;
	size_t i;

	seam_pack_init(&p);
	seam_pack_array(&p, 4);
	seam_pack_uint(&p, LANE_FORMAT);
	seam_pack_int(&p, now);
	seam_pack_int(&p, now - asked_at);
	seam_pack_array(&p, v->n);
	for (i = 0; i < v->n; i++)
		pack_event(&p, &v->event[i], now);
	return seam_pack_finish(&p, len);
}

static void unpack_run(struct seam_unpacker *u, struct seam_listed_run *r)
{
	if (seam_unpack_array(u) != 5)
		u->malformed = true;
	seam_unpack_str(u, r->task, sizeof(r->task));
	r->run = seam_unpack_int(u);
	seam_unpack_str(u, r->checkpoint, sizeof(r->checkpoint));
	r->percent = (int)seam_unpack_int(u);
	r->level = seam_unpack_int(u);
}

static void unpack_end(struct seam_unpacker *u, struct seam_listed_end *d)
{
	if (seam_unpack_array(u) != 5)
		u->malformed = true;
	d->number = seam_unpack_int(u);
	seam_unpack_str(u, d->task, sizeof(d->task));
	d->run = seam_unpack_int(u);
	d->reason = (int)seam_unpack_int(u);
	if (d->reason < 0 || d->reason >= SEAM_END_REASONS)
		d->reason = SEAM_END_STOPPED;
	seam_unpack_str(u, d->checkpoint, sizeof(d->checkpoint));
}

static void unpack_listing(struct seam_unpacker *u, struct seam_listing *l)
{
	size_t n = seam_unpack_array(u);

	l->run = calloc(n + 1, sizeof(*l->run));
	u->malformed = u->malformed || !l->run;
	while (!u->malformed && l->runs < n)
		unpack_run(u, &l->run[l->runs++]);
	n = seam_unpack_array(u);
	l->end = calloc(n + 1, sizeof(*l->end));
	u->malformed = u->malformed || !l->end;
	while (!u->malformed && l->ends < n)
		unpack_end(u, &l->end[l->ends++]);
}

static void unpack_listed(struct seam_unpacker *u, seam_time written_at,
			  struct seam_lane_event *v)
{
	v->sent_at = written_at - seam_unpack_int(u);
	v->listing.clock_ms = seam_unpack_int(u);
	v->listing.process_start_ms = seam_unpack_int(u);
	v->token = seam_unpack_uint(u);
	v->unchanged = seam_unpack_uint(u);
	v->listing.more_ends = seam_unpack_uint(u);
	unpack_listing(u, &v->listing);
}

/* Returns a time in milliseconds of calls that a node made for an order. */
static int64_t unpack_time(struct seam_unpacker *u)
{
	int64_t ms = seam_unpack_int(u);

	if (ms >= 0 && ms <= SEAM_LANE_CALLS_MS_MAX)
		return ms;
	u->malformed = true;
	return 0;
}

static void unpack_event(struct seam_unpacker *u, seam_time written_at,
			 struct seam_lane_event *v)
{
	size_t n = seam_unpack_array(u);

	v->number = seam_unpack_uint(u);
	v->kind = (int)seam_unpack_int(u);
	v->key = (uint32_t)seam_unpack_uint(u);
	if (v->kind == SEAM_LANE_LISTED && n == LISTED_LEN) {
		unpack_listed(u, written_at, v);
		return;
	}
	if (!(v->kind == SEAM_LANE_SILENT && n == SILENT_LEN) &&
	    !(v->kind == SEAM_LANE_ANSWERED && n == ANSWERED_LEN)) {
		u->malformed = true;
		return;
	}
	v->failed = (enum seam_err_kind)seam_unpack_int(u);
	v->outcome = (enum seam_order_outcome)seam_unpack_int(u);
	seam_unpack_str(u, v->why, sizeof(v->why));
	if (v->kind == SEAM_LANE_SILENT)
		return;
	v->order = seam_unpack_uint(u);
	v->unknown = seam_unpack_uint(u);
	v->lease_ms = seam_unpack_int(u);
	v->calls = (unsigned)seam_unpack_uint(u);
	v->call_ms = unpack_time(u);
	v->lost_ms = unpack_time(u);
}

/*
 * The node wrote the response at the earliest at @asked_at plus the time for
 * which it delayed the response. The age of a listing is subtracted from that,
 * so that sent_at is never later than the time at which the worker was polled.
 */
int seam_lane_events_decode(const char *data, size_t len, seam_time asked_at,
			    struct seam_lane_events *v, struct seam_err *e)
{
	struct seam_unpacker u;
	seam_time written_at;
	size_t n;

	memset(v, 0, sizeof(*v));
	seam_unpack_init(&u, data, len);
	if (seam_unpack_array(&u) != 4 || seam_unpack_uint(&u) != LANE_FORMAT)
		u.malformed = true;
	v->node_now = unpack_clock(&u);
	written_at = asked_at + seam_unpack_int(&u);
	n = seam_unpack_array(&u);
	v->event = calloc(n + 1, sizeof(*v->event));
	u.malformed = u.malformed || !v->event;
	while (!u.malformed && v->n < n)
		unpack_event(&u, written_at, &v->event[v->n++]);
	if (seam_unpack_done(&u))
		return 0;
	seam_lane_events_free(v);
	return seam_fail(e, SEAM_BAD_REQUEST,
			 "events: malformed or of another format than %d",
			 LANE_FORMAT);
}
