#ifndef ADDR_H
#define ADDR_H

// Loopback addresses for tests. The address depends on the program and the
// working directory, so that tests of one or several checkouts can run in
// parallel.
#include <errno.h>
#include <unistd.h>

#include <functional>
#include <string>

static inline const char *test_host()
{
	static const std::string host = [] {
		char dir[4096] = "";
		if (!getcwd(dir, sizeof(dir)))
			dir[0] = '\0';
		size_t h = std::hash<std::string>()(
			std::string(dir) + program_invocation_short_name);
		return "127." + std::to_string(1 + h % 250) + "." +
		       std::to_string(h / 250 % 250) + ".1";
	}();
	return host.c_str();
}

// Returns ADDRESS:PORT.
static inline std::string test_addr(int port)
{
	return std::string(test_host()) + ":" + std::to_string(port);
}

static inline std::string test_url(int port)
{
	return "http://" + test_addr(port);
}

#endif
