#include "process/election.h"
#include "base/json.h"
#include "base/log.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RELEASED_DATA "released"
#define MAX_ROWS 4 /* two rows exist */
#define HEARTBEAT_SIZE 160
/* After a conflict with a late write of ours, a heartbeat is written again. */
#define HEARTBEAT_WRITES_MAX 2

void seam_election_init(struct seam_election *l, struct seam_store *s,
			struct seam_clock *k, const char *node)
{
	memset(l, 0, sizeof(*l));
	l->store = s;
	l->clock = k;
	l->started_at = seam_now(k);
	snprintf(l->node, sizeof(l->node), "%s", node);
}

seam_time seam_election_valid_until(const struct seam_election *l)
{
	return __atomic_load_n(&l->valid_until, __ATOMIC_ACQUIRE);
}

bool seam_election_is_owner(const struct seam_election *l, seam_time now)
{
	return now < seam_election_valid_until(l);
}

/* Begins or extends our term. */
static void set_valid_until(struct seam_election *l, seam_time until)
{
	l->own_orders_until = until;
	__atomic_store_n(&l->valid_until, until, __ATOMIC_RELEASE);
}

/* Ends our term before its validity has run out. */
static void end_term(struct seam_election *l)
{
	seam_time now = seam_now(l->clock);

	if (l->own_orders_until > now)
		l->own_orders_until = now;
	__atomic_store_n(&l->valid_until, 0, __ATOMIC_RELEASE);
}

/* Reads both rows with one scan; a missing row has NULL data. */
static int read_rows(struct seam_election *l, struct seam_rows *rows,
		     struct seam_row *owner, struct seam_row *heartbeat,
		     struct seam_err *e)
{
	size_t i;

	memset(owner, 0, sizeof(*owner));
	memset(heartbeat, 0, sizeof(*heartbeat));
	if (seam_store_scan(l->store, SEAM_ELECTION_ROWS, NULL, MAX_ROWS, rows,
			    seam_now(l->clock) + SEAM_ELECTION_CALL_TIMEOUT, e))
		return -1;
	for (i = 0; i < rows->n; i++) {
		if (!strcmp(rows->row[i].key, SEAM_ELECTION_OWNER_ROW))
			*owner = rows->row[i];
		if (!strcmp(rows->row[i].key, SEAM_ELECTION_HEARTBEAT_ROW))
			*heartbeat = rows->row[i];
	}
	return 0;
}

/*
 * Text of the heartbeat row: the node, and when the heartbeat was sent, by the
 * owner's clock.
 */
static int heartbeat_text(const struct seam_election *l, seam_time now,
			  char text[HEARTBEAT_SIZE])
{
	return snprintf(text, HEARTBEAT_SIZE,
			"{\"node\":\"%s\",\"clock_us\":%lld}", l->node,
			(long long)now);
}

/* Whether @t, as read from a row, is a time that can be counted with. */
static bool is_clock(seam_time t)
{
	return t > 0 && t < SEAM_NEVER / 4;
}

static struct seam_election_clock *latest_prior(struct seam_election *l)
{
	return &l->prior[(l->priors - 1) % SEAM_ELECTION_PRIORS];
}

/* Notes the clock of the owner that has sent a heartbeat, if it tells one. */
static void note_clock(struct seam_election *l,
		       const struct seam_row *heartbeat, seam_time now)
{
	struct json_object *o =
		heartbeat->data ? json_tokener_parse(heartbeat->data) : NULL;
	seam_time clock = seam_json_int(o, "clock_us", 0);

	json_object_put(o);
	if (!is_clock(clock))
		return;
	if (!l->priors || latest_prior(l)->term != l->term)
		l->priors++;
	*latest_prior(l) = (struct seam_election_clock){l->term, clock, now};
}

int seam_election_from_prior_clock(const struct seam_election *l, uint64_t term,
				   seam_time *t)
{
	const struct seam_election_clock *c;
	size_t i;

	if (!is_clock(*t))
		return -1;
	for (i = 0; i < SEAM_ELECTION_PRIORS; i++) {
		c = &l->prior[i];
		if (!c->seen_at || c->term != term)
			continue;
		*t += c->seen_at - c->sent_at;
		return 0;
	}
	return -1;
}

