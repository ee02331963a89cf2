// Checks the invariants P1 to P11 of docs/design.md against the state of all
// simulated nodes.
#ifndef SIM_CHECK_H
#define SIM_CHECK_H

#include "sim_world.h"

#define SIM_SKEW (200 * SEAM_MSEC)

// State according to the store, with the times of its changes. The checks
// compare what nodes do with it.
struct sim_reference {
	std::map<std::string, seam_pool_row> row;
	std::map<std::string, seam_time> leaving; // inactive since
	std::map<std::string, seam_time> drain_until;
	std::map<std::string, seam_time> withdrawn; // by team
	std::map<std::string, seam_time> out; // by data centre
	std::map<std::string, std::pair<std::string, int64_t>> seen_start;
	uint64_t head = 0;

	~sim_reference()
	{
		for (auto &r : row)
			seam_pool_row_free(&r.second);
	}
};

static seam_pool_vm *sim_member_of(sim_reference &t, const std::string &vm,
				   std::string *pool = nullptr)
{
	for (auto &r : t.row)
		if (seam_pool_vm *m = seam_pool_member(&r.second, vm.c_str())) {
			if (pool)
				*pool = r.first;
			return m;
		}
	return nullptr;
}

// Reads data centres and keys from the newest version in the store.
static void sim_watch_conf(sim_world &w, sim_reference &t)
{
	seam_err e = SEAM_ERR_INIT;
	uint64_t head = 0;

	if (seam_conf_head_version(w.s->mem, &head, SEAM_NEVER, &e) ||
	    head == t.head)
		return;
	SIM_CHECK(w, "P11", head > t.head, "head went from %lu to %lu",
		  (unsigned long)t.head, (unsigned long)head);
	t.head = head;
	seam_conf *c = seam_conf_load(w.s->mem, SEAM_NEVER, &e);
	for (const char *dc : sim_dcs) {
		bool out = seam_conf_dc_out(c, dc);

		if (out && !t.out.count(dc)) {
			t.out[dc] = w.now();
			seam_fake_workers_set_dc_out(w.workers, dc, w.now());
		}
		if (!out && t.out.erase(dc))
			seam_fake_workers_set_dc_out(w.workers, dc, 0);
	}
	for (const char *team : sim_teams) {
		std::string text = std::string("key-") + team;

		if (seam_conf_authenticate(c, text.c_str(), &e))
			t.withdrawn.erase(team);
		else
			t.withdrawn.emplace(team, w.now());
		seam_err_clear(&e);
	}
	seam_conf_unref(c);
}

// P1: a commit that begins planned work keeps the pool within its budget.
static void sim_check_budget(sim_world &w, const seam_pool_row &was,
			     const seam_pool_row &is)
{
	seam_pool_counts a = seam_pool_count(&was);
	seam_pool_counts b = seam_pool_count(&is);

	for (int k = 0; k < 3; k++)
		if (!strcmp(is.name, sim_pools[k]))
			SIM_CHECK(w, "P1",
				  b.planned <= a.planned ||
					  b.unavailable <= sim_budget[k],
				  "pool %s: %lld planned after %lld, %lld "
				  "unavailable, budget %lld",
				  is.name, (long long)b.planned,
				  (long long)a.planned,
				  (long long)b.unavailable,
				  (long long)sim_budget[k]);
}

static void sim_watch_members(sim_world &w, sim_reference &t)
{
	std::map<std::string, std::string> where;

	for (auto &r : t.row)
		for (size_t i = 0; i < r.second.n; i++) {
			const seam_pool_vm &m = r.second.member[i];

			SIM_CHECK(w, "P2", where.emplace(m.vm, r.first).second,
				  "VM %s is in %s and %s", m.vm,
				  where[m.vm].c_str(), r.first.c_str());
			if (m.state == SEAM_MEMBER_ACTIVE) {
				t.leaving.erase(m.vm);
				t.drain_until.erase(m.vm);
			} else {
				t.leaving.emplace(m.vm, w.now());
			}
			if (m.state == SEAM_MEMBER_DRAINING)
				t.drain_until[m.vm] = m.until;
		}
	// A VM that returns after its removal counts as a new member.
	for (auto it = t.leaving.begin(); it != t.leaving.end();) {
		bool gone = !where.count(it->first);

		if (gone)
			t.drain_until.erase(it->first);
		it = gone ? t.leaving.erase(it) : std::next(it);
	}
	seam_rows rows = {};
	seam_store_scan(w.s->mem, "vm/", nullptr, 1000, &rows, SEAM_NEVER,
			&w.e);
	for (size_t i = 0; i < rows.n; i++) {
		auto x = where.find(rows.row[i].key + 3);
		bool same = x != where.end() &&
			    strstr(rows.row[i].data,
				   ("\"" + x->second + "\"").c_str());

		SIM_CHECK(w, "P2", same, "row %s is %s, member of %s",
			  rows.row[i].key, rows.row[i].data,
			  x == where.end() ? "none" : x->second.c_str());
	}
	SIM_CHECK(w, "P2", rows.n == where.size(), "%zu rows vm/, %zu members",
		  rows.n, where.size());
	seam_rows_free(&rows);
}

