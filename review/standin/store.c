/* The platform's store: rows, transactions and the feed. */
#include "standin.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ROWS_MAX 500 /* in one response */
#define BYTES_MAX (1 << 20) /* of values in one response */
#define ENTRIES_MAX 100 /* in one transaction */
#define TX_MS 3
#define PART_WRITES_S 300 /* transactions of one part, one after another */
#define PART_WAIT_MAX_US 1000000
#define READ_MS 1

struct row {
	char *table;
	char *part;
	char *key;
	char *value; /* base64 */
	int64_t ver; /* of its latest transaction */
	int64_t seq; /* of its latest write */
	bool gone;
};

/*
 * Rows of submissions that ended before the run began: @per_part rows in each
 * of 16 parts, with keys at equal distances and the same value. They are
 * computed, not kept.
 */
struct old_rows {
	uint64_t per_part;
	uint64_t step;
	char *value;
};

/* Transactions on a table that get no answer and are performed later. */
struct late {
	char table[64];
	int count;
	int64_t delay_ms;
};

static GMutex lock;
static GCond changed;
static GTree *rows; /* name to struct row */
static GTree *by_ver; /* struct row, by its version */
static int64_t version; /* of the latest transaction */
static int64_t writes;
static struct late late;
static struct old_rows old;
static GHashTable *part_free_at; /* part to the time when it is free, us */

static char *name_of(const char *table, const char *part, const char *key)
{
	return g_strconcat(table, "\001", part, "\001", key, NULL);
}

static gint compare_names(gconstpointer a, gconstpointer b, gpointer arg)
{
	(void)arg;
	return strcmp(a, b);
}

static gint compare_versions(gconstpointer a, gconstpointer b, gpointer arg)
{
	const struct row *x = a;
	const struct row *y = b;

	(void)arg;
	if (x->ver != y->ver)
		return x->ver < y->ver ? -1 : 1;
	return (x->seq > y->seq) - (x->seq < y->seq);
}

static struct row *find(const char *table, const char *part, const char *key)
{
	char *name = name_of(table, part, key);
	struct row *r = g_tree_lookup(rows, name);

	g_free(name);
	return r;
}

/* Writes a row with the current version. */
static void write_row(const char *table, const char *part, const char *key,
		      const char *value)
{
	struct row *r = find(table, part, key);

	if (r) {
		g_tree_remove(by_ver, r);
		g_free(r->value);
	} else {
		r = g_new0(struct row, 1);
		r->table = g_strdup(table);
		r->part = g_strdup(part);
		r->key = g_strdup(key);
		g_tree_insert(rows, name_of(table, part, key), r);
	}
	r->value = g_strdup(value ? value : "");
	r->gone = !value;
	r->ver = version;
	r->seq = ++writes;
	g_tree_insert(by_ver, r, r);
}

void store_put(const char *table, const char *key, const char *text)
{
	char *value = g_base64_encode((const guchar *)text, strlen(text));

	g_mutex_lock(&lock);
	version++;
	write_row(table, "", key, value);
	g_cond_broadcast(&changed);
	g_mutex_unlock(&lock);
	g_free(value);
}

void store_remove(const char *table, const char *key)
{
	g_mutex_lock(&lock);
	version++;
	if (find(table, "", key))
		write_row(table, "", key, NULL);
	g_cond_broadcast(&changed);
	g_mutex_unlock(&lock);
}

static struct json_object *row_json(const struct row *r)
{
	struct json_object *o = json_object_new_object();

	add_str(o, "table", r->table);
	add_str(o, "part", r->part);
	add_str(o, "key", r->key);
	if (r->gone)
		json_object_object_add(o, "tombstone",
				       json_object_new_boolean(true));
	else
		add_str(o, "value", r->value);
	add_int(o, "ver", r->ver);
	return o;
}

static struct json_object *answer(struct json_object *list)
{
	struct json_object *o = json_object_new_object();

	if (list)
		json_object_object_add(o, "rows", list);
	add_int(o, "ver", version);
	add_int(o, "nowMs", now_ms());
	return o;
}

static void old_key(const char *part, uint64_t i, char key[32])
{
	snprintf(key, 32, "%c%015llx", part[0],
		 (unsigned long long)(i * old.step));
}

/* The first old row of a part from a key on. */
static uint64_t first_old(const char *table, const char *part, const char *from)
{
	uint64_t at;

	if (strcmp(table, "job") || !*part || !old.per_part)
		return old.per_part;
	if (!*from)
		return 0;
	at = strtoull(from + 1, NULL, 16);
	return at / old.step + (at % old.step != 0);
}

