// Simulated nodes with all their components on one store, one platform and one
// peer transport, run by one thread with one clock.
#ifndef SIM_WORLD_H
#define SIM_WORLD_H

#include "tests/member_fixture.h"

#include <map>
#include <set>
#include <sodium.h>

#include "fake/worker_impl.h"
#include "process/fresh.h"
#include "process/pool.h"
#include "process/task.h"
#include "process/team.h"
#include "request/once.h"
#include "request/route.h"

#define SIM_NODES 9
#define SIM_VMS 24

static const char *const sim_dcs[3] = {"a", "b", "c"};
static const char *const sim_pools[3] = {"web", "batch", "spare"};
static const int64_t sim_budget[3] = {2, 3, 4};
static const char *const sim_teams[2] = {"t", "u"};

// Replaces libsodium's random source, from which commit tokens come, so that a
// seed repeats its run.
static uint64_t sim_bytes_state = 1;
static uint32_t sim_random32(void)
{
	sim_bytes_state =
		sim_bytes_state * 6364136223846793005ull + 1442695040888963407;
	return (uint32_t)(sim_bytes_state >> 32);
}
static void sim_random_buf(void *p, size_t n)
{
	for (size_t i = 0; i < n; i++)
		((unsigned char *)p)[i] = (unsigned char)(sim_random32() >> 8);
}
static const char *sim_random_name(void)
{
	return "simulation";
}
static randombytes_implementation sim_random_impl = {
	sim_random_name, sim_random32,	 nullptr,
	nullptr,	 sim_random_buf, nullptr};

// Components of a node other than membership and configuration versions.
struct sim_parts {
	bool made = false;
	seam_teams *teams = nullptr;
	seam_team_terms_set *set = nullptr;
	seam_tasks *tasks = nullptr;
	seam_pools *pools = nullptr;
	seam_demand *demand = nullptr;
	seam_once *once = nullptr;
	seam_workers *link = nullptr;
	seam_task_ctx ctx = {};
	seam_target_drain drain = {};
	seam_task_drain drain_tasks = {};
	int generation = 0;
	seam_time teams_at = 0, tasks_at = 0, pools_at = 0, list_at = 0;
	seam_time once_at = 0;
	// End times of this node's faults.
	seam_time down_until = 0, flaky_until = 0, slow_until = 0;
	seam_time pause_until = 0, dead_until = 0, link_until = 0;
	seam_time reach_since = 0; // start of uninterrupted access to the store
	seam_time steady_since = 0; // end of the last pause
	seam_store_faults faults = {};
	bool link_cut = false;
	uint64_t seen_version = 0;
};

// A request at its target, which continues after the node that sent it fails.
struct sim_request {
	int node, generation, team;
	std::string vm, key;
	seam_time begun, end;
	seam_handle h;
	bool target_lost; // outcome unknown
	seam_once_claim *claim;
};

// Mechanisms that a test disables to show that a check detects the violation.
struct sim_disabled {
	bool limit, keys, view, versions, claims;
};

// Ceiling and sum of grants in a version of a team's row.
struct sim_grants {
	uint64_t version;
	int64_t ceiling, sum;
};

struct sim_world;
struct sim_reference;

struct sim_platform {
	seam_platform base;
	sim_world *w;
};

struct sim_world {
	std::unique_ptr<sim> s;
	seam_fake_workers *workers;
	sim_platform platform;
	std::vector<sim_parts> parts;
	std::vector<sim_request> requests;
	std::map<std::string, seam_vm> vms; // without those of nodes
	std::map<std::string, seam_time> reboot_end; // by rebooting VM
	std::map<std::string, seam_time> lost; // end of absence from the list
	std::vector<std::string> tasks;
	std::set<std::string> unplaceable;
	std::map<std::string, sim_grants> grants;
	sim_reference *reference = nullptr;
	sim_disabled disabled = {};
	std::map<std::string, long> fired; // violations by invariant
	std::map<std::string, long> count; // events by name
	seam_time cut_until[3][3] = {};
	seam_time store_until = 0, platform_until = 0, dc_until[3] = {};
	bool was_cut[3][3] = {};
	seam_err e = SEAM_ERR_INIT;

