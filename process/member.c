#include "base/metrics.h"
#include "base/log.h"
#include "process/member_impl.h"

#include <stdio.h>
#include <string.h>

#define READ_ROWS_INTERVAL (5 * SEAM_SEC)
#define REGISTER_RETRY_INTERVAL (1 * SEAM_SEC)

SEAM_METRIC(members_gauge, "seam_members", "Registered members.");
SEAM_METRIC(suspected_gauge, "seam_members_suspected", "Suspected members.");

struct seam_members *seam_members_new(struct seam_node *n, uint64_t seed)
{
	struct seam_members *m = g_new0(struct seam_members, 1);

	m->owner.ops = seam_member_owner_ops();
	m->node = n;
	m->seed = seed ? seed : 1;
	m->table = seam_table_new(sizeof(struct seam_member));
	m->sent_loads =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	/* Starting at the time keeps the numbers of an unregistered node
	 * increasing over restarts. */
	m->seq = (uint64_t)seam_now(n->clock);
	m->last_pass_at = seam_now(n->clock);
	m->settled_at = m->last_pass_at + SEAM_REQUEST_DURATION_MAX;
	pthread_mutex_init(&m->lock, NULL);
	pthread_mutex_init(&m->handler_lock, NULL);
	seam_msg_key_init(&m->key, n->settings.cluster_key);
	n->owner = &m->owner;
	return m;
}

void seam_members_set_bus(struct seam_members *m, struct seam_bus *b)
{
	m->bus = b;
}

void seam_members_set_handler(struct seam_members *m, seam_member_fn fn,
			      void *arg)
{
	/* No call of the previous handler is in progress once this returns. */
	pthread_mutex_lock(&m->handler_lock);
	m->handle = fn;
	m->handle_arg = arg;
	pthread_mutex_unlock(&m->handler_lock);
}

struct seam_member *seam_member_find(struct seam_members *m, const char *node)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
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

void seam_member_remove(struct seam_members *m, struct seam_handle h)
{
	struct seam_member *b = seam_table_get(m->table, h);

	if (b && b->load)
		g_hash_table_destroy(b->load);
	seam_table_del(m->table, h);
}

/*
 * While this process was paused, deadlines passed before the queued messages
 * could be read. They are extended, so that live members are not suspected.
 */
static void extend_deadlines_after_pause(struct seam_members *m, seam_time now)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_member *b;

	if (now - m->last_pass_at < SEAM_SUSPECT_TIMEOUT)
		return;
	m->settled_at = MAX(m->settled_at, now + SEAM_VIEW_SETTLE_TIME);
	while ((b = seam_table_next(m->table, &h)))
		if (!seam_member_suspected(b, m->last_pass_at))
			b->suspect_at = now + SEAM_SUSPECT_TIMEOUT;
}

static void update_gauges(struct seam_members *m, seam_time now)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_member *b;
	int suspected = 0;

	while ((b = seam_table_next(m->table, &h)))
		suspected += seam_member_suspected(b, now);
	seam_metric_set(&members_gauge,
			(int64_t)seam_table_count(m->table) + 1);
	seam_metric_set(&suspected_gauge, suspected);
}

seam_time seam_members_pass(struct seam_members *m, seam_time now)
{
	seam_time next;

	pthread_mutex_lock(&m->lock);
	extend_deadlines_after_pause(m, now);
	m->last_pass_at = now;
	update_gauges(m, now);
	pthread_mutex_unlock(&m->lock);
	if (!m->inc && now >= m->register_at) {
		seam_member_register(m, now);
		m->register_at =
			now + seam_member_jitter(m, REGISTER_RETRY_INTERVAL);
	}
	if (now >= m->read_rows_at) {
		seam_member_read_rows(m, now);
		m->read_rows_at =
			now + seam_member_jitter(m, READ_ROWS_INTERVAL);
	}
	if (now >= m->heartbeat_at) {
		seam_member_send_heartbeats(m, now);
		seam_member_update_loads(m, now);
		m->heartbeat_at = now + SEAM_HEARTBEAT_INTERVAL;
	}
	seam_member_check_vm_list(m, now);
	seam_members_confirm(m, now);
	seam_store_budget_set_members(m->node->store,
				      seam_members_live_count(m, now));
	next = m->heartbeat_at < m->read_rows_at ? m->heartbeat_at :
						   m->read_rows_at;
	return !m->inc && m->register_at < next ? m->register_at : next;
}

struct seam_member *seam_members_copy(struct seam_members *m, size_t *n)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
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

int seam_members_live_count(struct seam_members *m, seam_time now)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_member *b;
	int live = 1;

	pthread_mutex_lock(&m->lock);
	while ((b = seam_table_next(m->table, &h)))
		live += !seam_member_suspected(b, now);
	pthread_mutex_unlock(&m->lock);
	return live;
}

static bool is_current(const struct seam_member *b, seam_time now)
{
	return b->last.heard && !seam_member_suspected(b, now) &&
	       now >= b->settled_at &&
	       b->last.sent_at - b->last.store_at <
		       SEAM_STORE_UNREACHABLE_AFTER;
}

bool seam_members_all_current(struct seam_members *m, seam_time now)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_member *b;
	bool all;

	pthread_mutex_lock(&m->lock);
	all = now >= m->settled_at && m->listed &&
	      now - m->rows_read_at < SEAM_VIEW_SETTLE_TIME;
	while ((b = seam_table_next(m->table, &h)))
		all = all && is_current(b, now);
	pthread_mutex_unlock(&m->lock);
	return all;
}

void seam_members_record_store_answer(struct seam_members *m, seam_time at)
{
	pthread_mutex_lock(&m->lock);
	if (m->store_at < at)
		m->store_at = at;
	pthread_mutex_unlock(&m->lock);
}

void seam_members_free(struct seam_members *m)
{
	struct seam_handle h = SEAM_HANDLE_NONE;

	if (!m)
		return;
	m->node->owner = seam_owner_all();
	while (seam_table_next(m->table, &h))
		seam_member_remove(m, h);
	seam_table_free(m->table);
	g_hash_table_destroy(m->sent_loads);
	pthread_mutex_destroy(&m->lock);
	pthread_mutex_destroy(&m->handler_lock);
	g_free(m);
}
