#include "base/metrics.h"
#include "base/log.h"
#include "process/member_impl.h"

#include <stdio.h>
#include <string.h>

#define HEARTBEAT_BYTES 190 /* without loads, with hash and framing */
#define LOAD_ENTRY_OVERHEAD_BYTES 6 /* without the target's id */

SEAM_METRIC(sent_bytes, "seam_peer_sent_bytes_total", "Bytes sent to peers.");
SEAM_METRIC(received, "seam_peer_received_total", "Messages accepted.");
SEAM_METRIC(refused_hash, "seam_peer_refused_damaged_total",
	    "Messages refused: damaged, truncated or of another cluster.");
SEAM_METRIC(refused_old, "seam_peer_refused_old_total",
	    "Messages refused: repeated, out of order, or of an older "
	    "incarnation.");
SEAM_METRIC(refused_unknown, "seam_peer_refused_unknown_total",
	    "Messages refused: sender is not a member.");

/* A load that may be sent in a heartbeat. */
struct load_change {
	struct seam_load load;
	uint32_t change;
	uint64_t seq; /* of the message that last carried it */
};

struct load_changes {
	struct seam_members *m;
	GArray *list; /* struct delta */
};

/* Largest change first; among equals, the one sent longest ago. */
static int by_change(const void *x, const void *y)
{
	const struct load_change *a = x;
	const struct load_change *b = y;

	if (a->change != b->change)
		return a->change > b->change ? -1 : 1;
	if (a->seq != b->seq)
		return a->seq < b->seq ? -1 : 1;
	return strcmp(a->load.target, b->load.target);
}

static void add_change(struct load_changes *d, const char *key, uint32_t now)
{
	const struct sent_load *old =
		g_hash_table_lookup(d->m->sent_loads, key);
	uint32_t previous = old ? old->load : 0;
	struct load_change x = {.load.load = now};

	if (!now && !old)
		return;
	g_strlcpy(x.load.target, key, sizeof(x.load.target));
	x.change = now > previous ? now - previous : previous - now;
	x.seq = old ? old->seq : 0;
	g_array_append_val(d->list, x);
}

static void add_service(void *arg, struct seam_target_service *s)
{
	char key[SEAM_LOAD_KEY_SIZE];

	if (seam_member_service_key(s->name, key))
		add_change(arg, key, (uint32_t)s->own);
}

static GArray *load_changes(struct seam_members *m)
{
	struct seam_table *t = seam_targets_lock(m->node->targets);
	struct load_changes d = {
		m, g_array_new(FALSE, TRUE, sizeof(struct load_change))};
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_target *g;

	while ((g = seam_table_next(t, &h)))
		add_change(&d, g->info.id, (uint32_t)g->outstanding);
	seam_targets_for_each_service(m->node->targets, add_service, &d);
	seam_targets_unlock(m->node->targets);
	g_array_sort(d.list, by_change);
	return d.list;
}

static void record_sent_load(struct seam_members *m, const struct seam_load *l)
{
	struct sent_load *t = g_hash_table_lookup(m->sent_loads, l->target);

	if (!t) {
		t = g_new0(struct sent_load, 1);
		g_hash_table_insert(m->sent_loads, g_strdup(l->target), t);
	}
	t->previous = t->load;
	t->load = l->load;
	t->seq = m->seq;
}

/* Adds as many loads as the byte budget allows, possibly none. */
static void add_loads(struct seam_members *m, struct seam_msg *msg, int peers)
{
	long bytes_left = SEAM_HEARTBEAT_BYTES_PER_SEC / (peers ? peers : 1) -
			  HEARTBEAT_BYTES;
	GArray *list = load_changes(m);
	guint i;

	msg->load = calloc(list->len + 1, sizeof(*msg->load));
	for (i = 0; msg->load && i < list->len && i < SEAM_MSG_LOADS_MAX; i++) {
		const struct load_change *d =
			&g_array_index(list, struct load_change, i);

		bytes_left -= (long)strlen(d->load.target) +
			      LOAD_ENTRY_OVERHEAD_BYTES;
		if (bytes_left < 0)
			break;
		msg->load[msg->loads++] = d->load;
		record_sent_load(m, &d->load);
	}
	g_array_free(list, TRUE);
}

