#include "request/trace.h"

#include <pthread.h>
#include <sodium.h>
#include <string.h>

#define SPANS_MAX 1024

struct span {
	struct seam_trace trace;
	const char *name;
	seam_time start;
	seam_time end;
	int status;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct span spans[SPANS_MAX];
static unsigned next_span;

static int hex_bytes(unsigned char *out, size_t n, const char *s)
{
	size_t got;
	const char *end;

	if (sodium_hex2bin(out, n, s, n * 2, NULL, &got, &end) || got != n)
		return -1;
	return sodium_is_zero(out, n) ? -1 : 0;
}

static int parse(struct seam_trace *t, const char *s)
{
	size_t got;

	/* version "00": 2-32-16-2 hexadecimal digits between hyphens */
	if (strlen(s) != SEAM_TRACEPARENT_LEN - 1 || memcmp(s, "00-", 3) ||
	    s[35] != '-' || s[52] != '-')
		return -1;
	if (hex_bytes(t->trace, 16, s + 3) || hex_bytes(t->parent, 8, s + 36))
		return -1;
	return sodium_hex2bin(&t->flags, 1, s + 53, 2, NULL, &got, NULL);
}

void seam_trace_start(struct seam_trace *t, const char *traceparent)
{
	memset(t, 0, sizeof(*t));
	if (!traceparent || parse(t, traceparent)) {
		memset(t, 0, sizeof(*t));
		randombytes_buf(t->trace, sizeof(t->trace));
		t->flags = 1;
	}
	randombytes_buf(t->span, sizeof(t->span));
}

void seam_trace_child(struct seam_trace *t, const struct seam_trace *parent)
{
	*t = *parent;
	memcpy(t->parent, parent->span, sizeof(t->parent));
	randombytes_buf(t->span, sizeof(t->span));
}

void seam_trace_header(const struct seam_trace *t,
		       char out[SEAM_TRACEPARENT_LEN])
{
	char trace[33];
	char span[17];

	sodium_bin2hex(trace, sizeof(trace), t->trace, 16);
	sodium_bin2hex(span, sizeof(span), t->span, 8);
	snprintf(out, SEAM_TRACEPARENT_LEN, "00-%s-%s-%02x", trace, span,
		 t->flags);
}

void seam_span_record(const struct seam_trace *t, const char *name,
		      seam_time start, seam_time end, int status)
{
	struct span *s;

	pthread_mutex_lock(&lock);
	s = &spans[next_span++ % SPANS_MAX];
	s->trace = *t;
	s->name = name;
	s->start = start;
	s->end = end;
	s->status = status;
	pthread_mutex_unlock(&lock);
}

static void write_span(FILE *f, const struct span *s, const char *sep)
{
	char trace[33];
	char span[17];
	char parent[17];

	sodium_bin2hex(trace, sizeof(trace), s->trace.trace, 16);
	sodium_bin2hex(span, sizeof(span), s->trace.span, 8);
	sodium_bin2hex(parent, sizeof(parent), s->trace.parent, 8);
	fprintf(f,
		"%s{\"trace\":\"%s\",\"span\":\"%s\",\"parent\":\"%s\","
		"\"name\":\"%s\",\"start_us\":%lld,\"end_us\":%lld,"
		"\"status\":%d}",
		sep, trace, span, parent, s->name, (long long)s->start,
		(long long)s->end, s->status);
}

void seam_span_write(FILE *f)
{
	const char *sep = "";
	unsigned i;

	fputc('[', f);
	pthread_mutex_lock(&lock);
	for (i = 0; i < SPANS_MAX; i++) {
		const struct span *s = &spans[(next_span + i) % SPANS_MAX];

		if (!s->name)
			continue;
		write_span(f, s, sep);
		sep = ",\n";
	}
	pthread_mutex_unlock(&lock);
	fputs("]\n", f);
}
