#ifndef CAPACITY_HTTP_H
#define CAPACITY_HTTP_H

/*
 * HTTP requests to the fake platform, to measure the size of a response. The
 * program defines SERVER, the address, before it includes this file.
 */

#include <stdio.h>
#include <stdlib.h>

#include "bench/capacity_rows.h"
#include "process/rest.h"

/* Returns the response body; the caller frees it with free(). */
static inline char *fetch(const char *path, size_t *len)
{
	struct seam_rest *r =
		seam_rest_new(seam_clock_real(), "http://" SERVER);
	struct seam_rest_request c = {
		.method = "GET", .path = path, .deadline = call_deadline()};
	struct seam_rest_response a;
	struct seam_err e = SEAM_ERR_INIT;

	if (seam_rest_do(r, &c, &a, &e) || a.status != 200) {
		fprintf(stderr, "capacity: %s %s\n", path, e.text);
		exit(1);
	}
	seam_rest_free(r);
	*len = a.len;
	return a.body;
}

static inline size_t body_bytes(const char *path)
{
	size_t len;

	free(fetch(path, &len));
	return len;
}

#endif
