/*
 * Measures the latency that a node adds to a request, compared with direct
 * calls to the same fake targets in the same run, and the memory of its
 * connections.
 */
#include <curl/curl.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

#include "base/log.h"
#include "fake/fake.h"
#include "process/node.h"

#define NODE_ADDR "127.0.0.1:20500"
#define NODE_PEER "127.0.0.1:20501"
#define TARGET_PORT 20510
#define INSTANCES 50
#define CONNECTIONS SEAM_FAKE_HOLD_BATCH
#define WARMUP_REQUESTS 50
#define REQUESTS 8000 /* of all callers together, for each row of the table */
#define CALLERS_MAX 64

struct caller {
	pthread_t thread;
	const char *url;
	const char *method;
	const char *key;
	int requests;
	double *us;
	int failed;
};

static seam_time cpu_now(void)
{
	struct rusage u;

	getrusage(RUSAGE_SELF, &u);
	return (u.ru_utime.tv_sec + u.ru_stime.tv_sec) * (seam_time)SEAM_SEC +
	       u.ru_utime.tv_usec + u.ru_stime.tv_usec;
}

static double resident_mb(void)
{
	FILE *f = fopen("/proc/self/statm", "r");
	long pages = 0;

	if (!f || fscanf(f, "%*d %ld", &pages) != 1)
		pages = 0;
	if (f)
		fclose(f);
	return (double)pages * (double)sysconf(_SC_PAGESIZE) / 1e6;
}

static size_t discard_body(char *data, size_t size, size_t n, void *arg)
{
	(void)data;
	(void)arg;
	return size * n;
}

static double now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (double)ts.tv_sec * 1e6 + (double)ts.tv_nsec / 1e3;
}

static void *run_caller(void *arg)
{
	struct caller *c = arg;
	CURL *curl = curl_easy_init();
	struct curl_slist *l = NULL;
	long status;
	int i;

	l = curl_slist_append(l, "Authorization: Bearer lender");
	curl_easy_setopt(curl, CURLOPT_URL, c->url);
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, 20000L);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, l);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, discard_body);
	if (strcmp(c->method, "GET"))
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, "x");
	for (i = -WARMUP_REQUESTS; i < c->requests; i++) {
		double from = now_us();

		status = 0;
		curl_easy_perform(curl);
		curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
		if (i >= 0)
			c->us[i] = now_us() - from;
		if (i >= 0 && status != 200)
			c->failed++;
	}
	curl_slist_free_all(l);
	curl_easy_cleanup(curl);
	return NULL;
}

