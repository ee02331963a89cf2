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

/*
 * Holds the name of a table that other programs write, such as "servers/", and
 * a key of 200 bytes, the longest that the platform's table service accepts.
 */
#define SEAM_KEY_MAX 256
#define SEAM_ABSENT 0 /* expected version of a row that must not exist */
#define SEAM_ANY_VERSION UINT64_MAX /* the version is not checked */
#define SEAM_COMMIT_MAX 512 /* operations in one commit */
/*
 * Of the table service of this product. The users' platform takes rows of
 * 65,536 bytes, of which the token of the commit takes 17, and calls of 1 MB.
 */
#define SEAM_ROW_BYTES_MAX (512u << 10)

/**
 * struct seam_row - one row of the platform's table service
 * @key: NUL-terminated key
 * @data: content, @len bytes and a NUL; owned by the row
 * @len: length in bytes
 * @version: version assigned by the store at the last write; versions of a
 *           key only increase, also across a deletion
 * @writer: token of the commit that wrote the row
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
 * @n: number of rows
 * @version: version of the store that the scan reflects, from which a watch can
 *           start; 0 if the store has no such version
 * @more: further rows follow the last one. A store may return fewer rows than
 *        asked for although there are more, as a response has a largest size
 */
struct seam_rows {
	struct seam_row *row;
	size_t n;
	uint64_t version;
	bool more;
};

enum seam_op { SEAM_PUT, SEAM_DELETE, SEAM_CHECK };

/**
 * struct seam_write - one operation of a commit
 * @op: write, delete, or only check the version
 * @key: key of the row
 * @version: expected version, SEAM_ABSENT or SEAM_ANY_VERSION
 * @data: content for SEAM_PUT
 * @len: length of @data in bytes
 */
struct seam_write {
	enum seam_op op;
	const char *key;
	uint64_t version;
	const char *data;
	size_t len;
};

/**
 * struct seam_commit - operations that are applied atomically
 * @write: operations, at most SEAM_COMMIT_MAX, each key once
 * @n: number of operations
 * @token: random, not 0; stored in each written row
 * @version: receives the version assigned to all written rows
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
 * @scan: read at most @max rows, at least one, whose key starts with @prefix
 *        and is greater than @after, ordered by key; sets @more of @rows
 * @commit: apply @c; SEAM_CONFLICT if an expected version differs,
 *          SEAM_UNAVAILABLE if nothing was applied, SEAM_COMMIT_UNKNOWN if it
 *          may have been applied
 * @watch: read the rows under @prefix that changed after version @after,
 *         ordered by version; waits for the first change until @deadline. A
 *         deleted row has no data. @after is set to the version for the next
 *         call. SEAM_STALE if the store no longer has the changes after
 *         @after, so that the caller must scan again. NULL if the store does
 *         not report changes
 * @close: free the store
 *
 * Calls block until @deadline at the latest and are safe from any thread.
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

/** struct seam_store - base of all stores; the vtable is the first member */
struct seam_store {
	const struct seam_store_ops *ops;
};

