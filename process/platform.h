#ifndef SEAM_PLATFORM_H
#define SEAM_PLATFORM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdlib.h>
#include <stdint.h>
#include <string.h>

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

#define SEAM_CURSOR_MAX 64

/**
 * struct seam_vms - the list as of a time, or what changed in it
 * @vm: VMs; in a change, those that are new or differ; seam_vms_free()
 * @n: their number
 * @as_of: time for which the platform vouches; the list lags
 * @change: @vm and @gone are the difference to the list of the cursor given
 * @gone: ids of the VMs that left the list; only in a change
 * @gone_n: their number
 * @total: VMs in the list after a change; 0 if the platform does not tell
 * @cursor: what the next call passes to get the changes since this answer;
 *          empty if the platform has no cursors
 */
struct seam_vms {
	struct seam_vm *vm;
	size_t n;
	seam_time as_of;
	bool change;
	char (*gone)[64];
	size_t gone_n;
	size_t total;
	char cursor[SEAM_CURSOR_MAX];
};

struct seam_platform;

/**
 * struct seam_platform_ops - what the platform offers besides the store
 * @vms: the lagging list of live and leaving VMs, whole
 * @reboot: reboot a VM; @boot is the boot number that the caller saw, so that
 *          a repeated call does not reboot twice
 * @changes: the list since a cursor: a change, or the whole list when the
 *           cursor is empty, unknown or too old; NULL if the platform has
 *           whole lists only
 */
struct seam_platform_ops {
	int (*vms)(struct seam_platform *p, struct seam_vms *out,
		   seam_time deadline, struct seam_err *e);
	int (*reboot)(struct seam_platform *p, const char *vm, int64_t boot,
		      seam_time deadline, struct seam_err *e);
	int (*changes)(struct seam_platform *p, const char *since,
		       struct seam_vms *out, seam_time deadline,
		       struct seam_err *e);
};

/** struct seam_platform - the platform; the vtable is the first member */
struct seam_platform {
	const struct seam_platform_ops *ops;
};

static inline void seam_vms_free(struct seam_vms *v)
{
	free(v->vm);
	free(v->gone);
	v->vm = NULL;
	v->gone = NULL;
	v->n = 0;
	v->gone_n = 0;
}

/** seam_vm_equal() - true if both say the same of the same VM */
static inline bool seam_vm_equal(const struct seam_vm *a,
				 const struct seam_vm *b)
{
	return a->state == b->state && a->boot == b->boot &&
	       a->cpu_milli == b->cpu_milli && a->memory_mb == b->memory_mb &&
	       a->accelerators == b->accelerators && !strcmp(a->id, b->id) &&
	       !strcmp(a->dc, b->dc) && !strcmp(a->rack, b->rack) &&
	       !strcmp(a->addr, b->addr) && !strcmp(a->pool, b->pool);
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
