#include "base/metrics.h"
#include "base/log.h"
#include "process/demand.h"
#include "process/member.h"
#include "process/node.h"
#include "request/once.h"
#include "request/route.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PATH_PREFIX "/v1/services/"
#define REGION_DCS_MAX 32
#define DEMAND_PERIOD (1 * SEAM_SEC)
#define DEMAND_TTL (3 * SEAM_SEC) /* spans a late report */

SEAM_METRIC(refused, "seam_requests_refused_total",
	    "Requests refused before the start.");
SEAM_METRIC(keyed, "seam_requests_keyed_total",
	    "Non-idempotent requests with a caller's key.");

/* The part that serves callers' requests for services. */
struct requests {
	struct seam_part part;
	struct seam_node *node;
	struct seam_router *router;
	struct seam_once *once;
	struct seam_loop loop;
	struct seam_loop demand; /* separate, as @loop waits for the store */
	bool loop_started;
	bool demand_started;
};

/* A request with the configuration version and the objects that it uses. */
struct request {
	struct requests *r;
	struct seam_conf *conf;
	seam_time confirmed; /* read before @conf */
	struct seam_call *call;
	const struct seam_service *service;
	const struct seam_key *key;
	const char *target_path;
	bool idempotent;
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

static bool find_service(struct request *q, struct seam_err *e)
{
	const char *at = q->call->path + strlen(PATH_PREFIX);
	char name[SEAM_CONF_NAME_SIZE];
	size_t n = strcspn(at, "/");

	q->target_path = at[n] ? at + n : "/";
	if (!n || n >= sizeof(name)) {
		seam_fail(e, SEAM_NOT_FOUND, "no service named in the path");
		return false;
	}
	memcpy(name, at, n);
	name[n] = '\0';
	q->service = seam_conf_lookup(q->conf, SEAM_CONF_SERVICE, name);
	if (!q->service) {
		seam_fail(e, SEAM_NOT_FOUND, "no service %s", name);
		return false;
	}
	q->idempotent = idempotent(q->service, q->call->method);
	return true;
}

static bool authorize(struct request *q, struct seam_err *e)
{
	struct seam_node *n = q->r->node;
	const char *text = seam_call_key(q->call);
	enum seam_fresh_class fresh = SEAM_FRESH_IDEMPOTENT;

	if (!text)
		seam_fail(e, SEAM_UNAUTHENTICATED, "a key is required");
	else
		q->key = seam_conf_authenticate(q->conf, text, e);
	if (!q->key)
		return false;
	if (!team_listed(q->service->teams, q->key->team)) {
		seam_fail(e, SEAM_FORBIDDEN, "team %s may not call service %s",
			  q->key->team, q->service->name);
		return false;
	}
	if (!q->idempotent)
		fresh = seam_call_header(q->call, "Idempotency-Key") ?
				SEAM_FRESH_KEYED :
				SEAM_FRESH_NON_IDEMPOTENT;
	return !seam_node_check_fresh(n, fresh, q->confirmed, e);
}

/* Lists the other data centres in the region of @own; returns their number. */
static int list_region(const struct seam_conf *c, const char *own,
		       const char **list)
{
	const struct seam_dc *me = seam_conf_lookup(c, SEAM_CONF_DC, own);
	struct seam_handle h = SEAM_HANDLE_NONE;
	const struct seam_dc *dc;
	int n = 0;

	if (!me)
		return 0;
	while (n < REGION_DCS_MAX && (dc = seam_conf_next(c, SEAM_CONF_DC, &h)))
		if (dc != me && !strcmp(dc->region, me->region))
			list[n++] = dc->name;
	return n;
}

static int forward(struct request *q, struct seam_routed_request *req,
		   struct seam_answer *a, struct seam_err *e)
{
	return seam_router_run(q->r->router, req, a, e);
}

/* When the queue is full, a store call can only help by a stored outcome. */
static int check_queue(struct request *q, const struct seam_routed_request *req,
		       struct seam_once_claim *c, struct seam_err *e)
{
	struct seam_err busy = SEAM_ERR_INIT;
	int rc;

	if (!seam_router_check_queue(q->r->router, req, &busy))
		return SEAM_ONCE_RUN;
	rc = seam_once_lookup(q->r->once, c, e);
	if (rc != SEAM_ONCE_RUN)
		return rc;
	*e = busy;
	return -1;
}

static int forward_keyed(struct request *q, struct seam_routed_request *req,
			 const char *key, struct seam_answer *a,
			 struct seam_err *e)
{
	struct seam_once *o = q->r->once;
	struct seam_once_claim c;
	int rc;

