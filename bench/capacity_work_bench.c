/*
 * Linear cost models for docs/CAPACITY.md: number of tasks and of workers.
 * usage: capacity_work_bench [workers|tasks|buckets]
 * CPU time is that of the measuring thread, the clock is simulated and the
 * store is in memory. Bytes are keys and data of rows, without their encoding.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "bench/capacity_store.h"
#include "bench/capacity_rows.h"
#include "bench/measure.h"
#include "fake/fake.h"
#include "process/task.h"

#define START ((seam_time)1000000 * SEAM_SEC)
#define STEP (100 * SEAM_MSEC)
#define DCS 16
#define QUEUE_TASKS 768 /* of the 1,024 that 16 buckets hold */
#define TASKS_EACH 4 /* running on each worker */
#define SECONDS 10
#define NODES 48

/* ---- tasks and workers ---- */

/* Worker link that times the fake workers and counts commands. */
struct timing_link {
	struct seam_workers workers;
	struct seam_workers *inner;
	int64_t ns;
	int64_t commands;
};

static int timed_send(struct seam_workers *w, const struct seam_worker_cmd *c,
		      struct seam_err *e)
{
	struct timing_link *t = (struct timing_link *)w;
	int64_t at = cpu_ns();
	int rc = t->inner->ops->send(t->inner, c, e);

	t->ns += cpu_ns() - at;
	t->commands++;
	return rc;
}

static size_t timed_poll(struct seam_workers *w, const char *prefix,
			 struct seam_worker_report *out, size_t max)
{
	struct timing_link *t = (struct timing_link *)w;
	int64_t at = cpu_ns();
	size_t n = t->inner->ops->poll(t->inner, prefix, out, max);

	t->ns += cpu_ns() - at;
	return n;
}

static void timed_free(struct seam_workers *w)
{
	struct timing_link *t = (struct timing_link *)w;

	t->inner->ops->free(t->inner);
}

static const struct seam_worker_ops timed_ops = {
	.send = timed_send,
	.poll = timed_poll,
	.free = timed_free,
};

/* Owner of all buckets or, with @part, of those of one of NODES nodes. */
struct part_owner {
	struct seam_owner owner;
	bool part;
};

static bool part_mine(struct seam_owner *o, const char *name, seam_time now)
{
	(void)now;
	return !((struct part_owner *)o)->part || g_str_hash(name) % NODES == 0;
}

static const struct seam_owner_ops part_ops = {.is_owner = part_mine};

struct work {
	struct part_owner owner;
	struct timing_link link;
	struct seam_fake_clock clock;
	struct counting_store store;
	struct seam_store *mem;
	struct seam_fake_workers *workers;
	struct seam_conf_cell conf;
	struct seam_task_ctx c;
	struct seam_tasks *tasks;
	int queues;
};

static void configure(struct work *w)
{
	GString *s = g_string_new(
		"{\"put\":[{\"kind\":\"data_centre\",\"object\":{\"name\":"
		"\"dc-00\",\"region\":\"r\"}},{\"kind\":\"pool\",\"object\":{"
		"\"name\":\"p\",\"kind\":\"tasks\"}},{\"kind\":\"team\","
		"\"object\":{\"name\":\"team-000\"}}");
	struct seam_conf_change ch = {.reason = "bench",
				      .operator_name = "bench"};
	struct seam_err e = SEAM_ERR_INIT;
	int i;

	for (i = 0; i < w->queues; i++)
		g_string_append_printf(
			s,
			",{\"kind\":\"queue\",\"object\":{\"name\":\"queue-"
			"%03d\",\"team\":\"team-000\",\"pool\":\"p\"}}",
			i);
	g_string_append(s, "]}");
	ch.change = json_tokener_parse(s->str);
	seam_conf_cell_init(&w->conf);
	seam_conf_publish(&w->conf,
			  seam_conf_commit(w->mem, &w->clock.clock, &ch,
					   w->clock.time + SEAM_SEC, &e));
	json_object_put(ch.change);
	g_string_free(s, TRUE);
}

