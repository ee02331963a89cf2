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
#include "process/wave.h"
#include "version/catalog.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct seam_ports - interface to the platform
 * @store: table service
 * @runners: connections to workers
 * @nodes: dispatchers of this node and of the other nodes
 * @vms: VM list and VM orders
 * @worker_rows: key prefix of worker rows
 * @worker: decode a worker row
 * @op_rows: key prefix of all rows written by operators
 * @config_row: key of the configuration row
 * @config: decode the configuration
 * @evacuation_rows: key prefix of the rows of data centre evacuations
 * @wave_rows: key prefix of the rows of maintenance waves
 * @wave: decode a wave; sets the time left until its deadline
 * @wave_status_rows: key prefix of the rows with the state of waves, read by
 *                    operators
 * @wave_state: encode the state of a wave; the caller frees the result
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
 * struct seam_op_state - this node's copy of the operators' rows
 * @ports: the platform
 * @clock: clock
 * @catalog: configuration in force
 * @lock: protects the two tables below
 * @evacuated: set of the names of data centres under evacuation
 * @waves: row key to struct seam_wave
 * @ready: a configuration is in force; atomic
 * @stop: the thread has to end; atomic
 * @thread: reads the rows
 */
struct seam_op_state {
	const struct seam_ports *ports;
	struct seam_clock *clock;
	struct seam_catalog_cell catalog;
	pthread_mutex_t lock;
	GHashTable *evacuated;
	GHashTable *waves;
	bool ready;
	bool stop;
	pthread_t thread;
};

/** seam_op_state_start() - start a thread that follows the operators' rows */
int seam_op_state_start(struct seam_op_state *s, const struct seam_ports *p,
			struct seam_clock *k, struct seam_err *e);

/** seam_op_state_stop() - stop the thread and free the state */
void seam_op_state_stop(struct seam_op_state *s);

/** seam_op_state_ready() - whether a configuration is in force */
bool seam_op_state_ready(struct seam_op_state *s);

/** seam_op_state_is_evacuated() - whether data centre @dc is being evacuated */
bool seam_op_state_is_evacuated(struct seam_op_state *s, const char *dc);

/**
 * seam_op_state_wave() - copy the wave with index @i; the caller frees @w->vm
 *
 * Return: false if there is no such wave.
 */
bool seam_op_state_wave(struct seam_op_state *s, unsigned i,
			struct seam_wave *w);

#ifdef __cplusplus
}
#endif
#endif
