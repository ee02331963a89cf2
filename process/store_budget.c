#include "base/metrics.h"
#include "base/log.h"
#include "process/store.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#define BURST_SEC 2 /* capacity of a bucket, in seconds of its rate */
#define FAILURES_TO_OPEN 5
#define PROBE_INTERVAL_MIN (250 * SEAM_MSEC)
#define PROBE_INTERVAL_MAX (2 * SEAM_SEC) /* bounds the delay of recovery */
/* The rate grows from RAMP_START_PERCENT to its limit after an outage. */
#define RAMP_TIME (10 * SEAM_SEC)
#define RAMP_START_PERCENT 10

SEAM_METRIC(reads_total, "seam_store_reads_total", "Reads sent to the store.");
SEAM_METRIC(rows_total, "seam_store_rows_written_total",
	    "Rows in commits sent to the store.");
SEAM_METRIC(shed_total, "seam_store_shed_total",
	    "Calls refused because they were over the store budget.");
SEAM_METRIC(refused_total, "seam_store_breaker_refused_total",
	    "Calls refused while the circuit breaker was open.");
SEAM_METRIC(opened_total, "seam_store_breaker_opened_total",
	    "Openings of the circuit breaker.");
SEAM_METRIC(breaker_open, "seam_store_breaker_open",
	    "1 while the circuit breaker is open.");

/* Percentage of a bucket that a class must leave for higher classes. */
static const int reserve_percent[SEAM_CLASSES] = {
	[SEAM_CLASS_CONFIG] = 0, [SEAM_CLASS_CLAIM] = 10,
	[SEAM_CLASS_TASK] = 20,	 [SEAM_CLASS_TEAM] = 30,
	[SEAM_CLASS_POOL] = 40,	 [SEAM_CLASS_OTHER] = 50,
};

struct bucket {
	double rate; /* tokens per second, outside of the ramp */
	double level; /* tokens; negative after a call larger than it */
	seam_time filled_at;
};

/*
 * @open: the circuit breaker is open
 * @probe_at: time from which the next call is let through while it is open
 * @backoff: probe interval before jitter
 * @full_rate_at: end of the ramp after an outage
 * @config_commits: commits of the configuration in progress
 * @config_unknown: a commit of the configuration has an unknown outcome
 * @expected_head: version of the head row that this commit expects
 */
struct budget {
	struct seam_store store;
	struct seam_store *inner;
	struct seam_clock *clock;
	struct seam_budget_conf conf;
	pthread_mutex_t lock;
	struct bucket reads;
	struct bucket writes;
	seam_time last_ok;
	int failures;
	bool open;
	seam_time probe_at;
	seam_time backoff;
	seam_time full_rate_at;
	int config_commits;
	uint64_t expected_head;
	bool config_unknown;
};

enum seam_store_class seam_store_class_of(const char *key)
{
	static const struct {
		const char *prefix;
		enum seam_store_class class;
	} classes[] = {
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

	for (i = 0; i < sizeof(classes) / sizeof(*classes); i++)
		if (!strncmp(key, classes[i].prefix, strlen(classes[i].prefix)))
			return classes[i].class;
	return SEAM_CLASS_OTHER;
}

/*
 * Members and the state of VMs are read with the priority of the configuration:
 * a node without them sends requests to targets that are leaving and ends
 * drains too early. These are few reads, which lower classes would otherwise
 * starve while the rate ramps up after an outage.
 */
static enum seam_store_class read_class(const char *key)
{
	static const char *const prefixes[] = {"member/", "pool-version/",
					       "pool/", "wave/"};
	size_t i;

