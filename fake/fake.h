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
 * @delay_ms: time that each request takes
 * @refuse: refuse everything, marked as not run
 * @fail: run, then answer 500
 * @drop: run, then close the connection without an answer
 * @slots: requests at once; more are refused, marked as not run; 0 is 8
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
 * seam_fake_target_new() - target that answers with what it received
 * @id: id, part of each answer
 * @addr: IP:PORT, on a loopback address
 * @threads: connections served at once
 *
 * The answer is JSON: target, method, path, body, runs (requests run so far).
 */
struct seam_fake_target *seam_fake_target_new(const char *id, const char *addr,
					      int threads);

/** seam_fake_target_set() - change its faults */
void seam_fake_target_set(struct seam_fake_target *t,
			  const struct seam_fake_target_faults *f);

/** seam_fake_target_runs() - requests that it ran, answered or not */
int seam_fake_target_runs(struct seam_fake_target *t);

/** seam_fake_target_path_runs() - runs of requests with this path */
int seam_fake_target_path_runs(struct seam_fake_target *t, const char *path);

/** seam_fake_target_free() - stop it */
void seam_fake_target_free(struct seam_fake_target *t);

#define SEAM_FAKE_HOLD 64 /* requests for /hold that are answered together */

/** struct seam_fake_light - many small targets served by one thread */
struct seam_fake_light;

/**
 * seam_fake_light_new() - targets for measurements: they answer "ok" at once
 * @ip: loopback address
 * @port: port of the first one
 * @n: their number, on ports that follow each other
 */
struct seam_fake_light *seam_fake_light_new(const char *ip, int port, int n);

/** seam_fake_light_runs() - requests answered by all of them */
long seam_fake_light_runs(struct seam_fake_light *l);

/** seam_fake_light_free() - stop them */
void seam_fake_light_free(struct seam_fake_light *l);

/**
 * struct seam_fake_platform - VM list and reboots in memory
 */
struct seam_fake_platform;

/** seam_fake_platform_new() - platform without VMs */
struct seam_fake_platform *seam_fake_platform_new(struct seam_clock *k);

/** seam_fake_platform_base() - its vtable, for seam_node_new() */
struct seam_platform *seam_fake_platform_base(struct seam_fake_platform *p);

/** seam_fake_platform_put() - add or replace a VM */
void seam_fake_platform_put(struct seam_fake_platform *p,
			    const struct seam_vm *vm);

/** seam_fake_platform_del() - remove a VM */
void seam_fake_platform_del(struct seam_fake_platform *p, const char *id);

/** seam_fake_platform_restart() - forget the changes; cursors are unknown */
void seam_fake_platform_restart(struct seam_fake_platform *p);

/** seam_fake_platform_down() - let every call fail, or work again */
void seam_fake_platform_down(struct seam_fake_platform *p, bool down);

/**
 * struct seam_fake_platform_faults - faults of the platform
 * @down: every call fails
 * @lag: age that the list may have, microseconds
 * @reboot_time: time of a reboot, microseconds
 * @lose_answers: of 1,000 reboots, how many begin but answer an error
 * @fail_reboots: of 1,000 reboots, how many never come back
 * @seed: seed of the random choice
 * @log_max: changes of the list kept; older cursors get a whole list; 0 is
 *           4,096
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

/** seam_fake_platform_set() - set the faults */
void seam_fake_platform_set(struct seam_fake_platform *p,
			    const struct seam_fake_platform_faults *f);

/** seam_fake_platform_reboots() - reboots done so far */
int seam_fake_platform_reboots(struct seam_fake_platform *p);

/** seam_fake_platform_free() - free it */
void seam_fake_platform_free(struct seam_fake_platform *p);

/**
 * struct seam_fake_server_faults - faults of the platform over HTTP
 * @down: every path answers 503
 * @delay_ms: time that each request takes
 * @lose_answers: of 1,000 commits, how many apply without a whole answer
 * @writes_per_sec: bound on written rows a second; 0 is none
 * @reads_per_sec: bound on reads of rows a second; 0 is none
 */
struct seam_fake_server_faults {
	bool down;
	int64_t delay_ms;
	int64_t lose_answers;
	int64_t writes_per_sec;
	int64_t reads_per_sec;
};

