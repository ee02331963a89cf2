#include "process/lead.h"
#include "base/json.h"
#include "base/log.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RELEASED "released"
#define ROWS 4 /* more than there are */

void seam_lead_init(struct seam_lead *l, struct seam_store *s,
		    struct seam_clock *k, const char *node)
{
	memset(l, 0, sizeof(*l));
	l->store = s;
	l->clock = k;
	l->started_at = seam_now(k);
	snprintf(l->node, sizeof(l->node), "%s", node);
}

seam_time seam_lead_valid_until(const struct seam_lead *l)
{
	return __atomic_load_n(&l->valid_until, __ATOMIC_ACQUIRE);
}

bool seam_lead_valid(const struct seam_lead *l, seam_time now)
{
	return now < seam_lead_valid_until(l);
}

static void set_valid(struct seam_lead *l, seam_time until)
{
	__atomic_store_n(&l->valid_until, until, __ATOMIC_RELEASE);
}

/* Reads both rows at once; a row that does not exist has no data. */
static int read_rows(struct seam_lead *l, struct seam_rows *rows,
		     struct seam_row *owner, struct seam_row *beat,
		     struct seam_err *e)
{
	size_t i;

	memset(owner, 0, sizeof(*owner));
	memset(beat, 0, sizeof(*beat));
	if (seam_store_scan(l->store, SEAM_LEAD_ROWS, NULL, ROWS, rows,
			    seam_now(l->clock) + SEAM_LEAD_CALL, e))
		return -1;
	for (i = 0; i < rows->n; i++) {
		if (!strcmp(rows->row[i].key, SEAM_LEAD_ROW))
			*owner = rows->row[i];
		if (!strcmp(rows->row[i].key, SEAM_LEAD_BEAT_ROW))
			*beat = rows->row[i];
	}
	return 0;
}

/*
 * Notes the rows; returns whether the term they show may be taken over. A node
 * that finds itself as the owner was started again: the process that owned the
 * term is gone.
 */
static bool is_free(struct seam_lead *l, const struct seam_row *owner,
		    const struct seam_row *beat)
{
	seam_time now = seam_now(l->clock);
	struct json_object *o =
		owner->data ? json_tokener_parse(owner->data) : NULL;
	bool ours = !strcmp(seam_json_str(o, "node", ""), l->node);

	l->term = (uint64_t)seam_json_int(o, "term", 0);
	json_object_put(o);
	if (owner->version != l->owner_version ||
	    beat->version != l->beat_version || !l->beat_seen_at ||
	    now > l->looked_at + SEAM_LEAD_GAP) {
		l->owner_version = owner->version;
		l->beat_version = beat->version;
		l->beat_seen_at = now;
	}
	l->looked_at = now;
	l->orders_until = l->beat_seen_at;
	if (!owner->data) {
		l->orders_until = 0;
		return true;
	}
	if (beat->data && !strcmp(beat->data, RELEASED))
		return true;
	if (ours) {
		l->orders_until = l->started_at;
		return true;
	}
	l->orders_until += SEAM_LEAD_VALID;
	return now >= l->beat_seen_at + SEAM_LEAD_TAKEOVER;
}

static int claim(struct seam_lead *l, struct seam_err *e)
{
	seam_time now = seam_now(l->clock);
	char text[160];
	int n = snprintf(text, sizeof(text), "{\"node\":\"%s\",\"term\":%llu}",
			 l->node, (unsigned long long)l->term + 1);
	struct seam_write w[] = {
		{SEAM_PUT, SEAM_LEAD_ROW, l->owner_version, text, (size_t)n},
		{SEAM_PUT, SEAM_LEAD_BEAT_ROW, l->beat_version, l->node,
		 strlen(l->node)},
	};
	struct seam_commit c = {w, 2, 0, 0};

	if (seam_store_commit_sure(l->store, l->clock, &c,
				   now + 2 * SEAM_LEAD_CALL, e))
		return -1;
	l->term++;
	l->owner_version = c.version;
	l->beat_version = c.version;
	set_valid(l, now + SEAM_LEAD_VALID);
	return 0;
}

/* A larger node that is there has had time for its own claim. */
static bool may_claim(const struct seam_lead *l)
{
	return !l->yields || l->looked_at >= l->free_since + SEAM_LEAD_YIELD;
}

bool seam_lead_try(struct seam_lead *l, struct seam_err *e)
{
	struct seam_rows rows;
	struct seam_row owner;
	struct seam_row beat;
	bool ours;

	if (read_rows(l, &rows, &owner, &beat, e))
		return false;
	ours = is_free(l, &owner, &beat);
	if (!ours)
		l->free_since = 0;
	else if (!l->free_since)
		l->free_since = l->looked_at;
	ours = ours && may_claim(l) && !claim(l, e);
	seam_rows_free(&rows);
	return ours;
}

/* Whether a renewal without an answer was done. */
static bool was_renewed(struct seam_lead *l, uint64_t token)
{
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_row row;
	bool done;

	if (seam_store_get(l->store, SEAM_LEAD_BEAT_ROW, &row,
			   seam_now(l->clock) + SEAM_LEAD_CALL, &e))
		return false;
	done = row.writer == token;
	seam_row_free(&row);
	return done;
}

int seam_lead_renew(struct seam_lead *l, struct seam_err *e)
{
	seam_time now = seam_now(l->clock);
	struct seam_write w[] = {
		{SEAM_CHECK, SEAM_LEAD_ROW, l->owner_version, NULL, 0},
		{SEAM_PUT, SEAM_LEAD_BEAT_ROW, SEAM_ANY_VERSION, l->node,
		 strlen(l->node)},
	};
	struct seam_commit c = {w, 2, seam_store_token(), 0};

	if (seam_store_commit(l->store, &c, now + SEAM_LEAD_CALL, e)) {
		if (e->kind == SEAM_CONFLICT)
			set_valid(l, 0);
		if (e->kind != SEAM_COMMIT_UNKNOWN || !was_renewed(l, c.token))
			return -1;
	}
	/* A suspended owner whose term ran out meanwhile is still the owner,
	 * as its row shows, so its term is valid again. */
	set_valid(l, now + SEAM_LEAD_VALID);
	return 0;
}

void seam_lead_extend(struct seam_lead *l, seam_time asked_at)
{
	set_valid(l, asked_at + SEAM_LEAD_VALID);
}

void seam_lead_release(struct seam_lead *l)
{
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_write w[] = {
		{SEAM_CHECK, SEAM_LEAD_ROW, l->owner_version, NULL, 0},
		{SEAM_PUT, SEAM_LEAD_BEAT_ROW, SEAM_ANY_VERSION, RELEASED,
		 strlen(RELEASED)},
	};
	struct seam_commit c = {w, 2, seam_store_token(), 0};

	set_valid(l, 0);
	if (seam_store_commit(l->store, &c, seam_now(l->clock) + SEAM_LEAD_CALL,
			      &e))
		seam_log(SEAM_WARN, "lead", "event=release_failed why=\"%s\"",
			 e.text);
}
