#include "request/once_impl.h"
#include "base/metrics.h"
#include "base/log.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Callers repeat a request with the same key within one working day. */
#define CLAIM_RETENTION (24LL * 3600 * SEAM_SEC)
#define CLAIM_ATTEMPTS_MAX 4 /* if other nodes claim and free the same key */
#define PENDING_MAX 1024
#define MILLI_PER_ROW 1000
#define ROWS_PER_REQUEST 2 /* claim and outcome */

SEAM_METRIC(claims, "seam_once_claims_total", "Claims written.");
SEAM_METRIC(repeats, "seam_once_repeats_total",
	    "Repeated requests answered with the stored outcome.");
SEAM_METRIC(in_progress, "seam_once_in_progress_total",
	    "Requests refused because their key is running.");
SEAM_METRIC(lost, "seam_once_outcome_unknown_total",
	    "Requests whose key has no known outcome.");
SEAM_METRIC(key_reused, "seam_once_conflicts_total",
	    "Requests refused because their key belongs to another request.");
SEAM_METRIC(over_budget, "seam_once_over_budget_total",
	    "Requests refused because the write budget was used up.");
SEAM_METRIC(unavailable, "seam_once_unavailable_total",
	    "Requests refused because their claim could not be written.");
SEAM_METRIC(pending_now, "seam_once_outcomes_kept",
	    "Outcomes that wait for the store.");
SEAM_METRIC(pending_dropped, "seam_once_outcomes_dropped_total",
	    "Outcomes given up because too many waited.");

struct seam_once *seam_once_new(struct seam_store *s, struct seam_clock *k,
				const struct seam_once_settings *set)
{
	struct seam_once *o = calloc(1, sizeof(*o));

	if (!o)
		return NULL;
	o->store = s;
	o->clock = k;
	o->set = *set;
	o->write_budget_milli = (int64_t)set->writes_per_sec * MILLI_PER_ROW;
	o->filled_at = seam_now(k);
	o->running =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_queue_init(&o->pending);
	pthread_mutex_init(&o->lock, NULL);
	return o;
}

static void free_claim(gpointer p)
{
	seam_once_claim_free(p);
	g_free(p);
}

void seam_once_free(struct seam_once *o)
{
	if (!o)
		return;
	g_queue_clear_full(&o->pending, free_claim);
	g_hash_table_destroy(o->running);
	pthread_mutex_destroy(&o->lock);
	free(o);
}

void seam_once_claim_free(struct seam_once_claim *c)
{
	seam_answer_free(&c->row.answer);
}

static void hash_part(crypto_hash_sha256_state *h, const char *data, size_t n)
{
	uint64_t len = n;

	/* The length prefix marks the boundary between adjacent parts. */
	crypto_hash_sha256_update(h, (unsigned char *)&len, sizeof(len));
	if (n)
		crypto_hash_sha256_update(h, (const unsigned char *)data, n);
}

int seam_once_claim_init(struct seam_once_claim *c, const char *team,
			 const char *key, const char *service,
			 const struct seam_call *call, struct seam_err *e)
{
	unsigned char out[crypto_hash_sha256_BYTES];
	crypto_hash_sha256_state h;
	char hex[SEAM_SHA256_HEX_SIZE];

	memset(c, 0, sizeof(*c));
	if (!*key || strlen(key) > SEAM_ONCE_KEY_MAX)
		return seam_fail(e, SEAM_BAD_REQUEST,
				 "Idempotency-Key: must have 1 to %d bytes",
				 SEAM_ONCE_KEY_MAX);
	seam_sha256_hex(key, hex);
	snprintf(c->key, sizeof(c->key), "once/%s/%s", team, hex);
	crypto_hash_sha256_init(&h);
	hash_part(&h, service, strlen(service));
	hash_part(&h, call->method, strlen(call->method));
	hash_part(&h, call->path, strlen(call->path));
	hash_part(&h, call->query, strlen(call->query));
	hash_part(&h, call->body, call->len);
	crypto_hash_sha256_final(&h, out);
	sodium_bin2hex(c->row.request, sizeof(c->row.request), out,
		       sizeof(out));
	return 0;
}

static bool take_write_budget(struct seam_once *o, seam_time now)
{
	int64_t max = (int64_t)o->set.writes_per_sec * MILLI_PER_ROW;

	if (!max)
		return true;
	if (now > o->filled_at) {
		seam_time past = now - o->filled_at;

		if (past > SEAM_SEC)
			past = SEAM_SEC;
		o->write_budget_milli += past * max / SEAM_SEC;
		o->filled_at = now;
	}
	if (o->write_budget_milli > max)
		o->write_budget_milli = max;
	if (o->write_budget_milli < ROWS_PER_REQUEST * MILLI_PER_ROW)
		return false;
	o->write_budget_milli -= ROWS_PER_REQUEST * MILLI_PER_ROW;
	return true;
}

