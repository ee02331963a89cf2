// Pool rows that were changed other than by the nodes, for example by hand.
#include "tests/pool_fixture.h"

static const char *const one_pool =
	"[{\"name\":\"web\",\"kind\":\"service\",\"budget\":2}]";

struct PoolDamage : ::testing::Test {
	pool_fixture w{one_pool, 2};
	std::string good;

	PoolDamage()
	{
		w.vm("v1", "a", "r1", "web");
		w.vm("v2", "b", "r2", "web");
		w.owner[1].alive = false;
		run(150 * SEC);
		good = text();
	}
	// Runs all nodes without pool_fixture::check(), which needs valid rows.
	void run(seam_time span)
	{
		seam_time end = w.clock.time + span;

		for (; w.clock.time < end;
		     seam_fake_clock_set(&w.clock, w.clock.time + SEC))
			for (size_t i = 0; i < 2; i++)
				w.pass(i);
	}
	std::string text()
	{
		seam_row r = {};

		seam_store_get(w.mem, "pool/web", &r, SEAM_NEVER, &w.e);
		std::string out = r.data ? r.data : "";
		seam_row_free(&r);
		return out;
	}
	void write(const std::string &data, bool index = false)
	{
		seam_write x[2] = {{SEAM_PUT, "pool/web", SEAM_ANY_VERSION,
				    data.c_str(), data.size()},
				   {SEAM_PUT, "pool-version/web",
				    SEAM_ANY_VERSION, "", 0}};
		seam_commit c = {x, index ? 2u : 1u, 1, 0};

		ASSERT_EQ(seam_store_commit(w.mem, &c, SEAM_NEVER, &w.e), 0);
	}
	size_t members(int i)
	{
		seam_pool_row r = {};
		size_t n = 0;

		if (!seam_pool_get_row(w.node[i], "web", &r))
			n = r.n;
		seam_pool_row_free(&r);
		return n;
	}
};

// Guards against a damaged row that is not detected because polls read only
// versions, and against overwriting it. The last valid row stays in effect.
TEST_F(PoolDamage, OwnerNoticesWithinAMinute)
{
	write("{\"name\":\"web\",\"members\":[{\"v");
	std::string bad = text();
	run(61 * SEC);
	EXPECT_TRUE(seam_pool_damaged(w.node[0], "web"));
	w.order("web", SEAM_WAVE_ORDER_START);
	run(120 * SEC);
	EXPECT_EQ(text(), bad)
		<< "overwritten, although it may hide recoverable data";
	EXPECT_EQ(members(0), 2u);
	EXPECT_EQ(members(1), 2u);
	EXPECT_EQ(seam_fake_platform_reboots(w.fake), 0);
	write(good);
	run(61 * SEC);
	EXPECT_FALSE(seam_pool_damaged(w.node[0], "web"));
	run(200 * SEC);
	EXPECT_GT(seam_fake_platform_reboots(w.fake), 0)
		<< "the wave continues";
}

// Guards against a row repaired by hand that only its owner reads.
TEST_F(PoolDamage, RepairReachesTheOtherNodes)
{
	std::string less = good;
	size_t at = less.find("{\"vm\":\"v2\"");

	ASSERT_NE(at, std::string::npos);
	size_t end = less.find('}', at) + 1;
	at -= less[at - 1] == ',';
	end += less[at] != ',' && less[end] == ',';
	less.erase(at, end - at);
	seam_fake_platform_del(w.fake, "v2");
	write(less);
	w.owner[0].alive = true;
	run(63 * SEC);
	EXPECT_EQ(members(0), 1u);
	EXPECT_EQ(members(1), 1u);
}

// Guards against reading and logging the same damaged row in each poll.
TEST_F(PoolDamage, ReadOnceByEachNode)
{
	write("{", true);
	run(5 * SEC);
	EXPECT_TRUE(seam_pool_damaged(w.node[0], "web"));
	EXPECT_TRUE(seam_pool_damaged(w.node[1], "web"));
	seam_store_stats was = seam_store_mem_stats(w.view[1]);
	run(20 * SEC);
	seam_store_stats is = seam_store_mem_stats(w.view[1]);
	EXPECT_EQ(is.reads - was.reads, 20) << "only scans of the index";
	write(good, true);
	run(2 * SEC);
	EXPECT_FALSE(seam_pool_damaged(w.node[1], "web"));
}

// Guards against an owner that replaces a deleted row by an empty one.
TEST_F(PoolDamage, RowThatIsGone)
{
	seam_write x = {SEAM_DELETE, "pool/web", SEAM_ANY_VERSION, nullptr, 0};
	seam_commit c = {&x, 1, 1, 0};

	ASSERT_EQ(seam_store_commit(w.mem, &c, SEAM_NEVER, &w.e), 0);
	run(130 * SEC);
	EXPECT_TRUE(seam_pool_damaged(w.node[0], "web"));
	EXPECT_EQ(text(), "");
	EXPECT_EQ(members(0), 2u);
	write(good);
	run(61 * SEC);
	EXPECT_FALSE(seam_pool_damaged(w.node[0], "web"));
}
