#include "base/err.h"

#include <stdarg.h>
#include <stdio.h>

static const struct seam_err_kind_info infos[SEAM_ERR_KINDS] = {
	[SEAM_OK] = {"ok", "done", 200, SEAM_RAN, false},
	[SEAM_BAD_REQUEST] = {"bad_request", "malformed request", 400,
			      SEAM_NOT_RUN, false},
	[SEAM_BAD_CONFIG] = {"bad_config", "invalid configuration", 422,
			     SEAM_NOT_RUN, false},
	[SEAM_UNAUTHENTICATED] = {"unauthenticated", "unknown key", 401,
				  SEAM_NOT_RUN, false},
	[SEAM_FORBIDDEN] = {"forbidden", "key has no access to this object",
			    403, SEAM_NOT_RUN, false},
	[SEAM_NOT_FOUND] = {"not_found", "no such object", 404, SEAM_NOT_RUN,
			    false},
	[SEAM_GONE] = {"gone", "no such job", 410, SEAM_NOT_RUN, false},
	[SEAM_CONFLICT] = {"conflict", "version conflict", 409, SEAM_NOT_RUN,
			   false},
	[SEAM_IN_PROGRESS] = {"in_progress",
			      "a request with this idempotency key is running",
			      409, SEAM_RUN_UNKNOWN, true},
	[SEAM_TOO_LARGE] = {"too_large", "size limit exceeded", 413,
			    SEAM_NOT_RUN, false},
	[SEAM_OVER_LIMIT] = {"over_limit", "team is at its upper limit", 429,
			     SEAM_NOT_RUN, true},
	[SEAM_BUSY] = {"busy", "all targets are busy", 503, SEAM_NOT_RUN, true},
	[SEAM_STALE] = {"stale", "configuration not confirmed in time", 503,
			SEAM_NOT_RUN, true},
	[SEAM_DC_OUT] = {"dc_out", "data centre is out", 503, SEAM_NOT_RUN,
			 true},
	[SEAM_DRAINING] = {"draining", "node is draining", 503, SEAM_NOT_RUN,
			   true},
	[SEAM_DEADLINE] = {"deadline", "deadline passed before the start", 504,
			   SEAM_NOT_RUN, true},
	[SEAM_UNAVAILABLE] = {"unavailable", "store unavailable", 503,
			      SEAM_NOT_RUN, true},
	[SEAM_COMMIT_UNKNOWN] = {"commit_unknown",
				 "commit may have taken effect", 503,
				 SEAM_RUN_UNKNOWN, true},
	[SEAM_TARGET_REFUSED] = {"target_refused", "target refused the work",
				 503, SEAM_NOT_RUN, true},
	[SEAM_TARGET_FAILED] = {"target_failed",
				"target response is incomplete", 502,
				SEAM_RUN_UNKNOWN, true},
	[SEAM_OUTCOME_UNKNOWN] = {"outcome_unknown", "outcome unknown", 504,
				  SEAM_RUN_UNKNOWN, false},
	[SEAM_NOT_OWNER] = {"not_owner", "another node is the owner", 409,
			    SEAM_NOT_RUN, true},
	[SEAM_FENCED] = {"fenced", "fencing token is out of date", 409,
			 SEAM_NOT_RUN, false},
	[SEAM_OVER_BUDGET] = {"over_budget", "availability budget is used up",
			      409, SEAM_NOT_RUN, true},
	[SEAM_NEVER_RUNS] = {"never_runs", "no worker can ever run this task",
			     422, SEAM_NOT_RUN, false},
	[SEAM_CANCELLED] = {"cancelled", "cancelled before it was stored", 503,
			    SEAM_NOT_RUN, false},
	[SEAM_NO_MEMORY] = {"no_memory", "out of memory", 503, SEAM_NOT_RUN,
			    true},
	[SEAM_INTERNAL] = {"internal", "internal error", 500, SEAM_RUN_UNKNOWN,
			   false},
};

int seam_fail(struct seam_err *e, enum seam_err_kind kind, const char *fmt, ...)
{
	va_list ap;

	if (!e)
		return -1;
	e->kind = kind;
	if (!fmt) {
		snprintf(e->text, sizeof(e->text), "%s", infos[kind].text);
		return -1;
	}
	va_start(ap, fmt);
	vsnprintf(e->text, sizeof(e->text), fmt, ap);
	va_end(ap);
	return -1;
}

void seam_err_clear(struct seam_err *e)
{
	e->kind = SEAM_OK;
	e->text[0] = '\0';
}

const struct seam_err_kind_info *seam_err_kind_info(enum seam_err_kind kind)
{
	if ((unsigned)kind >= SEAM_ERR_KINDS)
		kind = SEAM_INTERNAL;
	return &infos[kind];
}

const char *seam_execution_name(enum seam_execution run)
{
	switch (run) {
	case SEAM_NOT_RUN:
		return "not_run";
	case SEAM_RAN:
		return "ran";
	default:
		return "unknown";
	}
}
