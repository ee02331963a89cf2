/* Assigns workers to the known nodes. */
#include "process/scheduler_impl.h"
#include "base/metrics.h"
#include "base/log.h"
#include "process/assign.h"

#include <string.h>

/* Interval between node listings. */
#define NODE_LIST_INTERVAL (1 * SEAM_SEC)

/*
 * Pending starts of a lane. At first what a twelfth of a core can send in some
 * 0.2 s.
 */
#define LANE_STARTS 64
#define LANE_STARTS_MIN 8
#define LANE_STARTS_MAX 256

SEAM_METRIC(lane_count, "seam_lanes",
	    "Nodes that serve workers for this owner.");

static void add_lane(struct seam_scheduler *sched,
		     const struct seam_node_info *info)
{
	struct seam_scheduler_lane *l = &sched->lane[sched->lanes];

	memset(l, 0, sizeof(*l));
	l->sched = sched;
	l->index = sched->lanes++;
	l->info = *info;
	l->number = 1;
	l->drops = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	l->served = g_array_new(FALSE, FALSE, sizeof(struct seam_handle));
	seam_start_window_init(&l->window, LANE_STARTS, LANE_STARTS_MIN,
			       LANE_STARTS_MAX);
	seam_cond_init(&l->wake);
}

static void list_nodes(struct seam_scheduler *sched)
{
	struct seam_node_info info[SEAM_LANES_MAX];
	size_t n = sched->ports->nodes->ops->list(sched->ports->nodes, info,
						  SEAM_LANES_MAX);
	size_t i;
	int k;

	for (i = 0; i < n; i++) {
		for (k = 0; k < sched->lanes; k++)
			if (!strcmp(sched->lane[k].info.addr, info[i].addr))
				break;
		if (k < sched->lanes)
			sched->lane[k].info = info[i];
		else if (sched->lanes < SEAM_LANES_MAX)
			add_lane(sched, &info[i]);
	}
}

static int dc_index(GPtrArray *dcs, const char *dc)
{
	guint i;

	if (!*dc)
		return -1;
	for (i = 0; i < dcs->len; i++)
		if (!strcmp(g_ptr_array_index(dcs, i), dc))
			return (int)i;
	g_ptr_array_add(dcs, (gpointer)dc);
	return (int)dcs->len - 1;
}

static void describe_lanes(struct seam_scheduler *sched,
			   struct seam_serving_node *n, GPtrArray *dcs)
{
	seam_time now = seam_now(sched->clock);
	int i;

	for (i = 0; i < sched->lanes; i++) {
		struct seam_scheduler_lane *l = &sched->lane[i];

		n[i].processor = l->info.processor;
		n[i].usable = !i || (l->info.live && now >= l->retry_at);
		n[i].dc = dc_index(dcs, l->info.dc);
	}
}

/* Assigns @w to a lane and releases it from the previous one. */
static void assign(struct seam_worker *w, int lane)
{
	struct seam_scheduler_lane *l = &w->sched->lane[lane];

	if (w->lane == lane)
		return;
	scheduler_lane_release(w);
	if (l->threads < 2 && scheduler_lane_start(l)) {
		seam_log(SEAM_ERROR, "owner", "event=no_lane node=%s worker=%s",
			 l->info.addr, w->info.id);
		l->retry_at = seam_now(w->sched->clock) + LANE_RETRY_DELAY;
		w->sched->assign_due = true;
		return;
	}
	scheduler_lane_add(w, lane);
	scheduler_lane_wake(w);
}

/*
 * Logs an assignment that uses another number of nodes than the previous one.
 */
static void log_assignment(struct seam_scheduler *sched,
			   const struct seam_serving_node *n, size_t workers)
{
	int used = 0;
	int i;

	for (i = 0; i < sched->lanes; i++) {
		sched->lane[i].workers = n[i].workers;
		used += n[i].workers > 0;
	}
	if (used == sched->lanes_used)
		return;
	sched->lanes_used = used;
	seam_metric_set(&lane_count, used);
	seam_log(SEAM_INFO, "owner",
		 "event=divided workers=%zu nodes=%d used=%d own=%d term=%llu",
		 workers, sched->lanes, used, n[0].workers,
		 (unsigned long long)sched->term);
}

/*
 * Whether the worker left with its VM, and no run is recorded there or may
 * begin.
 */
static bool needs_no_lane(const struct seam_worker *w)
{
	return w->vm_gone ||
	       (!w->listed && !w->answered && !w->task_refs->len &&
		!scheduler_pending_orders(w) &&
		!scheduler_worker_may_start_late(w));
}

static void assign_workers(struct seam_scheduler *sched)
{
	size_t m = seam_table_count(sched->workers);
	struct seam_serving_node *n =
		g_new0(struct seam_serving_node, sched->lanes + 1);
	struct seam_served_worker *d = g_new0(struct seam_served_worker, m + 1);
	struct seam_worker **of = g_new0(struct seam_worker *, m + 1);
	GPtrArray *dcs = g_ptr_array_new();
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_worker *w;
	size_t i = 0;

	sched->assign_due = false;
	describe_lanes(sched, n, dcs);
	while ((w = seam_table_next(sched->workers, &h))) {
		if (w->retired || needs_no_lane(w)) {
			scheduler_lane_release(w);
			continue;
		}
		d[i] = (struct seam_served_worker){w->lane, w->avoid_lane,
						   dc_index(dcs, w->info.dc)};
		of[i++] = w;
	}
	m = i;
	seam_assign_workers(n, (size_t)sched->lanes, d, m);
	log_assignment(sched, n, m);
	for (i = 0; i < m; i++)
		assign(of[i], d[i].node);
	g_ptr_array_free(dcs, TRUE);
	g_free(of);
	g_free(d);
	g_free(n);
}

/* Updates the list of nodes and assigns workers that have no lane. */
void scheduler_update_lanes(struct seam_scheduler *sched)
{
	seam_time now = seam_now(sched->clock);

	if (now >= sched->listed_nodes_at + NODE_LIST_INTERVAL) {
		sched->listed_nodes_at = now;
		list_nodes(sched);
	}
	if (sched->assign_due)
		assign_workers(sched);
}

int scheduler_lanes_open(struct seam_scheduler *sched, struct seam_err *e)
{
	pthread_mutex_lock(&sched->lock);
	list_nodes(sched);
	sched->listed_nodes_at = seam_now(sched->clock);
	pthread_mutex_unlock(&sched->lock);
	if (!sched->lanes)
		return seam_fail(e, SEAM_INTERNAL, "this node is not listed");
	return 0;
}

void scheduler_lanes_close(struct seam_scheduler *sched)
{
	int i;
	int k;

	pthread_mutex_lock(&sched->lock);
	for (i = 0; i < sched->lanes; i++)
		pthread_cond_broadcast(&sched->lane[i].wake);
	pthread_mutex_unlock(&sched->lock);
	for (i = 0; i < sched->lanes; i++) {
		struct seam_scheduler_lane *l = &sched->lane[i];

		for (k = 0; k < l->threads; k++)
			pthread_join(l->thread[k], NULL);
		if (l->conn)
			l->conn->ops->close(l->conn);
		g_array_free(l->drops, TRUE);
		g_array_free(l->served, TRUE);
		pthread_cond_destroy(&l->wake);
	}
	sched->lanes = 0;
}
