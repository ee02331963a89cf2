/*
 * Benchmarks of pools in simulated time: buffer cost and moves, roll-out of
 * waves, cost of a pass, use of the store.
 *
 * usage: pool_bench [sizes|waves|month|tenth|pass|store]
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/log.h"
#include "bench/pool_fleet.h"

static double cpu_now(void)
{
	struct timespec t;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
	return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

/*
 * Queues that peak in turn: demand is 5 times the mean during a peak and a
 * twentieth of it otherwise.
 */
#define QUEUES 5
#define MEAN_VMS 4.0

static double demand_of(int q, seam_time t, seam_time peak)
{
	return t / peak % QUEUES == q ? MEAN_VMS * 5 : MEAN_VMS / 20;
}

struct size_result {
	double unmet; /* VM hours */
	double buffer; /* VM hours in pools above their demand */
	double spare; /* VM hours in the spare pool */
	int moves;
};

static void add_sample(struct size_result *s, double have, double need,
		       double hours)
{
	s->unmet += fmax(0, need - have) * hours;
	s->buffer += fmax(0, have - need) * hours;
}

static struct size_result run_sizes(const struct seam_size_policy *size,
				    int fleet, seam_time peak, seam_time span)
{
	struct bench *b = bench_new(
		"[{\"name\":\"q0\",\"kind\":\"service\",\"min\":1,\"budget\":8},"
		"{\"name\":\"q1\",\"kind\":\"service\",\"min\":1,\"budget\":8},"
		"{\"name\":\"q2\",\"kind\":\"service\",\"min\":1,\"budget\":8},"
		"{\"name\":\"q3\",\"kind\":\"service\",\"min\":1,\"budget\":8},"
		"{\"name\":\"q4\",\"kind\":\"service\",\"min\":1,\"budget\":8},"
		"{\"name\":\"spare\",\"kind\":\"spare\",\"budget\":32}]",
		size);
	struct size_result s = {0};
	seam_time by = 2 * SEC;
	seam_time t;
	char name[16];
	int i;

	for (i = 0; i < fleet; i++) {
		snprintf(name, sizeof(name), "q%d", i % QUEUES);
		add_vm(b, i, i % 3, i / 4, i < 20 ? name : "spare", 1);
	}
	for (t = 0; t < span; t += by) {
		for (i = 0; i < QUEUES; i++) {
			double need = demand_of(i, t, peak);
			struct seam_demand_report r = {
				.busy = (int64_t)(need * 1000),
				.per_vm = 1000,
				.valid_until = SEAM_NEVER,
			};

			snprintf(name, sizeof(name), "q%d", i);
			seam_demand_set(b->demand, name, "bench", &r);
			add_sample(&s, active_in(b, name), need, 2 / 3600.0);
		}
		s.spare += active_in(b, "spare") * 2 / 3600.0;
		step(b, by);
	}
	s.moves = seam_fake_platform_reboots(b->fake);
	bench_free(b);
	return s;
}

static struct size_result run_fixed(int each, seam_time peak, seam_time span)
{
	struct size_result s = {0};
	seam_time t;
	int i;

	for (t = 0; t < span; t += 2 * SEC)
		for (i = 0; i < QUEUES; i++)
			add_sample(&s, each, demand_of(i, t, peak), 2 / 3600.0);
	return s;
}

static void print_sized(const char *name, int fleet, struct size_result s)
{
	printf("  %-18s fleet %3d  buffer %7.1f  spare %7.1f  unmet %6.1f VM "
	       "hours, moves %d\n",
	       name, fleet, s.buffer, s.spare, s.unmet, s.moves);
}

static void bench_sizes(void)
{
	static const int peaks[] = {10, 600, 7200};
	seam_time span = 20 * HOUR;
	size_t i;

	for (i = 0; i < 3; i++) {
		seam_time peak = peaks[i] * SEC;

		printf("sizes: 5 queues, peaks of %d s in turn, 20 h\n",
		       peaks[i]);
		print_sized("fixed for peaks", 100, run_fixed(20, peak, span));
		print_sized("fixed, same fleet", 45, run_fixed(9, peak, span));
		print_sized("ready", 45,
			    run_sizes(seam_size_ready(), 45, peak, span));
		print_sized("thrifty", 45,
			    run_sizes(seam_size_thrifty(), 45, peak, span));
	}
}

static double single_vm_time(const char *kind)
{
	char *conf = g_strdup_printf(
		"[{\"name\":\"p\",\"kind\":\"%s\",\"budget\":1}]", kind);
	struct bench *b = bench_new(conf, NULL);
	double t;

	add_vm(b, 0, 0, 0, "p", 1);
	b->work = 120 * SEC;
	t = roll_out(b, 1);
	bench_free(b);
	g_free(conf);
	return t;
}

