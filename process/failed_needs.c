#include "process/failed_needs.h"

const struct seam_failed_need *
seam_failed_needs_find(const struct seam_failed_needs *f,
		       const struct seam_resources *need)
{
	int i;

	for (i = 0; i < f->count; i++)
		if (seam_fits(&f->need[i].need, need))
			return &f->need[i];
	return NULL;
}

void seam_failed_needs_add(struct seam_failed_needs *f,
			   const struct seam_resources *need, int why)
{
	int kept = 0;
	int i;

	/* The new one covers those that are as large. */
	for (i = 0; i < f->count; i++)
		if (!seam_fits(need, &f->need[i].need))
			f->need[kept++] = f->need[i];
	if (kept == SEAM_FAILED_NEEDS_MAX)
		kept--;
	f->need[kept++] = (struct seam_failed_need){*need, why};
	f->count = kept;
}
