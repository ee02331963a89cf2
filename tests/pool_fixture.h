// Fixture of the tests of pools and waves: pools with an in-memory store, a
// fake platform and a simulated clock.
#ifndef SEAM_TESTS_POOL_FIXTURE_H
#define SEAM_TESTS_POOL_FIXTURE_H

#include <gtest/gtest.h>

#include <cstring>
#include <map>
#include <string>
#include <vector>

#include "base/log.h"
#include "fake/fake.h"
#include "process/pool.h"

// SEAM_SEC is an int, so products for hours would overflow.
static const seam_time SEC = SEAM_SEC;

struct pool_fixture;

// Drain of VMs that are busy until a given time; records calls of begin.
struct test_drain {
	seam_drain drain;
	pool_fixture *w;
	std::map<std::string, seam_time> begun; // VM to deadline of its drain
	std::map<std::string, seam_time> busy_until;
};

// Platform that asserts that every reboot follows a drain.
struct checking_platform {
	seam_platform base;
	pool_fixture *w;
};

struct test_owner {
	seam_owner base;
	bool alive = true;
	std::string only; // if set, the only shard that it owns
	std::string except; // a shard that it does not own
};

struct pool_fixture {
	seam_fake_clock clock;
	seam_store *mem;
	std::vector<seam_store *> view;
	std::vector<seam_pools *> node;
	test_owner owner[3];
	seam_fake_platform *fake;
	checking_platform platform;
	test_drain drain;
	seam_conf_cell conf;
	seam_fleet *fleet;
	seam_demand *demand;
	std::string pools;
	std::map<std::string, bool> dc_out;
	bool hints; // nodes send hints about changed rows
	bool lose_hints = false;
	uint64_t hint_gaps = 0; // number of missed hints
	uint64_t version = 0;
	uint64_t checked = 0;
	seam_err e = SEAM_ERR_INIT;

	static bool mine(seam_owner *base, const char *name, seam_time)
	{
		test_owner *o = (test_owner *)base;

		return o->alive && (o->only.empty() || o->only == name) &&
		       o->except != name;
	}
	static void drain_begin(seam_drain *d, const char *vm, seam_time until)
	{
		((test_drain *)d)->begun[vm] = until;
	}
	static bool drain_idle(seam_drain *d, const char *vm)
	{
		test_drain *t = (test_drain *)d;
		return t->busy_until[vm] <= t->w->clock.time;
	}
	static void drain_end(seam_drain *d, const char *vm)
	{
		((test_drain *)d)->begun.erase(vm);
	}
	static int list(seam_platform *p, seam_vms *out, seam_time until,
			seam_err *e)
	{
		seam_platform *f = seam_fake_platform_base(
			((checking_platform *)p)->w->fake);
		return f->ops->vms(f, out, until, e);
	}
	static int changes(seam_platform *p, const char *since, seam_vms *out,
			   seam_time until, seam_err *e)
	{
		seam_platform *f = seam_fake_platform_base(
			((checking_platform *)p)->w->fake);
		return f->ops->changes(f, since, out, until, e);
	}
	static int reboot(seam_platform *p, const char *vm, int64_t boot,
			  seam_time until, seam_err *e)
	{
		pool_fixture *w = ((checking_platform *)p)->w;
		seam_platform *f = seam_fake_platform_base(w->fake);
		int before = seam_fake_platform_reboots(w->fake);
		int rc = f->ops->reboot(f, vm, boot, until, e);

		if (seam_fake_platform_reboots(w->fake) != before)
			w->check_drained(vm);
		return rc;
	}
	void check_drained(const char *vm)
	{
		auto b = drain.begun.find(vm);
		bool begun = b != drain.begun.end();
		bool done = begun && (drain.busy_until[vm] <= clock.time ||
				      b->second <= clock.time);

		SEAM_INVARIANT(done, "test",
			       "VM %s rebooted, drain begun %d, done %d", vm,
			       begun, done);
		drain.begun.erase(vm);
	}

