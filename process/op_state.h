#ifndef SEAM_OP_STATE_H
#define SEAM_OP_STATE_H

#include <pthread.h>
#include <stdbool.h>

#include <glib.h>

#include "base/clock.h"
#include "connection/lane.h"
#include "connection/runner.h"
#include "connection/vms.h"
#include "process/store.h"
#include "process/upkeep.h"
#include "version/catalog.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct seam_ports - the platform, as the product uses it
 * @store: table service
 * @runners: workers, as this node reaches them
 * @nodes: dispatchers of this node and of the others
 * @vms: VM list and orders for VMs
 * @worker_rows: prefix of the rows of workers
 * @worker: decode one
 * @op_rows: prefix of all rows that operators write
 * @config_row: key of the configuration
 * @config: decode it
 * @evacuation_rows: prefix of the rows of data centres that are taken out
 * @wave_rows: prefix of the rows of waves
 * @wave: decode one
 * @wave_status_rows: prefix of the rows in which operators read their states
 * @wave_state: encode one; free() it
 */
struct seam_ports {
	struct seam_store *store;
	struct seam_runners *runners;
	struct seam_nodes *nodes;
	struct seam_inventory *vms;
	const char *worker_rows;
	int (*worker)(const char *key, const char *text,
		      struct seam_worker_info *w, struct seam_err *e);
	const char *op_rows;
	const char *config_row;
	struct seam_catalog *(*config)(const char *text, struct seam_err *e);
	const char *evacuation_rows;
	const char *wave_rows;
	int (*wave)(const char *text, struct seam_wave *w, seam_time *left,
		    struct seam_err *e);
	const char *wave_status_rows;
	char *(*wave_state)(bool completed);
};

/**
 * struct seam_op_state - what operators ask for, as this node knows it
 * @ports: the platform
 * @clock: clock
 * @catalog: configuration in force
 * @lock: protects all below
 * @out: data centres that are taken out; set of names
 * @waves: key of its row to struct seam_wave
 * @ready: a configuration is in force
 */
struct seam_op_state {
	const struct seam_ports *ports;
	struct seam_clock *clock;
	struct seam_catalog_cell catalog;
	pthread_mutex_t lock;
	GHashTable *out;
	GHashTable *waves;
	bool ready;
	bool stop;
	pthread_t thread;
};

/** seam_op_state_start() - follow the operators' rows */
int seam_op_state_start(struct seam_op_state *s, const struct seam_ports *p,
			struct seam_clock *k, struct seam_err *e);

/** seam_op_state_stop() - stop and free */
void seam_op_state_stop(struct seam_op_state *s);

/** seam_op_state_ready() - whether a configuration is in force */
bool seam_op_state_ready(struct seam_op_state *s);

/** seam_op_state_is_out() - whether data centre @dc is taken out */
bool seam_op_state_is_out(struct seam_op_state *s, const char *dc);

/** seam_op_state_wave() - copy a wave; false past the last; free @w->vm */
bool seam_op_state_wave(struct seam_op_state *s, unsigned i,
			struct seam_wave *w);

#ifdef __cplusplus
}
#endif
#endif
