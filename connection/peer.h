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
#define SEAM_MSG_MAC 32 /* bytes of the keyed hash before each message */
#define SEAM_LOADS_MAX 512 /* targets in one beat */

/** enum seam_msg_kind - kinds of messages between nodes */
enum seam_msg_kind {
	SEAM_MSG_BEAT,
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
 * @seq: grows with each message of an incarnation
 * @kind: enum seam_msg_kind
 * @version: configuration version of the sender
 * @confirmed_at: no change above @version was accepted before this time, by
 *                the clock of the sender
 * @sent_at: time of sending, by the clock of the sender
 * @store_at: latest time at which the store answered the sender
 * @unsettled: the sender has a change whose outcome is not known
 * @base: SEAM_MSG_CHANGE: version that @text applies to; SEAM_MSG_BEAT and
 *        SEAM_MSG_HINT: number of the latest hint to all peers, 0 in a hint to
 *        one peer
 * @next: version that @text leads to or is; older than @version if the sender
 *        adopted another one meanwhile
 * @addr: SEAM_MSG_SNAPSHOT_GET: peer address of the sender
 * @text: change or whole document as JSON, or the key of the row that a
 *        SEAM_MSG_HINT is about; owned by the message; may be NULL
 * @load: requests on targets, a delta
 * @loads: their number
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

/** seam_msg_free() - free what the message owns */
void seam_msg_free(struct seam_msg *m);

/**
 * seam_msg_encode() - message as MessagePack
 * @m: message
 * @len: receives the length in bytes
 *
 * Return: bytes to be freed with free(), or NULL without memory.
 */
char *seam_msg_encode(const struct seam_msg *m, size_t *len);

/**
 * seam_msg_decode() - read a message; nothing is owned after a failure
 * @e: SEAM_BAD_REQUEST if it is damaged, truncated or of another format
 */
int seam_msg_decode(const char *bytes, size_t len, struct seam_msg *m,
		    struct seam_err *e);

/** struct seam_msg_key - key of the hash that authenticates messages */
struct seam_msg_key {
	unsigned char bytes[32];
};

/** seam_msg_key_init() - key from the cluster key of the settings */
void seam_msg_key_init(struct seam_msg_key *k, const char *cluster_key);

/**
 * seam_msg_seal() - encode @m and put the keyed hash before it
 * @k: key
 * @to: peer address of the receiver; covered by the hash, so that a message
 *      to one node is refused by the others
 */
char *seam_msg_seal(const struct seam_msg_key *k, const char *to,
		    const struct seam_msg *m, size_t *len);

/** seam_msg_open() - check the hash and decode */
int seam_msg_open(const struct seam_msg_key *k, const char *to,
		  const char *bytes, size_t len, struct seam_msg *m,
		  struct seam_err *e);

struct seam_bus;

/** typedef seam_bus_fn - receives the bytes of one message */
typedef void (*seam_bus_fn)(void *arg, const char *bytes, size_t len);

/**
 * struct seam_bus_ops - transport of messages between nodes
 * @send: queue a copy for the node at @addr; never waits; may lose it
 * @keep: close the links to addresses that are not listed
 * @close: stop and free
 */
struct seam_bus_ops {
	void (*send)(struct seam_bus *b, const char *addr, const char *bytes,
		     size_t len);
	void (*keep)(struct seam_bus *b, const char *const *addr, size_t n);
	void (*close)(struct seam_bus *b);
};

/** struct seam_bus - transport; the vtable is the first member */
struct seam_bus {
	const struct seam_bus_ops *ops;
};

static inline void seam_bus_close(struct seam_bus *b)
{
	if (b)
		b->ops->close(b);
}

/**
 * seam_bus_zmq_new() - transport over ZeroMQ
 * @addr: IP:PORT to listen on
 * @fn: called by the receiving thread
 * @arg: passed to it
 * @e: SEAM_UNAVAILABLE if the address can't be used
 *
 * One thread receives on a ROUTER socket. Each peer has a thread with a DEALER
 * socket and a bounded queue, from which the oldest message is dropped.
 */
struct seam_bus *seam_bus_zmq_new(const char *addr, seam_bus_fn fn, void *arg,
				  struct seam_err *e);

/**
 * struct seam_hub_faults - faults of the in-process transport
 * @drop: of 1,000 messages, how many are lost
 * @repeat: of 1,000 messages, how many are delivered twice
 * @reorder: of 1,000 messages, how many go before one that was sent earlier
 * @damage: of 1,000 messages, how many have a byte changed or are cut short
 */
struct seam_hub_faults {
	int drop;
	int repeat;
	int reorder;
	int damage;
};

/** struct seam_hub - connects nodes in one thread of one process */
struct seam_hub;

/** seam_hub_new() - hub whose random choices follow from @seed */
struct seam_hub *seam_hub_new(uint64_t seed);

/** seam_hub_join() - transport of the node at @addr */
struct seam_bus *seam_hub_join(struct seam_hub *h, const char *addr,
			       seam_bus_fn fn, void *arg);

/** seam_hub_faults() - set the faults */
void seam_hub_faults(struct seam_hub *h, const struct seam_hub_faults *f);

/** seam_hub_cut() - lose, or carry again, all messages from @a to @b */
void seam_hub_cut(struct seam_hub *h, const char *a, const char *b, bool cut);

/** seam_hub_hold() - keep what is sent to @addr until it is released */
void seam_hub_hold(struct seam_hub *h, const char *addr, bool hold);

/** seam_hub_pump() - deliver what was sent, and what is sent meanwhile */
void seam_hub_pump(struct seam_hub *h);

/** seam_hub_bytes() - bytes that the node at @addr has sent */
uint64_t seam_hub_bytes(struct seam_hub *h, const char *addr);

/** seam_hub_free() - free; all transports are closed by then */
void seam_hub_free(struct seam_hub *h);

#ifdef __cplusplus
}
#endif
#endif
