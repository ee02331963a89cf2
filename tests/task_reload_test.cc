// Buckets that have to reload their row.
#include "task_sim.h"

#include "process/task_impl.h"

// Guards against a bucket that never reloads its row, because scans that find
// the row unchanged postpone the read: its tasks would stay open for ever.
TEST(TaskReload, ScanOfAnUnchangedRowDoesNotPostponeIt)
{
	sim s(1);
	char key[SEAM_KEY_MAX];

	s.add_worker("w1", "a", "r1");
	s.start(0);
	std::string id = s.put(0, "{\"run_ms\":60000}");
	ASSERT_TRUE(s.until(id, "running", 3 * SEAM_SEC));
	ASSERT_EQ(seam_bucket_key(id.c_str(), key), 0);
	// A scan runs every 500 ms, so some of the steps coincide with one.
	for (int step = 0; step < 10; step++) {
		seam_bucket *b = seam_bucket_get(s.node[0].tasks, key);

		s.run(300 * SEAM_MSEC);
		// As after a worker refused a command for its old token.
		b->reload = true;
		b->read_at = 0;
		s.run(2 * SEAM_SEC);
		EXPECT_FALSE(b->reload) << "step " << step;
	}
}
