#include "process/share.h"
#include "process/task.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define EPSILON 1e-9 /* smaller differences of shares are rounding errors */
/*
 * A workspace starts no tasks while the free capacity is at most this many
 * times the deficit of another one. With 1, its tasks were started too early
 * when several tasks ended at the same time.
 */
#define YIELD_DEFICIT_FACTOR 4

/* A team, or one of its workspaces, in one pool. */
struct entity {
	struct seam_handle team;
	struct seam_handle workspace;
	double weight;
	struct seam_need waiting_size; /* of one waiting task */
	bool has_waiting;
	struct seam_resources demand; /* only of a workspace */
};

/*
 * Shares in one pool: a team can't use the capacity of other pools. Rebuilt
 * from the loads of the whole fleet; starts and ends in between are added.
 */
struct fair_pool {
	struct seam_share *share;
	struct seam_resources capacity;
	struct seam_resources usage;
	GHashTable *teams; /* name to struct entity */
	GHashTable *workspaces; /* TEAM/WORKSPACE to struct entity */
	double deficit; /* sum of deficit_of() over the teams */
	bool stale; /* the usage has changed since @deficit was computed */
	struct seam_need want; /* a waiting task of the team with the largest
				* deficit for its weight */
};

struct fair {
	struct seam_task_order order;
	struct seam_conf_cell *conf;
	GHashTable *pools; /* name to struct fair_pool */
};

static struct seam_resources amount(const struct seam_need *n)
{
	return (struct seam_resources){{n->cpu, n->mem, n->acc}};
}

static void free_pool(gpointer p)
{
	struct fair_pool *fp = p;

	seam_share_free(fp->share);
	g_hash_table_destroy(fp->teams);
	g_hash_table_destroy(fp->workspaces);
	g_free(fp);
}

static struct fair_pool *pool_of(struct fair *f, const char *pool)
{
	struct fair_pool *fp = g_hash_table_lookup(f->pools, pool);

	if (fp)
		return fp;
	fp = g_new0(struct fair_pool, 1);
	fp->share = seam_share_new();
	fp->teams =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	fp->workspaces =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	/* Larger than any pool; used until the size of the pool is known. */
	fp->capacity = (struct seam_resources){{1 << 30, 1 << 30, 1 << 30}};
	seam_share_capacity(fp->share, &fp->capacity);
	g_hash_table_insert(f->pools, g_strdup(pool), fp);
	return fp;
}

static struct entity *team_of(struct fair_pool *fp, const struct seam_conf *c,
			      const char *name)
{
	const struct seam_team *t;
	struct entity *s = g_hash_table_lookup(fp->teams, name);
	int64_t weight;

	if (s)
		return s;
	t = seam_conf_lookup(c, SEAM_CONF_TEAM, name);
	weight = t && t->share > 0 ? t->share : 1;
	s = g_new0(struct entity, 1);
	s->team = seam_share_team(fp->share, weight);
	s->weight = (double)weight;
	g_hash_table_insert(fp->teams, g_strdup(name), s);
	return s;
}

/* The workspace that a queue of the team names, else a common one of weight 1
 * for all other tasks of the team. */
static struct entity *workspace_of(struct fair_pool *fp,
				   const struct seam_conf *c, const char *team,
				   const struct seam_queue *q)
{
	const char *name = q && !strcmp(q->team, team) ? q->workspace : "";
	const struct seam_workspace *w =
		*name ? seam_conf_lookup(c, SEAM_CONF_WORKSPACE, name) : NULL;
	struct entity *t = team_of(fp, c, team);
	struct entity *s;
	char key[136];

	snprintf(key, sizeof(key), "%s/%s", team, name);
	s = g_hash_table_lookup(fp->workspaces, key);
	if (s)
		return s;
	s = g_new0(struct entity, 1);
	s->team = t->team;
	s->weight = (double)(w && w->share > 0 ? w->share : 1);
	s->workspace =
		seam_share_workspace(fp->share, t->team, (int64_t)s->weight);
	g_hash_table_insert(fp->workspaces, g_strdup(key), s);
	return s;
}

struct account {
	struct fair_pool *pool;
	struct entity *team;
	struct entity *workspace;
};

static struct account find_account(struct seam_task_order *o, const char *team,
				   const char *queue)
{
	struct fair *f = (struct fair *)o;
	struct seam_conf *c = seam_conf_current(f->conf);
	const struct seam_queue *q =
		seam_conf_lookup(c, SEAM_CONF_QUEUE, queue);
	struct account p;

	p.pool = pool_of(f, q ? q->pool : "");
	p.workspace = workspace_of(p.pool, c, team, q);
	p.team = team_of(p.pool, c, team);
	seam_conf_unref(c);
	return p;
}

