/* VMs that are no room of their pool: they take no tasks or lack a label. */
#include "process/scheduler_impl.h"
#include "process/vm_plan.h"

#include <string.h>

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

static int index_of_pool(GPtrArray *pools, const char *name)
{
	guint i;

	for (i = 0; i < pools->len; i++)
		if (!strcmp(g_ptr_array_index(pools, i), name))
			return (int)i;
	return -1;
}

static bool is_label_of(const struct seam_vm_info *vm, const char *label)
{
	int i;

	for (i = 0; i < vm->labels; i++)
		if (!strcmp(vm->label[i], label))
			return true;
	return false;
}

/* Returns the bit of a label; sets it for the VMs that have the label. */
static uint64_t add_bit(struct seam_scheduler *sched, struct seam_plan *plan,
			const char **names, const char *label)
{
	size_t k;
	size_t i;

	for (k = 0; k < SEAM_PLAN_LABELS_MAX && names[k]; k++)
		if (!strcmp(names[k], label))
			return UINT64_C(1) << k;
	if (k == SEAM_PLAN_LABELS_MAX)
		return 0;
	names[k] = label;
	for (i = 0; i < plan->vms; i++)
		if (is_label_of(&sched->vm[i], label))
			plan->vm[i].labels |= UINT64_C(1) << k;
	return UINT64_C(1) << k;
}

static void add_label(struct seam_plan *plan, int pool, uint64_t bit)
{
	size_t i;

	for (i = 0; i < plan->labels; i++)
		if (plan->label[i].pool == pool && plan->label[i].bit == bit)
			return;
	if (bit && pool >= 0 && plan->labels < SEAM_PLAN_LABELS_MAX)
		plan->label[plan->labels++] =
			(struct seam_plan_label){.pool = pool, .bit = bit};
}

void scheduler_describe_labels(struct seam_scheduler *sched,
			       struct seam_plan *plan, GPtrArray *pools)
{
	const char *names[SEAM_PLAN_LABELS_MAX] = {NULL};
	struct seam_handle h = SEAM_HANDLE_NONE;
	const struct seam_job *j;
	int i;

	while ((j = seam_table_next(sched->jobs, &h)))
		for (i = 0; i < j->row.spec.steps; i++) {
			const char *label = j->row.spec.step[i].label;

			if (!*label || !j->idle[i] ||
			    seam_job_finished(j->row.state) ||
			    !scheduler_step_is_ready(j, i))
				continue;
			add_label(plan, index_of_pool(pools, j->row.spec.pool),
				  add_bit(sched, plan, names, label));
		}
}
