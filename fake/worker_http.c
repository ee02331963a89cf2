#include "fake/http_impl.h"
#include "fake/worker_impl.h"

#include <civetweb.h>
#include <stdlib.h>
#include <string.h>

#define SERVER_THREADS 8

struct seam_fake_worker_http {
	struct seam_fake_workers *workers;
	char id[64];
	struct mg_context *ctx;
	int calls;
};

static void reply(struct mg_connection *conn, struct json_object *o)
{
	const char *body =
		json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN);

	mg_printf(conn,
		  "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
		  "Content-Length: %zu\r\n\r\n%s",
		  strlen(body), body);
	json_object_put(o);
}

static int command_of_path(const char *path)
{
	int i;

	for (i = SEAM_CMD_START; i <= SEAM_CMD_STOP; i++)
		if (!strcmp(path + 1, seam_worker_cmd_name(i)))
			return i;
	return -1;
}

static int on_list(struct seam_fake_worker_http *h, struct mg_connection *conn)
{
	GArray *a =
		g_array_new(FALSE, FALSE, sizeof(struct seam_worker_report));
	struct json_object *o = json_object_new_array();
	guint i;

	seam_fake_workers_tick(h->workers, seam_now(h->workers->clock));
	seam_fake_worker_list(h->workers, h->id, a);
	for (i = 0; i < a->len; i++)
		json_object_array_add(
			o, seam_worker_report_to_json(&g_array_index(
				   a, struct seam_worker_report, i)));
	g_array_free(a, TRUE);
	reply(conn, o);
	return 200;
}

static struct json_object *read_body(struct mg_connection *conn)
{
	char body[32768];
	int n = 0;
	int got;

	while ((got = mg_read(conn, body + n, sizeof(body) - 1 - (size_t)n)) >
	       0)
		n += got;
	body[n] = '\0';
	return json_tokener_parse(body);
}

/* A lost answer: the connection closes before the end of the body. */
static void reply_truncated(struct mg_connection *conn)
{
	mg_disable_connection_keep_alive(conn);
	mg_printf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n"
			"Connection: close\r\n\r\n{");
}

static int on_cmd(struct seam_fake_worker_http *h, struct mg_connection *conn,
		  int cmd_type)
{
	struct json_object *o = read_body(conn);
	struct seam_worker_report r;
	struct seam_worker_cmd c;

	seam_worker_cmd_parse(o, &c);
	c.cmd_type = cmd_type;
	if (seam_fake_worker_exec(h->workers, h->id, &c, &r))
		reply_truncated(conn);
	else
		reply(conn, seam_worker_report_to_json(&r));
	json_object_put(o);
	return 200;
}

static int on_renew_all(struct seam_fake_worker_http *h,
			struct mg_connection *conn)
{
	struct json_object *o = read_body(conn);
	struct json_object *list = json_object_object_get(o, "tasks");
	struct json_object *out = json_object_new_array();
	size_t n = list ? json_object_array_length(list) : 0;
	struct seam_worker_report r;
	struct seam_worker_cmd c;
	bool lost = false;
	size_t i;

	for (i = 0; i < n; i++) {
		seam_worker_cmd_parse(json_object_array_get_idx(list, i), &c);
		c.cmd_type = SEAM_CMD_RENEW;
		if (seam_fake_worker_exec(h->workers, h->id, &c, &r))
			lost = true;
		else
			json_object_array_add(out,
					      seam_worker_report_to_json(&r));
	}
	json_object_put(o);
	if (lost) {
		reply_truncated(conn);
		json_object_put(out);
	} else {
		reply(conn, out);
	}
	return 200;
}

static int on_request(struct mg_connection *conn, void *arg)
{
	struct seam_fake_worker_http *h = arg;
	const struct mg_request_info *ri = mg_get_request_info(conn);
	int cmd_type = command_of_path(ri->local_uri);

	__atomic_add_fetch(&h->calls, 1, __ATOMIC_RELAXED);

	if (cmd_type >= 0)
		return on_cmd(h, conn, cmd_type);
	if (!strcmp(ri->local_uri, "/tasks"))
		return on_list(h, conn);
	if (!strcmp(ri->local_uri, "/renew_all") &&
	    !seam_fake_worker_lacks_renew_all(h->workers, h->id))
		return on_renew_all(h, conn);
	mg_send_http_error(conn, 404, "no such path");
	return 404;
}

struct seam_fake_worker_http *
seam_fake_worker_http_new(struct seam_fake_workers *f, const char *id,
			  const char *addr)
{
	struct seam_fake_worker_http *h = calloc(1, sizeof(*h));

	if (!h)
		return NULL;
	h->workers = f;
	g_strlcpy(h->id, id, sizeof(h->id));
	h->ctx = seam_fake_http_start(addr, SERVER_THREADS, on_request, h);
	if (!h->ctx) {
		free(h);
		return NULL;
	}
	return h;
}

int seam_fake_worker_http_calls(struct seam_fake_worker_http *h)
{
	return __atomic_load_n(&h->calls, __ATOMIC_RELAXED);
}

void seam_fake_worker_http_free(struct seam_fake_worker_http *h)
{
	if (!h)
		return;
	seam_fake_http_stop(h->ctx);
	free(h);
}
