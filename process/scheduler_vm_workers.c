/*
 * Compares the VM list with the workers that do not answer: the platform sees
 * their VMs over another path.
 */
#include "process/scheduler_impl.h"
#include "base/log.h"

#include <string.h>

/* A VM that as many complete lists do not have any more has been removed. */
#define UNLISTED_MIN 2

static const char *state_name(const struct seam_vm_info *vm)
{
	static const char *const name[] = {
		[SEAM_PHASE_UP] = "up",
		[SEAM_PHASE_MOVING] = "moving",
		[SEAM_PHASE_MAINTENANCE] = "maintenance",
		[SEAM_PHASE_DOWN] = "down",
		[SEAM_PHASE_UNKNOWN] = "unknown",
	};

	return vm ? name[vm->state] : "unlisted";
}

/* Returns when the process of @w was last known to run, or its row was found.
 */
static seam_time known_at(const struct seam_worker *w)
{
	return w->heard_at > w->found_at ? w->heard_at : w->found_at;
}

/* Logs what the list shows in place of @w, unless it showed that before. */
static void log_change(struct seam_worker *w, const struct seam_vm_info *vm)
{
	const char *listed = vm ? vm->worker : "";
	const char *state = state_name(vm);

	if (state == w->listed_state && !strcmp(listed, w->listed_worker))
		return;
	w->listed_state = state;
	g_strlcpy(w->listed_worker, listed, sizeof(w->listed_worker));
	if (vm && vm->state == SEAM_PHASE_UP && !strcmp(listed, w->info.id))
		return;
	seam_log(SEAM_INFO, "vms",
		 "event=vm_worker_changed vm=%s worker=%s listed_worker=%s "
		 "state=%s silent_ms=%lld runs=%u",
		 w->info.vm, w->info.id, listed, state,
		 (long long)(seam_now(w->sched->clock) - known_at(w)) /
			 SEAM_MSEC,
		 w->task_refs->len);
}

/*
 * Whether the list tells what has become of @w, which does not answer, since it
 * was last known to run. If it has answered, a list must have named it before.
 */
static bool is_list_newer(const struct seam_worker *w)
{
	return (w->named_by_list || !w->contacted) &&
	       w->sched->vms_read_at >= known_at(w) + VM_LIST_DELAY_MAX;
}

/*
 * Ends the life of a worker in whose place another one runs, or whose VM was
 * removed. A late start there is refused, as it names the worker that it is
 * meant for.
 */
void scheduler_worker_replaced(struct seam_worker *w, const char *why)
{
	w->vm_gone = true;
	w->gone_at = seam_now(w->sched->clock);
	scheduler_worker_update_index(w);
	scheduler_worker_lost(w, why);
	scheduler_request_assignment(w->sched);
}

/* Whether no process runs on a VM until its next worker begins. */
static bool is_empty(const struct seam_vm_info *vm)
{
	return !*vm->worker && vm->state != SEAM_PHASE_UP &&
	       vm->state != SEAM_PHASE_UNKNOWN;
}

/* Loses a run that was confirmed before the list showed that its VM is empty.
 */
static void lose_confirmed_run(struct seam_worker *w,
			       const struct scheduler_run_ref *at, void *arg)
{
	(void)arg;
	if (at->run->state == SEAM_RUN_RUNNING &&
	    w->sched->vms_read_at >= at->run->running_at + VM_LIST_DELAY_MAX)
		scheduler_run_lost(w, at, "vm_empty");
}

/* Counts a list that does not have the VM of a worker that it named before. */
static void count_unlisted(struct seam_worker *w)
{
	if (w->named_by_list && w->sched->vms_complete && is_list_newer(w) &&
	    ++w->unlisted >= UNLISTED_MIN)
		scheduler_worker_replaced(w, "vm_removed");
}

static void check_worker(struct seam_worker *w, const struct seam_vm_info *vm)
{
	log_change(w, vm);
	if (!vm)
		count_unlisted(w);
	else
		w->unlisted = 0;
	if (!vm || !is_list_newer(w))
		return;
	if (*vm->worker && strcmp(vm->worker, w->info.id))
		scheduler_worker_replaced(w, "vm_has_other_worker");
	/* It may start again under its id, and carry out late starts then. */
	if (is_empty(vm)) {
		w->vm_was_empty = true;
		scheduler_for_each_run(w, lose_confirmed_run, NULL);
	}
}

/*
 * Whether a worker may run tasks of the previous term that the owner does not
 * know: it has not answered, and the list does not show that its process is
 * over.
 */
bool scheduler_may_run_prior_tasks(const struct seam_worker *w)
{
	return !w->contacted && !w->vm_gone && !w->vm_was_empty;
}

/*
 * Whether tasks wait for a worker that does not answer: for its runs, its late
 * starts, or what it may run of the previous term.
 */
bool scheduler_waits_for_silent_worker(struct seam_scheduler *sched)
{
	seam_time now = seam_now(sched->clock);
	struct seam_handle h = SEAM_HANDLE_NONE;
	const struct seam_worker *w;

	while ((w = seam_table_next(sched->workers, &h))) {
		if (w->answered || w->vm_gone || w->retired)
			continue;
		if (w->task_refs->len || now < w->late_until ||
		    (now <= sched->prior_leases_until &&
		     scheduler_may_run_prior_tasks(w)))
			return true;
	}
	return false;
}

static void note_named_workers(struct seam_scheduler *sched)
{
	size_t i;

	for (i = 0; i < sched->vms; i++) {
		const struct seam_vm_info *vm = &sched->vm[i];
		struct seam_worker *w =
			scheduler_find_worker(sched, vm->worker);

		if (w && !strcmp(w->info.vm, vm->vm))
			w->named_by_list = true;
	}
}

static GHashTable *index_vms(struct seam_scheduler *sched)
{
	GHashTable *vm_of = g_hash_table_new(g_str_hash, g_str_equal);
	size_t i;

	for (i = 0; i < sched->vms; i++)
		g_hash_table_insert(vm_of, sched->vm[i].vm, &sched->vm[i]);
	return vm_of;
}

/*
 * Handles a VM list that was just read. A worker that answers runs, whatever
 * the list shows.
 */
void scheduler_check_vm_workers(struct seam_scheduler *sched)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	GHashTable *vm_of = NULL;
	struct seam_worker *w;

	note_named_workers(sched);
	while ((w = seam_table_next(sched->workers, &h))) {
		if (w->answered)
			w->unlisted = 0;
		if (w->answered || w->vm_gone || w->retired || !*w->info.vm)
			continue;
		if (!vm_of)
			vm_of = index_vms(sched);
		check_worker(w, g_hash_table_lookup(vm_of, w->info.vm));
	}
	if (vm_of)
		g_hash_table_destroy(vm_of);
}
