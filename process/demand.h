#ifndef SEAM_DEMAND_H
#define SEAM_DEMAND_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct seam_demand - demand for pools as reported by parts and other nodes
 *
 * Thread-safe. A report expires at its deadline, so that a source that has
 * ended does not keep VMs in the pool.
 */
struct seam_demand;

/** seam_demand_new() - create an empty table */
struct seam_demand *seam_demand_new(void);

/** seam_demand_free() - free the table; NULL is allowed */
void seam_demand_free(struct seam_demand *d);

/**
 * struct seam_demand_report - demand for one pool as seen by one source
 * @busy: units running
 * @waiting: units waiting
 * @per_vm: units that one VM runs concurrently; at least 1
 * @valid_until: the report is ignored after this time
 */
struct seam_demand_report {
	int64_t busy;
	int64_t waiting;
	int64_t per_vm;
	seam_time valid_until;
};

/** seam_demand_set() - replace the report of @source for @pool */
void seam_demand_set(struct seam_demand *d, const char *pool,
		     const char *source, const struct seam_demand_report *r);

struct seam_service;
struct seam_targets;

/**
 * seam_demand_service() - report a service's requests for its pool
 * @d: demand
 * @s: service
 * @ts: targets; requests of this node and those that peers reported count as
 *      busy
 * @waiting: requests waiting for a slot
 * @valid_until: deadline of the report
 */
void seam_demand_service(struct seam_demand *d, const struct seam_service *s,
			 struct seam_targets *ts, int64_t waiting,
			 seam_time valid_until);

/**
 * seam_demand_vms() - total demand of the valid reports for @pool
 * @vms: receives the sum, in VMs
 *
 * Return: false if there is no valid report; the caller then keeps its
 * forecast.
 */
bool seam_demand_vms(struct seam_demand *d, const char *pool, seam_time now,
		     double *vms);

#ifdef __cplusplus
}
#endif
#endif
