#include "version/catalog.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <urcu-bp.h>

void seam_catalog_free(struct seam_catalog *c)
{
	size_t i;

	if (!c)
		return;
	for (i = 0; i < c->workspaces; i++)
		free(c->workspace[i].key);
	free(c->workspace);
	free(c->queue);
	free(c->pool);
	free(c);
}

static bool host_matches(const char *want, const char *host)
{
	size_t n = strlen(want);

	return !strncasecmp(want, host, n) && (!host[n] || host[n] == ':');
}

const struct seam_job_queue *seam_catalog_route(const struct seam_catalog *c,
						const char *host,
						const char *path)
{
	const struct seam_job_queue *best = NULL;
	size_t i;

	for (i = 0; i < c->queues; i++) {
		const struct seam_job_queue *q = &c->queue[i];
		size_t n = strlen(q->prefix);

		if (strncmp(q->prefix, path, n) || !host_matches(q->host, host))
			continue;
		if (!best || n > strlen(best->prefix))
			best = q;
	}
	return best;
}

#define FIND(array, count, want)                            \
	do {                                                \
		size_t i;                                   \
                                                            \
		for (i = 0; i < (count); i++)               \
			if (!strcmp((array)[i].name, want)) \
				return &(array)[i];         \
		return NULL;                                \
	} while (0)

const struct seam_job_queue *seam_catalog_queue(const struct seam_catalog *c,
						const char *name)
{
	FIND(c->queue, c->queues, name);
}

const struct seam_pool_info *seam_catalog_pool(const struct seam_catalog *c,
					       const char *name)
{
	FIND(c->pool, c->pools, name);
}

const struct seam_job_workspace *
seam_catalog_workspace(const struct seam_catalog *c, const char *name)
{
	FIND(c->workspace, c->workspaces, name);
}

const struct seam_job_workspace *
seam_catalog_workspace_by_key(const struct seam_catalog *c, const char *key)
{
	size_t i;
	size_t j;

	for (i = 0; i < c->workspaces; i++)
		for (j = 0; j < c->workspace[i].keys; j++)
			if (!strcmp(c->workspace[i].key[j], key))
				return &c->workspace[i];
	return NULL;
}

const struct seam_catalog *
seam_catalog_read_lock(struct seam_catalog_cell *cell)
{
	urcu_bp_read_lock();
	return __atomic_load_n(&cell->now, __ATOMIC_ACQUIRE);
}

void seam_catalog_read_unlock(void)
{
	urcu_bp_read_unlock();
}

bool seam_catalog_publish(struct seam_catalog_cell *cell,
			  struct seam_catalog *c)
{
	struct seam_catalog *old = cell->now;

	if (old && old->version >= c->version) {
		seam_catalog_free(c);
		return false;
	}
	__atomic_store_n(&cell->now, c, __ATOMIC_RELEASE);
	urcu_bp_synchronize_rcu();
	seam_catalog_free(old);
	return true;
}
