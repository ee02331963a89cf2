/*
 * Linear cost models for docs/CAPACITY.md: the VM list over HTTP on loopback
 * from the fake, as full list and as changes. usage: capacity_list_bench
 * CPU time is that of the calling thread; the fake runs in other threads. HTTP
 * sizes are those of bodies, without headers.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "bench/measure.h"
#include "fake/fake.h"
#include "process/pool.h"

#define DCS 16
#define SERVER "127.0.0.1:24813"
#define LIST_VMS 26000
#define CHANGE_ROUNDS 20

#include "bench/capacity_http.h"

static struct seam_fake_platform *vms;

/* Memory that json-c uses while the response is parsed. */
static double parsed_bytes(const char *path)
{
	size_t len;
	char *body = fetch(path, &len);
	struct json_object *o;
	size_t heap;

	/* Meanwhile the server's threads free their copy of the response. */
	g_usleep(G_USEC_PER_SEC / 5);
	heap = heap_bytes();
	o = json_tokener_parse(body);
	heap = heap_bytes() - heap;
	json_object_put(o);
	free(body);
	return (double)heap;
}

static void fill_vm(struct seam_vm *vm, int i)
{
	memset(vm, 0, sizeof(*vm));
	snprintf(vm->id, 64, "worker-%05d", i);
	snprintf(vm->dc, 64, "dc-%02d", i % DCS);
	snprintf(vm->rack, 64, "rack-%04d", i / 4);
	snprintf(vm->addr, 64, "10.0.%d.%d:8080", i >> 8, i & 255);
	snprintf(vm->pool, 64, "pool-%03d", i / 78);
	vm->cpu_milli = 32000;
	vm->memory_mb = 128 << 10;
	vm->boot = 1;
}

static void bench_changes(void);

static double time_list(struct seam_pools *ps, int rounds)
{
	seam_time now = call_deadline() - 20 * SEAM_SEC;
	struct seam_err e = SEAM_ERR_INIT;
	int64_t at = cpu_ns();
	int i;

	for (i = 0; i < rounds; i++)
		if (seam_pools_read_vm_list(ps, now, &e)) {
			fprintf(stderr, "capacity: %s\n", e.text);
			exit(1);
		}
	return since_us(at, rounds);
}

/* Measures an incremental read of the list by the number of changed VMs. */
static void bench_changes(void)
{
	static const int changed[] = {0, 1, 16, 64, 128};
	struct seam_pools_env env = {.clock = seam_clock_real(),
				     .vm_list_ms = 30000};
	struct seam_conf_cell conf;
	struct seam_pools *ps;
	struct fit cpu = {0};
	struct fit wire = {0};
	size_t whole;
	int k;
	int i;

	seam_conf_cell_init(&conf);
	env.platform = seam_platform_http_new(env.clock, "http://" SERVER);
	env.conf = &conf;
	ps = seam_pools_new(&env);
	whole = heap_bytes();
	printf("first list, %d VMs: %.0f us", LIST_VMS, time_list(ps, 1));
	malloc_trim(0);
	printf(", heap %zu bytes more\n", heap_bytes() - whole);
	for (k = 0; k < 5; k++) {
		char path[2 * SEAM_CURSOR_MAX] = "/vms?since=";
		struct seam_vms out;
		struct seam_err e = SEAM_ERR_INIT;
		double us = 0;
		int round;

		/* The cursor before the changes. */
		if (env.platform->ops->changes(env.platform, "", &out,
					       call_deadline(), &e))
			abort();
		seam_rest_escape(path, sizeof(path), out.cursor);
		seam_vms_free(&out);
		for (round = 0; round < CHANGE_ROUNDS; round++) {
			for (i = 0; i < changed[k]; i++) {
				struct seam_vm vm;

				fill_vm(&vm, i * 97 % LIST_VMS);
				vm.boot = 2 + k * CHANGE_ROUNDS + round;
				seam_fake_platform_put(vms, &vm);
			}
			us += time_list(ps, 1) / CHANGE_ROUNDS;
		}
		printf("changed %4d: %8.1f us, body %zu bytes\n", changed[k],
		       us, body_bytes(path));
		fit_add(&cpu, changed[k], us);
		fit_add(&wire, changed[k], (double)body_bytes(path));
	}
	fit_print("VM list changes over HTTP", "us", "VM", &cpu);
	fit_print("VM list changes over HTTP", "bytes", "VM", &wire);
	seam_pools_free(ps);
	seam_platform_http_free(env.platform);
	seam_conf_cell_free(&conf);
}

static void bench_list(void)
{
	static const int sizes[] = {260, 2600, 6500, LIST_VMS};
	struct seam_platform *p =
		seam_platform_http_new(seam_clock_real(), "http://" SERVER);
	struct fit cpu = {0};
	struct fit wire = {0};
	struct fit heap = {0};
	struct fit parsed = {0};
	int have = 0;
	size_t k;

	printf("%8s %10s %12s %12s\n", "vms", "list_us", "bytes", "held");
	for (k = 0; k < 4; k++) {
		struct seam_vms out;
		struct seam_err e = SEAM_ERR_INIT;
		double us;
		size_t len;
		int64_t at;

		for (; have < sizes[k]; have++) {
			struct seam_vm vm;

			fill_vm(&vm, have);
			seam_fake_platform_put(vms, &vm);
		}
		at = cpu_ns();
		if (p->ops->vms(p, &out, call_deadline(), &e))
			abort();
		us = since_us(at, 1);
		len = body_bytes("/vms");
		printf("%8d %10.0f %12zu %12zu\n", sizes[k], us, len,
		       out.n * sizeof(*out.vm));
		fit_add(&cpu, sizes[k], us);
		fit_add(&wire, sizes[k], (double)len);
		fit_add(&heap, sizes[k], (double)(out.n * sizeof(*out.vm)));
		fit_add(&parsed, sizes[k], parsed_bytes("/vms"));
		seam_vms_free(&out);
	}
	fit_print("VM list over HTTP", "us", "VM", &cpu);
	fit_print("VM list over HTTP", "bytes", "VM", &wire);
	fit_print("VM list held", "bytes", "VM", &heap);
	fit_print("VM list while parsed", "bytes", "VM", &parsed);
	seam_platform_http_free(p);
	bench_changes();
}

int main(void)
{
	struct seam_fake_platform_http *server;
	struct seam_store *mem;

	seam_log_set_level(SEAM_ERROR);
	setvbuf(stdout, NULL, _IOLBF, 0);
	mem = seam_store_mem_new(seam_clock_real());
	vms = seam_fake_platform_new(seam_clock_real());
	server = seam_fake_platform_http_new(seam_clock_real(), SERVER, mem,
					     seam_fake_platform_base(vms));
	if (!server)
		return 1;
	bench_list();
	seam_fake_platform_http_free(server);
	seam_fake_platform_free(vms);
	seam_store_close(mem);
	return 0;
}
