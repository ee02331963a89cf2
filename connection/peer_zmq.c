#include "base/metrics.h"
#include "connection/peer.h"

#include <glib.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <zmq.h>

#define QUEUE_MAX 64 /* messages that wait for one peer */
#define SEND_TIMEOUT_MS 1000 /* older heartbeats are of no use */
#define RECONNECT_MS 100
#define RECONNECT_MAX_MS 1000

SEAM_METRIC(dropped, "seam_peer_queue_dropped_total",
	    "Messages dropped because a peer did not take them.");

/* The link to one peer: its thread owns the DEALER socket. */
struct link {
	struct zmq_bus *bus;
	char addr[64];
	pthread_mutex_t lock;
	pthread_cond_t wake;
	GQueue *queue; /* GBytes */
	bool stop;
	pthread_t thread;
};

struct zmq_bus {
	struct seam_bus bus;
	void *ctx;
	void *router;
	seam_bus_fn fn;
	void *arg;
	pthread_t receiver;
	pthread_mutex_t lock;
	GHashTable *links; /* address to struct link */
	GPtrArray *stopped; /* links to join when the bus is closed */
};

static void set_option(void *s, int option, int value)
{
	zmq_setsockopt(s, option, &value, sizeof(value));
}

static void *connect_dealer(struct link *l)
{
	void *s = zmq_socket(l->bus->ctx, ZMQ_DEALER);
	char url[80];

	if (!s)
		return NULL;
	set_option(s, ZMQ_LINGER, 0);
	set_option(s, ZMQ_IMMEDIATE, 1);
	set_option(s, ZMQ_SNDHWM, QUEUE_MAX);
	set_option(s, ZMQ_SNDTIMEO, SEND_TIMEOUT_MS);
	set_option(s, ZMQ_RECONNECT_IVL, RECONNECT_MS);
	set_option(s, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
	snprintf(url, sizeof(url), "tcp://%s", l->addr);
	zmq_connect(s, url);
	return s;
}

static GBytes *next_message(struct link *l)
{
	GBytes *b;

	pthread_mutex_lock(&l->lock);
	while (!l->stop && !l->queue->length)
		pthread_cond_wait(&l->wake, &l->lock);
	b = l->stop ? NULL : g_queue_pop_head(l->queue);
	pthread_mutex_unlock(&l->lock);
	return b;
}

static void *run_link(void *arg)
{
	struct link *l = arg;
	void *s = connect_dealer(l);
	GBytes *b;

	/* A send waits for a connection until its timeout; then it is lost. */
	while (s && (b = next_message(l))) {
		gsize len;
		const void *bytes = g_bytes_get_data(b, &len);
		int rc = zmq_send(s, bytes, len, 0);

		g_bytes_unref(b);
		if (rc < 0 && zmq_errno() == ETERM)
			break;
	}
	if (s)
		zmq_close(s);
	return NULL;
}

static struct link *open_link(struct zmq_bus *b, const char *addr)
{
	struct link *l = g_new0(struct link, 1);

	l->bus = b;
	g_strlcpy(l->addr, addr, sizeof(l->addr));
	l->queue = g_queue_new();
	pthread_mutex_init(&l->lock, NULL);
	pthread_cond_init(&l->wake, NULL);
	if (!pthread_create(&l->thread, NULL, run_link, l))
		return l;
	g_queue_free(l->queue);
	g_free(l);
	return NULL;
}

static void stop_link(struct link *l)
{
	pthread_mutex_lock(&l->lock);
	l->stop = true;
	pthread_cond_signal(&l->wake);
	pthread_mutex_unlock(&l->lock);
}

static void free_link(struct link *l)
{
	GBytes *b;

	pthread_join(l->thread, NULL);
	while ((b = g_queue_pop_head(l->queue)))
		g_bytes_unref(b);
	g_queue_free(l->queue);
	pthread_mutex_destroy(&l->lock);
	pthread_cond_destroy(&l->wake);
	g_free(l);
}

static void bus_send(struct seam_bus *bus, const char *addr, const char *bytes,
		     size_t len)
{
	struct zmq_bus *b = (struct zmq_bus *)bus;
	struct link *l;

	pthread_mutex_lock(&b->lock);
	l = g_hash_table_lookup(b->links, addr);
	if (!l) {
		l = open_link(b, addr);
		if (l)
			g_hash_table_replace(b->links, l->addr, l);
	}
	if (l) {
		pthread_mutex_lock(&l->lock);
		if (l->queue->length >= QUEUE_MAX) {
			g_bytes_unref(g_queue_pop_head(l->queue));
			seam_metric_add(&dropped, 1);
		}
		g_queue_push_tail(l->queue, g_bytes_new(bytes, len));
		pthread_cond_signal(&l->wake);
		pthread_mutex_unlock(&l->lock);
	}
	pthread_mutex_unlock(&b->lock);
}

static void bus_set_peers(struct seam_bus *bus, const char *const *addr,
			  size_t n)
{
	struct zmq_bus *b = (struct zmq_bus *)bus;
	GHashTableIter it;
	gpointer key;
	gpointer value;

	pthread_mutex_lock(&b->lock);
	g_hash_table_iter_init(&it, b->links);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		size_t i = 0;

		while (i < n && strcmp(addr[i], key))
			i++;
		if (i < n)
			continue;
		stop_link(value);
		g_ptr_array_add(b->stopped, value);
		g_hash_table_iter_remove(&it);
	}
	pthread_mutex_unlock(&b->lock);
}

