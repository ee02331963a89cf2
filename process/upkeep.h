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
 * struct seam_wave - VMs that operators want maintained
 * @number: number that the platform checks with each order
 * @vm: ids of the VMs
 * @vms: their number
 * @at_once: most that are away for it at the same time
 * @deadline: when all have been maintained
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
