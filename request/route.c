#include "request/route.h"
#include "base/metrics.h"
#include "base/log.h"

#include <sodium.h>
#include <string.h>

#define SLOW_START (10 * SEAM_SEC)
#define WEIGHT_FULL 1000
#define WEIGHT_MIN 50
#define DRAWS_MAX 8 /* random draws before searching the group in order */

SEAM_METRIC(chosen_near, "seam_request_chosen_near_total",
	    "Targets chosen in the own data centre.");
SEAM_METRIC(chosen_far, "seam_request_chosen_far_total",
	    "Targets chosen in another data centre.");

/* xorshift64* (Vigna 2016) */
static uint64_t next_random(uint64_t *x)
{
	*x ^= *x >> 12;
	*x ^= *x << 25;
	*x ^= *x >> 27;
	return (*x * 0x2545f4914f6cdd1dull) >> 32;
}

int seam_route_weight(const struct seam_target *t, seam_time now)
{
	seam_time left = t->full_weight_at - now;
	int w;

	if (left <= 0)
		return WEIGHT_FULL;
	if (left > SLOW_START)
		return WEIGHT_MIN;
	w = (int)(WEIGHT_FULL * (SLOW_START - left) / SLOW_START);
	return w < WEIGHT_MIN ? WEIGHT_MIN : w;
}

/* During the slow start only a part of the slots is used, but at least one. */
static bool has_room(const struct seam_target *t, seam_time now)
{
	int64_t slots = t->info.slots;
	int64_t part = (slots * seam_route_weight(t, now) + WEIGHT_FULL - 1) /
		       WEIGHT_FULL;

	return seam_target_free_slots(t) > slots - part;
}

static bool less_loaded(const struct seam_target *a,
			const struct seam_target *b, seam_time now)
{
	int64_t wa = (int64_t)a->info.slots * seam_route_weight(a, now);
	int64_t wb = (int64_t)b->info.slots * seam_route_weight(b, now);

	return (seam_target_load(a) + 1) * wb < (seam_target_load(b) + 1) * wa;
}

static bool is_excluded(const struct seam_tried_targets *excluded,
			struct seam_handle h)
{
	int i;

	for (i = 0; excluded && i < excluded->n; i++)
		if (seam_handle_eq(excluded->h[i], h))
			return true;
	return false;
}

/* The available target at index @i, or NULL if it cannot take a request now. */
static struct seam_target *
usable_target(struct seam_target_service *s, struct seam_target_group *g, int i,
	      const struct seam_tried_targets *excluded, seam_time now)
{
	struct seam_target *t = seam_table_get(s->table, g->available[i]);

	if (is_excluded(excluded, t->self) || now < t->full_until ||
	    !has_room(t, now))
		return NULL;
	return t;
}

static struct seam_target *
search_in_order(struct seam_target_service *s, struct seam_target_group *g,
		const struct seam_tried_targets *excluded, seam_time now,
		uint64_t *rnd)
{
	int first = (int)(next_random(rnd) % (uint64_t)g->available_count);
	int i;

	for (i = 0; i < g->available_count; i++) {
		struct seam_target *t = usable_target(
			s, g, (first + i) % g->available_count, excluded, now);

		if (t)
			return t;
	}
	return NULL;
}

struct seam_target *seam_route_draw(struct seam_target_service *s,
				    struct seam_target_group *g,
				    const struct seam_tried_targets *excluded,
				    seam_time now, uint64_t *rnd)
{
	struct seam_target *best = NULL;
	int found = 0;
	int i;

	if (!g->available_count)
		return NULL;
	for (i = 0; i < DRAWS_MAX && found < 2; i++) {
		int at = (int)(next_random(rnd) % (uint64_t)g->available_count);
		struct seam_target *t = usable_target(s, g, at, excluded, now);

		if (!t || t == best)
			continue;
		found++;
		if (!best || less_loaded(t, best, now))
			best = t;
	}
	return best ? best : search_in_order(s, g, excluded, now, rnd);
}

static int distance(const struct seam_locality *locality, const char *dc)
{
	int i;

	if (!strcmp(locality->dc, dc))
		return 0;
	for (i = 0; i < locality->n; i++)
		if (!strcmp(locality->region[i], dc))
			return 1;
	return 2;
}

static struct seam_target *choose_by_distance(
	struct seam_target_service *s, const struct seam_locality *locality,
	const struct seam_tried_targets *excluded, seam_time now, uint64_t *rnd)
{
	int first = (int)(next_random(rnd) % (uint64_t)s->groups);
	struct seam_target *t = NULL;
	int d;
	int i;

	for (d = 0; d < 3 && !t; d++)
		for (i = 0; i < s->groups && !t; i++) {
			struct seam_target_group *g =
				s->group[(first + i) % s->groups];

			if (distance(locality, g->dc) == d)
				t = seam_route_draw(s, g, excluded, now, rnd);
		}
	if (t)
		seam_metric_add(d == 1 ? &chosen_near : &chosen_far, 1);
	return t;
}

static __thread uint64_t random_state;

void seam_route_seed(uint64_t seed)
{
	random_state = seed;
}

static uint64_t *thread_random(void)
{
	while (!random_state)
		randombytes_buf(&random_state, sizeof(random_state));
	return &random_state;
}

int seam_route_acquire(struct seam_targets *ts, const char *service,
		       const struct seam_locality *locality,
		       const struct seam_tried_targets *excluded, seam_time now,
		       struct seam_handle *h, struct seam_err *e)
{
	struct seam_target_service *s;
	struct seam_target *t = NULL;
	bool any;

	seam_targets_lock(ts);
	s = seam_targets_service(ts, service);
	any = s && s->members;
	if (any) {
		seam_route_readmit(s, now);
		t = choose_by_distance(s, locality, excluded, now,
				       thread_random());
	}
	if (t) {
		*h = t->self;
		t->outstanding++;
		SEAM_INVARIANT(
			seam_target_free_slots(t) >= 0 && !t->info.leaving,
			"request",
			"Target %s: load %d exceeds %d slots, or it is leaving.",
			t->info.id, seam_target_load(t), t->info.slots);
		seam_target_update_index(t);
	}
	seam_targets_unlock(ts);
	if (t)
		return 0;
	if (any)
		return seam_fail(
			e, SEAM_BUSY,
			"service %s: all targets are at their slot limit",
			service);
	return seam_fail(e, SEAM_NOT_FOUND, "service %s has no targets",
			 service);
}

void seam_route_release(struct seam_targets *ts, struct seam_handle h)
{
	struct seam_table *table = seam_targets_lock(ts);
	struct seam_target *t = seam_table_get(table, h);

	if (t) {
		t->outstanding--;
		SEAM_INVARIANT(t->outstanding >= 0, "request",
			       "Target %s: more slots released than acquired.",
			       t->info.id);
		seam_target_update_index(t);
	}
	seam_targets_unlock(ts);
}
