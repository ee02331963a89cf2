/*
 * Linear cost models for docs/CAPACITY.md: cost of each role of a node against
 * fleet size. usage: capacity_bench [fleet|targets]
 * CPU time is that of the measuring thread, the clock is simulated and the
 * store is in memory. Other roles: capacity_work_bench (tasks, workers, teams),
 * capacity_version_bench (members, versions), capacity_http_bench (calls).
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "bench/measure.h"
#include "connection/target.h"
#include "fake/fake.h"
#include "process/pool.h"

#define START ((seam_time)1000000 * SEAM_SEC)
#define DCS 16
#define POOL_VMS 78 /* 26,000 workers in 332 pools */
#define ROUNDS 10

static void fill_vm(struct seam_vm *vm, int i, int pools)
{
	memset(vm, 0, sizeof(*vm));
	snprintf(vm->id, sizeof(vm->id), "worker-%05d", i);
	snprintf(vm->dc, sizeof(vm->dc), "dc-%02d", i / 4 / pools % DCS);
	snprintf(vm->rack, sizeof(vm->rack), "rack-%04d", i / 4);
	snprintf(vm->addr, sizeof(vm->addr), "10.%d.%d.%d:8080", i >> 16,
		 i >> 8 & 255, i & 255);
	snprintf(vm->pool, sizeof(vm->pool), "pool-%03d", i / 4 % pools);
	vm->cpu_milli = 32000;
	vm->memory_mb = 128 << 10;
	vm->boot = 1;
}

static void configure(struct seam_conf_cell *cell, int pools)
{
	struct seam_problems p = {.file = "bench"};
	GString *s = g_string_new("{\"data_centres\":[");
	struct json_object *o;
	int i;

	for (i = 0; i < DCS; i++)
		g_string_append_printf(
			s, "%s{\"name\":\"dc-%02d\",\"region\":\"r%d\"}",
			i ? "," : "", i, i / 4);
	g_string_append(s, "],\"pools\":[");
	for (i = 0; i < pools; i++)
		g_string_append_printf(s,
				       "%s{\"name\":\"pool-%03d\",\"kind\":"
				       "\"tasks\",\"budget\":4}",
				       i ? "," : "", i);
	g_string_append(s, "]}");
	o = json_tokener_parse(s->str);
	seam_conf_cell_init(cell);
	seam_conf_publish(cell, seam_conf_parse(o, 1, &p));
	json_object_put(o);
	g_string_free(s, TRUE);
}

/* ---- pools, VM list, fleet table ---- */

struct fleet_fits {
	struct fit list, publish, idle, poll, pass, heap, fleet, row;
};

static struct seam_pools *open_pools(struct seam_pools_env *env)
{
	struct seam_pools *ps = seam_pools_new(env);
	struct seam_err e = SEAM_ERR_INIT;
	seam_time now = seam_now(env->clock);
	int i;

	/* A row holds all VMs of its pool, but a poll reads few rows. */
	for (i = 0; i < 8; i++) {
		seam_pools_read_vm_list(ps, now, &e);
		seam_pools_pass(ps, now);
		now += SEAM_SEC;
	}
	return ps;
}

static void row_bytes(struct seam_store *s, int vms, struct fit *f)
{
	struct seam_rows rows;
	struct seam_err e = SEAM_ERR_INIT;
	double sum = 0;
	size_t i;

	if (seam_store_scan(s, "pool/", "", 1000, &rows, SEAM_NEVER, &e))
		abort();
	for (i = 0; i < rows.n; i++)
		sum += (double)rows.row[i].len;
	seam_rows_free(&rows);
	fit_add(f, vms, sum);
}

static void time_fleet(struct seam_pools *ps, struct seam_fake_platform *fake,
		       int vms, struct fleet_fits *f)
{
	struct seam_err e = SEAM_ERR_INIT;
	seam_time now = START + 20 * SEAM_SEC;
	double list;
	double publish = 0;
	double idle;
	double poll;
	double pass;
	int64_t at;
	int i;

	at = cpu_ns();
	for (i = 0; i < ROUNDS; i++)
		seam_pools_read_vm_list(ps, now, &e);
	list = since_us(at, ROUNDS);
	for (i = 0; i < ROUNDS; i++) {
		seam_fake_platform_put(fake, &(struct seam_vm){.id = "changed",
							       .boot = 2 + i});
		seam_pools_read_vm_list(ps, now, &e);
		at = cpu_ns();
		seam_pools_publish(ps);
		publish += since_us(at, ROUNDS);
	}
	at = cpu_ns();
	for (i = 0; i < ROUNDS; i++)
		seam_pools_publish(ps);
	idle = since_us(at, ROUNDS);
	at = cpu_ns();
	for (i = 0; i < ROUNDS; i++)
		seam_pools_poll(ps, now, &e);
	poll = since_us(at, ROUNDS);
	at = cpu_ns();
	for (i = 0; i < ROUNDS; i++)
		seam_pools_pass(ps, now + i * SEAM_SEC);
	pass = since_us(at, ROUNDS);
	printf("%8d %10.0f %10.0f %10.1f %10.0f %10.0f", vms, list, publish,
	       idle, poll, pass);
	fit_add(&f->list, vms, list);
	fit_add(&f->publish, vms, publish);
	fit_add(&f->idle, vms, idle);
	fit_add(&f->poll, vms, poll);
	fit_add(&f->pass, vms, pass);
}