static void add_workers(struct work *w, int n)
{
	struct seam_fleet_vm *f = calloc((size_t)n, sizeof(*f));
	int i;

	for (i = 0; i < n; i++) {
		struct seam_vm *vm = &f[i].vm;

		snprintf(vm->id, sizeof(vm->id), "worker-%05d", i);
		snprintf(vm->dc, sizeof(vm->dc), "dc-00");
		snprintf(vm->rack, sizeof(vm->rack), "rack-%04d", i / 4);
		snprintf(vm->pool, sizeof(vm->pool), "p");
		vm->cpu_milli = 32000;
		vm->memory_mb = 128 << 10;
		vm->boot = 1;
		seam_fake_workers_add(w->workers, vm);
	}
	seam_fleet_set(w->c.fleet, f, (size_t)n, w->clock.time);
	free(f);
}

static void work_open(struct work *w, int workers, int tasks)
{
	memset(w, 0, sizeof(*w));
	w->queues = tasks / QUEUE_TASKS + 1;
	seam_fake_clock_init(&w->clock, START);
	w->mem = seam_store_mem_new(&w->clock.clock);
	w->workers = seam_fake_workers_new(&w->clock.clock, 1);
	configure(w);
	w->c.fleet = seam_fleet_new();
	add_workers(w, workers);
	snprintf(w->c.node, sizeof(w->c.node), "entry-00#1");
	w->c.clock = &w->clock.clock;
	w->c.store = counting_init(&w->store, w->mem);
	w->owner.owner.ops = &part_ops;
	w->c.owner = &w->owner.owner;
	w->c.conf = &w->conf;
	w->link.workers.ops = &timed_ops;
	w->link.inner = seam_fake_link_new(w->workers);
	w->c.workers = &w->link.workers;
	w->c.placer = seam_placer_best_fit();
	w->c.sizes = seam_sizes_new();
	w->c.order = seam_task_order_weighted(&w->conf);
	w->c.lease = 15 * SEAM_SEC;
	w->c.skew = 200 * SEAM_MSEC;
	w->tasks = seam_tasks_new(&w->c);
}

static void work_close(struct work *w)
{
	seam_tasks_free(w->tasks);
	w->c.workers->ops->free(w->c.workers);
	w->c.placer->ops->free(w->c.placer);
	w->c.order->ops->free(w->c.order);
	seam_sizes_free(w->c.sizes);
	seam_fleet_free(w->c.fleet);
	seam_conf_cell_free(&w->conf);
	seam_fake_workers_free(w->workers);
	seam_store_close(w->mem);
}

/* CPU time in us of the passes of @seconds, without the fake workers. */
static double work_run(struct work *w, int seconds)
{
	int64_t sum = 0;
	int64_t at;
	int i;

	w->link.ns = 0;
	w->link.commands = 0;
	for (i = 0; i < seconds * 10; i++) {
		seam_fake_clock_set(&w->clock, w->clock.time + STEP);
		seam_fake_workers_tick(w->workers, w->clock.time);
		at = cpu_ns();
		seam_tasks_pass(w->tasks, w->clock.time);
		sum += cpu_ns() - at;
	}
	return (double)(sum - w->link.ns) / 1000;
}

static void put_tasks(struct work *w, int n)
{
	struct seam_conf *c = seam_conf_current(&w->conf);
	char id[SEAM_TASK_ID_SIZE];
	char queue[32];
	int done = 0;
	int i;

	for (i = 0; done < n && i < 2 * n; i++) {
		struct seam_err e = SEAM_ERR_INIT;
		struct seam_task_spec a = {
			.team = "team-000",
			.kind = "index",
			.group = "",
			.payload = "{\"run_ms\":3600000,\"cpu\":7000,"
				   "\"mem\":500}",
			.need = {8000, 1000, 0},
			.idempotent = true,
			.finish_by = SEAM_NEVER,
		};

		snprintf(queue, sizeof(queue), "queue-%03d", i % w->queues);
		a.queue = seam_conf_lookup(c, SEAM_CONF_QUEUE, queue);
		done += !seam_tasks_submit(w->tasks, &a, id,
					   w->clock.time + SEAM_SEC, &e);
	}
	seam_conf_unref(c);
}

