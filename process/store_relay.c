#include "process/store_relay_impl.h"
#include "base/metrics.h"
#include "base/log.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The direct attempt may use one part in DIRECT_PARTS of the time, which leaves
 * time for an attempt through another node. */
#define DIRECT_PARTS 2
#define CALL_TIME_MIN (10 * SEAM_MSEC) /* less is too short for a response */
#define DIRECT_TIMEOUT_MIN (250 * SEAM_MSEC)
/* Between probes of a store that has refused this node. */
#define PROBE_INTERVAL (400 * SEAM_MSEC)
#define PEER_TIMEOUT (900 * SEAM_MSEC)
/* Peers that the store does not serve refuse immediately, and most peers may be
 * in that state. */
#define PEER_ATTEMPTS 8
/* A node that the store has not served for this long is not ready for jobs. */
#define LOST_AFTER (700 * SEAM_MSEC)

SEAM_METRIC(relayed, "seam_store_relayed_total",
	    "Calls to the store that went through another node.");
SEAM_METRIC(refusals, "seam_store_refused_total",
	    "Calls that the store did not answer for this node.");

/* A store call with its arguments; @run returns the result of the call. */
struct store_call {
	int (*run)(struct store_call *c, struct seam_store *s,
		   seam_time deadline, struct seam_err *e);
	const char *key;
	const char *after;
	size_t max;
	uint64_t *version; /* set in a watch only */
	struct seam_row *row;
	struct seam_rows *rows;
	struct seam_commit *commit;
};

/* Whether the store failed to serve a call; other errors are its response. */
static bool is_store_failure(const struct seam_err *e)
{
	return e->kind == SEAM_UNAVAILABLE || e->kind == SEAM_COMMIT_UNKNOWN;
}

/*
 * Returns the deadline of a direct attempt, 0 if there is to be none. While the
 * store does not serve this node, only short reads probe it: a watch would
 * spend its whole time on a store that does not respond, and a commit would
 * have an unknown outcome.
 */
static seam_time direct_deadline(struct relay *r, const struct store_call *c,
				 seam_time now, seam_time deadline)
{
	seam_time end = now + (deadline - now) / DIRECT_PARTS;

	if (end < now + DIRECT_TIMEOUT_MIN || c->version)
		end = deadline;
	pthread_mutex_lock(&r->lock);
	if (r->down && r->peers) {
		if (c->version || c->commit || now < r->probe_at)
			end = 0;
		else if (end > now + DIRECT_TIMEOUT_MIN)
			end = now + DIRECT_TIMEOUT_MIN;
		if (end)
			r->probe_at = now + PROBE_INTERVAL;
	}
	pthread_mutex_unlock(&r->lock);
	return end;
}

static void record_direct(struct relay *r, bool served,
			  const struct seam_err *e)
{
	seam_time now = seam_now(r->clock);
	bool changed;

	pthread_mutex_lock(&r->lock);
	changed = r->down == served;
	r->down = !served;
	if (served)
		r->ok_at = now;
	else if (changed)
		r->probe_at = now + PROBE_INTERVAL;
	pthread_mutex_unlock(&r->lock);
	if (!served)
		seam_metric_add(&refusals, 1);
	if (changed)
		seam_log(served ? SEAM_INFO : SEAM_WARN, "store",
			 "event=store_%s node=%s why=\"%s\"",
			 served ? "regained" : "lost", r->node,
			 served ? "" : e->text);
}

/* Sets @unknown if an attempt has an unknown outcome. */
static int call_peers(struct relay *r, struct store_call *c, seam_time deadline,
		      bool *unknown, struct seam_err *e)
{
	int attempts;

	for (attempts = 0; attempts < PEER_ATTEMPTS; attempts++) {
		seam_time now = seam_now(r->clock);
		seam_time end = now + PEER_TIMEOUT;
		int i = relay_pick_peer(r, c->version, now);
		bool served;
		int rc;

		if (i < 0 || now >= deadline)
			return -1;
		/* A watch may use all the remaining time. */
		if (end > deadline || c->version)
			end = deadline;
		seam_err_clear(e);
		seam_metric_add(&relayed, 1);
		rc = c->run(c, r->peer[i].store, end, e);
		served = !rc || !is_store_failure(e);
		relay_record_result(r, i, served);
		if (served)
			return rc;
		*unknown = *unknown || e->kind == SEAM_COMMIT_UNKNOWN;
	}
	return -1;
}

/* Makes a direct attempt; returns whether the store served it. */
static bool call_direct(struct relay *r, struct store_call *c, seam_time end,
			bool *unknown, int *rc, struct seam_err *e)
{
	bool served;

	seam_err_clear(e);
	*rc = c->run(c, r->direct, end, e);
	served = !*rc || !is_store_failure(e);
	record_direct(r, served, e);
	*unknown = *unknown || (!served && e->kind == SEAM_COMMIT_UNKNOWN);
	return served;
}

/* A call of this node: direct if possible, else through other nodes. */
static int call_local(struct relay *r, struct store_call *c, seam_time deadline,
		      struct seam_err *e)
{
	seam_time now = seam_now(r->clock);
	seam_time end = direct_deadline(r, c, now, deadline);
	bool unknown = false;
	int rc = -1;

