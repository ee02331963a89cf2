#include "process/share.h"
#include "process/task.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TINY 1e-9
/*
 * A workspace yields while the room is at most this many times what the other
 * one lacks. With 1 it did not yield when several tasks ended together.
 */
#define YIELD_ROOM 4

/* A team in one pool, or one of its workspaces there. */
struct sharer {
	struct seam_handle team;
	struct seam_handle workspace;
	double weight;
	struct seam_need first; /* size of a waiting task */
	bool waits;
	struct seam_amount demand; /* of a workspace */
};

/*
 * Shares in one pool: a team can't use what other pools have. They are made
 * anew from the loads of the fleet; starts and ends in between are added.
 */
struct group {
	struct seam_share *share;
	struct seam_amount all;
	struct seam_amount busy;
	GHashTable *team; /* name to struct sharer */
	GHashTable *workspace; /* TEAM/WORKSPACE to struct sharer */
	double deficit; /* what teams with waiting tasks are under their share
			 */
	bool changed; /* the use, since @deficit was computed */
	struct seam_need want; /* a waiting task of the one furthest under */
};

struct fair {
	struct seam_task_order order;
	struct seam_conf_cell *conf;
	GHashTable *group; /* pool to struct group */
};

static struct seam_amount amount(const struct seam_need *n)
{
	return (struct seam_amount){{n->cpu, n->mem, n->acc}};
}

static void free_group(gpointer p)
{
	struct group *g = p;

	seam_share_free(g->share);
	g_hash_table_destroy(g->team);
	g_hash_table_destroy(g->workspace);
	g_free(g);
}

static struct group *group_of(struct fair *f, const char *pool)
{
	struct group *g = g_hash_table_lookup(f->group, pool);

	if (g)
		return g;
	g = g_new0(struct group, 1);
	g->share = seam_share_new();
	g->team =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g->workspace =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	/* Until the size of the pool is known the largest number counts. */
	g->all = (struct seam_amount){{1 << 30, 1 << 30, 1 << 30}};
	seam_share_capacity(g->share, &g->all);
	g_hash_table_insert(f->group, g_strdup(pool), g);
	return g;
}

static struct sharer *team_of(struct group *g, const struct seam_conf *c,
			      const char *name)
{
	const struct seam_team *t;
	struct sharer *s = g_hash_table_lookup(g->team, name);
	int64_t weight;

	if (s)
		return s;
	t = seam_conf_named(c, SEAM_CONF_TEAM, name);
	weight = t && t->share > 0 ? t->share : 1;
	s = g_new0(struct sharer, 1);
	s->team = seam_share_team(g->share, weight);
	s->weight = (double)weight;
	g_hash_table_insert(g->team, g_strdup(name), s);
	return s;
}

/* The workspace that a queue names, or one of weight 1 for all others. */
static struct sharer *workspace_of(struct group *g, const struct seam_conf *c,
				   const char *team, const struct seam_queue *q)
{
	const char *name = q && !strcmp(q->team, team) ? q->workspace : "";
	const struct seam_workspace *w =
		*name ? seam_conf_named(c, SEAM_CONF_WORKSPACE, name) : NULL;
	struct sharer *t = team_of(g, c, team);
	struct sharer *s;
	char key[136];

	snprintf(key, sizeof(key), "%s/%s", team, name);
	s = g_hash_table_lookup(g->workspace, key);
	if (s)
		return s;
	s = g_new0(struct sharer, 1);
	s->team = t->team;
	s->weight = (double)(w && w->share > 0 ? w->share : 1);
	s->workspace =
		seam_share_workspace(g->share, t->team, (int64_t)s->weight);
	g_hash_table_insert(g->workspace, g_strdup(key), s);
	return s;
}

struct place {
	struct group *group;
	struct sharer *team;
	struct sharer *workspace;
};

