#ifndef SEAM_MEMBER_IMPL_H
#define SEAM_MEMBER_IMPL_H

/* Shared by the files of the member library only. */

#include <glib.h>

#include "process/member.h"

#define SEAM_HINT_HANDLERS 8

/* Who receives hints about rows whose key begins with @prefix. */
struct seam_hint_handler {
	const char *prefix;
	seam_hint_fn fn;
	void *arg;
};

/* What peers were last told of a load. */
struct told {
	uint32_t load;
	uint32_t before; /* the time before */
	uint64_t beat; /* when, to repeat the oldest */
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
	bool listed; /* own row was in the last list read */
	seam_time scan_at;
	seam_time register_at;
	seam_time beat_at;
	seam_time passed_at;
	seam_time quiet_at; /* as in struct seam_member, for this node */
	seam_time store_at;
	seam_time rows_at; /* when the rows were last read */
	seam_time watched; /* later nodes are not known; 0: no rows read */
	bool unknown; /* a node may have registered unseen since then */
	GHashTable *told; /* key of a load to struct told */
	pthread_mutex_t fn_lock; /* held while @fn runs */
	seam_member_fn fn;
	void *arg;
	struct seam_hint_handler hint[SEAM_HINT_HANDLERS];
	int hints;
	int64_t hint_tokens; /* in thousandths of a hint */
	uint64_t hint_no; /* of the latest hint to all peers */
	uint64_t hint_gaps;
	seam_time hint_at; /* when the tokens were last added up */
};

/* The lock is held by the caller of these. */
struct seam_member *seam_member_find(struct seam_members *m, const char *node);
bool seam_member_suspected(const struct seam_member *b, seam_time now);
seam_time seam_member_jitter(struct seam_members *m, seam_time period);
void seam_member_del(struct seam_members *m, struct seam_handle h);

/* The rows that were read had every node that registered before @now. */
void seam_member_watched(struct seam_members *m, seam_time now);

/* Not held: these call the store or the transport. */
void seam_member_register(struct seam_members *m, seam_time now);
void seam_member_scan(struct seam_members *m, seam_time now);
void seam_member_beat(struct seam_members *m, seam_time now);
#define SEAM_LOAD_KEY 64
/*
 * Loads are told by the id of the target, and requests of a service, waiting
 * ones included, by this key; false if the name is too long for it.
 */
bool seam_member_service_key(const char *service, char key[SEAM_LOAD_KEY]);
void seam_member_loads(struct seam_members *m, seam_time now);
void seam_member_watch(struct seam_members *m, seam_time now);

/* The lock is held: compares the number of hints with those received. */
void seam_member_count_hints(struct seam_members *m, struct seam_member *b,
			     const struct seam_msg *msg);

/* @fn_lock is held: hands a hint to its handler. */
void seam_member_take_hint(struct seam_members *m, const struct seam_msg *msg);

/* Weight of a node in rendezvous hashing; the highest owns the name. */
uint64_t seam_member_weight(const char *node, const char *name);

const struct seam_owner_ops *seam_member_owner_ops(void);

#endif