	explicit sim_world(uint64_t seed);
	~sim_world();

	seam_time now() const
	{
		return s->clock.time;
	}
	uint64_t below(uint64_t n)
	{
		return s->random(n);
	}
	bool one_in(uint64_t n)
	{
		return below(n) == 0;
	}
	bool runs(int i)
	{
		return s->nodes[i]->node && !s->nodes[i]->paused;
	}
	bool serves(int i)
	{
		return runs(i) && parts[i].made;
	}
	void make_parts(int i);
	void free_parts(int i);
	void kill(int i);
	void inventory(int i);
	void pass_teams(int i);
	void on_reboot(const std::string &vm);
	void add_vms();
	bool change(int i, const std::string &text, uint64_t expected);
};

// Counts the check and its violation by invariant and reports a violation as
// the components do.
#define SIM_CHECK(w, id, cond, ...)                              \
	do {                                                     \
		bool ok_ = (cond);                               \
		(w).count["checked " id]++;                      \
		if (!ok_)                                        \
			(w).fired[id]++;                         \
		SEAM_INVARIANT(ok_, "sim", id ": " __VA_ARGS__); \
	} while (0)

static int sim_vms_list(seam_platform *p, seam_vms *out, seam_time until,
			seam_err *e)
{
	seam_platform *f =
		seam_fake_platform_base(((sim_platform *)p)->w->s->platform);
	return f->ops->vms(f, out, until, e);
}

static int sim_vms_reboot(seam_platform *p, const char *vm, int64_t boot,
			  seam_time until, seam_err *e)
{
	sim_world *w = ((sim_platform *)p)->w;
	seam_platform *f = seam_fake_platform_base(w->s->platform);
	int before = seam_fake_platform_reboots(w->s->platform);
	int rc = f->ops->reboot(f, vm, boot, until, e);

	if (seam_fake_platform_reboots(w->s->platform) != before)
		w->on_reboot(vm);
	return rc;
}

static int sim_vms_changes(seam_platform *p, const char *since, seam_vms *out,
			   seam_time until, seam_err *e)
{
	seam_platform *f =
		seam_fake_platform_base(((sim_platform *)p)->w->s->platform);
	return f->ops->changes(f, since, out, until, e);
}

static const seam_platform_ops sim_platform_ops = {sim_vms_list, sim_vms_reboot,
						   sim_vms_changes};

static const char *const sim_first_conf =
	"{\"put\":["
	"{\"kind\":\"data_centre\",\"object\":{\"name\":\"a\",\"region\":"
	"\"r\"}},"
	"{\"kind\":\"data_centre\",\"object\":{\"name\":\"b\",\"region\":"
	"\"r\"}},"
	"{\"kind\":\"data_centre\",\"object\":{\"name\":\"c\",\"region\":"
	"\"r\"}},"
	"{\"kind\":\"pool\",\"object\":{\"name\":\"web\",\"kind\":\"service\","
	"\"min\":2,\"max\":14,\"budget\":2}},"
	"{\"kind\":\"pool\",\"object\":{\"name\":\"batch\",\"kind\":\"tasks\","
	"\"min\":2,\"max\":16,\"budget\":3}},"
	"{\"kind\":\"pool\",\"object\":{\"name\":\"spare\",\"kind\":\"spare\","
	"\"budget\":4}},"
	"{\"kind\":\"service\",\"object\":{\"name\":\"s\",\"pool\":\"web\","
	"\"slots\":8}},"
	"{\"kind\":\"team\",\"object\":{\"name\":\"t\",\"limit\":24}},"
	"{\"kind\":\"team\",\"object\":{\"name\":\"u\",\"limit\":16}},"
	"{\"kind\":\"queue\",\"object\":{\"name\":\"qt\",\"team\":\"t\","
	"\"pool\":\"batch\"}},"
	"{\"kind\":\"queue\",\"object\":{\"name\":\"qu\",\"team\":\"u\","
	"\"pool\":\"batch\"}}]}";

