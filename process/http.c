#include "process/http.h"
#include "base/metrics.h"
#include "base/log.h"
#include "connection/conn_set.h"

#include <arpa/inet.h>
#include <glib.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define ROUTES_MAX 64
/* Memory of a connection for the head of a request and its response. */
#define HEAD_BYTES_MAX (24u << 10)
#define BODY_BYTES_INITIAL 4096
/*
 * libmicrohttpd closes connections beyond its limit without a response, so more
 * are accepted than are served: the others are told.
 */
#define LIMIT_FACTOR 2u
/* A connection without a request, or within one, is closed after this time. */
#define IDLE_TIMEOUT_S 20u
/* Until its first request it is closed sooner: it may be one of very many. */
#define FIRST_REQUEST_TIMEOUT_S 2u
/*
 * A handler needs some 20 KB: the deepest calls are those to the store through
 * libcurl. Only pages that were touched take memory.
 */
#define STACK_BYTES (256u << 10)

SEAM_METRIC(requests, "seam_http_requests_total", "Requests read.");
SEAM_METRIC(errors, "seam_http_errors_total", "Answers with status 5xx.");
SEAM_METRIC(in_flight, "seam_http_in_flight", "Requests being served.");
SEAM_METRIC(connections, "seam_http_connections", "Open connections.");

struct route {
	const char *methods;
	const char *prefix;
	seam_handler fn;
	void *arg;
};

struct seam_http {
	struct seam_clock *clock;
	bool no_keep_alive;
	struct MHD_Daemon *daemon;
	struct seam_conn_set *conns;
	struct route route[ROUTES_MAX];
	int routes;
	pthread_mutex_t lock;
	pthread_cond_t idle;
	int running;
	int running_max;
	bool draining;
};

/*
 * A request read by libmicrohttpd; seam_call is the first member.
 *
 * @query: its query, percent-encoded
 * @cap: bytes allocated for the body
 * @admitted: it counts as running
 * @close: the connection is closed after the response
 */
struct http_call {
	struct seam_call call;
	struct MHD_Connection *conn;
	char *query;
	size_t cap;
	bool begun;
	bool admitted;
	bool close;
};

static const char *call_header(struct seam_call *c, const char *name)
{
	return MHD_lookup_connection_value(((struct http_call *)c)->conn,
					   MHD_HEADER_KIND, name);
}

/*
 * The response is sent in one write, as libmicrohttpd sends a body in memory
 * together with its head. A process that exits between two writes would
 * truncate the response.
 */
