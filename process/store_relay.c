#include "process/store_relay_impl.h"
#include "base/count.h"
#include "base/log.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The first attempt of a call leaves time for one through another node. */
#define DIRECT_PART 2
#define CALL_MIN (10 * SEAM_MSEC) /* less is not enough for an answer */
#define DIRECT_MIN (250 * SEAM_MSEC)
/* Between looks whether a store that refused us serves us again. */
#define PROBE_GAP (400 * SEAM_MSEC)
#define PEER_CALL (900 * SEAM_MSEC)
/* A peer that the store does not answer refuses at once, and most may. */
#define PEER_TRIES 8
/* Without an answer for so long a node is better not asked for jobs. */
#define LOST (700 * SEAM_MSEC)

SEAM_COUNT(relayed, "seam_store_relayed_total",
	   "Calls to the store that went through another node.");
SEAM_COUNT(refusals, "seam_store_refused_total",
	   "Calls that the store did not answer for this node.");

/* One call to a store; returns as the call does. */
struct call {
	int (*run)(struct call *c, struct seam_store *s, seam_time deadline,
		   struct seam_err *e);
	const char *key;
	const char *after;
	size_t max;
	uint64_t *version;
	struct seam_row *row;
	struct seam_rows *rows;
	struct seam_commit *commit;
};

/* The store did not serve us; any other error is its answer. */
static bool is_unserved(const struct seam_err *e)
{
	return e->kind == SEAM_UNAVAILABLE || e->kind == SEAM_COMMIT_UNKNOWN;
}

/*
 * When an attempt at the store itself ends; 0 for none. While it does not serve
 * us, short reads find out whether it does again: a wait for changes would try
 * a silent store for the whole of its time, and a commit would have no outcome.
 */
static seam_time try_direct_until(struct relay *r, const struct call *c,
				  seam_time now, seam_time deadline)
{
	seam_time end = now + (deadline - now) / DIRECT_PART;

	if (end < now + DIRECT_MIN || c->version)
		end = deadline;
	pthread_mutex_lock(&r->lock);
	if (r->down && r->peers) {
		if (c->version || c->commit || now < r->probe_at)
			end = 0;
		else if (end > now + DIRECT_MIN)
			end = now + DIRECT_MIN;
		if (end)
			r->probe_at = now + PROBE_GAP;
	}
	pthread_mutex_unlock(&r->lock);
	return end;
}

static void note_direct(struct relay *r, bool served, const struct seam_err *e)
{
	seam_time now = seam_now(r->clock);
	bool changed;

	pthread_mutex_lock(&r->lock);
	changed = r->down == served;
	r->down = !served;
	if (served)
		r->ok_at = now;
	else if (changed)
		r->probe_at = now + PROBE_GAP;
	pthread_mutex_unlock(&r->lock);
	if (!served)
		seam_count_add(&refusals, 1);
	if (changed)
		seam_log(served ? SEAM_INFO : SEAM_WARN, "store",
			 "event=store_%s node=%s why=\"%s\"",
			 served ? "regained" : "lost", r->node,
			 served ? "" : e->text);
}

/* @unsure is set when an attempt ends that may still apply. */
static int through_peers(struct relay *r, struct call *c, seam_time deadline,
			 bool *unsure, struct seam_err *e)
{
	int tries;

	for (tries = 0; tries < PEER_TRIES; tries++) {
		seam_time now = seam_now(r->clock);
		seam_time end = now + PEER_CALL;
		int i = relay_pick_peer(r, c->version, now);
		bool served;
		int rc;

		if (i < 0 || now >= deadline)
			return -1;
		/* A wait for changes takes its whole time. */
		if (end > deadline || c->version)
			end = deadline;
		seam_err_clear(e);
		seam_count_add(&relayed, 1);
		rc = c->run(c, r->peer[i].store, end, e);
		served = !rc || !is_unserved(e);
		relay_note_peer(r, i, served);
		if (served)
			return rc;
		*unsure = *unsure || e->kind == SEAM_COMMIT_UNKNOWN;
	}
	return -1;
}

/* One attempt at the store itself; whether it was served. */
static bool direct(struct relay *r, struct call *c, seam_time end, bool *unsure,
		   int *rc, struct seam_err *e)
{
	bool served;

	seam_err_clear(e);
	*rc = c->run(c, r->direct, end, e);
	served = !*rc || !is_unserved(e);
	note_direct(r, served, e);
	*unsure = *unsure || (!served && e->kind == SEAM_COMMIT_UNKNOWN);
	return served;
}

static int call(struct relay *r, struct call *c, seam_time deadline,
		struct seam_err *e)
{
	seam_time now = seam_now(r->clock);
	seam_time end = try_direct_until(r, c, now, deadline);
	bool unsure = false;
	int rc = -1;

	/* A call that came too late says nothing of the store. */
	if (deadline < now + CALL_MIN)
		return seam_fail(e, SEAM_UNAVAILABLE,
				 "no time left for a call to the store");
	if (end && direct(r, c, end, &unsure, &rc, e))
		return rc;
	rc = through_peers(r, c, deadline, &unsure, e);
	if (!rc || (e->kind != SEAM_OK && !is_unserved(e)))
		return rc;
	/* Nobody else is served either. */
	if (!end && seam_now(r->clock) + CALL_MIN < deadline &&
	    direct(r, c, deadline, &unsure, &rc, e))
		return rc;
	/* One attempt that may apply keeps the whole call from being a refusal:
	 * a job that was refused so was started all the same. */
	if (unsure)
		return seam_fail(e, SEAM_COMMIT_UNKNOWN,
				 "store: no answer to a commit");
	if (e->kind == SEAM_OK)
		seam_fail(e, SEAM_UNAVAILABLE, "store: not reached");
	return -1;
}

