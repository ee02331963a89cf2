/* In-process network for tests and benches. */
#include "connection/peer.h"

#include <glib.h>
#include <string.h>

struct hub_bus {
	struct seam_bus bus;
	struct seam_hub *hub;
	char addr[64];
	seam_bus_fn fn;
	void *arg;
	uint64_t bytes;
	bool paused;
	GHashTable *cut; /* addresses to which messages are dropped */
};

struct packet {
	char to[64];
	GBytes *bytes;
};

struct seam_hub {
	uint64_t seed;
	struct seam_hub_faults faults;
	GPtrArray *nodes; /* struct hub_bus */
	GQueue *queue; /* struct packet */
};

static uint64_t next_random(struct seam_hub *h)
{
	h->seed ^= h->seed >> 12;
	h->seed ^= h->seed << 25;
	h->seed ^= h->seed >> 27;
	return h->seed * 0x2545f4914f6cdd1dull;
}

static bool random_fault(struct seam_hub *h, int per_mille)
{
	return next_random(h) % 1000 < (uint64_t)per_mille;
}

static struct hub_bus *find(struct seam_hub *h, const char *addr)
{
	guint i;

	for (i = 0; i < h->nodes->len; i++) {
		struct hub_bus *b = g_ptr_array_index(h->nodes, i);

		if (!strcmp(b->addr, addr))
			return b;
	}
	return NULL;
}

static GBytes *damaged_copy(struct seam_hub *h, const char *bytes, size_t len)
{
	char *copy = g_memdup2(bytes, len);

	if (next_random(h) % 2)
		len = next_random(h) % len;
	else
		copy[next_random(h) % len] ^= 0x20;
	return g_bytes_new_take(copy, len);
}

static void enqueue(struct seam_hub *h, const char *to, GBytes *bytes)
{
	struct packet *p = g_new0(struct packet, 1);

	g_strlcpy(p->to, to, sizeof(p->to));
	p->bytes = bytes;
	g_queue_push_tail(h->queue, p);
	if (h->queue->length > 1 && random_fault(h, h->faults.reorder)) {
		guint at = (guint)(next_random(h) % h->queue->length);

		g_queue_push_nth(h->queue, g_queue_pop_tail(h->queue),
				 (gint)at);
	}
}

static void hub_send(struct seam_bus *bus, const char *addr, const char *bytes,
		     size_t len)
{
	struct hub_bus *b = (struct hub_bus *)bus;
	struct seam_hub *h = b->hub;

	b->bytes += len;
	if (random_fault(h, h->faults.drop))
		return;
	if (random_fault(h, h->faults.damage))
		enqueue(h, addr, damaged_copy(h, bytes, len));
	else
		enqueue(h, addr, g_bytes_new(bytes, len));
	if (g_hash_table_contains(b->cut, addr)) {
		struct packet *p = g_queue_pop_tail(h->queue);

		g_bytes_unref(p->bytes);
		g_free(p);
	} else if (random_fault(h, h->faults.repeat)) {
		enqueue(h, addr, g_bytes_new(bytes, len));
	}
}

static void hub_set_peers(struct seam_bus *bus, const char *const *addr,
			  size_t n)
{
	(void)bus;
	(void)addr;
	(void)n;
}

static void hub_close(struct seam_bus *bus)
{
	struct hub_bus *b = (struct hub_bus *)bus;

	g_ptr_array_remove(b->hub->nodes, b);
	g_hash_table_destroy(b->cut);
	g_free(b);
}

static const struct seam_bus_ops ops = {
	.send = hub_send,
	.set_peers = hub_set_peers,
	.close = hub_close,
};

struct seam_hub *seam_hub_new(uint64_t seed)
{
	struct seam_hub *h = g_new0(struct seam_hub, 1);

	h->seed = seed ? seed : 1;
	h->nodes = g_ptr_array_new();
	h->queue = g_queue_new();
	return h;
}

struct seam_bus *seam_hub_join(struct seam_hub *h, const char *addr,
			       seam_bus_fn fn, void *arg)
{
	struct hub_bus *b = g_new0(struct hub_bus, 1);

	b->bus.ops = &ops;
	b->hub = h;
	b->fn = fn;
	b->arg = arg;
	b->cut = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_strlcpy(b->addr, addr, sizeof(b->addr));
	g_ptr_array_add(h->nodes, b);
	return &b->bus;
}

void seam_hub_faults(struct seam_hub *h, const struct seam_hub_faults *f)
{
	h->faults = *f;
}

void seam_hub_partition(struct seam_hub *h, const char *a, const char *b,
			bool cut)
{
	struct hub_bus *from = find(h, a);

	if (from && cut)
		g_hash_table_add(from->cut, g_strdup(b));
	else if (from)
		g_hash_table_remove(from->cut, b);
}

void seam_hub_pause(struct seam_hub *h, const char *addr, bool pause)
{
	struct hub_bus *b = find(h, addr);

	if (b)
		b->paused = pause;
}

static bool is_paused(struct seam_hub *h, const char *addr)
{
	struct hub_bus *b = find(h, addr);

	return b && b->paused;
}

static void deliver(struct seam_hub *h, const struct packet *p)
{
	struct hub_bus *b = find(h, p->to);
	gsize len;
	const char *bytes = g_bytes_get_data(p->bytes, &len);

	if (b)
		b->fn(b->arg, bytes, len);
}

void seam_hub_deliver(struct seam_hub *h)
{
	GQueue *delayed = g_queue_new();
	struct packet *p;

	while ((p = g_queue_pop_head(h->queue))) {
		if (is_paused(h, p->to)) {
			g_queue_push_tail(delayed, p);
			continue;
		}
		deliver(h, p);
		g_bytes_unref(p->bytes);
		g_free(p);
	}
	g_queue_free(h->queue);
	h->queue = delayed;
}

uint64_t seam_hub_bytes(struct seam_hub *h, const char *addr)
{
	struct hub_bus *b = find(h, addr);

	return b ? b->bytes : 0;
}

void seam_hub_free(struct seam_hub *h)
{
	struct packet *p;

	while ((p = g_queue_pop_head(h->queue))) {
		g_bytes_unref(p->bytes);
		g_free(p);
	}
	g_queue_free(h->queue);
	g_ptr_array_free(h->nodes, TRUE);
	g_free(h);
}
