#ifndef SEAM_DIVIDE_H
#define SEAM_DIVIDE_H

#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct seam_divide_node - a node that may serve workers
 * @processor: thousandths of a core that it may use; 0 if it is not known
 * @usable: it answers
 * @dc: index of its data centre, or -1
 * @workers: receives the number of workers that it serves
 */
struct seam_divide_node {
	int processor;
	bool usable;
	int dc;
	int workers;
};

/**
 * struct seam_divide_worker - a worker that one node is to serve
 * @node: index of the node that serves it, or -1; receives the new one
 * @avoid: node that does not reach it, or -1
 * @dc: index of its data centre, or -1
 */
struct seam_divide_worker {
	int node;
	int avoid;
	int dc;
};

/**
 * seam_divide() - choose the node that serves each worker
 * @node: nodes; the first is the owner's
 * @n: their number, at least 1
 * @worker: workers
 * @m: their number
 *
 * Answers a fleet whose workers need more of the owner's processor than it has:
 * leases, looks and starts of a busy worker take about 1.5 ms of a core in a
 * second. While a quarter of the owner's processor is enough, it serves all of
 * them. Otherwise the others do, the largest first and as few as have room,
 * each with up to a quarter of its processor; what they have no room for comes
 * back to the owner. A worker stays where it is while that node is usable and
 * not overfull, as a change costs a connection and a look.
 */
void seam_divide(struct seam_divide_node *node, size_t n,
		 struct seam_divide_worker *worker, size_t m);

#ifdef __cplusplus
}
#endif
#endif