static void bench_waves(void)
{
	struct bench *b = bench_new(
		"[{\"name\":\"s0\",\"kind\":\"service\",\"budget\":2},"
		"{\"name\":\"s1\",\"kind\":\"service\",\"budget\":2},"
		"{\"name\":\"s2\",\"kind\":\"service\",\"budget\":2},"
		"{\"name\":\"s3\",\"kind\":\"service\",\"budget\":2},"
		"{\"name\":\"s4\",\"kind\":\"service\",\"budget\":2},"
		"{\"name\":\"batch\",\"kind\":\"tasks\",\"budget\":4}]",
		NULL);
	char name[16];
	int i;
	double target;
	double worker;
	double t;

	for (i = 0; i < 50; i++) {
		snprintf(name, sizeof(name), "s%d", i % 5);
		add_vm(b, i, i / 5 % 3, 100 + i / 5, name, 1);
	}
	for (i = 0; i < 50; i++)
		add_vm(b, 50 + i, i / 4 % 3, i / 4, "batch", 1);
	b->work = 120 * SEC;
	t = roll_out(b, 100);
	printf("waves: today, 50 targets in 5 pools and 50 workers, work ends "
	       "in 120 s: %.0f s\n",
	       t);
	target = single_vm_time("service");
	worker = single_vm_time("tasks");
	printf("waves: one target %.0f s, one worker %.0f s; one at a time, 50 "
	       "of each (computed): %.0f s\n",
	       target, worker, 50 * (target + worker));
	bench_free(b);
}

static char *pools_json(int n, int budget)
{
	GString *s = g_string_new("[");
	int i;

	for (i = 0; i < n; i++)
		g_string_append_printf(s,
				       "%s{\"name\":\"p%d\",\"kind\":\"tasks\","
				       "\"budget\":%d}",
				       i ? "," : "", i, budget);
	g_string_append(s, "]");
	return g_string_free(s, FALSE);
}

static void put_worker(struct bench *b, int i, int pools, int64_t boot)
{
	char name[16];

	snprintf(name, sizeof(name), "p%d", i / 4 % pools);
	add_vm(b, i, i / 4 / pools % DCS, i / 4, name, boot);
}

static int64_t count_overdue(struct bench *b)
{
	char **names = seam_pools_names(b->ps);
	int64_t n = 0;
	size_t i;
	size_t j;

	for (i = 0; names[i]; i++) {
		struct seam_pool_row r;

		if (seam_pool_get_row(b->ps, names[i], &r))
			continue;
		for (j = 0; j < r.n; j++)
			n += r.member[j].maintain_by < b->clock.time;
		seam_pool_row_free(&r);
	}
	g_strfreev(names);
	return n;
}

/*
 * Runs for 35 days: the maintenance period of 28 days and the week over which
 * the first deadlines are spread.
 */
static void bench_month(int pools, int vms, int fails_a_day)
{
	const int days = 35;
	char *conf = pools_json(pools, 4);
	struct bench *b = bench_new(conf, NULL);
	GQueue back = G_QUEUE_INIT;
	GRand *rng = g_rand_new_with_seed(1);
	seam_time by = 600 * SEC;
	struct seam_store_stats use;
	double cpu = cpu_now();
	int64_t worst = 0;
	int64_t boot = 1000;
	int fails = 0;
	int i;
	int n;

	for (i = 0; i < vms; i++)
		put_worker(b, i, pools, 1);
	b->work = 120 * SEC;
	for (n = 0; n < days * 144; n++) {
		while (fails < n * fails_a_day / 144) {
			char id[64];

			i = g_rand_int_range(rng, 0, vms);
			snprintf(id, sizeof(id), "vm-%05d", i);
			seam_fake_platform_del(b->fake, id);
			g_queue_push_tail(&back, GINT_TO_POINTER(i));
			fails++;
		}
		/* A failed VM returns after an hour. */
		while ((int)g_queue_get_length(&back) > fails_a_day / 24)
			put_worker(b, GPOINTER_TO_INT(g_queue_pop_head(&back)),
				   pools, boot++);
		step(b, by);
		if (n % 36 == 0)
			worst = MAX(worst, count_overdue(b));
	}
	use = seam_store_mem_stats(b->store);
	printf("month: %d pools, %d workers, %d days, %d failures, pass "
	       "each 600 s: reboots %d, most past the deadline at once %lld, "
	       "rows written %.3f/s, cpu %.1f ms a pass over all pools\n",
	       pools, vms, days, fails, seam_fake_platform_reboots(b->fake),
	       (long long)worst, (double)use.rows_written / (days * 86400.0),
	       (cpu_now() - cpu) * 1000 / n);
	g_rand_free(rng);
	g_queue_clear(&back);
	g_free(conf);
	bench_free(b);
}

