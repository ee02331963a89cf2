#ifndef SEAM_CONF_H
#define SEAM_CONF_H

#include <stdbool.h>
#include <stdint.h>
#include <json-c/json.h>

#include "base/clock.h"
#include "base/err.h"
#include "base/json.h"
#include "base/table.h"
#include "process/store.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SEAM_CONF_NAME_SIZE 64
#define SEAM_SHA256_HEX_SIZE 65

/** enum seam_conf_kind - kinds of configuration objects */
enum seam_conf_kind {
	SEAM_CONF_DC,
	SEAM_CONF_POOL,
	SEAM_CONF_SERVICE,
	SEAM_CONF_TEAM,
	SEAM_CONF_WORKSPACE,
	SEAM_CONF_QUEUE,
	SEAM_CONF_KEY,
	SEAM_CONF_KINDS
};

enum seam_dc_state { SEAM_DC_STATE_IN, SEAM_DC_STATE_OUT };
enum seam_pool_kind { SEAM_POOL_SERVICE, SEAM_POOL_TASKS, SEAM_POOL_SPARE };
enum seam_priority { SEAM_PRIORITY_NORMAL, SEAM_PRIORITY_URGENT };
enum seam_key_state { SEAM_KEY_GRANTED, SEAM_KEY_WITHDRAWN };

/** struct seam_dc - a data centre */
struct seam_dc {
	char name[SEAM_CONF_NAME_SIZE];
	char region[SEAM_CONF_NAME_SIZE];
	int state; /* enum seam_dc_state */
};

/**
 * struct seam_pool_conf - a pool of VMs
 * @name: name
 * @kind: enum seam_pool_kind
 * @min: minimum number of VMs
 * @max: maximum number of VMs
 * @budget: availability budget: VMs that may be unavailable at the same time
 * @data_centres: data centres in which it may have VMs; NULL for all
 */
struct seam_pool_conf {
	char name[SEAM_CONF_NAME_SIZE];
	int kind;
	int64_t min;
	int64_t max;
	int64_t budget;
	char **data_centres;
};

/**
 * struct seam_service - a service whose instances run on a pool
 * @name: name
 * @pool: name of the pool
 * @pool_handle: handle of the pool in the same version
 * @timeout_ms: maximum duration of a request
 * @slots: maximum number of concurrent requests to an instance
 * @connections: maximum number of connections to an instance
 * @idempotent: all methods are idempotent, including POST, PATCH and DELETE
 * @teams: teams that may call it; NULL for all
 */
struct seam_service {
	char name[SEAM_CONF_NAME_SIZE];
	char pool[SEAM_CONF_NAME_SIZE];
	struct seam_handle pool_handle;
	int64_t timeout_ms;
	int64_t slots;
	int64_t connections;
	bool idempotent;
	char **teams;
};

/**
 * struct seam_team - a customer's team
 * @name: name
 * @share: weight in fair sharing while capacity is short
 * @limit: upper limit of units running across the fleet
 */
struct seam_team {
	char name[SEAM_CONF_NAME_SIZE];
	int64_t share;
	int64_t limit;
};

/** struct seam_workspace - a part of a team with a weight within it */
struct seam_workspace {
	char name[SEAM_CONF_NAME_SIZE];
	char team[SEAM_CONF_NAME_SIZE];
	int64_t share;
};

/**
 * struct seam_queue - a queue of tasks
 * @name: name
 * @team: team whose keys give access to it
 * @pool: pool of kind tasks whose workers run its tasks
 * @workspace: workspace of the team whose share its tasks use; "" for the part
 *             of the share that belongs to no workspace
 * @priority: enum seam_priority
 * @open: accepts tasks of all teams; they count for the team of the key
 * @idempotent: its tasks may run more than once
 * @finish_at: minute of the day, UTC, by which the day's tasks must have ended;
 *             -1 for none
 * @data_centres: data centres in which its tasks may run; NULL for all
 */
