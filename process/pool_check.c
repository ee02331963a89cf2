#include "process/pool_impl.h"
#include "base/log.h"

static bool planned_out(const struct seam_pool_vm *m)
{
	return m->state == SEAM_MEMBER_DRAINING &&
	       (m->why == SEAM_WHY_MAINTENANCE || m->why == SEAM_WHY_MOVE);
}

static void check_member(const struct seam_pool_row *old,
			 const struct seam_pool_row *next,
			 const struct seam_pool_rules *rules,
			 const struct seam_pool_counts *t,
			 const struct seam_pool_vm *m)
{
	const struct seam_pool_vm *was = seam_pool_member(old, m->vm);
	bool begins = planned_out(m) && (!was || !planned_out(was));

	SEAM_INVARIANT(!begins || t->unavailable <= rules->budget, "pool",
		       "pool %s: VM %s drained, %lld unavailable, budget "
		       "%lld",
		       next->name, m->vm, (long long)t->unavailable,
		       (long long)rules->budget);
	SEAM_INVARIANT(!begins || t->active >= rules->min, "pool",
		       "pool %s: VM %s drained, %lld active, minimum %lld",
		       next->name, m->vm, (long long)t->active,
		       (long long)rules->min);
	SEAM_INVARIANT(!begins || !t->out, "pool",
		       "pool %s: VM %s drained while a data centre is out",
		       next->name, m->vm);
	SEAM_INVARIANT(m->state != SEAM_MEMBER_REBOOTING ||
			       (was && (was->state == SEAM_MEMBER_REBOOTING ||
					was->state == SEAM_MEMBER_DRAINING)),
		       "pool", "pool %s: VM %s reboots without a drain",
		       next->name, m->vm);
}

void seam_pool_check_invariants(const struct seam_pool_row *old,
				const struct seam_pool_row *next,
				const struct seam_pool_rules *rules)
{
	struct seam_pool_counts t = seam_pool_count(next);
	size_t i;

	for (i = 0; i < next->n; i++)
		check_member(old, next, rules, &t, &next->member[i]);
}
