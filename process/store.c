#include "process/store.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

/* Pause between attempts of one commit; keeps a slow store from more load. */
#define RETRY_PAUSE (50 * SEAM_MSEC)
/* An attempt gets a part of the time left, so that a lost answer leaves time
 * to read the row back. */
#define ATTEMPT_PARTS 3
#define ATTEMPT_MIN (200 * SEAM_MSEC)

void seam_row_free(struct seam_row *row)
{
	free(row->data);
	row->data = NULL;
	row->len = 0;
}

void seam_rows_free(struct seam_rows *rows)
{
	size_t i;

	for (i = 0; i < rows->n; i++)
		seam_row_free(&rows->row[i]);
	free(rows->row);
	rows->row = NULL;
	rows->n = 0;
}

uint64_t seam_store_token(void)
{
	uint64_t t;

	do {
		randombytes_buf(&t, sizeof(t));
	} while (!t);
	return t;
}

static const char *first_put(const struct seam_commit *c)
{
	size_t i;

	for (i = 0; i < c->n; i++)
		if (c->write[i].op == SEAM_PUT)
			return c->write[i].key;
	return NULL;
}

/* Returns 1 if the commit applied, 0 if not, -1 if the store did not say. */
static int applied(struct seam_store *s, struct seam_commit *c,
		   seam_time deadline)
{
	const char *key = first_put(c);
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_row row = {.data = NULL};
	int ours;

	if (!key)
		return -1;
	if (seam_store_get(s, key, &row, deadline, &e))
		return e.kind == SEAM_NOT_FOUND ? 0 : -1;
	ours = row.writer == c->token;
	if (ours)
		c->version = row.version;
	seam_row_free(&row);
	return ours;
}

static void pause_until(struct seam_clock *k, seam_time t)
{
	pthread_mutex_t m = PTHREAD_MUTEX_INITIALIZER;
	pthread_cond_t c;

	seam_cond_init(&c);
	pthread_mutex_lock(&m);
	while (seam_now(k) < t && seam_wait(k, &c, &m, t))
		continue;
	pthread_mutex_unlock(&m);
	pthread_cond_destroy(&c);
}

static seam_time attempt_deadline(seam_time now, seam_time deadline)
{
	seam_time t = now + (deadline - now) / ATTEMPT_PARTS;

	if (t < now + ATTEMPT_MIN)
		t = now + ATTEMPT_MIN;
	return t < deadline ? t : deadline;
}

int seam_store_commit_sure(struct seam_store *s, struct seam_clock *k,
			   struct seam_commit *c, seam_time deadline,
			   struct seam_err *e)
{
	bool unknown = false;

	c->token = seam_store_token();
	for (;;) {
		seam_time end = attempt_deadline(seam_now(k), deadline);
		int rc = seam_store_commit(s, c, end, e);
		int state;

		if (!rc)
			return 0;
		if (e->kind == SEAM_COMMIT_UNKNOWN)
			unknown = true;
		if (e->kind == SEAM_UNAVAILABLE && !unknown)
			return -1;
		if (e->kind != SEAM_COMMIT_UNKNOWN &&
		    e->kind != SEAM_UNAVAILABLE && !unknown)
			return -1;
		state = applied(s, c, deadline);
		if (state > 0) {
			seam_err_clear(e);
			return 0;
		}
		if (!state && e->kind == SEAM_CONFLICT)
			return -1;
		if (seam_now(k) + RETRY_PAUSE >= deadline)
			return seam_fail(e, SEAM_COMMIT_UNKNOWN, NULL);
		pause_until(k, seam_now(k) + RETRY_PAUSE);
	}
}
