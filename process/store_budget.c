#include "base/count.h"
#include "base/log.h"
#include "process/store.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#define BURST_SEC 2 /* a bucket holds the rate of so many seconds */
#define FAILS_TO_OPEN 5
#define PROBE_MIN (250 * SEAM_MSEC)
#define PROBE_MAX (2 * SEAM_SEC) /* bounds the delay of recovery */
#define RAMP (10 * SEAM_SEC)
#define RAMP_START 10 /* percent of the rate right after an outage */

SEAM_COUNT(reads_total, "seam_store_reads_total", "Reads sent to the store.");
SEAM_COUNT(rows_total, "seam_store_rows_written_total",
	   "Rows in commits sent to the store.");
SEAM_COUNT(shed_total, "seam_store_shed_total",
	   "Calls refused because they were over the store budget.");
SEAM_COUNT(refused_total, "seam_store_breaker_refused_total",
	   "Calls refused while the circuit breaker was open.");
SEAM_COUNT(opened_total, "seam_store_breaker_opened_total",
	   "Openings of the circuit breaker.");
SEAM_COUNT(breaker_open, "seam_store_breaker_open",
	   "1 while the circuit breaker is open.");

/* Percent of the bucket that a class leaves to more important ones. */
static const int reserve[SEAM_CLASSES] = {
	[SEAM_CLASS_CONFIG] = 0, [SEAM_CLASS_CLAIM] = 10,
	[SEAM_CLASS_TASK] = 20,	 [SEAM_CLASS_TEAM] = 30,
	[SEAM_CLASS_POOL] = 40,	 [SEAM_CLASS_OTHER] = 50,
};

struct bucket {
	double rate; /* tokens a second, at full rate */
	double level;
	seam_time filled_at;
};

struct budget {
	struct seam_store store;
	struct seam_store *inner;
	struct seam_clock *clock;
	struct seam_budget_conf conf;
	pthread_mutex_t lock;
	struct bucket reads;
	struct bucket writes;
	seam_time last_ok;
	int fails;
	bool open;
	seam_time probe_at;
	seam_time backoff;
	seam_time full_rate_at;
	int in_commit;
	uint64_t unknown_row; /* expected head row version, see settle() */
	bool unknown;
};

enum seam_store_class seam_store_class_of(const char *key)
{
	static const struct {
		const char *prefix;
		enum seam_store_class class;
	} list[] = {
		{"config/", SEAM_CLASS_CONFIG},
		{"once/", SEAM_CLASS_CLAIM},
		{"queue/", SEAM_CLASS_TASK},
		{"queue-new/", SEAM_CLASS_TASK},
		{"worker/", SEAM_CLASS_TASK},
		{"team/", SEAM_CLASS_TEAM},
		{"pool/", SEAM_CLASS_POOL},
		{"vm/", SEAM_CLASS_POOL},
		{"wave/", SEAM_CLASS_POOL},
		{"pool-version/", SEAM_CLASS_POOL},
	};
	size_t i;

	for (i = 0; i < sizeof(list) / sizeof(*list); i++)
		if (!strncmp(key, list[i].prefix, strlen(list[i].prefix)))
			return list[i].class;
	return SEAM_CLASS_OTHER;
}

/*
 * Members and the state of VMs are read as early as the configuration: requests
 * go to leaving targets, and drains end too early, on a node that does not read
 * them. These are few reads, which lesser classes would else starve while the
 * rate grows after an outage.
 */
static enum seam_store_class read_class(const char *key)
{
	static const char *const view[] = {"member/", "pool-version/", "pool/",
					   "wave/"};
	size_t i;

	for (i = 0; i < sizeof(view) / sizeof(*view); i++)
		if (!strncmp(key, view[i], strlen(view[i])))
			return SEAM_CLASS_CONFIG;
	return seam_store_class_of(key);
}

static double share(struct budget *b, seam_time now)
{
	double left;

	if (now >= b->full_rate_at)
		return 1;
	left = (double)(b->full_rate_at - now) / RAMP;
	return 1 - left * (100 - RAMP_START) / 100;
}

static void refill(struct budget *b, struct bucket *k, seam_time now)
{
	double cap = k->rate * BURST_SEC * share(b, now);

	/* A bucket holds one call at least, however small its rate is. */
	if (cap < 1)
		cap = 1;
	if (now > k->filled_at)
		k->level += (double)(now - k->filled_at) / SEAM_SEC * k->rate *
			    share(b, now);
	if (k->level > cap)
		k->level = cap;
	k->filled_at = now;
}

