#include "request/once_impl.h"
#include "base/metrics.h"
#include "base/log.h"

#include <stdlib.h>
#include <string.h>

/* At several hundred writes a second, 5 ms gather a few rows for a commit. */
#define GROUP_WAIT (5 * SEAM_MSEC)
#define COMMIT_ROUNDS_MAX 8 /* each commits the rows still undecided */

SEAM_METRIC(commits, "seam_once_commits_total",
	    "Commits of claims and outcomes.");
SEAM_METRIC(rows, "seam_once_rows_total", "Rows in these commits.");
SEAM_METRIC(resolved, "seam_once_resolved_total",
	    "Rows read back after a conflict or a lost answer.");

int seam_once_get(struct seam_once *o, const char *key,
		  struct seam_once_row *row, uint64_t *version,
		  struct seam_err *e)
{
	struct seam_row r = {.data = NULL};
	int rc;

	if (seam_store_get(o->store, key, &r,
			   seam_now(o->clock) + STORE_TIMEOUT, e))
		return -1;
	*version = r.version;
	rc = seam_once_row_read(r.data, row, e);
	seam_row_free(&r);
	return rc;
}

static void set_result(struct once_write *w, enum seam_err_kind kind)
{
	w->done = true;
	if (kind == SEAM_OK)
		seam_err_clear(&w->err);
	else
		seam_fail(&w->err, kind, NULL);
}

/*
 * Reads a row back after a conflict or a commit of unknown outcome. The claim's
 * id identifies the node's own row even if the store has dropped the token of
 * the commit.
 */
static void read_back(struct seam_once *o, struct once_write *w, bool unknown)
{
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_once_row row = {.state = 0};
	uint64_t version = SEAM_ABSENT;

	seam_metric_add(&resolved, 1);
	if (seam_once_get(o, w->key, &row, &version, &e) &&
	    e.kind != SEAM_NOT_FOUND) {
		set_result(w, unknown ? SEAM_COMMIT_UNKNOWN : e.kind);
		return;
	}
	if (version && row.claim == w->row->claim &&
	    row.state == w->row->state) {
		w->version = version;
		set_result(w, SEAM_OK);
	} else if (version != w->version) {
		w->found = row;
		w->found_version = version;
		set_result(w, SEAM_CONFLICT);
		return;
	}
	seam_answer_free(&row.answer);
}

static int commit_undecided(struct seam_once *o, struct once_write **w, int n,
			    uint64_t *version, struct seam_err *e)
{
	struct seam_write op[SEAM_ONCE_GROUP];
	struct seam_commit c = {.write = op};
	int i;

	for (i = 0; i < n; i++) {
		if (w[i]->done)
			continue;
		op[c.n].op = SEAM_PUT;
		op[c.n].key = w[i]->key;
		op[c.n].version = w[i]->version;
		op[c.n].data = w[i]->json;
		op[c.n].len = strlen(w[i]->json);
		c.n++;
	}
	if (!c.n)
		return 0;
	seam_metric_add(&commits, 1);
	seam_metric_add(&rows, (int64_t)c.n);
	if (seam_store_commit_retry(o->store, o->clock, &c,
				    seam_now(o->clock) + STORE_TIMEOUT, e))
		return -1;
	*version = c.version;
	return 0;
}

static bool all_done(struct once_write **w, int n)
{
	int i;

	for (i = 0; i < n; i++)
		if (!w[i]->done)
			return false;
	return true;
}

static void commit_round(struct seam_once *o, struct once_write **w, int n)
{
	struct seam_err e = SEAM_ERR_INIT;
	uint64_t version = 0;
	int rc = commit_undecided(o, w, n, &version, &e);
	int i;

	for (i = 0; i < n; i++) {
		if (w[i]->done)
			continue;
		if (!rc) {
			w[i]->version = version;
			set_result(w[i], SEAM_OK);
		} else if (e.kind == SEAM_CONFLICT ||
			   e.kind == SEAM_COMMIT_UNKNOWN) {
			read_back(o, w[i], e.kind == SEAM_COMMIT_UNKNOWN);
		} else {
			set_result(w[i], e.kind);
		}
		/* The row is absent, but the commit may still be applied. */
		if (rc && e.kind == SEAM_COMMIT_UNKNOWN && !w[i]->done)
			set_result(w[i], SEAM_COMMIT_UNKNOWN);
	}
}

void seam_once_commit(struct seam_once *o, struct once_write **w, int n)
{
	int round;
	int i;

	for (i = 0; i < n; i++)
		w[i]->json = seam_once_row_write(w[i]->row);
	for (round = 0; round < COMMIT_ROUNDS_MAX && !all_done(w, n); round++)
		commit_round(o, w, n);
	for (i = 0; i < n; i++) {
		if (!w[i]->done)
			set_result(w[i], SEAM_UNAVAILABLE);
		free(w[i]->json);
		w[i]->json = NULL;
	}
}

static struct once_group *new_group(void)
{
	struct once_group *g = g_new0(struct once_group, 1);

	seam_cond_init(&g->changed);
	return g;
}

static void commit_group(struct seam_once *o, struct once_group *g)
{
	seam_time until = seam_now(o->clock) + GROUP_WAIT;

	while (g->n < SEAM_ONCE_GROUP && seam_now(o->clock) < until)
		seam_wait(o->clock, &g->changed, &o->lock, until);
	if (o->open_group == g)
		o->open_group = NULL;
	pthread_mutex_unlock(&o->lock);
	seam_once_commit(o, g->write, g->n);
	pthread_mutex_lock(&o->lock);
	g->committed = true;
	pthread_cond_broadcast(&g->changed);
}

void seam_once_write(struct seam_once *o, struct once_write *w)
{
	struct once_group *g;

	pthread_mutex_lock(&o->lock);
	g = o->open_group;
	if (!g)
		o->open_group = g = new_group();
	g->write[g->n++] = w;
	g->refs++;
	if (g->n == SEAM_ONCE_GROUP) {
		o->open_group = NULL;
		pthread_cond_broadcast(&g->changed);
	}
	if (g->n == 1)
		commit_group(o, g);
	while (!g->committed)
		seam_wait(o->clock, &g->changed, &o->lock, SEAM_NEVER);
	if (!--g->refs) {
		pthread_cond_destroy(&g->changed);
		g_free(g);
	}
	pthread_mutex_unlock(&o->lock);
}