struct seam_fake_server;

/**
 * seam_fake_server_new() - the platform's HTTP interface over fakes
 * @k: clock
 * @addr: IP:PORT
 * @mem: memory store, owned by the caller
 * @vms: platform, owned by the caller
 *
 * Faults can also be set by PUT /faults.
 */
struct seam_fake_server *seam_fake_server_new(struct seam_clock *k,
					      const char *addr,
					      struct seam_store *mem,
					      struct seam_platform *vms);

/** seam_fake_server_set() - change its faults */
void seam_fake_server_set(struct seam_fake_server *s,
			  const struct seam_fake_server_faults *f);

/** seam_fake_server_free() - stop it */
void seam_fake_server_free(struct seam_fake_server *s);

/**
 * struct seam_fake_worker_faults - behaviour of a fake worker
 * @paused: does nothing and answers nothing
 * @fail_all: each task fails 100 ms after its start
 * @fail_kind: the same for tasks of this kind
 * @lose_answers: of 1,000 commands, how many are done without an answer
 * @usage_lag: usage is reported as of this many microseconds ago
 * @no_listing: nothing is told but the answers to commands
 * @single: does not know the call with several renewals
 */
struct seam_fake_worker_faults {
	bool paused;
	bool fail_all;
	char fail_kind[64];
	int lose_answers;
	seam_time usage_lag;
	bool no_listing;
	bool single;
};

/**
 * struct seam_fake_workers - workers in memory
 *
 * The payload of a task decides what it does: {"run_ms":N,"cpu":N,"mem":N,
 * "fail":true,"once":true,"deaf":true}; "once" marks a task that must not have
 * effects twice, "deaf" one that takes no notice of a throttle. Promises that a
 * worker can see are checked with SEAM_INVARIANT: effects once, one valid lease
 * for a task, no start in a data centre more than 5 s after
 * seam_fake_workers_dc_out(), reservations within the size.
 */
struct seam_fake_workers;

/** seam_fake_workers_new() - no workers yet */
struct seam_fake_workers *seam_fake_workers_new(struct seam_clock *k,
						uint64_t seed);

/** seam_fake_workers_free() - free; links are freed before */
void seam_fake_workers_free(struct seam_fake_workers *f);

/** seam_fake_workers_add() - add a worker, or reboot it with @vm->boot */
void seam_fake_workers_add(struct seam_fake_workers *f,
			   const struct seam_vm *vm);

/** seam_fake_workers_del() - the worker is lost with all that it ran */
void seam_fake_workers_del(struct seam_fake_workers *f, const char *id);

/** seam_fake_workers_set() - change the faults of a worker */
void seam_fake_workers_set(struct seam_fake_workers *f, const char *id,
			   const struct seam_fake_worker_faults *faults);

/** seam_fake_workers_dc_out() - a data centre was taken out, or 0: is in */
void seam_fake_workers_dc_out(struct seam_fake_workers *f, const char *dc,
			      seam_time at);

/** seam_fake_workers_tick() - let time pass on all workers */
void seam_fake_workers_tick(struct seam_fake_workers *f, seam_time now);

/** seam_fake_workers_starts() - starts of a task, or of all if NULL */
int seam_fake_workers_starts(struct seam_fake_workers *f, const char *task);

/** seam_fake_workers_running() - tasks that run now */
int seam_fake_workers_running(struct seam_fake_workers *f);

/** seam_fake_workers_link() - link of one node to them, without HTTP */
struct seam_workers *seam_fake_workers_link(struct seam_fake_workers *f);

/** seam_fake_link_cut() - cut a link, or join it again */
void seam_fake_link_cut(struct seam_workers *s, bool cut);

struct seam_fake_worker_http;

/** seam_fake_worker_http_new() - serve worker @id over HTTP at @addr */
struct seam_fake_worker_http *
seam_fake_worker_http_new(struct seam_fake_workers *f, const char *id,
			  const char *addr);

/** seam_fake_worker_http_calls() - calls that it got */
int seam_fake_worker_http_calls(struct seam_fake_worker_http *h);

/** seam_fake_worker_http_free() - stop serving */
void seam_fake_worker_http_free(struct seam_fake_worker_http *h);

#ifdef __cplusplus
}
#endif
#endif
