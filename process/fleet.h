#ifndef SEAM_FLEET_H
#define SEAM_FLEET_H

#include "process/platform.h"

#ifdef __cplusplus
extern "C" {
#endif

/** enum seam_member_state - state of a VM in its pool */
enum seam_member_state {
	SEAM_MEMBER_ACTIVE,
	SEAM_MEMBER_DRAINING,
	SEAM_MEMBER_REBOOTING,
	SEAM_MEMBER_JOINING,
	SEAM_MEMBER_FAILED
};

/**
 * struct seam_fleet_vm - a VM with its pool
 * @vm: from the platform's list; @vm.pool is the pool that it is in
 * @member: enum seam_member_state
 * @pool_version: version of the pool's row that lists it; 0 without a row
 */
struct seam_fleet_vm {
	struct seam_vm vm;
	int member;
	uint64_t pool_version;
};

/** struct seam_fleet - latest list of VMs and their pools; thread-safe */
struct seam_fleet;

/** seam_fleet_new() - create an empty list */
struct seam_fleet *seam_fleet_new(void);

/** seam_fleet_free() - free the list */
void seam_fleet_free(struct seam_fleet *f);

/**
 * seam_fleet_set() - replace the list with a copy of @vm
 *
 * Equal content changes only the time of the list.
 */
void seam_fleet_set(struct seam_fleet *f, const struct seam_fleet_vm *vm,
		    size_t n, seam_time as_of);

/**
 * seam_fleet_adopt() - replace the list without a copy
 * @f: fleet
 * @vm: array from malloc(), owned by the fleet from now on
 * @n: length of @vm
 * @as_of: time of the list
 *
 * Return: the new value of seam_fleet_changes().
 */
uint64_t seam_fleet_adopt(struct seam_fleet *f, struct seam_fleet_vm *vm,
			  size_t n, seam_time as_of);

/** seam_fleet_confirm() - the list is unchanged as of @as_of */
void seam_fleet_confirm(struct seam_fleet *f, seam_time as_of);

/**
 * seam_fleet_changes() - number of times that the content has changed
 * @f: fleet
 * @as_of: receives the time of the list
 */
uint64_t seam_fleet_changes(struct seam_fleet *f, seam_time *as_of);

/**
 * seam_fleet_copy() - copy the VMs of a pool
 * @f: fleet
 * @pool: pool, or NULL for all
 * @n: receives the number of VMs
 * @as_of: receives the time of the list; may be NULL
 *
 * Return: an array to be freed with free(); NULL if it is empty.
 */
struct seam_fleet_vm *seam_fleet_copy(struct seam_fleet *f, const char *pool,
				      size_t *n, seam_time *as_of);

#ifdef __cplusplus
}
#endif
#endif