static int fail_with_verdict(enum seam_once_verdict v, struct seam_err *e)
{
	switch (v) {
	case SEAM_ONCE_IN_PROGRESS:
		seam_metric_add(&in_progress, 1);
		return seam_fail(e, SEAM_IN_PROGRESS, NULL);
	case SEAM_ONCE_KEY_REUSED:
		seam_metric_add(&key_reused, 1);
		return seam_fail(e, SEAM_CONFLICT,
				 "Idempotency-Key belongs to another request");
	default:
		seam_metric_add(&lost, 1);
		return seam_fail(e, SEAM_OUTCOME_UNKNOWN,
				 "the request with this key has no known "
				 "outcome and is not run again");
	}
}

/* Admits one request for each key on this node, so that a concurrent repeat
 * costs no access to the store. */
static int register_key(struct seam_once *o, const struct seam_once_claim *c,
			struct seam_err *e)
{
	const char *same;
	int rc = 0;

	pthread_mutex_lock(&o->lock);
	same = g_hash_table_lookup(o->running, c->key);
	if (same) {
		rc = fail_with_verdict(strcmp(same, c->row.request) ?
					       SEAM_ONCE_KEY_REUSED :
					       SEAM_ONCE_IN_PROGRESS,
				       e);
	} else if (!take_write_budget(o, seam_now(o->clock))) {
		seam_metric_add(&over_budget, 1);
		rc = seam_fail(e, SEAM_UNAVAILABLE,
			       "write budget for claims is used up");
	} else {
		g_hash_table_insert(o->running, g_strdup(c->key),
				    g_strdup(c->row.request));
	}
	pthread_mutex_unlock(&o->lock);
	return rc;
}

static void unregister_key(struct seam_once *o, const struct seam_once_claim *c)
{
	pthread_mutex_lock(&o->lock);
	g_hash_table_remove(o->running, c->key);
	pthread_mutex_unlock(&o->lock);
}

/* Decides by the row in the store; moves it into @c if it has the outcome. */
static int apply_existing_row(struct seam_once *o, struct seam_once_claim *c,
			      struct seam_once_row *found, struct seam_err *e)
{
	enum seam_once_verdict v = seam_once_decide(
		found, c->row.request, seam_now(o->clock), o->set.skew);

	if (v == SEAM_ONCE_RUN || v == SEAM_ONCE_REPEAT) {
		if (v == SEAM_ONCE_REPEAT && found) {
			c->row = *found;
			seam_metric_add(&repeats, 1);
		} else if (found) {
			seam_answer_free(&found->answer);
		}
		return v;
	}
	if (found)
		seam_answer_free(&found->answer);
	return fail_with_verdict(v, e);
}

static int claim(struct seam_once *o, struct seam_once_claim *c,
		 struct seam_err *e)
{
	int attempt;

	for (attempt = 0; attempt < CLAIM_ATTEMPTS_MAX; attempt++) {
		struct once_write w = {
			.key = c->key, .row = &c->row, .version = c->version};
		int rc;

		seam_once_write(o, &w);
		c->version = w.version;
		if (!w.err.kind)
			return SEAM_ONCE_RUN;
		if (w.err.kind == SEAM_COMMIT_UNKNOWN)
			return fail_with_verdict(SEAM_ONCE_OUTCOME_LOST, e);
		if (w.err.kind != SEAM_CONFLICT) {
			seam_metric_add(&unavailable, 1);
			return seam_fail(e, w.err.kind, "claim: %s",
					 w.err.text);
		}
		rc = apply_existing_row(o, c, w.found_version ? &w.found : NULL,
					e);
		if (rc != SEAM_ONCE_RUN)
			return rc;
		c->version = w.found_version;
	}
	return seam_fail(e, SEAM_UNAVAILABLE,
			 "claim: key is contended by other nodes");
}

int seam_once_begin(struct seam_once *o, struct seam_once_claim *c,
		    seam_time deadline, struct seam_err *e)
{
	int rc;

	if (register_key(o, c, e))
		return -1;
	c->row.state = SEAM_ONCE_CLAIMED;
	c->row.claim = seam_store_token();
	c->row.deadline = deadline;
	c->row.expires = deadline + CLAIM_RETENTION;
	g_strlcpy(c->row.node, o->set.node, sizeof(c->row.node));
	rc = claim(o, c, e);
	if (rc != SEAM_ONCE_RUN) {
		unregister_key(o, c);
		return rc;
	}
	seam_metric_add(&claims, 1);
	if (seam_now(o->clock) < deadline)
		return SEAM_ONCE_RUN;
	seam_fail(e, SEAM_DEADLINE, "claim: written after the deadline");
	seam_once_end(o, c, -1, NULL, e);
	return -1;
}

int seam_once_lookup(struct seam_once *o, struct seam_once_claim *c,
		     struct seam_err *e)
{
	struct seam_once_row found;
	uint64_t version;

