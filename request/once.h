#ifndef SEAM_ONCE_H
#define SEAM_ONCE_H

#include "process/store.h"
#include "request/call.h"
#include "version/conf.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SEAM_ONCE_KEY_MAX 255 /* bytes of a caller's key */
#define SEAM_ONCE_BODY_MAX (16u << 10) /* larger answers are not kept */
#define SEAM_ONCE_GROUP 64 /* rows of one commit */
#define SEAM_ONCE_TYPE "application/vnd.seam.outcome+json"

/**
 * enum seam_once_state - state of a claim
 * @SEAM_ONCE_CLAIMED: it may be running
 * @SEAM_ONCE_DONE: it ran, the answer is known
 * @SEAM_ONCE_NOT_RUN: it provably did not run; may be claimed again
 * @SEAM_ONCE_UNKNOWN: the claimer does not know whether it ran
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
 * @claim: random number of the claim, to recognise an own row
 * @node: node that claimed
 * @deadline: after it the claimer does not send
 * @expires: the row may be deleted
 * @request: SHA-256 of the request, in hexadecimal
 * @answer: answer of state done; @answer.body is NULL if it was too large
 * @len: length of the whole answer in bytes
 * @sha256: SHA-256 of the whole answer, in hexadecimal
 */
struct seam_once_row {
	int state;
	uint64_t claim;
	char node[64];
	seam_time deadline;
	seam_time expires;
	char request[SEAM_SHA256_HEX];
	struct seam_answer answer;
	size_t len;
	char sha256[SEAM_SHA256_HEX];
};

/** seam_once_row_write() - JSON of a row; free with free() */
char *seam_once_row_write(const struct seam_once_row *r);

/**
 * seam_once_row_read() - row from JSON
 * @text: content
 * @r: receives it; free with seam_answer_free(&r->answer)
 * @e: SEAM_INTERNAL if it is damaged
 */
int seam_once_row_read(const char *text, struct seam_once_row *r,
		       struct seam_err *e);

/** seam_once_row_answer() - take over an answer, or only its length and hash */
void seam_once_row_answer(struct seam_once_row *r, const struct seam_answer *a);

/** enum seam_once_verdict - what to do with a request, given its row */
enum seam_once_verdict {
	SEAM_ONCE_RUN, /* claim it, then run it */
	SEAM_ONCE_REPEAT, /* answer with the stored outcome */
	SEAM_ONCE_IN_PROGRESS,
	SEAM_ONCE_LOST, /* outcome unknown */
	SEAM_ONCE_OTHER_BODY
};

/**
 * seam_once_decide() - decision on a key
 * @r: its row, or NULL if there is none
 * @request: SHA-256 of the request
 * @now: time
 * @skew: greatest difference between clocks
 */
enum seam_once_verdict seam_once_decide(const struct seam_once_row *r,
					const char *request, seam_time now,
					seam_time skew);

/** struct seam_once - claims of a node; locked inside */
struct seam_once;

/**
 * struct seam_once_settings - of a node
 * @node: name of the node
 * @skew: greatest difference between clocks
 * @writes_per_sec: rows that claims and outcomes may write; 0 is no bound
 */
struct seam_once_settings {
	char node[64];
	seam_time skew;
	int writes_per_sec;
};

/** seam_once_new() - claims in @s, which the caller owns */
struct seam_once *seam_once_new(struct seam_store *s, struct seam_clock *k,
				const struct seam_once_settings *set);

/** seam_once_free() - free it; no claim may be open */
void seam_once_free(struct seam_once *o);

/**
 * struct seam_once_claim - one keyed request
 * @key: row key
 * @row: row as this node wrote it, or the stored outcome
 * @version: version of the row
 */
struct seam_once_claim {
	char key[SEAM_KEY_MAX];
	struct seam_once_row row;
	uint64_t version;
};

/**
 * seam_once_name() - fill in the row key and the request's hash
 * @c: receives them
 * @team: team of the caller
 * @key: Idempotency-Key
 * @service: service
 * @call: request; method, path, query and body are hashed
 * @e: SEAM_BAD_REQUEST if the key is empty or too long
 */
int seam_once_name(struct seam_once_claim *c, const char *team, const char *key,
		   const char *service, const struct seam_call *call,
		   struct seam_err *e);

/**
 * seam_once_begin() - claim the right to run a request
 * @o: claims
 * @c: named by seam_once_name()
 * @deadline: end of the request; it may not be sent later
 * @e: SEAM_IN_PROGRESS, SEAM_OUTCOME_UNKNOWN, SEAM_CONFLICT,
 *     SEAM_UNAVAILABLE
 *
 * Waits up to 5 ms for other claims and outcomes, to write them together.
 *
 * Return: SEAM_ONCE_RUN: run it, then call seam_once_end();
 * SEAM_ONCE_REPEAT: seam_once_answer() has the outcome; -1.
 */
int seam_once_begin(struct seam_once *o, struct seam_once_claim *c,
		    seam_time deadline, struct seam_err *e);

/**
 * seam_once_look() - as seam_once_begin(), but never claims
 *
 * Return: SEAM_ONCE_RUN if the key is free.
 */
int seam_once_look(struct seam_once *o, struct seam_once_claim *c,
		   struct seam_err *e);

/**
 * seam_once_end() - write the outcome
 * @o: claims
 * @c: claim that may run
 * @rc: 0 if @a is the answer, -1 if @failed says why there is none
 * @a: answer
 * @failed: error; its kind tells whether the request ran
 *
 * An outcome that the store does not take is kept and written by
 * seam_once_pass().
 */
void seam_once_end(struct seam_once *o, struct seam_once_claim *c, int rc,
		   const struct seam_answer *a, const struct seam_err *failed);

/**
 * seam_once_answer() - answer of a repeated request
 * @c: claim with a stored outcome
 * @a: receives the answer. If the body was too large to be kept, it has the
 *     stored status, the type SEAM_ONCE_TYPE, and length and hash as JSON.
 */
void seam_once_answer(const struct seam_once_claim *c, struct seam_answer *a);

/** seam_once_claim_free() - free what @c holds */
void seam_once_claim_free(struct seam_once_claim *c);

/**
 * seam_once_pass() - write kept outcomes, delete expired rows
 * @o: claims
 * @now: time
 * @sweep: this node deletes expired rows
 *
 * Reads at most 256 rows and deletes at most 64.
 *
 * Return: time of the next pass.
 */
seam_time seam_once_pass(struct seam_once *o, seam_time now, bool sweep);

/**
 * seam_once_flush() - write the kept outcomes before a stop
 *
 * Return: true if none is left at @deadline.
 */
bool seam_once_flush(struct seam_once *o, seam_time deadline);

#ifdef __cplusplus
}
#endif
#endif
