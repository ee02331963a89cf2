#ifndef SEAM_TEAM_H
#define SEAM_TEAM_H

#include <json-c/json.h>

#include "process/admit.h"
#include "process/owner.h"
#include "process/store.h"
#include "version/conf.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SEAM_TEAM_NAME_SIZE 64
#define SEAM_HOLDER_SIZE 160
#define SEAM_TEAM_COMMIT_ROWS_MAX 64
#define SEAM_TEAM_UNITS_MAX 1000000000

/**
 * struct seam_team_terms - a team's limits in the configuration
 * @name: team
 * @limit: upper limit in units; 0 for a deleted team
 * @conf: version of the configuration
 * @floor: units reserved for each data centre
 * @dc: names of the data centres in service; not owned
 * @dcs: number of data centres
 */
struct seam_team_terms {
	char name[SEAM_TEAM_NAME_SIZE];
	int64_t limit;
	uint64_t conf;
	int64_t floor;
	const char (*dc)[SEAM_TEAM_NAME_SIZE];
	size_t dcs;
};

/**
 * struct seam_grant - units of a limit granted to one holder
 * @holder: "node:ID#INCARNATION" or "bucket:TEAM/QUEUE/BUCKET"
 * @dc: data centre of a node; "" for a bucket
 * @vm: VM of a node; "" for a bucket
 * @units: units counted against the limit
 * @want: further units wanted, valid until @want_until
 * @want_until: expiry of @want
 * @reclaim_at: when the units of a dead holder are reclaimed; 0 if it is alive
 */
struct seam_grant {
	char holder[SEAM_HOLDER_SIZE];
	char dc[SEAM_TEAM_NAME_SIZE];
	char vm[SEAM_TEAM_NAME_SIZE];
	int64_t units;
	int64_t want;
	seam_time want_until;
	seam_time reclaim_at;
};

/**
 * struct seam_ledger - content of the row team/NAME
 * @team: team
 * @limit: configured upper limit
 * @ceiling: limit for running work: @limit, or the sum of the grants while a
 *           lowered @limit is below it
 * @conf: version of the configuration that @limit comes from
 * @grant: grants
 * @n: number of grants
 *
 * In every version of the row the units sum to at most @ceiling. While the sum
 * is above @limit, no holder starts work, and each holder releases unused
 * units until the sum is within @limit.
 */
struct seam_ledger {
	char team[SEAM_TEAM_NAME_SIZE];
	int64_t limit;
	int64_t ceiling;
	uint64_t conf;
	struct seam_grant *grant;
	size_t n;
};

/** struct seam_team_terms_set - all teams' terms in a configuration version */
struct seam_team_terms_set;

/** seam_team_terms_set_new() - terms of all teams of @c; NULL if no memory */
struct seam_team_terms_set *seam_team_terms_set_new(const struct seam_conf *c);

/** seam_team_terms_set_version() - version of the configuration of the terms */
uint64_t seam_team_terms_set_version(const struct seam_team_terms_set *s);

/** seam_team_terms_set_all() - all terms and their number */
const struct seam_team_terms *
seam_team_terms_set_all(const struct seam_team_terms_set *s, size_t *n);

/** seam_team_terms_set_find() - terms of a team, or NULL */
const struct seam_team_terms *
seam_team_terms_set_find(const struct seam_team_terms_set *s, const char *team);

/** seam_team_terms_set_free() - free a set; NULL is accepted */
void seam_team_terms_set_free(struct seam_team_terms_set *s);

/** seam_ledger_free() - free the grants */
void seam_ledger_free(struct seam_ledger *l);

/**
 * seam_ledger_parse() - decode a row
 * @row: row; NULL or a row without data if it is absent
 * @team: team; a present row must name it
 * @l: receives the ledger; free with seam_ledger_free()
 * @e: SEAM_INTERNAL if the row is damaged
 */
int seam_ledger_parse(const struct seam_row *row, const char *team,
		      struct seam_ledger *l, struct seam_err *e);

/** seam_ledger_to_json() - encode a ledger; the caller releases the object */
struct json_object *seam_ledger_to_json(const struct seam_ledger *l);

/** seam_ledger_granted() - units granted to all holders */
int64_t seam_ledger_granted(const struct seam_ledger *l);

/** seam_ledger_within_limit() - whether the grants are within the limit */
bool seam_ledger_within_limit(const struct seam_ledger *l);

/** seam_ledger_dc_granted() - units granted to holders in @dc */
int64_t seam_ledger_dc_granted(const struct seam_ledger *l, const char *dc);

/** seam_ledger_find() - grant of @holder, or NULL */
struct seam_grant *seam_ledger_find(const struct seam_ledger *l,
				    const char *holder);

/** seam_ledger_check() - check the invariants of struct seam_ledger */
int seam_ledger_check(const struct seam_ledger *l, struct seam_err *e);

/**
 * seam_ledger_adopt_terms() - adopt a newer limit
 *
 * Return: true if the ledger changed.
 */