/*
 * Returns by when orders of terms that this process knows of have been sent, if
 * the row names this node as the owner. Either the process that owned the term
 * has ended, or this one has owned it and stopped, or it gave up the claim
 * before the store carried it out.
 */
static seam_time own_term_orders_until(const struct seam_election *l)
{
	seam_time until = l->orders_until;

	if (until < l->started_at)
		until = l->started_at;
	return until > l->own_orders_until ? until : l->own_orders_until;
}

void seam_election_note_told_lost(struct seam_election *l, seam_time at)
{
	l->told_lost_at = at;
	if (at && l->orders_until < at + SEAM_ELECTION_TERM_VALIDITY)
		l->orders_until = at + SEAM_ELECTION_TERM_VALIDITY;
}

/* Whether an owner may have extended its term by the word of this node. */
static bool may_be_extended(const struct seam_election *l, seam_time now)
{
	return l->told_lost_at && now < l->told_lost_at + SEAM_ELECTION_TIMEOUT;
}

/* Records the rows and returns whether the term may be claimed. */
static bool observe_term(struct seam_election *l, const struct seam_row *owner,
			 const struct seam_row *heartbeat)
{
	seam_time now = seam_now(l->clock);
	struct json_object *o =
		owner->data ? json_tokener_parse(owner->data) : NULL;
	bool ours = !strcmp(seam_json_str(o, "node", ""), l->node);

	l->term = (uint64_t)seam_json_int(o, "term", 0);
	json_object_put(o);
	if (heartbeat->version != l->heartbeat_version)
		note_clock(l, heartbeat, now);
	if (owner->version != l->owner_version ||
	    heartbeat->version != l->heartbeat_version ||
	    !l->heartbeat_seen_at ||
	    now > l->read_at + SEAM_ELECTION_READ_GAP_MAX) {
		l->owner_version = owner->version;
		l->heartbeat_version = heartbeat->version;
		l->heartbeat_seen_at = now;
	}
	l->read_at = now;
	if (!owner->data) {
		l->orders_until = 0;
		return true;
	}
	if (heartbeat->data && !strcmp(heartbeat->data, RELEASED_DATA)) {
		l->orders_until = l->heartbeat_seen_at;
		return true;
	}
	l->orders_until =
		ours ? own_term_orders_until(l) :
		       l->heartbeat_seen_at + SEAM_ELECTION_TERM_VALIDITY;
	seam_election_note_told_lost(l, l->told_lost_at);
	return !may_be_extended(l, now) &&
	       (ours || now >= l->heartbeat_seen_at + SEAM_ELECTION_TIMEOUT);
}

static int claim(struct seam_election *l, struct seam_err *e)
{
	seam_time now = seam_now(l->clock);
	uint64_t term = (l->term / SEAM_ELECTION_TERM_STEP + 1) *
			SEAM_ELECTION_TERM_STEP;
	char text[160];
	char beat[HEARTBEAT_SIZE];
	int n = snprintf(text, sizeof(text), "{\"node\":\"%s\",\"term\":%llu}",
			 l->node, (unsigned long long)term);
	int beat_len = heartbeat_text(l, now, beat);
	struct seam_write w[] = {
		{SEAM_PUT, SEAM_ELECTION_OWNER_ROW, l->owner_version, text,
		 (size_t)n},
		{SEAM_PUT, SEAM_ELECTION_HEARTBEAT_ROW, l->heartbeat_version,
		 beat, (size_t)beat_len},
	};
	struct seam_commit c = {w, 2, 0, 0};

	if (seam_store_commit_retry(l->store, l->clock, &c,
				    now + 2 * SEAM_ELECTION_CALL_TIMEOUT, e))
		return -1;
	l->term = term;
	l->owner_version = c.version;
	l->heartbeat_version = c.version;
	l->heartbeat_known = true;
	set_valid_until(l, now + SEAM_ELECTION_TERM_VALIDITY);
	return 0;
}

/* Larger nodes have had time for their own claim. */
static bool may_claim(const struct seam_election *l)
{
	return !l->delay_claim ||
	       l->read_at >= l->claimable_since + SEAM_ELECTION_CLAIM_DELAY;
}

