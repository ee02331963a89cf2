#ifndef SEAM_PEER_H
#define SEAM_PEER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/err.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SEAM_MSG_FORMAT 1
#define SEAM_MSG_BYTES_MAX (16u << 20)
#define SEAM_MSG_MAC_BYTES 32 /* keyed hash before each message */
#define SEAM_MSG_LOADS_MAX 512 /* targets in one heartbeat */

/** enum seam_msg_kind - kinds of messages between nodes */
enum seam_msg_kind {
	SEAM_MSG_HEARTBEAT,
	SEAM_MSG_CHANGE,
	SEAM_MSG_SNAPSHOT_GET,
	SEAM_MSG_SNAPSHOT,
	SEAM_MSG_HINT,
	SEAM_MSG_KINDS
};

/** struct seam_load - requests of the sender on a target */
struct seam_load {
	char target[64];
	uint32_t load;
};

/**
 * struct seam_msg - a message between nodes
 * @from: name of the sender
 * @inc: incarnation of the sender; 0 while it is not registered
 * @seq: sequence number, increasing within an incarnation
 * @kind: enum seam_msg_kind
 * @version: configuration version of the sender
 * @confirmed_at: no change above @version was accepted before this time, by
 *                the clock of the sender
 * @sent_at: time of sending, by the clock of the sender
 * @store_at: latest time at which the store answered the sender
 * @unsettled: the sender has made a change whose outcome is unknown
 * @base: SEAM_MSG_CHANGE: version that @text applies to; SEAM_MSG_HEARTBEAT and
 *        SEAM_MSG_HINT: number of the latest hint to all peers, 0 in a hint to
 *        one peer
 * @next: version of the snapshot in @text, or version after the change in
 *        @text; older than @version if the sender has since adopted another
 * @addr: SEAM_MSG_SNAPSHOT_GET: peer address of the sender
 * @text: change or whole document as JSON, or the key of the row that a
 *        SEAM_MSG_HINT is about; owned by the message; may be NULL
 * @load: requests on targets whose number has changed
 * @loads: length of @load
 */
struct seam_msg {
	char from[64];
	uint64_t inc;
	uint64_t seq;
	enum seam_msg_kind kind;
	uint64_t version;
	seam_time confirmed_at;
	seam_time sent_at;
	seam_time store_at;
	bool unsettled;
	uint64_t base;
	uint64_t next;
	char addr[64];
	char *text;
	struct seam_load *load;
	size_t loads;
};

/** seam_msg_free() - free @text and @load of a message */
void seam_msg_free(struct seam_msg *m);

/**
 * seam_msg_encode() - encode a message as MessagePack
 * @m: message
 * @len: receives the length in bytes
 *
 * Return: bytes to be freed with free(), or NULL if out of memory.
 */
char *seam_msg_encode(const struct seam_msg *m, size_t *len);

/**
 * seam_msg_decode() - decode a message; after a failure @m owns no memory
 * @e: SEAM_BAD_REQUEST if it is malformed, truncated or of another format
 */
int seam_msg_decode(const char *bytes, size_t len, struct seam_msg *m,
		    struct seam_err *e);

/** struct seam_msg_key - key of the hash that authenticates messages */
struct seam_msg_key {
	unsigned char bytes[32];
};

/** seam_msg_key_init() - derive the key from the cluster key */
void seam_msg_key_init(struct seam_msg_key *k, const char *cluster_key);

/**
 * seam_msg_seal() - encode @m and prepend the keyed hash
 * @k: key
 * @to: peer address of the receiver. The hash covers it, so that a message to
 *      one node is refused by the others.
 * @m: message
 * @len: receives the length in bytes
 *
 * Return: bytes to be freed with free(), or NULL if out of memory.
 */
char *seam_msg_seal(const struct seam_msg_key *k, const char *to,
		    const struct seam_msg *m, size_t *len);

/**
 * seam_msg_open() - verify the hash of a message and decode it
 * @e: SEAM_UNAUTHENTICATED if the hash does not match, else as for
 *     seam_msg_decode()
 */
int seam_msg_open(const struct seam_msg_key *k, const char *to,
		  const char *bytes, size_t len, struct seam_msg *m,
		  struct seam_err *e);

struct seam_bus;

/** typedef seam_bus_fn - called with the bytes of each received message */
typedef void (*seam_bus_fn)(void *arg, const char *bytes, size_t len);

/**
 * struct seam_bus_ops - transport of messages between nodes
 * @send: queue a copy for the node at @addr; does not block; it may be lost
 * @set_peers: close the links to peers that are not listed
 * @close: stop the threads and free the transport
 */
struct seam_bus_ops {
	void (*send)(struct seam_bus *b, const char *addr, const char *bytes,
		     size_t len);
	void (*set_peers)(struct seam_bus *b, const char *const *addr,
			  size_t n);
	void (*close)(struct seam_bus *b);
};

/** struct seam_bus - a transport; the vtable is the first member */
struct seam_bus {
	const struct seam_bus_ops *ops;
};

static inline void seam_bus_close(struct seam_bus *b)
{
	if (b)
		b->ops->close(b);
}

/**
 * seam_bus_zmq_new() - create a transport over ZeroMQ
 * @addr: IP:PORT to listen on
 * @fn: called by the receiving thread
 * @arg: passed to @fn
 * @e: SEAM_UNAVAILABLE if the address cannot be used
 *
 * One thread receives on a ROUTER socket. Each peer has a thread with a DEALER
 * socket and a bounded queue; a full queue drops its oldest message.
 */
struct seam_bus *seam_bus_zmq_new(const char *addr, seam_bus_fn fn, void *arg,
				  struct seam_err *e);

/**
 * struct seam_hub_faults - fault rates of the in-process transport
 * @drop: lost messages, per 1,000
 * @repeat: messages delivered twice, per 1,000
 * @reorder: messages that overtake one sent earlier, per 1,000
 * @damage: messages with a changed byte or truncated, per 1,000
 */
struct seam_hub_faults {
	int drop;
	int repeat;
	int reorder;
	int damage;
};

/** struct seam_hub - in-process network of nodes that share one thread */
struct seam_hub;

/** seam_hub_new() - create a hub; @seed determines all random choices */
struct seam_hub *seam_hub_new(uint64_t seed);

/** seam_hub_join() - create the transport of the node at @addr */
struct seam_bus *seam_hub_join(struct seam_hub *h, const char *addr,
			       seam_bus_fn fn, void *arg);

/** seam_hub_faults() - set the fault rates */
void seam_hub_faults(struct seam_hub *h, const struct seam_hub_faults *f);

/** seam_hub_partition() - start or stop to drop all messages from @a to @b */
void seam_hub_partition(struct seam_hub *h, const char *a, const char *b,
			bool cut);

/** seam_hub_pause() - start or stop to delay all messages to @addr */
void seam_hub_pause(struct seam_hub *h, const char *addr, bool pause);

/** seam_hub_deliver() - deliver all messages, also those sent meanwhile */
void seam_hub_deliver(struct seam_hub *h);

/** seam_hub_bytes() - number of bytes that the node at @addr has sent */
uint64_t seam_hub_bytes(struct seam_hub *h, const char *addr);

/** seam_hub_free() - free the hub; all transports must be closed */
void seam_hub_free(struct seam_hub *h);

#ifdef __cplusplus
}
#endif
#endif
