#ifndef SEAM_TRACE_H
#define SEAM_TRACE_H

#include <stdio.h>

#include "base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SEAM_TRACEPARENT_LEN 56

/**
 * struct seam_trace - W3C trace context of one hop
 * @trace: trace id
 * @span: span id of this hop
 * @parent: id of the parent span; zeros at the root
 * @flags: trace flags, such as sampled
 *
 * Source: W3C Recommendation "Trace Context", level 1, section 3.2.
 */
struct seam_trace {
	unsigned char trace[16];
	unsigned char span[8];
	unsigned char parent[8];
	unsigned char flags;
};

/** seam_trace_start() - context from a traceparent header, or a new root */
void seam_trace_start(struct seam_trace *t, const char *traceparent);

/** seam_trace_child() - context of a child span of @parent */
void seam_trace_child(struct seam_trace *t, const struct seam_trace *parent);

/** seam_trace_header() - traceparent header for the next hop */
void seam_trace_header(const struct seam_trace *t,
		       char out[SEAM_TRACEPARENT_LEN]);

/**
 * seam_span_record() - record a span
 * @t: context of the span
 * @name: name of the hop, a string constant
 * @start: start time
 * @end: end time
 * @status: HTTP status or 0
 *
 * The process keeps its last 1,024 spans.
 */
void seam_span_record(const struct seam_trace *t, const char *name,
		      seam_time start, seam_time end, int status);

/** seam_span_write() - write the stored spans as a JSON array */
void seam_span_write(FILE *f);

#ifdef __cplusplus
}
#endif
#endif