	if (seam_once_get(o, c->key, &found, &version, e)) {
		if (e->kind != SEAM_NOT_FOUND)
			return -1;
		seam_err_clear(e);
		return SEAM_ONCE_RUN;
	}
	return apply_existing_row(o, c, &found, e);
}

static void add_pending(struct seam_once *o, const struct seam_once_claim *c)
{
	struct seam_once_claim *k = g_new0(struct seam_once_claim, 1);

	memcpy(k->key, c->key, sizeof(k->key));
	k->row = c->row;
	k->version = c->version;
	k->row.answer.body = NULL;
	if (c->row.answer.body)
		k->row.answer.body =
			g_memdup2(c->row.answer.body, c->row.answer.len + 1);
	pthread_mutex_lock(&o->lock);
	g_queue_push_tail(&o->pending, k);
	if (g_queue_get_length(&o->pending) > PENDING_MAX) {
		free_claim(g_queue_pop_head(&o->pending));
		seam_metric_add(&pending_dropped, 1);
	}
	seam_metric_set(&pending_now, g_queue_get_length(&o->pending));
	pthread_mutex_unlock(&o->lock);
}

/*
 * The row of a claim that may have run must not change before it expires: a
 * conflict would mean that the key was claimed twice. A claim in state not_run
 * may be claimed again at once.
 */
static void check_outcome(struct seam_once *o, const struct once_write *w)
{
	SEAM_INVARIANT(w->err.kind != SEAM_CONFLICT ||
			       w->row->state == SEAM_ONCE_NOT_RUN ||
			       seam_now(o->clock) > w->row->expires,
		       "request", "Claim %s was overwritten by node %s.",
		       w->key, w->found.node);
}

static bool must_write_later(const struct once_write *w)
{
	return w->err.kind == SEAM_UNAVAILABLE ||
	       w->err.kind == SEAM_COMMIT_UNKNOWN;
}

void seam_once_end(struct seam_once *o, struct seam_once_claim *c, int rc,
		   const struct seam_answer *a, const struct seam_err *failed)
{
	struct once_write w = {
		.key = c->key, .row = &c->row, .version = c->version};

	if (!rc) {
		c->row.state = SEAM_ONCE_DONE;
		seam_once_row_answer(&c->row, a);
	} else if (seam_err_kind_info(failed->kind)->run == SEAM_NOT_RUN) {
		c->row.state = SEAM_ONCE_NOT_RUN;
	} else {
		c->row.state = SEAM_ONCE_UNKNOWN;
	}
	seam_once_write(o, &w);
	check_outcome(o, &w);
	if (must_write_later(&w))
		add_pending(o, c);
	seam_answer_free(&w.found.answer);
	unregister_key(o, c);
}

void seam_once_answer(const struct seam_once_claim *c, struct seam_answer *a)
{
	const struct seam_once_row *r = &c->row;
	char text[256];
	int n;

	*a = r->answer;
	if (r->answer.body) {
		a->body = malloc(a->len + 1);
		if (a->body)
			memcpy(a->body, r->answer.body, a->len + 1);
		return;
	}
	n = snprintf(text, sizeof(text),
		     "{\"outcome\":{\"run\":\"ran\",\"status\":%d,"
		     "\"length\":%zu,\"sha256\":\"%s\",\"body\":\"not_kept\"}}",
		     a->status, r->len, r->sha256);
	snprintf(a->type, sizeof(a->type), "%s", SEAM_ONCE_TYPE);
	a->body = strdup(text);
	a->len = (size_t)n;
}

static int pop_pending(struct seam_once *o, struct seam_once_claim **c, int max)
{
	int n = 0;

	pthread_mutex_lock(&o->lock);
	while (n < max && !g_queue_is_empty(&o->pending))
		c[n++] = g_queue_pop_head(&o->pending);
	pthread_mutex_unlock(&o->lock);
	return n;
}

bool seam_once_write_pending(struct seam_once *o)
{
	struct seam_once_claim *c[SEAM_ONCE_GROUP];
	struct once_write w[SEAM_ONCE_GROUP];
	struct once_write *list[SEAM_ONCE_GROUP];
	int n = pop_pending(o, c, SEAM_ONCE_GROUP);
	bool more = n == SEAM_ONCE_GROUP;
	int i;

	memset(w, 0, sizeof(w));
	for (i = 0; i < n; i++) {
		w[i].key = c[i]->key;
		w[i].row = &c[i]->row;
		w[i].version = c[i]->version;
		list[i] = &w[i];
	}
	if (n)
		seam_once_commit(o, list, n);
	for (i = 0; i < n; i++) {
		check_outcome(o, &w[i]);
		if (must_write_later(&w[i])) {
			add_pending(o, c[i]);
			more = false;
		}
		seam_answer_free(&w[i].found.answer);
		free_claim(c[i]);
	}
	pthread_mutex_lock(&o->lock);
	seam_metric_set(&pending_now, g_queue_get_length(&o->pending));
	pthread_mutex_unlock(&o->lock);
	return more;
}
