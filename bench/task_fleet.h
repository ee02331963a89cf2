#ifndef TASK_FLEET_H
#define TASK_FLEET_H

/* Task queues with fake workers and a simulated clock, for benchmarks. */

#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fake/fake.h"
#include "process/task.h"

#define STEP (100 * SEAM_MSEC)
#define WORKERS 50

struct task_fleet {
	struct seam_fake_clock clock;
	struct seam_store *store;
	struct seam_fake_workers *workers;
	struct seam_conf_cell conf;
	struct seam_task_ctx c;
	struct seam_tasks *tasks;
};

static inline void configure_tasks(struct task_fleet *b)
{
	struct json_object *o = json_tokener_parse(
		"{\"put\":[{\"kind\":\"data_centre\",\"object\":{\"name\":"
		"\"a\",\"region\":\"r\"}},{\"kind\":\"data_centre\",\"object\":{\"name\":\"b\",\"region\":\"r\"}},{\"kind\":\"data_centre\",\"object\":{\"name\":\"c\",\"region\":\"r\"}},{\"kind\":\"pool\",\"object\":{"
		"\"name\":\"p\",\"kind\":\"tasks\"}},{\"kind\":\"team\","
		"\"object\":{\"name\":\"t\"}},{\"kind\":\"team\",\"object\":{"
		"\"name\":\"u\"}},{\"kind\":\"queue\",\"object\":{\"name\":"
		"\"q\",\"team\":\"t\",\"pool\":\"p\"}},{\"kind\":\"queue\","
		"\"object\":{\"name\":\"v\",\"team\":\"u\",\"pool\":"
		"\"p\"}}]}");
	struct seam_conf_change ch = {o, "bench", "bench", 0};
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_conf *c = seam_conf_commit(b->store, &b->clock.clock, &ch,
					       b->clock.time + SEAM_SEC, &e);

	seam_conf_cell_init(&b->conf);
	seam_conf_publish(&b->conf, c);
	json_object_put(o);
}

static inline void add_workers(struct task_fleet *b, int cores, int dcs)
{
	struct seam_fleet_vm *f = calloc(WORKERS, sizeof(*f));
	int i;

	for (i = 0; i < WORKERS; i++) {
		struct seam_vm *vm = &f[i].vm;

		snprintf(vm->id, sizeof(vm->id), "w%d", i);
		snprintf(vm->dc, sizeof(vm->dc), "%c", 'a' + i / 4 % dcs);
		snprintf(vm->rack, sizeof(vm->rack), "r%d", i / 4);
		snprintf(vm->pool, sizeof(vm->pool), "p");
		vm->cpu_milli = cores * 1000;
		vm->memory_mb = 128 << 10;
		vm->boot = 1;
		seam_fake_workers_add(b->workers, vm);
	}
	seam_fleet_set(b->c.fleet, f, WORKERS, b->clock.time);
	free(f);
}

/* Workers of 128 GB, four to a rack, in up to three data centres. */
static inline void task_fleet_new(struct task_fleet *b, int cores, int dcs)
{
	memset(b, 0, sizeof(*b));
	seam_fake_clock_init(&b->clock, 1000000 * (seam_time)SEAM_SEC);
	b->store = seam_store_mem_new(&b->clock.clock);
	b->workers = seam_fake_workers_new(&b->clock.clock, 1);
	configure_tasks(b);
	b->c.fleet = seam_fleet_new();
	add_workers(b, cores, dcs);
	snprintf(b->c.node, sizeof(b->c.node), "n#1");
	b->c.clock = &b->clock.clock;
	b->c.store = b->store;
	b->c.owner = seam_owner_all();
	b->c.conf = &b->conf;
	b->c.workers = seam_fake_link_new(b->workers);
	b->c.placer = seam_placer_best_fit();
	b->c.sizes = seam_sizes_new();
	b->c.order = seam_task_order_weighted(&b->conf);
	b->c.lease = 15 * SEAM_SEC;
	b->c.skew = 200 * SEAM_MSEC;
	b->tasks = seam_tasks_new(&b->c);
}

static inline void task_fleet_free(struct task_fleet *b)
{
	seam_tasks_free(b->tasks);
	b->c.workers->ops->free(b->c.workers);
	b->c.placer->ops->free(b->c.placer);
	b->c.order->ops->free(b->c.order);
	seam_sizes_free(b->c.sizes);
	seam_fleet_free(b->c.fleet);
	seam_conf_cell_free(&b->conf);
	seam_fake_workers_free(b->workers);
	seam_store_close(b->store);
}

static inline void step(struct task_fleet *b)
{
	seam_fake_clock_set(&b->clock, b->clock.time + STEP);
	seam_fake_workers_tick(b->workers, b->clock.time);
	seam_tasks_pass(b->tasks, b->clock.time);
}

static inline int put(struct task_fleet *b, const char *queue, int64_t cpu,
		      int use, int run_ms, bool urgent,
		      char id[SEAM_TASK_ID_SIZE])
{
	struct seam_conf *c = seam_conf_current(&b->conf);
	const struct seam_queue *q =
		seam_conf_lookup(c, SEAM_CONF_QUEUE, queue);
	struct seam_err e = SEAM_ERR_INIT;
	char payload[96];
	struct seam_task_spec a = {.team = q->team,
				   .queue = q,
				   .kind = urgent ? "urgent" : "k",
				   .group = "",
				   .payload = payload,
				   .need = {cpu, 1000, 0},
				   .urgent = urgent,
				   .idempotent = true,
				   .finish_by = SEAM_NEVER};
	int rc;

	snprintf(payload, sizeof(payload),
		 "{\"run_ms\":%d,\"cpu\":%d,\"mem\":500}", run_ms, use);
	rc = seam_tasks_submit(b->tasks, &a, id, b->clock.time + SEAM_SEC, &e);
	seam_conf_unref(c);
	return rc;
}

static inline double no_rank(struct seam_task_order *o, const char *team,
			     const char *queue, seam_time now)
{
	(void)o;
	(void)queue;
	(void)team;
	(void)now;
	return 0;
}

static inline void no_running(struct seam_task_order *o, const char *team,
			      const char *queue, const struct seam_need *by)
{
	(void)o;
	(void)queue;
	(void)team;
	(void)by;
}

static inline void no_free(struct seam_task_order *o)
{
	(void)o;
}

/* First come, first served. */
static const struct seam_task_order_ops __attribute__((unused))
fifo_ops = {.rank = no_rank,
	    .lent = no_rank,
	    .running = no_running,
	    .free = no_free};

#endif
