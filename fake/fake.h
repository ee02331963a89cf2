#ifndef SEAM_FAKE_H
#define SEAM_FAKE_H

#include <stdbool.h>
#include <stdint.h>

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

/** seam_fake_platform_down() - let every call fail, or work again */
void seam_fake_platform_down(struct seam_fake_platform *p, bool down);

/** seam_fake_platform_reboots() - reboots done so far */
int seam_fake_platform_reboots(struct seam_fake_platform *p);

/** seam_fake_platform_free() - free it */
void seam_fake_platform_free(struct seam_fake_platform *p);

#ifdef __cplusplus
}
#endif
#endif
