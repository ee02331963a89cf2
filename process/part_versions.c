#include "base/log.h"
#include "process/node.h"

#include <inttypes.h>
#include <stdlib.h>

#define POLL_PERIOD (1 * SEAM_SEC)
#define POLL_TIMEOUT (2 * SEAM_SEC)

/* Polls the head of the configuration and adopts newer versions. */
struct versions {
	struct seam_part part;
	struct seam_node *node;
	struct seam_loop loop;
};

static struct seam_conf *newer(struct seam_node *n, uint64_t head,
			       seam_time deadline, struct seam_err *e)
{
	struct seam_conf *old = seam_conf_current(&n->conf);
	struct seam_conf *c = NULL;

	if (seam_conf_version(old))
		c = seam_conf_catch_up(n->store, old, head, deadline, e);
	if (!c)
		c = seam_conf_load(n->store, deadline, e);
	seam_conf_drop(old);
	return c;
}

static uint64_t own_version(struct seam_node *n)
{
	struct seam_conf *c = seam_conf_current(&n->conf);
	uint64_t v = seam_conf_version(c);

	seam_conf_drop(c);
	return v;
}

static void poll_store(struct seam_node *n, seam_time now)
{
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_conf *c;
	uint64_t head;

	if (seam_conf_head(n->store, &head, now + POLL_TIMEOUT, &e)) {
		seam_log(SEAM_WARN, "version", "Store did not answer: %s.",
			 e.text);
		return;
	}
	if (head > own_version(n)) {
		c = newer(n, head, now + POLL_TIMEOUT, &e);
		if (!c) {
			seam_log(SEAM_WARN, "version",
				 "Version %" PRIu64 " not read: %s.", head,
				 e.text);
			return;
		}
		if (seam_conf_publish(&n->conf, c))
			seam_log(SEAM_INFO, "version",
				 "Version %" PRIu64 " is in force.", head);
	}
	seam_node_confirm(n, now);
}

static seam_time pass(void *arg, seam_time now)
{
	struct versions *v = arg;

	poll_store(v->node, now);
	return now + POLL_PERIOD;
}

static int start(struct seam_part *p, struct seam_err *e)
{
	struct versions *v = (struct versions *)p;

	poll_store(v->node, seam_now(v->node->clock));
	return seam_loop_start(&v->loop, v->node->clock, pass, v, e);
}

static void stop(struct seam_part *p)
{
	struct versions *v = (struct versions *)p;

	seam_loop_stop(&v->loop);
	free(v);
}

static const struct seam_part_ops ops = {
	.name = "version",
	.start = start,
	.stop = stop,
};

struct seam_part *seam_part_versions(struct seam_node *n)
{
	struct versions *v = calloc(1, sizeof(*v));

	if (!v)
		return NULL;
	v->part.ops = &ops;
	v->node = n;
	return &v->part;
}
