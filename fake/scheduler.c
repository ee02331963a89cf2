#include "fake/scheduler.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LANE_STARTS 64
#define WORKERS_PER_LANE 40
#define WORKERS_PER_RACK 12
#define DATA_CENTRES 3
#define WORKSPACES 20

void seam_fake_scheduler_add_worker(struct seam_fake_scheduler *f)
{
	struct seam_worker_info info = {
		.capacity = {SEAM_FAKE_WORKER_CPU, 128000, 0}, .labels = 2};
	int i = f->workers++;
	struct seam_worker *w;

	snprintf(info.id, sizeof(info.id), "w%d", i);
	snprintf(info.addr, sizeof(info.addr), "127.0.0.1:%d", i);
	snprintf(info.pool, sizeof(info.pool), "pool-%d", i % SEAM_FAKE_POOLS);
	snprintf(info.dc, sizeof(info.dc), "dc-%d", i % DATA_CENTRES);
	snprintf(info.label[0], SEAM_NAME_SIZE, "kind-a");
	snprintf(info.label[1], SEAM_NAME_SIZE, "rack-%d",
		 i / WORKERS_PER_RACK);
	scheduler_worker_add(f->sched, &info);
	w = scheduler_find_worker(f->sched, info.id);
	w->contacted = true;
	scheduler_worker_update_index(w);
	w->answered = true;
	scheduler_lane_add(w, i / WORKERS_PER_LANE % SEAM_LANES_MAX);
}

void seam_fake_scheduler_init(struct seam_fake_scheduler *f, int workers)
{
	int i;

	memset(f, 0, sizeof(*f));
	f->sched = scheduler_new();
	if (!f->sched)
		abort();
	f->sched->clock = seam_clock_boot();
	f->sched->op_state = &f->ops;
	f->sched->catalog = &f->catalog;
	f->sched->election = &f->election;
	f->sched->term = 1;
	pthread_mutex_init(&f->ops.lock, NULL);
	f->ops.evacuated = g_hash_table_new(g_str_hash, g_str_equal);
	for (i = 0; i < SEAM_LANES_MAX; i++) {
		f->sched->lane[i].sched = f->sched;
		seam_start_window_init(&f->sched->lane[i].window, LANE_STARTS,
				       LANE_STARTS, LANE_STARTS);
		seam_cond_init(&f->sched->lane[i].wake);
		f->sched->lane[i].drops =
			g_array_new(FALSE, FALSE, sizeof(uint32_t));
		f->sched->lane[i].served =
			g_array_new(FALSE, FALSE, sizeof(struct seam_handle));
	}
	f->sched->lanes = SEAM_LANES_MAX;
	for (i = 0; i < workers; i++)
		seam_fake_scheduler_add_worker(f);
}

void seam_fake_scheduler_clear(struct seam_fake_scheduler *f)
{
	int i;

	for (i = 0; i < SEAM_LANES_MAX; i++) {
		pthread_cond_destroy(&f->sched->lane[i].wake);
		g_array_free(f->sched->lane[i].drops, TRUE);
		g_array_free(f->sched->lane[i].served, TRUE);
	}
	scheduler_workers_close(f->sched);
	scheduler_free(f->sched);
	g_hash_table_destroy(f->ops.evacuated);
	pthread_mutex_destroy(&f->ops.lock);
}

void seam_fake_scheduler_add_job(struct seam_fake_scheduler *f, int tasks,
				 int64_t cpu, int64_t ms, int rack)
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
	snprintf(r.spec.queue, SEAM_NAME_SIZE, "queue");
	snprintf(r.spec.pool, SEAM_NAME_SIZE, "pool-%d",
		 (int)(f->jobs % SEAM_FAKE_POOLS));
	snprintf(r.spec.workspace, SEAM_NAME_SIZE, "workspace-%d",
		 (int)(f->jobs % WORKSPACES));
	if (rack >= 0)
		snprintf(step.rack, SEAM_NAME_SIZE, "rack-%d", rack);
	if (seam_jobrow_alloc_done(&r))
		abort();
	seam_jobrow_key(r.spec.id, row.key);
	row.data = seam_jobrow_serialize(&r);
	row.len = strlen(row.data);
	scheduler_job_add(f->sched, &row, false);
	free(row.data);
	free(r.done[0]);
	free(r.done);
}

static void ack_run(struct seam_worker *w, const struct scheduler_run_ref *at,
		    void *arg)
{
	int *runs = arg;

	++*runs;
	if (at->run->state == SEAM_RUN_SENT)
		scheduler_run_set_state(w->sched, at->run, SEAM_RUN_RUNNING);
}

int seam_fake_scheduler_ack_orders(struct seam_fake_scheduler *f)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_worker *w;
	int runs = 0;

	while ((w = seam_table_next(f->sched->workers, &h))) {
		scheduler_drop_orders(w);
		scheduler_for_each_run(w, ack_run, &runs);
	}
	return runs;
}

bool seam_fake_scheduler_end_run(struct seam_fake_scheduler *f,
				 struct seam_worker *w)
{
	struct seam_task_ref r;
	struct seam_job_task_state *t;
	struct seam_job *j;
	int i;

	if (!w->task_refs->len)
		return false;
	r = g_array_index(w->task_refs, struct seam_task_ref, 0);
	j = scheduler_job(f->sched, r.job);
	t = &j->task[r.step][r.task];
	scheduler_task_done(f->sched, j, r.step, r.task);
	for (i = 0; i < SEAM_TASK_RUNS_MAX; i++)
		if (t->run[i].state != SEAM_RUN_FREE &&
		    seam_handle_eq(t->run[i].worker, w->self)) {
			scheduler_run_drop(f->sched, j, r.step, r.task,
					   &t->run[i]);
			break;
		}
	if (j->left[r.step] || j->runs)
		return true;
	j->row.state = SEAM_JOB_COMPLETED;
	j->committed = j->changes;
	scheduler_job_drop(f->sched, j);
	return true;
}
