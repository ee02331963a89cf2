#include "process/store.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* State shared by all connections to a memory store. */
struct table {
	pthread_mutex_t lock;
	GTree *rows; /* key to struct seam_row */
	uint64_t version;
};

/*
 * One connection.
 *
 * @window_end: end of the second for which @reads and @writes are counted
 * @reads: read calls in this second
 * @writes: rows written in this second
 */
struct mem {
	struct seam_store store;
	struct seam_clock *clock;
	struct table *table;
	bool owns_table;
	pthread_mutex_t lock;
	struct seam_store_faults faults;
	struct seam_store_stats counts;
	seam_time window_end;
	int reads;
	int writes;
};

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer user)
{
	(void)user;
	return strcmp(a, b);
}

static void free_row(gpointer p)
{
	struct seam_row *row = p;

	seam_row_free(row);
	free(row);
}

/* xorshift64* (Vigna 2016), reproducible from the seed of the faults. */
static uint64_t next_random(uint64_t *x)
{
	*x ^= *x >> 12;
	*x ^= *x << 25;
	*x ^= *x >> 27;
	return *x * 0x2545f4914f6cdd1dull;
}

/* Returns true with a probability of @per_mille / 1,000. */
static bool random_event(struct mem *m, int per_mille)
{
	if (per_mille <= 0)
		return false;
	if (!m->faults.seed)
		m->faults.seed = 1;
	return next_random(&m->faults.seed) % 1000 < (uint64_t)per_mille;
}

static void inject_delay(struct mem *m, seam_time delay)
{
	pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
	pthread_cond_t c;
	seam_time until;

	if (!delay)
		return;
	until = seam_now(m->clock) + delay;
	seam_cond_init(&c);
	pthread_mutex_lock(&lock);
	while (seam_now(m->clock) < until)
		seam_wait(m->clock, &c, &lock, until);
	pthread_mutex_unlock(&lock);
	pthread_cond_destroy(&c);
}

/* Applies the delay, the outage and the limits of the faults to a call. */
static int admit(struct mem *m, int reads, int writes, seam_time deadline,
		 struct seam_err *e)
{
	seam_time now = seam_now(m->clock);
	seam_time delay;
	bool over;

	pthread_mutex_lock(&m->lock);
	delay = m->faults.delay;
	pthread_mutex_unlock(&m->lock);
	if (delay && now + delay > deadline)
		return seam_fail(e, SEAM_UNAVAILABLE, "store: timed out");
	inject_delay(m, delay);
	now = seam_now(m->clock);
	pthread_mutex_lock(&m->lock);
	if (now >= m->window_end) {
		m->window_end = now + SEAM_SEC;
		m->reads = 0;
		m->writes = 0;
	}
	over = (m->faults.reads_per_sec &&
		m->reads + reads > m->faults.reads_per_sec) ||
	       (m->faults.writes_per_sec &&
		m->writes + writes > m->faults.writes_per_sec);
	if (!over && !m->faults.down) {
		m->reads += reads;
		m->writes += writes;
		m->counts.reads += (uint64_t)reads;
	}
	over = over || m->faults.down;
	pthread_mutex_unlock(&m->lock);
	if (over)
		return seam_fail(e, SEAM_UNAVAILABLE, "store: unavailable");
	return 0;
}

static int copy_row(struct seam_row *to, const struct seam_row *from,
		    struct seam_err *e)
{
	*to = *from;
	to->data = malloc(from->len + 1);
	if (!to->data)
		return seam_fail(e, SEAM_NO_MEMORY, NULL);
	memcpy(to->data, from->data, from->len);
	to->data[from->len] = '\0';
	return 0;
}