/*
 * The confirmation time is read before the version. "No change above this
 * version was accepted before that time" then still holds if a newer version is
 * adopted in between.
 */
static void add_version(struct seam_members *m, struct seam_msg *msg)
{
	struct seam_budget_state st = seam_store_budget_state(m->node->store);
	struct seam_conf *c;

	msg->confirmed_at =
		__atomic_load_n(&m->node->confirmed_at, __ATOMIC_ACQUIRE);
	c = seam_conf_current(&m->node->conf);
	msg->version = seam_conf_version(c);
	seam_conf_unref(c);
	msg->sent_at = seam_now(m->node->clock);
	msg->store_at = m->store_at > st.last_ok ? m->store_at : st.last_ok;
	msg->unsettled = st.unsettled;
}

void seam_members_send(struct seam_members *m, const char *addr,
		       struct seam_msg *msg)
{
	char *bytes;
	size_t len;

	pthread_mutex_lock(&m->lock);
	snprintf(msg->from, sizeof(msg->from), "%s", m->node->settings.node);
	msg->inc = m->inc;
	msg->seq = ++m->seq;
	add_version(m, msg);
	pthread_mutex_unlock(&m->lock);
	bytes = seam_msg_seal(&m->key, addr, msg, &len);
	if (bytes && m->bus) {
		seam_metric_add(&sent_bytes, (int64_t)len);
		m->bus->ops->send(m->bus, addr, bytes, len);
	}
	free(bytes);
}

void seam_member_send_heartbeats(struct seam_members *m, seam_time now)
{
	struct seam_msg msg = {.kind = SEAM_MSG_HEARTBEAT};
	struct seam_member *b;
	const char **addr;
	size_t n;
	size_t i;

	(void)now;
	if (!m->inc || !m->bus)
		return;
	b = seam_members_copy(m, &n);
	add_loads(m, &msg, (int)n);
	pthread_mutex_lock(&m->lock);
	msg.base = m->hint_no;
	pthread_mutex_unlock(&m->lock);
	addr = calloc(n + 1, sizeof(*addr));
	for (i = 0; addr && i < n; i++) {
		addr[i] = b[i].peer;
		seam_members_send(m, b[i].peer, &msg);
	}
	if (addr)
		m->bus->ops->set_peers(m->bus, addr, n);
	free(addr);
	free(b);
	seam_msg_free(&msg);
}

static void apply_loads(struct seam_member *b, const struct seam_msg *msg)
{
	size_t i;

	if (!b->load)
		b->load = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						NULL);
	for (i = 0; i < msg->loads; i++) {
		const struct seam_load *l = &msg->load[i];

		if (l->load)
			g_hash_table_replace(b->load, g_strdup(l->target),
					     GUINT_TO_POINTER(l->load));
		else
			g_hash_table_remove(b->load, l->target);
	}
}

static void reset_after_restart(struct seam_member *b, seam_time now)
{
	if (b->load)
		g_hash_table_destroy(b->load);
	b->load = NULL;
	b->hint_no = 0;
	b->settled_at = now + SEAM_REQUEST_DURATION_MAX;
}

/* Called with the lock held. Returns false if the message is old. */
static bool accept_message(struct seam_members *m, struct seam_member *b,
			   const struct seam_msg *msg)
{
	seam_time now = seam_now(m->node->clock);

	if (msg->inc < b->inc || msg->inc < b->received_inc ||
	    (msg->inc == b->received_inc && msg->seq <= b->seq))
		return false;
	if (msg->inc > b->received_inc)
		reset_after_restart(b, now);
	if (seam_member_suspected(b, now) ||
	    msg->sent_at - msg->store_at >= SEAM_STORE_UNREACHABLE_AFTER)
		b->settled_at = MAX(b->settled_at, now + SEAM_VIEW_SETTLE_TIME);
	b->received_inc = msg->inc;
	b->seq = msg->seq;
	b->suspect_at = now + SEAM_SUSPECT_TIMEOUT;
	b->last.heard = true;
	b->last.version = msg->version;
	b->last.confirmed_at = msg->confirmed_at;
	b->last.sent_at = msg->sent_at;
	b->last.store_at = msg->store_at;
	b->last.unsettled = msg->unsettled;
	apply_loads(b, msg);
	seam_member_check_hint_number(m, b, msg);
	return true;
}

