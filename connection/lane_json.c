/* JSON messages between an owner and the dispatchers of other nodes. */
#include "connection/lane.h"
#include "base/json.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

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

	for (i = 0; i < v->n; i++)
		seam_listing_free(&v->event[i].listing);
	free(v->event);
	v->event = NULL;
	v->n = 0;
}

static void add_int(struct json_object *row, int64_t v)
{
	json_object_array_add(row, json_object_new_int64(v));
}

static void add_text(struct json_object *row, const char *s)
{
	json_object_array_add(row, json_object_new_string(s));
}

/*
 * The key alone for a dropped worker; the key, @lease_until, @acked and
 * @process_start_ms for a change; id and address as well for a new worker.
 */
static struct json_object *worker_row(const struct seam_lane_worker *w)
{
	struct json_object *row = json_object_new_array();

	add_int(row, w->key);
	if (w->drop)
		return row;
	add_int(row, w->lease_until);
	add_int(row, w->acked);
	add_int(row, w->process_start_ms);
	if (!*w->id)
		return row;
	add_text(row, w->id);
	add_text(row, w->addr);
	return row;
}

/*
 * Pairs of a key and a token, for workers whose token is not that of the
 * session. Nodes of versions without tokens of workers ignore them.
 */
static struct json_object *tokens_json(const struct seam_lane_batch *b)
{
	struct json_object *list = json_object_new_array();
	size_t i;

	for (i = 0; i < b->workers; i++) {
		struct json_object *row;

		if (!b->worker[i].token)
			continue;
		row = json_object_new_array();
		add_int(row, b->worker[i].key);
		add_int(row, (int64_t)b->worker[i].token);
		json_object_array_add(list, row);
	}
	return list;
}

static struct json_object *order_row(const struct seam_lane_order *o,
				     seam_time now)
{
	struct json_object *row = json_object_new_array();

	add_int(row, o->key);
	add_text(row, o->task);
	add_int(row, o->run);
	add_int(row, o->send_by - now);
	add_int(row, o->repeat_by - now);
	if (o->stop)
		return row;
	add_int(row, o->lease_until);
	add_text(row, o->checkpoint);
	add_text(row, o->text);
	return row;
}

/*
 * Indices of the orders with @poll_first. Nodes of versions without it ignore
 * them.
 */
static struct json_object *poll_first_json(const struct seam_lane_batch *b)
{
	struct json_object *list = json_object_new_array();
	size_t i;

	for (i = 0; i < b->orders; i++)
		if (b->order[i].poll_first)
			add_int(list, (int64_t)i);
	return list;
}

static void add_session(struct json_object *o,
			const struct seam_lane_session *s)
{
	seam_json_add_int(o, "token", (int64_t)s->token);
	seam_json_add_int(o, "session", (int64_t)s->number);
}

struct json_object *seam_lane_batch_to_json(const struct seam_lane_batch *b,
					    seam_time now)
{
	struct json_object *o = json_object_new_object();
	struct json_object *workers = json_object_new_array();
	struct json_object *orders = json_object_new_array();
	size_t i;

	add_session(o, &b->session);
	seam_json_add_int(o, "first", b->first);
	for (i = 0; i < b->workers; i++)
		json_object_array_add(workers, worker_row(&b->worker[i]));
	for (i = 0; i < b->orders; i++)
		json_object_array_add(orders, order_row(&b->order[i], now));
	json_object_object_add(o, "workers", workers);
	json_object_object_add(o, "orders", orders);
	json_object_object_add(o, "tokens", tokens_json(b));
	json_object_object_add(o, "poll_first", poll_first_json(b));
	return o;
}

static int read_worker(struct json_object *row, struct seam_lane_worker *w)
{
	size_t n = seam_json_array_length(row);

	if (n != 1 && n != 4 && n != 6)
		return -1;
	w->key = (uint32_t)seam_json_int_at(row, 0);
	w->drop = n == 1;
	if (w->drop)
		return 0;
	w->lease_until = seam_json_int_at(row, 1);
	w->acked = seam_json_int_at(row, 2);
	w->process_start_ms = seam_json_int_at(row, 3);
	if (n == 4)
		return 0;
	seam_json_copy_at(w->id, sizeof(w->id), row, 4);
	seam_json_copy_at(w->addr, sizeof(w->addr), row, 5);
	return 0;
}

