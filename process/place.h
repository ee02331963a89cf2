#ifndef SEAM_PLACE_H
#define SEAM_PLACE_H

#include <stdbool.h>
#include <stddef.h>

#include "base/err.h"
#include "process/size.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct seam_place_worker - a worker as a candidate for placement
 * @id: id of its VM
 * @addr: IP:PORT
 * @dc: data centre
 * @rack: rack
 * @pool: pool
 * @size: its resources
 * @used: resources reserved by running tasks; for a known worker only
 *        seam_placer_ops.used changes it
 * @boot: number of boots
 * @pool_version: version of the pool's row that @usable is from; 0 if none
 * @usable: active, and its data centre is not evacuated
 */
struct seam_place_worker {
	char id[64];
	char addr[64];
	char dc[64];
	char rack[64];
	char pool[64];
	struct seam_need size;
	struct seam_need used;
	int64_t boot;
	uint64_t pool_version;
	bool usable;
};

/**
 * struct seam_place_request - constraints on the placement of a task
 * @need: resources to reserve
 * @pool: pool of its queue
 * @dcs: allowed data centres, NULL-terminated; NULL allows all
 * @avoid: workers on which the task failed
 * @avoid_count: number of entries in @avoid
 * @racks: racks of the running tasks of its group, one entry for each task
 * @rack_count: number of entries in @racks
 */
struct seam_place_request {
	struct seam_need need;
	const char *pool;
	char **dcs;
	const char *const *avoid;
	size_t avoid_count;
	const char *const *racks;
	size_t rack_count;
};

struct seam_placer;

/**
 * struct seam_placer_ops - a placement policy
 * @set: add or update a worker
 * @sweep: remove the workers that were not @set since the last sweep; @ever
 *         still takes their sizes into account
 * @used: set the reserved resources of a worker
 * @open: allow or forbid new tasks on a worker, independently of its usable
 *        flag; allowed at first
 * @count: number of workers of a pool
 * @get: find a worker; NULL if it is not known
 * @choose: choose a worker for a task; SEAM_BUSY if none has room now
 * @ever: fail with SEAM_NEVER_RUNS and the resource that is missing, if no
 *        worker ever added in the allowed data centres is large enough
 * @free: free the placer
 */
struct seam_placer_ops {
	int (*set)(struct seam_placer *p, const struct seam_place_worker *w);
	void (*sweep)(struct seam_placer *p);
	void (*used)(struct seam_placer *p, const char *id,
		     const struct seam_need *used);
	void (*open)(struct seam_placer *p, const char *id, bool open);
	size_t (*count)(struct seam_placer *p, const char *pool);
	const struct seam_place_worker *(*get)(struct seam_placer *p,
					       const char *id);
	const struct seam_place_worker *(*choose)(
		struct seam_placer *p, const struct seam_place_request *a,
		seam_time now, struct seam_err *e);
	int (*ever)(struct seam_placer *p, const struct seam_place_request *a,
		    struct seam_err *e);
	void (*free)(struct seam_placer *p);
};

/** struct seam_placer - placement; the vtable is the first member */
struct seam_placer {
	const struct seam_placer_ops *ops;
};

/**
 * seam_placer_best_fit() - create a placer: best fit by dominant resource
 *
 * The workers of a pool in a data centre are listed by free amount of each
 * resource, so that a choice examines a bounded number of workers.
 */
struct seam_placer *seam_placer_best_fit(void);

/** seam_need_fits() - whether @n fits into the free resources of @w */
bool seam_need_fits(const struct seam_place_worker *w,
		    const struct seam_need *n);

#ifdef __cplusplus
}
#endif
#endif
