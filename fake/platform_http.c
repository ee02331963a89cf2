#include "base/json.h"
#include "fake/fake.h"
#include "fake/http_impl.h"
#include "process/store_json.h"

#include <civetweb.h>
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define SERVER_THREADS 64
#define REQUEST_TIMEOUT (5 * SEAM_SEC)
#define BODY_MAX (64u << 20)

struct seam_fake_platform_http {
	struct seam_clock *clock;
	struct seam_store *view;
	struct seam_platform *platform;
	struct mg_context *ctx;
	pthread_mutex_t lock;
	struct seam_fake_platform_http_faults faults;
	GHashTable *objects; /* name to text */
};

static char *read_body(struct mg_connection *conn)
{
	GString *body = g_string_new(NULL);
	char part[8192];
	int n;

	while (body->len < BODY_MAX &&
	       (n = mg_read(conn, part, sizeof(part))) > 0)
		g_string_append_len(body, part, n);
	return g_string_free(body, FALSE);
}

static int reply(struct mg_connection *conn, int status, const char *body)
{
	mg_printf(conn,
		  "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
		  "Content-Length: %zu\r\n\r\n",
		  status, mg_get_response_code_text(conn, status),
		  strlen(body));
	mg_write(conn, body, strlen(body));
	return status;
}

static int reply_object(struct mg_connection *conn, struct json_object *o)
{
	reply(conn, 200,
	      json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN));
	json_object_put(o);
	return 200;
}

/* Sends a body that is shorter than its Content-Length. */
static int reply_truncated(struct mg_connection *conn)
{
	mg_printf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n"
			"Connection: close\r\n\r\n{\"ver");
	return 200;
}

static int reply_err(struct mg_connection *conn, const struct seam_err *e)
{
	struct json_object *o = json_object_new_object();
	int status = 503;

	if (e->kind == SEAM_COMMIT_UNKNOWN) {
		json_object_put(o);
		return reply_truncated(conn);
	}
	if (e->kind == SEAM_NOT_FOUND)
		status = 404;
	else if (e->kind == SEAM_CONFLICT)
		status = 409;
	else if (e->kind == SEAM_BAD_REQUEST)
		status = 400;
	else if (e->kind == SEAM_TOO_LARGE)
		status = 413;
	json_object_object_add(o, "error", json_object_new_string(e->text));
	reply(conn, status, json_object_to_json_string(o));
	json_object_put(o);
	return status;
}

static int on_row(struct seam_fake_platform_http *s, struct mg_connection *conn,
		  const char *key, seam_time deadline)
{
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_row row = {.data = NULL};
	struct json_object *o;

	if (seam_store_get(s->view, key, &row, deadline, &e))
		return reply_err(conn, &e);
	o = seam_store_row_to_json(&row);
	seam_row_free(&row);
	return reply_object(conn, o);
}

static int on_scan(struct seam_fake_platform_http *s,
		   struct mg_connection *conn, const char *query,
		   seam_time deadline)
{
	struct seam_err e = SEAM_ERR_INIT;
	char prefix[SEAM_KEY_MAX] = "";
	char after[SEAM_KEY_MAX] = "";
	char max[16] = "1000";
	struct json_object *o;
	struct seam_rows rows;
	size_t n = strlen(query);

	mg_get_var(query, n, "prefix", prefix, sizeof(prefix));
	mg_get_var(query, n, "after", after, sizeof(after));
	mg_get_var(query, n, "max", max, sizeof(max));
	if (seam_store_scan(s->view, prefix, after, strtoul(max, NULL, 10),
			    &rows, deadline, &e))
		return reply_err(conn, &e);
	o = seam_store_rows_to_json(&rows);
	seam_rows_free(&rows);
	return reply_object(conn, o);
}

static int on_commit(struct seam_fake_platform_http *s,
		     struct mg_connection *conn, const char *body,
		     seam_time deadline)
{
	struct seam_err e = SEAM_ERR_INIT;
	struct json_object *o = json_tokener_parse(body);
	struct seam_commit c = {.n = 0};
	char text[64];
	int rc = seam_store_commit_parse(o, &c, &e);

	if (!rc)
		rc = seam_store_commit(s->view, &c, deadline, &e);
	g_free((void *)c.write);
	json_object_put(o);
	if (rc)
		return reply_err(conn, &e);
	snprintf(text, sizeof(text), "{\"version\":%" PRIu64 "}", c.version);
	return reply(conn, 200, text);
}

