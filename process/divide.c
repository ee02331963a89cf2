#include "process/divide.h"

#include <glib.h>

/* Looks, renewals and starts of a busy worker, microseconds of a core a second:
 * eight calls of 150 us, and as much again in a peak. */
#define WORKER_US 1500
#define PART 4 /* of a node's processor that workers may take */
/* A node keeps half as many again as it would be given. */
#define OVERFULL(room) ((room) + (room) / 2)
#define NEAR 1000000 /* more than any node has room for */
/* Of a node whose processor is not known, thousandths of a core. */
#define PROCESSOR_LEAST 100

struct division {
	struct seam_divide_node *node;
	size_t nodes;
	int *room; /* workers that a node may be given */
	bool *chosen;
};

static int room_of(const struct seam_divide_node *n)
{
	int processor = n->processor > 0 ? n->processor : PROCESSOR_LEAST;
	int room = processor * 1000 / PART / WORKER_US;

	return room > 0 ? room : 1;
}

static int largest_unchosen(const struct division *d)
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

/* Whether the owner's node serves all workers. */
static bool owner_suffices(const struct division *d,
			   const struct seam_divide_worker *w, size_t n)
{
	size_t room = (size_t)room_of(&d->node[0]);
	size_t i;

	if (n > room)
		for (i = 0; i < n; i++)
			if (w[i].node > 0)
				return false;
	return n <= room || n < OVERFULL(room);
}

/* Chooses the nodes that are given workers. */
static void choose_nodes(struct division *d, const struct seam_divide_worker *w,
			 size_t workers)
{
	size_t room = 0;
	int i;

	if (owner_suffices(d, w, workers)) {
		d->chosen[0] = true;
		d->room[0] = (int)workers;
		return;
	}
	while (room < workers && (i = largest_unchosen(d)) >= 0) {
		d->chosen[i] = true;
		d->room[i] = room_of(&d->node[i]);
		room += (size_t)d->room[i];
	}
	if (room < workers) {
		d->chosen[0] = true;
		d->room[0] = (int)(workers - room);
	}
}

static bool may_stay(const struct division *d,
		     const struct seam_divide_worker *w)
{
	const struct seam_divide_node *n;

	if (w->node < 0 || w->node >= (int)d->nodes || w->node == w->avoid)
		return false;
	n = &d->node[w->node];
	/* The owner's node is for what the others have no room for. */
	if (w->node == 0)
		return n->workers < d->room[0];
	return n->usable && n->workers < OVERFULL(room_of(n));
}

/* Room that counts for a worker: a near node with any comes first. */
static int room_for(const struct division *d, int i,
		    const struct seam_divide_worker *w)
{
	int left = d->room[i] - d->node[i].workers;
	bool near = w->dc >= 0 && d->node[i].dc == w->dc;

	return near && left > 0 ? left + NEAR : left;
}

static int pick(const struct division *d, const struct seam_divide_worker *w)
{
	int best = -1;
	size_t i;

	for (i = 0; i < d->nodes; i++) {
		if (!d->node[i].usable || !d->chosen[i] || (int)i == w->avoid)
			continue;
		if (best < 0 || room_for(d, (int)i, w) > room_for(d, best, w))
			best = (int)i;
	}
	return best;
}

/*
 * A worker that the chosen nodes don't reach goes to the largest of the others,
 * always the same one: a worker that is gone would be tried by all in turn.
 */
static int place(const struct division *d, const struct seam_divide_worker *w)
{
	int i = pick(d, w);

	if (i < 0 && w->avoid == 0)
		i = largest_unchosen(d);
	return i < 0 ? 0 : i;
}

void seam_divide(struct seam_divide_node *node, size_t n,
		 struct seam_divide_worker *worker, size_t m)
{
	struct division d = {.node = node, .nodes = n};
	size_t i;

	d.room = g_new0(int, n);
	d.chosen = g_new0(bool, n);
	for (i = 0; i < n; i++)
		node[i].workers = 0;
	choose_nodes(&d, worker, m);
	for (i = 0; i < m; i++) {
		if (may_stay(&d, &worker[i]))
			node[worker[i].node].workers++;
		else
			worker[i].node = -1;
	}
	for (i = 0; i < m; i++) {
		if (worker[i].node >= 0)
			continue;
		worker[i].node = place(&d, &worker[i]);
		node[worker[i].node].workers++;
	}
	g_free(d.room);
	g_free(d.chosen);
}
