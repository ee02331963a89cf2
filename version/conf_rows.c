#include "version/conf_impl.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SCAN_ROWS_MAX 500
#define LOAD_ATTEMPTS_MAX 5

static void object_row_key(int kind, const char *name, char key[SEAM_KEY_MAX])
{
	snprintf(key, SEAM_KEY_MAX, "config/obj/%s/%s",
		 seam_conf_kind_name(kind), name);
}

void seam_conf_dc_row_key(const char *dc, char key[SEAM_KEY_MAX])
{
	object_row_key(SEAM_CONF_DC, dc, key);
}

static void log_row_key(uint64_t version, char key[SEAM_KEY_MAX])
{
	/* Fixed width, so that a scan returns the rows in order of version. */
	snprintf(key, SEAM_KEY_MAX, "config/log/%012" PRIu64, version);
}

static int read_head(struct seam_store *s, uint64_t *version, uint64_t *row,
		     seam_time deadline, struct seam_err *e)
{
	struct seam_row head = {.data = NULL};

	*version = 0;
	*row = SEAM_ABSENT;
	if (seam_store_get(s, "config/head", &head, deadline, e)) {
		if (e->kind != SEAM_NOT_FOUND)
			return -1;
		seam_err_clear(e);
		return 0;
	}
	*version = strtoull(head.data, NULL, 10);
	*row = head.version;
	seam_row_free(&head);
	return 0;
}

int seam_conf_head_version(struct seam_store *s, uint64_t *version,
			   seam_time deadline, struct seam_err *e)
{
	uint64_t row;

	return read_head(s, version, &row, deadline, e);
}

static int add_object(struct seam_conf *c, const struct seam_row *row,
		      struct seam_err *e)
{
	struct seam_problems p = {.file = row->key};
	const char *at = row->key + strlen("config/obj/");
	const char *slash = strchr(at, '/');
	char kind[32];
	struct json_object *o;
	int k = -1;

	if (slash) {
		snprintf(kind, sizeof(kind), "%.*s", (int)(slash - at), at);
		k = seam_conf_kind_by_name(kind);
	}
	if (k < 0)
		return seam_fail(e, SEAM_BAD_CONFIG, "row %s: unknown kind",
				 row->key);
	o = seam_json_parse(row->data, &p);
	if (!o) {
		seam_problems_to_err(&p, SEAM_BAD_CONFIG, e);
		seam_problems_free(&p);
		return -1;
	}
	g_hash_table_replace(c->json[k], g_strdup(slash + 1), o);
	return 0;
}

static int scan_objects(struct seam_store *s, struct seam_conf *c,
			seam_time deadline, struct seam_err *e)
{
	char after[SEAM_KEY_MAX] = "";
	struct seam_rows rows;
	bool more;
	int rc = 0;

	do {
		size_t i;

		if (seam_store_scan(s, "config/obj/", after, SCAN_ROWS_MAX,
				    &rows, deadline, e))
			return -1;
		for (i = 0; i < rows.n && !rc; i++)
			rc = add_object(c, &rows.row[i], e);
		more = rows.more;
		if (more)
			memcpy(after, rows.row[rows.n - 1].key, sizeof(after));
		seam_rows_free(&rows);
	} while (more && !rc);
	return rc;
}

static struct seam_conf *build_or_release(struct seam_conf *c,
					  struct seam_err *e)
{
	struct seam_problems p = {.file = "store"};

	if (!seam_conf_build(c, &p))
		return c;
	seam_problems_to_err(&p, SEAM_BAD_CONFIG, e);
	seam_problems_free(&p);
	seam_conf_unref(c);
	return NULL;
}

/* The scan is not a snapshot: it is valid only if the head did not change. */
struct seam_conf *seam_conf_load(struct seam_store *s, seam_time deadline,
				 struct seam_err *e)
{
	int attempt;