static int on_object(struct seam_fake_platform_http *s,
		     struct mg_connection *conn, const char *name,
		     const char *new_text)
{
	struct seam_err e = SEAM_ERR_INIT;
	char *found;
	int status;

	pthread_mutex_lock(&s->lock);
	if (new_text)
		g_hash_table_replace(s->objects, g_strdup(name),
				     g_strdup(new_text));
	found = g_strdup(g_hash_table_lookup(s->objects, name));
	pthread_mutex_unlock(&s->lock);
	if (!found) {
		seam_fail(&e, SEAM_NOT_FOUND, "no object %s", name);
		return reply_err(conn, &e);
	}
	status = reply(conn, 200, new_text ? "{}" : found);
	g_free(found);
	return status;
}

static struct json_object *vm_object(const struct seam_vm *vm)
{
	struct json_object *o = json_object_new_object();
	const char *state = vm->state == SEAM_VM_LIVE ? "live" : "leaving";

	json_object_object_add(o, "id", json_object_new_string(vm->id));
	json_object_object_add(o, "data_centre",
			       json_object_new_string(vm->dc));
	json_object_object_add(o, "rack", json_object_new_string(vm->rack));
	json_object_object_add(o, "addr", json_object_new_string(vm->addr));
	json_object_object_add(o, "pool", json_object_new_string(vm->pool));
	json_object_object_add(o, "state", json_object_new_string(state));
	json_object_object_add(o, "cpu_milli",
			       json_object_new_int64(vm->cpu_milli));
	json_object_object_add(o, "memory_mb",
			       json_object_new_int64(vm->memory_mb));
	json_object_object_add(o, "accelerators",
			       json_object_new_int64(vm->accelerators));
	json_object_object_add(o, "boot", json_object_new_int64(vm->boot));
	return o;
}

static void add_change(struct json_object *o, const struct seam_vms *vms,
		       const char *since)
{
	struct json_object *gone = json_object_new_array();
	size_t i;

	for (i = 0; i < vms->gone_n; i++)
		json_object_array_add(gone,
				      json_object_new_string(vms->gone[i]));
	json_object_object_add(o, "since", json_object_new_string(since));
	json_object_object_add(o, "gone", gone);
	json_object_object_add(o, "total",
			       json_object_new_int64((int64_t)vms->total));
}

static int on_vms(struct seam_fake_platform_http *s, struct mg_connection *conn,
		  const char *query, seam_time deadline)
{
	const struct seam_platform_ops *ops = s->platform->ops;
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_vms vms = {.vm = NULL};
	char since[SEAM_CURSOR_MAX] = "";
	struct json_object *o;
	struct json_object *list;
	bool has_cursor = mg_get_var(query, strlen(query), "since", since,
				     sizeof(since)) >= 0;
	size_t i;

	if (has_cursor && ops->changes ?
		    ops->changes(s->platform, since, &vms, deadline, &e) :
		    ops->vms(s->platform, &vms, deadline, &e))
		return reply_err(conn, &e);
	o = json_object_new_object();
	list = json_object_new_array();
	for (i = 0; i < vms.n; i++)
		json_object_array_add(list, vm_object(&vms.vm[i]));
	json_object_object_add(o, "as_of", json_object_new_int64(vms.as_of));
	json_object_object_add(o, "vms", list);
	if (*vms.cursor)
		json_object_object_add(o, "cursor",
				       json_object_new_string(vms.cursor));
	if (vms.change)
		add_change(o, &vms, since);
	seam_vms_free(&vms);
	return reply_object(conn, o);
}

static int on_reboot(struct seam_fake_platform_http *s,
		     struct mg_connection *conn, const char *path,
		     const char *body, seam_time deadline)
{
	struct seam_err e = SEAM_ERR_INIT;
	struct json_object *o = json_tokener_parse(body);
	int64_t boot = seam_json_int(o, "boot", -1);
	char id[64];
	const char *slash = strchr(path, '/');
	int n = slash ? (int)(slash - path) : 0;

	json_object_put(o);
	snprintf(id, sizeof(id), "%.*s", n, path);
	if (s->platform->ops->reboot(s->platform, id, boot, deadline, &e))
		return reply_err(conn, &e);
	return reply(conn, 200, "{}");
}

#define FAULT(name_, kind, max_)                                               \
	{                                                                      \
		.name = #name_, .type = (kind),                                \
		.off = offsetof(struct seam_fake_platform_http_faults, name_), \
		.max = (max_)                                                  \
	}

