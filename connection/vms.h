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

#define SEAM_LABELS_MAX 8

/**
 * struct seam_worker_info - properties that a worker reports about itself
 * @id: worker id
 * @process_start_ms: start time of the process, milliseconds since 1970; 0 if
 *     it was not reported
 * @vm: id of its VM
 * @pool: pool
 * @addr: IP:PORT
 * @dc: data centre
 * @capacity: resources of the worker
 * @label: its kind and its rack
 * @labels: length of @label
 * @draining: it takes no new tasks and will end
 * @warmup_ms: time for which it stays slow after its start
 * @drain_left_ms: least time until a draining worker ends
 */
struct seam_worker_info {
	char id[SEAM_NAME_SIZE];
	int64_t process_start_ms;
	char vm[SEAM_NAME_SIZE];
	char pool[SEAM_NAME_SIZE];
	char addr[SEAM_NAME_SIZE];
	char dc[SEAM_NAME_SIZE];
	struct seam_resources capacity;
	char label[SEAM_LABELS_MAX][SEAM_NAME_SIZE];
	int labels;
	bool draining;
	int64_t warmup_ms;
	int64_t drain_left_ms;
};

/** enum seam_vm_phase - state of a VM in the platform's list */
enum seam_vm_phase {
	SEAM_PHASE_UP,
	SEAM_PHASE_MOVING,
	SEAM_PHASE_MAINTENANCE,
	SEAM_PHASE_DOWN,
	SEAM_PHASE_UNKNOWN /* a state of another name */
};

/**
 * struct seam_vm_info - a VM in the platform's list
 * @vm: id of the VM, which never changes
 * @pool: pool of the VM
 * @state: enum seam_vm_phase
 * @label: its kind and its rack
 * @labels: length of @label
 * @dc: data centre
 * @worker: id of the worker that runs on it, or ""
 */
struct seam_vm_info {
	char vm[SEAM_NAME_SIZE];
	char pool[SEAM_NAME_SIZE];
	int state;
	char label[SEAM_LABELS_MAX][SEAM_NAME_SIZE];
	int labels;
	char dc[SEAM_NAME_SIZE];
	char worker[SEAM_NAME_SIZE];
};

/** enum seam_vm_order_outcome - answer of the platform to an order for a VM */
enum seam_vm_order_outcome {
	SEAM_VM_DONE,
	SEAM_VM_FENCED,
	SEAM_VM_BUSY, /* the VM is not up, or is leaving */
	SEAM_VM_WRONG_WAVE,
	SEAM_VM_INVALID,
	SEAM_VM_THROTTLED
};

struct seam_inventory;

/**
 * struct seam_inventory_ops - the platform's VM list and orders for VMs
 * @list: list all VMs; the caller frees @vm; @complete receives whether none of
 *     them was left out
 * @move: move a VM to a pool; all that runs on it ends immediately
 * @maintain: maintain a VM for a wave; all that runs on it ends immediately
 * @close: close the connection and free it
 *
 * An order that fails with SEAM_COMMIT_UNKNOWN may have been carried out.
 */
struct seam_inventory_ops {
	int (*list)(struct seam_inventory *v, struct seam_vm_info **vm,
		    size_t *n, bool *complete, seam_time deadline,
		    struct seam_err *e);
	int (*move)(struct seam_inventory *v, const char *vm, const char *pool,
		    uint64_t token, enum seam_vm_order_outcome *outcome,
		    seam_time deadline, struct seam_err *e);
	int (*maintain)(struct seam_inventory *v, const char *vm, int64_t wave,
			uint64_t token, enum seam_vm_order_outcome *outcome,
			seam_time deadline, struct seam_err *e);
	void (*close)(struct seam_inventory *v);
};

/** struct seam_inventory - VM list and orders; the vtable is first */
struct seam_inventory {
	const struct seam_inventory_ops *ops;
};

#ifdef __cplusplus
}
#endif
#endif
