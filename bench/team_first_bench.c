/* usage: team_first_bench [NODES TEAMS]
 * Measures the initial grants of a fleet that starts with an empty store: the
 * time until every node has its grants, and the share of first requests of a
 * team on a node that are refused. Uses a simulated clock. */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "process/team.h"

#define STEP (100 * SEAM_MSEC)
#define STEPS 1200
#define DCS 16
#define NODES_MAX 96
#define LIMIT 960
#define PROBES_PER_STEP 5 /* first requests in each step */
#define REPORT_STEPS 600 /* steps per line of output */
#define REQUEST_WAIT_STEPS 10 /* steps until a waiting request fails */

struct sim;

/* Each row has exactly one owner, as with rendezvous hashing. */
struct node {
	struct seam_owner owner;
	struct sim *sim;
	int at;
	struct seam_store *view;
	struct seam_teams *t;
	seam_time next;
};

struct probe {
	int team;
	int node;
	int since;
};

struct sim {
	struct seam_fake_clock clock;
	struct seam_store *store;
	struct node node[NODES_MAX];
	int nodes;
	int teams;
	struct seam_team_terms *terms;
	char dc[DCS][SEAM_TEAM_NAME_SIZE];
	bool *probed; /* by team and node */
	struct probe *open;
	int n_open;
	int first;
	int refused;
	int refused_late;
	int done_at; /* step at which all grants were written */
};

static uint64_t rnd_state = 88172645463325252ull;

static uint64_t rnd(void)
{
	rnd_state ^= rnd_state << 13;
	rnd_state ^= rnd_state >> 7;
	rnd_state ^= rnd_state << 17;
	return rnd_state;
}

static bool is_owner(struct seam_owner *o, const char *name, seam_time now)
{
	struct node *n = (struct node *)o;

	(void)now;
	return (int)(g_str_hash(name) % (guint)n->sim->nodes) == n->at;
}

static const struct seam_owner_ops owner_ops = {.is_owner = is_owner};

static void wake(void *arg)
{
	struct node *n = arg;

	n->next = n->sim->clock.time;
}

static void put_member(struct sim *s, int i)
{
	struct seam_write w = {.op = SEAM_PUT, .version = SEAM_ANY_VERSION};
	struct seam_commit c = {&w, 1, 1, 0};
	struct seam_err e = SEAM_ERR_INIT;
	char key[64];
	char row[200];

	snprintf(key, sizeof(key), "member/n%d", i);
	snprintf(row, sizeof(row),
		 "{\"incarnation\":1,\"data_centre\":\"%s\",\"vm\":\"v%d\"}",
		 s->dc[i % DCS], i);
	w.key = key;
	w.data = row;
	w.len = strlen(row);
	seam_store_commit(s->store, &c, SEAM_NEVER, &e);
}

static void start_node(struct sim *s, int i)
{
	struct seam_teams_self self = {.incarnation = 1};
	struct node *n = &s->node[i];
	char id[NODES_MAX][16];
	const char *vm[NODES_MAX];
	int j;

	*n = (struct node){.owner = {&owner_ops}, .sim = s, .at = i};
	snprintf(self.node, sizeof(self.node), "n%d", i);
	snprintf(self.vm, sizeof(self.vm), "v%d", i);
	memcpy(self.dc, s->dc[i % DCS], sizeof(self.dc));
	self.clock = &s->clock.clock;
	self.store = n->view = seam_store_mem_connect(s->store);
	self.owner = &n->owner;
	self.skew = 200 * SEAM_MSEC;
	self.list_lag = 30 * SEAM_SEC;
	self.seed = rnd() | 1;
	n->t = seam_teams_new(&self);
	seam_teams_on_demand(n->t, wake, n);
	seam_teams_configure(n->t, 1, s->terms, (size_t)s->teams);
	for (j = 0; j < s->nodes; j++) {
		snprintf(id[j], sizeof(id[j]), "v%d", j);
		vm[j] = id[j];
	}
	seam_teams_set_vms(n->t, vm, (size_t)s->nodes, s->clock.time);
	n->next = s->clock.time + (seam_time)(rnd() % SEAM_SEC);
}