static struct json_object *old_row_json(const char *part, const char *key)
{
	struct row r = {"job", (char *)part, (char *)key, old.value, 1, 0,
			false};

	return row_json(&r);
}

/* One response with rows of a part. */
struct page {
	const char *table;
	const char *part;
	size_t limit;
	size_t bytes;
	bool more;
	struct json_object *list;
};

/* Whether a row with this value has a place in the page. */
static bool has_place(struct page *p, const char *value)
{
	size_t size = strlen(value) / 4 * 3;

	p->more = json_object_array_length(p->list) == p->limit ||
		  p->bytes + size > BYTES_MAX;
	if (!p->more)
		p->bytes += size;
	return !p->more;
}

static void fill_page(struct page *p, const char *from)
{
	char *name = name_of(p->table, p->part, from);
	GTreeNode *n = g_tree_lower_bound(rows, name);
	uint64_t i = first_old(p->table, p->part, from);
	char key[32];

	g_free(name);
	for (;;) {
		struct row *row = n ? g_tree_node_value(n) : NULL;

		if (row && (strcmp(row->table, p->table) ||
			    strcmp(row->part, p->part)))
			row = NULL;
		if (row && row->gone) {
			n = g_tree_node_next(n);
			continue;
		}
		if (i < old.per_part)
			old_key(p->part, i, key);
		if (i < old.per_part && (!row || strcmp(key, row->key) < 0)) {
			if (!has_place(p, old.value))
				return;
			json_object_array_add(p->list,
					      old_row_json(p->part, key));
			i++;
		} else if (row) {
			if (!has_place(p, row->value))
				return;
			json_object_array_add(p->list, row_json(row));
			n = g_tree_node_next(n);
		} else {
			return;
		}
	}
}

static enum MHD_Result on_get(struct request *r)
{
	struct page p = {.table = param(r, "table"),
			 .part = param(r, "part"),
			 .limit = strtoul(param(r, "limit"), NULL, 10),
			 .list = json_object_new_array()};
	struct json_object *o;

	if (!p.limit || p.limit > ROWS_MAX)
		p.limit = ROWS_MAX;
	g_mutex_lock(&lock);
	fill_page(&p, param(r, "from"));
	o = answer(p.list);
	g_mutex_unlock(&lock);
	if (p.more && json_object_array_length(p.list) < p.limit)
		record("page table=%s part=%s rows=%zu of=%zu bytes=%zu "
		       "hasMore=true",
		       p.table, p.part, json_object_array_length(p.list),
		       p.limit, p.bytes);
	json_object_object_add(o, "hasMore", json_object_new_boolean(p.more));
	sleep_ms(READ_MS);
	return reply_json(r, 200, o);
}

static enum MHD_Result on_feed(struct request *r)
{
	const char *table = param(r, "table");
	struct row after = {
		.ver = strtoll(param(r, "after"), NULL, 10) + 1};
	int64_t end = g_get_monotonic_time() +
		      strtoll(param(r, W_WAIT), NULL, 10) * 1000;
	struct json_object *list;
	struct json_object *o;
	GTreeNode *n;

	g_mutex_lock(&lock);
	for (;;) {
		list = json_object_new_array();
		for (n = g_tree_lower_bound(by_ver, &after); n;
		     n = g_tree_node_next(n)) {
			struct row *row = g_tree_node_value(n);

			if (!strcmp(row->table, table))
				json_object_array_add(list, row_json(row));
		}
		if (json_object_array_length(list) ||
		    !g_cond_wait_until(&changed, &lock, end))
			break;
		json_object_put(list);
	}
	o = answer(list);
	g_mutex_unlock(&lock);
	return reply_json(r, 200, o);
}

static struct json_object *list_of(struct json_object *o, const char *name)
{
	struct json_object *v = NULL;

	json_object_object_get_ex(o, name, &v);
	return v;
}

static size_t length(struct json_object *list)
{
	return list ? json_object_array_length(list) : 0;
}

/* The rows that do not have the version they must have, or NULL. */
static struct json_object *conflicts(struct json_object *expected)
{
	struct json_object *all = json_object_new_array();
	bool bad = false;
	size_t i;

