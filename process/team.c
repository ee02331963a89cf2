#include "process/team_impl.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WINDOW (5 * SEAM_SEC) /* demand is the peak of the last two */
#define PASS_GAP (100 * SEAM_MSEC) /* least time between passes */
#define PASS_PERIOD (500 * SEAM_MSEC)
/* A node's part of the 10 KB/s that it may spend on control. */
#define BYTES_PER_SEC 3000
#define SWEEP_BYTES_PER_SEC 4000
#define SWEEP_BURST 8000
/* Rows written a second for all nodes together: half of the store's rate. */
#define ROWS_PER_SEC 150
#define ROWS_BURST 64
#define REFILL_MAX (INT64_C(60) * SEAM_SEC)
/* Missing VMs are forgotten after this; far above the time to reclaim. */
#define VM_FORGET (INT64_C(3600) * SEAM_SEC)

uint64_t seam_teams_random(struct seam_teams *t)
{
	/* xorshift64* (Vigna 2016). */
	t->random ^= t->random >> 12;
	t->random ^= t->random << 25;
	t->random ^= t->random >> 27;
	return t->random * 0x2545f4914f6cdd1dull >> 32;
}

void seam_teams_register(struct seam_teams *t, int64_t incarnation)
{
	if (!incarnation || t->self.incarnation)
		return;
	t->self.incarnation = incarnation;
	snprintf(t->grant.holder, sizeof(t->grant.holder), "node:%s#%" PRId64,
		 t->self.node, incarnation);
}

struct seam_teams *seam_teams_new(const struct seam_teams_self *self)
{
	struct seam_teams *t = calloc(1, sizeof(*t));

	if (!t)
		return NULL;
	t->admit.ops = &seam_teams_admit_ops;
	t->self = *self;
	t->random = self->seed ? self->seed : 1;
	t->self.incarnation = 0;
	seam_teams_register(t, self->incarnation);
	memcpy(t->grant.dc, self->dc, sizeof(t->grant.dc));
	memcpy(t->grant.vm, self->vm, sizeof(t->grant.vm));
	pthread_mutex_init(&t->lock, NULL);
	seam_cond_init(&t->granted);
	t->table = seam_table_new(sizeof(struct seam_team_slot));
	t->index = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	t->member =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	t->vm = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	t->batch = SEAM_TEAM_ROWS_MAX;
	t->bytes = SEAM_TEAM_BYTES_BURST;
	t->sweep_bytes = SWEEP_BURST;
	t->row_bytes = 256;
	t->rows = ROWS_BURST * 1000;
	t->nodes = 1;
	if (t->table)
		return t;
	seam_teams_free(t);
	return NULL;
}

struct seam_team_slot *seam_teams_next(struct seam_teams *t,
				       struct seam_handle *h)
{
	struct seam_team_slot *s = seam_table_next(t->table, h);

	return s ? s : seam_table_next(t->table, h);
}

static void free_slot(struct seam_team_slot *s)
{
	seam_row_free(&s->row);
	free(s->hold);
}

void seam_teams_free(struct seam_teams *t)
{
	struct seam_handle h = SEAM_NONE;
	struct seam_team_slot *s;

	if (!t)
		return;
	while (t->table && (s = seam_table_next(t->table, &h)))
		free_slot(s);
	seam_table_free(t->table);
	g_hash_table_destroy(t->index);
	g_hash_table_destroy(t->member);
	g_hash_table_destroy(t->vm);
	pthread_mutex_destroy(&t->lock);
	pthread_cond_destroy(&t->granted);
	free(t->dc);
	free(t);
}

struct seam_admit *seam_teams_admit(struct seam_teams *t)
{
	return &t->admit;
}

void seam_teams_on_demand(struct seam_teams *t, void (*fn)(void *arg),
			  void *arg)
{
	t->demand = fn;
	t->demand_arg = arg;
}

void seam_teams_on_want(struct seam_teams *t, seam_team_tell_fn fn, void *arg)
{
	t->want = fn;
	t->want_arg = arg;
}

void seam_teams_hint(struct seam_teams *t, const char *team)
{
	struct seam_team_slot *s;

	pthread_mutex_lock(&t->lock);
	s = seam_teams_slot(t, team);
	if (s)
		s->hinted = true;
	pthread_mutex_unlock(&t->lock);
}

static struct seam_team_slot *add_slot(struct seam_teams *t, const char *name)
{
	struct seam_handle h;
	struct seam_team_slot *s = seam_table_add(t->table, &h);

	if (!s)
		return NULL;
	snprintf(s->name, sizeof(s->name), "%s", name);
	s->lower = SEAM_TEAM_UNITS_MAX;
	g_hash_table_insert(t->index, g_strdup(name), GUINT_TO_POINTER(h.bits));
	return s;
}

static bool copy_dcs(struct seam_teams *t, const struct seam_team_terms *terms)
{
	char(*dc)[SEAM_TEAM_NAME] = calloc(terms->dcs + 1, sizeof(*dc));

	if (!dc)
		return false;
	if (terms->dcs)
		memcpy(dc, terms->dc, terms->dcs * sizeof(*dc));
	free(t->dc);
	t->dc = dc;
	t->dcs = terms->dcs;
	return true;
}

