// Reading of pool rows by polls and hints, and updates of the fleet.
#include "tests/pool_fixture.h"

#include "base/metrics.h"

static const char *const two_pools =
	"[{\"name\":\"web\",\"kind\":\"service\",\"min\":1,\"budget\":2},"
	"{\"name\":\"spare\",\"kind\":\"spare\",\"budget\":4}]";

static long metric(const std::string &name)
{
	char *text = nullptr;
	size_t len = 0;
	FILE *f = open_memstream(&text, &len);

	seam_metrics_write(f);
	fclose(f);
	std::string all(text, len);
	free(text);
	size_t at = all.find("\n" + name + " ");
	return at == std::string::npos ?
		       0 :
		       atol(all.c_str() + at + name.size() + 2);
}

// Guards against rebuilding the fleet in each pass, which takes 8 ms for 26,000
// VMs, and against missing a change of the list, a row or the configuration.
TEST(PoolSync, FleetIsBuiltOnChangesOnly)
{
	const char *built = "seam_pool_publications_total";
	pool_fixture w(two_pools);
	size_t n = 0;
	long before;

	w.vm("v1", "a", "r1", "web");
	w.vm("v2", "b", "r2", "spare");
	w.run(5 * SEC);
	before = metric(built);
	w.run(100 * SEC);
	EXPECT_EQ(metric(built), before);
	w.vm("v1", "a", "r1", "web", SEAM_VM_LEAVING);
	w.run(SEC);
	EXPECT_GT(metric(built), before);
	seam_fleet_vm *f = seam_fleet_copy(w.fleet, "web", &n, nullptr);
	ASSERT_EQ(n, 1u);
	EXPECT_EQ(f[0].member, SEAM_MEMBER_DRAINING);
	EXPECT_EQ(f[0].pool_version, w.row_version("web"));
	free(f);
	w.run(100 * SEC);
	before = metric(built);
	w.configure();
	w.pass();
	EXPECT_EQ(metric(built), before + 1);
}

static void set_demand(pool_fixture &w, const char *pool, int64_t vms)
{
	seam_demand_report r = {vms, 0, 1, SEAM_NEVER};

	seam_demand_set(w.demand, pool, "test", &r);
}

static seam_forecast forecast(seam_pools *ps, const char *pool)
{
	seam_pool_row r = {};
	seam_forecast f;

	EXPECT_EQ(seam_pool_get_row(ps, pool, &r), 0);
	f = r.forecast;
	seam_pool_row_free(&r);
	return f;
}

static void add_web_vms(pool_fixture &w)
{
	w.vm("v1", "a", "r1", "web");
	w.vm("v2", "b", "r2", "web");
	w.vm("v3", "c", "r3", "spare");
	set_demand(w, "web", 2);
}

// Guards against a forecast that changes when it is stored and read.
TEST(PoolSync, ForecastSurvivesEncoding)
{
	seam_forecast f = {2.5, 4.25, 0.125, 3, 99, 4, SEAM_NEVER};
	seam_err e = SEAM_ERR_INIT;
	seam_forecast back;

	for (seam_time shrink_at : {(seam_time)SEAM_NEVER, (seam_time)77}) {
		f.shrink_at = shrink_at;
		char *text = seam_pool_forecast_write(&f);
		ASSERT_EQ(seam_pool_forecast_read(text, &back, &e), 0);
		EXPECT_DOUBLE_EQ(back.mean, f.mean);
		EXPECT_DOUBLE_EQ(back.peak, f.peak);
		EXPECT_DOUBLE_EQ(back.duty, f.duty);
		EXPECT_DOUBLE_EQ(back.last, f.last);
		EXPECT_EQ(back.at, f.at);
		EXPECT_EQ(back.want, f.want);
		EXPECT_EQ(back.shrink_at, f.shrink_at);
		free(text);
	}
	for (const char *text :
	     {"", "{", "[]", "{\"mean\":\"x\"}", "{\"peak\":-1}"}) {
		EXPECT_EQ(seam_pool_forecast_read(text, &back, &e), -1) << text;
		EXPECT_EQ(e.kind, SEAM_BAD_CONFIG);
	}
}

