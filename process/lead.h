#ifndef SEAM_LEAD_H
#define SEAM_LEAD_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "process/store.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SEAM_LEAD_ROWS "lead/"
#define SEAM_LEAD_ROW "lead/owner" /* changes with each term */
#define SEAM_LEAD_BEAT_ROW "lead/beat" /* changes with each renewal */

/* A term that was not renewed for so long is taken over. A worker's lease has
 * to outlive it, so it decides how long the tasks of a lost worker wait. */
#define SEAM_LEAD_TAKEOVER (1700 * SEAM_MSEC)
/* An owner stops before, so that two clocks that differ by 5% do no harm. */
#define SEAM_LEAD_VALID (1300 * SEAM_MSEC)
/* A node that could not look for so long has not watched the term meanwhile. */
#define SEAM_LEAD_GAP (1000 * SEAM_MSEC)
/* A node waits so long before it claims while a larger one may: two looks. */
#define SEAM_LEAD_YIELD (900 * SEAM_MSEC)
#define SEAM_LEAD_RENEW (300 * SEAM_MSEC)
#define SEAM_LEAD_CALL (600 * SEAM_MSEC) /* one call to the store */

/**
 * struct seam_lead - a node's part in the choice of the owner
 * @store: table service
 * @clock: clock that counts suspended time
 * @node: name of this node
 * @term: term of the owner as last read, or ours
 * @owner_version: version of SEAM_LEAD_ROW
 * @beat_version: version of SEAM_LEAD_BEAT_ROW
 * @beat_seen_at: when @beat_version was first read
 * @looked_at: when the rows were last read
 * @orders_until: the owner before us has sent no order since; 0 without one
 * @started_at: when this process took part first
 * @yields: a larger node may claim, which comes first
 * @free_since: since when a term was found that may be claimed; 0 if not
 * @valid_until: we decide until then; 0 if we are not the owner
 */
struct seam_lead {
	struct seam_store *store;
	struct seam_clock *clock;
	char node[64];
	uint64_t term;
	uint64_t owner_version;
	uint64_t beat_version;
	seam_time beat_seen_at;
	seam_time looked_at;
	seam_time orders_until;
	seam_time started_at;
	bool yields;
	seam_time free_since;
	seam_time valid_until;
};

/** seam_lead_init() - no part is taken yet */
void seam_lead_init(struct seam_lead *l, struct seam_store *s,
		    struct seam_clock *k, const char *node);

/**
 * seam_lead_try() - read the rows and claim a term that has run out
 *
 * Return: whether this node is the owner now, with @l->term as its token.
 */
bool seam_lead_try(struct seam_lead *l, struct seam_err *e);

/**
 * seam_lead_renew() - renew our term
 *
 * Return: 0; -1 with SEAM_CONFLICT if another node has taken over, or with the
 * store's error, after which the term stays valid until @l->valid_until.
 */
int seam_lead_renew(struct seam_lead *l, struct seam_err *e);

/**
 * seam_lead_extend() - our term stays valid although the store is away
 * @l: lead
 * @asked_at: when the other nodes were asked
 *
 * To be called only when each of them has said that the store is away for it
 * too: one that reaches it again watches for SEAM_LEAD_TAKEOVER before it
 * claims.
 */
void seam_lead_extend(struct seam_lead *l, seam_time asked_at);

/** seam_lead_release() - end our term so that another node need not wait */
void seam_lead_release(struct seam_lead *l);

/** seam_lead_valid_until() - we decide until then; 0 if we are not the owner */
seam_time seam_lead_valid_until(const struct seam_lead *l);

/** seam_lead_valid() - whether we may decide at @now */
bool seam_lead_valid(const struct seam_lead *l, seam_time now);

#ifdef __cplusplus
}
#endif
#endif
