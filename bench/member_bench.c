/*
 * member_bench - cost of membership and propagation time of versions
 *
 * usage: member_bench beats|zmq|drop|outage
 * Each line of output is one measurement. "zmq" measures real time; the others
 * measure simulated time, except for CPU time.
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/log.h"
#include "fake/fake.h"
#include "process/member.h"

#define STEP (50 * SEAM_MSEC)
#define START ((seam_time)1000000 * SEAM_SEC)
#define NODES_MAX 96
#define LATENCIES_MAX 400
#define OUTAGE (60 * SEAM_SEC)
#define ZMQ_CHANGES 30

struct bench_node {
	struct seam_store *view;
	struct seam_store *store;
	struct seam_node *node;
	struct seam_members *members;
	struct seam_versions *versions;
	struct seam_bus *bus;
	seam_time member_at;
	seam_time version_at;
	char addr[64];
};

struct bench {
	struct seam_fake_clock clock;
	struct seam_store *mem;
	struct seam_fake_platform *platform;
	struct seam_hub *hub;
	struct bench_node node[NODES_MAX];
	int n;
};

static double cpu_seconds(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

static void settings(struct seam_settings *s, int i, const char *peer)
{
	seam_settings_default(s);
	snprintf(s->node, sizeof(s->node), "entry-%02d", i);
	snprintf(s->vm, sizeof(s->vm), "entry-%02d", i);
	snprintf(s->data_centre, sizeof(s->data_centre), "dc-%d", i % 3);
	snprintf(s->peer, sizeof(s->peer), "%s", peer);
	snprintf(s->cluster_key, sizeof(s->cluster_key), "bench");
}

static void start_node(struct bench *b, int i)
{
	struct bench_node *n = &b->node[i];
	struct seam_budget_conf c = {
		.writes = 300, .reads = 1500, .seed = (uint64_t)i + 1};
	struct seam_settings s;
	struct seam_err e = SEAM_ERR_INIT;

	snprintf(n->addr, sizeof(n->addr), "peer-%d", i);
	settings(&s, i, n->addr);
	n->view = seam_store_mem_connect(b->mem);
	n->store = seam_store_budget_new(n->view, &b->clock.clock, &c);
	n->node = seam_node_new(&s, &b->clock.clock, n->store,
				seam_fake_platform_base(b->platform), &e);
	n->members = seam_members_new(n->node, (uint64_t)i + 1);
	n->versions = seam_versions_new(n->node, n->members);
	n->bus = seam_hub_join(b->hub, n->addr, seam_members_receive,
			       n->members);
	seam_members_set_bus(n->members, n->bus);
	/* Staggers the passes of the nodes. */
	n->member_at = b->clock.time + i * 37 % 1000 * SEAM_MSEC;
	n->version_at = n->member_at;
}

static void stop_node(struct bench_node *n)
{
	seam_bus_close(n->bus);
	seam_versions_free(n->versions);
	seam_members_free(n->members);
	seam_node_free(n->node);
	seam_store_close(n->store);
}

static struct bench *open_bench(int nodes)
{
	struct bench *b = g_new0(struct bench, 1);
	int i;

	seam_fake_clock_init(&b->clock, START);
	b->mem = seam_store_mem_new(&b->clock.clock);
	b->platform = seam_fake_platform_new(&b->clock.clock);
	b->hub = seam_hub_new(1);
	b->n = nodes;
	for (i = 0; i < nodes; i++)
		start_node(b, i);
	return b;
}

static void close_bench(struct bench *b)
{
	int i;

	for (i = 0; i < b->n; i++)
		stop_node(&b->node[i]);
	seam_hub_free(b->hub);
	seam_fake_platform_free(b->platform);
	seam_store_close(b->mem);
	g_free(b);
}

static void step(struct bench *b)
{
	int i;

	for (i = 0; i < b->n; i++) {
		struct bench_node *n = &b->node[i];
		seam_time now = b->clock.time;

		if (now >= n->member_at)
			n->member_at = seam_members_pass(n->members, now);
		if (now >= n->version_at)
			n->version_at = seam_versions_pass(n->versions, now);
	}
	seam_hub_deliver(b->hub);
	seam_fake_clock_set(&b->clock, b->clock.time + STEP);
}

