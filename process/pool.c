#include "process/pool.h"

#include <stdlib.h>
#include <string.h>

int seam_pool_row_copy(struct seam_pool_row *to,
		       const struct seam_pool_row *from)
{
	*to = *from;
	to->member = calloc(from->n + 1, sizeof(*to->member));
	if (!to->member)
		return -1;
	if (from->n)
		memcpy(to->member, from->member, from->n * sizeof(*to->member));
	return 0;
}

void seam_pool_row_free(struct seam_pool_row *r)
{
	free(r->member);
	r->member = NULL;
	r->n = 0;
}

/* Index of @vm, or its insertion point if it is absent. */
static size_t find_slot(const struct seam_pool_row *r, const char *vm,
			bool *found)
{
	size_t lo = 0;
	size_t hi = r->n;

	*found = false;
	while (lo < hi) {
		size_t mid = (lo + hi) / 2;
		int d = strcmp(r->member[mid].vm, vm);

		if (!d) {
			*found = true;
			return mid;
		}
		if (d < 0)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

struct seam_pool_vm *seam_pool_member(const struct seam_pool_row *r,
				      const char *vm)
{
	bool found;
	size_t i = find_slot(r, vm, &found);

	return found ? &r->member[i] : NULL;
}

struct seam_pool_vm *seam_pool_add(struct seam_pool_row *r,
				   const struct seam_pool_vm *m)
{
	struct seam_pool_vm *more;
	bool found;
	size_t i = find_slot(r, m->vm, &found);

	if (found || r->n >= SEAM_POOL_MEMBERS_MAX)
		return NULL;
	more = realloc(r->member, (r->n + 2) * sizeof(*more));
	if (!more)
		return NULL;
	r->member = more;
	memmove(&more[i + 1], &more[i], (r->n - i) * sizeof(*more));
	more[i] = *m;
	r->n++;
	return &more[i];
}

void seam_pool_remove(struct seam_pool_row *r, const char *vm)
{
	bool found;
	size_t i = find_slot(r, vm, &found);

	if (!found)
		return;
	r->n--;
	memmove(&r->member[i], &r->member[i + 1],
		(r->n - i) * sizeof(*r->member));
}

static bool is_planned(const struct seam_pool_vm *m)
{
	if (m->why == SEAM_WHY_MAINTENANCE)
		return m->state != SEAM_MEMBER_ACTIVE;
	return m->why == SEAM_WHY_MOVE && (m->state == SEAM_MEMBER_DRAINING ||
					   m->state == SEAM_MEMBER_REBOOTING);
}

struct seam_pool_counts seam_pool_count(const struct seam_pool_row *r)
{
	struct seam_pool_counts t = {0};
	size_t i;

	for (i = 0; i < r->n; i++) {
		const struct seam_pool_vm *m = &r->member[i];

		t.out += m->out;
		t.planned += is_planned(m);
		if (m->state == SEAM_MEMBER_ACTIVE && !m->out)
			t.active++;
		else
			t.unavailable++;
	}
	return t;
}

static enum seam_wave_refusal check_rules(const struct seam_pool_counts *t,
					  const struct seam_pool_rules *rules)
{
	if (!rules->list_ok)
		return SEAM_STALE_LIST;
	if (t->out)
		return SEAM_DC_IS_OUT;
	if (t->unavailable + 1 > rules->budget)
		return SEAM_NO_BUDGET;
	if (t->active - 1 < rules->min)
		return SEAM_AT_MIN;
	return SEAM_MAY_BEGIN;
}

enum seam_wave_refusal seam_pool_may_drain(const struct seam_pool_row *r,
					   const struct seam_pool_vm *m,
					   const struct seam_pool_rules *rules)
{
	struct seam_pool_counts t = seam_pool_count(r);

	if (m->state != SEAM_MEMBER_ACTIVE)
		return SEAM_NOT_ACTIVE;
	return check_rules(&t, rules);
}

const char *seam_wave_refusal_text(enum seam_wave_refusal r)
{
	static const char *const text[] = {
		[SEAM_MAY_BEGIN] = "may begin now",
		[SEAM_STALE_LIST] = "the VM list is too old",
		[SEAM_NOT_ACTIVE] = "it is not active",
		[SEAM_NOT_DUE] = "its maintenance is not due yet",
		[SEAM_HALTED] = "operators halted the wave of the pool",
		[SEAM_DC_IS_OUT] = "a data centre of the pool is out",
		[SEAM_NO_BUDGET] = "the availability budget is used up",
		[SEAM_AT_MIN] = "the pool is at its least number of VMs",
		[SEAM_OTHER_RACK] = "the wave is in another rack",
		[SEAM_OTHER_DC] = "the wave is in another data centre",
	};

	return text[r];
}
