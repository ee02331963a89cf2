#ifndef SEAM_STORE_RELAY_IMPL_H
#define SEAM_STORE_RELAY_IMPL_H

#include "process/rest.h"
#include "process/row_writer.h"
#include "process/store_relay.h"
#include "process/store_serve.h"

#include <glib.h>
#include <pthread.h>

#define PEERS_MAX 1024

/*
 * Another node.
 *
 * @store: client of its store calls
 * @state: client of its /v1/state
 * @retry_at: it is not asked before this time
 * @failures: calls that it failed to forward since the last one it forwarded
 * @live: it has registered recently
 * @processor: processor time that it may use, thousandths of a core; 0 if
 *             unknown
 */
struct peer {
	char addr[64];
	struct seam_store *store;
	struct seam_rest *state;
	seam_time retry_at;
	int failures;
	bool live;
	int processor;
	char dc[SEAM_NAME_SIZE];
};

struct relay;
struct store_call;

/* Store interface of the relay: for this node, or for calls of other nodes. */
struct relay_view {
	struct seam_store store;
	struct relay *relay;
	int (*execute)(struct relay *r, struct store_call *c,
		       seam_time deadline, struct seam_err *e);
};

/*
 * @local: interface for this node
 * @remote: interface for other nodes
 * @direct: this node's own connection to the store
 * @server: serves @remote to other nodes
 * @offset: where the search for a peer starts; differs between nodes, so that
 *          they spread their calls over equal peers
 * @node_row: writer of this node's row
 * @node_rows: key of a node's row to struct node_row
 * @nodes_read: the nodes' rows were read at least once
 * @refreshes: refreshes since they were read
 * @down: @direct did not serve the latest call
 * @probe_at: time from which a call tries @direct again
 * @told_lost_at: when another node was last told that this one does not reach
 *     the store
 * @ok_at: time of the latest call that was served, directly or by a peer
 */
struct relay {
	struct relay_view local;
	struct relay_view remote;
	struct seam_store *direct;
	struct seam_store_server server;
	struct seam_clock *clock;
	char node[64];
	char control[64];
	char dc[SEAM_NAME_SIZE];
	int processor;
	pthread_mutex_t lock;
	struct peer peer[PEERS_MAX];
	int peers;
	guint offset;
	struct seam_row_writer node_row;
	GHashTable *node_rows;
	bool nodes_read;
	int refreshes;
	bool down;
	seam_time probe_at;
	seam_time told_lost_at;
	seam_time ok_at;
};

/* Defined in store_peers.c; each acquires the lock. */
void relay_add_peer(struct relay *r, const char *addr, int processor,
		    const char *dc, bool live);
int relay_pick_peer(struct relay *r, bool is_watch, seam_time now);
void relay_record_result(struct relay *r, int i, bool served);

#endif
