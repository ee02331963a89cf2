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

#define SEAM_TEAM_NAME 64
#define SEAM_HOLDER_MAX 160
#define SEAM_TEAM_ROWS_MAX 64 /* rows in one commit */
#define SEAM_TEAM_UNITS_MAX 1000000000

/**
 * struct seam_team_terms - what the configuration says about a team
 * @name: team
 * @limit: upper limit in units; 0 for a deleted team
 * @conf: version of the configuration
 * @floor: units reserved for each data centre
 * @dc: names of the data centres that are in; not owned
 * @dcs: their number
 */
struct seam_team_terms {
	char name[SEAM_TEAM_NAME];
	int64_t limit;
	uint64_t conf;
	int64_t floor;
	const char (*dc)[SEAM_TEAM_NAME];
	size_t dcs;
};

/**
 * struct seam_grant - units of a limit that a holder has
 * @holder: "node:ID#INCARNATION" or "bucket:TEAM/QUEUE/BUCKET"
 * @dc: data centre of a node; "" for a bucket
 * @vm: VM of a node; "" for a bucket
 * @units: units counted against the limit
 * @want: more units wanted, valid until @want_until
 * @want_until: deadline of the want
 * @reclaim_at: holder is dead; its units are free from this time on; 0 if not
 */
struct seam_grant {
	char holder[SEAM_HOLDER_MAX];
	char dc[SEAM_TEAM_NAME];
	char vm[SEAM_TEAM_NAME];
	int64_t units;
	int64_t want;
	seam_time want_until;
	seam_time reclaim_at;
};

/**
 * struct seam_ledger - content of the row team/NAME
 * @team: team
 * @limit: upper limit as configured
 * @ceiling: the limit in force for running work: @limit, or after it was
 *           lowered the sum of grants that are not yet released
 * @conf: version of the configuration that @limit comes from
 * @grant: grants
 * @n: their number
 *
 * At every version of the row the units sum to at most @ceiling. While they
 * sum to more than @limit, no holder starts work; each releases what it does
 * not use until the sum is within @limit.
 */
struct seam_ledger {
	char team[SEAM_TEAM_NAME];
	int64_t limit;
	int64_t ceiling;
	uint64_t conf;
	struct seam_grant *grant;
	size_t n;
};

/**
 * struct seam_team_set - terms of all teams of one version of the configuration
 */
struct seam_team_set;

/** seam_team_set_new() - terms of every team of @c; NULL without memory */
struct seam_team_set *seam_team_set_new(const struct seam_conf *c);

/** seam_team_set_version() - version that the terms come from */
uint64_t seam_team_set_version(const struct seam_team_set *s);

/** seam_team_set_all() - all terms and their number */
const struct seam_team_terms *seam_team_set_all(const struct seam_team_set *s,
						size_t *n);

/** seam_team_set_find() - terms of a team, or NULL */
const struct seam_team_terms *seam_team_set_find(const struct seam_team_set *s,
						 const char *team);

/** seam_team_set_free() - free it; NULL is accepted */
void seam_team_set_free(struct seam_team_set *s);

/** seam_ledger_free() - free the grants */
void seam_ledger_free(struct seam_ledger *l);

/**
 * seam_ledger_read() - decode a row
 * @row: row, or NULL or one without data if it is absent
 * @team: team, for an absent row and to check a present one
 * @l: receives the ledger; free with seam_ledger_free()
 * @e: SEAM_INTERNAL if the row is damaged
 */
int seam_ledger_read(const struct seam_row *row, const char *team,
		     struct seam_ledger *l, struct seam_err *e);

/** seam_ledger_json() - encode a ledger; caller puts it */
struct json_object *seam_ledger_json(const struct seam_ledger *l);

/** seam_ledger_sum() - units granted */
int64_t seam_ledger_sum(const struct seam_ledger *l);

/** seam_ledger_open() - whether holders may start work with their units */
bool seam_ledger_open(const struct seam_ledger *l);

/** seam_ledger_dc_sum() - units granted to holders in @dc */
int64_t seam_ledger_dc_sum(const struct seam_ledger *l, const char *dc);

/** seam_ledger_find() - grant of @holder, or NULL */
struct seam_grant *seam_ledger_find(const struct seam_ledger *l,
				    const char *holder);

/** seam_ledger_check() - whether the rules of struct seam_ledger hold */
int seam_ledger_check(const struct seam_ledger *l, struct seam_err *e);

/**
 * seam_ledger_terms() - adopt a newer limit
 *
 * Return: true if the ledger changed.
 */
