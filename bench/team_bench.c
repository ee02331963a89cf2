/* usage: team_bench [large | run NODES TEAMS WARM STEPS [hints]]
 * WARM and STEPS are steps of 100 ms.
 * Measures the usable part of team limits under changing demand, and the load
 * on the store. Uses a simulated clock. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/log.h"
#include "process/team.h"

#define STEP (100 * SEAM_MSEC)
#define PHASE_STEPS 200 /* steps between changes of demand */
#define NODES_MAX 72
#define TEAMS_MAX 710
#define HINTS_PER_SEC 32 /* SEAM_HINTS_PER_SEC */
#define WAIT_STEPS_MAX 600 /* longer waits count as this */

static const char dcs[3][SEAM_TEAM_NAME_SIZE] = {"a", "b", "c"};
static uint64_t rnd_state = 88172645463325252ull;

static uint64_t rnd(void)
{
	rnd_state ^= rnd_state << 13;
	rnd_state ^= rnd_state >> 7;
	rnd_state ^= rnd_state << 17;
	return rnd_state;
}

static double seconds(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (double)t.tv_sec + (double)t.tv_nsec * 1e-9;
}

struct sim;

struct sender {
	struct sim *sim;
	int node;
	int64_t tokens; /* of hints, in millionths */
	seam_time at;
};

struct sim {
	struct seam_fake_clock clock;
	struct seam_store *store;
	struct seam_store *view[NODES_MAX];
	struct seam_teams *t[NODES_MAX];
	struct seam_team_terms *terms;
	seam_time next[NODES_MAX];
	int nodes;
	int teams;
	int64_t limit;
	int (*running)[NODES_MAX];
	int (*want)[NODES_MAX];
	bool hints;
	struct sender sender[NODES_MAX];
	/* 1 + step since which a node without units has waited, or 0. */
	int (*waiting_since)[NODES_MAX];
	int step;
	int waits[WAIT_STEPS_MAX + 1]; /* by length in steps */
	int abandoned; /* waits that ended because the demand moved */
};

/* Replaces seam_members_send_hint(), with its rate limit. Every node owns every
 * row here, so the owner needs no hint. */
static void send_hint(void *arg, const char *team, const char *holder)
{
	struct sender *f = arg;
	struct sim *s = f->sim;
	int64_t most = HINTS_PER_SEC * SEAM_SEC;
	int i;

	f->tokens += (s->clock.time - f->at) * HINTS_PER_SEC;
	f->tokens = f->tokens < most ? f->tokens : most;
	f->at = s->clock.time;
	if (!holder || f->tokens < SEAM_SEC)
		return;
	f->tokens -= SEAM_SEC;
	i = atoi(holder + strlen("node:n"));
	seam_teams_hint(s->t[i], team);
	s->next[i] = s->clock.time;
}

/* A refused request starts a pass of its node, as in the daemon. */
static void wake(void *arg)
{
	struct sender *f = arg;

	f->sim->next[f->node] = f->sim->clock.time;
}

static void start_node(struct sim *s, int i)
{
	struct seam_teams_self self;
	struct seam_write w = {.op = SEAM_PUT, .version = SEAM_ANY_VERSION};
	struct seam_commit c = {&w, 1, 1, 0};
	struct seam_err e = SEAM_ERR_INIT;
	char key[64];
	char row[160];

	memset(&self, 0, sizeof(self));
	snprintf(self.node, sizeof(self.node), "n%d", i);
	snprintf(self.vm, sizeof(self.vm), "v%d", i);
	snprintf(self.dc, sizeof(self.dc), "%s", dcs[i % 3]);
	self.incarnation = 1;
	self.clock = &s->clock.clock;
	self.store = s->view[i] = seam_store_mem_connect(s->store);
	self.owner = seam_owner_all();
	self.skew = 200 * SEAM_MSEC;
	self.list_lag = 30 * SEAM_SEC;
	self.seed = rnd() | 1;
	snprintf(key, sizeof(key), "member/n%d", i);
	snprintf(row, sizeof(row), "{\"incarnation\":1,\"data_centre\":\"%s\"}",
		 self.dc);
	w.key = key;
	w.data = row;
	w.len = strlen(row);
	seam_store_commit(s->store, &c, SEAM_NEVER, &e);
	s->t[i] = seam_teams_new(&self);
	s->sender[i] = (struct sender){.sim = s, .node = i};
	if (s->hints)
		seam_teams_on_change(s->t[i], send_hint, &s->sender[i]);
	seam_teams_on_demand(s->t[i], wake, &s->sender[i]);
	seam_teams_configure(s->t[i], 1, s->terms, (size_t)s->teams);
	s->next[i] = s->clock.time + (seam_time)(rnd() % SEAM_SEC);
}

