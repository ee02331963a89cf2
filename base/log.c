#define G_LOG_USE_STRUCTURED 1
#define G_LOG_DOMAIN "monsoonseam"
#include "base/log.h"
#include "base/metrics.h"

#include <glib.h>
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>
#include <unistd.h>

SEAM_METRIC(violations, "seam_invariant_violations_total",
	    "Invariants that did not hold.");

SEAM_METRIC(dropped, "seam_log_dropped_total", "Log lines that were dropped.");

static enum seam_level min_level = SEAM_INFO;
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

/* State of the log on standard output, protected by @lock. */
static struct {
	pthread_mutex_t lock;
	int lines_per_second; /* limit; 0: GLib's log writer is used */
	time_t second;
	int written;
	int64_t dropped;
} output = {.lock = PTHREAD_MUTEX_INITIALIZER};

#define LINE_BYTES_MAX 1024 /* less than a pipe accepts in one write */

static const char *const level_names[] = {"debug", "info", "warning", "error"};

/* Writes a line; returns false if standard output would block. */
static bool write_nonblocking(const char *line, size_t n)
{
	struct pollfd p = {.fd = STDOUT_FILENO, .events = POLLOUT};

	if (poll(&p, 1, 0) != 1 || !(p.revents & POLLOUT))
		return false;
	return write(STDOUT_FILENO, line, n) == (ssize_t)n;
}

/* Starts a new second and logs how many lines were dropped before. */
static void start_second(time_t now)
{
	char line[128];
	int n;

	output.second = now;
	output.written = 0;
	if (!output.dropped)
		return;
	n = snprintf(line, sizeof(line),
		     "time=%lld.000 level=warning part=log event=dropped "
		     "lines=%lld\n",
		     (long long)now, (long long)output.dropped);
	if (write_nonblocking(line, (size_t)n))
		output.dropped = 0;
}

static void write_line(enum seam_level level, const char *part,
		       const char *text)
{
	struct timespec ts;
	char line[LINE_BYTES_MAX];
	int n;

	clock_gettime(CLOCK_REALTIME, &ts);
	n = snprintf(line, sizeof(line),
		     "time=%lld.%03ld level=%s part=%s %s\n",
		     (long long)ts.tv_sec, ts.tv_nsec / 1000000,
		     level_names[level], part, text);
	if (n >= (int)sizeof(line)) {
		n = sizeof(line) - 1;
		line[n - 1] = '\n';
	}
	pthread_mutex_lock(&output.lock);
	if (ts.tv_sec != output.second)
		start_second(ts.tv_sec);
	if (output.written < output.lines_per_second &&
	    write_nonblocking(line, (size_t)n)) {
		output.written++;
	} else {
		output.dropped++;
		seam_metric_add(&dropped, 1);
	}
	pthread_mutex_unlock(&output.lock);
}

void seam_log_to_stdout(int per_second)
{
	output.lines_per_second = per_second;
}

static void vlog(enum seam_level level, const char *part, const char *fmt,
		 va_list ap)
{
	char text[512];

	vsnprintf(text, sizeof(text), fmt, ap);
	if (output.lines_per_second) {
		write_line(level, part, text);
		return;
	}
	g_log_structured(G_LOG_DOMAIN, glib_level(level), "SEAM_PART", part,
			 "MESSAGE", "%s: %s", part, text);
}

void seam_log(enum seam_level level, const char *part, const char *fmt, ...)
{
	va_list ap;

	if (level < __atomic_load_n(&min_level, __ATOMIC_RELAXED))
		return;
	va_start(ap, fmt);
	vlog(level, part, fmt, ap);
	va_end(ap);
}

void seam_log_set_level(enum seam_level level)
{
	__atomic_store_n(&min_level, level, __ATOMIC_RELAXED);
}

void seam_invariant_failed(const char *file, int line, const char *cond,
			   const char *part, const char *fmt, ...)
{
	va_list ap;

	seam_metric_add(&violations, 1);
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
	return (long)seam_metric_get(&violations);
}

void seam_invariant_set_abort(bool on)
{
	abort_on_violation = on;
}
