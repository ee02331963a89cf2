#include "base/metrics.h"
#include "process/node.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define COMMIT_TIMEOUT (8 * SEAM_SEC)
#define LOG_PAGE_ROWS 500

/* Probes, metrics, traces and the endpoints of the configuration. */
struct admin {
	struct seam_part part;
	struct seam_node *node;
};

static void on_live(struct seam_call *c, void *arg)
{
	(void)arg;
	seam_reply_text(c, 200, "text/plain", "live\n");
}

static void on_ready(struct seam_call *c, void *arg)
{
	struct admin *a = arg;
	struct seam_err e = SEAM_ERR_INIT;

	if (seam_http_draining(a->node->http))
		seam_reply_text(c, 503, "text/plain", "draining\n");
	else if (seam_node_check_fresh(a->node, SEAM_FRESH_IDEMPOTENT,
				       seam_node_confirmed(a->node), &e))
		seam_reply_text(c, 503, "text/plain", "no configuration\n");
	else
		seam_reply_text(c, 200, "text/plain", "ready\n");
}

static void reply_stream(struct seam_call *c, const char *type,
			 void (*write)(FILE *f))
{
	struct seam_answer a = {.status = 200};
	FILE *f = open_memstream(&a.body, &a.len);

	if (!f) {
		seam_reply_text(c, 503, "text/plain", "out of memory\n");
		return;
	}
	write(f);
	fclose(f);
	snprintf(a.type, sizeof(a.type), "%s", type);
	seam_reply(c, &a);
	seam_answer_free(&a);
}

static void on_metrics(struct seam_call *c, void *arg)
{
	(void)arg;
	reply_stream(c, "text/plain; version=0.0.4", seam_metrics_write);
}

static void on_traces(struct seam_call *c, void *arg)
{
	struct admin *a = arg;
	struct seam_err e = SEAM_ERR_INIT;

	if (!seam_node_is_operator(a->node, c, &e))
		seam_reply_err(c, &e);
	else
		reply_stream(c, "application/json", seam_span_write);
}

static void on_get_config(struct seam_call *c, void *arg)
{
	struct admin *a = arg;
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_conf *conf;
	struct json_object *o;

	if (!seam_node_is_operator(a->node, c, &e)) {
		seam_reply_err(c, &e);
		return;
	}
	conf = seam_conf_current(&a->node->conf);
	o = json_object_new_object();
	json_object_object_add(
		o, "version",
		json_object_new_int64((int64_t)seam_conf_version(conf)));
	json_object_object_add(o, "config", seam_conf_to_json(conf));
	seam_conf_unref(conf);
	seam_reply_json(c, 200, o, JSON_C_TO_STRING_PRETTY);
}

static void on_get_log(struct seam_call *c, void *arg)
{
	struct admin *a = arg;
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_rows rows = {.row = NULL};
	struct json_object *o;
	char after[32] = "0";
	size_t i;

	seam_call_param(c, "after", after, sizeof(after));
	if (!seam_node_is_operator(a->node, c, &e) ||
	    seam_conf_read_log(a->node->store, strtoull(after, NULL, 10),
			       LOG_PAGE_ROWS, &rows, c->deadline, &e)) {
		seam_reply_err(c, &e);
		return;
	}
	o = json_object_new_array();
	for (i = 0; i < rows.n; i++)
		json_object_array_add(o, json_tokener_parse(rows.row[i].data));
	seam_rows_free(&rows);
	seam_reply_json(c, 200, o, JSON_C_TO_STRING_PRETTY);
}

static int read_change(struct seam_call *c, struct json_object *o,
		       struct seam_conf_change *ch, struct seam_problems *p)
{
	static const char *const known_names[] = {"change", "reason",
						  "operator", "expected", NULL};
	int64_t expected = seam_json_int(o, "expected", -1);
	size_t before = p->n;

	(void)c;
	if (!json_object_is_type(o, json_type_object))
		return seam_problems_add(p, "", "must be an object");
	json_object_object_foreach(o, name, value)
	{
		const char *const *k = known_names;

		(void)value;
		while (*k && strcmp(*k, name))
			k++;
		if (!*k)
			seam_problems_add(p, name, "unknown name");
	}
	ch->reason = seam_json_str(o, "reason", "");
	ch->operator_name = seam_json_str(o, "operator", "");
	ch->change = NULL;
	json_object_object_get_ex(o, "change", &ch->change);
	if (!*ch->reason)
		seam_problems_add(p, "reason", "is missing");
	if (!*ch->operator_name)
		seam_problems_add(p, "operator", "is missing");
	if (expected < 0)
		seam_problems_add(
			p, "expected",
			"must be the version that the change is based on");
	ch->expected = (uint64_t)expected;
	return p->n == before ? 0 : -1;
}

static void on_post_config(struct seam_call *c, void *arg)
{
	struct admin *a = arg;
	struct seam_node *n = a->node;
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_problems p = {.file = "request"};
	struct seam_conf_change ch;
	struct seam_conf *conf = NULL;
	struct json_object *o = NULL;
	uint64_t version = 0;

	if (seam_node_is_operator(n, c, &e)) {
		o = seam_json_parse(c->body, &p);
		if (!o || read_change(c, o, &ch, &p))
			seam_problems_to_err(&p, SEAM_BAD_CONFIG, &e);
		else
			conf = seam_conf_commit(n->store, n->clock, &ch,
						c->arrived + COMMIT_TIMEOUT,
						&e);
	}
	if (conf) {
		char text[64];

		version = seam_conf_version(conf);
		seam_conf_publish(&n->conf, conf);
		seam_node_sync_versions(n);
		snprintf(text, sizeof(text), "{\"version\":%" PRIu64 "}",
			 version);
		seam_reply_text(c, 200, "application/json", text);
	} else {
		seam_reply_err(c, &e);
	}
	json_object_put(o);
	seam_problems_free(&p);
}

static int start(struct seam_part *p, struct seam_err *e)
{
	struct admin *a = (struct admin *)p;
	struct seam_http *h = a->node->http;

	(void)e;
	seam_http_route(h, "GET", "/live", on_live, a);
	seam_http_route(h, "GET", "/ready", on_ready, a);
	seam_http_route(h, "GET", "/metrics", on_metrics, a);
	seam_http_route(h, "GET", "/debug/traces", on_traces, a);
	seam_http_route(h, "GET", "/v1/config", on_get_config, a);
	seam_http_route(h, "POST", "/v1/config", on_post_config, a);
	seam_http_route(h, "GET", "/v1/config/log", on_get_log, a);
	return 0;
}

static void stop(struct seam_part *p)
{
	free(p);
}

static const struct seam_part_ops ops = {
	.name = "admin",
	.start = start,
	.stop = stop,
};

struct seam_part *seam_part_admin(struct seam_node *n)
{
	struct admin *a = calloc(1, sizeof(*a));

	if (!a)
		return NULL;
	a->part.ops = &ops;
	a->node = n;
	return &a->part;
}
