#ifndef SEAM_MEMBER_IMPL_H
#define SEAM_MEMBER_IMPL_H

/* Internal to process/member_*.c. */

#include <glib.h>

#include "process/member.h"

#define SEAM_HINT_HANDLERS 8

/* Receiver of hints about rows whose key begins with @prefix. */
struct seam_hint_handler {
	const char *prefix;
	seam_hint_fn fn;
	void *arg;
};

/* The last values of a load that were sent to peers. */
struct sent_load {
	uint32_t load;
	uint32_t previous; /* value sent before @load */
	uint64_t seq; /* of the message; the oldest value is sent again first */
};

struct seam_members {
	struct seam_owner owner; /* first, so that the owner is the object */
	struct seam_node *node;
	struct seam_bus *bus;
	struct seam_msg_key key;
	pthread_mutex_t lock;
	struct seam_table *table; /* struct seam_member */
	uint64_t inc;
	uint64_t seq;
	uint64_t seed;
	bool listed; /* own row was present when the rows were last read */
	seam_time read_rows_at;
	seam_time register_at;
	seam_time heartbeat_at;
	seam_time last_pass_at;
	seam_time settled_at; /* as in struct seam_member, for this node */
	seam_time store_at;
	seam_time rows_read_at;
	/* Every node that registered by then is known. */
	seam_time known_until; /* 0 if the rows have not been read */
	bool unknown_nodes; /* a node missing in @table may exist */
	GHashTable *sent_loads; /* key of a load to struct sent_load */
	pthread_mutex_t handler_lock; /* held while a handler runs */
	seam_member_fn handle;
	void *handle_arg;
	struct seam_hint_handler handler[SEAM_HINT_HANDLERS];
	int handlers;
	int64_t hint_tokens; /* in thousandths of a hint */
	uint64_t hint_no; /* number of the latest hint to all peers */
	uint64_t hint_gaps;
	seam_time tokens_added_at;
};

/* Called with the lock held. */
struct seam_member *seam_member_find(struct seam_members *m, const char *node);
bool seam_member_suspected(const struct seam_member *b, seam_time now);
seam_time seam_member_jitter(struct seam_members *m, seam_time period);
void seam_member_remove(struct seam_members *m, struct seam_handle h);

/* Records that the rows read contain every node that registered before @now. */
void seam_member_rows_read(struct seam_members *m, seam_time now);

/* Called without the lock, because these call the store or the transport. */
void seam_member_register(struct seam_members *m, seam_time now);
void seam_member_read_rows(struct seam_members *m, seam_time now);
void seam_member_send_heartbeats(struct seam_members *m, seam_time now);
#define SEAM_LOAD_KEY_SIZE 64
/*
 * Loads are sent under the id of the target. The requests of a service,
 * waiting ones included, are sent under this key. Returns false if the name is
 * too long for a key.
 */
bool seam_member_service_key(const char *service, char key[SEAM_LOAD_KEY_SIZE]);
void seam_member_update_loads(struct seam_members *m, seam_time now);
void seam_member_check_vm_list(struct seam_members *m, seam_time now);

/* Called with the lock held. Detects hints that were sent but not received. */
void seam_member_check_hint_number(struct seam_members *m,
				   struct seam_member *b,
				   const struct seam_msg *msg);

/* Called with @handler_lock held. Passes a hint to its handlers. */
void seam_member_dispatch_hint(struct seam_members *m,
			       const struct seam_msg *msg);

/* Rendezvous hashing: the node with the highest weight owns the name. */
uint64_t seam_member_weight(const char *node, const char *name);

const struct seam_owner_ops *seam_member_owner_ops(void);

#endif
