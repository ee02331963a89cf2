/* Deviation of each team from its share on a fully loaded fleet. */
#include "bench/measures.h"
#include "bench/share_run.h"

static struct share_run run(const struct deployment *d, enum share_policy p)
{
	struct share_run r = {.policy = p, .slots = 50 * d->cores};

	memcpy(r.weight, d->share, sizeof(r.weight));
	share_run(&r);
	return r;
}

void seam_measure_shares(const struct deployment *d)
{
	struct share_run fixed = run(d, QUOTAS);
	struct share_run ours = run(d, DAEMON_ORDER);

	seam_measure_print(d, "distance from share", "% of fleet",
			   WEIGHT_SHARES, 100 * fixed.full, 100 * ours.full);
	seam_measure_print(d, "cores idle", "% of fleet", WEIGHT_NONE,
			   100 * (1 - fixed.used), 100 * (1 - ours.used));
}