static std::string sim_key_put(const char *team, bool granted)
{
	char hex[SEAM_SHA256_HEX_SIZE];
	std::string name = std::string("key-") + team;

	seam_sha256_hex(name.c_str(), hex);
	return "{\"put\":[{\"kind\":\"key\",\"object\":{\"name\":\"" + name +
	       "\",\"team\":\"" + team + "\",\"sha256\":\"" + hex +
	       "\",\"state\":\"" + (granted ? "granted" : "withdrawn") +
	       "\"}}]}";
}

inline void sim_world::add_vms()
{
	for (int i = 0; i < SIM_VMS; i++) {
		seam_vm v = {};
		int k = i % 12;

		snprintf(v.id, sizeof(v.id), "v%d", i);
		snprintf(v.dc, sizeof(v.dc), "%s", sim_dcs[i % 3]);
		snprintf(v.rack, sizeof(v.rack), "%s%d", sim_dcs[i % 3], i / 6);
		snprintf(v.addr, sizeof(v.addr), "127.0.0.1:%d", 20000 + i);
		snprintf(v.pool, sizeof(v.pool), "%s",
			 sim_pools[k < 4  ? 0 :
				   k < 10 ? 1 :
					    2]);
		v.cpu_milli = 4000;
		v.memory_mb = 4096;
		v.boot = 1;
		vms[v.id] = v;
		seam_fake_platform_put(s->platform, &v);
		seam_fake_workers_add(workers, &v);
	}
}

inline sim_world::sim_world(uint64_t seed) : parts(SIM_NODES)
{
	seam_fake_platform_faults f = {};

	sim_bytes_state = seed * 2 + 1;
	seam_route_seed(seed);
	s.reset(new sim(seed * 0x9e3779b97f4a7c15ull + 1));
	platform = {{&sim_platform_ops}, this};
	workers = seam_fake_workers_new(&s->clock.clock, seed | 1);
	f.lag = 2 * SEAM_SEC;
	f.reboot_time = 20 * SEAM_SEC;
	f.seed = seed | 1;
	seam_fake_platform_set_faults(s->platform, &f);
	add_vms();
	for (int i = 0; i < SIM_NODES; i++) {
		s->start(s->add("n" + std::to_string(i), sim_dcs[i / 3]));
		s->nodes[i]->node->platform = &platform.base;
		parts[i].reach_since = parts[i].steady_since = now();
	}
}

inline sim_world::~sim_world()
{
	for (auto &r : requests)
		if (r.claim) {
			seam_once_claim_free(r.claim);
			delete r.claim;
			r.claim = nullptr;
		}
	for (int i = 0; i < SIM_NODES; i++)
		free_parts(i);
	s.reset();
	seam_fake_workers_free(workers);
}

