// Simulation of a fleet in one process: in-process transport and fake clock.
#ifndef SEAM_TESTS_MEMBER_FIXTURE_H
#define SEAM_TESTS_MEMBER_FIXTURE_H

#include <cstdio>
#include <cstring>
#include <memory>
#include <string>
#include <vector>

#include "base/log.h"
#include "fake/fake.h"
#include "process/member.h"

// A node's clock: the simulated time plus an offset.
struct skewed_clock {
	seam_clock clock;
	seam_fake_clock *base;
	seam_time offset;
};

static seam_time skewed_now(seam_clock *k)
{
	auto *s = (skewed_clock *)k;
	return s->base->time + s->offset;
}

static bool skewed_wait(seam_clock *k, pthread_cond_t *c, pthread_mutex_t *m,
			seam_time deadline)
{
	auto *s = (skewed_clock *)k;
	return seam_wait(&s->base->clock, c, m, deadline - s->offset);
}

static const seam_clock_ops skewed_ops = {skewed_now, skewed_wait};

struct sim_node {
	skewed_clock clock = {};
	std::string name, dc, addr;
	seam_store *view = nullptr; // owned by the budget store
	seam_store *store = nullptr;
	seam_node *node = nullptr;
	seam_members *members = nullptr;
	seam_versions *versions = nullptr;
	seam_bus *bus = nullptr;
	seam_time member_at = 0, version_at = 0;
	seam_store_faults faults = {};
	bool paused = false;
	std::string seeds;

	seam_time now()
	{
		return seam_now(&clock.clock);
	}
	uint64_t version()
	{
		seam_conf *c = seam_conf_current(&node->conf);
		uint64_t v = seam_conf_version(c);
		seam_conf_unref(c);
		return v;
	}
	bool fresh()
	{
		seam_err e = SEAM_ERR_INIT;
		return !seam_node_check_fresh(node, SEAM_FRESH_KEYED,
					      seam_node_confirmed(node), &e);
	}
};

struct sim {
	seam_fake_clock clock;
	seam_store *mem;
	seam_fake_platform *platform;
	seam_hub *hub;
	std::vector<std::unique_ptr<sim_node>> nodes;
	std::vector<seam_time> accepted; // by version, 0 is unused
	uint64_t seed;

