#define G_LOG_USE_STRUCTURED 1
#define G_LOG_DOMAIN "monsoonseam"
#include "base/log.h"
#include "base/count.h"

#include <glib.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

SEAM_COUNT(violations, "seam_invariant_violations_total",
	   "Invariants that did not hold.");

static enum seam_level lowest = SEAM_INFO;
#ifdef SEAM_INVARIANT_ABORT
static bool abort_on_violation = true;
#else
static bool abort_on_violation;
#endif

static GLogLevelFlags glib_level(enum seam_level level)
{
	switch (level) {
	case SEAM_DEBUG:
		return G_LOG_LEVEL_DEBUG;
	case SEAM_INFO:
		return G_LOG_LEVEL_MESSAGE;
	case SEAM_WARN:
		return G_LOG_LEVEL_WARNING;
	default:
		return G_LOG_LEVEL_CRITICAL;
	}
}

static void vlog(enum seam_level level, const char *part, const char *fmt,
		 va_list ap)
{
	char text[512];

	vsnprintf(text, sizeof(text), fmt, ap);
	g_log_structured(G_LOG_DOMAIN, glib_level(level), "SEAM_PART", part,
			 "MESSAGE", "%s: %s", part, text);
}

void seam_log(enum seam_level level, const char *part, const char *fmt, ...)
{
	va_list ap;

	if (level < __atomic_load_n(&lowest, __ATOMIC_RELAXED))
		return;
	va_start(ap, fmt);
	vlog(level, part, fmt, ap);
	va_end(ap);
}

void seam_log_level(enum seam_level level)
{
	__atomic_store_n(&lowest, level, __ATOMIC_RELAXED);
}

void seam_invariant_failed(const char *file, int line, const char *cond,
			   const char *part, const char *fmt, ...)
{
	va_list ap;

	seam_count_add(&violations, 1);
	seam_log(SEAM_ERROR, part, "Invariant violated: %s at %s:%d.", cond,
		 file, line);
	va_start(ap, fmt);
	vlog(SEAM_ERROR, part, fmt, ap);
	va_end(ap);
	if (abort_on_violation)
		abort();
}

long seam_invariant_count(void)
{
	return (long)seam_count_get(&violations);
}

void seam_invariant_abort(bool on)
{
	abort_on_violation = on;
}
