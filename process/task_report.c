#include "process/task_impl.h"

#include <string.h>

#include "base/metrics.h"
#include "base/log.h"

#define FAILS_MAX 6 /* ends a task if the pool has too few healthy workers */
#define ELSEWHERE_EVENTS_MAX 200 /* worker rows changed by one commit */

SEAM_METRIC(ends_done, "seam_tasks_done_total", "Tasks that ended well.");
SEAM_METRIC(ends_failed, "seam_tasks_failed_total", "Tasks ended as failed.");
SEAM_METRIC(ends_unknown, "seam_tasks_unknown_total",
	    "Tasks whose outcome is left to an operator.");
SEAM_METRIC(fenced, "seam_task_fenced_total",
	    "Commands that a worker refused because their token was old.");
SEAM_METRIC(old_usage, "seam_task_old_usage_total",
	    "Usage reports that were too old to be trusted.");

static bool counts_as_failure(struct seam_bucket *b, const struct seam_task *t,
			      int i)
{
	int j;

	if (t->fail[i].what != SEAM_FAIL_TASK ||
	    seam_worker_quarantined(b->ts, t->fail[i].worker))
		return false;
	for (j = 0; j < i; j++) {
		if (t->fail[j].what != SEAM_FAIL_TASK)
			continue;
		if (!strcmp(t->fail[j].worker, t->fail[i].worker))
			return false;
		if (*t->fail[i].rack &&
		    !strcmp(t->fail[j].rack, t->fail[i].rack) &&
		    t->fail[i].at - t->fail[j].at <
			    SEAM_TASK_RACK_FAILURE_WINDOW)
			return false;
	}
	return true;
}

static int count_healthy_fails(struct seam_bucket *b, const struct seam_task *t)
{
	int n = 0;
	int i;

	for (i = 0; i < t->fails; i++)
		n += counts_as_failure(b, t, i);
	return n;
}

static int count_fails(const struct seam_task *t, int what)
{
	int n = 0;
	int i;

	for (i = 0; i < t->fails; i++)
		n += t->fail[i].what == what;
	return n;
}

static void delete_fail(struct seam_task *t, int i)
{
	memmove(t->fail + i, t->fail + i + 1,
		(size_t)(t->fails - i - 1) * sizeof(*t->fail));
	t->fails--;
}

/* Drops the oldest loss, else the oldest entry, if the list is full. A loss
 * does not count towards the end of the task: it only keeps it off the worker.
 */
static void ensure_fail_slot(struct seam_task *t)
{
	int i;

	if (t->fails < SEAM_TASK_FAILS_MAX)
		return;
	for (i = 0; i < t->fails; i++)
		if (t->fail[i].what == SEAM_FAIL_LOST)
			break;
	delete_fail(t, i < t->fails ? i : 0);
}

static void record_fail(struct seam_bucket *b, struct seam_task *t, int what,
			seam_time now)
{
	struct seam_placer *p = b->ts->c.placer;
	const struct seam_place_worker *w = p->ops->get(p, t->worker);
	struct seam_task_fail *f;

	ensure_fail_slot(t);
	f = &t->fail[t->fails++];
	f->what = what;
	g_strlcpy(f->worker, t->worker, sizeof(f->worker));
	g_strlcpy(f->rack, w ? w->rack : "", sizeof(f->rack));
	f->at = now;
	seam_bucket_add_worker_event(b, SEAM_WORKER_TASK_FAILED, t->worker, t);
}

/*
 * The loss of a worker, be it a crash, a kill or a partition, is no evidence
 * against the task, unless the task crashes its workers. That is assumed if the
 * worker had confirmed that it runs the task, sent its last report shortly
 * after the start, and was not lost in the same wave as an earlier such worker.
 */
static int classify_loss(const struct seam_task *t, seam_time now)
{
	int i;

	if (t->heard_at < t->started_at ||
	    t->heard_at - t->started_at > SEAM_TASK_CRASH_WINDOW)
		return SEAM_FAIL_LOST;
	for (i = 0; i < t->fails; i++)
		if (t->fail[i].what == SEAM_FAIL_CRASH &&
		    now - t->fail[i].at < SEAM_TASK_CRASH_INTERVAL)
			return SEAM_FAIL_LOST;
	return SEAM_FAIL_CRASH;
}

/*
 * End of the backoff after crashes. The second crash may still be a coincidence
 * or a partition. The doubling delay keeps a wave of some minutes from counting
 * as several causes, and limits the number of workers lost meanwhile.
 */