/*
 * A call larger than what is left is admitted and leaves a debt, so that one
 * large commit can't wait forever.
 */
static bool take(struct budget *b, struct bucket *k, enum seam_store_class cl,
		 double n, seam_time now)
{
	double cap = k->rate * BURST_SEC * share(b, now);

	refill(b, k, now);
	if (k->level <= 0 || k->level < cap * reserve[cl] / 100)
		return false;
	k->level -= n;
	return true;
}

static seam_time jittered(struct budget *b, seam_time t)
{
	b->conf.seed = b->conf.seed * 6364136223846793005ull + 1;
	return t / 2 + (seam_time)((b->conf.seed >> 33) % (uint64_t)t);
}

/* While the breaker is open, one call is let through at each probe time. */
static int admit(struct budget *b, struct bucket *k, enum seam_store_class cl,
		 int n, struct seam_err *e)
{
	seam_time now = seam_now(b->clock);
	int rc = 0;

	pthread_mutex_lock(&b->lock);
	if (b->open && now < b->probe_at) {
		seam_count_add(&refused_total, 1);
		rc = seam_fail(e, SEAM_UNAVAILABLE,
			       "store: down, next probe later");
	} else if (!b->open && !take(b, k, cl, n, now)) {
		seam_count_add(&shed_total, 1);
		rc = seam_fail(e, SEAM_UNAVAILABLE, "store: over the budget");
	} else if (b->open) {
		b->probe_at = now + jittered(b, b->backoff);
	}
	pthread_mutex_unlock(&b->lock);
	return rc;
}

static void answered(struct budget *b, seam_time begun)
{
	if (b->last_ok < begun)
		b->last_ok = begun;
	b->fails = 0;
	if (!b->open)
		return;
	b->open = false;
	b->full_rate_at = seam_now(b->clock) + RAMP;
	b->reads.level = 1;
	b->writes.level = 1;
	seam_count_set(&breaker_open, 0);
	seam_log(SEAM_INFO, "store", "Store answers again.");
}

static void not_answered(struct budget *b)
{
	seam_time now = seam_now(b->clock);

	b->fails++;
	if (b->open) {
		b->backoff = b->backoff * 2 > PROBE_MAX * 2 / 3 ?
				     PROBE_MAX * 2 / 3 :
				     b->backoff * 2;
		b->probe_at = now + jittered(b, b->backoff);
	} else if (b->fails >= FAILS_TO_OPEN) {
		b->open = true;
		b->backoff = PROBE_MIN;
		b->probe_at = now + jittered(b, b->backoff);
		seam_count_add(&opened_total, 1);
		seam_count_set(&breaker_open, 1);
		seam_log(SEAM_WARN, "store", "Store does not answer.");
	}
}

static void note(struct budget *b, seam_time begun, int rc,
		 const struct seam_err *e)
{
	pthread_mutex_lock(&b->lock);
	if (rc &&
	    (e->kind == SEAM_UNAVAILABLE || e->kind == SEAM_COMMIT_UNKNOWN))
		not_answered(b);
	else
		answered(b, begun);
	pthread_mutex_unlock(&b->lock);
}

/*
 * A commit of the configuration whose answer was lost can apply at any later
 * time, until the head row has moved on from the version that it expects.
 */
static void settle(struct budget *b, uint64_t head_row)
{
	pthread_mutex_lock(&b->lock);
	if (b->unknown && head_row != b->unknown_row)
		b->unknown = false;
	pthread_mutex_unlock(&b->lock);
}

static int budget_get(struct seam_store *s, const char *key,
		      struct seam_row *row, seam_time deadline,
		      struct seam_err *e)
{
	struct budget *b = (struct budget *)s;
	seam_time begun = seam_now(b->clock);
	int rc;

	if (admit(b, &b->reads, read_class(key), 1, e))
		return -1;
	seam_count_add(&reads_total, 1);
	rc = seam_store_get(b->inner, key, row, deadline, e);
	note(b, begun, rc, e);
	if (!rc && !strcmp(key, "config/head"))
		settle(b, row->version);
	return rc;
}

