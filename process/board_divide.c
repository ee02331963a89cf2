/* Which node serves which worker: the nodes that are known, and their shares.
 */
#include "process/board_impl.h"
#include "base/count.h"
#include "base/log.h"
#include "process/divide.h"

#include <string.h>

#define NODES_GAP (1 * SEAM_SEC) /* between looks for other nodes */

SEAM_COUNT(lane_count, "seam_lanes",
	   "Nodes that serve workers for this owner.");

static void add_lane(struct seam_board *b, const struct seam_node_info *info)
{
	struct seam_board_lane *l = &b->lane[b->lanes];

	memset(l, 0, sizeof(*l));
	l->board = b;
	l->index = b->lanes++;
	l->info = *info;
	l->number = 1;
	l->drops = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	seam_cond_init(&l->wake);
}

static void list_nodes(struct seam_board *b)
{
	struct seam_node_info info[SEAM_LANES_MAX];
	size_t n = b->ports->nodes->ops->list(b->ports->nodes, info,
					      SEAM_LANES_MAX);
	size_t i;
	int k;

	for (i = 0; i < n; i++) {
		for (k = 0; k < b->lanes; k++)
			if (!strcmp(b->lane[k].info.addr, info[i].addr))
				break;
		if (k < b->lanes)
			b->lane[k].info = info[i];
		else if (b->lanes < SEAM_LANES_MAX)
			add_lane(b, &info[i]);
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

static void describe_lanes(struct seam_board *b, struct seam_divide_node *n,
			   GPtrArray *dcs)
{
	seam_time now = seam_now(b->clock);
	int i;

	for (i = 0; i < b->lanes; i++) {
		struct seam_board_lane *l = &b->lane[i];

		n[i].processor = l->info.processor;
		n[i].usable = !i || (l->info.live && now >= l->down_until);
		n[i].dc = dc_index(dcs, l->info.dc);
	}
}

/* Gives @w to a lane; the one before is told so. */
static void assign(struct seam_worker *w, int lane)
{
	struct seam_board_lane *l = &w->board->lane[lane];

	if (w->lane == lane)
		return;
	board_lane_leave(w);
	if (l->threads < 2 && board_lane_start(l)) {
		seam_log(SEAM_ERROR, "owner", "event=no_lane node=%s worker=%s",
			 l->info.addr, w->info.id);
		l->down_until = seam_now(w->board->clock) + BOARD_LANE_PAUSE;
		w->board->divide_due = true;
		return;
	}
	w->lane = lane;
	board_lane_wake(w);
}

/* Tells of a division that uses other nodes than the one before. */
static void note_division(struct seam_board *b,
			  const struct seam_divide_node *n, size_t workers)
{
	int used = 0;
	int i;

	for (i = 0; i < b->lanes; i++) {
		b->lane[i].workers = n[i].workers;
		used += n[i].workers > 0;
	}
	if (used == b->lanes_used)
		return;
	b->lanes_used = used;
	seam_count_set(&lane_count, used);
	seam_log(SEAM_INFO, "owner",
		 "event=divided workers=%zu nodes=%d used=%d own=%d term=%llu",
		 workers, b->lanes, used, n[0].workers,
		 (unsigned long long)b->term);
}

/* It has gone with its VM, and nothing is known to run there. */
static bool is_left(const struct seam_worker *w)
{
	return w->over ||
	       (!w->listed && !w->answered && !w->ref->len && !board_orders(w));
}

static void divide(struct seam_board *b)
{
	size_t m = seam_table_count(b->workers);
	struct seam_divide_node *n =
		g_new0(struct seam_divide_node, b->lanes + 1);
	struct seam_divide_worker *d = g_new0(struct seam_divide_worker, m + 1);
	struct seam_worker **of = g_new0(struct seam_worker *, m + 1);
	GPtrArray *dcs = g_ptr_array_new();
	struct seam_handle h = SEAM_NONE;
	struct seam_worker *w;
	size_t i = 0;

	b->divide_due = false;
	describe_lanes(b, n, dcs);
	while ((w = seam_table_next(b->workers, &h))) {
		if (w->dead || is_left(w)) {
			board_lane_leave(w);
			continue;
		}
		d[i] = (struct seam_divide_worker){w->lane, w->avoid,
						   dc_index(dcs, w->info.dc)};
		of[i++] = w;
	}
	m = i;
	seam_divide(n, (size_t)b->lanes, d, m);
	note_division(b, n, m);
	for (i = 0; i < m; i++)
		assign(of[i], d[i].node);
	g_ptr_array_free(dcs, TRUE);
	g_free(of);
	g_free(d);
	g_free(n);
}

/* Follows the nodes and gives workers without a lane to one. */
void board_lanes_attend(struct seam_board *b)
{
	seam_time now = seam_now(b->clock);

	if (now >= b->listed_nodes_at + NODES_GAP) {
		b->listed_nodes_at = now;
		list_nodes(b);
	}
	if (b->divide_due)
		divide(b);
}

int board_lanes_open(struct seam_board *b, struct seam_err *e)
{
	pthread_mutex_lock(&b->lock);
	list_nodes(b);
	b->listed_nodes_at = seam_now(b->clock);
	pthread_mutex_unlock(&b->lock);
	if (!b->lanes)
		return seam_fail(e, SEAM_INTERNAL, "this node is not listed");
	return 0;
}

void board_lanes_close(struct seam_board *b)
{
	int i;
	int k;

	pthread_mutex_lock(&b->lock);
	for (i = 0; i < b->lanes; i++)
		pthread_cond_broadcast(&b->lane[i].wake);
	pthread_mutex_unlock(&b->lock);
	for (i = 0; i < b->lanes; i++) {
		struct seam_board_lane *l = &b->lane[i];

		for (k = 0; k < l->threads; k++)
			pthread_join(l->thread[k], NULL);
		if (l->conn)
			l->conn->ops->close(l->conn);
		g_array_free(l->drops, TRUE);
		pthread_cond_destroy(&l->wake);
	}
	b->lanes = 0;
}
