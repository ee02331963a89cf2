#include "fake/fake.h"
#include "fake/http_impl.h"

#include <civetweb.h>
#include <glib.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define DEFAULT_SLOTS 8

struct seam_fake_target {
	char id[64];
	struct mg_context *ctx;
	pthread_mutex_t lock;
	struct seam_fake_target_faults faults;
	int running;
	int runs;
	GHashTable *runs_by_path; /* path to number of runs */
};

static void sleep_ms(int ms)
{
	struct timespec ts = {ms / 1000, ms % 1000 * 1000000L};

	while (nanosleep(&ts, &ts))
		continue;
}

static void count_run(struct seam_fake_target *t, const char *path)
{
	int n = GPOINTER_TO_INT(g_hash_table_lookup(t->runs_by_path, path));

	t->runs++;
	g_hash_table_replace(t->runs_by_path, g_strdup(path),
			     GINT_TO_POINTER(n + 1));
}

static bool acquire_slot(struct seam_fake_target *t, const char *path,
			 struct seam_fake_target_faults *f)
{
	int slots;
	bool ok;

	pthread_mutex_lock(&t->lock);
	*f = t->faults;
	slots = f->slots ? f->slots : DEFAULT_SLOTS;
	ok = !f->refuse && t->running < slots;
	if (ok) {
		t->running++;
		count_run(t, path);
	}
	pthread_mutex_unlock(&t->lock);
	return ok;
}

static void release_slot(struct seam_fake_target *t)
{
	pthread_mutex_lock(&t->lock);
	t->running--;
	pthread_mutex_unlock(&t->lock);
}

static char *read_body(struct mg_connection *conn)
{
	size_t cap = 1u << 16;
	size_t n = 0;
	char *body = malloc(cap + 1);
	int got;

	while (body && (got = mg_read(conn, body + n, cap - n)) > 0) {
		n += (size_t)got;
		if (n == cap) {
			cap *= 2;
			body = realloc(body, cap + 1);
		}
	}
	if (body)
		body[n] = '\0';
	return body;
}

static void reply(struct mg_connection *conn, int status,
		  const char *extra_headers, const char *body)
{
	mg_printf(conn,
		  "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
		  "Content-Length: %zu\r\n%s\r\n%s",
		  status, mg_get_response_code_text(conn, status), strlen(body),
		  extra_headers, body);
}

static void reply_run(struct seam_fake_target *t, struct mg_connection *conn,
		      int status, const char *body)
{
	const struct mg_request_info *ri = mg_get_request_info(conn);
	struct json_object *o = json_object_new_object();

	json_object_object_add(o, "target", json_object_new_string(t->id));
	json_object_object_add(o, "method",
			       json_object_new_string(ri->request_method));
	json_object_object_add(o, "path",
			       json_object_new_string(ri->local_uri));
	json_object_object_add(o, "body", json_object_new_string(body));
	json_object_object_add(o, "runs",
			       json_object_new_int(seam_fake_target_runs(t)));
	reply(conn, status, "", json_object_to_json_string(o));
	json_object_put(o);
}

static int on_request(struct mg_connection *conn, void *arg)
{
	struct seam_fake_target *t = arg;
	struct seam_fake_target_faults f;
	char *body = read_body(conn);

	if (!acquire_slot(t, mg_get_request_info(conn)->local_uri, &f)) {
		reply(conn, 503, "X-Seam-Run: not_run\r\n",
		      "{\"error\":\"no free slot\"}");
		free(body);
		return 503;
	}
	if (f.delay_ms)
		sleep_ms(f.delay_ms);
	release_slot(t);
	if (f.drop)
		mg_disable_connection_keep_alive(conn);
	if (f.drop)
		mg_printf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n"
				"Connection: close\r\n\r\npart");
	else
		reply_run(t, conn, f.fail ? 500 : 200, body ? body : "");
	free(body);
	return 200;
}

struct seam_fake_target *seam_fake_target_new(const char *id, const char *addr,
					      int threads)
{
	struct seam_fake_target *t = calloc(1, sizeof(*t));

	if (!t)
		return NULL;
	snprintf(t->id, sizeof(t->id), "%s", id);
	pthread_mutex_init(&t->lock, NULL);
	t->runs_by_path =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	t->ctx = seam_fake_http_start(addr, threads, on_request, t);
	if (!t->ctx) {
		g_hash_table_destroy(t->runs_by_path);
		free(t);
		return NULL;
	}
	return t;
}

void seam_fake_target_set_faults(struct seam_fake_target *t,
				 const struct seam_fake_target_faults *f)
{
	pthread_mutex_lock(&t->lock);
	t->faults = *f;
	pthread_mutex_unlock(&t->lock);
}

int seam_fake_target_runs(struct seam_fake_target *t)
{
	int runs;

	pthread_mutex_lock(&t->lock);
	runs = t->runs;
	pthread_mutex_unlock(&t->lock);
	return runs;
}

int seam_fake_target_path_runs(struct seam_fake_target *t, const char *path)
{
	int runs;

	pthread_mutex_lock(&t->lock);
	runs = GPOINTER_TO_INT(g_hash_table_lookup(t->runs_by_path, path));
	pthread_mutex_unlock(&t->lock);
	return runs;
}

void seam_fake_target_free(struct seam_fake_target *t)
{
	if (!t)
		return;
	seam_fake_http_stop(t->ctx);
	g_hash_table_destroy(t->runs_by_path);
	pthread_mutex_destroy(&t->lock);
	free(t);
}
