#ifndef SEAM_TESTS_TEAM_FIXTURE_H
#define SEAM_TESTS_TEAM_FIXTURE_H

// Test fixture: nodes with grants over one in-memory store and a simulated
// clock, and the work that they start at targets.
#include <gtest/gtest.h>

#include <cstring>
#include <random>
#include <string>
#include <vector>

#include "base/log.h"
#include "process/team.h"

static const char dcs[3][SEAM_TEAM_NAME_SIZE] = {"a", "b", "c"};

static inline seam_team_terms terms_of(const char *team, int64_t limit,
				       uint64_t conf, size_t n = 3)
{
	seam_team_terms t = {};

	snprintf(t.name, sizeof(t.name), "%s", team);
	t.limit = limit;
	t.conf = conf;
	t.floor = n ? limit / 2 / (int64_t)n : 0;
	t.dc = dcs;
	t.dcs = n;
	return t;
}

// Work at a target. It continues if the node that sent it is killed.
struct work {
	int team;
	int units;
	seam_time end;
	int node;
	bool answered; // the node receives an answer when it ends
};

// A node that can be paused, killed and disconnected from the store.
struct node {
	seam_teams *t = nullptr;
	seam_store *view = nullptr;
	int64_t incarnation = 0;
	seam_time pass_at = 0;
	seam_time paused_until = 0;
	bool alive = false;
};

// Ownership that never changes: safety must not depend on it.
struct fixed_owner {
	seam_owner base;
	bool mine;
};
static bool fixed_mine(seam_owner *o, const char *, seam_time)
{
	return ((fixed_owner *)o)->mine;
}
static const seam_owner_ops fixed_ops = {fixed_mine};

struct fleet {
	seam_fake_clock clock;
	seam_store *store;
	std::vector<node> nodes;
	std::vector<std::string> teams;
	std::vector<int64_t> limits;
	std::vector<work> running;
	std::vector<bool> listed;
	fixed_owner owner[2] = {{{&fixed_ops}, false}, {{&fixed_ops}, true}};
	uint64_t conf = 1;
	seam_err e = SEAM_ERR_INIT;
	std::mt19937_64 rnd;

