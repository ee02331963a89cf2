#ifndef SEAM_TEAM_IMPL_H
#define SEAM_TEAM_IMPL_H

/* Shared by the files of the team library only. */

#include <glib.h>
#include <pthread.h>

#include "base/table.h"
#include "process/team.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Life of a want in the row; it is renewed at half of it. */
#define SEAM_WANT_LIFE (10 * SEAM_SEC)
#define SEAM_TEAM_BYTES_BURST 16000 /* of single rows read */
/* Longest time that a request can run: SEAM_TIMEOUT_MS_MAX. */
#define SEAM_REQUEST_MAX (30 * SEAM_SEC)

/* Units of requests whose end is not known, by the second of their deadline. */
struct seam_held {
	seam_time until;
	int64_t units;
};

/*
 * One team on this node. The pass thread alone adds and deletes slots and uses
 * @row, @terms and the deadlines; the rest is under the lock.
 */
struct seam_team_slot {
	char name[SEAM_TEAM_NAME];
	struct seam_team_terms terms;
	bool gone;
	struct seam_row row;
	bool known; /* the row was read since the start */
	seam_time read_at; /* read the row by then; SEAM_NEVER if not due */
	seam_time seen_at; /* when the row was last read or written */
	seam_time release_at; /* surplus is given back then; 0 without */
	seam_time seed_by; /* the owner of the row grants the first units */
	seam_time plan_at; /* decide again by then */
	seam_time hungry_at; /* a raise that did not fit is tried again */
	bool pending; /* a commit on version pending_version may still apply */
	uint64_t pending_version;
	int64_t pending_units;

	bool unread; /* the limit was lowered since the row was read */
	bool damaged;
	bool hinted; /* a peer says that the row changed */
	int64_t units; /* in the row */
	int64_t row_cap; /* what the row allows: units, or 0 above the limit */
	int64_t lower; /* cap of a decrease that the row does not show yet */
	int64_t cap; /* what admission uses */
	int64_t running;
	int64_t held;
	int64_t peak[2];
	int64_t burst; /* units refused since the last pass */
	int64_t refused;
	struct seam_held *hold;
	size_t holds;
};

/* Another registered node, as its row says. */
struct seam_team_member {
	int64_t incarnation;
	char dc[SEAM_TEAM_NAME];
	char vm[SEAM_TEAM_NAME];
};

struct seam_teams {
	struct seam_admit admit;
	struct seam_teams_self self;
	struct seam_grant grant; /* holder, data centre, VM of this node */
	pthread_mutex_t lock;
	pthread_cond_t granted; /* signalled after each pass */
	int waiters;
	struct seam_table *table; /* struct seam_team_slot */
	GHashTable *index; /* name to handle bits */
	void (*demand)(void *arg);
	void *demand_arg;
	seam_team_tell_fn want;
	void *want_arg;
	uint64_t random;

	/* Used by the pass thread only. */
	char (*dc)[SEAM_TEAM_NAME];
	size_t dcs;
	char after[SEAM_KEY_MAX]; /* position of the sweep */
	seam_time sweep_at;
	seam_time members_at;
	seam_time window_at;
	seam_time pass_at;
	seam_time tokens_at;
	int64_t bytes; /* of single rows that may be read now */
	int64_t sweep_bytes; /* the same for the sweep */
	int64_t row_bytes; /* size of a row, moving average */
	int64_t rows; /* may be written now, in thousandths */
	size_t batch;
	struct seam_handle start; /* the next batch begins after it */
	struct seam_handle read_start; /* so do the reads of due rows */
	int64_t nodes;
	int64_t dc_nodes;
	bool stale; /* a decision waits for a row that is read again */
	GHashTable *member; /* node to struct seam_team_member */
	GHashTable *vm; /* VM to time when it was first missing, 0 if listed */
	seam_time vms_as_of;
};

/*
 * What the decision about one team sees. @release_at is kept by the caller
 * from pass to pass.
 */
struct seam_team_case {
	const struct seam_ledger *ledger;
	const struct seam_team_terms *terms;
	const struct seam_grant *self;
	int64_t base; /* part of the data centre's floor for this node */
	int64_t running;
	int64_t peak;
	seam_time release_at;
	seam_time now;
};

/* The decision: units to have, cap until then, units wanted beyond. */
struct seam_team_plan {
	int64_t units;
	int64_t cap;
	int64_t want;
	seam_time release_at;
};

void seam_team_plan(const struct seam_team_case *c, struct seam_team_plan *p);

/* Admission; the lock is held. */
struct seam_team_slot *seam_teams_slot(struct seam_teams *t, const char *name);
void seam_slot_expire(struct seam_team_slot *s, seam_time now);
int64_t seam_slot_peak(const struct seam_team_slot *s);
/* Highest cap that no possible state of the row forbids. */
int64_t seam_slot_safe_cap(const struct seam_team_slot *s);
extern const struct seam_admit_ops seam_teams_admit_ops;

/* The slot after @h, the first one after the last; NULL without teams. */
struct seam_team_slot *seam_teams_next(struct seam_teams *t,
				       struct seam_handle *h);

/* Reading: due rows, then a part of the sweep, then the members. */
void seam_teams_read(struct seam_teams *t, seam_time now);
void seam_teams_absorb(struct seam_teams *t, struct seam_team_slot *s,
		       struct seam_row *row);

/* Writing: one commit for many teams. Returns true if more is to be done. */
bool seam_teams_write(struct seam_teams *t, seam_time now);

/* Marks, unmarks and reclaims grants of dead nodes; true if it changed. */
bool seam_teams_bury(struct seam_teams *t, struct seam_ledger *l,
		     seam_time now);

/* Takes over a row of member/. */
void seam_teams_add_member(struct seam_teams *t, const struct seam_row *row);

/* Grants members without a grant their part of the floor; true if any. */
bool seam_teams_seed(struct seam_teams *t, struct seam_ledger *l,
		     const struct seam_team_terms *terms, seam_time now);

uint64_t seam_teams_random(struct seam_teams *t);

#ifdef __cplusplus
}
#endif
#endif
