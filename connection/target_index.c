#include "connection/target_impl.h"
#include "base/log.h"

#include <stdlib.h>
#include <string.h>

/* Ensures capacity for @n + 1 handles. */
static bool reserve(struct seam_handle **list, int n, int *cap)
{
	int new_cap = *cap ? *cap * 2 : 8;
	struct seam_handle *p;

	if (n < *cap)
		return true;
	p = realloc(*list, (size_t)new_cap * sizeof(*p));
	if (!p)
		return false;
	*list = p;
	*cap = new_cap;
	return true;
}

void seam_target_service_free(void *service)
{
	struct seam_target_service *s = service;
	int i;

	for (i = 0; i < s->groups; i++) {
		free(s->group[i]->available);
		free(s->group[i]);
	}
	free(s->ejected_targets);
	free(s);
}

struct seam_target_service *seam_targets_service(struct seam_targets *ts,
						 const char *name)
{
	return g_hash_table_lookup(ts->by_service, name);
}

static struct seam_target_service *find_or_add_service(struct seam_targets *ts,
						       const char *name)
{
	struct seam_target_service *s = seam_targets_service(ts, name);

	if (s)
		return s;
	s = calloc(1, sizeof(*s));
	if (!s)
		return NULL;
	g_strlcpy(s->name, name, sizeof(s->name));
	s->table = ts->table;
	s->ejection_end_at = SEAM_NEVER;
	g_hash_table_insert(ts->by_service, s->name, s);
	return s;
}

static struct seam_target_group *
find_or_add_group(struct seam_target_service *s, const char *dc)
{
	struct seam_target_group *g;
	int i;

	for (i = 0; i < s->groups; i++)
		if (!strcmp(s->group[i]->dc, dc))
			return s->group[i];
	if (s->groups == SEAM_TARGET_DCS_MAX)
		return NULL;
	g = calloc(1, sizeof(*g));
	if (!g)
		return NULL;
	g_strlcpy(g->dc, dc, sizeof(g->dc));
	s->group[s->groups++] = g;
	return g;
}

void seam_target_count_member(struct seam_target *t, int by)
{
	if (t->info.leaving)
		return;
	t->service->members += by;
	t->service->slots += (int64_t)by * t->info.slots;
}

bool seam_target_attach(struct seam_targets *ts, struct seam_target *t)
{
	t->service = find_or_add_service(ts, t->info.service);
	t->group =
		t->service ? find_or_add_group(t->service, t->info.dc) : NULL;
	if (!t->group) {
		t->service = NULL;
		return false;
	}
	seam_target_count_member(t, 1);
	t->rounding_offset = seam_target_rounding_offset(t->info.id);
	seam_target_update_index(t);
	return true;
}

static struct seam_target *entry(struct seam_target *t, struct seam_handle h)
{
	return seam_table_get(t->service->table, h);
}

static void remove_from_group(struct seam_target *t)
{
	struct seam_target_group *g = t->group;
	struct seam_target *moved;
	struct seam_handle last;

	if (!g)
		return;
	last = g->available[--g->available_count];
	moved = entry(t, last);
	g->available[t->group_pos - 1] = last;
	moved->group_pos = t->group_pos;
	t->group_pos = 0;
}

static void add_to_group(struct seam_target *t)
{
	struct seam_target_group *g = t->group;

	if (!reserve(&g->available, g->available_count, &g->cap))
		return;
	g->available[g->available_count++] = t->self;
	t->group_pos = g->available_count;
}

void seam_target_update_index(struct seam_target *t)
{
	bool available = t->group && !t->info.leaving && !t->ejected &&
			 seam_target_free_slots(t) > 0;

	if (available && !t->group_pos)
		add_to_group(t);
	else if (!available && t->group_pos)
		remove_from_group(t);
}

void seam_target_set_peer_load(struct seam_target *t, int load)
{
	t->peer_load = load;
	t->inferred_load = 0;
	seam_target_update_index(t);
}

void seam_target_eject(struct seam_target *t, seam_time until)
{
	struct seam_target_service *s = t->service;

	if (t->ejected ||
	    !reserve(&s->ejected_targets, s->ejected, &s->ejected_cap))
		return;
	s->ejected_targets[s->ejected++] = t->self;
	t->ejected = true;
	t->ejected_until = until;
	if (until < s->ejection_end_at)
		s->ejection_end_at = until;
	SEAM_INVARIANT(s->ejected * 2 <= s->members, "request",
		       "Service %s has %d of %d targets ejected.", s->name,
		       s->ejected, s->members);
	seam_target_update_index(t);
}

/* Takes time linear in the ejected targets of the service, not in all. */
void seam_target_end_ejection(struct seam_target *t)
{
	struct seam_target_service *s = t->service;
	seam_time next = SEAM_NEVER;
	int i;

	if (!t->ejected)
		return;
	for (i = 0; i < s->ejected; i++)
		if (seam_handle_eq(s->ejected_targets[i], t->self))
			s->ejected_targets[i--] =
				s->ejected_targets[--s->ejected];
	for (i = 0; i < s->ejected; i++)
		if (entry(t, s->ejected_targets[i])->ejected_until < next)
			next = entry(t, s->ejected_targets[i])->ejected_until;
	s->ejection_end_at = next;
	t->ejected = false;
	seam_target_update_index(t);
}

void seam_target_detach(struct seam_target *t)
{
	if (!t->service)
		return;
	seam_target_end_ejection(t);
	if (t->group_pos)
		remove_from_group(t);
	seam_target_count_member(t, -1);
	t->service = NULL;
	t->group = NULL;
}
