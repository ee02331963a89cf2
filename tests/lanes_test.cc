// The owner's work at the workers, divided over the nodes.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "tests/world.h"

struct Lanes : ::testing::Test {
	World w;

	// A node that starts 100 tasks a second if it does nothing else.
	static void slow(FakeRunners *n)
	{
		n->start_us = 10000;
		n->look_us = 500;
	}
};

// What callers got of a load: jobs by size, and whether each was served within
// three times its objective.
struct Load {
	struct Job {
		std::string id;
		int tasks;
		seam_time sent_at;
		bool served;
	};
	std::vector<Job> jobs;

	double served(size_t from, size_t to) const
	{
		double n = 0;

		for (size_t i = from; i < to; i++)
			n += jobs[i].served;
		return n / (double)(to - from);
	}
	void by_size()
	{
		std::stable_sort(jobs.begin(), jobs.end(),
				 [](const Job &a, const Job &b) {
					 return a.tasks < b.tasks;
				 });
	}
};

// Guards large jobs against SHORT: one node's processor could not send all
// starts, and the larger a job, the more of its tasks came too late.
TEST_F(Lanes, LargeJobsAreServedWhenOneNodeCannotSendAllStarts)
{
	const seam_time objective = 1600 * SEAM_MSEC;
	const int jobs = 100;
	std::mt19937 rng(1);
	std::uniform_int_distribution<int> width(1, 17);
	Load load;

	slow(&w.runners);
	for (int i = 0; i < 11; i++)
		slow(w.add_node());
	for (int i = 0; i < 40; i++)
		w.add_worker("w" + std::to_string(i));
	Owner o(&w, "n1", 24); // a node has room for four workers
	o.renew();
	usleep(1500000);
	for (int i = 0; i < jobs; i++) {
		char id[20];

		snprintf(id, sizeof(id), "%016x", i + 1);
		load.jobs.push_back({id, width(rng), seam_now(w.clock), false});
		w.job(id, load.jobs[i].tasks, "300", 1,
		      [](seam_step *s) { s->estimate_ms = 300; });
		usleep(25000);
	}
	while (seam_now(w.clock) <
	       load.jobs[jobs - 1].sent_at + 3 * objective) {
		for (auto &j : load.jobs)
			if (seam_now(w.clock) < j.sent_at + 3 * objective)
				j.served = j.served ||
					   w.state(j.id) == "completed";
		usleep(50000);
	}
	load.by_size();
	double all = load.served(0, jobs);
	EXPECT_GE(load.served(90, 100), all / 2) << "largest tenth";
	EXPECT_GE(load.served(70, 90), all / 2) << "next largest fifth";
	/* There is room for twice the load. */
	EXPECT_EQ(all, 1.0);
}
