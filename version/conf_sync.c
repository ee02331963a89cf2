#include "version/conf_sync.h"

seam_time seam_conf_confirmed_by_peer(uint64_t version,
				      const struct seam_conf_sync_peer *p,
				      seam_time skew)
{
	/* A peer with a higher version shows that the own version is stale. */
	if (!version || p->version > version || p->confirmed_at <= skew)
		return 0;
	return p->confirmed_at - skew;
}

static bool rules_out_newer_version(const struct seam_conf_sync_state *s,
				    const struct seam_conf_sync_peer *p)
{
	return p->heard && !p->unsettled && p->version <= s->version &&
	       p->sent_at - p->store_at >= SEAM_STORE_UNREACHABLE_AFTER;
}

seam_time
seam_conf_confirmed_without_store(const struct seam_conf_sync_state *s)
{
	seam_time oldest = s->now;
	size_t i;

	if (!s->version || !s->registered || s->unsettled ||
	    !s->peers_known_until ||
	    s->now - s->store_at < SEAM_STORE_UNREACHABLE_AFTER)
		return 0;
	if (s->peers_known_until - s->skew < oldest)
		oldest = s->peers_known_until - s->skew;
	for (i = 0; i < s->peers; i++) {
		seam_time sent = s->peer[i].sent_at - s->skew;

		if (!rules_out_newer_version(s, &s->peer[i]))
			return 0;
		if (sent < oldest)
			oldest = sent;
	}
	return oldest;
}

enum seam_conf_push_action seam_conf_decide_push(uint64_t own, uint64_t base,
						 uint64_t version)
{
	if (version <= own || base >= version)
		return SEAM_CONF_PUSH_IGNORE;
	return own && base == own ? SEAM_CONF_PUSH_APPLY : SEAM_CONF_PUSH_FETCH;
}
