#include "process/fit.h"

#include <stdint.h>

/* Penalties in thousandths of a core, so that they add to the free CPU. */
#define REMOTE_DATA_COST INT64_C(10000000)
#define FAILED_HERE_COST INT64_C(100000000)
#define SLOW_COST INT64_C(1000000)
/* For each serving or filling task on the worker. */
#define INTERFERENCE_COST INT64_C(500000)

bool seam_fits(const struct seam_resources *need,
	       const struct seam_resources *free)
{
	return need->cpu <= free->cpu && need->memory <= free->memory &&
	       need->gpu <= free->gpu;
}

static int64_t cost(const struct seam_fit_task *t,
		    const struct seam_fit_worker *w)
{
	int64_t c = w->free.cpu;

	if (!w->near)
		c += REMOTE_DATA_COST;
	if (w->avoid)
		c += FAILED_HERE_COST;
	if (w->slow)
		c += SLOW_COST;
	if (t->fills)
		c += INTERFERENCE_COST * (w->serving + w->filling);
	if (t->serves)
		c += INTERFERENCE_COST * (w->serving + w->filling);
	return c;
}

int seam_fit(const struct seam_fit_task *t, const struct seam_fit_worker *w,
	     size_t n)
{
	int64_t least = INT64_MAX;
	int best = -1;
	size_t i;

	for (i = 0; i < n; i++) {
		int64_t c;

		if (w[i].copy || !seam_fits(&t->need, &w[i].free))
			continue;
		c = cost(t, &w[i]);
		if (c < least) {
			least = c;
			best = (int)i;
		}
	}
	return best;
}
