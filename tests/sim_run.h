// One simulation run. The seed determines the order and times of the passes of
// all components; then the faults stop and the state has to converge.
#ifndef SIM_RUN_H
#define SIM_RUN_H

#include <gtest/gtest.h>

#include "sim_events.h"

// Limits on convergence, from docs/design.md: P11 for the version; VM list lag,
// longest request and clock skew until units of failed nodes are free, plus
// the lifetime of a want; the drain and reboot timeouts for work and pools.
#define SIM_AGREE_BOUND (10 * SEAM_SEC + SIM_SKEW)
#define SIM_UNITS_BOUND (70 * SEAM_SEC + 2 * SIM_SKEW)
#define SIM_WORK_BOUND (SEAM_TASK_DRAIN_TIMEOUT + SEAM_REBOOT_TIMEOUT)

inline void sim_world::on_reboot(const std::string &vm)
{
	if (reference)
		sim_check_reboot(*this, *reference, vm);
	seam_fake_workers_del(workers, vm.c_str());
	reboot_end[vm] = now() + 20 * SEAM_SEC;
	for (auto &r : requests)
		if (r.vm == vm)
			r.target_lost = true;
}

struct sim_run {
	uint64_t seed;
	sim_world w;
	sim_reference t;
	sim_load load;
	sim_events events;
	seam_time settled[4] = {};
	long violations = seam_invariant_count();

