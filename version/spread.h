#ifndef SEAM_SPREAD_H
#define SEAM_SPREAD_H

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
#define SEAM_STORE_GONE (3 * SEAM_SEC)

/**
 * struct seam_spread_peer - last message of a registered member
 * @heard: its current incarnation has sent a message and it is not suspected
 * @version: its configuration version
 * @confirmed_at: no change above @version was accepted before this time of its
 *                clock
 * @sent_at: time of the message, by its clock
 * @store_at: time of its last response from the store, by its clock
 * @unsettled: it has a change whose outcome is unknown
 */
struct seam_spread_peer {
	bool heard;
	uint64_t version;
	seam_time confirmed_at;
	seam_time sent_at;
	seam_time store_at;
	bool unsettled;
};

/**
 * struct seam_spread_state - input of seam_spread_by_absence()
 * @now: current time
 * @version: own version
 * @store_at: time of the last response of the store to this node
 * @unsettled: this node has a change whose outcome is unknown
 * @registered: the own member row is in the list of members
 * @watched: @peer has all nodes that can have registered by then; 0 if nodes
 *           may be missing
 * @skew: maximum difference between two clocks
 * @peer: all other registered members
 * @peers: number of them
 */
struct seam_spread_state {
	seam_time now;
	uint64_t version;
	seam_time store_at;
	bool unsettled;
	bool registered;
	seam_time watched;
	seam_time skew;
	const struct seam_spread_peer *peer;
	size_t peers;
};

/**
 * seam_spread_by_peer() - time up to which a peer confirms @version
 * @version: own version
 * @p: state of the peer
 * @skew: maximum difference between two clocks
 *
 * Return: a time of the own clock, or 0 if the peer confirms nothing.
 */
seam_time seam_spread_by_peer(uint64_t version,
			      const struct seam_spread_peer *p, seam_time skew);

/**
 * seam_spread_by_absence() - time up to which no change is possible
 * @s: state of this node and its peers
 *
 * While the store is unreachable, the own version is confirmed if all
 * registered members have sent a message, neither they nor this node have
 * reached the store recently, none has a change whose outcome is unknown, and
 * none has a higher version. A message is valid for the time at which it was
 * sent, so the result is the earliest of these times minus the skew. The last
 * response of the store to a member must be at least SEAM_STORE_GONE before its
 * message. A node that is not known here can accept a change, so @watched
 * bounds the result as well.
 *
 * Return: a time of the own clock, or 0 if the version is not confirmed.
 */
seam_time seam_spread_by_absence(const struct seam_spread_state *s);

enum seam_spread_act {
	SEAM_SPREAD_NOTHING, /* not newer than the own version */
	SEAM_SPREAD_APPLY, /* apply the change to the own version */
	SEAM_SPREAD_FETCH, /* versions in between are missing: read them */
};

/**
 * seam_spread_on_change() - decide how to handle a pushed change
 * @own: own version
 * @base: version to which the change applies
 * @version: version that results from the change
 */
enum seam_spread_act seam_spread_on_change(uint64_t own, uint64_t base,
					   uint64_t version);

#ifdef __cplusplus
}
#endif
#endif
