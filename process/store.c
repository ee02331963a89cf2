#include "process/store.h"
#include "base/log.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

/* Delay between attempts of a commit; limits the load on a slow store. */
#define RETRY_DELAY (50 * SEAM_MSEC)
/* An attempt may use one part in ATTEMPT_PARTS of the remaining time, so that
 * after a lost response there is time to read the row back. */
#define ATTEMPT_PARTS 3
#define ATTEMPT_TIMEOUT_MIN (200 * SEAM_MSEC)

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

int seam_store_scan(struct seam_store *s, const char *prefix, const char *after,
		    size_t max, struct seam_rows *rows, seam_time deadline,
		    struct seam_err *e)
{
	if (s->ops->scan(s, prefix, after, max, rows, deadline, e))
		return -1;
	if (rows->n || !rows->more)
		return 0;
	seam_rows_free(rows);
	seam_log(SEAM_ERROR, "store", "event=page_empty prefix=%s after=%s",
		 prefix, after ? after : "");
	return seam_fail(e, SEAM_UNAVAILABLE,
			 "store: a page without rows is not the last of %s",
			 prefix);
}

/* Moves the rows of @page to the end of @all. */
static int move_rows(struct seam_rows *all, struct seam_rows *page,
		     struct seam_err *e)
{
	struct seam_row *grown =
		realloc(all->row, (all->n + page->n + 1) * sizeof(*grown));

	if (!grown)
		return seam_fail(e, SEAM_NO_MEMORY, NULL);
	all->row = grown;
	if (page->n)
		memcpy(all->row + all->n, page->row,
		       page->n * sizeof(*page->row));
	all->n += page->n;
	page->n = 0;
	return 0;
}

int seam_store_scan_all(struct seam_store *s, struct seam_clock *k,
			const char *prefix, size_t page, seam_time timeout,
			struct seam_rows *rows, struct seam_err *e)
{
	struct seam_rows next;
	int rc;

	memset(rows, 0, sizeof(*rows));
	do {
		const char *after = rows->n ? rows->row[rows->n - 1].key : NULL;

		rc = seam_store_scan(s, prefix, after, page, &next,
				     seam_now(k) + timeout, e);
		if (rc)
			break;
		if (!rows->version)
			rows->version = next.version;
		rc = move_rows(rows, &next, e);
		seam_rows_free(&next);
	} while (!rc && next.more);
	if (rc)
		seam_rows_free(rows);
	return rc;
}

uint64_t seam_store_token(void)
{
	uint64_t t;

	do {
		randombytes_buf(&t, sizeof(t));
	} while (!t);
	return t;
}

static const char *first_put_key(const struct seam_commit *c)
{
	size_t i;

	for (i = 0; i < c->n; i++)
		if (c->write[i].op == SEAM_PUT)
			return c->write[i].key;
	return NULL;
}

/* Reads back whether the commit applied: 1 if so, 0 if not, -1 if unknown. */
static int read_back(struct seam_store *s, struct seam_commit *c,
		     seam_time deadline)
{
	const char *key = first_put_key(c);
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_row row = {.data = NULL};
	int is_own;

	if (!key)
		return -1;
	if (seam_store_get(s, key, &row, deadline, &e))
		return e.kind == SEAM_NOT_FOUND ? 0 : -1;
	is_own = row.writer == c->token;
	if (is_own)
		c->version = row.version;
	seam_row_free(&row);
	return is_own;
}

static void sleep_until(struct seam_clock *k, seam_time t)
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

	if (t < now + ATTEMPT_TIMEOUT_MIN)
		t = now + ATTEMPT_TIMEOUT_MIN;
	return t < deadline ? t : deadline;
}

int seam_store_commit_retry(struct seam_store *s, struct seam_clock *k,
			    struct seam_commit *c, seam_time deadline,
			    struct seam_err *e)
{
	bool unknown = false;

	c->token = seam_store_token();
	for (;;) {
		seam_time end = attempt_deadline(seam_now(k), deadline);
		int rc = seam_store_commit(s, c, end, e);
		int applied;

		if (!rc)
			return 0;
		if (e->kind == SEAM_COMMIT_UNKNOWN)
			unknown = true;
		if (e->kind == SEAM_UNAVAILABLE && !unknown)
			return -1;
		if (e->kind != SEAM_COMMIT_UNKNOWN &&
		    e->kind != SEAM_UNAVAILABLE && !unknown)
			return -1;
		applied = read_back(s, c, deadline);
		if (applied > 0) {
			seam_err_clear(e);
			return 0;
		}
		if (!applied && e->kind == SEAM_CONFLICT)
			return -1;
		if (seam_now(k) + RETRY_DELAY >= deadline)
			return seam_fail(e, SEAM_COMMIT_UNKNOWN, NULL);
		sleep_until(k, seam_now(k) + RETRY_DELAY);
	}
}