static int by_value(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

struct result {
	double p50;
	double p99;
	double per_sec;
	double cpu_us; /* of this whole process, for each request */
	int failed;
};

static struct result measure(const char *url, const char *method, int callers)
{
	static struct caller c[CALLERS_MAX];
	static double all[REQUESTS];
	struct result r = {0};
	int each = REQUESTS / callers;
	seam_time cpu = cpu_now();
	double from = now_us();
	int n = each * callers;
	int i;

	for (i = 0; i < callers; i++) {
		c[i] = (struct caller){.url = url,
				       .method = method,
				       .requests = each,
				       .us = &all[i * each]};
		pthread_create(&c[i].thread, NULL, run_caller, &c[i]);
	}
	for (i = 0; i < callers; i++) {
		pthread_join(c[i].thread, NULL);
		r.failed += c[i].failed;
	}
	r.per_sec = n / (now_us() - from) * 1e6;
	r.cpu_us = (double)(cpu_now() - cpu) / (n + callers * WARMUP_REQUESTS);
	qsort(all, (size_t)n, sizeof(*all), by_value);
	r.p50 = all[n / 2];
	r.p99 = all[(size_t)n * 99 / 100];
	return r;
}

static void configure(struct seam_store *store, struct seam_clock *k)
{
	static const char doc[] =
		"{\"put\":[{\"kind\":\"data_centre\",\"object\":{\"name\":"
		"\"a\",\"region\":\"r\"}},{\"kind\":\"pool\",\"object\":"
		"{\"name\":\"web\",\"kind\":\"service\"}},{\"kind\":\"team\","
		"\"object\":{\"name\":\"t\"}},{\"kind\":\"service\","
		"\"object\":{\"name\":\"s\",\"pool\":\"web\",\"slots\":64}},"
		"{\"kind\":\"key\",\"object\":{\"name\":\"k\",\"team\":\"t\","
		"\"sha256\":\"%s\"}}]}";
	char hex[SEAM_SHA256_HEX_SIZE];
	char text[1024];
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_conf_change ch = {NULL, "bench", "bench", 0};
	struct seam_conf *c;

	seam_sha256_hex("lender", hex);
	snprintf(text, sizeof(text), doc, hex);
	ch.change = json_tokener_parse(text);
	c = seam_conf_commit(store, k, &ch, seam_now(k) + 5 * SEAM_SEC, &e);
	if (!c)
		fprintf(stderr, "configuration: %s\n", e.text);
	seam_conf_unref(c);
	json_object_put(ch.change);
}

static void add_vms(struct seam_fake_platform *p)
{
	int i;

	for (i = 0; i < INSTANCES; i++) {
		struct seam_vm vm = {.state = SEAM_VM_LIVE};

		snprintf(vm.id, sizeof(vm.id), "vm-%d", i);
		snprintf(vm.dc, sizeof(vm.dc), "a");
		snprintf(vm.pool, sizeof(vm.pool), "web");
		snprintf(vm.addr, sizeof(vm.addr), "127.0.0.1:%d",
			 TARGET_PORT + i);
		seam_fake_platform_put(p, &vm);
	}
}

static void measure_latency(void)
{
	static const int callers[] = {1, 16, 64};
	static const char *const methods[] = {"GET", "POST"};
	char direct[64];
	size_t m;
	size_t i;

	snprintf(direct, sizeof(direct), "http://127.0.0.1:%d/x", TARGET_PORT);
	printf("%-6s %7s | %9s %9s | %9s %9s | %9s %9s | %8s %10s %6s\n",
	       "method", "callers", "direct50", "direct99", "node50", "node99",
	       "added50", "added99", "req/s", "req/s/core", "failed");
	for (m = 0; m < 2; m++)
		for (i = 0; i < 3; i++) {
			struct result d =
				measure(direct, methods[m], callers[i]);
			struct result n =
				measure("http://" NODE_ADDR "/v1/services/s/x",
					methods[m], callers[i]);

			printf("%-6s %7d | %9.0f %9.0f | %9.0f %9.0f | %9.0f "
			       "%9.0f | %8.0f %10.0f %6d\n",
			       methods[m], callers[i], d.p50, d.p99, n.p50,
			       n.p99, n.p50 - d.p50, n.p99 - d.p99, n.per_sec,
			       1e6 / (n.cpu_us - d.cpu_us), n.failed);
		}
}

static const char *no_header(struct seam_call *c, const char *name)
{
	(void)c;
	(void)name;
	return NULL;
}

struct opener {
	pthread_t thread;
	struct seam_targets *targets;
	struct seam_handle h;
	pthread_barrier_t *barrier;
	int failed;
};

/* All threads of a target send at the same time, so each opens a connection. */
static void *open_one(void *arg)
{
	static const struct seam_call_ops ops = {no_header, NULL};
	struct opener *o = arg;
	struct seam_call c = {.ops = &ops, .method = "GET", .query = ""};
	struct seam_target_request s = {
		.call = &c,
		.path = "/hold",
		.deadline = seam_now(seam_clock_real()) + 10 * SEAM_SEC,
		.idempotent = true};
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_answer a;

	pthread_barrier_wait(o->barrier);
	o->failed = seam_target_send(o->targets, o->h, &s, &a, &e) != 0;
	seam_answer_free(&a);
	return NULL;
}

static int open_target(struct seam_targets *ts, struct seam_handle h)
{
	static struct opener o[CONNECTIONS];
	pthread_barrier_t barrier;
	int failed = 0;
	int i;

	pthread_barrier_init(&barrier, NULL, CONNECTIONS);
	for (i = 0; i < CONNECTIONS; i++) {
		o[i] = (struct opener){
			.targets = ts, .h = h, .barrier = &barrier};
		pthread_create(&o[i].thread, NULL, open_one, &o[i]);
	}
	for (i = 0; i < CONNECTIONS; i++) {
		pthread_join(o[i].thread, NULL);
		failed += o[i].failed;
	}
	pthread_barrier_destroy(&barrier);
	return failed;
}

static void measure_memory(struct seam_node *n)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	double before = resident_mb();
	struct seam_target *t;
	int failed = 0;
	int idle = 0;

	while ((t = seam_table_next(seam_targets_lock(n->targets), &h))) {
		seam_targets_unlock(n->targets);
		failed += open_target(n->targets, h);
		idle += t->idle_count;
	}
	seam_targets_unlock(n->targets);
	printf("resident: %.1f MB before, %.1f MB with %d idle connections to "
	       "%d instances (%.1f KB each), %d failed\n",
	       before, resident_mb(), idle, INSTANCES,
	       (resident_mb() - before) * 1e3 / (idle ? idle : 1), failed);
}

int main(void)
{
	struct seam_clock *k = seam_clock_real();
	struct seam_store *store = seam_store_mem_new(k);
	struct seam_fake_platform *p = seam_fake_platform_new(k);
	struct seam_fake_bench_targets *l = seam_fake_bench_targets_new(
		"127.0.0.1", TARGET_PORT, INSTANCES);
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_settings s;
	struct seam_node *n;

	seam_log_set_level(SEAM_WARN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	configure(store, k);
	add_vms(p);
	seam_settings_default(&s);
	snprintf(s.node, sizeof(s.node), "n1");
	snprintf(s.data_centre, sizeof(s.data_centre), "a");
	snprintf(s.listen, sizeof(s.listen), NODE_ADDR);
	snprintf(s.peer, sizeof(s.peer), NODE_PEER);
	n = seam_node_new(&s, k, store, seam_fake_platform_base(p), &e);
	if (!n || seam_node_start(n, &e)) {
		fprintf(stderr, "node: %s\n", e.text);
		return 1;
	}
	printf("resident at rest: %.1f MB (node, store and targets)\n",
	       resident_mb());
	measure_memory(n);
	measure_latency();
	seam_node_free(n);
	seam_fake_bench_targets_free(l);
	seam_fake_platform_free(p);
	seam_store_close(store);
	return 0;
}
