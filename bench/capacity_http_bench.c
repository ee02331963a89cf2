/*
 * Linear cost models for docs/CAPACITY.md: HTTP calls on loopback to the fakes.
 * usage: capacity_http_bench [store|worker|links]
 * CPU time is that of the calling thread; the fakes run in other threads. HTTP
 * sizes are those of bodies, without headers.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "bench/measure.h"
#include "fake/fake.h"

#define START ((seam_time)1000000 * SEAM_SEC)
#define DCS 16
#define SERVER "127.0.0.1:24810"
#define WORKER "127.0.0.1:24811"
#define UNUSED_ADDRESS "127.0.0.1:24812" /* no listener */
#define CHANGES 200

#include "bench/capacity_http.h"

/* ---- the platform over HTTP ---- */

static struct seam_store *mem;
static struct seam_fake_platform *vms;

static void time_get(struct seam_store *s, int bytes, struct fit *f)
{
	char *data = g_strnfill((gsize)bytes, 'x');
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_row row;
	int64_t at;
	double us;
	int i;

	put_row(mem, "get/row", data);
	at = cpu_ns();
	for (i = 0; i < CHANGES; i++) {
		if (seam_store_get(s, "get/row", &row, call_deadline(), &e))
			abort();
		seam_row_free(&row);
	}
	us = since_us(at, CHANGES);
	printf("get %6d bytes: %8.1f us, body %zu bytes\n", bytes, us,
	       body_bytes("/rows/get%2Frow"));
	fit_add(f, bytes, us);
	g_free(data);
}

static void time_scan(struct seam_store *s, const char *prefix, int rows,
		      struct fit *f, struct fit *wire)
{
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_rows out;
	char path[80];
	int64_t at;
	double us;
	size_t len;
	int i;

	at = cpu_ns();
	for (i = 0; i < 20; i++) {
		if (seam_store_scan(s, prefix, "", (size_t)rows, &out,
				    call_deadline(), &e) ||
		    out.n != (size_t)rows)
			abort();
		seam_rows_free(&out);
	}
	us = since_us(at, 20);
	snprintf(path, sizeof(path),
		 "/rows?prefix=%.*s%%2F&max=%d&after=", (int)strlen(prefix) - 1,
		 prefix, rows);
	len = body_bytes(path);
	printf("scan %s %5d rows: %8.1f us, body %zu bytes\n", prefix, rows, us,
	       len);
	fit_add(f, rows, us);
	fit_add(wire, rows, (double)len);
}

static void time_commit(struct seam_store *s, int rows, struct fit *f)
{
	struct seam_write w[64];
	struct seam_commit c = {.write = w, .n = (size_t)rows, .token = 1};
	struct seam_err e = SEAM_ERR_INIT;
	char key[64][32];
	char *data = g_strnfill(300, 'x');
	int64_t at;
	double us;
	int i;

	for (i = 0; i < rows; i++) {
		snprintf(key[i], sizeof(key[i]), "commit/%d", i);
		w[i] = (struct seam_write){SEAM_PUT, key[i], SEAM_ANY_VERSION,
					   data, 300};
	}
	at = cpu_ns();
	for (i = 0; i < CHANGES; i++)
		if (seam_store_commit(s, &c, call_deadline(), &e))
			abort();
	us = since_us(at, CHANGES);
	printf("commit %4d rows of 300 bytes: %8.1f us\n", rows, us);
	fit_add(f, rows, us);
	g_free(data);
}

static void bench_store(void)
{
	static const int bytes[] = {100, 1000, 10000, 100000};
	static const int rows[] = {1, 50, 200, 500};
	static const int writes[] = {1, 4, 16, 64};
	struct seam_store *s =
		seam_store_http_new(seam_clock_real(), "http://" SERVER);
	struct fit get = {0};
	struct fit scan = {0};
	struct fit wire = {0};
	struct fit put = {0};
	struct fit index = {0};
	struct fit small = {0};
	char key[64];
	int i;

	for (i = 0; i < 500; i++) {
		snprintf(key, sizeof(key), "pool-version/pool-%03d", i);
		put_row(mem, key, "");
		snprintf(key, sizeof(key), "worker/worker-%05d", i);
		put_row(mem, key,
			"{\"use\":[{\"cpu_milli\":8000,\"memory_mb\":1000,"
			"\"accelerators\":0,\"bucket\":\"queue/team-000/"
			"queue-000/1\"}],\"fails\":[],\"quarantined\":0,"
			"\"probe_at\":0,\"reason\":\"\"}");
	}
	time_get(s, 100, &(struct fit){0}); /* opens the connection */
	for (i = 0; i < 4; i++)
		time_get(s, bytes[i], &get);
	for (i = 0; i < 4; i++)
		time_scan(s, "worker/", rows[i], &scan, &wire);
	for (i = 0; i < 4; i++)
		time_scan(s, "pool-version/", rows[i], &index, &small);
	for (i = 0; i < 4; i++)
		time_commit(s, writes[i], &put);
	fit_print("store get", "us", "byte", &get);
	fit_print("store scan, worker rows", "us", "row", &scan);
	fit_print("store scan, worker rows", "bytes", "row", &wire);
	fit_print("store scan, index rows", "us", "row", &index);
	fit_print("store scan, index rows", "bytes", "row", &small);
	fit_print("store commit, 300 bytes each", "us", "row", &put);
	seam_store_close(s);
}