static void run(struct bench *b, seam_time t)
{
	seam_time end = b->clock.time + t;

	while (b->clock.time < end)
		step(b);
}

static struct seam_conf *commit(struct seam_store *s, struct seam_clock *k,
				uint64_t expected)
{
	static const char text[] =
		"{\"put\":[{\"kind\":\"data_centre\",\"object\":{"
		"\"name\":\"dc-%d\",\"region\":\"r\"}}]}";
	struct seam_err e = SEAM_ERR_INIT;
	char *doc = g_strdup_printf(text, (int)(expected % 50));
	struct seam_conf_change ch = {.change = json_tokener_parse(doc),
				      .reason = "bench",
				      .operator_name = "bench",
				      .expected = expected};
	struct seam_conf *c =
		seam_conf_commit(s, k, &ch, seam_now(k) + 8 * SEAM_SEC, &e);

	json_object_put(ch.change);
	g_free(doc);
	return c;
}

static uint64_t version(struct seam_node *n)
{
	struct seam_conf *c = seam_conf_current(&n->conf);
	uint64_t v = seam_conf_version(c);

	seam_conf_unref(c);
	return v;
}

static void set_targets(struct seam_node *n, int count)
{
	struct seam_target_info *t = g_new0(struct seam_target_info, count);
	int i;

	for (i = 0; i < count; i++)
		snprintf(t[i].id, sizeof(t[i].id), "vm-%05d", i);
	seam_targets_set(n->targets, t, (size_t)count);
	g_free(t);
}

/* Changes the load of a tenth of the targets. */
static void change_load(struct seam_node *n, unsigned *seed)
{
	struct seam_table *t = seam_targets_lock(n->targets);
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_target *g;

	while ((g = seam_table_next(t, &h)))
		if (rand_r(seed) % 10 == 0)
			g->outstanding = rand_r(seed) % 8;
	seam_targets_unlock(n->targets);
}

static void bench_beats(int nodes, int targets, int seconds)
{
	struct bench *b = open_bench(nodes);
	unsigned seed = 1;
	uint64_t bytes = 0;
	double cpu;
	int i;
	int t;

	for (i = 0; i < nodes; i++)
		set_targets(b->node[i].node, targets);
	run(b, 8 * SEAM_SEC);
	for (i = 0; i < nodes; i++)
		bytes -= seam_hub_bytes(b->hub, b->node[i].addr);
	cpu = cpu_seconds();
	for (t = 0; t < seconds; t++) {
		for (i = 0; i < nodes; i++)
			change_load(b->node[i].node, &seed);
		run(b, SEAM_SEC);
	}
	cpu = cpu_seconds() - cpu;
	for (i = 0; i < nodes; i++)
		bytes += seam_hub_bytes(b->hub, b->node[i].addr);
	printf("beats members=%d targets=%d bytes/s/node=%.0f cpu%%/node=%.3f\n",
	       nodes, targets, (double)bytes / nodes / seconds,
	       cpu / nodes / seconds * 100);
	close_bench(b);
}

static int by_time(const void *a, const void *b)
{
	seam_time x = *(const seam_time *)a;
	seam_time y = *(const seam_time *)b;

	return x < y ? -1 : x > y;
}

static void print_times(const char *name, seam_time *t, int n)
{
	int mid = n / 2;
	int high = n * 99 / 100;

	qsort(t, (size_t)n, sizeof(*t), by_time);
	printf("%s n=%d p50=%.1f ms p99=%.1f ms max=%.1f ms\n", name, n,
	       (double)t[mid] / 1000, (double)t[high] / 1000,
	       (double)t[n - 1] / 1000);
}

static bool all_have(struct bench *b, uint64_t v)
{
	int i;

	for (i = 0; i < b->n; i++)
		if (version(b->node[i].node) < v)
			return false;
	return true;
}

