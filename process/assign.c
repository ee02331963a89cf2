#include "process/assign.h"

#include <glib.h>

/* CPU time for polls, lease renewals and starts of a busy worker: eight calls
 * a second of 150 us each, with a margin for peaks. */
#define WORKER_CPU_US_PER_S 1500
#define WORKER_CPU_DIVISOR 4 /* workers may use 1/4 of a node's processor */
/* A node keeps its workers until it has 1.5 times its capacity, so that workers
 * do not move with each small change of their number. */
#define OVERLOAD_LIMIT(capacity) ((capacity) + (capacity) / 2)
#define SAME_DC_BONUS 1000000 /* greater than the capacity of any node */
/* For a node whose processor is not known. */
#define DEFAULT_PROCESSOR_MILLI 100

struct assignment {
	struct seam_serving_node *node;
	size_t nodes;
	int *capacity; /* number of workers that may be assigned to a node */
	bool *chosen; /* the node receives workers */
};

static int capacity_of(const struct seam_serving_node *n)
{
	int processor =
		n->processor > 0 ? n->processor : DEFAULT_PROCESSOR_MILLI;
	int capacity =
		processor * 1000 / WORKER_CPU_DIVISOR / WORKER_CPU_US_PER_S;

	return capacity > 0 ? capacity : 1;
}

static int largest_unchosen(const struct assignment *d)
{
	int best = -1;
	size_t i;

	for (i = 1; i < d->nodes; i++)
		if (d->node[i].usable && !d->chosen[i] &&
		    (best < 0 ||
		     d->node[i].processor > d->node[best].processor))
			best = (int)i;
	return best;
}

/* Whether the owner's node serves all workers. The overload limit applies only
 * while no worker is assigned to another node. */
static bool owner_can_serve_all(const struct assignment *d,
				const struct seam_served_worker *w, size_t n)
{
	size_t capacity = (size_t)capacity_of(&d->node[0]);
	size_t i;

	if (n > capacity)
		for (i = 0; i < n; i++)
			if (w[i].node > 0)
				return false;
	return n <= capacity || n < OVERLOAD_LIMIT(capacity);
}

/* Chooses the nodes that receive workers. */
static void choose_nodes(struct assignment *d,
			 const struct seam_served_worker *w, size_t workers)
{
	size_t capacity = 0;
	int i;

	if (owner_can_serve_all(d, w, workers)) {
		d->chosen[0] = true;
		d->capacity[0] = (int)workers;
		return;
	}
	while (capacity < workers && (i = largest_unchosen(d)) >= 0) {
		d->chosen[i] = true;
		d->capacity[i] = capacity_of(&d->node[i]);
		capacity += (size_t)d->capacity[i];
	}
	if (capacity < workers) {
		d->chosen[0] = true;
		d->capacity[0] = (int)(workers - capacity);
	}
}

static bool may_keep(const struct assignment *d,
		     const struct seam_served_worker *w)
{
	const struct seam_serving_node *n;

	if (w->node < 0 || w->node >= (int)d->nodes || w->node == w->avoid)
		return false;
	n = &d->node[w->node];
	/* The owner's node serves only the workers that exceed the capacity
	 * of the others. */
	if (w->node == 0)
		return n->workers < d->capacity[0];
	return n->usable && n->workers < OVERLOAD_LIMIT(capacity_of(n));
}

/* Free capacity, with a bonus for a node in the worker's data centre. */
static int preference(const struct assignment *d, int i,
		      const struct seam_served_worker *w)
{
	int left = d->capacity[i] - d->node[i].workers;
	bool near = w->dc >= 0 && d->node[i].dc == w->dc;

	return near && left > 0 ? left + SAME_DC_BONUS : left;
}

static int choose_node(const struct assignment *d,
		       const struct seam_served_worker *w)
{
	int best = -1;
	size_t i;

	for (i = 0; i < d->nodes; i++) {
		if (!d->node[i].usable || !d->chosen[i] || (int)i == w->avoid)
			continue;
		if (best < 0 ||
		    preference(d, (int)i, w) > preference(d, best, w))
			best = (int)i;
	}
	return best;
}

/*
 * A worker that the chosen nodes cannot reach goes to the largest other node,
 * always the same one: otherwise each node in turn would try a dead worker.
 */
static int assign_node(const struct assignment *d,
		       const struct seam_served_worker *w)
{
	int i = choose_node(d, w);

	if (i < 0 && w->avoid == 0)
		i = largest_unchosen(d);
	return i < 0 ? 0 : i;
}

void seam_assign_workers(struct seam_serving_node *node, size_t n,
			 struct seam_served_worker *worker, size_t m)
{
	struct assignment d = {.node = node, .nodes = n};
	size_t i;

	d.capacity = g_new0(int, n);
	d.chosen = g_new0(bool, n);
	for (i = 0; i < n; i++)
		node[i].workers = 0;
	choose_nodes(&d, worker, m);
	for (i = 0; i < m; i++) {
		if (may_keep(&d, &worker[i]))
			node[worker[i].node].workers++;
		else
			worker[i].node = -1;
	}
	for (i = 0; i < m; i++) {
		if (worker[i].node >= 0)
			continue;
		worker[i].node = assign_node(&d, &worker[i]);
		node[worker[i].node].workers++;
	}
	g_free(d.capacity);
	g_free(d.chosen);
}
