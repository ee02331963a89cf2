#ifndef SEAM_ONCE_H
#define SEAM_ONCE_H

#include "process/store.h"
#include "request/call.h"
#include "version/conf.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SEAM_ONCE_KEY_MAX 255 /* bytes of an Idempotency-Key */
#define SEAM_ONCE_BODY_MAX (16u << 10) /* larger bodies are not stored */
#define SEAM_ONCE_GROUP 64 /* rows in one commit */
#define SEAM_ONCE_TYPE "application/vnd.seam.outcome+json"

/**
 * enum seam_once_state - state of a claim
 * @SEAM_ONCE_CLAIMED: the request may be running
 * @SEAM_ONCE_DONE: the request ran and the response is known
 * @SEAM_ONCE_NOT_RUN: the request provably did not run; it may be claimed again
 * @SEAM_ONCE_UNKNOWN: the claiming node could not determine whether the request
 *                     ran
 */
enum seam_once_state {
	SEAM_ONCE_CLAIMED,
	SEAM_ONCE_DONE,
	SEAM_ONCE_NOT_RUN,
	SEAM_ONCE_UNKNOWN,
	SEAM_ONCE_STATES
};

/**
 * struct seam_once_row - content of a row once/TEAM/HASH
 * @state: enum seam_once_state
 * @claim: random id of the claim, by which a node recognises its own row
 * @node: node that made the claim
 * @deadline: the claiming node does not send the request after this time
 * @expires: the row may be deleted after this time
 * @request: SHA-256 of the request, in hexadecimal
 * @answer: response, in state done; @answer.body is NULL if it was too large
 * @len: length of the complete response body in bytes
 * @sha256: SHA-256 of the complete response body, in hexadecimal
 */
struct seam_once_row {
	int state;
	uint64_t claim;
	char node[64];
	seam_time deadline;
	seam_time expires;
	char request[SEAM_SHA256_HEX_SIZE];
	struct seam_answer answer;
	size_t len;
	char sha256[SEAM_SHA256_HEX_SIZE];
};

/** seam_once_row_write() - serialise a row as JSON; free with free() */
char *seam_once_row_write(const struct seam_once_row *r);

/**
 * seam_once_row_read() - parse a row
 * @text: content
 * @r: receives the row; free with seam_answer_free(&r->answer)
 * @e: SEAM_INTERNAL if it is malformed
 */
int seam_once_row_read(const char *text, struct seam_once_row *r,
		       struct seam_err *e);

/**
 * seam_once_row_answer() - copy a response into a row
 *
 * A body over SEAM_ONCE_BODY_MAX is stored as its length and hash only.
 */
void seam_once_row_answer(struct seam_once_row *r, const struct seam_answer *a);

/** enum seam_once_verdict - what to do with a request that has a key */
enum seam_once_verdict {
	SEAM_ONCE_RUN, /* claim it, then run it */
	SEAM_ONCE_REPEAT, /* send the stored response again */
	SEAM_ONCE_IN_PROGRESS,
	SEAM_ONCE_OUTCOME_LOST, /* it may have run, with unknown outcome */
	SEAM_ONCE_KEY_REUSED
};

/**
 * seam_once_decide() - decide on a request with a key
 * @r: row of the key, or NULL if there is none
 * @request: SHA-256 of the request
 * @now: time
 * @skew: maximum clock skew between nodes
 */
enum seam_once_verdict seam_once_decide(const struct seam_once_row *r,
					const char *request, seam_time now,
					seam_time skew);

/** struct seam_once - claims of idempotency keys on a node; thread-safe */
struct seam_once;

/**
 * struct seam_once_settings - settings of a node
 * @node: name of the node
 * @skew: maximum clock skew between nodes
 * @writes_per_sec: maximum rate of row writes for claims and outcomes; 0 is
 *                  unlimited
 */
struct seam_once_settings {
	char node[64];
	seam_time skew;
	int writes_per_sec;
};

/** seam_once_new() - create; claims are stored in @s, owned by the caller */
struct seam_once *seam_once_new(struct seam_store *s, struct seam_clock *k,
				const struct seam_once_settings *set);

/** seam_once_free() - free @o; no claim may be open */
void seam_once_free(struct seam_once *o);

/**
 * struct seam_once_claim - a request with an idempotency key
 * @key: row key
 * @row: row written by this node, or the stored outcome
 * @version: version of the row
 */
struct seam_once_claim {
	char key[SEAM_KEY_MAX];
	struct seam_once_row row;
	uint64_t version;
};

/**
 * seam_once_claim_init() - initialise a claim with its row key and request hash
 * @c: claim to initialise
 * @team: team of the caller
 * @key: Idempotency-Key
 * @service: service
 * @call: request; its method, path, query and body are hashed
 * @e: SEAM_BAD_REQUEST if the key is empty or too long
 */
int seam_once_claim_init(struct seam_once_claim *c, const char *team,
			 const char *key, const char *service,
			 const struct seam_call *call, struct seam_err *e);

/**
 * seam_once_begin() - claim the right to run a request
 * @o: claims
 * @c: claim initialised by seam_once_claim_init()
 * @deadline: deadline of the request; it is not sent later
 * @e: SEAM_IN_PROGRESS, SEAM_OUTCOME_UNKNOWN, SEAM_CONFLICT,
 *     SEAM_UNAVAILABLE
 *
 * Waits up to 5 ms for other claims and outcomes, to commit them together.
 *
 * Return: SEAM_ONCE_RUN: run it, then call seam_once_end();
 * SEAM_ONCE_REPEAT: seam_once_answer() gives the stored response; -1 on error.
 */
int seam_once_begin(struct seam_once *o, struct seam_once_claim *c,
		    seam_time deadline, struct seam_err *e);

/**
 * seam_once_lookup() - like seam_once_begin(), but never claims the key
 *
 * Return: SEAM_ONCE_RUN if the key is free.
 */
int seam_once_lookup(struct seam_once *o, struct seam_once_claim *c,
		     struct seam_err *e);

/**
 * seam_once_end() - write the outcome
 * @o: claims
 * @c: claim for which seam_once_begin() returned SEAM_ONCE_RUN
 * @rc: 0 if @a is the response, -1 if @failed is the error instead
 * @a: response
 * @failed: error; its kind determines whether the request ran
 *
 * If the store is unavailable, the outcome stays in memory until
 * seam_once_maintain() writes it.
 */
void seam_once_end(struct seam_once *o, struct seam_once_claim *c, int rc,
		   const struct seam_answer *a, const struct seam_err *failed);

/**
 * seam_once_answer() - stored response for a repeated request
 * @c: claim with a stored outcome
 * @a: receives the response. If the body was too large to be stored, it has
 *     the stored status, the type SEAM_ONCE_TYPE, and a JSON body with the
 *     length and hash of the original.
 */
void seam_once_answer(const struct seam_once_claim *c, struct seam_answer *a);

/** seam_once_claim_free() - free the members of @c */
void seam_once_claim_free(struct seam_once_claim *c);

/**
 * seam_once_maintain() - write pending outcomes and delete expired rows
 * @o: claims
 * @now: time
 * @sweep: whether this node deletes expired rows
 *
 * Reads at most 128 rows and deletes those that have expired.
 *
 * Return: time at which to call it again.
 */
seam_time seam_once_maintain(struct seam_once *o, seam_time now, bool sweep);

/**
 * seam_once_flush() - write the pending outcomes before shutdown
 *
 * Return: true if none is pending at @deadline.
 */
bool seam_once_flush(struct seam_once *o, seam_time deadline);

#ifdef __cplusplus
}
#endif
#endif
