// Random runs with all kinds of faults at once, reproducible from a seed.
#ifndef TASK_CHAOS_H
#define TASK_CHAOS_H

#include "task_sim.h"

// xorshift64* (Vigna, 2016); the state must not be 0.
struct chaos_rng {
	uint64_t state;

	uint64_t next()
	{
		state ^= state >> 12;
		state ^= state << 25;
		state ^= state >> 27;
		return state * 0x2545f4914f6cdd1dull;
	}
	bool one_in(int n)
	{
		return next() % (uint64_t)n == 0;
	}
	int below(int n)
	{
		return (int)(next() % (uint64_t)n);
	}
};

static void inject_step(sim &s, chaos_rng &r, std::vector<std::string> &ids)
{
	int i = r.below(3);
	seam_fake_worker_faults f = {};

	if (s.node[i].alive && !s.node[i].paused && r.one_in(3)) {
		bool once = r.one_in(2);
		std::string p =
			"{\"run_ms\":" + std::to_string(200 + r.below(30000)) +
			(once ? ",\"once\":true" : "") +
			(r.one_in(40) ? ",\"fail\":true" : "") +
			(r.one_in(10) ? ",\"cpu\":1900" : "") + "}";
		std::string id = s.put(i, p, 200 + r.below(1500), 100, !once,
				       r.one_in(10), r.one_in(2) ? "k" : "l",
				       r.one_in(2) ? "q" : "v",
				       std::to_string(r.next()).c_str());
		if (!id.empty())
			ids.push_back(id);
	}
	if (!ids.empty() && s.node[i].alive && !s.node[i].paused &&
	    r.one_in(30))
		seam_tasks_cancel(s.node[i].tasks,
				  ids[r.next() % ids.size()].c_str(),
				  s.clock.time + SEAM_SEC, &s.e);
	if (r.one_in(150))
		s.node[i].paused = !s.node[i].paused;
	if (r.one_in(200)) {
		if (s.node[i].alive)
			s.kill(i);
		else
			s.start(i);
	}
	if (s.node[i].alive && r.one_in(60))
		s.faults(i, r.one_in(4), r.below(300), r.below(200),
			 1 + r.below(1000000));
	if (s.node[i].alive && r.one_in(80))
		seam_fake_link_set_down(s.node[i].link, r.one_in(2));
	if (r.one_in(40)) {
		f.paused = r.one_in(3);
		f.fail_all = r.one_in(8);
		f.lose_answers = r.below(500);
		f.usage_lag = r.below(50) * SEAM_SEC;
		seam_fake_workers_set_faults(
			s.workers, ("w" + std::to_string(r.below(8))).c_str(),
			&f);
	}
	if (r.one_in(300))
		s.dc(r.one_in(2) ? "a" : "b", r.one_in(2));
	if (r.one_in(10) && s.node[i].alive)
		s.read_conf(i);
	if (r.one_in(400)) {
		std::string id = "w" + std::to_string(r.below(8));
		seam_vm vm = {};

		for (auto &v : s.vms)
			if (id == v.id)
				vm = v;
		s.lose_worker(id);
		vm.boot++;
		s.vms.push_back(vm);
		seam_fake_workers_add(s.workers, &vm);
	}
}

// Owner of a bucket in the view of node @me. The views of the nodes differ
// while their salts do.
static int believed_owner(sim &s, int me, const char *key, uint64_t salt)
{
	uint64_t h = salt;

	for (const char *c = key; *c; c++)
		h = h * 31 + (unsigned char)*c;
	for (int i = 0; i < 3; i++) {
		int n = (int)((h + (uint64_t)i) % 3);

		if (s.node[n].alive && (!s.node[n].paused || n == me))
			return n;
	}
	return me;
}

static bool all_ended(sim &s, std::vector<std::string> &ids)
{
	for (auto &id : ids) {
		std::string state = s.get(id);

		if (state == "queued" || state == "running" ||
		    state == "stopping")
			return false;
	}
	return true;
}

static void heal_and_drain(sim &s, std::vector<std::string> &ids)
{
	seam_fake_worker_faults f = {};

	s.dc("a", false);
	s.dc("b", false);
	for (int i = 0; i < 8; i++)
		seam_fake_workers_set_faults(
			s.workers, ("w" + std::to_string(i)).c_str(), &f);
	for (int i = 0; i < 3; i++) {
		if (!s.node[i].alive)
			s.start(i);
		s.node[i].paused = false;
		s.faults(i, false);
		seam_fake_link_set_down(s.node[i].link, false);
		s.read_conf(i);
	}
	for (int i = 0; i < 60 && !all_ended(s, ids); i++)
		s.run(10 * SEAM_SEC);
	s.check_rows();
}

static void chaos_run(int seed)
{
	sim s(3, seed);
	chaos_rng r = {(uint64_t)seed * 0x9e3779b97f4a7c15ull | 1};
	std::vector<std::string> ids;
	uint64_t salt[3] = {};
	int ended = 0;

	for (int i = 0; i < 8; i++)
		s.add_worker(("w" + std::to_string(i)).c_str(),
			     i % 2 ? "a" : "b",
			     ("r" + std::to_string(i / 2)).c_str());
	s.owner_of = [&](int me, const char *key) {
		return believed_owner(s, me, key, salt[me]);
	};
	for (int i = 0; i < 3; i++)
		s.start(i);
	for (int step = 0; step < 3000; step++) {
		if (r.one_in(200))
			salt[r.below(3)] = (uint64_t)r.below(3);
		if (r.one_in(100))
			salt[0] = salt[1] = salt[2] = (uint64_t)r.below(3);
		inject_step(s, r, ids);
		s.step();
		if (step % 20 == 0)
			s.check_rows();
	}
	salt[0] = salt[1] = salt[2] = 0;
	heal_and_drain(s, ids);
	for (auto &id : ids) {
		std::string state = s.get(id);

		// Ended tasks are deleted from their row to make space.
		if (state.empty() || state == "done" || state == "failed" ||
		    state == "cancelled" || state == "unknown")
			ended++;
		else
			ADD_FAILURE() << "seed " << seed << " " << id << " "
				      << state << " " << s.get(id, "reason")
				      << " on " << s.get(id, "worker")
				      << " attempt " << s.get(id, "attempt")
				      << ", stop " << s.get(id, "stop");
		EXPECT_TRUE(state != "unknown" || s.get(id, "reason") != "");
	}
	printf("seed %d: %zu tasks accepted, %d ended, %d starts\n", seed,
	       ids.size(), ended, seam_fake_workers_starts(s.workers, nullptr));
}

#endif