static struct place find(struct seam_task_order *o, const char *team,
			 const char *queue)
{
	struct fair *f = (struct fair *)o;
	struct seam_conf *c = seam_conf_current(f->conf);
	const struct seam_queue *q = seam_conf_named(c, SEAM_CONF_QUEUE, queue);
	struct place p;

	p.group = group_of(f, q ? q->pool : "");
	p.workspace = workspace_of(p.group, c, team, q);
	p.team = team_of(p.group, c, team);
	seam_conf_drop(c);
	return p;
}

static double used(const struct group *g, const struct sharer *s)
{
	return seam_share_used(g->share, s->team, s->workspace);
}

static double entitled(const struct group *g, const struct sharer *s)
{
	return seam_share_entitled(g->share, s->team, s->workspace, NULL);
}

static void use(struct group *g, const struct sharer *workspace,
		const struct seam_amount *a)
{
	int r;

	for (r = 0; r < SEAM_RESOURCES; r++)
		g->busy.of[r] += a->of[r];
	seam_share_use(g->share, workspace->workspace, a, 1);
}

static double rank(struct seam_task_order *o, const char *team,
		   const char *queue, seam_time now)
{
	struct place p = find(o, team, queue);

	(void)now;
	return used(p.group, p.team) / p.team->weight;
}

static double inner(struct seam_task_order *o, const char *team,
		    const char *queue)
{
	struct place p = find(o, team, queue);

	return used(p.group, p.workspace) / p.workspace->weight;
}

static double lent(struct seam_task_order *o, const char *team,
		   const char *queue, seam_time now)
{
	struct place p = find(o, team, queue);
	double over = used(p.group, p.team) - entitled(p.group, p.team);

	(void)now;
	return over > TINY ? over / p.team->weight : 0;
}

static void running(struct seam_task_order *o, const char *team,
		    const char *queue, const struct seam_need *by)
{
	struct place p = find(o, team, queue);
	struct seam_amount a = amount(by);

	use(p.group, p.workspace, &a);
	p.group->changed = true;
}

static double part(const struct group *g, const struct seam_need *n)
{
	struct seam_amount a = amount(n);
	double most = 0;
	int r;

	for (r = 0; r < SEAM_RESOURCES; r++)
		if (g->all.of[r] > 0 &&
		    (double)a.of[r] / (double)g->all.of[r] > most)
			most = (double)a.of[r] / (double)g->all.of[r];
	return most;
}

/* Number of tasks of each team. */
struct tasks {
	int64_t runs;
	int64_t waits;
};

static GHashTable *count_tasks(const struct seam_task_load *l, size_t n)
{
	GHashTable *h =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	struct tasks *t;
	size_t i;

	for (i = 0; i < n; i++) {
		t = g_hash_table_lookup(h, l[i].team);
		if (!t) {
			t = g_new0(struct tasks, 1);
			g_hash_table_insert(h, (gpointer)l[i].team, t);
		}
		t->runs += l[i].runs;
		t->waits += l[i].waits;
	}
	return h;
}

/* Tasks of a team that wait for its upper limit are no demand. */
static double startable(const struct seam_conf *c, const char *team,
			const struct tasks *have)
{
	const struct seam_team *t = seam_conf_named(c, SEAM_CONF_TEAM, team);
	int64_t left = t ? t->limit - have->runs : have->waits;

	if (left <= 0)
		return 0;
	return have->waits > left ? (double)left / (double)have->waits : 1;
}

static void add_load(struct fair *f, const struct seam_conf *c,
		     const struct seam_task_load *l, double demand)
{
	const struct seam_queue *q =
		seam_conf_named(c, SEAM_CONF_QUEUE, l->queue);
	struct group *g = group_of(f, q ? q->pool : "");
	struct sharer *w = workspace_of(g, c, l->team, q);
	struct sharer *t = team_of(g, c, l->team);
	struct seam_amount have = amount(&l->running);
	struct seam_amount all = amount(&l->waiting);
	struct seam_amount *sum = &w->demand;
	int r;

	for (r = 0; r < SEAM_RESOURCES; r++)
		sum->of[r] +=
			have.of[r] + (int64_t)((double)all.of[r] * demand);
	if (l->waits && demand > 0) {
		t->waits = true;
		t->first = l->first;
		w->waits = true;
		w->first = l->first;
	}
	use(g, w, &have);
	seam_share_demand(g->share, w->workspace, sum);
}

