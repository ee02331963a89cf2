#ifndef SEAM_PLATFORM_NODE_H
#define SEAM_PLATFORM_NODE_H

#include "process/dispatch.h"
#include "process/http.h"
#include "process/election.h"
#include "process/op_state.h"
#include "process/platform_settings.h"
#include "request/submit.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct seam_platform_node - a node on the users' platform
 * @nodes: this node and the others that it knows; first member
 * @settings: validated settings
 * @clock: clock of all times
 * @dispatch: forwards the owner's orders to workers
 * @ports: the platform
 * @op_state: operators' configuration and orders as last read
 * @submit: job submission
 * @front: HTTP server for callers
 * @probes: HTTP server for the platform's probes
 * @control: HTTP server for other nodes and operators
 * @next_handover: earliest time of the next hand-over to a larger node
 * @election: this node's claim to the owner's term
 * @owns_term: this node claimed the term and has not ended it; atomic
 * @draining: seam_platform_node_drain() was called; atomic
 * @stop: seam_platform_node_stop() was called; atomic
 * @election_thread: claims and renews the term, and runs the scheduler
 * @refresh_thread: registers this node and reads the rows of the others
 */
struct seam_platform_node {
	struct seam_nodes nodes;
	struct seam_platform_settings settings;
	struct seam_clock *clock;
	struct seam_dispatch *dispatch;
	struct seam_ports ports;
	struct seam_op_state op_state;
	struct seam_submit submit;
	struct seam_http *front;
	struct seam_http *probes;
	struct seam_http *control;
	seam_time next_handover;
	struct seam_election election;
	bool owns_term;
	bool draining;
	bool stop;
	pthread_t election_thread;
	pthread_t refresh_thread;
};

/**
 * seam_platform_node_start() - start a node
 * @n: node, zeroed
 * @s: settings; copied
 * @k: clock that runs while the VM is suspended
 * @p: platform; copied
 * @front: protocol of the callers
 * @e: receives the error
 */
int seam_platform_node_start(struct seam_platform_node *n,
			     const struct seam_platform_settings *s,
			     struct seam_clock *k, const struct seam_ports *p,
			     const struct seam_front_ops *front,
			     struct seam_err *e);

/**
 * seam_platform_node_drain() - release the term and the workers, and wait for
 * callers
 *
 * Return: whether no request was running at the end.
 */
bool seam_platform_node_drain(struct seam_platform_node *n);

/** seam_platform_node_stop() - stop the threads and servers; @n is not freed */
void seam_platform_node_stop(struct seam_platform_node *n);

#ifdef __cplusplus
}
#endif
#endif