static int read_order(struct json_object *row, seam_time now,
		      struct seam_lane_order *o)
{
	size_t n = seam_json_array_length(row);

	if (n != 5 && n != 8)
		return -1;
	o->key = (uint32_t)seam_json_int_at(row, 0);
	seam_json_copy_at(o->task, sizeof(o->task), row, 1);
	o->run = seam_json_int_at(row, 2);
	o->send_by = now + seam_json_int_at(row, 3);
	o->repeat_by = now + seam_json_int_at(row, 4);
	o->stop = n == 5;
	if (o->stop)
		return 0;
	o->lease_until = seam_json_int_at(row, 5);
	seam_json_copy_at(o->checkpoint, sizeof(o->checkpoint), row, 6);
	o->text = strdup(seam_json_str_at(row, 7));
	return o->text ? 0 : -1;
}

/* The tokens are in the order of the workers. */
static int read_tokens(struct json_object *tokens, struct seam_lane_batch *b)
{
	size_t worker = 0;
	size_t i;

	for (i = 0; i < seam_json_array_length(tokens); i++) {
		struct json_object *row = json_object_array_get_idx(tokens, i);
		uint32_t key = (uint32_t)seam_json_int_at(row, 0);

		while (worker < b->workers && b->worker[worker].key != key)
			worker++;
		if (worker == b->workers)
			return -1;
		b->worker[worker].token = (uint64_t)seam_json_int_at(row, 1);
	}
	return 0;
}

static int read_poll_first(struct json_object *list, struct seam_lane_batch *b)
{
	size_t i;

	for (i = 0; i < seam_json_array_length(list); i++) {
		int64_t at = seam_json_int_at(list, i);

		if (at < 0 || (size_t)at >= b->orders)
			return -1;
		b->order[at].poll_first = true;
	}
	return 0;
}

/* Decodes the rows of a batch; -1 if one of them is malformed. */
static int read_rows(struct json_object *workers, struct json_object *orders,
		     seam_time now, struct seam_lane_batch *b)
{
	size_t i;

	for (i = 0; i < seam_json_array_length(workers); i++)
		if (read_worker(json_object_array_get_idx(workers, i),
				&b->worker[b->workers++]))
			return -1;
	for (i = 0; i < seam_json_array_length(orders); i++)
		if (read_order(json_object_array_get_idx(orders, i), now,
			       &b->order[b->orders++]))
			return -1;
	return 0;
}

int seam_lane_batch_parse(struct json_object *o, seam_time now,
			  struct seam_lane_batch *b, struct seam_err *e)
{
	struct json_object *workers = seam_json_member(o, "workers");
	struct json_object *orders = seam_json_member(o, "orders");

	memset(b, 0, sizeof(*b));
	if (!json_object_is_type(workers, json_type_array) ||
	    !json_object_is_type(orders, json_type_array))
		return seam_fail(e, SEAM_BAD_REQUEST,
				 "batch: workers and orders must be arrays");
	b->session.token = (uint64_t)seam_json_int(o, "token", 0);
	b->session.number = (uint64_t)seam_json_int(o, "session", 0);
	b->first = seam_json_int(o, "first", 0);
	b->worker =
		calloc(seam_json_array_length(workers) + 1, sizeof(*b->worker));
	b->order =
		calloc(seam_json_array_length(orders) + 1, sizeof(*b->order));
	if (!b->worker || !b->order) {
		seam_lane_batch_free(b);
		return seam_fail(e, SEAM_NO_MEMORY, NULL);
	}
	if (!read_rows(workers, orders, now, b) &&
	    !read_tokens(seam_json_member(o, "tokens"), b) &&
	    !read_poll_first(seam_json_member(o, "poll_first"), b))
		return 0;
	seam_lane_batch_free(b);
	return seam_fail(e, SEAM_BAD_REQUEST,
			 "batch: malformed row in workers, orders, tokens or "
			 "poll_first");
}

static struct json_object *runs_json(const struct seam_listing *l)
{
	struct json_object *list = json_object_new_array();
	size_t i;

