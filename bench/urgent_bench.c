/*
 * Time to the start of urgent tasks at the target size, as far as one process
 * can show it: one of 48 owners with its 541 running tasks, 26,000 workers
 * without free capacity, urgent tasks submitted to another node. The simulated
 * clock has steps of 100 ms; the processor time of the passes is not included
 * and printed separately.
 */
#include <glib.h>
#include <string.h>

#include "base/log.h"
#include "bench/measure.h"
#include "bench/task_fleet.h"

#define FLEET_VMS 26000
#define OWN_TASKS 541 /* 26,000 tasks on 48 nodes */
#define WAITING 200
#define SAMPLES 200
#define INTERVAL_STEPS 20 /* an urgent task every 2 s */
#define START_TIMEOUT (60 * SEAM_SEC)

struct two_nodes {
	struct task_fleet fleet;
	struct seam_task_ctx other_ctx;
	struct seam_tasks *other;
	bool lose_hints;
	double pass[SAMPLES * INTERVAL_STEPS * 2];
	size_t passes;
};

static bool owns_nothing(struct seam_owner *o, const char *name, seam_time now)
{
	(void)o;
	(void)name;
	(void)now;
	return false;
}

static void hint(void *arg, const char *key)
{
	struct two_nodes *w = arg;

	if (!w->lose_hints)
		seam_tasks_hint(w->fleet.tasks, key);
}

static void add_full_row(struct two_nodes *w, const char *worker)
{
	static const char text[] =
		"{\"use\":[{\"cpu_milli\":32000,\"memory_mb\":1000,"
		"\"bucket\":\"queue/u/x/1\"}]}";
	struct seam_err e = SEAM_ERR_INIT;
	char key[96];
	struct seam_write put = {SEAM_PUT, key, SEAM_ANY_VERSION, text,
				 strlen(text)};
	struct seam_commit c = {&put, 1, 1, 0};

	snprintf(key, sizeof(key), "worker/%s", worker);
	if (seam_store_commit(w->fleet.store, &c, SEAM_NEVER, &e))
		abort();
}

/* Only the workers of own tasks answer; the others are full. */
static void add_fleet(struct two_nodes *w)
{
	struct seam_fleet_vm *f = calloc(FLEET_VMS, sizeof(*f));
	int i;

	for (i = 0; i < FLEET_VMS; i++) {
		struct seam_vm *vm = &f[i].vm;

		snprintf(vm->id, sizeof(vm->id), "vm%05d", i);
		snprintf(vm->dc, sizeof(vm->dc), "%c", 'a' + i / 4 % 3);
		snprintf(vm->rack, sizeof(vm->rack), "r%d", i / 4);
		snprintf(vm->pool, sizeof(vm->pool), "p");
		vm->cpu_milli = 32000;
		vm->memory_mb = 128 << 10;
		vm->boot = 1;
		if (i < OWN_TASKS)
			seam_fake_workers_add(w->fleet.workers, vm);
		else
			add_full_row(w, vm->id);
	}
	seam_fleet_set(w->fleet.c.fleet, f, FLEET_VMS, w->fleet.clock.time);
	free(f);
}

static void two_nodes_open(struct two_nodes *w, bool lose_hints)
{
	static const struct seam_owner_ops none_ops = {.is_owner =
							       owns_nothing};
	static struct seam_owner none = {&none_ops};
	char id[SEAM_TASK_ID_SIZE];
	int i;

	memset(w, 0, sizeof(*w));
	task_fleet_new(&w->fleet, 32, 3);
	add_fleet(w);
	w->lose_hints = lose_hints;
	w->other_ctx = w->fleet.c;
	snprintf(w->other_ctx.node, sizeof(w->other_ctx.node), "other#1");
	w->other_ctx.owner = &none;
	w->other_ctx.hint = hint;
	w->other_ctx.hint_arg = w;
	w->other = seam_tasks_new(&w->other_ctx);
	for (i = 0; i < OWN_TASKS + WAITING; i++)
		put(&w->fleet, "q", 32000, 30000, 3600000, false, id);
	for (i = 0; i < 300; i++)
		step(&w->fleet);
}

static void two_nodes_close(struct two_nodes *w)
{
	seam_tasks_free(w->other);
	task_fleet_free(&w->fleet);
}

/* Steps both nodes and records the duration of the owner's pass. The other node
 * only sends its hints. */
static void step_both(struct two_nodes *w)
{
	int64_t at;

	seam_fake_clock_set(&w->fleet.clock, w->fleet.clock.time + STEP);
	seam_fake_workers_tick(w->fleet.workers, w->fleet.clock.time);
	seam_tasks_pass(w->other, w->fleet.clock.time);
	at = cpu_ns();
	seam_tasks_pass(w->fleet.tasks, w->fleet.clock.time);
	if (w->passes < G_N_ELEMENTS(w->pass))
		w->pass[w->passes++] = (double)(cpu_ns() - at) / 1e6;
}

/* Submits an urgent task to the other node; returns the seconds to its start.
 */
static double urgent_start_s(struct two_nodes *w)
{
	struct seam_tasks *own = w->fleet.tasks;
	char id[SEAM_TASK_ID_SIZE];
	seam_time at = w->fleet.clock.time;
	int rc;

	w->fleet.tasks = w->other;
	rc = put(&w->fleet, "v", 32000, 30000, 5000, true, id);
	w->fleet.tasks = own;
	if (rc)
		return (double)START_TIMEOUT / SEAM_SEC;
	while (!seam_fake_workers_starts(w->fleet.workers, id) &&
	       w->fleet.clock.time < at + START_TIMEOUT)
		step_both(w);
	return (double)(w->fleet.clock.time - at) / SEAM_SEC;
}

static void bench_urgent(bool lose_hints)
{
	static struct two_nodes w;
	double wait[SAMPLES];
	int late = 0;
	int full;
	int n;
	int i;

	two_nodes_open(&w, lose_hints);
	full = seam_fake_workers_running(w.fleet.workers);
	for (n = 0; n < SAMPLES; n++) {
		/* Varies the interval, so that it is not aligned with the
		 * periods of the owner. */
		int steps = INTERVAL_STEPS + (int)(rnd() % 7);

		wait[n] = urgent_start_s(&w);
		late += wait[n] > 2.1;
		for (i = 0; i < steps; i++)
			step_both(&w);
	}
	qsort(wait, SAMPLES, sizeof(*wait), by_double);
	qsort(w.pass, w.passes, sizeof(*w.pass), by_double);
	printf("urgent start, 26,000 workers, %d of %d own slots in use, hints "
	       "%s: p50 %.1f s, p99 %.1f s, most %.1f s, %d of %d over 2.1 s; "
	       "a pass p50 %.1f ms, p99 %.1f ms, most %.1f ms\n",
	       full, OWN_TASKS, lose_hints ? "lost" : "sent",
	       percentile(wait, SAMPLES, 50), percentile(wait, SAMPLES, 99),
	       wait[SAMPLES - 1], late, SAMPLES,
	       percentile(w.pass, w.passes, 50),
	       percentile(w.pass, w.passes, 99), w.pass[w.passes - 1]);
	two_nodes_close(&w);
}

int main(void)
{
	seam_log_set_level(SEAM_ERROR);
	setvbuf(stdout, NULL, _IOLBF, 0);
	bench_urgent(false);
	bench_urgent(true);
	return 0;
}
