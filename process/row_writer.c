#include "process/row_writer.h"

#include <stdio.h>
#include <string.h>

/* After a conflict the row is read and written once more. */
#define WRITES_MAX 2

void seam_row_writer_set_key(struct seam_row_writer *w, const char *key)
{
	if (!strcmp(w->key, key))
		return;
	snprintf(w->key, sizeof(w->key), "%s", key);
	w->known = false;
	w->unsettled = false;
}

bool seam_row_writer_is_unsettled(const struct seam_row_writer *w)
{
	return w->unsettled;
}

static int read_version(struct seam_row_writer *w, struct seam_store *s,
			seam_time deadline, struct seam_err *e)
{
	struct seam_row row = {.data = NULL};

	if (seam_store_get(s, w->key, &row, deadline, e)) {
		if (e->kind != SEAM_NOT_FOUND)
			return -1;
		seam_err_clear(e);
		w->version = SEAM_ABSENT;
		return 0;
	}
	w->version = row.version;
	seam_row_free(&row);
	return 0;
}

static int write_row(struct seam_row_writer *w, struct seam_store *s,
		     const struct seam_write *check, const char *text,
		     seam_time deadline, struct seam_err *e)
{
	struct seam_write list[2] = {
		{SEAM_PUT, w->key, w->version, text, strlen(text)}};
	struct seam_commit c = {list, 1, seam_store_token(), 0};

	if (check)
		list[c.n++] = *check;
	if (!seam_store_commit(s, &c, deadline, e)) {
		w->version = c.version;
		w->known = true;
		w->unsettled = false;
		return 0;
	}
	/* Any other error means that the row is as it was. */
	if (e->kind == SEAM_CONFLICT || e->kind == SEAM_COMMIT_UNKNOWN) {
		w->known = false;
		w->unsettled = true;
	}
	return -1;
}

int seam_row_writer_put(struct seam_row_writer *w, struct seam_store *s,
			struct seam_clock *k, const struct seam_write *check,
			const char *text, seam_time timeout, struct seam_err *e)
{
	int i;

	for (i = 0; i < WRITES_MAX; i++) {
		seam_err_clear(e);
		if (!w->known && read_version(w, s, seam_now(k) + timeout, e))
			return -1;
		if (!write_row(w, s, check, text, seam_now(k) + timeout, e))
			return 0;
		if (e->kind != SEAM_CONFLICT)
			return -1;
	}
	return -1;
}