static double used(const struct fair_pool *fp, const struct entity *s)
{
	return seam_share_used(fp->share, s->team, s->workspace);
}

static double entitled(const struct fair_pool *fp, const struct entity *s)
{
	return seam_share_entitled(fp->share, s->team, s->workspace, NULL);
}

static void add_use(struct fair_pool *fp, const struct entity *workspace,
		    const struct seam_resources *a)
{
	int r;

	for (r = 0; r < SEAM_RESOURCES; r++)
		fp->usage.of[r] += a->of[r];
	seam_share_use(fp->share, workspace->workspace, a, 1);
}

static double rank_team(struct seam_task_order *o, const char *team,
			const char *queue, seam_time now)
{
	struct account p = find_account(o, team, queue);

	(void)now;
	return used(p.pool, p.team) / p.team->weight;
}

static double rank_workspace(struct seam_task_order *o, const char *team,
			     const char *queue)
{
	struct account p = find_account(o, team, queue);

	return used(p.pool, p.workspace) / p.workspace->weight;
}

static double team_excess(struct seam_task_order *o, const char *team,
			  const char *queue, seam_time now)
{
	struct account p = find_account(o, team, queue);
	double over = used(p.pool, p.team) - entitled(p.pool, p.team);

	(void)now;
	return over > EPSILON ? over / p.team->weight : 0;
}

static void add_running(struct seam_task_order *o, const char *team,
			const char *queue, const struct seam_need *by)
{
	struct account p = find_account(o, team, queue);
	struct seam_resources a = amount(by);

	add_use(p.pool, p.workspace, &a);
	p.pool->stale = true;
}

static double dominant_share(const struct fair_pool *fp,
			     const struct seam_need *n)
{
	struct seam_resources a = amount(n);
	double largest = 0;
	int r;

	for (r = 0; r < SEAM_RESOURCES; r++)
		if (fp->capacity.of[r] > 0 &&
		    (double)a.of[r] / (double)fp->capacity.of[r] > largest)
			largest = (double)a.of[r] / (double)fp->capacity.of[r];
	return largest;
}

/* Tasks of a team in all pools. */
struct task_count {
	int64_t running;
	int64_t waiting;
};

static GHashTable *count_tasks(const struct seam_task_load *l, size_t n)
{
	GHashTable *h =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	struct task_count *t;
	size_t i;

	for (i = 0; i < n; i++) {
		t = g_hash_table_lookup(h, l[i].team);
		if (!t) {
			t = g_new0(struct task_count, 1);
			g_hash_table_insert(h, (gpointer)l[i].team, t);
		}
		t->running += l[i].runs;
		t->waiting += l[i].waits;
	}
	return h;
}

/* Fraction of a team's waiting tasks that its upper limit lets start; the
 * others do not count as demand. */
static double startable_fraction(const struct seam_conf *c, const char *team,
				 const struct task_count *have)
{
	const struct seam_team *t = seam_conf_lookup(c, SEAM_CONF_TEAM, team);
	int64_t left = t ? t->limit - have->running : have->waiting;

	if (left <= 0)
		return 0;
	return have->waiting > left ? (double)left / (double)have->waiting : 1;
}

static void add_load(struct fair *f, const struct seam_conf *c,
		     const struct seam_task_load *l, double demand)
{
	const struct seam_queue *q =
		seam_conf_lookup(c, SEAM_CONF_QUEUE, l->queue);
	struct fair_pool *fp = pool_of(f, q ? q->pool : "");
	struct entity *w = workspace_of(fp, c, l->team, q);
	struct entity *t = team_of(fp, c, l->team);
	struct seam_resources have = amount(&l->running);
	struct seam_resources all = amount(&l->waiting);
	struct seam_resources *sum = &w->demand;
	int r;

	for (r = 0; r < SEAM_RESOURCES; r++)
		sum->of[r] +=
			have.of[r] + (int64_t)((double)all.of[r] * demand);
	if (l->waits && demand > 0) {
		t->has_waiting = true;
		t->waiting_size = l->first;
		w->has_waiting = true;
		w->waiting_size = l->first;
	}
	add_use(fp, w, &have);
	seam_share_demand(fp->share, w->workspace, sum);
}