	static void send_hint(void *arg, const char *key)
	{
		pool_fixture *w = (pool_fixture *)arg;

		for (auto *n : w->node)
			if (!w->lose_hints)
				seam_pools_hint(n, key);
	}
	static uint64_t count_gaps(void *arg, seam_time)
	{
		return ((pool_fixture *)arg)->hint_gaps;
	}
	explicit pool_fixture(const char *pool_list, int nodes = 1,
			      bool with_hints = false)
	    : pools(pool_list), hints(with_hints)
	{
		static const seam_owner_ops owner_ops = {mine};
		static const seam_drain_ops drain_ops = {drain_begin,
							 drain_idle, drain_end};
		static const seam_platform_ops platform_ops = {list, reboot,
							       changes};

		seam_fake_clock_init(&clock, 1000000LL * SEC);
		mem = seam_store_mem_new(&clock.clock);
		fake = seam_fake_platform_new(&clock.clock);
		platform = {{&platform_ops}, this};
		drain.drain.ops = &drain_ops;
		drain.w = this;
		fleet = seam_fleet_new();
		demand = seam_demand_new();
		seam_conf_cell_init(&conf);
		for (auto &o : owner)
			o.base.ops = &owner_ops;
		dc_out = {{"a", false}, {"b", false}, {"c", false}};
		configure();
		for (int i = 0; i < nodes; i++)
			add_node();
	}
	~pool_fixture()
	{
		for (auto *n : node)
			seam_pools_free(n);
		for (auto *v : view)
			seam_store_close(v);
		seam_store_close(mem);
		seam_fake_platform_free(fake);
		seam_conf_cell_free(&conf);
		seam_fleet_free(fleet);
		seam_demand_free(demand);
	}
	void add_node()
	{
		seam_store *v = seam_store_mem_connect(mem);
		seam_pools_env env = {};

		env.clock = &clock.clock;
		env.store = v;
		env.platform = &platform.base;
		env.conf = &conf;
		env.owner = &owner[node.size() % 3].base;
		env.drain = &drain.drain;
		env.drain_tasks = &drain.drain;
		env.demand = demand;
		env.size = seam_size_thrifty();
		env.fleet = fleet;
		env.vm_list_ms = 30000;
		env.send_hint = hints ? send_hint : nullptr;
		env.hint_gaps = hints ? count_gaps : nullptr;
		env.hint_context = this;
		view.push_back(v);
		node.push_back(seam_pools_new(&env));
	}
	void configure()
	{
		std::string doc = "{\"data_centres\":[";
		seam_problems p = {"test", nullptr, 0};

		for (auto &d : dc_out)
			doc += (d.first == "a" ? "" : ",") +
			       ("{\"name\":\"" + d.first) +
			       "\",\"region\":\"r\",\"state\":\"" +
			       (d.second ? "out" : "in") + "\"}";
		doc += "],\"pools\":" + pools + "}";
		json_object *o = json_tokener_parse(doc.c_str());
		seam_conf *c = seam_conf_parse(o, ++version, &p);
		ASSERT_NE(c, nullptr) << (p.n ? p.text[0] : "");
		seam_conf_publish(&conf, c);
		json_object_put(o);
		seam_problems_free(&p);
	}
	void out(const char *dc, bool is_out)
	{
		dc_out[dc] = is_out;
		configure();
	}
	void vm(const std::string &id, const char *dc, const char *rack,
		const char *pool, int state = SEAM_VM_LIVE, int64_t boot = 1)
	{
		seam_vm v = {};

		snprintf(v.id, sizeof(v.id), "%s", id.c_str());
		snprintf(v.dc, sizeof(v.dc), "%s", dc);
		snprintf(v.rack, sizeof(v.rack), "%s", rack);
		snprintf(v.pool, sizeof(v.pool), "%s", pool);
		v.state = state;
		v.boot = boot;
		seam_fake_platform_put(fake, &v);
	}
	void store_faults(size_t i, bool down, int lose = 0, int drop = 0)
	{
		seam_store_faults f = {};

		f.down = down;
		f.lose_answers = lose;
		f.drop_commits = drop;
		f.seed = 77 + i;
		seam_store_mem_set_faults(view[i], &f);
	}
	void pass(size_t i = 0)
	{
		seam_pools_read_vm_list(node[i], clock.time, &e);
		seam_pools_pass(node[i], clock.time);
		seam_pools_publish(node[i]);
	}
	// Runs the passes of all live owners in each step.
	void run(seam_time span, seam_time step = SEAM_SEC)
	{
		seam_time end = clock.time + span;

		while (clock.time < end) {
			for (size_t i = 0; i < node.size(); i++)
				if (owner[i].alive)
					pass(i);
			check();
			seam_fake_clock_set(&clock, clock.time + step);
		}
	}
	seam_pool_row row(const char *pool)
	{
		seam_row r = {};
		seam_pool_row out = {};
		std::string key = std::string("pool/") + pool;

		if (seam_store_get(mem, key.c_str(), &r, SEAM_NEVER, &e))
			return out;
		EXPECT_EQ(seam_pool_row_read(r.data, &out, &e), 0) << e.text;
		out.version = r.version;
		seam_row_free(&r);
		return out;
	}
	size_t size(const char *pool)
	{
		seam_pool_row r = row(pool);
		size_t n = r.n;

		seam_pool_row_free(&r);
		return n;
	}
	uint64_t row_version(const char *pool)
	{
		seam_pool_row r = row(pool);

		seam_pool_row_free(&r);
		return r.version;
	}
	// Member of any pool as stored; without one, its id is "" and @pool is
	// kept.
	seam_pool_vm member(const std::string &id, std::string *pool = nullptr)
	{
		seam_pool_vm found = {};
		seam_rows rows = {};

		seam_store_scan(mem, "pool/", nullptr, 1000, &rows, SEAM_NEVER,
				&e);
		for (size_t i = 0; i < rows.n; i++) {
			seam_pool_row r;

			seam_pool_row_read(rows.row[i].data, &r, &e);
			if (seam_pool_vm *m =
				    seam_pool_member(&r, id.c_str())) {
				found = *m;
				if (pool)
					*pool = r.name;
			}
			seam_pool_row_free(&r);
		}
		seam_rows_free(&rows);
		return found;
	}
	int count(const char *pool, int state)
	{
		seam_pool_row r = row(pool);
		int n = 0;

		for (size_t i = 0; i < r.n; i++)
			n += r.member[i].state == state;
		seam_pool_row_free(&r);
		return n;
	}
	void order(const char *pool, int what)
	{
		seam_wave_order w = {};

		w.order = what;
		w.version = SEAM_ANY_VERSION;
		strcpy(w.reason, "test");
		strcpy(w.operator_name, "op");
		ASSERT_EQ(
			seam_wave_set_order(node[0], pool, &w, clock.time, &e),
			0)
			<< e.text;
	}
	// Asserts over all stored rows that planned work keeps the availability
	// budgets and that each VM is in exactly one pool.
	void check()
	{
		std::map<std::string, std::string> where;
		seam_rows rows = {};
		seam_conf *c = seam_conf_current(&conf);

		seam_store_scan(mem, "pool/", nullptr, 1000, &rows, SEAM_NEVER,
				&e);
		uint64_t sum = version;
		for (size_t i = 0; i < rows.n; i++)
			sum = sum * 31 + rows.row[i].version;
		// Skips rows that have not changed since the last check.
		for (size_t i = 0; i < rows.n && sum != checked; i++) {
			seam_pool_row r;

			ASSERT_EQ(seam_pool_row_read(rows.row[i].data, &r, &e),
				  0)
				<< e.text;
			check_row(r, c, &where);
			seam_pool_row_free(&r);
		}
		seam_rows_free(&rows);
		if (sum != checked)
			check_vm_rows(where);
		checked = sum;
		seam_conf_unref(c);
	}
	void check_row(const seam_pool_row &r, seam_conf *c,
		       std::map<std::string, std::string> *where)
	{
		const seam_pool_conf *pc =
			(const seam_pool_conf *)seam_conf_lookup(
				c, SEAM_CONF_POOL, r.name);
		seam_pool_counts t = seam_pool_count(&r);
		std::string racks;

		SEAM_INVARIANT(!pc || t.planned <= pc->budget, "test",
			       "pool %s: %lld planned", r.name,
			       (long long)t.planned);
		for (size_t i = 0; i < r.n; i++) {
			const seam_pool_vm &m = r.member[i];
			std::string rack = std::string(m.dc) + "/" + m.rack;

			SEAM_INVARIANT(where->emplace(m.vm, r.name).second,
				       "test", "VM %s is in two pools", m.vm);
			if (m.why != SEAM_WHY_MAINTENANCE ||
			    m.state == SEAM_MEMBER_ACTIVE)
				continue;
			SEAM_INVARIANT(racks.empty() || racks == rack, "test",
				       "pool %s: waves in %s and %s", r.name,
				       racks.c_str(), rack.c_str());
			racks = rack;
		}
	}
	void check_deadlines()
	{
		seam_rows rows = {};

		seam_store_scan(mem, "pool/", nullptr, 1000, &rows, SEAM_NEVER,
				&e);
		for (size_t i = 0; i < rows.n; i++) {
			seam_pool_row r;

			seam_pool_row_read(rows.row[i].data, &r, &e);
			for (size_t j = 0; j < r.n; j++)
				SEAM_INVARIANT(
					r.member[j].maintain_by >= clock.time,
					"test", "VM %s is past its deadline",
					r.member[j].vm);
			seam_pool_row_free(&r);
		}
		seam_rows_free(&rows);
	}
	// Asserts that each vm/ID names the pool whose row has the VM.
	void check_vm_rows(const std::map<std::string, std::string> &where)
	{
		seam_rows rows = {};

		seam_store_scan(mem, "vm/", nullptr, 1000, &rows, SEAM_NEVER,
				&e);
		SEAM_INVARIANT(rows.n == where.size(), "test",
			       "%zu rows vm/, %zu members", rows.n,
			       where.size());
		for (size_t i = 0; i < rows.n; i++) {
			auto w = where.find(rows.row[i].key + 3);
			bool same = w != where.end() &&
				    strstr(rows.row[i].data,
					   ("\"" + w->second + "\"").c_str());

			SEAM_INVARIANT(same, "test", "row %s is %s",
				       rows.row[i].key, rows.row[i].data);
		}
		seam_rows_free(&rows);
	}
};

// Row with a member for each letter of @text: 'd' is draining, 'r' rebooting,
// 'f' failed, 'o' in a data centre that is out, others active.
static inline seam_pool_row make_row(const char *text)
{
	seam_pool_row r = {};
	seam_pool_vm m = {};

	for (int i = 0; text[i]; i++) {
		m = {};
		snprintf(m.vm, sizeof(m.vm), "v%d", i);
		if (text[i] == 'd')
			seam_member_drain(&m, SEAM_WHY_MAINTENANCE, 0, 1);
		if (text[i] == 'r')
			m.state = SEAM_MEMBER_REBOOTING;
		if (text[i] == 'f')
			m.state = SEAM_MEMBER_FAILED;
		m.out = text[i] == 'o';
		seam_pool_add(&r, &m);
	}
	return r;
}

#endif
