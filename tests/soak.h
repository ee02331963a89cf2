#ifndef SOAK_H
#define SOAK_H

// What the soaks of the scheduler share: settings, seeded draws, timers, and
// owners in series. SEAM_SEED is the first seed, SEAM_SEEDS the number of
// seeds, SEAM_SOAK_MS the time with faults of each.
#include "tests/scheduler_fixture.h"

#include <memory>
#include <random>

static inline long setting(const char *name, long value)
{
	const char *s = getenv(name);

	return s ? atol(s) : value;
}

struct SoakBase {
	World w;
	std::mt19937 rng;
	std::vector<std::pair<seam_time, std::function<void()>>> later;
	std::vector<std::string> jobs; // those that end
	int owners = 0;
	// Of each node, in thousandths of a core: with 24 other nodes than the
	// owner's serve the workers, with 500 its own does.
	int processor = 24;
	std::unique_ptr<Owner> owner;

	explicit SoakBase(unsigned seed) : rng(seed)
	{
	}
	int between(int low, int high)
	{
		return low + (int)(rng() % (unsigned)(high - low + 1));
	}
	void after(int ms, std::function<void()> fn)
	{
		later.push_back({seam_now(w.clock) + ms * SEAM_MSEC, fn});
	}
	void run_later()
	{
		seam_time now = seam_now(w.clock);

		for (size_t i = 0; i < later.size();) {
			if (now < later[i].first) {
				i++;
				continue;
			}
			auto fn = later[i].second;

			later.erase(later.begin() + (long)i);
			fn();
		}
	}
	void take_over()
	{
		owner.reset();
		std::string name = "n" + std::to_string(++owners);
		owner.reset(new Owner(&w, name.c_str(), processor));
		owner->start_renewals();
	}
	void submit_job(int tasks, const std::string &text)
	{
		char id[20];

		snprintf(id, sizeof(id), "%016zx", jobs.size() + 1);
		jobs.push_back(id);
		w.job(id, tasks, text);
	}
	bool all_completed()
	{
		for (auto &id : jobs)
			if (w.state(id) != "completed")
				return false;
		return true;
	}
};

#endif
