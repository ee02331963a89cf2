#ifndef SEAM_MEMBER_H
#define SEAM_MEMBER_H

#include "connection/peer.h"
#include "process/node.h"
#include "version/spread.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SEAM_BEAT_PERIOD (1 * SEAM_SEC)
#define SEAM_SUSPECT_AFTER (3 * SEAM_SEC)
#define SEAM_REQUESTS_END (30 * SEAM_SEC) /* longest request */
#define SEAM_VIEW_SETTLES (8 * SEAM_SEC) /* read the rows, tell the loads */
#define SEAM_HINTS_PER_SEC 32 /* of 250 bytes: 8 KB/s when all are used */
#define SEAM_BEAT_BYTES_PER_SEC 10240 /* to all peers together */

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
 * @heard_inc: incarnation of the last message accepted
 * @seq: sequence number of the last message accepted
 * @suspect_at: suspected from then on
 * @quiet_at: by then its view is current again, and requests of its earlier
 *            processes have ended
 * @missing_at: its row may be dropped from then on; 0 while its VM is listed
 * @hint_no: number of its latest hint to all peers
 * @last: what the last message said
 * @load: target to its last load there, private
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
	uint64_t heard_inc;
	uint64_t seq;
	seam_time suspect_at;
	seam_time quiet_at;
	seam_time missing_at;
	uint64_t hint_no;
	struct seam_spread_peer last;
	void *load;
};

/** struct seam_members - the members as one node knows them; locked inside */
struct seam_members;

/** typedef seam_member_fn - receives accepted messages that are not beats */
typedef void (*seam_member_fn)(void *arg, const struct seam_msg *m);

/** typedef seam_hint_fn - receives the key of a row; must not wait */
typedef void (*seam_hint_fn)(void *arg, const char *key);

/**
 * seam_members_new() - members of @n's fleet; sets n->owner
 * @n: node; not owned
 * @seed: seed of the jitter
 */
struct seam_members *seam_members_new(struct seam_node *n, uint64_t seed);

/** seam_members_bus() - transport to use; not owned */
void seam_members_bus(struct seam_members *m, struct seam_bus *b);

/** seam_members_handler() - who receives changes and snapshots */
void seam_members_handler(struct seam_members *m, seam_member_fn fn, void *arg);

/**
 * seam_members_on_hint() - who receives hints about rows
 * @m: members
 * @prefix: start of the keys; not copied
 * @fn: called by the receiving thread; NULL ends it, and no call is in progress
 *      once this returns
 * @arg: passed to it
 */
void seam_members_on_hint(struct seam_members *m, const char *prefix,
			  seam_hint_fn fn, void *arg);

/**
 * seam_members_hint() - tell peers that a row changed or is wanted
 * @m: members
 * @key: key of the row
 * @name: name that decides the owner, who is told; NULL tells all peers
 *
 * Hints save time only: they can be lost, and past SEAM_HINTS_PER_SEC they are
 * dropped and counted. The reader has to find the row without them as well.
 * Nothing is sent if this node is the owner of @name.
 */
void seam_members_hint(struct seam_members *m, const char *key,
		       const char *name);

/**
 * seam_members_hint_node() - tell one node that a row changed or is wanted
 * @m: members
 * @key: key of the row
 * @node: name of a live member; nothing is sent to others
 *
 * Limits are those of seam_members_hint().
 */
void seam_members_hint_node(struct seam_members *m, const char *key,
			    const char *node);

/**
 * seam_members_hint_gaps() - how often a hint to all peers may have been missed
 * @m: members
 * @now: time
 *
 * Hints to all peers are numbered, and each beat tells the latest number. While
 * the result stays the same, every row that another member gave such a hint
 * about, up to two beats ago, was told to this node. It grows with each call
 * while a member is suspected or has not been heard.
 */
uint64_t seam_members_hint_gaps(struct seam_members *m, seam_time now);

/** seam_members_wire() - receive the bytes of a message; a seam_bus_fn */
void seam_members_wire(void *arg, const char *bytes, size_t len);

/**
 * seam_members_pass() - register, read the rows, send beats, as they are due
 *
 * Return: time of the next pass.
 */
seam_time seam_members_pass(struct seam_members *m, seam_time now);

/** seam_members_copy() - members other than this node; free with free() */
struct seam_member *seam_members_copy(struct seam_members *m, size_t *n);

/** seam_members_inc() - own incarnation, 0 until registered */
uint64_t seam_members_inc(struct seam_members *m);

/**
 * seam_members_all_current() - the loads told are those of all requests, and
 * every member reads the rows of the store
 *
 * A request goes on at its target after its node has ended, and the node's next
 * process does not know of it, nor does this one know what was told before it
 * started. So this waits for SEAM_REQUESTS_END after each start of a process. A
 * node that reaches the store or its peers again sends by its old view for some
 * seconds, so this waits for SEAM_VIEW_SETTLES after each such gap.
 *
 * Return: true if the member rows were read lately, every member was heard and
 * is not suspected at @now, each one said in its last message that the store
 * had answered it lately, and both waits are over.
 */
bool seam_members_all_current(struct seam_members *m, seam_time now);

/** seam_members_live() - members that are not suspected, and this node */
int seam_members_live(struct seam_members *m, seam_time now);

/** seam_members_send() - send to the node at @addr; fills in the head */
void seam_members_send(struct seam_members *m, const char *addr,
		       struct seam_msg *msg);

/** seam_members_confirm() - apply both rules of confirmation */
void seam_members_confirm(struct seam_members *m, seam_time now);

/** seam_members_store_ok() - the store answered a call that began at @at */
void seam_members_store_ok(struct seam_members *m, seam_time at);

/** seam_members_free() - free; n->owner becomes "all" again */
void seam_members_free(struct seam_members *m);

/** struct seam_versions - adopts versions from the store and from peers */
struct seam_versions;

/** seam_versions_new() - versions of @n; @m may be NULL for a lone node */
struct seam_versions *seam_versions_new(struct seam_node *n,
					struct seam_members *m);

/** seam_versions_pass() - poll the store, push, ask peers */
seam_time seam_versions_pass(struct seam_versions *v, seam_time now);

/** seam_versions_free() - free it */
void seam_versions_free(struct seam_versions *v);

#ifdef __cplusplus
}
#endif
#endif
