// Loss of workers, and tasks that crash their workers.
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
	seam_fake_workers_set_faults(s.workers, id.c_str(), &f);
}

static void reboot(sim &s, const std::string &id)
{
	for (auto &vm : s.vms)
		if (id == vm.id) {
			vm.boot++;
			seam_fake_workers_add(s.workers, &vm);
		}
}

// Waits until attempt @n runs, confirmed by its worker.
static bool await_attempt(sim &s, const std::string &id, int n)
{
	seam_time end = s.clock.time + 300 * SEAM_SEC;

	while (s.clock.time < end &&
	       (s.get(id) != "running" ||
		s.get(id, "attempt") != std::to_string(n)))
		s.step();
	s.run(2 * SEAM_SEC);
	return s.get(id) == "running";
}

// Guards against a good task that ends as failed when its third worker is cut
// off: only failures on healthy workers may end a task.
TEST(Loss, LostLeasesAreNoFailures)
{
	sim s(1);
	for (int i = 0; i < 5; i++)
		s.add_worker(("w" + std::to_string(i)).c_str(), "a",
			     ("r" + std::to_string(i)).c_str());
	s.start(0);
	std::string id = s.put(0, "{\"run_ms\":90000}");
	for (int i = 1; i <= 4; i++) {
		ASSERT_TRUE(await_attempt(s, id, i))
			<< i << " " << s.get(id, "reason");
		s.run(35 * SEAM_SEC);
		pause_worker(s, worker_of(s, id));
	}
	EXPECT_TRUE(s.until(id, "done", 180 * SEAM_SEC))
		<< s.get(id) << s.get(id, "reason");
}

// Guards against the same failure when the workers of a failing data centre are
// lost one after the other, each shortly after the task was started on it.
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
		ASSERT_TRUE(await_attempt(s, id, i))
			<< i << " " << s.get(id, "reason");
		if (s.clock.time - begin > 240 * SEAM_SEC)
			break;
		pause_worker(s, worker_of(s, id));
	}
	EXPECT_TRUE(s.until(id, "done", 300 * SEAM_SEC))
		<< s.get(id) << s.get(id, "reason");
}

// Guards against a task that crashes its workers one after the other: it has to
// end before it reaches all of them, whether they come back or not.
static void crash_workers(bool reboots)
{
	sim s(1);
	for (int i = 0; i < 30; i++)
		s.add_worker(("w" + std::to_string(i)).c_str(), "a",
			     ("r" + std::to_string(i)).c_str());
	s.start(0);
	std::string id = s.put(0, "{\"run_ms\":3600000}");
	std::set<std::string> crashed;
	int lost = 0;
	seam_time begin = s.clock.time;
	while (lost < 30 && await_attempt(s, id, lost + 1)) {
		lost++;
		crashed.insert(worker_of(s, id));
		if (reboots)
			reboot(s, worker_of(s, id));
		else
			pause_worker(s, worker_of(s, id));
	}
	EXPECT_EQ(s.get(id), "failed") << lost;
	EXPECT_GT(s.clock.time - begin, 300 * SEAM_SEC);
	EXPECT_LE(crashed.size(), 6u);
	EXPECT_GE(crashed.size(), 5u);
	EXPECT_NE(s.get(id, "reason").find("shortly after its start"),
		  std::string::npos)
		<< s.get(id, "reason");
}

TEST(Loss, TaskThatStopsItsWorkersEnds)
{
	crash_workers(false);
}

TEST(Loss, TaskThatRebootsItsWorkersEnds)
{
	crash_workers(true);
}

// Guards against losses that displace failures from the task's record: failures
// on three healthy workers still end it.
TEST(Loss, FailuresStillCount)
{
	sim s(1);
	for (int i = 0; i < 6; i++)
		s.add_worker(("w" + std::to_string(i)).c_str(), "a",
			     ("r" + std::to_string(i)).c_str());
	s.start(0);
	std::string id = s.put(0, "{\"run_ms\":60000}");
	ASSERT_TRUE(await_attempt(s, id, 1));
	pause_worker(s, worker_of(s, id));
	seam_fake_worker_faults f = {};
	f.fail_all = true;
	for (auto &vm : s.vms)
		if (worker_of(s, id) != vm.id)
			seam_fake_workers_set_faults(s.workers, vm.id, &f);
	EXPECT_TRUE(s.until(id, "failed", 90 * SEAM_SEC)) << s.get(id);
	EXPECT_EQ(s.get(id, "attempt"), "4");
	EXPECT_NE(s.get(id, "reason").find("3 healthy"), std::string::npos)
		<< s.get(id, "reason");
}