bool seam_ledger_terms(struct seam_ledger *l,
		       const struct seam_team_terms *terms);

/**
 * seam_ledger_room() - units that can be granted now to a holder in @dc
 *
 * Leaves the floors of the other data centres.
 */
int64_t seam_ledger_room(const struct seam_ledger *l,
			 const struct seam_team_terms *terms, const char *dc);

/**
 * seam_ledger_grant() - set the units of a holder
 * @l: ledger
 * @terms: terms, already adopted
 * @g: holder, data centre, VM and units
 * @e: SEAM_OVER_LIMIT with the limit and the units that others hold
 *
 * A decrease is recorded after the holder has gone under it.
 */
int seam_ledger_grant(struct seam_ledger *l,
		      const struct seam_team_terms *terms,
		      const struct seam_grant *g, struct seam_err *e);

/** seam_ledger_want() - record that a holder wants more; 0 withdraws it */
int seam_ledger_want(struct seam_ledger *l, const struct seam_grant *g,
		     int64_t want, seam_time until, struct seam_err *e);

/** seam_ledger_wanted() - units that others than @holder want at @now */
int64_t seam_ledger_wanted(const struct seam_ledger *l, const char *holder,
			   const char *dc, seam_time now);

/**
 * seam_ledger_fair() - units of @holder when all wants are met max-min fairly
 */
int64_t seam_ledger_fair(const struct seam_ledger *l, const char *holder,
			 seam_time now);

/** seam_ledger_trim() - drop grants without units and without a valid want */
void seam_ledger_trim(struct seam_ledger *l, seam_time now);

/**
 * struct seam_team_put - a prepared operation on the row of a team
 * @write: for a commit, valid until seam_team_put_free()
 * @key: its key
 * @text: owns the content
 */
struct seam_team_put {
	struct seam_write write;
	char key[SEAM_KEY_MAX];
	char *text;
};

/** seam_team_key() - row key of a team */
void seam_team_key(const char *team, char key[SEAM_KEY_MAX]);

/**
 * seam_team_encode() - prepare the write of a ledger
 * @l: new content
 * @version: version of the row that it was made from, or SEAM_ABSENT
 * @p: receives the write
 * @e: SEAM_NO_MEMORY
 */
int seam_team_encode(const struct seam_ledger *l, uint64_t version,
		     struct seam_team_put *p, struct seam_err *e);

/** seam_team_put_free() - free the content */
void seam_team_put_free(struct seam_team_put *p);

/**
 * seam_team_prepare() - write of the team's row for a changed bucket grant
 * @row: the row as read, or NULL if it is absent
 * @terms: terms of the current configuration
 * @holder: "bucket:TEAM/QUEUE/BUCKET"
 * @units: units that the bucket will hold
 * @now: time
 * @p: receives the write; commit it together with the bucket's row
 * @e: SEAM_OVER_LIMIT with the limit and who holds the rest, SEAM_INTERNAL if
 *     the row is damaged
 *
 * After SEAM_CONFLICT the caller reads the row again.
 */
int seam_team_prepare(const struct seam_row *row,
		      const struct seam_team_terms *terms, const char *holder,
		      int64_t units, seam_time now, struct seam_team_put *p,
		      struct seam_err *e);

/**
 * seam_team_prepare_want() - write that records a bucket's unmet want
 *
 * For use after SEAM_OVER_LIMIT, so that nodes with unused units release
 * them. Parameters are those of seam_team_prepare().
 */
int seam_team_prepare_want(const struct seam_row *row,
			   const struct seam_team_terms *terms,
			   const char *holder, int64_t want, seam_time now,
			   struct seam_team_put *p, struct seam_err *e);

/**
 * typedef seam_team_tell_fn - tells another holder to read the row of @team
 *
 * @holder is a holder of the row, or NULL for the owner of the row. The
 * receiver calls seam_teams_hint(). A call that is lost costs time only.
 */
typedef void (*seam_team_tell_fn)(void *arg, const char *team,
				  const char *holder);

/** seam_team_tell_want() - tell who can meet the want that @holder recorded */
void seam_team_tell_want(const struct seam_ledger *l, const char *holder,
			 seam_time now, seam_team_tell_fn fn, void *arg);

/**
 * seam_team_tell_room() - tell of the row that @holder wrote
 *
 * Tells those who want units, or, while more is granted than the limit, those
 * who have some.
 */
void seam_team_tell_room(const struct seam_ledger *l, const char *holder,
			 seam_time now, seam_team_tell_fn fn, void *arg);