inline void sim_world::make_parts(int i)
{
	sim_node &n = *s->nodes[i];
	sim_parts &p = parts[i];
	seam_node *d = n.node;
	seam_teams_self self = {};
	seam_once_settings once = {};
	seam_pools_env env = {};

	memcpy(self.node, d->settings.node, sizeof(self.node));
	memcpy(self.vm, d->settings.vm, sizeof(self.vm));
	memcpy(self.dc, d->settings.data_centre, sizeof(self.dc));
	self.incarnation = (int64_t)seam_members_inc(n.members);
	self.clock = d->clock;
	self.store = d->store;
	self.owner = d->owner;
	self.skew = d->settings.clock_skew_ms * SEAM_MSEC;
	self.list_lag = d->settings.vm_list_ms * SEAM_MSEC;
	self.seed = below(1u << 30) | 1;
	p.teams = seam_teams_new(&self);

	seam_target_drain_init(
		&p.drain, d->targets,
		[](void *arg) {
			auto *x = (sim_node *)arg;

			return seam_members_all_current(x->members, x->now());
		},
		&n);
	seam_task_drain_init(&p.drain_tasks, d->store, d->clock);
	env.clock = d->clock;
	env.store = d->store;
	env.platform = d->platform;
	env.conf = &d->conf;
	env.owner = d->owner;
	env.drain = &p.drain.drain;
	env.drain_tasks = &p.drain_tasks.drain;
	env.demand = p.demand = seam_demand_new();
	env.size = seam_size_thrifty();
	env.fleet = d->fleet;
	env.send_hint = [](void *arg, const char *key) {
		seam_members_send_hint(((sim_node *)arg)->members, key,
				       nullptr);
	};
	env.hint_gaps = [](void *arg, seam_time at) {
		return seam_members_hint_gaps(((sim_node *)arg)->members, at);
	};
	env.hint_context = &n;
	env.vm_list_ms = d->settings.vm_list_ms;
	p.pools = d->pools = seam_pools_new(&env);
	for (const char *rows : {"pool/", "wave/"})
		seam_members_set_hint_handler(
			n.members, rows,
			[](void *arg, const char *key) {
				seam_pools_hint((seam_pools *)arg, key);
			},
			p.pools);

	snprintf(p.ctx.node, sizeof(p.ctx.node), "%s#%lld", n.name.c_str(),
		 (long long)self.incarnation);
	p.ctx.clock = d->clock;
	p.ctx.store = d->store;
	p.ctx.owner = d->owner;
	p.ctx.conf = &d->conf;
	p.ctx.fleet = d->fleet;
	p.ctx.workers = p.link = seam_fake_link_new(workers);
	p.ctx.placer = seam_placer_best_fit();
	p.ctx.sizes = seam_sizes_new();
	p.ctx.order = seam_task_order_fair(&d->conf);
	p.ctx.limit = disabled.limit ?
			      nullptr :
			      seam_task_limit_teams(d->store, &d->conf);
	p.ctx.lease = 15 * SEAM_SEC;
	p.ctx.skew = self.skew;
	p.ctx.hint = [](void *arg, const char *key) {
		seam_members_send_hint((seam_members *)arg, key, key);
	};
	p.ctx.hint_arg = n.members;
	p.tasks = seam_tasks_new(&p.ctx);
	seam_members_set_hint_handler(
		n.members, "queue/",
		[](void *arg, const char *key) {
			seam_tasks_hint((seam_tasks *)arg, key);
		},
		p.tasks);

	snprintf(once.node, sizeof(once.node), "%s", n.name.c_str());
	once.skew = self.skew;
	p.once = seam_once_new(d->store, d->clock, &once);
	p.teams_at = p.tasks_at = p.pools_at = p.list_at = p.once_at = 0;
	// As in the daemon, a restarted node delays planning until the other
	// members know it.
	if (p.generation)
		p.pools_at = n.now() + 7 * SEAM_SEC;
	p.link_cut = false;
	p.generation++;
	p.made = true;
}

inline void sim_world::free_parts(int i)
{
	sim_parts &p = parts[i];

	if (!p.made)
		return;
	for (auto &r : requests)
		if (r.claim && r.node == i && r.generation == p.generation) {
			seam_once_claim_free(r.claim);
			delete r.claim;
			r.claim = nullptr;
		}
	seam_members_set_hint_handler(s->nodes[i]->members, "queue/", nullptr,
				      nullptr);
	seam_tasks_free(p.tasks);
	p.link->ops->free(p.link);
	p.ctx.placer->ops->free(p.ctx.placer);
	p.ctx.order->ops->free(p.ctx.order);
	if (p.ctx.limit)
		p.ctx.limit->ops->free(p.ctx.limit);
	seam_sizes_free(p.ctx.sizes);
	seam_once_free(p.once);
	for (const char *rows : {"pool/", "wave/"})
		seam_members_set_hint_handler(s->nodes[i]->members, rows,
					      nullptr, nullptr);
	seam_pools_free(p.pools);
	seam_demand_free(p.demand);
	seam_teams_free(p.teams);
	seam_team_terms_set_free(p.set);
	p.set = nullptr;
	s->nodes[i]->node->pools = nullptr;
	p.made = false;
}