static inline int seam_store_get(struct seam_store *s, const char *key,
				 struct seam_row *row, seam_time deadline,
				 struct seam_err *e)
{
	return s->ops->get(s, key, row, deadline, e);
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

/**
 * seam_store_scan() - read a page of rows; see struct seam_store_ops
 *
 * A page without rows that has further ones fails as SEAM_UNAVAILABLE: a reader
 * could not go on from it.
 */
int seam_store_scan(struct seam_store *s, const char *prefix, const char *after,
		    size_t max, struct seam_rows *rows, seam_time deadline,
		    struct seam_err *e);

/**
 * seam_store_scan_all() - read all rows under @prefix
 * @s: store
 * @k: clock of the deadlines
 * @prefix: beginning of the keys
 * @page: rows that are read at once
 * @timeout: of each page
 * @rows: receives the rows, with the version of the first page
 * @e: as for scan
 */
int seam_store_scan_all(struct seam_store *s, struct seam_clock *k,
			const char *prefix, size_t page, seam_time timeout,
			struct seam_rows *rows, struct seam_err *e);

/** seam_row_free() - free the content of a row */
void seam_row_free(struct seam_row *row);

/** seam_rows_free() - free the result of a scan */
void seam_rows_free(struct seam_rows *rows);

/** seam_store_token() - random nonzero token for a commit */
uint64_t seam_store_token(void);

/**
 * seam_store_commit_retry() - commit, with retries while the outcome is unknown
 * @s: store
 * @k: clock for the delays between attempts
 * @c: commit; its token is set here
 * @deadline: end of all attempts
 * @e: as for commit; SEAM_COMMIT_UNKNOWN only if the outcome could not be
 *     determined before @deadline
 *
 * After a lost response, reads the first row that @c puts and compares its
 * writer token. Unless the token matches, the same commit is sent again; the
 * expected versions ensure that at most one attempt applies. A conflict can
 * also mean that an earlier attempt applied and another writer has overwritten
 * it since, so the caller reads the rows again after SEAM_CONFLICT, as it must
 * in any case.
 */
int seam_store_commit_retry(struct seam_store *s, struct seam_clock *k,
			    struct seam_commit *c, seam_time deadline,
			    struct seam_err *e);

/**
 * struct seam_store_faults - faults to inject into the memory store
 * @down: every call fails with SEAM_UNAVAILABLE
 * @lose_answers: commits in 1,000 that apply but return SEAM_COMMIT_UNKNOWN
 * @drop_commits: commits in 1,000 that do not apply and return
 *                SEAM_COMMIT_UNKNOWN
 * @delay: duration of every call by the store's clock, microseconds
 * @writes_per_sec: limit on rows written per second; 0 for no limit
 * @reads_per_sec: limit on read calls per second; 0 for no limit
 * @seed: seed of the random choice of commits
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
 * struct seam_store_stats - calls served by the memory store
 * @reads: get and scan calls
 * @commits: commits that applied
 * @rows_written: rows put or deleted by them
 */
struct seam_store_stats {
	uint64_t reads;
	uint64_t commits;
	uint64_t rows_written;
};

/** seam_store_mem_new() - in-memory store for embedded mode and tests */
struct seam_store *seam_store_mem_new(struct seam_clock *k);

/** seam_store_mem_set_faults() - set the faults that a memory store injects */
void seam_store_mem_set_faults(struct seam_store *s,
			       const struct seam_store_faults *f);

/** seam_store_mem_stats() - counts of the calls on this connection */
struct seam_store_stats seam_store_mem_stats(struct seam_store *s);

/**
 * seam_store_mem_connect() - another connection to a memory store
 *
 * Has its own faults and counts, so that a test can disconnect one node from
 * the store while others reach it. Must be closed before @mem.
 */
struct seam_store *seam_store_mem_connect(struct seam_store *mem);

/**
 * seam_store_http_new() - client of the platform's table service over HTTP
 * @k: clock of the deadlines
 * @url: http://IP:PORT
 *
 * A commit with a malformed or missing response returns SEAM_COMMIT_UNKNOWN,
 * unless no connection was made.
 */
struct seam_store *seam_store_http_new(struct seam_clock *k, const char *url);

/**
 * seam_store_http_keep_one_connection() - see seam_rest_keep_one_connection()
 * @s: created by seam_store_http_new()
 */
void seam_store_http_keep_one_connection(struct seam_store *s);

/** enum seam_store_class - priority class of a call, highest first */
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
 * seam_store_class_of() - priority class of a key, by its prefix
 *
 * The budget store treats reads of member and pool rows as SEAM_CLASS_CONFIG,
 * regardless of the class of writes to them.
 */
enum seam_store_class seam_store_class_of(const char *key);

/**
 * struct seam_budget_conf - limits of the budget store
 * @writes: rows written per second by all members together
 * @reads: reads per second by all members together
 * @seed: seed of the jitter of probe times
 */
struct seam_budget_conf {
	int64_t writes;
	int64_t reads;
	uint64_t seed;
};

/**
 * struct seam_budget_state - state of a budget store
 * @last_ok: latest start time of a call that the store answered
 * @open: the circuit breaker is open; calls fail until the next probe
 * @unsettled: a configuration commit is in progress, or its outcome is unknown
 *             and it may still apply
 */
struct seam_budget_state {
	seam_time last_ok;
	bool open;
	bool unsettled;
};

/**
 * seam_store_budget_new() - store with rate limits and a circuit breaker
 * @inner: store that gets the calls; closed with the budget store
 * @k: clock
 * @c: limits
 *
 * A call over the budget, or between probes while the breaker is open, fails
 * immediately with SEAM_UNAVAILABLE and is not passed to @inner.
 */
struct seam_store *seam_store_budget_new(struct seam_store *inner,
					 struct seam_clock *k,
					 const struct seam_budget_conf *c);

/** seam_store_budget_set_members() - set how many members share the limits */
void seam_store_budget_set_members(struct seam_store *s, int members);

/** seam_store_budget_state() - state; zeroed if @s is not a budget store */
struct seam_budget_state seam_store_budget_state(struct seam_store *s);

#ifdef __cplusplus
}
#endif
#endif
