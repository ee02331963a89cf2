#ifndef SEAM_TEAM_IMPL_H
#define SEAM_TEAM_IMPL_H

/* Internal to the process/team*.c files. */

#include <glib.h>
#include <pthread.h>

#include "base/table.h"
#include "process/team.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Validity of a recorded want; it is renewed at half of this time. */
#define SEAM_WANT_TTL (10 * SEAM_SEC)
#define SEAM_TEAM_READ_BURST_BYTES 16000 /* for reads of single rows */
/* Maximum run time of a request: SEAM_TIMEOUT_MS_MAX. */
#define SEAM_REQUEST_TIME_MAX (30 * SEAM_SEC)

/* Units of requests with an unknown end, by deadline in whole seconds. */
struct seam_team_hold {
	seam_time until;
	int64_t units;
};

/*
 * One team on this node. Only the pass thread adds and deletes slots and
 * accesses @row, @terms and the scheduled times; the rest is protected by the
 * lock.
 */
struct seam_team_slot {
	char name[SEAM_TEAM_NAME_SIZE];
	struct seam_team_terms terms;
	bool deleted; /* the team is not in the configuration */
	struct seam_row row;
	bool known; /* the row was read since the start */
	seam_time read_at; /* next read of the row; SEAM_NEVER if none is due */
	seam_time refreshed_at; /* last read or write of the row */
	seam_time release_at; /* when the surplus is released; 0 if none */
	seam_time initial_grant_by; /* until then the row's owner grants */
	seam_time plan_at; /* next planning */
	seam_time raise_retry_at; /* next attempt of a raise that did not fit */
	bool pending; /* a commit on version pending_version may still apply */
	uint64_t pending_version;
	int64_t pending_units;

	bool reread_required; /* the limit was lowered since the last read */
	bool damaged;
	bool hinted; /* a peer reported a change of the row */
	int64_t units; /* in the row */
	int64_t row_cap; /* what the row allows: units, or 0 above the limit */
	int64_t decrease_cap; /* cap for a decrease not yet in the row */
	int64_t cap; /* enforced by admission */
	int64_t running;
	int64_t held;
	int64_t peak[2];
	int64_t refused_since_pass; /* units */
	int64_t refused;
	struct seam_team_hold *hold;
	size_t holds;
};

/* A registered node, from its row member/NAME. */
struct seam_team_member {
	int64_t incarnation;
	char dc[SEAM_TEAM_NAME_SIZE];
	char vm[SEAM_TEAM_NAME_SIZE];
};

struct seam_teams {
	struct seam_admit admit;
	struct seam_teams_self self;
	struct seam_grant grant; /* holder, data centre, VM of this node */
	pthread_mutex_t lock;
	pthread_cond_t pass_done; /* signalled after each pass */
	int waiters;
	struct seam_table *table; /* struct seam_team_slot */
	GHashTable *index; /* name to handle bits */
	void (*on_demand)(void *arg);
	void *on_demand_arg;
	seam_team_notify_fn on_change;
	void *on_change_arg;
	uint64_t random;

	/* Used by the pass thread only. */
	char (*dc)[SEAM_TEAM_NAME_SIZE];
	size_t dcs;
	char sweep_cursor[SEAM_KEY_MAX]; /* last key that the sweep read */
	seam_time sweep_at;
	seam_time members_at;
	seam_time window_at;
	seam_time pass_at;
	seam_time refilled_at;
	int64_t read_tokens; /* bytes of single rows that may be read now */
	int64_t sweep_tokens; /* bytes that the sweep may read now */
	int64_t row_bytes_mean; /* size of a row, moving average */
	int64_t write_tokens; /* rows that may be written, in thousandths */
	size_t batch_rows;
	struct seam_handle write_cursor; /* last slot of the previous batch */
	struct seam_handle read_cursor; /* last slot of the previous reads */
	int64_t nodes;
	int64_t dc_nodes;
	bool reread; /* a change waits until its row has been read again */
	GHashTable *members; /* node to struct seam_team_member */
	GHashTable *vm_missing_since; /* VM to time; 0 while it is listed */
	seam_time vms_as_of;
};

/*
 * Input of seam_team_plan(). The caller keeps @release_at from pass to pass.
 */
struct seam_team_plan_input {
	const struct seam_ledger *ledger;
	const struct seam_team_terms *terms;
	const struct seam_grant *self;
	int64_t node_floor; /* this node's part of its data centre's floor */
	int64_t running;
	int64_t peak;
	seam_time release_at;
	seam_time now;
};

/* Units to hold, the cap until the row shows them, further units wanted. */
struct seam_team_plan {
	int64_t units;
	int64_t cap;
	int64_t want;
	seam_time release_at;
};

void seam_team_plan(const struct seam_team_plan_input *c,
		    struct seam_team_plan *p);

/* Admission state; the caller holds the lock. */
struct seam_team_slot *seam_teams_slot(struct seam_teams *t, const char *name);
void seam_slot_expire(struct seam_team_slot *s, seam_time now);
int64_t seam_slot_peak(const struct seam_team_slot *s);
/* Highest cap that is safe whether or not a pending commit has applied. */
int64_t seam_slot_safe_cap(const struct seam_team_slot *s);
extern const struct seam_admit_ops seam_teams_admit_ops;

/* Next slot after @h, wrapping around; NULL if there are no teams. */
struct seam_team_slot *seam_teams_next(struct seam_teams *t,
				       struct seam_handle *h);

/* Reads due rows, a part of the sweep, and the members. */
void seam_teams_read(struct seam_teams *t, seam_time now);
void seam_teams_apply_row(struct seam_teams *t, struct seam_team_slot *s,
			  struct seam_row *row);

/* Writes the rows of many teams in one commit; true if more work may remain. */
bool seam_teams_write(struct seam_teams *t, seam_time now);

/* Marks, unmarks and reclaims grants of dead nodes; true on a change. */
bool seam_teams_reclaim_dead(struct seam_teams *t, struct seam_ledger *l,
			     seam_time now);

/* Adds a node from its row of member/. */
void seam_teams_add_member(struct seam_teams *t, const struct seam_row *row);

/* Grants each member without a grant its part of the floor; true if any. */
bool seam_teams_grant_initial(struct seam_teams *t, struct seam_ledger *l,
			      const struct seam_team_terms *terms,
			      seam_time now);

uint64_t seam_teams_random(struct seam_teams *t);

#ifdef __cplusplus
}
#endif
#endif