	seam_metric_add(&keyed, 1);
	if (seam_once_claim_init(&c, q->key->team, key, q->service->name,
				 q->call, e))
		return -1;
	rc = check_queue(q, req, &c, e);
	if (rc == SEAM_ONCE_RUN)
		rc = seam_once_begin(o, &c, req->send.deadline, e);
	if (rc == SEAM_ONCE_RUN) {
		rc = forward(q, req, a, e);
		seam_once_end(o, &c, rc, a, e);
	} else if (rc == SEAM_ONCE_REPEAT) {
		seam_once_answer(&c, a);
		rc = 0;
	}
	seam_once_claim_free(&c);
	return rc;
}

static int serve(struct request *q, struct seam_answer *a, struct seam_err *e)
{
	struct seam_node *n = q->r->node;
	const struct seam_team *team =
		seam_conf_lookup(q->conf, SEAM_CONF_TEAM, q->key->team);
	const char *key = seam_call_header(q->call, "Idempotency-Key");
	const char *region[REGION_DCS_MAX];
	char path[2200];
	struct seam_routed_request req = {
		.service = q->service->name,
		.team = q->key->team,
		.share = team ? team->share : 1,
		.admit = n->admit,
		.skew = n->settings.clock_skew_ms * SEAM_MSEC,
		.send = {.call = q->call,
			 .path = path,
			 .idempotent = q->idempotent},
	};

	snprintf(path, sizeof(path), "%s%s%s", q->target_path,
		 *q->call->query ? "?" : "", q->call->query);
	req.send.deadline =
		q->call->arrived + q->service->timeout_ms * SEAM_MSEC;
	if (req.send.deadline > q->call->deadline)
		req.send.deadline = q->call->deadline;
	req.locality.dc = n->settings.data_centre;
	req.locality.region = region;
	req.locality.n = list_region(q->conf, req.locality.dc, region);
	if (key && !q->idempotent)
		return forward_keyed(q, &req, key, a, e);
	return forward(q, &req, a, e);
}

static void on_request(struct seam_call *call, void *arg)
{
	struct request q = {.r = arg, .call = call};
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_answer a = {.status = 0};

	q.confirmed = seam_node_confirmed(q.r->node);
	q.conf = seam_conf_current(&q.r->node->conf);
	if (!find_service(&q, &e) || !authorize(&q, &e) || serve(&q, &a, &e)) {
		if (seam_err_kind_info(e.kind)->run == SEAM_NOT_RUN)
			seam_metric_add(&refused, 1);
		seam_reply_err(call, &e);
	} else {
		seam_reply(call, &a);
	}
	seam_answer_free(&a);
	seam_conf_unref(q.conf);
}

static seam_time pass(void *arg, seam_time now)
{
	struct requests *r = arg;
	bool mine = seam_is_owner(r->node->owner, "once", now);

	return seam_once_maintain(r->once, now, mine);
}

/*
 * Heartbeats do not carry the number of waiting requests. The load balancer
 * distributes callers evenly over the nodes, so the number of this node is
 * used for each of them.
 */
static int64_t all_waiting(struct requests *r, const char *service,
			   seam_time now)
{
	struct seam_members *m = r->node->members;
	int64_t n = seam_router_waiting(r->router, service);

	return m ? n * seam_members_live_count(m, now) : n;
}

/* Every node reports the demand; only the owner of a pool reads it. */
static seam_time report_demand(void *arg, seam_time now)
{
	struct requests *r = arg;
	struct seam_conf *c = seam_conf_current(&r->node->conf);
	struct seam_handle h = SEAM_HANDLE_NONE;
	const struct seam_service *s;

	while ((s = seam_conf_next(c, SEAM_CONF_SERVICE, &h)))
		seam_demand_service(r->node->demand, s, r->node->targets,
				    all_waiting(r, s->name, now),
				    now + DEMAND_TTL);
	seam_conf_unref(c);
	return now + DEMAND_PERIOD;
}

static int start(struct seam_part *p, struct seam_err *e)
{
	struct requests *r = (struct requests *)p;
	struct seam_node *n = r->node;
	struct seam_once_settings set = {
		.skew = n->settings.clock_skew_ms * SEAM_MSEC,
		.writes_per_sec = (int)n->settings.store_writes,
	};

	snprintf(set.node, sizeof(set.node), "%s", n->settings.node);
	r->router = seam_router_new(n->targets, n->clock);
	r->once = seam_once_new(n->store, n->clock, &set);
	if (!r->router || !r->once)
		return seam_fail(e, SEAM_NO_MEMORY, NULL);
	seam_http_route(n->http, "*", PATH_PREFIX, on_request, r);
	if (seam_loop_start(&r->loop, n->clock, pass, r, e))
		return -1;
	r->loop_started = true;
	if (seam_loop_start(&r->demand, n->clock, report_demand, r, e))
		return -1;
	r->demand_started = true;
	return 0;
}

/* Outcomes that are not in the store yet would be lost with the node. */
static void drain(struct seam_part *p, seam_time deadline)
{
	struct requests *r = (struct requests *)p;

	if (!seam_once_flush(r->once, deadline))
		seam_log(SEAM_WARN, "request",
			 "Outcomes of keyed requests were not saved before "
			 "shutdown and are lost.");
}

static void stop(struct seam_part *p)
{
	struct requests *r = (struct requests *)p;

	if (r->demand_started)
		seam_loop_stop(&r->demand);
	if (r->loop_started)
		seam_loop_stop(&r->loop);
	seam_once_free(r->once);
	seam_router_free(r->router);
	free(r);
}

static const struct seam_part_ops ops = {
	.name = "request",
	.start = start,
	.drain = drain,
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
