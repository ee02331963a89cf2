#include "process/share_impl.h"

#include <stdlib.h>
#include <string.h>

struct seam_share *seam_share_new(void)
{
	struct seam_share *s = calloc(1, sizeof(*s));

	if (!s)
		return NULL;
	s->team = seam_table_new(sizeof(struct seam_share_entity));
	s->workspace = seam_table_new(sizeof(struct seam_share_entity));
	if (s->team && s->workspace)
		return s;
	seam_share_free(s);
	return NULL;
}

void seam_share_free(struct seam_share *s)
{
	if (!s)
		return;
	seam_table_free(s->team);
	seam_table_free(s->workspace);
	free(s);
}

void seam_share_capacity(struct seam_share *s,
			 const struct seam_resources *capacity)
{
	s->capacity = *capacity;
}

static struct seam_share_entity *
add_entity(struct seam_table *t, int64_t weight, struct seam_handle *h)
{
	struct seam_share_entity *x = seam_table_add(t, h);

	if (x)
		x->weight = weight > 0 ? (double)weight : 1;
	return x;
}

struct seam_handle seam_share_team(struct seam_share *s, int64_t weight)
{
	struct seam_handle h;

	return add_entity(s->team, weight, &h) ? h : SEAM_HANDLE_NONE;
}

struct seam_handle seam_share_workspace(struct seam_share *s,
					struct seam_handle team, int64_t weight)
{
	struct seam_share_entity *t = seam_table_get(s->team, team);
	struct seam_share_entity *w;
	struct seam_handle h;

	if (!t)
		return SEAM_HANDLE_NONE;
	w = add_entity(s->workspace, weight, &h);
	if (!w)
		return SEAM_HANDLE_NONE;
	w->team = team;
	w->next = t->first;
	t->first = h;
	return h;
}

static void add_amount(struct seam_resources *a, const struct seam_resources *b,
		       int64_t sign)
{
	int r;

	for (r = 0; r < SEAM_RESOURCES; r++)
		a->of[r] += sign * b->of[r];
}

static void unlink_workspace(struct seam_share *s, struct seam_share_entity *t,
			     struct seam_handle h)
{
	struct seam_handle *at = &t->first;
	struct seam_share_entity *w = seam_table_get(s->workspace, *at);

	while (w && !seam_handle_eq(*at, h)) {
		at = &w->next;
		w = seam_table_get(s->workspace, *at);
	}
	if (w)
		*at = w->next;
}

static void del_workspace(struct seam_share *s, struct seam_handle h)
{
	struct seam_share_entity *w = seam_table_get(s->workspace, h);
	struct seam_share_entity *t =
		w ? seam_table_get(s->team, w->team) : NULL;

	if (t) {
		add_amount(&t->demand, &w->demand, -1);
		add_amount(&t->used, &w->used, -1);
		t->used_share = seam_share_dominant(&t->used, &s->capacity);
		unlink_workspace(s, t, h);
	}
	seam_table_del(s->workspace, h);
}

void seam_share_del(struct seam_share *s, struct seam_handle team,
		    struct seam_handle workspace)
{
	struct seam_share_entity *t = seam_table_get(s->team, team);

	if (workspace.bits)
		del_workspace(s, workspace);
	if (!t)
		return;
	while (t->first.bits)
		del_workspace(s, t->first);
	seam_table_del(s->team, team);
}

bool seam_share_demand(struct seam_share *s, struct seam_handle workspace,
		       const struct seam_resources *demand)
{
	struct seam_share_entity *w = seam_table_get(s->workspace, workspace);
	struct seam_share_entity *t =
		w ? seam_table_get(s->team, w->team) : NULL;

	if (!t)
		return false;
	add_amount(&t->demand, &w->demand, -1);
	w->demand = *demand;
	add_amount(&t->demand, demand, 1);
	return true;
}

bool seam_share_use(struct seam_share *s, struct seam_handle workspace,
		    const struct seam_resources *amount, int sign)
{
	struct seam_share_entity *w = seam_table_get(s->workspace, workspace);
	struct seam_share_entity *t =
		w ? seam_table_get(s->team, w->team) : NULL;

	if (!t)
		return false;
	add_amount(&w->used, amount, sign);
	add_amount(&t->used, amount, sign);
	w->used_share = seam_share_dominant(&w->used, &s->capacity);
	t->used_share = seam_share_dominant(&t->used, &s->capacity);
	return true;
}

static void fill_team(struct seam_share *s, struct seam_share_entity *t,
		      struct seam_share_entity **entities)
{
	struct seam_handle h = t->first;
	struct seam_share_entity *w;
	size_t n = 0;

	while ((w = seam_table_get(s->workspace, h))) {
		w->used_share = seam_share_dominant(&w->used, &s->capacity);
		entities[n++] = w;
		h = w->next;
	}
	seam_share_fill(entities, n, &t->entitled, &s->capacity);
}

void seam_share_compute(struct seam_share *s)
{
	size_t max_entities =
		seam_table_count(s->team) + 1 + seam_table_count(s->workspace);
	struct seam_share_entity **entities =
		calloc(max_entities, sizeof(struct seam_share_entity *));
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_share_entity *t;
	size_t n = 0;

	if (!entities)
		return;
	while ((t = seam_table_next(s->team, &h))) {
		t->used_share = seam_share_dominant(&t->used, &s->capacity);
		entities[n++] = t;
	}
	seam_share_fill(entities, n, &s->capacity, &s->capacity);
	h = SEAM_HANDLE_NONE;
	while ((t = seam_table_next(s->team, &h)))
		fill_team(s, t, entities);
	free(entities);
}

static const struct seam_share_entity *find_entity(const struct seam_share *s,
						   struct seam_handle team,
						   struct seam_handle workspace)
{
	return workspace.bits ? seam_table_get(s->workspace, workspace) :
				seam_table_get(s->team, team);
}

double seam_share_entitled(const struct seam_share *s, struct seam_handle team,
			   struct seam_handle workspace,
			   struct seam_resources *out)
{
	const struct seam_share_entity *x = find_entity(s, team, workspace);

	if (out)
		memset(out, 0, sizeof(*out));
	if (x && out)
		*out = x->entitled;
	return x ? x->entitled_share : 0;
}

double seam_share_used(const struct seam_share *s, struct seam_handle team,
		       struct seam_handle workspace)
{
	const struct seam_share_entity *x = find_entity(s, team, workspace);

	return x ? x->used_share : 0;
}
