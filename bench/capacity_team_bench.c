/*
 * Linear cost models for docs/CAPACITY.md: team grants against the number of
 * teams and nodes.
 * usage: capacity_team_bench [teams|grants]
 * CPU time is that of the measuring thread, the clock is simulated and the
 * store is in memory. Bytes are keys and data of rows, without their encoding.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "bench/capacity_store.h"
#include "bench/capacity_rows.h"
#include "bench/measure.h"
#include "process/team.h"

#define START ((seam_time)1000000 * SEAM_SEC)
#define STEP (100 * SEAM_MSEC)
#define DCS 16

static char team_dc[DCS][SEAM_TEAM_NAME_SIZE];

/* Writes team rows in which each of @nodes has a grant of each team. */
static void team_rows(struct seam_store *s, int teams, int nodes)
{
	GString *row = g_string_new(NULL);
	char key[64];
	int i;
	int k;

	for (i = 0; i < teams; i++) {
		g_string_printf(row,
				"{\"team\":\"team-%03d\",\"limit\":%d,"
				"\"ceiling\":%d,\"conf\":1,\"grants\":{",
				i, nodes * 4, nodes * 4);
		for (k = 0; k < nodes; k++)
			g_string_append_printf(
				row,
				"%s\"node:entry-%02d#1700000000\":{\"units\":2,"
				"\"dc\":\"dc-%02d\",\"vm\":\"entry-%02d\"}",
				k ? "," : "", k, k % DCS, k);
		g_string_append(row, "}}");
		snprintf(key, sizeof(key), "team/team-%03d", i);
		put_row(s, key, row->str);
	}
	for (k = 0; k < nodes; k++) {
		snprintf(key, sizeof(key), "member/entry-%02d", k);
		g_string_printf(row,
				"{\"incarnation\":1700000000,\"data_centre\":"
				"\"dc-%02d\"}",
				k % DCS);
		put_row(s, key, row->str);
	}
	g_string_free(row, TRUE);
}

static struct seam_teams *open_teams(struct counting_store *s,
				     struct seam_fake_clock *k, int teams)
{
	struct seam_team_terms *terms = calloc((size_t)teams, sizeof(*terms));
	struct seam_teams_self self = {.incarnation = 1700000000,
				       .clock = &k->clock,
				       .store = &s->store,
				       .owner = seam_owner_all(),
				       .skew = 200 * SEAM_MSEC,
				       .list_lag = 30 * SEAM_SEC,
				       .seed = 1};
	struct seam_teams *t;
	int i;

	snprintf(self.node, sizeof(self.node), "entry-00");
	snprintf(self.vm, sizeof(self.vm), "entry-00");
	snprintf(self.dc, sizeof(self.dc), "dc-00");
	for (i = 0; i < DCS; i++)
		snprintf(team_dc[i], SEAM_TEAM_NAME_SIZE, "dc-%02d", i);
	for (i = 0; i < teams; i++) {
		snprintf(terms[i].name, SEAM_TEAM_NAME_SIZE, "team-%03d", i);
		terms[i].limit = 96;
		terms[i].conf = 1;
		terms[i].dc = (const char(*)[SEAM_TEAM_NAME_SIZE])team_dc;
		terms[i].dcs = DCS;
	}
	t = seam_teams_new(&self);
	seam_teams_configure(t, 1, terms, (size_t)teams);
	free(terms);
	return t;
}

struct team_fits {
	struct fit cpu, bytes, heap;
};

/* Measures one node in steady state: no demand, all rows known. */
static void teams_run(int teams, int nodes, struct team_fits *f, double x)
{
	const int seconds = 60;
	struct seam_fake_clock clock;
	struct counting_store store;
	struct seam_store *mem;
	struct seam_teams *t;
	seam_time next;
	size_t heap;
	int64_t at;
	double us;
	int i;

	seam_fake_clock_init(&clock, START);
	mem = seam_store_mem_new(&clock.clock);
	counting_init(&store, mem);
	team_rows(mem, teams, nodes);
	t = open_teams(&store, &clock, teams);
	next = START;
	at = 0;
	for (i = 0; i < 300 + seconds * 10; i++) {
		if (i == 300) {
			memset(&store.sum, 0, sizeof(store.sum));
			at = cpu_ns();
		}
		seam_fake_clock_set(&clock, clock.time + STEP);
		if (clock.time >= next)
			next = seam_teams_pass(t, clock.time);
	}
	us = since_us(at, seconds);
	heap = heap_bytes();
	seam_teams_free(t);
	heap -= heap_bytes();
	printf("%8d %8d %10.0f %10.1f %12.0f %10.2f %12zu\n", teams, nodes, us,
	       store.sum.reads / seconds, store.sum.bytes_read / seconds,
	       store.sum.rows_written / seconds, heap);
	fit_add(&f->cpu, x, us);
	fit_add(&f->bytes, x, store.sum.bytes_read / seconds);
	fit_add(&f->heap, x, (double)heap);
	seam_store_close(mem);
}

