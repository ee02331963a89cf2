#include "process/member_impl.h"

#include <stdio.h>
#include <string.h>

/* VM ids contain no slash, so these keys differ from those of targets. */
bool seam_member_service_key(const char *service, char key[SEAM_LOAD_KEY_SIZE])
{
	return snprintf(key, SEAM_LOAD_KEY_SIZE, "service/%s", service) <
	       SEAM_LOAD_KEY_SIZE;
}

static int64_t load_of(const struct seam_member *b, const char *key)
{
	return b->load ? GPOINTER_TO_INT(g_hash_table_lookup(b->load, key)) : 0;
}

struct load_pass {
	struct seam_members *m;
	seam_time now;
};

/* Nodes are in the order of their names; suspected nodes get no share. */
static void divide_service(void *arg, struct seam_target_service *s)
{
	const struct load_pass *p = arg;
	struct seam_target_demand d = {0};
	struct seam_handle i = SEAM_HANDLE_NONE;
	char key[SEAM_LOAD_KEY_SIZE];
	struct seam_member *b;
	const struct sent_load *own;

	if (!seam_member_service_key(s->name, key))
		return;
	own = g_hash_table_lookup(p->m->sent_loads, key);
	/*
	 * The average of the last two values sent is as old as the loads from
	 * peers are on average. With the current load, a node would take too
	 * small a share while all queues shrink.
	 */
	d.own = own ? ((int64_t)own->load + own->previous) / 2 : 0;
	d.all = d.own;
	while ((b = seam_table_next(p->m->table, &i))) {
		if (seam_member_suspected(b, p->now))
			continue;
		d.all += load_of(b, key);
		if (strcmp(b->node, p->m->node->settings.node) < 0)
			d.before += load_of(b, key);
	}
	seam_target_divide_slots(s, &d);
}

static int peer_load(const struct load_pass *p, const char *target)
{
	struct seam_handle i = SEAM_HANDLE_NONE;
	struct seam_member *b;
	int64_t load = 0;

	while ((b = seam_table_next(p->m->table, &i)))
		if (!seam_member_suspected(b, p->now))
			load += load_of(b, target);
	return (int)load;
}

/* Sets the load by peers and the own share of targets from members' reports. */
void seam_member_update_loads(struct seam_members *m, seam_time now)
{
	struct load_pass p = {m, now};
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_target *g;
	struct seam_table *t;

	pthread_mutex_lock(&m->lock);
	t = seam_targets_lock(m->node->targets);
	seam_targets_for_each_service(m->node->targets, divide_service, &p);
	while ((g = seam_table_next(t, &h)))
		seam_target_set_peer_load(g, peer_load(&p, g->info.id));
	seam_targets_unlock(m->node->targets);
	pthread_mutex_unlock(&m->lock);
}
