#include "process/backlog.h"

#include <glib.h>

struct seam_backlog {
	GHashTable *pool; /* name to struct pool */
	GHashTable *waiter; /* handle of a job to struct waiter */
	GSequence *stale; /* struct waiter by the end of their keys */
};

/* Its jobs, struct waiter; @order owns them. */
struct pool {
	GSequence *order; /* by urgency */
	GSequence *needs; /* by their least need */
};

struct waiter {
	struct seam_handle job;
	struct seam_urgency_key key;
	int64_t cpu;
	GSequenceIter *place; /* in @order */
	GSequenceIter *need; /* in @needs */
	GSequenceIter *end; /* in @stale; NULL if the key stays */
};

struct seam_backlog_next {
	struct pool *pool;
	GSequenceIter *at;
};

static int by_urgency(const void *a, const void *b, void *arg)
{
	const struct waiter *x = a;
	const struct waiter *y = b;
	int order = seam_urgency_compare(&x->key, &y->key);

	(void)arg;
	if (order)
		return order;
	return (x->job.bits > y->job.bits) - (x->job.bits < y->job.bits);
}

static int by_end(const void *a, const void *b, void *arg)
{
	seam_time x = ((const struct waiter *)a)->key.holds_until;
	seam_time y = ((const struct waiter *)b)->key.holds_until;

	(void)arg;
	return (x > y) - (x < y);
}

static int by_need(const void *a, const void *b, void *arg)
{
	int64_t x = ((const struct waiter *)a)->cpu;
	int64_t y = ((const struct waiter *)b)->cpu;

	(void)arg;
	return (x > y) - (x < y);
}

static void free_pool(void *arg)
{
	struct pool *p = arg;

	g_sequence_free(p->needs);
	g_sequence_free(p->order);
	g_free(p);
}

struct seam_backlog *seam_backlog_new(void)
{
	struct seam_backlog *b = g_new0(struct seam_backlog, 1);

	b->pool = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					free_pool);
	b->waiter = g_hash_table_new(NULL, NULL);
	b->stale = g_sequence_new(NULL);
	return b;
}

void seam_backlog_free(struct seam_backlog *b)
{
	g_sequence_free(b->stale);
	g_hash_table_destroy(b->waiter);
	g_hash_table_destroy(b->pool);
	g_free(b);
}

static struct pool *pool_of(struct seam_backlog *b, const char *name)
{
	struct pool *p = g_hash_table_lookup(b->pool, name);

	if (p)
		return p;
	p = g_new0(struct pool, 1);
	p->order = g_sequence_new(g_free);
	p->needs = g_sequence_new(NULL);
	g_hash_table_insert(b->pool, g_strdup(name), p);
	return p;
}

static struct waiter *waiter_of(struct seam_backlog *b, struct seam_handle job)
{
	return g_hash_table_lookup(b->waiter, GUINT_TO_POINTER(job.bits));
}

static bool is_at(const struct waiter *w, const struct seam_urgency_key *key,
		  int64_t cpu)
{
	return !seam_urgency_compare(&w->key, key) &&
	       w->key.holds_until == key->holds_until && w->cpu == cpu;
}

void seam_backlog_put(struct seam_backlog *b, struct seam_handle job,
		      const char *pool, const struct seam_urgency_key *key,
		      int64_t cpu)
{
	struct pool *p = pool_of(b, pool);
	struct waiter *w = waiter_of(b, job);

	if (w && is_at(w, key, cpu))
		return;
	seam_backlog_remove(b, job);
	w = g_new0(struct waiter, 1);
	w->job = job;
	w->key = *key;
	w->cpu = cpu;
	w->place = g_sequence_insert_sorted(p->order, w, by_urgency, NULL);
	w->need = g_sequence_insert_sorted(p->needs, w, by_need, NULL);
	if (key->holds_until != SEAM_NEVER)
		w->end = g_sequence_insert_sorted(b->stale, w, by_end, NULL);
	g_hash_table_insert(b->waiter, GUINT_TO_POINTER(job.bits), w);
}

void seam_backlog_remove(struct seam_backlog *b, struct seam_handle job)
{
	struct waiter *w = waiter_of(b, job);

	if (!w)
		return;
	if (w->end)
		g_sequence_remove(w->end);
	g_sequence_remove(w->need);
	g_hash_table_remove(b->waiter, GUINT_TO_POINTER(job.bits));
	g_sequence_remove(w->place); /* frees it */
}

size_t seam_backlog_count(const struct seam_backlog *b)
{
	return g_hash_table_size(b->waiter);
}

bool seam_backlog_stale(struct seam_backlog *b, seam_time now,
			struct seam_handle *job)
{
	GSequenceIter *first = g_sequence_get_begin_iter(b->stale);
	const struct waiter *w;

	if (g_sequence_iter_is_end(first))
		return false;
	w = g_sequence_get(first);
	*job = w->job;
	return now > w->key.holds_until;
}

void seam_backlog_begin(struct seam_backlog *b, struct seam_backlog_cursor *c)
{
	GHashTableIter it;
	gpointer v;

	c->backlog = b;
	c->next =
		g_new(struct seam_backlog_next, g_hash_table_size(b->pool) + 1);
	c->pools = 0;
	g_hash_table_iter_init(&it, b->pool);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct pool *p = v;

		c->next[c->pools++] = (struct seam_backlog_next){
			p, g_sequence_get_begin_iter(p->order)};
	}
}

/* Keeps the pool of the latest job at the end of @next. */
static void swap_last(struct seam_backlog_cursor *c, size_t i)
{
	struct seam_backlog_next last = c->next[c->pools - 1];

	c->next[c->pools - 1] = c->next[i];
	c->next[i] = last;
}

bool seam_backlog_next(struct seam_backlog_cursor *c, struct seam_handle *job)
{
	const struct waiter *best = NULL;
	size_t at = 0;
	size_t i = 0;

	while (i < c->pools) {
		const struct waiter *w;

		if (g_sequence_iter_is_end(c->next[i].at)) {
			swap_last(c, i);
			c->pools--;
			continue;
		}
		w = g_sequence_get(c->next[i].at);
		if (!best || by_urgency(w, best, NULL) < 0) {
			best = w;
			at = i;
		}
		i++;
	}
	if (!best)
		return false;
	*job = best->job;
	c->next[at].at = g_sequence_iter_next(c->next[at].at);
	swap_last(c, at);
	return true;
}

int64_t seam_backlog_least(const struct seam_backlog_cursor *c)
{
	const struct pool *p = c->next[c->pools - 1].pool;
	const struct waiter *w =
		g_sequence_get(g_sequence_get_begin_iter(p->needs));

	return w->cpu;
}

void seam_backlog_skip_pool(struct seam_backlog_cursor *c)
{
	c->pools--;
}

void seam_backlog_end(struct seam_backlog_cursor *c)
{
	g_free(c->next);
}
