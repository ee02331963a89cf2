#include "fake/fake.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#define EVENTS_MAX 64
#define REQUEST_MAX 8192

/* A connection or a listening socket. */
struct sock {
	int fd;
	bool is_listener;
	size_t filled;
	char buf[REQUEST_MAX];
	struct sock *next;
};

struct seam_fake_bench_targets {
	int epoll_fd;
	int stop_fd;
	long runs;
	struct sock *held[SEAM_FAKE_HOLD_BATCH];
	int held_count;
	struct sock *sockets;
	pthread_t thread;
};

static struct sock *add(struct seam_fake_bench_targets *l, int fd,
			bool is_listener)
{
	struct sock *s = calloc(1, sizeof(*s));
	struct epoll_event ev = {.events = EPOLLIN, .data.ptr = s};

	if (!s)
		return NULL;
	s->fd = fd;
	s->is_listener = is_listener;
	s->next = l->sockets;
	l->sockets = s;
	epoll_ctl(l->epoll_fd, EPOLL_CTL_ADD, fd, &ev);
	return s;
}

static void accept_all(struct seam_fake_bench_targets *l, struct sock *s)
{
	int one = 1;
	int fd;

	while ((fd = accept4(s->fd, NULL, NULL, SOCK_NONBLOCK)) >= 0) {
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		if (!add(l, fd, false))
			close(fd);
	}
}

/* Length of the first request in the buffer; 0 if it is incomplete. */
static size_t request_length(const struct sock *s)
{
	const char *end = memmem(s->buf, s->filled, "\r\n\r\n", 4);
	const char *at;
	size_t body = 0;
	size_t head;

	if (!end)
		return 0;
	head = (size_t)(end - s->buf) + 4;
	at = memmem(s->buf, head, "Content-Length: ", 16);
	if (at)
		body = strtoul(at + 16, NULL, 10);
	return s->filled >= head + body ? head + body : 0;
}

static bool reply(struct sock *s)
{
	static const char text[] = "HTTP/1.1 200 OK\r\nContent-Type: "
				   "text/plain\r\nContent-Length: 2\r\n\r\nok";

	return write(s->fd, text, sizeof(text) - 1) > 0;
}

/* Answers /hold requests as a batch, so that each needs a connection. */
static bool hold_request(struct seam_fake_bench_targets *l, struct sock *s)
{
	bool ok = true;

	l->held[l->held_count++] = s;
	if (l->held_count < SEAM_FAKE_HOLD_BATCH)
		return true;
	while (l->held_count)
		ok = reply(l->held[--l->held_count]) && ok;
	return ok;
}

static bool serve(struct seam_fake_bench_targets *l, struct sock *s)
{
	ssize_t n = read(s->fd, s->buf + s->filled, sizeof(s->buf) - s->filled);
	size_t len;

	if (n < 0 && errno == EAGAIN)
		return true;
	if (n <= 0)
		return false;
	s->filled += (size_t)n;
	while ((len = request_length(s)) > 0) {
		bool held = !memcmp(s->buf, "GET /hold", 9);

		s->filled -= len;
		memmove(s->buf, s->buf + len, s->filled);
		__atomic_fetch_add(&l->runs, 1, __ATOMIC_RELAXED);
		if (!(held ? hold_request(l, s) : reply(s)))
			return false;
	}
	return s->filled < sizeof(s->buf);
}

static void *event_loop(void *arg)
{
	struct seam_fake_bench_targets *l = arg;
	struct epoll_event ev[EVENTS_MAX];

	for (;;) {
		int n = epoll_wait(l->epoll_fd, ev, EVENTS_MAX, -1);
		int i;

		for (i = 0; i < n; i++) {
			struct sock *s = ev[i].data.ptr;

			if (!s)
				return NULL;
			if (s->is_listener) {
				accept_all(l, s);
			} else if (!serve(l, s)) {
				close(s->fd);
				s->fd = -1;
			}
		}
	}
}

static int listen_on(const char *ip, int port)
{
	struct sockaddr_in a = {.sin_family = AF_INET,
				.sin_port = htons((uint16_t)port)};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	int one = 1;

	inet_pton(AF_INET, ip, &a.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&a, sizeof(a)) || listen(fd, 512)) {
		close(fd);
		return -1;
	}
	return fd;
}

struct seam_fake_bench_targets *seam_fake_bench_targets_new(const char *ip,
							    int port, int n)
{
	struct seam_fake_bench_targets *l = calloc(1, sizeof(*l));
	struct epoll_event ev = {.events = EPOLLIN, .data.ptr = NULL};
	int i;

	if (!l)
		return NULL;
	l->epoll_fd = epoll_create1(0);
	l->stop_fd = eventfd(0, 0);
	epoll_ctl(l->epoll_fd, EPOLL_CTL_ADD, l->stop_fd, &ev);
	for (i = 0; i < n; i++) {
		int fd = listen_on(ip, port + i);

		if (fd >= 0)
			add(l, fd, true);
		else
			fprintf(stderr, "fake: cannot use port %d\n", port + i);
	}
	pthread_create(&l->thread, NULL, event_loop, l);
	return l;
}

long seam_fake_bench_targets_runs(struct seam_fake_bench_targets *l)
{
	return __atomic_load_n(&l->runs, __ATOMIC_RELAXED);
}

void seam_fake_bench_targets_free(struct seam_fake_bench_targets *l)
{
	uint64_t one = 1;

	if (write(l->stop_fd, &one, sizeof(one)) < 0)
		return;
	pthread_join(l->thread, NULL);
	while (l->sockets) {
		struct sock *s = l->sockets;

		l->sockets = s->next;
		if (s->fd >= 0)
			close(s->fd);
		free(s);
	}
	close(l->stop_fd);
	close(l->epoll_fd);
	free(l);
}
