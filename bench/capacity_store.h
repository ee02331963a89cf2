#ifndef CAPACITY_STORE_H
#define CAPACITY_STORE_H

/* Store that counts the traffic of a node: reads, rows, bytes of keys and data.
 * The overhead of the platform's HTTP encoding is not included. */

#include <string.h>

#include "process/store.h"

struct store_traffic {
	double reads;
	double rows_read;
	double bytes_read;
	double commits;
	double rows_written;
	double bytes_written;
};

struct counting_store {
	struct seam_store store;
	struct seam_store *inner;
	struct store_traffic sum;
};

static void count_row(struct counting_store *s, const struct seam_row *r)
{
	s->sum.rows_read++;
	s->sum.bytes_read += (double)(strlen(r->key) + r->len);
}

static int counting_get(struct seam_store *base, const char *key,
			struct seam_row *row, seam_time deadline,
			struct seam_err *e)
{
	struct counting_store *s = (struct counting_store *)base;
	int rc = seam_store_get(s->inner, key, row, deadline, e);

	s->sum.reads++;
	if (!rc)
		count_row(s, row);
	return rc;
}

static int counting_scan(struct seam_store *base, const char *prefix,
			 const char *after, size_t max, struct seam_rows *rows,
			 seam_time deadline, struct seam_err *e)
{
	struct counting_store *s = (struct counting_store *)base;
	int rc = seam_store_scan(s->inner, prefix, after, max, rows, deadline,
				 e);
	size_t i;

	s->sum.reads++;
	for (i = 0; !rc && i < rows->n; i++)
		count_row(s, &rows->row[i]);
	return rc;
}

static int counting_commit(struct seam_store *base, struct seam_commit *c,
			   seam_time deadline, struct seam_err *e)
{
	struct counting_store *s = (struct counting_store *)base;
	int rc = seam_store_commit(s->inner, c, deadline, e);
	size_t i;

	s->sum.commits++;
	for (i = 0; i < c->n; i++) {
		if (c->write[i].op == SEAM_CHECK)
			continue;
		s->sum.rows_written++;
		s->sum.bytes_written +=
			(double)(strlen(c->write[i].key) + c->write[i].len);
	}
	return rc;
}

static void counting_close(struct seam_store *base)
{
	(void)base;
}

static const struct seam_store_ops counting_ops = {
	.get = counting_get,
	.scan = counting_scan,
	.commit = counting_commit,
	.close = counting_close,
};

/* Closing @s does not close @inner. */
static inline struct seam_store *counting_init(struct counting_store *s,
					       struct seam_store *inner)
{
	memset(s, 0, sizeof(*s));
	s->store.ops = &counting_ops;
	s->inner = inner;
	return &s->store;
}

#endif
