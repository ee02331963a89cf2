// Workers that are lost, and tasks that take their workers down with them.
#include <set>

#include "task_sim.h"

static std::string worker_of(sim &s, const std::string &id)
{
	return s.get(id, "worker");
}

static void pause_worker(sim &s, const std::string &id)
{
	seam_fake_worker_faults f = {};

	f.paused = true;
	seam_fake_workers_set(s.workers, id.c_str(), &f);
}

static void reboot(sim &s, const std::string &id)
{
	for (auto &vm : s.vms)
		if (id == vm.id) {
			vm.boot++;
			seam_fake_workers_add(s.workers, &vm);
		}
}

// Waits until attempt @n runs on a worker that has said so.
static bool runs(sim &s, const std::string &id, int n)
{
	seam_time end = s.clock.time + 300 * SEAM_SEC;

	while (s.clock.time < end &&
	       (s.get(id) != "running" ||
		s.get(id, "attempt") != std::to_string(n)))
		s.step();
	s.run(2 * SEAM_SEC);
	return s.get(id) == "running";
}

// Guards the design's rule that only failures on healthy workers end a task: a
// good task ended as failed when its third worker was cut off.
TEST(Loss, LostLeasesAreNoFailures)
{
	sim s(1);
	for (int i = 0; i < 5; i++)
		s.add_worker(("w" + std::to_string(i)).c_str(), "a",
			     ("r" + std::to_string(i)).c_str());
	s.start(0);
	std::string id = s.put(0, "{\"run_ms\":90000}");
	for (int i = 1; i <= 4; i++) {
		ASSERT_TRUE(runs(s, id, i)) << i << " " << s.get(id, "reason");
		s.run(35 * SEAM_SEC);
		pause_worker(s, worker_of(s, id));
	}
	EXPECT_TRUE(s.until(id, "done", 180 * SEAM_SEC))
		<< s.get(id) << s.get(id, "reason");
}

// Guards the same rule in a wave: workers of one failing data centre are lost
// one after the other, each shortly after the task came to it.
TEST(Loss, OneWaveIsOneCause)
{
	sim s(1);
	for (int i = 0; i < 9; i++)
		s.add_worker(("w" + std::to_string(i)).c_str(), "a",
			     ("r" + std::to_string(i)).c_str());
	s.start(0);
	std::string id = s.put(0, "{\"run_ms\":20000}");
	seam_time begin = s.clock.time;
	for (int i = 1;; i++) {
		ASSERT_TRUE(runs(s, id, i)) << i << " " << s.get(id, "reason");
		if (s.clock.time - begin > 240 * SEAM_SEC)
			break;
		pause_worker(s, worker_of(s, id));
	}
	EXPECT_TRUE(s.until(id, "done", 300 * SEAM_SEC))
		<< s.get(id) << s.get(id, "reason");
}

// Guards workers against a task that takes each of them down: it may not go on
// to all of them, whether they come back or not.
static void takes_down(bool back)
{
	sim s(1);
	for (int i = 0; i < 30; i++)
		s.add_worker(("w" + std::to_string(i)).c_str(), "a",
			     ("r" + std::to_string(i)).c_str());
	s.start(0);
	std::string id = s.put(0, "{\"run_ms\":3600000}");
	std::set<std::string> down;
	int lost = 0;
	seam_time begin = s.clock.time;
	while (lost < 30 && runs(s, id, lost + 1)) {
		lost++;
		down.insert(worker_of(s, id));
		if (back)
			reboot(s, worker_of(s, id));
		else
			pause_worker(s, worker_of(s, id));
	}
	EXPECT_EQ(s.get(id), "failed") << lost;
	EXPECT_GT(s.clock.time - begin, 300 * SEAM_SEC);
	EXPECT_LE(down.size(), 6u);
	EXPECT_GE(down.size(), 5u);
	EXPECT_NE(s.get(id, "reason").find("shortly after its start"),
		  std::string::npos)
		<< s.get(id, "reason");
}

TEST(Loss, TaskThatStopsItsWorkersEnds)
{
	takes_down(false);
}

TEST(Loss, TaskThatRebootsItsWorkersEnds)
{
	takes_down(true);
}

// Guards against losses that hide failures: both are kept with the task, and
// failures on three healthy workers still end it.
TEST(Loss, FailuresStillCount)
{
	sim s(1);
	for (int i = 0; i < 6; i++)
		s.add_worker(("w" + std::to_string(i)).c_str(), "a",
			     ("r" + std::to_string(i)).c_str());
	s.start(0);
	std::string id = s.put(0, "{\"run_ms\":60000}");
	ASSERT_TRUE(runs(s, id, 1));
	pause_worker(s, worker_of(s, id));
	seam_fake_worker_faults f = {};
	f.fail_all = true;
	for (auto &vm : s.vms)
		if (worker_of(s, id) != vm.id)
			seam_fake_workers_set(s.workers, vm.id, &f);
	EXPECT_TRUE(s.until(id, "failed", 90 * SEAM_SEC)) << s.get(id);
	EXPECT_EQ(s.get(id, "attempt"), "4");
	EXPECT_NE(s.get(id, "reason").find("3 healthy"), std::string::npos)
		<< s.get(id, "reason");
}
