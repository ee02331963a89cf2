#include "process/board_impl.h"
#include "base/log.h"

#include <stdlib.h>
#include <string.h>

seam_time board_lease(const struct seam_board *b)
{
	return LEASE < b->conf.lease_max ? LEASE : b->conf.lease_max;
}

void board_wake_pass(struct seam_board *b)
{
	b->pass_due = true;
	pthread_cond_signal(&b->pass_wake);
}

void board_wake_commit(struct seam_board *b)
{
	b->commit_due = true;
	pthread_cond_signal(&b->commit_wake);
}

struct seam_board *board_new(void)
{
	struct seam_board *b = calloc(1, sizeof(*b));

	if (!b)
		return NULL;
	pthread_mutex_init(&b->lock, NULL);
	seam_cond_init(&b->commit_wake);
	seam_cond_init(&b->pass_wake);
	seam_cond_init(&b->reap_wake);
	seam_cond_init(&b->vm_wake);
	g_queue_init(&b->vm_queue);
	b->jobs = seam_table_new(sizeof(struct seam_job));
	b->workers = seam_table_new(sizeof(struct seam_worker));
	b->job_of =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	b->ended =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	b->vm_orders =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	b->wave_done =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	b->backlog = seam_backlog_new();
	b->touched = g_array_new(FALSE, FALSE, sizeof(struct seam_handle));
	b->rooms = seam_rooms_new();
	b->used =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_queue_init(&b->sent);
	b->recent = g_array_new(FALSE, FALSE, sizeof(struct seam_recent_vm));
	b->shares =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	b->holds =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	b->worker_of =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return b;
}

void board_free(struct seam_board *b)
{
	struct seam_handle h = SEAM_NONE;
	struct seam_job *j;

	while ((j = seam_table_next(b->jobs, &h)))
		board_job_free(j);
	g_hash_table_destroy(b->job_of);
	g_hash_table_destroy(b->ended);
	g_hash_table_destroy(b->worker_of);
	g_hash_table_destroy(b->vm_orders);
	g_hash_table_destroy(b->wave_done);
	g_hash_table_destroy(b->holds);
	g_hash_table_destroy(b->shares);
	g_array_free(b->recent, TRUE);
	seam_backlog_free(b->backlog);
	g_array_free(b->touched, TRUE);
	seam_rooms_free(b->rooms);
	g_hash_table_destroy(b->used);
	g_queue_clear_full(&b->sent, g_free);
	seam_table_free(b->jobs);
	seam_table_free(b->workers);
	pthread_mutex_destroy(&b->lock);
	pthread_cond_destroy(&b->commit_wake);
	pthread_cond_destroy(&b->pass_wake);
	pthread_cond_destroy(&b->reap_wake);
	pthread_cond_destroy(&b->vm_wake);
	g_queue_clear_full(&b->vm_queue, g_free);
	free(b->vm);
	free(b);
}

static int start_threads(struct seam_board *b, struct seam_err *e)
{
	static void *(*const loops[])(void *arg) = {
		board_follow_jobs, board_follow_workers, board_commit_loop,
		board_pass_loop,   board_vms_loop,	 board_reap_loop};
	int n = (int)(sizeof(loops) / sizeof(*loops));

	while (b->threads < SEAM_BOARD_THREADS) {
		void *(*loop)(void *arg) = b->threads < n ? loops[b->threads] :
							    board_vm_order_loop;

		if (pthread_create(&b->thread[b->threads], NULL, loop, b))
			return seam_fail(e, SEAM_NO_MEMORY,
					 "cannot start a thread");
		b->threads++;
	}
	return 0;
}

struct seam_board *seam_board_open(const struct seam_board_conf *conf,
				   struct seam_clock *k,
				   const struct seam_ports *ports,
				   struct seam_catalog_cell *catalog,
				   struct seam_op_state *op_state,
				   struct seam_lead *lead, struct seam_err *e)
{
	struct seam_board *b = board_new();
	int rc;

	if (!b) {
		seam_fail(e, SEAM_NO_MEMORY, NULL);
		return NULL;
	}
	b->conf = *conf;
	b->clock = k;
	b->ports = ports;
	b->catalog = catalog;
	b->op_state = op_state;
	b->lead = lead;
	b->term = lead->term;
	b->opened_at = seam_now(k);
	b->vm_budget_at = b->opened_at;
	/* What the owner before us ordered last has run out by then. */
	b->unlisted_until = lead->orders_until + board_lease(b) +
			    board_lease(b) / CLOCK_SLOW + LEASE_MARGIN;
	rc = board_load_jobs(b, e);
	pthread_mutex_lock(&b->lock);
	if (!rc)
		rc = board_load_workers(b, e);
	pthread_mutex_unlock(&b->lock);
	if (!rc)
		rc = board_load_orders(b, e);
	if (!rc)
		rc = board_lanes_open(b, e);
	if (!rc)
		rc = start_threads(b, e);
	if (!rc) {
		seam_log(SEAM_INFO, "owner",
			 "event=term_opened term=%llu jobs=%zu workers=%zu "
			 "after_ms=%lld",
			 (unsigned long long)b->term, seam_table_count(b->jobs),
			 seam_table_count(b->workers),
			 (long long)(seam_now(k) - b->opened_at) / SEAM_MSEC);
		return b;
	}
	seam_board_close(b);
	return NULL;
}

void seam_board_close(struct seam_board *b)
{
	int i;

	pthread_mutex_lock(&b->lock);
	__atomic_store_n(&b->stop, true, __ATOMIC_RELEASE);
	pthread_cond_broadcast(&b->commit_wake);
	pthread_cond_broadcast(&b->pass_wake);
	pthread_cond_broadcast(&b->reap_wake);
	pthread_cond_broadcast(&b->vm_wake);
	pthread_mutex_unlock(&b->lock);
	for (i = 0; i < b->threads; i++)
		pthread_join(b->thread[i], NULL);
	board_lanes_close(b);
	if (b->wave_loaded)
		board_wave_keep(b);
	board_workers_close(b);
	seam_log(SEAM_INFO, "owner", "event=term_closed term=%llu",
		 (unsigned long long)b->term);
	board_free(b);
}
