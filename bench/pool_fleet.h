#ifndef POOL_FLEET_H
#define POOL_FLEET_H

/* Pools of a fake platform under a simulated clock, for benchmark programs. */

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fake/fake.h"
#include "process/pool.h"

#define SEC ((seam_time)SEAM_SEC)
#define HOUR (3600 * SEC)
#define DCS 16

struct bench {
	struct seam_fake_clock clock;
	struct seam_store *store;
	struct seam_fake_platform *fake;
	struct seam_conf_cell conf;
	struct seam_demand *demand;
	struct seam_fleet *fleet;
	struct seam_pools *ps;
	struct seam_pools *other; /* receives hints; may be NULL */
	struct seam_drain drain;
	GHashTable *since; /* VM to the start of its drain */
	seam_time work; /* time until a draining VM is idle */
};

static inline void drain_begin(struct seam_drain *d, const char *vm,
			       seam_time until)
{
	struct bench *b =
		(struct bench *)((char *)d - offsetof(struct bench, drain));

	(void)until;
	if (!g_hash_table_contains(b->since, vm))
		g_hash_table_insert(b->since, g_strdup(vm),
				    GSIZE_TO_POINTER((gsize)b->clock.time));
}

static inline bool drain_idle(struct seam_drain *d, const char *vm)
{
	struct bench *b =
		(struct bench *)((char *)d - offsetof(struct bench, drain));
	gpointer since = g_hash_table_lookup(b->since, vm);
	bool idle =
		b->clock.time >= (seam_time)GPOINTER_TO_SIZE(since) + b->work;

	if (idle)
		g_hash_table_remove(b->since, vm);
	return idle;
}

static const struct seam_drain_ops drain_ops = {
	.begin = drain_begin,
	.idle = drain_idle,
};

static inline void configure(struct bench *b, const char *pools)
{
	struct seam_problems p = {.file = "bench"};
	GString *doc = g_string_new("{\"data_centres\":[");
	struct json_object *o;
	struct seam_conf *c;
	int i;

	for (i = 0; i < DCS; i++)
		g_string_append_printf(doc,
				       "%s{\"name\":\"dc%d\",\"region\":\"r\"}",
				       i ? "," : "", i);
	g_string_append_printf(doc, "],\"pools\":%s}", pools);
	o = json_tokener_parse(doc->str);
	c = seam_conf_parse(o, 1, &p);
	if (!c) {
		fprintf(stderr, "bench: %s\n", p.n ? p.text[0] : "");
		exit(1);
	}
	seam_conf_publish(&b->conf, c);
	json_object_put(o);
	g_string_free(doc, TRUE);
}

static inline void bench_tell(void *arg, const char *key)
{
	struct bench *b = arg;

	if (b->other)
		seam_pools_hint(b->other, key);
}

/* Hints are never missed in a benchmark. */
static inline uint64_t bench_gaps(void *arg, seam_time now)
{
	(void)arg;
	(void)now;
	return 0;
}

static inline struct bench *bench_new(const char *pools,
				      const struct seam_size_policy *size)
{
	struct bench *b = calloc(1, sizeof(*b));
	struct seam_fake_platform_faults f = {.reboot_time = 60 * SEC};
	struct seam_pools_env env = {.vm_list_ms = 30000, .size = size};

	seam_fake_clock_init(&b->clock, 1000000 * SEC);
	b->store = seam_store_mem_new(&b->clock.clock);
	b->fake = seam_fake_platform_new(&b->clock.clock);
	seam_fake_platform_set_faults(b->fake, &f);
	seam_conf_cell_init(&b->conf);
	configure(b, pools);
	b->demand = seam_demand_new();
	b->fleet = seam_fleet_new();
	b->drain.ops = &drain_ops;
	b->since = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	b->work = 5 * SEC;
	env.clock = &b->clock.clock;
	env.store = b->store;
	env.platform = seam_fake_platform_base(b->fake);
	env.conf = &b->conf;
	env.owner = seam_owner_all();
	env.drain = &b->drain;
	env.drain_tasks = &b->drain;
	env.demand = b->demand;
	env.fleet = b->fleet;
	env.send_hint = bench_tell;
	env.hint_gaps = bench_gaps;
	env.hint_context = b;
	b->ps = seam_pools_new(&env);
	return b;
}

static inline void bench_free(struct bench *b)
{
	seam_pools_free(b->ps);
	seam_store_close(b->store);
	seam_fake_platform_free(b->fake);
	seam_conf_cell_free(&b->conf);
	seam_demand_free(b->demand);
	seam_fleet_free(b->fleet);
	g_hash_table_destroy(b->since);
	free(b);
}

static inline void add_vm(struct bench *b, int i, int dc, int rack,
			  const char *pool, int64_t boot)
{
	struct seam_vm vm = {.boot = boot};

	snprintf(vm.id, sizeof(vm.id), "vm-%05d", i);
	snprintf(vm.dc, sizeof(vm.dc), "dc%d", dc);
	snprintf(vm.rack, sizeof(vm.rack), "rack-%d", rack);
	snprintf(vm.pool, sizeof(vm.pool), "%s", pool);
	seam_fake_platform_put(b->fake, &vm);
}

static inline void step(struct bench *b, seam_time by)
{
	struct seam_err e = SEAM_ERR_INIT;

	seam_pools_read_vm_list(b->ps, b->clock.time, &e);
	seam_pools_pass(b->ps, b->clock.time);
	seam_fake_clock_set(&b->clock, b->clock.time + by);
}

static inline int active_in(struct bench *b, const char *pool)
{
	struct seam_pool_row r;
	int n = 0;

	if (seam_pool_get_row(b->ps, pool, &r))
		return 0;
	n = (int)seam_pool_count(&r).active;
	seam_pool_row_free(&r);
	return n;
}

static inline bool all_done(struct bench *b, seam_time start, size_t vms)
{
	char **names = seam_pools_names(b->ps);
	size_t done = 0;
	size_t i;
	size_t j;

	for (i = 0; names[i]; i++) {
		struct seam_pool_row r;

		if (seam_pool_get_row(b->ps, names[i], &r))
			continue;
		for (j = 0; j < r.n; j++)
			done += r.member[j].maintained > start &&
				r.member[j].state == SEAM_MEMBER_ACTIVE;
		seam_pool_row_free(&r);
	}
	g_strfreev(names);
	return done == vms;
}

static inline void order_wave(struct bench *b, const char *pool)
{
	struct seam_wave_order w = {
		.order = SEAM_WAVE_ORDER_START,
		.reason = "bench",
		.operator_name = "bench",
		.version = SEAM_ANY_VERSION,
	};
	struct seam_err e = SEAM_ERR_INIT;

	if (seam_wave_set_order(b->ps, pool, &w, b->clock.time, &e))
		exit(1);
}

/* Runs a wave in all pools at once; seconds until all VMs are active again. */
static inline double roll_out(struct bench *b, size_t vms)
{
	char **names;
	seam_time start;
	size_t i;

	step(b, SEC);
	step(b, SEC);
	start = b->clock.time;
	names = seam_pools_names(b->ps);
	for (i = 0; names[i]; i++)
		order_wave(b, names[i]);
	g_strfreev(names);
	while (!all_done(b, start, vms) && b->clock.time < start + 72 * HOUR)
		step(b, SEC);
	return (double)(b->clock.time - start) / SEAM_SEC;
}

#endif
