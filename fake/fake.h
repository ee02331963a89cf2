#ifndef SEAM_FAKE_H
#define SEAM_FAKE_H

#include <stdbool.h>
#include <stdint.h>

#include "connection/workerlink.h"
#include "process/platform.h"
#include "process/store.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct seam_fake_target_faults - behaviour of a fake target
 * @delay_ms: run time of each request
 * @refuse: refuse all requests, marked as not run
 * @fail: run the request, then answer 500
 * @drop: run the request, then close the connection within the answer
 * @slots: concurrent requests; more are refused, marked as not run; 0 is 8
 */
struct seam_fake_target_faults {
	int delay_ms;
	bool refuse;
	bool fail;
	bool drop;
	int slots;
};

struct seam_fake_target;

/**
 * seam_fake_target_new() - start a target that echoes its requests
 * @id: id, part of each answer
 * @addr: IP:PORT, on a loopback address
 * @threads: connections served concurrently
 *
 * The answer is JSON: target, method, path, body, runs (requests run so far).
 *
 * Return: the target, or NULL if the address cannot be used.
 */
struct seam_fake_target *seam_fake_target_new(const char *id, const char *addr,
					      int threads);

/** seam_fake_target_set_faults() - set its faults */
void seam_fake_target_set_faults(struct seam_fake_target *t,
				 const struct seam_fake_target_faults *f);

/** seam_fake_target_runs() - requests that it ran, answered or not */
int seam_fake_target_runs(struct seam_fake_target *t);

/** seam_fake_target_path_runs() - requests with this path that it ran */
int seam_fake_target_path_runs(struct seam_fake_target *t, const char *path);

/** seam_fake_target_free() - stop and free it */
void seam_fake_target_free(struct seam_fake_target *t);

#define SEAM_FAKE_HOLD_BATCH 64 /* requests for /hold answered as a batch */

/** struct seam_fake_bench_targets - benchmark targets on one thread */
struct seam_fake_bench_targets;

/**
 * seam_fake_bench_targets_new() - start targets that answer "ok" without delay
 * @ip: loopback address
 * @port: port of the first target
 * @n: number of targets, on consecutive ports
 */
struct seam_fake_bench_targets *seam_fake_bench_targets_new(const char *ip,
							    int port, int n);

/** seam_fake_bench_targets_runs() - requests received by all of them */
long seam_fake_bench_targets_runs(struct seam_fake_bench_targets *l);

/** seam_fake_bench_targets_free() - stop and free them */
void seam_fake_bench_targets_free(struct seam_fake_bench_targets *l);

/** struct seam_fake_platform - VM list and reboots in memory */
struct seam_fake_platform;

/** seam_fake_platform_new() - create a platform without VMs */
struct seam_fake_platform *seam_fake_platform_new(struct seam_clock *k);

/** seam_fake_platform_base() - its vtable, for seam_node_new() */
struct seam_platform *seam_fake_platform_base(struct seam_fake_platform *p);

/** seam_fake_platform_put() - add or replace a VM */
void seam_fake_platform_put(struct seam_fake_platform *p,
			    const struct seam_vm *vm);

/** seam_fake_platform_del() - remove a VM */
void seam_fake_platform_del(struct seam_fake_platform *p, const char *id);

/** seam_fake_platform_restart() - drop the change log; no cursor is valid */
void seam_fake_platform_restart(struct seam_fake_platform *p);

/** seam_fake_platform_set_down() - make every call fail, or succeed again */
void seam_fake_platform_set_down(struct seam_fake_platform *p, bool down);

/**
 * struct seam_fake_platform_faults - faults of the platform
 * @down: every call fails
 * @lag: maximum age of the list, microseconds
 * @reboot_time: duration of a reboot, microseconds
 * @lose_answers: of 1,000 reboots, how many begin but return an error
 * @fail_reboots: of 1,000 reboots, how many never complete
 * @seed: seed of the random choices
 * @log_max: changes of the list that are kept; older cursors get the whole
 *           list; 0 is 4,096
 */
struct seam_fake_platform_faults {
	bool down;
	seam_time lag;
	seam_time reboot_time;
	int lose_answers;
	int fail_reboots;
	uint64_t seed;
	int log_max;
};

/** seam_fake_platform_set_faults() - set the faults */
void seam_fake_platform_set_faults(struct seam_fake_platform *p,
				   const struct seam_fake_platform_faults *f);

/** seam_fake_platform_reboots() - reboots begun so far */
int seam_fake_platform_reboots(struct seam_fake_platform *p);

/** seam_fake_platform_free() - free it */
void seam_fake_platform_free(struct seam_fake_platform *p);

/**
 * struct seam_fake_platform_http_faults - faults of the platform over HTTP
 * @down: every path answers 503
 * @delay_ms: delay of each request
 * @lose_answers: of 1,000 commits, how many apply but have a truncated answer
 * @writes_per_sec: limit of rows written per second; 0 for no limit
 * @reads_per_sec: limit of row reads per second; 0 for no limit
 */
