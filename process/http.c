#include "process/http.h"
#include "base/metrics.h"
#include "base/log.h"

#include <civetweb.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define ROUTES_MAX 64
#define HEADER_BYTES_MAX "16384"
#define SINGLE_WRITE_BYTES_MAX 8192 /* head and body */

SEAM_METRIC(requests, "seam_http_requests_total", "Requests read.");
SEAM_METRIC(errors, "seam_http_errors_total", "Answers with status 5xx.");
SEAM_METRIC(in_flight, "seam_http_in_flight", "Requests being served.");

struct route {
	const char *methods;
	const char *prefix;
	seam_handler fn;
	void *arg;
};

struct seam_http {
	struct seam_clock *clock;
	bool no_keep_alive;
	struct mg_context *ctx;
	struct route route[ROUTES_MAX];
	int routes;
	pthread_mutex_t lock;
	pthread_cond_t idle;
	int running;
	bool draining;
};

/* A request read by CivetWeb; seam_call is the first member. */
struct http_call {
	struct seam_call call;
	struct mg_connection *conn;
	bool close;
};

static const char *call_header(struct seam_call *c, const char *name)
{
	return mg_get_header(((struct http_call *)c)->conn, name);
}

/*
 * Sends a small response in one write. A process that exits between two writes
 * truncates the response: callers of a drained node received the head of a
 * refusal without its body.
 */
static int write_response(struct mg_connection *conn, const char *head,
			  size_t n, const struct seam_answer *a)
{
	char buf[SINGLE_WRITE_BYTES_MAX];

	if (n + a->len > sizeof(buf)) {
		if (mg_write(conn, head, n) != (int)n)
			return -1;
		return mg_write(conn, a->body, a->len) == (int)a->len ? 0 : -1;
	}
	memcpy(buf, head, n);
	if (a->len)
		memcpy(buf + n, a->body, a->len);
	n += a->len;
	return mg_write(conn, buf, n) == (int)n ? 0 : -1;
}

static int call_reply(struct seam_call *c, const struct seam_answer *a)
{
	struct http_call *hc = (struct http_call *)c;
	char trace[SEAM_TRACEPARENT_LEN];
	char head[768];
	char retry[48] = "";
	int n;

	seam_trace_header(&c->trace, trace);
	if (a->retry_ms) /* whole seconds, rounded up: RFC 9110, 10.2.3 */
		snprintf(retry, sizeof(retry), "Retry-After: %lld\r\n",
			 (long long)((a->retry_ms + 999) / 1000));
	n = snprintf(head, sizeof(head),
		     "HTTP/1.1 %d %s\r\nContent-Type: %s\r\n"
		     "Content-Length: %zu\r\ntraceparent: %s\r\n"
		     "%s%s%s%sConnection: %s\r\n\r\n",
		     a->status, mg_get_response_code_text(hc->conn, a->status),
		     *a->type ? a->type : "application/octet-stream", a->len,
		     trace, retry, *a->target ? "X-Seam-Target: " : "",
		     a->target, *a->target ? "\r\n" : "",
		     hc->close ? "close" : "keep-alive");
	return write_response(hc->conn, head, (size_t)n, a);
}

static const struct seam_call_ops call_ops = {
	.header = call_header,
	.reply = call_reply,
};

/*
 * Rejects a request with two lengths, or with a length and a transfer coding: a
 * load balancer and this server could disagree on where it ends (RFC 9112,
 * 6.3).
 */
static int check_framing(const struct mg_request_info *ri, struct seam_err *e)
{
	int lengths = 0;
	int codings = 0;
	int i;

	for (i = 0; i < ri->num_headers; i++) {
		const char *name = ri->http_headers[i].name;

		lengths += !strcasecmp(name, "Content-Length");
		codings += !strcasecmp(name, "Transfer-Encoding");
	}
	if (lengths > 1 || (lengths && codings))
		return seam_fail(e, SEAM_BAD_REQUEST,
				 "body: more than one length");
	return 0;
}

static bool should_close(struct seam_http *h, struct http_call *hc)
{
	const char *v = call_header(&hc->call, "Connection");

	return __atomic_load_n(&h->no_keep_alive, __ATOMIC_RELAXED) ||
	       (v && !strcasecmp(v, "close"));
}

static int read_body(struct http_call *hc, const struct mg_request_info *ri,
		     struct seam_err *e)
{
	size_t cap = 4096;
	size_t n = 0;

