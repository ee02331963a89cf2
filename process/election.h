#ifndef SEAM_ELECTION_H
#define SEAM_ELECTION_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "process/store.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SEAM_ELECTION_ROWS "lead/"
/* The owner row changes with each term, the heartbeat row with each renewal. */
#define SEAM_ELECTION_OWNER_ROW "lead/owner"
#define SEAM_ELECTION_HEARTBEAT_ROW "lead/beat"

/* Terms are multiples of this. The numbers between them are fencing tokens of
 * workers that have restarted during a term. */
#define SEAM_ELECTION_TERM_STEP 1000000
/* A term that has not been renewed for this time is taken over. Worker leases
 * have to last longer, so this bounds how soon the tasks of a lost worker can
 * restart. */
#define SEAM_ELECTION_TIMEOUT (1700 * SEAM_MSEC)
/* An owner stops deciding earlier than that, which tolerates clocks whose rates
 * differ by 5%. */
#define SEAM_ELECTION_TERM_VALIDITY (1300 * SEAM_MSEC)
/* After a longer gap between reads a node starts to observe the term anew. */
#define SEAM_ELECTION_READ_GAP_MAX (1000 * SEAM_MSEC)
/* A node delays its claim by two reads if a larger node may claim. */
#define SEAM_ELECTION_CLAIM_DELAY (900 * SEAM_MSEC)
#define SEAM_ELECTION_RENEW_INTERVAL (300 * SEAM_MSEC)
#define SEAM_ELECTION_CALL_TIMEOUT \
	(600 * SEAM_MSEC) /* timeout of a store call */

/* An owner may be lost before it has written again what the one before left. */
#define SEAM_ELECTION_PRIORS 4

/**
 * struct seam_election_clock - clock of an owner
 * @term: its term
 * @sent_at: time of its clock at which its latest heartbeat was sent
 * @seen_at: when that heartbeat was first read; 0 in an unused element
 */
struct seam_election_clock {
	uint64_t term;
	seam_time sent_at;
	seam_time seen_at;
};

/**
 * struct seam_election - state of a node in the election of the owner
 * @store: table service
 * @clock: clock that runs while the VM is suspended
 * @node: name of this node
 * @term: term as last read, or of this node
 * @owner_version: version of SEAM_ELECTION_OWNER_ROW
 * @heartbeat_version: version of SEAM_ELECTION_HEARTBEAT_ROW
 * @heartbeat_known: of our term, @heartbeat_version is that of the row, unless
 *     a write of ours that had no answer was performed since
 * @heartbeat_seen_at: when @heartbeat_version was first read
 * @prior: clocks of the latest owners whose heartbeats told them
 * @priors: number of owners that were noted there
 * @read_at: when the rows were last read
 * @orders_until: the previous owner sends no order after this time; 0 if there
 *                was none
 * @own_orders_until: this node sends no order of its latest term after this
 *     time; 0 before the first
 * @told_lost_at: when this node last told an owner that it does not reach the
 *     store; 0 before the first time
 * @started_at: time of seam_election_init()
 * @delay_claim: delay the claim so that a node with more CPU can claim first
 * @claimable_since: since when the term has been claimable; 0 if it is not
 * @valid_until: end of validity of our term; 0 if we are not the owner
 */
struct seam_election {
	struct seam_store *store;
	struct seam_clock *clock;
	char node[64];
	uint64_t term;
	uint64_t owner_version;
	uint64_t heartbeat_version;
	bool heartbeat_known;
	seam_time heartbeat_seen_at;
	struct seam_election_clock prior[SEAM_ELECTION_PRIORS];
	size_t priors;
	seam_time read_at;
	seam_time orders_until;
	seam_time own_orders_until;
	seam_time told_lost_at;
	seam_time started_at;
	bool delay_claim;
	seam_time claimable_since;
	seam_time valid_until;
};

/** seam_election_init() - initialise; the node is not the owner */
void seam_election_init(struct seam_election *l, struct seam_store *s,
			struct seam_clock *k, const char *node);

/**
 * seam_election_note_told_lost() - note when this node last told an owner that
 * it does not reach the store
 * @at: that time; 0 before the first
 *
 * The owner may extend its term by SEAM_ELECTION_TERM_VALIDITY then. Call it
 * before and after a claim.
 */
void seam_election_note_told_lost(struct seam_election *l, seam_time at);

/**
 * seam_election_try_claim() - read the rows and claim the term if it has
 * expired
 *
 * Return: whether this node has become the owner, with @l->term as its fencing
 * token.
 */
bool seam_election_try_claim(struct seam_election *l, struct seam_err *e);

/**
 * seam_election_renew() - renew our term
 *
 * Return: 0; -1 with SEAM_CONFLICT if another node has taken over, or with the
 * store's error, after which the term stays valid until @l->valid_until.
 */
int seam_election_renew(struct seam_election *l, struct seam_err *e);

/**
 * seam_election_extend() - extend our term while the store is unreachable
 * @l: election state
 * @asked_at: when the requests for the store's state were sent to the other
 *            nodes
 *
 * Call this only if every other node has answered that it cannot reach the
 * store either. After the store is reachable again, a node observes the term
 * for SEAM_ELECTION_TIMEOUT before it claims.
 */
void seam_election_extend(struct seam_election *l, seam_time asked_at);

/** seam_election_release() - end our term; another node can claim it now */
void seam_election_release(struct seam_election *l);

/** seam_election_valid_until() - end of our term; 0 if we are not the owner */
seam_time seam_election_valid_until(const struct seam_election *l);

/**
 * seam_election_from_prior_clock() - convert a time of an earlier owner's clock
 * @term: term of that owner
 * @t: time of its clock
 *
 * The result is late by the time from the sending of its latest heartbeat to
 * the first reading, never early.
 *
 * Return: -1 if no heartbeat of the term has told that clock, or if @t is none
 * of its times.
 */
int seam_election_from_prior_clock(const struct seam_election *l, uint64_t term,
				   seam_time *t);

/** seam_election_is_owner() - whether we are the owner at @now */
bool seam_election_is_owner(const struct seam_election *l, seam_time now);

#ifdef __cplusplus
}
#endif
#endif