/* ---- workers ---- */

static void fill_cmd(struct seam_worker_cmd *c, int i)
{
	memset(c, 0, sizeof(*c));
	c->cmd_type = SEAM_CMD_RENEW;
	snprintf(c->worker, sizeof(c->worker), "worker-%05d", i);
	snprintf(c->addr, sizeof(c->addr), "%s", UNUSED_ADDRESS);
	snprintf(c->task, sizeof(c->task),
		 "team-000~queue-000~%d~0123456789abcdef", i % 16);
	snprintf(c->team, sizeof(c->team), "team-000");
	snprintf(c->kind, sizeof(c->kind), "index");
	c->attempt = 1;
	c->token = 123456;
	c->boot = 1;
	c->start_by = START * 1600;
	c->lease_until = START * 1600;
	c->need = (struct seam_need){8000, 1000, 0};
}

static size_t report_bytes(int i)
{
	struct seam_worker_report r = {.attempt_state = SEAM_ATTEMPT_RUNNING,
				       .attempt = 1,
				       .token = 123456,
				       .boot = 1,
				       .usage = {7000, 500, 0},
				       .usage_at = START * 1600};
	struct json_object *o;
	size_t n;

	snprintf(r.worker, sizeof(r.worker), "worker-%05d", i);
	snprintf(r.task, sizeof(r.task),
		 "team-000~queue-000~%d~0123456789abcdef", i % 16);
	o = seam_worker_report_to_json(&r);
	n = strlen(json_object_to_json_string(o));
	json_object_put(o);
	return n;
}

/* Measures a lease renewal as the link sends it, with JSON on both sides. */
static void bench_worker(void)
{
	struct seam_clock *k = seam_clock_real();
	struct seam_fake_workers *f = seam_fake_workers_new(k, 1);
	struct seam_vm vm = {.id = "worker-00000", .boot = 1};
	struct seam_fake_worker_http *h;
	struct seam_rest *r = seam_rest_new(k, "http://" WORKER);
	struct seam_worker_report rep;
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_worker_cmd c;
	size_t body = 0;
	int64_t at;
	int i;

	seam_fake_workers_add(f, &vm);
	h = seam_fake_worker_http_new(f, vm.id, WORKER);
	fill_cmd(&c, 0);
	at = cpu_ns();
	for (i = 0; i < CHANGES; i++) {
		struct json_object *o = seam_worker_cmd_to_json(&c);
		struct seam_rest_request call = {
			.method = "POST",
			.path = "/renew",
			.body = json_object_to_json_string(o),
			.deadline = call_deadline()};
		struct seam_rest_response a;

		body = strlen(call.body);
		if (seam_rest_do(r, &call, &a, &e) || a.status != 200)
			abort();
		json_object_put(o);
		o = json_tokener_parse(a.body);
		if (seam_worker_report_parse(o, &rep))
			abort();
		json_object_put(o);
		free(a.body);
	}
	printf("renewal: %.1f us, %zu bytes out, %zu bytes back; a task in a "
	       "listing %zu bytes\n",
	       since_us(at, CHANGES), body, report_bytes(0),
	       report_bytes(0) + 2);
	seam_rest_free(r);
	seam_fake_worker_http_free(h);
	seam_fake_workers_free(f);
}

