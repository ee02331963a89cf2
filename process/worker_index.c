#include "process/worker_index.h"

#include <string.h>

#include <glib.h>

struct seam_worker_index {
	GHashTable *pools; /* name to struct pool */
	GHashTable *workers; /* handle of a worker to struct worker_entry */
};

struct pool {
	GSequence *normal; /* not slow; struct worker_entry by free CPU */
	GSequence *slow; /* the same for slow workers */
	GHashTable *by_label; /* label to set of struct worker_entry */
};

struct worker_entry {
	struct seam_handle worker;
	struct pool *pool;
	int64_t cpu;
	bool slow;
	GSequenceIter *iter;
	char label[SEAM_LABELS_MAX][SEAM_NAME_SIZE];
	int labels;
};

static int compare_cpu(const void *a, const void *b, void *arg)
{
	const struct worker_entry *x = a;
	const struct worker_entry *y = b;

	(void)arg;
	if (x->cpu != y->cpu)
		return x->cpu < y->cpu ? -1 : 1;
	return (x->worker.bits > y->worker.bits) -
	       (x->worker.bits < y->worker.bits);
}

static void free_pool(void *arg)
{
	struct pool *p = arg;

	g_sequence_free(p->normal);
	g_sequence_free(p->slow);
	g_hash_table_destroy(p->by_label);
	g_free(p);
}

static void free_label_set(void *set)
{
	g_hash_table_destroy(set);
}

struct seam_worker_index *seam_worker_index_new(void)
{
	struct seam_worker_index *idx = g_new0(struct seam_worker_index, 1);

	idx->pools = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   free_pool);
	idx->workers = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	return idx;
}

void seam_worker_index_free(struct seam_worker_index *idx)
{
	g_hash_table_destroy(idx->pools);
	g_hash_table_destroy(idx->workers);
	g_free(idx);
}

static struct pool *find_or_add_pool(struct seam_worker_index *idx,
				     const char *name)
{
	struct pool *p = g_hash_table_lookup(idx->pools, name);

	if (p)
		return p;
	p = g_new0(struct pool, 1);
	p->normal = g_sequence_new(NULL);
	p->slow = g_sequence_new(NULL);
	p->by_label = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    free_label_set);
	g_hash_table_insert(idx->pools, g_strdup(name), p);
	return p;
}

static struct worker_entry *find_worker(struct seam_worker_index *idx,
					struct seam_handle worker)
{
	return g_hash_table_lookup(idx->workers, GUINT_TO_POINTER(worker.bits));
}

static void add_label(struct worker_entry *w, const char *label)
{
	GHashTable *set = g_hash_table_lookup(w->pool->by_label, label);

	if (!set) {
		set = g_hash_table_new(NULL, NULL);
		g_hash_table_insert(w->pool->by_label, g_strdup(label), set);
	}
	g_hash_table_add(set, w);
	g_strlcpy(w->label[w->labels++], label, SEAM_NAME_SIZE);
}

void seam_worker_index_put(struct seam_worker_index *idx,
			   struct seam_handle worker,
			   const struct seam_worker_info *info, int64_t cpu,
			   bool slow)
{
	struct worker_entry *w;
	int i;

	seam_worker_index_remove(idx, worker);
	w = g_new0(struct worker_entry, 1);
	w->worker = worker;
	w->pool = find_or_add_pool(idx, info->pool);
	w->cpu = cpu;
	w->slow = slow;
	w->iter = g_sequence_insert_sorted(
		slow ? w->pool->slow : w->pool->normal, w, compare_cpu, NULL);
	for (i = 0; i < info->labels; i++)
		add_label(w, info->label[i]);
	g_hash_table_insert(idx->workers, GUINT_TO_POINTER(worker.bits), w);
}

void seam_worker_index_set_cpu(struct seam_worker_index *idx,
			       struct seam_handle worker, int64_t cpu)
{
	struct worker_entry *w = find_worker(idx, worker);

	if (!w || w->cpu == cpu)
		return;
	w->cpu = cpu;
	g_sequence_sort_changed(w->iter, compare_cpu, NULL);
}

void seam_worker_index_remove(struct seam_worker_index *idx,
			      struct seam_handle worker)
{
	struct worker_entry *w = find_worker(idx, worker);
	int i;

	if (!w)
		return;
	for (i = 0; i < w->labels; i++) {
		GHashTable *set =
			g_hash_table_lookup(w->pool->by_label, w->label[i]);

		if (!set)
			continue; /* a duplicate label, removed already */
		g_hash_table_remove(set, w);
		if (!g_hash_table_size(set))
			g_hash_table_remove(w->pool->by_label, w->label[i]);
	}
	g_sequence_remove(w->iter);
	g_hash_table_remove(idx->workers, GUINT_TO_POINTER(worker.bits));
}

void seam_worker_index_each_fitting(struct seam_worker_index *idx,
				    const char *pool, int64_t cpu, bool slow,
				    seam_worker_index_fn fn, void *arg)
{
	struct pool *p = g_hash_table_lookup(idx->pools, pool);
	struct worker_entry least = {.cpu = cpu};
	GSequenceIter *at;

	if (!p)
		return;
	at = g_sequence_search(slow ? p->slow : p->normal, &least, compare_cpu,
			       NULL);
	for (; !g_sequence_iter_is_end(at); at = g_sequence_iter_next(at))
		if (fn(((struct worker_entry *)g_sequence_get(at))->worker,
		       arg))
			return;
}

static bool each_worker(GSequence *s, seam_worker_index_fn fn, void *arg)
{
	GSequenceIter *at = g_sequence_get_begin_iter(s);

	for (; !g_sequence_iter_is_end(at); at = g_sequence_iter_next(at))
		if (fn(((struct worker_entry *)g_sequence_get(at))->worker,
		       arg))
			return true;
	return false;
}

void seam_worker_index_each_labelled(struct seam_worker_index *idx,
				     const char *pool, const char *label,
				     seam_worker_index_fn fn, void *arg)
{
	struct pool *p = g_hash_table_lookup(idx->pools, pool);
	GHashTableIter it;
	GHashTable *set;
	gpointer w;

	if (!p)
		return;
	if (!*label) {
		if (!each_worker(p->normal, fn, arg))
			each_worker(p->slow, fn, arg);
		return;
	}
	set = g_hash_table_lookup(p->by_label, label);
	if (!set)
		return;
	g_hash_table_iter_init(&it, set);
	while (g_hash_table_iter_next(&it, &w, NULL))
		if (fn(((struct worker_entry *)w)->worker, arg))
			return;
}
