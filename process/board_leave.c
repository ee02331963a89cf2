/* Takes tasks off workers that leave, within the availability budgets. */
#include "process/board_impl.h"
#include "base/log.h"

#define AT_WORK 100 /* percent of a lasting task that serves */
/* A stop that has no answer after three calls is not waited for. */
#define DRAIN_WAIT (1100 * SEAM_MSEC)
#define SPARE_MS 300 /* a run that needs longer than a leaving worker has */

/* A worker that does not answer may be gone, so its tasks count as away. */
static bool at_work(struct seam_board *b, const struct seam_job_task *t)
{
	int i;

	for (i = 0; i < SEAM_COPIES; i++) {
		const struct seam_run_slot *r = &t->run[i];
		const struct seam_worker *w = board_worker(b, r->worker);

		if (r->state == SEAM_RUN_LIVE && !r->stop &&
		    r->percent >= AT_WORK && w && w->answered && w->listed)
			return true;
	}
	return false;
}

/* Whether one more task of a step may be away because of planned work. */
static bool may_take_away(struct seam_board *b, const struct seam_job *j,
			  int step, int task)
{
	const struct seam_step *s = &j->row.spec.step[step];
	int64_t away = 0;
	int64_t t;

	if (!s->may_miss)
		return true;
	for (t = 0; t < s->tasks; t++)
		away += t != task && !at_work(b, &j->task[step][t]);
	return away < s->may_miss;
}

/* Whether a run of the step on another worker that stays sound is to stop. */
static bool stop_under_way(struct seam_board *b, const struct seam_worker *but,
			   const struct seam_job *j, int step)
{
	int64_t t;
	int i;

	for (t = 0; t < j->row.spec.step[step].tasks; t++)
		for (i = 0; i < SEAM_COPIES; i++) {
			const struct seam_run_slot *r =
				&j->task[step][t].run[i];
			const struct seam_worker *w =
				board_worker(b, r->worker);

			if (r->state != SEAM_RUN_FREE && r->stop && w &&
			    w != but && !w->info.draining)
				return true;
		}
	return false;
}

/*
 * A lasting task on a draining worker ends anyway, but not while a stop that
 * the budget allowed is under way: it would come after this one.
 */
static bool may_drain(struct seam_board *b, const struct seam_worker *w,
		      const struct seam_job *j, int step)
{
	return !j->row.spec.step[step].may_miss ||
	       seam_now(b->clock) > w->drains_at + DRAIN_WAIT ||
	       !stop_under_way(b, w, j, step);
}

static int64_t left_ms(const struct seam_step *s, const struct seam_run_slot *r)
{
	return s->estimate_ms * (100 - r->percent) / 100;
}

/* Whether a run is to be stopped because its worker leaves. */
static bool must_stop(struct seam_board *b, const struct seam_worker *w,
		      const struct seam_job *j, int step, int task,
		      const struct seam_run_slot *r)
{
	const struct seam_step *s = &j->row.spec.step[step];

	if (s->lasting)
		return w->info.draining ? may_drain(b, w, j, step) :
					  may_take_away(b, j, step, task);
	/* A stop saves the work of a task that can. */
	if (!s->checkpoints)
		return false;
	if (w->info.draining)
		return left_ms(s, r) + SPARE_MS > w->info.leaves_ms;
	return left_ms(s, r) > SPARE_MS;
}

static void empty_run(struct seam_worker *w, const struct board_run_at *at,
		      void *arg)
{
	struct seam_board *b = w->board;

	(void)arg;
	if (at->run->stop ||
	    !must_stop(b, w, at->job, at->step, at->task, at->run))
		return;
	seam_log(SEAM_INFO, "worker",
		 "event=task_taken_off worker=%s job=%s step=%d task=%d "
		 "run=%lld draining=%d",
		 w->info.id, at->job->row.spec.id, at->step, at->task,
		 (long long)at->run->number, w->info.draining);
	board_run_stop(b, at->job, at->step, at->task, at->run);
}

void board_empty_workers(struct seam_board *b)
{
	struct seam_handle h = SEAM_NONE;
	struct seam_worker *w;

	/* Draining ones first: what they take away counts for the others. */
	while ((w = seam_table_next(b->workers, &h)))
		if (w->info.draining && !w->dead)
			board_each_run(w, empty_run, NULL);
	h = SEAM_NONE;
	while ((w = seam_table_next(b->workers, &h)))
		if (w->leaving && !w->info.draining && !w->dead)
			board_each_run(w, empty_run, NULL);
}