// Guards against a new version of the pool row for each forecast: every node
// would read it.
TEST(PoolSync, ForecastsLeaveTheRowAlone)
{
	pool_fixture w(two_pools);
	seam_row row = {};
	uint64_t before;

	add_web_vms(w);
	w.run(130 * SEC);
	before = w.row_version("web");
	w.run(600 * SEC);
	EXPECT_EQ(w.row_version("web"), before);
	ASSERT_EQ(seam_store_get(w.mem, "pool-forecast/web", &row, SEAM_NEVER,
				 &w.e),
		  0);
	seam_forecast f;
	ASSERT_EQ(seam_pool_forecast_read(row.data, &f, &w.e), 0);
	EXPECT_GT(f.at, w.clock.time - 70 * SEC);
	EXPECT_NEAR(f.mean, 2, 0.1);
	seam_row_free(&row);
}

// Guards against a new owner that starts without a forecast, or with an
// outdated one from its previous ownership.
TEST(PoolSync, NewOwnerGoesOnWithTheForecast)
{
	pool_fixture w(two_pools, 2);

	w.owner[1].alive = false;
	add_web_vms(w);
	w.run(100 * SEC);
	set_demand(w, "web", 1);
	w.run(70 * SEC);
	w.owner[0].alive = false;
	w.owner[1].alive = true;
	w.run(3 * SEC);
	EXPECT_GT(forecast(w.node[1], "web").peak, 1.9);
	set_demand(w, "web", 3);
	w.run(70 * SEC);
	set_demand(w, "web", 1);
	w.run(70 * SEC);
	w.owner[0].alive = true;
	w.owner[1].alive = false;
	w.run(3 * SEC);
	EXPECT_GT(forecast(w.node[0], "web").peak, 2.9);
}

// Guards against sizing the spare pool without the forecasts of pools that
// other nodes own.
TEST(PoolSync, SpareCountsForecastsOfOtherOwners)
{
	int64_t want[2];

	for (int split = 0; split < 2; split++) {
		pool_fixture w(two_pools, 2);

		w.owner[1].alive = split;
		w.owner[0].except = split ? "pool/spare" : "";
		w.owner[1].only = "pool/spare";
		add_web_vms(w);
		set_demand(w, "web", 3);
		w.run(150 * SEC);
		set_demand(w, "web", 1);
		w.run(150 * SEC);
		want[split] = forecast(w.node[split], "spare").want;
	}
	EXPECT_GT(want[0], 0);
	EXPECT_EQ(want[1], want[0]);
}

// Guards against losing the forecast of rows written by earlier versions, which
// store it in the pool row.
TEST(PoolSync, ForecastOfAnOldRowIsTaken)
{
	pool_fixture w(two_pools);
	std::string text = "{\"name\":\"web\",\"members\":[],\"forecast\":{"
			   "\"mean\":2000,\"peak\":9000,\"want\":3,\"at\":" +
			   std::to_string(w.clock.time - SEC) + "}}";
	seam_write rows[] = {
		{SEAM_PUT, "pool/web", SEAM_ABSENT, text.data(), text.size()},
		{SEAM_PUT, "pool-version/web", SEAM_ABSENT, "", 0},
	};
	seam_commit c = {rows, 2, 1, 0};

	ASSERT_EQ(seam_store_commit(w.mem, &c, SEAM_NEVER, &w.e), 0);
	add_web_vms(w);
	w.run(5 * SEC);
	EXPECT_GT(forecast(w.node[0], "web").peak, 8.9);
	EXPECT_EQ(forecast(w.node[0], "web").want, 3);
	w.owner[0].alive = false;
	w.add_node();
	w.run(5 * SEC);
	EXPECT_GT(forecast(w.node[1], "web").peak, 8.9);
}

static int active(seam_pools *ps, const char *pool)
{
	seam_pool_row r = {};
	int n;

	EXPECT_EQ(seam_pool_get_row(ps, pool, &r), 0);
	n = (int)seam_pool_count(&r).active;
	seam_pool_row_free(&r);
	return n;
}

// Node 1 reads the rows that node 0 writes.
struct follower_fixture : pool_fixture {
	long reads = 0;