/*
 * Under a lowered limit nothing starts until the row was read again, even if
 * the store does not answer: the copy here may be older than units that others
 * were granted since.
 */
static void stop_until_read(struct seam_team_slot *s)
{
	if (!s->units)
		return;
	s->lower = 0;
	s->unread = true;
	s->cap = seam_slot_safe_cap(s);
	s->read_at = 0;
}

static void set_terms(struct seam_team_slot *s,
		      const struct seam_team_terms *terms)
{
	bool lowered = terms->limit < s->terms.limit;

	if (s->terms.conf != terms->conf)
		s->plan_at = 0;
	s->terms = *terms;
	s->gone = false;
	if (lowered)
		stop_until_read(s);
}

static void mark_gone(struct seam_teams *t, uint64_t conf)
{
	struct seam_handle h = SEAM_NONE;
	struct seam_team_slot *s;

	while ((s = seam_table_next(t->table, &h))) {
		s->terms.dc = (const char(*)[SEAM_TEAM_NAME])t->dc;
		s->terms.dcs = t->dcs;
		if (s->terms.conf == conf)
			continue;
		s->terms.limit = 0;
		s->terms.floor = 0;
		s->terms.conf = conf;
		s->gone = true;
		s->plan_at = 0;
		stop_until_read(s);
	}
}

void seam_teams_configure(struct seam_teams *t, uint64_t conf,
			  const struct seam_team_terms *terms, size_t n)
{
	size_t i;

	pthread_mutex_lock(&t->lock);
	for (i = 0; i < n; i++) {
		struct seam_team_slot *s = seam_teams_slot(t, terms[i].name);

		if (!i && !copy_dcs(t, terms))
			break;
		if (!s)
			s = add_slot(t, terms[i].name);
		if (s)
			set_terms(s, &terms[i]);
	}
	mark_gone(t, conf);
	pthread_mutex_unlock(&t->lock);
}

/* Under the lock: ends holds, moves the window of demand, takes hints. */
static void begin_pass(struct seam_teams *t, seam_time now)
{
	struct seam_handle h = SEAM_NONE;
	struct seam_team_slot *s;
	bool roll = now >= t->window_at;

	while ((s = seam_table_next(t->table, &h))) {
		seam_slot_expire(s, now);
		if (roll) {
			s->peak[1] = s->peak[0];
			s->peak[0] = s->running;
		}
		s->burst = 0;
		if (s->hinted && s->read_at > now)
			s->read_at = now;
		s->hinted = false;
		if (s->gone && s->known && !s->row.data && !s->running) {
			g_hash_table_remove(t->index, s->name);
			free_slot(s);
			seam_table_del(t->table, h);
		}
	}
	if (roll)
		t->window_at = now + WINDOW;
}

static int64_t grow(int64_t have, int64_t us, int64_t rate, int64_t most)
{
	have += us * rate / SEAM_SEC;
	return have < most ? have : most;
}

static void refill(struct seam_teams *t, seam_time now)
{
	int64_t us = t->tokens_at ? now - t->tokens_at : 0;
	int64_t nodes = t->nodes > 1 ? t->nodes : 1;

	if (us < 0 || us > REFILL_MAX)
		us = REFILL_MAX;
	t->tokens_at = now;
	t->bytes = grow(t->bytes, us, BYTES_PER_SEC, SEAM_TEAM_BYTES_BURST);
	t->sweep_bytes =
		grow(t->sweep_bytes, us, SWEEP_BYTES_PER_SEC, SWEEP_BURST);
	t->rows += us * ROWS_PER_SEC / nodes / SEAM_MSEC;
	if (t->rows > ROWS_BURST * 1000)
		t->rows = ROWS_BURST * 1000;
}

static gboolean forgotten(gpointer key, gpointer value, gpointer arg)
{
	struct seam_teams *t = arg;
	seam_time missing = *(seam_time *)value;

	(void)key;
	return missing && t->vms_as_of - missing > VM_FORGET;
}

seam_time seam_teams_pass(struct seam_teams *t, seam_time now)
{
	seam_time wait;
	bool more;

	if (!t->self.incarnation)
		return now + PASS_GAP;
	if (now < t->pass_at)
		return t->pass_at;
	pthread_mutex_lock(&t->lock);
	begin_pass(t, now);
	pthread_mutex_unlock(&t->lock);
	refill(t, now);
	g_hash_table_foreach_remove(t->vm, forgotten, t);
	seam_teams_read(t, now);
	t->stale = false;
	more = seam_teams_write(t, now);
	if (t->stale) {
		seam_teams_read(t, now);
		more |= seam_teams_write(t, now);
	}
	pthread_mutex_lock(&t->lock);
	pthread_cond_broadcast(&t->granted);
	pthread_mutex_unlock(&t->lock);
	wait = more ? PASS_GAP : PASS_PERIOD;
	t->pass_at = now + PASS_GAP;
	return now + wait + (seam_time)(seam_teams_random(t) % (uint64_t)wait);
}