	for (i = 0; i < length(expected); i++) {
		struct json_object *e = json_object_array_get_idx(expected, i);
		struct row *r = find(str_of(e, "table"), str_of(e, "part"),
				     str_of(e, "key"));
		bool there = r && !r->gone;

		if ((there ? r->ver : 0) != int_of(e, "ver"))
			bad = true;
		if (there)
			json_object_array_add(all, row_json(r));
	}
	if (bad)
		return all;
	json_object_put(all);
	return NULL;
}

/* Performs a transaction under the lock; returns the answer. */
static struct json_object *perform(struct json_object *o, int *status)
{
	struct json_object *puts = list_of(o, "puts");
	struct json_object *gone = list_of(o, "remove");
	struct json_object *bad = conflicts(list_of(o, "expectedRevision"));
	size_t i;

	*status = bad ? 412 : 200;
	if (bad)
		return answer(bad);
	version++;
	for (i = 0; i < length(puts); i++) {
		struct json_object *e = json_object_array_get_idx(puts, i);

		write_row(str_of(e, "table"), str_of(e, "part"),
			  str_of(e, "key"), str_of(e, "value"));
	}
	for (i = 0; i < length(gone); i++) {
		struct json_object *e = json_object_array_get_idx(gone, i);

		if (find(str_of(e, "table"), str_of(e, "part"),
			 str_of(e, "key")))
			write_row(str_of(e, "table"), str_of(e, "part"),
				  str_of(e, "key"), NULL);
	}
	g_cond_broadcast(&changed);
	return answer(NULL);
}

static bool puts_into(struct json_object *o, const char *table)
{
	struct json_object *puts = list_of(o, "puts");
	size_t i;

	for (i = 0; i < length(puts); i++)
		if (!strcmp(str_of(json_object_array_get_idx(puts, i), "table"),
			    table))
			return true;
	return false;
}

/* What a transaction puts into a table, for the record. */
static void record_puts(struct json_object *o, const char *what)
{
	struct json_object *puts = list_of(o, "puts");
	size_t i;

	for (i = 0; i < length(puts); i++) {
		struct json_object *e = json_object_array_get_idx(puts, i);
		gsize n = 0;
		guchar *text = g_base64_decode(str_of(e, "value"), &n);

		g_strdelimit((char *)text, "\n", ' ');
		record("%s table=%s part=%s key=%s value=%.200s", what,
		       str_of(e, "table"), str_of(e, "part"), str_of(e, "key"),
		       (char *)text);
		g_free(text);
	}
}

struct held {
	struct json_object *tx;
	int64_t delay_ms;
};

static void *perform_later(void *arg)
{
	struct held *h = arg;
	int status;

	sleep_ms(h->delay_ms);
	g_mutex_lock(&lock);
	json_object_put(perform(h->tx, &status));
	g_mutex_unlock(&lock);
	record("late_write performed status=%d", status);
	record_puts(h->tx, "late_write");
	json_object_put(h->tx);
	g_free(h);
	return NULL;
}

/* Entries in one part only, unless the transaction is across parts. */
static bool is_valid(struct json_object *o)
{
	static const char *const names[] = {"expectedRevision", "puts",
					    "remove"};
	struct json_object *across = list_of(o, "across");
	const char *part = NULL;
	size_t entries = 0;
	size_t i;
	int k;

	for (k = 0; k < 3; k++) {
		struct json_object *list = list_of(o, names[k]);

		entries += length(list);
		for (i = 0; i < length(list); i++) {
			const char *p = str_of(
				json_object_array_get_idx(list, i), "part");

			if (part && strcmp(part, p) &&
			    !json_object_get_boolean(across))
				return false;
			part = p;
		}
	}
	return entries <= ENTRIES_MAX;
}

/* The part of a transaction's first entry. */
static const char *part_of(struct json_object *o)
{
	static const char *const names[] = {"expectedRevision", "puts",
					    "remove"};
	int k;

	for (k = 0; k < 3; k++)
		if (length(list_of(o, names[k])))
			return str_of(json_object_array_get_idx(
					      list_of(o, names[k]), 0),
				      "part");
	return "";
}

/*
 * Queues a transaction of a part; returns how long it waits in microseconds, or
 * -1 if too much is waiting. Called with the lock.
 */
static int64_t queue_in_part(const char *part)
{
	int64_t now = g_get_monotonic_time();
	int64_t *at = g_hash_table_lookup(part_free_at, part);

	if (!at) {
		at = g_new0(int64_t, 1);
		g_hash_table_insert(part_free_at, g_strdup(part), at);
	}
	if (*at < now)
		*at = now;
	if (*at - now > PART_WAIT_MAX_US)
		return -1;
	*at += 1000000 / PART_WRITES_S;
	return *at - now;
}

