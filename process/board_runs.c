#include "process/board_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A stop without an answer is sent again after this time. */
#define STOP_RETRY (400 * SEAM_MSEC)
/* A stop that waits longer for its connection is queued anew. */
#define STOP_QUEUE (2 * SEAM_SEC)

/* Filling tasks take processor time that others leave, so they reserve none. */
struct seam_amount board_step_need(const struct seam_step *s)
{
	struct seam_amount a = s->need;

	if (s->fills)
		a.cpu = 0;
	return a;
}

void board_task_name(const struct seam_job *j, int step, int task,
		     char name[SEAM_TASK_NAME])
{
	snprintf(name, SEAM_TASK_NAME, "%s.0.%d.%d", j->row.spec.id, step,
		 task);
}

bool board_task_parse(struct seam_board *b, const char *name,
		      struct seam_job **j, int *step, int *task)
{
	char id[SEAM_JOB_ID];
	int repeat;

	if (sscanf(name, "%16[0-9a-f].%d.%d.%d", id, &repeat, step, task) != 4)
		return false;
	*j = board_find_job(b, id);
	return *j && *step >= 0 && *step < (*j)->row.spec.steps && *task >= 0 &&
	       *task < (*j)->row.spec.step[*step].tasks;
}

int board_task_runs(const struct seam_job_task *t)
{
	int n = 0;
	int i;

	for (i = 0; i < SEAM_COPIES; i++)
		n += t->run[i].state != SEAM_RUN_FREE;
	return n;
}

struct seam_run_slot *board_run_find(struct seam_job *j, int step, int task,
				     struct seam_handle worker, int64_t number)
{
	struct seam_job_task *t = &j->task[step][task];
	int i;

	for (i = 0; i < SEAM_COPIES; i++)
		if (t->run[i].state != SEAM_RUN_FREE &&
		    t->run[i].number == number &&
		    seam_handle_eq(t->run[i].worker, worker))
			return &t->run[i];
	return NULL;
}

static void add(struct seam_amount *sum, const struct seam_amount *a, int sign)
{
	sum->cpu += sign * a->cpu;
	sum->memory += sign * a->memory;
	sum->gpu += sign * a->gpu;
}

void board_run_set_state(struct seam_board *b, struct seam_run_slot *r,
			 int state)
{
	board_start_over(b, r);
	r->state = state;
}

struct seam_run_slot *board_run_add(struct seam_board *b, struct seam_job *j,
				    int step, int task, struct seam_worker *w,
				    int64_t number, int state)
{
	struct seam_task_ref ref = {j->self, step, task};
	struct seam_amount need = board_step_need(&j->row.spec.step[step]);
	struct seam_job_task *t = &j->task[step][task];
	seam_time now = seam_now(b->clock);
	int i;

	for (i = 0; i < SEAM_COPIES; i++)
		if (t->run[i].state == SEAM_RUN_FREE)
			break;
	if (i == SEAM_COPIES)
		return NULL;
	j->idle[step] -= board_task_idle(j, step, task);
	t->run[i] = (struct seam_run_slot){.state = state,
					   .worker = w->self,
					   .number = number,
					   .sent_at = now,
					   .live_at = now,
					   .stopped_at = SEAM_NEVER,
					   .counted = -1};
	if (state == SEAM_RUN_SENT)
		board_start_sent(b, w, &ref, &t->run[i]);
	g_array_append_val(w->ref, ref);
	add(&w->used, &need, 1);
	add(j->used, &j->row.spec.step[step].need, 1);
	board_worker_room(w);
	j->runs++;
	j->begun = true;
	board_job_touch(b, j);
	if (!j->first_start_at)
		j->first_start_at = now;
	return &t->run[i];
}

void board_run_drop(struct seam_board *b, struct seam_job *j, int step,
		    int task, struct seam_run_slot *r)
{
	struct seam_worker *w = board_worker(b, r->worker);
	struct seam_amount need = board_step_need(&j->row.spec.step[step]);
	guint i;

	board_run_set_state(b, r, SEAM_RUN_FREE);
	j->runs--;
	if (board_task_idle(j, step, task)) {
		j->idle[step]++;
		if (task < j->first_idle[step])
			j->first_idle[step] = task;
	}
	add(j->used, &j->row.spec.step[step].need, -1);
	board_job_touch(b, j);
	board_wake_pass(b);
	if (!w)
		return;
	add(&w->used, &need, -1);
	board_worker_room(w);
	for (i = 0; i < w->ref->len; i++) {
		struct seam_task_ref *t =
			&g_array_index(w->ref, struct seam_task_ref, i);

		if (seam_handle_eq(t->job, j->self) && t->step == step &&
		    t->task == task) {
			g_array_remove_index_fast(w->ref, i);
			break;
		}
	}
}

void board_each_run(struct seam_worker *w,
		    void (*fn)(struct seam_worker *w,
			       const struct board_run_at *at, void *arg),
		    void *arg)
{
	struct seam_board *b = w->board;
	guint i;
	int k;

	for (i = w->ref->len; i-- > 0;) {
		struct seam_task_ref ref;
		struct seam_job *j;

		/* A job that is dropped takes several. */
		if (i >= w->ref->len)
			continue;
		ref = g_array_index(w->ref, struct seam_task_ref, i);
		j = board_job(b, ref.job);
		for (k = 0; j && k < SEAM_COPIES; k++) {
			struct board_run_at at = {
				j, ref.step, ref.task,
				&j->task[ref.step][ref.task].run[k]};

			if (at.run->state != SEAM_RUN_FREE &&
			    seam_handle_eq(at.run->worker, w->self))
				fn(w, &at, arg);
		}
		if (j && board_job_droppable(j))
			board_job_drop(b, j);
	}
}

void board_order(struct seam_worker *w, const struct seam_order *o)
{
	struct seam_order *copy = g_memdup2(o, sizeof(*o));

	/* A stop frees room that a start may wait for. */
	if (o->kind == SEAM_ORDER_STOP)
		g_queue_push_head(&w->orders, copy);
	else
		g_queue_push_tail(&w->orders, copy);
	board_lane_wake(w);
}

/* Orders that have not been answered. */
size_t board_orders(const struct seam_worker *w)
{
	return w->orders.length + w->sent.length;
}

void board_drop_orders(struct seam_worker *w)
{
	g_queue_clear_full(&w->orders, g_free);
	g_queue_clear_full(&w->sent, g_free);
}

void board_run_stop(struct seam_board *b, struct seam_job *j, int step,
		    int task, struct seam_run_slot *r)
{
	struct seam_worker *w = board_worker(b, r->worker);
	seam_time now = seam_now(b->clock);
	struct seam_order o = {.kind = SEAM_ORDER_STOP,
			       .ref = {j->self, step, task},
			       .run = r->number,
			       .deadline = now + STOP_QUEUE};

	if (r->stop && now < r->stop_next)
		return;
	r->stop = true;
	r->stop_next = now + STOP_RETRY;
	if (!w || r->stopped_at != SEAM_NEVER)
		return;
	board_task_name(j, step, task, o.name);
	board_order(w, &o);
}
