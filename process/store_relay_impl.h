#ifndef SEAM_STORE_RELAY_IMPL_H
#define SEAM_STORE_RELAY_IMPL_H

#include "process/rest.h"
#include "process/store_relay.h"
#include "process/store_serve.h"

#include <glib.h>
#include <pthread.h>

#define PEERS_MAX 64

/* @store: its store calls; @state: its /v1/state; @failures: calls that it did
 * not pass on since it did; @live: registered lately; @processor: thousandths
 * of a core, 0 if it is not known */
struct peer {
	char addr[64];
	struct seam_store *store;
	struct seam_rest *state;
	seam_time pause_until;
	int failures;
	bool live;
	int processor;
	char dc[SEAM_NAME];
};

struct relay;
struct call;

/* The store as this node uses it, or as others do through this node. */
struct view {
	struct seam_store store;
	struct relay *relay;
	int (*carry)(struct relay *r, struct call *c, seam_time deadline,
		     struct seam_err *e);
};

/*
 * @own: for this node
 * @lent: for the others
 * @direct: the store
 * @down: it did not serve the latest call
 * @probe_at: when the next call tries it again
 * @ok_at: when a call was answered last, directly or not
 */
struct relay {
	struct view own;
	struct view lent;
	struct seam_store *direct;
	struct seam_store_serve served;
	struct seam_clock *clock;
	char node[64];
	char control[64];
	char dc[SEAM_NAME];
	int processor;
	pthread_mutex_t lock;
	struct peer peer[PEERS_MAX];
	int peers;
	guint offset; /* of equal peers each node asks another one */
	GHashTable *seen; /* row of a node to struct seen */
	bool looked; /* the nodes' rows were read */
	bool down;
	seam_time probe_at;
	seam_time ok_at;
};

/* store_peers.c: the other nodes; each takes the lock */
void relay_add_peer(struct relay *r, const char *addr, int processor,
		    const char *dc, bool live);
int relay_pick_peer(struct relay *r, bool waits, seam_time now);
void relay_note_peer(struct relay *r, int i, bool served);

#endif
