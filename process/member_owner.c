#include "process/member_impl.h"

#include <string.h>
#include <xxhash.h>

uint64_t seam_member_weight(const char *node, const char *name)
{
	return XXH3_64bits_withSeed(name, strlen(name),
				    XXH3_64bits(node, strlen(node)));
}

static bool is_owner(struct seam_owner *o, const char *name, seam_time now)
{
	struct seam_members *m = (struct seam_members *)o;
	uint64_t own = seam_member_weight(m->node->settings.node, name);
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_member *b;
	bool highest;

	pthread_mutex_lock(&m->lock);
	/* After a pause, the suspect times are stale until the next pass. */
	highest = now - m->last_pass_at < SEAM_SUSPECT_TIMEOUT;
	while (highest && (b = seam_table_next(m->table, &h)))
		if (!seam_member_suspected(b, now))
			highest = seam_member_weight(b->node, name) < own;
	pthread_mutex_unlock(&m->lock);
	return highest;
}

static uint64_t epoch(struct seam_owner *o, seam_time now)
{
	struct seam_members *m = (struct seam_members *)o;
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_member *b;
	uint64_t sum;

	pthread_mutex_lock(&m->lock);
	sum = now - m->last_pass_at < SEAM_SUSPECT_TIMEOUT;
	while ((b = seam_table_next(m->table, &h)))
		if (!seam_member_suspected(b, now))
			sum += XXH3_64bits(b->node, strlen(b->node));
	pthread_mutex_unlock(&m->lock);
	return sum;
}

static const struct seam_owner_ops ops = {
	.is_owner = is_owner,
	.epoch = epoch,
};

const struct seam_owner_ops *seam_member_owner_ops(void)
{
	return &ops;
}
