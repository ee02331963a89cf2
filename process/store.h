#ifndef SEAM_STORE_H
#define SEAM_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/err.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SEAM_KEY_MAX 160
#define SEAM_ABSENT 0 /* expected version of a row that must not exist */
#define SEAM_ANY_VERSION UINT64_MAX
#define SEAM_COMMIT_MAX 512 /* operations in one commit */
#define SEAM_ROW_BYTES_MAX (512u << 10)

/**
 * struct seam_row - one row of the platform's table service
 * @key: NUL-terminated key
 * @data: content, @len bytes and a NUL; owned by the row
 * @len: length in bytes
 * @version: version that the store gave at the last write; versions of a key
 *           only grow, across deletion too
 * @writer: token of the commit that wrote it
 */
struct seam_row {
	char key[SEAM_KEY_MAX];
	char *data;
	size_t len;
	uint64_t version;
	uint64_t writer;
};

/**
 * struct seam_rows - result of a scan; free with seam_rows_free()
 * @row: rows
 * @n: their number
 * @version: version of the store that a scan shows, to watch from; 0 if the
 *           store has none
 */
struct seam_rows {
	struct seam_row *row;
	size_t n;
	uint64_t version;
};

enum seam_op { SEAM_PUT, SEAM_DELETE, SEAM_CHECK };

/**
 * struct seam_write - one operation of a commit
 * @op: write, delete, or only check the version
 * @key: key of the row
 * @version: expected version, SEAM_ABSENT or SEAM_ANY_VERSION
 * @data: content for SEAM_PUT
 * @len: its length in bytes
 */
struct seam_write {
	enum seam_op op;
	const char *key;
	uint64_t version;
	const char *data;
	size_t len;
};

/**
 * struct seam_commit - operations that all apply or none
 * @write: operations, at most SEAM_COMMIT_MAX, each key once
 * @n: their number
 * @token: random, not 0; stored in each written row
 * @version: receives the version given to all written rows
 */
struct seam_commit {
	const struct seam_write *write;
	size_t n;
	uint64_t token;
	uint64_t version;
};

struct seam_store;

/**
 * struct seam_store_ops - behaviour of a store
 * @get: read a row; SEAM_NOT_FOUND if it does not exist
 * @scan: rows whose key starts with @prefix and is greater than @after, in
 *        order of key, at most @max
 * @commit: apply @c; SEAM_CONFLICT if an expected version differs,
 *          SEAM_UNAVAILABLE if nothing was applied, SEAM_COMMIT_UNKNOWN if it
 *          may have been applied
 * @watch: rows under @prefix that changed after version @after, in order of
 *         version; waits for the first change until @deadline. A row that was
 *         deleted has no data. @after becomes the version to go on from.
 *         SEAM_STALE if the store has forgotten changes after @after: scan
 *         again. NULL if the store can't tell of changes
 * @close: free the store
 *
 * Calls block until @deadline at the latest and can be made from any thread.
 */
struct seam_store_ops {
	int (*get)(struct seam_store *s, const char *key, struct seam_row *row,
		   seam_time deadline, struct seam_err *e);
	int (*scan)(struct seam_store *s, const char *prefix, const char *after,
		    size_t max, struct seam_rows *rows, seam_time deadline,
		    struct seam_err *e);
	int (*commit)(struct seam_store *s, struct seam_commit *c,
		      seam_time deadline, struct seam_err *e);
	int (*watch)(struct seam_store *s, const char *prefix, uint64_t *after,
		     struct seam_rows *rows, seam_time deadline,
		     struct seam_err *e);
	void (*close)(struct seam_store *s);
};

/** struct seam_store - a store; the vtable is the first member */
struct seam_store {
	const struct seam_store_ops *ops;
};

static inline int seam_store_get(struct seam_store *s, const char *key,
				 struct seam_row *row, seam_time deadline,
				 struct seam_err *e)
{
	return s->ops->get(s, key, row, deadline, e);
}

static inline int seam_store_scan(struct seam_store *s, const char *prefix,
				  const char *after, size_t max,
				  struct seam_rows *rows, seam_time deadline,
				  struct seam_err *e)
{
	return s->ops->scan(s, prefix, after, max, rows, deadline, e);
}

static inline int seam_store_commit(struct seam_store *s, struct seam_commit *c,
				    seam_time deadline, struct seam_err *e)
{
	return s->ops->commit(s, c, deadline, e);
}

static inline int seam_store_watch(struct seam_store *s, const char *prefix,
				   uint64_t *after, struct seam_rows *rows,
				   seam_time deadline, struct seam_err *e)
{
	return s->ops->watch(s, prefix, after, rows, deadline, e);
}

static inline void seam_store_close(struct seam_store *s)
{
	s->ops->close(s);
}

/** seam_row_free() - free the content of a row */
void seam_row_free(struct seam_row *row);

/** seam_rows_free() - free the result of a scan */
void seam_rows_free(struct seam_rows *rows);

