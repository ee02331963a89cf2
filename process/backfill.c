#include "process/backfill.h"

#include <stdlib.h>

seam_time seam_backfill_end(seam_time begun, int64_t estimate_ms, seam_time now)
{
	seam_time end = begun + estimate_ms * SEAM_MSEC;

	return end > now ? end : now + (now - end);
}

static int compare_ends(const void *a, const void *b)
{
	const struct seam_backfill_run *x = a;
	const struct seam_backfill_run *y = b;

	return (x->end > y->end) - (x->end < y->end);
}

struct seam_backfill seam_backfill_plan(const struct seam_resources *need,
					const struct seam_resources *free,
					struct seam_backfill_run *run, size_t n,
					seam_time now)
{
	struct seam_backfill b = {now, *free};
	size_t i;

	if (n)
		qsort(run, n, sizeof(*run), compare_ends);
	for (i = 0;
	     i < n && (!seam_fits(need, &b.beside) || run[i].end <= b.room_at);
	     i++) {
		b.room_at = run[i].end;
		b.beside.cpu += run[i].need.cpu;
		b.beside.memory += run[i].need.memory;
		b.beside.gpu += run[i].need.gpu;
	}
	if (!seam_fits(need, &b.beside) || b.room_at == SEAM_NEVER)
		return (struct seam_backfill){SEAM_NEVER, {0, 0, 0}};
	b.beside.cpu -= need->cpu;
	b.beside.memory -= need->memory;
	b.beside.gpu -= need->gpu;
	return b;
}

bool seam_backfill_fits(const struct seam_backfill *b,
			const struct seam_resources *need, seam_time end)
{
	return end <= b->room_at || seam_fits(need, &b->beside);
}