static void open_sim(struct sim *s, int nodes, int teams, int64_t limit,
		     bool hints)
{
	int i;

	memset(s, 0, sizeof(*s));
	s->nodes = nodes;
	s->teams = teams;
	s->limit = limit;
	s->hints = hints;
	seam_fake_clock_init(&s->clock, INT64_C(1000000) * SEAM_SEC);
	s->store = seam_store_mem_new(&s->clock.clock);
	s->terms = calloc((size_t)teams, sizeof(*s->terms));
	s->running = calloc((size_t)teams, sizeof(*s->running));
	s->want = calloc((size_t)teams, sizeof(*s->want));
	s->waiting_since = calloc((size_t)teams, sizeof(*s->waiting_since));
	for (i = 0; i < teams; i++) {
		struct seam_team_terms *t = &s->terms[i];

		snprintf(t->name, sizeof(t->name), "team-%03d", i);
		t->limit = limit;
		t->conf = 1;
		t->floor = limit / 2 / 3;
		t->dc = dcs;
		t->dcs = 3;
	}
	for (i = 0; i < nodes; i++)
		start_node(s, i);
}

static void close_sim(struct sim *s)
{
	int i;

	for (i = 0; i < s->nodes; i++) {
		seam_teams_free(s->t[i]);
		seam_store_close(s->view[i]);
	}
	seam_store_close(s->store);
	free(s->terms);
	free(s->running);
	free(s->want);
	free(s->waiting_since);
}

/* Teams peak in turn at their full limit, five times their mean demand. The
 * demand of a team is on a third of the nodes, different ones in each phase. */
static void move_demand(struct sim *s, int phase)
{
	int team;
	int i;

	for (team = 0; team < s->teams; team++) {
		int64_t all = (team + phase) % 6 ? s->limit / 25 : s->limit;
		int at = (int)(rnd() % (uint64_t)s->nodes);
		int width = s->nodes < 3 ? 1 : s->nodes / 3;

		if (all < 1)
			all = 1;
		memset(s->want[team], 0, sizeof(s->want[team]));
		for (i = 0; i < s->nodes; i++) {
			s->abandoned += s->waiting_since[team][i] != 0;
			s->waiting_since[team][i] = 0;
		}
		for (i = 0; i < all; i++)
			s->want[team][(at + i % width) % s->nodes]++;
	}
}

static void record_wait(struct sim *s, int team, int i)
{
	struct seam_team_info info;
	int *waiting_since = &s->waiting_since[team][i];
	int steps;

	if (!s->want[team][i] || (!*waiting_since && s->running[team][i]))
		return;
	if (!seam_teams_info(s->t[i], s->terms[team].name, &info))
		return;
	if (!info.cap && !*waiting_since) {
		*waiting_since = s->step + 1;
	} else if (info.cap && *waiting_since) {
		steps = s->step + 1 - *waiting_since;
		s->waits[steps < WAIT_STEPS_MAX ? steps : WAIT_STEPS_MAX]++;
		*waiting_since = 0;
	}
}

static double wait_percentile(const struct sim *s, double part)
{
	int64_t all = 0;
	int64_t n = 0;
	int i;

	for (i = 0; i <= WAIT_STEPS_MAX; i++)
		all += s->waits[i];
	for (i = 0; i <= WAIT_STEPS_MAX; i++) {
		n += s->waits[i];
		if ((double)n >= part * (double)all)
			break;
	}
	return i * 0.1;
}

/* Requests last about a second: a tenth of them end in each step. */
static void serve(struct sim *s, int team, int i)
{
	struct seam_admit *a = seam_teams_admit(s->t[i]);
	const char *name = s->terms[team].name;
	int *run = &s->running[team][i];
	int ends = (*run + (int)(rnd() % 10)) / 10;
	struct seam_err e;

	if (ends)
		a->ops->release(a, name, ends, s->clock.time);
	*run -= ends;
	record_wait(s, team, i);
	while (*run < s->want[team][i] &&
	       !a->ops->take(a, name, 1, s->clock.time, &e))
		(*run)++;
}

struct result {
	double served;
	double fixed;
	double offered;
};