/** seam_store_token() - random token that is not 0 */
uint64_t seam_store_token(void);

/**
 * seam_store_commit_sure() - commit and resolve lost answers
 * @s: store
 * @k: clock for the pauses between attempts
 * @c: the commit; its token is set here
 * @deadline: end of all attempts
 * @e: as for commit; SEAM_COMMIT_UNKNOWN only if the outcome could not be
 *     learned before @deadline
 *
 * Reads the first row that @c puts and compares the writer token. When the
 * token is absent the same commit is sent again: the expected versions let at
 * most one of the attempts apply. A conflict may hide an own attempt that
 * another writer has already overwritten, so the caller reads the rows again
 * after SEAM_CONFLICT, as it must in any case.
 */
int seam_store_commit_sure(struct seam_store *s, struct seam_clock *k,
			   struct seam_commit *c, seam_time deadline,
			   struct seam_err *e);

/**
 * struct seam_store_faults - faults of the memory store
 * @down: every call fails with SEAM_UNAVAILABLE
 * @lose_answers: of 1,000 commits, how many apply but answer
 *                SEAM_COMMIT_UNKNOWN
 * @drop_commits: of 1,000 commits, how many do not apply and answer
 *                SEAM_COMMIT_UNKNOWN
 * @delay: every call takes this many microseconds of the clock
 * @writes_per_sec: bound on written rows a second; 0 is none
 * @reads_per_sec: bound on read calls a second; 0 is none
 * @seed: seed of the random choice
 */
struct seam_store_faults {
	bool down;
	int lose_answers;
	int drop_commits;
	seam_time delay;
	int writes_per_sec;
	int reads_per_sec;
	uint64_t seed;
};

/**
 * struct seam_store_use - what was asked of the memory store
 * @reads: get and scan calls
 * @commits: commit calls that applied
 * @rows_written: rows put or deleted by them
 */
struct seam_store_use {
	uint64_t reads;
	uint64_t commits;
	uint64_t rows_written;
};

/** seam_store_mem_new() - store in memory, for embedding and tests */
struct seam_store *seam_store_mem_new(struct seam_clock *k);

/** seam_store_mem_faults() - set the faults of a memory store */
void seam_store_mem_faults(struct seam_store *s,
			   const struct seam_store_faults *f);

/** seam_store_mem_use() - read the use of a memory store */
struct seam_store_use seam_store_mem_use(struct seam_store *s);

/**
 * seam_store_view_new() - second connection to a memory store
 *
 * Has faults and use of its own, so that a test cuts one node from the store
 * while others reach it. Close it before the store that it views.
 */
struct seam_store *seam_store_view_new(struct seam_store *mem);

/**
 * seam_store_http_new() - the platform's table service over HTTP
 * @k: clock of the deadlines
 * @url: http://IP:PORT
 *
 * An answer to a commit that is broken or missing is SEAM_COMMIT_UNKNOWN,
 * unless no connection was made.
 */
struct seam_store *seam_store_http_new(struct seam_clock *k, const char *url);

/** enum seam_store_class - importance of a call, most important first */
enum seam_store_class {
	SEAM_CLASS_CONFIG,
	SEAM_CLASS_CLAIM,
	SEAM_CLASS_TASK,
	SEAM_CLASS_TEAM,
	SEAM_CLASS_POOL,
	SEAM_CLASS_OTHER,
	SEAM_CLASSES
};

/**
 * seam_store_class_of() - class of a key, by its prefix
 *
 * The budget takes reads of members and of the pools' rows as SEAM_CLASS_CONFIG
 * whatever the class of writes to them.
 */
enum seam_store_class seam_store_class_of(const char *key);

/**
 * struct seam_budget_conf - limits of the budget store
 * @writes: rows written a second, for all members together
 * @reads: reads a second, for all members together
 * @seed: seed of the jitter
 */
struct seam_budget_conf {
	int64_t writes;
	int64_t reads;
	uint64_t seed;
};

/**
 * struct seam_budget_state - what the budget store knows of the store
 * @last_ok: latest time at which a call that the store answered was begun
 * @open: calls are refused until the next probe
 * @unsettled: a commit of the configuration is in progress, or its outcome is
 *             unknown and it may still apply
 */
struct seam_budget_state {
	seam_time last_ok;
	bool open;
	bool unsettled;
};

/**
 * seam_store_budget_new() - bounds the calls that reach a store
 * @inner: store; closed with the budget store
 * @k: clock
 * @c: limits
 *
 * A call over the budget fails with SEAM_UNAVAILABLE at once and was not made.
 */
struct seam_store *seam_store_budget_new(struct seam_store *inner,
					 struct seam_clock *k,
					 const struct seam_budget_conf *c);

/** seam_store_budget_members() - live members that share the limits */
void seam_store_budget_members(struct seam_store *s, int members);

/** seam_store_budget_state() - state; zeroed if @s is no budget store */
struct seam_budget_state seam_store_budget_state(struct seam_store *s);

#ifdef __cplusplus
}
#endif
#endif
