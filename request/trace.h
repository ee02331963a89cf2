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
 * @span: id of this hop's span
 * @parent: id of the span above; zeros at the root
 * @flags: sampled and others
 *
 * Source: W3C Recommendation "Trace Context", level 1, section 3.2.
 */
struct seam_trace {
	unsigned char trace[16];
	unsigned char span[8];
	unsigned char parent[8];
	unsigned char flags;
};

/** seam_trace_start() - context from a traceparent header, or a new one */
void seam_trace_start(struct seam_trace *t, const char *traceparent);

/** seam_trace_child() - context of the next hop */
void seam_trace_child(struct seam_trace *t, const struct seam_trace *parent);

/** seam_trace_header() - text of a traceparent header for the next hop */
void seam_trace_header(const struct seam_trace *t,
		       char out[SEAM_TRACEPARENT_LEN]);

/**
 * seam_span_end() - record a span that ends now
 * @t: context whose span it is
 * @name: name of the hop, a string constant
 * @start: when it began
 * @end: when it ended
 * @status: HTTP status or 0
 *
 * The last 1,024 spans of the process are kept.
 */
void seam_span_end(const struct seam_trace *t, const char *name,
		   seam_time start, seam_time end, int status);

/** seam_span_write() - write the kept spans as a JSON array */
void seam_span_write(FILE *f);

#ifdef __cplusplus
}
#endif
#endif
