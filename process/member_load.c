#include "process/member_impl.h"

#include <stdio.h>
#include <string.h>

/* No id of a VM has a slash, so that the keys differ from those of targets. */
bool seam_member_service_key(const char *service, char key[SEAM_LOAD_KEY])
{
	return snprintf(key, SEAM_LOAD_KEY, "service/%s", service) <
	       SEAM_LOAD_KEY;
}

static int64_t load_of(const struct seam_member *b, const char *key)
{
	return b->load ? GPOINTER_TO_INT(g_hash_table_lookup(b->load, key)) : 0;
}

struct pass {
	struct seam_members *m;
	seam_time now;
};

/* Nodes in the order of their names; those not heard from have no part. */
static void divide(void *arg, struct seam_target_service *s)
{
	const struct pass *p = arg;
	struct seam_target_demand d = {0};
	struct seam_handle i = SEAM_NONE;
	char key[SEAM_LOAD_KEY];
	struct seam_member *b;
	const struct told *own;

	if (!seam_member_service_key(s->name, key))
		return;
	own = g_hash_table_lookup(p->m->told, key);
	/*
	 * As old as what peers told is on average. With the latest number a
	 * node would take too small a part while all queues shrink.
	 */
	d.own = own ? ((int64_t)own->load + own->before) / 2 : 0;
	d.all = d.own;
	while ((b = seam_table_next(p->m->table, &i))) {
		if (seam_member_suspected(b, p->now))
			continue;
		d.all += load_of(b, key);
		if (strcmp(b->node, p->m->node->settings.node) < 0)
			d.before += load_of(b, key);
	}
	seam_target_divide(s, &d);
}

static int load_by_peers(const struct pass *p, const char *target)
{
	struct seam_handle i = SEAM_NONE;
	struct seam_member *b;
	int64_t load = 0;

	while ((b = seam_table_next(p->m->table, &i)))
		if (!seam_member_suspected(b, p->now))
			load += load_of(b, target);
	return (int)load;
}

/* Sets the load by peers and the own part of targets, by what members told. */
void seam_member_loads(struct seam_members *m, seam_time now)
{
	struct pass p = {m, now};
	struct seam_handle h = SEAM_NONE;
	struct seam_target *g;
	struct seam_table *t;

	pthread_mutex_lock(&m->lock);
	t = seam_targets_lock(m->node->targets);
	seam_targets_each_service(m->node->targets, divide, &p);
	while ((g = seam_table_next(t, &h)))
		seam_target_told(g, load_by_peers(&p, g->info.id));
	seam_targets_unlock(m->node->targets);
	pthread_mutex_unlock(&m->lock);
}