static enum MHD_Result on_tx(struct request *r)
{
	struct json_object *o = json_tokener_parse(r->body->str);
	struct json_object *a;
	int64_t wait;
	struct held *h = NULL;
	int status;

	if (!o || r->body->len > BYTES_MAX || !is_valid(o)) {
		json_object_put(o);
		return reply(r, 400, "{}");
	}
	g_mutex_lock(&lock);
	if (late.count > 0 && puts_into(o, late.table)) {
		late.count--;
		h = g_new0(struct held, 1);
		h->tx = json_object_get(o);
		h->delay_ms = late.delay_ms;
	}
	g_mutex_unlock(&lock);
	if (h) {
		/* This channel delivers nothing further. */
		record_puts(o, "lost_write");
		json_object_put(o);
		g_thread_unref(g_thread_new("late", perform_later, h));
		sleep_ms(60000);
		return MHD_NO;
	}
	g_mutex_lock(&lock);
	wait = queue_in_part(part_of(o));
	g_mutex_unlock(&lock);
	if (wait < 0) {
		json_object_put(o);
		return reply(r, 429, "{}");
	}
	g_usleep((gulong)(wait > TX_MS * 1000 ? wait : TX_MS * 1000));
	g_mutex_lock(&lock);
	a = perform(o, &status);
	g_mutex_unlock(&lock);
	if (puts_into(o, "board"))
		record_puts(o, status == 200 ? "write" : "refused_write");
	json_object_put(o);
	return reply_json(r, status, a);
}

/* Returns the decoded value of the row that is asked for, or "". */
static char *row_text(struct request *r)
{
	char *text = NULL;
	gsize n = 0;
	struct row *row;

	g_mutex_lock(&lock);
	row = find(param(r, "table"), param(r, "part"), param(r, "key"));
	if (row && !row->gone)
		text = (char *)g_base64_decode(row->value, &n);
	g_mutex_unlock(&lock);
	text = g_realloc(text, n + 1);
	text[n] = '\0';
	return text;
}

static enum MHD_Result on_raw(struct request *r)
{
	char *text = row_text(r);
	enum MHD_Result rc = reply(r, 200, text);

	g_free(text);
	return rc;
}

/* The text of a row without the token of the project's own tables. */
static enum MHD_Result on_text(struct request *r)
{
	char *text = row_text(r);
	char *json = strchr(text, '{');
	enum MHD_Result rc = reply(r, 200, json ? json : text);

	g_free(text);
	return rc;
}

static enum MHD_Result on_request(void *arg, struct request *r)
{
	(void)arg;
	if (!strcmp(r->path, W_TX))
		return on_tx(r);
	if (!strcmp(r->path, W_GET))
		return on_get(r);
	if (!strcmp(r->path, W_FEED))
		return on_feed(r);
	if (!strcmp(r->path, "/ctl/text"))
		return on_text(r);
	if (!strcmp(r->path, "/ctl/raw"))
		return on_raw(r);
	if (!strcmp(r->path, "/ctl/late")) {
		g_mutex_lock(&lock);
		g_strlcpy(late.table, param(r, "table"), sizeof(late.table));
		late.count = atoi(param(r, "count"));
		late.delay_ms = atoi(param(r, "delay"));
		g_mutex_unlock(&lock);
		return reply(r, 200, "{}");
	}
	if (!strcmp(r->path, "/ctl/crash")) {
		minions_crash(atoi(param(r, "ms")));
		return reply(r, 200, "{}");
	}
	if (!strcmp(r->path, "/ctl/old")) {
		/* The body is the text of each row. */
		g_mutex_lock(&lock);
		old.value = g_base64_encode((guchar *)r->body->str,
					    r->body->len);
		old.per_part = strtoull(param(r, "rows"), NULL, 10) / 16;
		old.step = (1ull << 60) / (old.per_part + 1);
		g_mutex_unlock(&lock);
		return reply(r, 200, "{}");
	}
	return reply(r, 404, "{}");
}

void store_init(int port)
{
	rows = g_tree_new_full(compare_names, NULL, g_free, NULL);
	part_free_at =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	by_ver = g_tree_new_full(compare_versions, NULL, NULL, NULL);
	serve(port, on_request, NULL);
}