	if (ri->content_length > (long long)SEAM_BODY_MAX)
		return seam_fail(e, SEAM_TOO_LARGE, "body: over %u bytes",
				 SEAM_BODY_MAX);
	hc->call.body = malloc(cap + 1);
	while (hc->call.body) {
		int got = mg_read(hc->conn, hc->call.body + n, cap - n);
		char *larger;

		if (got < 0)
			return seam_fail(e, SEAM_BAD_REQUEST,
					 "body: ended too early");
		n += (size_t)got;
		if (!got)
			break;
		if (n > SEAM_BODY_MAX)
			return seam_fail(e, SEAM_TOO_LARGE,
					 "body: over %u bytes", SEAM_BODY_MAX);
		if (n < cap)
			continue;
		larger = realloc(hc->call.body, cap * 2 + 1);
		if (!larger)
			return seam_fail(e, SEAM_NO_MEMORY, NULL);
		hc->call.body = larger;
		cap *= 2;
	}
	if (!hc->call.body)
		return seam_fail(e, SEAM_NO_MEMORY, NULL);
	if (ri->content_length > 0 && n != (size_t)ri->content_length)
		return seam_fail(e, SEAM_BAD_REQUEST, "body: ended too early");
	hc->call.body[n] = '\0';
	hc->call.len = n;
	return 0;
}

static int read_deadline(struct http_call *hc, struct seam_err *e)
{
	const char *v = call_header(&hc->call, "X-Request-Timeout-Ms");
	long ms = SEAM_TIMEOUT_MS_MAX;
	char *end;

	if (v) {
		ms = strtol(v, &end, 10);
		if (*end || end == v || ms < 1 || ms > SEAM_TIMEOUT_MS_MAX)
			return seam_fail(e, SEAM_BAD_REQUEST,
					 "X-Request-Timeout-Ms: must be from "
					 "1 to %d",
					 SEAM_TIMEOUT_MS_MAX);
	}
	hc->call.deadline = hc->call.arrived + ms * SEAM_MSEC;
	return 0;
}

static bool method_listed(const char *list, const char *method)
{
	size_t n = strlen(method);
	const char *at = list;

	if (!strcmp(list, "*"))
		return true;
	while (at) {
		if (!strncmp(at, method, n) && (!at[n] || at[n] == '|'))
			return true;
		at = strchr(at, '|');
		if (at)
			at++;
	}
	return false;
}

static bool prefix_matches(const char *prefix, const char *path)
{
	size_t n = strlen(prefix);

	if (prefix[n - 1] == '/')
		return !strncmp(prefix, path, n);
	return !strcmp(prefix, path);
}

static const struct route *find_route(struct seam_http *h, struct seam_call *c,
				      struct seam_err *e)
{
	const struct route *best = NULL;
	bool path_exists = false;
	int i;

	for (i = 0; i < h->routes; i++) {
		const struct route *r = &h->route[i];

		if (!prefix_matches(r->prefix, c->path))
			continue;
		path_exists = true;
		if (!method_listed(r->methods, c->method))
			continue;
		if (!best || strlen(r->prefix) > strlen(best->prefix))
			best = r;
	}
	if (best)
		return best;
	if (path_exists)
		seam_fail(e, SEAM_BAD_REQUEST, "%s: method %s not accepted",
			  c->path, c->method);
	else
		seam_fail(e, SEAM_NOT_FOUND, "no path %s", c->path);
	return NULL;
}

static bool is_caller_path(const char *path)
{
	return !strncmp(path, "/v1/services/", 13) ||
	       !strncmp(path, "/v1/queues/", 11);
}

static bool begin_request(struct seam_http *h, const char *path)
{
	bool admitted;

	pthread_mutex_lock(&h->lock);
	admitted = !h->draining || !is_caller_path(path);
	if (admitted)
		h->running++;
	pthread_mutex_unlock(&h->lock);
	return admitted;
}

static void end_request(struct seam_http *h)
{
	pthread_mutex_lock(&h->lock);
	h->running--;
	if (!h->running)
		pthread_cond_broadcast(&h->idle);
	pthread_mutex_unlock(&h->lock);
}

static void serve(struct seam_http *h, struct http_call *hc,
		  const struct mg_request_info *ri)
{
	struct seam_err e = SEAM_ERR_INIT;
	const struct route *r = NULL;

	hc->close = should_close(h, hc);
	if (!check_framing(ri, &e) && !read_deadline(hc, &e) &&
	    !read_body(hc, ri, &e))
		r = find_route(h, &hc->call, &e);
	if (r) {
		r->fn(&hc->call, r->arg);
		return;
	}
	hc->close = true;
	seam_reply_err(&hc->call, &e);
}

