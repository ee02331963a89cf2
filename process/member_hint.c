#include "base/metrics.h"
#include "process/member_impl.h"

#include <string.h>

#define TOKENS_PER_HINT 1000 /* lets a fraction of a hint be added */

SEAM_METRIC(sent, "seam_hints_sent_total", "Hints about rows sent to peers.");
SEAM_METRIC(dropped, "seam_hints_dropped_total",
	    "Hints not sent because the rate was used up.");
SEAM_METRIC(missed, "seam_hints_missed_total",
	    "Times that the number told by a peer showed a hint as missed.");
SEAM_METRIC(received, "seam_hints_received_total", "Hints received.");

void seam_members_set_hint_handler(struct seam_members *m, const char *prefix,
				   seam_hint_fn fn, void *arg)
{
	int i;

	pthread_mutex_lock(&m->handler_lock);
	for (i = 0; i < m->handlers; i++)
		if (!strcmp(m->handler[i].prefix, prefix))
			break;
	if (i < SEAM_HINT_HANDLERS)
		m->handler[i] = (struct seam_hint_handler){prefix, fn, arg};
	if (i == m->handlers && i < SEAM_HINT_HANDLERS)
		m->handlers++;
	pthread_mutex_unlock(&m->handler_lock);
}

/* A number above that of the next hint shows that a hint was missed. */
void seam_member_check_hint_number(struct seam_members *m,
				   struct seam_member *b,
				   const struct seam_msg *msg)
{
	uint64_t expected = b->hint_no;

	if (msg->kind != SEAM_MSG_HEARTBEAT && msg->kind != SEAM_MSG_HINT)
		return;
	if (msg->kind == SEAM_MSG_HINT && msg->base)
		expected++;
	if (msg->base <= b->hint_no)
		return;
	b->hint_no = msg->base;
	if (msg->base > expected) {
		m->hint_gaps++;
		seam_metric_add(&missed, 1);
	}
}

uint64_t seam_members_hint_gaps(struct seam_members *m, seam_time now)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_member *b;
	bool heard = true;
	uint64_t gaps;

	pthread_mutex_lock(&m->lock);
	while ((b = seam_table_next(m->table, &h)))
		heard = heard && b->received_inc && b->received_inc >= b->inc &&
			!seam_member_suspected(b, now);
	if (!heard)
		m->hint_gaps++;
	gaps = m->hint_gaps;
	pthread_mutex_unlock(&m->lock);
	return gaps;
}

void seam_member_dispatch_hint(struct seam_members *m,
			       const struct seam_msg *msg)
{
	int i;

	if (!msg->text)
		return;
	seam_metric_add(&received, 1);
	for (i = 0; i < m->handlers; i++) {
		const struct seam_hint_handler *h = &m->handler[i];

		if (h->fn && g_str_has_prefix(msg->text, h->prefix))
			h->fn(h->arg, msg->text);
	}
}

/*
 * Called with the lock held. Takes tokens for @n messages; false if the rate is
 * used up.
 */
static bool take_tokens(struct seam_members *m, int n, seam_time now)
{
	/* The bucket is full after a second. The limit also prevents an
	 * overflow at the first call, where tokens_added_at is 0. */
	seam_time since = MIN(now - m->tokens_added_at, SEAM_SEC);

	if (since > 0) {
		m->hint_tokens +=
			since * SEAM_HINTS_PER_SEC * TOKENS_PER_HINT / SEAM_SEC;
		m->tokens_added_at = now;
	}
	if (m->hint_tokens > SEAM_HINTS_PER_SEC * TOKENS_PER_HINT)
		m->hint_tokens = SEAM_HINTS_PER_SEC * TOKENS_PER_HINT;
	/* With more peers than SEAM_HINTS_PER_SEC the balance is negative. */
	if (m->hint_tokens < TOKENS_PER_HINT)
		return false;
	m->hint_tokens -= (int64_t)n * TOKENS_PER_HINT;
	return true;
}

/*
 * Called with the lock held. Returns the live member that owns @name, or NULL
 * if this node does.
 */
static struct seam_member *find_owner(struct seam_members *m, const char *name,
				      seam_time now)
{
	uint64_t best = seam_member_weight(m->node->settings.node, name);
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_member *owner = NULL;
	struct seam_member *b;

	while ((b = seam_table_next(m->table, &h))) {
		uint64_t w = seam_member_weight(b->node, name);

		if (seam_member_suspected(b, now) || w < best)
			continue;
		best = w;
		owner = b;
	}
	return owner;
}

/* Called with the lock held. Returns the peer addresses; free with g_free(). */
static char (*hint_addresses(struct seam_members *m, const char *name,
			     seam_time now, int *n))[64]
{
	char(*addr)[64] = g_malloc0_n(seam_table_count(m->table) + 1, 64);
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_member *b;

	*n = 0;
	if (name) {
		b = find_owner(m, name, now);
		if (b)
			memcpy(addr[(*n)++], b->peer, 64);
		return addr;
	}
	while ((b = seam_table_next(m->table, &h)))
		if (!seam_member_suspected(b, now))
			memcpy(addr[(*n)++], b->peer, 64);
	return addr;
}

void seam_members_send_hint_to_node(struct seam_members *m, const char *key,
				    const char *node)
{
	struct seam_msg msg = {.kind = SEAM_MSG_HINT};
	seam_time now = seam_now(m->node->clock);
	char addr[64] = "";
	struct seam_member *b;

	pthread_mutex_lock(&m->lock);
	b = seam_member_find(m, node);
	if (b && !seam_member_suspected(b, now)) {
		if (take_tokens(m, 1, now))
			memcpy(addr, b->peer, sizeof(addr));
		else
			seam_metric_add(&dropped, 1);
	}
	pthread_mutex_unlock(&m->lock);
	if (!*addr)
		return;
	msg.text = g_strdup(key);
	seam_members_send(m, addr, &msg);
	seam_metric_add(&sent, 1);
	seam_msg_free(&msg);
}

void seam_members_send_hint(struct seam_members *m, const char *key,
			    const char *name)
{
	struct seam_msg msg = {.kind = SEAM_MSG_HINT};
	seam_time now = seam_now(m->node->clock);
	char(*addr)[64];
	int n;
	int i;

	pthread_mutex_lock(&m->lock);
	/* A hint that is dropped is numbered too, so that peers detect it. */
	if (!name)
		msg.base = ++m->hint_no;
	addr = hint_addresses(m, name, now, &n);
	if (n && !take_tokens(m, n, now)) {
		seam_metric_add(&dropped, n);
		n = 0;
	}
	pthread_mutex_unlock(&m->lock);
	msg.text = g_strdup(key);
	for (i = 0; i < n; i++)
		seam_members_send(m, addr[i], &msg);
	seam_metric_add(&sent, n);
	seam_msg_free(&msg);
	g_free(addr);
}
