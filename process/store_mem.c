#include "process/store.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* State shared by all connections to one memory store. */
struct rows {
	pthread_mutex_t lock;
	GTree *tree; /* key to struct seam_row */
	uint64_t version;
};

struct mem {
	struct seam_store store;
	struct seam_clock *clock;
	struct rows *rows;
	bool owner;
	pthread_mutex_t lock;
	struct seam_store_faults faults;
	struct seam_store_use use;
	seam_time window_end;
	int reads;
	int writes;
};

static gint compare(gconstpointer a, gconstpointer b, gpointer user)
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

/* xorshift64* (Vigna 2016): reproducible from the seed in the faults. */
static uint64_t next_random(uint64_t *x)
{
	*x ^= *x >> 12;
	*x ^= *x << 25;
	*x ^= *x >> 27;
	return *x * 0x2545f4914f6cdd1dull;
}

static bool chance(struct mem *m, int per_mille)
{
	if (per_mille <= 0)
		return false;
	if (!m->faults.seed)
		m->faults.seed = 1;
	return next_random(&m->faults.seed) % 1000 < (uint64_t)per_mille;
}

static void take_delay(struct mem *m, seam_time delay)
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
	take_delay(m, delay);
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
		m->use.reads += (uint64_t)reads;
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
	pthread_mutex_lock(&m->rows->lock);
	r = g_tree_lookup(m->rows->tree, key);
	if (r)
		rc = copy_row(row, r, e);
	else
		rc = seam_fail(e, SEAM_NOT_FOUND, "no row %s", key);
	pthread_mutex_unlock(&m->rows->lock);
	return rc;
}

static int add_row(struct seam_rows *rows, const struct seam_row *r,
		   struct seam_err *e)
{
	struct seam_row *more =
		realloc(rows->row, (rows->n + 1) * sizeof(*more));

	if (!more)
		return seam_fail(e, SEAM_NO_MEMORY, NULL);
	rows->row = more;
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
	pthread_mutex_lock(&m->rows->lock);
	node = after && *after ? g_tree_upper_bound(m->rows->tree, after) :
				 g_tree_lower_bound(m->rows->tree, prefix);
	for (; node && rows->n < max && !rc; node = g_tree_node_next(node)) {
		struct seam_row *r = g_tree_node_value(node);

		if (strncmp(r->key, prefix, strlen(prefix)))
			break;
		rc = add_row(rows, r, e);
	}
	pthread_mutex_unlock(&m->rows->lock);
	if (rc)
		seam_rows_free(rows);
	return rc;
}

static int check(struct mem *m, const struct seam_write *w, struct seam_err *e)
{
	struct seam_row *r = g_tree_lookup(m->rows->tree, w->key);
	uint64_t have = r ? r->version : SEAM_ABSENT;

	if (strlen(w->key) >= SEAM_KEY_MAX)
		return seam_fail(e, SEAM_BAD_REQUEST, "key %s: too long",
				 w->key);
	if (w->op == SEAM_PUT && w->len > SEAM_ROW_BYTES_MAX)
		return seam_fail(e, SEAM_TOO_LARGE, "row %s: over %u bytes",
				 w->key, SEAM_ROW_BYTES_MAX);
	if (w->version == SEAM_ANY_VERSION || w->version == have)
		return 0;
	return seam_fail(e, SEAM_CONFLICT, "row %s: version %llu, not %llu",
			 w->key, (unsigned long long)have,
			 (unsigned long long)w->version);
}

static int apply(struct mem *m, const struct seam_write *w, uint64_t token,
		 struct seam_err *e)
{
	struct seam_row *r;

	if (w->op == SEAM_CHECK)
		return 0;
	if (w->op == SEAM_DELETE) {
		g_tree_remove(m->rows->tree, w->key);
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
	r->version = m->rows->version;
	r->writer = token;
	g_tree_replace(m->rows->tree, r->key, r);
	return 0;
}

static int apply_all(struct mem *m, struct seam_commit *c, struct seam_err *e)
{
	size_t i;

	for (i = 0; i < c->n; i++)
		if (check(m, &c->write[i], e))
			return -1;
	m->rows->version++;
	c->version = m->rows->version;
	for (i = 0; i < c->n; i++)
		if (apply(m, &c->write[i], c->token, e))
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
	drop = chance(m, m->faults.drop_commits);
	lose = !drop && chance(m, m->faults.lose_answers);
	pthread_mutex_unlock(&m->lock);
	if (drop)
		return seam_fail(e, SEAM_COMMIT_UNKNOWN, NULL);
	pthread_mutex_lock(&m->rows->lock);
	rc = apply_all(m, c, e);
	pthread_mutex_unlock(&m->rows->lock);
	if (rc)
		return rc;
	pthread_mutex_lock(&m->lock);
	m->use.commits++;
	m->use.rows_written += (uint64_t)writes;
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

	if (m->owner) {
		g_tree_destroy(m->rows->tree);
		pthread_mutex_destroy(&m->rows->lock);
		free(m->rows);
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

static struct mem *new_mem(struct seam_clock *k, struct rows *rows)
{
	struct mem *m = calloc(1, sizeof(*m));

	if (!m)
		return NULL;
	m->store.ops = &mem_ops;
	m->clock = k;
	m->rows = rows;
	pthread_mutex_init(&m->lock, NULL);
	return m;
}

struct seam_store *seam_store_mem_new(struct seam_clock *k)
{
	struct rows *rows = calloc(1, sizeof(*rows));
	struct mem *m = rows ? new_mem(k, rows) : NULL;

	if (!m) {
		free(rows);
		return NULL;
	}
	pthread_mutex_init(&rows->lock, NULL);
	rows->tree = g_tree_new_full(compare, NULL, NULL, free_row);
	m->owner = true;
	return &m->store;
}

struct seam_store *seam_store_view_new(struct seam_store *mem)
{
	struct mem *m = (struct mem *)mem;
	struct mem *v = new_mem(m->clock, m->rows);

	return v ? &v->store : NULL;
}

void seam_store_mem_faults(struct seam_store *s,
			   const struct seam_store_faults *f)
{
	struct mem *m = (struct mem *)s;

	pthread_mutex_lock(&m->lock);
	m->faults = *f;
	pthread_mutex_unlock(&m->lock);
}

struct seam_store_use seam_store_mem_use(struct seam_store *s)
{
	struct mem *m = (struct mem *)s;
	struct seam_store_use use;

	pthread_mutex_lock(&m->lock);
	use = m->use;
	pthread_mutex_unlock(&m->lock);
	return use;
}
