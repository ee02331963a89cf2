#include "version/spread.h"

seam_time seam_spread_by_peer(uint64_t version,
			      const struct seam_spread_peer *p, seam_time skew)
{
	/* A peer with a higher version shows that the own version is stale. */
	if (!version || p->version > version || p->confirmed_at <= skew)
		return 0;
	return p->confirmed_at - skew;
}

static bool rules_out_newer_version(const struct seam_spread_state *s,
				    const struct seam_spread_peer *p)
{
	return p->heard && !p->unsettled && p->version <= s->version &&
	       p->sent_at - p->store_at >= SEAM_STORE_GONE;
}

seam_time seam_spread_by_absence(const struct seam_spread_state *s)
{
	seam_time oldest = s->now;
	size_t i;

	if (!s->version || !s->registered || s->unsettled || !s->watched ||
	    s->now - s->store_at < SEAM_STORE_GONE)
		return 0;
	if (s->watched - s->skew < oldest)
		oldest = s->watched - s->skew;
	for (i = 0; i < s->peers; i++) {
		seam_time sent = s->peer[i].sent_at - s->skew;

		if (!rules_out_newer_version(s, &s->peer[i]))
			return 0;
		if (sent < oldest)
			oldest = sent;
	}
	return oldest;
}

enum seam_spread_act seam_spread_on_change(uint64_t own, uint64_t base,
					   uint64_t version)
{
	if (version <= own || base >= version)
		return SEAM_SPREAD_NOTHING;
	return own && base == own ? SEAM_SPREAD_APPLY : SEAM_SPREAD_FETCH;
}