static const struct seam_json_field fault_fields[] = {
	FAULT(down, SEAM_JSON_BOOL, 0),
	FAULT(delay_ms, SEAM_JSON_INT, 60000),
	FAULT(lose_answers, SEAM_JSON_INT, 1000),
	FAULT(writes_per_sec, SEAM_JSON_INT, 1000000),
	FAULT(reads_per_sec, SEAM_JSON_INT, 1000000),
};

/* Unknown names are refused, so that a misspelt fault is not taken as set. */
static int on_faults(struct seam_fake_platform_http *s,
		     struct mg_connection *conn, const char *body)
{
	struct seam_problems p = {.file = "faults"};
	struct seam_fake_platform_http_faults f = {.down = false};
	struct json_object *o = seam_json_parse(body, &p);
	struct seam_err e = SEAM_ERR_INIT;

	if (o)
		seam_json_decode(o, fault_fields,
				 sizeof(fault_fields) / sizeof(*fault_fields),
				 &f, "", &p);
	json_object_put(o);
	if (p.n)
		seam_problems_to_err(&p, SEAM_BAD_REQUEST, &e);
	else
		seam_fake_platform_http_set_faults(s, &f);
	seam_problems_free(&p);
	return e.kind == SEAM_OK ? reply(conn, 200, "{}") : reply_err(conn, &e);
}

static int dispatch(struct seam_fake_platform_http *s,
		    struct mg_connection *conn, const char *body)
{
	const struct mg_request_info *ri = mg_get_request_info(conn);
	seam_time deadline = seam_now(s->clock) + REQUEST_TIMEOUT;
	const char *path = ri->local_uri;
	const char *query = ri->query_string ? ri->query_string : "";
	bool put = !strcmp(ri->request_method, "PUT");

	if (!strncmp(path, "/rows/", 6))
		return on_row(s, conn, path + 6, deadline);
	if (!strcmp(path, "/rows"))
		return on_scan(s, conn, query, deadline);
	if (!strcmp(path, "/commit"))
		return on_commit(s, conn, body, deadline);
	if (!strncmp(path, "/objects/", 9))
		return on_object(s, conn, path + 9, put ? body : NULL);
	if (!strcmp(path, "/vms"))
		return on_vms(s, conn, query, deadline);
	if (!strncmp(path, "/vms/", 5))
		return on_reboot(s, conn, path + 5, body, deadline);
	return reply(conn, 404, "{\"error\":\"no such path\"}");
}

static int on_request(struct mg_connection *conn, void *arg)
{
	const struct mg_request_info *ri = mg_get_request_info(conn);
	struct seam_fake_platform_http *s = arg;
	struct seam_fake_platform_http_faults f;
	char *body = read_body(conn);
	int status;

	pthread_mutex_lock(&s->lock);
	f = s->faults;
	pthread_mutex_unlock(&s->lock);
	if (!strcmp(ri->local_uri, "/faults")) {
		status = on_faults(s, conn, body);
	} else {
		if (f.delay_ms)
			g_usleep((gulong)f.delay_ms * 1000);
		status = f.down ? reply(conn, 503, "{\"error\":\"down\"}") :
				  dispatch(s, conn, body);
	}
	g_free(body);
	return status;
}

struct seam_fake_platform_http *
seam_fake_platform_http_new(struct seam_clock *k, const char *addr,
			    struct seam_store *mem,
			    struct seam_platform *platform)
{
	struct seam_fake_platform_http *s =
		g_new0(struct seam_fake_platform_http, 1);

	s->clock = k;
	s->view = seam_store_mem_connect(mem);
	s->platform = platform;
	s->objects =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	pthread_mutex_init(&s->lock, NULL);
	s->ctx = seam_fake_http_start(addr, SERVER_THREADS, on_request, s);
	if (s->ctx)
		return s;
	seam_fake_platform_http_free(s);
	return NULL;
}

void seam_fake_platform_http_set_faults(
	struct seam_fake_platform_http *s,
	const struct seam_fake_platform_http_faults *f)
{
	struct seam_store_faults sf = {
		.lose_answers = (int)f->lose_answers,
		.writes_per_sec = (int)f->writes_per_sec,
		.reads_per_sec = (int)f->reads_per_sec,
	};

	pthread_mutex_lock(&s->lock);
	s->faults = *f;
	pthread_mutex_unlock(&s->lock);
	seam_store_mem_set_faults(s->view, &sf);
}

void seam_fake_platform_http_free(struct seam_fake_platform_http *s)
{
	if (!s)
		return;
	if (s->ctx)
		seam_fake_http_stop(s->ctx);
	seam_store_close(s->view);
	g_hash_table_destroy(s->objects);
	pthread_mutex_destroy(&s->lock);
	g_free(s);
}
