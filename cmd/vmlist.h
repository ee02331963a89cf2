#ifndef SEAM_VMLIST_H
#define SEAM_VMLIST_H

#include "process/platform.h"

/**
 * cmd_read_vm_list() - read the VM list of a fake platform from a file
 * @file: JSON array of objects with id, data_centre, rack, addr, pool,
 *        cpu_milli, memory_mb, accelerators
 * @out: receives the VMs; free with seam_vms_free()
 * @e: SEAM_BAD_CONFIG with the first problem
 *
 * Return: 0, or -1 with @e set and @out empty.
 */
int cmd_read_vm_list(const char *file, struct seam_vms *out,
		     struct seam_err *e);

#endif
