/* What may be started, and where there is room: counts that are kept with each
 * change, so that a pass looks at no job or worker that stays as it is. */
#include "process/board_impl.h"

/* A start that waits longer is with a worker that does not answer. */
#define START_FRESH (300 * SEAM_MSEC)

bool board_task_idle(const struct seam_job *j, int step, int64_t task)
{
	return !j->row.done[step][task] &&
	       !board_task_runs(&j->task[step][task]);
}

/* Counts the tasks of a job anew. */
void board_job_count(struct seam_job *j)
{
	int64_t t;
	int i;

	for (i = 0; i < j->row.spec.steps; i++) {
		j->left[i] = 0;
		j->idle[i] = 0;
		j->first_idle[i] = 0;
		for (t = 0; t < j->row.spec.step[i].tasks; t++) {
			j->left[i] += !j->row.done[i][t];
			j->idle[i] += board_task_idle(j, i, t);
		}
	}
}

/* Its tasks, its urgency or its state has changed. */
void board_job_touch(struct seam_board *b, struct seam_job *j)
{
	if (j->touched)
		return;
	j->touched = true;
	g_array_append_val(b->touched, j->self);
}

/* Tasks that may be started, and the least processors that one needs. */
static int64_t count_waiting(const struct seam_job *j, int64_t *cpu)
{
	int64_t n = 0;
	int i;

	*cpu = INT64_MAX;
	if (seam_job_over(j->row.state))
		return 0;
	for (i = 0; i < j->row.spec.steps; i++) {
		struct seam_amount need;

		if (!j->idle[i] || !board_step_open(j, i))
			continue;
		need = board_step_need(&j->row.spec.step[i]);
		if (need.cpu < *cpu)
			*cpu = need.cpu;
		n += j->idle[i];
	}
	return n;
}

static void place(struct seam_board *b, struct seam_job *j, seam_time now)
{
	struct seam_urgency_key key;
	struct seam_urgency u;
	int64_t cpu;
	int64_t n = count_waiting(j, &cpu);

	b->waiting += n - j->waiting;
	j->waiting = n;
	if (!n) {
		seam_backlog_remove(b->backlog, j->self);
		board_job_held(j, SEAM_HELD_NONE, now);
		return;
	}
	/* Until a pass comes to it, it waits for its turn. */
	if (j->held_by == SEAM_HELD_NONE)
		board_job_held(j, SEAM_HELD_TURN, now);
	board_job_urgency(j, &u);
	key = seam_urgency_key_of(&u, now, b->crowded);
	seam_backlog_put(b->backlog, j->self, j->row.spec.pool, &key, cpu);
}

/* The job leaves the table. */
void board_job_forget(struct seam_board *b, struct seam_job *j)
{
	b->waiting -= j->waiting;
	seam_backlog_remove(b->backlog, j->self);
}

static void touch_all(struct seam_board *b)
{
	struct seam_handle h = SEAM_NONE;
	struct seam_job *j;

	while ((j = seam_table_next(b->jobs, &h)))
		board_job_touch(b, j);
}

/* Puts each job where it belongs at this time. */
void board_backlog_refresh(struct seam_board *b, seam_time now)
{
	struct seam_handle h;
	struct seam_job *j;
	guint i;

	if (b->crowded != b->backlog_crowded)
		touch_all(b);
	b->backlog_crowded = b->crowded;
	for (i = 0; i < b->touched->len; i++) {
		j = board_job(b,
			      g_array_index(b->touched, struct seam_handle, i));
		if (!j)
			continue;
		j->touched = false;
		place(b, j, now);
	}
	g_array_set_size(b->touched, 0);
	while (seam_backlog_stale(b->backlog, now, &h))
		place(b, board_job(b, h), now);
}

/* What the worker has reserved has changed. */
void board_worker_room(struct seam_worker *w)
{
	seam_rooms_set(w->board->rooms, w->self,
		       w->info.capacity.cpu - w->used.cpu);
}

/* A start is under way on @w. */
void board_start_sent(struct seam_board *b, struct seam_worker *w,
		      const struct seam_task_ref *ref, struct seam_run_slot *r)
{
	struct seam_sent_start *s;

	if (w->lane < 0)
		return;
	r->counted = w->lane;
	b->lane[w->lane].starting++;
	b->starting++;
	s = g_new(struct seam_sent_start, 1);
	*s = (struct seam_sent_start){*ref, r->number, r->sent_at};
	g_queue_push_tail(&b->sent, s);
}

/* The start was answered, or is waited for no longer. */
void board_start_over(struct seam_board *b, struct seam_run_slot *r)
{
	if (r->counted < 0)
		return;
	b->lane[r->counted].starting--;
	b->starting--;
	r->counted = -1;
}

static void expire(struct seam_board *b, const struct seam_sent_start *s)
{
	struct seam_job *j = board_job(b, s->ref.job);
	int i;

	for (i = 0; j && i < SEAM_COPIES; i++) {
		struct seam_run_slot *r =
			&j->task[s->ref.step][s->ref.task].run[i];

		if (r->state == SEAM_RUN_SENT && r->number == s->run)
			board_start_over(b, r);
	}
}

/* Starts with workers that do not answer count no longer. */
void board_starts_expire(struct seam_board *b, seam_time now)
{
	struct seam_sent_start *s;

	while ((s = g_queue_peek_head(&b->sent)) &&
	       now >= s->at + START_FRESH) {
		expire(b, s);
		g_free(g_queue_pop_head(&b->sent));
	}
}