	follower_fixture() : pool_fixture(two_pools, 2, true)
	{
		owner[1].alive = false;
		add_web_vms(*this);
		advance(15);
		reads = metric("seam_pool_index_reads_total");
	}
	void advance(int seconds)
	{
		for (int i = 0; i < seconds; i++) {
			pass(0);
			poll_follower();
			seam_fake_clock_set(&clock, clock.time + SEC);
		}
	}
	void poll_follower()
	{
		EXPECT_EQ(seam_pools_poll(node[1], clock.time, &e), 0);
	}
	// Marks a VM as leaving; the next pass of node 0 starts its drain.
	void set_leaving(const char *id, const char *dc)
	{
		vm(id, dc, "r9", "web", SEAM_VM_LEAVING);
		drain.busy_until[id] = SEAM_NEVER;
	}
	void begin_drain()
	{
		set_leaving("v1", "a");
		pass(0);
		EXPECT_EQ(active(node[0], "web"), 1);
	}
	long index_reads()
	{
		return metric("seam_pool_index_reads_total") - reads;
	}
};

// Guards against a change that is read only with the index although its hint
// arrived, and against reading the index each second in spite of hints.
TEST(PoolSync, HintsReplaceTheIndex)
{
	follower_fixture w;

	w.begin_drain();
	EXPECT_EQ(active(w.node[1], "web"), 2);
	w.poll_follower();
	EXPECT_EQ(active(w.node[1], "web"), 1);
	EXPECT_EQ(w.index_reads(), 0);
	w.advance(60);
	EXPECT_LE(w.index_reads(), 2 * 60 / 30);
}

// Guards against a lost hint that delays a change: a gap in the sequence
// numbers makes the next poll read the index.
TEST(PoolSync, GapReadsTheIndex)
{
	follower_fixture w;

	w.lose_hints = true;
	w.begin_drain();
	w.poll_follower();
	EXPECT_EQ(active(w.node[1], "web"), 2);
	w.hint_gaps++;
	w.poll_follower();
	EXPECT_EQ(active(w.node[1], "web"), 1);
	EXPECT_GE(w.index_reads(), 1);
}

// Guards against a lost hint that is not detected: the index is read at least
// each SEAM_POOL_INDEX_PERIOD.
TEST(PoolSync, IndexHasABoundedAge)
{
	follower_fixture w;

	w.lose_hints = true;
	w.begin_drain();
	for (int i = 0; i <= SEAM_POOL_INDEX_PERIOD / SEC; i++) {
		w.poll_follower();
		seam_fake_clock_set(&w.clock, w.clock.time + SEC);
	}
	EXPECT_EQ(active(w.node[1], "web"), 1);
}

// Guards against an owner whose commits conflict until the next regular read of
// the index.
TEST(PoolSync, ConflictReadsTheIndex)
{
	follower_fixture w;

	w.lose_hints = true;
	w.begin_drain();
	w.set_leaving("v2", "b");
	seam_pools_read_vm_list(w.node[1], w.clock.time, &w.e);
	EXPECT_EQ(seam_pool_pass(seam_pools_get_or_add(w.node[1], "web"),
				 w.clock.time),
		  -1);
	w.poll_follower();
	EXPECT_EQ(active(w.node[1], "web"), 1);
}

// Guards against losing a hint when the read of its row fails: the change is
// read as soon as the store is available again.
TEST(PoolSync, OutageReadsTheIndex)
{
	follower_fixture w;

	w.store_faults(1, true);
	w.begin_drain();
	EXPECT_EQ(seam_pools_poll(w.node[1], w.clock.time, &w.e), -1);
	seam_fake_clock_set(&w.clock, w.clock.time + SEC);
	EXPECT_EQ(seam_pools_poll(w.node[1], w.clock.time, &w.e), -1);
	w.store_faults(1, false);
	w.poll_follower();
	EXPECT_EQ(active(w.node[1], "web"), 1);
}

// Guards against an operator's order without a hint, which the owner would only
// find with the index.
TEST(PoolSync, OrdersAreTold)
{
	follower_fixture w;
	seam_wave_order o = {};

	o.order = SEAM_WAVE_ORDER_START;
	o.version = SEAM_ANY_VERSION;
	strcpy(o.reason, "test");
	strcpy(o.operator_name, "op");
	ASSERT_EQ(seam_wave_set_order(w.node[1], "web", &o, w.clock.time, &w.e),
		  0);
	w.advance(2);
	EXPECT_EQ(w.count("web", SEAM_MEMBER_ACTIVE), 1);
	EXPECT_EQ(w.index_reads(), 0);
}