	for (i = 0; i < l->runs; i++) {
		struct json_object *row = json_object_new_array();

		add_text(row, l->run[i].task);
		add_int(row, l->run[i].run);
		add_text(row, l->run[i].checkpoint);
		add_int(row, l->run[i].percent);
		add_int(row, l->run[i].level);
		json_object_array_add(list, row);
	}
	return list;
}

static struct json_object *ends_json(const struct seam_listing *l)
{
	struct json_object *list = json_object_new_array();
	size_t i;

	for (i = 0; i < l->ends; i++) {
		struct json_object *row = json_object_new_array();

		add_int(row, l->end[i].number);
		add_text(row, l->end[i].task);
		add_int(row, l->end[i].run);
		add_int(row, l->end[i].reason);
		add_text(row, l->end[i].checkpoint);
		json_object_array_add(list, row);
	}
	return list;
}

static struct json_object *event_row(const struct seam_lane_event *v,
				     seam_time now)
{
	struct json_object *row = json_object_new_array();

	add_int(row, (int64_t)v->number);
	add_int(row, v->kind);
	add_int(row, v->key);
	if (v->kind == SEAM_LANE_LISTED) {
		add_int(row, now - v->sent_at);
		add_int(row, v->listing.clock_ms);
		add_int(row, v->listing.process_start_ms);
		json_object_array_add(row, runs_json(&v->listing));
		json_object_array_add(row, ends_json(&v->listing));
		if (v->token)
			add_int(row, (int64_t)v->token);
		return row;
	}
	add_int(row, v->failed);
	add_int(row, v->outcome);
	add_text(row, v->why);
	if (v->kind == SEAM_LANE_SILENT)
		return row;
	add_text(row, v->task);
	add_int(row, v->run);
	add_int(row, v->stop);
	add_int(row, v->unknown);
	return row;
}

/*
 * Pairs of the number of an event and its @lease_ms. Owners of versions without
 * it ignore them.
 */
static struct json_object *leases_json(const struct seam_lane_events *v)
{
	struct json_object *list = json_object_new_array();
	size_t i;

	for (i = 0; i < v->n; i++) {
		struct json_object *row;

		if (!v->event[i].lease_ms)
			continue;
		row = json_object_new_array();
		add_int(row, (int64_t)v->event[i].number);
		add_int(row, v->event[i].lease_ms);
		json_object_array_add(list, row);
	}
	return list;
}

struct json_object *seam_lane_events_to_json(const struct seam_lane_events *v,
					     seam_time asked_at, seam_time now)
{
	struct json_object *o = json_object_new_object();
	struct json_object *list = json_object_new_array();
	size_t i;

	seam_json_add_int(o, "held_us", now - asked_at);
	for (i = 0; i < v->n; i++)
		json_object_array_add(list, event_row(&v->event[i], now));
	json_object_object_add(o, "events", list);
	json_object_object_add(o, "leases", leases_json(v));
	return o;
}

static int read_runs(struct json_object *list, struct seam_listing *l)
{
	size_t n = seam_json_array_length(list);
	size_t i;

	l->run = calloc(n + 1, sizeof(*l->run));
	for (i = 0; l->run && i < n; i++) {
		struct json_object *row = json_object_array_get_idx(list, i);
		struct seam_listed_run *r = &l->run[l->runs++];

		if (seam_json_array_length(row) != 5)
			return -1;
		seam_json_copy_at(r->task, sizeof(r->task), row, 0);
		r->run = seam_json_int_at(row, 1);
		seam_json_copy_at(r->checkpoint, sizeof(r->checkpoint), row, 2);
		r->percent = (int)seam_json_int_at(row, 3);
		r->level = seam_json_int_at(row, 4);
	}
	return l->run ? 0 : -1;
}

static int read_ends(struct json_object *list, struct seam_listing *l)
{
	size_t n = seam_json_array_length(list);
	size_t i;

	l->end = calloc(n + 1, sizeof(*l->end));
	for (i = 0; l->end && i < n; i++) {
		struct json_object *row = json_object_array_get_idx(list, i);
		struct seam_listed_end *d = &l->end[l->ends++];

		if (seam_json_array_length(row) != 5)
			return -1;
		d->number = seam_json_int_at(row, 0);
		seam_json_copy_at(d->task, sizeof(d->task), row, 1);
		d->run = seam_json_int_at(row, 2);
		d->reason = (int)seam_json_int_at(row, 3);
		if (d->reason < 0 || d->reason >= SEAM_END_REASONS)
			d->reason = SEAM_END_STOPPED;
		seam_json_copy_at(d->checkpoint, sizeof(d->checkpoint), row, 4);
	}
	return l->end ? 0 : -1;
}

