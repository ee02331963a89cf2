#ifndef SEAM_SETTINGS_H
#define SEAM_SETTINGS_H

#include <stdint.h>

#include "base/json.h"

#ifdef __cplusplus
extern "C" {
#endif

/** enum seam_sizing - sizing policies to choose from */
enum seam_sizing { SEAM_SIZING_READY, SEAM_SIZING_THRIFTY };

/**
 * struct seam_settings - what a process is told at start
 * @node: name of this node, unique in the fleet
 * @vm: id of its VM in the platform's list; the node's name if empty
 * @data_centre: data centre of its VM
 * @listen: IP:PORT for callers and operators
 * @peer: IP:PORT for other nodes
 * @seeds: peer addresses, separated by commas, that a node asks for the
 *         configuration while it has never reached the store
 * @store: "memory" or http://IP:PORT of the platform
 * @operator_sha256: SHA-256 of the operators' key, in hexadecimal
 * @cluster_key: shared by the nodes; authenticates them to workers
 * @threads: connections of callers served at once
 * @drain_ms: longest time for running requests after SIGTERM
 * @stale_serve_ms: age of the configuration up to which idempotent requests
 *                  are served
 * @stale_key_ms: the same for everything else
 * @clock_skew_ms: greatest difference between clocks of VMs
 * @vm_list_ms: age of the VM list up to which VMs are moved or maintained
 * @lease_ms: lease of a task on a worker
 * @store_writes: rows written a second, for all nodes together
 * @store_reads: reads a second, for all nodes together
 * @sizing: index of ready, thrifty: sizing policy of pools
 * @log_level: index of debug, info, warning, error
 *
 * Periods are settings only; state holds deadlines.
 */
struct seam_settings {
	char node[64];
	char vm[64];
	char data_centre[64];
	char listen[64];
	char peer[64];
	char seeds[512];
	char store[128];
	char operator_sha256[65];
	char cluster_key[128];
	int64_t threads;
	int64_t drain_ms;
	int64_t stale_serve_ms;
	int64_t stale_key_ms;
	int64_t clock_skew_ms;
	int64_t vm_list_ms;
	int64_t lease_ms;
	int64_t store_writes;
	int64_t store_reads;
	int sizing;
	int log_level;
};

/** seam_settings_default() - fill in every default */
void seam_settings_default(struct seam_settings *s);

/**
 * seam_settings_read() - read and check settings
 * @o: object
 * @s: receives the settings over the defaults
 * @p: receives every problem with its path
 *
 * Return: 0, or -1 if a problem was added.
 */
int seam_settings_read(struct json_object *o, struct seam_settings *s,
		       struct seam_problems *p);

/** seam_settings_address() - add a problem at @name if @addr is no IP:PORT */
int seam_settings_address(const char *name, const char *addr,
			  struct seam_problems *p);

/** seam_settings_file() - seam_settings_read() of a file */
int seam_settings_file(const char *name, struct seam_settings *s,
		       struct seam_problems *p);

#ifdef __cplusplus
}
#endif
#endif