	for (attempt = 0; attempt < LOAD_ATTEMPTS_MAX; attempt++) {
		uint64_t before;
		uint64_t after;
		struct seam_conf *c;

		if (seam_conf_head_version(s, &before, deadline, e))
			return NULL;
		c = seam_conf_new(before);
		if (scan_objects(s, c, deadline, e) ||
		    seam_conf_head_version(s, &after, deadline, e)) {
			seam_conf_unref(c);
			return NULL;
		}
		if (before == after)
			return build_or_release(c, e);
		seam_conf_unref(c);
	}
	seam_fail(e, SEAM_CONFLICT, "configuration changed during %d loads",
		  LOAD_ATTEMPTS_MAX);
	return NULL;
}

static struct seam_conf *apply_row(const struct seam_conf *old,
				   const struct seam_row *row,
				   struct seam_err *e)
{
	struct seam_problems p = {.file = row->key};
	struct json_object *o = seam_json_parse(row->data, &p);
	struct json_object *change = NULL;
	struct seam_conf *c = NULL;

	if (o && json_object_object_get_ex(o, "change", &change))
		c = seam_conf_apply(old, change, old->version + 1, &p);
	if (!c)
		seam_problems_to_err(&p, SEAM_BAD_CONFIG, e);
	seam_problems_free(&p);
	json_object_put(o);
	return c;
}

/* Applies consecutive rows up to @head; consumes @c, returns a reference. */
static struct seam_conf *apply_rows(struct seam_conf *c,
				    const struct seam_rows *rows, uint64_t head,
				    struct seam_err *e)
{
	size_t i;

	for (i = 0; i < rows->n && c->version < head; i++) {
		struct seam_conf *next;
		char key[SEAM_KEY_MAX];

		log_row_key(c->version + 1, key);
		if (strcmp(key, rows->row[i].key)) {
			seam_conf_unref(c);
			seam_fail(e, SEAM_NOT_FOUND, "row %s is missing", key);
			return NULL;
		}
		next = apply_row(c, &rows->row[i], e);
		seam_conf_unref(c);
		if (!next)
			return NULL;
		c = next;
	}
	return c;
}

struct seam_conf *seam_conf_catch_up(struct seam_store *s,
				     const struct seam_conf *old, uint64_t head,
				     seam_time deadline, struct seam_err *e)
{
	struct seam_conf *c = seam_conf_ref((struct seam_conf *)old);

	while (c && c->version < head) {
		struct seam_rows rows;
		char after[SEAM_KEY_MAX];
		uint64_t before = c->version;

		log_row_key(before, after);
		if (seam_store_scan(s, "config/log/", after, SCAN_ROWS_MAX,
				    &rows, deadline, e)) {
			seam_conf_unref(c);
			return NULL;
		}
		c = apply_rows(c, &rows, head, e);
		seam_rows_free(&rows);
		if (c && c->version == before) {
			seam_fail(e, SEAM_NOT_FOUND,
				  "log ends at version %" PRIu64, before);
			seam_conf_unref(c);
			return NULL;
		}
	}
	return c;
}

int seam_conf_read_log(struct seam_store *s, uint64_t after, size_t max,
		       struct seam_rows *rows, seam_time deadline,
		       struct seam_err *e)
{
	char key[SEAM_KEY_MAX];

	log_row_key(after, key);
	return seam_store_scan(s, "config/log/", key, max, rows, deadline, e);
}

/* Writes of a commit: log row, head, and a row for each changed object. */
struct batch {
	struct seam_write write[SEAM_COMMIT_MAX];
	char key[SEAM_COMMIT_MAX][SEAM_KEY_MAX];
	size_t n;
	bool too_many;
};

static void add_write(struct batch *b, enum seam_op op, const char *key,
		      uint64_t version, const char *data)
{
	struct seam_write *w;

	if (b->n == SEAM_COMMIT_MAX) {
		b->too_many = true;
		return;
	}
	g_strlcpy(b->key[b->n], key, SEAM_KEY_MAX);
	w = &b->write[b->n];
	w->op = op;
	w->key = b->key[b->n];
	w->version = version;
	w->data = data;
	w->len = data ? strlen(data) : 0;
	b->n++;
}

