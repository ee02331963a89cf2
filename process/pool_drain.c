#include "connection/target.h"
#include "process/pool.h"

#include <string.h>

static void begin(struct seam_drain *d, const char *vm, seam_time deadline)
{
	(void)d;
	(void)vm;
	(void)deadline;
}

static bool other_nodes_current(const struct seam_target_drain *t)
{
	return !t->all_current || t->all_current(t->arg);
}

static bool is_busy(struct seam_target_drain *t, const char *vm)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_table *table = seam_targets_lock(t->targets);
	struct seam_target *x;
	bool busy = false;

	while ((x = seam_table_next(table, &h)))
		if (!strcmp(x->info.id, vm))
			busy = busy || x->outstanding || x->peer_load;
	seam_targets_unlock(t->targets);
	return busy;
}

/*
 * Lock order: the lock of the members is acquired before that of the targets,
 * so the other nodes are checked with the targets unlocked. They are checked
 * before and after the loads are read, to detect a node whose messages were
 * missing when they were read.
 */
static bool idle(struct seam_drain *d, const char *vm)
{
	struct seam_target_drain *t = (struct seam_target_drain *)d;

	return other_nodes_current(t) && !is_busy(t, vm) &&
	       other_nodes_current(t);
}

static const struct seam_drain_ops ops = {
	.begin = begin,
	.idle = idle,
};

void seam_target_drain_init(struct seam_target_drain *d,
			    struct seam_targets *ts,
			    bool (*all_current)(void *arg), void *arg)
{
	d->drain.ops = &ops;
	d->targets = ts;
	d->all_current = all_current;
	d->arg = arg;
}
