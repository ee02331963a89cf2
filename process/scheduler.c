#include "process/scheduler_impl.h"
#include "base/log.h"

#include <stdlib.h>
#include <string.h>

/*
 * Pending starts of all lanes. At first what the owner can process in a tenth
 * of a second on a quarter of a core.
 */
#define STARTS 256
#define STARTS_MIN 16
#define STARTS_MAX 1024
/* Time of a move until one was measured: 1.5 s on the platform, and 0.1 s. */
#define ARRIVAL_TIME (1600 * SEAM_MSEC)

seam_time scheduler_lease(const struct seam_scheduler *sched)
{
	return WORKER_LEASE < sched->conf.lease_max ? WORKER_LEASE :
						      sched->conf.lease_max;
}

void scheduler_wake_pass(struct seam_scheduler *sched)
{
	sched->pass_due = true;
	pthread_cond_signal(&sched->pass_wake);
}

void scheduler_wake_commit(struct seam_scheduler *sched)
{
	sched->commit_due = true;
	pthread_cond_signal(&sched->commit_wake);
}

struct seam_scheduler *scheduler_new(void)
{
	struct seam_scheduler *sched = calloc(1, sizeof(*sched));

	if (!sched)
		return NULL;
	pthread_mutex_init(&sched->lock, NULL);
	pthread_mutex_init(&sched->handover_lock, NULL);
	seam_cond_init(&sched->commit_wake);
	sched->commit_again_at = SEAM_NEVER;
	seam_cond_init(&sched->pass_wake);
	seam_cond_init(&sched->reap_wake);
	seam_cond_init(&sched->vm_wake);
	g_queue_init(&sched->vm_queue);
	sched->jobs = seam_table_new(sizeof(struct seam_job));
	sched->workers = seam_table_new(sizeof(struct seam_worker));
	sched->job_of =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	sched->ended_jobs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	sched->vm_orders =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	sched->wave_done =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	sched->backlog = seam_backlog_new();
	sched->dirty_jobs =
		g_array_new(FALSE, FALSE, sizeof(struct seam_handle));
	sched->worker_index = seam_worker_index_new();
	sched->pool_rooms =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	sched->workspace_used =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_queue_init(&sched->recent_starts);
	sched->arrival_time = ARRIVAL_TIME;
	seam_start_window_init(&sched->window, STARTS, STARTS_MIN, STARTS_MAX);
	sched->recent_vm_orders =
		g_array_new(FALSE, FALSE, sizeof(struct seam_recent_vm_order));
	sched->long_leases =
		g_array_new(FALSE, FALSE, sizeof(struct seam_long_lease));
	sched->absent_late_starts = g_array_new(
		FALSE, FALSE, sizeof(struct seam_absent_late_start));
	sched->share_buckets =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	sched->pool_history =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	sched->worker_of =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	sched->unusable_rows =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return sched;
}

void scheduler_free(struct seam_scheduler *sched)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_job *j;

	while ((j = seam_table_next(sched->jobs, &h)))
		scheduler_job_free(j);
	g_hash_table_destroy(sched->job_of);
	g_hash_table_destroy(sched->ended_jobs);
	g_hash_table_destroy(sched->worker_of);
	g_hash_table_destroy(sched->unusable_rows);
	g_hash_table_destroy(sched->vm_orders);
	g_hash_table_destroy(sched->wave_done);
	g_hash_table_destroy(sched->pool_history);
	g_hash_table_destroy(sched->share_buckets);
	g_array_free(sched->recent_vm_orders, TRUE);
	g_array_free(sched->long_leases, TRUE);
	g_array_free(sched->absent_late_starts, TRUE);
	g_free(sched->handover);
	free(sched->pending);
	seam_backlog_free(sched->backlog);
	g_array_free(sched->dirty_jobs, TRUE);
	seam_worker_index_free(sched->worker_index);
	g_hash_table_destroy(sched->pool_rooms);
	g_hash_table_destroy(sched->workspace_used);
	g_queue_clear_full(&sched->recent_starts, g_free);
	seam_table_free(sched->jobs);
	seam_table_free(sched->workers);
	pthread_mutex_destroy(&sched->lock);
	pthread_mutex_destroy(&sched->handover_lock);
	pthread_cond_destroy(&sched->commit_wake);
	pthread_cond_destroy(&sched->pass_wake);
	pthread_cond_destroy(&sched->reap_wake);
	pthread_cond_destroy(&sched->vm_wake);
	g_queue_clear_full(&sched->vm_queue, g_free);
	free(sched->vm);
	free(sched);
}