bool seam_ledger_adopt_terms(struct seam_ledger *l,
			     const struct seam_team_terms *terms);

/**
 * seam_ledger_available() - units that can be granted now to a holder in @dc
 *
 * Excludes units reserved for the floors of the other data centres.
 */
int64_t seam_ledger_available(const struct seam_ledger *l,
			      const struct seam_team_terms *terms,
			      const char *dc);

/**
 * seam_ledger_set_grant() - set the units of a holder
 * @l: ledger
 * @terms: terms, already adopted
 * @g: holder, data centre, VM and units
 * @e: SEAM_OVER_LIMIT with the limit and the units that others hold
 *
 * A holder lowers its use before it records a decrease.
 */
int seam_ledger_set_grant(struct seam_ledger *l,
			  const struct seam_team_terms *terms,
			  const struct seam_grant *g, struct seam_err *e);

/** seam_ledger_set_want() - record the further units wanted; 0 clears them */
int seam_ledger_set_want(struct seam_ledger *l, const struct seam_grant *g,
			 int64_t want, seam_time until, struct seam_err *e);

/** seam_ledger_wanted_by_others() - units wanted at @now by all but @holder */
int64_t seam_ledger_wanted_by_others(const struct seam_ledger *l,
				     const char *holder, const char *dc,
				     seam_time now);

/**
 * seam_ledger_fair_share() - max-min fair share of @holder, with all wants
 */
int64_t seam_ledger_fair_share(const struct seam_ledger *l, const char *holder,
			       seam_time now);

/** seam_ledger_prune() - remove grants without units and valid want */
void seam_ledger_prune(struct seam_ledger *l, seam_time now);

/**
 * struct seam_team_row_write - a prepared write of the row of a team
 * @write: operation for a commit, valid until seam_team_row_write_free()
 * @key: key of the row
 * @text: content of the row; owned
 */
struct seam_team_row_write {
	struct seam_write write;
	char key[SEAM_KEY_MAX];
	char *text;
};

/** seam_team_key() - row key of a team */
void seam_team_key(const char *team, char key[SEAM_KEY_MAX]);

/**
 * seam_team_encode() - prepare the write of a ledger
 * @l: new content
 * @version: version of the row that @l is based on, or SEAM_ABSENT
 * @p: receives the write
 * @e: SEAM_NO_MEMORY
 */
int seam_team_encode(const struct seam_ledger *l, uint64_t version,
		     struct seam_team_row_write *p, struct seam_err *e);

/** seam_team_row_write_free() - free the content of a write */
void seam_team_row_write_free(struct seam_team_row_write *p);

/**
 * seam_team_prepare_grant() - prepare the write of a changed bucket grant
 * @row: the row as read, or NULL if it is absent
 * @terms: terms of the current configuration
 * @holder: "bucket:TEAM/QUEUE/BUCKET"
 * @units: new units of the bucket
 * @now: time
 * @p: receives the write; commit it together with the bucket's row
 * @e: SEAM_OVER_LIMIT with the limit and the units that others hold,
 *     SEAM_INTERNAL if the row is damaged
 *
 * If the commit fails with SEAM_CONFLICT, the caller reads the row again.
 */
int seam_team_prepare_grant(const struct seam_row *row,
			    const struct seam_team_terms *terms,
			    const char *holder, int64_t units, seam_time now,
			    struct seam_team_row_write *p, struct seam_err *e);

/**
 * seam_team_prepare_want() - prepare a write of the unmet want of a bucket
 *
 * Used after SEAM_OVER_LIMIT, so that nodes with unused units release them.
 * Parameters are those of seam_team_prepare_grant().
 */
int seam_team_prepare_want(const struct seam_row *row,
			   const struct seam_team_terms *terms,
			   const char *holder, int64_t want, seam_time now,
			   struct seam_team_row_write *p, struct seam_err *e);

/**
 * typedef seam_team_notify_fn - hints to another holder that a row has changed
 *
 * @holder is a holder in the row of @team, or NULL for the owner of the row.
 * The receiver calls seam_teams_hint(). A lost hint only delays the receiver.
 */
typedef void (*seam_team_notify_fn)(void *arg, const char *team,
				    const char *holder);

/** seam_team_notify_want() - notify holders that can meet @holder's want */
void seam_team_notify_want(const struct seam_ledger *l, const char *holder,
			   seam_time now, seam_team_notify_fn fn, void *arg);

/**
 * seam_team_notify_change() - notify other holders of a change by @holder
 *
 * Notifies the holders that want units or, while the grants exceed the limit,
 * those that have units.
 */
void seam_team_notify_change(const struct seam_ledger *l, const char *holder,
			     seam_time now, seam_team_notify_fn fn, void *arg);

/** seam_holder_node() - node of "node:ID#INCARNATION"; false for a bucket */
bool seam_holder_node(const char *holder, char node[SEAM_TEAM_NAME_SIZE]);