	explicit sim(uint64_t s) : seed(s)
	{
		seam_fake_clock_init(&clock, (seam_time)1000000 * SEAM_SEC);
		mem = seam_store_mem_new(&clock.clock);
		platform = seam_fake_platform_new(&clock.clock);
		hub = seam_hub_new(s);
		accepted.push_back(0);
	}
	~sim()
	{
		for (auto &n : nodes)
			stop(*n);
		seam_hub_free(hub);
		seam_fake_platform_free(platform);
		seam_store_close(mem);
	}
	uint64_t random(uint64_t n)
	{
		seed = seed * 6364136223846793005ull + 1442695040888963407ull;
		return (seed >> 33) % n;
	}
	sim_node &add(const std::string &name, const std::string &dc)
	{
		nodes.emplace_back(new sim_node);
		sim_node &n = *nodes.back();
		seam_vm vm = {};

		n.name = name;
		n.dc = dc;
		n.addr = "peer-" + name;
		n.clock = {{&skewed_ops},
			   &clock,
			   (seam_time)random(200) * SEAM_MSEC -
				   100 * SEAM_MSEC};
		snprintf(vm.id, sizeof(vm.id), "%s", name.c_str());
		seam_fake_platform_put(platform, &vm);
		return n;
	}
	void start(sim_node &n)
	{
		seam_settings s;
		seam_err e = SEAM_ERR_INIT;
		seam_budget_conf c = {300, 1500, random(1000)};

		seam_settings_default(&s);
		snprintf(s.node, sizeof(s.node), "%s", n.name.c_str());
		snprintf(s.vm, sizeof(s.vm), "%s", n.name.c_str());
		snprintf(s.data_centre, sizeof(s.data_centre), "%s",
			 n.dc.c_str());
		snprintf(s.peer, sizeof(s.peer), "%s", n.addr.c_str());
		snprintf(s.cluster_key, sizeof(s.cluster_key), "key");
		snprintf(s.seeds, sizeof(s.seeds), "%s", n.seeds.c_str());
		n.view = seam_store_mem_connect(mem);
		seam_store_mem_set_faults(n.view, &n.faults);
		n.store = seam_store_budget_new(n.view, &n.clock.clock, &c);
		n.node = seam_node_new(&s, &n.clock.clock, n.store,
				       seam_fake_platform_base(platform), &e);
		n.members = seam_members_new(n.node, random(1000));
		n.versions = seam_versions_new(n.node, n.members);
		n.bus = seam_hub_join(hub, n.addr.c_str(), seam_members_receive,
				      n.members);
		seam_members_set_bus(n.members, n.bus);
		n.member_at = n.version_at = 0;
		n.paused = false;
	}
	void stop(sim_node &n)
	{
		if (!n.node)
			return;
		seam_bus_close(n.bus);
		seam_versions_free(n.versions);
		seam_members_free(n.members);
		seam_node_free(n.node);
		seam_store_close(n.store);
		n.node = nullptr;
	}
	void store_faults(sim_node &n, const seam_store_faults &f)
	{
		n.faults = f;
		if (n.node)
			seam_store_mem_set_faults(n.view, &n.faults);
	}
	void store_down(sim_node &n, bool down)
	{
		seam_store_faults f = {};
		f.down = down;
		store_faults(n, f);
	}
	void cut(sim_node &a, sim_node &b, bool on)
	{
		seam_hub_partition(hub, a.addr.c_str(), b.addr.c_str(), on);
		seam_hub_partition(hub, b.addr.c_str(), a.addr.c_str(), on);
	}
	// A paused node receives the messages sent meanwhile once it resumes.
	void pause(sim_node &n, bool on)
	{
		n.paused = on;
		seam_hub_pause(hub, n.addr.c_str(), on);
	}
	// Commits an operator change through node n; true if it was accepted.
	bool change(sim_node &n, seam_time timeout = 2 * SEAM_SEC)
	{
		static int serial;
		std::string text =
			"{\"put\":[{\"kind\":\"data_centre\",\"object\":{"
			"\"name\":\"d" +
			std::to_string(serial++ % 50) +
			"\",\"region\":\"r\"}}]}";
		json_object *o = json_tokener_parse(text.c_str());
		seam_err e = SEAM_ERR_INIT;
		seam_conf_change ch = {o, "test", "test", n.version()};
		seam_conf *c = seam_conf_commit(n.store, &n.clock.clock, &ch,
						n.now() + timeout, &e);

		json_object_put(o);
		record();
		if (!c)
			return false;
		seam_conf_publish(&n.node->conf, c);
		n.version_at = 0; // as seam_node_sync_versions()
		return true;
	}
	// A change counts as accepted once it is in the store, even if the
	// answer was lost.
	void record()
	{
		seam_err e = SEAM_ERR_INIT;
		uint64_t head;

		if (!seam_conf_head_version(mem, &head, clock.time + SEAM_SEC,
					    &e))
			while (accepted.size() <= head)
				accepted.push_back(clock.time);
	}
	void set_fleet(sim_node &n)
	{
		seam_vms vms = {};
		seam_err e = SEAM_ERR_INIT;
		seam_platform *p = seam_fake_platform_base(platform);
		std::vector<seam_fleet_vm> vm;

		if (p->ops->vms(p, &vms, clock.time + SEAM_SEC, &e))
			return;
		for (size_t i = 0; i < vms.n; i++)
			vm.push_back({vms.vm[i], SEAM_MEMBER_ACTIVE});
		seam_fleet_set(n.node->fleet, vm.data(), vm.size(), vms.as_of);
		seam_vms_free(&vms);
	}
	// Checks that a fresh node has every change that was accepted before
	// its confirmation time minus the clock skew.
	void check(sim_node &n)
	{
		const seam_settings &s = n.node->settings;
		seam_time bound =
			clock.time -
			(s.stale_key_ms + s.clock_skew_ms) * SEAM_MSEC;
		seam_time at =
			n.node->confirmed_at - s.clock_skew_ms * SEAM_MSEC;
		uint64_t v = n.version();

		for (uint64_t i = v + 1; i < accepted.size(); i++) {
			SEAM_INVARIANT(!n.fresh() || accepted[i] >= bound,
				       "sim", "%s fresh at %lu without %lu",
				       n.name.c_str(), (unsigned long)v,
				       (unsigned long)i);
			SEAM_INVARIANT(accepted[i] >= at, "sim",
				       "%s confirmed %lu %lld us after %lu",
				       n.name.c_str(), (unsigned long)v,
				       (long long)(at - accepted[i]),
				       (unsigned long)i);
		}
	}
	void step()
	{
		for (auto &p : nodes) {
			sim_node &n = *p;

			if (!n.node || n.paused)
				continue;
			if (n.now() >= n.member_at) {
				set_fleet(n);
				n.member_at =
					seam_members_pass(n.members, n.now());
			}
			if (n.now() >= n.version_at)
				n.version_at =
					seam_versions_pass(n.versions, n.now());
			record();
		}
		seam_hub_deliver(hub);
		for (auto &p : nodes)
			if (p->node && !p->paused)
				check(*p);
		seam_fake_clock_set(&clock, clock.time + 50 * SEAM_MSEC);
	}
	void run(seam_time t)
	{
		seam_time end = clock.time + t;
		while (clock.time < end)
			step();
	}
	// Number of running nodes that consider themselves owner of the shard.
	int owners(const std::string &shard)
	{
		int n = 0;
		for (auto &p : nodes)
			if (p->node && !p->paused)
				n += seam_is_owner(p->node->owner,
						   shard.c_str(), p->now());
		return n;
	}
	bool agreed()
	{
		for (auto &p : nodes)
			if (p->node && p->version() + 1 != accepted.size())
				return false;
		for (int i = 0; i < 100; i++)
			if (owners("pool/" + std::to_string(i)) != 1)
				return false;
		return true;
	}
	static std::unique_ptr<sim> fleet(uint64_t seed)
	{
		std::unique_ptr<sim> s(new sim(seed));
		const char *dcs[] = {"a", "b", "c"};

		for (int i = 0; i < 9; i++)
			s->start(s->add("n" + std::to_string(i), dcs[i / 3]));
		s->change(*s->nodes[0]);
		s->run(7 * SEAM_SEC);
		return s;
	}
};

#endif
