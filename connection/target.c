#include "connection/target_impl.h"
#include "base/metrics.h"
#include "base/transfer.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define RESPONSE_BYTES_MAX (8u << 20)

/*
 * The one-way latency between data centres is 1.4 ms, so a VM that accepts no
 * connection within this time is down. The request can still be sent to another
 * one.
 */
#define CONNECT_TIMEOUT_MS 500L

/*
 * A target may close a connection that was idle for longer just when a request
 * is sent, so that the outcome of a non-idempotent request becomes unknown.
 * Most servers keep idle connections for at least 5 s.
 */
#define IDLE_REUSE_MAX_S 2L

SEAM_METRIC(conns_opened, "seam_target_connections_opened_total",
	    "Connections opened to targets.");
SEAM_METRIC(conns_closed, "seam_target_connections_closed_total",
	    "Connections to targets closed after an error.");

/* A connection to a target: a curl handle that serves one request at a time. */
struct seam_conn {
	CURL *curl;
	struct seam_conn *next;
};

struct response {
	struct seam_transfer recv;
	bool not_run;
};

void seam_target_close_idle(struct seam_target *t)
{
	while (t->idle) {
		struct seam_conn *c = t->idle;

		t->idle = c->next;
		curl_easy_cleanup(c->curl);
		free(c);
	}
	t->idle_count = 0;
}

static struct seam_conn *acquire_conn(struct seam_targets *ts,
				      struct seam_handle h, char *addr,
				      size_t size, char *id, size_t id_size)
{
	struct seam_table *t = seam_targets_lock(ts);
	struct seam_target *g = seam_table_get(t, h);
	struct seam_conn *c = NULL;

	if (g) {
		snprintf(addr, size, "%s", g->info.addr);
		snprintf(id, id_size, "%s", g->info.id);
		c = g->idle;
		if (c) {
			g->idle = c->next;
			g->idle_count--;
		}
	}
	seam_targets_unlock(ts);
	if (!g)
		return NULL;
	if (c)
		return c;
	c = calloc(1, sizeof(*c));
	if (c)
		c->curl = curl_easy_init();
	if (c && !c->curl) {
		free(c);
		return NULL;
	}
	seam_metric_add(&conns_opened, 1);
	return c;
}

static void close_conn(struct seam_conn *c)
{
	curl_easy_cleanup(c->curl);
	free(c);
	seam_metric_add(&conns_closed, 1);
}

static void release_conn(struct seam_targets *ts, struct seam_handle h,
			 struct seam_conn *c)
{
	struct seam_table *t = seam_targets_lock(ts);
	struct seam_target *g = seam_table_get(t, h);

	if (g && !g->info.leaving && g->idle_count < g->info.connections) {
		c->next = g->idle;
		g->idle = c;
		g->idle_count++;
		c = NULL;
	}
	seam_targets_unlock(ts);
	if (c)
		close_conn(c);
}

static size_t on_header(char *data, size_t size, size_t n, void *arg)
{
	static const char not_run[] = "X-Seam-Run: not_run";
	struct response *r = arg;
	size_t len = size * n;

	if (len >= sizeof(not_run) - 1 &&
	    !strncasecmp(data, not_run, sizeof(not_run) - 1))
		r->not_run = true;
	return len;
}

static struct curl_slist *add_header(struct curl_slist *list,
				     struct seam_call *c, const char *name)
{
	const char *v = seam_call_header(c, name);
	char line[1200];

	if (!v)
		return list;
	snprintf(line, sizeof(line), "%s: %s", name, v);
	return curl_slist_append(list, line);
}

static struct curl_slist *build_headers(const struct seam_target_request *s)
{
	struct curl_slist *list = NULL;
	char trace[SEAM_TRACEPARENT_LEN];
	char line[96];

	seam_trace_header(&s->trace, trace);
	snprintf(line, sizeof(line), "traceparent: %s", trace);
	list = curl_slist_append(list, line);
	snprintf(line, sizeof(line), "X-Request-Deadline: %lld",
		 (long long)s->deadline);
	list = curl_slist_append(list, line);
	/* Disables curl's "Expect: 100-continue", which costs a round trip. */
	list = curl_slist_append(list, "Expect:");
	list = add_header(list, s->call, "Content-Type");
	list = add_header(list, s->call, "Accept");
	list = add_header(list, s->call, "Idempotency-Key");
	return list;
}

