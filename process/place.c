#include "process/place.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/table.h"

#define RESOURCES 3
#define LEVELS 64
#define LOOK_MAX 256 /* workers looked at in one data centre */
#define SHAPES_MAX 32 /* distinct sizes of workers in a pool */
#define FITS_MAX 8 /* candidates compared for the spread over racks */

/* A worker and its place in one list for each resource. */
struct spot {
	struct seam_place_worker w;
	struct group *group;
	struct seam_handle self;
	struct seam_handle next[RESOURCES];
	struct seam_handle prev[RESOURCES];
	int level[RESOURCES];
	bool listed;
	bool closed; /* in quarantine */
	bool seen; /* set since the last sweep */
};

/* Workers of one pool in one data centre. */
struct group {
	char pool[64];
	char dc[64];
	struct seam_need max; /* of any worker ever listed */
	struct seam_need shape[SHAPES_MAX]; /* distinct sizes ever listed */
	int shapes;
	size_t workers;
	struct seam_handle head[RESOURCES][LEVELS];
};

struct best {
	struct seam_placer placer;
	struct seam_table *spot;
	GHashTable *by_id; /* id to handle bits */
	GHashTable *groups; /* "POOL/DC" to struct group */
};

static int64_t part(const struct seam_need *n, int r)
{
	return r == 0 ? n->cpu : r == 1 ? n->mem : n->acc;
}

static int64_t free_of(const struct seam_place_worker *w, int r)
{
	return part(&w->size, r) - part(&w->used, r);
}