	for (i = 0; i < sizeof(prefixes) / sizeof(*prefixes); i++)
		if (!strncmp(key, prefixes[i], strlen(prefixes[i])))
			return SEAM_CLASS_CONFIG;
	return seam_store_class_of(key);
}

/* Returns the part of the rate that is allowed at this time, up to 1. */
static double ramp_factor(struct budget *b, seam_time now)
{
	double left;

	if (now >= b->full_rate_at)
		return 1;
	left = (double)(b->full_rate_at - now) / RAMP_TIME;
	return 1 - left * (100 - RAMP_START_PERCENT) / 100;
}

static void refill(struct budget *b, struct bucket *k, seam_time now)
{
	double cap = k->rate * BURST_SEC * ramp_factor(b, now);

	/* A bucket holds at least one call, however low its rate is. */
	if (cap < 1)
		cap = 1;
	if (now > k->filled_at)
		k->level += (double)(now - k->filled_at) / SEAM_SEC * k->rate *
			    ramp_factor(b, now);
	if (k->level > cap)
		k->level = cap;
	k->filled_at = now;
}

/*
 * A call that needs more tokens than are left is admitted and makes the level
 * negative, so that a large commit is not refused forever.
 */
static bool take_tokens(struct budget *b, struct bucket *k,
			enum seam_store_class cl, double n, seam_time now)
{
	double cap = k->rate * BURST_SEC * ramp_factor(b, now);

	refill(b, k, now);
	if (k->level <= 0 || k->level < cap * reserve_percent[cl] / 100)
		return false;
	k->level -= n;
	return true;
}

/* Returns a random time of @t / 2 to @t * 3 / 2. */
static seam_time add_jitter(struct budget *b, seam_time t)
{
	b->conf.seed = b->conf.seed * 6364136223846793005ull + 1;
	return t / 2 + (seam_time)((b->conf.seed >> 33) % (uint64_t)t);
}

/* While the breaker is open, one call is admitted at each probe time. */
static int admit(struct budget *b, struct bucket *k, enum seam_store_class cl,
		 int n, struct seam_err *e)
{
	seam_time now = seam_now(b->clock);
	int rc = 0;

	pthread_mutex_lock(&b->lock);
	if (b->open && now < b->probe_at) {
		seam_metric_add(&refused_total, 1);
		rc = seam_fail(e, SEAM_UNAVAILABLE,
			       "store: down, next probe later");
	} else if (!b->open && !take_tokens(b, k, cl, n, now)) {
		seam_metric_add(&shed_total, 1);
		rc = seam_fail(e, SEAM_UNAVAILABLE,
			       "store: over the budget of this node");
	} else if (b->open) {
		b->probe_at = now + add_jitter(b, b->backoff);
	}
	pthread_mutex_unlock(&b->lock);
	return rc;
}

static void record_success(struct budget *b, seam_time started_at)
{
	if (b->last_ok < started_at)
		b->last_ok = started_at;
	b->failures = 0;
	if (!b->open)
		return;
	b->open = false;
	b->full_rate_at = seam_now(b->clock) + RAMP_TIME;
	b->reads.level = 1;
	b->writes.level = 1;
	seam_metric_set(&breaker_open, 0);
	seam_log(SEAM_INFO, "store",
		 "Store responds again; circuit breaker closed.");
}

static void record_failure(struct budget *b)
{
	seam_time now = seam_now(b->clock);

	b->failures++;
	if (b->open) {
		b->backoff = b->backoff * 2 > PROBE_INTERVAL_MAX * 2 / 3 ?
				     PROBE_INTERVAL_MAX * 2 / 3 :
				     b->backoff * 2;
		b->probe_at = now + add_jitter(b, b->backoff);
	} else if (b->failures >= FAILURES_TO_OPEN) {
		b->open = true;
		b->backoff = PROBE_INTERVAL_MIN;
		b->probe_at = now + add_jitter(b, b->backoff);
		seam_metric_add(&opened_total, 1);
		seam_metric_set(&breaker_open, 1);
		seam_log(SEAM_WARN, "store",
			 "Store does not respond; circuit breaker opened.");
	}
}

static void record_result(struct budget *b, seam_time started_at, int rc,
			  const struct seam_err *e)
{
	pthread_mutex_lock(&b->lock);
	if (rc &&
	    (e->kind == SEAM_UNAVAILABLE || e->kind == SEAM_COMMIT_UNKNOWN))
		record_failure(b);
	else
		record_success(b, started_at);
	pthread_mutex_unlock(&b->lock);
}

/*
 * A configuration commit whose response was lost may still apply at any later
 * time, until the head row no longer has the version that the commit expects.
 */
static void check_head_version(struct budget *b, uint64_t version)
{
	pthread_mutex_lock(&b->lock);
	if (b->config_unknown && version != b->expected_head)
		b->config_unknown = false;
	pthread_mutex_unlock(&b->lock);
}

static int budget_get(struct seam_store *s, const char *key,
		      struct seam_row *row, seam_time deadline,
		      struct seam_err *e)
{
	struct budget *b = (struct budget *)s;
	seam_time started_at = seam_now(b->clock);
	int rc;

