#include "connection/workerlink.h"

#include <glib.h>
#include <string.h>

#include "base/json.h"

static const char *const command_names[] = {"start", "renew", "checkpoint",
					    "throttle", "stop"};
static const char *const state_names[] = {"running", "done",	    "failed",
					  "stopped", "not_started", "absent",
					  "fenced"};

const char *seam_worker_cmd_name(int cmd_type)
{
	return command_names[cmd_type];
}

const char *seam_attempt_state_name(int attempt_state)
{
	return state_names[attempt_state];
}

int seam_attempt_state_parse(const char *name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(state_names); i++)
		if (!strcmp(state_names[i], name))
			return (int)i;
	return -1;
}

static void add_str(struct json_object *o, const char *name, const char *v)
{
	json_object_object_add(o, name, json_object_new_string(v));
}

static void add_int(struct json_object *o, const char *name, int64_t v)
{
	json_object_object_add(o, name, json_object_new_int64(v));
}

static void add_need(struct json_object *o, const struct seam_need *n)
{
	add_int(o, "cpu_milli", n->cpu);
	add_int(o, "memory_mb", n->mem);
	add_int(o, "accelerators", n->acc);
}

static void get_need(struct json_object *o, struct seam_need *n)
{
	n->cpu = seam_json_int(o, "cpu_milli", 0);
	n->mem = seam_json_int(o, "memory_mb", 0);
	n->acc = seam_json_int(o, "accelerators", 0);
}

static void get_str(struct json_object *o, const char *name, char *out,
		    size_t size)
{
	g_strlcpy(out, seam_json_str(o, name, ""), size);
}

struct json_object *seam_worker_cmd_to_json(const struct seam_worker_cmd *c)
{
	struct json_object *o = json_object_new_object();

	add_str(o, "task", c->task);
	add_int(o, "attempt", c->attempt);
	add_int(o, "token", (int64_t)c->token);
	add_int(o, "boot", c->boot);
	add_int(o, "start_by", c->start_by);
	add_int(o, "lease_until", c->lease_until);
	add_need(o, &c->need);
	add_str(o, "team", c->team);
	add_str(o, "kind", c->kind);
	if (c->payload)
		add_str(o, "payload", c->payload);
	return o;
}

struct json_object *
seam_worker_renewals_to_json(struct seam_worker_cmd *const *c, size_t n)
{
	struct json_object *o = json_object_new_object();
	struct json_object *a = json_object_new_array();
	size_t i;

	for (i = 0; i < n; i++) {
		struct json_object *t = json_object_new_object();

		add_str(t, "task", c[i]->task);
		add_int(t, "attempt", c[i]->attempt);
		add_int(t, "token", (int64_t)c[i]->token);
		add_int(t, "lease_until", c[i]->lease_until);
		json_object_array_add(a, t);
	}
	json_object_object_add(o, "tasks", a);
	return o;
}

void seam_worker_cmd_parse(struct json_object *o, struct seam_worker_cmd *c)
{
	memset(c, 0, sizeof(*c));
	get_str(o, "task", c->task, sizeof(c->task));
	c->attempt = seam_json_int(o, "attempt", 0);
	c->token = (uint64_t)seam_json_int(o, "token", 0);
	c->boot = seam_json_int(o, "boot", 0);
	c->start_by = seam_json_int(o, "start_by", 0);
	c->lease_until = seam_json_int(o, "lease_until", 0);
	get_need(o, &c->need);
	get_str(o, "team", c->team, sizeof(c->team));
	get_str(o, "kind", c->kind, sizeof(c->kind));
	c->payload = seam_json_str(o, "payload", NULL);
}

struct json_object *
seam_worker_report_to_json(const struct seam_worker_report *r)
{
	struct json_object *o = json_object_new_object();

	add_str(o, "state", state_names[r->attempt_state]);
	add_str(o, "worker", r->worker);
	add_str(o, "task", r->task);
	add_int(o, "attempt", r->attempt);
	add_int(o, "token", (int64_t)r->token);
	add_int(o, "boot", r->boot);
	add_need(o, &r->usage);
	add_int(o, "usage_at", r->usage_at);
	if (*r->reason)
		add_str(o, "reason", r->reason);
	return o;
}

int seam_worker_report_parse(struct json_object *o,
			     struct seam_worker_report *r)
{
	memset(r, 0, sizeof(*r));
	if (!json_object_is_type(o, json_type_object))
		return -1;
	r->attempt_state =
		seam_attempt_state_parse(seam_json_str(o, "state", ""));
	get_str(o, "worker", r->worker, sizeof(r->worker));
	get_str(o, "task", r->task, sizeof(r->task));
	r->attempt = seam_json_int(o, "attempt", 0);
	r->token = (uint64_t)seam_json_int(o, "token", 0);
	r->boot = seam_json_int(o, "boot", 0);
	get_need(o, &r->usage);
	r->usage_at = seam_json_int(o, "usage_at", 0);
	get_str(o, "reason", r->reason, sizeof(r->reason));
	return r->attempt_state < 0 || !*r->task ? -1 : 0;
}
