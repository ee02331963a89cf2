#include "process/rooms.h"

#include <string.h>

#include <glib.h>

struct seam_rooms {
	GHashTable *pool; /* name to struct pool */
	GHashTable *room; /* handle of a worker to struct room */
};

struct pool {
	GSequence *sound; /* struct room by free processors */
	GSequence *slow; /* the same of workers that are slow */
	GHashTable *label; /* label to the set of its struct room */
};

struct room {
	struct seam_handle worker;
	struct pool *pool;
	int64_t cpu;
	bool slow;
	GSequenceIter *place;
	char label[SEAM_LABELS][SEAM_NAME];
	int labels;
};

static int by_cpu(const void *a, const void *b, void *arg)
{
	const struct room *x = a;
	const struct room *y = b;

	(void)arg;
	if (x->cpu != y->cpu)
		return x->cpu < y->cpu ? -1 : 1;
	return (x->worker.bits > y->worker.bits) -
	       (x->worker.bits < y->worker.bits);
}

static void free_pool(void *arg)
{
	struct pool *p = arg;

	g_sequence_free(p->sound);
	g_sequence_free(p->slow);
	g_hash_table_destroy(p->label);
	g_free(p);
}

static void free_set(void *set)
{
	g_hash_table_destroy(set);
}

struct seam_rooms *seam_rooms_new(void)
{
	struct seam_rooms *r = g_new0(struct seam_rooms, 1);

	r->pool = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					free_pool);
	r->room = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	return r;
}

void seam_rooms_free(struct seam_rooms *r)
{
	g_hash_table_destroy(r->pool);
	g_hash_table_destroy(r->room);
	g_free(r);
}

static struct pool *pool_of(struct seam_rooms *r, const char *name)
{
	struct pool *p = g_hash_table_lookup(r->pool, name);

	if (p)
		return p;
	p = g_new0(struct pool, 1);
	p->sound = g_sequence_new(NULL);
	p->slow = g_sequence_new(NULL);
	p->label = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 free_set);
	g_hash_table_insert(r->pool, g_strdup(name), p);
	return p;
}

static struct room *room_of(struct seam_rooms *r, struct seam_handle worker)
{
	return g_hash_table_lookup(r->room, GUINT_TO_POINTER(worker.bits));
}

static void add_label(struct room *m, const char *label)
{
	GHashTable *set = g_hash_table_lookup(m->pool->label, label);

	if (!set) {
		set = g_hash_table_new(NULL, NULL);
		g_hash_table_insert(m->pool->label, g_strdup(label), set);
	}
	g_hash_table_add(set, m);
	g_strlcpy(m->label[m->labels++], label, SEAM_NAME);
}

void seam_rooms_put(struct seam_rooms *r, struct seam_handle worker,
		    const struct seam_worker_info *info, int64_t cpu, bool slow)
{
	struct room *m;
	int i;

	seam_rooms_remove(r, worker);
	m = g_new0(struct room, 1);
	m->worker = worker;
	m->pool = pool_of(r, info->pool);
	m->cpu = cpu;
	m->slow = slow;
	m->place = g_sequence_insert_sorted(
		slow ? m->pool->slow : m->pool->sound, m, by_cpu, NULL);
	for (i = 0; i < info->labels; i++)
		add_label(m, info->label[i]);
	g_hash_table_insert(r->room, GUINT_TO_POINTER(worker.bits), m);
}

void seam_rooms_set(struct seam_rooms *r, struct seam_handle worker,
		    int64_t cpu)
{
	struct room *m = room_of(r, worker);

	if (!m || m->cpu == cpu)
		return;
	m->cpu = cpu;
	g_sequence_sort_changed(m->place, by_cpu, NULL);
}

void seam_rooms_remove(struct seam_rooms *r, struct seam_handle worker)
{
	struct room *m = room_of(r, worker);
	int i;

	if (!m)
		return;
	for (i = 0; i < m->labels; i++) {
		GHashTable *set =
			g_hash_table_lookup(m->pool->label, m->label[i]);

		if (!set)
			continue; /* a label that it told twice */
		g_hash_table_remove(set, m);
		if (!g_hash_table_size(set))
			g_hash_table_remove(m->pool->label, m->label[i]);
	}
	g_sequence_remove(m->place);
	g_hash_table_remove(r->room, GUINT_TO_POINTER(worker.bits));
}

void seam_rooms_fullest(struct seam_rooms *r, const char *pool, int64_t cpu,
			bool slow, seam_room_fn fn, void *arg)
{
	struct pool *p = g_hash_table_lookup(r->pool, pool);
	struct room least = {.cpu = cpu};
	GSequenceIter *at;

	if (!p)
		return;
	at = g_sequence_search(slow ? p->slow : p->sound, &least, by_cpu, NULL);
	for (; !g_sequence_iter_is_end(at); at = g_sequence_iter_next(at))
		if (fn(((struct room *)g_sequence_get(at))->worker, arg))
			return;
}

static bool walk(GSequence *s, seam_room_fn fn, void *arg)
{
	GSequenceIter *at = g_sequence_get_begin_iter(s);

	for (; !g_sequence_iter_is_end(at); at = g_sequence_iter_next(at))
		if (fn(((struct room *)g_sequence_get(at))->worker, arg))
			return true;
	return false;
}

void seam_rooms_labelled(struct seam_rooms *r, const char *pool,
			 const char *label, seam_room_fn fn, void *arg)
{
	struct pool *p = g_hash_table_lookup(r->pool, pool);
	GHashTableIter it;
	GHashTable *set;
	gpointer m;

	if (!p)
		return;
	if (!*label) {
		if (!walk(p->sound, fn, arg))
			walk(p->slow, fn, arg);
		return;
	}
	set = g_hash_table_lookup(p->label, label);
	if (!set)
		return;
	g_hash_table_iter_init(&it, set);
	while (g_hash_table_iter_next(&it, &m, NULL))
		if (fn(((struct room *)m)->worker, arg))
			return;
}