bool seam_need_fits(const struct seam_place_worker *w,
		    const struct seam_need *n)
{
	int r;

	for (r = 0; r < RESOURCES; r++)
		if (part(n, r) > free_of(w, r))
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

static struct spot *spot_of(struct best *b, const char *id)
{
	struct seam_handle h = {
		GPOINTER_TO_UINT(g_hash_table_lookup(b->by_id, id))};

	return seam_table_get(b->spot, h);
}

static void unlist(struct best *b, struct spot *s)
{
	int r;

	if (!s->listed)
		return;
	for (r = 0; r < RESOURCES; r++) {
		struct spot *n = seam_table_get(b->spot, s->next[r]);
		struct spot *p = seam_table_get(b->spot, s->prev[r]);

		if (n)
			n->prev[r] = s->prev[r];
		if (p)
			p->next[r] = s->next[r];
		else
			s->group->head[r][s->level[r]] = s->next[r];
	}
	s->listed = false;
}

static void enlist(struct best *b, struct spot *s)
{
	int r;

	if (!s->w.usable || s->closed)
		return;
	for (r = 0; r < RESOURCES; r++) {
		int l = level_of(free_of(&s->w, r), part(&s->group->max, r));
		struct spot *n = seam_table_get(b->spot, s->group->head[r][l]);

		s->level[r] = l;
		s->prev[r] = SEAM_NONE;
		s->next[r] = s->group->head[r][l];
		s->group->head[r][l] = s->self;
		if (n)
			n->prev[r] = s->self;
	}
	s->listed = true;
}

static struct group *group_of(struct best *b, const char *pool, const char *dc,
			      bool add)
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

/* Levels are relative to the largest worker, so a larger one moves all. */
static void relist(struct best *b, struct group *g)
{
	struct seam_handle h = SEAM_NONE;
	struct spot *s;

	while ((s = seam_table_next(b->spot, &h)))
		if (s->group == g)
			s->listed = false;
	memset(g->head, 0, sizeof(g->head));
	h = SEAM_NONE;
	while ((s = seam_table_next(b->spot, &h)))
		if (s->group == g)
			enlist(b, s);
}

static bool enlarge(struct group *g, const struct seam_need *n)
{
	struct seam_need old = g->max;
	int i;

	for (i = 0; i < g->shapes; i++)
		if (!memcmp(&g->shape[i], n, sizeof(*n)))
			return false;
	if (g->shapes < SHAPES_MAX)
		g->shape[g->shapes++] = *n;
	g->max.cpu = MAX(old.cpu, n->cpu);
	g->max.mem = MAX(old.mem, n->mem);
	g->max.acc = MAX(old.acc, n->acc);
	return memcmp(&old, &g->max, sizeof(old)) != 0;
}

static int best_set(struct seam_placer *p, const struct seam_place_worker *w)
{
	struct best *b = (struct best *)p;
	struct spot *s = spot_of(b, w->id);
	struct group *g = group_of(b, w->pool, w->dc, true);
	struct seam_need used = w->used;

	if (!g)
		return -1;
	if (s) {
		used = s->w.used;
		unlist(b, s);
		s->group->workers--;
	} else {
		struct seam_handle h;

		s = seam_table_add(b->spot, &h);
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
	if (enlarge(g, &w->size))
		relist(b, g);
	else
		enlist(b, s);
	return 0;
}

static void best_sweep(struct seam_placer *p)
{
	struct best *b = (struct best *)p;
	struct seam_handle h = SEAM_NONE;
	struct spot *s;

	while ((s = seam_table_next(b->spot, &h))) {
		if (s->seen) {
			s->seen = false;
			continue;
		}
		unlist(b, s);
		s->group->workers--;
		g_hash_table_remove(b->by_id, s->w.id);
		seam_table_del(b->spot, h);
	}
}

static void best_used(struct seam_placer *p, const char *id,
		      const struct seam_need *used)
{
	struct best *b = (struct best *)p;
	struct spot *s = spot_of(b, id);

	if (!s)
		return;
	unlist(b, s);
	s->w.used = *used;
	enlist(b, s);
}

static void best_open(struct seam_placer *p, const char *id, bool open)
{
	struct best *b = (struct best *)p;
	struct spot *s = spot_of(b, id);

	if (!s || s->closed == !open)
		return;
	unlist(b, s);
	s->closed = !open;
	enlist(b, s);
}

static size_t best_count(struct seam_placer *p, const char *pool)
{
	struct best *b = (struct best *)p;
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
	struct spot *s = spot_of((struct best *)p, id);

	return s ? &s->w : NULL;
}

static bool listed(const char *const *list, size_t n, const char *name)
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

static int dominant(const struct seam_need *n, const struct seam_need *max)
{
	double most = -1;
	int best = 0;
	int r;

	for (r = 0; r < RESOURCES; r++) {
		double f = part(max, r) ?
				   (double)part(n, r) / (double)part(max, r) :
				   0;

		if (f > most) {
			most = f;
			best = r;
		}
	}
	return best;
}

struct search {
	const struct seam_place_ask *ask;
	struct spot *best;
	size_t in_rack;
	double left; /* free part of the dominant resource after the start */
};

static bool better(struct search *q, struct spot *s, int r)
{
	size_t in_rack = count(q->ask->racks, q->ask->rack_count, s->w.rack);
	double left = (double)(free_of(&s->w, r) - part(&q->ask->need, r)) /
		      (double)MAX(part(&s->group->max, r), 1);

	if (q->best && (in_rack > q->in_rack ||
			(in_rack == q->in_rack && left >= q->left)))
		return false;
	q->best = s;
	q->in_rack = in_rack;
	q->left = left;
	return true;
}

/* Looks at one list; returns false when enough was seen. */
static bool look(struct best *b, struct search *q, struct group *g, int r,
		 int level, int *looks, int *fits)
{
	struct spot *s = seam_table_get(b->spot, g->head[r][level]);

	for (; s; s = seam_table_get(b->spot, s->next[r])) {
		if (--*looks < 0)
			return false;
		if (!seam_need_fits(&s->w, &q->ask->need) ||
		    listed(q->ask->avoid, q->ask->avoids, s->w.id))
			continue;
		better(q, s, r);
		if (--*fits <= 0)
			return false;
	}
	return true;
}

static void search_group(struct best *b, struct search *q, struct group *g)
{
	int r = dominant(&q->ask->need, &g->max);
	int low = level_of(part(&q->ask->need, r), part(&g->max, r));
	int looks = LOOK_MAX;
	int fits = q->ask->rack_count ? LOOK_MAX : FITS_MAX;
	bool found = q->best != NULL;
	int l;

	for (l = low; l < LEVELS; l++)
		if (!look(b, q, g, r, l, &looks, &fits))
			break;
	if (l == LEVELS || (q->best && !found))
		return;
	/* The fullest had no room in another resource: try the emptiest. */
	looks = LOOK_MAX;
	fits = FITS_MAX;
	for (l = LEVELS - 1; l >= low; l--)
		if (!look(b, q, g, r, l, &looks, &fits))
			break;
}

static const struct seam_place_worker *
best_choose(struct seam_placer *p, const struct seam_place_ask *a,
	    seam_time now, struct seam_err *e)
{
	struct best *b = (struct best *)p;
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

static bool shape_fits(const struct group *g, const struct seam_need *n)
{
	int i;

	for (i = 0; i < g->shapes; i++)
		if (n->cpu <= g->shape[i].cpu && n->mem <= g->shape[i].mem &&
		    n->acc <= g->shape[i].acc)
			return true;
	/* Not all shapes were kept: only the maxima are known. */
	return g->shapes == SHAPES_MAX && n->cpu <= g->max.cpu &&
	       n->mem <= g->max.mem && n->acc <= g->max.acc;
}

static int never(const struct seam_place_ask *a, const struct seam_need *max,
		 struct seam_err *e)
{
	static const char *const names[] = {"cpu_milli", "memory_mb",
					    "accelerators"};
	int r;

	for (r = 0; r < RESOURCES; r++)
		if (part(&a->need, r) > part(max, r))
			return seam_fail(e, SEAM_NEVER_RUNS,
					 "%s: %lld needed, the most that a "
					 "worker of pool %s has is %lld",
					 names[r], (long long)part(&a->need, r),
					 a->pool, (long long)part(max, r));
	return seam_fail(e, SEAM_NEVER_RUNS,
			 "no single worker of pool %s has cpu_milli %lld, "
			 "memory_mb %lld and accelerators %lld together",
			 a->pool, (long long)a->need.cpu,
			 (long long)a->need.mem, (long long)a->need.acc);
}

static int best_ever(struct seam_placer *p, const struct seam_place_ask *a,
		     struct seam_err *e)
{
	struct best *b = (struct best *)p;
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
		if (shape_fits(g, &a->need))
			return 0;
		any = true;
		max.cpu = MAX(max.cpu, g->max.cpu);
		max.mem = MAX(max.mem, g->max.mem);
		max.acc = MAX(max.acc, g->max.acc);
	}
	return any ? never(a, &max, e) : 0;
}

static void best_free(struct seam_placer *p)
{
	struct best *b = (struct best *)p;

	seam_table_free(b->spot);
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
	.ever = best_ever,
	.free = best_free,
};

struct seam_placer *seam_placer_best_fit(void)
{
	struct best *b = calloc(1, sizeof(*b));

	if (!b)
		return NULL;
	b->placer.ops = &best_ops;
	b->spot = seam_table_new(sizeof(struct spot));
	b->by_id = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	b->groups =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free);
	return &b->placer;
}