static void fleet(int vms, struct fleet_fits *f)
{
	struct seam_fake_clock clock;
	struct seam_fake_platform *fake;
	struct seam_conf_cell conf;
	struct seam_fleet *table = seam_fleet_new();
	int pools = vms / POOL_VMS;
	struct seam_pools_env env = {.vm_list_ms = 30000};
	struct seam_pools *ps;
	struct seam_fleet_vm *copy;
	size_t heap;
	size_t n;
	int i;

	seam_fake_clock_init(&clock, START);
	fake = seam_fake_platform_new(&clock.clock);
	configure(&conf, pools);
	for (i = 0; i < vms; i++) {
		struct seam_vm vm;

		fill_vm(&vm, i, pools);
		seam_fake_platform_put(fake, &vm);
	}
	env.clock = &clock.clock;
	env.store = seam_store_mem_new(&clock.clock);
	env.platform = seam_fake_platform_base(fake);
	env.conf = &conf;
	env.owner = seam_owner_all();
	env.fleet = table;
	ps = open_pools(&env);
	time_fleet(ps, fake, vms, f);
	row_bytes(env.store, vms, &f->row);
	copy = seam_fleet_copy(table, NULL, &n, NULL);
	malloc_trim(0);
	heap = heap_bytes();
	seam_pools_free(ps);
	heap -= heap_bytes();
	fit_add(&f->heap, vms, (double)heap);
	printf(" %12zu", heap);
	heap = heap_bytes();
	seam_fleet_free(table);
	heap -= heap_bytes();
	fit_add(&f->fleet, vms, (double)heap);
	printf(" %12zu %8zu\n", heap, n);
	free(copy);
	seam_store_close(env.store);
	seam_fake_platform_free(fake);
	seam_conf_cell_free(&conf);
}

static void bench_fleet(void)
{
	static const int sizes[] = {2600, 6500, 13000, 26000};
	struct fleet_fits f = {0};
	size_t i;

	printf("%8s %10s %10s %10s %10s %10s %12s %12s %8s\n", "vms", "list_us",
	       "publish_us", "idle_us", "poll_us", "pass_us", "pools_heap",
	       "fleet_heap", "listed");
	for (i = 0; i < 4; i++)
		fleet(sizes[i], &f);
	fit_print("VM list, in memory", "us", "VM", &f.list);
	fit_print("publication", "us", "VM", &f.publish);
	fit_print("publication, no change", "us", "VM", &f.idle);
	fit_print("poll, nothing changed", "us", "VM", &f.poll);
	fit_print("pass, all pools owned", "us", "VM", &f.pass);
	fit_print("pool rows", "bytes", "VM", &f.row);
	fit_print("pools and list heap", "bytes", "VM", &f.heap);
	fit_print("fleet table heap", "bytes", "VM", &f.fleet);
}

/* ---- routing table ---- */

static void bench_targets(void)
{
	static const int sizes[] = {500, 2500, 5000, 25000};
	struct fit set = {0};
	struct fit heap = {0};
	size_t k;

	printf("%8s %10s %12s\n", "targets", "set_us", "heap");
	for (k = 0; k < 4; k++) {
		struct seam_fake_clock clock;
		int n = sizes[k];
		struct seam_target_info *t = calloc((size_t)n, sizeof(*t));
		struct seam_targets *ts;
		double us;
		size_t bytes;
		int64_t at;
		int i;

		seam_fake_clock_init(&clock, START);
		for (i = 0; i < n; i++) {
			snprintf(t[i].id, 64, "target-%05d", i);
			snprintf(t[i].addr, 64, "10.0.%d.%d:80", i >> 8,
				 i & 255);
			snprintf(t[i].dc, 64, "dc-%02d", i % DCS);
			snprintf(t[i].service, 64, "service-%03d", i / 64);
			t[i].slots = 8;
			t[i].connections = 64;
		}
		malloc_trim(0);
		bytes = heap_bytes();
		ts = seam_targets_new(&clock.clock);
		seam_targets_set(ts, t, (size_t)n);
		bytes = heap_bytes() - bytes;
		at = cpu_ns();
		for (i = 0; i < ROUNDS; i++)
			seam_targets_set(ts, t, (size_t)n);
		us = since_us(at, ROUNDS);
		printf("%8d %10.0f %12zu\n", n, us, bytes);
		fit_add(&set, n, us);
		fit_add(&heap, n, (double)bytes);
		seam_targets_free(ts);
		free(t);
	}
	fit_print("routing table, list taken over", "us", "target", &set);
	fit_print("routing table heap", "bytes", "target", &heap);
}

int main(int argc, char **argv)
{
	const char *only = argc > 1 ? argv[1] : NULL;

	seam_log_set_level(SEAM_ERROR);
	setvbuf(stdout, NULL, _IOLBF, 0);
	if (!only || !strcmp(only, "fleet"))
		bench_fleet();
	if (!only || !strcmp(only, "targets"))
		bench_targets();
	return 0;
}