static int start_threads(struct seam_scheduler *sched, struct seam_err *e)
{
	static void *(*const loops[])(void *arg) = {
		scheduler_follow_jobs, scheduler_follow_workers,
		scheduler_commit_loop, scheduler_pass_loop,
		scheduler_vms_loop,    scheduler_reap_loop};
	int n = (int)(sizeof(loops) / sizeof(*loops));

	while (sched->threads < SEAM_SCHEDULER_THREADS) {
		void *(*loop)(void *arg) = sched->threads < n ?
						   loops[sched->threads] :
						   scheduler_vm_order_loop;

		if (pthread_create(&sched->thread[sched->threads], NULL, loop,
				   sched))
			return seam_fail(e, SEAM_NO_MEMORY,
					 "cannot start a thread");
		sched->threads++;
	}
	return 0;
}

struct seam_scheduler *
seam_scheduler_open(const struct seam_scheduler_conf *conf,
		    struct seam_clock *k, const struct seam_ports *ports,
		    struct seam_catalog_cell *catalog,
		    struct seam_op_state *op_state,
		    struct seam_election *election, struct seam_err *e)
{
	struct seam_scheduler *sched = scheduler_new();
	size_t workers;
	size_t jobs;
	int rc;

	if (!sched) {
		seam_fail(e, SEAM_NO_MEMORY, NULL);
		return NULL;
	}
	sched->conf = *conf;
	sched->clock = k;
	sched->cancels_sweep_at = seam_now(k) + CANCEL_SWEEP_INTERVAL;
	sched->ports = ports;
	sched->catalog = catalog;
	sched->op_state = op_state;
	sched->election = election;
	sched->term = election->term;
	sched->worker_token = sched->term;
	sched->opened_at = seam_now(k);
	sched->job_accepted_at = sched->opened_at;
	sched->vm_budget_at = sched->opened_at;
	/* Leases that the previous owner granted last have expired by then. */
	sched->prior_leases_until =
		election->orders_until + scheduler_lease(sched) +
		scheduler_lease(sched) / CLOCK_DRIFT_DIVISOR + LEASE_MARGIN;
	rc = scheduler_load_jobs(sched, e);
	pthread_mutex_lock(&sched->lock);
	if (!rc)
		rc = scheduler_load_workers(sched, e);
	pthread_mutex_unlock(&sched->lock);
	if (!rc)
		rc = scheduler_load_orders(sched, e);
	if (!rc)
		rc = scheduler_load_handover(sched, e);
	if (!rc)
		rc = scheduler_lanes_open(sched, e);
	jobs = seam_table_count(sched->jobs);
	workers = seam_table_count(sched->workers);
	if (!rc)
		rc = start_threads(sched, e);
	if (!rc) {
		seam_log(SEAM_INFO, "owner",
			 "event=term_opened term=%llu jobs=%zu workers=%zu "
			 "after_ms=%lld",
			 (unsigned long long)sched->term, jobs, workers,
			 (long long)(seam_now(k) - sched->opened_at) /
				 SEAM_MSEC);
		return sched;
	}
	seam_scheduler_close(sched);
	return NULL;
}

void seam_scheduler_stop(struct seam_scheduler *sched)
{
	pthread_mutex_lock(&sched->lock);
	__atomic_store_n(&sched->stop, true, __ATOMIC_RELEASE);
	pthread_cond_broadcast(&sched->commit_wake);
	pthread_cond_broadcast(&sched->pass_wake);
	pthread_cond_broadcast(&sched->reap_wake);
	pthread_cond_broadcast(&sched->vm_wake);
	pthread_mutex_unlock(&sched->lock);
	scheduler_save_handover(sched, true);
}

void seam_scheduler_close(struct seam_scheduler *sched)
{
	int i;

	if (!sched->stop)
		seam_scheduler_stop(sched);
	for (i = 0; i < sched->threads; i++)
		pthread_join(sched->thread[i], NULL);
	scheduler_lanes_close(sched);
	if (sched->wave_loaded)
		scheduler_wave_save(sched);
	scheduler_workers_close(sched);
	seam_log(SEAM_INFO, "owner", "event=term_closed term=%llu",
		 (unsigned long long)sched->term);
	scheduler_free(sched);
}
