#include "base/json.h"
#include "base/log.h"
#include "process/member.h"
#include "process/node.h"
#include "process/team.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PATH_EXPLAIN "/v1/explain/team/"
#define BUCKET_PREFIX "bucket:"
#define ROW_PREFIX "team/"
#define ROWS_MAX 1000

/* The part that enforces team limits on this node. */
struct part_teams {
	struct seam_part part;
	struct seam_node *node;
	struct seam_teams *teams;
	struct seam_loop loop;
	/* Used by the pass only. */
	struct seam_team_terms_set *set; /* terms in force */
	seam_time vms_as_of; /* of the last VM list passed to @teams */
};

static void configure(struct part_teams *p)
{
	struct seam_conf *c = seam_conf_current(&p->node->conf);
	const struct seam_team_terms *terms;
	struct seam_team_terms_set *set;
	size_t n;

	set = p->set && seam_conf_version(c) ==
				      seam_team_terms_set_version(p->set) ?
		      NULL :
		      seam_team_terms_set_new(c);
	seam_conf_unref(c);
	if (!set)
		return;
	terms = seam_team_terms_set_all(set, &n);
	seam_teams_configure(p->teams, seam_team_terms_set_version(set), terms,
			     n);
	seam_team_terms_set_free(p->set);
	p->set = set;
}

/* Passes are more frequent than the VM list, which is updated each second. */
static void update_vms(struct part_teams *p)
{
	struct seam_fleet_vm *vm;
	const char **id;
	seam_time as_of;
	size_t n;
	size_t i;

	seam_fleet_changes(p->node->fleet, &as_of);
	if (as_of == p->vms_as_of)
		return;
	vm = seam_fleet_copy(p->node->fleet, NULL, &n, &as_of);
	id = calloc(n + 1, sizeof(*id));
	for (i = 0; id && i < n; i++)
		id[i] = vm[i].vm.id;
	if (id) {
		seam_teams_set_vms(p->teams, id, n, as_of);
		p->vms_as_of = as_of;
	}
	free(id);
	free(vm);
}

static seam_time pass(void *arg, seam_time now)
{
	struct part_teams *p = arg;

	configure(p);
	update_vms(p);
	seam_teams_register(p->teams,
			    (int64_t)seam_members_inc(p->node->members));
	return seam_teams_pass(p->teams, now);
}

static struct json_object *info_json(const struct seam_team_info *i)
{
	struct json_object *o = json_object_new_object();

	seam_json_add_int(o, "granted", i->units);
	seam_json_add_int(o, "usable", i->cap);
	seam_json_add_int(o, "running", i->running);
	seam_json_add_int(o, "held", i->held);
	seam_json_add_int(o, "peak", i->peak);
	seam_json_add_int(o, "refused", i->refused);
	json_object_object_add(o, "row_damaged",
			       json_object_new_boolean(i->damaged));
	return o;
}

static struct json_object *row_json(const struct seam_rows *rows,
				    const char *team)
{
	char key[SEAM_KEY_MAX];
	size_t i;

	seam_team_key(team, key);
	for (i = 0; i < rows->n; i++)
		if (!strcmp(rows->row[i].key, key))
			return json_tokener_parse(rows->row[i].data);
	return NULL;
}

static void on_teams(struct seam_call *c, void *arg)
{
	struct part_teams *p = arg;
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_rows rows = {.row = NULL};
	struct seam_team_info *info;
	struct json_object *all;
	size_t n;
	size_t i;

	if (!seam_node_is_operator(p->node, c, &e) ||
	    seam_store_scan(p->node->store, "team/", NULL, ROWS_MAX, &rows,
			    c->deadline, &e)) {
		seam_reply_err(c, &e);
		return;
	}
	info = seam_teams_list(p->teams, &n);
	all = json_object_new_array();
	for (i = 0; i < n; i++) {
		struct json_object *o = json_object_new_object();

		json_object_object_add(o, "team",
				       json_object_new_string(info[i].name));
		seam_json_add_int(o, "limit", info[i].limit);
		json_object_object_add(o, "this_node", info_json(&info[i]));
		json_object_object_add(o, "ledger",
				       row_json(&rows, info[i].name));
		json_object_array_add(all, o);
	}
	free(info);
	seam_rows_free(&rows);
	seam_reply_json(c, 200, all, JSON_C_TO_STRING_PRETTY);
}

