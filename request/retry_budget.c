#include "request/route.h"

#define RETRY_MILLI 1000 /* cost of a retry */
#define FIRST_MILLI 100 /* a first attempt adds a tenth of a retry */
#define FLOOR_MILLI_PER_SEC 1000
#define FLOOR_MILLI 3000 /* limit of the refill by time */
#define BUDGET_MILLI_MAX 50000 /* bounds bursts after an idle period */

/* Refills by time, for services with few requests: a retry a second up to 3. */
static void refill(struct seam_retry_budget *b, seam_time now)
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

void seam_retry_budget_deposit(struct seam_retry_budget *b, seam_time now)
{
	refill(b, now);
	b->milli += FIRST_MILLI;
	if (b->milli > BUDGET_MILLI_MAX)
		b->milli = BUDGET_MILLI_MAX;
}

bool seam_retry_budget_withdraw(struct seam_retry_budget *b, seam_time now)
{
	refill(b, now);
	if (b->milli < RETRY_MILLI)
		return false;
	b->milli -= RETRY_MILLI;
	return true;
}

void seam_retry_budget_refund(struct seam_retry_budget *b)
{
	b->milli += RETRY_MILLI;
}