static void bench_pass(void)
{
	static const int member_counts[] = {10, 50, 100, 500};
	size_t k;

	for (k = 0; k < 4; k++) {
		struct bench *b = bench_new(
			"[{\"name\":\"p0\",\"kind\":\"tasks\",\"budget\":4}]",
			NULL);
		struct seam_pool_row r;
		struct seam_pool *p;
		double cpu;
		double idle;
		double encode;
		int i;

		for (i = 0; i < member_counts[k]; i++)
			put_worker(b, i, 1, 1);
		for (i = 0; i < 6; i++)
			step(b, SEC);
		p = seam_pools_get_or_add(b->ps, "p0");
		/* 1000 passes: milliseconds in total are microseconds each. */
		cpu = cpu_now();
		for (i = 0; i < 1000; i++)
			seam_pool_pass(p, b->clock.time);
		idle = (cpu_now() - cpu) * 1000;
		if (seam_pool_get_row(b->ps, "p0", &r))
			exit(1);
		/* 200 rows, in microseconds each. */
		cpu = cpu_now();
		for (i = 0; i < 200; i++)
			free(seam_pool_row_write(&r));
		encode = (cpu_now() - cpu) * 5000;
		char *text = seam_pool_row_write(&r);
		printf("pass: %d members: %.1f us without a change, %.1f us "
		       "more to encode, row %zu bytes\n",
		       member_counts[k], idle, encode, strlen(text));
		free(text);
		seam_pool_row_free(&r);
		bench_free(b);
	}
}

static void bench_store(void)
{
	static const int pool_counts[] = {6, 50, 332};
	size_t k;

	for (k = 0; k < 3; k++) {
		char *conf = pools_json(pool_counts[k], 4);
		struct bench *b = bench_new(conf, seam_size_ready());
		struct seam_store_stats before;
		struct seam_store_stats use;
		struct seam_store_stats seen = {.reads = 0};
		struct seam_pools_env env = {.clock = &b->clock.clock,
					     .conf = &b->conf,
					     .hint_gaps = bench_gaps};
		struct seam_err e = SEAM_ERR_INIT;
		struct seam_pools *other;
		int i;
		int j;

		/* A node that owns no pool and only reads changed rows. */
		env.store = seam_store_mem_connect(b->store);
		other = b->other = seam_pools_new(&env);

		for (i = 0; i < pool_counts[k] * 8; i++)
			put_worker(b, i, pool_counts[k], 1);
		for (i = 0; i < 12; i++)
			step(b, SEC);
		for (i = 0; i < 12; i++)
			seam_pools_poll(other, b->clock.time + i * SEC, &e);
		before = seam_store_mem_stats(b->store);
		seen = seam_store_mem_stats(env.store);
		for (i = 0; i < 300; i++) {
			for (j = 0; j < pool_counts[k]; j++) {
				struct seam_demand_report r = {
					.busy = 20 + (i + j) % 5,
					.per_vm = 8,
					.valid_until = SEAM_NEVER,
				};
				char name[16];

				snprintf(name, sizeof(name), "p%d", j);
				seam_demand_set(b->demand, name, "n", &r);
			}
			step(b, SEC);
			seam_pools_poll(other, b->clock.time, &e);
		}
		use = seam_store_mem_stats(b->store);
		printf("store: %d pools, one owner: %.2f reads/s, %.2f rows "
		       "written/s; another node: %.2f reads/s\n",
		       pool_counts[k], (double)(use.reads - before.reads) / 300,
		       (double)(use.rows_written - before.rows_written) / 300,
		       (double)(seam_store_mem_stats(env.store).reads -
				seen.reads) /
			       300);
		b->other = NULL;
		seam_pools_free(other);
		seam_store_close(env.store);
		bench_free(b);
		g_free(conf);
	}
}

int main(int argc, char **argv)
{
	const char *only = argc > 1 ? argv[1] : NULL;

	seam_log_set_level(SEAM_ERROR);
	if (!only || !strcmp(only, "pass"))
		bench_pass();
	if (!only || !strcmp(only, "store"))
		bench_store();
	if (!only || !strcmp(only, "waves"))
		bench_waves();
	if (!only || !strcmp(only, "sizes"))
		bench_sizes();
	if (!only || !strcmp(only, "month"))
		bench_month(332, 26000, 380);
	if (only && !strcmp(only, "tenth"))
		bench_month(33, 2600, 38);
	return 0;
}
