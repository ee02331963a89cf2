#include "fake/board.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WORKERS_A_LANE 40
#define WORKERS_A_RACK 12
#define DCS 3
#define WORKSPACES 20

void seam_fake_board_worker(struct seam_fake_board *f)
{
	struct seam_worker_info info = {
		.capacity = {SEAM_FAKE_WORKER_CPU, 128000, 0}, .labels = 2};
	int i = f->workers++;
	struct seam_worker *w;

	snprintf(info.id, sizeof(info.id), "w%d", i);
	snprintf(info.addr, sizeof(info.addr), "127.0.0.1:%d", i);
	snprintf(info.pool, sizeof(info.pool), "pool-%d", i % SEAM_FAKE_POOLS);
	snprintf(info.dc, sizeof(info.dc), "dc-%d", i % DCS);
	snprintf(info.label[0], SEAM_NAME, "kind-a");
	snprintf(info.label[1], SEAM_NAME, "rack-%d", i / WORKERS_A_RACK);
	board_worker_add(f->board, &info);
	w = board_worker_of(f->board, info.id);
	w->heard = true;
	w->answered = true;
	w->lane = i / WORKERS_A_LANE % SEAM_LANES_MAX;
}

void seam_fake_board_init(struct seam_fake_board *f, int workers)
{
	int i;

	memset(f, 0, sizeof(*f));
	f->board = board_new();
	if (!f->board)
		abort();
	f->board->clock = seam_clock_boot();
	f->board->op_state = &f->ops;
	f->board->catalog = &f->catalog;
	f->board->lead = &f->lead;
	f->board->term = 1;
	pthread_mutex_init(&f->ops.lock, NULL);
	f->ops.out = g_hash_table_new(g_str_hash, g_str_equal);
	for (i = 0; i < SEAM_LANES_MAX; i++) {
		f->board->lane[i].board = f->board;
		seam_cond_init(&f->board->lane[i].wake);
		f->board->lane[i].drops =
			g_array_new(FALSE, FALSE, sizeof(uint32_t));
	}
	f->board->lanes = SEAM_LANES_MAX;
	for (i = 0; i < workers; i++)
		seam_fake_board_worker(f);
}

void seam_fake_board_clear(struct seam_fake_board *f)
{
	int i;

	for (i = 0; i < SEAM_LANES_MAX; i++) {
		pthread_cond_destroy(&f->board->lane[i].wake);
		g_array_free(f->board->lane[i].drops, TRUE);
	}
	board_workers_close(f->board);
	board_free(f->board);
	g_hash_table_destroy(f->ops.out);
	pthread_mutex_destroy(&f->ops.lock);
}

void seam_fake_board_job(struct seam_fake_board *f, int tasks, int64_t cpu,
			 int64_t ms, int rack)
{
	struct seam_step step = {
		.tasks = tasks, .need = {cpu, 1000, 0}, .estimate_ms = ms};
	struct seam_jobrow r = {.spec = {.attempts = 3,
					 .text = (char *)"text",
					 .step = &step,
					 .steps = 1}};
	struct seam_row row = {.version = 1};

	snprintf(r.spec.id, sizeof(r.spec.id), "%016llx",
		 (unsigned long long)++f->jobs);
	snprintf(r.spec.queue, SEAM_NAME, "queue");
	snprintf(r.spec.pool, SEAM_NAME, "pool-%d",
		 (int)(f->jobs % SEAM_FAKE_POOLS));
	snprintf(r.spec.workspace, SEAM_NAME, "workspace-%d",
		 (int)(f->jobs % WORKSPACES));
	if (rack >= 0)
		snprintf(step.rack, SEAM_NAME, "rack-%d", rack);
	if (seam_jobrow_new_done(&r))
		abort();
	seam_jobrow_key(r.spec.id, row.key);
	row.data = seam_jobrow_text(&r);
	row.len = strlen(row.data);
	board_job_add(f->board, &row, false);
	free(row.data);
	free(r.done[0]);
	free(r.done);
}

static void answer_run(struct seam_worker *w, const struct board_run_at *at,
		       void *arg)
{
	int *runs = arg;

	++*runs;
	if (at->run->state == SEAM_RUN_SENT)
		board_run_set_state(w->board, at->run, SEAM_RUN_LIVE);
}

int seam_fake_board_answer(struct seam_fake_board *f)
{
	struct seam_handle h = SEAM_NONE;
	struct seam_worker *w;
	int runs = 0;

	while ((w = seam_table_next(f->board->workers, &h))) {
		board_drop_orders(w);
		board_each_run(w, answer_run, &runs);
	}
	return runs;
}

bool seam_fake_board_end(struct seam_fake_board *f, struct seam_worker *w)
{
	struct seam_task_ref r;
	struct seam_job_task *t;
	struct seam_job *j;
	int i;

	if (!w->ref->len)
		return false;
	r = g_array_index(w->ref, struct seam_task_ref, 0);
	j = board_job(f->board, r.job);
	t = &j->task[r.step][r.task];
	board_task_done(f->board, j, r.step, r.task);
	for (i = 0; i < SEAM_COPIES; i++)
		if (t->run[i].state != SEAM_RUN_FREE &&
		    seam_handle_eq(t->run[i].worker, w->self)) {
			board_run_drop(f->board, j, r.step, r.task, &t->run[i]);
			break;
		}
	if (j->left[r.step] || j->runs)
		return true;
	j->row.state = SEAM_JOB_COMPLETED;
	j->committed = j->changes;
	board_job_drop(f->board, j);
	return true;
}
