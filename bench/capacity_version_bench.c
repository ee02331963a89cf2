/*
 * Linear cost models for docs/CAPACITY.md: ownership against the number of
 * members, configuration versions against the number of objects.
 * usage: capacity_version_bench [members|versions]
 * CPU time is that of the measuring thread; the store is in memory.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "bench/capacity_store.h"
#include "bench/capacity_rows.h"
#include "bench/measure.h"
#include "fake/fake.h"
#include "process/member.h"

#define START ((seam_time)1000000 * SEAM_SEC)
#define DCS 16

/* ---- members ---- */

static void member_rows(struct seam_store *s, int n)
{
	char key[64];
	char text[300];
	int i;

	for (i = 0; i < n; i++) {
		snprintf(key, sizeof(key), "member/entry-%02d", i);
		snprintf(text, sizeof(text),
			 "{\"incarnation\":1,\"vm\":\"entry-%02d\","
			 "\"data_centre\":\"dc-%02d\",\"listen\":\"10.0.0.%d:1"
			 "\",\"peer\":\"peer-%d\"}",
			 i, i % DCS, i, i);
		put_row(s, key, text);
	}
}

static void bench_members(void)
{
	static const int sizes[] = {12, 24, 48, 96};
	struct fit mine = {0};
	size_t k;

	printf("%8s %12s\n", "members", "owner_ns");
	for (k = 0; k < 4; k++) {
		struct seam_fake_clock clock;
		struct seam_settings s;
		struct seam_err e = SEAM_ERR_INIT;
		struct seam_store *rows;
		struct seam_fake_platform *p;
		struct seam_members *m;
		struct seam_node *n;
		int owned = 0;
		int64_t at;
		double ns;
		int i;

		seam_fake_clock_init(&clock, START);
		rows = seam_store_mem_new(&clock.clock);
		p = seam_fake_platform_new(&clock.clock);
		member_rows(rows, sizes[k]);
		seam_settings_default(&s);
		snprintf(s.node, sizeof(s.node), "entry-00");
		snprintf(s.peer, sizeof(s.peer), "peer-0");
		n = seam_node_new(&s, &clock.clock, rows,
				  seam_fake_platform_base(p), &e);
		m = seam_members_new(n, 1);
		seam_members_pass(m, START);
		at = cpu_ns();
		for (i = 0; i < 20000; i++) {
			char key[64];

			snprintf(key, sizeof(key), "queue/team-%d/q/%d", i / 16,
				 i % 16);
			owned += seam_is_owner(n->owner, key, START);
		}
		ns = (double)(cpu_ns() - at) / 20000;
		printf("%8d %12.0f   owns %d of 20000\n", sizes[k], ns, owned);
		fit_add(&mine, sizes[k], ns);
		seam_members_free(m);
		seam_node_free(n);
		seam_fake_platform_free(p);
		seam_store_close(rows);
	}
	fit_print("ownership of one name", "ns", "member", &mine);
}

/* ---- versions ---- */

/* Adds the objects of conf_bench: a team, a queue and two keys. */
static void add_objects(GString *s, int i)
{
	int k;

	g_string_append_printf(
		s,
		"%s{\"kind\":\"team\",\"object\":{\"name\":\"team-%d\","
		"\"share\":3,\"limit\":400}},{\"kind\":\"queue\",\"object\":{"
		"\"name\":\"queue-%d\",\"team\":\"team-%d\",\"pool\":"
		"\"batch\"}}",
		i % 100 ? "," : "", i, i, i);
	for (k = 0; k < 2; k++)
		g_string_append_printf(
			s,
			",{\"kind\":\"key\",\"object\":{\"name\":\"key-%d-%d\","
			"\"team\":\"team-%d\",\"sha256\":\"%064d\"}}",
			i, k, i, i * 2 + k);
}

static struct seam_conf *commit(struct seam_store *s, uint64_t expected,
				const char *put)
{
	char *doc = g_strdup_printf("{\"put\":[%s]}", put);
	struct seam_conf_change ch = {.change = json_tokener_parse(doc),
				      .reason = "bench",
				      .operator_name = "bench",
				      .expected = expected};
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_conf *c = seam_conf_commit(s, seam_clock_real(), &ch,
					       call_deadline(), &e);

	if (!c) {
		fprintf(stderr, "capacity: %s\n", e.text);
		exit(1);
	}
	json_object_put(ch.change);
	g_free(doc);
	return c;
}

static uint64_t fill_conf(struct seam_store *s, int teams)
{
	GString *put = g_string_new(NULL);
	uint64_t v;
	int i;

	seam_conf_unref(commit(s, 0,
			       "{\"kind\":\"pool\",\"object\":{\"name\":"
			       "\"batch\",\"kind\":\"tasks\"}}"));
	v = 1;
	for (i = 0; i < teams; i++) {
		add_objects(put, i);
		if (i % 100 != 99 && i + 1 < teams)
			continue;
		seam_conf_unref(commit(s, v++, put->str));
		g_string_truncate(put, 0);
	}
	g_string_free(put, TRUE);
	return v;
}

struct version_fits {
	struct fit load, bytes, reads, change;
};

static void versions(int teams, struct version_fits *f)
{
	struct counting_store s;
	struct seam_store *rows = seam_store_mem_new(seam_clock_real());
	struct seam_err e = SEAM_ERR_INIT;
	uint64_t v = fill_conf(rows, teams);
	int objects = teams * 4 + 1;
	struct store_traffic m;
	struct seam_conf *c;
	struct seam_conf *next;
	double load;
	double change;
	int64_t at;

	counting_init(&s, rows);
	at = cpu_ns();
	c = seam_conf_load(&s.store, call_deadline(), &e);
	load = since_us(at, 1);
	m = s.sum;
	seam_conf_unref(commit(rows, v,
			       "{\"kind\":\"team\",\"object\":{\"name\":"
			       "\"team-1\",\"share\":5,\"limit\":300}}"));
	memset(&s.sum, 0, sizeof(s.sum));
	at = cpu_ns();
	next = seam_conf_catch_up(&s.store, c, v + 1, call_deadline(), &e);
	change = since_us(at, 1);
	printf("%8d %10.0f %8.0f %10.0f %10.0f %10.0f %10.0f\n", objects, load,
	       m.reads, m.bytes_read, change, s.sum.reads, s.sum.bytes_read);
	fit_add(&f->load, objects, load);
	fit_add(&f->bytes, objects, m.bytes_read);
	fit_add(&f->reads, objects, m.reads);
	fit_add(&f->change, objects, change);
	seam_conf_unref(c);
	seam_conf_unref(next);
	seam_store_close(rows);
}

static void bench_versions(void)
{
	static const int sizes[] = {60, 200, 355, 710};
	struct version_fits f = {0};
	size_t i;

	printf("%8s %10s %8s %10s %10s %10s %10s\n", "objects", "load_us",
	       "reads", "bytes", "change_us", "reads", "bytes");
	for (i = 0; i < 4; i++)
		versions(sizes[i], &f);
	fit_print("whole version read", "us", "object", &f.load);
	fit_print("whole version read, bytes", "bytes", "object", &f.bytes);
	fit_print("whole version read, reads", "reads", "object", &f.reads);
	fit_print("one change read and applied", "us", "object", &f.change);
}

int main(int argc, char **argv)
{
	const char *only = argc > 1 ? argv[1] : NULL;

	seam_log_set_level(SEAM_ERROR);
	setvbuf(stdout, NULL, _IOLBF, 0);
	if (!only || !strcmp(only, "members"))
		bench_members();
	if (!only || !strcmp(only, "versions"))
		bench_versions();
	return 0;
}
