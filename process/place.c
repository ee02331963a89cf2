#include "process/place.h"

#include <glib.h>
#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/table.h"

#define RESOURCES 3
#define LEVELS 64
#define SCAN_MAX 256 /* workers examined in one data centre */
#define SIZES_MAX 32 /* distinct sizes of workers in a pool */
/* Workers with room that are compared; SCAN_MAX if the task spreads. */
#define CANDIDATES_MAX 8

/* A worker and its links in one list for each resource. */
struct entry {
	struct seam_place_worker w;
	struct group *group;
	struct seam_handle self;
	struct seam_handle next[RESOURCES];
	struct seam_handle prev[RESOURCES];
	int level[RESOURCES];
	bool indexed; /* in the lists of @group */
	bool quarantined;
	bool seen; /* since the last sweep */
};

/* Workers of one pool in one data centre, listed by free amount of each
 * resource, in LEVELS steps of the largest amount. */
struct group {
	char pool[64];
	char dc[64];
	struct seam_need max; /* over all workers ever added */
	struct seam_need known_size[SIZES_MAX]; /* distinct sizes ever added */
	int size_count;
	size_t workers;
	struct seam_handle head[RESOURCES][LEVELS];
};

struct best_fit {
	struct seam_placer placer;
	struct seam_table *entries;
	GHashTable *by_id; /* id to handle bits */
	GHashTable *groups; /* "POOL/DC" to struct group */
};

static int64_t amount_of(const struct seam_need *n, int r)
{
	return r == 0 ? n->cpu : r == 1 ? n->mem : n->acc;
}

static int64_t free_of(const struct seam_place_worker *w, int r)
{
	return amount_of(&w->size, r) - amount_of(&w->used, r);
}

bool seam_need_fits(const struct seam_place_worker *w,
		    const struct seam_need *n)
{
	int r;

	for (r = 0; r < RESOURCES; r++)
		if (amount_of(n, r) > free_of(w, r))
			return false;
	return true;
}

static int level_of(int64_t amount, int64_t max)
{
	if (amount <= 0 || max <= 0)
		return 0;
	if (amount >= max)
		return LEVELS - 1;
	return (int)(amount * (LEVELS - 1) / max);
}

static struct entry *find_entry(struct best_fit *b, const char *id)
{
	struct seam_handle h = {
		GPOINTER_TO_UINT(g_hash_table_lookup(b->by_id, id))};

	return seam_table_get(b->entries, h);
}

static void unindex_entry(struct best_fit *b, struct entry *s)
{
	int r;

	if (!s->indexed)
		return;
	for (r = 0; r < RESOURCES; r++) {
		struct entry *n = seam_table_get(b->entries, s->next[r]);
		struct entry *p = seam_table_get(b->entries, s->prev[r]);

		if (n)
			n->prev[r] = s->prev[r];
		if (p)
			p->next[r] = s->next[r];
		else
			s->group->head[r][s->level[r]] = s->next[r];
	}
	s->indexed = false;
}

static void index_entry(struct best_fit *b, struct entry *s)
{
	int r;

	if (!s->w.usable || s->quarantined)
		return;
	for (r = 0; r < RESOURCES; r++) {
		int l = level_of(free_of(&s->w, r),
				 amount_of(&s->group->max, r));
		struct entry *n =
			seam_table_get(b->entries, s->group->head[r][l]);

		s->level[r] = l;
		s->prev[r] = SEAM_HANDLE_NONE;
		s->next[r] = s->group->head[r][l];
		s->group->head[r][l] = s->self;
		if (n)
			n->prev[r] = s->self;
	}
	s->indexed = true;
}

static struct group *find_group(struct best_fit *b, const char *pool,
				const char *dc, bool add)
{
	char key[160];
	struct group *g;

	snprintf(key, sizeof(key), "%s/%s", pool, dc);
	g = g_hash_table_lookup(b->groups, key);
	if (g || !add)
		return g;
	g = calloc(1, sizeof(*g));
	if (!g)
		return NULL;
	g_strlcpy(g->pool, pool, sizeof(g->pool));
	g_strlcpy(g->dc, dc, sizeof(g->dc));
	g_hash_table_insert(b->groups, g_strdup(key), g);
	return g;
}

/* Levels are relative to @g->max, so a change of it moves all workers. */
static void reindex_group(struct best_fit *b, struct group *g)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct entry *s;

	while ((s = seam_table_next(b->entries, &h)))
		if (s->group == g)
			s->indexed = false;
	memset(g->head, 0, sizeof(g->head));
	h = SEAM_HANDLE_NONE;
	while ((s = seam_table_next(b->entries, &h)))
		if (s->group == g)
			index_entry(b, s);
}

static bool add_size(struct group *g, const struct seam_need *n)
{
	struct seam_need old = g->max;
	int i;

	for (i = 0; i < g->size_count; i++)
		if (!memcmp(&g->known_size[i], n, sizeof(*n)))
			return false;
	if (g->size_count < SIZES_MAX)
		g->known_size[g->size_count++] = *n;
	g->max.cpu = MAX(old.cpu, n->cpu);
	g->max.mem = MAX(old.mem, n->mem);
	g->max.acc = MAX(old.acc, n->acc);
	return memcmp(&old, &g->max, sizeof(old)) != 0;
}

