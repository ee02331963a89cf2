#ifndef SEAM_VMLIST_H
#define SEAM_VMLIST_H

#include "process/platform.h"

/**
 * cmd_vm_list() - read a VM list from a file
 * @file: JSON array of objects with id, data_centre, rack, addr, pool,
 *        cpu_milli, memory_mb, accelerators
 * @out: receives the VMs; free with seam_vms_free()
 * @e: SEAM_BAD_CONFIG with the first problem
 */
int cmd_vm_list(const char *file, struct seam_vms *out, struct seam_err *e);

#endif
