#include "base/json.h"
#include "process/member.h"
#include "process/node.h"
#include "process/pool.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Longer than the interval at which members read the rows of the others, 3.75
 * to 6.25 s. */
#define KNOWN_DELAY (7 * SEAM_SEC)
#define POOLS_PATH "/v1/pools/"
#define EXPLAIN_VM "/v1/explain/vm/"
#define EXPLAIN_POOL "/v1/explain/pool/"

/* Runs the passes over owned pools and serves the operators' pool requests. */
struct pools_part {
	struct seam_part part;
	struct seam_node *node;
	struct seam_loop loop;
	/* From then on the member list of every node that reaches the store
	 * includes this node. */
	seam_time known_at;
};

static int64_t count_overdue(const struct seam_pool_row *r, seam_time now)
{
	int64_t n = 0;
	size_t i;

	for (i = 0; i < r->n; i++)
		n += r->member[i].maintain_by < now;
	return n;
}

static struct json_object *
pool_json(struct seam_pools *ps, const struct seam_pool_row *r, seam_time now)
{
	struct json_object *o = json_object_new_object();
	struct seam_pool_counts t = seam_pool_count(r);
	struct seam_pool_rules rules;

	seam_pool_get_rules(ps, r->name, now, &rules);
	seam_json_add_str(o, "name", r->name);
	seam_json_add_int(o, "members", (int64_t)r->n);
	seam_json_add_int(o, "active", t.active);
	seam_json_add_int(o, "unavailable", t.unavailable);
	seam_json_add_int(o, "planned", t.planned);
	seam_json_add_int(o, "data_centre_out", t.out);
	seam_json_add_int(o, "budget", rules.budget);
	seam_json_add_int(o, "min", rules.min);
	seam_json_add_int(o, "wants", r->forecast.want);
	seam_json_add_int(o, "overdue", count_overdue(r, now));
	seam_json_add_str(o, "size", r->note);
	json_object_object_add(
		o, "damaged",
		json_object_new_boolean(seam_pool_damaged(ps, r->name)));
	return o;
}

static void on_pools(struct seam_call *c, void *arg)
{
	struct pools_part *p = arg;
	struct seam_pools *ps = p->node->pools;
	struct seam_err e = SEAM_ERR_INIT;
	struct json_object *list;
	char **names;
	size_t i;

	if (!seam_node_is_operator(p->node, c, &e)) {
		seam_reply_err(c, &e);
		return;
	}
	list = json_object_new_array();
	names = seam_pools_names(ps);
	for (i = 0; names[i]; i++) {
		struct seam_pool_row r;

		if (seam_pool_get_row(ps, names[i], &r))
			continue;
		json_object_array_add(list, pool_json(ps, &r, c->arrived));
		seam_pool_row_free(&r);
	}
	g_strfreev(names);
	seam_reply_json(c, 200, list, JSON_C_TO_STRING_PRETTY);
}

/* Extracts the name between @prefix and @suffix of the path. */
static int path_name(struct seam_call *c, const char *prefix,
		     const char *suffix, char name[SEAM_CONF_NAME_SIZE],
		     struct seam_err *e)
{
	const char *from = c->path + strlen(prefix);
	size_t n = strlen(from);
	size_t tail = strlen(suffix);

	if (n <= tail || n - tail >= SEAM_CONF_NAME_SIZE ||
	    strcmp(from + n - tail, suffix))
		return seam_fail(e, SEAM_NOT_FOUND, "no path %s", c->path);
	snprintf(name, SEAM_CONF_NAME_SIZE, "%.*s", (int)(n - tail), from);
	return 0;
}

static int parse_wave_order(struct seam_call *c, struct seam_wave_order *w,
			    struct seam_err *e)
{
	static const char *const orders[] = {"none", "start", "halt", NULL};
	struct seam_problems p = {.file = "request"};
	struct json_object *o = seam_json_parse(c->body ? c->body : "", &p);
	int64_t expected = -1;
	const struct seam_json_field fields[] = {
		{"order", SEAM_JSON_CHOICE,
		 offsetof(struct seam_wave_order, order), 0, 0, 0, orders,
		 true},
		{"reason", SEAM_JSON_TEXT,
		 offsetof(struct seam_wave_order, reason), sizeof(w->reason), 0,
		 0, NULL, true},
		{"operator", SEAM_JSON_TEXT,
		 offsetof(struct seam_wave_order, operator_name),
		 sizeof(w->operator_name), 0, 0, NULL, true},
		{.name = "expected", .type = SEAM_JSON_ANY},
	};
	int rc = 0;