/*
 * A call of another node: refused at once while the store does not serve this
 * one, as the other has more nodes to ask.
 */
static int lend(struct relay *r, struct call *c, seam_time deadline,
		struct seam_err *e)
{
	bool unsure = false;
	bool down;
	int rc;

	pthread_mutex_lock(&r->lock);
	down = r->down;
	pthread_mutex_unlock(&r->lock);
	if (down)
		return seam_fail(e, SEAM_UNAVAILABLE,
				 "the store does not answer this node");
	direct(r, c, deadline, &unsure, &rc, e);
	return rc;
}

static int carry(struct seam_store *base, struct call *c, seam_time deadline,
		 struct seam_err *e)
{
	struct view *v = (struct view *)base;

	return v->carry(v->relay, c, deadline, e);
}

static int run_get(struct call *c, struct seam_store *s, seam_time deadline,
		   struct seam_err *e)
{
	return seam_store_get(s, c->key, c->row, deadline, e);
}

static int view_get(struct seam_store *base, const char *key,
		    struct seam_row *row, seam_time deadline,
		    struct seam_err *e)
{
	struct call c = {.run = run_get, .key = key, .row = row};

	return carry(base, &c, deadline, e);
}

static int run_scan(struct call *c, struct seam_store *s, seam_time deadline,
		    struct seam_err *e)
{
	return seam_store_scan(s, c->key, c->after, c->max, c->rows, deadline,
			       e);
}

static int view_scan(struct seam_store *base, const char *prefix,
		     const char *after, size_t max, struct seam_rows *rows,
		     seam_time deadline, struct seam_err *e)
{
	struct call c = {.run = run_scan,
			 .key = prefix,
			 .after = after,
			 .max = max,
			 .rows = rows};

	return carry(base, &c, deadline, e);
}

static int run_commit(struct call *c, struct seam_store *s, seam_time deadline,
		      struct seam_err *e)
{
	return seam_store_commit(s, c->commit, deadline, e);
}

static int view_commit(struct seam_store *base, struct seam_commit *commit,
		       seam_time deadline, struct seam_err *e)
{
	struct call c = {.run = run_commit, .commit = commit};

	return carry(base, &c, deadline, e);
}

static int run_watch(struct call *c, struct seam_store *s, seam_time deadline,
		     struct seam_err *e)
{
	return seam_store_watch(s, c->key, c->version, c->rows, deadline, e);
}

static int view_watch(struct seam_store *base, const char *prefix,
		      uint64_t *after, struct seam_rows *rows,
		      seam_time deadline, struct seam_err *e)
{
	struct call c = {.run = run_watch,
			 .key = prefix,
			 .version = after,
			 .rows = rows};

	return carry(base, &c, deadline, e);
}

static void relay_close(struct seam_store *base)
{
	struct relay *r = (struct relay *)base;
	int i;

	for (i = 0; i < r->peers; i++) {
		seam_store_close(r->peer[i].store);
		seam_rest_free(r->peer[i].state);
	}
	seam_store_close(r->direct);
	g_hash_table_destroy(r->seen);
	pthread_mutex_destroy(&r->lock);
	free(r);
}

static const struct seam_store_ops relay_ops = {
	.get = view_get,
	.scan = view_scan,
	.commit = view_commit,
	.watch = view_watch,
	.close = relay_close,
};

/* Closed with the other view. */
static const struct seam_store_ops lent_ops = {
	.get = view_get,
	.scan = view_scan,
	.commit = view_commit,
	.watch = view_watch,
};

struct seam_store *seam_store_relay_new(struct seam_store *direct,
					struct seam_clock *k,
					const struct seam_relay_conf *c)
{
	struct relay *r = calloc(1, sizeof(*r));
	char **seed;
	int i;

	if (!r)
		return NULL;
	r->own = (struct view){{&relay_ops}, r, call};
	r->lent = (struct view){{&lent_ops}, r, lend};
	r->direct = direct;
	r->clock = k;
	pthread_mutex_init(&r->lock, NULL);
	r->seen =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	snprintf(r->node, sizeof(r->node), "%s", c->node);
	r->offset = g_str_hash(c->node);
	snprintf(r->control, sizeof(r->control), "%s", c->control);
	snprintf(r->dc, sizeof(r->dc), "%s", c->data_centre);
	r->processor = c->processor;
	seed = g_strsplit(c->seeds, ",", -1);
	for (i = 0; seed[i]; i++)
		relay_add_peer(r, seed[i], 0, "", false);
	g_strfreev(seed);
	return &r->own.store;
}

static void serve_state(struct seam_call *c, void *arg)
{
	bool lost = seam_store_relay_lost(arg);

	seam_reply_text(c, 200, "application/json",
			lost ? "{\"store\":\"lost\"}" :
			       "{\"store\":\"reached\"}");
}

bool seam_store_relay_lost(struct seam_store *base)
{
	struct relay *r = (struct relay *)base;
	bool lost;

	pthread_mutex_lock(&r->lock);
	lost = r->down && seam_now(r->clock) > r->ok_at + LOST;
	pthread_mutex_unlock(&r->lock);
	return lost;
}

void seam_store_relay_serve(struct seam_store *base, struct seam_http *h)
{
	struct relay *r = (struct relay *)base;

	r->served.store = &r->lent.store;
	r->served.clock = r->clock;
	seam_store_serve(&r->served, h);
	seam_http_route(h, "GET", "/v1/state", serve_state, base);
}
