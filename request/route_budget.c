#include "request/route.h"

#define RETRY_MILLI 1000 /* one retry */
#define FIRST_MILLI 100 /* a first attempt allows a tenth of a retry */
#define FLOOR_MILLI_PER_SEC 1000
#define FLOOR_MILLI 3000 /* the floor alone fills up to this */
#define BUDGET_MILLI_MAX 50000 /* bounds the burst after a quiet time */

/* A service with few requests gets a retry a second, and not more than 3. */
static void fill(struct seam_budget *b, seam_time now)
{
	int64_t add;

	if (!b->filled_at) {
		b->milli = FLOOR_MILLI;
		b->filled_at = now;
	}
	if (now <= b->filled_at)
		return;
	add = (now - b->filled_at) * FLOOR_MILLI_PER_SEC / SEAM_SEC;
	if (!add)
		return;
	b->filled_at = now;
	if (b->milli < FLOOR_MILLI)
		b->milli = b->milli + add < FLOOR_MILLI ? b->milli + add :
							  FLOOR_MILLI;
}

void seam_budget_first(struct seam_budget *b, seam_time now)
{
	fill(b, now);
	b->milli += FIRST_MILLI;
	if (b->milli > BUDGET_MILLI_MAX)
		b->milli = BUDGET_MILLI_MAX;
}

bool seam_budget_retry(struct seam_budget *b, seam_time now)
{
	fill(b, now);
	if (b->milli < RETRY_MILLI)
		return false;
	b->milli -= RETRY_MILLI;
	return true;
}

void seam_budget_refund(struct seam_budget *b)
{
	b->milli += RETRY_MILLI;
}
