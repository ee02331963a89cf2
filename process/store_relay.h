#ifndef SEAM_STORE_RELAY_H
#define SEAM_STORE_RELAY_H

#include "connection/lane.h"
#include "process/http.h"
#include "process/store.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SEAM_NODE_ROWS "node/" /* rows with the control addresses of nodes */

/**
 * struct seam_relay_conf - how a node reaches the store
 * @node: name of this node
 * @control: its control address, at which it passes on calls of others
 * @data_centre: its data centre
 * @processor: thousandths of a core that it may use
 * @seeds: control addresses of other nodes, separated by commas
 */
struct seam_relay_conf {
	const char *node;
	const char *control;
	const char *data_centre;
	int processor;
	const char *seeds;
};

/**
 * seam_store_relay_new() - a store that can be reached through other nodes
 * @direct: the store as this node reaches it; closed with the relay
 * @k: clock
 * @c: settings; copied
 *
 * Answers a store that turns some nodes away and serves the others: a call that
 * gets no answer, or a refusal, goes through another node that the store
 * serves. A commit may be sent twice so; its token and the expected versions
 * let it apply once.
 */
struct seam_store *seam_store_relay_new(struct seam_store *direct,
					struct seam_clock *k,
					const struct seam_relay_conf *c);

/** seam_store_relay_serve() - pass on other nodes' calls; before start only */
void seam_store_relay_serve(struct seam_store *base, struct seam_http *h);

/**
 * seam_store_relay_refresh() - register this node and read the others
 *
 * To be called every few seconds.
 */
void seam_store_relay_refresh(struct seam_store *base);

/**
 * seam_store_relay_all_lost() - whether no known node reaches the store
 *
 * Asks each node that has registered lately. One that does not answer may reach
 * it, and so may one that was not asked for want of time.
 */
bool seam_store_relay_all_lost(struct seam_store *base, seam_time deadline);

/**
 * seam_store_relay_larger() - whether a node that registered lately may use
 * half as much processor time again as this one, or more
 */
bool seam_store_relay_larger(struct seam_store *base);

/** seam_store_relay_nodes() - the other nodes that are known; at most @max */
size_t seam_store_relay_nodes(struct seam_store *base,
			      struct seam_node_info *info, size_t max);

/**
 * seam_store_relay_lost() - the store serves this node neither directly nor
 * through another node, since a moment ago
 */
bool seam_store_relay_lost(struct seam_store *base);

#ifdef __cplusplus
}
#endif
#endif
