// Weighted max-min fairness on the dominant resource.
#include <gtest/gtest.h>

#include <random>
#include <vector>

#include "process/share.h"

static seam_resources amount(int64_t cpu, int64_t memory, int64_t acc = 0)
{
	return {{cpu, memory, acc}};
}

class Share : public ::testing::Test
{
      protected:
	seam_share *s = seam_share_new();
	struct team {
		seam_handle h;
		seam_handle w;
	};

	void TearDown() override
	{
		seam_share_free(s);
	}
	team add(int64_t weight, const seam_resources &demand)
	{
		team t;

		t.h = seam_share_team(s, weight);
		t.w = seam_share_workspace(s, t.h, 1);
		seam_share_demand(s, t.w, &demand);
		return t;
	}
	void capacity(const seam_resources &a)
	{
		seam_share_capacity(s, &a);
	}
	void use(team t, const seam_resources &a)
	{
		seam_share_use(s, t.w, &a, 1);
	}
	double entitled(team t)
	{
		return seam_share_entitled(s, t.h, SEAM_HANDLE_NONE, nullptr);
	}
};

// Guards against shares that are not equal in the dominant resource. Example
// of Ghodsi et al., section 4.1: 9 processors and 18 GB; a task of A takes
// (1, 4) and one of B takes (3, 1); A gets 3 tasks and B gets 2.
TEST_F(Share, ExampleOfThePaper)
{
	capacity(amount(9000, 18000));
	team a = add(1, amount(100000, 400000));
	team b = add(1, amount(300000, 100000));

	seam_share_compute(s);
	EXPECT_NEAR(entitled(a), 2.0 / 3, 1e-9);
	EXPECT_NEAR(entitled(b), 2.0 / 3, 1e-9);
	seam_resources out;
	seam_share_entitled(s, a.h, SEAM_HANDLE_NONE, &out);
	EXPECT_EQ(out.of[SEAM_CPU_MILLI], 3000);
	EXPECT_EQ(out.of[SEAM_MEMORY_MB], 12000);
	seam_share_entitled(s, b.h, SEAM_HANDLE_NONE, &out);
	EXPECT_EQ(out.of[SEAM_CPU_MILLI], 6000);
}

// Guards against idle capacity: the part of its share that a team does not
// demand goes to the others by weight.
TEST_F(Share, UnusedPartsGoToOthersByWeight)
{
	capacity(amount(1000, 1000));
	team a = add(1, amount(100, 10));
	team b = add(1, amount(2000, 10));
	team c = add(2, amount(2000, 10));

	seam_share_compute(s);
	EXPECT_NEAR(entitled(a), 0.1, 1e-9);
	EXPECT_NEAR(entitled(b), 0.3, 1e-9);
	EXPECT_NEAR(entitled(c), 0.6, 1e-9);
}

// Guards against a used-up resource that limits teams which do not need it.
TEST_F(Share, ScarceResourceStopsOnlyItsUsers)
{
	capacity(amount(1000, 1000, 10));
	team a = add(1, amount(100, 10, 20));
	team b = add(1, amount(100, 10, 20));
	team c = add(1, amount(5000, 10));

	seam_share_compute(s);
	EXPECT_NEAR(entitled(a), 0.5, 1e-9);
	EXPECT_NEAR(entitled(b), 0.5, 1e-9);
	EXPECT_NEAR(entitled(c), 0.95, 1e-9);
}

// Guards against workspaces that share the whole capacity in place of the
// part of their team.
TEST_F(Share, WorkspacesShareWithinTheTeam)
{
	capacity(amount(1000, 1000));
	team a = add(1, amount(1000, 0));
	team b = add(1, amount(1000, 0));
	seam_handle w = seam_share_workspace(s, b.h, 4);
	seam_resources d = amount(1000, 0);

	seam_share_demand(s, w, &d);
	seam_share_compute(s);
	EXPECT_NEAR(entitled(a), 0.5, 1e-9);
	EXPECT_NEAR(seam_share_entitled(s, SEAM_HANDLE_NONE, b.w, nullptr), 0.1,
		    1e-9);
	EXPECT_NEAR(seam_share_entitled(s, SEAM_HANDLE_NONE, w, nullptr), 0.4,
		    1e-9);
	seam_share_del(s, b.h, SEAM_HANDLE_NONE);
	EXPECT_FALSE(seam_share_demand(s, w, &d)) << "stale handle";
	seam_share_compute(s);
	EXPECT_NEAR(entitled(a), 1.0, 1e-9);
}