static void open_sim(struct sim *s, int nodes, int teams)
{
	int i;

	s->nodes = nodes;
	s->teams = teams;
	seam_fake_clock_init(&s->clock, INT64_C(1000000) * SEAM_SEC);
	s->store = seam_store_mem_new(&s->clock.clock);
	s->terms = calloc((size_t)teams, sizeof(*s->terms));
	s->probed = calloc((size_t)teams * (size_t)nodes, sizeof(*s->probed));
	s->open = calloc((size_t)teams * (size_t)nodes, sizeof(*s->open));
	for (i = 0; i < DCS; i++)
		snprintf(s->dc[i], sizeof(s->dc[i]), "dc-%d", i);
	for (i = 0; i < teams; i++) {
		struct seam_team_terms *t = &s->terms[i];

		snprintf(t->name, sizeof(t->name), "team-%03d", i);
		t->limit = LIMIT;
		t->conf = 1;
		t->floor = LIMIT / 2 / DCS;
		t->dc = (const char(*)[SEAM_TEAM_NAME_SIZE])s->dc;
		t->dcs = DCS;
	}
	for (i = 0; i < nodes; i++)
		put_member(s, i);
	for (i = 0; i < nodes; i++)
		start_node(s, i);
}

static bool try_first(struct sim *s, const struct probe *p)
{
	struct seam_admit *a = seam_teams_admit(s->node[p->node].t);
	const char *team = s->terms[p->team].name;
	struct seam_err e;

	if (a->ops->take(a, team, 1, s->clock.time, &e))
		return false;
	a->ops->release(a, team, 1, s->clock.time);
	return true;
}

static void run_probes(struct sim *s, int step)
{
	int i;

	for (i = 0; i < s->n_open; i++) {
		struct probe *p = &s->open[i];
		bool ok = try_first(s, p);

		s->refused_late += step - p->since == REQUEST_WAIT_STEPS && !ok;
		if (ok || step - p->since >= REQUEST_WAIT_STEPS)
			s->open[i--] = s->open[--s->n_open];
	}
	for (i = 0; i < PROBES_PER_STEP; i++) {
		struct probe p = {(int)(rnd() % (uint64_t)s->teams),
				  (int)(rnd() % (uint64_t)s->nodes), step};
		bool *done = &s->probed[p.team * s->nodes + p.node];

		if (*done)
			continue;
		*done = true;
		s->first++;
		if (try_first(s, &p))
			continue;
		s->refused++;
		s->open[s->n_open++] = p;
	}
}

/* Number of grants with units, in all rows. */
static int grants(struct sim *s)
{
	struct seam_rows rows = {.row = NULL};
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_ledger l;
	int n = 0;
	size_t i;
	size_t k;

	seam_store_scan(s->store, "team/", NULL, 1000, &rows, SEAM_NEVER, &e);
	for (i = 0; i < rows.n; i++) {
		seam_ledger_parse(&rows.row[i], rows.row[i].key + 5, &l, &e);
		for (k = 0; k < l.n; k++)
			n += l.grant[k].units > 0;
		seam_ledger_free(&l);
	}
	seam_rows_free(&rows);
	return n;
}

static uint64_t rows_written(struct sim *s)
{
	uint64_t n = 0;
	int i;

	for (i = 0; i < s->nodes; i++)
		n += seam_store_mem_stats(s->node[i].view).rows_written;
	return n;
}

static void report(struct sim *s, int step)
{
	printf("%3d s: grants %d of %d, rows written %llu; of %d first "
	       "requests %.1f%% refused at once, %.1f%% still after 1 s\n",
	       step / 10, grants(s), s->nodes * s->teams,
	       (unsigned long long)rows_written(s), s->first,
	       100.0 * s->refused / s->first,
	       100.0 * s->refused_late / s->first);
	s->first = s->refused = s->refused_late = 0;
}

int main(int argc, char **argv)
{
	struct sim *s = calloc(1, sizeof(*s));
	int step;
	int i;

	seam_log_set_level(SEAM_ERROR);
	open_sim(s, argc > 2 ? atoi(argv[1]) : 48,
		 argc > 2 ? atoi(argv[2]) : 710);
	for (step = 1; step <= STEPS; step++) {
		seam_fake_clock_set(&s->clock, s->clock.time + STEP);
		for (i = 0; i < s->nodes; i++)
			if (s->node[i].next <= s->clock.time)
				s->node[i].next = seam_teams_pass(
					s->node[i].t, s->clock.time);
		run_probes(s, step);
		if (!s->done_at && step % 10 == 0 &&
		    grants(s) == s->nodes * s->teams)
			s->done_at = step;
		if (step % REPORT_STEPS == 0)
			report(s, step);
	}
	if (s->done_at)
		printf("all grants written after %d s\n", s->done_at / 10);
	for (i = 0; i < s->nodes; i++) {
		seam_teams_free(s->node[i].t);
		seam_store_close(s->node[i].view);
	}
	seam_store_close(s->store);
	free(s->terms);
	free(s->probed);
	free(s->open);
	free(s);
	return 0;
}
