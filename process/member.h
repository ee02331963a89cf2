#ifndef SEAM_MEMBER_H
#define SEAM_MEMBER_H

#include "connection/peer.h"
#include "process/node.h"
#include "version/conf_sync.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SEAM_HEARTBEAT_INTERVAL (1 * SEAM_SEC)
#define SEAM_SUSPECT_TIMEOUT (3 * SEAM_SEC)
#define SEAM_REQUEST_DURATION_MAX (30 * SEAM_SEC)
/* Time to read the rows and exchange loads. */
#define SEAM_VIEW_SETTLE_TIME (8 * SEAM_SEC)
#define SEAM_HINTS_PER_SEC 32 /* 8 KB/s at 250 bytes each */
#define SEAM_HEARTBEAT_BYTES_PER_SEC 10240 /* total over all peers */

/**
 * struct seam_member - another registered node
 * @node: name
 * @vm: id of its VM
 * @dc: data centre
 * @listen: IP:PORT for callers
 * @peer: IP:PORT for nodes
 * @region: region of the data centre; empty if unknown
 * @inc: incarnation in its row
 * @row_version: version of its row
 * @received_inc: incarnation of the last message accepted
 * @seq: sequence number of the last message accepted
 * @suspect_at: time from which it is suspected
 * @settled_at: time from which its view is current again and requests of its
 *              earlier processes have ended
 * @row_expires_at: time from which its row may be deleted; 0 while its VM is
 *                  listed
 * @hint_no: number of its latest hint to all peers
 * @last: state reported in its last message
 * @load: maps a target to its last reported load there; private
 */
struct seam_member {
	char node[64];
	char vm[64];
	char dc[64];
	char listen[64];
	char peer[64];
	char region[64];
	uint64_t inc;
	uint64_t row_version;
	uint64_t received_inc;
	uint64_t seq;
	seam_time suspect_at;
	seam_time settled_at;
	seam_time row_expires_at;
	uint64_t hint_no;
	struct seam_conf_sync_peer last;
	void *load;
};

/** struct seam_members - one node's view of the membership; thread-safe */
struct seam_members;

/** typedef seam_member_fn - receives accepted changes and snapshot messages */
typedef void (*seam_member_fn)(void *arg, const struct seam_msg *m);

/** typedef seam_hint_fn - receives the key of a row; must not block */
typedef void (*seam_hint_fn)(void *arg, const char *key);

/**
 * seam_members_new() - create the membership of @n; sets n->owner
 * @n: node; not owned
 * @seed: seed for the jitter
 */
struct seam_members *seam_members_new(struct seam_node *n, uint64_t seed);

/** seam_members_set_bus() - set the transport; @b is not owned */
void seam_members_set_bus(struct seam_members *m, struct seam_bus *b);

/** seam_members_set_handler() - set the receiver of changes and snapshots */
void seam_members_set_handler(struct seam_members *m, seam_member_fn fn,
			      void *arg);

/**
 * seam_members_set_hint_handler() - set the receiver of hints about rows
 * @m: members
 * @prefix: start of the keys; not copied
 * @fn: called by the receiving thread; NULL removes the handler
 * @arg: passed to @fn
 *
 * No call of the previous handler is in progress once this returns.
 */
void seam_members_set_hint_handler(struct seam_members *m, const char *prefix,
				   seam_hint_fn fn, void *arg);

/**
 * seam_members_send_hint() - notify peers that a row changed or is wanted
 * @m: members
 * @key: key of the row
 * @name: the owner of this name is notified; NULL notifies all peers
 *
 * Hints only reduce latency: they can be lost, and above SEAM_HINTS_PER_SEC
 * they are dropped and counted. The reader must find the row without them too.
 * Nothing is sent if this node is the owner of @name.
 */
void seam_members_send_hint(struct seam_members *m, const char *key,
			    const char *name);

/**
 * seam_members_send_hint_to_node() - notify one node that a row changed or is
 * wanted
 * @m: members
 * @key: key of the row
 * @node: name of a live member; nothing is sent to others
 *
 * The limits of seam_members_send_hint() apply.
 */
void seam_members_send_hint_to_node(struct seam_members *m, const char *key,
				    const char *node);

/**
 * seam_members_hint_gaps() - how often a hint to all peers may have been missed
 * @m: members
 * @now: time
 *
 * Hints to all peers are numbered, and each heartbeat carries the latest
 * number. While the result stays the same, this node has received every such
 * hint that another member sent up to two heartbeats ago. The result grows with
 * each call while a member is suspected or no message of it has arrived.
 */
uint64_t seam_members_hint_gaps(struct seam_members *m, seam_time now);

/** seam_members_receive() - process a received message; a seam_bus_fn */
void seam_members_receive(void *arg, const char *bytes, size_t len);

/**
 * seam_members_pass() - register, read the rows and send heartbeats when due
 *
 * Return: time of the next pass.
 */
seam_time seam_members_pass(struct seam_members *m, seam_time now);

/** seam_members_copy() - copy of the other members; free with free() */
struct seam_member *seam_members_copy(struct seam_members *m, size_t *n);

/** seam_members_inc() - incarnation of this node; 0 until registered */
uint64_t seam_members_inc(struct seam_members *m);

/**
 * seam_members_all_current() - whether the known loads cover all requests and
 * every member reads the rows of the store
 *
 * A request continues at its target after its node has ended. The node's next
 * process does not count it, and a process has not received the loads that were
 * sent before it started. So the result is false for SEAM_REQUEST_DURATION_MAX
 * after each start of a process. A node that reaches the store or its peers
 * again routes by its old view for some seconds, so the result is also false
 * for SEAM_VIEW_SETTLE_TIME after each such interruption.
 *
 * Return: true if the member rows were read recently, every member has sent a
 * message and is not suspected at @now, the store had recently answered each
 * one according to its last message, and both periods are over.
 */
bool seam_members_all_current(struct seam_members *m, seam_time now);

/** seam_members_live_count() - members not suspected, with this node */
int seam_members_live_count(struct seam_members *m, seam_time now);

/** seam_members_send() - send @msg to @addr; fills in its header */
void seam_members_send(struct seam_members *m, const char *addr,
		       struct seam_msg *msg);

/** seam_members_confirm() - confirm the version by peers or by absence */
void seam_members_confirm(struct seam_members *m, seam_time now);

/** seam_members_record_store_answer() - a call begun at @at was answered */
void seam_members_record_store_answer(struct seam_members *m, seam_time at);

/** seam_members_free() - free; n->owner is seam_owner_all() again */
void seam_members_free(struct seam_members *m);

/** struct seam_versions - adopts configuration versions from store and peers */
struct seam_versions;

/** seam_versions_new() - create for @n; @m is NULL for a single node */
struct seam_versions *seam_versions_new(struct seam_node *n,
					struct seam_members *m);

/** seam_versions_pass() - poll the store, push changes, query peers */
seam_time seam_versions_pass(struct seam_versions *v, seam_time now);

/** seam_versions_free() - free */
void seam_versions_free(struct seam_versions *v);

#ifdef __cplusplus
}
#endif
#endif
