#ifndef NODE_H
#define NODE_H

// Settings and VMs for nodes started by tests.
#include <cstdio>
#include <string>

#include "process/node.h"
#include "tests/addr.h"

// Node in data centre a; the operators' key is "op".
static inline seam_settings test_settings(const std::string &name, int port,
					  int peer_port)
{
	seam_settings s;

	seam_settings_default(&s);
	s.threads = 128; // 1,000 are slow under sanitizers
	snprintf(s.node, sizeof(s.node), "%s", name.c_str());
	snprintf(s.data_centre, sizeof(s.data_centre), "a");
	snprintf(s.listen, sizeof(s.listen), "%s", test_addr(port).c_str());
	snprintf(s.peer, sizeof(s.peer), "%s", test_addr(peer_port).c_str());
	seam_sha256_hex("op", s.operator_sha256);
	return s;
}

// VM in data centre a, in a rack of its own.
static inline seam_vm test_vm(const std::string &id, const char *pool, int port)
{
	seam_vm vm = {};

	snprintf(vm.id, sizeof(vm.id), "%s", id.c_str());
	snprintf(vm.dc, sizeof(vm.dc), "a");
	snprintf(vm.rack, sizeof(vm.rack), "rack-%s", id.c_str());
	snprintf(vm.addr, sizeof(vm.addr), "%s", test_addr(port).c_str());
	snprintf(vm.pool, sizeof(vm.pool), "%s", pool);
	return vm;
}

#endif
