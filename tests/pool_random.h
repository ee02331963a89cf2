// A pool fixture with random events, for runs that assert the invariants.
#ifndef SEAM_TESTS_POOL_RANDOM_H
#define SEAM_TESTS_POOL_RANDOM_H

#include "tests/pool_fixture.h"

#include <random>

static void set_reboot_faults(pool_fixture &w, int fail = 0, int lose = 0)
{
	seam_fake_platform_faults f = {};

	f.reboot_time = 30 * SEC;
	f.fail_reboots = fail;
	f.lose_answers = lose;
	f.lag = 5 * SEC;
	seam_fake_platform_set_faults(w.fake, &f);
}

static const char *const four_pools =
	"[{\"name\":\"web\",\"kind\":\"service\",\"min\":2,\"max\":12,"
	"\"budget\":2},"
	"{\"name\":\"shop\",\"kind\":\"service\",\"min\":2,\"max\":12,"
	"\"budget\":1},"
	"{\"name\":\"batch\",\"kind\":\"tasks\",\"min\":1,\"max\":12,"
	"\"budget\":3},"
	"{\"name\":\"spare\",\"kind\":\"spare\",\"budget\":4}]";

struct random_run {
	pool_fixture w;
	std::mt19937 rng;
	std::vector<std::string> gone;
	int64_t boot = 1000; // the platform guarantees that it increases

	explicit random_run(int seed) : w(four_pools, 3), rng(seed)
	{
		const char *const dc[] = {"a", "b", "c"};
		const char *const pool[] = {"web", "shop", "batch", "spare"};

		set_reboot_faults(w, 20, 100);
		for (int i = 0; i < 32; i++)
			w.vm("v" + std::to_string(i), dc[i / 4 % 3],
			     ("r" + std::to_string(i / 4)).c_str(),
			     pool[(i * 7 + i / 4) % 4]);
	}
	bool one_in(int n)
	{
		return rng() % n == 0;
	}
	void demand_changes()
	{
		for (const char *p : {"web", "shop", "batch"}) {
			seam_demand_report r = {(int64_t)(rng() % 9), 0, 1,
						w.clock.time + 3600 * SEC};
			seam_demand_set(w.demand, p, "test", &r);
		}
	}
	void vm_event()
	{
		std::string id = "v" + std::to_string(rng() % 32);

		if (one_in(2) && gone.size() < 6) {
			seam_fake_platform_del(w.fake, id.c_str());
			gone.push_back(id);
		} else if (!gone.empty()) {
			int i = atoi(gone.back().c_str() + 1);

			w.vm(gone.back(), i / 4 % 3 == 0 ? "a" : "b",
			     ("r" + std::to_string(i / 4)).c_str(), "web",
			     SEAM_VM_LIVE, boot += 1000);
			gone.pop_back();
		}
		w.drain.busy_until[id] = w.clock.time + (rng() % 120) * SEC;
	}
	void event()
	{
		const char *const pool[] = {"web", "shop", "batch", "spare"};
		size_t i = rng() % 3;

		switch (rng() % 7) {
		case 0:
			w.owner[i].alive = !w.owner[i].alive;
			break;
		case 1:
			w.store_faults(i, one_in(2), rng() % 300, rng() % 300);
			break;
		case 2:
			w.out(one_in(2) ? "a" : "b", one_in(3));
			break;
		case 3:
			seam_fake_platform_set_down(w.fake, one_in(3));
			break;
		case 4:
			if (!one_in(3))
				order(pool[rng() % 4], i);
			break;
		case 5:
			demand_changes();
			break;
		default:
			vm_event();
		}
	}
	void order(const char *pool, size_t i)
	{
		seam_wave_order o = {};

		o.order = one_in(4) ? SEAM_WAVE_ORDER_HALT :
				      SEAM_WAVE_ORDER_START;
		o.version = SEAM_ANY_VERSION;
		strcpy(o.reason, "random");
		strcpy(o.operator_name, "op");
		seam_wave_set_order(w.node[i], pool, &o, w.clock.time, &w.e);
	}
	void clear_faults()
	{
		for (int i = 0; i < 3; i++) {
			w.owner[i].alive = true;
			w.store_faults(i, false);
		}
		for (auto &d : w.dc_out)
			d.second = false;
		w.configure();
		set_reboot_faults(w);
	}
	// Removes all faults, then expects pools without failed VMs and with
	// enough members.
	void converge()
	{
		clear_faults();
		w.run(3 * 3600 * SEC, 10 * SEC);
		EXPECT_EQ(w.count("web", SEAM_MEMBER_FAILED), 0);
		EXPECT_GE(w.size("web") + w.size("shop") + w.size("batch") +
				  w.size("spare"),
			  10u);
		EXPECT_GE(w.count("web", SEAM_MEMBER_ACTIVE), 2);
	}
};

#endif