	/* A call without time left does not show whether the store is up. */
	if (deadline < now + CALL_TIME_MIN)
		return seam_fail(e, SEAM_UNAVAILABLE,
				 "no time left for a call to the store");
	if (end && call_direct(r, c, end, &unknown, &rc, e))
		return rc;
	rc = call_peers(r, c, deadline, &unknown, e);
	if (!rc || (e->kind != SEAM_OK && !is_store_failure(e)))
		return rc;
	/* No peer is served either. */
	if (!end && seam_now(r->clock) + CALL_TIME_MIN < deadline &&
	    call_direct(r, c, deadline, &unknown, &rc, e))
		return rc;
	/* A call with an attempt that may still apply must not be refused:
	 * jobs that were refused in that case have run nevertheless. */
	if (unknown)
		return seam_fail(e, SEAM_COMMIT_UNKNOWN,
				 "store: no response to a commit");
	if (e->kind == SEAM_OK)
		seam_fail(
			e, SEAM_UNAVAILABLE,
			"store: not reached directly or through another node");
	return -1;
}

/*
 * A call of another node. It is refused immediately while the store does not
 * serve this node, since the other one has more nodes to ask.
 */
static int call_remote(struct relay *r, struct store_call *c,
		       seam_time deadline, struct seam_err *e)
{
	bool unknown = false;
	bool down;
	int rc;

	pthread_mutex_lock(&r->lock);
	down = r->down;
	pthread_mutex_unlock(&r->lock);
	if (down)
		return seam_fail(e, SEAM_UNAVAILABLE,
				 "the store does not respond to this node");
	call_direct(r, c, deadline, &unknown, &rc, e);
	return rc;
}

static int execute(struct seam_store *base, struct store_call *c,
		   seam_time deadline, struct seam_err *e)
{
	struct relay_view *v = (struct relay_view *)base;

	return v->execute(v->relay, c, deadline, e);
}

static int run_get(struct store_call *c, struct seam_store *s,
		   seam_time deadline, struct seam_err *e)
{
	return seam_store_get(s, c->key, c->row, deadline, e);
}

static int view_get(struct seam_store *base, const char *key,
		    struct seam_row *row, seam_time deadline,
		    struct seam_err *e)
{
	struct store_call c = {.run = run_get, .key = key, .row = row};

	return execute(base, &c, deadline, e);
}

static int run_scan(struct store_call *c, struct seam_store *s,
		    seam_time deadline, struct seam_err *e)
{
	return seam_store_scan(s, c->key, c->after, c->max, c->rows, deadline,
			       e);
}

static int view_scan(struct seam_store *base, const char *prefix,
		     const char *after, size_t max, struct seam_rows *rows,
		     seam_time deadline, struct seam_err *e)
{
	struct store_call c = {.run = run_scan,
			       .key = prefix,
			       .after = after,
			       .max = max,
			       .rows = rows};

	return execute(base, &c, deadline, e);
}

static int run_commit(struct store_call *c, struct seam_store *s,
		      seam_time deadline, struct seam_err *e)
{
	return seam_store_commit(s, c->commit, deadline, e);
}

static int view_commit(struct seam_store *base, struct seam_commit *commit,
		       seam_time deadline, struct seam_err *e)
{
	struct store_call c = {.run = run_commit, .commit = commit};

	return execute(base, &c, deadline, e);
}

static int run_watch(struct store_call *c, struct seam_store *s,
		     seam_time deadline, struct seam_err *e)
{
	return seam_store_watch(s, c->key, c->version, c->rows, deadline, e);
}

static int view_watch(struct seam_store *base, const char *prefix,
		      uint64_t *after, struct seam_rows *rows,
		      seam_time deadline, struct seam_err *e)
{
	struct store_call c = {.run = run_watch,
			       .key = prefix,
			       .version = after,
			       .rows = rows};

	return execute(base, &c, deadline, e);
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
	g_hash_table_destroy(r->node_rows);
	pthread_mutex_destroy(&r->lock);
	free(r);
}

static const struct seam_store_ops local_ops = {
	.get = view_get,
	.scan = view_scan,
	.commit = view_commit,
	.watch = view_watch,
	.close = relay_close,
};

/* Has no close: the relay is closed through its local interface. */
static const struct seam_store_ops remote_ops = {
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
	r->local = (struct relay_view){{&local_ops}, r, call_local};
	r->remote = (struct relay_view){{&remote_ops}, r, call_remote};
	r->direct = direct;
	r->clock = k;
	pthread_mutex_init(&r->lock, NULL);
	r->node_rows =
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
	return &r->local.store;
}

bool seam_store_relay_is_unreachable(struct seam_store *base)
{
	struct relay *r = (struct relay *)base;
	bool lost;

	pthread_mutex_lock(&r->lock);
	lost = r->down && seam_now(r->clock) > r->ok_at + LOST_AFTER;
	pthread_mutex_unlock(&r->lock);
	return lost;
}

/* Whether the store is lost, for an owner that asks: it may keep its term. */
static bool tell_state(struct relay *r)
{
	bool lost = seam_store_relay_is_unreachable(&r->local.store);

	pthread_mutex_lock(&r->lock);
	if (lost)
		r->told_lost_at = seam_now(r->clock);
	pthread_mutex_unlock(&r->lock);
	return lost;
}

static void serve_state(struct seam_call *c, void *arg)
{
	seam_reply_text(c, 200, "application/json",
			tell_state(arg) ? "{\"store\":\"lost\"}" :
					  "{\"store\":\"reached\"}");
}

seam_time seam_store_relay_told_lost_at(struct seam_store *base)
{
	struct relay *r = (struct relay *)base;
	seam_time at;

	pthread_mutex_lock(&r->lock);
	at = r->told_lost_at;
	pthread_mutex_unlock(&r->lock);
	return at;
}

void seam_store_relay_serve(struct seam_store *base, struct seam_http *h)
{
	struct relay *r = (struct relay *)base;

	r->server.store = &r->remote.store;
	r->server.clock = r->clock;
	seam_store_serve(&r->server, h);
	seam_http_route(h, "GET", "/v1/state", serve_state, base);
}
