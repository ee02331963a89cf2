#include "base/log.h"
#include "process/node.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LIST_PERIOD (1 * SEAM_SEC)
#define LIST_TIMEOUT (2 * SEAM_SEC)

/* Reads the platform's VM list and keeps the targets up to date. */
struct inventory {
	struct seam_part part;
	struct seam_node *node;
	struct seam_loop loop;
};

static const struct seam_service *service_of(const struct seam_conf *c,
					     const char *pool)
{
	struct seam_handle h = SEAM_NONE;
	const struct seam_service *s;

	while ((s = seam_conf_next(c, SEAM_CONF_SERVICE, &h)))
		if (!strcmp(s->pool, pool))
			return s;
	return NULL;
}

static void fill(struct seam_target_info *t, const struct seam_fleet_vm *f,
		 const struct seam_service *s, const struct seam_conf *c)
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

static void set_targets(struct seam_node *n)
{
	struct seam_conf *c = seam_conf_current(&n->conf);
	struct seam_target_info *t;
	struct seam_fleet_vm *vm;
	size_t count = 0;
	size_t vms;
	size_t i;

	vm = seam_fleet_copy(n->fleet, NULL, &vms, NULL);
	t = calloc(vms + 1, sizeof(*t));
	for (i = 0; t && i < vms; i++) {
		const struct seam_service *s = service_of(c, vm[i].vm.pool);

		if (s)
			fill(&t[count++], &vm[i], s, c);
	}
	if (t)
		seam_targets_set(n->targets, t, count);
	free(t);
	free(vm);
	seam_conf_drop(c);
}

static void set_fleet(struct seam_node *n, const struct seam_vms *vms)
{
	struct seam_fleet_vm *vm = calloc(vms->n + 1, sizeof(*vm));
	size_t i;

	for (i = 0; vm && i < vms->n; i++)
		vm[i].vm = vms->vm[i];
	if (vm)
		seam_fleet_set(n->fleet, vm, vms->n, vms->as_of);
	free(vm);
}

static seam_time pass(void *arg, seam_time now)
{
	struct inventory *v = arg;
	struct seam_vms vms = {.vm = NULL};
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_platform *p = v->node->platform;

	if (p->ops->vms(p, &vms, now + LIST_TIMEOUT, &e))
		seam_log(SEAM_WARN, "inventory", "VM list not read: %s.",
			 e.text);
	else
		set_fleet(v->node, &vms);
	set_targets(v->node);
	seam_vms_free(&vms);
	return now + LIST_PERIOD;
}

static int start(struct seam_part *p, struct seam_err *e)
{
	struct inventory *v = (struct inventory *)p;

	pass(v, seam_now(v->node->clock));
	return seam_loop_start(&v->loop, v->node->clock, pass, v, e);
}

static void stop(struct seam_part *p)
{
	struct inventory *v = (struct inventory *)p;

	seam_loop_stop(&v->loop);
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
	return &v->part;
}
