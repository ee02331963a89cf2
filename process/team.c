#include "process/team_impl.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DEMAND_WINDOW (5 * SEAM_SEC) /* demand is the peak of two windows */
#define PASS_INTERVAL_MIN (100 * SEAM_MSEC)
#define PASS_PERIOD (500 * SEAM_MSEC)
/* Part of the 10 KB/s that a node may use for control traffic. */
#define READ_BYTES_PER_SEC 3000
#define SWEEP_BYTES_PER_SEC 4000
#define SWEEP_BURST 8000
/* Rows written per second by all nodes together: half of the store's rate. */
#define ROWS_PER_SEC 150
#define ROWS_BURST 64
#define REFILL_MAX (INT64_C(60) * SEAM_SEC)
/* Retention of missing VMs; much longer than the time to reclaim units. */
#define MISSING_VM_RETENTION (INT64_C(3600) * SEAM_SEC)

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
	seam_cond_init(&t->pass_done);
	t->table = seam_table_new(sizeof(struct seam_team_slot));
	t->index = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	t->members =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	t->vm_missing_since =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	t->batch_rows = SEAM_TEAM_COMMIT_ROWS_MAX;
	t->read_tokens = SEAM_TEAM_READ_BURST_BYTES;
	t->sweep_tokens = SWEEP_BURST;
	t->row_bytes_mean = 256;
	t->write_tokens = ROWS_BURST * 1000;
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
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_team_slot *s;

	if (!t)
		return;
	while (t->table && (s = seam_table_next(t->table, &h)))
		free_slot(s);
	seam_table_free(t->table);
	g_hash_table_destroy(t->index);
	g_hash_table_destroy(t->members);
	g_hash_table_destroy(t->vm_missing_since);
	pthread_mutex_destroy(&t->lock);
	pthread_cond_destroy(&t->pass_done);
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
	t->on_demand = fn;
	t->on_demand_arg = arg;
}

void seam_teams_on_change(struct seam_teams *t, seam_team_notify_fn fn,
			  void *arg)
{
	t->on_change = fn;
	t->on_change_arg = arg;
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
	s->decrease_cap = SEAM_TEAM_UNITS_MAX;
	g_hash_table_insert(t->index, g_strdup(name), GUINT_TO_POINTER(h.bits));
	return s;
}

static bool copy_dcs(struct seam_teams *t, const struct seam_team_terms *terms)
{
	char(*dc)[SEAM_TEAM_NAME_SIZE] = calloc(terms->dcs + 1, sizeof(*dc));

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
 * After the limit was lowered nothing starts until the row has been read again,
 * even if the store does not answer: others may have been granted units since
 * the local copy was read.
 */
static void block_until_read(struct seam_team_slot *s)
{
	if (!s->units)
		return;
	s->decrease_cap = 0;
	s->reread_required = true;
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
	s->deleted = false;
	if (lowered)
		block_until_read(s);
}

static void delete_unlisted(struct seam_teams *t, uint64_t conf)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_team_slot *s;

	while ((s = seam_table_next(t->table, &h))) {
		s->terms.dc = (const char(*)[SEAM_TEAM_NAME_SIZE])t->dc;
		s->terms.dcs = t->dcs;
		if (s->terms.conf == conf)
			continue;
		s->terms.limit = 0;
		s->terms.floor = 0;
		s->terms.conf = conf;
		s->deleted = true;
		s->plan_at = 0;
		block_until_read(s);
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
	delete_unlisted(t, conf);
	pthread_mutex_unlock(&t->lock);
}

/* Expires holds, rotates the demand window and applies hints. Called with the
 * lock held. */
static void begin_pass(struct seam_teams *t, seam_time now)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_team_slot *s;
	bool rotate = now >= t->window_at;

	while ((s = seam_table_next(t->table, &h))) {
		seam_slot_expire(s, now);
		if (rotate) {
			s->peak[1] = s->peak[0];
			s->peak[0] = s->running;
		}
		s->refused_since_pass = 0;
		if (s->hinted && s->read_at > now)
			s->read_at = now;
		s->hinted = false;
		if (s->deleted && s->known && !s->row.data && !s->running) {
			g_hash_table_remove(t->index, s->name);
			free_slot(s);
			seam_table_del(t->table, h);
		}
	}
	if (rotate)
		t->window_at = now + DEMAND_WINDOW;
}

static int64_t refill_tokens(int64_t tokens, int64_t us, int64_t rate,
			     int64_t most)
{
	tokens += us * rate / SEAM_SEC;
	return tokens < most ? tokens : most;
}

static void refill_all(struct seam_teams *t, seam_time now)
{
	int64_t us = t->refilled_at ? now - t->refilled_at : 0;
	int64_t nodes = t->nodes > 1 ? t->nodes : 1;

	if (us < 0 || us > REFILL_MAX)
		us = REFILL_MAX;
	t->refilled_at = now;
	t->read_tokens = refill_tokens(t->read_tokens, us, READ_BYTES_PER_SEC,
				       SEAM_TEAM_READ_BURST_BYTES);
	t->sweep_tokens = refill_tokens(t->sweep_tokens, us,
					SWEEP_BYTES_PER_SEC, SWEEP_BURST);
	t->write_tokens += us * ROWS_PER_SEC / nodes / SEAM_MSEC;
	if (t->write_tokens > ROWS_BURST * 1000)
		t->write_tokens = ROWS_BURST * 1000;
}

static gboolean retention_over(gpointer key, gpointer value, gpointer arg)
{
	struct seam_teams *t = arg;
	seam_time missing = *(seam_time *)value;

	(void)key;
	return missing && t->vms_as_of - missing > MISSING_VM_RETENTION;
}

seam_time seam_teams_pass(struct seam_teams *t, seam_time now)
{
	seam_time wait;
	bool more;

	if (!t->self.incarnation)
		return now + PASS_INTERVAL_MIN;
	if (now < t->pass_at)
		return t->pass_at;
	pthread_mutex_lock(&t->lock);
	begin_pass(t, now);
	pthread_mutex_unlock(&t->lock);
	refill_all(t, now);
	g_hash_table_foreach_remove(t->vm_missing_since, retention_over, t);
	seam_teams_read(t, now);
	t->reread = false;
	more = seam_teams_write(t, now);
	if (t->reread) {
		seam_teams_read(t, now);
		more |= seam_teams_write(t, now);
	}
	pthread_mutex_lock(&t->lock);
	pthread_cond_broadcast(&t->pass_done);
	pthread_mutex_unlock(&t->lock);
	wait = more ? PASS_INTERVAL_MIN : PASS_PERIOD;
	t->pass_at = now + PASS_INTERVAL_MIN;
	return now + wait + (seam_time)(seam_teams_random(t) % (uint64_t)wait);
}
