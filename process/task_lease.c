#include "process/task_impl.h"

#include <stdio.h>
#include <string.h>

#include "base/metrics.h"
#include "base/log.h"

#define DC_EVACUATIONS_MAX 8 /* checkpoints begun for each bucket and pass */

SEAM_METRIC(expired, "seam_task_leases_expired_total",
	    "Leases that ended without an answer of the worker.");
SEAM_METRIC(renewals, "seam_task_renewals_total", "Renewals sent.");
SEAM_METRIC(throttled, "seam_tasks_throttled_total",
	    "Tasks held to their reservation.");
SEAM_METRIC(moved, "seam_tasks_moved_total",
	    "Tasks checkpointed in order to run elsewhere.");

static void fill_command(struct seam_bucket *b, struct seam_task *t,
			 int cmd_type, struct seam_worker_cmd *c)
{
	struct seam_placer *p = b->ts->c.placer;
	const struct seam_place_worker *w = p->ops->get(p, t->worker);

	memset(c, 0, sizeof(*c));
	c->cmd_type = cmd_type;
	g_strlcpy(c->worker, t->worker, sizeof(c->worker));
	g_strlcpy(c->addr, w ? w->addr : "", sizeof(c->addr));
	seam_task_full_id(b, t, c->task);
	c->attempt = t->attempt;
	c->token = b->version;
	c->boot = t->boot;
	c->start_by = t->start_by;
	c->need = t->reserved;
	g_strlcpy(c->team, b->team, sizeof(c->team));
	g_strlcpy(c->kind, t->kind, sizeof(c->kind));
	c->payload = t->payload;
}

/* The result is equal for all tasks of a worker, so that one call renews all of
 * them. */
static seam_time next_renewal(const struct seam_bucket *b, const char *worker,
			      seam_time now)
{
	seam_time period = b->ts->c.lease / 3;
	seam_time phase = (seam_time)g_str_hash(worker) * SEAM_MSEC % period;

	return now + period - (now - phase) % period;
}

int seam_task_send(struct seam_bucket *b, struct seam_task *t, int cmd_type,
		   seam_time now)
{
	struct seam_workers *w = b->ts->c.workers;
	seam_time lease = b->ts->c.lease;
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_worker_cmd c;

	fill_command(b, t, cmd_type, &c);
	if (cmd_type == SEAM_CMD_START || cmd_type == SEAM_CMD_RENEW)
		t->renew_at = next_renewal(b, t->worker, now);
	if (cmd_type == SEAM_CMD_RENEW && t->heard) {
		/* The lease is extended even if the send fails, as the worker
		 * may have received the command. */
		t->lease_until = MAX(t->lease_until, now + lease);
		t->heard = false;
	}
	c.lease_until = t->lease_until;
	if (cmd_type != SEAM_CMD_RENEW)
		t->next_command_at = now + SEAM_TASK_COMMAND_INTERVAL;
	if (cmd_type == SEAM_CMD_RENEW)
		seam_metric_add(&renewals, 1);
	return w->ops->send(w, &c, &e);
}

/* A VM that a list from after the lease does not show, or shows rebooted, has
 * ended, and its tasks with it. */
static bool worker_gone(struct seam_bucket *b, const struct seam_task *t)
{
	struct seam_placer *p = b->ts->c.placer;
	const struct seam_place_worker *w = p->ops->get(p, t->worker);

	if (b->ts->fleet_as_of <= t->lease_until)
		return false;
	return !w || w->boot > t->boot;
}

static void expire_lease(struct seam_bucket *b, struct seam_task *t,
			 seam_time now)
{
	char why[160];

	seam_metric_add(&expired, 1);
	if (t->stop == SEAM_STOP_CANCEL) {
		seam_task_end(b, t, SEAM_TASK_CANCELLED, now,
			      "cancelled; the worker did not answer");
	} else if (t->idempotent) {
		seam_task_lost(b, t, "its lease ended", now);
	} else {
		snprintf(why, sizeof(why),
			 "lease on %s ended and it has not stated that "
			 "attempt %lld did not start",
			 t->worker, (long long)t->attempt);
		seam_task_end(b, t, SEAM_TASK_UNKNOWN, now, why);
	}
}

/*
 * An attempt that an earlier owner started may still be renewed by that owner
 * until the store or the worker rejects its token. Its lease is therefore only
 * over when the VM list shows that the worker is gone; reports of the worker
 * are handled elsewhere.
 */
