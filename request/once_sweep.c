#include "request/once_impl.h"
#include "base/metrics.h"
#include "base/log.h"

#include <string.h>

#define SWEEP_ROWS 128 /* rows read, and deleted at most, in one call */
#define SWEEP_PERIOD (1 * SEAM_SEC)
#define SWEEP_IDLE_PERIOD (60 * SEAM_SEC) /* after all rows have been read */
#define PENDING_PERIOD (1 * SEAM_SEC)
#define FLUSH_PERIOD (100 * SEAM_MSEC)

SEAM_METRIC(deleted, "seam_once_rows_deleted_total",
	    "Rows deleted after their expiry.");

static int find_expired(const struct seam_rows *rows, struct seam_write *op,
			seam_time now)
{
	struct seam_err e = SEAM_ERR_INIT;
	int n = 0;
	size_t i;

	for (i = 0; i < rows->n; i++) {
		const struct seam_row *r = &rows->row[i];
		struct seam_once_row row;

		if (seam_once_row_read(r->data, &row, &e))
			continue;
		if (row.expires < now) {
			op[n].op = SEAM_DELETE;
			op[n].key = r->key;
			op[n].version = r->version;
			n++;
		}
		seam_answer_free(&row.answer);
	}
	return n;
}

/* Reads the next rows and deletes expired ones; false after the last row. */
static bool sweep_rows(struct seam_once *o, seam_time now)
{
	struct seam_write op[SWEEP_ROWS];
	struct seam_commit c = {.write = op, .token = seam_store_token()};
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_rows rows;
	bool more;

	memset(op, 0, sizeof(op));
	if (seam_store_scan(o->store, "once/", o->sweep_cursor, SWEEP_ROWS,
			    &rows, now + STORE_TIMEOUT, &e))
		return true;
	c.n = (size_t)find_expired(&rows, op, now);
	/* No retry after a conflict or an unknown outcome: rows that remain are
	 * found again by the next sweep. */
	if (c.n && !seam_store_commit(o->store, &c, now + STORE_TIMEOUT, &e))
		seam_metric_add(&deleted, (int64_t)c.n);
	more = rows.more;
	if (more)
		memcpy(o->sweep_cursor, rows.row[rows.n - 1].key,
		       sizeof(o->sweep_cursor));
	else
		o->sweep_cursor[0] = '\0';
	seam_rows_free(&rows);
	return more;
}

seam_time seam_once_maintain(struct seam_once *o, seam_time now, bool sweep)
{
	bool more = seam_once_write_pending(o);

	if (sweep && now >= o->sweep_at)
		o->sweep_at = now + (sweep_rows(o, now) ? SWEEP_PERIOD :
							  SWEEP_IDLE_PERIOD);
	return more ? now : now + PENDING_PERIOD;
}

bool seam_once_flush(struct seam_once *o, seam_time deadline)
{
	pthread_cond_t unsignalled;
	bool empty;

	seam_cond_init(&unsignalled);
	for (;;) {
		seam_time next;

		seam_once_write_pending(o);
		pthread_mutex_lock(&o->lock);
		empty = g_queue_is_empty(&o->pending);
		next = seam_now(o->clock) + FLUSH_PERIOD;
		if (!empty && next < deadline)
			seam_wait(o->clock, &unsignalled, &o->lock, next);
		pthread_mutex_unlock(&o->lock);
		if (empty || next >= deadline)
			break;
	}
	pthread_cond_destroy(&unsignalled);
	return empty;
}