static int best_set(struct seam_placer *p, const struct seam_place_worker *w)
{
	struct best_fit *b = (struct best_fit *)p;
	struct entry *s = find_entry(b, w->id);
	struct group *g = find_group(b, w->pool, w->dc, true);
	struct seam_need used = w->used;

	if (!g)
		return -1;
	if (s) {
		used = s->w.used;
		unindex_entry(b, s);
		s->group->workers--;
	} else {
		struct seam_handle h;

		s = seam_table_add(b->entries, &h);
		if (!s)
			return -1;
		s->self = h;
		g_hash_table_insert(b->by_id, g_strdup(w->id),
				    GUINT_TO_POINTER(h.bits));
	}
	s->w = *w;
	s->w.used = used;
	s->group = g;
	s->seen = true;
	g->workers++;
	if (add_size(g, &w->size))
		reindex_group(b, g);
	else
		index_entry(b, s);
	return 0;
}

static void best_sweep(struct seam_placer *p)
{
	struct best_fit *b = (struct best_fit *)p;
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct entry *s;

	while ((s = seam_table_next(b->entries, &h))) {
		if (s->seen) {
			s->seen = false;
			continue;
		}
		unindex_entry(b, s);
		s->group->workers--;
		g_hash_table_remove(b->by_id, s->w.id);
		seam_table_del(b->entries, h);
	}
}

static void best_used(struct seam_placer *p, const char *id,
		      const struct seam_need *used)
{
	struct best_fit *b = (struct best_fit *)p;
	struct entry *s = find_entry(b, id);

	if (!s)
		return;
	unindex_entry(b, s);
	s->w.used = *used;
	index_entry(b, s);
}

static void best_open(struct seam_placer *p, const char *id, bool open)
{
	struct best_fit *b = (struct best_fit *)p;
	struct entry *s = find_entry(b, id);

	if (!s || s->quarantined == !open)
		return;
	unindex_entry(b, s);
	s->quarantined = !open;
	index_entry(b, s);
}

static size_t best_count(struct seam_placer *p, const char *pool)
{
	struct best_fit *b = (struct best_fit *)p;
	GHashTableIter it;
	size_t n = 0;
	gpointer v;

	g_hash_table_iter_init(&it, b->groups);
	while (g_hash_table_iter_next(&it, NULL, &v))
		if (!strcmp(((struct group *)v)->pool, pool))
			n += ((struct group *)v)->workers;
	return n;
}

static const struct seam_place_worker *best_get(struct seam_placer *p,
						const char *id)
{
	struct entry *s = find_entry((struct best_fit *)p, id);

	return s ? &s->w : NULL;
}

static bool contains(const char *const *list, size_t n, const char *name)
{
	size_t i;

	for (i = 0; i < n; i++)
		if (!strcmp(list[i], name))
			return true;
	return false;
}

static size_t count(const char *const *list, size_t n, const char *name)
{
	size_t c = 0;
	size_t i;

	for (i = 0; i < n; i++)
		c += !strcmp(list[i], name);
	return c;
}

static int dominant_resource(const struct seam_need *n,
			     const struct seam_need *max)
{
	double most = -1;
	int best = 0;
	int r;

	for (r = 0; r < RESOURCES; r++) {
		double f = amount_of(max, r) ?
				   (double)amount_of(n, r) /
					   (double)amount_of(max, r) :
				   0;

		if (f > most) {
			most = f;
			best = r;
		}
	}
	return best;
}

struct search {
	const struct seam_place_request *ask;
	struct entry *best;
	size_t in_rack;
	double left; /* free fraction of the dominant resource after the start
		      */
};

static bool consider(struct search *q, struct entry *s, int r)
{
	size_t in_rack = count(q->ask->racks, q->ask->rack_count, s->w.rack);
	double left =
		(double)(free_of(&s->w, r) - amount_of(&q->ask->need, r)) /
		(double)MAX(amount_of(&s->group->max, r), 1);

	if (q->best && (in_rack > q->in_rack ||
			(in_rack == q->in_rack && left >= q->left)))
		return false;
	q->best = s;
	q->in_rack = in_rack;
	q->left = left;
	return true;
}

/* Scans one list; returns false when a limit is reached. */
static bool scan_list(struct best_fit *b, struct search *q, struct group *g,
		      int r, int level, int *scans_left, int *candidates_left)
{
	struct entry *s = seam_table_get(b->entries, g->head[r][level]);

	for (; s; s = seam_table_get(b->entries, s->next[r])) {
		if (--*scans_left < 0)
			return false;
		if (!seam_need_fits(&s->w, &q->ask->need) ||
		    contains(q->ask->avoid, q->ask->avoid_count, s->w.id))
			continue;
		consider(q, s, r);
		if (--*candidates_left <= 0)
			return false;
	}
	return true;
}

