#include "process/backlog.h"

#include <glib.h>

struct seam_backlog {
	GHashTable *pools; /* name to struct pool */
	GHashTable *jobs; /* handle of a job to struct waiting_job */
	GSequence *by_expiry; /* struct waiting_job by key.valid_until */
};

/* The jobs of one pool, struct waiting_job, owned by @by_urgency. */
struct pool {
	GSequence *by_urgency;
	GSequence *by_cpu; /* by least CPU demand of a task */
};

struct waiting_job {
	struct seam_handle job;
	struct seam_urgency_key key;
	int64_t cpu;
	GSequenceIter *urgency_iter; /* in @by_urgency */
	GSequenceIter *cpu_iter; /* in @by_cpu */
	GSequenceIter *expiry_iter; /* in @by_expiry; NULL if not there */
};

struct seam_backlog_position {
	struct pool *pool;
	GSequenceIter *at;
};

static int compare_urgency(const void *a, const void *b, void *arg)
{
	const struct waiting_job *x = a;
	const struct waiting_job *y = b;
	int order = seam_urgency_compare(&x->key, &y->key);

	(void)arg;
	if (order)
		return order;
	return (x->job.bits > y->job.bits) - (x->job.bits < y->job.bits);
}

static int compare_expiry(const void *a, const void *b, void *arg)
{
	seam_time x = ((const struct waiting_job *)a)->key.valid_until;
	seam_time y = ((const struct waiting_job *)b)->key.valid_until;

	(void)arg;
	return (x > y) - (x < y);
}

static int compare_cpu(const void *a, const void *b, void *arg)
{
	int64_t x = ((const struct waiting_job *)a)->cpu;
	int64_t y = ((const struct waiting_job *)b)->cpu;

	(void)arg;
	return (x > y) - (x < y);
}

static void free_pool(void *arg)
{
	struct pool *p = arg;

	g_sequence_free(p->by_cpu);
	g_sequence_free(p->by_urgency);
	g_free(p);
}

struct seam_backlog *seam_backlog_new(void)
{
	struct seam_backlog *b = g_new0(struct seam_backlog, 1);

	b->pools = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 free_pool);
	b->jobs = g_hash_table_new(NULL, NULL);
	b->by_expiry = g_sequence_new(NULL);
	return b;
}

void seam_backlog_free(struct seam_backlog *b)
{
	g_sequence_free(b->by_expiry);
	g_hash_table_destroy(b->jobs);
	g_hash_table_destroy(b->pools);
	g_free(b);
}

static struct pool *find_or_add_pool(struct seam_backlog *b, const char *name)
{
	struct pool *p = g_hash_table_lookup(b->pools, name);

	if (p)
		return p;
	p = g_new0(struct pool, 1);
	p->by_urgency = g_sequence_new(g_free);
	p->by_cpu = g_sequence_new(NULL);
	g_hash_table_insert(b->pools, g_strdup(name), p);
	return p;
}

static struct waiting_job *find_job(struct seam_backlog *b,
				    struct seam_handle job)
{
	return g_hash_table_lookup(b->jobs, GUINT_TO_POINTER(job.bits));
}

static bool is_unchanged(const struct waiting_job *w,
			 const struct seam_urgency_key *key, int64_t cpu)
{
	return !seam_urgency_compare(&w->key, key) &&
	       w->key.valid_until == key->valid_until && w->cpu == cpu;
}

void seam_backlog_put(struct seam_backlog *b, struct seam_handle job,
		      const char *pool, const struct seam_urgency_key *key,
		      int64_t cpu)
{
	struct pool *p = find_or_add_pool(b, pool);
	struct waiting_job *w = find_job(b, job);

	if (w && is_unchanged(w, key, cpu))
		return;
	seam_backlog_remove(b, job);
	w = g_new0(struct waiting_job, 1);
	w->job = job;
	w->key = *key;
	w->cpu = cpu;
	w->urgency_iter = g_sequence_insert_sorted(p->by_urgency, w,
						   compare_urgency, NULL);
	w->cpu_iter = g_sequence_insert_sorted(p->by_cpu, w, compare_cpu, NULL);
	if (key->valid_until != SEAM_NEVER)
		w->expiry_iter = g_sequence_insert_sorted(b->by_expiry, w,
							  compare_expiry, NULL);
	g_hash_table_insert(b->jobs, GUINT_TO_POINTER(job.bits), w);
}