/* Measures simulated time from starting a commit until all nodes have it. */
static void bench_drop(int drop)
{
	struct seam_hub_faults hf = {.drop = drop};
	static seam_time latency[LATENCIES_MAX];
	struct bench *b = open_bench(9);
	char name[64];
	int i;

	seam_conf_unref(commit(b->mem, &b->clock.clock, 0));
	run(b, 8 * SEAM_SEC);
	seam_hub_faults(b->hub, &hf);
	for (i = 0; i < 200; i++) {
		struct bench_node *n = &b->node[i % 9];
		seam_time at;
		struct seam_conf *c;

		run(b, (i * 7 % 20 + 20) * STEP);
		at = b->clock.time;
		c = commit(n->store, &b->clock.clock, version(n->node));
		if (!c) {
			latency[i] = 0;
			continue;
		}
		seam_conf_publish(&n->node->conf, c);
		n->version_at = 0;
		while (!all_have(b, version(n->node)) &&
		       b->clock.time < at + 60 * SEAM_SEC)
			step(b);
		latency[i] = b->clock.time - at;
	}
	snprintf(name, sizeof(name), "change, %d of 1000 messages lost", drop);
	print_times(name, latency, 200);
	close_bench(b);
}

static struct seam_store_stats total_use(struct bench *b)
{
	struct seam_store_stats sum = {0};
	int i;

	for (i = 0; i < b->n; i++) {
		struct seam_store_stats u =
			seam_store_mem_stats(b->node[i].view);

		sum.reads += u.reads;
		sum.rows_written += u.rows_written;
	}
	return sum;
}

static void print_use(struct bench *b, const char *name, seam_time t)
{
	struct seam_store_stats a = total_use(b);
	struct seam_store_stats z;
	double s = (double)t / SEAM_SEC;

	run(b, t);
	z = total_use(b);
	printf("store %s members=%d reads/s=%.1f reads/s/node=%.2f "
	       "rows/s/node=%.3f\n",
	       name, b->n, (double)(z.reads - a.reads) / s,
	       (double)(z.reads - a.reads) / s / b->n,
	       (double)(z.rows_written - a.rows_written) / s / b->n);
}

static bool settled(struct bench *b)
{
	char shard[32];
	int i;
	int k;

	for (i = 0; i < b->n; i++)
		if (b->clock.time - b->node[i].node->confirmed_at >
		    3 * SEAM_SEC)
			return false;
	for (k = 0; k < 50; k++) {
		int owners = 0;

		snprintf(shard, sizeof(shard), "pool/%d", k);
		for (i = 0; i < b->n; i++)
			owners += seam_is_owner(b->node[i].node->owner, shard,
						b->clock.time);
		if (owners != 1)
			return false;
	}
	return true;
}

static void print_settle(struct bench *b, const char *name)
{
	seam_time at = b->clock.time;

	while (!settled(b) && b->clock.time < at + 60 * SEAM_SEC)
		step(b);
	printf("settle %s members=%d time=%.2f s\n", name, b->n,
	       (double)(b->clock.time - at) / SEAM_SEC);
}

static void set_down(struct bench *b, int dc, bool down)
{
	struct seam_store_faults f = {.down = down};
	int i;

	for (i = 0; i < b->n; i++)
		if (dc < 0 || i % 3 == dc)
			seam_store_mem_set_faults(b->node[i].view, &f);
}

static void cut_dc(struct bench *b, int dc, bool cut)
{
	int i;
	int k;

	for (i = 0; i < b->n; i++)
		for (k = 0; k < b->n; k++)
			if (i % 3 == dc && k % 3 != dc) {
				seam_hub_partition(b->hub, b->node[i].addr,
						   b->node[k].addr, cut);
				seam_hub_partition(b->hub, b->node[k].addr,
						   b->node[i].addr, cut);
			}
}

