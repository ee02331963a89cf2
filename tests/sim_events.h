// Faults and operators' actions, chosen at random from the seed.
#ifndef SIM_EVENTS_H
#define SIM_EVENTS_H

#include "sim_load.h"

struct sim_events {
	sim_world &w;
	sim_load &load;
	int64_t boot = 1000; // of replaced VMs; may only increase

	seam_time span(int most)
	{
		return w.now() + (seam_time)(1 + w.below(most)) * SEAM_SEC;
	}
	int node()
	{
		return (int)w.below(SIM_NODES);
	}
	void lose_vm(const std::string &id)
	{
		if (w.lost.count(id))
			return;
		seam_fake_platform_del(w.s->platform, id.c_str());
		seam_fake_workers_del(w.workers, id.c_str());
		w.reboot_end.erase(id);
		w.lost[id] = span(60);
		for (auto &r : w.requests)
			if (r.vm == id)
				r.target_lost = true;
	}
	void lose_rack()
	{
		auto it = w.vms.begin();

		std::advance(it, w.below(w.vms.size()));
		std::string rack = it->second.rack;
		for (auto &v : w.vms)
			if (rack == v.second.rack)
				lose_vm(v.first);
	}
	void set_worker_faults()
	{
		seam_fake_worker_faults f = {};

		f.paused = w.one_in(3);
		f.fail_all = w.one_in(3);
		f.lose_answers = (int)w.below(400);
		f.usage_lag = (seam_time)w.below(50) * SEAM_SEC;
		seam_fake_workers_set_faults(
			w.workers,
			("v" + std::to_string(w.below(SIM_VMS))).c_str(), &f);
	}
	void cut(int a, int b, seam_time until)
	{
		w.cut_until[a][b] = w.cut_until[b][a] = until;
	}
	void partition()
	{
		int a = (int)w.below(3);
		seam_time until = span(40);

		cut(a, (a + 1) % 3, until);
		if (w.one_in(2))
			cut(a, (a + 2) % 3, until);
		if (w.one_in(2))
			w.dc_until[a] = until;
	}
	void kill()
	{
		int i = node();

		if (!w.s->nodes[i]->node)
			return;
		w.kill(i);
		w.parts[i].dead_until = span(60);
	}
	std::string any_change()
	{
		std::string dc = sim_dcs[w.below(3)];
		int team = (int)w.below(2);

		switch (w.below(3)) {
		case 0:
			return "{\"put\":[{\"kind\":\"data_centre\",\"object\":"
			       "{\"name\":\"" +
			       dc + "\",\"region\":\"r\",\"state\":\"" +
			       (w.one_in(2) ? "out" : "in") + "\"}}]}";
		case 1:
			return "{\"put\":[{\"kind\":\"team\",\"object\":{"
			       "\"name\":\"" +
			       std::string(sim_teams[team]) + "\",\"limit\":" +
			       std::to_string(4 + w.below(36)) + "}}]}";
		default:
			return sim_key_put(sim_teams[team], w.one_in(2));
		}
	}
	// Two operators change the same version through different nodes.
	void operators()
	{
		int i = node(), j = node();

		if (!w.runs(i) || !w.runs(j))
			return;
		uint64_t a = w.s->nodes[i]->version();
		uint64_t b = w.s->nodes[j]->version();
		w.change(i, any_change(), a);
		sim_watch_conf(w, load.t);
		w.change(j, any_change(), b);
		sim_watch_conf(w, load.t);
	}
	void wave()
	{
		int i = node();
		seam_wave_order o = {};

		if (!w.serves(i))
			return;
		o.order = w.one_in(4) ? SEAM_WAVE_ORDER_HALT :
					SEAM_WAVE_ORDER_START;
		o.version = SEAM_ANY_VERSION;
		strcpy(o.reason, "random");
		strcpy(o.operator_name, "op");
		seam_wave_set_order(w.parts[i].pools, sim_pools[w.below(3)], &o,
				    w.now(), &w.e);
		seam_err_clear(&w.e);
	}
	void demand()
	{
		seam_demand_report r = {(int64_t)w.below(12), 0, 1,
					w.now() + 120 * (seam_time)SEAM_SEC};
		const char *pool = sim_pools[w.below(2)];

		for (auto &p : w.parts)
			if (p.made)
				seam_demand_set(p.demand, pool, "sim", &r);
	}
	void event()
	{
		int k = (int)w.below(16);
		int i = node();

		w.count["event " + std::to_string(k)]++;
		switch (k) {
		case 0:
			lose_rack();
			break;
		case 1:
		case 2:
			set_worker_faults();
			break;
		case 3:
			if (w.serves(i))
				load.cancel_wave(i);
			break;
		case 4:
			w.store_until = span(30);
			break;
		case 5:
			w.parts[i].down_until = span(30);
			break;
		case 6:
			w.parts[i].flaky_until = span(30);
			break;
		case 7:
			w.parts[i].slow_until = span(20);
			break;
		case 8:
			w.parts[i].pause_until = span(25);
			break;
		case 9:
			partition();
			break;
		case 10:
			kill();
			break;
		case 11:
			operators();
			break;
		case 12:
		case 13:
			wave();
			break;
		case 14:
			demand();
			break;
		default:
			if (w.one_in(2))
				w.platform_until = span(20);
			else
				w.parts[i].link_until = span(25);
		}
	}
	// Half of the events occur in pairs.
	void step()
	{
		if (!w.one_in(25))
			return;
		event();
		if (w.one_in(2)) {
			event();
			w.count["pairs of events"]++;
		}
	}
	void apply_node(int i)
	{
		sim_parts &p = w.parts[i];
		sim_node &n = *w.s->nodes[i];
		seam_store_faults f = {};

		if (!n.node && p.dead_until <= w.now()) {
			seam_vm vm = {};

			strcpy(vm.id, n.name.c_str());
			strcpy(vm.dc, n.dc.c_str());
			seam_fake_platform_put(w.s->platform, &vm);
			w.s->start(n);
			n.node->platform = &w.platform.base;
			p.seen_version = 0;
			p.reach_since = p.steady_since = w.now();
		}
		if (!n.node)
			return;
		if (n.paused != (p.pause_until > w.now()))
			w.s->pause(n, !n.paused);
		if (n.paused)
			p.steady_since = w.now();
		f.down = w.store_until > w.now() || p.down_until > w.now() ||
			 w.dc_until[i / 3] > w.now();
		f.lose_answers = p.flaky_until > w.now() ? 150 : 0;
		f.drop_commits = p.flaky_until > w.now() ? 150 : 0;
		f.delay = p.slow_until > w.now() ? 2 * SEAM_MSEC : 0;
		if (f.down || f.lose_answers)
			p.reach_since = w.now();
		f.seed = w.below(1000000) + 1;
		if (f.down != p.faults.down || f.delay != p.faults.delay ||
		    f.lose_answers != p.faults.lose_answers) {
			p.faults = f;
			w.s->store_faults(n, f);
		}
		bool link = p.link_until > w.now();
		if (p.made && link != p.link_cut) {
			seam_fake_link_set_down(p.link, link);
			p.link_cut = link;
		}
	}
	void apply_cuts()
	{
		for (int a = 0; a < 3; a++)
			for (int b = a + 1; b < 3; b++) {
				bool cut_now = w.cut_until[a][b] > w.now();

				if (cut_now == w.was_cut[a][b])
					continue;
				w.was_cut[a][b] = cut_now;
				for (int i = 0; i < 9; i++)
					w.s->cut(*w.s->nodes[a * 3 + i / 3],
						 *w.s->nodes[b * 3 + i % 3],
						 cut_now);
			}
	}
	void apply_vms()
	{
		seam_fake_platform_set_down(w.s->platform,
					    w.platform_until > w.now());
		for (auto it = w.lost.begin(); it != w.lost.end();) {
			seam_vm &v = w.vms[it->first];

			if (it->second > w.now()) {
				++it;
				continue;
			}
			v.boot = boot += 1000;
			seam_fake_platform_put(w.s->platform, &v);
			seam_fake_workers_add(w.workers, &v);
			it = w.lost.erase(it);
		}
		for (auto it = w.reboot_end.begin();
		     it != w.reboot_end.end();) {
			if (it->second > w.now()) {
				++it;
				continue;
			}
			seam_vm &v = w.vms[it->first];
			v.boot++;
			seam_fake_workers_add(w.workers, &v);
			it = w.reboot_end.erase(it);
		}
	}
	void apply()
	{
		for (int i = 0; i < SIM_NODES; i++)
			apply_node(i);
		apply_cuts();
		apply_vms();
	}
	// Ends every fault. Workers are reset again after apply(), which adds
	// those that were lost.
	void heal()
	{
		seam_fake_worker_faults f = {};

		w.store_until = w.platform_until = 0;
		for (auto &p : w.parts)
			p.down_until = p.flaky_until = p.slow_until =
				p.pause_until = p.dead_until = p.link_until = 0;
		for (int i = 0; i < 9; i++)
			w.cut_until[i / 3][i % 3] = 0;
		for (auto &x : w.dc_until)
			x = 0;
		for (auto &l : w.lost)
			l.second = 0;
		for (auto &v : w.vms)
			seam_fake_workers_set_faults(w.workers, v.first.c_str(),
						     &f);
		apply();
		for (auto &v : w.vms)
			seam_fake_workers_set_faults(w.workers, v.first.c_str(),
						     &f);
	}
};

#endif