static int mem_get(struct seam_store *s, const char *key, struct seam_row *row,
		   seam_time deadline, struct seam_err *e)
{
	struct mem *m = (struct mem *)s;
	struct seam_row *r;
	int rc;

	if (admit(m, 1, 0, deadline, e))
		return -1;
	pthread_mutex_lock(&m->table->lock);
	r = g_tree_lookup(m->table->rows, key);
	if (r)
		rc = copy_row(row, r, e);
	else
		rc = seam_fail(e, SEAM_NOT_FOUND, "no row %s", key);
	pthread_mutex_unlock(&m->table->lock);
	return rc;
}

static int append_row(struct seam_rows *rows, const struct seam_row *r,
		      struct seam_err *e)
{
	struct seam_row *grown =
		realloc(rows->row, (rows->n + 1) * sizeof(*grown));

	if (!grown)
		return seam_fail(e, SEAM_NO_MEMORY, NULL);
	rows->row = grown;
	if (copy_row(&rows->row[rows->n], r, e))
		return -1;
	rows->n++;
	return 0;
}

static int mem_scan(struct seam_store *s, const char *prefix, const char *after,
		    size_t max, struct seam_rows *rows, seam_time deadline,
		    struct seam_err *e)
{
	struct mem *m = (struct mem *)s;
	GTreeNode *node;
	int rc = 0;

	memset(rows, 0, sizeof(*rows));
	if (admit(m, 1, 0, deadline, e))
		return -1;
	pthread_mutex_lock(&m->table->lock);
	node = after && *after ? g_tree_upper_bound(m->table->rows, after) :
				 g_tree_lower_bound(m->table->rows, prefix);
	for (; node && !rc; node = g_tree_node_next(node)) {
		struct seam_row *r = g_tree_node_value(node);

		if (strncmp(r->key, prefix, strlen(prefix)))
			break;
		rows->more = rows->n == max;
		if (rows->more)
			break;
		rc = append_row(rows, r, e);
	}
	pthread_mutex_unlock(&m->table->lock);
	if (rc)
		seam_rows_free(rows);
	return rc;
}

static int check_write(struct mem *m, const struct seam_write *w,
		       struct seam_err *e)
{
	struct seam_row *r = g_tree_lookup(m->table->rows, w->key);
	uint64_t current = r ? r->version : SEAM_ABSENT;

	if (strlen(w->key) >= SEAM_KEY_MAX)
		return seam_fail(e, SEAM_BAD_REQUEST, "key %s: too long",
				 w->key);
	if (w->op == SEAM_PUT && w->len > SEAM_ROW_BYTES_MAX)
		return seam_fail(e, SEAM_TOO_LARGE, "row %s: over %u bytes",
				 w->key, SEAM_ROW_BYTES_MAX);
	if (w->version == SEAM_ANY_VERSION || w->version == current)
		return 0;
	return seam_fail(e, SEAM_CONFLICT,
			 "row %s: has version %llu, expected %llu", w->key,
			 (unsigned long long)current,
			 (unsigned long long)w->version);
}

static int apply_write(struct mem *m, const struct seam_write *w,
		       uint64_t token, struct seam_err *e)
{
	struct seam_row *r;

	if (w->op == SEAM_CHECK)
		return 0;
	if (w->op == SEAM_DELETE) {
		g_tree_remove(m->table->rows, w->key);
		return 0;
	}
	r = calloc(1, sizeof(*r));
	if (r)
		r->data = malloc(w->len + 1);
	if (!r || !r->data) {
		free(r);
		return seam_fail(e, SEAM_NO_MEMORY, NULL);
	}
	g_strlcpy(r->key, w->key, sizeof(r->key));
	if (w->len)
		memcpy(r->data, w->data, w->len);
	r->data[w->len] = '\0';
	r->len = w->len;
	r->version = m->table->version;
	r->writer = token;
	g_tree_replace(m->table->rows, r->key, r);
	return 0;
}

static int apply_commit(struct mem *m, struct seam_commit *c,
			struct seam_err *e)
{
	size_t i;