// Reads the pool rows that changed and checks P1 and P2.
static void sim_watch_rows(sim_world &w, sim_reference &t)
{
	seam_rows rows = {};
	bool changed = false;

	seam_store_scan(w.s->mem, "pool/", nullptr, 1000, &rows, SEAM_NEVER,
			&w.e);
	for (size_t i = 0; i < rows.n; i++) {
		seam_pool_row r = {};
		seam_pool_row &old = t.row[rows.row[i].key + 5];

		if (old.version == rows.row[i].version)
			continue;
		seam_pool_row_read(rows.row[i].data, &r, &w.e);
		r.version = rows.row[i].version;
		if (old.version)
			sim_check_budget(w, old, r);
		seam_pool_row_free(&old);
		old = r;
		changed = true;
	}
	seam_rows_free(&rows);
	if (changed)
		sim_watch_members(w, t);
}

// Units of a team in use: requests at targets and tasks with a valid lease,
// independent of the nodes' own accounting.
static int64_t sim_in_use(sim_world &w, const char *team)
{
	GHashTableIter wi;
	GHashTableIter ri;
	gpointer v;
	int64_t n = 0;

	for (auto &r : w.requests)
		n += !strcmp(sim_teams[r.team], team) && !r.target_lost &&
		     r.end > w.now();
	g_hash_table_iter_init(&wi, w.workers->workers);
	while (g_hash_table_iter_next(&wi, NULL, &v)) {
		struct worker *x = (struct worker *)v;

		g_hash_table_iter_init(&ri, x->attempts);
		while (g_hash_table_iter_next(&ri, NULL, &v)) {
			struct task_attempt *r = (struct task_attempt *)v;

			n += r->attempt_state == SEAM_ATTEMPT_RUNNING &&
			     r->lease_until >= w.now() &&
			     r->task[0] == team[0] && r->task[1] == '~';
		}
	}
	return n;
}

// P4 holds at any time. A row is decoded only when its version changed.
static void sim_check_limit(sim_world &w, const char *team)
{
	std::string key = std::string("team/") + team;
	sim_grants &g = w.grants[team];
	seam_row row = {};
	seam_ledger l = {};

	if (seam_store_get(w.s->mem, key.c_str(), &row, SEAM_NEVER, &w.e)) {
		seam_err_clear(&w.e);
		return;
	}
	if (g.version != row.version &&
	    !seam_ledger_parse(&row, team, &l, &w.e)) {
		g = {row.version, l.ceiling, seam_ledger_granted(&l)};
		seam_ledger_free(&l);
	}
	int64_t n = sim_in_use(w, team);
	SIM_CHECK(w, "P4", n <= g.ceiling && g.sum <= g.ceiling,
		  "team %s: %lld units run, %lld granted, in force %lld: %s",
		  team, (long long)n, (long long)g.sum, (long long)g.ceiling,
		  row.data);
	seam_row_free(&row);
}

static std::string sim_describe(sim_world &w, sim_reference &t, const char *vm)
{
	std::string pool;
	seam_pool_vm *m = sim_member_of(t, vm, &pool);
	std::string out = m ? std::string(seam_member_state_name(m->state)) +
					  " (" + seam_member_why_name(m->why) +
					  ") in pool " + pool :
			      "in no pool";

	for (int i = 0; i < SIM_NODES; i++) {
		size_t n = 0;
		seam_fleet_vm *f =
			w.s->nodes[i]->node ?
				seam_fleet_copy(w.s->nodes[i]->node->fleet,
						nullptr, &n, nullptr) :
				nullptr;

		for (size_t j = 0; j < n; j++)
			if (!strcmp(f[j].vm.id, vm))
				out += "; n" + std::to_string(i) + " sees " +
				       seam_member_state_name(f[j].member) +
				       (w.runs(i) ? "" : " paused");
		free(f);
	}
	return out;
}

