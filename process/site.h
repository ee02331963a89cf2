#ifndef SEAM_SITE_H
#define SEAM_SITE_H

#include "process/dispatch.h"
#include "process/http.h"
#include "process/election.h"
#include "process/op_state.h"
#include "process/site_settings.h"
#include "request/submit.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct seam_site - a node on the users' platform
 * @nodes: this node and the others, as its owner sees them; first member
 * @settings: checked settings
 * @clock: clock of all times
 * @dispatch: carries out an owner's orders
 * @ports: the platform
 * @op_state: operators' orders as this node knows them
 * @submit: front end of jobs
 * @front: server for callers
 * @probes: server for the platform's probes
 * @control: server for other nodes and operators
 * @next_handover: the term is not given to a larger node before
 * @lead: this node's part in the choice of the owner
 * @draining: callers leave; @stop: the threads end
 */
struct seam_site {
	struct seam_nodes nodes;
	struct seam_site_settings settings;
	struct seam_clock *clock;
	struct seam_dispatch *dispatch;
	struct seam_ports ports;
	struct seam_op_state op_state;
	struct seam_submit submit;
	struct seam_http *front;
	struct seam_http *probes;
	struct seam_http *control;
	seam_time next_handover;
	struct seam_election lead;
	bool draining;
	bool stop;
	pthread_t lead_thread;
	pthread_t refresh_thread;
};

/**
 * seam_site_start() - start a node
 * @n: node, zeroed
 * @s: settings
 * @k: clock that counts suspended time
 * @p: platform; copied
 * @front: encoding of the callers
 * @e: what can't be used
 */
int seam_site_start(struct seam_site *n, const struct seam_site_settings *s,
		    struct seam_clock *k, const struct seam_ports *p,
		    const struct seam_front_ops *front, struct seam_err *e);

/**
 * seam_site_drain() - let callers leave and hand over what this node owns
 *
 * Return: whether no request was running at the end.
 */
bool seam_site_drain(struct seam_site *n);

/** seam_site_stop() - stop the threads and servers */
void seam_site_stop(struct seam_site *n);

#ifdef __cplusplus
}
#endif
#endif