seam_time seam_task_backoff_until(const struct seam_task *t)
{
	seam_time until = 0;
	seam_time at = 0;
	int n = 0;
	int i;

	for (i = 0; i < t->fails; i++) {
		if (t->fail[i].what == SEAM_FAIL_CRASH) {
			at = t->fail[i].at;
			n++;
		}
		if (n > 1 || (n && t->fail[i].what == SEAM_FAIL_LOST))
			until = at +
				(SEAM_TASK_CRASH_INTERVAL << MAX(0, n - 2));
	}
	return until;
}

void seam_task_lost(struct seam_bucket *b, struct seam_task *t, const char *how,
		    seam_time now)
{
	int crashes;
	char why[160];

	record_fail(b, t, classify_loss(t, now), now);
	crashes = count_fails(t, SEAM_FAIL_CRASH);
	if (crashes >= SEAM_TASK_CRASHES_MAX) {
		g_snprintf(why, sizeof(why),
			   "%d workers were lost shortly after its start, last "
			   "%s",
			   crashes, t->worker);
		seam_task_end(b, t, SEAM_TASK_FAILED, now, why);
		seam_metric_add(&ends_failed, 1);
		return;
	}
	g_snprintf(why, sizeof(why), "lost on %s: %s", t->worker, how);
	seam_task_requeue(b, t, why);
}

static void on_failed(struct seam_bucket *b, struct seam_task *t,
		      const struct seam_worker_report *r, seam_time now)
{
	char why[160];
	int all;
	int n;

	record_fail(b, t, SEAM_FAIL_TASK, now);
	n = count_healthy_fails(b, t);
	all = count_fails(t, SEAM_FAIL_TASK);
	if (!t->idempotent)
		g_snprintf(why, sizeof(why), "failed on %s: %s", t->worker,
			   r->reason);
	else if (n >= SEAM_TASK_FAILED_WORKERS_MAX)
		g_snprintf(why, sizeof(why),
			   "failed on %d healthy workers, last on %s: %s", n,
			   t->worker, r->reason);
	else if (all >= FAILS_MAX)
		g_snprintf(why, sizeof(why), "failed %d times, last on %s: %s",
			   all, t->worker, r->reason);
	else
		*why = '\0';
	if (t->stop == SEAM_STOP_CANCEL) {
		seam_task_end(b, t, SEAM_TASK_CANCELLED, now, "cancelled");
	} else if (*why) {
		seam_task_end(b, t, SEAM_TASK_FAILED, now, why);
		seam_metric_add(&ends_failed, 1);
	} else {
		g_snprintf(why, sizeof(why), "failed on %s: %s", t->worker,
			   r->reason);
		seam_task_requeue(b, t, why);
	}
}

static void on_done(struct seam_bucket *b, struct seam_task *t, seam_time now)
{
	int i;

	seam_sizes_add(b->ts->c.sizes, b->team, t->kind, &t->seen,
		       now - t->started_at, now);
	seam_bucket_add_worker_event(b, SEAM_WORKER_TASK_DONE, t->worker, t);
	for (i = 0; i < t->fails && b->events < ELSEWHERE_EVENTS_MAX; i++)
		if (strcmp(t->fail[i].worker, t->worker))
			seam_bucket_add_worker_event(
				b, SEAM_WORKER_TASK_DONE_ELSEWHERE,
				t->fail[i].worker, t);
	seam_task_end(b, t, SEAM_TASK_DONE, now, "");
	seam_metric_add(&ends_done, 1);
}

/* The attempt stopped before its end. */
static void on_stopped(struct seam_bucket *b, struct seam_task *t,
		       const struct seam_worker_report *r, seam_time now)
{
	char why[160];

	if (t->stop == SEAM_STOP_CANCEL) {
		seam_task_end(b, t, SEAM_TASK_CANCELLED, now, "cancelled");
		return;
	}
	if (t->idempotent) {
		g_snprintf(why, sizeof(why), "stopped on %s: %s", t->worker,
			   r->reason);
		seam_task_requeue(b, t, why);
		return;
	}
	g_snprintf(why, sizeof(why),
		   "attempt %lld stopped on %s before its end: %s",
		   (long long)t->attempt, t->worker, r->reason);
	seam_task_end(b, t, SEAM_TASK_UNKNOWN, now, why);
	seam_metric_add(&ends_unknown, 1);
}

