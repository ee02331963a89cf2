#ifndef SEAM_UPKEEP_H
#define SEAM_UPKEEP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "version/catalog.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct seam_wave - a set of VMs to maintain, as requested by operators
 * @number: wave number, which the platform checks on each order
 * @vm: ids of the VMs
 * @vms: number of VMs
 * @at_once: most VMs out of service for it at the same time
 * @deadline: time by which all VMs must have been maintained
 */
struct seam_wave {
	int64_t number;
	char (*vm)[SEAM_NAME];
	size_t vms;
	int at_once;
	seam_time deadline;
};

#ifdef __cplusplus
}
#endif
#endif
