#ifndef CAPACITY_HTTP_H
#define CAPACITY_HTTP_H

/* Plain calls to the platform's fake, for the bytes of an answer. The program
 * defines SERVER, the address, before it includes this. */

#include <stdio.h>
#include <stdlib.h>

#include "bench/capacity_rows.h"
#include "process/rest.h"

/* The body of the answer, to be freed with free(). */
static inline char *fetch(const char *path, size_t *len)
{
	struct seam_rest *r =
		seam_rest_new(seam_clock_real(), "http://" SERVER);
	struct seam_rest_request c = {
		.method = "GET", .path = path, .deadline = soon()};
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