	if (admit(b, &b->reads, read_class(key), 1, e))
		return -1;
	seam_metric_add(&reads_total, 1);
	rc = seam_store_get(b->inner, key, row, deadline, e);
	record_result(b, started_at, rc, e);
	if (!rc && !strcmp(key, "config/head"))
		check_head_version(b, row->version);
	return rc;
}

static int budget_scan(struct seam_store *s, const char *prefix,
		       const char *after, size_t max, struct seam_rows *rows,
		       seam_time deadline, struct seam_err *e)
{
	struct budget *b = (struct budget *)s;
	seam_time started_at = seam_now(b->clock);
	int rc;

	rows->row = NULL;
	rows->n = 0;
	if (admit(b, &b->reads, read_class(prefix), 1, e))
		return -1;
	seam_metric_add(&reads_total, 1);
	rc = seam_store_scan(b->inner, prefix, after, max, rows, deadline, e);
	record_result(b, started_at, rc, e);
	return rc;
}

static const struct seam_write *find_head_write(const struct seam_commit *c)
{
	size_t i;

	for (i = 0; i < c->n; i++)
		if (c->write[i].op == SEAM_PUT &&
		    !strcmp(c->write[i].key, "config/head"))
			return &c->write[i];
	return NULL;
}

/* A commit has the highest class of the rows that it writes. */
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

static void begin_config_commit(struct budget *b)
{
	pthread_mutex_lock(&b->lock);
	b->config_commits++;
	pthread_mutex_unlock(&b->lock);
}

static void end_config_commit(struct budget *b, const struct seam_write *w,
			      int rc, const struct seam_err *e)
{
	pthread_mutex_lock(&b->lock);
	b->config_commits--;
	if (rc && e->kind == SEAM_COMMIT_UNKNOWN) {
		b->config_unknown = true;
		b->expected_head = w->version;
	} else if (!rc && b->expected_head == w->version) {
		b->config_unknown = false;
	}
	pthread_mutex_unlock(&b->lock);
}

static int budget_commit(struct seam_store *s, struct seam_commit *c,
			 seam_time deadline, struct seam_err *e)
{
	struct budget *b = (struct budget *)s;
	const struct seam_write *head = find_head_write(c);
	seam_time started_at = seam_now(b->clock);
	int rows;
	enum seam_store_class cl = commit_class(c, &rows);
	int rc;

	if (admit(b, &b->writes, cl, rows, e))
		return -1;
	seam_metric_add(&rows_total, rows);
	if (head)
		begin_config_commit(b);
	rc = seam_store_commit(b->inner, c, deadline, e);
	if (head)
		end_config_commit(b, head, rc, e);
	record_result(b, started_at, rc, e);
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
	seam_store_budget_set_members(&b->store, 1);
	b->reads.level = b->reads.rate * BURST_SEC;
	b->writes.level = b->writes.rate * BURST_SEC;
	return &b->store;
}

void seam_store_budget_set_members(struct seam_store *s, int members)
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
	st.unsettled = b->config_unknown || b->config_commits > 0;
	pthread_mutex_unlock(&b->lock);
	return st;
}