struct seam_queue {
	char name[SEAM_CONF_NAME_SIZE];
	char team[SEAM_CONF_NAME_SIZE];
	char pool[SEAM_CONF_NAME_SIZE];
	char workspace[SEAM_CONF_NAME_SIZE];
	int priority;
	bool open;
	bool idempotent;
	int64_t finish_at;
	char **data_centres;
};

/** struct seam_key - key of a caller, stored as a hash */
struct seam_key {
	char name[SEAM_CONF_NAME_SIZE];
	char team[SEAM_CONF_NAME_SIZE];
	char sha256[SEAM_SHA256_HEX_SIZE];
	int state; /* enum seam_key_state */
};

/**
 * struct seam_conf - one immutable version of the configuration
 *
 * Reference counted. The caller releases a returned reference with
 * seam_conf_unref().
 */
struct seam_conf;

/** seam_conf_empty() - version 0, without objects */
struct seam_conf *seam_conf_empty(void);

/** seam_conf_ref() - acquire another reference to @c */
struct seam_conf *seam_conf_ref(struct seam_conf *c);

/** seam_conf_unref() - release a reference; NULL is accepted */
void seam_conf_unref(struct seam_conf *c);

/** seam_conf_version() - version number; each change increments it by one */
uint64_t seam_conf_version(const struct seam_conf *c);

/**
 * seam_conf_parse() - create a version from a complete document
 * @doc: object with the arrays data_centres, pools, services, teams,
 *       workspaces, queues, keys
 * @version: number of the new version
 * @p: receives all problems with their paths
 *
 * Return: the version, or NULL if there was a problem.
 */
struct seam_conf *seam_conf_parse(struct json_object *doc, uint64_t version,
				  struct seam_problems *p);

/**
 * seam_conf_apply() - create a version by applying a change to @old
 * @old: version to which the change applies
 * @change: {"put":[{"kind":K,"object":{...}}],"delete":[{"kind":K,"name":N}]}
 * @version: number of the new version
 * @p: receives all problems
 *
 * Return: the version, or NULL if there was a problem.
 */
struct seam_conf *seam_conf_apply(const struct seam_conf *old,
				  struct json_object *change, uint64_t version,
				  struct seam_problems *p);

/** seam_conf_diff() - change from @a to @b; the caller releases it */
struct json_object *seam_conf_diff(const struct seam_conf *a,
				   const struct seam_conf *b);

/** seam_conf_to_json() - complete document of @c; the caller releases it */
struct json_object *seam_conf_to_json(const struct seam_conf *c);

/** seam_conf_find() - handle of an object, or SEAM_HANDLE_NONE if absent */
struct seam_handle seam_conf_find(const struct seam_conf *c,
				  enum seam_conf_kind kind, const char *name);

/** seam_conf_get() - object of @kind with handle @h, or NULL */
const void *seam_conf_get(const struct seam_conf *c, enum seam_conf_kind kind,
			  struct seam_handle h);

/** seam_conf_lookup() - object of @kind by name, or NULL */
const void *seam_conf_lookup(const struct seam_conf *c,
			     enum seam_conf_kind kind, const char *name);

/** seam_conf_next() - iterate over the objects of a kind; see table.h */
const void *seam_conf_next(const struct seam_conf *c, enum seam_conf_kind kind,
			   struct seam_handle *h);

/** seam_conf_count() - number of objects of a kind */
size_t seam_conf_count(const struct seam_conf *c, enum seam_conf_kind kind);

/**
 * seam_conf_authenticate() - check the key of a request
 * @c: version
 * @text: the key as the caller sent it
 * @e: SEAM_UNAUTHENTICATED if the key is unknown or withdrawn
 *
 * Return: the key object, or NULL.
 */
const struct seam_key *seam_conf_authenticate(const struct seam_conf *c,
					      const char *text,
					      struct seam_err *e);

/** seam_conf_dc_out() - true if @dc is unknown or out */
bool seam_conf_dc_out(const struct seam_conf *c, const char *dc);

/** seam_sha256_hex() - SHA-256 of @text in lower-case hexadecimal */
void seam_sha256_hex(const char *text, char out[SEAM_SHA256_HEX_SIZE]);