	for (i = 0; i < c->n; i++)
		if (check_write(m, &c->write[i], e))
			return -1;
	m->table->version++;
	c->version = m->table->version;
	for (i = 0; i < c->n; i++)
		if (apply_write(m, &c->write[i], c->token, e))
			return -1;
	return 0;
}

static int count_writes(const struct seam_commit *c)
{
	int n = 0;
	size_t i;

	for (i = 0; i < c->n; i++)
		n += c->write[i].op != SEAM_CHECK;
	return n;
}

static int mem_commit(struct seam_store *s, struct seam_commit *c,
		      seam_time deadline, struct seam_err *e)
{
	struct mem *m = (struct mem *)s;
	int writes = count_writes(c);
	bool drop;
	bool lose;
	int rc;

	if (c->n > SEAM_COMMIT_MAX)
		return seam_fail(e, SEAM_TOO_LARGE, "commit: over %d rows",
				 SEAM_COMMIT_MAX);
	if (admit(m, 0, writes, deadline, e))
		return -1;
	pthread_mutex_lock(&m->lock);
	drop = random_event(m, m->faults.drop_commits);
	lose = !drop && random_event(m, m->faults.lose_answers);
	pthread_mutex_unlock(&m->lock);
	if (drop)
		return seam_fail(e, SEAM_COMMIT_UNKNOWN, NULL);
	pthread_mutex_lock(&m->table->lock);
	rc = apply_commit(m, c, e);
	pthread_mutex_unlock(&m->table->lock);
	if (rc)
		return rc;
	pthread_mutex_lock(&m->lock);
	m->counts.commits++;
	m->counts.rows_written += (uint64_t)writes;
	pthread_mutex_unlock(&m->lock);
	if (lose) {
		c->version = 0;
		return seam_fail(e, SEAM_COMMIT_UNKNOWN, NULL);
	}
	return 0;
}

static void mem_close(struct seam_store *s)
{
	struct mem *m = (struct mem *)s;

	if (m->owns_table) {
		g_tree_destroy(m->table->rows);
		pthread_mutex_destroy(&m->table->lock);
		free(m->table);
	}
	pthread_mutex_destroy(&m->lock);
	free(m);
}

static const struct seam_store_ops mem_ops = {
	.get = mem_get,
	.scan = mem_scan,
	.commit = mem_commit,
	.close = mem_close,
};

static struct mem *new_mem(struct seam_clock *k, struct table *table)
{
	struct mem *m = calloc(1, sizeof(*m));

	if (!m)
		return NULL;
	m->store.ops = &mem_ops;
	m->clock = k;
	m->table = table;
	pthread_mutex_init(&m->lock, NULL);
	return m;
}

struct seam_store *seam_store_mem_new(struct seam_clock *k)
{
	struct table *table = calloc(1, sizeof(*table));
	struct mem *m = table ? new_mem(k, table) : NULL;

	if (!m) {
		free(table);
		return NULL;
	}
	pthread_mutex_init(&table->lock, NULL);
	table->rows = g_tree_new_full(compare_keys, NULL, NULL, free_row);
	m->owns_table = true;
	return &m->store;
}

struct seam_store *seam_store_mem_connect(struct seam_store *mem)
{
	struct mem *m = (struct mem *)mem;
	struct mem *v = new_mem(m->clock, m->table);

	return v ? &v->store : NULL;
}

void seam_store_mem_set_faults(struct seam_store *s,
			       const struct seam_store_faults *f)
{
	struct mem *m = (struct mem *)s;

	pthread_mutex_lock(&m->lock);
	m->faults = *f;
	pthread_mutex_unlock(&m->lock);
}

struct seam_store_stats seam_store_mem_stats(struct seam_store *s)
{
	struct mem *m = (struct mem *)s;
	struct seam_store_stats counts;

	pthread_mutex_lock(&m->lock);
	counts = m->counts;
	pthread_mutex_unlock(&m->lock);
	return counts;
}