	explicit sim_run(uint64_t s, sim_disabled b = {})
	    : seed(s), w(s), load{w, t}, events{w, load}
	{
		w.disabled = b;
		w.reference = &t;
		w.change(0, sim_first_conf, 0);
		for (const char *team : sim_teams)
			w.change(0, sim_key_put(team, true),
				 w.s->nodes[0]->version());
		sim_watch_conf(w, t);
		load.on = false;
		run(15 * SEAM_SEC, false);
		load.on = true;
	}
	// True if no invariant was violated in this run, as checked by the
	// driver and by the components.
	bool held()
	{
		return seam_invariant_count() == violations;
	}
	void pass(int i, int part)
	{
		sim_node &n = *w.s->nodes[i];
		sim_parts &p = w.parts[i];
		seam_time at = n.now();

		if (part == 0 && at >= n.member_at)
			n.member_at = seam_members_pass(n.members, at);
		if (part == 1 && at >= n.version_at &&
		    !(w.disabled.versions && i == 4))
			n.version_at = seam_versions_pass(n.versions, at);
		if (!p.made)
			return;
		if (part == 2 && at >= p.list_at) {
			if (!(w.disabled.view && t.head > 3))
				w.inventory(i);
			p.list_at = at + SEAM_SEC;
		}
		if (part == 3 && at >= p.teams_at)
			w.pass_teams(i);
		if (part == 4 && at >= p.tasks_at)
			p.tasks_at = seam_tasks_pass(p.tasks, at);
		if (part == 5 && at >= p.pools_at) {
			p.pools_at = seam_pools_pass(p.pools, at);
			sim_watch_rows(w, t);
		}
		if (part == 6 && at >= p.once_at)
			p.once_at = seam_once_maintain(p.once, at, i == 0);
	}
	// A slow store blocks the only thread of the run and so every node,
	// which counts as a pause of all of them.
	void pass_all(int i)
	{
		int first = (int)w.below(7);

		for (int k = 0; k < 7; k++) {
			seam_time was = w.now();

			if (!w.one_in(10))
				pass(i, (first + k * 3) % 7);
			if (w.now() - was > SEAM_SEC) {
				w.count["stalls over 1 s"]++;
				for (auto &p : w.parts)
					p.reach_since = p.steady_since =
						w.now();
			}
		}
		w.s->record();
	}
	void step(seam_time dt, bool faults)
	{
		int first = (int)w.below(SIM_NODES);
		int stride = w.one_in(2) ? 2 : 4;

		if (faults)
			events.step();
		events.apply();
		load.step();
		for (int k = 0; k < SIM_NODES; k++) {
			int i = (first + k * stride) % SIM_NODES;

			if (!w.runs(i))
				continue;
			if (!w.parts[i].made &&
			    seam_members_inc(w.s->nodes[i]->members))
				w.make_parts(i);
			pass_all(i);
		}
		seam_hub_deliver(w.s->hub);
		sim_check_all(w, t);
		seam_fake_clock_set(&w.s->clock, w.now() + dt);
	}
	void run(seam_time span, bool faults)
	{
		seam_time end = w.now() + span;

		while (w.now() < end && held())
			step((20 + (seam_time)w.below(80)) * SEAM_MSEC, faults);
	}
	void run_with_faults(int steps)
	{
		for (int k = 0; k < steps && held(); k++) {
			if (k % 500 == 0 && getenv("SEAM_PROGRESS"))
				fprintf(stderr, "seed %lu: step %d, %lld s\n",
					(unsigned long)seed, k,
					(long long)(w.now() / SEAM_SEC %
						    1000000));
			step((20 + (seam_time)w.below(80)) * SEAM_MSEC, true);
		}
	}
	std::string task_state(const std::string &id, const char *member)
	{
		char key[SEAM_KEY_MAX];
		seam_row row = {};
		std::string out;

		if (seam_bucket_key(id.c_str(), key) ||
		    seam_store_get(w.s->mem, key, &row, SEAM_NEVER, &w.e))
			return "";
		json_object *o = json_tokener_parse(row.data);
		json_object *a = json_object_object_get(o, "tasks");
		for (size_t j = 0; j < json_object_array_length(a); j++) {
			json_object *x = json_object_array_get_idx(a, j);

			if (id.substr(id.size() - 16) ==
			    seam_json_str(x, "id", ""))
				out = seam_json_str(x, member, "");
		}
		json_object_put(o);
		seam_row_free(&row);
		return out;
	}
	// Counts tasks that have not ended. An ended task may be
	// removed from its row to make room, so an absent task has ended.
	int open_tasks(bool print)
	{
		int n = 0;

		for (size_t j = 0; j < w.tasks.size(); j++) {
			std::string id = w.tasks[j];
			std::string s = task_state(id, "state");

			if (s != "queued" && s != "running" &&
			    s != "stopping") {
				w.tasks.erase(w.tasks.begin() + (long)j--);
				continue;
			}
			n++;
			if (print)
				fprintf(stderr, "%s %s: %s\n", id.c_str(),
					s.c_str(),
					task_state(id, "reason").c_str());
		}
		return n;
	}
	// Units still granted to incarnations of nodes that have ended.
	int64_t orphaned_units(const char *team)
	{
		std::string key = std::string("team/") + team;
		std::set<std::string> live;
		seam_row row = {};
		seam_ledger l = {};
		int64_t n = 0;

		for (int i = 0; i < SIM_NODES; i++)
			live.insert("node:" + w.s->nodes[i]->name + "#" +
				    std::to_string(seam_members_inc(
					    w.s->nodes[i]->members)));
		if (seam_store_get(w.s->mem, key.c_str(), &row, SEAM_NEVER,
				   &w.e) ||
		    seam_ledger_parse(&row, team, &l, &w.e))
			return 0;
		for (size_t j = 0; j < l.n; j++)
			if (!strncmp(l.grant[j].holder, "node:", 5) &&
			    !live.count(l.grant[j].holder))
				n += l.grant[j].units;
		seam_ledger_free(&l);
		seam_row_free(&row);
		return n;
	}
	bool pools_complete(bool print)
	{
		for (auto &v : w.vms) {
			seam_pool_vm *m = sim_member_of(t, v.first);

			if (m && m->state != SEAM_MEMBER_FAILED)
				continue;
			if (print)
				fprintf(stderr, "VM %s: %s\n", v.first.c_str(),
					m ? "failed" : "in no pool");
			return false;
		}
		return true;
	}
	// Restores the operators' settings: data centres, limits and keys.
	void normal()
	{
		std::string text = "{\"put\":[";

		for (const char *dc : sim_dcs)
			text += std::string("{\"kind\":\"data_centre\","
					    "\"object\":{\"name\":\"") +
				dc + "\",\"region\":\"r\"}},";
		text += "{\"kind\":\"team\",\"object\":{\"name\":\"t\","
			"\"limit\":24}},{\"kind\":\"team\",\"object\":{"
			"\"name\":\"u\",\"limit\":16}}]}";
		for (int k = 0; k < 20; k++) {
			run(SEAM_SEC, false);
			if (w.change(k % SIM_NODES, text, t.head))
				break;
		}
		for (const char *team : sim_teams)
			for (int k = 0; k < 20; k++) {
				run(SEAM_SEC, false);
				sim_watch_conf(w, t);
				if (w.change(k % SIM_NODES,
					     sim_key_put(team, true), t.head))
					break;
			}
		sim_watch_conf(w, t);
	}
	void show(const char *prefix)
	{
		seam_rows rows = {};

		seam_store_scan(w.s->mem, prefix, nullptr, 100, &rows,
				SEAM_NEVER, &w.e);
		for (size_t j = 0; j < rows.n; j++)
			fprintf(stderr, "%s\n", rows.row[j].data);
		seam_rows_free(&rows);
	}
	void run_and_show(bool (sim_run::*done)(), seam_time begin)
	{
		seam_time at = (w.now() - begin) / SEAM_SEC;

		run(SEAM_SEC, false);
		if (!getenv("SEAM_PROGRESS") || at % 30)
			return;
		fprintf(stderr, "seed %lu: %lld s, %zu requests, %d tasks\n",
			(unsigned long)seed, (long long)at, w.requests.size(),
			open_tasks(done == &sim_run::work_done));
		show("team/");
	}
	bool until(seam_time bound, bool (sim_run::*done)(), seam_time *took)
	{
		seam_time begin = w.now();

		while (!(this->*done)() && w.now() < begin + bound && held())
			run_and_show(done, begin);
		*took = w.now() - begin;
		if (getenv("SEAM_PROGRESS"))
			fprintf(stderr, "seed %lu: settled in %lld ms\n",
				(unsigned long)seed,
				(long long)(*took / SEAM_MSEC));
		return !held() || (this->*done)();
	}
	bool agreed()
	{
		return w.s->agreed();
	}
	bool units_free()
	{
		return !orphaned_units("t") && !orphaned_units("u");
	}
	bool work_done()
	{
		return w.requests.empty() && !open_tasks(false);
	}
	bool pools_restored()
	{
		return pools_complete(false);
	}
	void settle()
	{
		load.on = false;
		events.heal();
		normal();
		EXPECT_TRUE(
			until(SIM_AGREE_BOUND, &sim_run::agreed, &settled[0]));
		EXPECT_TRUE(until(SIM_UNITS_BOUND, &sim_run::units_free,
				  &settled[1]))
			<< orphaned_units("t") << " and "
			<< orphaned_units("u");
		EXPECT_TRUE(
			until(SIM_WORK_BOUND, &sim_run::work_done, &settled[2]))
			<< open_tasks(true) << " tasks, " << w.requests.size()
			<< " requests";
		EXPECT_TRUE(until(SIM_WORK_BOUND, &sim_run::pools_restored,
				  &settled[3]))
			<< pools_complete(true);
		for (auto &id : w.unplaceable) {
			if (!held())
				break;
			std::string s = task_state(id, "state");

			EXPECT_TRUE(s == "never_runs" || s == "cancelled" ||
				    s.empty())
				<< id << " " << s;
		}
		if (held())
			check_floors();
	}
	// Checks that each data centre can again use its guaranteed minimum of
	// each team's limit.
	void check_floors()
	{
		const int64_t floor[2] = {24 / 6, 16 / 6};

		for (int team = 0; team < 2; team++)
			for (int dc = 0; dc < 3; dc++) {
				int64_t got = 0;

				for (int k = 0; k < 400 && got < floor[team];
				     k++) {
					seam_admit *a = seam_teams_admit(
						w.parts[dc * 3 + k % 3].teams);
					got += !a->ops->take(a, sim_teams[team],
							     1, w.now(), &w.e);
					seam_err_clear(&w.e);
					step(50 * SEAM_MSEC, false);
				}
				EXPECT_GE(got, floor[team])
					<< sim_teams[team] << " in "
					<< sim_dcs[dc];
			}
	}
	// Summary that is equal for two runs with the same seed.
	std::string digest()
	{
		seam_store_stats u = seam_store_mem_stats(w.s->mem);
		std::string out = std::to_string(w.now()) + " " +
				  std::to_string(u.commits) + " " +
				  std::to_string(u.rows_written) + " " +
				  std::to_string(sim_bytes_state);

		for (auto &c : w.count)
			out += ", " + c.first + " " + std::to_string(c.second);
		return out;
	}
};

#endif
