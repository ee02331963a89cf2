#include "connection/conn_set.h"
#include "base/metrics.h"

#include <pthread.h>
#include <stdlib.h>
#include <sys/socket.h>

/* Idle connections are closed while fewer than one in this many are free. */
#define FREE_DIVISOR 16
/* The first request of a new connection may still be on its way. */
#define FIRST_REQUEST_MAX (200 * SEAM_MSEC)

SEAM_METRIC(evicted, "seam_http_idle_closed_total",
	    "Idle connections that were closed for new ones.");

struct conn {
	int fd;
	bool busy;
	bool served; /* it had a request before */
	bool closing; /* its input was shut down */
	seam_time idle_since;
};

struct seam_conn_set {
	struct seam_clock *clock;
	unsigned max;
	pthread_mutex_t lock;
	struct seam_table *conns;
	size_t closing;
};

struct seam_conn_set *seam_conn_set_new(struct seam_clock *k, unsigned max)
{
	struct seam_conn_set *s = calloc(1, sizeof(*s));

	if (!s)
		return NULL;
	s->clock = k;
	s->max = max;
	s->conns = seam_table_new(sizeof(struct conn));
	pthread_mutex_init(&s->lock, NULL);
	return s;
}

void seam_conn_set_free(struct seam_conn_set *s)
{
	if (!s)
		return;
	seam_table_free(s->conns);
	pthread_mutex_destroy(&s->lock);
	free(s);
}

static bool is_idle(const struct conn *c, seam_time now)
{
	return !c->busy && !c->closing &&
	       (c->served || now >= c->idle_since + FIRST_REQUEST_MAX);
}

/* Closes the longest idle connection if few are free. */
static void make_room(struct seam_conn_set *s)
{
	seam_time now = seam_now(s->clock);
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct conn *found = NULL;
	struct conn *c;

	if (seam_table_count(s->conns) - s->closing <
	    s->max - s->max / FREE_DIVISOR)
		return;
	while ((c = seam_table_next(s->conns, &h)))
		if (is_idle(c, now) &&
		    (!found || c->idle_since < found->idle_since))
			found = c;
	if (!found)
		return;
	found->closing = true;
	s->closing++;
	shutdown(found->fd, SHUT_RD);
	seam_metric_add(&evicted, 1);
}

struct seam_handle seam_conn_set_add(struct seam_conn_set *s, int fd)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct conn *c;

	pthread_mutex_lock(&s->lock);
	make_room(s);
	c = seam_table_add(s->conns, &h);
	if (c) {
		c->fd = fd;
		c->idle_since = seam_now(s->clock);
	}
	pthread_mutex_unlock(&s->lock);
	return h;
}

void seam_conn_set_busy(struct seam_conn_set *s, struct seam_handle h,
			bool busy)
{
	struct conn *c;

	pthread_mutex_lock(&s->lock);
	c = seam_table_get(s->conns, h);
	if (c) {
		c->busy = busy;
		c->served = true;
		c->idle_since = seam_now(s->clock);
	}
	if (!busy)
		make_room(s);
	pthread_mutex_unlock(&s->lock);
}

void seam_conn_set_remove(struct seam_conn_set *s, struct seam_handle h)
{
	struct conn *c;

	pthread_mutex_lock(&s->lock);
	c = seam_table_get(s->conns, h);
	if (c && c->closing)
		s->closing--;
	seam_table_del(s->conns, h);
	pthread_mutex_unlock(&s->lock);
}