/* Unused part of the share of a team or workspace with waiting tasks; 0 if its
 * next task would exceed the share. */
static double deficit_of(const struct fair_pool *fp, const struct entity *t)
{
	double d = entitled(fp, t) - used(fp, t);

	return t->has_waiting && d + EPSILON >=
					 dominant_share(fp, &t->waiting_size) ?
		       d :
		       0;
}

/* Share in use for the weight, with one more task. */
static double next_relative_use(const struct fair_pool *fp,
				const struct entity *t)
{
	return (used(fp, t) + dominant_share(fp, &t->waiting_size)) / t->weight;
}

static void sum_deficit(struct fair_pool *fp)
{
	GHashTableIter it;
	double largest = 0;
	gpointer v;

	fp->stale = false;
	fp->deficit = 0;
	g_hash_table_iter_init(&it, fp->teams);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct entity *t = v;
		double d = deficit_of(fp, t);

		if (d <= 0)
			continue;
		fp->deficit += d;
		if (d / t->weight <= largest)
			continue;
		largest = d / t->weight;
		fp->want = t->waiting_size;
	}
}

static void set_loads(struct seam_task_order *o,
		      const struct seam_pool_capacity *capacity,
		      size_t capacities, const struct seam_task_load *l,
		      size_t n)
{
	struct fair *f = (struct fair *)o;
	struct seam_conf *c = seam_conf_current(f->conf);
	GHashTable *counts = count_tasks(l, n);
	GHashTableIter it;
	gpointer v;
	size_t i;

	g_hash_table_remove_all(f->pools);
	for (i = 0; i < capacities; i++) {
		struct fair_pool *fp = pool_of(f, capacity[i].pool);

		fp->capacity = amount(&capacity[i].all);
		seam_share_capacity(fp->share, &fp->capacity);
	}
	for (i = 0; i < n; i++)
		add_load(f, c, &l[i],
			 startable_fraction(
				 c, l[i].team,
				 g_hash_table_lookup(counts, l[i].team)));
	g_hash_table_destroy(counts);
	g_hash_table_iter_init(&it, f->pools);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct fair_pool *fp = v;

		seam_share_compute(fp->share);
		sum_deficit(fp);
	}
	seam_conf_unref(c);
}

/* Free fraction of the scarcest resource. */
static double free_fraction(const struct fair_pool *fp)
{
	double lowest = 1;
	int r;

	for (r = 0; r < SEAM_RESOURCES; r++) {
		double f = fp->capacity.of[r] > 0 ?
				   1 - (double)fp->usage.of[r] /
						   (double)fp->capacity.of[r] :
				   1;

		lowest = f < lowest ? f : lowest;
	}
	return lowest;
}

/* Whether the free capacity is at most the deficit of the teams that would
 * still use less for their weight after a start. */
static bool team_yields(const struct account *p)
{
	const struct fair_pool *fp = p->pool;
	const struct entity *own = p->team;
	double own_relative_use = used(fp, own) / own->weight;
	double available = free_fraction(fp);
	double needed = 0;
	GHashTableIter it;
	gpointer v;

	if (fp->deficit <= 0 || available > fp->deficit)
		return false;
	g_hash_table_iter_init(&it, fp->teams);
	while (g_hash_table_iter_next(&it, NULL, &v))
		if (v != own &&
		    next_relative_use(fp, v) + EPSILON < own_relative_use)
			needed += deficit_of(fp, v);
	return needed > 0 && available <= needed;
}

/*
 * Whether tasks of another workspace of the team start first. They may be in
 * buckets of another owner, which reads the free capacity later than the owner
 * of the task that ended.
 */
static bool workspace_yields(const struct account *p)
{
	const struct fair_pool *fp = p->pool;
	const struct entity *own = p->workspace;
	double own_relative_use = used(fp, own) / own->weight;
	double available = free_fraction(fp);
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, fp->workspaces);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct entity *w = v;
		double d;

		if (w == own || !seam_handle_eq(w->team, own->team))
			continue;
		d = deficit_of(fp, w);
		if (d > 0 && available <= YIELD_DEFICIT_FACTOR * d &&
		    next_relative_use(fp, w) + EPSILON < own_relative_use)
			return true;
	}
	return false;
}

/* Whether tasks of other teams, or of other workspaces of the team, start
 * before those of the queue. */