static void put_worker_rows(struct work *w, int n)
{
	static const char row[] =
		"{\"use\":[{\"cpu_milli\":8000,\"memory_mb\":1000,"
		"\"accelerators\":0,\"bucket\":\"queue/team-000/queue-000/1\"}]"
		",\"fails\":[],\"quarantined\":0,\"probe_at\":0,\"reason\":\"\"}";
	char key[64];
	int i;

	for (i = 0; i < n; i++) {
		snprintf(key, sizeof(key), "worker/worker-%05d", i);
		put_row(w->mem, key, row);
	}
}

struct worker_cost {
	double first; /* us in the first second */
	double us;
	struct store_traffic store_traffic;
	size_t heap;
};

static struct worker_cost idle_workers(int n, bool rows)
{
	struct worker_cost c;
	struct work w;

	work_open(&w, n, 0);
	if (rows)
		put_worker_rows(&w, n);
	c.first = work_run(&w, 1);
	memset(&w.store.sum, 0, sizeof(w.store.sum));
	c.us = work_run(&w, 5) / 5;
	c.store_traffic = w.store.sum;
	c.heap = heap_bytes();
	seam_tasks_free(w.tasks);
	w.c.placer->ops->free(w.c.placer);
	c.heap -= heap_bytes();
	w.c.placer = seam_placer_best_fit();
	w.tasks = seam_tasks_new(&w.c);
	work_close(&w);
	return c;
}

/* Measures fleet updates and the read of worker rows in each second. */
static void bench_workers(void)
{
	static const int sizes[] = {2600, 6500, 13000, 26000};
	struct fit bare = {0};
	struct fit first = {0};
	struct fit rows = {0};
	struct fit reads = {0};
	struct fit bytes = {0};
	struct fit heap = {0};
	size_t k;

	printf("%8s %12s %12s %12s %8s %12s %12s\n", "workers", "us/s bare",
	       "first us", "us/s rows", "reads/s", "bytes/s", "heap");
	for (k = 0; k < 4; k++) {
		int n = sizes[k];
		struct worker_cost a = idle_workers(n, false);
		struct worker_cost b = idle_workers(n, true);

		printf("%8d %12.0f %12.0f %12.0f %8.1f %12.0f %12zu\n", n, a.us,
		       b.first - a.first, b.us - a.us,
		       b.store_traffic.reads / 5,
		       b.store_traffic.bytes_read / 5, b.heap);
		fit_add(&bare, n, a.us);
		fit_add(&first, n, b.first - a.first);
		fit_add(&rows, n, b.us - a.us);
		fit_add(&reads, n, b.store_traffic.reads / 5);
		fit_add(&bytes, n, b.store_traffic.bytes_read / 5);
		fit_add(&heap, n, (double)b.heap);
	}
	fit_print("fleet taken over by tasks", "us/s", "worker", &bare);
	fit_print("first round of worker rows", "us", "worker", &first);
	fit_print("scan of worker rows", "us/s", "worker", &rows);
	fit_print("scan of worker rows, reads", "reads/s", "worker", &reads);
	fit_print("scan of worker rows, bytes", "B/s", "worker", &bytes);
	fit_print("placement and worker rows heap", "bytes", "worker", &heap);
}

