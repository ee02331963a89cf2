#ifndef SEAM_OWNER_H
#define SEAM_OWNER_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

struct seam_owner;

/**
 * struct seam_owner_ops - ownership of shards (pools, teams, buckets)
 * @is_owner: whether this node is the live member with the highest hash for
 *            @name
 * @epoch: number that changes with the set of live members; NULL if the set is
 *         constant
 *
 * Ownership only avoids conflicts. Safety comes from the compare-and-set on the
 * version of the shard's row.
 */
struct seam_owner_ops {
	bool (*is_owner)(struct seam_owner *o, const char *name, seam_time now);
	uint64_t (*epoch)(struct seam_owner *o, seam_time now);
};

/** struct seam_owner - ownership; the vtable is the first member */
struct seam_owner {
	const struct seam_owner_ops *ops;
};

/** seam_owner_all() - ownership of a single node: it owns every shard */
struct seam_owner *seam_owner_all(void);

static inline bool seam_is_owner(struct seam_owner *o, const char *name,
				 seam_time now)
{
	return o->ops->is_owner(o, name, now);
}

static inline uint64_t seam_owner_epoch(struct seam_owner *o, seam_time now)
{
	return o->ops->epoch ? o->ops->epoch(o, now) : 0;
}

#ifdef __cplusplus
}
#endif
#endif