/**
 * struct seam_teams_self - identity and environment of this node
 * @node: name of the node
 * @vm: its VM
 * @dc: its data centre
 * @incarnation: incarnation of this process; 0 if it has not registered yet
 * @clock: clock
 * @store: store
 * @owner: ownership of rows; the owner of a row marks dead holders and adopts
 *         limits
 * @skew: maximum difference between clocks, in microseconds
 * @list_lag: lag of the VM list, in microseconds
 * @seed: seed of the jitter
 */
struct seam_teams_self {
	char node[SEAM_TEAM_NAME_SIZE];
	char vm[SEAM_TEAM_NAME_SIZE];
	char dc[SEAM_TEAM_NAME_SIZE];
	int64_t incarnation;
	struct seam_clock *clock;
	struct seam_store *store;
	struct seam_owner *owner;
	seam_time skew;
	seam_time list_lag;
	uint64_t seed;
};

/** struct seam_teams - the grants of this node; admission is thread-safe */
struct seam_teams;

/** seam_teams_new() - create without units; NULL if out of memory */
struct seam_teams *seam_teams_new(const struct seam_teams_self *self);

/**
 * seam_teams_register() - set the incarnation as which the node has registered
 *
 * Until then a pass does nothing and every request is refused. Calls after
 * the first have no effect. Called by the pass thread.
 */
void seam_teams_register(struct seam_teams *t, int64_t incarnation);

/** seam_teams_free() - free; rows keep the grants until they are reclaimed */
void seam_teams_free(struct seam_teams *t);

/** seam_teams_admit() - admission control of requests by the granted units */
struct seam_admit *seam_teams_admit(struct seam_teams *t);

/**
 * seam_teams_on_demand() - call @fn when a request is refused for lack of
 *                          units, so that a pass runs soon
 */
void seam_teams_on_demand(struct seam_teams *t, void (*fn)(void *arg),
			  void *arg);

/**
 * seam_teams_configure() - set the teams and data centres
 * @t: grants of this node
 * @conf: version of the configuration
 * @terms: terms of all teams; copied
 * @n: number of teams
 *
 * A team that is no longer listed gets limit 0. Called by the pass thread.
 */
void seam_teams_configure(struct seam_teams *t, uint64_t conf,
			  const struct seam_team_terms *terms, size_t n);

/**
 * seam_teams_set_vms() - set the platform's VM list
 * @t: grants of this node
 * @id: ids of live and leaving VMs
 * @n: number of VMs
 * @as_of: time at which the list was valid, as stated by the platform
 */
void seam_teams_set_vms(struct seam_teams *t, const char *const *id, size_t n,
			seam_time as_of);

/**
 * seam_teams_on_change() - call @fn after a change that others must act on
 *
 * This is the case when a want of this node was recorded, when wanted units
 * were released and when a limit was lowered below the grants. Without the
 * call the others see the change when their sweep reaches the row.
 */
void seam_teams_on_change(struct seam_teams *t, seam_team_notify_fn fn,
			  void *arg);

/** seam_teams_hint() - a peer reports a change of the row of @team */
void seam_teams_hint(struct seam_teams *t, const char *team);

/**
 * seam_teams_pass() - read rows, then raise, lower and reclaim grants
 *
 * Changes of many teams go into one commit. Called by one thread, the pass
 * thread.
 *
 * Return: time of the next pass.
 */
seam_time seam_teams_pass(struct seam_teams *t, seam_time now);

/**
 * struct seam_team_info - state of one team on this node
 * @name: team
 * @limit: configured limit
 * @units: units granted to this node
 * @cap: units that this node may use now
 * @running: units in use, @held included
 * @held: units of requests with an unknown end
 * @peak: recent peak of demand
 * @refused: units refused since the start
 * @damaged: the row cannot be decoded
 */
struct seam_team_info {
	char name[SEAM_TEAM_NAME_SIZE];
	int64_t limit;
	int64_t units;
	int64_t cap;
	int64_t running;
	int64_t held;
	int64_t peak;
	int64_t refused;
	bool damaged;
};

/** seam_teams_info() - state of a team on this node; false if it is unknown */
bool seam_teams_info(struct seam_teams *t, const char *team,
		     struct seam_team_info *out);

/**
 * seam_team_explain() - explain why a node refuses requests of a team
 * @l: ledger, or NULL if the row could not be read
 * @here: state of the team on this node, or NULL if it is not configured
 * @terms: terms of the current configuration
 * @out: receives one sentence
 * @size: size of @out
 *
 * Return: true if a request would be refused now.
 */
bool seam_team_explain(const struct seam_ledger *l,
		       const struct seam_team_info *here,
		       const struct seam_team_terms *terms, char *out,
		       size_t size);

/** seam_teams_list() - state of all teams; free() the result */
struct seam_team_info *seam_teams_list(struct seam_teams *t, size_t *n);

#ifdef __cplusplus
}
#endif
#endif
