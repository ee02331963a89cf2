// Orders of VMs that look ahead, over a modelled pool whose demand changes.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>

#include "process/demand_trend.h"

namespace
{
const double MOVE_S = 1.6;
const double SURVEY_S = 0.4;

// What a pool that gets its VMs MOVE_S after their order lacks and has too many
// of, in VM seconds. Surplus VMs leave at once.
struct Pool {
	double lacking = 0;
	double surplus = 0;

	Pool(std::function<double(double)> demand, double end_s, bool ahead)
	{
		std::deque<std::pair<double, double>> coming; // when, VMs
		seam_demand_trend t = {};
		double vms = demand(0);
		double ordered = vms;

		for (double now = 0; now < end_s; now += SURVEY_S) {
			double need = demand(now);
			double want = need;

			while (!coming.empty() && coming.front().first <= now) {
				vms += coming.front().second;
				coming.pop_front();
			}
			seam_demand_trend_add(&t, need, at(now));
			if (ahead)
				want += seam_demand_trend_rise(&t, at(MOVE_S));
			if (want > ordered) {
				coming.push_back(
					{now + MOVE_S, want - ordered});
				ordered = want;
			} else if (vms > want) {
				ordered -= vms - want;
				vms = want;
			}
			lacking += std::max(0.0, need - vms) * SURVEY_S;
			surplus += std::max(0.0, vms - need) * SURVEY_S;
		}
	}
	static seam_time at(double s)
	{
		return (seam_time)((s + 1) * 1e6) * SEAM_USEC;
	}
};

double rises_for_4_s(double s)
{
	return 50 + 60 * std::min(s, 4.0);
}
} // namespace

// Guards against tasks that wait for VMs on the way during a whole rise.
TEST(DemandTrend, RiseIsMetInTime)
{
	Pool behind(rises_for_4_s, 12, false);
	Pool ahead(rises_for_4_s, 12, true);

	EXPECT_LT(ahead.lacking, 0.6 * behind.lacking);
}

// Guards against VMs that are kept after the end of a rise.
TEST(DemandTrend, LittleIsOrderedBeyondTheEndOfARise)
{
	Pool ahead(rises_for_4_s, 12, true);

	EXPECT_LT(ahead.surplus, 0.5 * rises_for_4_s(12));
}

// Guards against VMs for a demand that falls or stays.
TEST(DemandTrend, NoRiseAddsNothing)
{
	seam_demand_trend t = {};

	for (int i = 0; i < 20; i++) {
		seam_demand_trend_add(&t, 200 - i, Pool::at(i * SURVEY_S));
		EXPECT_EQ(seam_demand_trend_rise(&t, SEAM_SEC), 0);
	}
	Pool steady([](double) { return 50.0; }, 12, true);

	EXPECT_EQ(steady.surplus, 0);
}

// Guards against a target out of all proportion after a first job.
TEST(DemandTrend, AtMostDoubles)
{
	seam_demand_trend t = {};

	seam_demand_trend_add(&t, 2, Pool::at(0));
	seam_demand_trend_add(&t, 40, Pool::at(0.1));
	EXPECT_LE(seam_demand_trend_rise(&t, 60 * SEAM_SEC), 40);
}

// Guards against a slope from two reads at about the same time.
TEST(DemandTrend, ReadsCloseTogetherTellNoSlope)
{
	seam_demand_trend t = {};

	seam_demand_trend_add(&t, 50, Pool::at(0));
	seam_demand_trend_add(&t, 51, Pool::at(0.001));
	EXPECT_EQ(seam_demand_trend_rise(&t, SEAM_SEC), 0);
}
