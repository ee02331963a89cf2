#ifndef SEAM_PLATFORM_H
#define SEAM_PLATFORM_H

#include <stddef.h>
#include <stdlib.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/err.h"

#ifdef __cplusplus
extern "C" {
#endif

enum seam_vm_state { SEAM_VM_LIVE, SEAM_VM_LEAVING };

/**
 * struct seam_vm - one VM in the platform's list
 * @id: id, unique in the fleet
 * @dc: data centre
 * @rack: rack
 * @addr: IP:PORT of the target or worker that runs on it
 * @pool: pool it was made for; used only until it is in a pool row. Empty for
 *        VMs that no pool may have, such as the entry VMs
 * @state: enum seam_vm_state
 * @cpu_milli: processors, in thousandths of a core
 * @memory_mb: memory in MB
 * @accelerators: number of accelerators
 * @boot: number of boots; grows with each reboot
 */
struct seam_vm {
	char id[64];
	char dc[64];
	char rack[64];
	char addr[64];
	char pool[64];
	int state;
	int64_t cpu_milli;
	int64_t memory_mb;
	int64_t accelerators;
	int64_t boot;
};

/**
 * struct seam_vms - the list as of a time
 * @vm: VMs; free with seam_vms_free()
 * @n: their number
 * @as_of: time for which the platform vouches; the list lags
 */
struct seam_vms {
	struct seam_vm *vm;
	size_t n;
	seam_time as_of;
};

struct seam_platform;

/**
 * struct seam_platform_ops - what the platform offers besides the store
 * @vms: the lagging list of live and leaving VMs
 * @reboot: reboot a VM; @boot is the boot number that the caller saw, so that
 *          a repeated call does not reboot twice
 */
struct seam_platform_ops {
	int (*vms)(struct seam_platform *p, struct seam_vms *out,
		   seam_time deadline, struct seam_err *e);
	int (*reboot)(struct seam_platform *p, const char *vm, int64_t boot,
		      seam_time deadline, struct seam_err *e);
};

/** struct seam_platform - the platform; the vtable is the first member */
struct seam_platform {
	const struct seam_platform_ops *ops;
};

static inline void seam_vms_free(struct seam_vms *v)
{
	free(v->vm);
	v->vm = NULL;
	v->n = 0;
}

/** seam_platform_http_new() - the platform over HTTP at http://IP:PORT */
struct seam_platform *seam_platform_http_new(struct seam_clock *k,
					     const char *url);

/** seam_platform_http_free() - close its connections and free it */
void seam_platform_http_free(struct seam_platform *p);

#ifdef __cplusplus
}
#endif
#endif
