#ifndef SEAM_SETTINGS_H
#define SEAM_SETTINGS_H

#include <stdint.h>

#include "base/json.h"

#ifdef __cplusplus
extern "C" {
#endif

/** enum seam_sizing - sizing policies of pools */
enum seam_sizing { SEAM_SIZING_READY, SEAM_SIZING_THRIFTY };

/**
 * struct seam_settings - settings of the daemon, read at start
 * @node: name of this node, unique in the fleet
 * @vm: id of its VM in the platform's list; defaults to @node
 * @data_centre: data centre of its VM
 * @listen: IP:PORT for callers and operators
 * @peer: IP:PORT for other nodes
 * @seeds: peer addresses, separated by commas, from which a node requests the
 *         configuration while it has never reached the store
 * @store: "memory" or http://IP:PORT of the platform
 * @operator_sha256: SHA-256 of the operators' key, in hexadecimal
 * @cluster_key: shared by the nodes; authenticates them to workers
 * @threads: connections of callers served at the same time
 * @drain_ms: maximum time for running requests to end after SIGTERM
 * @stale_serve_ms: age of the configuration up to which idempotent requests
 *                  are served
 * @stale_key_ms: the same for everything else
 * @clock_skew_ms: maximum difference between the clocks of two VMs
 * @vm_list_ms: age of the VM list up to which VMs are moved or maintained
 * @lease_ms: lease of a task on a worker
 * @store_writes: budget of rows written per second, for all nodes together
 * @store_reads: budget of reads per second, for all nodes together
 * @sizing: enum seam_sizing
 * @log_level: index of debug, info, warning, error
 *
 * Durations occur in settings only; state holds deadlines.
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

/** seam_settings_default() - set all members to their defaults */
void seam_settings_default(struct seam_settings *s);

/**
 * seam_settings_read() - read and validate settings
 * @o: JSON object
 * @s: receives the settings; those absent from @o get their defaults
 * @p: receives all problems with their paths
 *
 * Return: 0, or -1 if a problem was added.
 */
int seam_settings_read(struct json_object *o, struct seam_settings *s,
		       struct seam_problems *p);

/** seam_settings_check_addr() - report @addr at @name if it is not IP:PORT */
int seam_settings_check_addr(const char *name, const char *addr,
			     struct seam_problems *p);

/** seam_settings_read_file() - seam_settings_read() of a JSON file */
int seam_settings_read_file(const char *name, struct seam_settings *s,
			    struct seam_problems *p);

#ifdef __cplusplus
}
#endif
#endif
