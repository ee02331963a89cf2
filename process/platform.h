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
 * @pool: pool it was created for, used until it is in a pool row; empty for
 *        VMs that belong to no pool, such as the entry VMs
 * @state: enum seam_vm_state
 * @cpu_milli: processors, in thousandths of a core
 * @memory_mb: memory in MB
 * @accelerators: number of accelerators
 * @boot: number of boots so far
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
 * struct seam_vms - VM list as of a time, or the changes to it
 * @vm: VMs; in a change, the new and modified ones; free with seam_vms_free()
 * @n: number of entries in @vm
 * @as_of: time at which the list was accurate; it lags behind the fleet
 * @change: @vm and @gone are the changes since the cursor of the request
 * @gone: ids of the VMs removed from the list; only in a change
 * @gone_n: number of entries in @gone
 * @total: number of VMs in the list after a change; 0 if unknown
 * @cursor: passed to the next call to get the changes since this response;
 *          empty if the platform does not support cursors
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
 * struct seam_platform_ops - services of the platform besides the store
 * @vms: get the whole list of live and leaving VMs, which lags
 * @reboot: reboot a VM; @boot is the boot number that the caller has seen, so
 *          that a repeated call does not reboot it twice
 * @changes: get the changes since a cursor, or the whole list if the cursor is
 *           empty, unknown or too old; NULL if the platform has whole lists
 *           only
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

/** seam_vm_equal() - whether all members are equal */
static inline bool seam_vm_equal(const struct seam_vm *a,
				 const struct seam_vm *b)
{
	return a->state == b->state && a->boot == b->boot &&
	       a->cpu_milli == b->cpu_milli && a->memory_mb == b->memory_mb &&
	       a->accelerators == b->accelerators && !strcmp(a->id, b->id) &&
	       !strcmp(a->dc, b->dc) && !strcmp(a->rack, b->rack) &&
	       !strcmp(a->addr, b->addr) && !strcmp(a->pool, b->pool);
}

/** seam_platform_http_new() - client of the platform at http://IP:PORT */
struct seam_platform *seam_platform_http_new(struct seam_clock *k,
					     const char *url);

/** seam_platform_http_free() - close the connections and free */
void seam_platform_http_free(struct seam_platform *p);

#ifdef __cplusplus
}
#endif
#endif