static bool lease_expired(struct seam_bucket *b, const struct seam_task *t,
			  seam_time now)
{
	seam_time lease_end = t->lease_until + b->ts->c.skew + SEAM_TASK_GRACE;

	if (now <= lease_end)
		return false;
	return !t->inherited || worker_gone(b, t);
}

static void check_overuse(struct seam_bucket *b, struct seam_task *t,
			  seam_time now)
{
	if (!t->over_since || t->state != SEAM_TASK_RUNNING)
		return;
	if (now - t->over_since < SEAM_TASK_OVERUSE_TIME || !t->idempotent) {
		if (now < t->next_command_at)
			return;
		seam_metric_add(&throttled, 1);
		seam_task_send(b, t, SEAM_CMD_THROTTLE, now);
		return;
	}
	t->state = SEAM_TASK_STOPPING;
	t->stop = SEAM_STOP_OVERUSE;
	t->next_command_at = 0;
	b->dirty = true;
	seam_metric_add(&moved, 1);
}

/* Tasks leave a data centre that is out in the order of their finish_by. */
static struct seam_task *next_to_evacuate(struct seam_bucket *b,
					  const struct seam_conf *c)
{
	struct seam_placer *p = b->ts->c.placer;
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_task *best = NULL;
	struct seam_task *t;

	while ((t = seam_task_next(b->table, &h))) {
		const struct seam_place_worker *w;

		if (t->state != SEAM_TASK_RUNNING || !t->idempotent)
			continue;
		w = p->ops->get(p, t->worker);
		if (!w || !seam_conf_dc_out(c, w->dc))
			continue;
		if (!best || t->finish_by < best->finish_by)
			best = t;
	}
	return best;
}

static void evacuate_dcs(struct seam_bucket *b)
{
	struct seam_conf *c = seam_conf_current(b->ts->c.conf);
	struct seam_task *t;
	int i;

	for (i = 0; i < DC_EVACUATIONS_MAX; i++) {
		t = next_to_evacuate(b, c);
		if (!t)
			break;
		t->state = SEAM_TASK_STOPPING;
		t->stop = SEAM_STOP_DC_OUT;
		t->next_command_at = 0;
		b->dirty = true;
		seam_metric_add(&moved, 1);
	}
	seam_conf_unref(c);
}

/* Callers can read ended tasks for SEAM_TASK_RETENTION; then they are deleted
 * to make space for new ones. */
static void delete_ended(struct seam_bucket *b, seam_time now)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_task *t;

	while ((t = seam_task_next(b->table, &h))) {
		if (!seam_task_ended(t) ||
		    now - t->ended_at < SEAM_TASK_RETENTION)
			continue;
		seam_bucket_remove_task(b, h);
	}
}

void seam_bucket_check_leases(struct seam_bucket *b, seam_time now)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_task *t;

	while ((t = seam_task_next(b->table, &h))) {
		if (!seam_task_active(t) || t->start_pending)
			continue;
		if (lease_expired(b, t, now))
			expire_lease(b, t, now);
		else
			check_overuse(b, t, now);
	}
	evacuate_dcs(b);
	delete_ended(b, now);
}

static void renew_task(struct seam_bucket *b, struct seam_task *t,
		       seam_time now)
{
	bool stopping = t->state == SEAM_TASK_STOPPING && !b->reload;

	if (!t->confirmed && !t->inherited) {
		if (now < t->next_command_at || b->reload)
			return;
		t->next_command_at = now + SEAM_TASK_COMMAND_INTERVAL;
		seam_task_send(b, t,
			       stopping		 ? SEAM_CMD_STOP :
			       now > t->start_by ? SEAM_CMD_RENEW :
						   SEAM_CMD_START,
			       now);
		return;
	}
	if (stopping && !b->dirty && now >= t->next_command_at)
		seam_task_send(b, t,
			       t->stop == SEAM_STOP_CANCEL ?
				       SEAM_CMD_STOP :
				       SEAM_CMD_CHECKPOINT,
			       now);
	else if (now >= t->renew_at)
		seam_task_send(b, t, SEAM_CMD_RENEW, now);
}

void seam_bucket_renew(struct seam_bucket *b, seam_time now)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_task *t;

	while ((t = seam_task_next(b->table, &h)))
		if (seam_task_active(t) && !t->start_pending)
			renew_task(b, t, now);
}