/* What a team with waiting tasks is under its share; 0 unless one more of its
 * tasks still fits in it. */
static double deficit_of(const struct group *g, const struct sharer *t)
{
	double d = entitled(g, t) - used(g, t);

	return t->waits && d + TINY >= part(g, &t->first) ? d : 0;
}

/* Its share in use for its weight, with one more task. */
static double next_level(const struct group *g, const struct sharer *t)
{
	return (used(g, t) + part(g, &t->first)) / t->weight;
}

static void sum_deficit(struct group *g)
{
	GHashTableIter it;
	double worst = 0;
	gpointer v;

	g->changed = false;
	g->deficit = 0;
	g_hash_table_iter_init(&it, g->team);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct sharer *t = v;
		double d = deficit_of(g, t);

		if (d <= 0)
			continue;
		g->deficit += d;
		if (d / t->weight <= worst)
			continue;
		worst = d / t->weight;
		g->want = t->first;
	}
}

static void loads(struct seam_task_order *o, const struct seam_task_room *room,
		  size_t rooms, const struct seam_task_load *l, size_t n)
{
	struct fair *f = (struct fair *)o;
	struct seam_conf *c = seam_conf_current(f->conf);
	GHashTable *tasks = count_tasks(l, n);
	GHashTableIter it;
	gpointer v;
	size_t i;

	g_hash_table_remove_all(f->group);
	for (i = 0; i < rooms; i++) {
		struct group *g = group_of(f, room[i].pool);

		g->all = amount(&room[i].all);
		seam_share_capacity(g->share, &g->all);
	}
	for (i = 0; i < n; i++)
		add_load(f, c, &l[i],
			 startable(c, l[i].team,
				   g_hash_table_lookup(tasks, l[i].team)));
	g_hash_table_destroy(tasks);
	g_hash_table_iter_init(&it, f->group);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct group *g = v;

		seam_share_compute(g->share);
		sum_deficit(g);
	}
	seam_conf_drop(c);
}

/* The part of the scarcest resource that is free. */
static double free_part(const struct group *g)
{
	double least = 1;
	int r;

	for (r = 0; r < SEAM_RESOURCES; r++) {
		double f = g->all.of[r] > 0 ?
				   1 - (double)g->busy.of[r] /
						   (double)g->all.of[r] :
				   1;

		least = f < least ? f : least;
	}
	return least;
}

/* The room is no more than others lack that have less for their weight. */
static bool team_yields(const struct place *p)
{
	const struct group *g = p->group;
	const struct sharer *own = p->team;
	double level = used(g, own) / own->weight;
	double room = free_part(g);
	double lacking = 0;
	GHashTableIter it;
	gpointer v;

	if (g->deficit <= 0 || room > g->deficit)
		return false;
	g_hash_table_iter_init(&it, g->team);
	while (g_hash_table_iter_next(&it, NULL, &v))
		if (v != own && next_level(g, v) + TINY < level)
			lacking += deficit_of(g, v);
	return lacking > 0 && room <= lacking;
}

/*
 * The waiting tasks of a workspace may be with another owner, which would
 * always come second where the tasks of this one end.
 */
static bool workspace_yields(const struct place *p)
{
	const struct group *g = p->group;
	const struct sharer *own = p->workspace;
	double level = used(g, own) / own->weight;
	double room = free_part(g);
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, g->workspace);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct sharer *w = v;
		double d;

		if (w == own || !seam_handle_eq(w->team, own->team))
			continue;
		d = deficit_of(g, w);
		if (d > 0 && room <= YIELD_ROOM * d &&
		    next_level(g, w) + TINY < level)
			return true;
	}
	return false;
}

static bool yields(struct seam_task_order *o, const char *team,
		   const char *queue)
{
	struct place p = find(o, team, queue);

	if (p.group->changed)
		sum_deficit(p.group);
	return team_yields(&p) || workspace_yields(&p);
}

