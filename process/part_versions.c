#include "process/member.h"

#include <stdlib.h>

/* The thread that adopts configuration versions and pushes changes to peers. */
struct versions_part {
	struct seam_part part;
	struct seam_node *node;
	struct seam_loop loop;
	bool started;
};

static seam_time pass(void *arg, seam_time now)
{
	return seam_versions_pass(arg, now);
}

static int start(struct seam_part *base, struct seam_err *e)
{
	struct versions_part *p = (struct versions_part *)base;
	struct seam_node *n = p->node;

	n->versions = seam_versions_new(n, n->members);
	if (!n->versions)
		return seam_fail(e, SEAM_NO_MEMORY, NULL);
	seam_versions_pass(n->versions, seam_now(n->clock));
	if (seam_loop_start(&p->loop, n->clock, pass, n->versions, e))
		return -1;
	p->started = true;
	return 0;
}

static void stop(struct seam_part *base)
{
	struct versions_part *p = (struct versions_part *)base;

	if (p->started)
		seam_loop_stop(&p->loop);
	seam_versions_free(p->node->versions);
	p->node->versions = NULL;
	free(p);
}

static const struct seam_part_ops ops = {
	.name = "version",
	.start = start,
	.stop = stop,
};

struct seam_part *seam_part_versions(struct seam_node *n)
{
	struct versions_part *p = calloc(1, sizeof(*p));

	if (!p)
		return NULL;
	p->part.ops = &ops;
	p->node = n;
	return &p->part;
}

void seam_node_sync_versions(struct seam_node *n)
{
	int i;

	for (i = 0; i < n->parts; i++)
		if (n->part[i]->ops == &ops &&
		    ((struct versions_part *)n->part[i])->started)
			seam_loop_wake(
				&((struct versions_part *)n->part[i])->loop);
}