inline void sim_world::kill(int i)
{
	free_parts(i);
	s->stop(*s->nodes[i]);
	s->nodes[i]->paused = false;
	seam_fake_platform_del(s->platform, s->nodes[i]->name.c_str());
}

// Mirrors the inventory pass of the daemon.
inline void sim_world::inventory(int i)
{
	seam_node *d = s->nodes[i]->node;
	sim_parts &p = parts[i];
	seam_conf *c = seam_conf_current(&d->conf);
	std::vector<seam_target_info> t;
	seam_time at = s->nodes[i]->now();
	size_t n;

	seam_pools_read_vm_list(p.pools, at, &e);
	seam_pools_poll(p.pools, at, &e);
	seam_pools_publish(p.pools);
	seam_err_clear(&e);
	seam_fleet_vm *vm = seam_fleet_copy(d->fleet, "web", &n, nullptr);
	for (size_t j = 0; j < n; j++) {
		seam_target_info x = {};

		memcpy(x.id, vm[j].vm.id, sizeof(x.id));
		memcpy(x.addr, vm[j].vm.addr, sizeof(x.addr));
		memcpy(x.dc, vm[j].vm.dc, sizeof(x.dc));
		memcpy(x.rack, vm[j].vm.rack, sizeof(x.rack));
		strcpy(x.service, "s");
		x.slots = 8;
		x.connections = 64;
		x.leaving = vm[j].vm.state == SEAM_VM_LEAVING ||
			    vm[j].member != SEAM_MEMBER_ACTIVE ||
			    seam_conf_dc_out(c, vm[j].vm.dc);
		t.push_back(x);
	}
	free(vm);
	seam_targets_set(d->targets, t.data(), t.size());
	seam_conf_unref(c);
}

// Mirrors the teams pass of the daemon.
inline void sim_world::pass_teams(int i)
{
	sim_parts &p = parts[i];
	seam_node *d = s->nodes[i]->node;
	seam_conf *c = seam_conf_current(&d->conf);
	seam_time as_of;
	size_t n;

	if (!p.set ||
	    seam_team_terms_set_version(p.set) != seam_conf_version(c)) {
		seam_team_terms_set_free(p.set);
		p.set = seam_team_terms_set_new(c);
		const seam_team_terms *x = seam_team_terms_set_all(p.set, &n);
		seam_teams_configure(p.teams, seam_conf_version(c), x, n);
	}
	seam_conf_unref(c);
	seam_fleet_vm *vm = seam_fleet_copy(d->fleet, nullptr, &n, &as_of);
	std::vector<const char *> id;
	for (size_t j = 0; j < n; j++)
		id.push_back(vm[j].vm.id);
	seam_teams_set_vms(p.teams, id.data(), id.size(), as_of);
	free(vm);
	p.teams_at = seam_teams_pass(p.teams, s->nodes[i]->now());
}

// Commits an operator's configuration change through a node.
inline bool sim_world::change(int i, const std::string &text, uint64_t expected)
{
	sim_node &n = *s->nodes[i];
	json_object *o = json_tokener_parse(text.c_str());
	seam_conf_change ch = {o, "test", "op", expected};
	seam_conf *c = seam_conf_commit(n.store, &n.clock.clock, &ch,
					n.now() + 500 * SEAM_MSEC, &e);

	count[c ? "changes" : "changes refused"]++;
	json_object_put(o);
	seam_err_clear(&e);
	s->record();
	if (!c)
		return false;
	seam_conf_publish(&n.node->conf, c);
	n.version_at = 0;
	return true;
}

#endif