static int budget_scan(struct seam_store *s, const char *prefix,
		       const char *after, size_t max, struct seam_rows *rows,
		       seam_time deadline, struct seam_err *e)
{
	struct budget *b = (struct budget *)s;
	seam_time begun = seam_now(b->clock);
	int rc;

	rows->row = NULL;
	rows->n = 0;
	if (admit(b, &b->reads, read_class(prefix), 1, e))
		return -1;
	seam_count_add(&reads_total, 1);
	rc = seam_store_scan(b->inner, prefix, after, max, rows, deadline, e);
	note(b, begun, rc, e);
	return rc;
}

static const struct seam_write *head_write(const struct seam_commit *c)
{
	size_t i;

	for (i = 0; i < c->n; i++)
		if (c->write[i].op == SEAM_PUT &&
		    !strcmp(c->write[i].key, "config/head"))
			return &c->write[i];
	return NULL;
}

/* The class of a commit is that of its most important row written. */
static enum seam_store_class commit_class(const struct seam_commit *c,
					  int *rows)
{
	enum seam_store_class best = SEAM_CLASS_OTHER;
	size_t i;

	*rows = 0;
	for (i = 0; i < c->n; i++) {
		enum seam_store_class cl;

		if (c->write[i].op == SEAM_CHECK)
			continue;
		(*rows)++;
		cl = seam_store_class_of(c->write[i].key);
		if (cl < best)
			best = cl;
	}
	return best;
}

static void begin_head(struct budget *b)
{
	pthread_mutex_lock(&b->lock);
	b->in_commit++;
	pthread_mutex_unlock(&b->lock);
}

static void end_head(struct budget *b, const struct seam_write *w, int rc,
		     const struct seam_err *e)
{
	pthread_mutex_lock(&b->lock);
	b->in_commit--;
	if (rc && e->kind == SEAM_COMMIT_UNKNOWN) {
		b->unknown = true;
		b->unknown_row = w->version;
	} else if (!rc && b->unknown_row == w->version) {
		b->unknown = false;
	}
	pthread_mutex_unlock(&b->lock);
}

static int budget_commit(struct seam_store *s, struct seam_commit *c,
			 seam_time deadline, struct seam_err *e)
{
	struct budget *b = (struct budget *)s;
	const struct seam_write *head = head_write(c);
	seam_time begun = seam_now(b->clock);
	int rows;
	enum seam_store_class cl = commit_class(c, &rows);
	int rc;

	if (admit(b, &b->writes, cl, rows, e))
		return -1;
	seam_count_add(&rows_total, rows);
	if (head)
		begin_head(b);
	rc = seam_store_commit(b->inner, c, deadline, e);
	if (head)
		end_head(b, head, rc, e);
	note(b, begun, rc, e);
	return rc;
}

static void budget_close(struct seam_store *s)
{
	struct budget *b = (struct budget *)s;

	seam_store_close(b->inner);
	pthread_mutex_destroy(&b->lock);
	free(b);
}

static const struct seam_store_ops budget_ops = {
	.get = budget_get,
	.scan = budget_scan,
	.commit = budget_commit,
	.close = budget_close,
};

struct seam_store *seam_store_budget_new(struct seam_store *inner,
					 struct seam_clock *k,
					 const struct seam_budget_conf *c)
{
	struct budget *b = calloc(1, sizeof(*b));

	if (!b)
		return NULL;
	b->store.ops = &budget_ops;
	b->inner = inner;
	b->clock = k;
	b->conf = *c;
	pthread_mutex_init(&b->lock, NULL);
	b->reads.filled_at = seam_now(k);
	b->writes.filled_at = b->reads.filled_at;
	seam_store_budget_members(&b->store, 1);
	b->reads.level = b->reads.rate * BURST_SEC;
	b->writes.level = b->writes.rate * BURST_SEC;
	return &b->store;
}

void seam_store_budget_members(struct seam_store *s, int members)
{
	struct budget *b = (struct budget *)s;

	if (s->ops != &budget_ops)
		return;
	if (members < 1)
		members = 1;
	pthread_mutex_lock(&b->lock);
	b->reads.rate = (double)b->conf.reads / members;
	b->writes.rate = (double)b->conf.writes / members;
	pthread_mutex_unlock(&b->lock);
}

struct seam_budget_state seam_store_budget_state(struct seam_store *s)
{
	struct budget *b = (struct budget *)s;
	struct seam_budget_state st = {.last_ok = 0};

	if (s->ops != &budget_ops)
		return st;
	pthread_mutex_lock(&b->lock);
	st.last_ok = b->last_ok;
	st.open = b->open;
	st.unsettled = b->unknown || b->in_commit > 0;
	pthread_mutex_unlock(&b->lock);
	return st;
}
