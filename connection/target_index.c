#include "connection/target_impl.h"
#include "base/log.h"

#include <stdlib.h>
#include <string.h>

/* Grows an array of handles so that it holds one more than @n. */
static bool room(struct seam_handle **list, int n, int *cap)
{
	int more = *cap ? *cap * 2 : 8;
	struct seam_handle *p;

	if (n < *cap)
		return true;
	p = realloc(*list, (size_t)more * sizeof(*p));
	if (!p)
		return false;
	*list = p;
	*cap = more;
	return true;
}

void seam_target_service_free(void *service)
{
	struct seam_target_service *s = service;
	int i;

	for (i = 0; i < s->groups; i++) {
		free(s->group[i]->open);
		free(s->group[i]);
	}
	free(s->away);
	free(s);
}

struct seam_target_service *seam_targets_service(struct seam_targets *ts,
						 const char *name)
{
	return g_hash_table_lookup(ts->by_service, name);
}

static struct seam_target_service *need_service(struct seam_targets *ts,
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
	s->return_at = SEAM_NEVER;
	g_hash_table_insert(ts->by_service, s->name, s);
	return s;
}

static struct seam_target_group *need_group(struct seam_target_service *s,
					    const char *dc)
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

/* @by: 1 or -1; counts a target that is not leaving */
void seam_target_member(struct seam_target *t, int by)
{
	if (t->info.leaving)
		return;
	t->service->members += by;
	t->service->slots += (int64_t)by * t->info.slots;
}

bool seam_target_attach(struct seam_targets *ts, struct seam_target *t)
{
	t->service = need_service(ts, t->info.service);
	t->group = t->service ? need_group(t->service, t->info.dc) : NULL;
	if (!t->group) {
		t->service = NULL;
		return false;
	}
	seam_target_member(t, 1);
	t->phase = seam_target_phase(t->info.id);
	seam_target_place(t);
	return true;
}

static struct seam_target *entry(struct seam_target *t, struct seam_handle h)
{
	return seam_table_get(t->service->table, h);
}

static void leave_open(struct seam_target *t)
{
	struct seam_target_group *g = t->group;
	struct seam_target *moved;
	struct seam_handle last;

	if (!g)
		return;
	last = g->open[--g->opens];
	moved = entry(t, last);
	g->open[t->open_at - 1] = last;
	moved->open_at = t->open_at;
	t->open_at = 0;
}

static void enter_open(struct seam_target *t)
{
	struct seam_target_group *g = t->group;

	if (!room(&g->open, g->opens, &g->cap))
		return;
	g->open[g->opens++] = t->self;
	t->open_at = g->opens;
}

void seam_target_place(struct seam_target *t)
{
	bool open = t->group && !t->info.leaving && !t->ejected &&
		    seam_target_room(t) > 0;

	if (open && !t->open_at)
		enter_open(t);
	else if (!open && t->open_at)
		leave_open(t);
}

void seam_target_told(struct seam_target *t, int load)
{
	t->peer_load = load;
	t->learned = 0;
	seam_target_place(t);
}

void seam_target_away(struct seam_target *t, seam_time until)
{
	struct seam_target_service *s = t->service;

	if (t->ejected || !room(&s->away, s->ejected, &s->away_cap))
		return;
	s->away[s->ejected++] = t->self;
	t->ejected = true;
	t->ejected_until = until;
	if (until < s->return_at)
		s->return_at = until;
	SEAM_INVARIANT(s->ejected * 2 <= s->members, "request",
		       "Service %s has %d of %d targets ejected.", s->name,
		       s->ejected, s->members);
	seam_target_place(t);
}

/* Linear in the ejected targets of the service, not in its targets. */
void seam_target_back(struct seam_target *t)
{
	struct seam_target_service *s = t->service;
	seam_time next = SEAM_NEVER;
	int i;

	if (!t->ejected)
		return;
	for (i = 0; i < s->ejected; i++)
		if (seam_handle_eq(s->away[i], t->self))
			s->away[i--] = s->away[--s->ejected];
	for (i = 0; i < s->ejected; i++)
		if (entry(t, s->away[i])->ejected_until < next)
			next = entry(t, s->away[i])->ejected_until;
	s->return_at = next;
	t->ejected = false;
	seam_target_place(t);
}

void seam_target_detach(struct seam_target *t)
{
	if (!t->service)
		return;
	seam_target_back(t);
	if (t->open_at)
		leave_open(t);
	seam_target_member(t, -1);
	t->service = NULL;
	t->group = NULL;
}
