#ifndef SEAM_VMS_H
#define SEAM_VMS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/err.h"
#include "version/catalog.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SEAM_LABELS 8

/**
 * struct seam_worker_info - what a worker says of itself
 * @id: its id
 * @born_ms: start of this life, milliseconds since 1970; 0 if it does not tell
 * @vm: id of its VM
 * @pool: pool
 * @addr: IP:PORT
 * @dc: data centre
 * @capacity: its resources
 * @label: its kind and its rack
 * @labels: their number
 * @draining: it leaves
 * @slow_ms: it stays slow for so long after its start
 * @leaves_ms: least time that is left, while it drains
 */
struct seam_worker_info {
	char id[SEAM_NAME];
	int64_t born_ms;
	char vm[SEAM_NAME];
	char pool[SEAM_NAME];
	char addr[SEAM_NAME];
	char dc[SEAM_NAME];
	struct seam_amount capacity;
	char label[SEAM_LABELS][SEAM_NAME];
	int labels;
	bool draining;
	int64_t slow_ms;
	int64_t leaves_ms;
};

/** enum seam_vm_phase - state of a VM in the platform's list */
enum seam_vm_phase {
	SEAM_PHASE_UP,
	SEAM_PHASE_MOVING,
	SEAM_PHASE_MAINTAINED,
	SEAM_PHASE_DOWN
};

/**
 * struct seam_vm_info - a VM in the platform's list
 * @vm: id of the VM, which stays
 * @pool: pool that it is in
 * @state: enum seam_vm_phase
 * @dc: data centre
 * @worker: id of the worker that runs on it, or ""
 */
struct seam_vm_info {
	char vm[SEAM_NAME];
	char pool[SEAM_NAME];
	int state;
	char dc[SEAM_NAME];
	char worker[SEAM_NAME];
};

/** enum seam_vm_said - the platform's answer to an order for a VM */
enum seam_vm_said {
	SEAM_VM_DONE,
	SEAM_VM_FENCED,
	SEAM_VM_BUSY, /* not up, or leaving */
	SEAM_VM_WRONG_WAVE,
	SEAM_VM_INVALID,
	SEAM_VM_THROTTLED
};

struct seam_inventory;

/**
 * struct seam_inventory_ops - the platform's list of VMs and orders for them
 * @list: all VMs; @vm is to be freed
 * @move: move a VM to a pool; all that runs on it ends at once
 * @maintain: maintain a VM for a wave; all that runs on it ends at once
 * @close: free
 *
 * SEAM_COMMIT_UNKNOWN of an order: it may have been carried out.
 */
struct seam_inventory_ops {
	int (*list)(struct seam_inventory *v, struct seam_vm_info **vm,
		    size_t *n, seam_time deadline, struct seam_err *e);
	int (*move)(struct seam_inventory *v, const char *vm, const char *pool,
		    uint64_t token, enum seam_vm_said *said, seam_time deadline,
		    struct seam_err *e);
	int (*maintain)(struct seam_inventory *v, const char *vm, int64_t wave,
			uint64_t token, enum seam_vm_said *said,
			seam_time deadline, struct seam_err *e);
	void (*close)(struct seam_inventory *v);
};

/** struct seam_inventory - the vtable is the first member */
struct seam_inventory {
	const struct seam_inventory_ops *ops;
};

#ifdef __cplusplus
}
#endif
#endif
