#include "process/scheduler_demand.h"

#include <string.h>

static struct seam_pool_demand *find_or_add_demand(GArray *a, const char *pool)
{
	struct seam_pool_demand *d;
	guint i;

	for (i = 0; i < a->len; i++) {
		d = &g_array_index(a, struct seam_pool_demand, i);
		if (!strcmp(d->pool, pool))
			return d;
	}
	g_array_set_size(a, a->len + 1);
	d = &g_array_index(a, struct seam_pool_demand, a->len - 1);
	memset(d, 0, sizeof(*d));
	g_strlcpy(d->pool, pool, sizeof(d->pool));
	return d;
}

static void add_step(struct seam_pool_demand *d, struct seam_resources *load,
		     const struct seam_job *j, int step)
{
	const struct seam_step *s = &j->row.spec.step[step];
	struct seam_resources need = scheduler_step_need(s);
	int64_t n = 0;
	int64_t t;

	for (t = 0; t < s->tasks; t++) {
		int runs = scheduler_task_runs(&j->task[step][t]);

		/* A waiting task will need the capacity of one run. */
		n += runs || j->row.done[step][t] ? runs : 1;
	}
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
			find_or_add_demand(a, j->row.spec.pool);
		struct seam_urgency u;
		struct seam_resources *load;

		if (seam_job_finished(j->row.state))
			continue;
		scheduler_job_urgency(j, &u);
		load = seam_urgency_late(&u, now) ? &d->late : &d->due;
		for (i = 0; i < j->row.spec.steps; i++)
			if (j->left[i] && scheduler_step_is_ready(j, i))
				add_step(d, load, j, i);
	}
	return a;
}