static void bench_outage(int nodes)
{
	struct bench *b = open_bench(nodes);
	int i;

	seam_conf_unref(commit(b->mem, &b->clock.clock, 0));
	run(b, 10 * SEAM_SEC);
	print_use(b, "steady", 60 * SEAM_SEC);
	set_down(b, -1, true);
	run(b, OUTAGE);
	set_down(b, -1, false);
	print_use(b, "first 10 s after outage", 10 * SEAM_SEC);
	run(b, 30 * SEAM_SEC);
	set_down(b, -1, true);
	run(b, OUTAGE);
	set_down(b, -1, false);
	print_settle(b, "store outage");
	run(b, 30 * SEAM_SEC);
	set_down(b, 1, true);
	cut_dc(b, 1, true);
	run(b, OUTAGE);
	set_down(b, 1, false);
	cut_dc(b, 1, false);
	print_settle(b, "data centre cut off");
	run(b, 30 * SEAM_SEC);
	for (i = 0; i < nodes; i++)
		stop_node(&b->node[i]);
	for (i = 0; i < nodes; i++)
		start_node(b, i);
	print_settle(b, "restart of all nodes");
	close_bench(b);
}

/* Runs 9 nodes with all their threads over ZeroMQ on loopback. */
static void bench_zmq(seam_time delay)
{
	struct seam_store_faults f = {.delay = delay};
	struct seam_clock *k = seam_clock_real();
	struct seam_store *mem = seam_store_mem_new(k);
	struct seam_fake_platform *p = seam_fake_platform_new(k);
	static seam_time latency[LATENCIES_MAX];
	struct seam_node *node[9];
	struct seam_err e = SEAM_ERR_INIT;
	char peer[32];
	char name[64];
	double cpu;
	int i;
	int j;

	seam_conf_unref(commit(mem, k, 0));
	for (i = 0; i < 9; i++) {
		struct seam_settings s;

		snprintf(peer, sizeof(peer), "127.0.0.1:%d", 24500 + i);
		settings(&s, i, peer);
		snprintf(s.listen, sizeof(s.listen), "127.0.0.1:%d", 24520 + i);
		s.threads = 4;
		node[i] = seam_node_new(&s, k, mem, seam_fake_platform_base(p),
					&e);
		if (seam_node_start(node[i], &e)) {
			fprintf(stderr, "member_bench: %s\n", e.text);
			exit(1);
		}
	}
	g_usleep(8 * G_USEC_PER_SEC);
	cpu = cpu_seconds();
	g_usleep(5 * G_USEC_PER_SEC);
	printf("zmq idle cpu%%/node=%.3f\n",
	       (cpu_seconds() - cpu) / 5 / 9 * 100);
	seam_store_mem_set_faults(mem, &f);
	for (j = 0; j < ZMQ_CHANGES; j++) {
		struct seam_node *n = node[j % 9];
		struct seam_conf *c;
		seam_time at;

		g_usleep(20000);
		at = seam_now(k);
		c = commit(mem, k, version(n));
		seam_conf_publish(&n->conf, c);
		seam_node_sync_versions(n);
		for (i = 0; i < 9; i++)
			while (version(node[i]) < (uint64_t)j + 2)
				g_usleep(50);
		latency[j] = seam_now(k) - at;
	}
	snprintf(name, sizeof(name), "zmq change, store delay %d ms",
		 (int)(delay / SEAM_MSEC));
	print_times(name, latency, ZMQ_CHANGES);
	for (i = 0; i < 9; i++)
		seam_node_free(node[i]);
	seam_fake_platform_free(p);
	seam_store_close(mem);
}

int main(int argc, char **argv)
{
	static const int members[] = {3, 9, 24, 48, 96};
	static const int targets[] = {50, 500, 5000};
	const char *what = argc > 1 ? argv[1] : "";
	size_t i;
	size_t k;

	seam_log_set_level(SEAM_ERROR);
	setvbuf(stdout, NULL, _IOLBF, 0);
	if (!strcmp(what, "beats"))
		for (i = 0; i < 5; i++)
			for (k = 0; k < 3; k++)
				bench_beats(members[i], targets[k], 5);
	else if (!strcmp(what, "zmq"))
		for (i = 0; i < 3; i++)
			bench_zmq((seam_time)i * 100 * SEAM_MSEC);
	else if (!strcmp(what, "drop"))
		for (i = 0; i < 3; i++)
			bench_drop((int)i * 200);
	else if (!strcmp(what, "outage"))
		for (i = 1; i < 4; i++)
			bench_outage(members[i]);
	else
		fprintf(stderr, "usage: member_bench beats|zmq|drop|outage\n");
	return *what ? 0 : 2;
}