struct seam_fake_platform_http_faults {
	bool down;
	int64_t delay_ms;
	int64_t lose_answers;
	int64_t writes_per_sec;
	int64_t reads_per_sec;
};

struct seam_fake_platform_http;

/**
 * seam_fake_platform_http_new() - serve a store and a platform over HTTP
 * @k: clock
 * @addr: IP:PORT
 * @mem: memory store, owned by the caller
 * @platform: platform, owned by the caller
 *
 * Faults can also be set with PUT /faults.
 *
 * Return: the server, or NULL if the address cannot be used.
 */
struct seam_fake_platform_http *
seam_fake_platform_http_new(struct seam_clock *k, const char *addr,
			    struct seam_store *mem,
			    struct seam_platform *platform);

/** seam_fake_platform_http_set_faults() - set its faults */
void seam_fake_platform_http_set_faults(
	struct seam_fake_platform_http *s,
	const struct seam_fake_platform_http_faults *f);

/** seam_fake_platform_http_free() - stop and free it */
void seam_fake_platform_http_free(struct seam_fake_platform_http *s);

/**
 * struct seam_fake_worker_faults - behaviour of a fake worker
 * @paused: the worker neither runs tasks nor answers
 * @fail_all: each task fails 100 ms after its start
 * @fail_kind: as @fail_all, for tasks of this kind only
 * @lose_answers: of 1,000 commands, how many are carried out without an answer
 * @usage_lag: age of the reported usage, microseconds
 * @no_listing: listings are empty; only commands are answered
 * @no_renew_all: the worker does not support the batched call for renewals
 */
struct seam_fake_worker_faults {
	bool paused;
	bool fail_all;
	char fail_kind[64];
	int lose_answers;
	seam_time usage_lag;
	bool no_listing;
	bool no_renew_all;
};

/**
 * struct seam_fake_workers - workers in memory
 *
 * The payload of a task controls it: {"run_ms":N,"cpu":N,"mem":N,"fail":true,
 * "once":true,"deaf":true}; "once" marks a task that must not start twice,
 * "deaf" one that ignores a throttle. The guarantees that a worker can observe
 * are checked with SEAM_INVARIANT: no second start of a "once" task, one valid
 * lease for a task, no start in a data centre more than 5 s after
 * seam_fake_workers_set_dc_out(), reservations within the size.
 */
struct seam_fake_workers;

/** seam_fake_workers_new() - create an empty set of workers */
struct seam_fake_workers *seam_fake_workers_new(struct seam_clock *k,
						uint64_t seed);

/** seam_fake_workers_free() - free them; their links must be freed before */
void seam_fake_workers_free(struct seam_fake_workers *f);

/** seam_fake_workers_add() - add a worker, or reboot it to @vm->boot */
void seam_fake_workers_add(struct seam_fake_workers *f,
			   const struct seam_vm *vm);

/** seam_fake_workers_del() - remove a worker with the tasks that it runs */
void seam_fake_workers_del(struct seam_fake_workers *f, const char *id);

/** seam_fake_workers_set_faults() - set the faults of a worker */
void seam_fake_workers_set_faults(struct seam_fake_workers *f, const char *id,
				  const struct seam_fake_worker_faults *faults);

/** seam_fake_workers_set_dc_out() - data centre taken out at @at, or in if 0 */
void seam_fake_workers_set_dc_out(struct seam_fake_workers *f, const char *dc,
				  seam_time at);

/** seam_fake_workers_tick() - end the tasks that are due at @now */
void seam_fake_workers_tick(struct seam_fake_workers *f, seam_time now);

/** seam_fake_workers_starts() - starts of a task, or of all tasks if NULL */
int seam_fake_workers_starts(struct seam_fake_workers *f, const char *task);

/** seam_fake_workers_running() - number of running tasks */
int seam_fake_workers_running(struct seam_fake_workers *f);

/** seam_fake_link_new() - create a node's link to them, without HTTP */
struct seam_workers *seam_fake_link_new(struct seam_fake_workers *f);

/** seam_fake_link_set_down() - interrupt a link, or restore it */
void seam_fake_link_set_down(struct seam_workers *s, bool cut);

struct seam_fake_worker_http;

/** seam_fake_worker_http_new() - serve worker @id over HTTP at @addr */
struct seam_fake_worker_http *
seam_fake_worker_http_new(struct seam_fake_workers *f, const char *id,
			  const char *addr);

/** seam_fake_worker_http_calls() - requests received */
int seam_fake_worker_http_calls(struct seam_fake_worker_http *h);

/** seam_fake_worker_http_free() - stop and free it */
void seam_fake_worker_http_free(struct seam_fake_worker_http *h);

#ifdef __cplusplus
}
#endif
#endif
