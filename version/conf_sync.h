#ifndef SEAM_CONF_SYNC_H
#define SEAM_CONF_SYNC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * A member that reached the store within this time counts as connected to it.
 * Members poll each second, so three polls have failed by then.
 */
#define SEAM_STORE_UNREACHABLE_AFTER (3 * SEAM_SEC)

/**
 * struct seam_conf_sync_peer - last message of a registered member
 * @heard: its current incarnation has sent a message and it is not suspected
 * @version: its configuration version
 * @confirmed_at: no change above @version was accepted before this time of its
 *                clock
 * @sent_at: time of the message, by its clock
 * @store_at: time of its last response from the store, by its clock
 * @unsettled: it has a change whose outcome is unknown
 */
struct seam_conf_sync_peer {
	bool heard;
	uint64_t version;
	seam_time confirmed_at;
	seam_time sent_at;
	seam_time store_at;
	bool unsettled;
};

/**
 * struct seam_conf_sync_state - input of seam_conf_confirmed_without_store()
 * @now: current time
 * @version: own version
 * @store_at: time of the last response of the store to this node
 * @unsettled: this node has a change whose outcome is unknown
 * @registered: the own member row is in the list of members
 * @peers_known_until: @peer has all nodes that can have registered by then; 0
 *                     if nodes may be missing
 * @skew: maximum difference between two clocks
 * @peer: all other registered members
 * @peers: number of them
 */
struct seam_conf_sync_state {
	seam_time now;
	uint64_t version;
	seam_time store_at;
	bool unsettled;
	bool registered;
	seam_time peers_known_until;
	seam_time skew;
	const struct seam_conf_sync_peer *peer;
	size_t peers;
};

/**
 * seam_conf_confirmed_by_peer() - time up to which a peer confirms @version
 * @version: own version
 * @p: state of the peer
 * @skew: maximum difference between two clocks
 *
 * Return: a time of the own clock, or 0 if the peer confirms nothing.
 */
seam_time seam_conf_confirmed_by_peer(uint64_t version,
				      const struct seam_conf_sync_peer *p,
				      seam_time skew);

/**
 * seam_conf_confirmed_without_store() - time up to which no change is possible
 * @s: state of this node and its peers
 *
 * While the store is unreachable, the own version is confirmed if all
 * registered members have sent a message, neither they nor this node have
 * reached the store recently, none has a change whose outcome is unknown, and
 * none has a higher version. A message is valid for the time at which it was
 * sent, so the result is the earliest of these times minus the skew. The last
 * response of the store to a member must be at least
 * SEAM_STORE_UNREACHABLE_AFTER before its message. A node that is not known
 * here can accept a change, so @peers_known_until bounds the result as well.
 *
 * Return: a time of the own clock, or 0 if the version is not confirmed.
 */
seam_time
seam_conf_confirmed_without_store(const struct seam_conf_sync_state *s);

enum seam_conf_push_action {
	SEAM_CONF_PUSH_IGNORE, /* not newer than the own version */
	SEAM_CONF_PUSH_APPLY, /* apply the change to the own version */
	SEAM_CONF_PUSH_FETCH, /* versions in between are missing: read them */
};

/**
 * seam_conf_decide_push() - decide how to handle a pushed change
 * @own: own version
 * @base: version to which the change applies
 * @version: version that results from the change
 */
enum seam_conf_push_action seam_conf_decide_push(uint64_t own, uint64_t base,
						 uint64_t version);

#ifdef __cplusplus
}
#endif
#endif
