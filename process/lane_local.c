/* The lane to the dispatcher of the owner's own node. */
#include "process/dispatch.h"

#include <stdlib.h>

struct local_lane {
	struct seam_lane base;
	struct seam_dispatch *dispatch;
	struct seam_lane_session session;
};

static int local_send(struct seam_lane *base, struct seam_lane_batch *b,
		      seam_time *node_now, seam_time deadline,
		      struct seam_err *e)
{
	struct local_lane *l = (struct local_lane *)base;

	(void)deadline;
	l->session = b->session;
	*node_now = seam_dispatch_now(l->dispatch);
	return seam_dispatch_apply(l->dispatch, b, e);
}

static int local_poll(struct seam_lane *base, const struct seam_lane_poll *p,
		      struct seam_lane_events *v, seam_time deadline,
		      struct seam_err *e)
{
	(void)deadline;
	return seam_dispatch_poll(((struct local_lane *)base)->dispatch, p, v,
				  e);
}

static void local_close(struct seam_lane *base)
{
	struct local_lane *l = (struct local_lane *)base;

	seam_dispatch_end_session(l->dispatch, &l->session);
	free(l);
}

static const struct seam_lane_ops local_ops = {
	.send = local_send,
	.poll = local_poll,
	.close = local_close,
};

struct seam_lane *seam_lane_local_new(struct seam_dispatch *d)
{
	struct local_lane *l = calloc(1, sizeof(*l));

	if (!l)
		return NULL;
	l->base.ops = &local_ops;
	l->dispatch = d;
	return &l->base;
}
