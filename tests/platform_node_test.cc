// A node on the users' platform: its term.
#include <gtest/gtest.h>

#include "platform/callers.h"
#include "process/platform_node.h"
#include "tests/addr.h"
#include "tests/world.h"

namespace
{
struct PlatformNode : testing::Test {
	World w;
	seam_platform_node n = {};
	seam_platform_settings s = {};

	void start()
	{
		seam_err e = SEAM_ERR_INIT;

		snprintf(s.node, sizeof(s.node), "a");
		snprintf(s.data_centre, sizeof(s.data_centre), "d1");
		snprintf(s.listen, sizeof(s.listen), "%s",
			 test_addr(28410).c_str());
		snprintf(s.ready, sizeof(s.ready), "%s",
			 test_addr(28411).c_str());
		snprintf(s.control, sizeof(s.control), "%s",
			 test_addr(28412).c_str());
		s.threads = 16;
		s.grace_ms = 1000;
		s.lease_max_ms = 6000;
		s.vm_lease_ms = 500;
		s.vm_orders_per_s = 64;
		s.cpu_share = 1;
		s.cores = 1;
		ASSERT_EQ(seam_platform_node_start(&n, &s, w.clock, &w.ports,
						   &seam_platform_front, &e),
			  0)
			<< e.text;
	}
};

// Guards against a term that another node claims while its owner still reads
// the jobs: on links of 2 Mbit/s the owner changed every 1.8 s and no job ran
// again.
TEST_F(PlatformNode, TermIsRenewedWhileTheJobsAreRead)
{
	uint64_t seen = 0;
	int longest_ms = 0;
	int gap_ms = 0;

	for (int i = 0; i < 1600; i++) {
		char id[SEAM_JOB_ID_SIZE];

		snprintf(id, sizeof(id), "%x%015x", i % 16, i);
		w.job(id, 1, "100", 1, nullptr, "elsewhere");
	}
	w.store.scan_row_us = 2000;
	start();
	ASSERT_TRUE(eventually(
		[&] { return w.store.version_of("lead/beat") != 0; }));
	for (int ms = 0; ms < 4000; ms += 10) {
		uint64_t now = w.store.version_of("lead/beat");

		usleep(10000);
		gap_ms = now == seen ? gap_ms + 10 : 0;
		longest_ms = std::max(longest_ms, gap_ms);
		seen = now;
	}
	EXPECT_LT(longest_ms, 1000);
	seam_platform_node_stop(&n);
	seam_store_close(n.ports.store);
	seam_catalog_free(n.op_state.catalog.now);
}
} // namespace