static bool team_over(struct group *g, struct seam_task_over *out)
{
	GHashTableIter it;
	gpointer name;
	gpointer v;
	double most = 0;

	if (g->deficit <= 0)
		return false;
	g_hash_table_iter_init(&it, g->team);
	while (g_hash_table_iter_next(&it, &name, &v)) {
		const struct sharer *t = v;
		double by = used(g, t) - entitled(g, t);

		if (by / t->weight <= most)
			continue;
		most = by / t->weight;
		g_strlcpy(out->team, name, sizeof(out->team));
		out->used = used(g, t);
		out->amount = by < g->deficit ? by : g->deficit;
	}
	out->workspace = SEAM_NONE;
	out->want = g->want;
	out->want_part = part(g, &g->want);
	return most > 0 && out->amount + TINY >= out->want_part;
}

/* What the workspaces of a team lack of its share. */
struct lack {
	double sum;
	double worst; /* for its weight */
	struct seam_need want; /* a waiting task of the worst */
};

/* Lacks of teams with such workspaces, by the team's handle. */
static GHashTable *sum_lacks(const struct group *g)
{
	GHashTable *lacks = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, g->workspace);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct sharer *w = v;
		gpointer team = GUINT_TO_POINTER(w->team.bits);
		struct lack *l = g_hash_table_lookup(lacks, team);
		double d = deficit_of(g, w);

		if (d <= 0)
			continue;
		if (!l) {
			l = g_new0(struct lack, 1);
			g_hash_table_insert(lacks, team, l);
		}
		l->sum += d;
		if (d / w->weight > l->worst) {
			l->worst = d / w->weight;
			l->want = w->first;
		}
	}
	return lacks;
}

/* A workspace over its part of its team's share, beside one that is under. */
static bool workspace_over(struct group *g, struct seam_task_over *out)
{
	GHashTable *lacks = sum_lacks(g);
	GHashTableIter it;
	gpointer v;
	double most = 0;

	g_hash_table_iter_init(&it, g->workspace);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct sharer *w = v;
		const struct lack *l = g_hash_table_lookup(
			lacks, GUINT_TO_POINTER(w->team.bits));
		double by = used(g, w) - entitled(g, w);

		if (!l || by / w->weight <= most)
			continue;
		most = by / w->weight;
		out->workspace = w->workspace;
		out->used = used(g, w);
		out->amount = by < l->sum ? by : l->sum;
		out->want = l->want;
		out->want_part = part(g, &l->want);
	}
	g_hash_table_destroy(lacks);
	return most > 0 && out->amount + TINY >= out->want_part;
}

static bool over(struct seam_task_order *o, const char *pool,
		 struct seam_task_over *out)
{
	struct fair *f = (struct fair *)o;
	struct group *g = g_hash_table_lookup(f->group, pool);

	if (!g)
		return false;
	if (g->changed)
		sum_deficit(g);
	return team_over(g, out) || workspace_over(g, out);
}

static bool holds(struct seam_task_order *o, const struct seam_task_over *over,
		  const char *team, const char *queue)
{
	if (over->workspace.bits)
		return seam_handle_eq(find(o, team, queue).workspace->workspace,
				      over->workspace);
	return !strcmp(team, over->team);
}

static void free_order(struct seam_task_order *o)
{
	struct fair *f = (struct fair *)o;

	g_hash_table_destroy(f->group);
	free(f);
}

static const struct seam_task_order_ops ops = {
	.rank = rank,
	.inner = inner,
	.lent = lent,
	.running = running,
	.loads = loads,
	.yields = yields,
	.over = over,
	.holds = holds,
	.free = free_order,
};

struct seam_task_order *seam_task_order_fair(struct seam_conf_cell *conf)
{
	struct fair *f = calloc(1, sizeof(*f));

	if (!f)
		return NULL;
	f->order.ops = &ops;
	f->conf = conf;
	f->group = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 free_group);
	return &f->order;
}
