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
	d->held = g_array_new(FALSE, FALSE, sizeof(struct seam_vm_held));
	return d;
}

/* Identifies a step among all jobs. */
static uint64_t step_key(const struct seam_job *j, int step)
{
	return (uint64_t)j->self.bits * SEAM_STEPS_MAX + (uint64_t)step;
}

static void add_need(struct seam_pool_demand *d, const struct seam_job *j,
		     int step, int64_t count, bool due)
{
	const struct seam_step *s = &j->row.spec.step[step];
	struct seam_vm_need n = {.need = scheduler_step_need(s),
				 .count = count,
				 .per_vm = s->per_worker,
				 .step = s->per_worker ? step_key(j, step) : 0};

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
	add_need(d, j, step, s->lasting ? waiting : n, due);
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
		g_array_free(d->held, TRUE);
	}
	g_array_free(demands, TRUE);
}

static bool stays(const struct scheduler_run_ref *at)
{
	return at->job->row.spec.step[at->step].lasting &&
	       !seam_job_finished(at->job->row.state);
}

/* A VM that is added to the demand of its pool. */
struct added_vm {
	struct seam_pool_demand *demand;
	struct seam_vm_space space;
};

/* Counts a task of a step that limits how many share a VM. */
static void add_held(struct seam_pool_demand *d, uint64_t step)
{
	struct seam_vm_held new = {.vm = d->vms->len, .step = step, .count = 1};
	guint i;

	for (i = d->held->len; i; i--) {
		struct seam_vm_held *h =
			&g_array_index(d->held, struct seam_vm_held, i - 1);

		if (h->vm != new.vm)
			break;
		if (h->step == step) {
			h->count++;
			return;
		}
	}
	g_array_append_val(d->held, new);
}

static void take_lasting(struct seam_worker *w,
			 const struct scheduler_run_ref *at, void *arg)
{
	const struct seam_step *s = &at->job->row.spec.step[at->step];
	struct seam_resources need = scheduler_step_need(s);
	struct added_vm *a = arg;

	(void)w;
	if (!stays(at))
		return;
	a->space.free.cpu -= need.cpu;
	a->space.free.memory -= need.memory;
	a->space.free.gpu -= need.gpu;
	a->space.fixed = true;
	if (s->per_worker)
		add_held(a->demand, step_key(at->job, at->step));
}

void scheduler_demand_add_vm(GArray *demands, const char *pool,
			     const struct seam_resources *capacity,
			     struct seam_worker *w)
{
	struct added_vm a = {.demand = scheduler_demand_of(demands, pool),
			     .space = {.free = *capacity}};

	if (w)
		scheduler_for_each_run(w, take_lasting, &a);
	g_array_append_val(a.demand->vms, a.space);
}

static void add_leaving(struct seam_worker *w,
			const struct scheduler_run_ref *at, void *arg)
{
	GArray *demands = arg;
	const char *pool = at->job->row.spec.pool;

	(void)w;
	if (stays(at))
		add_need(scheduler_demand_of(demands, pool), at->job, at->step,
			 1, true);
}

void scheduler_demand_add_leaving(GArray *demands, struct seam_worker *w)
{
	scheduler_for_each_run(w, add_leaving, demands);
}
