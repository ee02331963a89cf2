#ifndef SEAM_CATALOG_H
#define SEAM_CATALOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/err.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SEAM_NAME 64
#define SEAM_WORKSPACE_KEYS 64

/**
 * struct seam_amount - resources
 * @cpu: thousandths of a core
 * @memory: megabytes
 * @gpu: accelerators
 */
struct seam_amount {
	int64_t cpu;
	int64_t memory;
	int64_t gpu;
};

/**
 * struct seam_job_queue - where callers hand in jobs
 * @name: name
 * @host: host name of its calls
 * @prefix: start of the path of its calls
 * @pool: pool whose workers run its tasks
 * @target_ms: latency objective beyond the stretched run time
 * @stretch: factor on a job's longest chain of work in the objective
 * @attempts: failed runs of a task after which its job fails
 * @priority: 0 comes first
 * @open: calls need no key
 * @advised: a policy service has to be asked where its tasks may run
 */
struct seam_job_queue {
	char name[SEAM_NAME];
	char host[128];
	char prefix[128];
	char pool[SEAM_NAME];
	int64_t target_ms;
	double stretch;
	int attempts;
	int priority;
	bool open;
	bool advised;
};

/**
 * struct seam_pool_info - a pool of workers
 * @name: name
 * @guarded: its workers refuse tasks that do not fit
 * @standby: its VMs are off
 */
struct seam_pool_info {
	char name[SEAM_NAME];
	bool guarded;
	bool standby;
};

/**
 * struct seam_job_workspace - a customer
 * @name: name
 * @weight: share when all is full
 * @limit: what it may have running across all pools; 0 is no limit
 * @key: keys of its callers
 * @keys: their number
 */
struct seam_job_workspace {
	char name[SEAM_NAME];
	int64_t weight;
	struct seam_amount limit;
	char (*key)[SEAM_NAME];
	size_t keys;
};

/** struct seam_catalog - one version of what operators configure; immutable */
struct seam_catalog {
	uint64_t version;
	struct seam_job_queue *queue;
	size_t queues;
	struct seam_pool_info *pool;
	size_t pools;
	struct seam_job_workspace *workspace;
	size_t workspaces;
};

/** seam_catalog_free() - free a version that nobody reads any more */
void seam_catalog_free(struct seam_catalog *c);

/**
 * seam_catalog_route() - queue of a call
 * @c: version
 * @host: host name of the call, which may carry a port
 * @path: its path
 *
 * Return: the queue with the longest prefix that @path begins with, or NULL.
 */
const struct seam_job_queue *seam_catalog_route(const struct seam_catalog *c,
						const char *host,
						const char *path);

/** seam_catalog_queue() - queue by name, or NULL */
const struct seam_job_queue *seam_catalog_queue(const struct seam_catalog *c,
						const char *name);

/** seam_catalog_pool() - pool by name, or NULL */
const struct seam_pool_info *seam_catalog_pool(const struct seam_catalog *c,
					       const char *name);

/** seam_catalog_workspace() - workspace by name, or NULL */
const struct seam_job_workspace *
seam_catalog_workspace(const struct seam_catalog *c, const char *name);

/** seam_catalog_owner_of() - workspace that holds @key, or NULL */
const struct seam_job_workspace *
seam_catalog_owner_of(const struct seam_catalog *c, const char *key);

/**
 * struct seam_catalog_cell - the version in force
 * @now: version; readers hold the RCU read lock
 */
struct seam_catalog_cell {
	struct seam_catalog *now;
};

/** seam_catalog_enter() - begin to read; NULL before the first version */
const struct seam_catalog *seam_catalog_enter(struct seam_catalog_cell *cell);

/** seam_catalog_leave() - end reading */
void seam_catalog_leave(void);

/**
 * seam_catalog_adopt() - put a version in force
 * @cell: cell
 * @c: version; owned by the cell afterwards
 *
 * An older version than the one in force is dropped.
 *
 * Return: whether @c is in force now.
 */
bool seam_catalog_adopt(struct seam_catalog_cell *cell, struct seam_catalog *c);

#ifdef __cplusplus
}
#endif
#endif