/*
 * A node that is not registered has no row and may request a snapshot. A
 * snapshot or change may come from a member that is not in this node's table
 * yet because the store is unreachable. The hash authenticates both as part of
 * the cluster.
 */
static bool check_sender(struct seam_members *m, const struct seam_msg *msg)
{
	struct seam_member *b;
	bool ok = true;

	pthread_mutex_lock(&m->lock);
	b = seam_member_find(m, msg->from);
	if (b && msg->inc && !accept_message(m, b, msg)) {
		seam_metric_add(&refused_old, 1);
		ok = false;
	} else if (!b && (msg->kind == SEAM_MSG_HEARTBEAT ||
			  msg->kind == SEAM_MSG_HINT)) {
		seam_metric_add(&refused_unknown, 1);
		m->hint_gaps++;
		ok = false;
	}
	pthread_mutex_unlock(&m->lock);
	return ok;
}

void seam_members_receive(void *arg, const char *bytes, size_t len)
{
	struct seam_members *m = arg;
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_msg msg;

	if (seam_msg_open(&m->key, m->node->settings.peer, bytes, len, &msg,
			  &e)) {
		seam_metric_add(&refused_hash, 1);
		return;
	}
	if (check_sender(m, &msg)) {
		seam_metric_add(&received, 1);
		pthread_mutex_lock(&m->handler_lock);
		if (msg.kind == SEAM_MSG_HINT)
			seam_member_dispatch_hint(m, &msg);
		else if (m->handle && msg.kind != SEAM_MSG_HEARTBEAT)
			m->handle(m->handle_arg, &msg);
		pthread_mutex_unlock(&m->handler_lock);
		seam_members_confirm(m, seam_now(m->node->clock));
	}
	seam_msg_free(&msg);
}

/* Called with the lock held. */
static struct seam_conf_sync_peer *peers(struct seam_members *m, seam_time now,
					 size_t *n)
{
	struct seam_conf_sync_peer *p =
		calloc(seam_table_count(m->table) + 1, sizeof(*p));
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_member *b;

	*n = 0;
	while (p && (b = seam_table_next(m->table, &h))) {
		p[*n] = b->last;
		/* The last report of a suspected member is still valid, but
		 * the member cannot be reached now. */
		p[*n].heard = b->last.heard && !seam_member_suspected(b, now);
		(*n)++;
	}
	return p;
}

void seam_members_confirm(struct seam_members *m, seam_time now)
{
	struct seam_budget_state st = seam_store_budget_state(m->node->store);
	struct seam_conf_sync_state s = {.now = now, .unsettled = st.unsettled};
	struct seam_conf *c = seam_conf_current(&m->node->conf);
	struct seam_conf_sync_peer *p;
	seam_time at;
	size_t i;

	s.version = seam_conf_version(c);
	seam_conf_unref(c);
	s.skew = m->node->settings.clock_skew_ms * SEAM_MSEC;
	pthread_mutex_lock(&m->lock);
	s.store_at = m->store_at > st.last_ok ? m->store_at : st.last_ok;
	s.registered = m->listed && m->inc;
	s.peers_known_until = m->unknown_nodes ? 0 : m->known_until;
	p = peers(m, now, &s.peers);
	pthread_mutex_unlock(&m->lock);
	if (!p)
		return;
	s.peer = p;
	at = seam_conf_confirmed_without_store(&s);
	for (i = 0; i < s.peers; i++) {
		seam_time t =
			seam_conf_confirmed_by_peer(s.version, &p[i], s.skew);

		if (at < t)
			at = t;
	}
	if (at)
		seam_node_confirm(m->node, at < now ? at : now);
	free(p);
}