static int read_listed(struct json_object *row, seam_time written_at,
		       struct seam_lane_event *v)
{
	size_t n = seam_json_array_length(row);

	if (n != 8 && n != 9)
		return -1;
	v->token = n == 9 ? (uint64_t)seam_json_int_at(row, 8) : 0;
	v->sent_at = written_at - seam_json_int_at(row, 3);
	v->listing.clock_ms = seam_json_int_at(row, 4);
	v->listing.process_start_ms = seam_json_int_at(row, 5);
	if (read_runs(json_object_array_get_idx(row, 6), &v->listing))
		return -1;
	return read_ends(json_object_array_get_idx(row, 7), &v->listing);
}

static int read_event(struct json_object *row, seam_time written_at,
		      struct seam_lane_event *v)
{
	size_t n = seam_json_array_length(row);

	if (n < 3)
		return -1;
	v->number = (uint64_t)seam_json_int_at(row, 0);
	v->kind = (int)seam_json_int_at(row, 1);
	v->key = (uint32_t)seam_json_int_at(row, 2);
	if (v->kind == SEAM_LANE_LISTED)
		return read_listed(row, written_at, v);
	if (n != 6 && n != 10)
		return -1;
	v->failed = (enum seam_err_kind)seam_json_int_at(row, 3);
	v->outcome = (enum seam_order_outcome)seam_json_int_at(row, 4);
	seam_json_copy_at(v->why, sizeof(v->why), row, 5);
	if (n == 6)
		return v->kind == SEAM_LANE_SILENT ? 0 : -1;
	seam_json_copy_at(v->task, sizeof(v->task), row, 6);
	v->run = seam_json_int_at(row, 7);
	v->stop = seam_json_int_at(row, 8);
	v->unknown = seam_json_int_at(row, 9);
	return v->kind == SEAM_LANE_ANSWERED ? 0 : -1;
}

/* The leases are in the order of the events. */
static int read_leases(struct json_object *leases, struct seam_lane_events *v)
{
	size_t event = 0;
	size_t i;

	for (i = 0; i < seam_json_array_length(leases); i++) {
		struct json_object *row = json_object_array_get_idx(leases, i);
		uint64_t number = (uint64_t)seam_json_int_at(row, 0);

		while (event < v->n && v->event[event].number != number)
			event++;
		if (event == v->n)
			return -1;
		v->event[event].lease_ms = seam_json_int_at(row, 1);
	}
	return 0;
}

/*
 * The node wrote the response at the earliest at @asked_at plus the time for
 * which it delayed the response. The age of a listing is subtracted from that,
 * so that sent_at is never later than the time at which the worker was polled.
 */
int seam_lane_events_parse(struct json_object *o, seam_time asked_at,
			   struct seam_lane_events *v, struct seam_err *e)
{
	struct json_object *list = seam_json_member(o, "events");
	seam_time written_at = asked_at + seam_json_int(o, "held_us", 0);
	size_t i;

	memset(v, 0, sizeof(*v));
	if (!json_object_is_type(list, json_type_array))
		return seam_fail(e, SEAM_BAD_REQUEST,
				 "response to a poll: events must be an array");
	v->event = calloc(seam_json_array_length(list) + 1, sizeof(*v->event));
	if (!v->event)
		return seam_fail(e, SEAM_NO_MEMORY, NULL);
	for (i = 0; i < seam_json_array_length(list); i++)
		if (read_event(json_object_array_get_idx(list, i), written_at,
			       &v->event[v->n++]))
			break;
	if (i == seam_json_array_length(list) &&
	    !read_leases(seam_json_member(o, "leases"), v))
		return 0;
	seam_lane_events_free(v);
	return seam_fail(e, SEAM_BAD_REQUEST,
			 "response to a poll: malformed row in events or "
			 "leases");
}
