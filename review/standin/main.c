/*
 * standin serve RECORD STORE_PORT CLOUD_PORT CONFIG MINION...
 * standin submit|states|... (client.c)
 * standin ports N: prints N free ports
 */
#include "standin.h"

#include <arpa/inet.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

static FILE *record_file;
static GMutex record_lock;

int64_t now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

void sleep_ms(int64_t ms)
{
	if (ms > 0)
		g_usleep((gulong)ms * 1000);
}

void record_open(const char *file)
{
	record_file = fopen(file, "a");
	if (!record_file) {
		perror(file);
		exit(2);
	}
	setvbuf(record_file, NULL, _IOLBF, 0);
}

void record(const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	g_mutex_lock(&record_lock);
	fprintf(record_file, "%lld ", (long long)now_ms());
	vfprintf(record_file, fmt, ap);
	fputc('\n', record_file);
	g_mutex_unlock(&record_lock);
	va_end(ap);
}

struct server {
	handler fn;
	void *arg;
};

static enum MHD_Result on_request(void *arg, struct MHD_Connection *conn,
				  const char *path, const char *method,
				  const char *version, const char *data,
				  size_t *n, void **state)
{
	struct server *s = arg;
	struct request *r = *state;

	(void)version;
	if (!r) {
		r = g_new0(struct request, 1);
		r->body = g_string_new(NULL);
		*state = r;
		return MHD_YES;
	}
	if (*n) {
		g_string_append_len(r->body, data, (gssize)*n);
		*n = 0;
		return MHD_YES;
	}
	r->conn = conn;
	r->method = method;
	r->path = path;
	return s->fn(s->arg, r);
}

static void on_completed(void *arg, struct MHD_Connection *conn, void **state,
			 enum MHD_RequestTerminationCode code)
{
	struct request *r = *state;

	(void)arg;
	(void)conn;
	(void)code;
	if (!r)
		return;
	g_string_free(r->body, TRUE);
	g_free(r);
	*state = NULL;
}

void serve(int port, handler fn, void *arg)
{
	struct sockaddr_in a = {.sin_family = AF_INET,
				.sin_port = htons((uint16_t)port)};
	struct server *s = g_new0(struct server, 1);
	struct MHD_Daemon *d;

	s->fn = fn;
	s->arg = arg;
	inet_pton(AF_INET, "127.0.0.1", &a.sin_addr);
	d = MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION |
				     MHD_USE_INTERNAL_POLLING_THREAD |
				     MHD_USE_POLL,
			     0, NULL, NULL, on_request, s, MHD_OPTION_SOCK_ADDR,
			     (struct sockaddr *)&a, MHD_OPTION_NOTIFY_COMPLETED,
			     on_completed, NULL, MHD_OPTION_END);
	if (!d) {
		fprintf(stderr, "standin: cannot listen on port %d\n", port);
		exit(2);
	}
}

enum MHD_Result reply(struct request *r, int status, const char *text)
{
	struct MHD_Response *a = MHD_create_response_from_buffer(
		strlen(text), (void *)text, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result rc;

	MHD_add_response_header(a, "Content-Type", "application/json");
	rc = MHD_queue_response(r->conn, (unsigned)status, a);
	MHD_destroy_response(a);
	return rc;
}

enum MHD_Result reply_json(struct request *r, int status, struct json_object *o)
{
	enum MHD_Result rc =
		reply(r, status,
		      json_object_to_json_string_ext(o,
						     JSON_C_TO_STRING_PLAIN));

	json_object_put(o);
	return rc;
}

const char *param(struct request *r, const char *name)
{
	const char *v = MHD_lookup_connection_value(
		r->conn, MHD_GET_ARGUMENT_KIND, name);

	return v ? v : "";
}

const char *header(struct request *r, const char *name)
{
	return MHD_lookup_connection_value(r->conn, MHD_HEADER_KIND, name);
}

static struct json_object *member(struct json_object *o, const char *name)
{
	struct json_object *v = NULL;

	json_object_object_get_ex(o, name, &v);
	return v;
}

const char *str_of(struct json_object *o, const char *name)
{
	struct json_object *v = member(o, name);

	return v ? json_object_get_string(v) : "";
}

int64_t int_of(struct json_object *o, const char *name)
{
	return json_object_get_int64(member(o, name));
}

void add_str(struct json_object *o, const char *name, const char *value)
{
	json_object_object_add(o, name, json_object_new_string(value));
}

void add_int(struct json_object *o, const char *name, int64_t value)
{
	json_object_object_add(o, name, json_object_new_int64(value));
}

/* All machines stay in their pools: orders for them are refused as busy. */
static enum MHD_Result on_cloud(void *arg, struct request *r)
{
	struct json_object *list;
	struct json_object *o;

	(void)arg;
	sleep_ms(4);
	if (strcmp(r->path, "/machines")) {
		record("cloud path=%s body=%s", r->path, r->body->str);
		return reply(r, 409, "{\"reason\":\"busy\"}");
	}
	list = json_object_new_array();
	minions_list(list);
	o = json_object_new_object();
	json_object_object_add(o, "machines", list);
	json_object_object_add(o, "nextToken", NULL);
	return reply_json(r, 200, o);
}

static int serve_main(int argc, char **argv)
{
	char *text;
	int i;

	if (argc < 6)
		return 2;
	record_open(argv[2]);
	if (!g_file_get_contents(argv[5], &text, NULL, NULL))
		return 2;
	store_init(atoi(argv[3]));
	store_put("op", "config", text);
	for (i = 6; i < argc; i++)
		minion_add(argv[i]);
	serve(atoi(argv[4]), on_cloud, NULL);
	record("serving");
	for (;;)
		pause();
}

static int ports_main(int n)
{
	int fd[64];
	int i;

	for (i = 0; i < n && i < 64; i++) {
		struct sockaddr_in a = {.sin_family = AF_INET};
		socklen_t len = sizeof(a);

		inet_pton(AF_INET, "127.0.0.1", &a.sin_addr);
		fd[i] = socket(AF_INET, SOCK_STREAM, 0);
		if (bind(fd[i], (struct sockaddr *)&a, sizeof(a)) ||
		    getsockname(fd[i], (struct sockaddr *)&a, &len))
			return 2;
		printf("%d ", ntohs(a.sin_port));
	}
	printf("\n");
	return 0;
}

int main(int argc, char **argv)
{
	signal(SIGPIPE, SIG_IGN);
	if (argc >= 2 && !strcmp(argv[1], "serve"))
		return serve_main(argc, argv);
	if (argc == 3 && !strcmp(argv[1], "ports"))
		return ports_main(atoi(argv[2]));
	return client_main(argc, argv);
}
