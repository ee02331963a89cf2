#include "process/pool_impl.h"
#include "base/metrics.h"
#include "base/log.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

SEAM_METRIC(moves_begun, "seam_pool_moves_begun_total",
	    "Moves of a VM to another pool that began.");

/* Number of VMs that are missing in a pool. */
struct shortage {
	const struct seam_pool_conf *pc;
	int64_t missing;
};

static bool is_staying(const struct seam_pool_vm *m)
{
	return m->state != SEAM_MEMBER_FAILED && m->why != SEAM_WHY_LEAVING &&
	       !*m->to && !m->out;
}

static int64_t count_staying(const struct seam_pool_row *r)
{
	int64_t n = 0;
	size_t i;

	for (i = 0; i < r->n; i++)
		n += is_staying(&r->member[i]);
	return n;
}

static int64_t count_incoming(struct seam_pools *ps, const char *pool)
{
	int64_t n = 0;
	guint i;

	for (i = 0; i < ps->moving->len; i++)
		n += !strcmp(
			g_array_index(ps->moving, struct seam_vm_move, i).to,
			pool);
	return n;
}

static bool dc_allowed(const struct seam_pool_conf *pc, const char *dc)
{
	char **d;

	if (!pc->data_centres)
		return true;
	for (d = pc->data_centres; *d; d++)
		if (!strcmp(*d, dc))
			return true;
	return false;
}

static int compare_shortages(const void *a, const void *b)
{
	const struct shortage *x = a;
	const struct shortage *y = b;

	if (x->missing != y->missing)
		return x->missing < y->missing ? 1 : -1;
	return strcmp(x->pc->name, y->pc->name);
}

/* Shortages of the other pools, largest first; the caller frees the array. */
static struct shortage *list_shortages(struct seam_pool_pass_state *w,
				       size_t *n)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	const struct seam_pool_conf *pc;
	struct shortage *out = calloc(
		seam_conf_count(w->conf, SEAM_CONF_POOL) + 1, sizeof(*out));

	*n = 0;
	pthread_mutex_lock(&w->ps->lock);
	while (out && (pc = seam_conf_next(w->conf, SEAM_CONF_POOL, &h))) {
		struct seam_pool *p =
			g_hash_table_lookup(w->ps->pool, pc->name);
		int64_t want = p ? p->row.forecast.want : 0;

		if (!p || pc->kind == SEAM_POOL_SPARE ||
		    !strcmp(pc->name, w->next.name))
			continue;
		want -= count_staying(&p->row) +
			count_incoming(w->ps, pc->name);
		if (want > 0)
			out[(*n)++] = (struct shortage){pc, want};
	}
	pthread_mutex_unlock(&w->ps->lock);
	if (out)
		qsort(out, *n, sizeof(*out), compare_shortages);
	return out;
}

/*
 * The member with the earliest maintenance deadline, because the reboot of a
 * move counts as maintenance.
 */
static struct seam_pool_vm *select_vm(struct seam_pool_pass_state *w,
				      const struct seam_pool_conf *to)
{
	struct seam_pool_vm *best = NULL;
	size_t i;

	for (i = 0; i < w->next.n; i++) {
		struct seam_pool_vm *m = &w->next.member[i];

		if (m->state == SEAM_MEMBER_ACTIVE && dc_allowed(to, m->dc) &&
		    (!best || m->maintain_by < best->maintain_by))
			best = m;
	}
	if (best &&
	    seam_pool_may_drain(&w->next, best, &w->rules) != SEAM_MAY_BEGIN)
		return NULL;
	return best;
}

static int count_outgoing(const struct seam_pool_row *r)
{
	int n = 0;
	size_t i;

	for (i = 0; i < r->n; i++)
		n += *r->member[i].to != '\0';
	return n;
}

static bool begin_move(struct seam_pool_pass_state *w,
		       const struct seam_pool_conf *to)
{
	struct seam_pool_vm *m = select_vm(w, to);

	if (!m || count_outgoing(&w->next) >= w->ps->env.size->moves)
		return false;
	seam_member_drain(m, SEAM_WHY_MOVE, w->now, seam_pool_drain_limit(w));
	memcpy(m->to, to->name, sizeof(m->to));
	snprintf(w->next.note, sizeof(w->next.note), "gave VM %s to pool %s",
		 m->vm, m->to);
	w->changed = true;
	w->began = true;
	seam_metric_add(&moves_begun, 1);
	return true;
}

/* Number of active VMs in the spare pool. */
static int64_t count_spare(struct seam_pool_pass_state *w)
{
	const struct seam_pool_conf *spare = seam_spare_pool_conf(w->conf);
	struct seam_pool *p;
	int64_t n = 0;

	if (!spare || !strcmp(spare->name, w->next.name))
		return 0;
	pthread_mutex_lock(&w->ps->lock);
	p = g_hash_table_lookup(w->ps->pool, spare->name);
	if (p)
		n = seam_pool_count(&p->row).active;
	pthread_mutex_unlock(&w->ps->lock);
	return n;
}

