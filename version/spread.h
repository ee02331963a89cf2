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
 * A member that reached the store within this time counts as having it: it
 * polls each second, so three polls have failed by then.
 */
#define SEAM_STORE_GONE (3 * SEAM_SEC)

/**
 * struct seam_spread_peer - last message of a registered member
 * @heard: a message of its current incarnation came and it is not suspected
 * @version: its configuration version
 * @confirmed_at: no change above @version was accepted before, by its clock
 * @sent_at: time of the message, by its clock
 * @store_at: latest time at which the store answered it, by its clock
 * @unsettled: it has a change whose outcome is not known
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
 * struct seam_spread_state - what a node knows about versions
 * @now: time
 * @version: own version
 * @store_at: latest time at which the store answered this node
 * @unsettled: this node has a change whose outcome is not known
 * @registered: own member row is in the list of members
 * @watched: @peer has every node that can have registered before this time; 0
 *           if nodes may be missing
 * @skew: greatest difference between two clocks
 * @peer: every other registered member
 * @peers: their number
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
 * seam_spread_by_peer() - time at which one peer's message confirms @version
 * @version: own version
 * @p: the message
 * @skew: greatest difference between two clocks
 *
 * Return: a time of the own clock, or 0 if it confirms nothing.
 */
seam_time seam_spread_by_peer(uint64_t version,
			      const struct seam_spread_peer *p, seam_time skew);

/**
 * seam_spread_by_absence() - time up to which nobody can have accepted a change
 * @s: what this node knows
 *
 * Holds when every registered member was heard, none of them (nor this node)
 * has reached the store lately, none has a change whose outcome is unknown,
 * and none has a higher version. Each message vouches for the time at which it
 * was sent, so the result is the oldest of these times minus the skew. A
 * member that had the store a moment ago makes the rule wait: its last success
 * must be SEAM_STORE_GONE before its message. A node that this one does not
 * know can accept a change, so the result is also bounded by @watched.
 *
 * Return: a time of the own clock, or 0 if the rule does not hold.
 */
seam_time seam_spread_by_absence(const struct seam_spread_state *s);

enum seam_spread_act {
	SEAM_SPREAD_NOTHING, /* old or equal */
	SEAM_SPREAD_APPLY, /* apply the change to the own version */
	SEAM_SPREAD_FETCH, /* there is a gap: ask for a snapshot */
};

/**
 * seam_spread_on_change() - what to do with a pushed change
 * @own: own version
 * @base: version that the change applies to
 * @version: version that it leads to
 */
enum seam_spread_act seam_spread_on_change(uint64_t own, uint64_t base,
					   uint64_t version);

#ifdef __cplusplus
}
#endif
#endif
