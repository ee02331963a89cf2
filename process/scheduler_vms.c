/*
 * Reads the VM list, runs VM management, and publishes counts for other nodes.
 */
#include "process/scheduler_impl.h"
#include "base/json.h"
#include "base/log.h"
#include "base/outage.h"

#include <stdlib.h>
#include <string.h>

#define SURVEY_INTERVAL_USEC 300000
/*
 * Interval between reads of the list, for each VM in it: a row has some 160
 * bytes, and all rows together may take 40 KB/s while VMs are moved, else 10.
 */
#define LIST_INTERVAL_BUSY(vms) ((seam_time)(vms)*4 * SEAM_MSEC)
#define LIST_INTERVAL_BUSY_MAX (1 * SEAM_SEC)
#define LIST_INTERVAL_IDLE(vms) ((seam_time)(vms)*16 * SEAM_MSEC)
#define LIST_INTERVAL_IDLE_MAX (2 * SEAM_SEC)
#define LIST_TIMEOUT (1500 * SEAM_MSEC)

static int read_vms(struct seam_scheduler *sched, struct seam_err *e)
{
	seam_time asked_at = seam_now(sched->clock);
	struct seam_vm_info *vm;
	bool complete;
	size_t n;

	if (sched->ports->vms->ops->list(sched->ports->vms, &vm, &n, &complete,
					 seam_now(sched->clock) + LIST_TIMEOUT,
					 e))
		return -1;
	pthread_mutex_lock(&sched->lock);
	free(sched->vm);
	sched->vm = vm;
	sched->vms = n;
	sched->vms_read = true;
	sched->vms_complete = complete;
	sched->vms_read_at = asked_at;
	scheduler_check_vm_workers(sched);
	pthread_mutex_unlock(&sched->lock);
	return 0;
}

/*
 * Whether a VM was ordered and the list does not show the result yet, a wave is
 * under way, or the list may show that a worker is over which is waited for.
 */
static bool is_list_awaited(struct seam_scheduler *sched)
{
	struct seam_vm_order *o;
	GHashTableIter i;

	if (sched->wave_number && sched->wave_completed < sched->wave_number)
		return true;
	g_hash_table_iter_init(&i, sched->vm_orders);
	while (g_hash_table_iter_next(&i, NULL, (gpointer *)&o))
		if (sched->vms_read_at < o->busy_until)
			return true;
	return scheduler_waits_for_silent_worker(sched);
}

/* Whether the list is to be read again. */
static bool is_list_due(struct seam_scheduler *sched)
{
	seam_time gap;
	bool due;

	pthread_mutex_lock(&sched->lock);
	gap = is_list_awaited(sched) ? MIN(LIST_INTERVAL_BUSY(sched->vms),
					   LIST_INTERVAL_BUSY_MAX) :
				       MIN(LIST_INTERVAL_IDLE(sched->vms),
					   LIST_INTERVAL_IDLE_MAX);
	due = !sched->vms_read ||
	      seam_now(sched->clock) >= sched->vms_read_at + gap;
	pthread_mutex_unlock(&sched->lock);
	return due;
}

/* Returns the number of jobs of each queue that have not started any task. */
static char *pending_text(struct seam_scheduler *sched)
{
	struct json_object *o = json_object_new_object();
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_job *j;
	char *text;

	pthread_mutex_lock(&sched->lock);
	while ((j = seam_table_next(sched->jobs, &h))) {
		const char *q = j->row.spec.queue;

		if (!j->started && !seam_job_finished(j->row.state))
			seam_json_add_int(o, q, seam_json_int(o, q, 0) + 1);
	}
	pthread_mutex_unlock(&sched->lock);
	text = strdup(
		json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN));
	json_object_put(o);
	return text;
}

/* Writes the counts unless the row has them. */
static void publish_pending(struct seam_scheduler *sched)
{
	struct seam_row_writer *row = &sched->pending_row;
	char *text = pending_text(sched);

	if (!text ||
	    (!seam_row_writer_is_unsettled(row) &&
	     !g_strcmp0(sched->pending, text)) ||
	    scheduler_put_row(sched, row, SEAM_PENDING_ROW, text)) {
		free(text);
		return;
	}
	free(sched->pending);
	sched->pending = text;
}

void *scheduler_vms_loop(void *arg)
{
	struct seam_scheduler *sched = arg;
	struct seam_outage outage = {.part = "vms", .what = "VM list"};

	while (!__atomic_load_n(&sched->stop, __ATOMIC_ACQUIRE)) {
		struct seam_err e = SEAM_ERR_INIT;
		int rc = 0;

		/* The VM list may not answer for 1.5 s. */
		if (seam_election_is_owner(sched->election,
					   seam_now(sched->clock))) {
			publish_pending(sched);
			scheduler_save_handover(sched, false);
			scheduler_sweep_cancels(sched);
		}
		if (is_list_due(sched)) {
			rc = read_vms(sched, &e);
			seam_outage_update(&outage, rc ? &e : NULL,
					   seam_now(sched->clock));
		}
		if (!rc)
			scheduler_manage_vms(sched);
		g_usleep(SURVEY_INTERVAL_USEC);
	}
	return NULL;
}