static int call_reply(struct seam_call *c, const struct seam_answer *a)
{
	struct http_call *hc = (struct http_call *)c;
	char trace[SEAM_TRACEPARENT_LEN];
	char retry[24];
	struct MHD_Response *r = MHD_create_response_from_buffer(
		a->len, a->body, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result rc;

	if (!r)
		return -1;
	seam_trace_header(&c->trace, trace);
	MHD_add_response_header(r, "Content-Type",
				*a->type ? a->type :
					   "application/octet-stream");
	MHD_add_response_header(r, "traceparent", trace);
	if (a->retry_ms) { /* whole seconds, rounded up: RFC 9110, 10.2.3 */
		snprintf(retry, sizeof(retry), "%lld",
			 (long long)((a->retry_ms + 999) / 1000));
		MHD_add_response_header(r, "Retry-After", retry);
	}
	if (*a->target)
		MHD_add_response_header(r, "X-Seam-Target", a->target);
	if (hc->close)
		MHD_add_response_header(r, "Connection", "close");
	rc = MHD_queue_response(hc->conn, (unsigned)a->status, r);
	MHD_destroy_response(r);
	return rc == MHD_YES ? 0 : -1;
}

static const struct seam_call_ops call_ops = {
	.header = call_header,
	.reply = call_reply,
};

struct framing {
	int lengths;
	int codings;
};

static enum MHD_Result count_framing(void *arg, enum MHD_ValueKind kind,
				     const char *name, const char *value)
{
	struct framing *f = arg;

	(void)kind;
	(void)value;
	f->lengths += !strcasecmp(name, "Content-Length");
	f->codings += !strcasecmp(name, "Transfer-Encoding");
	return MHD_YES;
}

/*
 * Rejects a request with two lengths, or with a length and a transfer coding: a
 * load balancer and this server could disagree on where it ends (RFC 9112,
 * 6.3).
 */
static int check_framing(struct http_call *hc, struct seam_err *e)
{
	struct framing f = {0, 0};

	MHD_get_connection_values(hc->conn, MHD_HEADER_KIND, count_framing, &f);
	if (f.lengths > 1 || (f.lengths && f.codings))
		return seam_fail(e, SEAM_BAD_REQUEST,
				 "body: more than one length");
	return 0;
}

static int check_length(struct http_call *hc, struct seam_err *e)
{
	const char *v = call_header(&hc->call, "Content-Length");

	if (v && strtoull(v, NULL, 10) > SEAM_BODY_MAX)
		return seam_fail(e, SEAM_TOO_LARGE, "body: over %u bytes",
				 SEAM_BODY_MAX);
	return 0;
}

static bool should_close(struct seam_http *h, struct http_call *hc)
{
	const char *v = call_header(&hc->call, "Connection");

	return __atomic_load_n(&h->no_keep_alive, __ATOMIC_RELAXED) ||
	       (v && !strcasecmp(v, "close"));
}

/* Appends @n bytes to the body. */
static int add_body(struct http_call *hc, const char *data, size_t n,
		    struct seam_err *e)
{
	struct seam_call *c = &hc->call;
	size_t cap = hc->cap ? hc->cap : BODY_BYTES_INITIAL;
	char *larger;

	if (c->len + n > SEAM_BODY_MAX)
		return seam_fail(e, SEAM_TOO_LARGE, "body: over %u bytes",
				 SEAM_BODY_MAX);
	while (cap < c->len + n)
		cap *= 2;
	if (cap > hc->cap) {
		larger = realloc(c->body, cap + 1);
		if (!larger)
			return seam_fail(e, SEAM_NO_MEMORY, NULL);
		c->body = larger;
		hc->cap = cap;
	}
	if (n)
		memcpy(c->body + c->len, data, n);
	c->len += n;
	c->body[c->len] = '\0';
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

/* Counts a request as running, unless it is to be refused. */
static int begin_request(struct seam_http *h, const char *path,
			 struct seam_err *e)
{
	int rc = 0;

	pthread_mutex_lock(&h->lock);
	if (h->draining && is_caller_path(path))
		rc = seam_fail(e, SEAM_DRAINING, NULL);
	else if (h->running >= h->running_max)
		rc = seam_fail(e, SEAM_BUSY, "%d requests are being served",
			       h->running);
	else
		h->running++;
	pthread_mutex_unlock(&h->lock);
	return rc;
}

static void end_request(struct seam_http *h)
{
	pthread_mutex_lock(&h->lock);
	h->running--;
	if (!h->running)
		pthread_cond_broadcast(&h->idle);
	pthread_mutex_unlock(&h->lock);
}

/* Rejects the request and closes its connection. */
static enum MHD_Result reject(struct http_call *hc, const struct seam_err *e)
{
	hc->close = true;
	return seam_reply_err(&hc->call, e) ? MHD_NO : MHD_YES;
}

/* Handles the head of a request. */
static enum MHD_Result begin_call(struct seam_http *h, struct http_call *hc,
				  const char *path, const char *method)
{
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_call *c = &hc->call;

	hc->begun = true;
	MHD_set_connection_option(hc->conn, MHD_CONNECTION_OPTION_TIMEOUT,
				  IDLE_TIMEOUT_S);
	seam_metric_add(&requests, 1);
	c->method = method;
	c->path = path;
	c->query = hc->query ? hc->query : "";
	c->arrived = seam_now(h->clock);
	c->deadline = c->arrived + SEAM_TIMEOUT_MS_MAX * SEAM_MSEC;
	seam_trace_start(&c->trace, call_header(c, "traceparent"));
	if (begin_request(h, path, &e))
		return reject(hc, &e);
	hc->admitted = true;
	seam_metric_add(&in_flight, 1);
	hc->close = should_close(h, hc);
	if (check_framing(hc, &e) || read_deadline(hc, &e) ||
	    check_length(hc, &e) || add_body(hc, NULL, 0, &e))
		return reject(hc, &e);
	return MHD_YES;
}

/* Runs the handler of a request that was read completely. */
static enum MHD_Result serve(struct seam_http *h, struct http_call *hc)
{
	struct seam_err e = SEAM_ERR_INIT;
	const struct route *r = find_route(h, &hc->call, &e);

	if (!r)
		return reject(hc, &e);
	r->fn(&hc->call, r->arg);
	return hc->call.status ? MHD_YES : MHD_NO;
}

/* Handle of a connection in the set of the server. */
static struct seam_handle handle_of(struct MHD_Connection *conn)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		conn, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

	return (struct seam_handle){
		GPOINTER_TO_UINT(info ? info->socket_context : NULL)};
}

/*
 * Called in the thread of the connection: once with the head of a request, then
 * with each piece of its body, and again at its end.
 */
static enum MHD_Result on_request(void *arg, struct MHD_Connection *conn,
				  const char *path, const char *method,
				  const char *version, const char *data,
				  size_t *n, void **state)
{
	struct http_call *hc = *state;
	struct seam_http *h = arg;
	struct seam_err e = SEAM_ERR_INIT;
	enum MHD_Result rc = MHD_YES;

	(void)version;
	if (!hc)
		return MHD_NO;
	if (!hc->begun) {
		const union MHD_ConnectionInfo *info = MHD_get_connection_info(
			conn, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

		seam_conn_set_busy(h->conns,
				   (struct seam_handle){GPOINTER_TO_UINT(
					   info ? info->socket_context : NULL)},
				   true);
		return begin_call(h, hc, path, method);
	}
	if (!*n)
		return serve(h, hc);
	if (hc->call.status) /* rejected; the rest of its body is ignored */
		rc = MHD_YES;
	else if (add_body(hc, data, *n, &e))
		rc = reject(hc, &e);
	*n = 0;
	return rc;
}

/* Called with the request line; the result is passed to on_request(). */
static void *on_request_line(void *arg, const char *uri,
			     struct MHD_Connection *conn)
{
	struct http_call *hc = calloc(1, sizeof(*hc));
	const char *query = strchr(uri, '?');

	(void)arg;
	if (!hc)
		return NULL;
	hc->call.ops = &call_ops;
	hc->conn = conn;
	hc->query = query ? strdup(query + 1) : NULL;
	return hc;
}

/* Called when the response was sent or the connection has failed. */
static void on_completed(void *arg, struct MHD_Connection *conn, void **state,
			 enum MHD_RequestTerminationCode code)
{
	struct http_call *hc = *state;
	struct seam_http *h = arg;

	(void)code;
	seam_conn_set_busy(h->conns, handle_of(conn), false);
	if (!hc)
		return;
	if (hc->begun)
		seam_span_record(&hc->call.trace, "entry", hc->call.arrived,
				 seam_now(h->clock), hc->call.status);
	if (hc->call.status >= 500)
		seam_metric_add(&errors, 1);
	if (hc->admitted) {
		seam_metric_add(&in_flight, -1);
		end_request(h);
	}
	free(hc->call.body);
	free(hc->query);
	free(hc);
	*state = NULL;
}

static void on_connection(void *arg, struct MHD_Connection *conn,
			  void **context, enum MHD_ConnectionNotificationCode c)
{
	struct seam_http *h = arg;
	const union MHD_ConnectionInfo *info;

	if (c == MHD_CONNECTION_NOTIFY_CLOSED) {
		seam_metric_add(&connections, -1);
		seam_conn_set_remove(
			h->conns,
			(struct seam_handle){GPOINTER_TO_UINT(*context)});
		return;
	}
	seam_metric_add(&connections, 1);
	MHD_set_connection_option(conn, MHD_CONNECTION_OPTION_TIMEOUT,
				  FIRST_REQUEST_TIMEOUT_S);
	info = MHD_get_connection_info(conn, MHD_CONNECTION_INFO_CONNECTION_FD);
	*context = GUINT_TO_POINTER(
		seam_conn_set_add(h->conns, info->connect_fd).bits);
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

__attribute__((format(printf, 2, 0))) static void
log_message(void *arg, const char *fmt, va_list ap)
{
	char text[256];

	(void)arg;
	vsnprintf(text, sizeof(text), fmt, ap);
	text[strcspn(text, "\n")] = '\0';
	seam_log(SEAM_DEBUG, "http", "%s", text);
}

/* Parses IP:PORT. */
static int parse_addr(const char *text, struct sockaddr_in *addr)
{
	const char *colon = strrchr(text, ':');
	char ip[INET_ADDRSTRLEN];

	memset(addr, 0, sizeof(*addr));
	addr->sin_family = AF_INET;
	if (!colon || (size_t)(colon - text) >= sizeof(ip))
		return -1;
	memcpy(ip, text, (size_t)(colon - text));
	ip[colon - text] = '\0';
	addr->sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
	return inet_pton(AF_INET, ip, &addr->sin_addr) == 1 ? 0 : -1;
}

int seam_http_start(struct seam_http *h, const char *addr, int max,
		    struct seam_err *e)
{
	struct sockaddr_in sa;

	h->running_max = max;
	h->conns = seam_conn_set_new(h->clock, (unsigned)max);
	if (!h->conns)
		return seam_fail(e, SEAM_NO_MEMORY, NULL);
	if (!parse_addr(addr, &sa))
		h->daemon = MHD_start_daemon(
			MHD_USE_THREAD_PER_CONNECTION |
				MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL |
				MHD_USE_ERROR_LOG |
				MHD_USE_SUPPRESS_DATE_NO_CLOCK,
			0, NULL, NULL, on_request, h,
			MHD_OPTION_EXTERNAL_LOGGER, log_message, h,
			MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&sa,
			MHD_OPTION_CONNECTION_LIMIT,
			LIMIT_FACTOR * (unsigned)max,
			MHD_OPTION_CONNECTION_TIMEOUT, IDLE_TIMEOUT_S,
			MHD_OPTION_CONNECTION_MEMORY_LIMIT,
			(size_t)HEAD_BYTES_MAX, MHD_OPTION_THREAD_STACK_SIZE,
			(size_t)STACK_BYTES, MHD_OPTION_URI_LOG_CALLBACK,
			on_request_line, h, MHD_OPTION_NOTIFY_COMPLETED,
			on_completed, h, MHD_OPTION_NOTIFY_CONNECTION,
			on_connection, h, MHD_OPTION_END);
	if (!h->daemon)
		return seam_fail(e, SEAM_UNAVAILABLE,
				 "listen: cannot use address %s", addr);
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
	if (h->daemon)
		MHD_stop_daemon(h->daemon);
	seam_conn_set_free(h->conns);
	pthread_mutex_destroy(&h->lock);
	pthread_cond_destroy(&h->idle);
	free(h);
}