// P9 for tasks: checks each attempt that started since the last call. The fake
// workers assert P5, P8 and the leases when an attempt starts.
static void sim_check_starts(sim_world &w, sim_reference &t)
{
	GHashTableIter wi;
	GHashTableIter ri;
	gpointer v;

	g_hash_table_iter_init(&wi, w.workers->workers);
	while (g_hash_table_iter_next(&wi, NULL, &v)) {
		struct worker *x = (struct worker *)v;
		auto gone = t.leaving.find(x->vm.id);

		g_hash_table_iter_init(&ri, x->attempts);
		while (g_hash_table_iter_next(&ri, NULL, &v)) {
			struct task_attempt *r = (struct task_attempt *)v;
			std::pair<std::string, int64_t> at(x->vm.id,
							   r->attempt);

			if (r->attempt_state != SEAM_ATTEMPT_RUNNING ||
			    t.seen_start[r->task] == at)
				continue;
			t.seen_start[r->task] = at;
			w.count["task starts"]++;
			SIM_CHECK(
				w, "P9",
				gone == t.leaving.end() ||
					w.now() - gone->second <=
						5 * SEAM_SEC + SIM_SKEW,
				"task %s starts on VM %s, leaving for %lld us; %s",
				r->task, x->vm.id,
				(long long)(w.now() - (gone == t.leaving.end() ?
							       w.now() :
							       gone->second)),
				sim_describe(w, t, x->vm.id).c_str());
		}
	}
}

// P11: the version of a node never decreases, and a node that has reached the
// store and run without a pause for 10 s has each change accepted 10 s ago.
static void sim_check_versions(sim_world &w, int i)
{
	sim_parts &p = w.parts[i];
	uint64_t v = w.s->nodes[i]->version();
	seam_time bound = w.now() - 10 * SEAM_SEC - SIM_SKEW;

	SIM_CHECK(w, "P11", v >= p.seen_version, "n%d went from %lu to %lu", i,
		  (unsigned long)p.seen_version, (unsigned long)v);
	p.seen_version = v;
	if (p.steady_since > bound || p.reach_since > bound)
		return;
	for (uint64_t k = v + 1; k < w.s->accepted.size(); k++)
		SIM_CHECK(w, "P11", w.s->accepted[k] > bound,
			  "n%d has %lu, not %lu of %lld us ago", i,
			  (unsigned long)v, (unsigned long)k,
			  (long long)(w.now() - w.s->accepted[k]));
}

static void sim_check_all(sim_world &w, sim_reference &t)
{
	seam_fake_workers_tick(w.workers, w.now());
	sim_watch_conf(w, t);
	sim_watch_rows(w, t);
	sim_check_starts(w, t);
	for (const char *team : sim_teams)
		sim_check_limit(w, team);
	for (int i = 0; i < SIM_NODES; i++)
		if (w.runs(i)) {
			sim_check_versions(w, i);
			w.s->check(*w.s->nodes[i]);
		}
}

// P10: called when the platform starts a reboot.
static void sim_check_reboot(sim_world &w, sim_reference &t,
			     const std::string &vm)
{
	int busy = 0;
	int requests = 0;
	std::string who;
	GHashTableIter it;
	gpointer v;
	struct worker *x = (struct worker *)g_hash_table_lookup(
		w.workers->workers, vm.c_str());

	sim_watch_rows(w, t);
	seam_pool_vm *m = sim_member_of(t, vm);
	bool planned = !m || m->why != SEAM_WHY_FAILED;
	auto d = t.drain_until.find(vm);
	bool over = d != t.drain_until.end() && d->second <= w.now() + SIM_SKEW;

	for (auto &r : w.requests)
		if (r.vm == vm && !r.target_lost && r.end > w.now()) {
			busy++;
			requests++;
			who = "request of n" + std::to_string(r.node) +
			      " begun " + std::to_string(w.now() - r.begun) +
			      " us ago";
		}
	if (x) {
		g_hash_table_iter_init(&it, x->attempts);
		while (g_hash_table_iter_next(&it, NULL, &v)) {
			struct task_attempt *r = (struct task_attempt *)v;

			if (r->attempt_state != SEAM_ATTEMPT_RUNNING ||
			    r->lease_until < w.now())
				continue;
			busy++;
			who = std::string("task ") + r->task;
		}
	}
	SIM_CHECK(
		w, "P10",
		!planned || (d != t.drain_until.end() && (!busy || over)),
		"VM %s reboots after %lld us: drained %d, deadline over %d, "
		"%d at work, %d of them requests, why %d: %s",
		vm.c_str(),
		(long long)(t.leaving.count(vm) ? w.now() - t.leaving[vm] : 0),
		d != t.drain_until.end(), over, busy, requests, m ? m->why : -1,
		who.c_str());
	w.count["reboots"]++;
}

#endif
