#ifndef SEAM_PLATFORM_SETTINGS_H
#define SEAM_PLATFORM_SETTINGS_H

#include <stdint.h>

#include "base/json.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct seam_platform_settings - settings of a node on the users' platform
 * @node: name of this node
 * @data_centre: data centre of its VM
 * @listen: IP:PORT for callers
 * @ready: IP:PORT for the platform's probes
 * @control: IP:PORT for other nodes, operators' tools and metrics
 * @seeds: control addresses of other nodes, separated by commas
 * @store: IP:PORT of the table service
 * @vm_service: IP:PORT of the VM list
 * @threads: maximum number of open caller connections; each has a thread, also
 *           while it is idle; the longest idle one is closed when further
 *           callers come; 0 derives it from @memory_mb and @descriptors
 * @grace_ms: time from SIGTERM until the process is killed
 * @lease_max_ms: maximum length of a worker's lease
 * @vm_lease_ms: time after a takeover before VMs that the previous owner may
 *               have ordered are ordered again
 * @vm_orders_per_s: moves and maintenance orders that the VM service accepts
 *                   per second
 * @cpu_share: fraction of a core that the node may use
 * @cores: speed of that core relative to a standard one
 * @memory_mb: memory that the node may use
 * @descriptors: descriptors that it may use
 * @log_level: index of debug, info, warning, error
 */
struct seam_platform_settings {
	char node[64];
	char data_centre[64];
	char listen[64];
	char ready[64];
	char control[64];
	char seeds[512];
	char store[64];
	char vm_service[64];
	int64_t threads;
	int64_t grace_ms;
	int64_t lease_max_ms;
	int64_t vm_lease_ms;
	double vm_orders_per_s;
	double cpu_share;
	double cores;
	int64_t memory_mb;
	int64_t descriptors;
	int log_level;
};

/**
 * seam_platform_settings_read_file() - read and validate settings
 * @name: name of a JSON file with comments
 * @s: receives the settings; those absent from the file get their defaults
 * @p: receives all problems with their paths
 */
int seam_platform_settings_read_file(const char *name,
				     struct seam_platform_settings *s,
				     struct seam_problems *p);

#ifdef __cplusplus
}
#endif
#endif
