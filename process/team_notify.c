#include "process/team_impl.h"

#include <string.h>

/* Holders notified of one want. Each of them reads the row, and the read budget
 * of a node is small. An unmet want is notified again when it is renewed. */
#define NOTIFY_WANT_MAX 4
/* Holders notified of released units or of a lowered limit. */
#define NOTIFY_CHANGE_MAX 16

static bool already_notified(const size_t *notified, size_t n, size_t i)
{
	while (n--)
		if (notified[n] == i)
			return true;
	return false;
}

/* Selects the grant most likely to have unused units: the largest one without a
 * want, otherwise the largest. */
static bool next_releaser(const struct seam_ledger *l, const char *holder,
			  seam_time now, const size_t *notified, size_t n,
			  size_t *best)
{
	bool found = false;
	bool best_wants = false;
	size_t i;

	for (i = 0; i < l->n; i++) {
		const struct seam_grant *g = &l->grant[i];
		bool wants = g->want > 0 && g->want_until > now;

		if (!g->units || g->reclaim_at || !strcmp(g->holder, holder) ||
		    already_notified(notified, n, i))
			continue;
		if (found &&
		    (wants > best_wants || (wants == best_wants &&
					    g->units <= l->grant[*best].units)))
			continue;
		*best = i;
		found = true;
		best_wants = wants;
	}
	return found;
}

void seam_team_notify_want(const struct seam_ledger *l, const char *holder,
			   seam_time now, seam_team_notify_fn fn, void *arg)
{
	size_t notified[NOTIFY_WANT_MAX] = {0};
	size_t n;

	fn(arg, l->team, NULL);
	for (n = 0; n < NOTIFY_WANT_MAX; n++) {
		if (!next_releaser(l, holder, now, notified, n, &notified[n]))
			return;
		fn(arg, l->team, l->grant[notified[n]].holder);
	}
}

void seam_team_notify_change(const struct seam_ledger *l, const char *holder,
			     seam_time now, seam_team_notify_fn fn, void *arg)
{
	bool open = seam_ledger_within_limit(l);
	size_t n = 0;
	size_t i;

	for (i = 0; i < l->n && n < NOTIFY_CHANGE_MAX; i++) {
		const struct seam_grant *g = &l->grant[i];
		bool to = open ? g->want > 0 && g->want_until > now :
				 g->units > 0;

		if (!to || g->reclaim_at || !strcmp(g->holder, holder))
			continue;
		fn(arg, l->team, g->holder);
		n++;
	}
}

bool seam_holder_node(const char *holder, char node[SEAM_TEAM_NAME_SIZE])
{
	const char *name = holder + strlen("node:");
	size_t n;

	if (strncmp(holder, "node:", strlen("node:")))
		return false;
	n = strcspn(name, "#");
	if (!n || n >= SEAM_TEAM_NAME_SIZE)
		return false;
	memcpy(node, name, n);
	node[n] = '\0';
	return true;
}
