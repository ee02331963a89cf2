#include "request/route.h"
#include "base/metrics.h"
#include "base/log.h"

#define FAILS_TO_EJECT 3
#define EJECT_FIRST (1 * SEAM_SEC)
#define EJECT_MAX (60 * SEAM_SEC)
/* Typical time until a full target frees a slot. */
#define FULL_BACKOFF (20 * SEAM_MSEC)
/*
 * The nodes' parts of a target's slots overlap until all nodes have reported
 * their demand again. In `measures_bench dc`, 20 ms lost 20.5% of the requests
 * and this value 18.8%.
 */
#define FULL_BACKOFF_DIVIDED (100 * SEAM_MSEC)
#define SLOW_START (10 * SEAM_SEC)

SEAM_METRIC(ejections, "seam_request_ejections_total", "Targets ejected.");
SEAM_METRIC(spared, "seam_request_ejections_spared_total",
	    "Failing targets kept because half of the service was out.");
SEAM_METRIC(returns, "seam_request_returns_total",
	    "Ejected targets that returned.");

struct seam_eject seam_eject_decide(const struct seam_target *t,
				    const struct seam_target_service *s,
				    seam_time now)
{
	struct seam_eject d = {false, 0};
	seam_time length = EJECT_FIRST;
	int i;

	if (t->fails < FAILS_TO_EJECT || t->ejected || t->info.leaving)
		return d;
	if ((s->ejected + 1) * 2 > s->members)
		return d;
	for (i = 0; i < t->ejections && length < EJECT_MAX; i++)
		length *= 2;
	d.eject = true;
	d.until = now + (length < EJECT_MAX ? length : EJECT_MAX);
	return d;
}

/*
 * A refusal by a full target is no failure. A target that refuses with most of
 * its slots free is failing: it would attract the requests of the whole
 * service.
 */
static bool refuses_while_idle(const struct seam_target *t)
{
	return seam_target_load(t) * 2 <= t->info.slots;
}

/*
 * A target that refuses has no free slot, whatever load the peers reported up
 * to a second ago. It counts as full until a request of this node ends or the
 * peers report again. The refused attempt is still counted as outstanding.
 */
static void on_full(struct seam_target *t, seam_time now)
{
	bool divided = t->service && t->service->divided;

	t->full_until = now + (divided ? FULL_BACKOFF_DIVIDED : FULL_BACKOFF);
	t->inferred_load = t->info.slots - (t->outstanding - 1) - t->peer_load;
	seam_target_update_index(t);
}

static void on_failure(struct seam_target *t, seam_time now)
{
	struct seam_target_service *s = t->service;
	struct seam_eject d;

	t->fails++;
	d = seam_eject_decide(t, s, now);
	if (!d.eject) {
		if (t->fails == FAILS_TO_EJECT && !t->ejected)
			seam_metric_add(&spared, 1);
		return;
	}
	t->ejections++;
	seam_target_eject(t, d.until);
	seam_metric_add(&ejections, 1);
	seam_log(SEAM_WARN, "request",
		 "Target %s ejected after %d consecutive failures.", t->info.id,
		 t->fails);
}

void seam_route_report(struct seam_targets *ts, struct seam_handle h,
		       enum seam_route_result result, seam_time now)
{
	struct seam_table *table = seam_targets_lock(ts);
	struct seam_target *t = seam_table_get(table, h);

	bool failed = result == SEAM_ROUTE_FAILED;

	if (t && result == SEAM_ROUTE_FULL) {
		failed = refuses_while_idle(t);
		on_full(t, now);
	}
	if (t && t->service && failed) {
		on_failure(t, now);
	} else if (t && result == SEAM_ROUTE_SUCCEEDED) {
		t->fails = 0;
		if (!t->ejected && now >= t->full_weight_at)
			t->ejections = 0;
	}
	seam_targets_unlock(ts);
}

void seam_route_readmit(struct seam_target_service *s, seam_time now)
{
	int i;

	if (now < s->ejection_end_at)
		return;
	for (i = s->ejected - 1; i >= 0; i--) {
		struct seam_target *t =
			seam_table_get(s->table, s->ejected_targets[i]);

		if (t->ejected_until > now)
			continue;
		t->fails = FAILS_TO_EJECT - 1;
		t->full_weight_at = now + SLOW_START;
		seam_target_end_ejection(t);
		seam_metric_add(&returns, 1);
		seam_log(SEAM_INFO, "request",
			 "Target %s readmitted after its ejection.",
			 t->info.id);
	}
}