/*
 * Moves up to @surplus VMs to pools with shortages that the spare pool can't
 * cover.
 */
static void move_to_shortages(struct seam_pool_pass_state *w, int64_t surplus)
{
	int64_t covered = count_spare(w);
	size_t n;
	size_t i = 0;
	struct shortage *list = list_shortages(w, &n);

	for (; list && i < n && covered > 0; i++) {
		int64_t covered_here = MIN(list[i].missing, covered);

		list[i].missing -= covered_here;
		covered -= covered_here;
	}
	for (i = 0; list && i < n && surplus > 0;) {
		if (!list[i].missing || !begin_move(w, list[i].pc)) {
			i++;
			continue;
		}
		list[i].missing--;
		surplus--;
	}
	free(list);
}

static void move_to_spare(struct seam_pool_pass_state *w, int64_t surplus)
{
	const struct seam_pool_conf *spare = seam_spare_pool_conf(w->conf);

	while (spare && surplus-- > 0 && begin_move(w, spare))
		continue;
}

static int64_t spare_pool_size(struct seam_pool_pass_state *w)
{
	GArray *f = g_array_new(FALSE, FALSE, sizeof(struct seam_forecast));
	struct seam_pools *ps = w->ps;
	GHashTableIter it;
	gpointer value;
	int64_t want;

	pthread_mutex_lock(&ps->lock);
	g_hash_table_iter_init(&it, ps->pool);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct seam_pool *p = value;

		if (p != w->p && p->row.forecast.at)
			g_array_append_val(f, p->row.forecast);
	}
	pthread_mutex_unlock(&ps->lock);
	want = ps->env.size->ops->spare(
		ps->env.size, (const struct seam_forecast *)f->data, f->len);
	g_array_free(f, TRUE);
	return want;
}

/* The minimum, plus one VM if maintenance is due and can't drain any. */
static int64_t min_size(const struct seam_pool_pass_state *w)
{
	struct seam_pool_counts t = seam_pool_count(&w->next);
	size_t i;

	if (t.active > w->rules.min || w->rules.min >= w->pc->max)
		return w->rules.min;
	for (i = 0; i < w->next.n; i++)
		if (w->now >= seam_wave_due(&w->next.member[i], w->next.n))
			return w->rules.min + 1;
	return w->rules.min;
}

/*
 * Updates the wanted size and returns the size needed now. VMs above the latter
 * may move to pools with a shortage once the surplus has lasted for the time of
 * a move. Without that delay, peaks of some seconds cause moves that end after
 * the peak (10,918 moves in 20 h of the benchmark).
 */
static int64_t update_size(struct seam_pool_pass_state *w, int64_t n)
{
	const struct seam_size_policy *s = w->ps->env.size;
	struct seam_forecast *f = &w->next.forecast;
	double vms;
	int64_t low;

	if (!w->pc) {
		f->want = 0;
		return 0;
	}
	if (w->pc->kind == SEAM_POOL_SPARE) {
		f->want = spare_pool_size(w);
		return 0;
	}
	low = min_size(w);
	if (w->ps->env.demand &&
	    seam_demand_vms(w->ps->env.demand, w->next.name, w->now, &vms))
		seam_forecast_add(f, vms, w->now);
	if (!f->at) {
		f->want = CLAMP(n, low, w->pc->max);
		return f->want;
	}
	seam_size_update(s, f, low, w->pc->max, n, w->now);
	if (f->shrink_at == SEAM_NEVER ||
	    w->now < f->shrink_at -
			     (s->shrink_delay_ms - s->move_ms) * SEAM_MSEC)
		return f->want;
	return CLAMP(s->ops->want(s, f), low, w->pc->max);
}

void seam_pool_resize(struct seam_pool_pass_state *w)
{
	const struct seam_forecast *f = &w->next.forecast;
	int64_t n = count_staying(&w->next);
	int64_t before = w->old.forecast.want;
	int64_t needed_now;

	if (!w->ps->env.size || !w->p->forecast_known)
		return;
	needed_now = update_size(w, n);
	if (f->want != before) {
		snprintf(w->next.note, sizeof(w->next.note),
			 "wants %lld VMs, has %lld: demand %.1f, mean %.1f, "
			 "peak %.1f, burst %.1f",
			 (long long)f->want, (long long)n, f->last, f->mean,
			 f->peak, seam_forecast_burst(f));
		w->changed = true;
	}
	/* The hold time must not delay moves to a pool with a shortage. */
	if (n > needed_now)
		move_to_shortages(w, n - needed_now);
	if (w->pc && w->pc->kind == SEAM_POOL_SPARE)
		return;
	move_to_spare(w, count_staying(&w->next) - f->want);
}
