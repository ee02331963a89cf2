#include "process/task.h"

#include <glib.h>
#include <stdlib.h>

/* Ranks teams by running CPU divided by their share. */
struct weighted {
	struct seam_task_order order;
	struct seam_conf_cell *conf;
	GHashTable *running; /* team to int64_t, in thousandths of a CPU */
	int64_t total;
};

static int64_t share(struct seam_conf *c, const char *team)
{
	const struct seam_team *t = seam_conf_lookup(c, SEAM_CONF_TEAM, team);

	return t && t->share > 0 ? t->share : 1;
}

static int64_t running_cpu(struct weighted *w, const char *team)
{
	int64_t *n = g_hash_table_lookup(w->running, team);

	return n ? *n : 0;
}

static double rank(struct seam_task_order *o, const char *team,
		   const char *queue, seam_time now)
{
	struct weighted *w = (struct weighted *)o;
	struct seam_conf *c = seam_conf_current(w->conf);
	double r = (double)running_cpu(w, team) / (double)share(c, team);

	(void)queue;
	(void)now;
	seam_conf_unref(c);
	return r;
}

static double lent(struct seam_task_order *o, const char *team,
		   const char *queue, seam_time now)
{
	struct weighted *w = (struct weighted *)o;
	struct seam_conf *c = seam_conf_current(w->conf);
	struct seam_handle h = SEAM_HANDLE_NONE;
	const struct seam_team *t;
	double all = 0;
	double over;

	(void)queue;
	(void)now;
	while ((t = seam_conf_next(c, SEAM_CONF_TEAM, &h)))
		all += (double)(t->share > 0 ? t->share : 1);
	over = (double)running_cpu(w, team) -
	       (double)w->total * (double)share(c, team) / (all > 0 ? all : 1);
	seam_conf_unref(c);
	return over > 0 ? over : 0;
}

static void add_running(struct seam_task_order *o, const char *team,
			const char *queue, const struct seam_need *by)
{
	struct weighted *w = (struct weighted *)o;
	int64_t *n = g_hash_table_lookup(w->running, team);

	(void)queue;
	if (!n) {
		n = g_new0(int64_t, 1);
		g_hash_table_insert(w->running, g_strdup(team), n);
	}
	*n += by->cpu;
	w->total += by->cpu;
}

static void free_order(struct seam_task_order *o)
{
	struct weighted *w = (struct weighted *)o;

	g_hash_table_destroy(w->running);
	free(w);
}

static const struct seam_task_order_ops ops = {
	.rank = rank,
	.lent = lent,
	.running = add_running,
	.free = free_order,
};

struct seam_task_order *seam_task_order_weighted(struct seam_conf_cell *conf)
{
	struct weighted *w = calloc(1, sizeof(*w));

	if (!w)
		return NULL;
	w->order.ops = &ops;
	w->conf = conf;
	w->running =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return &w->order;
}
