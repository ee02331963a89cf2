#include "base/json.h"
#include "process/member.h"

#include <stdlib.h>

/* The membership thread, the transport and the /v1/nodes endpoint. */
struct part {
	struct seam_part part;
	struct seam_node *node;
	struct seam_bus *bus;
	struct seam_loop loop;
	bool started;
};

static struct json_object *member_object(const struct seam_member *b,
					 seam_time now)
{
	struct json_object *o = json_object_new_object();

	seam_json_add_str(o, "node", b->node);
	seam_json_add_str(o, "vm", b->vm);
	seam_json_add_str(o, "data_centre", b->dc);
	seam_json_add_str(o, "region", b->region);
	seam_json_add_str(o, "listen", b->listen);
	seam_json_add_str(o, "peer", b->peer);
	seam_json_add_int(o, "incarnation", (int64_t)b->inc);
	json_object_object_add(o, "suspected",
			       json_object_new_boolean(now >= b->suspect_at));
	seam_json_add_int(o, "version", (int64_t)b->last.version);
	seam_json_add_int(o, "confirmed_at_us", b->last.confirmed_at);
	seam_json_add_int(o, "store_at_us", b->last.store_at);
	return o;
}

static struct json_object *self_object(struct seam_node *n)
{
	struct seam_budget_state st = seam_store_budget_state(n->store);
	struct seam_conf *c = seam_conf_current(&n->conf);
	struct json_object *o = json_object_new_object();
	seam_time at = __atomic_load_n(&n->confirmed_at, __ATOMIC_ACQUIRE);

	seam_json_add_str(o, "node", n->settings.node);
	seam_json_add_str(o, "data_centre", n->settings.data_centre);
	seam_json_add_int(o, "incarnation",
			  (int64_t)seam_members_inc(n->members));
	seam_json_add_int(o, "version", (int64_t)seam_conf_version(c));
	seam_json_add_int(o, "confirmed_age_ms",
			  at ? (seam_now(n->clock) - at) / SEAM_MSEC : -1);
	seam_json_add_int(o, "store_at_us", st.last_ok);
	json_object_object_add(o, "store_down",
			       json_object_new_boolean(st.open));
	json_object_object_add(o, "change_unsettled",
			       json_object_new_boolean(st.unsettled));
	seam_conf_unref(c);
	return o;
}

static void on_nodes(struct seam_call *c, void *arg)
{
	struct part *p = arg;
	struct seam_node *n = p->node;
	struct seam_err e = SEAM_ERR_INIT;
	struct json_object *o;
	struct json_object *list;
	struct seam_member *b;
	size_t count;
	size_t i;

	if (!seam_node_is_operator(n, c, &e)) {
		seam_reply_err(c, &e);
		return;
	}
	o = json_object_new_object();
	list = json_object_new_array();
	b = seam_members_copy(n->members, &count);
	for (i = 0; i < count; i++)
		json_object_array_add(list,
				      member_object(&b[i], seam_now(n->clock)));
	free(b);
	json_object_object_add(o, "self", self_object(n));
	json_object_object_add(o, "members", list);
	seam_reply_json(c, 200, o, JSON_C_TO_STRING_PRETTY);
}

static seam_time pass(void *arg, seam_time now)
{
	return seam_members_pass(arg, now);
}

static int start(struct seam_part *base, struct seam_err *e)
{
	struct part *p = (struct part *)base;
	struct seam_node *n = p->node;

	n->members = seam_members_new(n, seam_store_token());
	p->bus = seam_bus_zmq_new(n->settings.peer, seam_members_receive,
				  n->members, e);
	if (!p->bus)
		return -1;
	seam_members_set_bus(n->members, p->bus);
	seam_http_route(n->http, "GET", "/v1/nodes", on_nodes, p);
	/* Parts that start later need the incarnation for their grants. */
	seam_members_pass(n->members, seam_now(n->clock));
	if (seam_loop_start(&p->loop, n->clock, pass, n->members, e))
		return -1;
	p->started = true;
	return 0;
}

static void stop(struct seam_part *base)
{
	struct part *p = (struct part *)base;

	if (p->started)
		seam_loop_stop(&p->loop);
	seam_bus_close(p->bus);
	seam_members_free(p->node->members);
	p->node->members = NULL;
	free(p);
}

static const struct seam_part_ops ops = {
	.name = "member",
	.start = start,
	.stop = stop,
};

struct seam_part *seam_part_members(struct seam_node *n)
{
	struct part *p = calloc(1, sizeof(*p));

	if (!p)
		return NULL;
	p->part.ops = &ops;
	p->node = n;
	return &p->part;
}