static void search_group(struct best_fit *b, struct search *q, struct group *g)
{
	int r = dominant_resource(&q->ask->need, &g->max);
	int low = level_of(amount_of(&q->ask->need, r), amount_of(&g->max, r));
	int scans_left = SCAN_MAX;
	int candidates_left = q->ask->rack_count ? SCAN_MAX : CANDIDATES_MAX;
	bool found = q->best != NULL;
	int l;

	for (l = low; l < LEVELS; l++)
		if (!scan_list(b, q, g, r, l, &scans_left, &candidates_left))
			break;
	if (l == LEVELS || (q->best && !found))
		return;
	/* The limit was reached, perhaps without a fit because the fullest
	 * workers have too little of another resource: start from the emptiest.
	 */
	scans_left = SCAN_MAX;
	candidates_left = CANDIDATES_MAX;
	for (l = LEVELS - 1; l >= low; l--)
		if (!scan_list(b, q, g, r, l, &scans_left, &candidates_left))
			break;
	if (l < low || q->best)
		return;
	/* Only those between the fullest and the emptiest may have room. */
	scans_left = INT_MAX;
	candidates_left = 1;
	for (l = low; l < LEVELS; l++)
		if (!scan_list(b, q, g, r, l, &scans_left, &candidates_left))
			break;
}

static const struct seam_place_worker *
best_choose(struct seam_placer *p, const struct seam_place_request *a,
	    seam_time now, struct seam_err *e)
{
	struct best_fit *b = (struct best_fit *)p;
	struct search q = {.ask = a};
	GHashTableIter it;
	gpointer v;

	(void)now;
	g_hash_table_iter_init(&it, b->groups);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct group *g = v;

		if (strcmp(g->pool, a->pool))
			continue;
		if (!a->dcs ||
		    g_strv_contains((const gchar *const *)a->dcs, g->dc))
			search_group(b, &q, g);
	}
	if (q.best)
		return &q.best->w;
	seam_fail(e, SEAM_BUSY, "no worker of pool %s has room", a->pool);
	return NULL;
}

static bool any_size_fits(const struct group *g, const struct seam_need *n)
{
	int i;

	for (i = 0; i < g->size_count; i++)
		if (n->cpu <= g->known_size[i].cpu &&
		    n->mem <= g->known_size[i].mem &&
		    n->acc <= g->known_size[i].acc)
			return true;
	/* Some sizes may be missing, so only the maxima are known. */
	return g->size_count == SIZES_MAX && n->cpu <= g->max.cpu &&
	       n->mem <= g->max.mem && n->acc <= g->max.acc;
}

static int fail_never_fits(const struct seam_place_request *a,
			   const struct seam_need *max, struct seam_err *e)
{
	static const char *const names[] = {"cpu_milli", "memory_mb",
					    "accelerators"};
	int r;

	for (r = 0; r < RESOURCES; r++)
		if (amount_of(&a->need, r) > amount_of(max, r))
			return seam_fail(e, SEAM_NEVER_RUNS,
					 "%s: %lld needed, the most that a "
					 "worker of pool %s has is %lld",
					 names[r],
					 (long long)amount_of(&a->need, r),
					 a->pool, (long long)amount_of(max, r));
	return seam_fail(e, SEAM_NEVER_RUNS,
			 "no single worker of pool %s has cpu_milli %lld, "
			 "memory_mb %lld and accelerators %lld together",
			 a->pool, (long long)a->need.cpu,
			 (long long)a->need.mem, (long long)a->need.acc);
}

static int best_ever_fits(struct seam_placer *p,
			  const struct seam_place_request *a,
			  struct seam_err *e)
{
	struct best_fit *b = (struct best_fit *)p;
	struct seam_need max = {0, 0, 0};
	GHashTableIter it;
	gpointer v;
	bool any = false;

	g_hash_table_iter_init(&it, b->groups);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct group *g = v;

		if (strcmp(g->pool, a->pool) ||
		    (a->dcs &&
		     !g_strv_contains((const gchar *const *)a->dcs, g->dc)))
			continue;
		if (any_size_fits(g, &a->need))
			return 0;
		any = true;
		max.cpu = MAX(max.cpu, g->max.cpu);
		max.mem = MAX(max.mem, g->max.mem);
		max.acc = MAX(max.acc, g->max.acc);
	}
	return any ? fail_never_fits(a, &max, e) : 0;
}

static void best_free(struct seam_placer *p)
{
	struct best_fit *b = (struct best_fit *)p;

	seam_table_free(b->entries);
	g_hash_table_destroy(b->by_id);
	g_hash_table_destroy(b->groups);
	free(b);
}

static const struct seam_placer_ops best_ops = {
	.set = best_set,
	.sweep = best_sweep,
	.used = best_used,
	.open = best_open,
	.count = best_count,
	.get = best_get,
	.choose = best_choose,
	.ever = best_ever_fits,
	.free = best_free,
};

struct seam_placer *seam_placer_best_fit(void)
{
	struct best_fit *b = calloc(1, sizeof(*b));

	if (!b)
		return NULL;
	b->placer.ops = &best_ops;
	b->entries = seam_table_new(sizeof(struct entry));
	b->by_id = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	b->groups =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free);
	return &b->placer;
}
