#include "base/outage.h"
#include "process/member.h"
#include "process/node.h"
#include "process/pool.h"
#include "process/task.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define POLL_INTERVAL (1 * SEAM_SEC)
#define LIST_TIMEOUT (2 * SEAM_SEC)

/* Polls the platform's VM list and the pool rows, and updates the targets. */
struct inventory {
	struct seam_part part;
	struct seam_node *node;
	struct seam_loop loop;
	struct seam_target_drain drain;
	struct seam_task_drain drain_tasks;
	struct seam_outage list_outage;
	struct seam_outage rows_outage;
	uint64_t fleet_changes; /* change count at the last update */
	uint64_t conf_version; /* configuration of the last update */
	bool requests_left; /* on a target whose VM left the fleet */
};

/* Maps each pool to the first service that runs on it. */
static GHashTable *services_by_pool(const struct seam_conf *c)
{
	GHashTable *t = g_hash_table_new(g_str_hash, g_str_equal);
	struct seam_handle h = SEAM_HANDLE_NONE;
	const struct seam_service *s;

	while ((s = seam_conf_next(c, SEAM_CONF_SERVICE, &h)))
		if (!g_hash_table_contains(t, s->pool))
			g_hash_table_insert(t, (gpointer)s->pool, (gpointer)s);
	return t;
}

static void fill_target_info(struct seam_target_info *t,
			     const struct seam_fleet_vm *f,
			     const struct seam_service *s,
			     const struct seam_conf *c)
{
	const struct seam_vm *vm = &f->vm;

	memcpy(t->id, vm->id, sizeof(t->id));
	memcpy(t->addr, vm->addr, sizeof(t->addr));
	memcpy(t->dc, vm->dc, sizeof(t->dc));
	memcpy(t->rack, vm->rack, sizeof(t->rack));
	memcpy(t->service, s->name, sizeof(t->service));
	t->slots = (int)s->slots;
	t->connections = (int)s->connections;
	t->leaving = vm->state == SEAM_VM_LEAVING ||
		     f->member != SEAM_MEMBER_ACTIVE ||
		     seam_conf_dc_out(c, vm->dc);
}

static bool update_targets(struct seam_node *n, const struct seam_conf *c)
{
	struct seam_target_info *t;
	struct seam_fleet_vm *vm;
	GHashTable *by_pool;
	bool requests_remain = true;
	size_t count = 0;
	size_t vms;
	size_t i;

	vm = seam_fleet_copy(n->fleet, NULL, &vms, NULL);
	t = calloc(vms + 1, sizeof(*t));
	by_pool = services_by_pool(c);
	for (i = 0; t && i < vms; i++) {
		const struct seam_service *s =
			g_hash_table_lookup(by_pool, vm[i].vm.pool);

		if (s)
			fill_target_info(&t[count++], &vm[i], s, c);
	}
	if (t)
		requests_remain = seam_targets_set(n->targets, t, count);
	g_hash_table_destroy(by_pool);
	free(t);
	free(vm);
	return requests_remain;
}

/*
 * The change count is read before the fleet is copied: a change in between is
 * picked up by the next pass.
 */
static void update_targets_if_changed(struct inventory *v)
{
	struct seam_node *n = v->node;
	struct seam_conf *c = seam_conf_current(&n->conf);
	seam_time as_of;
	uint64_t changes = seam_fleet_changes(n->fleet, &as_of);

	if (v->requests_left || changes != v->fleet_changes ||
	    seam_conf_version(c) != v->conf_version) {
		v->requests_left = update_targets(n, c);
		v->fleet_changes = changes;
		v->conf_version = seam_conf_version(c);
	}
	seam_conf_unref(c);
}

/*
 * The last state read stays in force while the store or the VM list is
 * unavailable: a failed read leaves it unchanged.
 */
static seam_time pass(void *arg, seam_time now)
{
	struct inventory *v = arg;
	struct seam_node *n = v->node;
	struct seam_err e = SEAM_ERR_INIT;
	int rc;

	rc = seam_pools_read_vm_list(n->pools, now, &e);
	seam_outage_update(&v->list_outage, rc ? &e : NULL, now);
	seam_err_clear(&e);
	rc = seam_pools_poll(n->pools, now, &e);
	seam_outage_update(&v->rows_outage, rc ? &e : NULL, now);
	seam_pools_publish(n->pools);
	update_targets_if_changed(v);
	return now + POLL_INTERVAL;
}

static const struct seam_size_policy *size_policy(int sizing)
{
	return sizing == SEAM_SIZING_THRIFTY ? seam_size_thrifty() :
					       seam_size_ready();
}

static bool all_current(void *arg)
{
	struct seam_node *n = arg;

	return seam_members_all_current(n->members, seam_now(n->clock));
}

static void send_hint(void *arg, const char *key)
{
	struct seam_node *n = arg;

	if (n->members)
		seam_members_send_hint(n->members, key, NULL);
}

static uint64_t hint_gaps(void *arg, seam_time now)
{
	struct seam_node *n = arg;

	return seam_members_hint_gaps(n->members, now);
}

static void on_hint(void *arg, const char *key)
{
	seam_pools_hint(arg, key);
}

static void set_hint_handlers(struct seam_node *n, seam_hint_fn fn)
{
	seam_members_set_hint_handler(n->members, "pool/", fn, n->pools);
	seam_members_set_hint_handler(n->members, "wave/", fn, n->pools);
}

static void make_pools(struct inventory *v)
{
	struct seam_node *n = v->node;
	struct seam_pools_env env = {
		.clock = n->clock,
		.store = n->store,
		.platform = n->platform,
		.conf = &n->conf,
		.owner = n->owner,
		.drain = &v->drain.drain,
		.drain_tasks = &v->drain_tasks.drain,
		.size = size_policy(n->settings.sizing),
		.fleet = n->fleet,
		.send_hint = send_hint,
		.hint_gaps = hint_gaps,
		.hint_context = n,
		.vm_list_ms = n->settings.vm_list_ms,
	};

	seam_target_drain_init(&v->drain, n->targets, all_current, n);
	seam_task_drain_init(&v->drain_tasks, n->store, n->clock);
	n->demand = seam_demand_new();
	env.demand = n->demand;
	n->pools = seam_pools_new(&env);
}

static int start(struct seam_part *p, struct seam_err *e)
{
	struct inventory *v = (struct inventory *)p;

	set_hint_handlers(v->node, on_hint);
	pass(v, seam_now(v->node->clock));
	return seam_loop_start(&v->loop, v->node->clock, pass, v, e);
}

static void stop(struct seam_part *p)
{
	struct inventory *v = (struct inventory *)p;

	seam_loop_stop(&v->loop);
	set_hint_handlers(v->node, NULL);
	seam_pools_free(v->node->pools);
	seam_demand_free(v->node->demand);
	v->node->pools = NULL;
	v->node->demand = NULL;
	free(v);
}

static const struct seam_part_ops ops = {
	.name = "inventory",
	.start = start,
	.stop = stop,
};

struct seam_part *seam_part_inventory(struct seam_node *n)
{
	struct inventory *v = calloc(1, sizeof(*v));

	if (!v)
		return NULL;
	v->part.ops = &ops;
	v->node = n;
	v->list_outage =
		(struct seam_outage){.part = "inventory", .what = "VM list"};
	v->rows_outage =
		(struct seam_outage){.part = "inventory", .what = "Pool rows"};
	make_pools(v);
	return &v->part;
}
