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
#include <string.h>
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

/*
 * Lines of these parts tell the state of the node. They have a limit of their
 * own: without it the lines of requests used up the second in which the owner
 * was overloaded, and its state was lost when it was needed.
 */
static const char *const state_parts[] = {"node",  "config", "store",
					  "owner", "waits",  "dispatch",
					  "vms",   "upkeep"};
#define STATE_LINES_PER_SEC 200
/*
 * Part of the lines of each order for a VM. A rise of demand has hundreds of
 * them in a second, which used up that limit.
 */
#define VM_ORDERS_PART "orders"
#define VM_ORDER_LINES_PER_SEC 200

enum log_class { REQUEST_LINES, STATE_LINES, VM_ORDER_LINES, LOG_CLASSES };

/* Lines that were dropped since the last line that tells their number. */
struct dropped_event {
	char name[24];
	int64_t lines;
};
#define DROPPED_EVENTS_MAX 24 /* the last one counts all further events */

/* State of the log on standard output, protected by @lock. */
static struct {
	pthread_mutex_t lock;
	int limit[LOG_CLASSES]; /* lines a second; 0: GLib's writer is used */
	int written[LOG_CLASSES];
	time_t second;
	int64_t dropped;
	struct dropped_event event[DROPPED_EVENTS_MAX];
	int events;
} output = {.lock = PTHREAD_MUTEX_INITIALIZER};

#define LINE_BYTES_MAX 1024 /* less than a pipe accepts in one write */

static const char *const level_names[] = {"debug", "info", "warning", "error"};

static enum log_class class_of(const char *part)
{
	size_t i;

	if (!strcmp(part, VM_ORDERS_PART))
		return VM_ORDER_LINES;
	for (i = 0; i < sizeof(state_parts) / sizeof(*state_parts); i++)
		if (!strcmp(part, state_parts[i]))
			return STATE_LINES;
	return REQUEST_LINES;
}

/*
 * Copies the name of the event of @fmt, or the part if the name is an argument.
 */
static void event_name(char *name, size_t size, const char *part,
		       const char *fmt)
{
	size_t n = 0;

	if (!strncmp(fmt, "event=", 6))
		n = strcspn(fmt + 6, " ");
	if (!n || memchr(fmt + 6, '%', n))
		snprintf(name, size, "%s", part);
	else
		snprintf(name, size, "%.*s", (int)n, fmt + 6);
}

static void count_dropped(const char *part, const char *fmt)
{
	struct dropped_event *v;
	char name[sizeof(v->name)];
	int i;

	event_name(name, sizeof(name), part, fmt);
	for (i = 0; i < output.events; i++)
		if (!strcmp(output.event[i].name, name))
			break;
	if (i == DROPPED_EVENTS_MAX)
		i--;
	v = &output.event[i];
	if (i == output.events) {
		output.events++;
		snprintf(v->name, sizeof(v->name), "%s",
			 i < DROPPED_EVENTS_MAX - 1 ? name : "other");
		v->lines = 0;
	}
	v->lines++;
	output.dropped++;
	seam_metric_add(&dropped, 1);
}

/* Writes a line; returns false if standard output would block. */
static bool write_nonblocking(const char *line, size_t n)
{
	struct pollfd p = {.fd = STDOUT_FILENO, .events = POLLOUT};

	if (poll(&p, 1, 0) != 1 || !(p.revents & POLLOUT))
		return false;
	return write(STDOUT_FILENO, line, n) == (ssize_t)n;
}

/* Logs how many lines of each event were dropped. */
static void write_dropped(time_t now)
{
	char line[LINE_BYTES_MAX];
	int n = snprintf(line, sizeof(line),
			 "time=%lld.000 level=warning part=log event=dropped "
			 "lines=%lld events=",
			 (long long)now, (long long)output.dropped);
	int i;

	for (i = 0; i < output.events; i++)
		n += snprintf(line + n, sizeof(line) - (size_t)n, "%s%s:%lld",
			      i ? "," : "", output.event[i].name,
			      (long long)output.event[i].lines);
	line[n++] = '\n';
	if (!write_nonblocking(line, (size_t)n))
		return;
	output.dropped = 0;
	output.events = 0;
}

static void start_second(time_t now)
{
	output.second = now;
	memset(output.written, 0, sizeof(output.written));
	if (output.dropped)
		write_dropped(now);
}

/*
 * Whether a line may be written in this second. A line that may not is counted
 * before it is formatted, as that takes longer than all the rest.
 */
static bool admit_line(const char *part, const char *fmt, time_t now)
{
	enum log_class class = class_of(part);
	bool admitted;

	pthread_mutex_lock(&output.lock);
	if (now != output.second)
		start_second(now);
	admitted = output.written[class] < output.limit[class];
	if (admitted)
		output.written[class]++;
	else
		count_dropped(part, fmt);
	pthread_mutex_unlock(&output.lock);
	return admitted;
}

static void write_line(enum seam_level level, const char *part, const char *fmt,
		       va_list ap)
{
	struct timespec ts;
	char line[LINE_BYTES_MAX];
	int n;

	clock_gettime(CLOCK_REALTIME, &ts);
	if (!admit_line(part, fmt, ts.tv_sec))
		return;
	n = snprintf(line, sizeof(line), "time=%lld.%03ld level=%s part=%s ",
		     (long long)ts.tv_sec, ts.tv_nsec / 1000000,
		     level_names[level], part);
	n += vsnprintf(line + n, sizeof(line) - (size_t)n, fmt, ap);
	if (n >= (int)sizeof(line) - 1)
		n = sizeof(line) - 2;
	line[n++] = '\n';
	pthread_mutex_lock(&output.lock);
	if (!write_nonblocking(line, (size_t)n))
		count_dropped(part, fmt);
	pthread_mutex_unlock(&output.lock);
}

void seam_log_to_stdout(int per_second)
{
	output.limit[REQUEST_LINES] = per_second;
	output.limit[STATE_LINES] = per_second ? STATE_LINES_PER_SEC : 0;
	output.limit[VM_ORDER_LINES] = per_second ? VM_ORDER_LINES_PER_SEC : 0;
}

static void vlog(enum seam_level level, const char *part, const char *fmt,
		 va_list ap)
{
	char text[512];

	if (output.limit[REQUEST_LINES]) {
		write_line(level, part, fmt, ap);
		return;
	}
	vsnprintf(text, sizeof(text), fmt, ap);
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
