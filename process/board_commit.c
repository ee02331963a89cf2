#include "process/board_impl.h"
#include "base/count.h"
#include "base/log.h"

#include <stdlib.h>
#include <string.h>

/* Jobs in one commit: the service takes 100 entries, and a row that is put with
 * its expected version counts twice. */
#define ROWS_MAX 45
#define GATHER_USEC 15000 /* ends that come together go in one commit */
#define RETRY_USEC 100000
#define COMMIT (1500 * SEAM_MSEC)

SEAM_COUNT(commits, "seam_commits_total", "Commits of jobs' rows.");
SEAM_COUNT(rows, "seam_commit_rows_total", "Rows in them.");
SEAM_COUNT(conflicts, "seam_commit_conflicts_total",
	   "Commits that another writer had overtaken.");

/* A row of a commit under way. */
struct item {
	struct seam_handle job;
	uint64_t change;
	uint64_t version;
	char key[SEAM_KEY_MAX];
	char *text;
};

/* A job that has ended needs no steps any more. */
static char *row_text(const struct seam_job *j)
{
	struct seam_jobrow r = j->row;

	if (!seam_job_over(r.state))
		return seam_jobrow_text(&j->row);
	r.spec.text = (char *)"";
	r.spec.steps = 0;
	r.done = NULL;
	r.failures = 0;
	return seam_jobrow_text(&r);
}

static size_t gather(struct seam_board *b, struct item *item)
{
	struct seam_handle h = SEAM_NONE;
	struct seam_job *j;
	size_t n = 0;

	while (n < ROWS_MAX && (j = seam_table_next(b->jobs, &h))) {
		struct item *i = &item[n];

		if (j->committed == j->changes)
			continue;
		i->text = row_text(j);
		if (!i->text)
			continue;
		i->job = h;
		i->change = j->changes;
		i->version = j->version;
		seam_jobrow_key(j->row.spec.id, i->key);
		n++;
	}
	return n;
}

/*
 * The rows' expected versions are the only condition: an owner whose term has
 * ended can only add ends that workers told it, and the next one merges them.
 */
static int commit(struct seam_board *b, const struct item *item, size_t n,
		  uint64_t *version, struct seam_err *e)
{
	struct seam_write w[ROWS_MAX];
	struct seam_commit c = {w, n, seam_store_token(), 0};
	size_t i;
	int rc;

	for (i = 0; i < n; i++)
		w[i] = (struct seam_write){SEAM_PUT, item[i].key,
					   item[i].version, item[i].text,
					   strlen(item[i].text)};
	pthread_mutex_lock(&b->lock);
	b->token[b->tokens++ % SEAM_BOARD_TOKENS] = c.token;
	pthread_mutex_unlock(&b->lock);
	rc = seam_store_commit(b->ports->store, &c, seam_now(b->clock) + COMMIT,
			       e);
	*version = c.version;
	return rc;
}

static void settle_all(struct seam_board *b)
{
	struct seam_handle h = SEAM_NONE;
	struct seam_worker *w;

	while ((w = seam_table_next(b->workers, &h)))
		board_settle_ends(b, w);
}

static void committed(struct seam_board *b, const struct item *item, size_t n,
		      uint64_t version)
{
	size_t i;

	for (i = 0; i < n; i++) {
		struct seam_job *j = board_job(b, item[i].job);

		if (!j)
			continue;
		j->version = version;
		if (item[i].change > j->committed)
			j->committed = item[i].change;
		if (board_job_droppable(j))
			board_job_drop(b, j);
	}
	settle_all(b);
}

/* Takes a row that another writer may have changed; the lock is not held. */
static void read_back(struct seam_board *b, const struct item *item)
{
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_row row;
	struct seam_job *j;

	if (seam_store_get(b->ports->store, item->key, &row,
			   seam_now(b->clock) + STORE_CALL, &e))
		return;
	pthread_mutex_lock(&b->lock);
	j = board_job(b, item->job);
	if (j)
		board_job_merge(b, j, &row);
	pthread_mutex_unlock(&b->lock);
	seam_row_free(&row);
}

/* Commits what has changed; returns whether there may be more. */
static bool commit_some(struct seam_board *b)
{
	struct item item[ROWS_MAX];
	struct seam_err e = SEAM_ERR_INIT;
	uint64_t version = 0;
	size_t n;
	size_t i;
	int rc;

	pthread_mutex_lock(&b->lock);
	b->commit_due = false;
	n = gather(b, item);
	pthread_mutex_unlock(&b->lock);
	if (!n)
		return false;
	rc = commit(b, item, n, &version, &e);
	seam_count_add(&commits, 1);
	seam_count_add(&rows, (int64_t)n);
	if (!rc) {
		pthread_mutex_lock(&b->lock);
		committed(b, item, n, version);
		pthread_mutex_unlock(&b->lock);
	} else if (e.kind == SEAM_CONFLICT || e.kind == SEAM_COMMIT_UNKNOWN) {
		/* Without an answer it may have applied, wholly or not at all.
		 */
		seam_count_add(&conflicts, 1);
		for (i = 0; i < n; i++)
			read_back(b, &item[i]);
	} else {
		seam_log(SEAM_WARN, "owner",
			 "event=commit_failed rows=%zu term=%llu why=\"%s\"", n,
			 (unsigned long long)b->term, e.text);
	}
	for (i = 0; i < n; i++)
		free(item[i].text);
	if (rc)
		g_usleep(RETRY_USEC);
	return true;
}

void *board_commit_loop(void *arg)
{
	struct seam_board *b = arg;

	pthread_mutex_lock(&b->lock);
	while (!b->stop) {
		if (!b->commit_due) {
			seam_wait(b->clock, &b->commit_wake, &b->lock,
				  SEAM_NEVER);
			continue;
		}
		pthread_mutex_unlock(&b->lock);
		g_usleep(GATHER_USEC);
		while (commit_some(b) &&
		       !__atomic_load_n(&b->stop, __ATOMIC_ACQUIRE))
			;
		pthread_mutex_lock(&b->lock);
	}
	pthread_mutex_unlock(&b->lock);
	/* What workers have told us is kept for the next owner, if it can be.
	 */
	commit_some(b);
	return NULL;
}