	fleet(int n, int k, int64_t limit, uint64_t seed = 1) : rnd(seed)
	{
		seam_fake_clock_init(&clock, 1000000 * (seam_time)SEAM_SEC);
		store = seam_store_mem_new(&clock.clock);
		for (int i = 0; i < k; i++) {
			teams.push_back("t" + std::to_string(i));
			limits.push_back(limit);
		}
		nodes.resize(n);
		listed.assign(n, true);
		for (int i = 0; i < n; i++) {
			nodes[i].view = seam_store_mem_connect(store);
			start(i);
		}
	}
	~fleet()
	{
		for (auto &x : nodes) {
			seam_teams_free(x.t);
			seam_store_close(x.view);
		}
		seam_store_close(store);
	}
	std::string name(int i)
	{
		return "n" + std::to_string(i);
	}
	void start(int i)
	{
		seam_teams_self self = {};
		node &x = nodes[i];

		x.incarnation++;
		snprintf(self.node, sizeof(self.node), "%s", name(i).c_str());
		snprintf(self.vm, sizeof(self.vm), "v%d", i);
		snprintf(self.dc, sizeof(self.dc), "%s", dcs[i % 3]);
		self.incarnation = x.incarnation;
		self.clock = &clock.clock;
		self.store = x.view;
		self.owner = &owner[i == 0].base;
		self.skew = 200 * SEAM_MSEC;
		self.list_lag = 30 * SEAM_SEC;
		self.seed = rnd() | 1;
		x.t = seam_teams_new(&self);
		x.alive = true;
		x.pass_at = clock.time;
		x.paused_until = 0;
		std::string row =
			"{\"incarnation\":" + std::to_string(x.incarnation) +
			",\"data_centre\":\"" + self.dc + "\",\"vm\":\"" +
			self.vm + "\"}";
		std::string key = "member/" + name(i);
		put(key, row);
		configure(i);
	}
	void put(const std::string &key, const std::string &text)
	{
		seam_write w = {SEAM_PUT, key.c_str(), SEAM_ANY_VERSION,
				text.data(), text.size()};
		seam_commit c = {&w, 1, 1, 0};
		ASSERT_EQ(seam_store_commit(store, &c, clock.time, &e), 0);
	}
	void configure(int i)
	{
		std::vector<seam_team_terms> all;

		for (size_t k = 0; k < teams.size(); k++)
			if (limits[k] >= 0)
				all.push_back(terms_of(teams[k].c_str(),
						       limits[k], conf));
		seam_teams_configure(nodes[i].t, conf, all.data(), all.size());
	}
	void set_limit(int k, int64_t limit)
	{
		limits[k] = limit;
		conf++;
		for (size_t i = 0; i < nodes.size(); i++)
			if (nodes[i].alive)
				configure((int)i);
	}
	void set_store_faults(int i, bool down, int lose, int drop)
	{
		seam_store_faults f = {};

		f.down = down;
		f.lose_answers = lose;
		f.drop_commits = drop;
		f.seed = rnd() | 1;
		seam_store_mem_set_faults(nodes[i].view, &f);
	}
	// Kills the process; its work at the targets continues.
	void kill(int i)
	{
		seam_teams_free(nodes[i].t);
		nodes[i].t = nullptr;
		nodes[i].alive = false;
		for (auto &w : running)
			if (w.node == i)
				w.answered = false;
	}
	bool is_running(int i)
	{
		return nodes[i].alive && nodes[i].paused_until <= clock.time;
	}
	seam_admit *admit(int i)
	{
		return seam_teams_admit(nodes[i].t);
	}
	bool start_request(int i, int k, seam_time length, bool answered = true,
			   int units = 1, bool row_whole = true)
	{
		seam_admit *a = admit(i);

		if (a->ops->take(a, teams[k].c_str(), units, clock.time, &e))
			return false;
		seam_time end = clock.time + length;
		if (!answered)
			a->ops->hold_until(a, teams[k].c_str(), units,
					   clock.time + 30 * SEAM_SEC);
		running.push_back({k, units, end, answered ? i : -1, answered});
		if (row_whole)
			check(k);
		return true;
	}
	void end_finished_work()
	{
		for (size_t j = 0; j < running.size();) {
			work w = running[j];

			if (w.end > clock.time ||
			    (w.answered && !is_running(w.node))) {
				j++;
				continue;
			}
			if (w.answered) {
				seam_admit *a = admit(w.node);
				a->ops->release(a, teams[w.team].c_str(),
						w.units, clock.time);
			}
			running[j] = running.back();
			running.pop_back();
		}
	}
	// Units in use at the targets. Work of a paused node ends there on
	// time, although the node processes its answer later.
	int64_t in_use(int k)
	{
		int64_t n = 0;

		for (auto &w : running)
			if (w.team == k && w.end > clock.time)
				n += w.units;
		return n;
	}
	seam_ledger ledger(int k)
	{
		seam_row row = {};
		seam_ledger l = {};
		std::string key = "team/" + teams[k];

		seam_store_get(store, key.c_str(), &row, clock.time, &e);
		EXPECT_EQ(seam_ledger_parse(&row, teams[k].c_str(), &l, &e), 0)
			<< e.text;
		seam_row_free(&row);
		return l;
	}
	void check(int k)
	{
		seam_ledger l = ledger(k);
		int64_t n = in_use(k);
		int64_t sum = seam_ledger_granted(&l);
		int64_t ceiling = l.ceiling;

		seam_ledger_free(&l);
		SEAM_INVARIANT(sum <= ceiling, "test",
			       "t%d: sum %lld over %lld", k, (long long)sum,
			       (long long)ceiling);
		SEAM_INVARIANT(n <= ceiling, "test",
			       "t%d: %lld units run, limit in force %lld", k,
			       (long long)n, (long long)ceiling);
	}
	void list_vms()
	{
		std::vector<std::string> ids;
		std::vector<const char *> p;

		for (size_t i = 0; i < nodes.size(); i++)
			if (listed[i])
				ids.push_back("v" + std::to_string(i));
		for (auto &s : ids)
			p.push_back(s.c_str());
		for (size_t i = 0; i < nodes.size(); i++)
			if (is_running((int)i))
				seam_teams_set_vms(nodes[i].t, p.data(),
						   p.size(),
						   clock.time - 2 * SEAM_SEC);
	}
	void step(seam_time dt = 50 * SEAM_MSEC)
	{
		seam_fake_clock_set(&clock, clock.time + dt);
		end_finished_work();
		if (clock.time / SEAM_SEC != (clock.time - dt) / SEAM_SEC)
			list_vms();
		for (size_t i = 0; i < nodes.size(); i++)
			if (is_running((int)i) &&
			    nodes[i].pass_at <= clock.time)
				nodes[i].pass_at =
					seam_teams_pass(nodes[i].t, clock.time);
		for (size_t k = 0; k < teams.size(); k++)
			check((int)k);
	}
	// Runs passes without check(), which cannot read a damaged row.
	void run_passes(int n)
	{
		for (int j = 0; j < n; j++) {
			seam_fake_clock_set(&clock,
					    clock.time + 50 * SEAM_MSEC);
			end_finished_work();
			for (auto &x : nodes)
				seam_teams_pass(x.t, clock.time);
		}
	}
	void run(seam_time t)
	{
		for (seam_time end = clock.time + t; clock.time < end;)
			step();
	}
	// Starts up to @n requests of team @k at node @i; returns their number.
	int start_requests(int i, int k, int n,
			   seam_time length = 10 * SEAM_SEC)
	{
		int got = 0;

		while (got < n && start_request(i, k, length))
			got++;
		return got;
	}
	// Sends requests to the nodes @at for @t; returns the maximum use.
	int64_t apply_load(std::vector<int> at, int k, seam_time t,
			   seam_time length = 2 * SEAM_SEC)
	{
		int64_t best = 0;

		for (seam_time end = clock.time + t; clock.time < end; step()) {
			for (int i : at)
				if (is_running(i))
					start_requests(i, k, 4, length);
			best = std::max(best, in_use(k));
		}
		return best;
	}
	int64_t units(int i, int k)
	{
		seam_team_info info = {};

		seam_teams_info(nodes[i].t, teams[k].c_str(), &info);
		return info.units;
	}
};

// Randomised runs reclaim many grants; a log line for each would hide failures.
static const bool quiet = (seam_log_set_level(SEAM_ERROR), true);

#endif
