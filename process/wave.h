#ifndef SEAM_WAVE_H
#define SEAM_WAVE_H

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
 * @vms: number of entries in @vm
 * @at_once: maximum number of VMs out of service at the same time
 * @deadline: time by which all VMs must have been maintained
 */
struct seam_wave {
	int64_t number;
	char (*vm)[SEAM_NAME_SIZE];
	size_t vms;
	int at_once;
	seam_time deadline;
};

#ifdef __cplusplus
}
#endif
#endif