static int on_request(struct mg_connection *conn, void *arg)
{
	const struct mg_request_info *ri = mg_get_request_info(conn);
	struct seam_http *h = arg;
	struct http_call hc = {.conn = conn};

	seam_metric_add(&requests, 1);
	hc.call.ops = &call_ops;
	hc.call.method = ri->request_method;
	hc.call.path = ri->local_uri;
	hc.call.query = ri->query_string ? ri->query_string : "";
	hc.call.arrived = seam_now(h->clock);
	hc.call.deadline = hc.call.arrived + SEAM_TIMEOUT_MS_MAX * SEAM_MSEC;
	seam_trace_start(&hc.call.trace, call_header(&hc.call, "traceparent"));
	if (!begin_request(h, ri->local_uri)) {
		struct seam_err e = SEAM_ERR_INIT;

		seam_fail(&e, SEAM_DRAINING, NULL);
		hc.close = true;
		seam_reply_err(&hc.call, &e);
	} else {
		seam_metric_add(&in_flight, 1);
		serve(h, &hc, ri);
		seam_metric_add(&in_flight, -1);
		end_request(h);
	}
	seam_span_record(&hc.call.trace, "entry", hc.call.arrived,
			 seam_now(h->clock), hc.call.status);
	if (hc.call.status >= 500)
		seam_metric_add(&errors, 1);
	free(hc.call.body);
	if (hc.close)
		mg_disable_connection_keep_alive(conn);
	return hc.call.status;
}

struct seam_http *seam_http_new(struct seam_clock *k)
{
	struct seam_http *h = calloc(1, sizeof(*h));

	if (!h)
		return NULL;
	h->clock = k;
	pthread_mutex_init(&h->lock, NULL);
	seam_cond_init(&h->idle);
	return h;
}

void seam_http_route(struct seam_http *h, const char *methods,
		     const char *prefix, seam_handler fn, void *arg)
{
	if (h->routes == ROUTES_MAX) {
		seam_log(SEAM_ERROR, "http",
			 "Route %s dropped: the route table is full.", prefix);
		return;
	}
	h->route[h->routes].methods = methods;
	h->route[h->routes].prefix = prefix;
	h->route[h->routes].fn = fn;
	h->route[h->routes].arg = arg;
	h->routes++;
}

static int log_message(const struct mg_connection *conn, const char *text)
{
	(void)conn;
	seam_log(SEAM_DEBUG, "http", "%s", text);
	return 1;
}

int seam_http_start(struct seam_http *h, const char *addr, int threads,
		    struct seam_err *e)
{
	char n[16];
	const char *options[] = {"listening_ports",
				 addr,
				 "num_threads",
				 n,
				 "enable_keep_alive",
				 "yes",
				 "keep_alive_timeout_ms",
				 "20000",
				 "request_timeout_ms",
				 "30000",
				 "tcp_nodelay",
				 "1",
				 "max_request_size",
				 HEADER_BYTES_MAX,
				 NULL};
	struct mg_callbacks callbacks = {.log_message = log_message};

	snprintf(n, sizeof(n), "%d", threads);
	mg_init_library(0);
	h->ctx = mg_start(&callbacks, h, options);
	if (!h->ctx)
		return seam_fail(e, SEAM_UNAVAILABLE,
				 "listen: cannot use address %s", addr);
	mg_set_request_handler(h->ctx, "/", on_request, h);
	return 0;
}

bool seam_http_drain(struct seam_http *h, seam_time deadline)
{
	bool idle;

	pthread_mutex_lock(&h->lock);
	h->draining = true;
	while (h->running && seam_now(h->clock) < deadline)
		seam_wait(h->clock, &h->idle, &h->lock, deadline);
	idle = !h->running;
	pthread_mutex_unlock(&h->lock);
	return idle;
}

void seam_http_disable_keep_alive(struct seam_http *h)
{
	__atomic_store_n(&h->no_keep_alive, true, __ATOMIC_RELAXED);
}

bool seam_http_draining(struct seam_http *h)
{
	bool draining;

	pthread_mutex_lock(&h->lock);
	draining = h->draining;
	pthread_mutex_unlock(&h->lock);
	return draining;
}

void seam_http_free(struct seam_http *h)
{
	if (!h)
		return;
	if (h->ctx) {
		mg_stop(h->ctx);
		mg_exit_library();
	}
	pthread_mutex_destroy(&h->lock);
	pthread_cond_destroy(&h->idle);
	free(h);
}
