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
 * struct seam_owner_ops - who decides for a shard (pool, team, bucket)
 * @mine: true if this node is the first live member for @name
 * @epoch: number that is another one when the live members are others; NULL if
 *         they never change
 *
 * Ownership saves conflicts, no more: safety comes from the compare-and-set on
 * the version of the shard's row.
 */
struct seam_owner_ops {
	bool (*mine)(struct seam_owner *o, const char *name, seam_time now);
	uint64_t (*epoch)(struct seam_owner *o, seam_time now);
};

/** struct seam_owner - ownership; the vtable is the first member */
struct seam_owner {
	const struct seam_owner_ops *ops;
};

/** seam_owner_all() - ownership of a node that is alone: everything */
struct seam_owner *seam_owner_all(void);

static inline bool seam_owner_mine(struct seam_owner *o, const char *name,
				   seam_time now)
{
	return o->ops->mine(o, name, now);
}

static inline uint64_t seam_owner_epoch(struct seam_owner *o, seam_time now)
{
	return o->ops->epoch ? o->ops->epoch(o, now) : 0;
}

#ifdef __cplusplus
}
#endif
#endif
