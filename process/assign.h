#ifndef SEAM_ASSIGN_H
#define SEAM_ASSIGN_H

#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct seam_serving_node - a node that can serve workers
 * @processor: thousandths of a core that it may use; 0 if it is not known
 * @usable: the node answers
 * @dc: index of its data centre, or -1
 * @workers: receives the number of workers assigned to it
 */
struct seam_serving_node {
	int processor;
	bool usable;
	int dc;
	int workers;
};

/**
 * struct seam_served_worker - a worker to be assigned to a node
 * @node: index of the node that serves it, or -1; receives the new index
 * @avoid: index of a node that cannot reach it, or -1
 * @dc: index of its data centre, or -1
 */
struct seam_served_worker {
	int node;
	int avoid;
	int dc;
};

/**
 * seam_assign_workers() - assign each worker to the node that serves it
 * @node: nodes; the first is the owner's
 * @n: number of nodes, at least 1
 * @worker: workers
 * @m: number of workers
 *
 * Leases, polls and starts of a busy worker take about 1.5 ms of CPU time a
 * second, so the owner's node cannot serve a large fleet alone. While a quarter
 * of its processor is enough, it serves all workers. Otherwise the other nodes
 * do, each with up to a quarter of its processor; the largest are used first,
 * and as few as possible. The owner's node serves the workers that exceed their
 * capacity. A worker keeps its node while that node is usable and below its
 * overload limit, as a change costs a connection and a poll.
 */
void seam_assign_workers(struct seam_serving_node *node, size_t n,
			 struct seam_served_worker *worker, size_t m);

#ifdef __cplusplus
}
#endif
#endif