void seam_backlog_remove(struct seam_backlog *b, struct seam_handle job)
{
	struct waiting_job *w = find_job(b, job);

	if (!w)
		return;
	if (w->expiry_iter)
		g_sequence_remove(w->expiry_iter);
	g_sequence_remove(w->cpu_iter);
	g_hash_table_remove(b->jobs, GUINT_TO_POINTER(job.bits));
	g_sequence_remove(w->urgency_iter); /* frees @w */
}

size_t seam_backlog_count(const struct seam_backlog *b)
{
	return g_hash_table_size(b->jobs);
}

bool seam_backlog_expired(struct seam_backlog *b, seam_time now,
			  struct seam_handle *job)
{
	GSequenceIter *first = g_sequence_get_begin_iter(b->by_expiry);
	const struct waiting_job *w;

	if (g_sequence_iter_is_end(first))
		return false;
	w = g_sequence_get(first);
	*job = w->job;
	return now > w->key.valid_until;
}

void seam_backlog_each_from(struct seam_backlog *b, const char *pool,
			    const struct seam_urgency_key *key,
			    bool (*fn)(struct seam_handle job, void *arg),
			    void *arg)
{
	const struct pool *p = g_hash_table_lookup(b->pools, pool);
	struct waiting_job least = {.key = *key};
	GSequenceIter *at;

	if (!p)
		return;
	at = g_sequence_search(p->by_urgency, &least, compare_urgency, NULL);
	for (; !g_sequence_iter_is_end(at); at = g_sequence_iter_next(at))
		if (fn(((struct waiting_job *)g_sequence_get(at))->job, arg))
			return;
}

void seam_backlog_begin(struct seam_backlog *b, struct seam_backlog_cursor *c)
{
	GHashTableIter it;
	gpointer v;

	c->backlog = b;
	c->next = g_new(struct seam_backlog_position,
			g_hash_table_size(b->pools) + 1);
	c->pools = 0;
	g_hash_table_iter_init(&it, b->pools);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct pool *p = v;

		c->next[c->pools++] = (struct seam_backlog_position){
			p, g_sequence_get_begin_iter(p->by_urgency)};
	}
}

/* The pool of the job returned last is kept at the end of @next. */
static void swap_with_last(struct seam_backlog_cursor *c, size_t i)
{
	struct seam_backlog_position last = c->next[c->pools - 1];

	c->next[c->pools - 1] = c->next[i];
	c->next[i] = last;
}

bool seam_backlog_next(struct seam_backlog_cursor *c, struct seam_handle *job)
{
	const struct waiting_job *best = NULL;
	size_t at = 0;
	size_t i = 0;

	while (i < c->pools) {
		const struct waiting_job *w;

		if (g_sequence_iter_is_end(c->next[i].at)) {
			swap_with_last(c, i);
			c->pools--;
			continue;
		}
		w = g_sequence_get(c->next[i].at);
		if (!best || compare_urgency(w, best, NULL) < 0) {
			best = w;
			at = i;
		}
		i++;
	}
	if (!best)
		return false;
	*job = best->job;
	c->next[at].at = g_sequence_iter_next(c->next[at].at);
	swap_with_last(c, at);
	return true;
}

int64_t seam_backlog_min_cpu(const struct seam_backlog_cursor *c)
{
	const struct pool *p = c->next[c->pools - 1].pool;
	const struct waiting_job *w =
		g_sequence_get(g_sequence_get_begin_iter(p->by_cpu));

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