// Guards against a wrong order of starts: the lowest use relative to the weight
// comes first, and a team whose tasks do not fit does not block the others.
TEST_F(Share, NextHasLowestRelativeUse)
{
	capacity(amount(1000, 1000));
	team a = add(1, amount(1000, 0));
	team b = add(3, amount(1000, 0));
	seam_handle t;
	seam_handle w;

	use(a, amount(100, 0));
	use(b, amount(200, 0));
	ASSERT_TRUE(seam_share_next(s, nullptr, nullptr, &t, &w));
	EXPECT_TRUE(seam_handle_eq(t, b.h));
	ASSERT_TRUE(seam_share_next(
		s,
		[](seam_handle h, void *arg) {
			return seam_handle_eq(h, *(seam_handle *)arg);
		},
		&b.w, &t, &w));
	EXPECT_TRUE(seam_handle_eq(t, a.h));
	use(a, amount(900, 0));
	use(b, amount(800, 0));
	EXPECT_FALSE(seam_share_next(s, nullptr, nullptr, &t, &w));
}

// Guards against needless preemption: only a team over its entitlement is
// preempted, and only while another with unmet demand is below its own.
TEST_F(Share, BorrowedResourcesAreReclaimedOnDemand)
{
	capacity(amount(1000, 1000));
	team a = add(1, amount(1000, 0));
	team b = add(1, amount(0, 0));
	seam_handle t;
	seam_handle w;

	use(a, amount(1000, 0));
	seam_share_compute(s);
	EXPECT_FALSE(seam_share_over(s, &t, &w));
	seam_resources d = amount(300, 0);
	seam_share_demand(s, b.w, &d);
	seam_share_compute(s);
	ASSERT_TRUE(seam_share_over(s, &t, &w));
	EXPECT_TRUE(seam_handle_eq(t, a.h));
	EXPECT_TRUE(seam_handle_eq(w, a.w));
	seam_resources x = amount(300, 0);
	seam_share_use(s, a.w, &x, -1);
	use(b, x);
	EXPECT_FALSE(seam_share_over(s, &t, &w));
}

// Guards against wrong victims: the newest tasks are preempted first, no more
// of them than needed, and none that frees nothing of what is needed.
TEST_F(Share, NewestTasksArePreempted)
{
	std::vector<seam_preemptible> running = {{10, amount(100, 0), {1}},
						 {40, amount(0, 500), {2}},
						 {30, amount(100, 0), {3}},
						 {20, amount(100, 0), {4}}};
	seam_resources need = amount(150, 0);
	seam_resources excess = amount(1000, 0);

	ASSERT_EQ(seam_share_victims(running.data(), 4, &need, &excess), 2u);
	EXPECT_EQ(running[0].task.bits, 3u);
	EXPECT_EQ(running[1].task.bits, 4u);
	excess = amount(50, 0);
	EXPECT_EQ(seam_share_victims(running.data(), 4, &need, &excess), 1u);
}

// Guards against violations of max-min fairness with random demands:
// entitlements are within capacity and demand, and a team has less than another
// relative to its weight only if its demand is met or a resource that it needs
// is used up.
TEST_F(Share, RandomDemandsAreSharedFairly)
{
	for (unsigned seed = 1; seed <= 200; seed++) {
		std::mt19937 rnd(seed);
		std::vector<team> teams;
		std::vector<seam_resources> demand;
		std::vector<int64_t> weight;
		seam_resources all = amount(100000, 200000, seed % 2 ? 100 : 0);

		seam_share_free(s);
		s = seam_share_new();
		capacity(all);
		for (int i = 0; i < 40; i++) {
			demand.push_back(amount(
				rnd() % 9000, rnd() % 18000,
				all.of[2] && rnd() % 3 == 0 ? rnd() % 30 : 0));
			weight.push_back(1 + rnd() % 5);
			teams.push_back(add(weight[i], demand[i]));
		}
		seam_share_compute(s);
		double used[SEAM_RESOURCES] = {};
		for (int i = 0; i < 40; i++) {
			seam_resources got;
			seam_share_entitled(s, teams[i].h, SEAM_HANDLE_NONE,
					    &got);
			for (int r = 0; r < SEAM_RESOURCES; r++) {
				ASSERT_LE(got.of[r], demand[i].of[r]);
				used[r] += (double)got.of[r];
			}
		}
		for (int r = 0; r < SEAM_RESOURCES; r++)
			ASSERT_LE(used[r], (double)all.of[r]) << seed;
		double top = 0;
		for (int i = 0; i < 40; i++)
			top = std::max(top, entitled(teams[i]) / weight[i]);
		for (int i = 0; i < 40; i++) {
			double full = 0;
			bool scarce = false;
			for (int r = 0; r < SEAM_RESOURCES; r++) {
				if (!all.of[r])
					continue;
				full = std::max(full, (double)demand[i].of[r] /
							      all.of[r]);
				// Rounding loses less than one unit for each
				// of the 40 teams.
				scarce |= demand[i].of[r] > 0 &&
					  used[r] >= all.of[r] - 41;
			}
			bool met = entitled(teams[i]) >= full - 1e-9;
			ASSERT_TRUE(met || scarce) << seed << " " << i;
		}
		ASSERT_GT(top, 0);
	}
}