	memset(w, 0, sizeof(*w));
	if (!o || seam_json_decode(o, fields, 4, w, "", &p))
		rc = seam_problems_to_err(&p, SEAM_BAD_REQUEST, e);
	else
		expected = seam_json_int(o, "expected", -1);
	w->version = expected < 0 ? SEAM_ANY_VERSION : (uint64_t)expected;
	json_object_put(o);
	seam_problems_free(&p);
	return rc;
}

static void on_wave(struct seam_call *c, void *arg)
{
	struct pools_part *p = arg;
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_wave_order w;
	char name[SEAM_CONF_NAME_SIZE];
	struct json_object *o;

	if (!seam_node_is_operator(p->node, c, &e) ||
	    path_name(c, POOLS_PATH, "/wave", name, &e) ||
	    parse_wave_order(c, &w, &e) ||
	    seam_wave_set_order(p->node->pools, name, &w, c->arrived, &e)) {
		seam_reply_err(c, &e);
		return;
	}
	seam_loop_wake(&p->loop);
	o = json_object_new_object();
	seam_json_add_int(o, "version", (int64_t)w.version);
	seam_reply_json(c, 200, o, JSON_C_TO_STRING_PRETTY);
}

static void add_wave(struct json_object *o, const struct seam_wave_order *w)
{
	struct json_object *x = json_object_new_object();
	static const char *const orders[] = {"none", "start", "halt"};

	seam_json_add_str(x, "order", orders[w->order]);
	seam_json_add_str(x, "reason", w->reason);
	seam_json_add_str(x, "operator", w->operator_name);
	seam_json_add_int(x, "given", w->given);
	seam_json_add_int(x, "version", (int64_t)w->version);
	json_object_object_add(o, "wave", x);
}

static struct json_object *member_json(const struct seam_pool_vm *m)
{
	struct json_object *o = json_object_new_object();

	seam_json_add_str(o, "vm", m->vm);
	seam_json_add_str(o, "rack", m->rack);
	seam_json_add_str(o, "data_centre", m->dc);
	seam_json_add_str(o, "state", seam_member_state_name(m->state));
	seam_json_add_str(o, "why", seam_member_why_name(m->why));
	seam_json_add_str(o, "moves_to", m->to);
	seam_json_add_int(o, "until", m->until == SEAM_NEVER ? 0 : m->until);
	seam_json_add_int(o, "maintain_by", m->maintain_by);
	seam_json_add_int(o, "maintained", m->maintained);
	seam_json_add_int(o, "boot", m->boot);
	return o;
}

static bool find_pool_with_vm(struct seam_pools *ps, const char *vm,
			      struct seam_pool_row *r)
{
	char **names = seam_pools_names(ps);
	bool found = false;
	size_t i;

	for (i = 0; names[i] && !found; i++) {
		if (seam_pool_get_row(ps, names[i], r))
			continue;
		found = seam_pool_member(r, vm);
		if (!found)
			seam_pool_row_free(r);
	}
	g_strfreev(names);
	return found;
}

static void on_explain_vm(struct seam_call *c, void *arg)
{
	struct pools_part *p = arg;
	struct seam_pools *ps = p->node->pools;
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_pool_row r;
	struct seam_pool_rules rules;
	struct seam_wave_order w;
	struct seam_pool_vm *m;
	char vm[SEAM_CONF_NAME_SIZE];
	struct json_object *o;

	if (!seam_node_is_operator(p->node, c, &e) ||
	    path_name(c, EXPLAIN_VM, "", vm, &e)) {
		seam_reply_err(c, &e);
		return;
	}
	if (!find_pool_with_vm(ps, vm, &r)) {
		seam_fail(&e, SEAM_NOT_FOUND, "VM %s is in no pool", vm);
		seam_reply_err(c, &e);
		return;
	}
	m = seam_pool_member(&r, vm);
	seam_pool_get_rules(ps, r.name, c->arrived, &rules);
	o = member_json(m);
	seam_json_add_str(o, "pool", r.name);
	if (seam_wave_get_order(ps, r.name, &w, c->arrived, &e)) {
		seam_json_add_str(o, "maintenance",
				  "not known: the store is down");
	} else {
		seam_json_add_str(o, "maintenance",
				  seam_wave_refusal_text(seam_wave_may_begin(
					  &r, m, &rules, &w, c->arrived)));
		add_wave(o, &w);
	}
	seam_json_add_int(o, "due", seam_wave_due(m, r.n));
	json_object_object_add(o, "pool_state", pool_json(ps, &r, c->arrived));
	seam_pool_row_free(&r);
	seam_reply_json(c, 200, o, JSON_C_TO_STRING_PRETTY);
}

