#include "process/node.h"
#include "base/log.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

typedef struct seam_part *(*part_ctor)(struct seam_node *n);

static const part_ctor all_parts[] = {
	seam_part_members, /* first: it sets the incarnation */
	seam_part_versions, seam_part_inventory, seam_part_pools,
	seam_part_teams,    seam_part_requests,	 seam_part_tasks,
	seam_part_admin,
};

struct seam_node *seam_node_new(const struct seam_settings *s,
				struct seam_clock *k, struct seam_store *store,
				struct seam_platform *platform,
				struct seam_err *e)
{
	struct seam_node *n = calloc(1, sizeof(*n));

	if (!n || sodium_init() < 0) {
		free(n);
		seam_fail(e, SEAM_NO_MEMORY, NULL);
		return NULL;
	}
	n->clock = k;
	n->settings = *s;
	n->store = store;
	n->platform = platform;
	seam_conf_cell_init(&n->conf);
	n->fleet = seam_fleet_new();
	n->owner = seam_owner_all();
	n->targets = seam_targets_new(k);
	n->http = seam_http_new(k);
	if (!n->fleet || !n->targets || !n->http) {
		seam_node_free(n);
		seam_fail(e, SEAM_NO_MEMORY, NULL);
		return NULL;
	}
	return n;
}

static int start_part(struct seam_node *n, part_ctor create, struct seam_err *e)
{
	struct seam_part *p = create(n);

	if (!p)
		return seam_fail(e, SEAM_NO_MEMORY, NULL);
	n->part[n->parts++] = p;
	return p->ops->start(p, e);
}

int seam_node_start(struct seam_node *n, struct seam_err *e)
{
	size_t i;

	for (i = 0; i < sizeof(all_parts) / sizeof(*all_parts); i++)
		if (start_part(n, all_parts[i], e))
			return -1;
	if (seam_http_start(n->http, n->settings.listen,
			    (int)n->settings.threads, e))
		return -1;
	seam_log(SEAM_INFO, "node", "Node %s listens on %s.", n->settings.node,
		 n->settings.listen);
	return 0;
}

bool seam_node_drain(struct seam_node *n, seam_time deadline)
{
	bool idle = seam_http_drain(n->http, deadline);
	int i;

	for (i = n->parts - 1; i >= 0; i--)
		if (n->part[i]->ops->drain)
			n->part[i]->ops->drain(n->part[i], deadline);
	return idle;
}

void seam_node_free(struct seam_node *n)
{
	if (!n)
		return;
	/* Its handlers belong to the parts, so the server stops first. */
	seam_http_free(n->http);
	while (n->parts) {
		n->parts--;
		n->part[n->parts]->ops->stop(n->part[n->parts]);
	}
	seam_targets_free(n->targets);
	seam_fleet_free(n->fleet);
	seam_conf_cell_free(&n->conf);
	free(n);
}

void seam_node_confirm(struct seam_node *n, seam_time t)
{
	seam_time old = __atomic_load_n(&n->confirmed_at, __ATOMIC_ACQUIRE);

	while (old < t &&
	       !__atomic_compare_exchange_n(&n->confirmed_at, &old, t, 0,
					    __ATOMIC_ACQ_REL, __ATOMIC_ACQUIRE))
		continue;
}

seam_time seam_node_confirmed(struct seam_node *n)
{
	return __atomic_load_n(&n->confirmed_at, __ATOMIC_ACQUIRE);
}

int seam_node_check_fresh(struct seam_node *n, enum seam_fresh_class class_,
			  seam_time confirmed, struct seam_err *e)
{
	const struct seam_settings *s = &n->settings;
	struct seam_fresh_bounds b = {s->stale_serve_ms, s->stale_key_ms,
				      s->vm_list_ms, s->clock_skew_ms};

	return seam_fresh_check(class_, confirmed, seam_now(n->clock), &b, e);
}

bool seam_node_is_operator(struct seam_node *n, struct seam_call *c,
			   struct seam_err *e)
{
	const char *key = seam_call_key(c);
	char hex[SEAM_SHA256_HEX_SIZE];

	if (key) {
		seam_sha256_hex(key, hex);
		if (!sodium_memcmp(hex, n->settings.operator_sha256, 64))
			return true;
	}
	seam_fail(e, SEAM_UNAUTHENTICATED, "operators' key required");
	return false;
}