static void *run_receiver(void *arg)
{
	struct zmq_bus *b = arg;
	bool running = true;

	while (running) {
		zmq_msg_t m;

		zmq_msg_init(&m);
		if (zmq_msg_recv(&m, b->router, 0) < 0)
			running = zmq_errno() != ETERM;
		else if (!zmq_msg_more(&m)) /* skips the identity frame */
			b->fn(b->arg, zmq_msg_data(&m), zmq_msg_size(&m));
		zmq_msg_close(&m);
	}
	zmq_close(b->router);
	return NULL;
}

static void bus_close(struct seam_bus *bus)
{
	struct zmq_bus *b = (struct zmq_bus *)bus;
	GHashTableIter it;
	gpointer value;
	guint i;

	zmq_ctx_shutdown(b->ctx);
	pthread_join(b->receiver, NULL);
	for (i = 0; i < b->stopped->len; i++)
		free_link(g_ptr_array_index(b->stopped, i));
	g_hash_table_iter_init(&it, b->links);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		stop_link(value);
		free_link(value);
	}
	zmq_ctx_term(b->ctx);
	g_hash_table_destroy(b->links);
	g_ptr_array_free(b->stopped, TRUE);
	pthread_mutex_destroy(&b->lock);
	g_free(b);
}

static const struct seam_bus_ops ops = {
	.send = bus_send,
	.set_peers = bus_set_peers,
	.close = bus_close,
};

static int listen_on(struct zmq_bus *b, const char *addr, struct seam_err *e)
{
	int64_t max = SEAM_MSG_BYTES_MAX;
	char url[80];

	b->router = zmq_socket(b->ctx, ZMQ_ROUTER);
	if (!b->router)
		return seam_fail(e, SEAM_NO_MEMORY, NULL);
	set_option(b->router, ZMQ_LINGER, 0);
	zmq_setsockopt(b->router, ZMQ_MAXMSGSIZE, &max, sizeof(max));
	snprintf(url, sizeof(url), "tcp://%s", addr);
	if (!zmq_bind(b->router, url))
		return 0;
	zmq_close(b->router);
	return seam_fail(e, SEAM_UNAVAILABLE,
			 "peer: cannot listen on address %s", addr);
}

struct seam_bus *seam_bus_zmq_new(const char *addr, seam_bus_fn fn, void *arg,
				  struct seam_err *e)
{
	struct zmq_bus *b = g_new0(struct zmq_bus, 1);

	b->bus.ops = &ops;
	b->ctx = zmq_ctx_new();
	b->fn = fn;
	b->arg = arg;
	b->links = g_hash_table_new(g_str_hash, g_str_equal);
	b->stopped = g_ptr_array_new();
	pthread_mutex_init(&b->lock, NULL);
	if (listen_on(b, addr, e)) {
		zmq_ctx_term(b->ctx);
		g_hash_table_destroy(b->links);
		g_ptr_array_free(b->stopped, TRUE);
		g_free(b);
		return NULL;
	}
	pthread_create(&b->receiver, NULL, run_receiver, b);
	return &b->bus;
}
