#include "base/metrics.h"
#include "base/log.h"
#include "process/team_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define READ_TIMEOUT (2 * SEAM_SEC)
#define SWEEP_PERIOD (1 * SEAM_SEC)
#define MEMBERS_PERIOD (10 * SEAM_SEC)
#define SWEEP_ROWS_MAX 64
#define ROW_READS_MAX 16 /* single rows per pass */
#define MEMBERS_MAX 1024
/* A node without demand waits two planning periods for the owner of the row to
 * grant its first units; then it writes them itself. */
#define INITIAL_GRANT_WAIT (10 * SEAM_SEC)

SEAM_METRIC(damaged_rows, "seam_team_rows_damaged_total",
	    "Rows of teams that could not be read.");
SEAM_METRIC(reads_failed, "seam_team_reads_failed_total",
	    "Reads of team rows that the store did not answer.");
SEAM_METRIC(lost_grants, "seam_team_grants_lost_total",
	    "Own grants that another node had taken back.");

/* Updates admission from the grant in the row. */
static void adopt_grant(struct seam_teams *t, struct seam_team_slot *s,
			const struct seam_ledger *l)
{
	const struct seam_grant *own = seam_ledger_find(l, t->grant.holder);
	int64_t units = own ? own->units : 0;

	pthread_mutex_lock(&t->lock);
	if (s->pending && s->row.version != s->pending_version)
		s->pending = false;
	if (units < s->units && s->running > units) {
		seam_metric_add(&lost_grants, s->running - units);
		seam_log(SEAM_WARN, "team",
			 "Team %s: grant reduced to %lld units with %lld "
			 "running.",
			 s->name, (long long)units, (long long)s->running);
	}
	s->units = units;
	s->row_cap = seam_ledger_within_limit(l) ? units : 0;
	s->cap = seam_slot_safe_cap(s);
	pthread_mutex_unlock(&t->lock);
}

/*
 * Applies @row. A damaged row is ignored: the node keeps the units of the last
 * valid row, and no node raises a grant.
 */
void seam_teams_apply_row(struct seam_teams *t, struct seam_team_slot *s,
			  struct seam_row *row)
{
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_ledger l;
	bool bad;

	/* @decrease_cap stays 0 until the team is planned with this row. */
	pthread_mutex_lock(&t->lock);
	s->reread_required = false;
	pthread_mutex_unlock(&t->lock);
	if (row->data && s->known && !s->damaged &&
	    row->version == s->row.version) {
		s->read_at = SEAM_NEVER;
		seam_row_free(row);
		return;
	}
	bad = seam_ledger_parse(row, s->name, &l, &e) != 0;
	if (bad) {
		if (!s->damaged)
			seam_log(SEAM_ERROR, "team", "%s.", e.text);
		seam_metric_add(&damaged_rows, 1);
	}
	pthread_mutex_lock(&t->lock);
	s->damaged = bad;
	pthread_mutex_unlock(&t->lock);
	s->read_at = SEAM_NEVER;
	if (s->row.version != row->version)
		s->plan_at = 0;
	if (bad) {
		seam_row_free(row);
		return;
	}
	seam_row_free(&s->row);
	s->row = *row;
	if (!s->known)
		s->initial_grant_by = t->refilled_at + INITIAL_GRANT_WAIT;
	s->known = true;
	adopt_grant(t, s, &l);
	seam_ledger_free(&l);
}

static bool read_row(struct seam_teams *t, struct seam_team_slot *s,
		     seam_time now)
{
	struct seam_row row = {.data = NULL};
	struct seam_err e = SEAM_ERR_INIT;
	char key[SEAM_KEY_MAX];

	seam_team_key(s->name, key);
	if (seam_store_get(t->self.store, key, &row, now + READ_TIMEOUT, &e) &&
	    e.kind != SEAM_NOT_FOUND) {
		seam_metric_add(&reads_failed, 1);
		return false;
	}
	t->read_tokens -= (int64_t)row.len;
	seam_teams_apply_row(t, s, &row);
	s->refreshed_at = now;
	return true;
}

/* Whether the team has demand on this node but may use no unit. */
static bool lacks_units(const struct seam_team_slot *s)
{
	return !s->cap && seam_slot_peak(s) > 0;
}

/* Whether this node may have to create the row, with the initial grants of all
 * nodes. */
static bool may_create_row(struct seam_teams *t, const struct seam_team_slot *s,
			   seam_time now)
{
	char key[SEAM_KEY_MAX];

	if (s->known)
		return false;
	seam_team_key(s->name, key);
	return seam_is_owner(t->self.owner, key, now);
}

/*
 * Reads teams without units first, then rows to create: with hundreds of teams
 * the budget does not cover all rows that are due. The others continue where
 * the last pass stopped, because rows at the end of the table would otherwise
 * never be read, and leave bytes for one or two rows that a request may wait
 * for.
 */
