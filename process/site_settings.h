#ifndef SEAM_SITE_SETTINGS_H
#define SEAM_SITE_SETTINGS_H

#include <stdint.h>

#include "base/json.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct seam_site_settings - what a node on the users' platform is told
 * @node: name of this node
 * @data_centre: data centre of its VM
 * @listen: IP:PORT for callers
 * @ready: IP:PORT for the platform's probes
 * @control: IP:PORT for other nodes, operators' tools and metrics
 * @seeds: control addresses of other nodes, separated by commas
 * @store: IP:PORT of the table service
 * @vm_service: IP:PORT of the VM list
 * @threads: connections of callers that may be open; each has a thread, also
 *           while it is idle, and callers beyond them wait; 0 goes by the
 *           processor's share
 * @grace_ms: time from SIGTERM until the process is killed
 * @lease_max_ms: longest lease of a worker
 * @vm_lease_ms: a node that orders VMs after another waits so long
 * @vm_orders_per_s: moves and maintenance orders that the VM service takes in a
 *                   second
 * @cpu_share: part of a core that the node may use
 * @cores: how many times as fast that core is as a usual one
 * @log_level: index of debug, info, warning, error
 */
struct seam_site_settings {
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
	int log_level;
};

/**
 * seam_site_settings_file() - read and check settings
 * @name: file, JSON with comments
 * @s: receives the settings over the defaults
 * @p: receives every problem with its path
 */
int seam_site_settings_file(const char *name, struct seam_site_settings *s,
			    struct seam_problems *p);

#ifdef __cplusplus
}
#endif
#endif