static void add_entries(struct batch *b, struct json_object *change,
			const char *list, enum seam_op op)
{
	struct json_object *a;
	size_t i;

	if (!json_object_object_get_ex(change, list, &a))
		return;
	for (i = 0; i < json_object_array_length(a); i++) {
		struct json_object *entry = json_object_array_get_idx(a, i);
		struct json_object *o = entry;
		char key[SEAM_KEY_MAX];
		int kind = seam_conf_kind_by_name(
			seam_json_str(entry, "kind", ""));

		if (op == SEAM_PUT)
			json_object_object_get_ex(entry, "object", &o);
		object_row_key(kind, seam_json_str(o, "name", ""), key);
		add_write(b, op, key, SEAM_ANY_VERSION,
			  op == SEAM_PUT ? json_object_to_json_string_ext(
						   o, JSON_C_TO_STRING_PLAIN) :
					   NULL);
	}
}

static struct json_object *log_object(const struct seam_conf_change *ch,
				      uint64_t version, seam_time now)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(o, "version",
			       json_object_new_int64((int64_t)version));
	json_object_object_add(o, "time_us", json_object_new_int64(now));
	json_object_object_add(o, "operator",
			       json_object_new_string(ch->operator_name));
	json_object_object_add(o, "reason", json_object_new_string(ch->reason));
	json_object_object_add(o, "change", json_object_get(ch->change));
	return o;
}

static int write_change(struct seam_store *s, struct seam_clock *clock,
			const struct seam_conf_change *ch, uint64_t head_row,
			seam_time deadline, struct seam_err *e)
{
	uint64_t version = ch->expected + 1;
	struct json_object *log = log_object(ch, version, seam_now(clock));
	struct batch *b = g_new0(struct batch, 1);
	struct seam_commit c = {.write = b->write};
	char key[SEAM_KEY_MAX];
	char head[32];
	int rc;

	log_row_key(version, key);
	snprintf(head, sizeof(head), "%" PRIu64, version);
	/*
	 * The log row comes first: it is never overwritten, so reading it back
	 * shows with certainty whether this commit was applied.
	 */
	add_write(b, SEAM_PUT, key, SEAM_ABSENT,
		  json_object_to_json_string_ext(log, JSON_C_TO_STRING_PLAIN));
	add_write(b, SEAM_PUT, "config/head", head_row, head);
	add_entries(b, ch->change, "delete", SEAM_DELETE);
	add_entries(b, ch->change, "put", SEAM_PUT);
	c.n = b->n;
	if (b->too_many)
		rc = seam_fail(e, SEAM_TOO_LARGE,
			       "change: more than %d objects",
			       SEAM_COMMIT_MAX - 2);
	else
		rc = seam_store_commit_retry(s, clock, &c, deadline, e);
	g_free(b);
	json_object_put(log);
	return rc;
}

struct seam_conf *seam_conf_commit(struct seam_store *s,
				   struct seam_clock *clock,
				   const struct seam_conf_change *ch,
				   seam_time deadline, struct seam_err *e)
{
	struct seam_problems p = {.file = "change"};
	struct seam_conf *old;
	struct seam_conf *next;
	uint64_t head;
	uint64_t row;

	if (!ch->reason || !*ch->reason) {
		seam_fail(e, SEAM_BAD_CONFIG, "change: a reason is required");
		return NULL;
	}
	if (read_head(s, &head, &row, deadline, e))
		return NULL;
	if (head != ch->expected) {
		seam_fail(e, SEAM_CONFLICT,
			  "change: configuration is at version %" PRIu64
			  ", not %" PRIu64,
			  head, ch->expected);
		return NULL;
	}
	old = seam_conf_load(s, deadline, e);
	if (!old)
		return NULL;
	if (old->version != ch->expected) {
		seam_fail(e, SEAM_CONFLICT,
			  "change: another change was committed first");
		seam_conf_unref(old);
		return NULL;
	}
	next = seam_conf_apply(old, ch->change, head + 1, &p);
	seam_conf_unref(old);
	if (!next) {
		seam_problems_to_err(&p, SEAM_BAD_CONFIG, e);
		seam_problems_free(&p);
		return NULL;
	}
	if (write_change(s, clock, ch, row, deadline, e)) {
		seam_conf_unref(next);
		return NULL;
	}
	return next;
}