static void read_due(struct seam_teams *t, seam_time now)
{
	size_t teams = seam_table_count(t->table);
	struct seam_team_slot *s;
	int left = ROW_READS_MAX;
	int round;
	size_t i;

	for (round = 0; round < 3; round++) {
		struct seam_handle h = t->read_cursor;
		int64_t reserve = round ? SEAM_TEAM_READ_BURST_BYTES / 4 : 0;

		for (i = 0; i < teams && left && t->read_tokens > reserve;
		     i++) {
			s = seam_teams_next(t, &h);
			if (s->read_at > now ||
			    (round == 0 && !lacks_units(s)) ||
			    (round == 1 && !may_create_row(t, s, now)))
				continue;
			if (!read_row(t, s, now))
				return;
			left--;
		}
		if (round == 2)
			t->read_cursor = h;
	}
}

/* Teams with keys above t->sweep_cursor and up to @last have no row if the scan
 * did not return one. */
static void apply_absent(struct seam_teams *t, const struct seam_rows *rows,
			 const char *last, seam_time now)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_team_slot *s;
	char key[SEAM_KEY_MAX];
	size_t i;

	while ((s = seam_table_next(t->table, &h))) {
		struct seam_row none = {.data = NULL};

		seam_team_key(s->name, key);
		if (strcmp(key, t->sweep_cursor) <= 0 ||
		    (last && strcmp(key, last) > 0))
			continue;
		for (i = 0; rows->row && i < rows->n; i++)
			if (!strcmp(rows->row[i].key, key))
				break;
		if (i < rows->n)
			continue;
		seam_teams_apply_row(t, s, &none);
		s->refreshed_at = now;
	}
}

static void apply_rows(struct seam_teams *t, struct seam_rows *rows,
		       seam_time now)
{
	size_t i;

	for (i = 0; rows->row && i < rows->n; i++) {
		struct seam_row *row = &rows->row[i];
		const char *name = row->key + strlen("team/");
		struct seam_team_slot *s = seam_teams_slot(t, name);

		t->sweep_tokens -= (int64_t)row->len;
		t->row_bytes_mean +=
			((int64_t)row->len - t->row_bytes_mean) / 8;
		if (!s)
			continue;
		seam_teams_apply_row(t, s, row);
		s->refreshed_at = now;
		row->data = NULL;
	}
}

/* Rows that the budget allows, at least one so that the sweep advances. */
static size_t sweep_rows(const struct seam_teams *t)
{
	int64_t n = t->sweep_tokens /
		    (t->row_bytes_mean > 1 ? t->row_bytes_mean : 1);

	if (n < 1)
		return 1;
	return n < SWEEP_ROWS_MAX ? (size_t)n : SWEEP_ROWS_MAX;
}

static void sweep(struct seam_teams *t, seam_time now)
{
	struct seam_rows rows = {.row = NULL};
	struct seam_err e = SEAM_ERR_INIT;
	size_t max_rows = sweep_rows(t);
	const char *last;

	if (seam_store_scan(t->self.store, "team/", t->sweep_cursor, max_rows,
			    &rows, now + READ_TIMEOUT, &e)) {
		seam_metric_add(&reads_failed, 1);
		return;
	}
	last = rows.more ? rows.row[rows.n - 1].key : NULL;
	apply_absent(t, &rows, last, now);
	if (last)
		memcpy(t->sweep_cursor, last, sizeof(t->sweep_cursor));
	else
		*t->sweep_cursor = '\0';
	apply_rows(t, &rows, now);
	seam_rows_free(&rows);
}

static void read_members(struct seam_teams *t, seam_time now)
{
	struct seam_rows rows = {.row = NULL};
	struct seam_err e = SEAM_ERR_INIT;
	size_t i;

	if (seam_store_scan(t->self.store, "member/", NULL, MEMBERS_MAX, &rows,
			    now + READ_TIMEOUT, &e)) {
		seam_metric_add(&reads_failed, 1);
		return;
	}
	g_hash_table_remove_all(t->members);
	t->nodes = 0;
	t->dc_nodes = 0;
	for (i = 0; i < rows.n; i++)
		seam_teams_add_member(t, &rows.row[i]);
	seam_rows_free(&rows);
}

void seam_teams_read(struct seam_teams *t, seam_time now)
{
	read_due(t, now);
	if (now >= t->sweep_at && t->sweep_tokens > 0) {
		sweep(t, now);
		t->sweep_at = now + SWEEP_PERIOD;
	}
	if (now >= t->members_at) {
		read_members(t, now);
		t->members_at = now + MEMBERS_PERIOD;
	}
}
