// Tests of the forecast, pool sizing and the demand table.
#include <gtest/gtest.h>

#include "connection/target.h"
#include "process/demand.h"
#include "process/forecast.h"
#include "version/conf.h"

static const seam_time SEC = SEAM_SEC;

static seam_forecast steady(double mean, double peak, double duty)
{
	seam_forecast f = {};

	f.mean = mean;
	f.last = mean;
	f.peak = peak;
	f.duty = duty;
	f.at = 1;
	f.shrink_at = SEAM_NEVER;
	return f;
}

// Guards against a mean or peak that never decays, or decays at once.
TEST(Forecast, MeanAndPeakDecay)
{
	seam_forecast f = {};
	seam_time t = 1000 * SEC;

	for (int i = 0; i < 3600; i++)
		seam_forecast_add(&f, 2, t += SEC);
	EXPECT_NEAR(f.mean, 2, 1e-9);
	seam_forecast_add(&f, 10, t += SEC);
	EXPECT_DOUBLE_EQ(f.peak, 10);
	EXPECT_NEAR(seam_forecast_burst(&f), 5, 0.1);
	for (int i = 0; i < 3600; i++)
		seam_forecast_add(&f, 2, t += SEC);
	EXPECT_GT(f.peak, 8);
	for (int i = 0; i < 48 * 60; i++)
		seam_forecast_add(&f, 2, t += 60 * SEC);
	EXPECT_LT(f.peak, 2.1);
	EXPECT_GE(f.peak, f.mean);
}

// Guards against a forecast that depends on the sampling interval of its owner.
TEST(Forecast, IsIndependentOfTheSamplingInterval)
{
	seam_forecast a = steady(1, 1, 0);
	seam_forecast b = steady(1, 1, 0);

	for (int i = 1; i <= 600; i++)
		seam_forecast_add(&a, 5, 1 + i * SEC);
	for (int i = 1; i <= 10; i++)
		seam_forecast_add(&b, 5, 1 + i * 60 * SEC);
	EXPECT_NEAR(a.mean, b.mean, 1e-6);
}

// Guards against pools that oscillate: growth is immediate, a surplus leaves
// only after the hold time.
TEST(Forecast, GrowsAtOnceAndShrinksAfterTheHold)
{
	const seam_size_policy *s = seam_size_thrifty();
	seam_forecast f = steady(2, 10, 0);
	seam_time t = 1000 * SEC;

	f.last = 10;
	seam_size_update(s, &f, 1, 50, 3, t);
	EXPECT_EQ(f.want, 10);
	f.last = 1;
	seam_size_update(s, &f, 1, 50, 10, t);
	EXPECT_EQ(f.want, 10);
	seam_size_update(s, &f, 1, 50, 10, t + s->shrink_delay_ms * 1000 - 1);
	EXPECT_EQ(f.want, 10);
	f.last = 10;
	seam_size_update(s, &f, 1, 50, 10, t + s->shrink_delay_ms * 1000 - 1);
	f.last = 1;
	seam_size_update(s, &f, 1, 50, 10, t + s->shrink_delay_ms * 1000);
	EXPECT_EQ(f.want, 10);
	seam_size_update(s, &f, 1, 50, 10, t + s->shrink_delay_ms * 2000);
	EXPECT_EQ(f.want, 3);
	seam_size_update(s, &f, 5, 50, 10, t + s->shrink_delay_ms * 2000);
	EXPECT_EQ(f.want, 5);
	f.last = 100;
	seam_size_update(s, &f, 1, 50, 10, t + s->shrink_delay_ms * 2000);
	EXPECT_EQ(f.want, 50);
}

// Guards against a spare pool sized for the sum of all peaks, which do not
// coincide, and against one that covers no peak.
TEST(Forecast, SpareCoversThePeaksExpectedAtOnce)
{
	seam_forecast f[5];

	for (auto &x : f)
		x = steady(2, 10, 0.1);
	const seam_size_policy *thrifty = seam_size_thrifty();
	const seam_size_policy *ready = seam_size_ready();
	int64_t a = thrifty->ops->spare(thrifty, f, 5);
	int64_t b = ready->ops->spare(ready, f, 5);
	EXPECT_EQ(a, 8);
	EXPECT_EQ(b, 16);
	EXPECT_LT(b, 40);
	f[3].peak = 30;
	EXPECT_EQ(thrifty->ops->spare(thrifty, f, 5), 28);
	f[3].last = 30;
	EXPECT_EQ(thrifty->ops->spare(thrifty, f, 5), 8);
	EXPECT_EQ(thrifty->ops->spare(thrifty, f, 0), 0);
}

// Guards against a source that ended and whose demand keeps VMs forever.
TEST(Demand, ReportsEndAtTheirDeadline)
{
	seam_demand *d = seam_demand_new();
	seam_demand_report r = {12, 4, 8, 100};
	double vms = 0;

	EXPECT_FALSE(seam_demand_vms(d, "web", 1, &vms));
	seam_demand_set(d, "web", "n1", &r);
	r.valid_until = 200;
	seam_demand_set(d, "web", "n2", &r);
	seam_demand_set(d, "shop", "n1", &r);
	EXPECT_TRUE(seam_demand_vms(d, "web", 100, &vms));
	EXPECT_DOUBLE_EQ(vms, 4);
	EXPECT_TRUE(seam_demand_vms(d, "web", 101, &vms));
	EXPECT_DOUBLE_EQ(vms, 2);
	EXPECT_FALSE(seam_demand_vms(d, "web", 201, &vms));
	seam_demand_free(d);
}

// Guards against a pool sized only by the requests of its owner node, or by
// those of another service.
TEST(Demand, ServiceCountsOwnPeersAndWaiting)
{
	seam_targets *ts = seam_targets_new(seam_clock_real());
	seam_demand *d = seam_demand_new();
	seam_target_info info[2] = {};
	seam_service s = {};
	seam_handle h = SEAM_HANDLE_NONE;
	double vms;

	for (int i = 0; i < 2; i++) {
		snprintf(info[i].id, sizeof(info[i].id), "vm-%d", i);
		snprintf(info[i].addr, sizeof(info[i].addr), "127.0.0.1:%d",
			 26000 + i);
		snprintf(info[i].service, sizeof(info[i].service), "%s",
			 i ? "other" : "s");
		info[i].slots = 8;
	}
	seam_targets_set(ts, info, 2);
	seam_table *t = seam_targets_lock(ts);
	while (auto *g = (seam_target *)seam_table_next(t, &h))
		g->outstanding = 3;
	seam_targets_unlock(ts);
	EXPECT_TRUE(seam_targets_set_peer_load(ts, "vm-0", 5));
	EXPECT_TRUE(seam_targets_set_peer_load(ts, "vm-1", 7));
	snprintf(s.name, sizeof(s.name), "s");
	snprintf(s.pool, sizeof(s.pool), "web");
	s.slots = 8;
	seam_demand_service(d, &s, ts, 8, 100);
	ASSERT_TRUE(seam_demand_vms(d, "web", 100, &vms));
	EXPECT_DOUBLE_EQ(vms, 2);
	EXPECT_FALSE(seam_demand_vms(d, "web", 101, &vms));
	seam_demand_free(d);
	seam_targets_free(ts);
}