/** seam_holder_node() - node of "node:ID#INCARNATION"; false for others */
bool seam_holder_node(const char *holder, char node[SEAM_TEAM_NAME]);

/**
 * struct seam_teams_self - the node that holds grants
 * @node: name of the node
 * @vm: its VM
 * @dc: its data centre
 * @incarnation: incarnation of this process; 0 if it has not registered yet
 * @clock: clock
 * @store: store
 * @owner: who marks dead holders and lowers limits
 * @skew: greatest difference between clocks, in microseconds
 * @list_lag: lag of the VM list, in microseconds
 * @seed: seed of the jitter
 */
struct seam_teams_self {
	char node[SEAM_TEAM_NAME];
	char vm[SEAM_TEAM_NAME];
	char dc[SEAM_TEAM_NAME];
	int64_t incarnation;
	struct seam_clock *clock;
	struct seam_store *store;
	struct seam_owner *owner;
	seam_time skew;
	seam_time list_lag;
	uint64_t seed;
};

/** struct seam_teams - this node's holdings; admission is thread-safe */
struct seam_teams;

/** seam_teams_new() - holdings without units; NULL without memory */
struct seam_teams *seam_teams_new(const struct seam_teams_self *self);

/**
 * seam_teams_register() - the node has registered as @incarnation
 *
 * Before that a pass does nothing and every request is refused. Calls after
 * the first have no effect. Called by the thread of the pass.
 */
void seam_teams_register(struct seam_teams *t, int64_t incarnation);

/** seam_teams_free() - free; the row keeps the grants until reclaimed */
void seam_teams_free(struct seam_teams *t);

/** seam_teams_admit() - admission of requests by the units held */
struct seam_admit *seam_teams_admit(struct seam_teams *t);

/**
 * seam_teams_on_demand() - call @fn when a request was refused for lack of
 *                          units, so that a pass runs soon
 */
void seam_teams_on_demand(struct seam_teams *t, void (*fn)(void *arg),
			  void *arg);

/**
 * seam_teams_configure() - take over teams and data centres
 * @t: holdings
 * @conf: version of the configuration
 * @terms: all teams; copied
 * @n: their number
 *
 * A team that is no longer listed gets limit 0. Called by the thread of the
 * pass.
 */
void seam_teams_configure(struct seam_teams *t, uint64_t conf,
			  const struct seam_team_terms *terms, size_t n);

/**
 * seam_teams_vms() - take over the platform's VM list
 * @t: holdings
 * @id: ids of live and leaving VMs
 * @n: their number
 * @as_of: time for which the platform vouches
 */
void seam_teams_vms(struct seam_teams *t, const char *const *id, size_t n,
		    seam_time as_of);

/**
 * seam_teams_on_want() - call @fn when a row changed so that others should act
 *
 * That is when a want of this node was recorded, when wanted units were
 * released and when a limit was lowered below the grants. Without it the
 * others learn of it when their sweep reaches the row.
 */
void seam_teams_on_want(struct seam_teams *t, seam_team_tell_fn fn, void *arg);

/** seam_teams_hint() - a peer says that the row of @team is worth a read */
void seam_teams_hint(struct seam_teams *t, const char *team);

/**
 * seam_teams_pass() - read rows, then raise, lower, reclaim in one commit
 *
 * Called by one thread.
 *
 * Return: time of the next pass.
 */
seam_time seam_teams_pass(struct seam_teams *t, seam_time now);

/**
 * struct seam_team_info - one team on this node
 * @name: team
 * @limit: configured limit
 * @units: units granted to this node
 * @cap: units that it may use now
 * @running: units in use, those of unknown end included
 * @held: units of requests whose end is not known
 * @peak: recent peak of demand
 * @refused: units refused since the start
 * @damaged: the row cannot be read
 */
struct seam_team_info {
	char name[SEAM_TEAM_NAME];
	int64_t limit;
	int64_t units;
	int64_t cap;
	int64_t running;
	int64_t held;
	int64_t peak;
	int64_t refused;
	bool damaged;
};

/** seam_teams_info() - state of a team here; false if it is unknown */
bool seam_teams_info(struct seam_teams *t, const char *team,
		     struct seam_team_info *out);

/**
 * seam_team_explain() - why requests of a team are refused on a node
 * @l: ledger as read, or NULL if the row could not be read
 * @here: the team on this node, or NULL if it is not configured
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

/** seam_teams_list() - all teams; free() the result */
struct seam_team_info *seam_teams_list(struct seam_teams *t, size_t *n);

#ifdef __cplusplus
}
#endif
#endif
