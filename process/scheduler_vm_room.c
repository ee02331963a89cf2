/* Workers that take no tasks, so that their VMs are no room of their pool. */
#include "process/scheduler_impl.h"

/*
 * A worker that has refused each start for this long takes no tasks. Longer
 * than a worker refuses them that was asked while a run ended.
 */
#define REFUSING_MIN (1500 * SEAM_MSEC)
/* Time after its latest refusal for which such a worker counts as full. */
#define REFUSING_TIME (6 * SEAM_SEC)

void scheduler_start_refused(struct seam_worker *w, seam_time now)
{
	if (!w->refusal_limit || now >= w->refusal_limit + REFUSING_TIME)
		w->refusal_limit = now + REFUSING_MIN;
	if (now >= w->refusal_limit)
		w->refusing_until = now + REFUSING_TIME;
}

void scheduler_start_accepted(struct seam_worker *w)
{
	w->refusal_limit = 0;
	w->refusing_until = 0;
}

/* Whether a worker with a row is silent and has lost its runs. */
static bool is_lost(const struct seam_worker *w, seam_time now)
{
	return w->missed_holds >= SEAM_MISSED_HOLDS_MAX && now > w->lease_end;
}

bool scheduler_worker_is_room(const struct seam_worker *w, seam_time now)
{
	seam_time arrival = now + w->sched->arrival_time;

	return w->listed && w->contacted && !w->info.draining && !w->vm_gone &&
	       !is_lost(w, now) && arrival >= w->shunned_until &&
	       now >= w->refusing_until;
}