static void add_forecast(struct json_object *o, const struct seam_forecast *f)
{
	struct json_object *x = json_object_new_object();

	json_object_object_add(x, "demand", json_object_new_double(f->last));
	json_object_object_add(x, "mean", json_object_new_double(f->mean));
	json_object_object_add(x, "peak", json_object_new_double(f->peak));
	json_object_object_add(x, "burst",
			       json_object_new_double(seam_forecast_burst(f)));
	seam_json_add_int(x, "shrink_at",
			  f->shrink_at == SEAM_NEVER ? 0 : f->shrink_at);
	json_object_object_add(o, "forecast", x);
}

static void on_explain_pool(struct seam_call *c, void *arg)
{
	struct pools_part *p = arg;
	struct seam_pools *ps = p->node->pools;
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_pool_row r = {.n = 0};
	struct seam_wave_order w;
	char name[SEAM_CONF_NAME_SIZE];
	struct json_object *list;
	struct json_object *o;
	size_t i;

	if (!seam_node_is_operator(p->node, c, &e) ||
	    path_name(c, EXPLAIN_POOL, "", name, &e)) {
		seam_reply_err(c, &e);
		return;
	}
	if (seam_pool_get_row(ps, name, &r)) {
		seam_fail(&e, SEAM_NOT_FOUND, "no pool %s", name);
		seam_reply_err(c, &e);
		return;
	}
	o = pool_json(ps, &r, c->arrived);
	add_forecast(o, &r.forecast);
	if (!seam_wave_get_order(ps, name, &w, c->arrived, &e))
		add_wave(o, &w);
	list = json_object_new_array();
	for (i = 0; i < r.n; i++)
		json_object_array_add(list, member_json(&r.member[i]));
	json_object_object_add(o, "members_list", list);
	seam_pool_row_free(&r);
	seam_reply_json(c, 200, o, JSON_C_TO_STRING_PRETTY);
}

/*
 * Members that have not read this node's row yet cannot detect that it lost a
 * hint or stopped sending, so it changes no pool rows before that.
 */
static bool is_known(struct pools_part *p, seam_time now)
{
	size_t others;

	if (!p->known_at && seam_members_inc(p->node->members)) {
		free(seam_members_copy(p->node->members, &others));
		p->known_at = others ? now + KNOWN_DELAY : now;
	}
	return p->known_at && now >= p->known_at;
}

static seam_time pass(void *arg, seam_time now)
{
	struct pools_part *p = arg;

	if (!is_known(p, now))
		return now + SEAM_SEC;
	return seam_pools_pass(p->node->pools, now);
}

static int start(struct seam_part *part, struct seam_err *e)
{
	struct pools_part *p = (struct pools_part *)part;
	struct seam_http *h = p->node->http;

	seam_http_route(h, "GET", "/v1/pools", on_pools, p);
	seam_http_route(h, "POST", POOLS_PATH, on_wave, p);
	seam_http_route(h, "GET", EXPLAIN_VM, on_explain_vm, p);
	seam_http_route(h, "GET", EXPLAIN_POOL, on_explain_pool, p);
	return seam_loop_start(&p->loop, p->node->clock, pass, p, e);
}

static void stop(struct seam_part *part)
{
	struct pools_part *p = (struct pools_part *)part;

	seam_loop_stop(&p->loop);
	free(p);
}

static const struct seam_part_ops ops = {
	.name = "pools",
	.start = start,
	.stop = stop,
};

struct seam_part *seam_part_pools(struct seam_node *n)
{
	struct pools_part *p = calloc(1, sizeof(*p));

	if (!p)
		return NULL;
	p->part.ops = &ops;
	p->node = n;
	return &p->part;
}
