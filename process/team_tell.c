#include "process/team_impl.h"

#include <string.h>

/* Holders told of one want: each of them reads the row, and the bytes that a
 * node may read are few. A want that stays unmet is told again. */
#define TELL_WANT_MAX 4
/* Holders told of released units or of a lowered limit. */
#define TELL_MAX 16

static bool told_before(const size_t *told, size_t n, size_t i)
{
	while (n--)
		if (told[n] == i)
			return true;
	return false;
}

/* The grant that most likely has units to spare: the largest without a want,
 * then the largest. */
static bool next_releaser(const struct seam_ledger *l, const char *holder,
			  seam_time now, const size_t *told, size_t n,
			  size_t *best)
{
	bool found = false;
	bool found_wants = false;
	size_t i;

	for (i = 0; i < l->n; i++) {
		const struct seam_grant *g = &l->grant[i];
		bool wants = g->want > 0 && g->want_until > now;

		if (!g->units || g->reclaim_at || !strcmp(g->holder, holder) ||
		    told_before(told, n, i))
			continue;
		if (found && (wants > found_wants ||
			      (wants == found_wants &&
			       g->units <= l->grant[*best].units)))
			continue;
		*best = i;
		found = true;
		found_wants = wants;
	}
	return found;
}

void seam_team_tell_want(const struct seam_ledger *l, const char *holder,
			 seam_time now, seam_team_tell_fn fn, void *arg)
{
	size_t told[TELL_WANT_MAX] = {0};
	size_t n;

	fn(arg, l->team, NULL);
	for (n = 0; n < TELL_WANT_MAX; n++) {
		if (!next_releaser(l, holder, now, told, n, &told[n]))
			return;
		fn(arg, l->team, l->grant[told[n]].holder);
	}
}

void seam_team_tell_room(const struct seam_ledger *l, const char *holder,
			 seam_time now, seam_team_tell_fn fn, void *arg)
{
	bool open = seam_ledger_open(l);
	size_t n = 0;
	size_t i;

	for (i = 0; i < l->n && n < TELL_MAX; i++) {
		const struct seam_grant *g = &l->grant[i];
		bool to = open ? g->want > 0 && g->want_until > now :
				 g->units > 0;

		if (!to || g->reclaim_at || !strcmp(g->holder, holder))
			continue;
		fn(arg, l->team, g->holder);
		n++;
	}
}

bool seam_holder_node(const char *holder, char node[SEAM_TEAM_NAME])
{
	const char *name = holder + strlen("node:");
	size_t n;

	if (strncmp(holder, "node:", strlen("node:")))
		return false;
	n = strcspn(name, "#");
	if (!n || n >= SEAM_TEAM_NAME)
		return false;
	memcpy(node, name, n);
	node[n] = '\0';
	return true;
}