bool seam_election_try_claim(struct seam_election *l, struct seam_err *e)
{
	struct seam_rows rows;
	struct seam_row owner;
	struct seam_row heartbeat;
	bool ours;

	if (read_rows(l, &rows, &owner, &heartbeat, e))
		return false;
	ours = observe_term(l, &owner, &heartbeat);
	if (!ours)
		l->claimable_since = 0;
	else if (!l->claimable_since)
		l->claimable_since = l->read_at;
	ours = ours && may_claim(l) && !claim(l, e);
	seam_rows_free(&rows);
	return ours;
}

/*
 * Reads the version of the heartbeat row of our term, and the token of the
 * commit that wrote it. SEAM_CONFLICT if the term is not ours any more.
 */
static int read_heartbeat(struct seam_election *l, uint64_t *writer,
			  struct seam_err *e)
{
	struct seam_rows rows;
	struct seam_row owner;
	struct seam_row heartbeat;
	bool ours;

	if (read_rows(l, &rows, &owner, &heartbeat, e))
		return -1;
	ours = owner.version == l->owner_version;
	l->heartbeat_version = heartbeat.version;
	l->heartbeat_known = true;
	*writer = heartbeat.writer;
	seam_rows_free(&rows);
	if (ours)
		return 0;
	end_term(l);
	return seam_fail(e, SEAM_CONFLICT, "another node has claimed the term");
}

static int commit_heartbeat(struct seam_election *l, const char *text,
			    uint64_t token, struct seam_err *e)
{
	struct seam_write w[] = {
		{SEAM_CHECK, SEAM_ELECTION_OWNER_ROW, l->owner_version, NULL,
		 0},
		{SEAM_PUT, SEAM_ELECTION_HEARTBEAT_ROW, l->heartbeat_version,
		 text, strlen(text)},
	};
	struct seam_commit c = {w, 2, token, 0};

	if (seam_store_commit(l->store, &c,
			      seam_now(l->clock) + SEAM_ELECTION_CALL_TIMEOUT,
			      e)) {
		if (e->kind == SEAM_CONFLICT || e->kind == SEAM_COMMIT_UNKNOWN)
			l->heartbeat_known = false;
		return -1;
	}
	l->heartbeat_version = c.version;
	return 0;
}

/*
 * Writes the heartbeat row of our term. The write expects the version that was
 * last seen: the store may perform an unanswered one seconds later, which would
 * replace a release, or make the owner seem to be at work. SEAM_CONFLICT if the
 * term is not ours any more.
 */
static int write_heartbeat(struct seam_election *l, const char *text,
			   struct seam_err *e)
{
	uint64_t writer = 0;
	int i;

	for (i = 0; i < HEARTBEAT_WRITES_MAX; i++) {
		struct seam_err read = SEAM_ERR_INIT;
		uint64_t token = seam_store_token();

		seam_err_clear(e);
		if (!l->heartbeat_known && read_heartbeat(l, &writer, e))
			return -1;
		if (!commit_heartbeat(l, text, token, e))
			return 0;
		if (l->heartbeat_known)
			return -1;
		if (read_heartbeat(l, &writer, &read)) {
			if (read.kind == SEAM_CONFLICT)
				*e = read;
			else if (e->kind == SEAM_CONFLICT)
				seam_fail(e, SEAM_UNAVAILABLE, "%s", read.text);
			return -1;
		}
		if (writer == token)
			return 0;
		if (e->kind == SEAM_COMMIT_UNKNOWN)
			return -1;
	}
	return seam_fail(e, SEAM_UNAVAILABLE, "the heartbeat row has changed");
}

int seam_election_renew(struct seam_election *l, struct seam_err *e)
{
	seam_time now = seam_now(l->clock);
	char beat[HEARTBEAT_SIZE];

	heartbeat_text(l, now, beat);
	if (write_heartbeat(l, beat, e))
		return -1;
	/* If the term expired while this node was suspended, the check of the
	 * owner row shows that no other node has claimed it. */
	set_valid_until(l, now + SEAM_ELECTION_TERM_VALIDITY);
	return 0;
}

void seam_election_extend(struct seam_election *l, seam_time asked_at)
{
	set_valid_until(l, asked_at + SEAM_ELECTION_TERM_VALIDITY);
}

void seam_election_release(struct seam_election *l)
{
	struct seam_err e = SEAM_ERR_INIT;

	end_term(l);
	if (write_heartbeat(l, RELEASED_DATA, &e))
		seam_log(SEAM_WARN, "lead", "event=release_failed why=\"%s\"",
			 e.text);
}
