#ifndef SEAM_STORE_RELAY_H
#define SEAM_STORE_RELAY_H

#include "connection/lane.h"
#include "process/http.h"
#include "process/store.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SEAM_NODE_ROW_PREFIX "node/" /* rows with nodes' control addresses */

/**
 * struct seam_relay_conf - settings of the relay store of a node
 * @node: name of this node
 * @control: its control address, at which it forwards calls of other nodes
 * @data_centre: its data centre
 * @processor: processor time that it may use, thousandths of a core
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
 * seam_store_relay_new() - store that falls back to calls through other nodes
 * @direct: this node's own connection to the store; closed with the relay
 * @k: clock
 * @c: settings; copied
 *
 * Handles a store that refuses some nodes and serves others: a call that is
 * refused or gets no response is sent through another node that the store
 * serves. A commit may thus be sent twice; its token and the expected versions
 * let it apply only once.
 */
struct seam_store *seam_store_relay_new(struct seam_store *direct,
					struct seam_clock *k,
					const struct seam_relay_conf *c);

/** seam_store_relay_serve() - forward other nodes' calls; before start only */
void seam_store_relay_serve(struct seam_store *base, struct seam_http *h);

/**
 * seam_store_relay_refresh() - register this node
 * @read: also read the rows of the other nodes
 *
 * Must be called every few seconds: a node whose row stays unchanged counts as
 * gone.
 */
void seam_store_relay_refresh(struct seam_store *base, bool read);

/**
 * seam_store_relay_all_lost() - whether no known node reaches the store
 *
 * Asks each node that has registered recently. Returns false if a node does not
 * respond or could not be asked before @deadline, since it may reach the store,
 * and before the nodes' rows were first read.
 */
bool seam_store_relay_all_lost(struct seam_store *base, seam_time deadline);

/**
 * seam_store_relay_has_larger() - whether a recently registered node may use at
 * least 1.5 times the processor time of this one
 */
bool seam_store_relay_has_larger(struct seam_store *base);

/** seam_store_relay_nodes() - list at most @max of the other known nodes */
size_t seam_store_relay_nodes(struct seam_store *base,
			      struct seam_node_info *info, size_t max);

/**
 * seam_store_relay_is_unreachable() - whether the store has served this node
 * neither directly nor through another node for a short time
 */
bool seam_store_relay_is_unreachable(struct seam_store *base);

/**
 * seam_store_relay_told_lost_at() - when this node last told another one that
 * it does not reach the store; 0 before the first time
 */
seam_time seam_store_relay_told_lost_at(struct seam_store *base);

#ifdef __cplusplus
}
#endif
#endif
