#ifndef SEAM_CATALOG_H
#define SEAM_CATALOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/err.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SEAM_NAME_SIZE 64
#define SEAM_WORKSPACE_KEYS 64

/**
 * struct seam_resources - amount of each resource
 * @cpu: thousandths of a core
 * @memory: megabytes
 * @gpu: number of accelerators
 */
struct seam_resources {
	int64_t cpu;
	int64_t memory;
	int64_t gpu;
};

/**
 * struct seam_job_queue - queue to which callers submit jobs
 * @name: name
 * @host: host name of its requests
 * @prefix: path prefix of its requests
 * @pool: pool whose workers run its tasks
 * @target_ms: constant part of the latency objective of a job
 * @stretch: factor on the run time of the job's critical path; the other part
 *           of the latency objective
 * @attempts: number of failed runs of a task after which its job fails
 * @priority: 0 is the highest
 * @open: requests need no key
 * @needs_placement_advice: a policy service decides where its tasks may run
 */
struct seam_job_queue {
	char name[SEAM_NAME_SIZE];
	char host[128];
	char prefix[128];
	char pool[SEAM_NAME_SIZE];
	int64_t target_ms;
	double stretch;
	int attempts;
	int priority;
	bool open;
	bool needs_placement_advice;
};

/**
 * struct seam_pool_info - a pool of workers
 * @name: name
 * @rejects_overload: its workers reject tasks that do not fit
 * @standby: its VMs are powered off
 */
struct seam_pool_info {
	char name[SEAM_NAME_SIZE];
	bool rejects_overload;
	bool standby;
};

/**
 * struct seam_job_workspace - a customer
 * @name: name
 * @weight: weight in fair sharing while capacity is short
 * @limit: resources that its running tasks may use across all pools; 0 for no
 *         limit
 * @key: keys of its callers
 * @keys: number of keys
 */
struct seam_job_workspace {
	char name[SEAM_NAME_SIZE];
	int64_t weight;
	struct seam_resources limit;
	char (*key)[SEAM_NAME_SIZE];
	size_t keys;
};

/** struct seam_catalog - immutable version of queues, pools and workspaces */
struct seam_catalog {
	uint64_t version;
	struct seam_job_queue *queue;
	size_t queues;
	struct seam_pool_info *pool;
	size_t pools;
	struct seam_job_workspace *workspace;
	size_t workspaces;
};

/** seam_catalog_free() - free a version that has no readers */
void seam_catalog_free(struct seam_catalog *c);

/**
 * seam_catalog_route() - queue of a request
 * @c: version
 * @host: host name of the request, with or without a port
 * @path: path of the request
 *
 * Return: the queue of @host with the longest matching path prefix, or NULL.
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

/** seam_catalog_workspace_by_key() - workspace that has @key, or NULL */
const struct seam_job_workspace *
seam_catalog_workspace_by_key(const struct seam_catalog *c, const char *key);

/**
 * struct seam_catalog_cell - the current version, published by RCU
 * @now: current version; readers hold the RCU read lock
 */
struct seam_catalog_cell {
	struct seam_catalog *now;
};

/** seam_catalog_read_lock() - RCU read lock; NULL if there is no version yet */
const struct seam_catalog *
seam_catalog_read_lock(struct seam_catalog_cell *cell);

/** seam_catalog_read_unlock() - RCU read unlock */
void seam_catalog_read_unlock(void);

/**
 * seam_catalog_publish() - make @c current if its version is higher
 * @cell: cell
 * @c: version; ownership passes to @cell
 *
 * Frees @c if its version is not higher than the current one. Waits until
 * readers of the previous version have ended, and frees that version.
 *
 * Return: true if @c became current.
 */
bool seam_catalog_publish(struct seam_catalog_cell *cell,
			  struct seam_catalog *c);

#ifdef __cplusplus
}
#endif
#endif
