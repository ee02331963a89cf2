#ifndef SEAM_ERR_H
#define SEAM_ERR_H

#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * enum seam_err_kind - the complete list of error kinds
 *
 * Each kind has one row in the table of seam_err_kind_info(), which determines
 * the response to the client. A new kind is added here and to that table only.
 */
enum seam_err_kind {
	SEAM_OK,
	SEAM_BAD_REQUEST,
	SEAM_BAD_CONFIG,
	SEAM_UNAUTHENTICATED,
	SEAM_FORBIDDEN,
	SEAM_NOT_FOUND,
	SEAM_GONE,
	SEAM_CONFLICT,
	SEAM_IN_PROGRESS,
	SEAM_TOO_LARGE,
	SEAM_OVER_LIMIT,
	SEAM_BUSY,
	SEAM_STALE,
	SEAM_DC_OUT,
	SEAM_DRAINING,
	SEAM_DEADLINE,
	SEAM_UNAVAILABLE,
	SEAM_COMMIT_UNKNOWN,
	SEAM_TARGET_REFUSED,
	SEAM_TARGET_FAILED,
	SEAM_OUTCOME_UNKNOWN,
	SEAM_NOT_OWNER,
	SEAM_FENCED,
	SEAM_OVER_BUDGET,
	SEAM_NEVER_RUNS,
	SEAM_CANCELLED,
	SEAM_NO_MEMORY,
	SEAM_INTERNAL,
	SEAM_ERR_KINDS
};

/**
 * enum seam_execution - whether the work of a failed request was executed
 * @SEAM_NOT_RUN: it is certain that it did not start
 * @SEAM_RAN: it ran to completion
 * @SEAM_RUN_UNKNOWN: it may have run, completely or partly
 */
enum seam_execution { SEAM_NOT_RUN, SEAM_RAN, SEAM_RUN_UNKNOWN };

/**
 * struct seam_err_kind_info - response for an error kind
 * @name: value of the JSON field "kind"
 * @text: default message
 * @status: HTTP status code
 * @run: whether the work was executed
 * @retry: the same request can succeed if it is sent again later
 */
struct seam_err_kind_info {
	const char *name;
	const char *text;
	int status;
	enum seam_execution run;
	bool retry;
};

/**
 * struct seam_err - error returned to the caller of a function
 * @kind: SEAM_OK if there is no error
 * @text: one line that says where the error is and which rule was violated
 */
struct seam_err {
	enum seam_err_kind kind;
	char text[240];
};

#define SEAM_ERR_INIT       \
	{                   \
		SEAM_OK, "" \
	}

/**
 * seam_fail() - set an error
 * @e: error to set; may be NULL
 * @kind: kind of the error
 * @fmt: printf format of the text; NULL for the default text of @kind
 *
 * Return: always -1, so that callers can write "return seam_fail(...)".
 */
int seam_fail(struct seam_err *e, enum seam_err_kind kind, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/** seam_err_clear() - reset @e to SEAM_OK */
void seam_err_clear(struct seam_err *e);

/** seam_err_kind_info() - table row of @kind; never NULL */
const struct seam_err_kind_info *seam_err_kind_info(enum seam_err_kind kind);

/** seam_execution_name() - "not_run", "ran" or "unknown" */
const char *seam_execution_name(enum seam_execution run);

#ifdef __cplusplus
}
#endif
#endif