static void set_options(CURL *curl, const struct seam_target_request *s,
			const char *url, struct curl_slist *list,
			struct response *r, seam_time now)
{
	long left_ms = (long)((s->deadline - now) / SEAM_MSEC);

	curl_easy_setopt(curl, CURLOPT_URL, url);
	seam_transfer_setup(curl, &r->recv);
	curl_easy_setopt(curl, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, left_ms > 0 ? left_ms : 1L);
	curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	/* One per handle, so that info.connections bounds the idle ones. */
	curl_easy_setopt(curl, CURLOPT_MAXCONNECTS, 1L);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, list);
	curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(curl, CURLOPT_HEADERDATA, r);
	if (!s->idempotent)
		curl_easy_setopt(curl, CURLOPT_MAXAGE_CONN, IDLE_REUSE_MAX_S);
	if (s->call->len) {
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, s->call->body);
		curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)s->call->len);
	} else if (!strcmp(s->call->method, "POST")) {
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, "");
		curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE, 0L);
	} else if (!strcmp(s->call->method, "HEAD")) {
		curl_easy_setopt(curl, CURLOPT_NOBODY, 1L);
	}
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, s->call->method);
}

static int report_failure(CURLcode rc, CURL *curl, const struct response *r,
			  const char *id, struct seam_err *e)
{
	if (seam_transfer_not_sent(curl, &r->recv, rc))
		return seam_fail(e, SEAM_TARGET_REFUSED,
				 "target %s: cannot connect", id);
	if (r->recv.too_large)
		return seam_fail(e, SEAM_TARGET_FAILED,
				 "target %s: response exceeds %u bytes", id,
				 RESPONSE_BYTES_MAX);
	if (rc == CURLE_OPERATION_TIMEDOUT)
		return seam_fail(
			e, SEAM_OUTCOME_UNKNOWN,
			"target %s: no complete response before the deadline",
			id);
	if (rc == CURLE_ABORTED_BY_CALLBACK)
		return seam_fail(
			e, SEAM_TARGET_FAILED,
			"target %s: connection closed without a response", id);
	return seam_fail(e, SEAM_TARGET_FAILED, "target %s: %s", id,
			 curl_easy_strerror(rc));
}

static int perform(struct seam_targets *ts, struct seam_conn *c,
		   const struct seam_target_request *s, const char *addr,
		   const char *id, struct seam_answer *a, struct seam_err *e)
{
	struct response r = {
		.recv = {.max = RESPONSE_BYTES_MAX, .once = !s->idempotent}};
	struct curl_slist *list = build_headers(s);
	char url[2300];
	const char *type = NULL;
	long status = 0;
	CURLcode rc;

	snprintf(url, sizeof(url), "http://%s%s", addr, s->path);
	curl_easy_reset(c->curl);
	set_options(c->curl, s, url, list, &r, seam_now(ts->clock));
	rc = curl_easy_perform(c->curl);
	curl_slist_free_all(list);
	if (rc != CURLE_OK) {
		free(r.recv.body);
		return report_failure(rc, c->curl, &r, id, e);
	}
	curl_easy_getinfo(c->curl, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_getinfo(c->curl, CURLINFO_CONTENT_TYPE, &type);
	if (status == 503 && r.not_run) {
		free(r.recv.body);
		a->status = 503;
		return seam_fail(
			e, SEAM_TARGET_REFUSED,
			"target %s: refused the request without running it",
			id);
	}
	a->status = (int)status;
	a->body = r.recv.body;
	a->len = r.recv.len;
	snprintf(a->type, sizeof(a->type), "%s", type ? type : "");
	snprintf(a->target, sizeof(a->target), "%s", id);
	return 0;
}

int seam_target_send(struct seam_targets *ts, struct seam_handle h,
		     const struct seam_target_request *s, struct seam_answer *a,
		     struct seam_err *e)
{
	char addr[64];
	char id[64];
	struct seam_conn *c =
		acquire_conn(ts, h, addr, sizeof(addr), id, sizeof(id));
	int rc;

	memset(a, 0, sizeof(*a));
	if (!c)
		return seam_fail(e, SEAM_NOT_FOUND,
				 "the target no longer exists");
	rc = perform(ts, c, s, addr, id, a, e);
	if (rc)
		close_conn(c);
	else
		release_conn(ts, h, c);
	return rc;
}