static bool yields(struct seam_task_order *o, const char *team,
		   const char *queue)
{
	struct account p = find_account(o, team, queue);

	if (p.pool->stale)
		sum_deficit(p.pool);
	return team_yields(&p) || workspace_yields(&p);
}

static bool team_over(struct fair_pool *fp, struct seam_task_excess *out)
{
	GHashTableIter it;
	gpointer name;
	gpointer v;
	double largest = 0;

	if (fp->deficit <= 0)
		return false;
	g_hash_table_iter_init(&it, fp->teams);
	while (g_hash_table_iter_next(&it, &name, &v)) {
		const struct entity *t = v;
		double excess = used(fp, t) - entitled(fp, t);

		if (excess / t->weight <= largest)
			continue;
		largest = excess / t->weight;
		g_strlcpy(out->team, name, sizeof(out->team));
		out->used = used(fp, t);
		out->amount = excess < fp->deficit ? excess : fp->deficit;
	}
	out->workspace = SEAM_HANDLE_NONE;
	out->want = fp->want;
	out->want_part = dominant_share(fp, &fp->want);
	return largest > 0 && out->amount + EPSILON >= out->want_part;
}

/* Deficits of the workspaces of a team. */
struct team_deficit {
	double sum;
	double largest; /* divided by the weight of the workspace */
	struct seam_need want; /* a waiting task of that workspace */
};

/* Teams with workspaces below their share: team handle to struct team_deficit.
 */
static GHashTable *sum_workspace_deficits(const struct fair_pool *fp)
{
	GHashTable *deficits = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, fp->workspaces);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct entity *w = v;
		gpointer team = GUINT_TO_POINTER(w->team.bits);
		struct team_deficit *l = g_hash_table_lookup(deficits, team);
		double d = deficit_of(fp, w);

		if (d <= 0)
			continue;
		if (!l) {
			l = g_new0(struct team_deficit, 1);
			g_hash_table_insert(deficits, team, l);
		}
		l->sum += d;
		if (d / w->weight > l->largest) {
			l->largest = d / w->weight;
			l->want = w->waiting_size;
		}
	}
	return deficits;
}

/* Finds a workspace over its share in a team with another one below its share.
 */
static bool workspace_over(struct fair_pool *fp, struct seam_task_excess *out)
{
	GHashTable *deficits = sum_workspace_deficits(fp);
	GHashTableIter it;
	gpointer v;
	double largest = 0;

	g_hash_table_iter_init(&it, fp->workspaces);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct entity *w = v;
		const struct team_deficit *l = g_hash_table_lookup(
			deficits, GUINT_TO_POINTER(w->team.bits));
		double excess = used(fp, w) - entitled(fp, w);

		if (!l || excess / w->weight <= largest)
			continue;
		largest = excess / w->weight;
		out->workspace = w->workspace;
		out->used = used(fp, w);
		out->amount = excess < l->sum ? excess : l->sum;
		out->want = l->want;
		out->want_part = dominant_share(fp, &l->want);
	}
	g_hash_table_destroy(deficits);
	return largest > 0 && out->amount + EPSILON >= out->want_part;
}

static bool find_over(struct seam_task_order *o, const char *pool,
		      struct seam_task_excess *out)
{
	struct fair *f = (struct fair *)o;
	struct fair_pool *fp = g_hash_table_lookup(f->pools, pool);

	if (!fp)
		return false;
	if (fp->stale)
		sum_deficit(fp);
	return team_over(fp, out) || workspace_over(fp, out);
}

static bool is_over(struct seam_task_order *o,
		    const struct seam_task_excess *over, const char *team,
		    const char *queue)
{
	if (over->workspace.bits)
		return seam_handle_eq(
			find_account(o, team, queue).workspace->workspace,
			over->workspace);
	return !strcmp(team, over->team);
}

static void free_order(struct seam_task_order *o)
{
	struct fair *f = (struct fair *)o;

	g_hash_table_destroy(f->pools);
	free(f);
}

static const struct seam_task_order_ops ops = {
	.rank = rank_team,
	.queue_rank = rank_workspace,
	.lent = team_excess,
	.running = add_running,
	.loads = set_loads,
	.yields = yields,
	.over = find_over,
	.reclaims = is_over,
	.free = free_order,
};

struct seam_task_order *seam_task_order_fair(struct seam_conf_cell *conf)
{
	struct fair *f = calloc(1, sizeof(*f));

	if (!f)
		return NULL;
	f->order.ops = &ops;
	f->conf = conf;
	f->pools = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 free_pool);
	return &f->order;
}