static void bench_teams(void)
{
	static const int teams[] = {71, 177, 355, 710};
	static const int nodes[] = {8, 16, 32, 64};
	struct team_fits by_team = {0};
	struct team_fits by_node = {0};
	size_t k;

	printf("%8s %8s %10s %10s %12s %10s %12s\n", "teams", "nodes", "us/s",
	       "reads/s", "bytes/s", "rows/s", "heap");
	for (k = 0; k < 4; k++)
		teams_run(teams[k], 32, &by_team, teams[k]);
	for (k = 0; k < 4; k++)
		teams_run(710, nodes[k], &by_node, nodes[k]);
	fit_print("team grants, 32 nodes", "us/s", "team", &by_team.cpu);
	fit_print("team grants, 32 nodes, bytes", "B/s", "team",
		  &by_team.bytes);
	fit_print("team grants, 32 nodes, heap", "bytes", "team",
		  &by_team.heap);
	fit_print("team grants, 710 teams", "us/s", "node", &by_node.cpu);
	fit_print("team grants, 710 teams, bytes", "B/s", "node",
		  &by_node.bytes);
	fit_print("team grants, 710 teams, heap", "bytes", "node",
		  &by_node.heap);
}

static void bench_grants(void)
{
	static const int sizes[] = {8, 16, 32, 64};
	struct fit bytes = {0};
	struct fit read = {0};
	struct fit write = {0};
	size_t k;

	printf("%8s %10s %10s %10s\n", "grants", "row_bytes", "read_us",
	       "write_us");
	for (k = 0; k < 4; k++) {
		struct seam_fake_clock clock;
		struct seam_err e = SEAM_ERR_INIT;
		struct seam_store *mem;
		struct seam_ledger l;
		struct seam_row row;
		struct seam_team_row_write p;
		double r;
		double w;
		int64_t at;
		int i;

		seam_fake_clock_init(&clock, START);
		mem = seam_store_mem_new(&clock.clock);
		team_rows(mem, 1, sizes[k]);
		if (seam_store_get(mem, "team/team-000", &row, SEAM_NEVER, &e))
			abort();
		at = cpu_ns();
		for (i = 0; i < 500; i++) {
			if (seam_ledger_parse(&row, "team-000", &l, &e))
				abort();
			seam_ledger_free(&l);
		}
		r = since_us(at, 500);
		seam_ledger_parse(&row, "team-000", &l, &e);
		at = cpu_ns();
		for (i = 0; i < 500; i++) {
			seam_team_encode(&l, row.version, &p, &e);
			seam_team_row_write_free(&p);
		}
		w = since_us(at, 500);
		printf("%8d %10zu %10.1f %10.1f\n", sizes[k], row.len, r, w);
		fit_add(&bytes, sizes[k], (double)row.len);
		fit_add(&read, sizes[k], r);
		fit_add(&write, sizes[k], w);
		seam_ledger_free(&l);
		seam_row_free(&row);
		seam_store_close(mem);
	}
	fit_print("team row", "bytes", "grant", &bytes);
	fit_print("team row, decode", "us", "grant", &read);
	fit_print("team row, encode", "us", "grant", &write);
}

int main(int argc, char **argv)
{
	const char *only = argc > 1 ? argv[1] : NULL;

	seam_log_set_level(SEAM_ERROR);
	setvbuf(stdout, NULL, _IOLBF, 0);
	if (!only || !strcmp(only, "teams"))
		bench_teams();
	if (!only || !strcmp(only, "grants"))
		bench_grants();
	return 0;
}