static void on_not_started(struct seam_bucket *b, struct seam_task *t,
			   const struct seam_worker_report *r, seam_time now)
{
	/* A worker loses the record of its starts in a reboot. */
	if (!t->idempotent && r->boot != t->boot) {
		on_stopped(b, t, r, now);
		return;
	}
	if (t->stop == SEAM_STOP_CANCEL)
		seam_task_end(b, t, SEAM_TASK_CANCELLED, now, "cancelled");
	else if (t->confirmed && r->boot && r->boot != t->boot)
		seam_task_lost(b, t, "the worker was rebooted", now);
	else
		seam_task_requeue(b, t, "the worker did not start it");
}

static void record_usage(struct seam_task *t,
			 const struct seam_worker_report *r, seam_time now)
{
	bool over;

	if (r->usage_at <= t->usage_at)
		return;
	if (now - r->usage_at > SEAM_TASK_USAGE_TTL) {
		seam_metric_add(&old_usage, 1);
		return;
	}
	t->usage_at = r->usage_at;
	t->seen.cpu = MAX(t->seen.cpu, r->usage.cpu);
	t->seen.mem = MAX(t->seen.mem, r->usage.mem);
	over = r->usage.cpu > t->reserved.cpu || r->usage.mem > t->reserved.mem;
	if (!over)
		t->over_since = 0;
	else if (!t->over_since)
		t->over_since = now;
}

static void on_running(struct seam_bucket *b, struct seam_task *t,
		       const struct seam_worker_report *r, seam_time now)
{
	t->confirmed = true;
	t->heard = true;
	t->heard_at = now;
	/* The worker has this owner's token, so it refuses older ones. */
	if (r->token && r->token >= b->owned_version)
		t->inherited = false;
	record_usage(t, r, now);
}

static void on_absent(struct seam_bucket *b, struct seam_task *t, seam_time now)
{
	if (t->confirmed || now > t->start_by)
		seam_task_send(b, t, SEAM_CMD_STOP, now);
	else
		seam_task_send(b, t, SEAM_CMD_START, now);
}

static void apply_report(struct seam_bucket *b, struct seam_task *t,
			 const struct seam_worker_report *r, seam_time now)
{
	switch (r->attempt_state) {
	case SEAM_ATTEMPT_RUNNING:
		on_running(b, t, r, now);
		break;
	case SEAM_ATTEMPT_DONE:
		record_usage(t, r, now);
		on_done(b, t, now);
		break;
	case SEAM_ATTEMPT_FAILED:
		record_usage(t, r, now);
		on_failed(b, t, r, now);
		break;
	case SEAM_ATTEMPT_STOPPED:
		record_usage(t, r, now);
		on_stopped(b, t, r, now);
		break;
	case SEAM_ATTEMPT_NOT_STARTED:
		on_not_started(b, t, r, now);
		break;
	case SEAM_ATTEMPT_ABSENT:
		on_absent(b, t, now);
		break;
	case SEAM_ATTEMPT_FENCED:
		seam_metric_add(&fenced, 1);
		b->reload = true;
		b->read_at = 0;
		break;
	}
}

/* The worker reported an outcome after the task had ended as unknown. */
static void apply_late_report(struct seam_bucket *b, struct seam_task *t,
			      const struct seam_worker_report *r, seam_time now)
{
	if (t->state != SEAM_TASK_UNKNOWN)
		return;
	if (r->attempt_state == SEAM_ATTEMPT_DONE)
		seam_task_end(b, t, SEAM_TASK_DONE, now,
			      "its worker came back with the record");
	else if (r->attempt_state == SEAM_ATTEMPT_FAILED)
		seam_task_end(b, t, SEAM_TASK_FAILED, now, r->reason);
}

void seam_bucket_apply_reports(struct seam_bucket *b, seam_time now)
{
	struct seam_worker_report *r = b->ts->report;
	struct seam_workers *w = b->ts->c.workers;
	size_t n = w->ops->poll(w, b->prefix, r, SEAM_TASK_REPORTS_PER_PASS);
	size_t i;

	for (i = 0; i < n; i++) {
		const char *id = r[i].task + strlen(b->prefix);
		struct seam_task *t = seam_bucket_find(b, id);

		if (!t || t->attempt != r[i].attempt ||
		    strcmp(t->worker, r[i].worker))
			continue;
		/* The start is not committed yet: the report is from before. */
		if (t->start_pending)
			continue;
		if (seam_task_active(t))
			apply_report(b, t, &r[i], now);
		else
			apply_late_report(b, t, &r[i], now);
	}
}
