#include "cmd/embedded.h"
#include "fake/fake.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>

#define TARGETS 5
#define WEB_TARGETS 3 /* the other targets are in pool spare */
#define TARGET_PORT 18100
#define TARGET_THREADS 16
#define WORKERS 3
#define WORKER_PORT 18110
#define TICK_MS 20

struct seam_embedded {
	struct seam_store *store;
	struct seam_fake_platform *platform;
	struct seam_fake_target *target[TARGETS];
	struct seam_fake_workers *workers;
	struct seam_fake_worker_http *worker[WORKERS];
	int64_t last_boot[WORKERS]; /* boot number last seen of each worker */
	struct seam_clock *clock;
	pthread_t ticker;
	pthread_mutex_t lock;
	pthread_cond_t stop_cond;
	bool ticker_started;
	bool stop;
};

static int add_target(struct seam_embedded *m, int i, const char *dc,
		      struct seam_err *e)
{
	struct seam_vm vm = {.cpu_milli = 4000, .memory_mb = 16384};

	snprintf(vm.id, sizeof(vm.id), "vm-%d", i + 1);
	snprintf(vm.dc, sizeof(vm.dc), "%s", dc);
	snprintf(vm.rack, sizeof(vm.rack), "rack-%d", i + 1);
	snprintf(vm.addr, sizeof(vm.addr), "127.0.0.1:%d", TARGET_PORT + i);
	snprintf(vm.pool, sizeof(vm.pool), i < WEB_TARGETS ? "web" : "spare");
	m->target[i] = seam_fake_target_new(vm.id, vm.addr, TARGET_THREADS);
	if (!m->target[i])
		return seam_fail(e, SEAM_UNAVAILABLE,
				 "embedded: cannot use address %s", vm.addr);
	seam_fake_platform_put(m->platform, &vm);
	return 0;
}

static int add_worker(struct seam_embedded *m, int i, const char *dc,
		      struct seam_err *e)
{
	struct seam_vm vm = {.cpu_milli = 8000, .memory_mb = 32768, .boot = 1};

	snprintf(vm.id, sizeof(vm.id), "worker-%d", i + 1);
	snprintf(vm.dc, sizeof(vm.dc), "%s", dc);
	snprintf(vm.rack, sizeof(vm.rack), "rack-%d", i + 1);
	snprintf(vm.addr, sizeof(vm.addr), "127.0.0.1:%d", WORKER_PORT + i);
	snprintf(vm.pool, sizeof(vm.pool), "batch");
	m->last_boot[i] = vm.boot;
	seam_fake_workers_add(m->workers, &vm);
	m->worker[i] = seam_fake_worker_http_new(m->workers, vm.id, vm.addr);
	if (!m->worker[i])
		return seam_fail(e, SEAM_UNAVAILABLE,
				 "embedded: cannot use address %s", vm.addr);
	seam_fake_platform_put(m->platform, &vm);
	return 0;
}

/* Resets each worker that the platform has rebooted: it loses its tasks. */
static void reset_rebooted_workers(struct seam_embedded *m)
{
	struct seam_platform *p = seam_fake_platform_base(m->platform);
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_vms vms = {.vm = NULL};
	size_t i;
	int w;

	if (p->ops->vms(p, &vms, seam_now(m->clock) + SEAM_SEC, &e))
		return;
	for (i = 0; i < vms.n; i++) {
		if (sscanf(vms.vm[i].id, "worker-%d", &w) != 1 || w < 1 ||
		    w > WORKERS || m->last_boot[w - 1] == vms.vm[i].boot)
			continue;
		m->last_boot[w - 1] = vms.vm[i].boot;
		seam_fake_workers_add(m->workers, &vms.vm[i]);
	}
	seam_vms_free(&vms);
}

/* Advances the tasks of the fake workers until the environment is freed. */
static void *ticker_main(void *arg)
{
	struct seam_embedded *m = arg;

	pthread_mutex_lock(&m->lock);
	while (!m->stop) {
		struct timespec ts;
		seam_time next_tick = seam_now(m->clock) + TICK_MS * SEAM_MSEC;

		reset_rebooted_workers(m);
		seam_fake_workers_tick(m->workers, seam_now(m->clock));
		ts.tv_sec = next_tick / SEAM_SEC;
		ts.tv_nsec = next_tick % SEAM_SEC * 1000;
		pthread_cond_timedwait(&m->stop_cond, &m->lock, &ts);
	}
	pthread_mutex_unlock(&m->lock);
	return NULL;
}

static int start_all(struct seam_embedded *m, const char *dc,
		     struct seam_err *e)
{
	int i;

	for (i = 0; i < TARGETS; i++)
		if (add_target(m, i, dc, e))
			return -1;
	for (i = 0; i < WORKERS; i++)
		if (add_worker(m, i, dc, e))
			return -1;
	if (pthread_create(&m->ticker, NULL, ticker_main, m))
		return seam_fail(e, SEAM_NO_MEMORY, NULL);
	m->ticker_started = true;
	return 0;
}

struct seam_embedded *seam_embedded_new(struct seam_clock *k, const char *dc,
					struct seam_err *e)
{
	struct seam_embedded *m = calloc(1, sizeof(*m));

	if (!m) {
		seam_fail(e, SEAM_NO_MEMORY, NULL);
		return NULL;
	}
	m->clock = k;
	pthread_mutex_init(&m->lock, NULL);
	pthread_cond_init(&m->stop_cond, NULL);
	m->store = seam_store_mem_new(k);
	m->platform = seam_fake_platform_new(k);
	m->workers = seam_fake_workers_new(k, 1);
	if (start_all(m, dc, e)) {
		seam_embedded_free(m);
		return NULL;
	}
	return m;
}

struct seam_store *seam_embedded_store(struct seam_embedded *m)
{
	return m->store;
}

struct seam_platform *seam_embedded_platform(struct seam_embedded *m)
{
	return seam_fake_platform_base(m->platform);
}

static void stop_ticker(struct seam_embedded *m)
{
	if (!m->ticker_started)
		return;
	pthread_mutex_lock(&m->lock);
	m->stop = true;
	pthread_cond_signal(&m->stop_cond);
	pthread_mutex_unlock(&m->lock);
	pthread_join(m->ticker, NULL);
}

static void *stop_target(void *arg)
{
	seam_fake_target_free(arg);
	return NULL;
}

static void *stop_worker(void *arg)
{
	seam_fake_worker_http_free(arg);
	return NULL;
}

/* Each server needs up to 2 s to stop, so they are stopped concurrently. */
static void stop_servers(struct seam_embedded *m)
{
	pthread_t thread[TARGETS + WORKERS];
	int n = 0;
	int i;

	for (i = 0; i < TARGETS; i++)
		if (pthread_create(&thread[n], NULL, stop_target, m->target[i]))
			stop_target(m->target[i]);
		else
			n++;
	for (i = 0; i < WORKERS; i++)
		if (pthread_create(&thread[n], NULL, stop_worker, m->worker[i]))
			stop_worker(m->worker[i]);
		else
			n++;
	for (i = 0; i < n; i++)
		pthread_join(thread[i], NULL);
}

void seam_embedded_free(struct seam_embedded *m)
{
	if (!m)
		return;
	stop_ticker(m);
	stop_servers(m);
	seam_fake_workers_free(m->workers);
	seam_fake_platform_free(m->platform);
	seam_store_close(m->store);
	pthread_cond_destroy(&m->stop_cond);
	pthread_mutex_destroy(&m->lock);
	free(m);
}