static struct json_object *explain(struct part_teams *p, const char *name,
				   seam_time deadline)
{
	struct json_object *o = json_object_new_object();
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_row row = {.data = NULL};
	struct seam_ledger l = {.n = 0};
	struct seam_team_info here;
	struct seam_conf *c = seam_conf_current(&p->node->conf);
	struct seam_team_terms_set *set = seam_team_terms_set_new(c);
	const struct seam_team_terms *terms =
		set ? seam_team_terms_set_find(set, name) : NULL;
	const struct seam_team_terms none = {.limit = 0};
	char key[SEAM_KEY_MAX];
	char text[400];
	bool known = seam_teams_info(p->teams, name, &here);
	bool read;
	bool refused;

	seam_conf_unref(c);
	seam_team_key(name, key);
	read = (!seam_store_get(p->node->store, key, &row, deadline, &e) ||
		e.kind == SEAM_NOT_FOUND) &&
	       !seam_ledger_parse(&row, name, &l, &e);
	refused = seam_team_explain(read ? &l : NULL, known ? &here : NULL,
				    terms ? terms : &none, text, sizeof(text));
	seam_team_terms_set_free(set);
	json_object_object_add(o, "team", json_object_new_string(name));
	json_object_object_add(o, "refused", json_object_new_boolean(refused));
	json_object_object_add(o, "reason", json_object_new_string(text));
	json_object_object_add(o, "this_node", known ? info_json(&here) : NULL);
	json_object_object_add(o, "ledger",
			       read ? seam_ledger_to_json(&l) : NULL);
	if (!read)
		json_object_object_add(o, "ledger_error",
				       json_object_new_string(e.text));
	seam_ledger_free(&l);
	seam_row_free(&row);
	return o;
}

static void on_explain(struct seam_call *c, void *arg)
{
	struct part_teams *p = arg;
	struct seam_err e = SEAM_ERR_INIT;
	const char *name = c->path + strlen(PATH_EXPLAIN);

	if (!seam_node_is_operator(p->node, c, &e)) {
		seam_reply_err(c, &e);
	} else if (!*name || strlen(name) >= SEAM_TEAM_NAME_SIZE) {
		seam_fail(&e, SEAM_NOT_FOUND, "no team named in the path");
		seam_reply_err(c, &e);
	} else {
		seam_reply_json(c, 200, explain(p, name, c->deadline),
				JSON_C_TO_STRING_PRETTY);
	}
}

/* A bucket's grant is managed by the owner of the row of the bucket. */
void seam_node_hint_team(void *arg, const char *team, const char *holder)
{
	struct seam_node *n = arg;
	char node[SEAM_TEAM_NAME_SIZE];
	char key[SEAM_KEY_MAX];
	char row[SEAM_KEY_MAX];

	seam_team_key(team, key);
	if (!holder) {
		seam_members_send_hint(n->members, key, key);
	} else if (seam_holder_node(holder, node)) {
		seam_members_send_hint_to_node(n->members, key, node);
	} else if (g_str_has_prefix(holder, BUCKET_PREFIX)) {
		snprintf(row, sizeof(row), "queue/%s",
			 holder + strlen(BUCKET_PREFIX));
		seam_members_send_hint(n->members, key, row);
	}
}

static void on_demand(void *arg)
{
	struct part_teams *p = arg;

	seam_loop_wake(&p->loop);
}

/* Receives hints; called by the threads of peer connections. */
static void on_hint(void *arg, const char *key)
{
	struct part_teams *p = arg;

	seam_teams_hint(p->teams, key + strlen(ROW_PREFIX));
	seam_loop_wake(&p->loop);
}

static void init_self(struct seam_node *n, struct seam_teams_self *s)
{
	memset(s, 0, sizeof(*s));
	memcpy(s->node, n->settings.node, sizeof(s->node));
	memcpy(s->vm, n->settings.vm, sizeof(s->vm));
	memcpy(s->dc, n->settings.data_centre, sizeof(s->dc));
	s->clock = n->clock;
	s->store = n->store;
	s->owner = n->owner;
	s->skew = n->settings.clock_skew_ms * SEAM_MSEC;
	s->list_lag = n->settings.vm_list_ms * SEAM_MSEC;
	s->seed = (uint64_t)seam_now(n->clock) ^ seam_store_token();
}

static int start(struct seam_part *part, struct seam_err *e)
{
	struct part_teams *p = (struct part_teams *)part;
	struct seam_node *n = p->node;
	struct seam_teams_self self;

	init_self(n, &self);
	p->teams = seam_teams_new(&self);
	if (!p->teams)
		return seam_fail(e, SEAM_NO_MEMORY, NULL);
	seam_http_route(n->http, "GET", "/v1/teams", on_teams, p);
	seam_http_route(n->http, "GET", PATH_EXPLAIN, on_explain, p);
	seam_teams_on_change(p->teams, seam_node_hint_team, n);
	/* A pass before the first request, so that it finds units granted. */
	pass(p, seam_now(n->clock));
	if (seam_loop_start(&p->loop, n->clock, pass, p, e))
		return -1;
	seam_teams_on_demand(p->teams, on_demand, p);
	seam_members_set_hint_handler(n->members, ROW_PREFIX, on_hint, p);
	n->admit = seam_teams_admit(p->teams);
	return 0;
}

static void stop(struct seam_part *part)
{
	struct part_teams *p = (struct part_teams *)part;

	if (p->node->admit) {
		p->node->admit = NULL;
		seam_members_set_hint_handler(p->node->members, ROW_PREFIX,
					      NULL, NULL);
		seam_loop_stop(&p->loop);
	}
	seam_teams_free(p->teams);
	seam_team_terms_set_free(p->set);
	free(p);
}

static const struct seam_part_ops ops = {
	.name = "team",
	.start = start,
	.stop = stop,
};

struct seam_part *seam_part_teams(struct seam_node *n)
{
	struct part_teams *p = calloc(1, sizeof(*p));

	if (!p)
		return NULL;
	p->part.ops = &ops;
	p->node = n;
	return &p->part;
}
