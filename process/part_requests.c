#include "base/count.h"
#include "process/node.h"
#include "request/route.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PATH_PREFIX "/v1/services/"

SEAM_COUNT(refused, "seam_requests_refused_total",
	   "Requests refused before the start.");

/* Serves callers' requests for services. */
struct requests {
	struct seam_part part;
	struct seam_node *node;
};

static bool idempotent(const struct seam_service *s, const char *method)
{
	return s->idempotent || !strcmp(method, "GET") ||
	       !strcmp(method, "HEAD") || !strcmp(method, "PUT") ||
	       !strcmp(method, "OPTIONS");
}

static bool team_listed(char **teams, const char *team)
{
	if (!teams)
		return true;
	for (; *teams; teams++)
		if (!strcmp(*teams, team))
			return true;
	return false;
}

static const struct seam_service *find_service(const struct seam_conf *c,
					       const char *path,
					       const char **rest,
					       struct seam_err *e)
{
	const char *at = path + strlen(PATH_PREFIX);
	const struct seam_service *s;
	char name[SEAM_NAME_MAX];
	size_t n = strcspn(at, "/");

	*rest = at[n] ? at + n : "/";
	if (!n || n >= sizeof(name)) {
		seam_fail(e, SEAM_NOT_FOUND, "no service named in the path");
		return NULL;
	}
	memcpy(name, at, n);
	name[n] = '\0';
	s = seam_conf_named(c, SEAM_CONF_SERVICE, name);
	if (!s)
		seam_fail(e, SEAM_NOT_FOUND, "no service %s", name);
	return s;
}

static int allow(struct seam_node *n, struct seam_conf *c,
		 struct seam_call *call, const struct seam_service *s,
		 struct seam_err *e)
{
	const char *text = seam_call_key(call);
	const struct seam_key *key;
	int64_t max_age = idempotent(s, call->method) ?
				  n->settings.stale_serve_ms :
				  n->settings.stale_key_ms;

	if (!text)
		return seam_fail(e, SEAM_UNAUTHENTICATED, "a key is required");
	key = seam_conf_key(c, text, e);
	if (!key)
		return -1;
	if (!team_listed(s->teams, key->team))
		return seam_fail(e, SEAM_FORBIDDEN,
				 "team %s may not call service %s", key->team,
				 s->name);
	return seam_node_fresh(n, max_age, e);
}

static int forward(struct seam_node *n, struct seam_call *call,
		   const struct seam_service *s, const char *rest,
		   struct seam_answer *a, struct seam_err *e)
{
	seam_time start = seam_now(n->clock);
	struct seam_send send = {.call = call,
				 .idempotent = idempotent(s, call->method)};
	struct seam_handle h;
	char path[2200];
	int rc;

	snprintf(path, sizeof(path), "%s%s%s", rest, *call->query ? "?" : "",
		 call->query);
	send.path = path;
	send.deadline = call->arrived + s->timeout_ms * SEAM_MSEC;
	if (send.deadline > call->deadline)
		send.deadline = call->deadline;
	seam_trace_child(&send.trace, &call->trace);
	if (seam_route_take(n->targets, s->name, n->settings.data_centre, start,
			    &h, e))
		return -1;
	rc = seam_target_send(n->targets, h, &send, a, e);
	seam_route_release(n->targets, h);
	seam_span_end(&send.trace, "target", start, seam_now(n->clock),
		      a->status);
	return rc;
}

static void on_request(struct seam_call *call, void *arg)
{
	struct requests *r = arg;
	struct seam_conf *c = seam_conf_current(&r->node->conf);
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_answer a = {.status = 0};
	const char *rest;
	const struct seam_service *s = find_service(c, call->path, &rest, &e);

	if (!s || allow(r->node, c, call, s, &e) ||
	    forward(r->node, call, s, rest, &a, &e)) {
		if (seam_kind_info(e.kind)->run == SEAM_NOT_RUN)
			seam_count_add(&refused, 1);
		seam_reply_err(call, &e);
	} else {
		seam_reply(call, &a);
	}
	seam_answer_free(&a);
	seam_conf_drop(c);
}

static int start(struct seam_part *p, struct seam_err *e)
{
	struct requests *r = (struct requests *)p;

	(void)e;
	seam_http_route(r->node->http, "*", PATH_PREFIX, on_request, r);
	return 0;
}

static void stop(struct seam_part *p)
{
	free(p);
}

static const struct seam_part_ops ops = {
	.name = "request",
	.start = start,
	.stop = stop,
};

struct seam_part *seam_part_requests(struct seam_node *n)
{
	struct requests *r = calloc(1, sizeof(*r));

	if (!r)
		return NULL;
	r->part.ops = &ops;
	r->node = n;
	return &r->part;
}
