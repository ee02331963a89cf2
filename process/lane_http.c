/* Lanes between nodes, over HTTP on their control addresses. */
#include "process/dispatch.h"
#include "process/rest.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SEND_PATH "/v1/dispatch/batch"
#define POLL_PATH "/v1/dispatch/events"
#define POLL_WAIT_MAX_MS 2000
#define MESSAGE_TYPE "application/msgpack"

struct http_lane {
	struct seam_lane base;
	struct seam_clock *clock;
	struct seam_rest *rest;
};

/*
 * Posts @body and releases it. @a receives a response with status 200; its body
 * is the caller's.
 */
static int post(struct http_lane *l, const char *path, char *body, size_t len,
		struct seam_rest_response *a, seam_time deadline,
		struct seam_err *e)
{
	struct seam_rest_request c = {.method = "POST",
				      .path = path,
				      .body = body,
				      .body_len = len,
				      .type = MESSAGE_TYPE,
				      .deadline = deadline};
	int rc = body ? seam_rest_do(l->rest, &c, a, e) :
			seam_fail(e, SEAM_NO_MEMORY, NULL);

	free(body);
	if (rc)
		return -1;
	if (a->status == 200)
		return 0;
	free(a->body);
	a->body = NULL;
	seam_fail(e, a->status == 409 ? SEAM_CONFLICT : SEAM_COMMIT_UNKNOWN,
		  "dispatcher answered with status %d", a->status);
	return -1;
}

static int http_send(struct seam_lane *base, struct seam_lane_batch *b,
		     seam_time *node_now, seam_time deadline,
		     struct seam_err *e)
{
	struct http_lane *l = (struct http_lane *)base;
	struct seam_rest_response a = {0};
	size_t len = 0;
	char *body = seam_lane_batch_encode(b, &len);
	int rc;

	if (post(l, SEND_PATH, body, len, &a, deadline, e))
		return -1;
	rc = seam_lane_answer_decode(a.body, a.len, node_now, e);
	free(a.body);
	return rc;
}

static int http_poll(struct seam_lane *base, const struct seam_lane_poll *p,
		     struct seam_lane_events *v, seam_time deadline,
		     struct seam_err *e)
{
	struct http_lane *l = (struct http_lane *)base;
	seam_time asked_at = seam_now(l->clock);
	struct seam_rest_response a = {0};
	size_t len = 0;
	char *body = seam_lane_poll_encode(p, &len);
	int rc;

	memset(v, 0, sizeof(*v));
	if (post(l, POLL_PATH, body, len, &a, deadline, e))
		return -1;
	rc = seam_lane_events_decode(a.body, a.len, asked_at, v, e);
	free(a.body);
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

/* Sends @message and releases it. */
static void reply(struct seam_call *c, char *message, size_t len)
{
	struct seam_answer a = {.status = 200,
				.type = MESSAGE_TYPE,
				.body = message,
				.len = len};
	struct seam_err e = SEAM_ERR_INIT;

	if (message) {
		seam_reply(c, &a);
	} else {
		seam_fail(&e, SEAM_NO_MEMORY, NULL);
		seam_reply_err(c, &e);
	}
	free(message);
}

static void serve_batch(struct seam_call *c, void *arg)
{
	struct seam_dispatch *d = arg;
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_lane_batch b;
	size_t len = 0;
	char *message;
	int rc = seam_lane_batch_decode(c->body, c->len, &b, &e);

	if (!rc) {
		rc = seam_dispatch_apply(d, &b, &e);
		seam_lane_batch_free(&b);
	}
	if (rc) {
		seam_reply_err(c, &e);
		return;
	}
	message = seam_lane_answer_encode(seam_dispatch_now(d), &len);
	reply(c, message, len);
}

static void serve_events(struct seam_call *c, void *arg)
{
	struct seam_dispatch *d = arg;
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_lane_events v = {0};
	struct seam_lane_poll p;
	size_t len = 0;
	char *message;

	if (seam_lane_poll_decode(c->body, c->len, &p, &e)) {
		seam_reply_err(c, &e);
		return;
	}
	if (p.wait_ms < 0 || p.wait_ms > POLL_WAIT_MAX_MS)
		p.wait_ms = POLL_WAIT_MAX_MS;
	if (seam_dispatch_poll(d, &p, &v, &e)) {
		seam_reply_err(c, &e);
		return;
	}
	message = seam_lane_events_encode(&v, c->arrived, seam_dispatch_now(d),
					  &len);
	seam_lane_events_free(&v);
	reply(c, message, len);
}

void seam_dispatch_serve(struct seam_dispatch *d, struct seam_http *h)
{
	seam_http_route(h, "POST", SEND_PATH, serve_batch, d);
	seam_http_route(h, "POST", POLL_PATH, serve_events, d);
}
