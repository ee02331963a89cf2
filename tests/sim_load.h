// Simulated load: tasks, and requests that hold a unit until they end at a
// target.
#ifndef SIM_LOAD_H
#define SIM_LOAD_H

#include "sim_check.h"

struct sim_load {
	sim_world &w;
	sim_reference &t;
	seam_time peak_until[2] = {};
	std::map<std::string, int> ran; // executions by idempotency key
	uint64_t serial = 0;
	bool on = true;

	// Checks a request's API key and the age of the configuration.
	bool allowed(int i, int team, seam_fresh_class cl)
	{
		seam_node *d = w.s->nodes[i]->node;
		seam_fresh_bounds b = {
			d->settings.stale_serve_ms, d->settings.stale_key_ms,
			d->settings.vm_list_ms, d->settings.clock_skew_ms};
		seam_time confirmed = seam_node_confirmed(d);
		seam_conf *c = seam_conf_current(&d->conf);
		std::string text = std::string("key-") + sim_teams[team];
		const seam_key *k =
			seam_conf_authenticate(c, text.c_str(), &w.e);
		bool ok = w.disabled.keys ||
			  (k &&
			   !seam_fresh_check(cl, confirmed,
					     w.s->nodes[i]->now(), &b, &w.e));

		seam_conf_unref(c);
		seam_err_clear(&w.e);
		if (ok)
			check_key(i, team,
				  cl == SEAM_FRESH_IDEMPOTENT ?
					  b.stale_serve_ms :
					  b.stale_key_ms);
		return ok;
	}
	void check_key(int i, int team, int64_t bound_ms)
	{
		auto x = t.withdrawn.find(sim_teams[team]);
		seam_time age =
			x == t.withdrawn.end() ? 0 : w.now() - x->second;

		SIM_CHECK(w, "P3", age <= bound_ms * SEAM_MSEC + SIM_SKEW,
			  "n%d takes work of %s, withdrawn %lld us ago", i,
			  sim_teams[team], (long long)age);
	}
	seam_once_claim *claim(int i, const std::string &key)
	{
		static const seam_call_ops ops = {};
		seam_once_claim *c = new seam_once_claim();
		seam_call call = {};

		call.ops = &ops;
		call.method = "POST";
		call.path = "/v1/services/s/x";
		call.query = "";
		if (!w.disabled.claims &&
		    (seam_once_claim_init(c, "t", key.c_str(), "s", &call,
					  &w.e) ||
		     seam_once_begin(w.parts[i].once, c,
				     w.s->nodes[i]->now() + 5 * SEAM_SEC,
				     &w.e) != SEAM_ONCE_RUN)) {
			seam_once_claim_free(c);
			delete c;
			c = nullptr;
			w.count["keyed requests not run"]++;
		}
		seam_err_clear(&w.e);
		return c;
	}
	void abandon_claim(int i, seam_once_claim *c, const seam_err *why)
	{
		if (!c)
			return;
		if (!w.disabled.claims)
			seam_once_end(w.parts[i].once, c, -1, nullptr, why);
		seam_once_claim_free(c);
		delete c;
	}
	void request(int i, int team)
	{
		sim_parts &p = w.parts[i];
		seam_node *d = w.s->nodes[i]->node;
		int kind = (int)w.below(4); // 0 keyed, 1 not idempotent
		seam_admit *a = seam_teams_admit(p.teams);
		const char *name = sim_teams[team];
		seam_locality near = {d->settings.data_centre, nullptr, 0};
		seam_tried_targets tried = {};
		sim_request r = {i, p.generation, team,	 "",	 "", 0,
				 0, {},		  false, nullptr};
		seam_err e = SEAM_ERR_INIT;

		if (!allowed(i, team,
			     kind == 0 ? SEAM_FRESH_KEYED :
			     kind == 1 ? SEAM_FRESH_NON_IDEMPOTENT :
					 SEAM_FRESH_IDEMPOTENT)) {
			w.count["requests refused: key or freshness"]++;
			return;
		}
		if (kind == 0) {
			// Keys are repeated at random, through any node.
			r.key = std::to_string(w.one_in(3) && serial ?
						       w.below(serial) :
						       serial++);
			r.claim = claim(i, r.key);
			if (!r.claim)
				return;
		}
		seam_time at = w.s->nodes[i]->now();
		if (!w.disabled.limit && a->ops->take(a, name, 1, at, &e)) {
			abandon_claim(i, r.claim, &e);
			w.count["requests refused: limit"]++;
			return;
		}
		if (seam_route_acquire(d->targets, "s", &near, &tried, at, &r.h,
				       &e)) {
			if (!w.disabled.limit)
				a->ops->release(a, name, 1, at);
			abandon_claim(i, r.claim, &e);
			w.count["requests refused: no target"]++;
			return;
		}
		send(i, r);
	}
	void send(int i, sim_request &r)
	{
		seam_node *d = w.s->nodes[i]->node;
		seam_table *table = seam_targets_lock(d->targets);
		seam_target *x = (seam_target *)seam_table_get(table, r.h);

		r.vm = x->info.id;
		seam_targets_unlock(d->targets);
		r.begun = w.now();
		r.end = w.now() + (w.one_in(20) ?
					   20 * SEAM_SEC :
					   (50 + w.below(4000)) * SEAM_MSEC);
		r.target_lost = w.reboot_end.count(r.vm) || w.lost.count(r.vm);
		w.requests.push_back(r);
		w.count["requests"]++;
		if (!r.key.empty()) {
			int n = ++ran[r.key];

			w.count["keyed requests"]++;
			SIM_CHECK(w, "P8", n == 1,
				  "request with key %s runs %d times on n%d",
				  r.key.c_str(), n, i);
		}
		check_target(i, r.vm);
		sim_check_limit(w, sim_teams[r.team]);
	}
	void check_target(int i, const std::string &vm)
	{
		auto x = t.leaving.find(vm);
		seam_time age = x == t.leaving.end() ? 0 : w.now() - x->second;

		SIM_CHECK(w, "P9",
			  age <= 5 * SEAM_SEC + SIM_SKEW ||
				  w.now() - w.parts[i].reach_since <=
					  5 * SEAM_SEC,
			  "n%d sends to VM %s, leaving for %lld us; store "
			  "reached for %lld us, not paused for %lld us",
			  i, vm.c_str(), (long long)age,
			  (long long)(w.now() - w.parts[i].reach_since),
			  (long long)(w.now() - w.parts[i].steady_since));
	}
	// Reports the end of a request to the node that sent it.
	void finish(sim_request &r)
	{
		sim_parts &p = w.parts[r.node];
		seam_admit *a = seam_teams_admit(p.teams);
		const char *name = sim_teams[r.team];
		seam_answer ok = {};
		seam_err lost = SEAM_ERR_INIT;

		seam_route_release(w.s->nodes[r.node]->node->targets, r.h);
		if (w.disabled.limit)
			;
		else if (r.target_lost)
			a->ops->hold_until(a, name, 1, r.begun + 30 * SEAM_SEC);
		else
			a->ops->release(a, name, 1, w.s->nodes[r.node]->now());
		if (!r.claim)
			return;
		ok.status = 200;
		seam_fail(&lost, SEAM_OUTCOME_UNKNOWN, nullptr);
		if (!w.disabled.claims)
			seam_once_end(p.once, r.claim, r.target_lost ? -1 : 0,
				      r.target_lost ? nullptr : &ok,
				      r.target_lost ? &lost : nullptr);
		seam_once_claim_free(r.claim);
		delete r.claim;
		r.claim = nullptr;
	}
	void finish_all()
	{
		for (size_t j = 0; j < w.requests.size();) {
			sim_request &r = w.requests[j];
			bool same = w.parts[r.node].made &&
				    w.parts[r.node].generation == r.generation;

			if ((!r.target_lost && r.end > w.now()) ||
			    (same && !w.serves(r.node))) {
				j++;
				continue;
			}
			sim_request done = r;
			w.requests.erase(w.requests.begin() + (long)j);
			if (same)
				finish(done);
		}
	}
	void task(int i, int team)
	{
		seam_conf *c = seam_conf_current(&w.s->nodes[i]->node->conf);
		std::string name = std::string("q") + sim_teams[team];
		std::string key = "k" + std::to_string(serial++);
		bool once = w.one_in(2), huge = w.one_in(60);
		int64_t cpu = huge ? 99000 : 200 + (int64_t)w.below(1500);
		std::string payload =
			"{\"run_ms\":" + std::to_string(200 + w.below(15000)) +
			(once ? ",\"once\":true" : "") +
			(w.one_in(40) ? ",\"fail\":true" : "") +
			(w.one_in(4) ? ",\"cpu\":" + std::to_string(cpu * 3) :
				       "") +
			"}";
		seam_task_spec a = {};
		char id[SEAM_TASK_ID_SIZE];

		a.queue = (const seam_queue *)seam_conf_lookup(
			c, SEAM_CONF_QUEUE, name.c_str());
		a.team = sim_teams[team];
		a.idem_key = key.c_str();
		a.kind = w.one_in(2) ? "k" : "l";
		a.group = w.one_in(4) ? "g" : "";
		a.payload = payload.c_str();
		a.need = {cpu, 100, 0};
		a.urgent = w.one_in(10);
		a.idempotent = !once;
		a.finish_by = w.one_in(3) ? w.now() + 60 * (seam_time)SEAM_SEC :
					    SEAM_NEVER;
		if (a.queue && allowed(i, team, SEAM_FRESH_PUT_TASK) &&
		    !seam_tasks_submit(w.parts[i].tasks, &a, id,
				       w.s->nodes[i]->now() + 500 * SEAM_MSEC,
				       &w.e)) {
			w.tasks.push_back(id);
			w.count["tasks"]++;
			if (huge)
				w.unplaceable.insert(id);
		}
		seam_err_clear(&w.e);
		seam_conf_unref(c);
	}
	void cancel_wave(int i)
	{
		for (int k = 0; k < 20 && !w.tasks.empty(); k++) {
			size_t n = w.tasks.size();
			size_t back = w.below(n < 60 ? n : 60);

			seam_tasks_cancel(
				w.parts[i].tasks, w.tasks[n - 1 - back].c_str(),
				w.s->nodes[i]->now() + 200 * SEAM_MSEC, &w.e);
			seam_err_clear(&w.e);
		}
		w.count["waves of cancellations"]++;
	}
	// Generates the mean load, or five times as much during a team's peak.
	void step()
	{
		finish_all();
		for (int team = 0; team < 2 && on; team++) {
			int n = w.now() < peak_until[team] ? 5 : 1;

			for (int k = 0; k < n; k++) {
				int i = (int)w.below(SIM_NODES);

				if (w.one_in(2) && w.serves(i))
					request(i, team);
				i = (int)w.below(SIM_NODES);
				if (w.one_in(12) && w.serves(i))
					task(i, team);
			}
			if (w.one_in(200))
				peak_until[team] =
					w.now() +
					(seam_time)(2 + w.below(8)) * SEAM_SEC;
		}
	}
};

#endif