/** seam_conf_kind_name() - "data_centre", "pool", ..., as in changes */
const char *seam_conf_kind_name(enum seam_conf_kind kind);

/** seam_conf_kind_by_name() - kind by name, -1 if unknown */
int seam_conf_kind_by_name(const char *name);

/**
 * struct seam_conf_cell - current version of a process, published by RCU
 * @current: current version, never NULL
 * @lock: serialises writers
 */
struct seam_conf_cell {
	struct seam_conf *current;
	pthread_mutex_t lock;
};

/** seam_conf_cell_init() - initialise with version 0 */
void seam_conf_cell_init(struct seam_conf_cell *cell);

/** seam_conf_cell_free() - release the current version */
void seam_conf_cell_free(struct seam_conf_cell *cell);

/** seam_conf_current() - acquire a reference to the current version */
struct seam_conf *seam_conf_current(struct seam_conf_cell *cell);

/**
 * seam_conf_publish() - make @c current if its version is higher
 *
 * Takes ownership of the caller's reference in all cases. The version never
 * decreases: @c is released if its version is equal or lower.
 *
 * Return: true if @c became current.
 */
bool seam_conf_publish(struct seam_conf_cell *cell, struct seam_conf *c);

/**
 * seam_conf_load() - read the newest version from the store
 * @s: store
 * @deadline: deadline of all reads
 * @e: SEAM_UNAVAILABLE, or SEAM_CONFLICT if the configuration changed during
 *     every attempt
 *
 * Return: the version; version 0 if the store has none; NULL on error.
 */
struct seam_conf *seam_conf_load(struct seam_store *s, seam_time deadline,
				 struct seam_err *e);

/** seam_conf_head_version() - number of the newest version in the store */
int seam_conf_head_version(struct seam_store *s, uint64_t *version,
			   seam_time deadline, struct seam_err *e);

/**
 * seam_conf_catch_up() - apply the log rows after @old
 * @s: store
 * @old: version of the process
 * @head: number of the version to reach
 * @deadline: deadline of all reads
 * @e: SEAM_NOT_FOUND if a log row is missing; the caller then uses
 *     seam_conf_load()
 *
 * Return: a new reference to version @head or higher, or NULL on error.
 */
struct seam_conf *seam_conf_catch_up(struct seam_store *s,
				     const struct seam_conf *old, uint64_t head,
				     seam_time deadline, struct seam_err *e);

/**
 * seam_conf_read_log() - read rows of the log in order of version
 * @s: store
 * @after: only rows with a higher version are read
 * @max: maximum number of rows
 * @rows: receives the rows; the content is JSON with version, time_us,
 *        operator, reason and change
 * @deadline: deadline of the read
 * @e: error
 */
int seam_conf_read_log(struct seam_store *s, uint64_t after, size_t max,
		       struct seam_rows *rows, seam_time deadline,
		       struct seam_err *e);

/**
 * struct seam_conf_change - an operator's change
 * @change: put and delete, as for seam_conf_apply()
 * @reason: reason of the change; not empty
 * @operator_name: name of the operator
 * @expected: version on which the operator based the change
 */
struct seam_conf_change {
	struct json_object *change;
	const char *reason;
	const char *operator_name;
	uint64_t expected;
};

/**
 * seam_conf_commit() - validate a change and write it to the store
 * @s: store
 * @clock: clock of @deadline and of the time in the log row
 * @ch: the change
 * @deadline: deadline of all attempts
 * @e: SEAM_BAD_CONFIG with the first problem, SEAM_CONFLICT if the version is
 *     not the expected one, SEAM_UNAVAILABLE, SEAM_COMMIT_UNKNOWN
 *
 * Return: the new version, or NULL.
 */
struct seam_conf *seam_conf_commit(struct seam_store *s,
				   struct seam_clock *clock,
				   const struct seam_conf_change *ch,
				   seam_time deadline, struct seam_err *e);

/** seam_conf_dc_row_key() - store key of a data centre, for commit checks */
void seam_conf_dc_row_key(const char *dc, char key[SEAM_KEY_MAX]);

#ifdef __cplusplus
}
#endif
#endif
