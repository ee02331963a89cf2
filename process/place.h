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
 * struct seam_place_worker - a worker as the placement sees it
 * @id: id of its VM
 * @addr: IP:PORT
 * @dc: data centre
 * @rack: rack
 * @pool: pool
 * @size: its resources
 * @used: reserved by running tasks; @set keeps what @used gave
 * @boot: number of boots
 * @pool_version: version of the pool's row that @usable comes from; 0 without
 * @usable: active and in a data centre that is in
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
 * struct seam_place_ask - where may a task run
 * @need: resources to reserve
 * @pool: pool of its queue
 * @dcs: data centres of its queue, NULL-terminated; NULL is all
 * @avoid: workers that it failed on
 * @avoids: their number
 * @racks: racks that run tasks of its group, one entry for each task
 * @rack_count: their number
 */
struct seam_place_ask {
	struct seam_need need;
	const char *pool;
	char **dcs;
	const char *const *avoid;
	size_t avoids;
	const char *const *racks;
	size_t rack_count;
};

struct seam_placer;

/**
 * struct seam_placer_ops - a placement policy
 * @set: add a worker or replace what is known of it
 * @sweep: workers that were not @set since the last sweep have left; their
 *         sizes still count for @ever
 * @used: reserved resources of a worker changed
 * @open: whether it takes tasks, apart from @usable; true at first
 * @count: number of workers of a pool
 * @get: the worker, or NULL
 * @choose: a worker for a task; SEAM_BUSY if none has room now
 * @ever: SEAM_NEVER_RUNS, with the resource, if no worker ever listed in the
 *        allowed data centres is large enough
 * @free: free it
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
		struct seam_placer *p, const struct seam_place_ask *a,
		seam_time now, struct seam_err *e);
	int (*ever)(struct seam_placer *p, const struct seam_place_ask *a,
		    struct seam_err *e);
	void (*free)(struct seam_placer *p);
};

/** struct seam_placer - placement; the vtable is the first member */
struct seam_placer {
	const struct seam_placer_ops *ops;
};

/**
 * seam_placer_best_fit() - best fit by dominant resource
 *
 * Workers of a pool and data centre are kept in lists by free amount of each
 * resource, so a choice looks at a bounded number of workers.
 */
struct seam_placer *seam_placer_best_fit(void);

/** seam_need_fits() - @n fits into what @w has free */
bool seam_need_fits(const struct seam_place_worker *w,
		    const struct seam_need *n);

#ifdef __cplusplus
}
#endif
#endif
