#include "process/scheduler_demand.h"

#include <string.h>

struct seam_pool_demand *scheduler_demand_of(GArray *demands, const char *pool)
{
	struct seam_pool_demand *d;
	guint i;

	for (i = 0; i < demands->len; i++) {
		d = &g_array_index(demands, struct seam_pool_demand, i);
		if (!strcmp(d->pool, pool))
			return d;
	}
	g_array_set_size(demands, demands->len + 1);
	d = &g_array_index(demands, struct seam_pool_demand, demands->len - 1);
	memset(d, 0, sizeof(*d));
	g_strlcpy(d->pool, pool, sizeof(d->pool));
	d->due_needs = g_array_new(FALSE, FALSE, sizeof(struct seam_vm_need));
	d->all_needs = g_array_new(FALSE, FALSE, sizeof(struct seam_vm_need));
	d->vms = g_array_new(FALSE, FALSE, sizeof(struct seam_vm_space));
	return d;
}

static void add_need(struct seam_pool_demand *d, const struct seam_step *s,
		     int64_t count, bool due)
{
	struct seam_vm_need n = {.need = scheduler_step_need(s),
				 .count = count};

	if (!count)
		return;
	g_array_append_val(d->all_needs, n);
	if (due)
		g_array_append_val(d->due_needs, n);
}

static void add_step(struct seam_pool_demand *d, bool due,
		     const struct seam_job *j, int step)
{
	const struct seam_step *s = &j->row.spec.step[step];
	struct seam_resources need = scheduler_step_need(s);
	struct seam_resources *load = due ? &d->due : &d->late;
	int64_t waiting = 0;
	int64_t n = 0;
	int64_t t;

	for (t = 0; t < s->tasks; t++) {
		int runs = scheduler_task_runs(&j->task[step][t]);

		/* A waiting task will need the capacity of one run. */
		n += runs || j->row.done[step][t] ? runs : 1;
		waiting += !runs && !j->row.done[step][t];
	}
	/* Tasks that end soon leave their VM; lasting ones stay on it. */
	add_need(d, s, s->lasting ? waiting : n, due);
	load->cpu += n * need.cpu;
	load->memory += n * need.memory;
	load->gpu += n * need.gpu;
	if (s->lasting && s->per_worker) {
		int spread =
			(int)((s->tasks + s->per_worker - 1) / s->per_worker);

		if (spread > d->spread)
			d->spread = spread;
	}
}

GArray *scheduler_demands(struct seam_scheduler *sched)
{
	GArray *a = g_array_new(FALSE, FALSE, sizeof(struct seam_pool_demand));
	seam_time now = seam_now(sched->clock);
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_job *j;
	int i;

	while ((j = seam_table_next(sched->jobs, &h))) {
		struct seam_pool_demand *d =
			scheduler_demand_of(a, j->row.spec.pool);
		struct seam_urgency u;
		bool due;

		if (seam_job_finished(j->row.state))
			continue;
		scheduler_job_urgency(j, &u);
		due = !seam_urgency_late(&u, now);
		for (i = 0; i < j->row.spec.steps; i++)
			if (j->left[i] && scheduler_step_is_ready(j, i))
				add_step(d, due, j, i);
	}
	return a;
}

void scheduler_demands_free(GArray *demands)
{
	guint i;

	for (i = 0; i < demands->len; i++) {
		struct seam_pool_demand *d =
			&g_array_index(demands, struct seam_pool_demand, i);

		g_array_free(d->due_needs, TRUE);
		g_array_free(d->all_needs, TRUE);
		g_array_free(d->vms, TRUE);
	}
	g_array_free(demands, TRUE);
}

static bool stays(const struct scheduler_run_ref *at)
{
	return at->job->row.spec.step[at->step].lasting &&
	       !seam_job_finished(at->job->row.state);
}

static void take_lasting(struct seam_worker *w,
			 const struct scheduler_run_ref *at, void *arg)
{
	struct seam_resources need =
		scheduler_step_need(&at->job->row.spec.step[at->step]);
	struct seam_vm_space *v = arg;

	(void)w;
	if (!stays(at))
		return;
	v->free.cpu -= need.cpu;
	v->free.memory -= need.memory;
	v->free.gpu -= need.gpu;
	v->fixed = true;
}

void scheduler_demand_add_vm(GArray *demands, const char *pool,
			     const struct seam_resources *capacity,
			     struct seam_worker *w)
{
	struct seam_vm_space v = {.free = *capacity};

	if (w)
		scheduler_for_each_run(w, take_lasting, &v);
	g_array_append_val(scheduler_demand_of(demands, pool)->vms, v);
}

static void add_leaving(struct seam_worker *w,
			const struct scheduler_run_ref *at, void *arg)
{
	GArray *demands = arg;
	const struct seam_jobspec *spec = &at->job->row.spec;

	(void)w;
	if (stays(at))
		add_need(scheduler_demand_of(demands, spec->pool),
			 &spec->step[at->step], 1, true);
}

void scheduler_demand_add_leaving(GArray *demands, struct seam_worker *w)
{
	scheduler_for_each_run(w, add_leaving, demands);
}
