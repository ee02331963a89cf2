/* Lanes between nodes, over HTTP on their control addresses. */
#include "process/dispatch.h"
#include "base/json.h"
#include "process/rest.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SEND_PATH "/v1/dispatch/batch"
#define POLL_PATH "/v1/dispatch/events"
#define POLL_WAIT_MAX_MS 2000

struct http_lane {
	struct seam_lane base;
	struct seam_clock *clock;
	struct seam_rest *rest;
};

/* Posts @body and releases it; @o receives the response. */
static int post(struct http_lane *l, const char *path, struct json_object *body,
		struct json_object **o, seam_time deadline, struct seam_err *e)
{
	struct seam_rest_request c = {.method = "POST",
				      .path = path,
				      .body = json_object_to_json_string_ext(
					      body, JSON_C_TO_STRING_PLAIN),
				      .deadline = deadline};
	struct seam_rest_response a;
	int rc = seam_rest_do(l->rest, &c, &a, e);

	json_object_put(body);
	*o = NULL;
	if (rc)
		return -1;
	*o = a.status == 200 && a.body ? json_tokener_parse(a.body) : NULL;
	free(a.body);
	if (*o)
		return 0;
	return seam_fail(e,
			 a.status == 409 ? SEAM_CONFLICT : SEAM_COMMIT_UNKNOWN,
			 "dispatcher answered with status %d", a.status);
}

static int http_send(struct seam_lane *base, struct seam_lane_batch *b,
		     seam_time deadline, struct seam_err *e)
{
	struct http_lane *l = (struct http_lane *)base;
	struct json_object *o;

	if (post(l, SEND_PATH, seam_lane_batch_to_json(b, seam_now(l->clock)),
		 &o, deadline, e))
		return -1;
	json_object_put(o);
	return 0;
}

static int http_poll(struct seam_lane *base, const struct seam_lane_poll *p,
		     struct seam_lane_events *v, seam_time deadline,
		     struct seam_err *e)
{
	struct http_lane *l = (struct http_lane *)base;
	struct json_object *body = json_object_new_object();
	seam_time asked_at = seam_now(l->clock);
	struct json_object *o;
	int rc;

	memset(v, 0, sizeof(*v));
	seam_json_add_int(body, "token", (int64_t)p->session.token);
	seam_json_add_int(body, "session", (int64_t)p->session.number);
	seam_json_add_int(body, "seen", (int64_t)p->seen);
	seam_json_add_int(body, "wait_ms", p->wait_ms);
	if (post(l, POLL_PATH, body, &o, deadline, e))
		return -1;
	rc = seam_lane_events_parse(o, asked_at, v, e);
	json_object_put(o);
	return rc;
}

static void http_close(struct seam_lane *base)
{
	struct http_lane *l = (struct http_lane *)base;

	seam_rest_free(l->rest);
	free(l);
}

static const struct seam_lane_ops http_ops = {
	.send = http_send,
	.poll = http_poll,
	.close = http_close,
};

struct seam_lane *seam_lane_http_new(struct seam_clock *k, const char *addr)
{
	struct http_lane *l = calloc(1, sizeof(*l));
	char url[128];

	if (!l)
		return NULL;
	snprintf(url, sizeof(url), "http://%s", addr);
	l->base.ops = &http_ops;
	l->clock = k;
	l->rest = seam_rest_new(k, url);
	if (l->rest)
		return &l->base;
	free(l);
	return NULL;
}

static void serve_batch(struct seam_call *c, void *arg)
{
	struct seam_dispatch *d = arg;
	struct seam_err e = SEAM_ERR_INIT;
	struct json_object *o = json_tokener_parse(c->body);
	struct seam_lane_batch b;
	int rc = seam_lane_batch_parse(o, c->arrived, &b, &e);

	json_object_put(o);
	if (!rc) {
		rc = seam_dispatch_apply(d, &b, &e);
		seam_lane_batch_free(&b);
	}
	if (rc)
		seam_reply_err(c, &e);
	else
		seam_reply_json(c, 200, json_object_new_object(),
				JSON_C_TO_STRING_PLAIN);
}

static void serve_events(struct seam_call *c, void *arg)
{
	struct seam_dispatch *d = arg;
	struct seam_err e = SEAM_ERR_INIT;
	struct json_object *o = json_tokener_parse(c->body);
	struct seam_lane_events v = {0};
	struct seam_lane_poll p = {
		.session = {(uint64_t)seam_json_int(o, "token", 0),
			    (uint64_t)seam_json_int(o, "session", 0)},
		.seen = (uint64_t)seam_json_int(o, "seen", 0),
		.wait_ms = seam_json_int(o, "wait_ms", 0)};

	json_object_put(o);
	if (p.wait_ms < 0 || p.wait_ms > POLL_WAIT_MAX_MS)
		p.wait_ms = POLL_WAIT_MAX_MS;
	if (seam_dispatch_poll(d, &p, &v, &e)) {
		seam_reply_err(c, &e);
		return;
	}
	o = seam_lane_events_to_json(&v, c->arrived, seam_dispatch_now(d));
	seam_reply_json(c, 200, o, JSON_C_TO_STRING_PLAIN);
	seam_lane_events_free(&v);
}

void seam_dispatch_serve(struct seam_dispatch *d, struct seam_http *h)
{
	seam_http_route(h, "POST", SEND_PATH, serve_batch, d);
	seam_http_route(h, "POST", POLL_PATH, serve_events, d);
}