static void add_result(struct sim *s, int team, struct result *r)
{
	int64_t part = s->limit / s->nodes;
	int64_t offered = 0;
	int i;

	for (i = 0; i < s->nodes; i++) {
		int want = s->want[team][i];

		r->served += s->running[team][i];
		r->fixed += (double)(want < part ? want : part);
		offered += want;
	}
	r->offered += (double)offered;
}

static void run(struct sim *s, int steps, struct result *r)
{
	int step;
	int team;
	int i;

	for (step = 0; step < steps; step++) {
		s->step = step;
		if (step % PHASE_STEPS == 0)
			move_demand(s, step / PHASE_STEPS);
		seam_fake_clock_set(&s->clock, s->clock.time + STEP);
		for (i = 0; i < s->nodes; i++)
			if (s->next[i] <= s->clock.time)
				s->next[i] =
					seam_teams_pass(s->t[i], s->clock.time);
		for (team = 0; team < s->teams; team++) {
			for (i = 0; i < s->nodes; i++)
				serve(s, team, i);
			add_result(s, team, r);
		}
	}
}

static void bench_usable(void)
{
	struct result r = {0, 0, 0};
	struct sim s;

	open_sim(&s, 9, 6, 90, false);
	run(&s, 300, &r);
	memset(&r, 0, sizeof(r));
	run(&s, 12000, &r);
	printf("usable part of demand, 9 nodes, 6 teams, limit 90, 1200 s: "
	       "grants %.1f%%, fixed division by node %.1f%%\n",
	       100 * r.served / r.offered, 100 * r.fixed / r.offered);
	close_sim(&s);
}

static void bench_load(int nodes, int teams, int warm, int steps, bool hints)
{
	struct result r = {0, 0, 0};
	uint64_t reads = 0;
	uint64_t commits = 0;
	uint64_t rows = 0;
	double wall;
	double secs = steps * 0.1;
	struct sim s;
	int i;

	open_sim(&s, nodes, teams, 90, hints);
	run(&s, warm, &r);
	for (i = 0; i < nodes; i++) {
		struct seam_store_stats u = seam_store_mem_stats(s.view[i]);

		reads -= u.reads;
		commits -= u.commits;
		rows -= u.rows_written;
	}
	memset(&r, 0, sizeof(r));
	memset(s.waits, 0, sizeof(s.waits));
	memset(s.waiting_since, 0, (size_t)teams * sizeof(*s.waiting_since));
	s.abandoned = 0;
	wall = seconds();
	run(&s, steps, &r);
	wall = seconds() - wall;
	for (i = 0; i < nodes; i++) {
		struct seam_store_stats u = seam_store_mem_stats(s.view[i]);

		reads += u.reads;
		commits += u.commits;
		rows += u.rows_written;
	}
	printf("%2d nodes %3d teams%s: reads/s %.1f commits/s %.1f "
	       "rows/s %.1f, usable %.1f%%, fixed %.1f%%, %.2f ms a node and "
	       "second with admission\n",
	       nodes, teams, hints ? " hints" : "", (double)reads / secs,
	       (double)commits / secs, (double)rows / secs,
	       100 * r.served / r.offered, 100 * r.fixed / r.offered,
	       wall * 1e3 / nodes / secs);
	printf("  first unit of a node without: p50 %.1f s, p99 %.1f s; "
	       "%d moved away before\n",
	       wait_percentile(&s, 0.5), wait_percentile(&s, 0.99),
	       s.abandoned);
	close_sim(&s);
}

int main(int argc, char **argv)
{
	seam_log_set_level(SEAM_ERROR);
	if (argc > 1 && !strcmp(argv[1], "large")) {
		bench_load(72, 710, 1500, 300, true);
		return 0;
	}
	if (argc > 5 && !strcmp(argv[1], "run")) {
		bench_load(atoi(argv[2]), atoi(argv[3]), atoi(argv[4]),
			   atoi(argv[5]), argc > 6);
		return 0;
	}
	bench_usable();
	bench_load(9, 6, 300, 1200, false);
	bench_load(9, 6, 300, 1200, true);
	bench_load(18, 6, 300, 1200, true);
	bench_load(36, 6, 300, 1200, true);
	bench_load(72, 6, 300, 1200, true);
	bench_load(9, 60, 300, 1200, true);
	bench_load(9, 710, 2000, 1200, true);
	bench_load(72, 60, 2000, 1200, true);
	return 0;
}
