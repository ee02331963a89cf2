// Index of the workers of a pool by free CPU and label.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "process/worker_index.h"

struct IndexedWorker {
	std::string pool;
	std::string rack;
	int64_t cpu;
	bool slow;
};

struct WorkerIndex : ::testing::Test {
	seam_worker_index *r = seam_worker_index_new();
	std::map<uint32_t, IndexedWorker> workers;

	~WorkerIndex() override
	{
		seam_worker_index_free(r);
	}
	void put(uint32_t id, const IndexedWorker &m)
	{
		seam_worker_info info = {};

		snprintf(info.pool, SEAM_NAME_SIZE, "%s", m.pool.c_str());
		snprintf(info.label[0], SEAM_NAME_SIZE, "%s", m.rack.c_str());
		snprintf(info.label[1], SEAM_NAME_SIZE, "%s", m.rack.c_str());
		info.labels = 2;
		workers[id] = m;
		seam_worker_index_put(r, {id}, &info, m.cpu, m.slow);
	}
	static bool add(seam_handle h, void *arg)
	{
		((std::vector<uint32_t> *)arg)->push_back(h.bits);
		return false;
	}
	static bool first(seam_handle h, void *arg)
	{
		*(uint32_t *)arg = h.bits;
		return true;
	}
	void check(const std::string &pool, int64_t cpu, bool slow)
	{
		std::vector<uint32_t> want;
		std::vector<uint32_t> got;

		for (auto &m : workers)
			if (m.second.pool == pool && m.second.cpu >= cpu &&
			    m.second.slow == slow)
				want.push_back(m.first);
		std::sort(want.begin(), want.end(),
			  [&](uint32_t x, uint32_t y) {
				  return std::make_pair(workers[x].cpu, x) <
					 std::make_pair(workers[y].cpu, y);
			  });
		seam_worker_index_each_fitting(r, pool.c_str(), cpu, slow, add,
					       &got);
		EXPECT_EQ(got, want);
	}
	void check_label(const std::string &pool, const std::string &label)
	{
		std::vector<uint32_t> want;
		std::vector<uint32_t> got;

		for (auto &m : workers)
			if (m.second.pool == pool &&
			    (label.empty() || m.second.rack == label))
				want.push_back(m.first);
		seam_worker_index_each_labelled(r, pool.c_str(), label.c_str(),
						add, &got);
		std::sort(got.begin(), got.end());
		EXPECT_EQ(got, want);
	}
};

// Guards against workers that are missing from the index, or listed in a pool
// that they have left.
TEST_F(WorkerIndex, AfterAnyChanges)
{
	std::mt19937 rng(1);
	auto pool = [&] { return "p" + std::to_string(rng() % 3); };
	auto rack = [&] { return "r" + std::to_string(rng() % 5); };

	for (int i = 0; i < 2000; i++) {
		uint32_t id = 1 + rng() % 60;

		switch (rng() % 4) {
		case 0:
			put(id, {pool(), rack(), (int64_t)(rng() % 20),
				 rng() % 4 == 0});
			break;
		case 1:
			seam_worker_index_remove(r, {id});
			workers.erase(id);
			break;
		default:
			if (workers.count(id))
				workers[id].cpu = (int64_t)(rng() % 20);
			seam_worker_index_set_cpu(
				r, {id},
				workers.count(id) ? workers[id].cpu : 7);
		}
		check(pool(), (int64_t)(rng() % 20), rng() % 2);
		check_label(pool(), rng() % 2 ? rack() : "");
		ASSERT_FALSE(HasFailure()) << i;
	}
}

// Guards against an iteration that continues after the callback ends it.
TEST_F(WorkerIndex, WalkEndsWhenAsked)
{
	uint32_t got = 0;

	put(1, {"p", "r", 9, false});
	put(2, {"p", "r", 5, false});
	put(3, {"p", "r", 7, false});
	seam_worker_index_each_fitting(r, "p", 6, false, first, &got);
	EXPECT_EQ(got, 3u);
	got = 0;
	seam_worker_index_each_fitting(r, "none", 0, false, first, &got);
	EXPECT_EQ(got, 0u);
}
