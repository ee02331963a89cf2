#include "base/count.h"
#include "base/log.h"
#include "process/member_impl.h"

#include <stdio.h>
#include <string.h>

#define SCAN_PERIOD (5 * SEAM_SEC)
#define REGISTER_RETRY (1 * SEAM_SEC)

SEAM_COUNT(members_gauge, "seam_members", "Registered members.");
SEAM_COUNT(suspected_gauge, "seam_members_suspected", "Suspected members.");

struct seam_members *seam_members_new(struct seam_node *n, uint64_t seed)
{
	struct seam_members *m = g_new0(struct seam_members, 1);

	m->owner.ops = seam_member_owner_ops();
	m->node = n;
	m->seed = seed ? seed : 1;
	m->table = seam_table_new(sizeof(struct seam_member));
	m->told =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	/* Numbers of a process that is not registered grow over restarts. */
	m->seq = (uint64_t)seam_now(n->clock);
	m->passed_at = seam_now(n->clock);
	m->quiet_at = m->passed_at + SEAM_REQUESTS_END;
	pthread_mutex_init(&m->lock, NULL);
	pthread_mutex_init(&m->fn_lock, NULL);
	seam_msg_key_init(&m->key, n->settings.cluster_key);
	n->owner = &m->owner;
	return m;
}

void seam_members_bus(struct seam_members *m, struct seam_bus *b)
{
	m->bus = b;
}

void seam_members_handler(struct seam_members *m, seam_member_fn fn, void *arg)
{
	/* No call of the old handler is in progress once this returns. */
	pthread_mutex_lock(&m->fn_lock);
	m->fn = fn;
	m->arg = arg;
	pthread_mutex_unlock(&m->fn_lock);
}

struct seam_member *seam_member_find(struct seam_members *m, const char *node)
{
	struct seam_handle h = SEAM_NONE;
	struct seam_member *b;

	while ((b = seam_table_next(m->table, &h)))
		if (!strcmp(b->node, node))
			return b;
	return NULL;
}

bool seam_member_suspected(const struct seam_member *b, seam_time now)
{
	return now >= b->suspect_at;
}

seam_time seam_member_jitter(struct seam_members *m, seam_time period)
{
	m->seed = m->seed * 6364136223846793005ull + 1442695040888963407ull;
	return period * 3 / 4 +
	       (seam_time)((m->seed >> 33) % (uint64_t)(period / 2));
}

void seam_member_del(struct seam_members *m, struct seam_handle h)
{
	struct seam_member *b = seam_table_get(m->table, h);

	if (b && b->load)
		g_hash_table_destroy(b->load);
	seam_table_del(m->table, h);
}

/*
 * After a pause of this process all deadlines have passed without a chance to
 * read the messages that wait, so they are set again.
 */
static void after_pause(struct seam_members *m, seam_time now)
{
	struct seam_handle h = SEAM_NONE;
	struct seam_member *b;

	if (now - m->passed_at < SEAM_SUSPECT_AFTER)
		return;
	m->quiet_at = MAX(m->quiet_at, now + SEAM_VIEW_SETTLES);
	while ((b = seam_table_next(m->table, &h)))
		if (!seam_member_suspected(b, m->passed_at))
			b->suspect_at = now + SEAM_SUSPECT_AFTER;
}

static void gauges(struct seam_members *m, seam_time now)
{
	struct seam_handle h = SEAM_NONE;
	struct seam_member *b;
	int suspected = 0;

	while ((b = seam_table_next(m->table, &h)))
		suspected += seam_member_suspected(b, now);
	seam_count_set(&members_gauge, (int64_t)seam_table_count(m->table) + 1);
	seam_count_set(&suspected_gauge, suspected);
}

seam_time seam_members_pass(struct seam_members *m, seam_time now)
{
	seam_time next;

	pthread_mutex_lock(&m->lock);
	after_pause(m, now);
	m->passed_at = now;
	gauges(m, now);
	pthread_mutex_unlock(&m->lock);
	if (!m->inc && now >= m->register_at) {
		seam_member_register(m, now);
		m->register_at = now + seam_member_jitter(m, REGISTER_RETRY);
	}
	if (now >= m->scan_at) {
		seam_member_scan(m, now);
		m->scan_at = now + seam_member_jitter(m, SCAN_PERIOD);
	}
	if (now >= m->beat_at) {
		seam_member_beat(m, now);
		seam_member_loads(m, now);
		m->beat_at = now + SEAM_BEAT_PERIOD;
	}
	seam_member_watch(m, now);
	seam_members_confirm(m, now);
	seam_store_budget_members(m->node->store, seam_members_live(m, now));
	next = m->beat_at < m->scan_at ? m->beat_at : m->scan_at;
	return !m->inc && m->register_at < next ? m->register_at : next;
}

struct seam_member *seam_members_copy(struct seam_members *m, size_t *n)
{
	struct seam_handle h = SEAM_NONE;
	struct seam_member *out;
	struct seam_member *b;

	*n = 0;
	pthread_mutex_lock(&m->lock);
	out = calloc(seam_table_count(m->table) + 1, sizeof(*out));
	while (out && (b = seam_table_next(m->table, &h))) {
		out[*n] = *b;
		out[(*n)++].load = NULL;
	}
	pthread_mutex_unlock(&m->lock);
	return out;
}

uint64_t seam_members_inc(struct seam_members *m)
{
	return __atomic_load_n(&m->inc, __ATOMIC_ACQUIRE);
}

int seam_members_live(struct seam_members *m, seam_time now)
{
	struct seam_handle h = SEAM_NONE;
	struct seam_member *b;
	int live = 1;

	pthread_mutex_lock(&m->lock);
	while ((b = seam_table_next(m->table, &h)))
		live += !seam_member_suspected(b, now);
	pthread_mutex_unlock(&m->lock);
	return live;
}

static bool current(const struct seam_member *b, seam_time now)
{
	return b->last.heard && !seam_member_suspected(b, now) &&
	       now >= b->quiet_at &&
	       b->last.sent_at - b->last.store_at < SEAM_STORE_GONE;
}

bool seam_members_all_current(struct seam_members *m, seam_time now)
{
	struct seam_handle h = SEAM_NONE;
	struct seam_member *b;
	bool all;

	pthread_mutex_lock(&m->lock);
	all = now >= m->quiet_at && m->listed &&
	      now - m->rows_at < SEAM_VIEW_SETTLES;
	while ((b = seam_table_next(m->table, &h)))
		all = all && current(b, now);
	pthread_mutex_unlock(&m->lock);
	return all;
}

void seam_members_store_ok(struct seam_members *m, seam_time at)
{
	pthread_mutex_lock(&m->lock);
	if (m->store_at < at)
		m->store_at = at;
	pthread_mutex_unlock(&m->lock);
}

void seam_members_free(struct seam_members *m)
{
	struct seam_handle h = SEAM_NONE;

	if (!m)
		return;
	m->node->owner = seam_owner_all();
	while (seam_table_next(m->table, &h))
		seam_member_del(m, h);
	seam_table_free(m->table);
	g_hash_table_destroy(m->told);
	pthread_mutex_destroy(&m->lock);
	pthread_mutex_destroy(&m->fn_lock);
	g_free(m);
}