/* One node owns all buckets; tasks run, and none starts or ends. */
static void bench_tasks(void)
{
	static const int sizes[] = {400, 1000, 2000, 4000};
	struct fit cpu = {0};
	struct fit bytes = {0};
	struct fit reads = {0};
	struct fit heap = {0};
	struct fit cmds = {0};
	size_t k;

	printf("%8s %8s %12s %10s %12s %12s %10s\n", "tasks", "running", "us/s",
	       "reads/s", "bytes/s", "heap", "cmds/s");
	for (k = 0; k < 4; k++) {
		struct work w;
		size_t mem;
		double us;
		int run;

		work_open(&w, sizes[k] / TASKS_EACH, sizes[k]);
		work_run(&w, 1);
		put_tasks(&w, sizes[k]);
		work_run(&w, 20);
		run = seam_fake_workers_running(w.workers);
		memset(&w.store.sum, 0, sizeof(w.store.sum));
		us = work_run(&w, SECONDS) / SECONDS;
		mem = heap_bytes();
		seam_tasks_free(w.tasks);
		mem -= heap_bytes();
		w.tasks = seam_tasks_new(&w.c);
		printf("%8d %8d %12.0f %10.1f %12.0f %12zu %10.1f\n", sizes[k],
		       run, us, w.store.sum.reads / SECONDS,
		       w.store.sum.bytes_read / SECONDS, mem,
		       (double)w.link.commands / SECONDS);
		fit_add(&cpu, run, us);
		fit_add(&bytes, run, w.store.sum.bytes_read / SECONDS);
		fit_add(&reads, run, w.store.sum.reads / SECONDS);
		fit_add(&heap, run, (double)mem);
		fit_add(&cmds, run, (double)w.link.commands / SECONDS);
		work_close(&w);
	}
	fit_print("running tasks, all owned", "us/s", "task", &cpu);
	fit_print("running tasks, store reads", "reads/s", "task", &reads);
	fit_print("running tasks, bytes read", "B/s", "task", &bytes);
	fit_print("running tasks, commands", "commands/s", "task", &cmds);
	fit_print("running tasks heap", "bytes", "task", &heap);
}

/* One of 48 nodes, with the tasks of all in the store; none starts or ends. */
static void bench_buckets(void)
{
	static const int sizes[] = {1625, 3250, 6500, 13000};
	struct fit cpu = {0};
	struct fit bytes = {0};
	struct fit reads = {0};
	size_t k;

	printf("%8s %8s %12s %10s %12s %10s\n", "tasks", "own", "us/s",
	       "reads/s", "bytes/s", "cmds/s");
	for (k = 0; k < 4; k++) {
		struct work w;
		double us;

		work_open(&w, sizes[k] / TASKS_EACH, sizes[k]);
		work_run(&w, 1);
		put_tasks(&w, sizes[k]);
		work_run(&w, 15);
		w.owner.part = true;
		work_run(&w, 1);
		memset(&w.store.sum, 0, sizeof(w.store.sum));
		us = work_run(&w, 60) / 60;
		printf("%8d %8d %12.0f %10.1f %12.0f %10.1f\n", sizes[k],
		       seam_fake_workers_running(w.workers), us,
		       w.store.sum.reads / 60, w.store.sum.bytes_read / 60,
		       (double)w.link.commands / 60);
		fit_add(&cpu, sizes[k], us);
		fit_add(&bytes, sizes[k], w.store.sum.bytes_read / 60);
		fit_add(&reads, sizes[k], w.store.sum.reads / 60);
		work_close(&w);
	}
	fit_print("tasks of 48 nodes", "us/s", "task", &cpu);
	fit_print("tasks of 48 nodes, bytes read", "B/s", "task", &bytes);
	fit_print("tasks of 48 nodes, store reads", "reads/s", "task", &reads);
}

int main(int argc, char **argv)
{
	const char *only = argc > 1 ? argv[1] : NULL;

	seam_log_set_level(SEAM_ERROR);
	setvbuf(stdout, NULL, _IOLBF, 0);
	if (!only || !strcmp(only, "workers"))
		bench_workers();
	if (!only || !strcmp(only, "tasks"))
		bench_tasks();
	if (!only || !strcmp(only, "buckets"))
		bench_buckets();
	return 0;
}