/* Measures one call that renews all tasks of a worker, as for one renewal. */
static void bench_renewals(void)
{
	static const int sizes[] = {1, 4, 16, 64};
	struct seam_clock *k = seam_clock_real();
	struct seam_fake_workers *f = seam_fake_workers_new(k, 1);
	struct seam_vm vm = {.id = "worker-00000",
			     .boot = 1,
			     .cpu_milli = 1000000,
			     .memory_mb = 1000000};
	struct seam_rest *r = seam_rest_new(k, "http://" WORKER);
	struct seam_worker_cmd c[64];
	struct seam_worker_cmd *at[64];
	struct seam_worker_report rep;
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_fake_worker_http *h;
	struct fit us = {0};
	struct fit bytes = {0};
	size_t s;
	int i;

	seam_fake_workers_add(f, &vm);
	h = seam_fake_worker_http_new(f, vm.id, WORKER);
	for (i = 0; i < 64; i++) {
		fill_cmd(&c[i], 0);
		snprintf(c[i].task, sizeof(c[i].task),
			 "team-000~queue-000~7~%016d", i);
		at[i] = &c[i];
	}
	for (s = 0; s < 4; s++) {
		int64_t begun = cpu_ns();
		size_t n = 0;

		for (i = 0; i < CHANGES; i++) {
			struct json_object *o = seam_worker_renewals_to_json(
				at, (size_t)sizes[s]);
			struct seam_rest_request call = {
				.method = "POST",
				.path = "/renew_all",
				.body = json_object_to_json_string_ext(
					o, JSON_C_TO_STRING_PLAIN),
				.deadline = call_deadline()};
			struct seam_rest_response a;
			int j;

			n = strlen(call.body);
			if (seam_rest_do(r, &call, &a, &e) || a.status != 200)
				abort();
			json_object_put(o);
			n += strlen(a.body);
			o = json_tokener_parse(a.body);
			for (j = 0; j < sizes[s]; j++)
				if (seam_worker_report_parse(
					    json_object_array_get_idx(
						    o, (size_t)j),
					    &rep))
					abort();
			json_object_put(o);
			free(a.body);
		}
		fit_add(&us, sizes[s], since_us(begun, CHANGES));
		fit_add(&bytes, sizes[s], (double)n);
	}
	fit_print("renewals in one call", "us", "task", &us);
	fit_print("renewals in one call", "bytes", "task", &bytes);
	seam_rest_free(r);
	seam_fake_worker_http_free(h);
	seam_fake_workers_free(f);
}

static long status_kb(const char *name)
{
	FILE *in = fopen("/proc/self/status", "r");
	char line[200];
	long kb = 0;

	while (in && fgets(line, sizeof(line), in))
		if (!strncmp(line, name, strlen(name)))
			kb = atol(line + strlen(name) + 1);
	if (in)
		fclose(in);
	return kb;
}

/* Measures one thread and curl handle for each worker, without a listener. */
static void bench_links(void)
{
	static const int sizes[] = {50, 100, 200, 400};
	struct fit rss = {0};
	struct fit threads = {0};
	size_t k;
	int i;

	for (k = 0; k < 4; k++) {
		struct seam_workers *l;
		long kb = status_kb("VmRSS:");
		long before = status_kb("Threads:");
		struct seam_err e = SEAM_ERR_INIT;

		l = seam_workerlink_new(seam_clock_real(), "key", NULL, NULL);
		for (i = 0; i < sizes[k]; i++) {
			struct seam_worker_cmd c;

			fill_cmd(&c, i);
			l->ops->send(l, &c, &e);
		}
		g_usleep(G_USEC_PER_SEC);
		kb = status_kb("VmRSS:") - kb;
		before = status_kb("Threads:") - before;
		printf("links %4d: %ld threads, %ld KB resident more\n",
		       sizes[k], before, kb);
		fit_add(&rss, sizes[k], (double)kb);
		fit_add(&threads, sizes[k], (double)before);
		l->ops->free(l);
		malloc_trim(0);
	}
	fit_print("links to workers", "KB", "worker", &rss);
	fit_print("links to workers", "threads", "worker", &threads);
}

int main(int argc, char **argv)
{
	const char *only = argc > 1 ? argv[1] : NULL;
	struct seam_fake_platform_http *server;

	seam_log_set_level(SEAM_ERROR);
	setvbuf(stdout, NULL, _IOLBF, 0);
	if (!only || !strcmp(only, "links"))
		bench_links();
	mem = seam_store_mem_new(seam_clock_real());
	vms = seam_fake_platform_new(seam_clock_real());
	server = seam_fake_platform_http_new(seam_clock_real(), SERVER, mem,
					     seam_fake_platform_base(vms));
	if (!server)
		return 1;
	if (!only || !strcmp(only, "store"))
		bench_store();
	if (!only || !strcmp(only, "worker")) {
		bench_worker();
		bench_renewals();
	}
	seam_fake_platform_http_free(server);
	seam_fake_platform_free(vms);
	seam_store_close(mem);
	return 0;
}
